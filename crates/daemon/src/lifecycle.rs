//! The lifecycle of a node. Its state is derived from a few conditions; the parts that act on it watch it.
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The state of a node towards its clients.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LifecycleState {
    /// No endpoint list has been received yet.
    Starting,
    /// The node takes clients.
    Serving,
    /// An operator has just drained the node: requests are still taken, and each connection closes after its
    /// response.
    Draining,
    /// An operator drained the node: idle connections close, and further requests are rejected.
    Drained,
    /// The node was asked to end: it serves as before but reports not to be ready.
    ShutdownPending,
    /// The sibling process takes the clients: no connections are accepted, and each open one closes after its
    /// response. If the sibling dies before this process is asked to end, it serves again.
    HandingOver,
    /// Idle connections close, and each other one after its response.
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
    /// The drain has begun, and requests under way may still arrive.
    Started,
    /// Requests that were under way when the drain began have had time to arrive.
    Settled,
}

/// The progress of the node's shutdown.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub enum Shutdown {
    /// The node was not asked to end.
    #[default]
    None,
    /// The node was asked to end.
    Requested,
    /// The node was asked to end, and another process takes the connections of clients from now on.
    HandedOver,
    /// Connections close.
    Closing,
}

/// What an operator asks for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum DrainRequest {
    /// Stop taking requests: the admin call `drain`.
    Drain,
    /// Take requests again: the admin call `activate`. (The call `resume` concerns an executor.)
    Resume,
}

/// Where a drain was requested.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum DrainOrigin {
    /// By an operator at this process.
    Operator,
    /// At the sibling process.
    Sibling,
}

/// The conditions from which the state is derived.
#[derive(Clone, Copy, Default, Debug)]
pub struct LifecycleConditions {
    /// An endpoint list was received, or is no longer waited for.
    pub has_endpoint_list: bool,
    /// The progress of a drain by an operator.
    pub drain: Drain,
    /// The drain was requested at another process of this node.
    pub is_drain_inherited: bool,
    /// The sibling process takes the clients as long as it runs.
    pub has_ready_successor: bool,
    /// The progress of the shutdown.
    pub shutdown: Shutdown,
}

impl LifecycleConditions {
    /// The state that follows from the conditions.
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

    /// Whether this process reports to be ready. A process that inherited a drain does, since the upgrade that
    /// started it waits for that.
    pub fn is_ready(&self) -> bool {
        let is_drained = self.drain != Drain::None && !self.is_drain_inherited;
        self.has_endpoint_list && self.shutdown == Shutdown::None && !is_drained
    }
}

/// The lifecycle of one node: the conditions, and the state for those that watch it.
pub struct Lifecycle {
    conditions: Cell<LifecycleConditions>,
    /// Ends the first phase of a drain; replaced, and thereby aborted, with each change.
    settle_timer: RefCell<JoinSet<()>>,
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// The lifecycle of a node that starts.
    pub fn new() -> Self {
        Lifecycle {
            conditions: Cell::default(),
            settle_timer: RefCell::default(),
            state: watch::Sender::new(LifecycleState::Starting),
        }
    }

    /// The present conditions.
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

    /// Drains the node, or resumes; a repeated request changes nothing. The drain settles after `settle_time`.
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

    /// Watches the state, beginning with the present one.
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
