//! The driver, which handles events that the tests pass to it one after another.
use super::*;
use crate::byte_budget::ByteBudget;
use crate::config::limits::{LimitInputs, Limits};
use crate::event::{CallOrigin, EndpointUpdate, RecoveredAttempt};
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
use troutknot_ledger::Fence;

const MAX_DEADLINE: Duration = Duration::from_secs(5);
const ID_FIELD: &str = "Request-Id: ";

fn driver(memory_mb: u64, max_sockets: u64) -> Driver {
    let (settings, codec) = Codec::with_deadline_us(MAX_DEADLINE.as_micros() as u64);
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

/// A driver that handles the test's events, with a clock that the test can advance.
struct TestDriver {
    driver: Driver,
    /// Difference between the driver's time and the clock.
    time_offset: Millis,
    budget: Rc<ByteBudget>,
    next_request: u64,
}

impl TestDriver {
    fn new(memory_mb: u64) -> Self {
        let driver = driver(memory_mb, 1024);
        TestDriver { driver, time_offset: 0.0, budget: ByteBudget::new(1 << 20), next_request: 0 }
    }

    fn handle(&mut self, event: NodeEvent) {
        let (now, mut actions) = (self.driver.clock.now() + self.time_offset, Vec::new());
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
        self.time_offset += 1100.0;
        self.handle(NodeEvent::Core(CoreEvent::TimerFired));
    }

    fn submit(&mut self) -> Rc<InFlightRequest> {
        self.next_request += 1;
        let id = self.next_request.to_string();
        let request = ClientRequest {
            fields: format!("{ID_FIELD}{id}\r\n").into(),
            ..ClientRequest::with_body_size(&id, 0)
        };
        let deadline = Instant::now() + MAX_DEADLINE;
        let in_flight =
            InFlightRequest::new(RequestId(self.next_request), request, deadline, &self.budget).unwrap();
        self.handle(NodeEvent::RequestArrived(in_flight.clone()));
        in_flight
    }

    /// Handles received events until these requests are answered; returns the number of completed ones.
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
    fn registered_count(&self) -> usize {
        let count = self.driver.registry.len();
        assert_eq!(self.driver.executors.executor_count(), count, "upstream");
        assert_eq!(self.driver.membership.len(), count, "membership");
        assert_eq!(self.driver.dispatcher.executor_count(), count, "dispatcher");
        count
    }

    async fn set_excluded(&mut self, name: &str, is_excluded: bool) -> bool {
        let (sender, is_known) = oneshot::channel();
        self.handle(NodeEvent::SetExcluded {
            executor: name.into(),
            is_excluded,
            origin: CallOrigin::Operator(sender),
        });
        is_known.await.unwrap()
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
    EndpointEntry::new(name, &addr.to_string(), "Ready")
}

/// A fleet of 1,000 executors is replaced 20 times by one with other names, in a node of 48 MB. Each fleet has to
/// serve all requests, and only executors of the current one may stay registered.
#[tokio::test]
async fn executors_of_replaced_fleets_are_released() {
    const FLEET: usize = 1000;
    const REQUESTS: usize = 30;
    let local = LocalSet::new();
    let test = async {
        let addr = start_executors(Rc::default()).await;
        let mut test_driver = TestDriver::new(48);
        for generation in 0..=20 {
            let names = (0..FLEET).map(|number| ready(&format!("fleet-{generation}-{number}"), addr));
            test_driver.update_list(ListUpdate::Snapshot, names.collect());
            assert!(test_driver.registered_count() <= 2 * FLEET, "{generation}: before the reclaim");
            let mut completed = 0;
            for _ in 0..REQUESTS {
                let in_flight = test_driver.submit();
                completed += test_driver.serve(&[in_flight]).await;
            }
            assert_eq!(completed, REQUESTS, "{generation}");
            test_driver.reclaim();
            assert_eq!(test_driver.registered_count(), FLEET, "{generation}");
        }
        test_driver.update_list(ListUpdate::Snapshot, Vec::new());
        test_driver.reclaim();
        assert_eq!((test_driver.registered_count(), test_driver.driver.executors.connection_count()), (0, 0));
    };
    local.run_until(test).await;
}

/// An executor that is gone and listed again gets requests only at its new address, and has another handle if it was
/// released in between.
#[tokio::test]
async fn an_executor_that_returns_at_another_address_gets_requests_there() {
    let local = LocalSet::new();
    let test = async {
        let completed: [Rc<std::cell::Cell<usize>>; 2] = Default::default();
        let first = start_executors(completed[0].clone()).await;
        let second = start_executors(completed[1].clone()).await;
        for is_released in [false, true] {
            completed.iter().for_each(|count| count.set(0));
            let mut test_driver = TestDriver::new(48);
            test_driver.update_list(ListUpdate::Snapshot, vec![ready("a", first)]);
            let handle = test_driver.driver.registry.get("a");
            let in_flight = test_driver.submit();
            assert_eq!(test_driver.serve(&[in_flight]).await, 1);
            test_driver.update_list(ListUpdate::Snapshot, Vec::new());
            if is_released {
                test_driver.reclaim();
                assert_eq!(test_driver.registered_count(), 0);
            }
            test_driver.update_list(ListUpdate::Delta, vec![ready("a", second)]);
            assert_eq!(test_driver.driver.registry.get("a") == handle, !is_released);
            let in_flight = test_driver.submit();
            assert_eq!(test_driver.serve(&[in_flight]).await, 1);
            assert_eq!((completed[0].get(), completed[1].get()), (1, 1), "{is_released}");
        }
    };
    local.run_until(test).await;
}

/// Events for a released executor must not affect another one that reuses its slot; they are counted.
#[tokio::test]
async fn events_and_actions_for_a_released_executor_are_dropped() {
    let local = LocalSet::new();
    let test = async {
        let addr = start_executors(Rc::default()).await;
        let mut test_driver = TestDriver::new(48);
        test_driver.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let released = test_driver.driver.registry.get("a").unwrap();
        test_driver.update_list(ListUpdate::Delta, vec![EndpointEntry::gone("a"), ready("b", addr)]);
        test_driver.reclaim();
        test_driver.update_list(ListUpdate::Delta, vec![ready("c", addr)]);
        let (reused, executors) =
            (test_driver.driver.registry.get("c").unwrap(), test_driver.driver.executors.clone());
        assert!(reused != released && test_driver.registered_count() == 2);
        // "c" has the slot that "a" had.
        executors.clone().probe(released).await;
        let event = test_driver.driver.events.recv().await.unwrap();
        assert!(matches!(event, NodeEvent::Core(CoreEvent::ProbeCompleted { reply: None, .. })));
        test_driver.handle(event);
        assert_eq!(test_driver.driver.dispatcher.stale_events(), 1);
        executors.close_idle_connections(released);
        executors.start_draining(released);
        executors.release(released);
        let in_flight = test_driver.submit();
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
            test_driver.driver.execute_action(action);
        }
        assert_eq!(test_driver.serve(&[in_flight]).await, 1, "another executor serves it");
        assert_eq!(test_driver.registered_count(), 2);
    };
    local.run_until(test).await;
}

/// An executor that operators excluded stays excluded when it is released and listed again, until it is included.
#[tokio::test]
async fn an_excluded_executor_stays_excluded_after_its_release() {
    let local = LocalSet::new();
    let test = async {
        let completed: Rc<std::cell::Cell<usize>> = Rc::default();
        let addr = start_executors(completed.clone()).await;
        let mut test_driver = TestDriver::new(48);
        test_driver.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        assert!(test_driver.set_excluded("a", true).await);
        test_driver.update_list(ListUpdate::Snapshot, Vec::new());
        test_driver.reclaim();
        assert_eq!(test_driver.registered_count(), 0);
        assert!(!test_driver.set_excluded("b", true).await, "it was never listed");
        test_driver.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let in_flight = test_driver.submit();
        assert_eq!(test_driver.serve(&[in_flight]).await, 0, "the request is rejected");
        assert_eq!(completed.get(), 0, "and never sent");
        test_driver.update_list(ListUpdate::Snapshot, Vec::new());
        test_driver.reclaim();
        assert!(test_driver.set_excluded("a", false).await, "it is included while it is gone");
        assert!(test_driver.driver.membership.excluded().is_empty());
        test_driver.update_list(ListUpdate::Snapshot, vec![ready("a", addr)]);
        let in_flight = test_driver.submit();
        assert_eq!((test_driver.serve(&[in_flight]).await, completed.get()), (1, 1));
    };
    local.run_until(test).await;
}

/// Exclusions by the sibling process are kept by name, so those of executors that are not listed register none.
#[tokio::test]
async fn an_exclusion_from_the_sibling_applies_by_name() {
    let mut test_driver = TestDriver::new(48);
    for number in 0..5000 {
        let (executor, origin) = (format!("s-{number}"), CallOrigin::Sibling(number));
        test_driver.handle(NodeEvent::SetExcluded { executor, is_excluded: true, origin });
    }
    assert_eq!(
        (test_driver.registered_count(), test_driver.driver.membership.excluded().len()),
        (0, crate::membership::MAX_EXCLUDED_ABSENT)
    );
    assert!(test_driver.driver.membership.is_excluded("s-4999"));
}

/// The state of an old process is imported for listed executors, and for others only as long as their use of a
/// warm-up budget counts.
#[tokio::test]
async fn a_new_process_imports_the_state_of_listed_executors() {
    let mut test_driver = TestDriver::new(48);
    let now = test_driver.driver.clock.now();
    let state = |id: &str| codec::ExecutorState {
        id: id.into(),
        failure_score: (1.0, 0.0).into(),
        observations: (1.0, 0.0).into(),
        max_slots: 4.0,
        warm_up_spent: if id == "d" { vec![(now, 50.0).into()] } else { Vec::new() },
    };
    let addr = "127.0.0.1:1".parse().unwrap();
    test_driver.update_list(ListUpdate::Cached, vec![ready("a", addr), EndpointEntry::gone("b")]);
    let mut inherited = InheritedState::default();
    inherited.executors = ["a", "b", "c", "d"].map(state).into();
    test_driver.driver.import_state(now, inherited);
    assert_eq!((test_driver.registered_count(), test_driver.driver.dispatcher.stale_events()), (2, 0));
    test_driver.reclaim();
    assert_eq!(test_driver.registered_count(), 1);
}

/// Requests that arrive before or after the shutdown event are answered immediately.
#[tokio::test]
async fn requests_around_the_shutdown_event_are_answered_immediately() {
    let mut driver = driver(64, 128);
    let clock = driver.clock;
    let budget = ByteBudget::new(100);
    let in_flight = |request_id: u64| {
        let request = ClientRequest::with_body_size(&request_id.to_string(), 0);
        let deadline = Instant::now() + MAX_DEADLINE;
        InFlightRequest::new(RequestId(request_id), request, deadline, &budget).unwrap()
    };
    let [before, after, sent, recovered, unsent] = [1, 2, 3, 4, 5].map(in_flight);
    driver.handle_event(clock.now(), NodeEvent::RequestArrived(before.clone()));
    driver.handle_event(clock.now(), NodeEvent::RequestArrived(sent.clone()));
    driver.requests.get_mut(&sent.request_id).unwrap().attempts = 1;
    driver.handle_event(clock.now(), NodeEvent::ShutDown);
    driver.handle_event(clock.now(), NodeEvent::RequestArrived(after.clone()));
    let attempt =
        RecoveredAttempt { executor: "a".into(), sent_at: clock.now(), outcome: None, fence: Fence(1) };
    driver.handle_event(clock.now(), NodeEvent::RequestRecovered(recovered.clone(), vec![attempt]));
    driver.handle_event(clock.now(), NodeEvent::RequestRecovered(unsent.clone(), Vec::new()));
    for (arrival, in_flight, expected) in [
        ("before", before, "Rejected"),
        ("after", after, "Rejected"),
        ("sent", sent, "Failed"),
        ("recovered afterwards with an attempt that may have run", recovered, "Failed"),
        ("recovered afterwards without an attempt", unsent, "Rejected"),
    ] {
        assert!(in_flight.is_closed(), "{arrival}: it is answered");
        assert!(format!("{:?}", in_flight.answered().await).starts_with(expected), "{arrival}");
    }
}
