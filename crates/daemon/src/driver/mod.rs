//! The driver owns the dispatcher: it translates events of the node into events of the dispatcher, and executes the
//! dispatcher's actions through the downstream and upstream modules.
//!
//! `events` handles events of the node, `actions` executes the dispatcher's actions, `endpoints` maintains the
//! executors, and `recovery` imports and exports the state of other processes of this node.
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

/// Maximum number of events that are handled before the resulting actions are executed.
const MAX_BATCH_EVENTS: usize = 64;

/// Number of times that the driver yields to the other tasks after a stall: once so that they read the bytes that have
/// arrived, and once for each queue between them and the driver.
const YIELDS_AFTER_STALL: usize = 4;

/// Logged in place of the name of an executor that was released.
const RELEASED_NAME: &str = "(released)";

/// A request that is open, or of which an attempt is still in flight.
struct OpenRequest {
    in_flight: Rc<InFlightRequest>,
    /// Number of attempts, including those of earlier processes.
    attempts: u32,
    /// The cancel signals of the attempts, indexed by attempt id.
    cancel_signals: Vec<Rc<CancelSignal>>,
    /// The last attempt that this process dispatched, for the log.
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

/// The parts of the node that a [`Driver`] uses.
pub struct DriverDependencies {
    /// Decides on dispatch, probes, rejections and retries.
    pub dispatcher: Dispatcher,
    /// The clock of the dispatcher.
    pub clock: Clock,
    /// Translates between names and ids.
    pub codec: Rc<Current<Codec>>,
    /// Sends attempts and probes to executors.
    pub executors: Rc<ExecutorPool>,
    /// Requests a watch of the endpoint list.
    pub watch_requests: Rc<WatchRequests>,
    /// The events to handle.
    pub events: mpsc::Receiver<NodeEvent>,
    /// Updated when an endpoint list has arrived.
    pub lifecycle: Rc<Lifecycle>,
    /// The other process of this node, if one runs.
    pub sibling: Rc<SiblingProcess>,
    /// Chooses the executors that are retained.
    pub retention: EndpointRetention,
    /// Sends gossip, if the node has peers.
    pub gossip: Option<Rc<GossipSocket>>,
    /// Runs the tasks of attempts and probes.
    pub tasks: TaskGroup,
}

/// Owns the dispatcher and runs its event loop.
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
    /// Maps the names of executors to handles.
    registry: ExecutorRegistry,
    membership: Membership,
    /// The statistics that were last logged; also returned by the admin API.
    retention_statistics: Rc<Cell<RetentionStatistics>>,
    /// Whether executors were released after cached entries were last considered for retention.
    has_released: bool,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// When the dispatcher's next timer fires.
    next_timer: Option<Instant>,
    /// New attempts are cancelled as soon as they start.
    is_cancelling: bool,
    /// New requests are answered as soon as they arrive, without being dispatched.
    is_shut_down: bool,
    /// The number of events for released executors when it was last checked.
    previous_stale_events: u64,
}

impl Driver {
    /// Creates a driver without executors.
    pub fn new(dependencies: DriverDependencies) -> Self {
        Driver {
            dispatcher: dependencies.dispatcher,
            clock: dependencies.clock,
            codec: dependencies.codec,
            executors: dependencies.executors,
            watch_requests: dependencies.watch_requests,
            events: dependencies.events,
            lifecycle: dependencies.lifecycle,
            sibling: dependencies.sibling,
            retention: dependencies.retention,
            gossip: dependencies.gossip,
            tasks: dependencies.tasks,
            registry: ExecutorRegistry::default(),
            membership: Membership::default(),
            retention_statistics: Rc::default(),
            has_released: false,
            requests: BTreeMap::new(),
            next_timer: None,
            is_cancelling: false,
            is_shut_down: false,
            previous_stale_events: 0,
        }
    }

    /// A shared cell with the numbers of listed and retained executors, which the driver updates.
    pub fn retention_statistics(&self) -> Rc<Cell<RetentionStatistics>> {
        self.retention_statistics.clone()
    }

    /// Handles events until all senders are dropped, which does not happen while the node runs.
    pub async fn run(mut self) {
        let mut batch = Vec::new();
        let mut actions = Vec::new();
        let mut last_batch_at = self.clock.now();
        while let Some(event) = self.next_event().await {
            self.yield_after_stall(last_batch_at).await;
            batch.push(event);
            self.fill_batch(&mut batch);
            let now = self.clock.now();
            last_batch_at = now;
            for event in batch.drain(..) {
                self.handle_event(now, event);
            }
            self.execute_actions(now, &mut actions);
            self.log_retention();
            self.log_stale_events();
        }
    }

    /// Waits for the next event, or for the dispatcher's timer.
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

    /// After a stall of the process, lets the other tasks read the bytes that arrived meanwhile, so that the
    /// dispatcher does not decide on outdated information.
    async fn yield_after_stall(&self, last_batch_at: Millis) {
        if self.clock.now() - last_batch_at > to_millis(self.executors.limits.stall_threshold) {
            for _ in 0..YIELDS_AFTER_STALL {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Adds queued events to the batch, and moves updates of the endpoint list to the front.
    fn fill_batch(&mut self, batch: &mut Vec<NodeEvent>) {
        while batch.len() < MAX_BATCH_EVENTS {
            let Ok(event) = self.events.try_recv() else { break };
            batch.push(event);
        }
        batch.sort_by_key(|event| !matches!(event, NodeEvent::ListReceived(..)));
    }

    /// Executes the dispatcher's actions. If they release executors, cached entries are retained in their place.
    fn execute_actions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        loop {
            self.dispatcher.poll_actions(now, actions);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
            if !self.retain_cached_entries(now) {
                return;
            }
        }
    }

    /// The name of an executor for the log.
    fn executor_name(&self, executor: ExecutorId) -> &str {
        self.registry.name(executor).unwrap_or(RELEASED_NAME)
    }

    /// Logs the number of events for released executors each time it passes a power of 2.
    fn log_stale_events(&mut self) {
        let count = self.dispatcher.stale_events();
        if count.checked_ilog2() > self.previous_stale_events.checked_ilog2() {
            tracing::info!(count, "events for released executors dropped");
        }
        self.previous_stale_events = count;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/driver.rs"]
mod tests;
