//! Connection pool of one hollow node: a bounded number of connections to executors, which are reused.
use super::http::Connection;
use super::{Counters, add};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Share of the idle timeout after which an idle connection is no longer reused, 0.7 as in the daemon.
const REUSE_SHARE: f64 = 0.7;

pub struct Pool {
    source: Ipv4Addr,
    max_open: usize,
    open: Rc<Cell<usize>>,
    /// Idle connections in the order of their last use, the most recent last.
    idle: RefCell<Vec<IdleConnection>>,
    connect_timeout: Duration,
    max_idle_time: Duration,
    counters: Arc<Counters>,
}

struct IdleConnection {
    connection: PooledConnection,
    idle_since: Instant,
}

/// A connection that counts against the limit until it is dropped.
pub struct PooledConnection {
    connection: Connection,
    address: SocketAddr,
    _slot: OpenSlot,
}

/// A claim on one of the connections that may be open.
struct OpenSlot(Rc<Cell<usize>>);

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
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

/// The reason why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// The maximum number of connections is in use.
    LimitReached,
    Failed,
}

impl Pool {
    /// Creates a pool of at most `max_open` connections from a local address.
    pub fn new(
        source: Ipv4Addr,
        max_open: usize,
        connect_timeout: Duration,
        idle_timeout: Duration,
        counters: Arc<Counters>,
    ) -> Self {
        let max_idle_time = idle_timeout.mul_f64(REUSE_SHARE);
        let (open, idle) = (Rc::default(), RefCell::default());
        Pool { source, max_open, open, idle, connect_timeout, max_idle_time, counters }
    }

    /// Returns an idle connection to the address, or opens a new one.
    pub async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection, NoConnection> {
        if let Some(connection) = self.take_idle(Some(address)) {
            return Ok(connection);
        }
        if self.open.get() >= self.max_open && !self.close_longest_idle() {
            add(&self.counters.skipped, 1);
            return Err(NoConnection::LimitReached);
        }
        self.open.set(self.open.get() + 1);
        let slot = OpenSlot(self.open.clone());
        add(&self.counters.connections, 1);
        match timeout(self.connect_timeout, Connection::open(self.source, address)).await {
            Ok(Ok(connection)) => Ok(PooledConnection { connection, address, _slot: slot }),
            _ => Err(NoConnection::Failed),
        }
    }

    /// Returns the most recently used idle connection, to the address or to any.
    pub fn take_idle(&self, address: Option<SocketAddr>) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.idle_since.elapsed() < self.max_idle_time && idle.connection.is_usable());
        let is_match =
            |idle: &IdleConnection| address.is_none_or(|address| idle.connection.address == address);
        let index = idle.iter().rposition(is_match)?;
        Some(idle.remove(index).connection)
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    pub fn release(&self, connection: PooledConnection) {
        self.idle.borrow_mut().push(IdleConnection { connection, idle_since: Instant::now() });
    }

    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().retain(|idle| idle.connection.address != address);
    }

    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return false;
        }
        idle.remove(0);
        true
    }
}

impl PooledConnection {
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
