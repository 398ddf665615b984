//! Fleets at and above a node's bound on retained executors, on loopback: which executors serve, and what the admin
//! API and the log report.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Action, Discovery, Executor};

const STATISTICS_CALL: &str = "GET /v1/executors HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";

/// A node's answer to the admin call for the statistics of its executors.
#[derive(Debug, Default, PartialEq)]
struct Statistics {
    listed: usize,
    retained: usize,
    unretained: usize,
    bound: usize,
}

/// A node with an admin address.
struct AdminNode {
    node: Node,
    admin_address: SocketAddr,
}

/// An address that nothing listens on.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl AdminNode {
    fn start(discovery: &Discovery, memory_mb: u64, cached_list: Value) -> Self {
        let admin_address = free_address();
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
            "management": admin_address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": memory_mb, "sockets": 1024}, "settings": settings(), "known": cached_list});
        let node = Node::start_from_config(config, |path| spawn_node(path, "info"));
        wait_until("the node is ready", || node.send_request(HEALTH_CHECK).0 == 200);
        AdminNode { node, admin_address }
    }

    /// Sends a request to the admin address, and returns the status and the body of the response.
    fn call(&self, request: &str) -> (u16, String) {
        let mut connection = std::io::BufReader::new(TcpStream::connect(self.admin_address).unwrap());
        let (status, (_, body)) = send_request(&mut connection, request);
        (status, String::from_utf8(body).unwrap())
    }

    fn statistics(&self) -> Statistics {
        let (status, text) = self.call(STATISTICS_CALL);
        assert_eq!(status, 200, "{text}");
        let numbers = text.split(|c: char| !c.is_ascii_digit()).filter(|part| !part.is_empty());
        let numbers: Vec<usize> = numbers.map(|part| part.parse().unwrap()).collect();
        let expected_words = "listed, kept, left out, bound";
        let words: String = text.trim().chars().filter(|c| !c.is_ascii_digit()).collect();
        assert_eq!(words.split(", ").map(str::trim).collect::<Vec<_>>().join(", "), expected_words);
        let [listed, retained, unretained, bound] = numbers[..] else { panic!("{text}") };
        Statistics { listed, retained, unretained, bound }
    }

    /// Waits until this number of executors is listed, and returns the statistics.
    fn statistics_of(&self, listed: usize) -> Statistics {
        wait_until("the list is applied", || self.statistics().listed == listed);
        self.statistics()
    }

    /// Sends this number of requests one after another, and asserts that each is completed.
    fn serve_requests(&self, requests: usize) {
        let mut connection = self.node.connect();
        for _ in 0..requests {
            assert_eq!(
                send_request(&mut connection, build_request("render", &next_request_id(), 3.0, "")).0,
                200
            );
        }
    }

    /// The log lines so far that contain this text. An admin call marks the end of the lines to read.
    fn log_lines(&self, text: &str) -> Vec<String> {
        assert_eq!(
            self.call("PUT /v1/node/activate HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n").0,
            200
        );
        self.node.wait_for_log("admin call call=Drain(Resume) status=200");
        let lines = std::mem::take(&mut *self.node.skipped_lines.lock().unwrap());
        lines.into_iter().filter(|line| line.contains(text)).collect()
    }

    /// A field of the process's status in KB.
    fn memory_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.node.process.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Entries of executors with these numbers, all at one address.
fn fleet(numbers: std::ops::Range<usize>, executor: &Executor, state: &str) -> Vec<Value> {
    numbers.map(|number| entry(&format!("s-{number:08x}"), executor, state)).collect()
}

/// A list that exceeds the bound on retained executors must neither stop the service nor fill the log, and an
/// executor that fits after others are gone must not stay unused.
#[test]
fn a_list_over_the_bound_is_served_by_the_retained_executors_and_others_return_when_they_fit() {
    let executor = Executor::start();
    let discovery = Discovery::start(list(1, true, &fleet(0..10, &executor, "Ready")));
    let admin_node = AdminNode::start(&discovery, 16, Value::Null);
    let bound = admin_node.statistics_of(10).bound;
    assert_eq!(admin_node.statistics(), Statistics { listed: 10, retained: 10, unretained: 0, bound });
    assert_eq!(admin_node.log_lines("unretained="), [""; 0], "nothing is logged while all executors fit");

    // A list of a fifth over the bound is sent three times. It is logged once, as the statistics stay the same.
    let over = bound + bound / 5;
    let (mut version, snapshot) = (1, fleet(0..over, &executor, "Ready"));
    for _ in 0..3 {
        version += 1;
        discovery.lines.send(list(version, true, &snapshot)).unwrap();
    }
    let statistics = admin_node.statistics_of(over);
    assert_eq!(statistics, Statistics { listed: over, retained: bound, unretained: over - bound, bound });
    admin_node.serve_requests(50);
    let logged = admin_node.log_lines("unretained=");
    assert_eq!(logged.len(), 1, "{logged:?}");
    let expected = format!("listed={over} retained={bound} unretained={} bound={bound}", over - bound);
    assert!(logged[0].contains(&expected), "{logged:?}");

    // A delta removes executors, and all that were not retained fit.
    let gone = over - bound + 7;
    discovery.lines.send(list(version + 1, false, &fleet(0..gone, &executor, "Gone"))).unwrap();
    let statistics = admin_node.statistics_of(over - gone);
    assert_eq!(statistics, Statistics { listed: over - gone, retained: over - gone, unretained: 0, bound });
    admin_node.serve_requests(50);
    let logged = admin_node.log_lines("unretained=");
    assert_eq!(logged.len(), 1, "{logged:?}");
    assert!(logged[0].contains(" unretained=0 "), "{logged:?}");
}

/// A node caches a bounded number of entries that it does not retain. Once these are used up and executors are gone,
/// it requests a snapshot to fill the free places.
#[test]
fn a_snapshot_is_requested_when_a_list_far_over_the_bound_shrinks() {
    let executor = Executor::start();
    let empty_discovery = Discovery::start(list(1, true, &[]));
    let bound = AdminNode::start(&empty_discovery, 16, Value::Null).statistics().bound;
    let over = bound * 3 / 2;
    let gone = over - bound + 100;
    // Each watch starts with a snapshot, without the executors that are gone.
    let discovery = Discovery::start(list(9, true, &fleet(gone..over, &executor, "Ready")));
    let cached_list = json!({"version": 7, "full": true, "servers": fleet(0..over, &executor, "Ready")});
    let admin_address = free_address();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
        "management": admin_address.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 16, "sockets": 1024}, "settings": settings(), "known": cached_list});
    let node = Node::start_from_config(config, |path| spawn_node(path, "info"));
    let admin_node = AdminNode { node, admin_address };
    let statistics = admin_node.statistics_of(over - gone);
    assert_eq!(statistics, Statistics { listed: over - gone, retained: over - gone, unretained: 0, bound });
    assert!(discovery.requests.recv_timeout(WAIT_TIMEOUT).unwrap().contains("index=7"));
    // Deltas grow the list over the bound, and then remove most of the first executors, which uses up the cached
    // entries.
    let send_delta = |version: u64, numbers: std::ops::Range<usize>, state: &str| {
        discovery.lines.send(list(version, false, &fleet(numbers, &executor, state))).unwrap();
    };
    let step = bound / 2;
    send_delta(10, over..over + step, "Ready");
    send_delta(11, over + step..over + 2 * step, "Ready");
    wait_until("more executors are listed than are cached", || {
        admin_node.statistics().unretained > bound / 4
    });
    send_delta(12, gone..over, "Gone");
    assert!(
        discovery.requests.recv_timeout(WAIT_TIMEOUT).unwrap().ends_with("?stream=1 HTTP/1.1"),
        "a watch without an index requests a snapshot"
    );
    admin_node.serve_requests(20);
}

/// An invalid list from discovery must not replace the current one, even in part.
#[test]
fn lists_that_are_too_long_truncated_or_malformed_change_nothing() {
    let executor = Executor::start();
    let discovery = Discovery::start(list(1, true, &fleet(0..10, &executor, "Ready")));
    let admin_node = AdminNode::start(&discovery, 16, Value::Null);
    let statistics = admin_node.statistics_of(10);
    let incomplete = json!({"version": 9, "full": true, "servers": [{"id": "s-00000001"}]}).to_string();
    let too_long = list(9, true, &fleet(0..12_000, &executor, "Ready"));
    assert!(too_long.len() > 1024 * 1024, "the list is over the bound");
    for (case, text, error) in [
        ("no state", &incomplete, "missing field `state`"),
        ("too long", &too_long, "invalid endpoint list: it is too long"),
        (
            "truncated within an entry",
            &format!("{}\n\n", &too_long[..5000]),
            "invalid endpoint list: it is truncated",
        ),
    ] {
        discovery.lines.send(text.clone()).unwrap();
        admin_node.node.wait_for_log(error);
        admin_node.serve_requests(3);
        assert_eq!(admin_node.statistics(), statistics, "{case}");
        assert_eq!(admin_node.log_lines(error), [""; 0], "{case}: it is logged once");
    }
    // Entries with the same name are one executor, whose last entry counts.
    let mut repeated = fleet(0..10, &executor, "Ready");
    repeated.extend(fleet(0..3, &executor, "Terminating"));
    discovery.lines.send(list(20, true, &repeated)).unwrap();
    admin_node.node.wait_for_log("duplicate entries, the last of each counts count=3");
    admin_node.serve_requests(3);
    assert_eq!(admin_node.statistics(), statistics);
}

/// The list is in the configuration and in the watch, which needs the most memory to parse.
#[test]
fn a_node_of_128_mb_serves_a_fleet_of_19_000() {
    const FLEET: usize = 19_000;
    let executor = Executor::start();
    let snapshot = fleet(0..FLEET, &executor, "Ready");
    let discovery = Discovery::start(list(8, true, &snapshot));
    let started_at = Instant::now();
    let admin_node =
        AdminNode::start(&discovery, 128, json!({"version": 7, "full": true, "servers": snapshot}));
    let statistics = admin_node.statistics_of(FLEET);
    assert_eq!((statistics.retained, statistics.unretained), (FLEET, 0));
    assert!(statistics.bound >= FLEET * 3 / 2, "{statistics:?}");
    admin_node.serve_requests(100);
    // Repeated snapshots do not need more memory each time.
    for version in 0..4 {
        let count = FLEET + 1 + version;
        discovery.lines.send(list(9 + version as u64, true, &fleet(0..count, &executor, "Ready"))).unwrap();
        assert_eq!(admin_node.statistics_of(count).retained, count);
    }
    admin_node.serve_requests(100);
    assert_eq!(admin_node.log_lines("unretained="), [""; 0]);
    let peak = admin_node.memory_kb("VmHWM");
    assert!(peak <= 128 * 1024 * 2 / 3, "{peak} KB at the peak");
    assert!(started_at.elapsed() < Duration::from_secs(15), "{:?}", started_at.elapsed());
}

/// A draining executor is displaced by ready ones. Its open attempts are completed, and admin calls still accept its
/// name.
#[test]
fn a_displaced_executor_completes_its_attempts_and_gets_nothing_new() {
    let (slow, others) = (Executor::start(), Executor::start());
    let initial = vec![entry("slow", &slow, "Ready")];
    let discovery = Discovery::start(list(1, true, &initial));
    let admin_node = AdminNode::start(&discovery, 16, Value::Null);
    let bound = admin_node.statistics_of(1).bound;
    slow.actions.lock().unwrap().push_back(Action::Wait);
    let mut client = admin_node.node.connect();
    client.get_mut().write_all(build_request("publish", &next_request_id(), 10.0, "").as_bytes()).unwrap();
    slow.wait_for_attempts(1);
    let mut over = fleet(0..bound + 10, &others, "Ready");
    over.push(entry("slow", &slow, "Terminating"));
    discovery.lines.send(list(2, true, &over)).unwrap();
    let statistics = admin_node.statistics_of(bound + 11);
    assert_eq!(statistics, Statistics { listed: bound + 11, retained: bound, unretained: 11, bound });
    admin_node.serve_requests(20);
    // The executor can be excluded by its name although it is not retained.
    let suspend = |name: &str| {
        let request =
            format!("PUT /v1/executors/{name}/suspend HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n");
        admin_node.call(&request).0
    };
    assert_eq!((suspend("slow"), suspend("never-listed")), (200, 404));
    slow.resume.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200, "its open attempt is completed");
    admin_node.serve_requests(20);
    assert_eq!(slow.requests.lock().unwrap().len(), 1, "it gets no new request");
}
