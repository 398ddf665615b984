//! Hollow executors on real sockets: responses, counts and detected rule violations.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use troutknot_scale::executor_config::{AT_MOST_ONCE, ExecutorConfig, IDEMPOTENT, result_of};
use troutknot_scale::executor_counts::{ExecutorViolation, Traffic};
use troutknot_scale::hollow_executors::{HollowExecutors, Placement};
use troutknot_scale::request_id::RequestId;
use troutknot_scale::wire::{Connection, Message};

const EXECUTOR_COUNT: usize = 20;
const NODE: u8 = 3;

fn config() -> ExecutorConfig {
    ExecutorConfig {
        seed: 1,
        slots: 2,
        queue_capacity: 1,
        mean_service_time: Duration::from_millis(1),
        max_notification_delay: Duration::from_secs(600),
        drain_grace: Duration::ZERO,
        slack: Duration::ZERO,
        initial_capacity: 0.25,
        ramp_duration: Duration::from_secs(600),
        budget_multiple: 4.0,
        budget_window: Duration::from_secs(600),
    }
}

fn with_executors<F: Future<Output = ()>>(config: ExecutorConfig, test: impl FnOnce(HollowExecutors) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let executors =
            HollowExecutors::start(EXECUTOR_COUNT, config, &Placement::ThisProcess).await.unwrap();
        test(executors).await;
    });
}

async fn connect(address: SocketAddr) -> Connection {
    Connection::new(TcpStream::connect(address).await.unwrap())
}

async fn send_request(address: SocketAddr, request: &str) -> Option<Message> {
    let mut connection = connect(address).await;
    connection.write(request.as_bytes()).await.ok()?;
    connection.read_response().await.ok()?
}

fn attempt(class: &str, id: RequestId) -> String {
    format!("POST /{class} HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nab")
}

fn id(sequence: u64) -> RequestId {
    RequestId::new(NODE, sequence)
}

#[test]
fn each_executor_answers_probes_at_its_own_address() {
    with_executors(config(), |executors| async move {
        let distinct: BTreeSet<SocketAddr> = executors.addresses().iter().copied().collect();
        assert_eq!(distinct.len(), EXECUTOR_COUNT);
        for address in &distinct {
            assert!(address.ip().is_loopback());
            for path in ["/ping", "/_load"] {
                let response =
                    send_request(*address, &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).await.unwrap();
                assert_eq!(response.status, 200);
                assert_eq!(response.body, b"inflight=0,queue=0,util=0.000,x0=2");
            }
        }
    });
}

#[test]
fn an_attempt_reports_its_start_and_its_result_line_by_line() {
    with_executors(config(), |executors| async move {
        let response = send_request(executors.addresses()[4], &attempt(IDEMPOTENT, id(7))).await.unwrap();
        assert_eq!(response.status, 200);
        let text = String::from_utf8(response.body).unwrap();
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
fn an_attempt_with_a_missing_or_invalid_request_id_is_refused() {
    with_executors(config(), |executors| async move {
        let address = executors.addresses()[0];
        let missing =
            send_request(address, "POST /render HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(missing.unwrap().status, 404);
        let invalid = "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: 12\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(send_request(address, invalid).await.unwrap().status, 400);
        assert_eq!(executors.report().await.real_nodes.attempts, 0);
    });
}

#[test]
fn traffic_is_cumulative_while_reached_executors_are_reported_once() {
    with_executors(config(), |executors| async move {
        let (first, second) = (executors.addresses()[0], executors.addresses()[19]);
        let probe = "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut connection = connect(first).await;
        for _ in 0..3 {
            connection.write(probe.as_bytes()).await.unwrap();
            connection.read_response().await.unwrap().unwrap();
        }
        let request = attempt(IDEMPOTENT, id(1));
        send_request(second, &request).await.unwrap();
        let report = executors.report().await;
        let Traffic { connections, probes, attempts, rejected, bytes_in, .. } = report.real_nodes;
        assert_eq!((connections, probes, attempts, rejected), (2, 3, 1, 0));
        assert_eq!(bytes_in as usize, 3 * probe.len() + request.len());
        assert_eq!(report.hollow_nodes, Traffic::default());
        assert_eq!(report.reached_executors, 1);
        let next = executors.report().await;
        assert_eq!((next.real_nodes.probes, next.reached_executors), (3, 0));
    });
}

#[test]
fn an_executor_with_full_slots_and_queue_rejects_an_attempt() {
    let slow_config = ExecutorConfig { mean_service_time: Duration::from_secs(600), ..config() };
    with_executors(slow_config, |executors| async move {
        let address = executors.addresses()[0];
        let mut open = Vec::new();
        // Two slots, and room for one attempt in the queue.
        for sequence in 0..3 {
            let mut connection = connect(address).await;
            connection.write(attempt(IDEMPOTENT, id(sequence)).as_bytes()).await.unwrap();
            open.push(connection);
        }
        let full = "inflight=2,queue=1";
        loop {
            let load = send_request(address, "GET /_load HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
            if String::from_utf8(load.body).unwrap().starts_with(full) {
                break;
            }
        }
        let response = send_request(address, &attempt(IDEMPOTENT, id(9))).await.unwrap();
        assert_eq!((response.status, response.field("not-started")), (503, Some("1")));
        // An attempt whose client disconnects leaves the queue.
        open.pop();
        loop {
            let load = send_request(address, "GET /_load HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
            if String::from_utf8(load.body).unwrap().starts_with("inflight=2,queue=0") {
                break;
            }
        }
        assert_eq!(executors.report().await.real_nodes.rejected, 1);
    });
}

#[test]
fn a_killed_executor_resets_connections_and_refuses_new_ones_until_its_restart() {
    with_executors(config(), |executors| async move {
        let address = executors.addresses()[5];
        let mut open = connect(address).await;
        open.write(b"GET /ping HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        open.read_response().await.unwrap().unwrap();
        executors.kill(5..6).await;
        open.wait_closed().await;
        while TcpStream::connect(address).await.is_ok() {}
        let other_executor =
            send_request(executors.addresses()[6], "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(other_executor.unwrap().status, 200);
        executors.restart(5..6).await;
        while TcpStream::connect(address).await.is_err() {}
        let response = send_request(address, "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(response.unwrap().status, 200);
    });
}

#[test]
fn a_second_start_violates_rule_2_only_for_an_at_most_once_request() {
    with_executors(config(), |executors| async move {
        for executor in [2, 9] {
            for (class, sequence) in [(IDEMPOTENT, 1), (AT_MOST_ONCE, 2)] {
                let response =
                    send_request(executors.addresses()[executor], &attempt(class, id(sequence))).await;
                assert_eq!(response.unwrap().status, 200);
            }
        }
        let violations = executors.report().await.violations;
        assert_eq!(violations, [ExecutorViolation::RepeatedEffect { request: id(2), executor: 9 }]);
    });
}

#[test]
fn an_attempt_after_the_drain_grace_violates_rule_3_for_a_notified_node() {
    with_executors(config(), |executors| async move {
        executors.record_departures(&[3]);
        executors.record_notifications(usize::from(NODE), &[3]);
        // Commands are carried out in order: after this report the notification has been recorded.
        executors.report().await;
        let unnotified_node = RequestId::new(NODE + 1, 0);
        for request in [id(0), unnotified_node] {
            send_request(executors.addresses()[3], &attempt(IDEMPOTENT, request)).await.unwrap();
        }
        executors.record_returns(&[3]);
        let violations = executors.report().await.violations;
        send_request(executors.addresses()[3], &attempt(IDEMPOTENT, id(1))).await.unwrap();
        assert_eq!(executors.report().await.violations, [], "no violation after the executor returned");
        assert!(
            matches!(&violations[..], [ExecutorViolation::SentAfterGrace { request, executor: 3, .. }]
                if *request == id(0)),
            "{violations:?}"
        );
    });
}

#[test]
fn a_node_counts_as_notified_after_the_maximum_delay() {
    let no_delay = ExecutorConfig { max_notification_delay: Duration::ZERO, ..config() };
    with_executors(no_delay, |executors| async move {
        executors.record_departures(&[3]);
        executors.report().await;
        send_request(executors.addresses()[3], &attempt(IDEMPOTENT, id(0))).await.unwrap();
        assert_eq!(executors.report().await.violations.len(), 1);
    });
}

#[test]
fn work_beyond_the_warm_up_budget_violates_rule_4_and_restarts_the_executor() {
    // The warm-up budget is 4 x 2 slots x 0.25 x 1 ms.
    let small_budget = ExecutorConfig {
        budget_window: Duration::from_millis(1),
        mean_service_time: Duration::from_secs(600),
        ..config()
    };
    with_executors(small_budget, |executors| async move {
        executors.restart(0..1).await;
        while TcpStream::connect(executors.addresses()[0]).await.is_err() {}
        let response = send_request(executors.addresses()[0], &attempt(IDEMPOTENT, id(0))).await;
        assert!(response.is_none(), "its connections are reset: {response:?}");
        let violations = executors.report().await.violations;
        assert!(
            matches!(&violations[..], [ExecutorViolation::PushedOver { executor: 0, .. }]),
            "{violations:?}"
        );
    });
}
