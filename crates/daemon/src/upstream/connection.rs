//! A connection to an executor, and the count of those that are open.
use crate::config::limits::Limits;
use crate::http1::Connection;
use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use tokio::time::Instant;

/// The number of connections to executors that are open or being opened.
#[derive(Clone, Default)]
pub(super) struct ConnectionCounter(Rc<Cell<usize>>);

impl ConnectionCounter {
    /// The current count.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more connection until the permit is dropped.
    pub fn acquire(&self) -> ConnectionPermit {
        self.0.set(self.0.get() + 1);
        ConnectionPermit(self.clone())
    }
}

/// Counts one connection for as long as it exists.
pub(super) struct ConnectionPermit(ConnectionCounter);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let ConnectionPermit(ConnectionCounter(count)) = self;
        count.set(count.get() - 1);
    }
}

/// An open connection to an executor. It counts against the node's limit until it is dropped.
pub(super) struct PooledConnection {
    connection: Connection,
    /// The peer's address.
    pub address: SocketAddr,
    /// The executor's incarnation when the connection was opened.
    pub incarnation: u64,
    /// When the connection last carried the response to an attempt.
    pub last_response_at: Option<Instant>,
    _permit: ConnectionPermit,
}

impl PooledConnection {
    /// Wraps a connection that was opened to `address` for this incarnation of an executor.
    pub fn new(
        connection: Connection,
        address: SocketAddr,
        incarnation: u64,
        permit: ConnectionPermit,
    ) -> Self {
        PooledConnection { connection, address, incarnation, last_response_at: None, _permit: permit }
    }

    /// Whether a duplicate response to the previous attempt would have arrived by now.
    pub fn is_past_duplicate_window(&self, limits: &Limits) -> bool {
        self.last_response_at.is_none_or(|at| at.elapsed() >= limits.upstream.duplicate_response_window)
    }
}

impl Deref for PooledConnection {
    type Target = Connection;
    fn deref(&self) -> &Connection {
        &self.connection
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }
}
