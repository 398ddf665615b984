//! Durable requests of a node's process that is killed and restarted, with scripted executors.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::collections::{BTreeSet, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use troutknot_emulator::scripted::{Action, Discovery, Executor};
use troutknot_ledger::store::{Rows, Store};
use troutknot_ledger::{Record, Row};

/// Paths of the operator's file and the ledger of one test.
struct DurableFiles {
    operator_file: String,
    ledger: String,
}

/// Writes an operator's file with a `[durable]` section that has these additional lines.
fn create_durable_files(extra_lines: &str) -> DurableFiles {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let base = format!("{}/durable-{}-{number}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let (operator_file, ledger) = (format!("{base}.toml"), format!("{base}.ledger"));
    let _ = std::fs::remove_file(&ledger);
    std::fs::write(&operator_file, format!("[durable]\npath = \"{ledger}\"\n{extra_lines}\n")).unwrap();
    DurableFiles { operator_file, ledger }
}

/// Line of the `[durable]` section that enables fencing.
const FENCES: &str = "fences = true";

fn start_node(discovery: &Discovery, files: &DurableFiles) -> Node {
    start_node_with_settings(discovery, files, settings())
}

fn start_node_with_settings(discovery: &Discovery, files: &DurableFiles, settings: Value) -> Node {
    Node::start_with_operator_file(
        discovery.addr,
        (256, 64),
        settings,
        "debug",
        Value::Null,
        &files.operator_file,
    )
}

/// Applies a configuration with this number of attempts to a running node.
fn reload_max_attempts(node: &Node, max_attempts: u64) {
    let mut config = node.config.clone();
    config["settings"] = settings_with_max_attempts(max_attempts);
    node.reload(&config.to_string());
    node.wait_for_log("settings_changed=true");
}

fn build_keyed_request(class: &str, id: &str, key: &str, body: &str) -> String {
    build_request(class, id, 20.0, body).replacen("X-Other: kept", &format!("Idempotency-Key: {key}"), 1)
}

/// Kills the node's process and waits for its end.
fn kill_node(mut node: Node) {
    node.process.kill().unwrap();
    node.process.wait().unwrap();
}

/// Sends a request, and kills the node once the executor has received it.
fn kill_node_with_open_attempt(
    discovery: &Discovery,
    files: &DurableFiles,
    executor: &Executor,
    act: Action,
    request: &str,
) {
    let node = start_node(discovery, files);
    executor.actions.lock().unwrap().push_back(act);
    let mut client = node.connect();
    client.get_mut().write_all(request.as_bytes()).unwrap();
    executor.wait_for_attempts(1);
    kill_node(node);
}

/// The fence of the request that the executor received at this index.
fn received_fence(executor: &Executor, index: usize) -> Option<String> {
    field(&executor.requests.lock().unwrap()[index].0, "work-fence").map(String::from)
}

/// A retry with its idempotency key must not run the request a second time, whether it is open, answered or recorded
/// by an earlier process, and a key must not be accepted for another request.
#[test]
fn a_repeated_idempotency_key_gets_the_recorded_answer_or_joins_the_open_request() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let node = start_node(&discovery, &files);
    let first = node.send_request(build_keyed_request("publish", "a1", "k1", "body"));
    assert_eq!((first.0, first.1.1.as_slice()), (200, &b"rrr"[..]));
    let cases = [
        ("another id", build_keyed_request("publish", "a2", "k1", "body"), 200),
        ("another body", build_keyed_request("publish", "a3", "k1", "other"), 422),
        ("another class", build_keyed_request("render", "a4", "k1", "body"), 422),
        ("the same id without its key", build_request("publish", "a1", 20.0, "body"), 409),
        ("a key that is too long", build_keyed_request("publish", "a5", &"k".repeat(256), "body"), 400),
        ("an empty key", build_keyed_request("publish", "a6", "", "body"), 400),
    ];
    for (case, request, expected) in cases {
        let (status, (_, body)) = node.send_request(request);
        assert_eq!(status, expected, "{case}");
        assert!(status != 200 || body == b"rrr", "{case}");
    }
    assert_eq!(executor.requests.lock().unwrap().len(), 1, "the request ran once");
    // A failure is recorded as well, and both answers survive a crash.
    executor.actions.lock().unwrap().push_back(Action::Status500);
    assert_eq!(node.send_request(build_keyed_request("publish", "b1", "k2", "body")).0, 502);
    kill_node(node);
    let node = start_node(&discovery, &files);
    assert_eq!(node.send_request(build_keyed_request("publish", "a7", "k1", "body")).1.1, b"rrr");
    assert_eq!(node.send_request(build_keyed_request("publish", "b2", "k2", "body")).0, 502);
    assert_eq!(executor.requests.lock().unwrap().len(), 2);
    // Two concurrent requests with one key are one request.
    executor.actions.lock().unwrap().push_back(Action::Wait);
    let (mut first, mut second) = (node.connect(), node.connect());
    first.get_mut().write_all(build_keyed_request("publish", "c1", "k3", "x").as_bytes()).unwrap();
    executor.wait_for_attempts(3);
    second.get_mut().write_all(build_keyed_request("publish", "c2", "k3", "x").as_bytes()).unwrap();
    // The request continues although the first client disconnects.
    drop(first);
    executor.resume.send(()).unwrap();
    assert_eq!(read_response(&mut second).0, 200);
    assert_eq!(executor.requests.lock().unwrap().len(), 3);
}

/// Operators query the status of a durable request by its id while it is open and after its answer.
#[test]
fn the_status_of_a_recorded_request_is_served() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files(FENCES);
    let node = start_node(&discovery, &files);
    let query_status = |id: &str| {
        let (status, (_, body)) = node.send_request(format!("GET /_work/{id} HTTP/1.1\r\nHost: n\r\n\r\n"));
        (status, serde_json::from_slice::<Value>(&body).unwrap_or_default())
    };
    assert_eq!(query_status("a1").0, 404);
    executor.actions.lock().unwrap().push_back(Action::Wait);
    let mut client = node.connect();
    client.get_mut().write_all(build_request("publish", "a1", 20.0, "").as_bytes()).unwrap();
    executor.wait_for_attempts(1);
    let (_, job) = query_status("a1");
    assert_eq!((&job["state"], &job["allocations"][0]["fence"]), (&json!("allocated"), &json!(1)));
    executor.resume.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200);
    assert_eq!(query_status("a1").1["state"], "answered");
    assert_eq!(node.send_request("POST /_work/a1 HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n").0, 405);
    let health = node.send_request(HEALTH_CHECK).1.1;
    let health = String::from_utf8(health).unwrap();
    assert!(health.contains("ledger: ready; 1 on record, 0 open"), "{health}");
}

/// A node without a ledger must ignore idempotency keys, send no fences and start no ledger thread.
#[test]
fn without_a_durable_section_no_request_is_recorded() {
    let (executor, discovery) = start_executor_and_discovery();
    let node = Node::start(&discovery);
    assert_eq!(node.send_request(build_keyed_request("publish", "a1", "k1", "")).0, 200);
    assert_eq!(
        node.send_request(build_keyed_request("publish", "a2", "k1", "")).0,
        200,
        "the key is ignored"
    );
    assert_eq!(node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n").0, 404);
    assert_eq!(node.send_request(HEALTH_CHECK).1.1, b"");
    assert_eq!(received_fence(&executor, 0), None);
    let tasks = std::fs::read_dir(format!("/proc/{}/task", node.process.id())).unwrap();
    let names = tasks.filter_map(|task| std::fs::read_to_string(task.unwrap().path().join("comm")).ok());
    assert!(names.into_iter().all(|name| name.trim() != "ledger"));
}

/// After a crash the outcome of an open attempt is unknown to the node. Its executor decides whether the request has
/// a result, may be retried, or has failed.
#[test]
fn attempts_open_at_a_crash_are_resolved_by_querying_their_executors() {
    let done = json!({"state": "done", "result": "late"});
    let (running, never) = (json!({"state": "running"}), json!({"state": "never"}));
    // The executor's answers to status queries in order, the client's status and result, and the number of attempts.
    let cases = [
        ("completed between the crash and the query", vec![done.clone()], 200, "late", 1),
        ("still running when the node restarts", vec![running.clone(), running, done], 200, "late", 1),
        ("recorded and never sent", vec![never], 200, "rrr", 2),
        ("lost by its executor", vec![json!({"state": "lost"})], 502, "", 1),
        ("unknown to a restarted executor", vec![json!({"state": "unknown"})], 502, "", 1),
        ("a state that this version does not recognize", vec![json!({"state": "gone fishing"})], 502, "", 1),
    ];
    for (case, states, status, result, attempts) in cases {
        let (executor, discovery) = start_executor_and_discovery();
        let files = create_durable_files(FENCES);
        kill_node_with_open_attempt(
            &discovery,
            &files,
            &executor,
            Action::Silent,
            &build_keyed_request("publish", "a1", "k", "b"),
        );
        *executor.fence_answers.lock().unwrap() = states.into();
        let node = start_node(&discovery, &files);
        let (actual_status, (_, body)) = node.send_request(build_keyed_request("publish", "a2", "k", "b"));
        assert_eq!((actual_status, body.as_slice()), (status, result.as_bytes()), "{case}");
        assert_eq!(executor.requests.lock().unwrap().len(), attempts, "{case}");
        let query = executor.fence_queries.lock().unwrap()[0].0.clone();
        assert_eq!(
            (field(&query, "work-fence"), field(&query, "request-id")),
            (Some("1"), Some("a1")),
            "{case}"
        );
        if attempts == 2 {
            let (head, body) = executor.requests.lock().unwrap()[1].clone();
            assert_eq!((field(&head, "work-fence"), body.as_slice()), (Some("2"), &b"b"[..]), "{case}");
            assert!(head.starts_with("POST /publish/a?b=c "), "{case}: {head}");
        }
    }
}

/// A crash between the record of an attempt's completion and that of the answer must not lose the result.
#[test]
fn a_completed_attempt_without_a_recorded_answer_is_queried() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files(FENCES);
    kill_node_with_open_attempt(
        &discovery,
        &files,
        &executor,
        Action::Silent,
        &build_keyed_request("publish", "a1", "k", "b"),
    );
    {
        let store = Store::open(files.ledger.as_ref()).unwrap();
        let rows = store.read_rows(troutknot::RequestId(0)).unwrap();
        let (request_id, attempt_id, outcome) =
            (troutknot::RequestId(0), troutknot::AttemptId(0), troutknot::Outcome::Completed);
        let (recorded_at, sequence) = (rows.last().unwrap().recorded_at, rows.len() as u32);
        store
            .commit(&[Row {
                recorded_at,
                sequence,
                record: Record::Ended { request_id, attempt_id, outcome },
            }])
            .unwrap();
    }
    *executor.fence_answers.lock().unwrap() = vec![json!({"state": "done", "result": "late"})].into();
    let node = start_node(&discovery, &files);
    assert_eq!(node.send_request(build_keyed_request("publish", "a2", "k", "b")).1.1, b"late");
    assert_eq!(executor.requests.lock().unwrap().len(), 1);
}

/// Without fencing, nothing proves that an attempt from before a crash has not run, so only idempotent requests may
/// be retried.
#[test]
fn at_most_once_requests_are_not_retried_without_fencing() {
    for (class, status, attempts) in [("publish", 502, 1), ("render", 200, 2)] {
        let (executor, discovery) = start_executor_and_discovery();
        let files = create_durable_files("");
        kill_node_with_open_attempt(
            &discovery,
            &files,
            &executor,
            Action::Silent,
            &build_keyed_request(class, "a1", "k", "b"),
        );
        let node = start_node(&discovery, &files);
        assert_eq!(node.send_request(build_keyed_request(class, "a2", "k", "b")).0, status, "{class}");
        assert_eq!(executor.requests.lock().unwrap().len(), attempts, "{class}");
        assert_eq!(received_fence(&executor, 0), None, "{class}");
    }
}

/// A restart must not give a request new attempts beyond its limit.
#[test]
fn the_limit_on_attempts_counts_those_of_earlier_processes() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let request = build_keyed_request("render", "a1", "k", "b");
    kill_node_with_open_attempt(&discovery, &files, &executor, Action::Silent, &request);
    for attempts in 2..=3 {
        executor.actions.lock().unwrap().push_back(Action::Silent);
        let node = start_node(&discovery, &files);
        executor.wait_for_attempts(attempts);
        kill_node(node);
    }
    let node = start_node(&discovery, &files);
    let query_status = || node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n").0;
    wait_until("the request is rejected after three attempts and removed", || query_status() == 404);
    assert_eq!(executor.requests.lock().unwrap().len(), 3);
    assert_eq!(
        node.send_request(&request).0,
        200,
        "a retry with the key of a rejected request is a new request"
    );
    assert_eq!(executor.requests.lock().unwrap().len(), 4);
}

/// A limit on attempts that was lowered since a request was recorded must not make its records invalid: the node has to
/// start, and to return the recorded answer.
#[test]
fn a_node_starts_on_records_with_more_attempts_than_a_reload_allows_since() {
    for signal in ["TERM", "KILL"] {
        let (executor, discovery) = start_executor_and_discovery();
        let files = create_durable_files("");
        let mut node = start_node(&discovery, &files);
        executor.actions.lock().unwrap().extend([Action::Rejected, Action::Rejected, Action::Done]);
        assert_eq!(node.send_request(build_keyed_request("publish", "a1", "k1", "b")).0, 200);
        assert_eq!(executor.requests.lock().unwrap().len(), 3, "three attempts are on record");
        reload_max_attempts(&node, 1);
        assert_eq!(node.send_request(HEALTH_CHECK).0, 200, "the node serves under the new configuration");
        node.signal(signal);
        node.process.wait().unwrap();
        drop(node);
        let node = start_node_with_settings(&discovery, &files, settings_with_max_attempts(1));
        let (status, (_, body)) = node.send_request(build_keyed_request("publish", "a2", "k1", "b"));
        assert_eq!((status, body.as_slice()), (200, &b"rrr"[..]), "the recorded answer after SIG{signal}");
        assert_eq!(node.send_request(build_keyed_request("publish", "a3", "k2", "b")).0, 200);
        assert_eq!(executor.requests.lock().unwrap().len(), 4, "the first request is not dispatched again");
    }
}

/// A reload of the limit on attempts has to apply to durable requests like to all others: new ones follow it at once,
/// raised or lowered, and one in flight keeps the limit of its arrival.
#[test]
fn a_reloaded_limit_on_attempts_applies_to_new_durable_requests() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let node = start_node_with_settings(&discovery, &files, settings_with_max_attempts(1));
    let post = |actions: &[Action]| {
        let before = executor.requests.lock().unwrap().len();
        executor.actions.lock().unwrap().extend(actions);
        let status = node.send_request(build_request("publish", &next_request_id(), 20.0, "b")).0;
        executor.actions.lock().unwrap().clear();
        (status, executor.requests.lock().unwrap().len() - before)
    };
    let rejected_twice = [Action::Rejected, Action::Rejected, Action::Done];
    assert_eq!(post(&rejected_twice), (503, 1), "one attempt by the settings of the start");
    reload_max_attempts(&node, 3);
    assert_eq!(post(&rejected_twice), (200, 3), "three attempts after the limit was raised");
    executor.actions.lock().unwrap().extend([Action::WaitAndReject, Action::Rejected, Action::Done]);
    let mut client = node.connect();
    let before = executor.requests.lock().unwrap().len();
    client.get_mut().write_all(build_request("publish", "open", 20.0, "b").as_bytes()).unwrap();
    executor.wait_for_attempts(before + 1);
    reload_max_attempts(&node, 2);
    executor.resume.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200, "three attempts by the settings of its arrival");
    assert_eq!(post(&rejected_twice), (503, 2), "two attempts after the limit was lowered");
}

/// The limit on attempts at a start applies to recovered requests with the attempts on their records, whether it was
/// raised or lowered. A request over the limit must not be dispatched again, and must still get its answer.
#[test]
fn recovered_requests_follow_the_limit_on_attempts_of_each_start() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let request = build_keyed_request("render", "a1", "k", "b");
    for (max_attempts, attempts) in [(1, 1), (1, 1), (2, 2), (3, 3)] {
        executor.actions.lock().unwrap().push_back(Action::Silent);
        let node = start_node_with_settings(&discovery, &files, settings_with_max_attempts(max_attempts));
        if executor.requests.lock().unwrap().is_empty() {
            node.connect().get_mut().write_all(request.as_bytes()).unwrap();
        }
        executor.wait_for_attempts(attempts);
        kill_node(node);
    }
    let node = start_node_with_settings(&discovery, &files, settings_with_max_attempts(2));
    let query_status = || node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n").0;
    wait_until("the request is rejected and removed", || query_status() == 404);
    assert_eq!(executor.requests.lock().unwrap().len(), 3);
}

/// An at-most-once request that is over the limit on attempts after a restart must get the result of its last attempt.
#[test]
fn the_result_of_an_open_attempt_is_recovered_after_fewer_attempts_are_allowed() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files(FENCES);
    let node = start_node(&discovery, &files);
    executor.actions.lock().unwrap().extend([Action::Rejected, Action::Rejected, Action::Silent]);
    node.connect().get_mut().write_all(build_keyed_request("publish", "a1", "k", "b").as_bytes()).unwrap();
    executor.wait_for_attempts(3);
    kill_node(node);
    *executor.fence_answers.lock().unwrap() =
        vec![json!({"state": "running"}), json!({"state": "done", "result": "late"})].into();
    let node = start_node_with_settings(&discovery, &files, settings_with_max_attempts(1));
    let (status, (_, body)) = node.send_request(build_keyed_request("publish", "a2", "k", "b"));
    assert_eq!((status, body.as_slice()), (200, &b"late"[..]));
    assert_eq!(executor.requests.lock().unwrap().len(), 3);
}

/// The settings with this effect of the class `publish`.
fn settings_with_effect_of_publish(effect: &str) -> Value {
    let mut settings = settings();
    settings["project_types"][1]["effect"] = json!(effect);
    settings
}

/// A request that was recorded as at-most-once and may have run must not be rejected because its class has become
/// idempotent since: its client would retry it with its key, and it would run a second time. Nor may one that was
/// recorded as idempotent be dispatched again once its class is at-most-once.
#[test]
fn a_changed_effect_of_the_class_permits_no_second_run_of_a_recorded_request() {
    for (before, after) in [("unsafe", "safe"), ("safe", "unsafe")] {
        let (executor, discovery) = start_executor_and_discovery();
        let files = create_durable_files("");
        let request = |id: &str| build_keyed_request("publish", id, "k", "b");
        let node = start_node_with_settings(&discovery, &files, settings_with_effect_of_publish(before));
        executor.actions.lock().unwrap().push_back(Action::Silent);
        node.connect().get_mut().write_all(request("a1").as_bytes()).unwrap();
        executor.wait_for_attempts(1);
        kill_node(node);
        let node = start_node_with_settings(&discovery, &files, settings_with_effect_of_publish(after));
        for id in ["a2", "a3"] {
            assert_eq!(node.send_request(request(id)).0, 502, "{before}, then {after}: {id}");
        }
        assert_eq!(executor.requests.lock().unwrap().len(), 1, "{before}, then {after}");
    }
}

/// A class that is gone from the settings must not free the keys of its requests: their answers are given again once the
/// class is back, and an open request that may have run is failed.
#[test]
fn records_of_a_class_that_is_removed_for_a_while_keep_their_answers() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let node = start_node(&discovery, &files);
    assert_eq!(node.send_request(build_keyed_request("publish", "a1", "k1", "b")).0, 200);
    executor.actions.lock().unwrap().push_back(Action::Silent);
    node.connect().get_mut().write_all(build_keyed_request("publish", "b1", "k2", "b").as_bytes()).unwrap();
    executor.wait_for_attempts(2);
    kill_node(node);
    let mut without_publish = settings();
    without_publish["project_types"].as_array_mut().unwrap().truncate(1);
    let node = start_node_with_settings(&discovery, &files, without_publish);
    assert_eq!(node.send_request(build_keyed_request("publish", "a2", "k1", "b")).0, 404);
    wait_until("the open request is answered", || {
        String::from_utf8(node.send_request(HEALTH_CHECK).1.1).unwrap().contains("2 on record, 0 open")
    });
    kill_node(node);
    let node = start_node(&discovery, &files);
    assert_eq!(node.send_request(build_keyed_request("publish", "a3", "k1", "b")).1.1, b"rrr");
    assert_eq!(node.send_request(build_keyed_request("publish", "b2", "k2", "b")).0, 502);
    assert_eq!(executor.requests.lock().unwrap().len(), 2);
}

/// Fewer requests than are on record may be allowed by a changed `most`, and another header may carry the key: the node
/// starts, and gives the recorded answers.
#[test]
fn a_node_starts_on_a_ledger_with_more_requests_than_are_allowed_now() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let node = start_node(&discovery, &files);
    for number in 1..=3 {
        let (id, key) = (format!("a{number}"), format!("k{number}"));
        assert_eq!(node.send_request(build_keyed_request("publish", &id, &key, "b")).0, 200);
    }
    kill_node(node);
    let section = format!("[durable]\npath = \"{}\"\nmost = 1\nkey_header = \"Order\"\n", files.ledger);
    std::fs::write(&files.operator_file, section).unwrap();
    let node = start_node(&discovery, &files);
    let request = |id: &str, key: &str| {
        build_keyed_request("publish", id, key, "b").replacen("Idempotency-Key", "Order", 1)
    };
    assert_eq!(node.send_request(request("b1", "k3")).1.1, b"rrr");
    assert_eq!(node.send_request(request("b2", "k4")).0, 503, "the ledger is full");
    assert_eq!(executor.requests.lock().unwrap().len(), 3);
}

/// The deadline of a recorded request is that of its arrival, whatever its class allows by now.
#[test]
fn a_recovered_request_keeps_its_deadline() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files(FENCES);
    kill_node_with_open_attempt(
        &discovery,
        &files,
        &executor,
        Action::Silent,
        &build_keyed_request("publish", "a1", "k", "b"),
    );
    *executor.fence_answers.lock().unwrap() =
        vec![json!({"state": "running"}), json!({"state": "done", "result": "late"})].into();
    let mut shorter = settings();
    // Shorter than the time between two queries for the attempt's status.
    shorter["project_types"][1]["hard_limit"] = json!(20_000);
    let node = start_node_with_settings(&discovery, &files, shorter);
    let (_, (_, job)) = node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n");
    let job: Value = serde_json::from_slice(&job).unwrap();
    let allowed = job["limit_ms"].as_f64().unwrap() - job["taken_ms"].as_f64().unwrap();
    assert!(allowed > 10_000.0, "{job}");
    wait_until("the result is recovered", || {
        node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n")
            .1
            .1
            .windows(8)
            .any(|part| part == b"answered")
    });
    kill_node(node);
    let node = start_node(&discovery, &files);
    assert_eq!(node.send_request(build_keyed_request("publish", "a2", "k", "b")).1.1, b"late");
    assert_eq!(executor.requests.lock().unwrap().len(), 1);
}

/// Records that contradict each other are damage, which must not be mistaken for changed settings: the node ends with
/// one line that names the row.
#[test]
fn a_node_does_not_start_on_a_ledger_with_more_attempts_than_any_settings_allow() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let node = start_node(&discovery, &files);
    executor.actions.lock().unwrap().extend([Action::Rejected, Action::Rejected, Action::Done]);
    assert_eq!(node.send_request(build_request("publish", "a1", 20.0, "b")).0, 200);
    let config_path = node.config_path.clone();
    kill_node(node);
    let store = Store::open(files.ledger.as_ref()).unwrap();
    let mut rows = store.read_rows(troutknot::RequestId(0)).unwrap();
    rows.truncate(1 + 2 * 3);
    let Record::Dispatched { request_id, executor, lease_until, .. } = rows[5].record.clone() else {
        panic!("{rows:?}")
    };
    let (fence, recorded_at) = (troutknot_ledger::Fence(4), rows[5].recorded_at);
    let ended = Record::Ended {
        request_id,
        attempt_id: troutknot::AttemptId(2),
        outcome: troutknot::Outcome::Rejected,
    };
    let dispatched = Record::Dispatched { request_id, fence, executor, lease_until };
    rows[6] = Row { recorded_at, sequence: 6, record: ended };
    rows.push(Row { recorded_at, sequence: 7, record: dispatched });
    store.commit(&rows).unwrap();
    drop(store);
    let mut node = spawn_node_with_operator_file(&config_path, "info", &files.operator_file);
    let mut error = String::new();
    std::io::Read::read_to_string(&mut node.stderr.take().unwrap(), &mut error).unwrap();
    assert!(!node.wait().unwrap().success());
    assert_eq!(error.lines().count(), 1, "one line: {error}");
    let expected = "row 7 of request 0: the request has had the maximum number of attempts";
    assert!(error.contains(expected), "{error}");
}

/// An executor that stalls for longer than its lease may still be running the request, so a retry needs its
/// confirmation that the attempt never ran.
#[test]
fn an_expired_lease_does_not_permit_a_retry() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("fences = true\nlease = \"200ms\"");
    let node = start_node(&discovery, &files);
    // The executor sends no event for longer than the lease, and is still running when its status is queried.
    executor.actions.lock().unwrap().push_back(Action::Silent);
    *executor.fence_answers.lock().unwrap() =
        vec![json!({"state": "running"}), json!({"state": "done", "result": "woke up"})].into();
    let (status, (_, body)) = node.send_request(build_request("publish", "a1", 20.0, ""));
    assert_eq!((status, body.as_slice()), (200, &b"woke up"[..]));
    assert_eq!(executor.requests.lock().unwrap().len(), 1);
    assert!(field(&executor.requests.lock().unwrap()[0].0, "work-lease") == Some("200"));
    // After a lost connection the executor reports that the attempt never ran, so the request is retried with the
    // next fence.
    executor.fence_answers.lock().unwrap().clear();
    executor.actions.lock().unwrap().push_back(Action::CloseConnection);
    assert_eq!(node.send_request(build_request("publish", "a2", 20.0, "")).0, 200);
    assert_eq!(received_fence(&executor, 2).as_deref(), Some("2"));
}

/// An executor whose connections repeat their last response in front of the response to a fence query, as if a duplicate
/// arrived late. It runs `publish` without an answer and reports its status afterwards.
struct RepeatingExecutor {
    addr: SocketAddr,
    state: Arc<RepeatingState>,
}

#[derive(Default)]
struct RepeatingState {
    /// For each connection the ids that it carried fence queries for, and whether it carried attempts.
    connections: Mutex<Vec<(BTreeSet<String>, bool)>>,
    /// The number of attempts of each `publish` request.
    attempts: Mutex<HashMap<String, usize>>,
    /// The number of fence queries for each request.
    queries: Mutex<HashMap<String, usize>>,
}

/// The request that its executor never runs at the first attempt; it runs all others.
const NEVER_RUN: &str = "never-run";

impl RepeatingExecutor {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, state) = (listener.local_addr().unwrap(), Arc::<RepeatingState>::default());
        let (shared, render_barrier) = (state.clone(), Arc::new(Barrier::new(2)));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, barrier) = (shared.clone(), render_barrier.clone());
                std::thread::spawn(move || state.serve(stream, &barrier));
            }
        });
        RepeatingExecutor { addr, state }
    }
}

impl RepeatingState {
    /// Serves a connection until it ends, or until it receives an attempt of `publish`.
    fn serve(&self, stream: TcpStream, render_barrier: &Barrier) {
        let number = {
            let mut connections = self.connections.lock().unwrap();
            connections.push(Default::default());
            connections.len() - 1
        };
        let mut reader = BufReader::new(stream);
        let mut last_response: Option<String> = None;
        while let Some((head, _)) = read_message(&mut reader) {
            let id = field(&head, "request-id").unwrap_or_default().to_string();
            let response = match head.split([' ', '/']).nth(2) {
                Some("_fence") => {
                    self.connections.lock().unwrap()[number].0.insert(id.clone());
                    let repeated = last_response.take().unwrap_or_default();
                    last_response = Some(self.status_of(&id));
                    Some(repeated + last_response.as_deref().unwrap_or_default())
                }
                Some("publish") => {
                    self.connections.lock().unwrap()[number].1 = true;
                    self.answer_attempt(&id)
                }
                Some("render") => {
                    self.connections.lock().unwrap()[number].1 = true;
                    // Two at once, so that each has a connection of its own.
                    render_barrier.wait();
                    last_response = Some(done(&id));
                    last_response.clone()
                }
                _ => Some(response("queue=0,x0=9")),
            };
            let Some(response) = response else { return };
            if reader.get_mut().write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The response to an attempt of `publish`; none if its connection breaks.
    fn answer_attempt(&self, id: &str) -> Option<String> {
        let mut attempts = self.attempts.lock().unwrap();
        let attempts = attempts.entry(id.to_string()).or_default();
        *attempts += 1;
        (id == NEVER_RUN && *attempts == 2).then(|| done(id))
    }

    fn status_of(&self, id: &str) -> String {
        let mut queries = self.queries.lock().unwrap();
        let queries = queries.entry(id.to_string()).or_default();
        *queries += 1;
        match *queries {
            _ if id == NEVER_RUN => response(&json!({"state": "never"}).to_string()),
            1..=3 => response(&json!({"state": "running"}).to_string()),
            _ => response(&json!({"state": "done", "result": format!("result of {id}")}).to_string()),
        }
    }
}

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn done(id: &str) -> String {
    let event = json!({"id": id, "from": "s-1", "state": "done", "result": format!("result of {id}")});
    response(&format!("{event}\n"))
}

impl RepeatingExecutor {
    /// Starts a node with this executor.
    fn start_node(&self) -> (Node, Discovery) {
        let discovery = Discovery::start(list(7, true, &[entry_at("s-1", self.addr, "Ready")]));
        let node = start_node(&discovery, &create_durable_files(FENCES));
        (node, discovery)
    }

    /// Sends a request of `publish` that loses its connection, and checks that it runs once and gets its own result.
    fn assert_publish_gets_its_result(&self, node: &Node, id: &str) {
        let (status, (_, body)) = node.send_request(build_request("publish", id, 20.0, ""));
        assert_eq!((status, String::from_utf8(body).unwrap()), (200, format!("result of {id}")));
        assert_eq!(self.state.attempts.lock().unwrap()[id], 1, "{id} runs once");
    }

    /// Checks that each connection with queries carried only those for one attempt.
    fn assert_queries_have_their_own_connections(&self) {
        for (queried, has_carried_attempts) in self.state.connections.lock().unwrap().iter() {
            assert!(queried.len() <= 1, "queries for several attempts on one connection: {queried:?}");
            assert!(queried.is_empty() || !has_carried_attempts, "attempts and queries for {queried:?}");
        }
    }
}

/// A result that arrives late on a reused connection must not be taken for the status of another attempt, whose client
/// would get the result of a foreign request.
#[test]
fn a_late_duplicate_result_is_not_the_status_of_another_attempt() {
    let executor = RepeatingExecutor::start();
    let (node, _discovery) = executor.start_node();
    for round in 0..4 {
        // Leaves idle connections that have carried a result.
        let mut clients = [node.connect(), node.connect()];
        for (number, client) in clients.iter_mut().enumerate() {
            let request = build_request("render", &format!("render-{round}-{number}"), 20.0, "");
            client.get_mut().write_all(request.as_bytes()).unwrap();
        }
        clients.iter_mut().for_each(|client| assert_eq!(read_response(client).0, 200));
        executor.assert_publish_gets_its_result(&node, &format!("publish-{round}"));
    }
    executor.assert_queries_have_their_own_connections();
}

/// A `never` that arrives late on a reused connection must not be taken for the status of another attempt, which would run
/// a second time.
#[test]
fn a_late_duplicate_never_permits_no_second_run() {
    let executor = RepeatingExecutor::start();
    let (node, _discovery) = executor.start_node();
    assert_eq!(node.send_request(build_request("publish", NEVER_RUN, 20.0, "")).0, 200);
    for round in 0..4 {
        executor.assert_publish_gets_its_result(&node, &format!("publish-{round}"));
    }
    executor.assert_queries_have_their_own_connections();
}

/// One ledger must not be written by two processes, and a path that cannot be used must be reported at the start.
#[test]
fn a_node_does_not_start_with_a_ledger_that_is_in_use_or_unusable() {
    let (_executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("");
    let node = start_node(&discovery, &files);
    let mut second = spawn_node_with_operator_file(&node.config_path, "info", &files.operator_file);
    let mut error = String::new();
    std::io::Read::read_to_string(&mut second.stderr.take().unwrap(), &mut error).unwrap();
    assert!(!second.wait().unwrap().success());
    assert!(error.contains("ledger `") && error.contains("another process has it open"), "{error}");
    assert_eq!(
        node.send_request(build_request("publish", "a1", 20.0, "")).0,
        200,
        "the first node continues to serve"
    );
    // A path that cannot be used, and a file that is no ledger.
    for (path, expected) in [("/proc/no/ledger", "No such file"), (files.operator_file.as_str(), "ledger")] {
        let operator_file = format!("{}.bad", files.operator_file);
        std::fs::write(&operator_file, format!("[durable]\npath = \"{path}\"\n")).unwrap();
        let mut node = spawn_node_with_operator_file(&node.config_path, "info", &operator_file);
        let mut error = String::new();
        std::io::Read::read_to_string(&mut node.stderr.take().unwrap(), &mut error).unwrap();
        assert!(!node.wait().unwrap().success() && error.contains(expected), "{error}");
        assert_eq!(error.lines().count(), 1, "one line: {error}");
    }
}

/// Changes each row of a ledger in place.
fn edit_rows(path: &str, change: impl Fn(&mut Row)) {
    let store = Store::open(path.as_ref()).unwrap();
    let mut rows = Vec::new();
    store.for_each_row(|row| rows.push(row.unwrap())).unwrap();
    rows.iter_mut().for_each(change);
    store.commit(&rows).unwrap();
}

/// Records from the future, as after the clock was set back by an hour, must not keep requests open for that hour.
#[test]
fn a_clock_that_is_set_back_before_a_restart_extends_no_deadline() {
    const HOUR_MS: f64 = 3_600_000.0;
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files(FENCES);
    kill_node_with_open_attempt(
        &discovery,
        &files,
        &executor,
        Action::Silent,
        &build_keyed_request("publish", "a1", "k", "b"),
    );
    edit_rows(&files.ledger, |row| {
        row.recorded_at += HOUR_MS;
        if let Record::Accepted { deadline, .. } = &mut row.record {
            // The request had one second left.
            *deadline = row.recorded_at + 1000.0;
        }
    });
    *executor.fence_answers.lock().unwrap() = vec![json!({"state": "running"})].into();
    let started_at = std::time::Instant::now();
    let node = start_node(&discovery, &files);
    assert_eq!(node.send_request(build_keyed_request("publish", "a2", "k", "b")).0, 502);
    assert!(started_at.elapsed() < WAIT_TIMEOUT / 2, "not an hour later");
    assert_eq!(executor.requests.lock().unwrap().len(), 1);
}

/// A request whose deadline passed while the node was down must not be dispatched. It is rejected if it has no
/// attempt, and failed if it may have run.
#[test]
fn requests_past_their_deadline_at_a_restart_are_answered_and_not_dispatched() {
    for (has_attempt, status, attempts) in [(false, 200, 2), (true, 502, 1)] {
        let (executor, discovery) = start_executor_and_discovery();
        let files = create_durable_files("");
        kill_node_with_open_attempt(
            &discovery,
            &files,
            &executor,
            Action::Silent,
            &build_keyed_request("publish", "a1", "k", "b"),
        );
        if !has_attempt {
            // Leaves only the first record, as if the node had died before it recorded the attempt.
            let first_row = |store: &Store| store.read_rows(troutknot::RequestId(0)).unwrap()[0].clone();
            let first = first_row(&Store::open(files.ledger.as_ref()).unwrap());
            std::fs::remove_file(&files.ledger).unwrap();
            Store::open(files.ledger.as_ref()).unwrap().commit(&[first]).unwrap();
        }
        edit_rows(&files.ledger, |row| {
            if let Record::Accepted { deadline, .. } = &mut row.record {
                *deadline = row.recorded_at;
            }
        });
        let node = start_node(&discovery, &files);
        wait_until("no request is open", || {
            String::from_utf8(node.send_request(HEALTH_CHECK).1.1).unwrap().contains(" 0 open")
        });
        assert_eq!(executor.requests.lock().unwrap().len(), 1, "nothing is sent past the deadline");
        // A rejected request is a new one when it is retried with its key, and one that may have run stays failed.
        // Until that is recorded, a retry may be answered 503.
        wait_until("a retry with the key is answered", || {
            node.send_request(build_keyed_request("publish", &next_request_id(), "k", "b")).0 == status
        });
        assert_eq!(executor.requests.lock().unwrap().len(), attempts);
    }
}

/// A full ledger must reject durable requests only, and records past their retention must free its space.
#[test]
fn a_full_ledger_rejects_until_expired_records_are_removed() {
    let (executor, discovery) = start_executor_and_discovery();
    let files = create_durable_files("kept = \"100ms\"\nmost = 1");
    let node = start_node(&discovery, &files);
    executor.actions.lock().unwrap().push_back(Action::Wait);
    let mut client = node.connect();
    client.get_mut().write_all(build_keyed_request("publish", "a1", "k", "b").as_bytes()).unwrap();
    executor.wait_for_attempts(1);
    let (status, (head, _)) = node.send_request(build_request("publish", "a2", 20.0, ""));
    assert_eq!((status, field(&head, "retry-after")), (503, Some("1.000")), "the ledger is full");
    assert_eq!(
        node.send_request(build_request("render", "a3", 20.0, "")).0,
        200,
        "requests that are not durable are served"
    );
    executor.resume.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200);
    wait_until("the ledger has space again", || {
        node.send_request(build_request("publish", &next_request_id(), 20.0, "")).0 == 200
    });
    wait_until("the key is no longer on record", || {
        node.send_request(build_keyed_request("publish", &next_request_id(), "k", "other")).0 == 200
    });
}

#[test]
#[ignore = "a measurement: cargo test --release -p troutknotd --test durable -- --ignored --nocapture"]
fn restart_times_with_50000_open_requests() {
    for count in [1_000u64, 50_000] {
        let (executor, discovery) = start_executor_and_discovery();
        let files = create_durable_files("most = 200000");
        kill_node_with_open_attempt(
            &discovery,
            &files,
            &executor,
            Action::Silent,
            &build_keyed_request("render", "m0000000", "k", "b"),
        );
        {
            let store = Store::open(files.ledger.as_ref()).unwrap();
            let first = store.read_rows(troutknot::RequestId(0)).unwrap()[0].clone();
            let Record::Accepted { effect, deadline, digest, payload, .. } = first.record else { panic!() };
            let build_row = |number: u64| {
                let id = format!("m{number:07}");
                // The payload's header lines contain the id as well.
                let mut payload = payload.clone();
                let position = payload.windows(8).position(|part| part == b"m0000000").unwrap();
                payload[position..position + 8].copy_from_slice(id.as_bytes());
                let (request_id, key) = (troutknot::RequestId(number), Some(format!("km{number}")));
                let record =
                    Record::Accepted { request_id, effect, deadline, client_id: id, key, digest, payload };
                Row { recorded_at: first.recorded_at, sequence: 0, record }
            };
            store.commit(&(1..count).map(build_row).collect::<Vec<_>>()).unwrap();
        }
        let started_at = std::time::Instant::now();
        let limits = (1024, 192);
        let node = Node::start_with_operator_file(
            discovery.addr,
            limits,
            settings(),
            "info",
            Value::Null,
            &files.operator_file,
        );
        let ready_after = started_at.elapsed();
        node.wait_for_log("open requests recovered");
        let line = format!(
            "{count} open: ready after {ready_after:?}, all recovered after {:?}",
            started_at.elapsed()
        );
        let mut open = String::new();
        wait_until("all are answered", || {
            open = String::from_utf8(node.send_request(HEALTH_CHECK).1.1).unwrap();
            open.contains(" 0 open")
        });
        let memory = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
        let memory = memory.lines().find(|line| line.starts_with("VmHWM")).unwrap_or("").to_string();
        println!(
            "{line}, all answered after {:?}; {memory}; attempts {}",
            started_at.elapsed(),
            executor.requests.lock().unwrap().len()
        );
    }
}
