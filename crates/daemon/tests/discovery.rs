//! How soon a node receives a change of the endpoint list once discovery can be reached again after a failure.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::{Value, json};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Discovery, Executor};

/// How a watch of the list fails while discovery is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Connections are refused.
    Refused,
    /// The connection is accepted, and nothing is sent.
    Silent,
    /// Only the head of the response is sent.
    HeadOnly,
    /// The head and the first part of a list are sent.
    HalfBody,
    /// The response is 503.
    Unavailable,
    /// The response is 503 after 2 s, as late as the node waits for one.
    LateUnavailable,
    /// The connection is closed after the request.
    Closed,
}
use Failure::*;

const FAILURES: [Failure; 7] = [Refused, Silent, HeadOnly, HalfBody, Unavailable, LateUnavailable, Closed];

/// The number of watches that fail. Discovery can be reached again right after the last of them has arrived.
const FAILED_WATCHES: usize = 3;

/// Upper bound on the time from then until the node is sent the change, which leaves time to apply it.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(5900);

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";

/// Discovery that serves one list, fails for some watches, and serves another list after that.
struct FailingDiscovery {
    addr: SocketAddr,
    /// For `Refused`, where no watch arrives: ends the failure.
    recover: Sender<()>,
    /// Time from the end of the failure until the second list was sent.
    served_after_recovery: Receiver<Duration>,
}

impl FailingDiscovery {
    fn start(failure: Failure, first: String, second: String) -> Self {
        let listener = listen_at((own_loopback(), 0).into());
        let addr = listener.local_addr().unwrap();
        let ((recover, recovered), (sender, served_after_recovery)) = (mpsc::channel(), mpsc::channel());
        thread::spawn(move || {
            let (listener, recovered_at, open_connections) =
                fail_watches(failure, listener, &first, &recovered);
            // Discovery works from here on. Connections of failed watches stay open.
            let (mut watch, _) = listener.accept().unwrap();
            read_watch_request(&mut watch);
            watch.write_all(&[HEAD, second.as_bytes(), b"\n"].concat()).unwrap();
            let _ = sender.send(recovered_at.elapsed());
            while watch.write_all(b"\n").is_ok() {
                thread::sleep(Duration::from_millis(500));
            }
            drop(open_connections);
        });
        FailingDiscovery { addr, recover, served_after_recovery }
    }
}

/// Serves the first list, then fails. Returns the listener, when it can be reached again, and the connections that
/// stay open.
fn fail_watches(
    failure: Failure,
    listener: TcpListener,
    first: &str,
    recovered: &Receiver<()>,
) -> (TcpListener, Instant, Vec<TcpStream>) {
    let (mut watch, _) = listener.accept().unwrap();
    read_watch_request(&mut watch);
    watch.write_all(&[HEAD, first.as_bytes(), b"\n"].concat()).unwrap();
    let mut open = Vec::new();
    match failure {
        Refused => {
            let addr = listener.local_addr().unwrap();
            drop((listener, watch));
            recovered.recv().unwrap();
            return (listen_at(addr), Instant::now(), open);
        }
        Unavailable | Closed => drop(watch),
        Silent | HeadOnly | HalfBody | LateUnavailable => open.push(watch),
    }
    let mut recovered_at = Instant::now();
    for _ in 0..FAILED_WATCHES {
        let (mut stream, _) = listener.accept().unwrap();
        recovered_at = Instant::now();
        read_watch_request(&mut stream);
        let response: &[u8] = match failure {
            HeadOnly => HEAD,
            HalfBody => b"HTTP/1.1 200 OK\r\n\r\n{\"version\": 8,\n \"serv",
            Unavailable | LateUnavailable => b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            Refused | Silent | Closed => b"",
        };
        if failure == LateUnavailable {
            thread::sleep(Duration::from_secs(2));
        }
        stream.write_all(response).unwrap();
        if failure != Closed {
            open.push(stream);
        }
    }
    (listener, recovered_at, open)
}

/// Listens at an address that may have been in use just before.
fn listen_at(addr: SocketAddr) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&addr.into()).unwrap();
    socket.listen(16).unwrap();
    socket.into()
}

/// A loopback address that no other process uses, so that none takes the port while nothing listens on it.
fn own_loopback() -> Ipv4Addr {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, NUMBER.fetch_add(1, Ordering::Relaxed))
}

fn read_watch_request(stream: &mut TcpStream) {
    let (mut request, mut buffer) = (Vec::new(), [0; 1024]);
    while !request.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "the request is complete");
        request.extend_from_slice(&buffer[..length]);
    }
}

/// The settings of a fleet of 300 nodes.
fn fleet_settings(discovery_mode: &str, drain_grace: Duration) -> Value {
    let mut settings = settings();
    settings["balancers"] = json!(300);
    settings["registry_mode"] = json!(discovery_mode);
    // Longer than a change may take to be received.
    settings["contract"]["ask_every"] = json!(10_000_000);
    settings["contract"]["drain_grace"] = json!(drain_grace.as_micros() as u64);
    settings
}

/// An address that nothing listens on.
fn unbound_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The status of the node's response; none if the node closes the connection without one.
fn status(node: &Node, request: &str) -> Option<u16> {
    let mut connection = BufReader::new(TcpStream::connect(node.addr).ok()?);
    connection.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    connection.get_mut().write_all(request.as_bytes()).ok()?;
    let (head, _) = read_message(&mut connection)?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Two lists: the first one has one executor that cannot be reached, and the second one this executor instead.
fn lists_that_replace_an_unreachable_executor_by(executor: &Executor) -> (String, String) {
    let first = list(7, true, &[entry_at("s-1", unbound_address(), "Ready")]);
    (first, list(8, true, &[entry("s-2", executor, "Ready")]))
}

/// With this seed the delay after the last failed watch is close to its upper bound.
const LONG_RETRY_SEED: &str = "8";

fn start_node_with_long_retries(discovery: &FailingDiscovery, settings: Value) -> Node {
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
        "seed": LONG_RETRY_SEED, "limits": {"memory_mb": 64, "sockets": 256}, "settings": settings});
    let node = Node::start_from_config(config, |path| spawn_node(path, "info"));
    wait_until("the node is ready", || status(&node, HEALTH_CHECK) == Some(200));
    node
}

fn assert_change_is_received_in_time(failure: Failure, settings: Value, executor: &Executor) {
    let (first, second) = lists_that_replace_an_unreachable_executor_by(executor);
    let discovery = FailingDiscovery::start(failure, first, second);
    let node = start_node_with_long_retries(&discovery, settings);
    if failure == Refused {
        (0..FAILED_WATCHES).for_each(|_| _ = node.wait_for_log("watch of the endpoint list lost"));
        discovery.recover.send(()).unwrap();
    }
    let served_after_recovery =
        discovery.served_after_recovery.recv_timeout(2 * WAIT_TIMEOUT).expect("the list is watched again");
    assert!(served_after_recovery <= MAX_RECOVERY_TIME, "{failure:?}: {served_after_recovery:?}");
    wait_until("the change is applied", || {
        status(&node, &build_request("render", &next_request_id(), 3.0, "")) == Some(200)
    });
}

/// Delays between retries and timeouts of a watch add up: if discovery recovers right after a failed watch, a change
/// must still reach the node in time.
#[test]
fn a_change_is_received_in_time_after_any_failure_of_discovery() {
    let executor = Executor::start();
    let (short, long) = (Duration::from_millis(500), Duration::from_secs(30));
    let variants = [("automatic", short), ("automatic", long), ("subscribe", short)];
    thread::scope(|scope| {
        for (failure, (discovery_mode, drain_grace)) in
            FAILURES.into_iter().flat_map(|failure| variants.map(|variant| (failure, variant)))
        {
            let (settings, executor) = (fleet_settings(discovery_mode, drain_grace), &executor);
            scope.spawn(move || assert_change_is_received_in_time(failure, settings, executor));
        }
    });
}

/// Keeps this number of client connections open that send nothing, and reconnects those that the node closes.
fn hold_connections(node: SocketAddr, count: usize, is_done: &AtomicBool) {
    let connect = || {
        let stream = TcpStream::connect(node).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let is_open = |mut stream: &TcpStream| matches!(stream.read(&mut [0; 256]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    let mut connections: Vec<TcpStream> = Vec::new();
    while !is_done.load(Ordering::Relaxed) {
        connections.retain(is_open);
        connections.extend((connections.len()..count).filter_map(|_| connect()));
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sets the system's limit on the descriptors of the node's process.
fn limit_descriptors(node: &Node, max_descriptors: u64) {
    let process = Pid::from_child(&node.process);
    let limit = Rlimit { current: Some(max_descriptors), maximum: Some(max_descriptors) };
    prlimit(Some(process), Resource::Nofile, limit).unwrap();
}

/// Sets the flag when it is dropped, so that the threads of a failed test end.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Idle clients that use up the descriptors of a node must not keep it from opening a connection to discovery.
#[test]
fn a_node_at_its_descriptor_limit_reaches_discovery_again_and_serves() {
    const SOCKETS: u64 = 64;
    for failure in [Refused, Silent, Closed] {
        let executor = Executor::start();
        let (first, second) = lists_that_replace_an_unreachable_executor_by(&executor);
        let discovery = FailingDiscovery::start(failure, first, second);
        let settings = fleet_settings("automatic", Duration::from_millis(500));
        let node =
            Node::start_with_operator_file(discovery.addr, (SOCKETS, 64), settings, "info", Value::Null, "");
        limit_descriptors(&node, SOCKETS);
        let is_done = AtomicBool::new(false);
        thread::scope(|scope| {
            let _guard = SetOnDrop(&is_done);
            scope.spawn(|| hold_connections(node.addr, 2 * SOCKETS as usize, &is_done));
            if failure == Refused {
                (0..FAILED_WATCHES).for_each(|_| _ = node.wait_for_log("watch of the endpoint list lost"));
                discovery.recover.send(()).unwrap();
            }
            let served_after_recovery = discovery
                .served_after_recovery
                .recv_timeout(WAIT_TIMEOUT)
                .expect("the list is watched again");
            assert!(served_after_recovery <= MAX_RECOVERY_TIME, "{failure:?}: {served_after_recovery:?}");
            wait_until("the node serves", || {
                status(&node, &build_request("render", &next_request_id(), 3.0, "")) == Some(200)
            });
            let descriptors = std::fs::read_dir(format!("/proc/{}/fd", node.process.id())).unwrap().count();
            assert!(descriptors <= SOCKETS as usize, "{failure:?}: {descriptors} descriptors");
        });
    }
}

/// The largest supported list is in the configuration's cached list and in discovery's first snapshot.
#[test]
fn a_restarted_node_is_ready_in_time_with_the_largest_list() {
    const EXECUTORS: usize = 19_000;
    /// Nine in ten restarted nodes have to be ready within this time by the protocol.
    const READY_WITHIN: Duration = Duration::from_secs(10);
    let executor = Executor::start();
    let all_at = |addr: SocketAddr| -> Vec<Value> {
        (0..EXECUTORS).map(|number| entry_at(&format!("s-{number:08x}"), addr, "Ready")).collect()
    };
    let cached_list = json!({"version": 7, "full": true, "servers": all_at(unbound_address())});
    let discovery = Discovery::start(list(8, true, &all_at(executor.addr)));
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
        "seed": "8c", "limits": {"memory_mb": 512, "sockets": 256}, "settings": settings(), "known": cached_list});
    let mut started_at = None;
    let node = Node::start_from_config(config, |path| {
        started_at = Some(Instant::now());
        spawn_node(path, "info")
    });
    wait_until("the node is ready", || status(&node, HEALTH_CHECK) == Some(200));
    let ready_after = started_at.unwrap().elapsed();
    wait_until("the list is in use", || {
        status(&node, &build_request("render", &next_request_id(), 3.0, "")) == Some(200)
    });
    let served_after = started_at.unwrap().elapsed();
    assert!(
        served_after <= READY_WITHIN,
        "ready after {ready_after:?}, the list in use after {served_after:?}"
    );
}
