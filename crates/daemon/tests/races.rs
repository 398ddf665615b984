//! Races in one node, each forced on real sockets: clients that disconnect and signals that arrive between two steps
//! of the handling of a request, of the start or of a shutdown. One more test checks that no name or limit of the
//! settings is built in.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Action, Discovery, Executor, FullBacklogExecutor, SlowReadingExecutor};

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// Closes its socket.
    Close,
    /// Sends RST.
    Reset,
    /// Closes only its sending side, which the node cannot distinguish from a full close.
    HalfClose,
    /// Closes after sending this many bytes of its next request, which may be far more than the node buffers.
    Pipeline(usize),
}
use Disconnect::*;

const DISCONNECTS: [Disconnect; 5] = [Close, Reset, HalfClose, Pipeline(100), Pipeline(200_000)];

fn disconnects_and_classes() -> impl Iterator<Item = (Disconnect, &'static str)> {
    DISCONNECTS.into_iter().flat_map(|disconnect| ["render", "publish"].map(|class| (disconnect, class)))
}

/// Upper bound on the requests that a node answers before it notices a disconnect. They take less than 0.3 s on an
/// idle machine. A count is used, as a time limit would depend on the load of the machine.
const MAX_CHECKS: usize = 500;

impl Disconnect {
    fn perform(self, connection: BufReader<TcpStream>) {
        let mut stream = connection.into_inner();
        match self {
            Close => {}
            HalfClose => {
                stream.shutdown(std::net::Shutdown::Write).unwrap();
                // Keeps the client's socket open.
                std::mem::forget(stream);
            }
            Reset => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
            Pipeline(length) => {
                let next = build_request("render", &next_request_id(), 30.0, &"y".repeat(length));
                stream.write_all(&next.as_bytes()[..length]).unwrap();
            }
        }
    }
}

/// The number of descriptors that a node has open, including those of client connections.
fn count_descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.process.id())).unwrap().count()
}

/// Sends a request that the node rejects for its unknown path, and reads the log up to that rejection.
fn read_log_up_to_now(node: &Node) {
    assert_eq!(node.send_request("POST /sing HTTP/1.1\r\nHost: n\r\nRequest-Id: 1\r\n\r\n").0, 404);
    node.wait_for_log("request not admitted status=404");
}

/// Disconnects the client of a request, and asserts by the order of the log that the node notices it in time.
fn disconnect_and_wait_until_noticed(
    node: &Node,
    disconnect: Disconnect,
    client: BufReader<TcpStream>,
    id: &str,
) {
    disconnect.perform(client);
    let is_noticed = (0..MAX_CHECKS).any(|_| {
        read_log_up_to_now(node);
        node.skipped_lines
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains(&format!("client disconnected client_id={id}")))
    });
    assert!(is_noticed, "{disconnect:?}: not noticed in time");
}

/// The number of attempts of a request that an executor has received.
fn count_attempts(executor: &Executor, id: &str) -> usize {
    let received = executor.requests.lock().unwrap();
    received.iter().filter(|(head, _)| field(head, "request-id") == Some(id)).count()
}

/// Sends a request, and returns its id and client once the executor has received it and carries out `action`.
fn dispatch_and_wait(
    node: &Node,
    executor: &Executor,
    action: Action,
    class: &str,
) -> (String, BufReader<TcpStream>) {
    let (id, mut client) = (next_request_id(), node.connect());
    let received_before = executor.requests.lock().unwrap().len();
    executor.actions.lock().unwrap().push_back(action);
    client.get_mut().write_all(build_request(class, &id, 30.0, "").as_bytes()).unwrap();
    executor.wait_for_attempts(received_before + 1);
    (id, client)
}

/// Settings under which a request may be queued for long, a quarter of its latency objective, and a connection
/// attempt may take long.
fn settings_with_long_waits() -> Value {
    let mut settings = settings();
    for class in 0..2 {
        settings["project_types"][class]["promised_turnaround"] = json!(20_000_000);
    }
    settings["limits"]["connect_timeout"] = json!(10_000_000);
    settings
}

/// Runs a test on one serving node with all cases, and for each case on a node of its own that is shutting down, as a
/// shutdown is short.
fn run_while_serving_and_shutting_down(test: impl Fn(bool, Vec<(Disconnect, &'static str)>) + Send + Copy) {
    thread::scope(|scope| {
        scope.spawn(move || test(false, disconnects_and_classes().collect()));
        disconnects_and_classes().for_each(|case| _ = scope.spawn(move || test(true, vec![case])));
    });
}

/// Starts a node whose only executor delays its replies to load probes. The node waits for a reply for eight times
/// the usual latency plus 5 ms, and dispatches without one after that. With immediate replies, load on the machine
/// would be enough to exceed that time.
fn start_node_with_slow_probes(discovery: &Discovery, executor: &Executor) -> (Node, BufReader<TcpStream>) {
    *executor.load_report_delay.lock().unwrap() = Duration::from_millis(50);
    let node = Node::start_with_limits(discovery, (256, 64), settings_with_long_waits(), "debug");
    let mut other_client = node.connect();
    assert_eq!(send_request(&mut other_client, build_request("render", &next_request_id(), 30.0, "")).0, 200);
    // The first reply may have arrived too late for its request.
    node.wait_for_log("probe completed");
    (node, other_client)
}

/// Whether the node queues the request: the last probe's reply, which shows a queue, has arrived, and no other probe
/// was started.
fn is_queued(node: &Node) -> bool {
    read_log_up_to_now(node);
    let lines = node.skipped_lines.lock().unwrap();
    let last_probe = lines.iter().rev().find(|line| line.contains("probe "));
    last_probe.is_some_and(|line| line.contains("probe completed") && line.contains("queue_length=Some(5.0)"))
}

/// A queued request must be dropped when its client disconnects: dispatching it later would run it for nobody.
#[test]
fn a_queued_request_whose_client_disconnected_is_never_dispatched() {
    run_while_serving_and_shutting_down(|is_shutting_down, cases| {
        let (executor, discovery) = start_executor_and_discovery();
        let (mut node, mut other_client) = start_node_with_slow_probes(&discovery, &executor);
        if is_shutting_down {
            node.terminate();
            node.wait_for_log("shutdown requested");
        }
        for (disconnect, class) in cases {
            // Requests stay queued as long as each probe's reply shows a queue.
            *executor.load_report.lock().unwrap() = "queue=5,x0=0".into();
            let (id, mut client) = (next_request_id(), node.connect());
            client.get_mut().write_all(build_request(class, &id, 30.0, "").as_bytes()).unwrap();
            wait_until("the request is queued", || is_queued(&node));
            disconnect_and_wait_until_noticed(&node, disconnect, client, &id);
            // Each completion of another request frees a slot, which the queued one would get.
            *executor.load_report.lock().unwrap() = "queue=0,x0=8".into();
            for _ in 0..5 {
                assert_eq!(
                    send_request(&mut other_client, build_request("render", &next_request_id(), 30.0, "")).0,
                    200
                );
            }
            assert_eq!(
                count_attempts(&executor, &id),
                0,
                "{class} {disconnect:?} shutting down: {is_shutting_down}"
            );
        }
        if !is_shutting_down {
            node.terminate();
        }
        assert!(node.process.wait().unwrap().success());
    });
}

/// The first attempt is rejected before it starts, and the client disconnects while the request is queued for a
/// second one.
#[test]
fn a_request_whose_client_disconnected_between_attempts_is_not_retried() {
    run_while_serving_and_shutting_down(|is_shutting_down, cases| {
        let (executor, discovery) = start_executor_and_discovery();
        let (mut node, mut other_client) = start_node_with_slow_probes(&discovery, &executor);
        if is_shutting_down {
            node.terminate();
            node.wait_for_log("shutdown requested");
        }
        for (disconnect, class) in cases {
            let (id, client) = dispatch_and_wait(&node, &executor, Action::WaitAndReject, class);
            // From now on each probe's reply shows a queue, so that the request is probed for once more and then
            // queued.
            *executor.load_report.lock().unwrap() = "queue=5,x0=0".into();
            executor.resume.send(()).unwrap();
            wait_until("the request is queued", || is_queued(&node));
            disconnect_and_wait_until_noticed(&node, disconnect, client, &id);
            *executor.load_report.lock().unwrap() = "queue=0,x0=8".into();
            for _ in 0..5 {
                assert_eq!(
                    send_request(&mut other_client, build_request("render", &next_request_id(), 30.0, "")).0,
                    200
                );
            }
            assert_eq!(
                count_attempts(&executor, &id),
                1,
                "{class} {disconnect:?} shutting down: {is_shutting_down}"
            );
        }
        if !is_shutting_down {
            node.terminate();
        }
        assert!(node.process.wait().unwrap().success());
    });
}

/// The executor loses the request after its client has disconnected. An idempotent one would be retried for a waiting
/// client; an at-most-once one is left to run.
#[test]
fn a_dispatched_request_whose_client_disconnected_is_not_retried() {
    let (executor, discovery) = start_executor_and_discovery();
    let mut settings = settings();
    for (class, cancel) in [("render", false), ("publish", true)] {
        settings["limits"]["cancel"] = json!(cancel);
        let node = Node::start_with_limits(&discovery, (256, 64), settings.clone(), "debug");
        for disconnect in DISCONNECTS {
            let (id, client) = dispatch_and_wait(&node, &executor, Action::WaitAndLose, class);
            let resumed_before = executor.resumed.load(Ordering::Relaxed);
            disconnect_and_wait_until_noticed(&node, disconnect, client, &id);
            // The node has handled the disconnect before it answers this.
            node.send_request(HEALTH_CHECK);
            executor.resume.send(()).unwrap();
            wait_until("the executor responds", || executor.resumed.load(Ordering::Relaxed) > resumed_before);
            for _ in 0..5 {
                assert_eq!(node.send_request(build_request(class, &next_request_id(), 30.0, "")).0, 200);
            }
            assert_eq!(count_attempts(&executor, &id), 1, "{class} {disconnect:?}");
        }
    }
}

/// The connection to the executor is established only after the client has disconnected; the request must not be sent
/// then.
#[test]
fn an_attempt_whose_client_disconnected_while_it_connects_is_never_sent() {
    let test = |is_shutting_down: bool, disconnect: Disconnect, class: &str| {
        let unaccepting = FullBacklogExecutor::start();
        let discovery = Discovery::start(list(7, true, &[entry_at("s-1", unaccepting.addr, "Ready")]));
        let node = Node::start_with_limits(&discovery, (256, 64), settings_with_long_waits(), "debug");
        let (id, mut client) = (next_request_id(), node.connect());
        client.get_mut().write_all(build_request(class, &id, 30.0, "").as_bytes()).unwrap();
        node.wait_for_log("attempt dispatched executor=s-1 attempt=0 ");
        if is_shutting_down {
            node.terminate();
            node.wait_for_log("shutdown requested");
        }
        disconnect_and_wait_until_noticed(&node, disconnect, client, &id);
        unaccepting.resume.send(()).unwrap();
        let received = unaccepting.received.join().unwrap();
        let received = String::from_utf8_lossy(&received);
        assert!(received.is_empty(), "{class} {disconnect:?} shutting down: {is_shutting_down}: {received}");
    };
    thread::scope(|scope| {
        for is_shutting_down in [false, true] {
            disconnects_and_classes().for_each(|(disconnect, class)| {
                _ = scope.spawn(move || test(is_shutting_down, disconnect, class))
            });
        }
    });
}

/// The executor reads slowly. A request whose client disconnects before the last byte is written must not be
/// completed.
#[test]
fn an_attempt_whose_client_disconnected_while_it_is_written_never_arrives_complete() {
    const BODY_BYTES: usize = 64 * 1024;
    run_while_serving_and_shutting_down(|is_shutting_down, cases| {
        let slow = SlowReadingExecutor::start();
        let discovery = Discovery::start(list(7, true, &[entry_at("s-1", slow.addr, "Ready")]));
        let mut node = Node::start_with_limits(&discovery, (256, 64), settings_with_long_waits(), "debug");
        if is_shutting_down {
            node.terminate();
            node.wait_for_log("shutdown requested");
        }
        for (disconnect, class) in cases {
            let (id, mut client) = (next_request_id(), node.connect());
            let request = build_request(class, &id, 30.0, &"~".repeat(BODY_BYTES));
            client.get_mut().write_all(request.as_bytes()).unwrap();
            slow.heads.recv_timeout(WAIT_TIMEOUT).unwrap();
            disconnect_and_wait_until_noticed(&node, disconnect, client, &id);
            slow.resume.send(()).unwrap();
            let received_bytes = slow.remaining_bytes.recv_timeout(WAIT_TIMEOUT).unwrap();
            assert!(
                received_bytes < BODY_BYTES,
                "{class} {disconnect:?} shutting down: {is_shutting_down}: the complete body arrived"
            );
        }
        node.terminate();
        assert!(node.process.wait().unwrap().success());
    });
}

/// The send and receive queues of one side of an open connection, in bytes, from the system's table of connections:
/// sent and not acknowledged by the other side, and received and not read.
fn read_queue_lengths(local: SocketAddr, remote: SocketAddr) -> Option<(u64, u64)> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let key = format!(":{:04X} 0100007F:{:04X} 01 ", local.port(), remote.port());
    let (_, rest) = table.split_once(&key)?;
    let parse = |position: usize| u64::from_str_radix(&rest[position..position + 8], 16).unwrap();
    Some((parse(0), parse(9)))
}

/// Waits until the node has read everything that this client sent.
fn wait_until_read(node: &Node, client: &TcpStream) {
    let addr = client.local_addr().unwrap();
    wait_until("everything has arrived", || {
        read_queue_lengths(addr, node.addr).is_some_and(|(unsent, _)| unsent == 0)
    });
    wait_until("everything is read", || {
        read_queue_lengths(node.addr, addr).is_some_and(|(_, unread)| unread == 0)
    });
}

/// While a request is open, the node discards input that exceeds its buffer, and so cannot read the next request. It
/// must close the connection after its answer instead of parsing the rest.
#[test]
fn a_client_that_pipelines_more_than_the_buffer_is_answered_and_its_connection_closes() {
    let (executor, discovery) = start_executor_and_discovery();
    let node = Node::start(&discovery);
    for (pipelined_bytes, is_kept_alive) in [(10, true), (200_000, false)] {
        let (_, mut client) = dispatch_and_wait(&node, &executor, Action::Wait, "publish");
        let next = build_request("render", &next_request_id(), 30.0, &"y".repeat(pipelined_bytes));
        client.get_mut().write_all(next.as_bytes()).unwrap();
        // A node that has not read everything yet cannot see that it is too much, and would keep the connection open.
        wait_until_read(&node, client.get_ref());
        executor.resume.send(()).unwrap();
        let (status, (head, body)) = read_response(&mut client);
        assert_eq!((status, body.len()), (200, 3), "{pipelined_bytes}");
        assert_eq!(field(&head, "connection").is_none(), is_kept_alive, "{pipelined_bytes}: {head}");
        if is_kept_alive {
            assert_eq!(read_response(&mut client).0, 200, "{pipelined_bytes}: the next request");
        } else {
            assert_eq!(
                client.read(&mut [0; 1]).unwrap_or(0),
                0,
                "{pipelined_bytes}: the connection is closed"
            );
        }
    }
}

/// Requests that arrive during a shutdown are validated as usual and in time, and do not affect an open request.
#[test]
fn malformed_requests_during_shutdown_are_answered_or_closed_in_time() {
    let (executor, discovery) = start_executor_and_discovery();
    let mut node = Node::start(&discovery);
    let (_, mut open_request) = dispatch_and_wait(&node, &executor, Action::Wait, "publish");
    node.terminate();
    node.wait_for_log("shutdown requested");
    let valid = build_request("render", "1", 3.0, "ab");
    let cases: &[(&str, &str)] = &[
        ("\x01\x02 what\r\n\r\n", "HTTP/1.1 400"),
        (&valid.replace("Length: 2", "Length: -2"), "HTTP/1.1 400"),
        (&valid.replace("render", "sing"), "HTTP/1.1 404"),
        (&valid.replace("Length: 2", "Length: 60000000"), "HTTP/1.1 413"),
        (&valid[..valid.len() - 1], "HTTP/1.1 408"),
        (&valid[..20], "HTTP/1.1 408"),
        ("", ""),
    ];
    thread::scope(|scope| {
        for (request, status) in cases {
            let mut connection = node.connect();
            scope.spawn(move || {
                let sent_at = Instant::now();
                connection.get_mut().write_all(request.as_bytes()).unwrap();
                let mut response = Vec::new();
                let _ = connection.read_to_end(&mut response);
                assert!(sent_at.elapsed() < Duration::from_secs(3), "{request:?}: {:?}", sent_at.elapsed());
                let response = String::from_utf8(response).unwrap();
                assert!(response.starts_with(status), "{request:?}: {response}");
            });
        }
    });
    executor.resume.send(()).unwrap();
    assert_eq!(read_response(&mut open_request).0, 200);
    assert!(node.process.wait().unwrap().success());
}

/// 10,000 clients disconnect at a pseudo-random byte of a request or right after it. A body or a connection that
/// stays reserved would exhaust the node.
#[test]
fn clients_that_disconnect_at_any_byte_leak_nothing() {
    let (_executor, discovery) = start_executor_and_discovery();
    let node = Node::start_with_limits(&discovery, (256, 16), settings(), "info");
    let addr = node.addr;
    assert_eq!(node.send_request(build_request("render", &next_request_id(), 3.0, "")).0, 200);
    // By the system's table of connections, no client's socket is established (01) or waits for the node to
    // acknowledge its close (04) or to close its own side (05).
    let table_key = |state: &str| format!(":{:04X} {state} ", addr.port());
    wait_until("the first clients have disconnected", || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        !["01", "04", "05"].iter().any(|state| table.contains(&table_key(state)))
    });
    // One pooled connection to the executor, and none of a client.
    let count_when_idle = count_descriptors(&node);
    thread::scope(|scope| {
        for seed in 0..4 {
            scope.spawn(move || {
                let mut random = 0x9e37_79b9_7f4a_7c15_u64 ^ seed as u64;
                for _ in 0..2500 {
                    random ^= random << 13;
                    random ^= random >> 7;
                    random ^= random << 17;
                    let request = build_request("render", &next_request_id(), 30.0, &"x".repeat(4096));
                    let sent_bytes = random as usize % (request.len() + 200);
                    let Ok(mut client) = TcpStream::connect(addr) else { continue };
                    if random & (1 << 40) != 0 {
                        let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
                    }
                    let _ = client.write_all(&request.as_bytes()[..sent_bytes.min(request.len())]);
                }
            });
        }
    });
    wait_until("all clients have disconnected", || count_descriptors(&node) <= count_when_idle);
    // If one in fifteen clients leaked its body, no other body would fit.
    let largest = "x".repeat(64 * 1024);
    for _ in 0..20 {
        assert_eq!(node.send_request(build_request("render", &next_request_id(), 20.0, &largest)).0, 200);
    }
}

/// The node reads its configuration from a pipe that the test fills after it has sent the signals. A signal without a
/// handler would end the process by its default action.
#[test]
fn signals_during_the_start_are_handled() {
    for signals in [&["HUP", "TERM"][..], &["HUP", "HUP", "INT"], &["TERM", "TERM"], &["INT"]] {
        let (_executor, discovery) = start_executor_and_discovery();
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
            "seed": "8c", "limits": {"memory_mb": 64, "sockets": 64}, "settings": settings()});
        let path = write_config_file("");
        std::fs::remove_file(&path).unwrap();
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let mut process = spawn_node(&path, "info");
        // Opening the pipe completes once the node opens it for reading.
        let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
        std::fs::remove_file(&path).unwrap();
        std::fs::write(&path, config.to_string()).unwrap();
        for name in signals {
            let id = process.id().to_string();
            assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
        }
        pipe.write_all(config.to_string().as_bytes()).unwrap();
        drop(pipe);
        let status = process.wait().unwrap();
        assert!(status.success(), "{signals:?}: {status}");
    }
}

/// Repeated SIGTERM and a SIGHUP around it must neither end the process early nor lose an open request.
#[test]
fn concurrent_signals_shut_the_node_down_once_and_in_order() {
    let (executor, discovery) = start_executor_and_discovery();
    for signals in
        [&["HUP", "TERM"][..], &["TERM", "HUP"], &["TERM", "TERM", "INT"], &["TERM", "HUP", "TERM"]]
    {
        let mut node = Node::start(&discovery);
        let (_, mut open_request) = dispatch_and_wait(&node, &executor, Action::Wait, "publish");
        for name in signals {
            node.signal(name);
        }
        node.wait_for_log("shutdown requested");
        executor.resume.send(()).unwrap();
        assert_eq!(read_response(&mut open_request).0, 200, "{signals:?}");
        assert!(node.process.wait().unwrap().success(), "{signals:?}");
    }
}

/// A name, effect, tenant, limit or price that the node had built in would take the place of the configured one. Those
/// of this test occur nowhere else in the project.
#[test]
fn names_deadlines_and_effects_are_taken_only_from_the_settings() {
    let (executor, discovery) = start_executor_and_discovery();
    let request_class = |name: &str, effect: &str, hard_limit: u64, credit: f64| {
        json!({"name": name, "effect": effect, "key_scope": "cell", "hard_limit": hard_limit,
            "promised_turnaround": hard_limit / 3, "credit": credit, "window": 1_500_000})
    };
    let settings = json!({"balancers": 3, "me": 2, "zone": 1, "failure_domains": ["left-wing", "right-wing"],
        "kinds": ["tall"], "registry_mode": "automatic",
        "limits": {"max_allocations": 2, "connect_timeout": 90_000, "conn_idle": 700_000, "cancel": false,
            "retry_after": false, "second_copies": false},
        "contract": {"drain_grace": 300_000}, "load_info": {"fields": ["depth", "x0"], "source": "pull"},
        "customers": [{"name": "choir", "quota_per_s": 50.0}, {"name": "band", "quota_per_s": 10.0}],
        "tariffs": {"cross_zone": 0.2, "probe": 0.3, "waste": 0.4},
        "project_types": [request_class("zither", "unsafe", 350_000, 0.5),
            request_class("oboe", "keyed", 4_000_000, 40.0),
            request_class("viola", "safe", 9_000_000, 1.5)]});
    let node = Node::start_with_limits(&discovery, (200, 48), settings, "info");
    for (class, tenant, actions, status, attempts) in [
        ("zither", "choir", &[Action::Done][..], 200, 1),
        ("zither", "band", &[Action::Lost], 502, 1),
        ("zither", "band", &[Action::Rejected, Action::Rejected], 503, 2),
        ("zither", "choir", &[Action::Silent], 502, 1),
        ("oboe", "choir", &[Action::Lost, Action::Done], 200, 2),
        ("viola", "band", &[Action::Lost, Action::Status500], 503, 2),
        ("viola", "choir", &[Action::Done], 200, 1),
        ("viola", "orchestra", &[], 400, 0),
        ("render", "choir", &[], 404, 0),
    ] {
        executor.actions.lock().unwrap().extend(actions);
        let (received_before, sent_at) = (executor.requests.lock().unwrap().len(), Instant::now());
        let request = build_request(class, &next_request_id(), 30.0, "");
        let (actual_status, (head, _)) =
            node.send_request(request.replace("X-Other", &format!("Tenant: {tenant}\r\nX-Other")));
        let received = executor.requests.lock().unwrap().len() - received_before;
        assert_eq!((actual_status, received), (status, attempts), "{class} {tenant} {actions:?}");
        assert!(
            sent_at.elapsed() < Duration::from_secs(2),
            "{class} {actions:?}: within the class's deadline"
        );
        assert!(status == 400 || field(&head, "retry-after").is_none(), "{class}: no Retry-After");
    }
}

/// If the client sends bytes while the node closes a connection, a plain close resets it and discards the part of the
/// response that the client has not read yet.
#[test]
fn the_last_response_of_a_connection_arrives_complete_whatever_the_client_sends() {
    let (executor, discovery) = start_executor_and_discovery();
    let node = Node::start(&discovery);
    for body_bytes in [60_000; 10] {
        let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // With a small receive buffer, most of the response stays in the node's send buffer until the client reads.
        client.set_recv_buffer_size(4096).unwrap();
        client.connect(&node.addr.into()).unwrap();
        let mut client = BufReader::new(TcpStream::from(client));
        executor.actions.lock().unwrap().push_back(Action::Large(body_bytes));
        let request = build_request("render", &next_request_id(), 30.0, "")
            .replace("X-Other", "Connection: close\r\nX-Other");
        client.get_mut().write_all(request.as_bytes()).unwrap();
        client.get_ref().peek(&mut [0]).unwrap();
        client.get_mut().write_all(b"POST /render").unwrap();
        let (status, (_, body)) = read_response(&mut client);
        assert_eq!((status, body.len()), (200, body_bytes));
    }
}
