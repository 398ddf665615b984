//! Durable requests whose records were written under other settings than those in force.
#![allow(clippy::unwrap_used)]
mod common;

use common::durable::*;
use common::*;
use serde_json::{Value, json};
use std::io::Write;
use troutknot_emulator::scripted::Action;

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
    // The limits of successive starts, each of which allows one attempt more, and the limit of the last start.
    for (limits, last_limit) in [(&[1][..], 1), (&[1, 2, 3], 2)] {
        let (executor, discovery) = start_executor_and_discovery();
        // A disk that is slow beside a load must not reject the request.
        let files = create_durable_files("slow_after = \"20s\"");
        let start = |limit| start_node_with_settings(&discovery, &files, settings_with_max_attempts(limit));
        for &limit in limits {
            executor.actions.lock().unwrap().push_back(Action::Silent);
            let node = start(limit);
            if executor.requests.lock().unwrap().is_empty() {
                let request = build_keyed_request("render", "a1", "k", "b");
                node.connect().get_mut().write_all(request.as_bytes()).unwrap();
            }
            executor.wait_for_attempts(limit as usize);
            kill_node(node);
        }
        let node = start(last_limit);
        let query_status = || node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n").0;
        wait_until("the request is rejected and removed", || query_status() == 404);
        assert_eq!(executor.requests.lock().unwrap().len(), limits.len(), "limit {last_limit}");
    }
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
