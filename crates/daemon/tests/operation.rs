//! What operators' staff do to a node that runs: calls, executors out by hand, drains, the next process.
#![allow(clippy::unwrap_used)]
mod common;

use command_fds::{CommandFdExt, FdMapping};
use common::*;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Act, Crowded, Discovery, Executor};

struct Operated {
    node: Node,
    calls: SocketAddr,
}

fn config(discovery: &Discovery, settings: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
        "discovery": discovery.addr.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "settings": settings})
}

impl Operated {
    fn start(discovery: &Discovery, how: impl FnOnce(&mut std::process::Command)) -> Self {
        let config = config(discovery, settings());
        let node = Node::start_from_config(config, |path| spawn_customized_node(path, "info", "", how));
        let line = node.wait_for_log("admin listening");
        let calls = parse_address_field(&line);
        let operated = Operated { node, calls };
        wait_until("it is ready", || operated.call("GET", "/v1/readyz") == 200);
        operated
    }

    fn call(&self, method: &str, path: &str) -> u16 {
        self.say(&format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n"))
    }

    fn say(&self, request: &str) -> u16 {
        let stream = TcpStream::connect(self.calls).unwrap();
        // A caller waits a second.
        stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        send_request(&mut BufReader::new(stream), request).0
    }

    fn health(&self) -> u16 {
        self.node.send_request(HEALTH_CHECK).0
    }
}

fn two_executors() -> ([Executor; 2], Discovery) {
    let executors = [Executor::start(), Executor::start()];
    let entries = [entry("s-1", &executors[0], "Ready"), entry("s-2", &executors[1], "Ready")];
    (executors, Discovery::start(list(7, true, &entries)))
}

/// Which of the executors get work.
fn used(operated: &Operated, executors: &[Executor; 2], count: usize) -> BTreeSet<usize> {
    let mut connection = operated.node.connect();
    for _ in 0..count {
        assert_eq!(
            send_request(&mut connection, build_request("render", &next_request_id(), 3.0, "")).0,
            200
        );
    }
    let seen = |k: &usize| !std::mem::take(&mut *executors[*k].seen.lock().unwrap()).is_empty();
    (0..2).filter(seen).collect()
}

#[test]
fn admin_calls_are_routed_and_unfinished_ones_do_not_block_others() {
    let (_executors, discovery) = two_executors();
    let operated = Operated::start(&discovery, |_| ());
    let _crowd: Vec<_> = (0..40)
        .map(|k| {
            let mut silent = TcpStream::connect(operated.calls).unwrap();
            silent.write_all(&b"GET /v1"[..k % 8]).unwrap();
            silent
        })
        .collect();
    for (request, status) in [
        ("GET /v1/readyz", 200),
        ("PUT /v1/readyz", 405),
        ("GET /v1/metrics", 404),
        ("PUT /v1/executors/s-1/suspend", 200),
        ("PUT /v1/executors/s-1/suspend", 200),
        ("PUT /v1/executors/s-1/resume", 200),
        ("PUT /v1/executors/s-9/suspend", 404),
        ("PUT /v1/executors/s-9/resume", 404),
        ("PUT /v1/node/activate", 200),
    ] {
        assert_eq!(operated.say(&format!("{request} HTTP/1.1\r\nHost: n\r\n\r\n")), status, "{request}");
    }
    assert_eq!(operated.say("what\r\n\r\n"), 400);
}

/// Keeps one processor busy beside what else runs there.
fn spin(on: CpuSet, until: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        sched_setaffinity(None, &on).unwrap();
        while !until.load(Ordering::Relaxed) {
            std::hint::spin_loop();
        }
    })
}

#[test]
fn an_admin_call_is_answered_within_a_second_on_an_overloaded_node() {
    let (_executors, discovery) = two_executors();
    let operated = Operated::start(&discovery, |_| ());
    // A fifth of a processor at most, and as many connections as there may be.
    let all = sched_getaffinity(None).unwrap();
    let first = (0..CpuSet::MAX_CPU).find(|&cpu| all.is_set(cpu)).unwrap();
    let mut one = CpuSet::new();
    one.set(first);
    sched_setaffinity(Pid::from_raw(operated.node.process.id() as i32), &one).unwrap();
    let done: Arc<AtomicBool> = Arc::default();
    let mut busy: Vec<_> = (0..4).map(|_| spin(one, done.clone())).collect();
    let addr = operated.node.addr;
    let _crowd: Vec<_> = (0..256).filter_map(|_| TcpStream::connect(addr).ok()).collect();
    let (worked, served) = mpsc::channel();
    for _ in 0..8 {
        let (done, worked) = (done.clone(), worked.clone());
        busy.push(std::thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let Ok(stream) = TcpStream::connect(addr) else { continue };
                let mut connection = BufReader::new(stream);
                let request = build_request("render", &next_request_id(), 3.0, "");
                while connection.get_mut().write_all(request.as_bytes()).is_ok()
                    && read_message(&mut connection).is_some_and(|(head, _)| !head.contains("close"))
                    && worked.send(()).is_ok()
                    && !done.load(Ordering::Relaxed)
                {}
            }
        }));
    }
    served.recv_timeout(WAIT_TIMEOUT).expect("clients are served");
    let _silent: Vec<_> = (0..40).map(|_| TcpStream::connect(operated.calls).unwrap()).collect();
    let mut slowest = Duration::ZERO;
    for (method, path) in [
        ("GET", "/v1/readyz"),
        ("PUT", "/v1/executors/s-1/suspend"),
        ("PUT", "/v1/executors/s-1/resume"),
        ("PUT", "/v1/node/activate"),
    ]
    .repeat(5)
    {
        let asked = Instant::now();
        assert_eq!(operated.call(method, path), 200, "{path}");
        slowest = slowest.max(asked.elapsed());
    }
    done.store(true, Ordering::Relaxed);
    assert!(slowest < Duration::from_secs(1), "a caller waited {slowest:?}");
    busy.into_iter().for_each(|thread| thread.join().unwrap());
}

#[test]
fn an_exclusion_reaches_an_attempt_that_is_connecting() {
    let (executor, crowded) = (Executor::start(), Crowded::start());
    let named = |name: &str, addr: SocketAddr| {
        let addr = addr.to_string();
        json!({"id": name, "addr": addr, "zone": "z", "kind": "k", "cell": 0, "state": "Ready"})
    };
    let discovery = Discovery::start(list(7, true, &[named("s-1", crowded.addr)]));
    let mut config = config(&discovery, settings());
    // A connection may take longer than the grace; its first try is repeated after a second.
    config["settings"]["limits"]["connect_timeout"] = json!(10_000_000);
    let node = Node::start_from_config(config, |path| spawn_customized_node(path, "debug", "", |_| ()));
    let line = node.wait_for_log("admin listening");
    let calls = parse_address_field(&line);
    let operated = Operated { node, calls };
    wait_until("it is ready", || operated.call("GET", "/v1/readyz") == 200);
    let mut client = operated.node.connect();
    client.get_mut().write_all(build_request("render", &next_request_id(), 9.0, "").as_bytes()).unwrap();
    operated.node.wait_for_log("attempt dispatched executor=s-1 attempt=0 ");
    discovery.lines.send(list(8, false, &[named("s-2", executor.addr)])).unwrap();
    operated.node.wait_for_log("endpoint updated executor=s-2 ");
    assert_eq!(operated.call("PUT", "/v1/executors/s-1/suspend"), 200);
    // It was never sent, so it goes elsewhere once the grace nears its end.
    operated.node.wait_for_log("outcome=NotSent");
    assert_eq!(read_response(&mut client).0, 200);
    assert_eq!(executor.seen.lock().unwrap().len(), 1);
    crowded.go_on.send(()).unwrap();
    let came = crowded.came.join().unwrap();
    assert!(came.is_empty(), "it is out: {}", String::from_utf8_lossy(&came));
}

#[test]
fn an_excluded_executor_gets_nothing_whatever_the_list_says() {
    let (executors, discovery) = two_executors();
    let operated = Operated::start(&discovery, |_| ());
    assert_eq!(used(&operated, &executors, 60), [0, 1].into());
    assert_eq!(operated.call("PUT", "/v1/executors/s-1/suspend"), 200);
    assert_eq!(operated.call("PUT", "/v1/executors/s-1/suspend"), 200);
    assert_eq!(used(&operated, &executors, 30), [1].into(), "out");
    // Gone and back in the list, and so started anew.
    discovery.lines.send(list(8, false, &[json!({"id": "s-1", "state": "Gone"})])).unwrap();
    discovery.lines.send(list(9, false, &[entry("s-1", &executors[0], "Ready")])).unwrap();
    assert_eq!(used(&operated, &executors, 30), [1].into(), "out though it is back in the list");
    assert_eq!(operated.call("PUT", "/v1/executors/s-2/suspend"), 200);
    let asked = Instant::now();
    let (status, (head, _)) =
        operated.node.send_request(build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!(status, 503, "all are out");
    assert!(field(&head, "retry-after").is_some() && asked.elapsed() < Duration::from_secs(1), "{head}");
    assert_eq!(operated.call("PUT", "/v1/executors/s-1/resume"), 200);
    assert_eq!(used(&operated, &executors, 10), [0].into(), "one call back undoes two out");
}

#[test]
fn a_drained_node_is_empty_in_time_and_serves_again_once_activated() {
    let (executors, discovery) = two_executors();
    let operated = Operated::start(&discovery, |_| ());
    let (mut idle, mut busy) = (operated.node.connect(), operated.node.connect());
    for connection in [&mut idle, &mut busy] {
        assert_eq!(send_request(connection, build_request("render", &next_request_id(), 3.0, "")).0, 200);
    }
    let asked = Instant::now();
    assert_eq!(operated.call("PUT", "/v1/node/drain"), 200);
    assert_eq!(operated.call("PUT", "/v1/node/drain"), 200);
    assert_eq!((operated.health(), operated.call("GET", "/v1/readyz")), (503, 503));
    let (status, (head, _)) = send_request(&mut busy, build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!((status, field(&head, "connection")), (200, Some("close")), "early work is served: {head}");
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "an idle connection closes");
    assert!(asked.elapsed() < Duration::from_secs(2));
    let (status, (head, _)) =
        operated.node.send_request(build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!((status, field(&head, "connection")), (503, Some("close")), "late work is deferred: {head}");
    // Nothing keeps a connection to an empty node open.
    assert_eq!(operated.node.connect().read(&mut [0]).unwrap(), 0);
    assert_eq!(operated.call("PUT", "/v1/node/activate"), 200);
    assert_eq!((operated.health(), operated.call("GET", "/v1/readyz")), (200, 200));
    assert_eq!(used(&operated, &executors, 60), [0, 1].into());
    assert_eq!(operated.call("PUT", "/v1/node/activate"), 200);
    // Again at once: the settling of the first drain is not this one's.
    for path in ["drain", "activate", "drain"] {
        assert_eq!(operated.call("PUT", &format!("/v1/node/{path}")), 200);
    }
    assert_eq!(
        operated.node.send_request(build_request("render", &next_request_id(), 3.0, "")).0,
        200,
        "in the middle of emptying"
    );
    operated.node.terminate();
    operated.node.wait_for_log("shutdown requested");
    assert!(operated.node.wait_for_log("shutdown complete").ends_with("connections=0"));
}

/// Project types by name, effect and limit in seconds.
fn types(of: &[(&str, &str, u64)], attempts: u64) -> Value {
    let mut settings = settings();
    let like = settings["project_types"][0].clone();
    let kind = |(name, effect, limit): &(&str, &str, u64)| {
        let mut kind = like.clone();
        (kind["name"], kind["effect"]) = (json!(name), json!(effect));
        kind["hard_limit"] = json!(limit * 1_000_000);
        kind
    };
    settings["project_types"] = of.iter().map(kind).collect();
    settings["limits"]["max_allocations"] = json!(attempts);
    settings
}

#[test]
fn new_settings_apply_to_new_requests_and_a_broken_file_changes_nothing() {
    let (executor, discovery) = start_executor_and_discovery();
    let operated = Operated::start(&discovery, |_| ());
    let node = &operated.node;
    let mut config = node.config.clone();
    let retune = |config: &Value, logged: &str| {
        node.reload(&config.to_string());
        node.wait_for_log(logged)
    };
    let post = |name: &str, acts: &[Act]| {
        executor.acts.lock().unwrap().extend(acts.iter());
        let status = node.send_request(build_request(name, &next_request_id(), 3.0, "")).0;
        executor.acts.lock().unwrap().clear();
        status
    };
    let loses = [Act::Lost, Act::Lost, Act::Done];
    assert_eq!((post("render", &loses), post("publish", &loses)), (200, 502));
    // Out under the terms of its arrival while render gets stricter, publish vanishes and attempts get fewer.
    executor.acts.lock().unwrap().extend([Act::WaitAndLose, Act::Lost, Act::Done]);
    let mut under_way = node.connect();
    executor.seen.lock().unwrap().clear();
    under_way.get_mut().write_all(build_request("render", &next_request_id(), 9.0, "").as_bytes()).unwrap();
    executor.wait_for(1);
    config["settings"] = types(&[("render", "unsafe", 20), ("thumb", "safe", 2)], 2);
    retune(&config, "settings_changed=true");
    executor.go_on.send(()).unwrap();
    assert_eq!(read_response(&mut under_way).0, 200, "it is sent three times, as when it came");
    for (name, acts, status) in [
        ("render", &loses[..], 502),
        ("publish", &[][..], 404),
        ("thumb", &loses[1..], 200),
        ("thumb", &[Act::TurnedAway, Act::TurnedAway, Act::Done], 503),
    ] {
        assert_eq!(post(name, acts), status, "{name} {acts:?}");
    }
    let good = config.clone();
    for (at, value, said) in [
        ("/settings/project_types/1/hard_limit", json!(0), "`thumb`: `hard_limit` is not a positive number"),
        ("/settings/project_types/1/name", json!("other"), "`other` stands there twice"),
        ("/settings/limits/max_allocations", json!(-1), "`limits.max_allocations` is not a positive number"),
        ("/settings/contract", json!({}), "`contract.drain_grace` is missing"),
        ("/settings", json!({}), "names none"),
        ("/seed", json!("zz"), "`seed` must be a hexadecimal number of at most 64 bits"),
    ] {
        let mut bad = good.clone();
        // What comes before the fault must not be taken either.
        bad["settings"]["project_types"][0]["name"] = json!("other");
        *bad.pointer_mut(at).unwrap() = value;
        let line = retune(&bad, "new configuration rejected");
        assert!(line.contains(&node.path) && line.contains(said), "{line}");
        assert_eq!((post("other", &[]), post("render", &[]), post("thumb", &[])), (404, 200, 200), "{at}");
    }
    node.reload(&good.to_string()[..500]);
    node.wait_for_log("new configuration rejected");
    // Two files within a second: the last one holds.
    config["settings"] = types(&[("thumb", "safe", 2)], 3);
    retune(&config, "settings_changed=true");
    config["settings"] = types(&[("publish", "unsafe", 2), ("render", "safe", 2)], 3);
    retune(&config, "settings_changed=true");
    assert_eq!((post("publish", &loses), post("render", &loses), post("thumb", &[])), (502, 200, 404));
}

/// A clients' socket and a folder that processes of one node share.
struct Platform {
    socket: TcpListener,
    folder: PathBuf,
}

impl Platform {
    fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("troutknot-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Platform { socket: TcpListener::bind("127.0.0.1:0").unwrap(), folder }
    }

    /// Starts one more process.
    fn start(&self, discovery: &Discovery) -> Operated {
        self.start_by(discovery, "")
    }

    /// With the operator's own file.
    fn start_by(&self, discovery: &Discovery, own: &str) -> Operated {
        let fd = self.socket.try_clone().unwrap().into();
        Operated::start(discovery, |program| {
            program.env("ROUTER_PASSED_SOCKET", "5").env("TMPDIR", &self.folder).env("TROUTKNOT_FILE", own);
            program.fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 5 }]).unwrap();
        })
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.socket.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    fn post(&self, id: &str) -> u16 {
        send_request(&mut self.connect(), build_request("render", id, 3.0, "")).0
    }

    /// The file under which processes meet.
    fn meeting_place(&self) -> Option<PathBuf> {
        std::fs::read_dir(&self.folder).unwrap().map(|entry| entry.unwrap().path()).next()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Which executors get work over connections of their own.
fn used_by(platform: &Platform, executors: &[Executor; 2]) -> BTreeSet<usize> {
    (0..30).for_each(|_| assert_eq!(platform.post(&next_request_id()), 200));
    let seen = |k: &usize| !std::mem::take(&mut *executors[*k].seen.lock().unwrap()).is_empty();
    (0..2).filter(seen).collect()
}

#[test]
fn clients_see_no_gap_during_a_hot_restart() {
    let (executors, discovery) = two_executors();
    let platform = Platform::new();
    let old = platform.start(&discovery);
    assert_eq!(old.node.addr, platform.socket.local_addr().unwrap());
    let mut kept = platform.connect();
    assert_eq!(send_request(&mut kept, build_request("render", &next_request_id(), 3.0, "")).0, 200);
    // Out there when the old process is asked to end.
    executors.iter().for_each(|e| e.acts.lock().unwrap().push_back(Act::Silent));
    let mut under_way = platform.connect();
    under_way.get_mut().write_all(build_request("render", &next_request_id(), 0.6, "").as_bytes()).unwrap();
    let taken = || executors.iter().any(|e| e.acts.lock().unwrap().is_empty());
    wait_until("it is out there", taken);
    executors.iter().for_each(|e| e.acts.lock().unwrap().clear());
    let new = platform.start(&discovery);
    old.node.terminate();
    old.node.wait_for_log("shutdown requested");
    let (status, (head, _)) = send_request(&mut kept, build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!((status, field(&head, "connection")), (200, Some("close")), "the old one's connection");
    used_by(&platform, &executors);
    assert_eq!(read_response(&mut under_way).0, 503, "what was under way has its answer");
    drop(under_way);
    assert!(old.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    assert_eq!(new.health(), 200);
}

#[test]
fn state_is_handed_over_and_admin_calls_apply_to_both_processes() {
    let (executors, discovery) = two_executors();
    let platform = Platform::new();
    let first = platform.start(&discovery);
    assert_eq!(first.call("PUT", "/v1/executors/s-1/suspend"), 200);
    let id = next_request_id();
    assert_eq!(platform.post(&id), 200);
    let second = platform.start(&discovery);
    first.node.wait_for_log("hot restart: the new process takes clients");
    assert_eq!(platform.post(&id), 409, "taken by the process before");
    assert_eq!(used_by(&platform, &executors), [1].into(), "out over the upgrade");
    // Calls to either while both run.
    assert_eq!(first.call("PUT", "/v1/executors/s-2/suspend"), 200);
    assert_eq!(platform.post(&next_request_id()), 503, "all are out");
    assert_eq!(second.call("PUT", "/v1/executors/s-2/resume"), 200);
    assert_eq!(second.call("PUT", "/v1/executors/s-1/resume"), 200);
    assert_eq!(first.call("PUT", "/v1/executors/s-1/suspend"), 200);
    assert_eq!(used_by(&platform, &executors), [1].into());
    assert_eq!(first.call("PUT", "/v1/node/drain"), 200);
    assert_eq!(second.health(), 503);
    assert_eq!(first.call("PUT", "/v1/node/activate"), 200);
    assert_eq!(second.health(), 200);
    first.node.terminate();
    assert!(first.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    // The next upgrade at once, while the node is drained.
    assert_eq!(second.call("PUT", "/v1/node/drain"), 200);
    let third = platform.start(&discovery);
    second.node.terminate();
    assert!(second.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    assert_eq!(third.health(), 503, "still drained");
    assert_eq!(third.call("PUT", "/v1/node/activate"), 200);
    assert_eq!(used_by(&platform, &executors), [1].into(), "still out");
    assert_eq!(third.call("PUT", "/v1/executors/s-1/resume"), 200);
    assert_eq!(used_by(&platform, &executors), [0, 1].into());
}

#[test]
fn a_process_that_dies_leaves_the_other_one_serving() {
    let (executors, discovery) = two_executors();
    let platform = Platform::new();
    let mut first = platform.start(&discovery);
    // The newer one dies, and the older serves on.
    let mut dies = platform.start(&discovery);
    first.node.wait_for_log("hot restart: the new process takes clients");
    dies.node.process.kill().unwrap();
    first.node.wait_for_log("hot restart: the new process has ended, this process continues");
    used_by(&platform, &executors);
    assert_eq!(first.call("PUT", "/v1/executors/s-1/suspend"), 200, "nobody else is waited for");
    // The older one dies, and the newer has all it was told; then so has the next one.
    let second = platform.start(&discovery);
    first.node.process.kill().unwrap();
    first.node.process.wait().unwrap();
    assert_eq!(used_by(&platform, &executors), [1].into());
    wait_until("it waits for a next", || {
        platform.meeting_place().is_some_and(|at| UnixStream::connect(at).is_ok())
    });
    let third = platform.start(&discovery);
    second.node.terminate();
    assert!(second.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    assert_eq!(used_by(&platform, &executors), [1].into());
    assert_eq!(third.health(), 200);
}

#[test]
fn a_failed_takeover_is_one_line_and_the_node_starts() {
    let (executors, discovery) = two_executors();
    let platform = Platform::new();
    drop(platform.start(&discovery));
    let place = platform.meeting_place().expect("it is left behind by a process that was killed");
    used_by_a_start(&platform, &discovery, &executors, "hot restart: no other process of this node runs");
    for (said, logged) in [
        ("", "from the configuration error=connection closed"),
        ("what\n", "from the configuration error=malformed message"),
        ("{\"say\":\"hello\",\"form\":99,\"name\":\"n0\"}\n", "unsupported protocol version 99"),
        (
            "{\"say\":\"hello\",\"form\":1,\"name\":\"n0\"}\n{\"say\":\"out\",\"execut",
            "error=connection closed",
        ),
    ] {
        let _ = std::fs::remove_file(&place);
        let odd = UnixListener::bind(&place).unwrap();
        let says = std::thread::spawn(move || {
            let (mut stream, _) = odd.accept().unwrap();
            // Its question is read, so that the answer is not lost under it.
            BufReader::new(stream.try_clone().unwrap()).read_line(&mut String::new()).unwrap();
            stream.write_all(said.as_bytes()).unwrap();
        });
        used_by_a_start(&platform, &discovery, &executors, logged);
        says.join().unwrap();
    }
}

fn used_by_a_start(platform: &Platform, discovery: &Discovery, executors: &[Executor; 2], logged: &str) {
    let fd = platform.socket.try_clone().unwrap().into();
    let node = Node::start_from_config(config(discovery, settings()), |path| {
        spawn_customized_node(path, "info", "", |program| {
            program.env("ROUTER_PASSED_SOCKET", "5").env("TMPDIR", &platform.folder);
            program.fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 5 }]).unwrap();
        })
    });
    let before = node.skipped_lines.lock().unwrap().join("\n");
    assert!(before.contains(logged), "{before}");
    assert_eq!(used_by(platform, executors), [0, 1].into());
}

#[test]
fn one_process_at_a_time_has_the_ledger_open() {
    let (executor, discovery) = start_executor_and_discovery();
    let platform = Platform::new();
    let file = |end: &str| format!("{}.{end}", platform.folder.display());
    let (own, ledger) = (file("toml"), file("ledger"));
    std::fs::write(&own, format!("[durable]\npath = \"{ledger}\"\n")).unwrap();
    let keyed = |key: &str| {
        build_request("publish", &next_request_id(), 9.0, "b").replacen(
            "X-Other: kept",
            &format!("Idempotency-Key: {key}"),
            1,
        )
    };
    let old = platform.start_by(&discovery, &own);
    executor.acts.lock().unwrap().push_back(Act::Wait);
    let mut under_way = platform.connect();
    under_way.get_mut().write_all(keyed("k1").as_bytes()).unwrap();
    executor.wait_for(1);
    let new = platform.start_by(&discovery, &own);
    old.node.wait_for_log("hot restart: the new process takes clients");
    assert_eq!(send_request(&mut platform.connect(), keyed("k1")).0, 503, "it is open in the process before");
    assert_eq!(send_request(&mut platform.connect(), keyed("k2")).0, 503);
    assert_eq!(platform.post(&next_request_id()), 200, "other work is served");
    old.node.terminate();
    old.node.wait_for_log("shutdown requested");
    executor.go_on.send(()).unwrap();
    assert_eq!(read_response(&mut under_way).0, 200);
    drop(under_way);
    assert!(old.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    wait_until("the new process has the ledger", || {
        send_request(&mut platform.connect(), keyed("k1")).0 == 200
    });
    assert_eq!(send_request(&mut platform.connect(), keyed("k2")).0, 200);
    assert_eq!(executor.seen.lock().unwrap().len(), 3, "each ran once");
    drop(new);
    [own, ledger].iter().for_each(|file| std::fs::remove_file(file).unwrap());
}

#[test]
fn both_processes_together_stay_within_the_descriptor_limit() {
    let (executors, discovery) = two_executors();
    let platform = Platform::new();
    let old = platform.start(&discovery);
    let descriptors = |of: &Operated| {
        std::fs::read_dir(format!("/proc/{}/fd", of.node.process.id())).map_or(0, |all| all.count())
    };
    // As many clients as it takes, each of which has been served.
    let mut held = Vec::new();
    for _ in 0..256 {
        let mut connection = platform.connect();
        let (status, (head, _)) =
            send_request(&mut connection, build_request("render", &next_request_id(), 9.0, ""));
        if status != 200 || field(&head, "connection").is_some() {
            break;
        }
        held.push(connection);
    }
    assert!(held.len() > 50, "{} are held", held.len());
    let new = platform.start(&discovery);
    let most = |what: &str| {
        let sum = descriptors(&old) + descriptors(&new);
        assert!(sum <= 256, "{sum} descriptors {what}");
    };
    most("beside each other");
    old.node.wait_for_log("hot restart: the new process takes clients");
    for connection in &mut held {
        let (status, (head, _)) =
            send_request(connection, build_request("render", &next_request_id(), 9.0, ""));
        assert_eq!((status, field(&head, "connection")), (200, Some("close")));
        most("while clients move");
    }
    drop(held);
    used_by(&platform, &executors);
    most("after they moved");
    old.node.terminate();
    assert!(old.node.wait_for_log("shutdown complete").ends_with("connections=0"));
}

#[test]
fn both_processes_together_stay_within_the_limit_of_slow_bodies() {
    let (executors, discovery) = two_executors();
    let platform = Platform::new();
    let old = platform.start(&discovery);
    let mut kept: Vec<_> = (0..80).map(|_| platform.connect()).collect();
    for connection in &mut kept {
        assert_eq!(send_request(connection, build_request("render", &next_request_id(), 9.0, "")).0, 200);
    }
    let new = platform.start(&discovery);
    old.node.wait_for_log("hot restart: the new process takes clients");
    // Of each body half comes, which is waited for; where there are too many the node says so at once.
    let drip = |connection: &mut BufReader<TcpStream>| {
        let request = build_request("render", &next_request_id(), 9.0, "half");
        connection.get_mut().write_all(&request.as_bytes()[..request.len() - 2]).unwrap();
        connection.get_ref().set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    };
    let turned_away = |connection: &mut BufReader<TcpStream>| {
        read_message(connection).is_some_and(|(head, _)| head.starts_with("HTTP/1.1 503"))
    };
    kept.iter_mut().for_each(drip);
    wait_until("the new one counts what the old one holds", || {
        let mut connection = platform.connect();
        drip(&mut connection);
        turned_away(&mut connection)
    });
    let away = kept.iter_mut().filter_map(|c| turned_away(c).then_some(())).count();
    assert!((10..70).contains(&away), "{away} of 80 were turned away by the old one");
    used_by(&platform, &executors);
    drop(kept);
    wait_until("they are gone from the old one", || {
        let mut connection = platform.connect();
        drip(&mut connection);
        !turned_away(&mut connection)
    });
    assert_eq!((old.call("GET", "/v1/readyz"), new.health()), (200, 200));
}

#[test]
fn a_drain_during_the_start_applies_and_sighup_reaches_both_processes() {
    let (executors, discovery) = two_executors();
    // Nobody is there to tell the list, so the start takes a second.
    let mut silent = config(&discovery, settings());
    silent["discovery"] = json!("127.0.0.1:9");
    let node = Node::start_from_config(silent, |path| spawn_customized_node(path, "info", "", |_| ()));
    let line = node.wait_for_log("admin listening");
    let calls = parse_address_field(&line);
    let starting = Operated { node, calls };
    assert_eq!((starting.call("GET", "/v1/readyz"), starting.call("PUT", "/v1/node/drain")), (503, 200));
    starting.node.wait_for_log("no endpoint list received yet");
    assert_eq!(starting.health(), 503, "drained since before it was ready");
    assert_eq!(starting.call("PUT", "/v1/node/activate"), 200);
    wait_until("it takes clients", || starting.health() == 200);

    let platform = Platform::new();
    let (old, new) = (platform.start(&discovery), platform.start(&discovery));
    old.node.wait_for_log("hot restart: the new process takes clients");
    for process in [&old, &new] {
        let mut config = process.node.config.clone();
        config["settings"] = types(&[("render", "safe", 20), ("thumb", "safe", 2)], 2);
        process.node.reload(&config.to_string());
        process.node.wait_for_log("settings_changed=true");
    }
    assert_eq!(
        send_request(&mut platform.connect(), build_request("thumb", &next_request_id(), 1.0, "")).0,
        200
    );
    assert_eq!(
        send_request(&mut platform.connect(), build_request("publish", &next_request_id(), 1.0, "")).0,
        404
    );
    old.node.terminate();
    assert!(old.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    used_by(&platform, &executors);
}

#[test]
fn a_drain_closes_slow_connections_and_completes_durable_requests() {
    let (executor, discovery) = start_executor_and_discovery();
    let folder = Platform::new();
    let file = |end: &str| format!("{}.{end}", folder.folder.display());
    let (own, ledger) = (file("toml"), file("ledger"));
    std::fs::write(&own, format!("[durable]\npath = \"{ledger}\"\n")).unwrap();
    let operated = Operated::start(&discovery, |program| _ = program.env("TROUTKNOT_FILE", &own));
    let (mut idle, mut drips, mut open) =
        (operated.node.connect(), operated.node.connect(), operated.node.connect());
    assert_eq!(send_request(&mut idle, build_request("render", &next_request_id(), 3.0, "")).0, 200);
    executor.acts.lock().unwrap().push_back(Act::Wait);
    open.get_mut().write_all(build_request("publish", &next_request_id(), 20.0, "").as_bytes()).unwrap();
    executor.wait_for(2);
    let request = build_request("render", &next_request_id(), 3.0, "abc");
    let (first, rest) = request.split_at(request.len() - 1);
    assert_eq!(operated.call("PUT", "/v1/node/drain"), 200);
    drips.get_mut().write_all(first.as_bytes()).unwrap();
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "what is idle closes once the drain has settled");
    let (status, (head, _)) = send_request(&mut drips, rest);
    assert_eq!((status, field(&head, "connection")), (503, Some("close")), "it came too late: {head}");
    executor.go_on.send(()).unwrap();
    let (status, (head, _)) = read_response(&mut open);
    assert_eq!((status, field(&head, "connection")), (200, Some("close")), "what was taken is seen through");
    assert_eq!(operated.call("PUT", "/v1/node/activate"), 200);
    assert_eq!(operated.node.send_request(build_request("publish", &next_request_id(), 3.0, "")).0, 200);
    drop(operated);
    [own, ledger].iter().for_each(|file| std::fs::remove_file(file).unwrap());
}
