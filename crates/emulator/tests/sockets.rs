//! Tests of executors, discovery and front on sockets: what a peer observes during each fault.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use troutknot_emulator::discovery::{Agent, Member};
use troutknot_emulator::executors::{FleetContext, Host, RequestSpec, format_result};
use troutknot_emulator::front::Front;
use troutknot_emulator::observations::{ListedState, Observation, ObservationLog};
use troutknot_emulator::*;

/// How long a test waits for something that must not happen.
const QUIET_TIME: Duration = Duration::from_millis(150);
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// A free port of the loopback address.
const ANY_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn run_on_one_thread<F: Future>(test: impl FnOnce() -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new()
        .block_on(&runtime, async { timeout(TEST_TIMEOUT, test()).await.expect("the test ends in time") })
}

fn start_host(machine: Machine) -> (Rc<Host>, Arc<ObservationLog>) {
    let record = Arc::new(ObservationLog::default());
    // The last part of an id is the work of the request; an id without it is unknown.
    let find_request = |id: &str| {
        let work = id.split('-').next_back()?.parse().ok()?;
        Some(RequestSpec { request_id: 1, request_class: 0, slots: 1.0, memory: 0.0, work, priority: 0.0 })
    };
    let shared = FleetContext::new(record.clone(), Arc::new(find_request), true);
    (Host::start(&shared, 0, machine, 1, ANY_ADDRESS.into(), true).unwrap(), record)
}

async fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < end, "{condition}");
        sleep(Duration::from_millis(1)).await;
    }
}

type Send = SendRequest<Full<Bytes>>;

async fn connect(addr: SocketAddr) -> std::io::Result<Send> {
    let stream = TcpStream::connect(addr).await?;
    let (send, connection) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    spawn_local(connection);
    Ok(send)
}

fn work_request(id: &str) -> Request<Full<Bytes>> {
    Request::post("/render").header("host", "x").header("request-id", id).body(Full::new("x".into())).unwrap()
}

fn load_request() -> Request<Full<Bytes>> {
    Request::get("/_load").header("host", "x").body(Full::default()).unwrap()
}

async fn read_text(answer: Response<Incoming>) -> String {
    String::from_utf8(answer.into_body().collect().await.unwrap().to_bytes().to_vec()).unwrap()
}

#[test]
fn attempts_are_answered_event_by_event_and_observed() {
    run_on_one_thread(|| async {
        let (host, record) = start_host(Machine { queue_capacity: 0, ..Machine::default() });
        let (mut first, mut second) = (connect(host.addr).await.unwrap(), connect(host.addr).await.unwrap());
        let answer = first.send_request(work_request("a-30")).await.unwrap();
        let rejected = second.send_request(work_request("b-30")).await.unwrap();
        assert_eq!(rejected.status(), 503);
        assert_eq!(rejected.headers()["not-started"], "1");
        let text = read_text(answer).await;
        assert!(text.contains(r#""state":"started""#) && text.contains(&format_result("a-30")), "{text}");
        assert_eq!(
            read_text(second.send_request(load_request()).await.unwrap()).await,
            "inflight=0,queue=0,util=0.000,x0=1.000"
        );
        assert_eq!(second.send_request(work_request("odd")).await.unwrap().status(), 400);
        let observed = record.take();
        for name in ["Received", "NotStarted", "Started", "Ended", "UnknownRequest"] {
            let is_observed =
                observed.iter().any(|(_, observation)| format!("{observation:?}").starts_with(name));
            assert!(is_observed, "{name} in {observed:?}");
        }
        let is_done = |observation: &Observation| format!("{observation:?}").contains("Done");
        assert!(observed.iter().any(|(_, observation)| is_done(observation)), "Done in {observed:?}");
    });
}

#[test]
fn a_silent_executor_has_no_traffic_and_restarts_at_the_end() {
    run_on_one_thread(|| async {
        let (host, record) = start_host(Machine::default());
        let mut old = connect(host.addr).await.unwrap();
        let answer = old.send_request(work_request("a-30")).await.unwrap();
        host.begin_fault(1, Fault::Silence { restarts: true });
        assert!(
            timeout(QUIET_TIME, answer.into_body().collect()).await.is_err(),
            "an open connection stays open"
        );
        assert!(
            timeout(Duration::from_millis(400), TcpStream::connect(host.addr)).await.is_err(),
            "no new connection is established"
        );
        host.end_fault(1);
        let again = connect(host.addr).await;
        assert!(again.is_ok(), "new connections are established again");
        wait_until("the old connection is reset", || old.is_closed()).await;
        assert!(
            record.take().iter().filter(|(_, s)| matches!(s, Observation::ExecutorUp { .. })).count() == 2
        );
    });
}

#[test]
fn a_paused_executor_answers_late_and_loses_nothing() {
    run_on_one_thread(|| async {
        let (host, _record) = start_host(Machine::default());
        let mut old = connect(host.addr).await.unwrap();
        let answer = old.send_request(work_request("a-30")).await.unwrap();
        host.begin_fault(1, Fault::Pause);
        let mut body = std::pin::pin!(answer.into_body().collect());
        assert!(timeout(QUIET_TIME, &mut body).await.is_err());
        assert!(
            timeout(QUIET_TIME, TcpStream::connect(host.addr)).await.unwrap().is_ok(),
            "connections are established"
        );
        host.end_fault(1);
        let text = body.await.unwrap().to_bytes();
        assert!(String::from_utf8_lossy(&text).contains("done"));
    });
}

#[test]
fn a_killed_executor_resets_and_refuses_connections_until_its_restart() {
    run_on_one_thread(|| async {
        let (host, record) = start_host(Machine::default());
        let mut old = connect(host.addr).await.unwrap();
        let answer = old.send_request(work_request("a-5000")).await.unwrap();
        host.kill();
        assert!(answer.into_body().collect().await.is_err(), "the answer breaks off");
        wait_until("connections are refused", || std::net::TcpStream::connect(host.addr).is_err()).await;
        host.restart();
        wait_until("connections are established again", || std::net::TcpStream::connect(host.addr).is_ok())
            .await;
        let mut new = connect(host.addr).await.unwrap();
        assert!(read_text(new.send_request(work_request("b-5")).await.unwrap()).await.contains("done"));
        let observed = record.take();
        assert!(
            observed
                .iter()
                .any(|(_, s)| matches!(s, Observation::Ended { outcome: AttemptOutcome::Reset, .. })),
            "{observed:?}"
        );
    });
}

#[test]
fn a_closed_connection_cancels_its_attempt_even_during_a_pause() {
    for paused in [false, true] {
        run_on_one_thread(|| async move {
            let (host, record) =
                start_host(Machine { cancel_scope: CancelScope::Running, ..Machine::default() });
            let mut client = connect(host.addr).await.unwrap();
            let answer = client.send_request(work_request("a-5000")).await.unwrap();
            if paused {
                host.begin_fault(1, Fault::Pause);
            }
            drop((answer, client));
            let mut observed = Vec::new();
            wait_until("the cancellation is observed", || {
                observed.extend(record.take());
                observed.iter().any(|(_, s)| matches!(s, Observation::Cancelled { .. }))
            })
            .await;
            assert_eq!(host.attempt_counts(), (0, 0), "the attempt was stopped");
        });
    }
}

#[test]
fn an_address_in_use_is_an_error() {
    run_on_one_thread(|| async {
        let (first, record) = start_host(Machine::default());
        let shared = FleetContext::new(record, Arc::new(|_: &str| None), true);
        assert!(Host::start(&shared, 1, Machine::default(), 1, first.addr, true).is_err());
    });
}

#[test]
fn connections_beyond_the_limit_are_closed() {
    run_on_one_thread(|| async {
        let (host, _record) = start_host(Machine { max_connections: 1, ..Machine::default() });
        let mut first = connect(host.addr).await.unwrap();
        assert_eq!(first.send_request(load_request()).await.unwrap().status(), 200);
        let mut second = connect(host.addr).await.unwrap();
        assert!(second.send_request(load_request()).await.is_err());
        drop(first);
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut third = connect(host.addr).await.unwrap();
            if third.send_request(load_request()).await.is_ok() {
                break;
            }
            assert!(Instant::now() < end, "a closed connection no longer counts");
        }
    });
}

fn member(executor: u32, listed: ListedState) -> Member {
    Member {
        executor,
        id: format!("s-{executor}"),
        addr: ANY_ADDRESS.into(),
        zone: "z".into(),
        machine_type: "k".into(),
        deduplication_group: 0,
        state: listed,
        weight: 1.0,
        started_at: 0.0,
    }
}

async fn read_line(body: &mut Incoming) -> Option<String> {
    let frame = body.frame().await?.ok()?;
    Some(String::from_utf8(frame.into_data().ok()?.to_vec()).unwrap())
}

async fn open_watch(addr: SocketAddr, parameters: &str) -> Incoming {
    let path = format!("/catalog/members?stream=1{parameters}");
    let mut send = connect(addr).await.unwrap();
    let request = Request::get(path).header("host", "x").body(Full::default()).unwrap();
    let body = send.send_request(request).await.unwrap().into_body();
    // Keeps the connection open while the watch is read.
    spawn_local(async move {
        let _send = send;
        sleep(TEST_TIMEOUT).await;
    });
    body
}

#[test]
fn watches_deliver_changes_and_follow_silence_resets_and_moves() {
    run_on_one_thread(|| async {
        let record = Arc::new(ObservationLog::default());
        let members = vec![member(0, ListedState::Ready), member(1, ListedState::Ready)];
        let agent = Agent::start(&record, 0, ANY_ADDRESS.into(), members).unwrap();
        let mut first_watch = open_watch(agent.addr(), "").await;
        let first = read_line(&mut first_watch).await.unwrap();
        assert!(
            first.contains(r#""full":true"#) && first.contains("s-0") && first.contains("s-1"),
            "{first}"
        );
        agent.schedule_change(member(1, ListedState::Terminating), Duration::ZERO);
        let second = read_line(&mut first_watch).await.unwrap();
        assert!(
            second.contains(r#""full":false"#) && !second.contains("s-0") && second.contains("Terminating")
        );
        let since = read_line(&mut open_watch(agent.addr(), "&index=2").await).await.unwrap();
        assert!(
            since.contains(r#""version":3"#) && since.contains("s-1") && !since.contains("s-0"),
            "{since}"
        );
        let notified_count = |log: &ObservationLog| {
            let observed = log.take();
            let is_notified = |observation: &Observation| {
                matches!(
                    observation,
                    Observation::NodeNotified { executor: 1, state: ListedState::Terminating, .. }
                )
            };
            observed.iter().filter(|(_, observation)| is_notified(observation)).count()
        };
        assert_eq!(notified_count(&record), 2);
        agent.set_silent(true);
        agent.schedule_change(member(0, ListedState::Gone), Duration::ZERO);
        assert!(timeout(QUIET_TIME, read_line(&mut first_watch)).await.is_err(), "silent");
        let is_updated = |record: &ObservationLog| {
            record.take().iter().any(|(_, s)| matches!(s, Observation::AgentUpdated { .. }))
        };
        assert!(!is_updated(&record), "a silent agent does not receive changes");
        agent.set_silent(false);
        assert!(read_line(&mut first_watch).await.unwrap().contains("Gone"));
        agent.reset_watches();
        assert_eq!(read_line(&mut first_watch).await, None, "the connection was reset");
        let (old, mut open) = (agent.addr(), open_watch(agent.addr(), "").await);
        let new = agent.move_to(ANY_ADDRESS.into()).unwrap();
        wait_until("the old address refuses connections", || std::net::TcpStream::connect(old).is_err())
            .await;
        assert!(
            read_line(&mut open).await.is_some() && read_line(&mut open_watch(new, "").await).await.is_some()
        );
        let moved = Instant::now();
        while read_line(&mut open).await.is_some() {}
        assert!(moved.elapsed() > Duration::from_secs(1), "open connections continue for a while");
    });
}

#[test]
fn a_front_removes_failing_nodes_at_once_and_dead_ones_after_the_delay() {
    run_on_one_thread(|| async {
        let health = Rc::new(std::cell::Cell::new(200));
        let listener = wire::listen(ANY_ADDRESS.into()).unwrap();
        let addr = listener.local_addr().unwrap();
        let status = health.clone();
        let serving = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let status = status.clone();
                spawn_local(wire::serve(stream, Rc::default(), Rc::default(), move |_| {
                    let mut answer = Response::new(wire::StreamedBody::full(""));
                    *answer.status_mut() = hyper::StatusCode::from_u16(status.get()).unwrap();
                    async move { answer }
                }));
            }
        });
        let front = Front::start(&[addr], Duration::from_millis(600));
        wait_until("the node is healthy", || front.next_node() == Some((0, addr))).await;
        health.set(503);
        wait_until("the node is removed", || front.next_node().is_none()).await;
        health.set(200);
        wait_until("the node is healthy again", || front.healthy_count() == 1).await;
        serving.abort();
        let died = Instant::now();
        wait_until("the dead node is removed", || front.healthy_count() == 0).await;
        assert!(died.elapsed() >= Duration::from_millis(500), "only after the delay");
    });
}
