//! The lifecycle of a node: its state follows from a few facts, and is watched by those who act on it.
use std::cell::Cell;
use tokio::sync::watch;

/// What the client side goes by.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LifecycleState {
    /// There is no list to serve by yet.
    Starting,
    /// It takes clients.
    Serving,
    /// Drained by an operator a moment ago: work is still taken, and each connection ends with its answer.
    Draining,
    /// Drained by an operator: idle connections close, and work that still comes is rejected.
    Drained,
    /// Asked to end: all goes on, but no front should take it in.
    Leaving,
    /// Another process has the clients' socket and takes them: nothing more is accepted, and each connection
    /// ends with its answer. It is asked to end, or may serve again if that other process dies.
    HandingOver,
    /// Idle connections close, and each other one after its answer.
    Closing,
}

impl LifecycleState {
    /// Whether a connection ends with its answer.
    pub fn closes_after_answer(self) -> bool {
        use LifecycleState::{Closing, Drained, Draining, HandingOver};
        matches!(self, Draining | Drained | HandingOver | Closing)
    }

    /// Whether idle connections close.
    pub fn closes_idle(self) -> bool {
        matches!(self, LifecycleState::Drained | LifecycleState::Closing)
    }
}

/// How far a drain by an operator is.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub enum Drain {
    /// There is none.
    #[default]
    None,
    /// It has begun.
    Begun,
    /// What was under way when it began has had its time to come.
    Settled,
}

/// How far the node's shutdown is.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub enum Shutdown {
    /// It was not asked to end.
    #[default]
    None,
    /// It was.
    Requested,
    /// As `Requested`, where another process takes the clients' connections from now on.
    HandedOver,
    /// Connections close.
    Closing,
}

/// What the state follows from.
#[derive(Clone, Copy, Default, Debug)]
pub struct LifecycleFacts {
    /// There is a list to serve by.
    pub is_listed: bool,
    pub drain: Drain,
    /// Counts drains by operators and their ends.
    pub drain_changes: u64,
    /// The drain was taken over from the process before this one.
    pub is_drain_inherited: bool,
    /// A sibling process takes clients, as long as it runs.
    pub has_yielded: bool,
    pub shutdown: Shutdown,
}

impl LifecycleFacts {
    /// The state that follows.
    pub fn state(&self) -> LifecycleState {
        match (self.shutdown, self.drain, self.is_listed) {
            (Shutdown::Closing, ..) => LifecycleState::Closing,
            (Shutdown::Requested | Shutdown::HandedOver, Drain::Settled, _) => LifecycleState::Closing,
            (Shutdown::HandedOver, ..) => LifecycleState::HandingOver,
            (Shutdown::Requested, Drain::Begun, _) => LifecycleState::Draining,
            (Shutdown::Requested, ..) => LifecycleState::Leaving,
            (Shutdown::None, Drain::Begun, true) => LifecycleState::Draining,
            (Shutdown::None, _, false) => LifecycleState::Starting,
            (Shutdown::None, Drain::None, true) if self.has_yielded => LifecycleState::HandingOver,
            (Shutdown::None, Drain::Settled, true) => LifecycleState::Drained,
            (Shutdown::None, Drain::None, true) => LifecycleState::Serving,
        }
    }

    /// Whether this process takes clients. One that took a drain over does what an upgrade waits for.
    pub fn is_ready(&self) -> bool {
        let is_drained = self.drain != Drain::None && !self.is_drain_inherited;
        self.is_listed && self.shutdown == Shutdown::None && !is_drained
    }
}

/// The facts of one node, and those who wait for a state.
pub struct Lifecycle {
    facts: Cell<LifecycleFacts>,
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// A node that starts.
    pub fn new() -> Self {
        Lifecycle { facts: Cell::default(), state: watch::Sender::new(LifecycleState::Starting) }
    }

    /// The facts as they are now.
    pub fn facts(&self) -> LifecycleFacts {
        self.facts.get()
    }

    /// Changes the facts; whoever watches learns of another state.
    pub fn update(&self, change: impl FnOnce(&mut LifecycleFacts)) {
        let mut facts = self.facts.get();
        change(&mut facts);
        self.facts.set(facts);
        self.state.send_if_modified(|state| std::mem::replace(state, facts.state()) != facts.state());
    }

    /// The state, now and from now on.
    pub fn watch(&self) -> watch::Receiver<LifecycleState> {
        self.state.subscribe()
    }
}

#[cfg(test)]
#[path = "../tests/unit/lifecycle.rs"]
mod tests;
