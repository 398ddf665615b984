//! The driver, told events one after another.
use super::*;
use crate::byte_budget::ByteBudget;
use crate::config::limits::{LimitInputs, Limits};
use crate::event::{CallOrigin, EndpointUpdate};
use crate::hot_restart::codec::{self, Inherited};
use crate::in_flight::Answer;
use crate::in_flight::ClientRequest;
use crate::protocol::EndpointEntry;
use crate::upstream::DispatchOrder;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;
use troutknot::{AttemptId, ListUpdate};

const HARD_LIMIT: Duration = Duration::from_secs(5);
const ID_FIELD: &str = "Request-Id: ";

fn driver(memory_mb: u64, max_sockets: u64) -> Driver {
    let (settings, codec) = Codec::of_one_type(HARD_LIMIT.as_micros() as u64);
    let limits = Rc::new(Limits::new(&LimitInputs { memory_mb, max_sockets, ..LimitInputs::default() }));
    let bounds = &limits.executor_bounds;
    let retention = EndpointRetention::new("", bounds.max_retained, bounds.max_unretained_entries);
    let (sender, events) = mpsc::channel(limits.event_queue_capacity);
    let sibling: Rc<SiblingProcess> = Rc::default();
    let executors = ExecutorPool::new(limits, codec.clone(), sender, sibling.clone());
    let clock = Clock::start();
    let dispatcher = Dispatcher::new(&settings, 1, clock.now());
    Driver::new(DriverConfig {
        dispatcher,
        clock,
        codec,
        executors,
        watch_requests: Rc::default(),
        events,
        lifecycle: Rc::new(Lifecycle::new()),
        sibling,
        retention,
        gossip: None,
        tasks: TaskGroup::default(),
    })
}

/// A driver that is told events by hand, at times of its own.
struct Rig {
    driver: Driver,
    /// How far its time is ahead of the clock.
    ahead: Millis,
    held: Rc<ByteBudget>,
    next_request: u64,
}

impl Rig {
    fn new(memory_mb: u64) -> Self {
        let driver = driver(memory_mb, 1024);
        Rig { driver, ahead: 0.0, held: ByteBudget::new(1 << 20), next_request: 0 }
    }

    fn tell(&mut self, event: NodeEvent) {
        let (now, mut actions) = (self.driver.clock.now() + self.ahead, Vec::new());
        self.driver.handle_event(now, event);
        self.driver.dispatcher.poll_actions(now, &mut actions);
        actions.into_iter().for_each(|action| self.driver.perform(action));
    }

    fn list(&mut self, kind: ListUpdate, entries: Vec<EndpointEntry>) {
        self.tell(NodeEvent::ListReceived(EndpointUpdate {
            kind,
            entries,
            version: None,
            dropped_entries: 0,
        }));
    }

    /// Lets the time pass in which those that are gone are looked over.
    fn look_over(&mut self) {
        self.ahead += 1100.0;
        self.tell(NodeEvent::Core(CoreEvent::TimerFired));
    }

    fn arrive(&mut self) -> Rc<InFlightRequest> {
        self.next_request += 1;
        let id = self.next_request.to_string();
        let work =
            ClientRequest { fields: format!("{ID_FIELD}{id}\r\n").into(), ..ClientRequest::of(&id, 0) };
        let limit = Instant::now() + HARD_LIMIT;
        let in_flight = InFlightRequest::new(RequestId(self.next_request), work, limit, &self.held).unwrap();
        self.tell(NodeEvent::RequestArrived(in_flight.clone()));
        in_flight
    }

    /// Takes in what the sides tell until these are answered; how many were completed.
    async fn serve(&mut self, in_flight_requests: &[Rc<InFlightRequest>]) -> usize {
        while !in_flight_requests.iter().all(|in_flight| in_flight.is_closed()) {
            let told = timeout(HARD_LIMIT, self.driver.events.recv()).await;
            self.tell(told.expect("it is answered in time").expect("the sides go on"));
        }
        let mut completed = 0;
        for in_flight in in_flight_requests {
            completed += usize::from(matches!(in_flight.answered().await, Answer::Completed(_)));
        }
        completed
    }

    /// What the node, its sides and the dispatcher keep in mind: the same number of executors.
    fn kept(&self) -> usize {
        let kept = self.driver.registry.len();
        assert_eq!(self.driver.executors.executor_count(), kept, "the executor side");
        assert_eq!(self.driver.membership.len(), kept, "the list");
        assert_eq!(self.driver.dispatcher.executor_count(), kept, "the dispatcher");
        kept
    }

    async fn call(&mut self, name: &str, out: bool) -> bool {
        let (done, known) = oneshot::channel();
        self.tell(NodeEvent::SetExcluded {
            executor: name.into(),
            is_excluded: out,
            origin: CallOrigin::Operator(done),
        });
        known.await.unwrap()
    }
}

/// Executors on loopback: each connection answers probes and does work at once, and counts it.
async fn executors_at_one_address(done: Rc<std::cell::Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer_all(stream, done.clone()));
        }
    });
    addr
}

async fn answer_all(mut stream: TcpStream, done: Rc<std::cell::Cell<usize>>) {
    let mut asked = [0; 2000];
    while let Ok(length @ 1..) = stream.read(&mut asked).await {
        let head = String::from_utf8_lossy(&asked[..length]).into_owned();
        let id = head.lines().find_map(|line| line.strip_prefix(ID_FIELD));
        let body = match id {
            Some(id) => format!(r#"{{"id":"{id}","state":"done","result":"xyz"}}"#),
            None => "queue=0,x0=4".to_string(),
        };
        done.set(done.get() + usize::from(id.is_some()));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn ready(name: &str, addr: SocketAddr) -> EndpointEntry {
    EndpointEntry::of(name, &addr.to_string(), "Ready")
}

/// A fleet of 1,000 that is replaced twenty times, all names new in one list, in a node of 48 MB: each is served
/// like the first, and what is kept goes by the one in force.
#[tokio::test]
async fn a_fleet_that_is_replaced_twenty_times_is_served_as_at_first() {
    const FLEET: usize = 1000;
    const REQUESTS: usize = 30;
    let local = LocalSet::new();
    let all = async {
        let addr = executors_at_one_address(Rc::default()).await;
        let mut rig = Rig::new(48);
        for replaced in 0..=20 {
            let names = (0..FLEET).map(|k| ready(&format!("fleet-{replaced}-{k}"), addr));
            rig.list(ListUpdate::Snapshot, names.collect());
            assert!(rig.kept() <= 2 * FLEET, "{replaced}: before those that are gone are looked over");
            let mut completed = 0;
            for _ in 0..REQUESTS {
                let in_flight = rig.arrive();
                completed += rig.serve(&[in_flight]).await;
            }
            assert_eq!(completed, REQUESTS, "{replaced}");
            rig.look_over();
            assert_eq!(rig.kept(), FLEET, "{replaced}");
        }
        rig.list(ListUpdate::Snapshot, Vec::new());
        rig.look_over();
        assert_eq!((rig.kept(), rig.driver.executors.connection_count()), (0, 0));
    };
    local.run_until(all).await;
}

/// Gone and back with another address: under another handle, and work goes to the new address alone.
#[tokio::test]
async fn an_executor_that_returns_at_another_address_gets_requests_there() {
    let local = LocalSet::new();
    let all = async {
        let done: [Rc<std::cell::Cell<usize>>; 2] = Default::default();
        let first = executors_at_one_address(done[0].clone()).await;
        let second = executors_at_one_address(done[1].clone()).await;
        for is_released in [false, true] {
            done.iter().for_each(|done| done.set(0));
            let mut rig = Rig::new(48);
            rig.list(ListUpdate::Snapshot, vec![ready("a", first)]);
            let before = rig.driver.registry.get("a");
            let in_flight = rig.arrive();
            assert_eq!(rig.serve(&[in_flight]).await, 1);
            rig.list(ListUpdate::Snapshot, Vec::new());
            if is_released {
                rig.look_over();
                assert_eq!(rig.kept(), 0);
            }
            rig.list(ListUpdate::Delta, vec![ready("a", second)]);
            assert_eq!(rig.driver.registry.get("a") == before, !is_released);
            let in_flight = rig.arrive();
            assert_eq!(rig.serve(&[in_flight]).await, 1);
            assert_eq!((done[0].get(), done[1].get()), (1, 1), "{is_released}");
        }
    };
    local.run_until(all).await;
}

/// What comes for a released executor is dropped and counted, on every side.
#[tokio::test]
async fn events_for_a_released_executor_are_harmless() {
    let local = LocalSet::new();
    let all = async {
        let addr = executors_at_one_address(Rc::default()).await;
        let mut rig = Rig::new(48);
        rig.list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let released = rig.driver.registry.get("a").unwrap();
        rig.list(ListUpdate::Delta, vec![EndpointEntry::gone("a"), ready("b", addr)]);
        rig.look_over();
        rig.list(ListUpdate::Delta, vec![ready("c", addr)]);
        let (reused, executors) = (rig.driver.registry.get("c").unwrap(), rig.driver.executors.clone());
        assert!(reused != released && rig.kept() == 2);
        // The slot of "a" is that of "c" by now.
        executors.clone().probe(released).await;
        let told = rig.driver.events.recv().await.unwrap();
        assert!(matches!(told, NodeEvent::Core(CoreEvent::ProbeCompleted { reply: None, .. })));
        rig.tell(told);
        assert_eq!(rig.driver.dispatcher.stale_events(), 1);
        executors.close_idle_connections(released);
        executors.start_draining(released);
        executors.release(released);
        let in_flight = rig.arrive();
        let deadline = Instant::now() + HARD_LIMIT;
        let order = DispatchOrder {
            in_flight: in_flight.clone(),
            executor: released,
            executor_name: None,
            attempt_id: AttemptId(7),
            decided_at: Instant::now(),
            incarnation: executors.incarnation(released),
            attempt_deadline: deadline,
            send_deadline: deadline,
            cancel_signal: Rc::default(),
        };
        executors.clone().dispatch(order).await;
        for action in [
            Action::Probe { executor: released },
            Action::CloseIdleConnections { executor: released },
            Action::ReleaseExecutor { executor: released },
        ] {
            rig.driver.perform(action);
        }
        assert_eq!(rig.serve(&[in_flight]).await, 1, "another executor serves it");
        assert_eq!(rig.kept(), 2);
    };
    local.run_until(all).await;
}

/// Left out by hand before it went or while it is gone, it stays out when it is back, until it is called in.
#[tokio::test]
async fn an_excluded_executor_stays_excluded_after_its_release() {
    let local = LocalSet::new();
    let all = async {
        let done: Rc<std::cell::Cell<usize>> = Rc::default();
        let addr = executors_at_one_address(done.clone()).await;
        let mut rig = Rig::new(48);
        rig.list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        assert!(rig.call("a", true).await);
        rig.list(ListUpdate::Snapshot, Vec::new());
        rig.look_over();
        assert_eq!(rig.kept(), 0);
        assert!(!rig.call("b", true).await, "nobody knows it");
        rig.list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let in_flight = rig.arrive();
        assert_eq!(rig.serve(&[in_flight]).await, 0, "it is given back at once");
        assert_eq!(done.get(), 0, "and was never sent");
        rig.list(ListUpdate::Snapshot, Vec::new());
        rig.look_over();
        assert!(rig.call("a", false).await, "it is called in while it is gone");
        assert!(rig.driver.membership.excluded().is_empty());
        rig.list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let in_flight = rig.arrive();
        assert_eq!((rig.serve(&[in_flight]).await, done.get()), (1, 1));
    };
    local.run_until(all).await;
}

/// What the other process of the node says of names that nobody lists keeps no executor in mind.
#[tokio::test]
async fn an_exclusion_from_the_sibling_applies_by_name() {
    let mut rig = Rig::new(48);
    for number in 0..5000 {
        let (executor, asked) = (format!("s-{number}"), CallOrigin::Sibling(number));
        rig.tell(NodeEvent::SetExcluded { executor, is_excluded: true, origin: asked });
    }
    assert_eq!(
        (rig.kept(), rig.driver.membership.excluded().len()),
        (0, crate::membership::MAX_EXCLUDED_ABSENT)
    );
    assert!(rig.driver.membership.excluded().contains("s-4999"));
}

/// What a process before this one knew of executors that are not listed any more is left, but for what it spent
/// of a cold budget, until that counts no more.
#[tokio::test]
async fn a_new_process_takes_over_the_listed_executors() {
    let mut rig = Rig::new(48);
    let now = rig.driver.clock.now();
    let known = |id: &str| codec::ExecutorState {
        id: id.into(),
        failure_score: (1.0, 0.0).into(),
        observations: (1.0, 0.0).into(),
        max_slots: 4.0,
        warm_up_spent: if id == "d" { vec![(now, 50.0).into()] } else { Vec::new() },
    };
    let addr = "127.0.0.1:1".parse().unwrap();
    rig.list(ListUpdate::Cached, vec![ready("a", addr), EndpointEntry::gone("b")]);
    let mut inherited = Inherited::default();
    inherited.executors = ["a", "b", "c", "d"].map(known).into();
    rig.driver.import_state(now, inherited);
    assert_eq!((rig.kept(), rig.driver.dispatcher.stale_events()), (2, 0));
    rig.look_over();
    assert_eq!(rig.kept(), 1);
}

/// What the driver is told after the word to end, or in the same moment, is answered as well.
#[tokio::test]
async fn requests_after_the_shutdown_are_answered_at_once() {
    let mut driver = driver(64, 128);
    let clock = driver.clock;
    let held = ByteBudget::new(100);
    let in_flight = |request_id: u64| {
        let work = ClientRequest::of(&request_id.to_string(), 0);
        let limit = Instant::now() + std::time::Duration::from_secs(5);
        InFlightRequest::new(RequestId(request_id), work, limit, &held).unwrap()
    };
    let [before, after, sent] = [1, 2, 3].map(in_flight);
    driver.handle_event(clock.now(), NodeEvent::RequestArrived(before.clone()));
    driver.handle_event(clock.now(), NodeEvent::RequestArrived(sent.clone()));
    driver.requests.get_mut(&sent.request_id).unwrap().attempts = 1;
    driver.handle_event(clock.now(), NodeEvent::ShutDown);
    driver.handle_event(clock.now(), NodeEvent::RequestArrived(after.clone()));
    for (what, in_flight, expected) in
        [("before", before, "Rejected"), ("after", after, "Rejected"), ("sent", sent, "Failed")]
    {
        assert!(in_flight.is_closed(), "{what}: it has its answer");
        assert!(format!("{:?}", in_flight.answered().await).starts_with(expected), "{what}");
    }
}
