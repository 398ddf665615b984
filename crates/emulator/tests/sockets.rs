//! Executors, discovery and front on sockets: what a peer sees when each trouble strikes.
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

const SOON: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_secs(10);
const ANYWHERE: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn in_one_thread<F: Future>(test: impl FnOnce() -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(PATIENCE, test()).await.expect("it ends in time") })
}

fn host(machine: Machine) -> (Rc<Host>, Arc<ObservationLog>) {
    let record = Arc::new(ObservationLog::default());
    // The id says how long the work is; one that says nothing is not known.
    let work_of = |id: &str| {
        let work = id.split('-').next_back()?.parse().ok()?;
        Some(RequestSpec { request_id: 1, request_class: 0, slots: 1.0, memory: 0.0, work, priority: 0.0 })
    };
    let shared = FleetContext::new(record.clone(), Arc::new(work_of), true);
    (Host::start(&shared, 0, machine, 1, ANYWHERE.into(), true).unwrap(), record)
}

async fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "{what}");
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

fn work(id: &str) -> Request<Full<Bytes>> {
    Request::post("/render").header("host", "x").header("request-id", id).body(Full::new("x".into())).unwrap()
}

fn load() -> Request<Full<Bytes>> {
    Request::get("/_load").header("host", "x").body(Full::default()).unwrap()
}

async fn text(answer: Response<Incoming>) -> String {
    String::from_utf8(answer.into_body().collect().await.unwrap().to_bytes().to_vec()).unwrap()
}

#[test]
fn work_is_answered_line_by_line_and_noted() {
    in_one_thread(|| async {
        let (host, record) = host(Machine { queue_capacity: 0, ..Machine::default() });
        let (mut first, mut second) = (connect(host.addr).await.unwrap(), connect(host.addr).await.unwrap());
        let answer = first.send_request(work("a-30")).await.unwrap();
        let turned_away = second.send_request(work("b-30")).await.unwrap();
        assert_eq!(turned_away.status(), 503);
        assert_eq!(turned_away.headers()["not-started"], "1");
        let said = text(answer).await;
        assert!(said.contains(r#""state":"started""#) && said.contains(&format_result("a-30")), "{said}");
        assert_eq!(
            text(second.send_request(load()).await.unwrap()).await,
            "inflight=0,queue=0,util=0.000,x0=1.000"
        );
        assert_eq!(second.send_request(work("odd")).await.unwrap().status(), 400);
        let seen = record.take();
        for part in ["Received", "NeverRan", "Started", "Done", "Unknown"] {
            assert!(seen.iter().any(|(_, s)| format!("{s:?}").contains(part)), "{part} in {seen:?}");
        }
    });
}

#[test]
fn a_silent_machine_says_nothing_lets_nobody_in_and_comes_back_cold() {
    in_one_thread(|| async {
        let (host, record) = host(Machine::default());
        let mut old = connect(host.addr).await.unwrap();
        let answer = old.send_request(work("a-30")).await.unwrap();
        host.begin_fault(1, Fault::Silence { restarts: true });
        assert!(timeout(SOON, answer.into_body().collect()).await.is_err(), "an open connection stays open");
        assert!(
            timeout(Duration::from_millis(400), TcpStream::connect(host.addr)).await.is_err(),
            "none comes up"
        );
        host.end_fault(1);
        let again = connect(host.addr).await;
        assert!(again.is_ok(), "new ones come up again");
        until("the old one is reset", || old.is_closed()).await;
        assert!(
            record.take().iter().filter(|(_, s)| matches!(s, Observation::ExecutorUp { .. })).count() == 2
        );
    });
}

#[test]
fn a_paused_machine_answers_late_and_loses_nothing() {
    in_one_thread(|| async {
        let (host, _record) = host(Machine::default());
        let mut old = connect(host.addr).await.unwrap();
        let answer = old.send_request(work("a-30")).await.unwrap();
        host.begin_fault(1, Fault::Pause);
        let mut body = std::pin::pin!(answer.into_body().collect());
        assert!(timeout(SOON, &mut body).await.is_err());
        assert!(timeout(SOON, TcpStream::connect(host.addr)).await.unwrap().is_ok(), "connections come up");
        host.end_fault(1);
        let said = body.await.unwrap().to_bytes();
        assert!(String::from_utf8_lossy(&said).contains("done"));
    });
}

#[test]
fn a_machine_that_dies_resets_what_is_open_and_refuses_until_it_is_back() {
    in_one_thread(|| async {
        let (host, record) = host(Machine::default());
        let mut old = connect(host.addr).await.unwrap();
        let answer = old.send_request(work("a-5000")).await.unwrap();
        host.kill();
        assert!(answer.into_body().collect().await.is_err(), "the answer breaks off");
        until("its door is shut", || std::net::TcpStream::connect(host.addr).is_err()).await;
        host.restart();
        until("its door is open", || std::net::TcpStream::connect(host.addr).is_ok()).await;
        let mut new = connect(host.addr).await.unwrap();
        assert!(text(new.send_request(work("b-5")).await.unwrap()).await.contains("done"));
        let seen = record.take();
        assert!(
            seen.iter().any(|(_, s)| matches!(s, Observation::Ended { outcome: AttemptOutcome::Reset, .. })),
            "{seen:?}"
        );
    });
}

#[test]
fn a_client_that_ends_its_connection_has_given_its_work_up_also_behind_a_pause() {
    for paused in [false, true] {
        in_one_thread(|| async move {
            let (host, record) = host(Machine { cancel_scope: CancelScope::Running, ..Machine::default() });
            let mut client = connect(host.addr).await.unwrap();
            let answer = client.send_request(work("a-5000")).await.unwrap();
            if paused {
                host.begin_fault(1, Fault::Pause);
            }
            drop((answer, client));
            let mut seen = Vec::new();
            until("it is noted", || {
                seen.extend(record.take());
                seen.iter().any(|(_, s)| matches!(s, Observation::Cancelled { .. }))
            })
            .await;
            assert_eq!(host.attempt_counts(), (0, 0), "it was stopped");
        });
    }
}

#[test]
fn an_address_in_use_is_said_and_not_shared() {
    in_one_thread(|| async {
        let (first, record) = host(Machine::default());
        let shared = FleetContext::new(record, Arc::new(|_: &str| None), true);
        assert!(Host::start(&shared, 1, Machine::default(), 1, first.addr, true).is_err());
    });
}

#[test]
fn connections_past_the_cap_are_not_served() {
    in_one_thread(|| async {
        let (host, _record) = host(Machine { max_connections: 1, ..Machine::default() });
        let mut first = connect(host.addr).await.unwrap();
        assert_eq!(first.send_request(load()).await.unwrap().status(), 200);
        let mut second = connect(host.addr).await.unwrap();
        assert!(second.send_request(load()).await.is_err());
        drop(first);
        let end = Instant::now() + PATIENCE;
        loop {
            let mut third = connect(host.addr).await.unwrap();
            if third.send_request(load()).await.is_ok() {
                break;
            }
            assert!(Instant::now() < end, "room is given back");
        }
    });
}

fn member(executor: u32, listed: ListedState) -> Member {
    Member {
        executor,
        id: format!("s-{executor}"),
        addr: ANYWHERE.into(),
        zone: "z".into(),
        machine_type: "k".into(),
        deduplication_group: 0,
        state: listed,
        weight: 1.0,
        started_at: 0.0,
    }
}

async fn line(body: &mut Incoming) -> Option<String> {
    let frame = body.frame().await?.ok()?;
    Some(String::from_utf8(frame.into_data().ok()?.to_vec()).unwrap())
}

async fn watch(addr: SocketAddr, after: &str) -> Incoming {
    let path = format!("/catalog/members?stream=1{after}");
    let mut send = connect(addr).await.unwrap();
    let asked = Request::get(path).header("host", "x").body(Full::default()).unwrap();
    let body = send.send_request(asked).await.unwrap().into_body();
    // Kept for as long as the watch is read.
    spawn_local(async move {
        let _send = send;
        sleep(PATIENCE).await;
    });
    body
}

#[test]
fn watches_tell_changes_go_silent_break_and_move() {
    in_one_thread(|| async {
        let record = Arc::new(ObservationLog::default());
        let members = vec![member(0, ListedState::Ready), member(1, ListedState::Ready)];
        let agent = Agent::start(&record, 0, ANYWHERE.into(), members).unwrap();
        let mut whole = watch(agent.addr(), "").await;
        let first = line(&mut whole).await.unwrap();
        assert!(
            first.contains(r#""full":true"#) && first.contains("s-0") && first.contains("s-1"),
            "{first}"
        );
        agent.schedule_change(member(1, ListedState::Terminating), Duration::ZERO);
        let second = line(&mut whole).await.unwrap();
        assert!(
            second.contains(r#""full":false"#) && !second.contains("s-0") && second.contains("Terminating")
        );
        let since = line(&mut watch(agent.addr(), "&index=2").await).await.unwrap();
        assert!(
            since.contains(r#""version":3"#) && since.contains("s-1") && !since.contains("s-0"),
            "{since}"
        );
        let told = |record: &ObservationLog| {
            let seen = record.take();
            let told = |s: &Observation| {
                matches!(s, Observation::NodeNotified { executor: 1, state: ListedState::Terminating, .. })
            };
            seen.iter().filter(|(_, s)| told(s)).count()
        };
        assert_eq!(told(&record), 2);
        agent.set_silent(true);
        agent.schedule_change(member(0, ListedState::Gone), Duration::ZERO);
        assert!(timeout(SOON, line(&mut whole)).await.is_err(), "silent");
        let known = |record: &ObservationLog| {
            record.take().iter().any(|(_, s)| matches!(s, Observation::AgentUpdated { .. }))
        };
        assert!(!known(&record), "what cannot be told is not known");
        agent.set_silent(false);
        assert!(line(&mut whole).await.unwrap().contains("Gone"));
        agent.reset_watches();
        assert_eq!(line(&mut whole).await, None, "broken off");
        let (old, mut open) = (agent.addr(), watch(agent.addr(), "").await);
        let new = agent.move_to(ANYWHERE.into()).unwrap();
        until("the old address takes nobody", || std::net::TcpStream::connect(old).is_err()).await;
        assert!(line(&mut open).await.is_some() && line(&mut watch(new, "").await).await.is_some());
        let moved = Instant::now();
        while line(&mut open).await.is_some() {}
        assert!(moved.elapsed() > Duration::from_secs(1), "what was open stays so for a while");
    });
}

#[test]
fn a_front_takes_out_at_once_who_says_so_and_late_who_died() {
    in_one_thread(|| async {
        let health = Rc::new(std::cell::Cell::new(200));
        let listener = wire::listen(ANYWHERE.into()).unwrap();
        let addr = listener.local_addr().unwrap();
        let said = health.clone();
        let serving = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let said = said.clone();
                spawn_local(wire::serve(stream, Rc::default(), Rc::default(), move |_| {
                    let mut answer = Response::new(wire::StreamedBody::full(""));
                    *answer.status_mut() = hyper::StatusCode::from_u16(said.get()).unwrap();
                    async move { answer }
                }));
            }
        });
        let front = Front::start(&[addr], Duration::from_millis(600));
        until("it is taken in", || front.next_node() == Some((0, addr))).await;
        health.set(503);
        until("it is taken out", || front.next_node().is_none()).await;
        health.set(200);
        until("it is back", || front.healthy_count() == 1).await;
        serving.abort();
        let died = Instant::now();
        until("its death is noticed", || front.healthy_count() == 0).await;
        assert!(died.elapsed() >= Duration::from_millis(500), "but late");
    });
}
