//! Operation of a running node: admin calls, excluded executors, drains, reloads and hot restarts.
#![allow(clippy::unwrap_used)]
mod common;

use command_fds::{CommandFdExt, FdMapping};
use common::platform::*;
use common::*;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Action, Discovery, Executor, FullBacklogExecutor};

/// Sends requests over one connection, and returns the indices of the executors that received any.
fn find_used_executors(admin_node: &AdminNode, executors: &[Executor; 2], count: usize) -> BTreeSet<usize> {
    let mut connection = admin_node.node.connect();
    for _ in 0..count {
        assert_eq!(
            send_request(&mut connection, build_request("render", &next_request_id(), 3.0, "")).0,
            200
        );
    }
    let has_received =
        |index: &usize| !std::mem::take(&mut *executors[*index].requests.lock().unwrap()).is_empty();
    (0..2).filter(has_received).collect()
}

/// Admin connections that never send a complete call must not keep others from being answered.
#[test]
fn admin_calls_are_routed_and_unfinished_ones_do_not_block_others() {
    let (_executors, discovery) = start_executors_and_discovery();
    let admin_node = AdminNode::start_customized(&discovery, |_| ());
    let _incomplete_calls: Vec<_> = (0..40)
        .map(|number| {
            let mut silent = TcpStream::connect(admin_node.admin_address).unwrap();
            silent.write_all(&b"GET /v1"[..number % 8]).unwrap();
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
        assert_eq!(admin_node.send(&format!("{request} HTTP/1.1\r\nHost: n\r\n\r\n")), status, "{request}");
    }
    assert_eq!(admin_node.send("what\r\n\r\n"), 400);
}

/// Starts a thread that keeps one processor busy until the flag is set.
fn spin(processor: CpuSet, is_done: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        sched_setaffinity(None, &processor).unwrap();
        while !is_done.load(Ordering::Relaxed) {
            std::hint::spin_loop();
        }
    })
}

/// Operators have to reach a node that is short of processor time and has all its connections in use.
#[test]
fn an_admin_call_is_answered_within_a_second_on_an_overloaded_node() {
    let (_executors, discovery) = start_executors_and_discovery();
    let admin_node = AdminNode::start_customized(&discovery, |_| ());
    // The node gets at most a fifth of a processor, and as many connections as its limit allows.
    let available = sched_getaffinity(None).unwrap();
    let first = (0..CpuSet::MAX_CPU).find(|&cpu| available.is_set(cpu)).unwrap();
    let mut processor = CpuSet::new();
    processor.set(first);
    sched_setaffinity(Pid::from_raw(admin_node.node.process.id() as i32), &processor).unwrap();
    let is_done: Arc<AtomicBool> = Arc::default();
    let mut threads: Vec<_> = (0..4).map(|_| spin(processor, is_done.clone())).collect();
    let addr = admin_node.node.addr;
    let _idle_clients: Vec<_> = (0..256).filter_map(|_| TcpStream::connect(addr).ok()).collect();
    let (report_served, served) = mpsc::channel();
    for _ in 0..8 {
        let (is_done, report_served) = (is_done.clone(), report_served.clone());
        threads.push(std::thread::spawn(move || {
            while !is_done.load(Ordering::Relaxed) {
                let Ok(stream) = TcpStream::connect(addr) else { continue };
                let mut connection = BufReader::new(stream);
                let request = build_request("render", &next_request_id(), 3.0, "");
                while connection.get_mut().write_all(request.as_bytes()).is_ok()
                    && read_message(&mut connection).is_some_and(|(head, _)| !head.contains("close"))
                    && report_served.send(()).is_ok()
                    && !is_done.load(Ordering::Relaxed)
                {}
            }
        }));
    }
    served.recv_timeout(WAIT_TIMEOUT).expect("clients are served");
    let _silent_calls: Vec<_> =
        (0..40).map(|_| TcpStream::connect(admin_node.admin_address).unwrap()).collect();
    let mut slowest = Duration::ZERO;
    for (method, path) in [
        ("GET", "/v1/readyz"),
        ("PUT", "/v1/executors/s-1/suspend"),
        ("PUT", "/v1/executors/s-1/resume"),
        ("PUT", "/v1/node/activate"),
    ]
    .repeat(5)
    {
        let called_at = Instant::now();
        assert_eq!(admin_node.call(method, path), 200, "{path}");
        slowest = slowest.max(called_at.elapsed());
    }
    is_done.store(true, Ordering::Relaxed);
    assert!(slowest < Duration::from_secs(1), "the slowest call took {slowest:?}");
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

/// An attempt that is still connecting when its executor is excluded must not be sent there, and is dispatched to
/// another.
#[test]
fn an_exclusion_withdraws_an_attempt_that_is_connecting() {
    let (executor, unaccepting) = (Executor::start(), FullBacklogExecutor::start());
    let ready_entry = |name: &str, addr: SocketAddr| {
        let addr = addr.to_string();
        json!({"id": name, "addr": addr, "zone": "z", "kind": "k", "cell": 0, "state": "Ready"})
    };
    let discovery = Discovery::start(list(7, true, &[ready_entry("s-1", unaccepting.addr)]));
    let mut config = config(&discovery, settings());
    // A connection attempt may take longer than the drain grace; the system repeats its first SYN after a second.
    config["settings"]["limits"]["connect_timeout"] = json!(10_000_000);
    let node = Node::start_from_config(config, |path| spawn_customized_node(path, "debug", "", |_| ()));
    let line = node.wait_for_log("admin listening");
    let admin_address = parse_address_field(&line);
    let admin_node = AdminNode { node, admin_address };
    wait_until("the node is ready", || admin_node.call("GET", "/v1/readyz") == 200);
    let mut client = admin_node.node.connect();
    client.get_mut().write_all(build_request("render", &next_request_id(), 9.0, "").as_bytes()).unwrap();
    admin_node.node.wait_for_log("attempt dispatched executor=s-1 attempt=0 ");
    discovery.lines.send(list(8, false, &[ready_entry("s-2", executor.addr)])).unwrap();
    admin_node.node.wait_for_log("endpoint updated executor=s-2 ");
    assert_eq!(admin_node.call("PUT", "/v1/executors/s-1/suspend"), 200);
    // The request was never sent, so it is dispatched to the other executor when the drain grace ends.
    admin_node.node.wait_for_log("outcome=NotSent");
    assert_eq!(read_response(&mut client).0, 200);
    assert_eq!(executor.requests.lock().unwrap().len(), 1);
    unaccepting.resume.send(()).unwrap();
    let received = unaccepting.received.join().unwrap();
    assert!(received.is_empty(), "the executor is excluded: {}", String::from_utf8_lossy(&received));
}

/// An exclusion must survive that the executor disappears from the endpoint list and returns.
#[test]
fn an_excluded_executor_gets_no_requests_in_any_listed_state() {
    let (executors, discovery) = start_executors_and_discovery();
    let admin_node = AdminNode::start_customized(&discovery, |_| ());
    assert_eq!(find_used_executors(&admin_node, &executors, 60), [0, 1].into());
    assert_eq!(admin_node.call("PUT", "/v1/executors/s-1/suspend"), 200);
    assert_eq!(admin_node.call("PUT", "/v1/executors/s-1/suspend"), 200);
    assert_eq!(find_used_executors(&admin_node, &executors, 30), [1].into(), "excluded");
    // The executor is removed from the list and added again, as after a restart.
    discovery.lines.send(list(8, false, &[json!({"id": "s-1", "state": "Gone"})])).unwrap();
    discovery.lines.send(list(9, false, &[entry("s-1", &executors[0], "Ready")])).unwrap();
    assert_eq!(
        find_used_executors(&admin_node, &executors, 30),
        [1].into(),
        "still excluded when it is listed again"
    );
    assert_eq!(admin_node.call("PUT", "/v1/executors/s-2/suspend"), 200);
    let sent_at = Instant::now();
    let (status, (head, _)) =
        admin_node.node.send_request(build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!(status, 503, "all executors are excluded");
    assert!(field(&head, "retry-after").is_some() && sent_at.elapsed() < Duration::from_secs(1), "{head}");
    assert_eq!(admin_node.call("PUT", "/v1/executors/s-1/resume"), 200);
    assert_eq!(
        find_used_executors(&admin_node, &executors, 10),
        [0].into(),
        "one resume reverts two suspends"
    );
}

/// A drain must close connections in time without losing a request, and the timer of an earlier drain must not settle
/// a later one.
#[test]
fn a_drained_node_closes_its_connections_in_time_and_serves_again_once_activated() {
    let (executors, discovery) = start_executors_and_discovery();
    let admin_node = AdminNode::start_customized(&discovery, |_| ());
    let (mut idle, mut busy) = (admin_node.node.connect(), admin_node.node.connect());
    for connection in [&mut idle, &mut busy] {
        assert_eq!(send_request(connection, build_request("render", &next_request_id(), 3.0, "")).0, 200);
    }
    let drained_at = Instant::now();
    assert_eq!(admin_node.call("PUT", "/v1/node/drain"), 200);
    assert_eq!(admin_node.call("PUT", "/v1/node/drain"), 200);
    assert_eq!((admin_node.health(), admin_node.call("GET", "/v1/readyz")), (503, 503));
    let (status, (head, _)) = send_request(&mut busy, build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!(
        (status, field(&head, "connection")),
        (200, Some("close")),
        "a request before the drain has settled is served: {head}"
    );
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "an idle connection closes");
    assert!(drained_at.elapsed() < Duration::from_secs(2));
    let (status, (head, _)) =
        admin_node.node.send_request(build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!(
        (status, field(&head, "connection")),
        (503, Some("close")),
        "a request after the drain has settled is rejected: {head}"
    );
    // A drained node closes new connections.
    assert_eq!(admin_node.node.connect().read(&mut [0]).unwrap(), 0);
    assert_eq!(admin_node.call("PUT", "/v1/node/activate"), 200);
    assert_eq!((admin_node.health(), admin_node.call("GET", "/v1/readyz")), (200, 200));
    assert_eq!(find_used_executors(&admin_node, &executors, 60), [0, 1].into());
    assert_eq!(admin_node.call("PUT", "/v1/node/activate"), 200);
    // A second drain right after the first: the timer of the first one must not settle it.
    for path in ["drain", "activate", "drain"] {
        assert_eq!(admin_node.call("PUT", &format!("/v1/node/{path}")), 200);
    }
    assert_eq!(
        admin_node.node.send_request(build_request("render", &next_request_id(), 3.0, "")).0,
        200,
        "the second drain has not settled"
    );
    admin_node.node.terminate();
    admin_node.node.wait_for_log("shutdown requested");
    assert!(admin_node.node.wait_for_log("shutdown complete").ends_with("connections=0"));
}

/// Settings with these classes, by name, effect and deadline in seconds, and this number of attempts.
fn settings_with_classes(classes: &[(&str, &str, u64)], max_attempts: u64) -> Value {
    let mut settings = settings();
    let template = settings["project_types"][0].clone();
    let build_class = |(name, effect, deadline): &(&str, &str, u64)| {
        let mut class = template.clone();
        (class["name"], class["effect"]) = (json!(name), json!(effect));
        class["hard_limit"] = json!(deadline * 1_000_000);
        class
    };
    settings["project_types"] = classes.iter().map(build_class).collect();
    settings["limits"]["max_allocations"] = json!(max_attempts);
    settings
}

/// Changed settings must not apply to open requests, and a file with one fault must not be applied in part.
#[test]
fn a_reload_applies_to_new_requests_and_an_invalid_file_changes_nothing() {
    let (executor, discovery) = start_executor_and_discovery();
    let admin_node = AdminNode::start_customized(&discovery, |_| ());
    let node = &admin_node.node;
    let mut config = node.config.clone();
    let reload = |config: &Value, expected_log: &str| {
        node.reload(&config.to_string());
        node.wait_for_log(expected_log)
    };
    let post = |class: &str, actions: &[Action]| {
        executor.actions.lock().unwrap().extend(actions.iter());
        let status = node.send_request(build_request(class, &next_request_id(), 3.0, "")).0;
        executor.actions.lock().unwrap().clear();
        status
    };
    let lost_twice = [Action::Lost, Action::Lost, Action::Done];
    assert_eq!((post("render", &lost_twice), post("publish", &lost_twice)), (200, 502));
    // A request keeps the settings of its arrival while render becomes at-most-once, publish is removed and the limit
    // on attempts is lowered.
    executor.actions.lock().unwrap().extend([Action::WaitAndLose, Action::Lost, Action::Done]);
    let mut client = node.connect();
    executor.requests.lock().unwrap().clear();
    client.get_mut().write_all(build_request("render", &next_request_id(), 9.0, "").as_bytes()).unwrap();
    executor.wait_for_attempts(1);
    config["settings"] = settings_with_classes(&[("render", "unsafe", 20), ("thumb", "safe", 2)], 2);
    reload(&config, "settings_changed=true");
    executor.resume.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200, "three attempts by the settings of its arrival");
    for (name, actions, status) in [
        ("render", &lost_twice[..], 502),
        ("publish", &[][..], 404),
        ("thumb", &lost_twice[1..], 200),
        ("thumb", &[Action::Rejected, Action::Rejected, Action::Done], 503),
    ] {
        assert_eq!(post(name, actions), status, "{name} {actions:?}");
    }
    let valid = config.clone();
    for (pointer, value, expected) in [
        ("/settings/project_types/1/hard_limit", json!(0), "`thumb`: `hard_limit` is not a positive number"),
        ("/settings/project_types/1/name", json!("other"), "`other` occurs twice"),
        ("/settings/limits/max_allocations", json!(-1), "`limits.max_allocations` is not a positive number"),
        ("/settings/contract", json!({}), "`contract.drain_grace` is missing"),
        ("/settings", json!({}), "names none"),
        ("/seed", json!("zz"), "`seed` must be a hexadecimal number of at most 64 bits"),
    ] {
        let mut invalid = valid.clone();
        // Changes in front of the fault must not be applied either.
        invalid["settings"]["project_types"][0]["name"] = json!("other");
        *invalid.pointer_mut(pointer).unwrap() = value;
        let line = reload(&invalid, "new configuration rejected");
        assert!(line.contains(&node.config_path) && line.contains(expected), "{line}");
        let statuses = (post("other", &[]), post("render", &[]), post("thumb", &[]));
        assert_eq!(statuses, (404, 200, 200), "{pointer}");
    }
    node.reload(&valid.to_string()[..500]);
    node.wait_for_log("new configuration rejected");
    // Two reloads within a second: the last file applies.
    config["settings"] = settings_with_classes(&[("thumb", "safe", 2)], 3);
    reload(&config, "settings_changed=true");
    config["settings"] = settings_with_classes(&[("publish", "unsafe", 2), ("render", "safe", 2)], 3);
    reload(&config, "settings_changed=true");
    assert_eq!(
        (post("publish", &lost_twice), post("render", &lost_twice), post("thumb", &[])),
        (502, 200, 404)
    );
}

/// Clients must get an answer to each request while a new process takes over the listening socket.
#[test]
fn no_request_fails_during_a_hot_restart() {
    let (executors, discovery) = start_executors_and_discovery();
    let platform = Platform::new();
    let old = platform.start(&discovery);
    assert_eq!(old.node.addr, platform.socket.local_addr().unwrap());
    let mut existing = platform.connect();
    assert_eq!(send_request(&mut existing, build_request("render", &next_request_id(), 3.0, "")).0, 200);
    // This request is at an executor when the old process is asked to end.
    executors.iter().for_each(|executor| executor.actions.lock().unwrap().push_back(Action::Silent));
    let mut open_request = platform.connect();
    open_request
        .get_mut()
        .write_all(build_request("render", &next_request_id(), 0.6, "").as_bytes())
        .unwrap();
    let is_dispatched = || executors.iter().any(|executor| executor.actions.lock().unwrap().is_empty());
    wait_until("the request is dispatched", is_dispatched);
    executors.iter().for_each(|executor| executor.actions.lock().unwrap().clear());
    let new = platform.start(&discovery);
    old.node.terminate();
    old.node.wait_for_log("shutdown requested");
    let (status, (head, _)) =
        send_request(&mut existing, build_request("render", &next_request_id(), 3.0, ""));
    assert_eq!((status, field(&head, "connection")), (200, Some("close")), "a connection to the old process");
    find_used_via_platform(&platform, &executors);
    assert_eq!(read_response(&mut open_request).0, 503, "the open request is answered");
    drop(open_request);
    assert!(old.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    assert_eq!(new.health(), 200);
}

/// Exclusions, drains and recent request ids must not be lost in a hot restart, and an admin call to one of the two
/// processes must apply to both.
#[test]
fn state_is_handed_over_and_admin_calls_apply_to_both_processes() {
    let (executors, discovery) = start_executors_and_discovery();
    let platform = Platform::new();
    let first = platform.start(&discovery);
    assert_eq!(first.call("PUT", "/v1/executors/s-1/suspend"), 200);
    let id = next_request_id();
    assert_eq!(platform.submit(&id), 200);
    let second = platform.start(&discovery);
    first.node.wait_for_log("hot restart: the new process takes clients");
    assert_eq!(platform.submit(&id), 409, "an id that the previous process admitted");
    assert_eq!(find_used_via_platform(&platform, &executors), [1].into(), "the exclusion is handed over");
    // Admin calls to either process while both run.
    assert_eq!(first.call("PUT", "/v1/executors/s-2/suspend"), 200);
    assert_eq!(platform.submit(&next_request_id()), 503, "all executors are excluded");
    assert_eq!(second.call("PUT", "/v1/executors/s-2/resume"), 200);
    assert_eq!(second.call("PUT", "/v1/executors/s-1/resume"), 200);
    assert_eq!(first.call("PUT", "/v1/executors/s-1/suspend"), 200);
    assert_eq!(find_used_via_platform(&platform, &executors), [1].into());
    assert_eq!(first.call("PUT", "/v1/node/drain"), 200);
    assert_eq!(second.health(), 503);
    assert_eq!(first.call("PUT", "/v1/node/activate"), 200);
    assert_eq!(second.health(), 200);
    first.node.terminate();
    assert!(first.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    // Another hot restart right after, while the node is drained.
    assert_eq!(second.call("PUT", "/v1/node/drain"), 200);
    let third = platform.start(&discovery);
    second.node.terminate();
    assert!(second.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    assert_eq!(third.health(), 503, "still drained");
    assert_eq!(third.call("PUT", "/v1/node/activate"), 200);
    assert_eq!(find_used_via_platform(&platform, &executors), [1].into(), "still excluded");
    assert_eq!(third.call("PUT", "/v1/executors/s-1/resume"), 200);
    assert_eq!(find_used_via_platform(&platform, &executors), [0, 1].into());
}

/// Guards against requests to excluded executors after a hot restart: the new process took all of them for executors that
/// no list names, of which it keeps 1,024.
#[test]
fn more_excluded_executors_than_may_be_absent_stay_excluded_over_a_hot_restart() {
    const EXCLUDED: usize = 1100;
    let executors = [Executor::start(), Executor::start()];
    let mut entries: Vec<Value> =
        (0..EXCLUDED).map(|number| entry(&format!("out-{number}"), &executors[0], "Ready")).collect();
    entries.push(entry("s-1", &executors[1], "Ready"));
    let discovery = Discovery::start(list(7, true, &entries));
    let platform = Platform::new();
    let old = platform.start(&discovery);
    for number in 0..EXCLUDED {
        assert_eq!(old.call("PUT", &format!("/v1/executors/out-{number}/suspend")), 200);
    }
    assert_eq!(find_used_via_platform(&platform, &executors), [1].into(), "before the hot restart");
    let new = platform.start(&discovery);
    old.node.wait_for_log("hot restart: the new process takes clients");
    assert_eq!(find_used_via_platform(&platform, &executors), [1].into(), "while both processes run");
    old.node.terminate();
    assert!(old.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    for _ in 0..10 {
        assert_eq!(find_used_via_platform(&platform, &executors), [1].into(), "afterwards");
    }
    assert_eq!(new.call("PUT", "/v1/executors/out-0/resume"), 200, "the exclusion is on record");
}

/// If one of two processes is killed during a hot restart, the other one must serve with the complete state.
#[test]
fn a_process_that_dies_leaves_the_other_one_serving() {
    let (executors, discovery) = start_executors_and_discovery();
    let platform = Platform::new();
    let mut first = platform.start(&discovery);
    // The newer process dies, and the older one continues to serve.
    let mut killed = platform.start(&discovery);
    first.node.wait_for_log("hot restart: the new process takes clients");
    killed.node.process.kill().unwrap();
    first.node.wait_for_log("hot restart: the new process has ended, this process continues");
    find_used_via_platform(&platform, &executors);
    assert_eq!(
        first.call("PUT", "/v1/executors/s-1/suspend"),
        200,
        "the call does not wait for the dead process"
    );
    // The older process dies, and the newer one keeps the state that it received, and hands it over to the next one.
    let second = platform.start(&discovery);
    first.node.process.kill().unwrap();
    first.node.process.wait().unwrap();
    assert_eq!(find_used_via_platform(&platform, &executors), [1].into());
    wait_until("the newer process accepts a hot restart", || {
        platform.hot_restart_socket_path().is_some_and(|path| UnixStream::connect(path).is_ok())
    });
    let third = platform.start(&discovery);
    second.node.terminate();
    assert!(second.node.wait_for_log("shutdown complete").ends_with("connections=0"));
    assert_eq!(find_used_via_platform(&platform, &executors), [1].into());
    assert_eq!(third.health(), 200);
}

/// A new process must start from its configuration if the old one is gone, is incompatible or sends malformed
/// messages.
#[test]
fn a_failed_handover_is_logged_in_one_line_and_the_node_starts() {
    let (executors, discovery) = start_executors_and_discovery();
    let platform = Platform::new();
    drop(platform.start(&discovery));
    let socket_path = platform.hot_restart_socket_path().expect("a killed process leaves its socket");
    start_and_assert_log(
        &platform,
        &discovery,
        &executors,
        "hot restart: no other process of this node runs",
    );
    for (message, expected_log) in [
        ("", "from the configuration error=connection closed"),
        ("what\n", "from the configuration error=malformed message"),
        ("{\"say\":\"hello\",\"form\":99,\"name\":\"n0\"}\n", "unsupported protocol version 99"),
        (
            "{\"say\":\"hello\",\"form\":1,\"name\":\"n0\"}\n{\"say\":\"out\",\"execut",
            "error=connection closed",
        ),
    ] {
        let _ = std::fs::remove_file(&socket_path);
        let listener = UnixListener::bind(&socket_path).unwrap();
        let sender = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            // Reads the node's message first, as a close with unread input could discard the reply.
            BufReader::new(stream.try_clone().unwrap()).read_line(&mut String::new()).unwrap();
            stream.write_all(message.as_bytes()).unwrap();
        });
        start_and_assert_log(&platform, &discovery, &executors, expected_log);
        sender.join().unwrap();
    }
}

/// Starts a process, and asserts that it logs this text before it listens and serves with all executors.
fn start_and_assert_log(
    platform: &Platform,
    discovery: &Discovery,
    executors: &[Executor; 2],
    expected_log: &str,
) {
    let fd = platform.socket.try_clone().unwrap().into();
    let node = Node::start_from_config(config(discovery, settings()), |path| {
        spawn_customized_node(path, "info", "", |program| {
            program.env("ROUTER_PASSED_SOCKET", "5").env("TMPDIR", &platform.directory);
            program.fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 5 }]).unwrap();
        })
    });
    let log = node.skipped_lines.lock().unwrap().join("\n");
    assert!(log.contains(expected_log), "{log}");
    assert_eq!(find_used_via_platform(platform, executors), [0, 1].into());
}

/// The limit on descriptors applies to the node, so that two processes during a hot restart must share it.
#[test]
fn both_processes_together_stay_within_the_descriptor_limit() {
    let (executors, discovery) = start_executors_and_discovery();
    let platform = Platform::new();
    let old = platform.start(&discovery);
    let count_descriptors = |process: &AdminNode| {
        std::fs::read_dir(format!("/proc/{}/fd", process.node.process.id()))
            .map_or(0, |entries| entries.count())
    };
    // Opens connections with one answered request each, up to the limit.
    let mut clients = Vec::new();
    for _ in 0..256 {
        let mut connection = platform.connect();
        let (status, (head, _)) =
            send_request(&mut connection, build_request("render", &next_request_id(), 9.0, ""));
        if status != 200 || field(&head, "connection").is_some() {
            break;
        }
        clients.push(connection);
    }
    assert!(clients.len() > 50, "{} connections are open", clients.len());
    let new = platform.start(&discovery);
    let assert_within_limit = |phase: &str| {
        let sum = count_descriptors(&old) + count_descriptors(&new);
        assert!(sum <= 256, "{sum} descriptors {phase}");
    };
    assert_within_limit("while both processes run");
    old.node.wait_for_log("hot restart: the new process takes clients");
    for connection in &mut clients {
        let (status, (head, _)) =
            send_request(connection, build_request("render", &next_request_id(), 9.0, ""));
        assert_eq!((status, field(&head, "connection")), (200, Some("close")));
        assert_within_limit("while clients reconnect");
    }
    drop(clients);
    find_used_via_platform(&platform, &executors);
    assert_within_limit("after clients have reconnected");
    old.node.terminate();
    assert!(old.node.wait_for_log("shutdown complete").ends_with("connections=0"));
}

/// The memory for bodies that arrive in parts is a limit of the node, which two processes must share.
#[test]
fn both_processes_together_stay_within_the_limit_of_slow_bodies() {
    let (executors, discovery) = start_executors_and_discovery();
    let platform = Platform::new();
    let old = platform.start(&discovery);
    let mut clients: Vec<_> = (0..80).map(|_| platform.connect()).collect();
    for connection in &mut clients {
        assert_eq!(send_request(connection, build_request("render", &next_request_id(), 9.0, "")).0, 200);
    }
    let new = platform.start(&discovery);
    old.node.wait_for_log("hot restart: the new process takes clients");
    // Sends half of a body. The node waits for the rest, or rejects at once if too many bodies are incomplete.
    let send_half_body = |connection: &mut BufReader<TcpStream>| {
        let request = build_request("render", &next_request_id(), 9.0, "half");
        connection.get_mut().write_all(&request.as_bytes()[..request.len() - 2]).unwrap();
        connection.get_ref().set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    };
    let is_rejected = |connection: &mut BufReader<TcpStream>| {
        read_message(connection).is_some_and(|(head, _)| head.starts_with("HTTP/1.1 503"))
    };
    clients.iter_mut().for_each(send_half_body);
    wait_until("the new process counts the bodies of the old one", || {
        let mut connection = platform.connect();
        send_half_body(&mut connection);
        is_rejected(&mut connection)
    });
    let rejected = clients.iter_mut().filter_map(|client| is_rejected(client).then_some(())).count();
    assert!((10..70).contains(&rejected), "the old process rejected {rejected} of 80");
    find_used_via_platform(&platform, &executors);
    drop(clients);
    wait_until("the old process has closed its connections", || {
        let mut connection = platform.connect();
        send_half_body(&mut connection);
        !is_rejected(&mut connection)
    });
    assert_eq!((old.call("GET", "/v1/readyz"), new.health()), (200, 200));
}

/// A drain that is requested before the node is ready must not be lost, nor a reload during a hot restart.
#[test]
fn a_drain_during_the_start_applies_and_sighup_reaches_both_processes() {
    let (executors, discovery) = start_executors_and_discovery();
    // Discovery cannot be reached, so the start takes a second.
    let mut unreachable = config(&discovery, settings());
    unreachable["discovery"] = json!("127.0.0.1:9");
    let node = Node::start_from_config(unreachable, |path| spawn_customized_node(path, "info", "", |_| ()));
    let line = node.wait_for_log("admin listening");
    let admin_address = parse_address_field(&line);
    let starting = AdminNode { node, admin_address };
    assert_eq!((starting.call("GET", "/v1/readyz"), starting.call("PUT", "/v1/node/drain")), (503, 200));
    starting.node.wait_for_log("no endpoint list received yet");
    assert_eq!(starting.health(), 503, "the drain that was requested before it was ready applies");
    assert_eq!(starting.call("PUT", "/v1/node/activate"), 200);
    wait_until("the node serves", || starting.health() == 200);

    let platform = Platform::new();
    let (old, new) = (platform.start(&discovery), platform.start(&discovery));
    old.node.wait_for_log("hot restart: the new process takes clients");
    for process in [&old, &new] {
        let mut config = process.node.config.clone();
        config["settings"] = settings_with_classes(&[("render", "safe", 20), ("thumb", "safe", 2)], 2);
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
    find_used_via_platform(&platform, &executors);
}
