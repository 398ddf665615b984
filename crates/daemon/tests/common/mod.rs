//! Helpers for the tests that run a node as a process.
#![allow(dead_code)]
pub mod durable;
pub mod platform;

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Discovery, Executor, Message};

/// Upper bound on each wait of a test for the node or a scripted peer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// An address that refuses connections. It stays reserved for as long as this exists, so that no listener of another
/// test gets it.
pub struct RefusingAddress {
    pub addr: SocketAddr,
    _socket: Socket,
}

impl RefusingAddress {
    pub fn reserve() -> Self {
        // A socket that is bound and does not listen.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        RefusingAddress { addr: socket.local_addr().unwrap().as_socket().unwrap(), _socket: socket }
    }
}

/// Polls a condition until it holds; panics if it does not within [`WAIT_TIMEOUT`].
pub fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        thread::yield_now();
    }
}

/// Reads one message with a `Content-Length`, after any interim responses; none if the connection ends first.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let (mut head, mut content_length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            content_length = value.trim().parse().unwrap();
        }
        if line == "\r\n" && head.starts_with("HTTP/1.1 1") {
            head.clear();
        } else if line == "\r\n" {
            break;
        } else {
            head += &line;
        }
    }
    let mut body = vec![0; content_length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// The value of a header field, by its name in any case.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(field_name, _)| field_name.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// An entry of the endpoint list at the address of a scripted executor.
pub fn entry(name: &str, executor: &Executor, state: &str) -> Value {
    entry_at(name, executor.addr, state)
}

/// An entry of the endpoint list.
pub fn entry_at(name: &str, addr: SocketAddr, state: &str) -> Value {
    let addr = addr.to_string();
    json!({"id": name, "addr": addr, "zone": "z", "kind": "k", "cell": 0, "state": state})
}

/// An endpoint list as discovery sends it: a snapshot, or the changes since the previous version.
pub fn list(version: u64, is_snapshot: bool, entries: &[Value]) -> String {
    json!({"version": version, "full": is_snapshot, "servers": entries}).to_string()
}

/// Settings with an idempotent class, `render`, and an at-most-once class, `publish`.
pub fn settings() -> Value {
    let request_class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key_scope": "all", "hard_limit": 30_000_000,
            "promised_turnaround": 500_000, "credit": 1.0, "window": 1_000_000})
    };
    json!({"balancers": 1, "me": 0, "zone": 0, "failure_domains": ["z"], "kinds": ["k"],
        "limits": {"max_allocations": 3, "connect_timeout": 250_000, "conn_idle": 5_000_000,
            "retry_after": true},
        "contract": {"drain_grace": 500_000}, "load_info": {"fields": ["depth", "x0"], "source": "pull"},
        "project_types": [request_class("render", "safe"), request_class("publish", "unsafe")]})
}

/// The [`settings`] with this limit on the attempts of a request.
pub fn settings_with_max_attempts(max_attempts: u64) -> Value {
    let mut settings = settings();
    settings["limits"]["max_allocations"] = json!(max_attempts);
    settings
}

/// Writes a file under a name that no other test uses, and returns its path.
pub fn write_config_file(text: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = format!("{}/config-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts a node's process with this configuration file and log filter.
pub fn spawn_node(config_path: &str, log_filter: &str) -> Child {
    spawn_node_with_operator_file(config_path, log_filter, "")
}

/// As [`spawn_node`], with an operator's file unless its path is empty.
pub fn spawn_node_with_operator_file(config_path: &str, log_filter: &str, operator_file: &str) -> Child {
    spawn_customized_node(config_path, log_filter, operator_file, |_| ())
}

/// As [`spawn_node_with_operator_file`], after `customize` has changed the command.
pub fn spawn_customized_node(
    config_path: &str,
    log_filter: &str,
    operator_file: &str,
    customize: impl FnOnce(&mut Command),
) -> Child {
    let mut program = Command::new(env!("CARGO_BIN_EXE_troutknotd"));
    program
        .env("ROUTER_CONFIG", config_path)
        .env("TROUTKNOT_FILE", operator_file)
        .env("TROUTKNOT_LOG", log_filter)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    customize(&mut program);
    program.spawn().unwrap()
}

/// A node's process, which is killed when this is dropped.
pub struct Node {
    pub process: Child,
    pub addr: SocketAddr,
    /// Lines of the log that no test has read yet.
    pub log: Receiver<String>,
    /// Log lines that [`Node::wait_for_log`] read before those that it returned.
    pub skipped_lines: Mutex<Vec<String>>,
    pub config: Value,
    pub config_path: String,
}

impl Node {
    /// Starts a node with the default settings, and returns once it is ready.
    pub fn start(discovery: &Discovery) -> Self {
        Node::start_with_limits(discovery, (256, 64), settings(), "info")
    }

    /// As [`Node::start_with_operator_file`], without a cached list or an operator's file.
    pub fn start_with_limits(
        discovery: &Discovery,
        limits: (u64, u64),
        settings: Value,
        log_filter: &str,
    ) -> Self {
        Node::start_with_operator_file(discovery.addr, limits, settings, log_filter, Value::Null, "")
    }

    /// Starts a node with a cached endpoint list, and with an operator's file unless its path is empty. The limits
    /// are the number of sockets and the memory in MB. Returns once the node is ready.
    pub fn start_with_operator_file(
        discovery: SocketAddr,
        limits: (u64, u64),
        settings: Value,
        log_filter: &str,
        cached_list: Value,
        operator_file: &str,
    ) -> Self {
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": limits.1, "sockets": limits.0},
            "settings": settings, "known": cached_list});
        let node = Node::start_from_config(config, |path| {
            spawn_node_with_operator_file(path, log_filter, operator_file)
        });
        wait_until("the node is ready", || node.send_request(HEALTH_CHECK).0 == 200);
        node
    }

    /// Starts a node with this configuration, and returns once it listens.
    pub fn start_from_config(config: Value, spawn: impl FnOnce(&str) -> Child) -> Self {
        let path = write_config_file(&config.to_string());
        let mut process = spawn(&path);
        // A test that does not read the log lets the pipe fill up.
        let (sender, log) = mpsc::sync_channel(64);
        let lines = BufReader::new(process.stdout.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let (addr, skipped_lines) = (([127, 0, 0, 1], 0).into(), Mutex::default());
        let mut node = Node { process, addr, log, skipped_lines, config, config_path: path };
        node.addr = parse_address_field(&node.wait_for_log("node listening"));
        node
    }

    /// Reads the log up to the next line that contains this text, and returns that line.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let line =
                self.log.recv_timeout(deadline - Instant::now()).expect("the log line is written in time");
            if line.contains(text) {
                return line;
            }
            self.skipped_lines.lock().unwrap().push(line);
        }
    }

    /// Opens a connection of a client.
    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    /// Sends a request on a new connection, and returns the status and the response.
    pub fn send_request(&self, request: impl AsRef<[u8]>) -> (u16, Message) {
        send_request(&mut self.connect(), request)
    }

    /// Sends the node's process a signal.
    pub fn signal(&self, name: &str) {
        let mut kill = Command::new("kill");
        assert!(kill.args(["-s", name, &self.process.id().to_string()]).status().unwrap().success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_path, config).unwrap();
        self.signal("HUP");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Parses the field `address` of a log line; panics if the line has none.
pub fn parse_address_field(line: &str) -> SocketAddr {
    let field = line.split_whitespace().find_map(|field| field.strip_prefix("address="));
    field.expect("the line has an address").parse().unwrap()
}

/// A health check of a load balancer.
pub const HEALTH_CHECK: &str = "GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";

/// Reads a response, and returns its status and the message.
pub fn read_response(connection: &mut BufReader<TcpStream>) -> (u16, Message) {
    let (head, body) = read_message(connection).expect("the node responds");
    (head.split(' ').nth(1).unwrap().parse().unwrap(), (head, body))
}

/// Sends a request on an open connection, and returns the status and the response.
pub fn send_request(connection: &mut BufReader<TcpStream>, request: impl AsRef<[u8]>) -> (u16, Message) {
    // The node may respond and close before it has read the complete request.
    let _ = connection.get_mut().write_all(request.as_ref());
    read_response(connection)
}

/// A request of a class with this id, timeout in seconds and body.
pub fn build_request(class: &str, id: &str, timeout: f64, body: &str) -> String {
    format!(
        "POST /{class}/a?b=c HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\n\
         Request-Class: {class}\r\nRequest-Timeout: {timeout}\r\nX-Other: kept\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request id that no test of this process has used yet.
pub fn next_request_id() -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    format!("new-{}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// Starts a scripted executor and a discovery that lists it as `s-1`.
pub fn start_executor_and_discovery() -> (Executor, Discovery) {
    let executor = Executor::start();
    let discovery = Discovery::start(list(7, true, &[entry("s-1", &executor, "Ready")]));
    (executor, discovery)
}
