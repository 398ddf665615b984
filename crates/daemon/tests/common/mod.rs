//! Shared by the tests that run a node as a process.
#![allow(dead_code)]
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Discovery, Executor, Message};

pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "{what} in time");
        thread::yield_now();
    }
}

pub fn message(from: &mut impl BufRead) -> Option<Message> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap();
        }
        if line == "\r\n" && head.starts_with("HTTP/1.1 1") {
            head.clear();
        } else if line == "\r\n" {
            break;
        } else {
            head += &line;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

pub fn entry(name: &str, executor: &Executor, state: &str) -> Value {
    entry_at(name, executor.addr, state)
}

pub fn entry_at(name: &str, addr: SocketAddr, state: &str) -> Value {
    let addr = addr.to_string();
    json!({"id": name, "addr": addr, "zone": "z", "kind": "k", "cell": 0, "state": state})
}

pub fn list(version: u64, full: bool, entries: &[Value]) -> String {
    json!({"version": version, "full": full, "servers": entries}).to_string()
}

pub fn settings() -> Value {
    let of = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key_scope": "all", "hard_limit": 30_000_000,
            "promised_turnaround": 500_000, "credit": 1.0, "window": 1_000_000})
    };
    json!({"balancers": 1, "me": 0, "zone": 0, "failure_domains": ["z"], "kinds": ["k"],
        "limits": {"max_allocations": 3, "connect_timeout": 250_000, "conn_idle": 5_000_000,
            "retry_after": true},
        "contract": {"drain_grace": 500_000}, "load_info": {"fields": ["depth", "x0"], "source": "pull"},
        "project_types": [of("render", "safe"), of("publish", "unsafe")]})
}

pub fn config_file(config: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = format!("{}/config-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config).unwrap();
    path
}

pub fn launch(path: &str, log: &str) -> Child {
    launch_by(path, log, "")
}

pub fn launch_by(path: &str, log: &str, own: &str) -> Child {
    launch_with(path, log, own, |_| ())
}

pub fn launch_with(path: &str, log: &str, own: &str, how: impl FnOnce(&mut Command)) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_troutknotd"));
    program
        .env("ROUTER_CONFIG", path)
        .env("TROUTKNOT_FILE", own)
        .env("TROUTKNOT_LOG", log)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    how(&mut program);
    program.spawn().unwrap()
}

pub struct Node {
    pub process: Child,
    pub addr: SocketAddr,
    pub log: Receiver<String>,
    /// Log lines that `logged` skipped.
    pub before: Mutex<Vec<String>>,
    pub config: Value,
    pub path: String,
}

impl Node {
    pub fn start(discovery: &Discovery) -> Self {
        Node::start_with(discovery, (256, 64), settings(), "info")
    }

    pub fn start_with(discovery: &Discovery, limits: (u64, u64), settings: Value, log: &str) -> Self {
        Node::start_by(discovery.addr, limits, settings, log, Value::Null, "")
    }

    /// Starts a node with a cached endpoint list, and with the operator's file unless its path is empty.
    pub fn start_by(
        discovery: SocketAddr,
        limits: (u64, u64),
        settings: Value,
        log: &str,
        known: Value,
        own: &str,
    ) -> Self {
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": limits.1, "sockets": limits.0},
            "settings": settings, "known": known});
        let node = Node::start_from(config, |path| launch_by(path, log, own));
        until("it is ready", || node.ask(HEALTH).0 == 200);
        node
    }

    /// Starts a node with this configuration, and returns once it listens.
    pub fn start_from(config: Value, launch: impl FnOnce(&str) -> Child) -> Self {
        let path = config_file(&config.to_string());
        let mut process = launch(&path);
        // A test that does not read the log lets the pipe fill up.
        let (send, log) = mpsc::sync_channel(64);
        let lines = BufReader::new(process.stdout.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| send.send(line)));
        let (addr, before) = (([127, 0, 0, 1], 0).into(), Mutex::default());
        let mut node = Node { process, addr, log, before, config, path };
        node.addr = address(&node.logged("node listening"));
        node
    }

    pub fn logged(&self, part: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            let line = self.log.recv_timeout(end - Instant::now()).expect("the log says it in time");
            if line.contains(part) {
                return line;
            }
            self.before.lock().unwrap().push(line);
        }
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        BufReader::new(stream)
    }

    pub fn ask(&self, request: impl AsRef<[u8]>) -> (u16, Message) {
        ask(&mut self.connect(), request)
    }

    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        assert!(kill.args(["-s", name, &self.process.id().to_string()]).status().unwrap().success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reread(&self, config: &str) {
        std::fs::write(&self.path, config).unwrap();
        self.signal("HUP");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The field `address` of a log line.
pub fn address(line: &str) -> SocketAddr {
    let field = line.split_whitespace().find_map(|field| field.strip_prefix("address="));
    field.expect("the line has an address").parse().unwrap()
}

pub const HEALTH: &str = "GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";

pub fn answer(connection: &mut BufReader<TcpStream>) -> (u16, Message) {
    let (head, body) = message(connection).expect("the node answers");
    (head.split(' ').nth(1).unwrap().parse().unwrap(), (head, body))
}

pub fn ask(connection: &mut BufReader<TcpStream>, request: impl AsRef<[u8]>) -> (u16, Message) {
    // The node may answer and close before it has read the whole request.
    let _ = connection.get_mut().write_all(request.as_ref());
    answer(connection)
}

pub fn work(project_type: &str, id: &str, wait: f64, body: &str) -> String {
    format!(
        "POST /{project_type}/a?b=c HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\n\
         Request-Class: {project_type}\r\nRequest-Timeout: {wait}\r\nX-Other: kept\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request id that no test has used yet.
pub fn new_id() -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    format!("new-{}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

pub fn one_executor() -> (Executor, Discovery) {
    let executor = Executor::start();
    let discovery = Discovery::start(list(7, true, &[entry("s-1", &executor, "Ready")]));
    (executor, discovery)
}
