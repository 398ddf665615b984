//! A node that takes work durably, as a process that dies, between scripted executors.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use troutknot_emulator::scripted::{Act, Discovery, Executor};
use troutknot_ledger::store::{Rows, Store};
use troutknot_ledger::{Record, Row};

/// The operator's file and the ledger of one test.
struct Place {
    own: String,
    ledger: String,
}

fn place(more: &str) -> Place {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let base = format!("{}/durable-{}-{number}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let (own, ledger) = (format!("{base}.toml"), format!("{base}.ledger"));
    let _ = std::fs::remove_file(&ledger);
    std::fs::write(&own, format!("[durable]\npath = \"{ledger}\"\n{more}\n")).unwrap();
    Place { own, ledger }
}

const FENCES: &str = "fences = true";

fn start(discovery: &Discovery, place: &Place) -> Node {
    Node::start_with_operator_file(discovery.addr, (256, 64), settings(), "debug", Value::Null, &place.own)
}

fn keyed(project_type: &str, id: &str, key: &str, body: &str) -> String {
    build_request(project_type, id, 20.0, body).replacen(
        "X-Other: kept",
        &format!("Idempotency-Key: {key}"),
        1,
    )
}

fn die(mut node: Node) {
    node.process.kill().unwrap();
    node.process.wait().unwrap();
}

/// Sends a work unit, and kills the node once it is out.
fn die_with_one_out(discovery: &Discovery, place: &Place, executor: &Executor, act: Act, request: &str) {
    let node = start(discovery, place);
    executor.acts.lock().unwrap().push_back(act);
    let mut client = node.connect();
    client.get_mut().write_all(request.as_bytes()).unwrap();
    executor.wait_for(1);
    die(node);
}

fn fence_of(executor: &Executor, number: usize) -> Option<String> {
    field(&executor.seen.lock().unwrap()[number].0, "work-fence").map(String::from)
}

#[test]
fn a_retry_with_its_key_gets_the_recorded_answer_or_joins_the_open_request() {
    let (executor, discovery) = start_executor_and_discovery();
    let place = place("");
    let node = start(&discovery, &place);
    let first = node.send_request(keyed("publish", "a1", "k1", "body"));
    assert_eq!((first.0, first.1.1.as_slice()), (200, &b"rrr"[..]));
    let cases = [
        ("its id differs", keyed("publish", "a2", "k1", "body"), 200),
        ("another body", keyed("publish", "a3", "k1", "other"), 422),
        ("another project type", keyed("render", "a4", "k1", "body"), 422),
        ("the same id without its key", build_request("publish", "a1", 20.0, "body"), 409),
        ("a key of too many bytes", keyed("publish", "a5", &"k".repeat(256), "body"), 400),
        ("an empty key", keyed("publish", "a6", "", "body"), 400),
    ];
    for (name, request, expected) in cases {
        let (status, (_, body)) = node.send_request(request);
        assert_eq!(status, expected, "{name}");
        assert!(status != 200 || body == b"rrr", "{name}");
    }
    assert_eq!(executor.seen.lock().unwrap().len(), 1, "it ran once");
    // The other kind of answer is on record too, and all of it after a crash.
    executor.acts.lock().unwrap().push_back(Act::Status500);
    assert_eq!(node.send_request(keyed("publish", "b1", "k2", "body")).0, 502);
    die(node);
    let node = start(&discovery, &place);
    assert_eq!(node.send_request(keyed("publish", "a7", "k1", "body")).1.1, b"rrr");
    assert_eq!(node.send_request(keyed("publish", "b2", "k2", "body")).0, 502);
    assert_eq!(executor.seen.lock().unwrap().len(), 2);
    // Two that come at once are one.
    executor.acts.lock().unwrap().push_back(Act::Wait);
    let (mut one, mut two) = (node.connect(), node.connect());
    one.get_mut().write_all(keyed("publish", "c1", "k3", "x").as_bytes()).unwrap();
    executor.wait_for(3);
    two.get_mut().write_all(keyed("publish", "c2", "k3", "x").as_bytes()).unwrap();
    // The first one leaves; that ends nothing.
    drop(one);
    executor.go_on.send(()).unwrap();
    assert_eq!(read_response(&mut two).0, 200);
    assert_eq!(executor.seen.lock().unwrap().len(), 3);
}

#[test]
fn the_status_of_a_recorded_request_is_served() {
    let (executor, discovery) = start_executor_and_discovery();
    let place = place(FENCES);
    let node = start(&discovery, &place);
    let tell = |id: &str| {
        let (status, (_, body)) = node.send_request(format!("GET /_work/{id} HTTP/1.1\r\nHost: n\r\n\r\n"));
        (status, serde_json::from_slice::<Value>(&body).unwrap_or_default())
    };
    assert_eq!(tell("a1").0, 404);
    executor.acts.lock().unwrap().push_back(Act::Wait);
    let mut client = node.connect();
    client.get_mut().write_all(build_request("publish", "a1", 20.0, "").as_bytes()).unwrap();
    executor.wait_for(1);
    let (_, told) = tell("a1");
    assert_eq!((&told["state"], &told["allocations"][0]["fence"]), (&json!("allocated"), &json!(1)));
    executor.go_on.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200);
    assert_eq!(tell("a1").1["state"], "answered");
    assert_eq!(node.send_request("POST /_work/a1 HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n").0, 405);
    let health = node.send_request(HEALTH_CHECK).1.1;
    let health = String::from_utf8(health).unwrap();
    assert!(health.contains("ledger: ready; 1 on record, 0 open"), "{health}");
}

#[test]
fn without_the_section_nothing_is_durable() {
    let (executor, discovery) = start_executor_and_discovery();
    let node = Node::start(&discovery);
    assert_eq!(node.send_request(keyed("publish", "a1", "k1", "")).0, 200);
    assert_eq!(node.send_request(keyed("publish", "a2", "k1", "")).0, 200, "a key means nothing");
    assert_eq!(node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n").0, 404);
    assert_eq!(node.send_request(HEALTH_CHECK).1.1, b"");
    assert_eq!(fence_of(&executor, 0), None);
    let tasks = std::fs::read_dir(format!("/proc/{}/task", node.process.id())).unwrap();
    let names = tasks.filter_map(|t| std::fs::read_to_string(t.unwrap().path().join("comm")).ok());
    assert!(names.into_iter().all(|name| name.trim() != "ledger"));
}

#[test]
fn attempts_in_flight_at_a_crash_are_settled_by_their_executors() {
    let done = json!({"state": "done", "result": "late"});
    let (running, never) = (json!({"state": "running"}), json!({"state": "never"}));
    // What the executor says, one answer after the other; what the client gets, and how often it was sent.
    let cases = [
        ("ended between the crash and the answer", vec![done.clone()], 200, "late", 1),
        ("still running as the node comes back", vec![running.clone(), running, done], 200, "late", 1),
        ("on record and never sent", vec![never], 200, "rrr", 2),
        ("lost by its executor", vec![json!({"state": "lost"})], 502, "", 1),
        ("unknown to an executor that started anew", vec![json!({"state": "unknown"})], 502, "", 1),
        ("a word that is not known", vec![json!({"state": "gone fishing"})], 502, "", 1),
    ];
    for (name, fates, status, result, sent) in cases {
        let (executor, discovery) = start_executor_and_discovery();
        let place = place(FENCES);
        die_with_one_out(&discovery, &place, &executor, Act::Silent, &keyed("publish", "a1", "k", "b"));
        *executor.fates.lock().unwrap() = fates.into();
        let node = start(&discovery, &place);
        let (got, (_, body)) = node.send_request(keyed("publish", "a2", "k", "b"));
        assert_eq!((got, body.as_slice()), (status, result.as_bytes()), "{name}");
        assert_eq!(executor.seen.lock().unwrap().len(), sent, "{name}");
        let asked = executor.asked.lock().unwrap()[0].0.clone();
        assert_eq!(
            (field(&asked, "work-fence"), field(&asked, "request-id")),
            (Some("1"), Some("a1")),
            "{name}"
        );
        if sent == 2 {
            let (head, body) = executor.seen.lock().unwrap()[1].clone();
            assert_eq!((field(&head, "work-fence"), body.as_slice()), (Some("2"), &b"b"[..]), "{name}");
            assert!(head.starts_with("POST /publish/a?b=c "), "{name}: {head}");
        }
    }
}

#[test]
fn a_recorded_end_without_an_answer_is_queried() {
    let (executor, discovery) = start_executor_and_discovery();
    let place = place(FENCES);
    die_with_one_out(&discovery, &place, &executor, Act::Silent, &keyed("publish", "a1", "k", "b"));
    {
        let store = Store::open(place.ledger.as_ref()).unwrap();
        let rows = store.rows_of(troutknot::RequestId(0)).unwrap();
        let (request_id, attempt_id, outcome) =
            (troutknot::RequestId(0), troutknot::AttemptId(0), troutknot::Outcome::Completed);
        let (at, number) = (rows.last().unwrap().at, rows.len() as u32);
        store
            .commit(&[Row {
                at,
                sequence: number,
                record: Record::Ended { request_id, attempt_id, outcome },
            }])
            .unwrap();
    }
    *executor.fates.lock().unwrap() = vec![json!({"state": "done", "result": "late"})].into();
    let node = start(&discovery, &place);
    assert_eq!(node.send_request(keyed("publish", "a2", "k", "b")).1.1, b"late");
    assert_eq!(executor.seen.lock().unwrap().len(), 1);
}

#[test]
fn at_most_once_requests_are_not_retried_without_fencing() {
    for (kind, status, sent) in [("publish", 502, 1), ("render", 200, 2)] {
        let (executor, discovery) = start_executor_and_discovery();
        let place = place("");
        die_with_one_out(&discovery, &place, &executor, Act::Silent, &keyed(kind, "a1", "k", "b"));
        let node = start(&discovery, &place);
        assert_eq!(node.send_request(keyed(kind, "a2", "k", "b")).0, status, "{kind}");
        assert_eq!(executor.seen.lock().unwrap().len(), sent, "{kind}");
        assert_eq!(fence_of(&executor, 0), None, "{kind}");
    }
}

#[test]
fn attempts_are_counted_across_restarts() {
    let (executor, discovery) = start_executor_and_discovery();
    let place = place("");
    let request = keyed("render", "a1", "k", "b");
    die_with_one_out(&discovery, &place, &executor, Act::Silent, &request);
    for sent in 2..=3 {
        executor.acts.lock().unwrap().push_back(Act::Silent);
        let node = start(&discovery, &place);
        executor.wait_for(sent);
        die(node);
    }
    let node = start(&discovery, &place);
    let known = || node.send_request("GET /_work/a1 HTTP/1.1\r\nHost: n\r\n\r\n").0;
    wait_until("it is deferred after three, and forgotten with that", || known() == 404);
    assert_eq!(executor.seen.lock().unwrap().len(), 3);
    assert_eq!(node.send_request(&request).0, 200, "whoever comes back with its key asks anew");
    assert_eq!(executor.seen.lock().unwrap().len(), 4);
}

#[test]
fn an_expired_lease_does_not_permit_a_retry() {
    let (executor, discovery) = start_executor_and_discovery();
    let place = place("fences = true\nlease = \"200ms\"");
    let node = start(&discovery, &place);
    // It says nothing for longer than its lease, and is still running when it is asked.
    executor.acts.lock().unwrap().push_back(Act::Silent);
    *executor.fates.lock().unwrap() =
        vec![json!({"state": "running"}), json!({"state": "done", "result": "woke up"})].into();
    let (status, (_, body)) = node.send_request(build_request("publish", "a1", 20.0, ""));
    assert_eq!((status, body.as_slice()), (200, &b"woke up"[..]));
    assert_eq!(executor.seen.lock().unwrap().len(), 1);
    assert!(field(&executor.seen.lock().unwrap()[0].0, "work-lease") == Some("200"));
    // A cut connection, and its executor says that it never ran: it goes out again, under the next number.
    executor.fates.lock().unwrap().clear();
    executor.acts.lock().unwrap().push_back(Act::Break);
    assert_eq!(node.send_request(build_request("publish", "a2", 20.0, "")).0, 200);
    assert_eq!(fence_of(&executor, 2).as_deref(), Some("2"));
}

#[test]
fn a_ledger_has_one_node() {
    let (_executor, discovery) = start_executor_and_discovery();
    let place = place("");
    let node = start(&discovery, &place);
    let mut second = spawn_node_with_operator_file(&node.path, "info", &place.own);
    let mut said = String::new();
    std::io::Read::read_to_string(&mut second.stderr.take().unwrap(), &mut said).unwrap();
    assert!(!second.wait().unwrap().success());
    assert!(said.contains("ledger `") && said.contains("another process has it open"), "{said}");
    assert_eq!(node.send_request(build_request("publish", "a1", 20.0, "")).0, 200, "the first one serves on");
    // So with one that cannot be used.
    for (path, why) in [("/proc/no/ledger", "No such file"), (place.own.as_str(), "ledger")] {
        let own = format!("{}.bad", place.own);
        std::fs::write(&own, format!("[durable]\npath = \"{path}\"\n")).unwrap();
        let mut node = spawn_node_with_operator_file(&node.path, "info", &own);
        let mut said = String::new();
        std::io::Read::read_to_string(&mut node.stderr.take().unwrap(), &mut said).unwrap();
        assert!(!node.wait().unwrap().success() && said.contains(why), "{said}");
        assert_eq!(said.lines().count(), 1, "one plain line: {said}");
    }
}

/// Rows as they stand, changed, and written again.
fn edit(path: &str, change: impl Fn(&mut Row)) {
    let store = Store::open(path.as_ref()).unwrap();
    let mut rows = Vec::new();
    store.for_each_row(|row| rows.push(row.unwrap())).unwrap();
    rows.iter_mut().for_each(change);
    store.commit(&rows).unwrap();
}

#[test]
fn a_clock_that_jumps_back_across_a_restart_extends_no_deadline() {
    const HOUR: f64 = 3_600_000.0;
    let (executor, discovery) = start_executor_and_discovery();
    let place = place(FENCES);
    die_with_one_out(&discovery, &place, &executor, Act::Silent, &keyed("publish", "a1", "k", "b"));
    edit(&place.ledger, |row| {
        row.at += HOUR;
        if let Record::Taken { deadline: limit, .. } = &mut row.record {
            // It had a second left.
            *limit = row.at + 1000.0;
        }
    });
    *executor.fates.lock().unwrap() = vec![json!({"state": "running"})].into();
    let began = std::time::Instant::now();
    let node = start(&discovery, &place);
    assert_eq!(node.send_request(keyed("publish", "a2", "k", "b")).0, 502);
    assert!(began.elapsed() < WAIT_TIMEOUT / 2, "not an hour later");
    assert_eq!(executor.seen.lock().unwrap().len(), 1);
}

#[test]
fn requests_past_their_deadline_at_a_restart_are_answered_and_not_dispatched() {
    for (taken_only, status, sent) in [(true, 200, 2), (false, 502, 1)] {
        let (executor, discovery) = start_executor_and_discovery();
        let place = place("");
        die_with_one_out(&discovery, &place, &executor, Act::Silent, &keyed("publish", "a1", "k", "b"));
        if taken_only {
            // As if it had died before the allocation was on record.
            let of = |store: &Store| store.rows_of(troutknot::RequestId(0)).unwrap()[0].clone();
            let first = of(&Store::open(place.ledger.as_ref()).unwrap());
            std::fs::remove_file(&place.ledger).unwrap();
            Store::open(place.ledger.as_ref()).unwrap().commit(&[first]).unwrap();
        }
        edit(&place.ledger, |row| {
            if let Record::Taken { deadline: limit, .. } = &mut row.record {
                *limit = row.at;
            }
        });
        let node = start(&discovery, &place);
        wait_until("it is over", || {
            String::from_utf8(node.send_request(HEALTH_CHECK).1.1).unwrap().contains(" 0 open")
        });
        assert_eq!(executor.seen.lock().unwrap().len(), 1, "nothing is sent past the limit");
        // What was deferred is asked anew with its key; what may have run stays aborted.
        // Whoever comes before that is told hears 503 as well.
        wait_until("its key says so", || {
            node.send_request(keyed("publish", &next_request_id(), "k", "b")).0 == status
        });
        assert_eq!(executor.seen.lock().unwrap().len(), sent);
    }
}

#[test]
fn expired_records_are_removed_and_a_full_ledger_rejects() {
    let (executor, discovery) = start_executor_and_discovery();
    let place = place("kept = \"100ms\"\nmost = 1");
    let node = start(&discovery, &place);
    executor.acts.lock().unwrap().push_back(Act::Wait);
    let mut client = node.connect();
    client.get_mut().write_all(keyed("publish", "a1", "k", "b").as_bytes()).unwrap();
    executor.wait_for(1);
    let (status, (head, _)) = node.send_request(build_request("publish", "a2", 20.0, ""));
    assert_eq!((status, field(&head, "retry-after")), (503, Some("1.000")), "it is full");
    assert_eq!(node.send_request(build_request("render", "a3", 20.0, "")).0, 200, "all else is served");
    executor.go_on.send(()).unwrap();
    assert_eq!(read_response(&mut client).0, 200);
    wait_until("there is room again", || {
        node.send_request(build_request("publish", &next_request_id(), 20.0, "")).0 == 200
    });
    wait_until("the key is free", || {
        node.send_request(keyed("publish", &next_request_id(), "k", "other")).0 == 200
    });
}

#[test]
#[ignore = "a measurement: cargo test --release -p troutknotd --test durable -- --ignored --nocapture"]
fn fifty_thousand_open_requests_at_a_restart() {
    for count in [1_000u64, 50_000] {
        let (executor, discovery) = start_executor_and_discovery();
        let place = place("most = 200000");
        die_with_one_out(&discovery, &place, &executor, Act::Silent, &keyed("render", "m0000000", "k", "b"));
        {
            let store = Store::open(place.ledger.as_ref()).unwrap();
            let first = store.rows_of(troutknot::RequestId(0)).unwrap()[0].clone();
            let Record::Taken { effect, deadline: limit, digest, payload: work, .. } = first.record else {
                panic!()
            };
            let of = |number: u64| {
                let id = format!("m{number:07}");
                // The header lines that go on hold the id as well.
                let mut work = work.clone();
                let at = work.windows(8).position(|part| part == b"m0000000").unwrap();
                work[at..at + 8].copy_from_slice(id.as_bytes());
                let (request_id, key) = (troutknot::RequestId(number), Some(format!("km{number}")));
                let record = Record::Taken {
                    request_id,
                    effect,
                    deadline: limit,
                    client_id: id,
                    key,
                    digest,
                    payload: work,
                };
                Row { at: first.at, sequence: 0, record }
            };
            store.commit(&(1..count).map(of).collect::<Vec<_>>()).unwrap();
        }
        let began = std::time::Instant::now();
        let limits = (1024, 192);
        let node = Node::start_with_operator_file(
            discovery.addr,
            limits,
            settings(),
            "info",
            Value::Null,
            &place.own,
        );
        let ready = began.elapsed();
        node.wait_for_log("open requests recovered");
        let line = format!("{count} open: serves after {ready:?}, all taken up after {:?}", began.elapsed());
        let mut open = String::new();
        wait_until("all are answered", || {
            open = String::from_utf8(node.send_request(HEALTH_CHECK).1.1).unwrap();
            open.contains(" 0 open")
        });
        let memory = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
        let memory = memory.lines().find(|l| l.starts_with("VmHWM")).unwrap_or("").to_string();
        println!(
            "{line}, all answered after {:?}; {memory}; sent {}",
            began.elapsed(),
            executor.seen.lock().unwrap().len()
        );
    }
}
