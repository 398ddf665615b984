//! The driver owns the dispatcher: it translates the events of the node into the dispatcher's events, and has the
//! sides of the node carry out the dispatcher's actions.
//!
//! `events` handles what the sides report, `actions` what the dispatcher decides, `endpoints` the list of
//! executors, and `recovery` what earlier processes of this node leave behind.
mod actions;
mod decision_log;
mod endpoints;
mod events;
mod recovery;

use crate::event::{NodeEvent, WatchRequests};
use crate::gossip::GossipSocket;
use crate::hot_restart::sibling::SiblingProcess;
use crate::in_flight::{CancelSignal, InFlightRequest};
use crate::lifecycle::Lifecycle;
use crate::membership::Membership;
use crate::protocol::{Codec, Current};
use crate::retention::{EndpointRetention, RetentionStatistics};
use crate::tasks::TaskGroup;
use crate::units::to_millis;
use crate::upstream::ExecutorPool;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use troutknot::{Action, Dispatcher, Event as CoreEvent, ExecutorId, Millis, RequestId};
use troutknot_clock::Clock;
use troutknot_membership::ExecutorRegistry;

/// Maximum number of events that are handled before the actions that follow from them.
const MAX_BATCH_EVENTS: usize = 64;

/// Times that the driver yields to the other tasks after a stall: once for them to read what has arrived, and once for
/// each hop of it to the driver.
const YIELDS_AFTER_STALL: usize = 4;

/// The name that the log shows for an executor that was released.
const RELEASED_NAME: &str = "(released)";

/// A request that is open, or of which an attempt is still in flight.
struct OpenRequest {
    in_flight: Rc<InFlightRequest>,
    /// Number of attempts so far, including those of earlier processes.
    attempts: u32,
    /// Cancels the attempt whose id is the index.
    cancel_signals: Vec<Rc<CancelSignal>>,
    /// The last attempt of this process, for the log.
    last_dispatch: Option<LastDispatch>,
}

impl OpenRequest {
    fn new(in_flight: Rc<InFlightRequest>) -> Self {
        OpenRequest { in_flight, attempts: 0, cancel_signals: Vec::new(), last_dispatch: None }
    }
}

#[derive(Clone, Copy)]
struct LastDispatch {
    executor: ExecutorId,
    decided_at: Instant,
}

/// What a [`Driver`] is connected with.
pub struct DriverDependencies {
    /// Decides what is done.
    pub dispatcher: Dispatcher,
    /// The clock of the dispatcher.
    pub clock: Clock,
    /// Translates between names and ids.
    pub codec: Rc<Current<Codec>>,
    /// Carries out attempts and probes.
    pub executors: Rc<ExecutorPool>,
    /// Asks for the endpoint list to be watched.
    pub watch_requests: Rc<WatchRequests>,
    /// The events to handle.
    pub events: mpsc::Receiver<NodeEvent>,
    /// Receives that a list has arrived.
    pub lifecycle: Rc<Lifecycle>,
    /// The other process of this node, if one runs.
    pub sibling: Rc<SiblingProcess>,
    /// Chooses the executors that are retained.
    pub retention: EndpointRetention,
    /// Sends gossip, if the node has peers.
    pub gossip: Option<Rc<GossipSocket>>,
    /// Owns the tasks of attempts and probes.
    pub tasks: TaskGroup,
}

/// Owns the dispatcher, and runs it.
pub struct Driver {
    dispatcher: Dispatcher,
    clock: Clock,
    codec: Rc<Current<Codec>>,
    executors: Rc<ExecutorPool>,
    watch_requests: Rc<WatchRequests>,
    events: mpsc::Receiver<NodeEvent>,
    lifecycle: Rc<Lifecycle>,
    sibling: Rc<SiblingProcess>,
    retention: EndpointRetention,
    gossip: Option<Rc<GossipSocket>>,
    tasks: TaskGroup,
    /// The handles of the executors, by name.
    registry: ExecutorRegistry,
    membership: Membership,
    /// As last logged, and as operators' calls report them.
    retention_statistics: Rc<Cell<RetentionStatistics>>,
    /// Whether executors were released since unretained ones were last considered.
    has_released: bool,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// When the dispatcher is to be called next.
    next_timer: Option<Instant>,
    /// Attempts are cancelled as soon as they begin.
    is_cancelling: bool,
    /// Requests are answered as soon as they arrive.
    is_shut_down: bool,
    /// The number of events for released executors at the last log line.
    logged_stale_events: u64,
}

impl Driver {
    /// Creates a driver that knows no executors yet.
    pub fn new(config: DriverDependencies) -> Self {
        Driver {
            dispatcher: config.dispatcher,
            clock: config.clock,
            codec: config.codec,
            executors: config.executors,
            watch_requests: config.watch_requests,
            events: config.events,
            lifecycle: config.lifecycle,
            sibling: config.sibling,
            retention: config.retention,
            gossip: config.gossip,
            tasks: config.tasks,
            registry: ExecutorRegistry::default(),
            membership: Membership::default(),
            retention_statistics: Rc::default(),
            has_released: false,
            requests: BTreeMap::new(),
            next_timer: None,
            is_cancelling: false,
            is_shut_down: false,
            logged_stale_events: 0,
        }
    }

    /// How many executors are listed and retained, kept up to date.
    pub fn retention_statistics(&self) -> Rc<Cell<RetentionStatistics>> {
        self.retention_statistics.clone()
    }

    /// Handles events until every sender of events is gone, which does not happen while the node runs.
    pub async fn run(mut self) {
        let mut batch = Vec::new();
        let mut actions = Vec::new();
        let mut last_turn_at = self.clock.now();
        while let Some(event) = self.next_event().await {
            self.yield_after_stall(last_turn_at).await;
            batch.push(event);
            self.fill_batch(&mut batch);
            let now = self.clock.now();
            last_turn_at = now;
            for event in batch.drain(..) {
                self.handle_event(now, event);
            }
            self.perform_actions(now, &mut actions);
            self.log_retention();
            self.log_stale_events();
        }
    }

    /// Waits for the next event or the dispatcher's timer.
    async fn next_event(&mut self) -> Option<NodeEvent> {
        let timer = self.next_timer;
        tokio::select! {
            biased;
            event = self.events.recv() => event,
            () = async { sleep_until(timer.unwrap_or_else(Instant::now)).await }, if timer.is_some() => {
                self.next_timer = None;
                Some(NodeEvent::Core(CoreEvent::TimerFired))
            }
        }
    }

    /// Lets the other tasks read what has arrived while the process did not run, before anything is decided by
    /// outdated information.
    async fn yield_after_stall(&self, last_turn_at: Millis) {
        if self.clock.now() - last_turn_at > to_millis(self.executors.limits.stall_threshold) {
            for _ in 0..YIELDS_AFTER_STALL {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Adds the events that are queued, and moves updates of the endpoint list to the front.
    fn fill_batch(&mut self, batch: &mut Vec<NodeEvent>) {
        while batch.len() < MAX_BATCH_EVENTS {
            let Ok(event) = self.events.try_recv() else { break };
            batch.push(event);
        }
        batch.sort_by_key(|event| !matches!(event, NodeEvent::ListReceived(..)));
    }

    /// Carries out what the dispatcher decided. If that released executors, unretained ones take their place.
    fn perform_actions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        loop {
            self.dispatcher.poll_actions(now, actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            if !self.retain_waiting(now) {
                return;
            }
        }
    }

    /// An executor's name for the log.
    fn executor_name(&self, executor: ExecutorId) -> &str {
        self.registry.name(executor).unwrap_or(RELEASED_NAME)
    }

    /// Logs events for released executors each time their number has doubled.
    fn log_stale_events(&mut self) {
        let count = self.dispatcher.stale_events();
        if count.checked_ilog2() > self.logged_stale_events.checked_ilog2() {
            tracing::info!(count, "events for released executors dropped");
        }
        self.logged_stale_events = count;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/driver.rs"]
mod tests;
