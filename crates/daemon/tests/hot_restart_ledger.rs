//! Durable requests during hot restarts and drains: one process at a time has the ledger open, and a client is answered
//! by what is on record, whichever process it asks.
#![allow(clippy::unwrap_used)]
mod common;

use common::durable::{DurableFiles, build_keyed_request, create_durable_files};
use common::platform::*;
use common::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use troutknot_emulator::scripted::{Action, Discovery, Executor};

/// A node with a ledger, whose processes a platform starts.
struct DurableNode {
    platform: Platform,
    files: DurableFiles,
    executor: Executor,
    discovery: Discovery,
}

impl DurableNode {
    fn new() -> Self {
        let (executor, discovery) = start_executor_and_discovery();
        DurableNode { platform: Platform::new(), files: create_durable_files(""), executor, discovery }
    }

    fn start_process(&self) -> AdminNode {
        self.platform.start_with_operator_file(&self.discovery, &self.files.operator_file)
    }

    /// Starts a new process beside the old one, and returns once clients reach the new one alone.
    fn start_successor(&self, old: &AdminNode) -> AdminNode {
        let new = self.start_process();
        old.node.wait_for_log("hot restart: the new process takes clients");
        new
    }

    /// Sends a request on a new connection, and returns its status and result.
    fn send(&self, request: &str) -> (u16, Vec<u8>) {
        let (status, (_, body)) = send_request(&mut self.platform.connect(), request);
        (status, body)
    }

    /// Sends a request with this key on a new connection, and returns its status and result.
    fn submit(&self, key: &str) -> (u16, Vec<u8>) {
        self.send(&keyed(key))
    }

    /// Opens a request with this key, which stays at its executor until that is resumed.
    fn open(&self, key: &str) -> BufReader<TcpStream> {
        let attempts = self.attempts();
        self.executor.actions.lock().unwrap().push_back(Action::Wait);
        let client = self.begin(&keyed(key));
        self.executor.wait_for_attempts(attempts + 1);
        client
    }

    fn begin(&self, request: &str) -> BufReader<TcpStream> {
        let mut client = self.platform.connect();
        client.get_mut().write_all(request.as_bytes()).unwrap();
        client
    }

    fn attempts(&self) -> usize {
        self.executor.requests.lock().unwrap().len()
    }
}

/// A request with this idempotency key, under an id of its own.
fn keyed(key: &str) -> String {
    build_keyed_request("publish", &next_request_id(), key, "b")
}

fn wait_for_end(process: &AdminNode) {
    assert!(process.node.wait_for_log("shutdown complete").ends_with("connections=0"));
}

/// The new process must open the ledger only once the old one has released it, so that no request runs twice; new
/// requests are rejected until then.
#[test]
fn one_process_at_a_time_has_the_ledger_open() {
    let node = DurableNode::new();
    let old = node.start_process();
    let mut open_request = node.open("k1");
    let new = node.start_successor(&old);
    let mut retry = node.begin(&keyed("k1"));
    assert_eq!(node.submit("k2").0, 503, "the previous process has the ledger open");
    assert_eq!(node.platform.submit(&next_request_id()), 200, "requests that are not durable are served");
    old.node.terminate();
    old.node.wait_for_log("shutdown requested");
    node.executor.resume.send(()).unwrap();
    assert_eq!(read_response(&mut open_request).0, 200);
    assert_eq!(read_response(&mut retry).0, 200, "a retry waits for the answer to the open request");
    drop(open_request);
    wait_for_end(&old);
    wait_until("the new process has the ledger", || node.submit("k2").0 == 200);
    assert_eq!(node.submit("k1").0, 200);
    assert_eq!(node.attempts(), 3, "each request ran once");
    drop(new);
}

/// Guards against a 503 for a request that is on record: its client goes on with another key, and the order runs twice.
#[test]
fn the_new_process_answers_by_the_record_while_the_old_one_has_the_ledger_open() {
    let node = DurableNode::new();
    let old = node.start_process();
    assert_eq!(node.send(&build_keyed_request("publish", "a1", "k1", "b")), (200, b"rrr".to_vec()));
    node.executor.actions.lock().unwrap().push_back(Action::Status500);
    assert_eq!(node.submit("k2").0, 502);
    let mut resting = node.begin(&keyed("k3"));
    assert_eq!(read_response(&mut resting).0, 200);
    let new = node.start_successor(&old);
    old.node.terminate();
    old.node.wait_for_log("shutdown requested");
    let cases = [
        ("a recorded result", keyed("k1"), 200),
        ("a recorded failure", keyed("k2"), 502),
        ("another body", build_keyed_request("publish", "a2", "k1", "other"), 422),
        ("a recorded id without its key", build_request("publish", "a1", 9.0, "b"), 409),
        ("a new key", keyed("k9"), 503),
        ("a new id without a key", build_request("publish", &next_request_id(), 9.0, "b"), 503),
    ];
    for (case, request, expected) in cases {
        let (status, result) = node.send(&request);
        assert_eq!(status, expected, "{case}");
        assert!(status != 200 || result == b"rrr", "{case}");
    }
    assert_eq!(node.attempts(), 3, "each request ran once");
    drop(resting);
    wait_for_end(&old);
    wait_until("the new process has the ledger", || node.submit("k9").0 == 200);
    drop(new);
}

/// An old process that does not answer, as one of an earlier release, leaves open whether a request ran: its client is
/// told so at its deadline, and gets the recorded answer later.
#[test]
fn a_request_is_not_rejected_while_its_record_cannot_be_looked_up() {
    let node = DurableNode::new();
    let old = node.start_process();
    assert_eq!(node.submit("k1").0, 200);
    let new = node.start_successor(&old);
    old.node.signal("STOP");
    for key in ["k1", "k2"] {
        let request = keyed(key).replacen("Request-Timeout: 20", "Request-Timeout: 0.3", 1);
        assert_eq!(node.send(&request).0, 502, "{key}");
    }
    let mut waiting = node.begin(&keyed("k1"));
    old.node.signal("CONT");
    assert_eq!(read_response(&mut waiting).0, 200);
    old.node.terminate();
    wait_for_end(&old);
    wait_until("the new process has the ledger", || node.submit("k2").0 == 200);
    assert_eq!(node.attempts(), 2, "each request ran once");
    drop(new);
}

/// Guards against a 503 of a drained node for a request that is on record or was admitted before.
#[test]
fn a_drained_node_answers_by_the_record() {
    let node = DurableNode::new();
    let process = node.start_process();
    assert_eq!(node.submit("k1").0, 200);
    let id = next_request_id();
    assert_eq!(node.platform.submit(&id), 200);
    let mut open_request = node.open("k2");
    assert_eq!(process.call("PUT", "/v1/node/drain"), 200);
    wait_until("the drain has settled", || node.submit(&next_request_id()).0 == 503);
    let attempts = node.attempts();
    let mut retry = node.begin(&keyed("k2"));
    assert_eq!(node.submit("k1").0, 200);
    assert_eq!(node.platform.submit(&id), 409, "an id that was admitted before");
    assert_eq!(node.platform.submit(&next_request_id()), 503);
    node.executor.resume.send(()).unwrap();
    assert_eq!((read_response(&mut open_request).0, read_response(&mut retry).0), (200, 200));
    assert_eq!(node.attempts(), attempts, "nothing new is dispatched");
}

/// A new process whose settings allow fewer attempts than the old one recorded must take over the ledger. If it refused
/// the records, it would reject every durable request for as long as it runs.
#[test]
fn a_hot_restart_with_fewer_attempts_takes_over_the_ledger() {
    let node = DurableNode::new();
    let old = node.start_process();
    node.executor.actions.lock().unwrap().extend([Action::Rejected, Action::Rejected, Action::Done]);
    assert_eq!(node.submit("k1").0, 200);
    let new = node.platform.start_with_settings(
        &node.discovery,
        settings_with_max_attempts(1),
        &node.files.operator_file,
    );
    old.node.wait_for_log("hot restart: the new process takes clients");
    old.node.terminate();
    wait_for_end(&old);
    wait_until("the new process has the ledger", || node.submit("k9").0 == 200);
    assert_eq!(node.submit("k1").0, 200, "the new process returns the recorded answer");
    assert_eq!(node.attempts(), 4, "each request ran once");
    drop(new);
}

/// A client that sends its request slowly must not delay a drain, and an open durable request must be completed.
#[test]
fn a_drain_closes_slow_connections_and_completes_durable_requests() {
    let DurableNode { files, executor, discovery, .. } = DurableNode::new();
    let process = AdminNode::start_customized(&discovery, |program| {
        program.env("TROUTKNOT_FILE", &files.operator_file);
    });
    let node = &process.node;
    let (mut idle, mut slow, mut open) = (node.connect(), node.connect(), node.connect());
    assert_eq!(send_request(&mut idle, build_request("render", &next_request_id(), 3.0, "")).0, 200);
    executor.actions.lock().unwrap().push_back(Action::Wait);
    open.get_mut().write_all(build_request("publish", &next_request_id(), 20.0, "").as_bytes()).unwrap();
    executor.wait_for_attempts(2);
    let request = build_request("render", &next_request_id(), 3.0, "abc");
    let (first_part, rest) = request.split_at(request.len() - 1);
    assert_eq!(process.call("PUT", "/v1/node/drain"), 200);
    slow.get_mut().write_all(first_part.as_bytes()).unwrap();
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "an idle connection closes once the drain has settled");
    let (status, (head, _)) = send_request(&mut slow, rest);
    assert_eq!(
        (status, field(&head, "connection")),
        (503, Some("close")),
        "the request was complete too late: {head}"
    );
    executor.resume.send(()).unwrap();
    let (status, (head, _)) = read_response(&mut open);
    assert_eq!((status, field(&head, "connection")), (200, Some("close")), "the open request is completed");
    assert_eq!(process.call("PUT", "/v1/node/activate"), 200);
    assert_eq!(node.send_request(build_request("publish", &next_request_id(), 3.0, "")).0, 200);
}
