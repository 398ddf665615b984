//! Hollow executors on real sockets: what they answer, what they count, and which breaches they find.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use troutknot_scale::executor_counts::{ExecutorBreach, Traffic};
use troutknot_scale::executor_terms::{AT_MOST_ONCE, ExecutorTerms, IDEMPOTENT, result_of};
use troutknot_scale::hollow_executors::{HollowExecutors, Placement};
use troutknot_scale::request_id::RequestId;
use troutknot_scale::wire::{Connection, Message};

const COUNT: usize = 20;
const NODE: u8 = 3;

fn terms() -> ExecutorTerms {
    ExecutorTerms {
        seed: 1,
        slots: 2,
        queue_capacity: 1,
        mean_service: Duration::from_millis(1),
        told_at_latest: Duration::from_secs(600),
        drain_grace: Duration::ZERO,
        slack: Duration::ZERO,
        cold_share: 0.25,
        ramp: Duration::from_secs(600),
        fall_multiple: 4.0,
        fall_window: Duration::from_secs(600),
    }
}

fn with_executors<F: Future<Output = ()>>(terms: ExecutorTerms, test: impl FnOnce(HollowExecutors) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let executors = HollowExecutors::start(COUNT, terms, &Placement::ThisProcess).await.unwrap();
        test(executors).await;
    });
}

async fn connect(address: SocketAddr) -> Connection {
    Connection::new(TcpStream::connect(address).await.unwrap())
}

async fn ask(address: SocketAddr, request: &str) -> Option<Message> {
    let mut connection = connect(address).await;
    connection.write(request.as_bytes()).await.ok()?;
    connection.answer().await.ok()?
}

fn attempt(class: &str, id: RequestId) -> String {
    format!("POST /{class} HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nab")
}

fn id(sequence: u64) -> RequestId {
    RequestId::new(NODE, sequence)
}

#[test]
fn each_executor_answers_at_an_address_of_its_own() {
    with_executors(terms(), |executors| async move {
        let distinct: BTreeSet<SocketAddr> = executors.addresses().iter().copied().collect();
        assert_eq!(distinct.len(), COUNT);
        for address in &distinct {
            assert!(address.ip().is_loopback());
            for path in ["/ping", "/_load"] {
                let answer = ask(*address, &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).await.unwrap();
                assert_eq!(answer.status, 200);
                assert_eq!(answer.body, b"inflight=0,queue=0,util=0.000,x0=2");
            }
        }
    });
}

#[test]
fn an_attempt_is_answered_line_by_line_up_to_its_result() {
    with_executors(terms(), |executors| async move {
        let answer = ask(executors.addresses()[4], &attempt(IDEMPOTENT, id(7))).await.unwrap();
        assert_eq!(answer.status, 200);
        let text = String::from_utf8(answer.body).unwrap();
        let lines: Vec<serde_json::Value> =
            text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        assert_eq!(lines[0]["state"], "started");
        assert_eq!(lines[1]["state"], "done");
        assert_eq!(lines[1]["result"], result_of(id(7)));
        assert_eq!(lines[1]["id"], id(7).to_string());
        assert_eq!(lines.len(), 2);
    });
}

#[test]
fn an_attempt_without_an_id_or_with_an_odd_one_is_refused() {
    with_executors(terms(), |executors| async move {
        let address = executors.addresses()[0];
        let none = ask(address, "POST /render HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(none.unwrap().status, 404);
        let odd = "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: 12\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(ask(address, odd).await.unwrap().status, 400);
        assert_eq!(executors.report().await.real_nodes.attempts, 0);
    });
}

#[test]
fn what_comes_is_counted_and_lists_are_taken_once() {
    with_executors(terms(), |executors| async move {
        let (first, second) = (executors.addresses()[0], executors.addresses()[19]);
        let probe = "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut connection = connect(first).await;
        for _ in 0..3 {
            connection.write(probe.as_bytes()).await.unwrap();
            connection.answer().await.unwrap().unwrap();
        }
        let request = attempt(IDEMPOTENT, id(1));
        ask(second, &request).await.unwrap();
        let report = executors.report().await;
        let Traffic { connections, probes, attempts, turned_away, bytes_in, .. } = report.real_nodes;
        assert_eq!((connections, probes, attempts, turned_away), (2, 3, 1, 0));
        assert_eq!(bytes_in as usize, 3 * probe.len() + request.len());
        assert_eq!(report.hollow_nodes, Traffic::default());
        assert_eq!(report.reached, 1);
        let next = executors.report().await;
        assert_eq!((next.real_nodes.probes, next.reached), (3, 0));
    });
}

#[test]
fn one_that_is_full_turns_away() {
    let slow = ExecutorTerms { mean_service: Duration::from_secs(600), ..terms() };
    with_executors(slow, |executors| async move {
        let address = executors.addresses()[0];
        let mut open = Vec::new();
        // Two slots and room for one that waits.
        for sequence in 0..3 {
            let mut connection = connect(address).await;
            connection.write(attempt(IDEMPOTENT, id(sequence)).as_bytes()).await.unwrap();
            open.push(connection);
        }
        let full = "inflight=2,queue=1";
        loop {
            let load = ask(address, "GET /_load HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
            if String::from_utf8(load.body).unwrap().starts_with(full) {
                break;
            }
        }
        let answer = ask(address, &attempt(IDEMPOTENT, id(9))).await.unwrap();
        assert_eq!((answer.status, answer.field("not-started")), (503, Some("1")));
        // One that goes away makes room.
        open.pop();
        loop {
            let load = ask(address, "GET /_load HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
            if String::from_utf8(load.body).unwrap().starts_with("inflight=2,queue=0") {
                break;
            }
        }
        assert_eq!(executors.report().await.real_nodes.turned_away, 1);
    });
}

#[test]
fn a_killed_one_resets_its_connections_and_refuses_new_ones_until_it_starts_again() {
    with_executors(terms(), |executors| async move {
        let address = executors.addresses()[5];
        let mut open = connect(address).await;
        open.write(b"GET /ping HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        open.answer().await.unwrap().unwrap();
        executors.kill(5..6).await;
        open.ended().await;
        while TcpStream::connect(address).await.is_ok() {}
        let neighbour = ask(executors.addresses()[6], "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(neighbour.unwrap().status, 200);
        executors.restart(5..6).await;
        while TcpStream::connect(address).await.is_err() {}
        let answer = ask(address, "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(answer.unwrap().status, 200);
    });
}

#[test]
fn only_a_request_that_may_run_once_breaks_rule_2_where_it_starts_again() {
    with_executors(terms(), |executors| async move {
        for executor in [2, 9] {
            for (class, sequence) in [(IDEMPOTENT, 1), (AT_MOST_ONCE, 2)] {
                let answer = ask(executors.addresses()[executor], &attempt(class, id(sequence))).await;
                assert_eq!(answer.unwrap().status, 200);
            }
        }
        let breaches = executors.report().await.breaches;
        assert_eq!(breaches, [ExecutorBreach::RepeatedEffect { request: id(2), executor: 9 }]);
    });
}

#[test]
fn an_attempt_past_the_grace_breaks_rule_3_for_the_node_that_was_told() {
    with_executors(terms(), |executors| async move {
        executors.left(&[3]);
        executors.told(usize::from(NODE), &[3]);
        // Orders are carried out one after the other: after this one, what was told is known.
        executors.report().await;
        let untold = RequestId::new(NODE + 1, 0);
        for request in [id(0), untold] {
            ask(executors.addresses()[3], &attempt(IDEMPOTENT, request)).await.unwrap();
        }
        executors.returned(&[3]);
        let breaches = executors.report().await.breaches;
        ask(executors.addresses()[3], &attempt(IDEMPOTENT, id(1))).await.unwrap();
        assert_eq!(executors.report().await.breaches, [], "it is back");
        assert!(
            matches!(&breaches[..], [ExecutorBreach::SentAfterGrace { request, executor: 3, .. }]
                if *request == id(0)),
            "{breaches:?}"
        );
    });
}

#[test]
fn what_discovery_knows_counts_as_told_in_time_though_it_was_not() {
    let at_once = ExecutorTerms { told_at_latest: Duration::ZERO, ..terms() };
    with_executors(at_once, |executors| async move {
        executors.left(&[3]);
        executors.report().await;
        ask(executors.addresses()[3], &attempt(IDEMPOTENT, id(0))).await.unwrap();
        assert_eq!(executors.report().await.breaches.len(), 1);
    });
}

#[test]
fn a_cold_one_that_is_sent_more_than_it_stands_breaks_rule_4_and_falls_over() {
    // It stands 4 x 2 slots x 0.25 x 1 ms.
    let brittle = ExecutorTerms {
        fall_window: Duration::from_millis(1),
        mean_service: Duration::from_secs(600),
        ..terms()
    };
    with_executors(brittle, |executors| async move {
        executors.restart(0..1).await;
        while TcpStream::connect(executors.addresses()[0]).await.is_err() {}
        let answer = ask(executors.addresses()[0], &attempt(IDEMPOTENT, id(0))).await;
        assert!(answer.is_none(), "its connections are reset: {answer:?}");
        let breaches = executors.report().await.breaches;
        assert!(matches!(&breaches[..], [ExecutorBreach::PushedOver { executor: 0, .. }]), "{breaches:?}");
    });
}
