//! Byte-for-byte record of what a node writes to clients, executors, discovery, Consul and operators.
//!
//! The record is compared with `fixtures/wire_format.txt`, which the program of commit e225944 wrote. To write
//! the fixture anew, run this test with `TROUTKNOT_WIRE_RECORD` set to the file to write and
//! `TROUTKNOT_WIRE_PROGRAM` to the program that writes it; neither is set in an ordinary run.
//!
//! Each line of a message is on a line of its own, escaped, so that its line end is visible. Only these parts of a
//! message are blanked:
//! - the port in `Host: 127.0.0.1:PORT` of a request that the node writes, chosen by the system;
//! - the digits of `Request-Timeout` and `Work-Fence-Age` in a request that the node writes, as they depend on
//!   the time that has passed; the number of decimals stays (`#.###`);
//! - in the answer about a durable request its id, its instants (`"taken_ms":#`), and the `Content-Length`, which
//!   follows from these.
#![allow(clippy::unwrap_used)]
mod common;

use common::{WAIT_TIMEOUT, entry_at, list, settings, wait_until};
use serde_json::{Value, json};
use std::collections::{BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/wire_format.txt");

/// Interval of the empty lines that keep a watch alive.
const WATCH_HEARTBEAT: Duration = Duration::from_millis(500);

/// A change of the bytes on the wire would break clients, executors and operators' tools.
#[test]
fn the_bytes_that_a_node_writes_equal_the_fixture() {
    type Section = (&'static str, fn(&mut Record));
    let sections: &[Section] = &[
        ("clients: answered requests", answered_requests),
        ("clients: rejected and failed requests", rejected_and_failed_requests),
        ("clients: bad requests", bad_requests),
        ("clients: connections", connections),
        ("clients: bad requests, settings without Retry-After", bad_requests_without_retry_after),
        ("clients: too many slow bodies", too_many_slow_bodies),
        ("clients: too many connections", too_many_connections),
        ("clients: a drained node", a_drained_node),
        ("clients: durable requests", durable_requests),
        ("executors: dispatched requests", dispatched_requests),
        ("executors: dispatched durable requests and fences", dispatched_durable_requests),
        ("executors: probes", probes),
        ("discovery: watches", watches),
        ("discovery: blocking queries of Consul", consul_queries),
        ("operators: calls", admin_calls),
    ];
    let records: Vec<String> = thread::scope(|scope| {
        let run = |section: fn(&mut Record)| {
            scope.spawn(move || {
                let mut record = Record::default();
                section(&mut record);
                record.text
            })
        };
        let running: Vec<_> = sections.iter().map(|(_, section)| run(*section)).collect();
        running.into_iter().map(|section| section.join().expect("the section is recorded")).collect()
    });
    let mut actual = String::new();
    for ((title, _), record) in sections.iter().zip(records) {
        writeln!(actual, "# {title}\n{record}").unwrap();
    }
    if let Some(path) = std::env::var_os("TROUTKNOT_WIRE_RECORD") {
        std::fs::write(path, actual).unwrap();
        return;
    }
    let expected = std::fs::read_to_string(FIXTURE).unwrap();
    for (number, (actual, expected)) in actual.lines().zip(expected.lines()).enumerate() {
        assert_eq!(actual, expected, "line {} of the fixture", number + 1);
    }
    assert_eq!(actual, expected);
}

/// The text of one section.
#[derive(Default)]
struct Record {
    text: String,
}

impl Record {
    fn message(&mut self, name: &str, bytes: &[u8]) {
        writeln!(self.text, "\n## {name}").unwrap();
        for line in bytes.split_inclusive(|&byte| byte == b'\n') {
            writeln!(self.text, "{}", line.escape_ascii()).unwrap();
        }
    }

    fn answer(&mut self, name: &str, answer: &Answer) {
        self.message(name, &answer.bytes);
        writeln!(self.text, "-> {}", if answer.is_closed { "closed" } else { "stays open" }).unwrap();
    }

    /// Sends the request on a connection of its own and records the answer.
    fn exchange(&mut self, node: &Node, name: &str, request: impl AsRef<[u8]>) {
        let answer = exchange(node.addr, request);
        self.answer(name, &answer);
    }
}

/// Everything that a connection received for a request, including interim responses.
struct Answer {
    bytes: Vec<u8>,
    is_closed: bool,
}

fn connect(addr: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

fn exchange(addr: SocketAddr, request: impl AsRef<[u8]>) -> Answer {
    let mut connection = connect(addr);
    send(&mut connection, request);
    read_answer(connection)
}

fn send(connection: &mut BufReader<TcpStream>, bytes: impl AsRef<[u8]>) {
    // The node may respond and close before it has read everything.
    let _ = connection.get_mut().write_all(bytes.as_ref());
}

/// Reads the final answer, then whether the connection stays open: it does if it serves another request.
fn read_answer(mut connection: BufReader<TcpStream>) -> Answer {
    let mut bytes = Vec::new();
    loop {
        let head = read_message(&mut connection, &mut bytes);
        let Some(head) = head else { return Answer { bytes, is_closed: true } };
        if !head.starts_with("HTTP/1.1 1") {
            break;
        }
    }
    send(&mut connection, "GET /unknown HTTP/1.1\r\nHost: n\r\n\r\n");
    let mut next = Vec::new();
    let _ = connection.read_to_end(&mut next);
    let is_closed = next.is_empty();
    let follows = next.starts_with(b"HTTP/1.1 404 Not Found\r\n");
    assert!(is_closed || follows, "only a response follows: {}", next.escape_ascii());
    Answer { bytes, is_closed }
}

/// Appends one message as it was received, its body by `Content-Length`, and returns its head; none at the end of the
/// stream.
fn read_message(connection: &mut impl BufRead, bytes: &mut Vec<u8>) -> Option<String> {
    let (mut head, mut length) = (Vec::new(), 0);
    while !head.ends_with(b"\r\n\r\n") {
        let before = head.len();
        if connection.read_until(b'\n', &mut head).ok().filter(|&count| count > 0).is_none() {
            bytes.extend(head);
            return None;
        }
        let line = String::from_utf8_lossy(&head[before..]).to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    let is_complete = connection.read_exact(&mut body).is_ok();
    bytes.extend(&head);
    bytes.extend(body);
    is_complete.then(|| String::from_utf8_lossy(&head).into_owned())
}

/// What an executor writes for one dispatched request; `{id}` stands for the request's id.
#[derive(Clone)]
enum Reply {
    Raw(&'static str),
    /// Closes the connection without an answer.
    Close,
    /// Writes nothing until the test releases it, then the raw answer.
    Hold(Arc<Mutex<mpsc::Receiver<()>>>, &'static str),
    /// Writes nothing until the node closes the connection.
    Silent,
}

const DONE: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nX-Executor: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
const DONE_LINES: &str = "{\"id\":\"{id}\",\"state\":\"started\"}\n{\"id\":\"{id}\",\"state\":\"running\",\"share\":0.4}\n\
     {\"id\":\"{id}\",\"state\":\"done\",\"result\":\"rrr\"}\n";
const LOST: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"id\":\"{id}\",\"state\":\"lost\"}\n";
const JSON_RESULT: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"id\":\"{id}\",\"state\":\"done\",\"result\":{\"b\": [1, \"\u{e9}\"]}}\n";
const ESCAPED_RESULT: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"a\\n\\u00e9\"}\n";
const EMPTY_RESULT: &str =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"\"}\n";
const FAILED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"id\":\"{id}\",\"state\":\"failed\"}\n";
const STATUS_500: &str = "HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n";
const NOT_STARTED: &str = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

/// The replies of an executor, and the requests that it has received.
#[derive(Default)]
struct ExecutorScript {
    /// Replies to the next dispatched requests; after that every request completes.
    replies: Mutex<VecDeque<Reply>>,
    /// Bodies of the next responses to fence requests; after that no attempt has started.
    attempt_states: Mutex<VecDeque<&'static str>>,
    /// Dispatched requests and fence requests.
    requests: Mutex<Vec<Vec<u8>>>,
    probes: Mutex<Vec<Vec<u8>>>,
}

/// An executor on raw sockets that records every byte of the requests to it.
struct Executor {
    addr: SocketAddr,
    script: Arc<ExecutorScript>,
}

impl Executor {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let script: Arc<ExecutorScript> = Arc::default();
        let executor = Executor { addr, script: script.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let script = script.clone();
                thread::spawn(move || {
                    let mut connection = BufReader::new(stream.unwrap());
                    while script.serve(&mut connection).is_some() {}
                });
            }
        });
        executor
    }

    fn queue_replies(&self, replies: impl IntoIterator<Item = Reply>) {
        self.script.replies.lock().unwrap().extend(replies);
    }

    fn wait_for(&self, count: usize) {
        wait_until("requests arrive", || self.script.requests.lock().unwrap().len() >= count);
    }

    fn take_requests(&self) -> Vec<Vec<u8>> {
        std::mem::take(&mut *self.script.requests.lock().unwrap())
    }
}

impl ExecutorScript {
    /// Serves one request; none once the connection is closed.
    fn serve(&self, connection: &mut BufReader<TcpStream>) -> Option<()> {
        let mut bytes = Vec::new();
        let head = read_message(connection, &mut bytes)?;
        if head.starts_with("GET ") {
            self.probes.lock().unwrap().push(bytes);
            return connection.get_mut().write_all(&ok_with_body("queue=0,x0=8")).ok();
        }
        if head.starts_with("POST /_fence ") {
            let attempt_state =
                self.attempt_states.lock().unwrap().pop_front().unwrap_or("{\"state\":\"never\"}");
            self.requests.lock().unwrap().push(bytes);
            return connection.get_mut().write_all(&ok_with_body(attempt_state)).ok();
        }
        let id = head.lines().find_map(|line| line.strip_prefix("Request-Id: ")).unwrap_or("");
        // The reply is chosen before the test can see the request, so that it may list the next one.
        let reply = self.replies.lock().unwrap().pop_front();
        self.requests.lock().unwrap().push(bytes);
        match reply {
            None => write_completion(connection, id),
            Some(reply) => reply.write(connection, id),
        }
    }
}

fn ok_with_body(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn write_completion(connection: &mut BufReader<TcpStream>, id: &str) -> Option<()> {
    let lines = DONE_LINES.replace("{id}", id);
    let chunked = format!("{DONE}{:x}\r\n{lines}\r\n0\r\n\r\n", lines.len());
    connection.get_mut().write_all(chunked.as_bytes()).ok()
}

impl Reply {
    /// Writes the reply; none if the connection is closed after it.
    fn write(self, connection: &mut BufReader<TcpStream>, id: &str) -> Option<()> {
        let raw = match self {
            Reply::Close => return None,
            Reply::Raw(raw) => raw,
            Reply::Hold(release, raw) => {
                let _ = release.lock().unwrap().recv();
                raw
            }
            Reply::Silent => {
                let _ = connection.read_to_end(&mut Vec::new());
                return None;
            }
        };
        connection.get_mut().write_all(raw.replace("{id}", id).as_bytes()).ok()?;
        (!raw.contains("Connection: close")).then_some(())
    }
}

/// Discovery on raw sockets: a watch gets the list at once and then empty lines, until the test ends it.
struct Discovery {
    addr: SocketAddr,
    requests: Arc<Mutex<Vec<Vec<u8>>>>,
    end_watch: mpsc::Sender<()>,
}

impl Discovery {
    fn start(lists: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
        let (end_watch, watch_ended) = mpsc::channel();
        let seen = requests.clone();
        thread::spawn(move || {
            let mut lists = lists.into_iter().cycle();
            for stream in listener.incoming() {
                let mut connection = BufReader::new(stream.unwrap());
                let mut bytes = Vec::new();
                if read_message(&mut connection, &mut bytes).is_none() {
                    continue;
                }
                seen.lock().unwrap().push(bytes);
                let mut stream = connection.into_inner();
                let mut text = format!("HTTP/1.1 200 OK\r\n\r\n{}\n", lists.next().unwrap());
                while stream.write_all(text.as_bytes()).is_ok() {
                    if watch_ended.recv_timeout(WATCH_HEARTBEAT) != Err(mpsc::RecvTimeoutError::Timeout) {
                        break;
                    }
                    text = "\n".into();
                }
            }
        });
        Discovery { addr, requests, end_watch }
    }
}

/// A node as a process. Unlike that of the other tests it does not depend on the text of the log, so that the program
/// of an earlier commit can write the fixture.
struct Node {
    process: Child,
    addr: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A node with its executor and its discovery.
struct Site {
    node: Node,
    executor: Executor,
    discovery: Discovery,
    admin: SocketAddr,
}

/// Configuration of a site.
struct SiteConfig {
    settings: Value,
    memory_mb: u64,
    sockets: u64,
    /// The text of the operator's file; none is written if it is empty.
    operator_file: String,
}

impl Default for SiteConfig {
    fn default() -> Self {
        let mut settings = settings();
        let tenant = |name: &str| json!({"name": name, "quota_per_s": 1000.0});
        settings["customers"] = json!([tenant("choir"), tenant("band")]);
        SiteConfig { settings, memory_mb: 64, sockets: 256, operator_file: String::new() }
    }
}

impl Site {
    fn start(config: SiteConfig) -> Self {
        let executor = Executor::start();
        let entries = [entry_at("s-1", executor.addr, "Ready")];
        let discovery = Discovery::start(vec![list(7, true, &entries)]);
        let admin = free_address();
        let node = start_node(discovery.addr, admin, config);
        Site { node, executor, discovery, admin }
    }
}

/// An address that no other node has: a loopback host of this process, and a port that the system never chooses.
///
/// Whether it is free is not tested by listening on it, as a process that is started at that moment would inherit the
/// listener and keep it open.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    ([127, 64 + high % 64, middle, low], port).into()
}

fn start_node(discovery: SocketAddr, admin: SocketAddr, config: SiteConfig) -> Node {
    let operator_file = match config.operator_file.as_str() {
        "" => String::new(),
        text => common::write_config_file(text),
    };
    let addr = free_address();
    let document = json!({"name": "n0", "listen": addr.to_string(), "discovery": discovery.to_string(),
        "management": admin.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": config.memory_mb, "sockets": config.sockets},
        "settings": config.settings, "known": null});
    let program = std::env::var_os("TROUTKNOT_WIRE_PROGRAM").filter(|_| is_recording());
    let mut command = Command::new(program.unwrap_or_else(|| env!("CARGO_BIN_EXE_troutknotd").into()));
    command
        .env("ROUTER_CONFIG", common::write_config_file(&document.to_string()))
        .env("TROUTKNOT_FILE", operator_file);
    let node = Node { process: command.stdout(Stdio::null()).spawn().unwrap(), addr };
    wait_until("the node listens", || TcpStream::connect(addr).is_ok());
    wait_until("the node is ready", || status(&exchange(addr, common::HEALTH_CHECK)) == "200");
    node
}

fn is_recording() -> bool {
    std::env::var_os("TROUTKNOT_WIRE_RECORD").is_some()
}

fn status(answer: &Answer) -> String {
    String::from_utf8_lossy(answer.bytes.get(9..12).unwrap_or(b"")).into_owned()
}

/// A valid request with an id that no other request has.
fn valid_request(class: &str) -> String {
    format!(
        "POST /{class}/a?b=c HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {}\r\nRequest-Timeout: 5\r\n\
         Content-Length: 0\r\n\r\n",
        next_request_id()
    )
}

fn next_request_id() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    format!("id-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The request with other fields in place of its `Content-Length`, and a body.
fn with_body(request: &str, framing: &str, body: &str) -> String {
    request.replace("Content-Length: 0", framing) + body
}

/// The request with one more field.
fn with_field(request: &str, line: &str) -> String {
    request.replace("Content-Length", &format!("{line}\r\nContent-Length"))
}

fn answered_requests(record: &mut Record) {
    let Site { node, executor, .. } = &Site::start(SiteConfig::default());
    record.exchange(node, "health", common::HEALTH_CHECK);
    record.exchange(node, "health, by another method", common::HEALTH_CHECK.replace("GET", "PUT"));
    record.exchange(node, "result", valid_request("render"));
    record.exchange(node, "result, path of the class alone", valid_request("render").replace("/a?b=c", ""));
    record.exchange(node, "result, HTTP/1.0", valid_request("render").replace("HTTP/1.1", "HTTP/1.0"));
    let keep_alive = with_field(&valid_request("render"), "Connection: keep-alive");
    record.exchange(node, "result, HTTP/1.0 that stays open", keep_alive.replace("HTTP/1.1", "HTTP/1.0"));
    record.exchange(
        node,
        "result, the client closes",
        with_field(&valid_request("render"), "Connection: close"),
    );
    let chunked = with_body(
        &valid_request("render"),
        "Transfer-Encoding: chunked",
        "3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n",
    );
    record.exchange(node, "result, chunked request", chunked);
    let expects = with_body(&valid_request("render"), "Expect: 100-continue\r\nContent-Length: 2", "");
    let mut connection = connect(node.addr);
    send(&mut connection, expects);
    let mut interim = Vec::new();
    read_message(&mut connection, &mut interim);
    record.message("interim answer to Expect: 100-continue", &interim);
    send(&mut connection, "ab");
    record.answer("result after it", &read_answer(connection));
    for (name, reply) in
        [("JSON result", JSON_RESULT), ("escaped result", ESCAPED_RESULT), ("empty result", EMPTY_RESULT)]
    {
        executor.queue_replies([Reply::Raw(reply)]);
        record.exchange(node, name, valid_request("render"));
    }
    executor.queue_replies([Reply::Raw(LOST)]);
    record.exchange(node, "result of a second attempt", valid_request("render"));
    executor.queue_replies([Reply::Raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]);
    record.exchange(node, "result after an empty answer", valid_request("render"));
}

fn rejected_and_failed_requests(record: &mut Record) {
    let Site { node, executor, .. } = &Site::start(SiteConfig::default());
    executor.queue_replies([NOT_STARTED; 3].map(Reply::Raw));
    record.exchange(node, "idempotent, rejected by executors", valid_request("render"));
    executor.queue_replies([NOT_STARTED; 3].map(Reply::Raw));
    record.exchange(node, "not idempotent, rejected by executors", valid_request("publish"));
    executor.queue_replies([STATUS_500; 3].map(Reply::Raw));
    record.exchange(node, "idempotent, failed by executors", valid_request("render"));
    executor.queue_replies([Reply::Raw(FAILED)]);
    record.exchange(node, "not idempotent, failed by the executor", valid_request("publish"));
    executor.queue_replies([Reply::Raw(STATUS_500)]);
    record.exchange(node, "not idempotent, status 500", valid_request("publish"));
    executor.queue_replies([Reply::Close]);
    record.exchange(node, "not idempotent, connection lost", valid_request("publish"));
    // Only the request that is not idempotent has one possible answer: this close to the client's deadline, an
    // idempotent one could have either.
    executor.queue_replies([Reply::Silent]);
    let short_timeout = valid_request("publish").replace("Request-Timeout: 5", "Request-Timeout: 1");
    record.exchange(node, "not idempotent, timed out", short_timeout);
}

fn bad_requests(record: &mut Record) {
    let Site { node, executor, .. } = &Site::start(SiteConfig::default());
    let mut slow: Vec<_> = [
        ("head without its end", valid_request("render").trim_end().to_string()),
        ("body without its end", with_body(&valid_request("render"), "Content-Length: 2", "a")),
        (
            "chunk without its end",
            with_body(&valid_request("render"), "Transfer-Encoding: chunked", "5\r\nab"),
        ),
        ("a wait for 100 Continue without a body", {
            with_body(&valid_request("render"), "Expect: 100-continue\r\nContent-Length: 2", "")
        }),
    ]
    .map(|(name, request)| {
        let mut connection = connect(node.addr);
        send(&mut connection, request);
        (name, connection)
    })
    .into();
    for (name, request) in bad_heads().into_iter().chain(bad_bodies()) {
        record.exchange(node, name, request);
    }
    let received = executor.script.requests.lock().unwrap().len();
    let repeated = valid_request("render");
    assert_eq!(status(&exchange(node.addr, &repeated)), "200");
    record.exchange(node, "repeated id", &repeated);
    let (release, wait) = mpsc::channel();
    executor.queue_replies([Reply::Hold(Arc::new(Mutex::new(wait)), STATUS_500)]);
    let mut open = connect(node.addr);
    let request = valid_request("publish");
    send(&mut open, &request);
    executor.wait_for(received + 2);
    record.exchange(node, "id of an open request", &request);
    release.send(()).unwrap();
    assert_eq!(status(&read_answer(open)), "502");
    for (name, connection) in slow.drain(..) {
        record.answer(name, &read_answer(connection));
    }
}

fn bad_heads() -> Vec<(&'static str, String)> {
    let request = || valid_request("render");
    let replaced = |from: &str, to: &str| request().replace(from, to);
    let added = |line: &str| with_field(&request(), line);
    let with_id_line = |id: &str| {
        let request = request();
        let line = request.lines().find(|line| line.starts_with("Request-Id")).unwrap().to_string();
        request.replace(&format!("{line}\r\n"), id)
    };
    vec![
        ("not HTTP", "\x01\x02 what\r\n\r\n".into()),
        ("HTTP/2.0", replaced("HTTP/1.1", "HTTP/2.0")),
        ("no host", replaced("Host: app.svc\r\n", "")),
        ("two hosts", added("Host: app.svc")),
        ("field without a colon", added("X-Field")),
        ("space before the colon", added("X-Field : a")),
        ("folded field", added("X-Field: a\r\n b")),
        ("head too large", added(&format!("X-Field: {}", "x".repeat(17 * 1024)))),
        ("too many fields", added("Y: y\r\n".repeat(80).trim_end())),
        ("root path", replaced("/render/a?b=c", "/")),
        ("unknown path", replaced("/render/a", "/unknown/a")),
        ("path of another case", replaced("/render/a", "/Render/a")),
        ("path under health", replaced("/render/a", "/_health/a")),
        ("path of durable requests", replaced("/render/a", "/_work/a")),
        ("target without a slash", replaced("/render/a", "render/a")),
        ("target *", replaced("/render/a?b=c", "*")),
        ("absolute target", replaced("/render/a", "http://app.svc/render/a")),
        ("target that is not ASCII", replaced("/render/a", "/render/\u{e9}")),
        ("GET", replaced("POST", "GET")),
        ("PUT", replaced("POST", "PUT")),
        ("HEAD", replaced("POST", "HEAD")),
        ("lower-case method", replaced("POST", "post")),
        ("class of another path", added("Request-Class: publish")),
        ("two classes", added("Request-Class: render\r\nRequest-Class: render")),
        ("class that is no text", added("Request-Class: render").replace("s: render", "s: \u{7f}")),
        ("no id", with_id_line("")),
        ("empty id", with_id_line("Request-Id: \r\n")),
        ("two ids", with_id_line("Request-Id: a\r\nRequest-Id: b\r\n")),
        ("id with a space", with_id_line("Request-Id: a b\r\n")),
        ("id that is not ASCII", with_id_line("Request-Id: \u{e9}\r\n")),
        ("id too long", with_id_line(&format!("Request-Id: {}\r\n", "a".repeat(65)))),
        ("unknown tenant", added("Tenant: orchestra")),
        ("two tenants", added("Tenant: choir\r\nTenant: band")),
        ("word as time to wait", replaced("Timeout: 5", "Timeout: soon")),
        ("empty time to wait", replaced("Timeout: 5", "Timeout: ")),
        ("no time to wait", replaced("Timeout: 5", "Timeout: 0")),
        ("negative time to wait", replaced("Timeout: 5", "Timeout: -5")),
        ("exponent in the time to wait", replaced("Timeout: 5", "Timeout: 1e1")),
        ("endless time to wait", replaced("Timeout: 5", "Timeout: inf")),
        ("too long a time to wait", replaced("Timeout: 5", "Timeout: 1000000")),
        ("two times to wait", added("Request-Timeout: 5")),
        ("slots that are no number", added("Request-Info: slots=NaN")),
        ("slots as a word", added("Request-Info: memory=1,slots=many")),
        ("negative slots", added("Request-Info: slots=-1")),
        ("too many slots", added("Request-Info: slots=1000000")),
        ("memory as a word", added("Request-Info: slots=1, memory=much")),
        ("two Request-Info fields", added("Request-Info: slots=1\r\nRequest-Info: slots=1")),
        ("two retry marks", added("Client-Retry: 1\r\nClient-Retry: 1")),
    ]
}

fn bad_bodies() -> Vec<(&'static str, String)> {
    let framed = |framing: &str, body: &str| with_body(&valid_request("render"), framing, body);
    let chunked = |body: &str| framed("Transfer-Encoding: chunked", body);
    vec![
        ("negative length", framed("Content-Length: -1", "")),
        ("length that is no number", framed("Content-Length: two", "")),
        ("signed length", framed("Content-Length: +2", "ab")),
        ("two lengths", framed("Content-Length: 0\r\nContent-Length: 5", "")),
        ("list of lengths", framed("Content-Length: 2, 2", "ab")),
        ("length and coding", framed("Content-Length: 0\r\nTransfer-Encoding: chunked", "0\r\n\r\n")),
        ("unknown coding", framed("Transfer-Encoding: gzip", "")),
        ("two codings", framed("Transfer-Encoding: gzip, chunked", "")),
        ("two fields of codings", framed("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "")),
        ("body too large", framed("Content-Length: 65537", "ab")),
        ("length of many digits", framed("Content-Length: 1111111111111111", "")),
        ("chunk too large", chunked("10001\r\nab")),
        ("chunk of many digits", chunked("fffffffffffffffff\r\nab")),
        ("chunks too large together", chunked(&format!("8000\r\n{}\r\n8001\r\nab", "x".repeat(0x8000)))),
        ("chunk size that is no number", chunked("xyz\r\n")),
        ("chunk without its end", chunked("2\r\nabcd\r\n")),
        ("chunk extension too long", chunked(&format!("2;{}", "x".repeat(300)))),
    ]
}

fn connections(record: &mut Record) {
    let Site { node, executor, .. } = &Site::start(SiteConfig::default());
    for (name, sent) in [
        ("end before a request", String::new()),
        ("end in a head", "POST /render HTTP/1.1\r\n".into()),
        ("end in a body", with_body(&valid_request("render"), "Content-Length: 5", "ab")),
        ("end in a chunk", with_body(&valid_request("render"), "Transfer-Encoding: chunked", "5\r\nab")),
    ] {
        let mut connection = connect(node.addr);
        send(&mut connection, sent);
        connection.get_ref().shutdown(Shutdown::Write).unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes);
        record.answer(name, &Answer { bytes, is_closed: true });
    }
    executor.queue_replies([Reply::Silent]);
    let mut connection = connect(node.addr);
    send(&mut connection, valid_request("render"));
    executor.wait_for(1);
    connection.get_ref().shutdown(Shutdown::Write).unwrap();
    let mut bytes = Vec::new();
    let _ = connection.read_to_end(&mut bytes);
    record.answer("end before the answer", &Answer { bytes, is_closed: true });
    let mut connection = connect(node.addr);
    send(
        &mut connection,
        valid_request("render")
            + &valid_request("render")
            + &valid_request("unknown")
            + &valid_request("render"),
    );
    let mut bytes = Vec::new();
    let _ = connection.read_to_end(&mut bytes);
    record.answer("four requests at once, the third one bad", &Answer { bytes, is_closed: true });
}

fn bad_requests_without_retry_after(record: &mut Record) {
    let mut config = SiteConfig::default();
    config.settings["limits"]["retry_after"] = json!(false);
    let Site { node, executor, .. } = &Site::start(config);
    executor.queue_replies([NOT_STARTED; 3].map(Reply::Raw));
    record.exchange(node, "rejected by executors", valid_request("render"));
    record.exchange(node, "unknown path", valid_request("unknown"));
    record.exchange(node, "no id", valid_request("render").replace("Request-Id", "X-Id"));
}

fn too_many_slow_bodies(record: &mut Record) {
    let Site { node, .. } = &Site::start(SiteConfig { memory_mb: 16, ..SiteConfig::default() });
    let mut waiting = Vec::new();
    // Each interim response shows that the node waits for a body.
    while waiting.len() < 64 {
        let mut connection = connect(node.addr);
        send(
            &mut connection,
            with_body(&valid_request("render"), "Expect: 100-continue\r\nContent-Length: 2", ""),
        );
        let mut bytes = Vec::new();
        let head = read_message(&mut connection, &mut bytes).expect("a response");
        if !head.starts_with("HTTP/1.1 100 ") {
            record.message("body that would be one too many", &bytes);
            return;
        }
        waiting.push(connection);
    }
    panic!("the node waits for 64 bodies at once");
}

fn too_many_connections(record: &mut Record) {
    let Site { node, .. } = &Site::start(SiteConfig { sockets: 64, ..SiteConfig::default() });
    // Each connection has had an answer and has started a second request, so that none of them is evicted.
    let mut open = Vec::new();
    while open.len() < 256 {
        let mut connection = connect(node.addr);
        send(&mut connection, valid_request("render"));
        let mut bytes = Vec::new();
        let head = read_message(&mut connection, &mut bytes).expect("a response");
        if head.starts_with("HTTP/1.1 503 ") {
            let is_closed = connection.read_to_end(&mut bytes).is_ok();
            record.answer("one client too many", &Answer { bytes, is_closed });
            return;
        }
        send(&mut connection, "POST");
        open.push(connection);
    }
    panic!("the node serves 256 clients at once");
}

fn a_drained_node(record: &mut Record) {
    let Site { node, admin, .. } = &Site::start(SiteConfig::default());
    let drain = "PUT /v1/node/drain HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(status(&exchange(*admin, drain)), "200");
    record.exchange(node, "health", common::HEALTH_CHECK);
    let mut last = None;
    wait_until("requests are rejected", || {
        let answer = exchange(node.addr, valid_request("render"));
        let is_rejected = status(&answer) == "503";
        last = Some(answer);
        is_rejected
    });
    record.answer("request", &last.unwrap());
}

/// A site with a ledger, which records each request of the class `publish`.
fn durable_config(extra_lines: &str) -> SiteConfig {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = format!("{}/wire-{}-{number}.ledger", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let _ = std::fs::remove_file(&path);
    let operator_file = format!("[durable]\npath = \"{path}\"\n{extra_lines}\n");
    SiteConfig { operator_file, ..SiteConfig::default() }
}

fn durable_requests(record: &mut Record) {
    let Site { node, executor, .. } = &Site::start(durable_config(""));
    let keyed = |key: &str| with_field(&valid_request("publish"), &format!("Idempotency-Key: {key}"));
    let status_query = |id: &str| format!("GET /_work/{id} HTTP/1.1\r\nHost: n\r\n\r\n");
    record.exchange(node, "health", common::HEALTH_CHECK);
    let first = keyed("k1").replace("Request-Id: ", "Request-Id: first-");
    record.exchange(node, "result", &first);
    record.exchange(node, "the same key", keyed("k1"));
    record.exchange(node, "the same key, another body", with_body(&keyed("k1"), "Content-Length: 1", "x"));
    record.exchange(node, "the same id without its key", first.replace("Idempotency-Key", "X-Key"));
    record.exchange(node, "empty key", keyed(""));
    record.exchange(node, "key too long", keyed(&"k".repeat(256)));
    record.exchange(node, "two keys", with_field(&keyed("k2"), "Idempotency-Key: k2"));
    executor.queue_replies([Reply::Raw(STATUS_500)]);
    record.exchange(node, "failed", keyed("k3"));
    record.exchange(node, "unknown request", status_query("unknown"));
    let id = first.lines().find_map(|line| line.strip_prefix("Request-Id: ")).unwrap();
    let mut answer = exchange(node.addr, status_query(id));
    answer.bytes = blank_instants(&answer.bytes, id);
    record.answer("known request", &answer);
    record.exchange(node, "known request by another method", status_query(id).replace("GET", "PUT"));
}

/// Blanks the instants of an answer about a request, and the request's id, whose number is the test's.
fn blank_instants(bytes: &[u8], id: &str) -> Vec<u8> {
    let text = String::from_utf8_lossy(bytes).replace(id, "ID");
    let mut blanked = String::new();
    let mut rest = text.as_str();
    while let Some(at) = rest.find("_ms\":") {
        let (before, after) = rest.split_at(at + "_ms\":".len());
        let after_digits = after.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
        write!(blanked, "{before}{}", if after_digits.len() < after.len() { "#" } else { "" }).unwrap();
        rest = after_digits;
    }
    // The body's length varies with the digits.
    let blanked = blanked + rest;
    let head = blanked.find("Content-Length: ").expect("a length") + "Content-Length: ".len();
    let (before, after) = blanked.split_at(head);
    format!("{before}#{}", after.trim_start_matches(|c: char| c.is_ascii_digit())).into_bytes()
}

/// Blanks the parts that vary in a request that a node writes, as the head of this file states.
fn blank_request(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n").expect("a complete head");
    let blank_line = |line: &str| match line.split_once(": ") {
        Some(("Host", value)) if value.starts_with("127.0.0.1:") => "Host: 127.0.0.1:PORT".to_string(),
        Some((name @ ("Request-Timeout" | "Work-Fence-Age"), value)) => {
            format!("{name}: {}", blank_decimal(value))
        }
        _ => line.to_string(),
    };
    let lines: Vec<String> = head.split("\r\n").map(blank_line).collect();
    format!("{}\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}

/// A `#` for all digits before the point, and one for each after it.
fn blank_decimal(text: &str) -> String {
    let (integer, decimals) =
        text.split_once('.').map_or((text, None), |(integer, rest)| (integer, Some(rest)));
    assert!(integer.bytes().all(|b| b.is_ascii_digit()) && !integer.is_empty(), "{text}");
    match decimals {
        Some(decimals) => format!("#.{}", decimals.replace(|c: char| c.is_ascii_digit(), "#")),
        None => "#".into(),
    }
}

fn record_requests(record: &mut Record, name: &str, requests: &[Vec<u8>]) {
    for (number, request) in requests.iter().enumerate() {
        let name = if requests.len() > 1 { format!("{name}, {}", number + 1) } else { name.to_string() };
        record.message(&name, &blank_request(request));
    }
}

fn dispatched_requests(record: &mut Record) {
    let Site { node, executor, .. } = &Site::start(SiteConfig::default());
    // Fields of unusual case and order, those of the connection, and those that the node writes itself.
    let all_fields = "POST /render/a?b=c&d HTTP/1.1\r\nhost: app.svc\r\nX-First:  a  b \r\nREQUEST-ID: all\r\n\
        request-class: render\r\ntenant: band\r\nrequest-timeout: 5.0\r\nclient-retry: 1\r\n\
        Request-Info: slots=2, memory=3,other=x\r\nConnection: X-Hop, keep-alive\r\nx-hop: a\r\nKeep-Alive: a\r\n\
        Proxy-Connection: a\r\nTE: a\r\nTrailer: a\r\nUpgrade: a\r\nExpect: a\r\nWork-Fence: 9\r\n\
        Work-Fence-Age: 9\r\nWork-Lease: 9\r\nX-Twice: a\r\nX-Twice: b\r\nX-Empty:\r\nX-Utf8: \u{e9}\r\n\
        Idempotency-Key: k\r\nCookie: a=b\r\nAuthorization: c\r\ncontent-length: 4\r\n\r\nbody";
    let cases: Vec<(&str, String)> = vec![
        ("no body", valid_request_with_id("plain")),
        ("all fields", all_fields.into()),
        ("class in a field", with_field(&valid_request_with_id("class"), "Request-Class: render")),
        ("no time to wait", valid_request_with_id("endless").replace("Request-Timeout: 5\r\n", "")),
        ("no length", valid_request_with_id("no-length").replace("Content-Length: 0\r\n", "")),
        ("length with zeros", with_body(&valid_request_with_id("zeros"), "Content-Length: 0003", "abc")),
        (
            "two equal lengths",
            with_body(&valid_request_with_id("equal"), "Content-Length: 1\r\nContent-Length: 1", "a"),
        ),
        ("chunked", {
            let body = "3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nX-Trailer: a\r\n\r\n";
            with_body(&valid_request_with_id("chunked"), "Transfer-Encoding: chunked", body)
        }),
        (
            "lower-case coding",
            with_body(&valid_request_with_id("coding"), "transfer-encoding: CHUNKED", "0\r\n\r\n"),
        ),
        ("HTTP/1.0 without a host", valid_request_with_id("old").replace("1.1\r\nHost: app.svc", "1.0")),
        ("line feeds alone", valid_request_with_id("feeds").replace("\r\n", "\n")),
        ("path of the class alone", valid_request_with_id("path").replace("/a?b=c", "")),
        ("escapes in the path", valid_request_with_id("escapes").replace("/a?b=c", "/%2F/../x;y?q=%20#f")),
    ];
    for (name, request) in cases {
        assert_eq!(status(&exchange(node.addr, &request)), "200", "{name}");
        record_requests(record, name, &executor.take_requests());
    }
    executor.queue_replies([Reply::Raw(LOST), Reply::Raw(NOT_STARTED)]);
    let request = with_body(&valid_request_with_id("retried"), "Content-Length: 1", "x");
    assert_eq!(status(&exchange(node.addr, request)), "200");
    record_requests(record, "attempts", &executor.take_requests());
}

/// A valid request with an id that is visible in the record.
fn valid_request_with_id(id: &str) -> String {
    format!(
        "POST /render/a?b=c HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Timeout: 5\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn dispatched_durable_requests(record: &mut Record) {
    let request = |id: &str| valid_request_with_id(id).replace("/render", "/publish");
    let Site { node, executor, .. } = &Site::start(durable_config("fences = true"));
    assert_eq!(status(&exchange(node.addr, request("recorded"))), "200");
    record_requests(record, "recorded", &executor.take_requests());
    executor.queue_replies([Reply::Raw(LOST)]);
    assert_eq!(status(&exchange(node.addr, request("lost"))), "200");
    record_requests(record, "lost, never started", &executor.take_requests());
    executor.queue_replies([Reply::Close]);
    executor.script.attempt_states.lock().unwrap().push_back("{\"state\":\"done\",\"result\":\"late\"}");
    record.exchange(node, "connection lost, completed", request("done"));
    record_requests(record, "connection lost, completed", &executor.take_requests());
    executor.queue_replies([Reply::Raw(LOST)]);
    executor.script.attempt_states.lock().unwrap().push_back("{\"state\":\"lost\"}");
    record.exchange(node, "lost", request("unknown"));
    record_requests(record, "lost", &executor.take_requests());
    let leased = Site::start(durable_config("fences = true\nlease = \"900ms\""));
    assert_eq!(status(&exchange(leased.node.addr, request("leased"))), "200");
    record_requests(record, "leased", &leased.executor.take_requests());
    let unfenced = Site::start(durable_config(""));
    assert_eq!(status(&exchange(unfenced.node.addr, request("unfenced"))), "200");
    record_requests(record, "without fences", &unfenced.executor.take_requests());
}

fn probes(record: &mut Record) {
    let mut without_fields = SiteConfig::default();
    without_fields.settings.as_object_mut().unwrap().remove("load_info");
    for (name, config) in
        [("settings with load fields", SiteConfig::default()), ("settings without", without_fields)]
    {
        let Site { node, executor, .. } = &Site::start(config);
        wait_until("probes arrive", || {
            assert_eq!(status(&exchange(node.addr, valid_request("render"))), "200", "{name}");
            executor.script.probes.lock().unwrap().len() >= 2
        });
        let probes: BTreeSet<_> =
            executor.script.probes.lock().unwrap().iter().map(|probe| blank_request(probe)).collect();
        let probes: Vec<_> = probes.into_iter().collect();
        record_requests(record, name, &probes);
    }
}

fn watches(record: &mut Record) {
    let Site { node: _node, discovery, .. } = &Site::start(SiteConfig::default());
    let wait_for =
        |count: usize| wait_until("watches arrive", || discovery.requests.lock().unwrap().len() >= count);
    wait_for(1);
    discovery.end_watch.send(()).unwrap();
    wait_for(2);
    let requests: Vec<_> = discovery.requests.lock().unwrap()[..2].to_vec();
    record_requests(record, "watch", &requests);
}

/// An agent of Consul that lists one executor, and records the queries.
fn start_consul_agent(executor: SocketAddr) -> (SocketAddr, Arc<Mutex<Vec<Vec<u8>>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent = listener.local_addr().unwrap();
    let requests: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
    let seen = requests.clone();
    let (host, port) = (executor.ip().to_string(), executor.port());
    let body = json!([{"Node": {"Node": "m1", "Address": host, "Datacenter": "dc1"},
        "Service": {"ID": "s-1", "Service": "box", "Address": host, "Port": port,
            "Meta": {}, "Weights": {"Passing": 1, "Warning": 1}},
        "Checks": [{"CheckID": "c", "Status": "passing", "ServiceID": "s-1"}]}])
    .to_string();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nX-Consul-LastContact: 0\r\n\
         X-Consul-KnownLeader: true\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut connection = BufReader::new(stream.unwrap());
            let mut bytes = Vec::new();
            if read_message(&mut connection, &mut bytes).is_some() {
                seen.lock().unwrap().push(bytes);
                let _ = connection.get_mut().write_all(answer.as_bytes());
            }
        }
    });
    (agent, requests)
}

fn consul_queries(record: &mut Record) {
    let executor = Executor::start();
    let (agent, requests) = start_consul_agent(executor.addr);
    let token = common::write_config_file("secret\n");
    let operator_file = format!(
        "[lists]\nsources = [\"consul\"]\n[lists.consul]\nagents = [\"{agent}\"]\ntoken_file = \"{token}\"\n\
         wait = \"300ms\"\nconsistency = \"stale\"\n[[lists.consul.services]]\nname = \"box one\"\n\
         datacenter = \"dc1\"\nnamespace = \"ns\"\nfilter = \"Service.Meta.a == \\\"b\\\"\"\n"
    );
    let unbound = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = SiteConfig { operator_file, ..SiteConfig::default() };
    let _node = start_node(unbound, free_address(), config);
    wait_until("queries arrive", || requests.lock().unwrap().len() >= 2);
    let requests: Vec<_> = requests.lock().unwrap()[..2].to_vec();
    record_requests(record, "query", &requests);
}

fn admin_calls(record: &mut Record) {
    let Site { admin, .. } = &Site::start(SiteConfig::default());
    let call = |method: &str, path: &str| {
        exchange(*admin, format!("{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"))
    };
    for (method, path) in [
        ("GET", "/v1/readyz"),
        ("PUT", "/v1/readyz"),
        ("GET", "/v1/unknown"),
        ("PUT", "/v1/executors/s-1/suspend"),
        ("PUT", "/v1/executors/s-1/resume"),
        ("PUT", "/v1/executors/s-2/suspend"),
        ("PUT", "/v1/executors//suspend"),
        ("GET", "/v1/executors/s-1/suspend"),
        ("POST", "/v1/executors"),
        ("GET", "/v1/node/drain"),
    ] {
        record.answer(&format!("{method} {path}"), &call(method, path));
    }
    record.answer("no host", &exchange(*admin, "GET /v1/readyz HTTP/1.1\r\n\r\n"));
    record.answer("not HTTP", &exchange(*admin, "\x01\x02 what\r\n\r\n"));
}
