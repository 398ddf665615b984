//! The lifecycle of a node. Its state is derived from a set of conditions; other modules watch the state.
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Whether and how a node serves its clients.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LifecycleState {
    /// No endpoint list has been received yet.
    Starting,
    /// The node accepts connections and requests.
    Serving,
    /// An operator has started to drain the node: requests are still accepted, and each connection closes after its
    /// response.
    Draining,
    /// An operator drained the node: idle connections close, and further requests are rejected.
    Drained,
    /// A shutdown was requested: the node still serves requests but reports that it is not ready.
    ShutdownPending,
    /// The sibling process serves the clients: this process accepts no connections, and closes each open one after its
    /// response. If the sibling exits before a shutdown of this process is requested, this process serves again.
    HandingOver,
    /// Idle connections close, and other connections close after their responses.
    Closing,
}

impl LifecycleState {
    /// Whether a connection closes after its response.
    pub fn is_closing_after_response(self) -> bool {
        use LifecycleState::{Closing, Drained, Draining, HandingOver};
        matches!(self, Draining | Drained | HandingOver | Closing)
    }

    /// Whether idle connections close.
    pub fn is_closing_idle(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::Closing)
    }
}

/// The progress of a drain by an operator.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub enum Drain {
    /// The node is not drained.
    #[default]
    None,
    /// The drain has started, and requests that clients have already sent may still arrive.
    Started,
    /// Requests that clients had sent before the drain have had time to arrive.
    Settled,
}

/// The progress of the node's shutdown.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub enum Shutdown {
    /// No shutdown was requested.
    #[default]
    None,
    /// A shutdown was requested.
    Requested,
    /// A shutdown was requested, and another process accepts new connections from clients.
    HandedOver,
    /// The node closes its connections.
    Closing,
}

/// A request of an operator to drain or activate the node.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum DrainRequest {
    /// Stop accepting requests (admin call `drain`).
    Drain,
    /// Accept requests again (admin call `activate`; the call `resume` refers to an executor).
    Resume,
}

/// Where a drain was requested.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum DrainOrigin {
    /// By an operator, at this process.
    Operator,
    /// At the sibling process, which reported it.
    Sibling,
}

/// The conditions from which the state is derived.
#[derive(Clone, Copy, Default, Debug)]
pub struct LifecycleConditions {
    /// Whether an endpoint list was received, or the wait for one has timed out.
    pub has_endpoint_list: bool,
    /// The progress of a drain by an operator.
    pub drain: Drain,
    /// Whether the drain was requested at another process of this node.
    pub is_drain_inherited: bool,
    /// Whether a new process of this node runs and serves the clients.
    pub has_ready_successor: bool,
    /// The progress of the shutdown.
    pub shutdown: Shutdown,
}

impl LifecycleConditions {
    /// Derives the state from the conditions.
    pub fn state(&self) -> LifecycleState {
        match (self.shutdown, self.drain, self.has_endpoint_list) {
            (Shutdown::Closing, ..) => LifecycleState::Closing,
            (Shutdown::Requested | Shutdown::HandedOver, Drain::Settled, _) => LifecycleState::Closing,
            (Shutdown::HandedOver, ..) => LifecycleState::HandingOver,
            (Shutdown::Requested, Drain::Started, _) => LifecycleState::Draining,
            (Shutdown::Requested, ..) => LifecycleState::ShutdownPending,
            (Shutdown::None, Drain::Started, true) => LifecycleState::Draining,
            (Shutdown::None, _, false) => LifecycleState::Starting,
            (Shutdown::None, Drain::None, true) if self.has_ready_successor => LifecycleState::HandingOver,
            (Shutdown::None, Drain::Settled, true) => LifecycleState::Drained,
            (Shutdown::None, Drain::None, true) => LifecycleState::Serving,
        }
    }

    /// Whether this process reports that it is ready. A process that inherited a drain does, because the upgrade that
    /// started it waits for readiness.
    pub fn is_ready(&self) -> bool {
        let is_drained = self.drain != Drain::None && !self.is_drain_inherited;
        self.has_endpoint_list && self.shutdown == Shutdown::None && !is_drained
    }
}

/// The lifecycle of one node: its conditions and a watch channel with its state.
pub struct Lifecycle {
    conditions: Cell<LifecycleConditions>,
    /// Marks a drain as settled after a delay; replaced, and thereby aborted, with each change.
    settle_timer: RefCell<JoinSet<()>>,
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// Creates the lifecycle of a node that is starting.
    pub fn new() -> Self {
        Lifecycle {
            conditions: Cell::default(),
            settle_timer: RefCell::default(),
            state: watch::Sender::new(LifecycleState::Starting),
        }
    }

    /// The current conditions.
    pub fn conditions(&self) -> LifecycleConditions {
        self.conditions.get()
    }

    /// Changes the conditions, and notifies the watchers if the state changes.
    pub fn update(&self, change: impl FnOnce(&mut LifecycleConditions)) {
        let mut conditions = self.conditions.get();
        change(&mut conditions);
        self.conditions.set(conditions);
        self.state
            .send_if_modified(|state| std::mem::replace(state, conditions.state()) != conditions.state());
    }

    /// Drains or activates the node; a repeated request has no effect. A drain settles after `settle_time`.
    pub fn request_drain(self: &Rc<Self>, request: DrainRequest, origin: DrainOrigin, settle_time: Duration) {
        let is_drained = self.conditions().drain != Drain::None;
        if is_drained == (request == DrainRequest::Drain) {
            return;
        }
        let mut timer = JoinSet::new();
        match request {
            DrainRequest::Resume => self.update(|conditions| {
                conditions.drain = Drain::None;
                conditions.is_drain_inherited = false;
            }),
            DrainRequest::Drain => {
                self.update(|conditions| {
                    conditions.drain = Drain::Started;
                    conditions.is_drain_inherited = origin == DrainOrigin::Sibling;
                });
                timer.spawn_local(settle_drain(Rc::downgrade(self), settle_time));
            }
        }
        self.settle_timer.replace(timer);
    }

    /// Subscribes to the state, beginning with the current one.
    pub fn watch(&self) -> watch::Receiver<LifecycleState> {
        self.state.subscribe()
    }
}

async fn settle_drain(lifecycle: Weak<Lifecycle>, settle_time: Duration) {
    sleep(settle_time).await;
    if let Some(lifecycle) = lifecycle.upgrade() {
        lifecycle.update(|conditions| conditions.drain = Drain::Settled);
    }
}

#[cfg(test)]
#[path = "../tests/unit/lifecycle.rs"]
mod tests;
