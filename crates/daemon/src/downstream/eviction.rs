//! The open client connections, and the choice of one to close so that a new client can be served.
use crate::config::limits::DownstreamLimits;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Current state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    /// No request was admitted on it so far, and it waits since this instant: for its first request, or for its
    /// client to close it.
    New { since: Instant },
    /// No request was admitted on it so far, and it handles one or is being evicted.
    NewBusy,
    /// It waits for its next request since this instant.
    Idle { since: Instant },
    /// A request was admitted on it, and it handles that one or a later one, or is being evicted.
    Busy,
}

impl ConnectionState {
    /// Whether a request was admitted on the connection.
    pub fn has_served(self) -> bool {
        matches!(self, ConnectionState::Idle { .. } | ConnectionState::Busy)
    }

    fn is_waiting_new(self) -> bool {
        matches!(self, ConnectionState::New { .. })
    }

    fn waiting_since(self) -> Option<Instant> {
        match self {
            ConnectionState::New { since } | ConnectionState::Idle { since } => Some(since),
            ConnectionState::NewBusy | ConnectionState::Busy => None,
        }
    }

    fn without_waiting(self) -> Self {
        if self.has_served() { ConnectionState::Busy } else { ConnectionState::NewBusy }
    }
}

/// The entry of one open connection in [`ClientConnections`].
pub(super) struct ConnectionEntry {
    number: u64,
    state: Cell<ConnectionState>,
    eviction: Notify,
}

impl ConnectionEntry {
    /// The connection's current state.
    pub fn state(&self) -> ConnectionState {
        self.state.get()
    }

    /// Sets the connection's state.
    pub fn set_state(&self, state: ConnectionState) {
        self.state.set(state);
    }

    /// Marks the connection as no longer waiting for a request.
    pub fn stop_waiting(&self) {
        self.state.set(self.state.get().without_waiting());
    }

    /// Completes when the connection is chosen for eviction.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    fn evict(&self) {
        self.stop_waiting();
        self.eviction.notify_one();
    }
}

/// The open connections of clients.
#[derive(Default)]
pub(super) struct ClientConnections {
    entries: RefCell<HashMap<u64, Rc<ConnectionEntry>>>,
    next_number: Cell<u64>,
    closed: Notify,
}

impl ClientConnections {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Adds a connection that was accepted just now.
    pub fn insert(&self) -> Rc<ConnectionEntry> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = ConnectionState::New { since: Instant::now() };
        let entry = Rc::new(ConnectionEntry { number, state: Cell::new(state), eviction: Notify::new() });
        self.entries.borrow_mut().insert(number, entry.clone());
        entry
    }

    /// Removes a connection that is closed.
    pub fn remove(&self, entry: &ConnectionEntry) {
        self.entries.borrow_mut().remove(&entry.number);
        self.closed.notify_one();
    }

    /// Completes when a connection is closed, or after `max_wait`.
    pub async fn wait_for_close(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.closed.notified()).await;
    }

    /// Whether any waiting connection has had no request admitted on it.
    pub fn has_waiting_new(&self) -> bool {
        self.entries.borrow().values().any(|entry| entry.state().is_waiting_new())
    }

    /// Evicts the connection that has waited the longest. Connections without an admitted request go first, so
    /// that clients that send nothing cannot displace others. A request may be in transit on a connection that
    /// has not waited for the minimum time. Returns false if there is none to evict.
    pub fn evict_one(&self, limits: &DownstreamLimits) -> bool {
        let evicts_new = self.has_waiting_new();
        let min_wait =
            if evicts_new { limits.min_new_connection_age } else { limits.min_idle_before_eviction };
        let entries = self.entries.borrow();
        let longest_waiting = entries
            .values()
            .filter(|entry| entry.state().is_waiting_new() == evicts_new)
            .filter_map(|entry| Some((entry.state().waiting_since()?, entry)))
            .filter(|(since, _)| since.elapsed() >= min_wait)
            .min_by_key(|(since, _)| *since);
        longest_waiting.inspect(|(_, entry)| entry.evict()).is_some()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/eviction.rs"]
mod tests;
