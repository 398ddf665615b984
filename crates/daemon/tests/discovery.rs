//! How soon a node knows what discovery has to tell once it can be reached again, whatever failed before.
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

/// What comes of a call for the list while discovery is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// No connection comes up.
    Refused,
    /// The connection is taken, and nothing is said.
    Silent,
    /// The head of an answer, and no more.
    HeadAlone,
    /// The head and the begin of a list.
    HalfBody,
    /// An answer 503.
    Unavailable,
    /// An answer 503, as late as a call may wait.
    LateUnavailable,
    /// The connection is ended once the call has come.
    Closed,
}
use Failure::*;

const FAILURES: [Failure; 7] = [Refused, Silent, HeadAlone, HalfBody, Unavailable, LateUnavailable, Closed];

/// So many calls fail before discovery can be reached again, right after the last of them has come.
const FAILED_CALLS: usize = 3;

/// What a change has from then on, less what the node needs to take it in.
const TOLD_WITHIN: Duration = Duration::from_millis(5900);

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";

/// Discovery that tells one list, is down for some calls, and tells another list from then on.
struct FailingDiscovery {
    addr: SocketAddr,
    /// For `Refused`, where no call is seen: that it can be reached from now on.
    reachable: Sender<()>,
    /// How long after it could be reached again the second list was told.
    told_after: Receiver<Duration>,
}

impl FailingDiscovery {
    fn start(failure: Failure, first: String, second: String) -> Self {
        let listener = listen_at((own_loopback(), 0).into());
        let addr = listener.local_addr().unwrap();
        let ((reachable, wait), (told, told_after)) = (mpsc::channel(), mpsc::channel());
        thread::spawn(move || {
            let (listener, reachable_since, down) = fail(failure, listener, &first, &wait);
            // From here on it is up. What was open stays as it is.
            let (mut watch, _) = listener.accept().unwrap();
            read_call(&mut watch);
            watch.write_all(&[HEAD, second.as_bytes(), b"\n"].concat()).unwrap();
            let _ = told.send(reachable_since.elapsed());
            while watch.write_all(b"\n").is_ok() {
                thread::sleep(Duration::from_millis(500));
            }
            drop(down);
        });
        FailingDiscovery { addr, reachable, told_after }
    }
}

/// Tells the first list, then fails: the listener, since when it can be reached, and what it leaves open.
fn fail(
    failure: Failure,
    listener: TcpListener,
    first: &str,
    reachable: &Receiver<()>,
) -> (TcpListener, Instant, Vec<TcpStream>) {
    let (mut watch, _) = listener.accept().unwrap();
    read_call(&mut watch);
    watch.write_all(&[HEAD, first.as_bytes(), b"\n"].concat()).unwrap();
    let mut open = Vec::new();
    match failure {
        Refused => {
            let addr = listener.local_addr().unwrap();
            drop((listener, watch));
            reachable.recv().unwrap();
            return (listen_at(addr), Instant::now(), open);
        }
        Unavailable | Closed => drop(watch),
        Silent | HeadAlone | HalfBody | LateUnavailable => open.push(watch),
    }
    let mut reachable_since = Instant::now();
    for _ in 0..FAILED_CALLS {
        let (mut call, _) = listener.accept().unwrap();
        reachable_since = Instant::now();
        read_call(&mut call);
        let said: &[u8] = match failure {
            HeadAlone => HEAD,
            HalfBody => b"HTTP/1.1 200 OK\r\n\r\n{\"version\": 8,\n \"serv",
            Unavailable | LateUnavailable => b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            Refused | Silent | Closed => b"",
        };
        if failure == LateUnavailable {
            thread::sleep(Duration::from_secs(2));
        }
        call.write_all(said).unwrap();
        if failure != Closed {
            open.push(call);
        }
    }
    (listener, reachable_since, open)
}

fn listen_at(addr: SocketAddr) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&addr.into()).unwrap();
    socket.listen(16).unwrap();
    socket.into()
}

/// A loopback address of this process's own, so that nobody else takes a port of it while nobody listens there.
fn own_loopback() -> Ipv4Addr {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, NUMBER.fetch_add(1, Ordering::Relaxed))
}

fn read_call(stream: &mut TcpStream) {
    let (mut call, mut piece) = (Vec::new(), [0; 1024]);
    while !call.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut piece).unwrap();
        assert!(length > 0, "the call comes whole");
        call.extend_from_slice(&piece[..length]);
    }
}

/// The settings of a fleet of 300 nodes.
fn fleet(list_mode: &str, drain_grace: Duration) -> Value {
    let mut settings = settings();
    settings["balancers"] = json!(300);
    settings["registry_mode"] = json!(list_mode);
    // Longer than a change may take to be known.
    settings["contract"]["ask_every"] = json!(10_000_000);
    settings["contract"]["drain_grace"] = json!(drain_grace.as_micros() as u64);
    settings
}

/// An address that nobody listens at.
fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The node's answer; none where it shuts the connection unread.
fn status(node: &Node, request: &str) -> Option<u16> {
    let mut connection = BufReader::new(TcpStream::connect(node.addr).ok()?);
    connection.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    connection.get_mut().write_all(request.as_bytes()).ok()?;
    let (head, _) = read_message(&mut connection)?;
    head.split(' ').nth(1)?.parse().ok()
}

/// The first list has one executor that cannot be reached, the second one in its place that serves.
fn changes_from_nowhere_to(executor: &Executor) -> (String, String) {
    let first = list(7, true, &[entry_at("s-1", nowhere(), "Ready")]);
    (first, list(8, true, &[entry("s-2", executor, "Ready")]))
}

/// With this seed the wait after the last call that fails is nearly as long as it may be.
const PATIENT_SEED: &str = "8";

fn start_patient_node(discovery: &FailingDiscovery, settings: Value) -> Node {
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
        "seed": PATIENT_SEED, "limits": {"memory_mb": 64, "sockets": 256}, "settings": settings});
    let node = Node::start_from_config(config, |path| spawn_node(path, "info"));
    wait_until("it is ready", || status(&node, HEALTH_CHECK) == Some(200));
    node
}

fn assert_told_in_time(failure: Failure, settings: Value, executor: &Executor) {
    let (first, second) = changes_from_nowhere_to(executor);
    let discovery = FailingDiscovery::start(failure, first, second);
    let node = start_patient_node(&discovery, settings);
    if failure == Refused {
        (0..FAILED_CALLS).for_each(|_| _ = node.wait_for_log("watch of the endpoint list lost"));
        discovery.reachable.send(()).unwrap();
    }
    let told_after =
        discovery.told_after.recv_timeout(2 * WAIT_TIMEOUT).expect("the list is asked for again");
    assert!(told_after <= TOLD_WITHIN, "{failure:?}: {told_after:?}");
    wait_until("the change is in use", || {
        status(&node, &build_request("render", &next_request_id(), 3.0, "")) == Some(200)
    });
}

#[test]
fn a_change_is_applied_in_time_after_any_failure_of_discovery() {
    let executor = Executor::start();
    let (short, long) = (Duration::from_millis(500), Duration::from_secs(30));
    let fleets = [("automatic", short), ("automatic", long), ("subscribe", short)];
    thread::scope(|all| {
        for (failure, (list_mode, drain_grace)) in
            FAILURES.into_iter().flat_map(|failure| fleets.map(|fleet| (failure, fleet)))
        {
            let (settings, executor) = (fleet(list_mode, drain_grace), &executor);
            all.spawn(move || assert_told_in_time(failure, settings, executor));
        }
    });
}

/// Clients that hold connections and ask for nothing; whichever the node shuts comes again.
fn hold_connections(node: SocketAddr, count: usize, until_set: &AtomicBool) {
    let connect = || {
        let stream = TcpStream::connect(node).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let is_open = |mut stream: &TcpStream| matches!(stream.read(&mut [0; 256]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    let mut crowd: Vec<TcpStream> = Vec::new();
    while !until_set.load(Ordering::Relaxed) {
        crowd.retain(is_open);
        crowd.extend((crowd.len()..count).filter_map(|_| connect()));
        thread::sleep(Duration::from_millis(5));
    }
}

/// The system refuses the node's process any further descriptor from here on.
fn limit_descriptors(node: &Node, most: u64) {
    let process = Pid::from_child(&node.process);
    let limit = Rlimit { current: Some(most), maximum: Some(most) };
    prlimit(Some(process), Resource::Nofile, limit).unwrap();
}

/// Sets the flag when it is dropped, so that a test that fails ends its threads.
struct SetAtEnd<'a>(&'a AtomicBool);

impl Drop for SetAtEnd<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[test]
fn a_node_full_of_idle_clients_reaches_discovery_again_and_serves() {
    const SOCKETS: u64 = 64;
    for failure in [Refused, Silent, Closed] {
        let executor = Executor::start();
        let (first, second) = changes_from_nowhere_to(&executor);
        let discovery = FailingDiscovery::start(failure, first, second);
        let settings = fleet("automatic", Duration::from_millis(500));
        let node =
            Node::start_with_operator_file(discovery.addr, (SOCKETS, 64), settings, "info", Value::Null, "");
        limit_descriptors(&node, SOCKETS);
        let over = AtomicBool::new(false);
        thread::scope(|all| {
            let _ends = SetAtEnd(&over);
            all.spawn(|| hold_connections(node.addr, 2 * SOCKETS as usize, &over));
            if failure == Refused {
                (0..FAILED_CALLS).for_each(|_| _ = node.wait_for_log("watch of the endpoint list lost"));
                discovery.reachable.send(()).unwrap();
            }
            let told_after =
                discovery.told_after.recv_timeout(WAIT_TIMEOUT).expect("the list is asked for again");
            assert!(told_after <= TOLD_WITHIN, "{failure:?}: {told_after:?}");
            wait_until("it serves", || {
                status(&node, &build_request("render", &next_request_id(), 3.0, "")) == Some(200)
            });
            let descriptors = std::fs::read_dir(format!("/proc/{}/fd", node.process.id())).unwrap().count();
            assert!(descriptors <= SOCKETS as usize, "{failure:?}: {descriptors} descriptors");
        });
    }
}

/// The largest list of the pages, held before the start and told anew by discovery.
#[test]
fn a_restarted_node_is_ready_in_time_with_the_largest_list() {
    const EXECUTORS: usize = 19_000;
    /// What nine in ten restarted nodes have by the protocol.
    const READY_WITHIN: Duration = Duration::from_secs(10);
    let executor = Executor::start();
    let all_at = |addr: SocketAddr| -> Vec<Value> {
        (0..EXECUTORS).map(|number| entry_at(&format!("s-{number:08x}"), addr, "Ready")).collect()
    };
    let held = json!({"version": 7, "full": true, "servers": all_at(nowhere())});
    let discovery = Discovery::start(list(8, true, &all_at(executor.addr)));
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
        "seed": "8c", "limits": {"memory_mb": 512, "sockets": 256}, "settings": settings(), "known": held});
    let mut started = None;
    let node = Node::start_from_config(config, |path| {
        started = Some(Instant::now());
        spawn_node(path, "info")
    });
    wait_until("it is ready", || status(&node, HEALTH_CHECK) == Some(200));
    let ready_after = started.unwrap().elapsed();
    wait_until("the list is in use", || {
        status(&node, &build_request("render", &next_request_id(), 3.0, "")) == Some(200)
    });
    let served_after = started.unwrap().elapsed();
    assert!(
        served_after <= READY_WITHIN,
        "ready after {ready_after:?}, the list used after {served_after:?}"
    );
}
