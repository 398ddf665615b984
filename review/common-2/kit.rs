//! Stand-ins and helpers of the second review's cases, with the standard library alone.
//!
//! The stand-ins are: clients, executors, the platform's discovery, Consul agents, and the platform that starts the
//! node's processes by the `run` line of the deploy file. All addresses are loopback addresses with free ports.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, ...) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The descriptor at which the platform passes the clients' socket.
pub const PASSED_DESCRIPTOR: RawFd = 5;
/// What a script may take in all is 120 s; the watchdog ends it before.
const WATCHDOG: Duration = Duration::from_secs(110);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(ms(millis));
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A case that runs: its record, its temporary folder and the processes that it started.
pub struct Case {
    record: Mutex<File>,
    started_at: Instant,
    pub folder: PathBuf,
    children: Mutex<Vec<u32>>,
    pub has_trouble: bool,
}

static CASE: OnceLock<Case> = OnceLock::new();

pub fn case() -> &'static Case {
    CASE.get().expect("a case begins with `begin`")
}

/// Begins a case. The first argument is its folder, for `record.txt`.
pub fn begin() -> &'static Case {
    let case_folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("tk-review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&format!("temporary folder: {error}")));
    let record = File::create(Path::new(&case_folder).join("record.txt"))
        .unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
    let case = Case {
        record: Mutex::new(record),
        started_at: Instant::now(),
        folder,
        children: Mutex::default(),
        has_trouble,
    };
    assert!(CASE.set(case).is_ok());
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        finish(2, "the script itself failed");
    }));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        finish(2, "the script took too long");
    });
    note(&format!("begins, trouble {}", if has_trouble { "on" } else { "off" }));
    self::case()
}

fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    std::process::exit(2)
}

impl Case {
    /// Milliseconds since the case began.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

/// Milliseconds since the case began.
pub fn now() -> u64 {
    case().now()
}

/// Writes a line to the record, with the time.
pub fn note(text: &str) {
    if let Ok(mut record) = case().record.lock() {
        let _ = writeln!(record, "{:>7} {text}", case().now());
    }
}

/// Ends all processes, removes the folder and exits: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn finish(status: i32, verdict: &str) -> ! {
    static IS_FINISHED: AtomicBool = AtomicBool::new(false);
    if IS_FINISHED.swap(true, Ordering::SeqCst) {
        loop {
            thread::sleep(ms(1000));
        }
    }
    let pids = case().children.lock().map(|pids| pids.clone()).unwrap_or_default();
    for pid in pids {
        // Safe: a signal to a process that this one started and has not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
    note(&format!("verdict {status}: {verdict}"));
    println!("{verdict}");
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&case().folder);
    }
    std::process::exit(status)
}

/// Waits until a condition holds; the case cannot run if it does not in time.
pub fn wait_for(what: &str, limit: Duration, mut is_met: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !is_met() {
        if Instant::now() >= until {
            finish(2, &format!("cannot run: waited in vain for {what}"));
        }
        sleep_ms(10);
    }
}

/// A listener on a free loopback port.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| finish(2, &format!("cannot listen: {error}")))
}

/// A free loopback port for a process that binds it itself.
pub fn free_address() -> SocketAddr {
    listener().local_addr().expect("an address")
}

// ---------------------------------------------------------------------------------------------- the platform's side

/// One process of the node.
pub struct NodeProcess {
    pub pid: u32,
    child: Child,
}

/// What a process of the node is started with.
pub struct Launch<'a> {
    pub name: &'a str,
    pub config: &'a Path,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub management: Option<SocketAddr>,
    pub operator_file: Option<&'a Path>,
    /// The clients' socket that the platform holds, and the folder that the processes share.
    pub passed: Option<(&'a TcpListener, &'a Path)>,
}

/// The `run` line of the deploy file.
fn run_line() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| finish(2, &error.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or("");
    line.split('"').next().unwrap_or("").to_string()
}

impl NodeProcess {
    /// Starts a process as the platform does. Call it on the main thread: the process ends with the thread.
    pub fn start(launch: &Launch<'_>, log: &str) -> Self {
        let log_path = case().path(log);
        let out = File::create(&log_path).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_line()).stdin(Stdio::null());
        command.stdout(out.try_clone().expect("a log file")).stderr(out);
        command.env("ROUTER_NAME", launch.name).env("ROUTER_CONFIG", launch.config);
        command.env("ROUTER_LISTEN", launch.listen.to_string());
        command.env("ROUTER_DISCOVERY", launch.discovery.to_string());
        command.env_remove("TROUTKNOT_FILE").env_remove("ROUTER_MANAGEMENT").env_remove("ROUTER_PASSED_SOCKET");
        if let Some(address) = launch.management {
            command.env("ROUTER_MANAGEMENT", address.to_string());
        }
        if let Some(path) = launch.operator_file {
            command.env("TROUTKNOT_FILE", path);
        }
        let private = case().path(&format!("tmp-{log}"));
        fs::create_dir_all(&private).expect("a folder");
        let mut socket = None;
        match launch.passed {
            Some((listener, folder)) => {
                command.env("TMPDIR", folder).env("ROUTER_PASSED_SOCKET", PASSED_DESCRIPTOR.to_string());
                socket = Some(listener.as_raw_fd());
            }
            None => {
                command.env("TMPDIR", private);
            }
        }
        // Safe: dup2, fcntl and prctl may be called between fork and exec.
        unsafe {
            command.pre_exec(move || {
                prctl(1, SIGKILL, 0, 0, 0);
                match socket {
                    // F_SETFD without FD_CLOEXEC; dup2 would leave the flag as it is.
                    Some(PASSED_DESCRIPTOR) if fcntl(PASSED_DESCRIPTOR, 2, 0) < 0 => Err(io::Error::last_os_error()),
                    Some(PASSED_DESCRIPTOR) => Ok(()),
                    Some(socket) if dup2(socket, PASSED_DESCRIPTOR) < 0 => Err(io::Error::last_os_error()),
                    _ => Ok(()),
                }
            });
        }
        let child = command.spawn().unwrap_or_else(|error| finish(2, &format!("cannot start the node: {error}")));
        let pid = child.id();
        case().children.lock().expect("the list of processes").push(pid);
        note(&format!("platform: process {log} started"));
        NodeProcess { pid, child }
    }

    pub fn signal(&self, signal: i32) {
        // Safe: a signal to a process that this one started and has not waited for.
        unsafe { kill(self.pid as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended && let Ok(mut pids) = case().children.lock() {
            pids.retain(|pid| *pid != self.pid);
        }
        has_ended
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        if let Ok(mut pids) = case().children.lock() {
            pids.retain(|pid| *pid != self.pid);
        }
    }
}

/// Waits until the node's health check passes.
pub fn wait_until_serving(node: SocketAddr) {
    wait_for("the node's health check", ms(15_000), || {
        get(node, "/_health", ms(1000)).is_some_and(|answer| answer.status == 200)
    });
}

/// Waits until a process says at its own management address that it takes clients.
pub fn wait_until_ready(management: SocketAddr) {
    wait_for("readyz", ms(10_000), || {
        get(management, "/v1/readyz", ms(1000)).is_some_and(|answer| answer.status == 200)
    });
}

/// A request class of the settings; times in microseconds.
pub fn class(name: &str, effect: &str, promised: u64, hard_limit: u64) -> String {
    class_with_scope(name, effect, "all", promised, hard_limit)
}

/// A request class whose repeats are dropped by the executors of a scope, for 7.5 s.
pub fn class_with_scope(name: &str, effect: &str, scope: &str, promised: u64, hard_limit: u64) -> String {
    format!(
        r#"{{"name":"{name}","effect":"{effect}","key_scope":"{scope}","window":7500000,"hard_limit":{hard_limit},"promised_turnaround":{promised},"credit":1.0,"streaming":false,"tardy_credit":0.5}}"#
    )
}

/// The settings of a small deployment.
pub struct Settings {
    pub probes: bool,
    pub drain_grace_ms: u64,
    pub classes: Vec<String>,
}

impl Settings {
    pub fn json(&self) -> String {
        let Settings { probes, drain_grace_ms, classes } = self;
        let load_info = match probes {
            true => r#"{"fields":["depth","concurrent","x0"],"source":"pull"}"#,
            false => r#"{"fields":[],"source":"silent"}"#,
        };
        format!(
            r#"{{"balancers":1,"me":0,"zone":0,"failure_domains":["a"],"kinds":["m1"],"family":"jobs","credit_by":"request",
 "contract":{{"ask_every":10000000,"cold_share":0.32,"drain_grace":{grace},"fall":2000000,"fall_multiple":2.5,"ramp_time":6800000}},
 "family_info":{{"tells_start":false,"queue_order":"in_order"}},
 "limits":{{"cancel":true,"conn_idle":60000000,"connect_timeout":200000,"max_allocations":3,"multiplex":1,"peers":false,"probes":{probes},"retry_after":true,"max_retry_after":2000000,"second_copies":false}},
 "load_info":{load_info},"registry_mode":"automatic","customers":[],
 "project_types":[{classes}]}}"#,
            grace = drain_grace_ms * 1000,
            classes = classes.join(",")
        )
    }
}

/// Writes a node file and returns its path.
pub fn node_file(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str) -> PathBuf {
    let path = case().path(&format!("{name}.json"));
    let text = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    );
    fs::write(&path, text).expect("the node file");
    path
}

// ------------------------------------------------------------------------------------------------------------- HTTP

/// A message that was read: its first line, its header fields and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn request_id(&self) -> String {
        self.field("Request-Id").unwrap_or("").to_string()
    }
}

/// Reads one message with a `Content-Length`; none at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let mut message = Message { first_line: first_line.trim_end().to_string(), fields, body: Vec::new() };
    let length = message.field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// An answer that a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub message: Message,
}

fn to_answer(message: Message) -> Answer {
    let status = message.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Answer { status, message }
}

/// A call without a body on a connection of its own.
pub fn call(address: SocketAddr, method: &str, target: &str, limit: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream)).ok()?.map(to_answer)
}

pub fn get(address: SocketAddr, target: &str, limit: Duration) -> Option<Answer> {
    call(address, "GET", target, limit)
}

/// A new request id of 16 hex digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// The bytes of a client's request.
pub fn request_text(id: &str, class: &str, timeout: f64, further: &str, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nRequest-Timeout: {timeout:.3}\r\n{further}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's connection.
pub struct ClientConnection {
    pub reader: BufReader<TcpStream>,
}

impl ClientConnection {
    pub fn open(node: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&node, ms(3000))?;
        stream.set_nodelay(true)?;
        Ok(ClientConnection { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    /// Waits for an answer for up to `limit`; none if the connection ends or nothing comes.
    pub fn receive(&mut self, limit: Duration) -> Option<Answer> {
        self.reader.get_ref().set_read_timeout(Some(limit)).ok()?;
        read_message(&mut self.reader).ok()?.map(to_answer)
    }
}

// -------------------------------------------------------------------------------------------------------- executors

/// One request that an executor got: when its last byte had come, and where.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub id: String,
    pub executor: String,
}

/// All requests that executors began.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn add(&self, executor: &str, id: &str) {
        let run = Run { at: now(), id: id.to_string(), executor: executor.to_string() };
        note(&format!("executor {executor}: {id} begins"));
        self.0.lock().expect("the runs").push(run);
    }

    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("the runs").clone()
    }

    pub fn of(&self, executor: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.executor == executor).collect()
    }
}

/// The answer of an executor that has done a request.
pub fn done_answer(id: &str, executor: &str) -> String {
    let line = format!("{{\"id\":\"{id}\",\"from\":\"{executor}\",\"state\":\"done\",\"result\":\"done-{id}\"}}\n");
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n0\r\n\r\n", line.len())
}

/// An executor's answer to what is no request for it.
pub const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// Handles one message on a connection; false closes the connection.
pub type Handler = Arc<dyn Fn(&Message, &Arc<Mutex<TcpStream>>) -> bool + Send + Sync>;

pub fn write_to(stream: &Arc<Mutex<TcpStream>>, text: &str) -> bool {
    stream.lock().expect("a stream").write_all(text.as_bytes()).is_ok()
}

/// Serves connections with a handler.
pub fn serve(listener: TcpListener, handler: Handler) -> SocketAddr {
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve_connection(stream, handler.clone());
        }
    });
    address
}

pub fn serve_connection(stream: TcpStream, handler: Handler) {
    let serve = move || {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_message(&mut reader) {
            if !handler(&message, &writer) {
                return;
            }
        }
    };
    let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
}

/// A sound executor without probes: takes each request and answers it after `work`.
pub fn plain_executor(name: &str, work: Duration, runs: &Arc<Runs>) -> SocketAddr {
    serve(listener(), plain_handler(name, work, runs))
}

pub fn plain_handler(name: &str, work: Duration, runs: &Arc<Runs>) -> Handler {
    let (name, runs) = (name.to_string(), runs.clone());
    Arc::new(move |message: &Message, stream: &Arc<Mutex<TcpStream>>| {
        let id = message.request_id();
        if id.is_empty() {
            return write_to(stream, NOT_FOUND);
        }
        runs.add(&name, &id);
        thread::sleep(work);
        write_to(stream, &done_answer(&id, &name))
    })
}

// ----------------------------------------------------------------------------------------- the platform's discovery

#[derive(Clone, Debug)]
pub struct Entry {
    pub address: String,
    pub state: String,
    pub cell: u32,
    pub version: u64,
}

/// The platform's discovery: a list with versions, and watches on it.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    entries: BTreeMap<String, Entry>,
}

impl DiscoveryState {
    fn list(&self, since: Option<u64>) -> String {
        let mut servers = String::new();
        for (id, entry) in &self.entries {
            if since.is_some_and(|since| entry.version <= since) || (since.is_none() && entry.state == "Gone") {
                continue;
            }
            let comma = if servers.is_empty() { "" } else { "," };
            let Entry { address, state, cell, .. } = entry;
            let _ = write!(
                servers,
                r#"{comma}{{"id":"{id}","addr":"{address}","zone":"a","kind":"m1","cell":{cell},"state":"{state}","weight":1.0,"started_ms":0}}"#
            );
        }
        format!(r#"{{"version":{},"full":{},"servers":[{servers}]}}"#, self.version, since.is_none())
    }
}

impl Discovery {
    pub fn start(entries: &[(String, SocketAddr)]) -> Self {
        let mut state = DiscoveryState { version: 41, ..DiscoveryState::default() };
        for (id, address) in entries {
            let entry = Entry { address: address.to_string(), state: "Ready".into(), cell: 0, version: 1 };
            state.entries.insert(id.clone(), entry);
        }
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (listener, shared) = (listener(), state.clone());
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve_watch(stream, &shared));
            }
        });
        Discovery { address, state }
    }

    pub fn set_state(&self, id: &str, new_state: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the list");
        state.version += 1;
        let version = state.version;
        if let Some(entry) = state.entries.get_mut(id) {
            (entry.state, entry.version) = (new_state.into(), version);
        }
        note(&format!("discovery: {id} is {new_state}, version {version}"));
        changed.notify_all();
    }

    /// Adds an executor that has been up for long.
    pub fn add(&self, id: &str, address: SocketAddr, cell: u32) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the list");
        state.version += 1;
        let version = state.version;
        let entry = Entry { address: address.to_string(), state: "Ready".into(), cell, version };
        state.entries.insert(id.to_string(), entry);
        note(&format!("discovery: {id} is listed in cell {cell}, version {version}"));
        changed.notify_all();
    }

    /// The whole list, for `known`.
    pub fn known(&self) -> String {
        self.state.0.lock().expect("the list").list(None)
    }
}

fn serve_watch(stream: TcpStream, shared: &(Mutex<DiscoveryState>, Condvar)) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let Ok(Some(request)) = read_message(&mut BufReader::new(stream)) else { return };
    let mut since = None;
    for part in request.target().split(['?', '&']) {
        if let Some(index) = part.strip_prefix("index=") {
            since = index.parse().ok();
        }
    }
    let (state, changed) = shared;
    let first = state.lock().expect("the list");
    if !request.target().contains("stream=1") {
        let list = first.list(None);
        drop(first);
        let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        return;
    }
    let mut text = first.list(since) + "\n";
    let mut sent = first.version;
    drop(first);
    if write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
        return;
    }
    loop {
        if write!(writer, "{:x}\r\n{text}\r\n", text.len()).is_err() {
            return;
        }
        let list = state.lock().expect("the list");
        let waited = changed.wait_timeout_while(list, ms(2000), |list| list.version == sent);
        let (list, _) = waited.expect("the list");
        text = if list.version == sent { "\n".into() } else { list.list(Some(sent)) + "\n" };
        sent = list.version;
    }
}

// ----------------------------------------------------------------------------------------------------------- Consul

/// One instance of the service `box`.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub status: &'static str,
}

/// What an agent knows of the service.
#[derive(Clone)]
pub struct View {
    pub index: u64,
    pub instances: Vec<Instance>,
}

impl View {
    fn body(&self) -> String {
        let entries: Vec<String> = self.instances.iter().map(|instance| {
            let Instance { id, address, status } = instance;
            format!(
                r#"{{"Node":{{"ID":"","Node":"host-{id}","Address":"{ip}","Datacenter":"dc1"}},"Service":{{"ID":"{id}","Service":"box","Tags":[],"Address":"{ip}","Port":{port},"Meta":{{"executor":"{id}","zone":"a","kind":"m1","started":"1000"}},"Weights":{{"Passing":1,"Warning":1}},"CreateIndex":5,"ModifyIndex":5}},"Checks":[{{"Node":"host-{id}","CheckID":"service:{id}","Name":"{id}","Status":"{status}"}}]}}"#,
                ip = address.ip(),
                port = address.port()
            )
        }).collect();
        format!("[{}]", entries.join(","))
    }
}

/// What a Consul agent does at present.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum AgentMode {
    Sound,
    /// Answers each query with status 500.
    Errors,
}

pub struct AgentState {
    pub view: View,
    pub mode: AgentMode,
    /// The blocking queries that are open now fall silent: they are never answered.
    pub silenced_before: u64,
    /// When the blocking query that is or was open last was asked.
    pub last_blocking_at: u64,
    /// What the agent answers about the service `far`: nothing is registered there, or an error.
    pub far_errs: bool,
}

/// A Consul agent.
#[derive(Clone)]
pub struct Agent {
    pub name: &'static str,
    pub address: SocketAddr,
    pub state: Arc<(Mutex<AgentState>, Condvar)>,
}

impl Agent {
    pub fn start(name: &'static str, view: View) -> Self {
        let state = AgentState { view, mode: AgentMode::Sound, silenced_before: 0, last_blocking_at: 0, far_errs: false };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        let handler: Handler = Arc::new(move |message: &Message, stream: &Arc<Mutex<TcpStream>>| {
            answer_query(name, &shared, message, stream);
            false
        });
        Agent { name, address: serve(listener(), handler), state }
    }

    pub fn change(&self, what: &str, change: impl FnOnce(&mut AgentState)) {
        let (state, changed) = &*self.state;
        change(&mut state.lock().expect("the agent"));
        note(&format!("consul agent {}: {what}", self.name));
        changed.notify_all();
    }
}

fn answer_query(
    name: &str,
    shared: &(Mutex<AgentState>, Condvar),
    message: &Message,
    stream: &Arc<Mutex<TcpStream>>,
) {
    let (mut index, mut wait) = (0_u64, 0_u64);
    for part in message.target().split(['?', '&']) {
        if let Some(text) = part.strip_prefix("index=") {
            index = text.parse().unwrap_or(0);
        }
        if let Some(text) = part.strip_prefix("wait=").and_then(|text| text.strip_suffix("ms")) {
            wait = text.parse().unwrap_or(0);
        }
    }
    let asked_at = now();
    note(&format!("consul agent {name}: asked {}", message.target()));
    let (state, changed) = shared;
    let mut guard = state.lock().expect("the agent");
    if message.target().contains("/service/far") {
        let errs = guard.far_errs;
        drop(guard);
        return answer_far(name, errs, index, stream);
    }
    if index > 0 {
        guard.last_blocking_at = asked_at;
    }
    let is_blocked = |state: &mut AgentState| {
        index > 0 && state.view.index == index && state.mode == AgentMode::Sound
    };
    let (guard, _) = changed.wait_timeout_while(guard, ms(wait), is_blocked).expect("the agent");
    if index > 0 && asked_at < guard.silenced_before {
        note(&format!("consul agent {name}: the query asked at {asked_at} is silent"));
        drop(guard);
        // The connection stays open and silent.
        thread::sleep(ms(60_000));
        return;
    }
    if guard.mode == AgentMode::Errors {
        write_to(stream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
    }
    let body = guard.view.body();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: {}\r\nX-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        guard.view.index,
        body.len()
    );
    note(&format!("consul agent {name}: answers with index {}", guard.view.index));
    write_to(stream, &(head + &body));
}

/// Answers a query for the service `far`, which has no instances: a blocking one after 10 s, as nothing changes.
fn answer_far(name: &str, errs: bool, index: u64, stream: &Arc<Mutex<TcpStream>>) {
    if errs {
        write_to(stream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
    }
    if index > 0 {
        sleep_ms(10_000);
    }
    note(&format!("consul agent {name}: answers for the service far"));
    write_to(
        stream,
        "HTTP/1.1 200 OK\r\nX-Consul-Index: 5\r\nX-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]",
    );
}

// ----------------------------------------------------------------------------------------------------------- clients

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Fate {
    pub id: String,
    pub sent_at: u64,
    /// When its answer was there; none if no answer came while the client watched.
    pub answered_at: Option<u64>,
    pub status: u16,
}

impl Fate {
    /// Milliseconds from the request's last byte to the answer.
    pub fn took(&self) -> Option<u64> {
        self.answered_at.map(|at| at - self.sent_at)
    }
}

/// Sends one request on a new connection and waits for its answer for up to `patience`.
pub fn ask(node: SocketAddr, class: &str, timeout: f64, patience: Duration) -> Fate {
    let id = new_id();
    let mut fate = Fate { id: id.clone(), sent_at: now(), answered_at: None, status: 0 };
    let Ok(mut connection) = ClientConnection::open(node) else {
        note(&format!("client: {id} could not connect"));
        return fate;
    };
    if connection.send(&request_text(&id, class, timeout, "", "work")).is_err() {
        return fate;
    }
    fate.sent_at = now();
    note(&format!("client: {id} sent, waits {timeout:.3} s"));
    if let Some(answer) = connection.receive(patience) {
        (fate.answered_at, fate.status) = (Some(now()), answer.status);
        note(&format!("client: {id} answered {} after {} ms", answer.status, now() - fate.sent_at));
    } else {
        note(&format!("client: {id} has no answer after {} ms", now() - fate.sent_at));
    }
    fate
}

/// Sends requests at a steady rate, each on a connection of its own, until `until` (milliseconds of the case).
pub fn steady_load(node: SocketAddr, class: &str, timeout: f64, every_ms: u64, until: u64) -> Vec<Fate> {
    let fates = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    while now() < until {
        let (fates, class) = (fates.clone(), class.to_string());
        clients.push(thread::spawn(move || {
            let fate = ask(node, &class, timeout, Duration::from_secs_f64(timeout + 2.0));
            fates.lock().expect("the fates").push(fate);
        }));
        sleep_ms(every_ms);
    }
    for client in clients {
        let _ = client.join();
    }
    let fates = fates.lock().expect("the fates");
    fates.clone()
}

// Keeps the trait in scope for cases that read streams themselves.
pub fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    stream.read(buffer)
}
