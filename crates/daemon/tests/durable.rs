//! Durable requests of a node's process that is killed and restarted, with scripted executors.
#![allow(clippy::unwrap_used)]
mod common;

use common::durable::*;
use common::*;
use serde_json::{Value, json};
use std::io::Write;
use troutknot_emulator::scripted::{Action, Executor};
use troutknot_ledger::store::{Rows, Store};
use troutknot_ledger::{Record, Row};

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
