//! Fleets of the size of a node's bound and above, on loopback: who is served, and what operators are told.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use troutknot_emulator::scripted::{Act, Discovery, Executor};

const CALL: &str = "GET /v1/executors HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";

/// What a node answers operators of its executors.
#[derive(Debug, Default, PartialEq)]
struct Figures {
    listed: usize,
    kept: usize,
    left_out: usize,
    bound: usize,
}

/// A node as a process that operators may call.
struct Called {
    node: Node,
    management: SocketAddr,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Called {
    fn start(discovery: &Discovery, memory_mb: u64, known: Value) -> Self {
        let management = free_address();
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
            "management": management.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": memory_mb, "sockets": 1024}, "settings": settings(), "known": known});
        let node = Node::start_from_config(config, |path| spawn_node(path, "info"));
        wait_until("it is ready", || node.send_request(HEALTH_CHECK).0 == 200);
        Called { node, management }
    }

    fn call(&self, call: &str) -> (u16, String) {
        let mut connection = std::io::BufReader::new(TcpStream::connect(self.management).unwrap());
        let (status, (_, body)) = send_request(&mut connection, call);
        (status, String::from_utf8(body).unwrap())
    }

    fn figures(&self) -> Figures {
        let (status, said) = self.call(CALL);
        assert_eq!(status, 200, "{said}");
        let numbers = said.split(|c: char| !c.is_ascii_digit()).filter(|part| !part.is_empty());
        let numbers: Vec<usize> = numbers.map(|part| part.parse().unwrap()).collect();
        let expected = "listed, kept, left out, bound";
        let words: String = said.trim().chars().filter(|c| !c.is_ascii_digit()).collect();
        assert_eq!(words.split(", ").map(str::trim).collect::<Vec<_>>().join(", "), expected);
        let [listed, kept, left_out, bound] = numbers[..] else { panic!("{said}") };
        Figures { listed, kept, left_out, bound }
    }

    /// Once so many are listed.
    fn figures_of(&self, listed: usize) -> Figures {
        wait_until("the list is taken", || self.figures().listed == listed);
        self.figures()
    }

    /// Serves so many requests one after another.
    fn serves(&self, requests: usize) {
        let mut connection = self.node.connect();
        for _ in 0..requests {
            assert_eq!(
                send_request(&mut connection, build_request("render", &next_request_id(), 3.0, "")).0,
                200
            );
        }
    }

    /// The lines that the log holds so far with this part; a line that is made to come last ends the wait.
    fn lines(&self, part: &str) -> Vec<String> {
        assert_eq!(
            self.call("PUT /v1/node/activate HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n").0,
            200
        );
        self.node.wait_for_log("admin call call=Drain(Resume) status=200");
        let lines = std::mem::take(&mut *self.node.skipped_lines.lock().unwrap());
        lines.into_iter().filter(|line| line.contains(part)).collect()
    }

    fn memory_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.node.process.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(field)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Executors by their numbers, all at one address.
fn fleet(numbers: std::ops::Range<usize>, executor: &Executor, state: &str) -> Vec<Value> {
    numbers.map(|number| entry(&format!("s-{number:08x}"), executor, state)).collect()
}

#[test]
fn a_list_over_the_bound_is_served_by_the_retained_executors_and_fitting_ones_return_at_once() {
    let executor = Executor::start();
    // Nobody listens there: whoever is sent to one that is not listed any more fails.
    let discovery = Discovery::start(list(1, true, &fleet(0..10, &executor, "Ready")));
    let called = Called::start(&discovery, 16, Value::Null);
    let bound = called.figures_of(10).bound;
    assert_eq!(called.figures(), Figures { listed: 10, kept: 10, left_out: 0, bound });
    assert_eq!(called.lines("unretained="), [""; 0], "nothing is said while all fit");

    // A fifth over the bound, over and over: one line, for the figure is one.
    let over = bound + bound / 5;
    let (mut version, whole) = (1, fleet(0..over, &executor, "Ready"));
    for _ in 0..3 {
        version += 1;
        discovery.lines.send(list(version, true, &whole)).unwrap();
    }
    let figures = called.figures_of(over);
    assert_eq!(figures, Figures { listed: over, kept: bound, left_out: over - bound, bound });
    called.serves(50);
    let said = called.lines("unretained=");
    assert_eq!(said.len(), 1, "{said:?}");
    let expected = format!("listed={over} retained={bound} unretained={} bound={bound}", over - bound);
    assert!(said[0].contains(&expected), "{said:?}");

    // Others go, and only that is told: all that were left out are in.
    let gone = over - bound + 7;
    discovery.lines.send(list(version + 1, false, &fleet(0..gone, &executor, "Gone"))).unwrap();
    let figures = called.figures_of(over - gone);
    assert_eq!(figures, Figures { listed: over - gone, kept: over - gone, left_out: 0, bound });
    called.serves(50);
    let said = called.lines("unretained=");
    assert_eq!(said.len(), 1, "{said:?}");
    assert!(said[0].contains(" unretained=0 "), "{said:?}");
}

/// Past what a node holds of those left out it asks for the whole list, once there is room that nobody fills.
#[test]
fn a_list_far_over_the_bound_is_requested_again_when_it_fits() {
    let executor = Executor::start();
    let probe = Discovery::start(list(1, true, &[]));
    let bound = Called::start(&probe, 16, Value::Null).figures().bound;
    let over = bound * 3 / 2;
    let left = over - bound + 100;
    // Each watch begins with the whole list, as it is once the others have gone.
    let discovery = Discovery::start(list(9, true, &fleet(left..over, &executor, "Ready")));
    let known = json!({"version": 7, "full": true, "servers": fleet(0..over, &executor, "Ready")});
    let management = free_address();
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
        "management": management.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 16, "sockets": 1024}, "settings": settings(), "known": known});
    let node = Node::start_from_config(config, |path| spawn_node(path, "info"));
    let called = Called { node, management };
    let figures = called.figures_of(over - left);
    assert_eq!(figures, Figures { listed: over - left, kept: over - left, left_out: 0, bound });
    assert!(discovery.asked.recv_timeout(WAIT_TIMEOUT).unwrap().contains("index=7"));
    // The list swells over its bound by changes alone, and most of the first ones go: what is held is used up.
    let changes = |version: u64, numbers: std::ops::Range<usize>, state: &str| {
        discovery.lines.send(list(version, false, &fleet(numbers, &executor, state))).unwrap();
    };
    let step = bound / 2;
    changes(10, over..over + step, "Ready");
    changes(11, over + step..over + 2 * step, "Ready");
    wait_until("there are more than are held", || called.figures().left_out > bound / 4);
    changes(12, left..over, "Gone");
    assert!(
        discovery.asked.recv_timeout(WAIT_TIMEOUT).unwrap().ends_with("?stream=1 HTTP/1.1"),
        "with no index"
    );
    called.serves(20);
}

#[test]
fn lists_that_are_too_long_truncated_or_malformed_change_nothing() {
    let executor = Executor::start();
    let discovery = Discovery::start(list(1, true, &fleet(0..10, &executor, "Ready")));
    let called = Called::start(&discovery, 16, Value::Null);
    let figures = called.figures_of(10);
    let cut = json!({"version": 9, "full": true, "servers": [{"id": "s-00000001"}]}).to_string();
    let long = list(9, true, &fleet(0..12_000, &executor, "Ready"));
    assert!(long.len() > 1024 * 1024, "it is over its bound");
    for (what, text, part) in [
        ("no state", &cut, "missing field `state`"),
        ("too long", &long, "invalid endpoint list: it is too long"),
        (
            "cut in the middle of an entry",
            &format!("{}\n\n", &long[..5000]),
            "invalid endpoint list: it is truncated",
        ),
    ] {
        discovery.lines.send(text.clone()).unwrap();
        called.node.wait_for_log(part);
        called.serves(3);
        assert_eq!(called.figures(), figures, "{what}");
        assert_eq!(called.lines(part), [""; 0], "{what}: it is said once");
    }
    // A name that is repeated is one executor, and the last word on it counts.
    let mut repeated = fleet(0..10, &executor, "Ready");
    repeated.extend(fleet(0..3, &executor, "Terminating"));
    discovery.lines.send(list(20, true, &repeated)).unwrap();
    called.node.wait_for_log("duplicate entries, the last of each counts count=3");
    called.serves(3);
    assert_eq!(called.figures(), figures);
}

/// From the configuration and by the watch, which is the most that reading takes.
#[test]
fn a_node_of_128_mb_serves_a_fleet_of_19_000() {
    const FLEET: usize = 19_000;
    let executor = Executor::start();
    let whole = fleet(0..FLEET, &executor, "Ready");
    let discovery = Discovery::start(list(8, true, &whole));
    let start = Instant::now();
    let called = Called::start(&discovery, 128, json!({"version": 7, "full": true, "servers": whole}));
    let figures = called.figures_of(FLEET);
    assert_eq!((figures.kept, figures.left_out), (FLEET, 0));
    assert!(figures.bound >= FLEET * 3 / 2, "{figures:?}");
    called.serves(100);
    // Whole lists over and over take no more each time.
    for version in 0..4 {
        let more = FLEET + 1 + version;
        discovery.lines.send(list(9 + version as u64, true, &fleet(0..more, &executor, "Ready"))).unwrap();
        assert_eq!(called.figures_of(more).kept, more);
    }
    called.serves(100);
    assert_eq!(called.lines("unretained="), [""; 0]);
    let peak = called.memory_kb("VmHWM");
    assert!(peak <= 128 * 1024 * 2 / 3, "{peak} KB at the peak");
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
}

/// One that drains loses its place to those that are ready; what runs there is seen through, and its name is known.
#[test]
fn a_displaced_executor_completes_its_attempts_and_gets_nothing_new() {
    let (slow, others) = (Executor::start(), Executor::start());
    let first = vec![entry("slow", &slow, "Ready")];
    let discovery = Discovery::start(list(1, true, &first));
    let called = Called::start(&discovery, 16, Value::Null);
    let bound = called.figures_of(1).bound;
    slow.acts.lock().unwrap().push_back(Act::Wait);
    let mut client = called.node.connect();
    client.get_mut().write_all(build_request("publish", &next_request_id(), 10.0, "").as_bytes()).unwrap();
    slow.wait_for(1);
    let mut over = fleet(0..bound + 10, &others, "Ready");
    over.push(entry("slow", &slow, "Terminating"));
    discovery.lines.send(list(2, true, &over)).unwrap();
    let figures = called.figures_of(bound + 11);
    assert_eq!(figures, Figures { listed: bound + 11, kept: bound, left_out: 11, bound });
    called.serves(20);
    // It is known by its name, for what operators say of it.
    let suspend = |name: &str| {
        let call =
            format!("PUT /v1/executors/{name}/suspend HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n");
        called.call(&call).0
    };
    assert_eq!((suspend("slow"), suspend("never-listed")), (200, 404));
    slow.go_on.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200, "its work is seen through");
    called.serves(20);
    assert_eq!(slow.seen.lock().unwrap().len(), 1, "and it got nothing new");
}
