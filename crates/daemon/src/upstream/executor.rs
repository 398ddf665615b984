//! The pool's state of one executor: its endpoint, whether it may be sent requests, and its idle connections.
use super::connection::PooledConnection;
use super::gate::DispatchGate;
use crate::config::limits::Limits;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use troutknot::Millis;

/// The fields of an endpoint list entry that the pool uses.
pub struct ExecutorEndpoint {
    /// `None` if the list gives no usable address.
    pub address: Option<SocketAddr>,
    /// When the executor started, if the list states it.
    pub started_at: Option<Millis>,
    /// Whether it accepts requests; an executor that drains or is gone does not.
    pub is_ready: bool,
}

/// One executor of the endpoint list.
#[derive(Default)]
pub(super) struct Executor {
    address: Cell<Option<SocketAddr>>,
    started_at: Cell<Option<Millis>>,
    incarnation: Cell<u64>,
    pub gate: DispatchGate,
    pub idle: IdleConnections,
}

impl Executor {
    /// Applies an update of the endpoint list. A new start or address begins a new incarnation. An executor that is
    /// not ready is sent nothing more after `dispatch_grace`.
    pub fn set_endpoint(&self, endpoint: ExecutorEndpoint, dispatch_grace: Duration) {
        let has_moved = endpoint.address.is_some() && endpoint.address != self.address.get();
        if has_moved || endpoint.started_at != self.started_at.get() {
            self.address.set(endpoint.address.or(self.address.get()));
            self.started_at.set(endpoint.started_at);
            self.incarnation.set(self.incarnation.get() + 1);
            self.idle.clear();
        }
        if endpoint.is_ready {
            self.gate.reopen();
        } else {
            self.gate.close_after(dispatch_grace);
        }
    }

    /// The executor's latest address in the list.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// The number of starts and address changes of the executor so far.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// Whether the connection leads to the present incarnation and may be used again.
    pub fn accepts(&self, connection: &PooledConnection) -> bool {
        connection.incarnation == self.incarnation() && !self.gate.is_closed()
    }
}

/// Which idle connections may be used for a new message.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum IdleReuse {
    /// Any idle connection.
    Any,
    /// Only connections on which a duplicate response to the previous attempt can no longer arrive.
    PastDuplicateWindow,
    /// None: a new connection, on which nothing can arrive that belongs to an earlier message.
    Never,
}

/// Connections without a message in progress, ordered by how long they have been idle, longest first.
#[derive(Default)]
pub(super) struct IdleConnections(RefCell<Vec<IdleConnection>>);

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

impl IdleConnection {
    /// A connection that has been idle for longer may be closed by the executor while a request is sent on it.
    fn is_usable(&self, limits: &Limits) -> bool {
        self.since.elapsed() < limits.timeouts().max_pooled_idle && self.connection.is_quiet()
    }
}

impl IdleConnections {
    /// Adds a connection whose last message is complete.
    pub fn push(&self, connection: PooledConnection) {
        self.0.borrow_mut().push(IdleConnection { connection, since: Instant::now() });
    }

    /// Takes the usable connection that was used last; unusable ones are closed.
    pub fn take(&self, limits: &Limits, reuse: IdleReuse) -> Option<PooledConnection> {
        self.close_unusable(limits);
        let mut idle = self.0.borrow_mut();
        let may_use = |idle: &IdleConnection| match reuse {
            IdleReuse::Any => true,
            IdleReuse::PastDuplicateWindow => idle.connection.is_past_duplicate_window(limits),
            IdleReuse::Never => false,
        };
        let position = idle.iter().rposition(may_use)?;
        Some(idle.remove(position).connection)
    }

    /// Closes the connections that expired, that the peer closed, or on which unexpected bytes arrived.
    pub fn close_unusable(&self, limits: &Limits) {
        self.0.borrow_mut().retain(|idle| idle.is_usable(limits));
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// When the connection that has been idle the longest became idle.
    pub fn oldest_since(&self) -> Option<Instant> {
        self.0.borrow().first().map(|idle| idle.since)
    }

    /// Closes the connection that has been idle the longest, if there is one.
    pub fn close_oldest(&self) {
        let mut idle = self.0.borrow_mut();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// The number of idle connections.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }
}
