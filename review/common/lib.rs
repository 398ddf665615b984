//! Shared parts of the review's cases: the record, the node as a process, a client, and stand-ins for discovery and
//! executors. Only the standard library is used.
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, argument: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A script runs for at most this long.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();
static PROCESSES: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Writes a line to `record.txt`, with the time since the start in milliseconds.
pub fn record(line: impl AsRef<str>) {
    let Some((file, started_at)) = RECORD.get() else { return };
    let millis = started_at.elapsed().as_micros() as f64 / 1000.0;
    let _ = writeln!(file.lock().unwrap(), "{millis:10.1} {}", line.as_ref());
}

/// Milliseconds since the start of the script.
pub fn elapsed_ms() -> f64 {
    RECORD.get().map_or(0.0, |(_, started_at)| started_at.elapsed().as_micros() as f64 / 1000.0)
}

/// Whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The temporary folder of this run.
pub fn folder() -> &'static Path {
    FOLDER.get().expect("set by `run_case`")
}

fn end(status: i32) -> ! {
    for process in PROCESSES.lock().unwrap().iter() {
        // Only processes that this script started and has not waited for are listed.
        unsafe { kill(*process, SIGKILL) };
    }
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(status)
}

/// Runs a case: `body` returns the violations that it observed. Exits with 1 if there are any, 0 if there are none, and
/// 2 if the case could not run. The arguments of the program are the folder of the case and the root of the repository.
pub fn run_case(body: impl FnOnce(&Path) -> Result<Vec<String>, String> + Send + 'static) -> ! {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, root) = (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]));
    let file = File::create(case.join("record.txt")).expect("record.txt can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    // A ledger belongs on a disk. Where the temporary folder is memory, the case's own folder takes its place.
    let parent = if is_in_memory(&std::env::temp_dir()) { case.clone() } else { std::env::temp_dir() };
    let folder = parent.join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be made");
    let _ = FOLDER.set(folder);
    record(format!("trouble={}", has_trouble()));
    thread::spawn(|| {
        thread::sleep(MAX_RUN_TIME);
        record("not finished in time");
        end(2)
    });
    let result = thread::spawn(move || body(&root)).join();
    let (status, verdict) = match result {
        Err(_) => (2, "could not run: a step of the script panicked".to_string()),
        Ok(Err(reason)) => (2, format!("could not run: {reason}")),
        Ok(Ok(violations)) if violations.is_empty() => (0, "held".to_string()),
        Ok(Ok(violations)) => {
            violations.iter().for_each(|violation| record(format!("VIOLATION {violation}")));
            (1, format!("broken {} times, first: {}", violations.len(), violations[0]))
        }
    };
    record(&verdict);
    println!("{verdict}");
    end(status)
}

/// Whether a folder is on a file system in memory.
fn is_in_memory(folder: &Path) -> bool {
    let mounts = std::fs::read_to_string("/proc/mounts").unwrap_or_default();
    let fields = mounts.lines().map(|line| line.split(' ').collect::<Vec<_>>());
    let holding = fields.filter(|fields| fields.len() > 2 && folder.starts_with(fields[1]));
    holding.max_by_key(|fields| fields[1].len()).is_some_and(|fields| ["tmpfs", "ramfs"].contains(&fields[2]))
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Polls until the condition holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < limit {
        if is_met() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("the deploy file has `run`");
    line.split('"').nth(1).expect("`run` is a string").to_string()
}

/// A node's process.
pub struct Node {
    name: String,
    child: Child,
}

impl Node {
    /// Starts a process of the node by the command of the deploy file. `socket` is passed on as descriptor 5.
    pub fn start(root: &Path, name: &str, env: &[(&str, String)], socket: Option<RawFd>) -> Node {
        let log = File::create(folder().join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(root)).current_dir(root).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        for (key, value) in env {
            command.env(key, value);
        }
        if let Some(socket) = socket {
            command.env("ROUTER_PASSED_SOCKET", "5");
            unsafe {
                command.pre_exec(move || {
                    const F_SETFD: i32 = 2;
                    let result = if socket == 5 { fcntl(5, F_SETFD, 0) } else { dup2(socket, 5) };
                    if result < 0 { Err(std::io::Error::last_os_error()) } else { Ok(()) }
                });
            }
        }
        let child = command.spawn().expect("the node can be started");
        PROCESSES.lock().unwrap().push(child.id() as i32);
        record(format!("{name}: started"));
        Node { name: name.to_string(), child }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        record(format!("{}: signal {signal}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        PROCESSES.lock().unwrap().retain(|process| *process != self.child.id() as i32);
        Some(status.to_string())
    }

    /// Waits for the end of the process, and returns whether it came in time.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let has_ended = wait_until(limit, || self.ended().is_some());
        record(format!("{}: {}", self.name, if has_ended { "ended" } else { "has not ended" }));
        has_ended
    }

    /// The text of the process's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(folder().join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            PROCESSES.lock().unwrap().retain(|process| *process != self.child.id() as i32);
        }
        // The log of the node goes into the record.
        for line in self.log().lines().filter(|line| !line.contains("DEBUG")).take(60) {
            record(format!("{} log: {line}", self.name));
        }
    }
}

/// A message: its first line, its fields with names in lower case, and its body.
pub struct Message {
    pub start: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; none if the connection ends or times out first.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" if lines.is_empty() => {}
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let start = lines.remove(0);
    let fields: HashMap<String, String> = lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length = fields.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message { start, fields, body })
}

/// A connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client(BufReader::new(stream)))
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Whether a resting connection is still open: neither its end nor a reset has arrived.
    pub fn is_open(&self) -> bool {
        let stream = self.0.get_ref();
        let is_open = stream.set_nonblocking(true).is_ok()
            && matches!(stream.peek(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        is_open && stream.set_nonblocking(false).is_ok()
    }

    /// Waits for an answer for at most this long.
    pub fn receive(&mut self, limit: Duration) -> Option<Message> {
        self.0.get_mut().set_read_timeout(Some(limit)).ok()?;
        read_message(&mut self.0)
    }
}

/// A request as clients send it, with an idempotency key unless it is empty.
pub fn request(class: &str, id: &str, key: &str, timeout: f64, body: &str) -> Vec<u8> {
    let key = if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") };
    format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n{key}\
         Request-Timeout: {timeout:.3}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request id of 16 hexadecimal digits, new with every call.
pub fn new_id() -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(0x5e_0000_0001);
    format!("{:016x}", NUMBER.fetch_add(0x1_0001, Ordering::Relaxed))
}

/// Sends a request on a connection of its own, waits for at most `limit`, and closes the connection.
pub fn submit(node: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut client = Client::connect(node).ok()?;
    client.send(request).ok()?;
    client.receive(limit)
}

/// The status of `GET` for this path; 0 without an answer within a second.
pub fn get(address: SocketAddr, path: &str) -> u16 {
    call(address, "GET", path)
}

/// The status of a call without a body; 0 without an answer within a second.
pub fn call(address: SocketAddr, method: &str, path: &str) -> u16 {
    let request = format!("{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n");
    submit(address, request.as_bytes(), Duration::from_secs(1)).map_or(0, |answer| answer.status())
}

/// Discovery with a list that does not change.
pub fn start_discovery(entries: &[(String, SocketAddr)]) -> SocketAddr {
    let entries: Vec<String> = entries
        .iter()
        .map(|(id, address)| {
            format!(
                "{{\"id\":\"{id}\",\"addr\":\"{address}\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"Ready\",\
                 \"weight\":1.0,\"started_ms\":0}}"
            )
        })
        .collect();
    let list = format!("{{\"version\":41,\"full\":true,\"servers\":[{}]}}\n", entries.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_discovery(stream, &list));
        }
    });
    address
}

fn serve_discovery(stream: TcpStream, list: &str) -> Option<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let message = read_message(&mut reader)?;
        let stream = reader.get_mut();
        if !message.start.contains("stream=1") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            stream.write_all(head.as_bytes()).ok()?;
            continue;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}{:x}\r\n{list}\r\n", list.len()).as_bytes()).ok()?;
        loop {
            thread::sleep(Duration::from_secs(2));
            stream.write_all(b"1\r\n\n\r\n").ok()?;
        }
    }
}

/// What an executor does with an attempt before or while it runs.
#[derive(Clone, Copy, PartialEq)]
pub enum Conduct {
    /// Runs it and answers once.
    Sound,
    /// Answers that it is full, which proves that the attempt never ran.
    TurnAway,
    /// Takes and runs it, but the answer breaks off in the first line.
    BreakOff,
    /// Runs it and sends the answer a second time, so many milliseconds later.
    AnswerTwice(u64),
}

#[derive(Default)]
struct Job {
    highest_fence: u64,
    /// The fence of the attempt that was accepted last; 0 for an attempt without one.
    accepted: Option<u64>,
    result: Option<String>,
}

#[derive(Default)]
struct ExecutorState {
    jobs: Mutex<HashMap<String, Job>>,
    changed: Condvar,
    /// Each started run: the request's id and its body.
    runs: Mutex<Vec<(String, String)>>,
    running: AtomicU64,
}

/// An executor. The body of a request names its running time: `ms=200 ...`. An executor knows fences, as
/// `docs/durable.md` describes them.
#[derive(Clone)]
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    slots: u64,
    state: Arc<ExecutorState>,
}

/// Decides the conduct for an attempt, given the executor, the request's id and its body.
pub type Decide = Arc<dyn Fn(&str, &str, &str) -> Conduct + Send + Sync>;

impl Executor {
    pub fn start(name: &str, slots: u64, decide: Decide) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let executor = Executor { name: name.to_string(), address, slots, state: Arc::default() };
        let serving = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (executor, decide) = (serving.clone(), decide.clone());
                thread::spawn(move || executor.serve(stream, &decide));
            }
        });
        executor
    }

    /// Each run that was started: the request's id and its body.
    pub fn runs(&self) -> Vec<(String, String)> {
        self.state.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream, decide: &Decide) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let message = read_message(&mut reader)?;
            let path = message.start.split(' ').nth(1).unwrap_or("").to_string();
            match path.as_str() {
                "/ping" | "/_load" => self.send(&mut reader, &self.load())?,
                "/_fence" => {
                    let state = self.fate(&message);
                    record(format!("{}: fence query {} {}", self.name, message.field("request-id"), state));
                    self.send(&mut reader, &plain(200, "", &state))?
                }
                _ => self.attempt(&mut reader, &message, decide)?,
            }
        }
    }

    fn send(&self, reader: &mut BufReader<TcpStream>, bytes: &str) -> Option<()> {
        reader.get_mut().write_all(bytes.as_bytes()).ok()
    }

    fn load(&self) -> String {
        let running = self.state.running.load(Ordering::Relaxed);
        let (queue, free) = (running.saturating_sub(self.slots), self.slots.saturating_sub(running));
        plain(200, "", &format!("queue={queue},inflight={running},x0={free}"))
    }

    /// Answers a fence query. This executor starts each attempt at once, so none waits.
    fn fate(&self, message: &Message) -> String {
        let fence = message.field("work-fence").parse().unwrap_or(0);
        let mut jobs = self.state.jobs.lock().unwrap();
        let job = jobs.entry(message.field("request-id").to_string()).or_default();
        job.highest_fence = job.highest_fence.max(fence);
        match (job.accepted, &job.result) {
            (None, _) => "{\"state\":\"never\"}".into(),
            (Some(accepted), _) if accepted < fence => "{\"state\":\"never\"}".into(),
            (Some(_), None) => "{\"state\":\"running\"}".into(),
            (Some(_), Some(result)) => format!("{{\"state\":\"done\",\"result\":\"{result}\"}}"),
        }
    }

    fn attempt(&self, reader: &mut BufReader<TcpStream>, message: &Message, decide: &Decide) -> Option<()> {
        let (id, body) = (message.field("request-id").to_string(), message.text().trim_end().to_string());
        let fence: u64 = message.field("work-fence").parse().unwrap_or(0);
        let refused = plain(503, "Not-Started: 1\r\n", "");
        {
            let mut jobs = self.state.jobs.lock().unwrap();
            let job = jobs.entry(id.clone()).or_default();
            if fence > 0 && fence <= job.highest_fence {
                record(format!("{}: attempt {id} fence={fence} refused", self.name));
                return self.send(reader, &refused);
            }
            job.highest_fence = job.highest_fence.max(fence);
        }
        let conduct = decide(&self.name, &id, &body);
        if conduct == Conduct::TurnAway {
            record(format!("{}: attempt {id} turned away ({body})", self.name));
            return self.send(reader, &refused);
        }
        record(format!("{}: run begins {id} ({body})", self.name));
        self.state.jobs.lock().unwrap().entry(id.clone()).or_default().accepted = Some(fence);
        self.state.runs.lock().unwrap().push((id.clone(), body.clone()));
        self.state.running.fetch_add(1, Ordering::Relaxed);
        let (executor, job_id) = (self.clone(), id.clone());
        thread::spawn(move || executor.run(&job_id, &body));
        self.send(reader, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        if conduct == Conduct::BreakOff {
            record(format!("{}: answer to {id} breaks off, the run goes on", self.name));
            let half = format!("{{\"id\":\"{id}\",\"fr");
            self.send(reader, &format!("{:x}\r\n{half}", half.len() + 40))?;
            return None;
        }
        let result = self.wait_for_result(&id);
        let line = format!("{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"done\",\"result\":\"{result}\"}}\n", self.name);
        let rest = format!("{:x}\r\n{line}\r\n0\r\n\r\n", line.len());
        self.send(reader, &rest)?;
        if let Conduct::AnswerTwice(millis) = conduct {
            thread::sleep(Duration::from_millis(millis));
            record(format!("{}: second answer to {id}", self.name));
            self.send(reader, &format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{rest}"))?;
        }
        Some(())
    }

    fn run(&self, id: &str, body: &str) {
        let millis = body.split(' ').find_map(|part| part.strip_prefix("ms=")).and_then(|ms| ms.parse().ok());
        thread::sleep(Duration::from_millis(millis.unwrap_or(50)));
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        record(format!("{}: run ends {id}", self.name));
        let mut jobs = self.state.jobs.lock().unwrap();
        jobs.entry(id.to_string()).or_default().result = Some(result_of(id));
        self.state.changed.notify_all();
    }

    fn wait_for_result(&self, id: &str) -> String {
        let mut jobs = self.state.jobs.lock().unwrap();
        loop {
            if let Some(result) = jobs.get(id).and_then(|job| job.result.clone()) {
                return result;
            }
            jobs = self.state.changed.wait(jobs).unwrap();
        }
    }
}

/// The result that an executor makes for a request.
pub fn result_of(id: &str) -> String {
    format!("result of {id}")
}

fn plain(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The runs of all executors whose body contains a mark, by mark.
pub fn runs_with(executors: &[Executor], mark: &str) -> usize {
    let word = |body: &str| body.split(' ').any(|part| part == mark);
    executors.iter().flat_map(Executor::runs).filter(|(_, body)| word(body)).count()
}

/// The distinct ids of all runs.
pub fn ids_of_runs(executors: &[Executor]) -> HashSet<String> {
    executors.iter().flat_map(Executor::runs).map(|(id, _)| id).collect()
}

/// The passed socket of a platform.
pub fn descriptor(listener: &TcpListener) -> RawFd {
    listener.as_raw_fd()
}

/// Writes a file into the temporary folder, replacing it as a whole, and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let (path, part) = (folder().join(name), folder().join(format!("{name}.part")));
    std::fs::write(&part, text).unwrap();
    std::fs::rename(&part, &path).unwrap();
    path.display().to_string()
}

/// A request class of the settings; times in milliseconds.
pub fn class(name: &str, effect: &str, turnaround_ms: u64, limit_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"key_scope\":\"all\",\"window\":7500000,\"credit\":2.0,\
         \"tardy_credit\":0.5,\"promised_turnaround\":{},\"hard_limit\":{}}}",
        turnaround_ms * 1000,
        limit_ms * 1000
    )
}

/// The configuration of a node of a small deployment: executors tell neither starts nor, within the first second,
/// progress, and are probed for their load.
pub fn node_config(listen: SocketAddr, discovery: SocketAddr, max_attempts: u32, classes: &[String]) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"settings\":{{\"balancers\":1,\"me\":0,\"zone\":0,\"failure_domains\":[\"a\"],\"kinds\":[\"m\"],\
         \"registry_mode\":\"automatic\",\"family\":\"jobs\",\
         \"family_info\":{{\"tells_start\":false,\"progress\":1000000,\"queue_order\":\"fifo\"}},\
         \"limits\":{{\"max_allocations\":{max_attempts},\"probes\":true,\"cancel\":true,\"second_copies\":false,\
         \"peers\":false,\"retry_after\":false,\"max_retry_after\":2000000,\"connect_timeout\":200000,\
         \"conn_idle\":60000000}},\
         \"contract\":{{\"drain_grace\":500000,\"cold_share\":0.32,\"ramp_time\":6800000,\"fall\":2000000,\
         \"fall_multiple\":2.5,\"ask_every\":10000000}},\
         \"load_info\":{{\"fields\":[\"queue\",\"inflight\",\"x0\"],\"source\":\"pull\"}},\
         \"project_types\":[{}]}}}}",
        classes.join(",")
    )
}
