//! The driver, with events handled one after another.
use super::*;
use crate::byte_budget::ByteBudget;
use crate::config::limits::{LimitInputs, Limits};
use crate::event::{CallOrigin, EndpointUpdate};
use crate::hot_restart::codec::{self, InheritedState};
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

const MAX_DEADLINE: Duration = Duration::from_secs(5);
const ID_FIELD: &str = "Request-Id: ";

fn driver(memory_mb: u64, max_sockets: u64) -> Driver {
    let (settings, codec) = Codec::of_one_type(MAX_DEADLINE.as_micros() as u64);
    let limits = Rc::new(Limits::new(&LimitInputs { memory_mb, max_sockets, ..LimitInputs::default() }));
    let bounds = &limits.executor_bounds;
    let retention = EndpointRetention::new("", bounds.max_retained, bounds.max_unretained_entries);
    let (sender, events) = mpsc::channel(limits.event_queue_capacity);
    let sibling: Rc<SiblingProcess> = Rc::default();
    let executors = ExecutorPool::new(limits, codec.clone(), sender, sibling.clone());
    let clock = Clock::start();
    let dispatcher = Dispatcher::new(&settings, 1, clock.now());
    Driver::new(DriverDependencies {
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

/// A driver that the test hands events to, at times of the test's own.
struct TestDriver {
    driver: Driver,
    /// How far its time is ahead of the clock.
    ahead: Millis,
    budget: Rc<ByteBudget>,
    next_request: u64,
}

impl TestDriver {
    fn new(memory_mb: u64) -> Self {
        let driver = driver(memory_mb, 1024);
        TestDriver { driver, ahead: 0.0, budget: ByteBudget::new(1 << 20), next_request: 0 }
    }

    fn handle(&mut self, event: NodeEvent) {
        let (now, mut actions) = (self.driver.clock.now() + self.ahead, Vec::new());
        self.driver.handle_event(now, event);
        self.driver.dispatcher.poll_actions(now, &mut actions);
        actions.into_iter().for_each(|action| self.driver.execute_action(action));
    }

    fn update_list(&mut self, update_type: ListUpdate, entries: Vec<EndpointEntry>) {
        self.handle(NodeEvent::ListReceived(EndpointUpdate {
            update_type,
            entries,
            version: None,
            dropped_entries: 0,
        }));
    }

    /// Advances the time past the next reclaim of executors that are gone.
    fn reclaim(&mut self) {
        self.ahead += 1100.0;
        self.handle(NodeEvent::Core(CoreEvent::TimerFired));
    }

    fn submit(&mut self) -> Rc<InFlightRequest> {
        self.next_request += 1;
        let id = self.next_request.to_string();
        let request =
            ClientRequest { fields: format!("{ID_FIELD}{id}\r\n").into(), ..ClientRequest::of(&id, 0) };
        let deadline = Instant::now() + MAX_DEADLINE;
        let in_flight =
            InFlightRequest::new(RequestId(self.next_request), request, deadline, &self.budget).unwrap();
        self.handle(NodeEvent::RequestArrived(in_flight.clone()));
        in_flight
    }

    /// Handles the events of the sides until these requests are answered; returns how many were completed.
    async fn serve(&mut self, in_flight_requests: &[Rc<InFlightRequest>]) -> usize {
        while !in_flight_requests.iter().all(|in_flight| in_flight.is_closed()) {
            let event = timeout(MAX_DEADLINE, self.driver.events.recv()).await;
            self.handle(event.expect("answered in time").expect("the channel is open"));
        }
        let mut completed = 0;
        for in_flight in in_flight_requests {
            completed += usize::from(matches!(in_flight.answered().await, Answer::Completed(_)));
        }
        completed
    }

    /// The number of executors that are registered, which is the same in all parts of the node.
    fn registered(&self) -> usize {
        let count = self.driver.registry.len();
        assert_eq!(self.driver.executors.executor_count(), count, "upstream");
        assert_eq!(self.driver.membership.len(), count, "membership");
        assert_eq!(self.driver.dispatcher.executor_count(), count, "dispatcher");
        count
    }

    async fn set_excluded(&mut self, name: &str, is_excluded: bool) -> bool {
        let (done, known) = oneshot::channel();
        self.handle(NodeEvent::SetExcluded {
            executor: name.into(),
            is_excluded,
            origin: CallOrigin::Operator(done),
        });
        known.await.unwrap()
    }
}

/// Executors on loopback, all at one address. They answer probes and complete requests at once, and count these.
async fn start_executors(completed: Rc<std::cell::Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_connection(stream, completed.clone()));
        }
    });
    addr
}

async fn serve_connection(mut stream: TcpStream, completed: Rc<std::cell::Cell<usize>>) {
    let mut request = [0; 2000];
    while let Ok(length @ 1..) = stream.read(&mut request).await {
        let head = String::from_utf8_lossy(&request[..length]).into_owned();
        let id = head.lines().find_map(|line| line.strip_prefix(ID_FIELD));
        let body = match id {
            Some(id) => format!(r#"{{"id":"{id}","state":"done","result":"xyz"}}"#),
            None => "queue=0,x0=4".to_string(),
        };
        completed.set(completed.get() + usize::from(id.is_some()));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn ready(name: &str, addr: SocketAddr) -> EndpointEntry {
    EndpointEntry::of(name, &addr.to_string(), "Ready")
}

/// A fleet of 1,000 is replaced twenty times, with new names throughout, in a node of 48 MB: each is served like the
/// first, and only executors of the current one stay registered.
#[tokio::test]
async fn a_fleet_replaced_twenty_times_is_served_like_the_first() {
    const FLEET: usize = 1000;
    const REQUESTS: usize = 30;
    let local = LocalSet::new();
    let all = async {
        let addr = start_executors(Rc::default()).await;
        let mut rig = TestDriver::new(48);
        for replaced in 0..=20 {
            let names = (0..FLEET).map(|number| ready(&format!("fleet-{replaced}-{number}"), addr));
            rig.update_list(ListUpdate::Snapshot, names.collect());
            assert!(rig.registered() <= 2 * FLEET, "{replaced}: before the reclaim");
            let mut completed = 0;
            for _ in 0..REQUESTS {
                let in_flight = rig.submit();
                completed += rig.serve(&[in_flight]).await;
            }
            assert_eq!(completed, REQUESTS, "{replaced}");
            rig.reclaim();
            assert_eq!(rig.registered(), FLEET, "{replaced}");
        }
        rig.update_list(ListUpdate::Snapshot, Vec::new());
        rig.reclaim();
        assert_eq!((rig.registered(), rig.driver.executors.connection_count()), (0, 0));
    };
    local.run_until(all).await;
}

/// An executor that is gone and listed again at another address gets requests only there, under another handle once
/// it was released.
#[tokio::test]
async fn an_executor_that_returns_at_another_address_gets_requests_there() {
    let local = LocalSet::new();
    let all = async {
        let done: [Rc<std::cell::Cell<usize>>; 2] = Default::default();
        let first = start_executors(done[0].clone()).await;
        let second = start_executors(done[1].clone()).await;
        for is_released in [false, true] {
            done.iter().for_each(|done| done.set(0));
            let mut rig = TestDriver::new(48);
            rig.update_list(ListUpdate::Snapshot, vec![ready("a", first)]);
            let before = rig.driver.registry.get("a");
            let in_flight = rig.submit();
            assert_eq!(rig.serve(&[in_flight]).await, 1);
            rig.update_list(ListUpdate::Snapshot, Vec::new());
            if is_released {
                rig.reclaim();
                assert_eq!(rig.registered(), 0);
            }
            rig.update_list(ListUpdate::Delta, vec![ready("a", second)]);
            assert_eq!(rig.driver.registry.get("a") == before, !is_released);
            let in_flight = rig.submit();
            assert_eq!(rig.serve(&[in_flight]).await, 1);
            assert_eq!((done[0].get(), done[1].get()), (1, 1), "{is_released}");
        }
    };
    local.run_until(all).await;
}

/// Events and actions for a released executor are dropped and counted.
#[tokio::test]
async fn events_for_a_released_executor_are_harmless() {
    let local = LocalSet::new();
    let all = async {
        let addr = start_executors(Rc::default()).await;
        let mut rig = TestDriver::new(48);
        rig.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let released = rig.driver.registry.get("a").unwrap();
        rig.update_list(ListUpdate::Delta, vec![EndpointEntry::gone("a"), ready("b", addr)]);
        rig.reclaim();
        rig.update_list(ListUpdate::Delta, vec![ready("c", addr)]);
        let (reused, executors) = (rig.driver.registry.get("c").unwrap(), rig.driver.executors.clone());
        assert!(reused != released && rig.registered() == 2);
        // "c" has the slot that "a" had.
        executors.clone().probe(released).await;
        let event = rig.driver.events.recv().await.unwrap();
        assert!(matches!(event, NodeEvent::Core(CoreEvent::ProbeCompleted { reply: None, .. })));
        rig.handle(event);
        assert_eq!(rig.driver.dispatcher.stale_events(), 1);
        executors.close_idle_connections(released);
        executors.start_draining(released);
        executors.release(released);
        let in_flight = rig.submit();
        let deadline = Instant::now() + MAX_DEADLINE;
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
            rig.driver.execute_action(action);
        }
        assert_eq!(rig.serve(&[in_flight]).await, 1, "another executor serves it");
        assert_eq!(rig.registered(), 2);
    };
    local.run_until(all).await;
}

/// An executor that operators excluded stays excluded when it is released and listed again, until it is included.
#[tokio::test]
async fn an_excluded_executor_stays_excluded_after_its_release() {
    let local = LocalSet::new();
    let all = async {
        let done: Rc<std::cell::Cell<usize>> = Rc::default();
        let addr = start_executors(done.clone()).await;
        let mut rig = TestDriver::new(48);
        rig.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        assert!(rig.set_excluded("a", true).await);
        rig.update_list(ListUpdate::Snapshot, Vec::new());
        rig.reclaim();
        assert_eq!(rig.registered(), 0);
        assert!(!rig.set_excluded("b", true).await, "it is not known");
        rig.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let in_flight = rig.submit();
        assert_eq!(rig.serve(&[in_flight]).await, 0, "the request is rejected");
        assert_eq!(done.get(), 0, "and never sent");
        rig.update_list(ListUpdate::Snapshot, Vec::new());
        rig.reclaim();
        assert!(rig.set_excluded("a", false).await, "it is included while it is gone");
        assert!(rig.driver.membership.excluded().is_empty());
        rig.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let in_flight = rig.submit();
        assert_eq!((rig.serve(&[in_flight]).await, done.get()), (1, 1));
    };
    local.run_until(all).await;
}

/// Exclusions by the sibling process of names that are not listed register no executors.
#[tokio::test]
async fn an_exclusion_from_the_sibling_applies_by_name() {
    let mut rig = TestDriver::new(48);
    for number in 0..5000 {
        let (executor, origin) = (format!("s-{number}"), CallOrigin::Sibling(number));
        rig.handle(NodeEvent::SetExcluded { executor, is_excluded: true, origin });
    }
    assert_eq!(
        (rig.registered(), rig.driver.membership.excluded().len()),
        (0, crate::membership::MAX_EXCLUDED_ABSENT)
    );
    assert!(rig.driver.membership.excluded().contains("s-4999"));
}

/// The state of an old process is taken of executors that are listed, and of others only as long as what they used of
/// a warm-up budget counts.
#[tokio::test]
async fn a_new_process_takes_over_the_listed_executors() {
    let mut rig = TestDriver::new(48);
    let now = rig.driver.clock.now();
    let state = |id: &str| codec::ExecutorState {
        id: id.into(),
        failure_score: (1.0, 0.0).into(),
        observations: (1.0, 0.0).into(),
        max_slots: 4.0,
        warm_up_spent: if id == "d" { vec![(now, 50.0).into()] } else { Vec::new() },
    };
    let addr = "127.0.0.1:1".parse().unwrap();
    rig.update_list(ListUpdate::Cached, vec![ready("a", addr), EndpointEntry::gone("b")]);
    let mut inherited = InheritedState::default();
    inherited.executors = ["a", "b", "c", "d"].map(state).into();
    rig.driver.import_state(now, inherited);
    assert_eq!((rig.registered(), rig.driver.dispatcher.stale_events()), (2, 0));
    rig.reclaim();
    assert_eq!(rig.registered(), 1);
}

/// Requests that arrive before or after the event to shut down are answered at once.
#[tokio::test]
async fn requests_after_the_shutdown_are_answered_at_once() {
    let mut driver = driver(64, 128);
    let clock = driver.clock;
    let budget = ByteBudget::new(100);
    let in_flight = |request_id: u64| {
        let request = ClientRequest::of(&request_id.to_string(), 0);
        let deadline = Instant::now() + MAX_DEADLINE;
        InFlightRequest::new(RequestId(request_id), request, deadline, &budget).unwrap()
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
        assert!(in_flight.is_closed(), "{what}: it is answered");
        assert!(format!("{:?}", in_flight.answered().await).starts_with(expected), "{what}");
    }
}
