//! The executors of a node and the connections to them.
use super::connection::{ConnectionCounter, PooledConnection};
use super::executor::{Executor, ExecutorEndpoint, IdleReuse};
use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::durable::Durable;
use crate::event::NodeEvent;
use crate::hot_restart::sibling::SiblingProcess;
use crate::http1::Connection;
use crate::protocol::{Codec, Current};
use slotmap::SecondaryMap;
use std::cell::{OnceCell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use troutknot::{ExecutorId, Outcome};

/// Lower bound on the interval between two searches for expired connections, so that a short idle timeout does not
/// keep the thread busy.
const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Number of searches for expired connections during one idle timeout.
const EXPIRY_CHECKS_PER_TIMEOUT: u32 = 8;

/// One out of this many connections is reserved for load probes and attempt status queries.
const CONNECTIONS_PER_RESERVED: usize = 16;

/// Why there is no connection to an executor.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("the limit on connections to executors is reached and none is idle")]
    Exhausted,
    #[error("the endpoint list has no address for the executor")]
    NoAddress,
    #[error("connection attempt timed out")]
    TimedOut,
    #[error("cannot connect")]
    Failed(#[source] io::Error),
}

impl ConnectError {
    /// The outcome of an attempt that failed with this error.
    pub fn outcome(&self) -> Outcome {
        match self {
            ConnectError::Exhausted => Outcome::NotSent,
            ConnectError::NoAddress | ConnectError::TimedOut | ConnectError::Failed(_) => {
                Outcome::NoConnection
            }
        }
    }
}

/// The executors that the driver registered, with pooled connections to each.
pub struct ExecutorPool {
    /// The limits of the node.
    pub limits: Rc<Limits>,
    pub(super) codec: Rc<Current<Codec>>,
    /// Where outcomes and load reports are sent.
    pub(super) events: mpsc::Sender<NodeEvent>,
    /// The node's other process during a hot restart.
    sibling: Rc<SiblingProcess>,
    /// Records attempts of durable requests; set once this process has the ledger open.
    pub durable: OnceCell<Rc<Durable>>,
    executors: RefCell<SecondaryMap<ExecutorId, Rc<Executor>>>,
    open_connections: ConnectionCounter,
    buffer_bytes: Rc<ByteBudget>,
}

impl ExecutorPool {
    /// A pool without executors.
    pub fn new(
        limits: Rc<Limits>,
        codec: Rc<Current<Codec>>,
        events: mpsc::Sender<NodeEvent>,
        sibling: Rc<SiblingProcess>,
    ) -> Rc<Self> {
        Rc::new(ExecutorPool {
            // A connection has two rings.
            buffer_bytes: ByteBudget::new(
                limits.upstream.max_connections * 2 * limits.connection_buffer_bytes,
            ),
            limits,
            codec,
            events,
            sibling,
            durable: OnceCell::new(),
            executors: RefCell::default(),
            open_connections: ConnectionCounter::default(),
        })
    }

    /// Applies an endpoint list entry to its executor, which is registered if it is new. An executor that is not
    /// ready is sent nothing more after the drained-dispatch grace.
    pub fn set_endpoint(&self, executor: ExecutorId, endpoint: ExecutorEndpoint) {
        self.executor_or_insert(executor)
            .set_endpoint(endpoint, self.limits.timeouts().drained_dispatch_grace);
    }

    /// Allocates memory for this number of executors in one step.
    pub fn reserve(&self, executors: usize) {
        self.executors.borrow_mut().set_capacity(executors);
    }

    /// Sends nothing more to an executor after the drained-dispatch grace.
    pub fn start_draining(&self, executor: ExecutorId) {
        if let Some(executor) = self.executor(executor) {
            executor.gate.close_after(self.limits.timeouts().drained_dispatch_grace);
        }
    }

    /// Closes the idle connections to an executor, because they may be broken without an error so far.
    pub fn close_idle_connections(&self, executor: ExecutorId) {
        if let Some(executor) = self.executor(executor) {
            executor.idle.clear();
        }
    }

    /// The number of starts and address changes of an executor that the endpoint list has reported; 0 if the executor
    /// is not registered.
    pub fn incarnation(&self, executor: ExecutorId) -> u64 {
        self.executor(executor).map_or(0, |executor| executor.incarnation())
    }

    /// Removes an executor: its idle connections are closed, and nothing more is sent to it.
    pub fn release(&self, executor: ExecutorId) {
        if let Some(executor) = self.executors.borrow_mut().remove(executor) {
            executor.idle.clear();
            executor.gate.close();
        }
    }

    /// The number of connections that are open or being opened.
    pub fn connection_count(&self) -> usize {
        self.open_connections.get()
    }

    /// The number of registered executors.
    #[cfg(test)]
    pub fn executor_count(&self) -> usize {
        self.executors.borrow().len()
    }

    /// The number of open connections at which attempts open no further ones; the rest is reserved.
    pub(super) fn max_connections_for_attempts(&self) -> usize {
        let limit = self.limits.upstream.max_connections;
        limit - (limit / CONNECTIONS_PER_RESERVED).max(1)
    }

    /// Whether attempts could open a further connection.
    pub(super) fn has_spare_connections(&self) -> bool {
        self.used_connections() < self.max_connections_for_attempts()
    }

    /// The number of connections to executors that the processes of this node use.
    fn used_connections(&self) -> usize {
        self.open_connections.get() + self.sibling.usage().executors
    }

    /// Upper bound on the bytes of a response with a result. JSON escapes can make it longer than the result, which
    /// is bounded like a body.
    pub(super) fn max_response_bytes(&self) -> usize {
        2 * self.limits.max_body_bytes
    }

    /// A registered executor.
    pub(super) fn executor(&self, executor: ExecutorId) -> Option<Rc<Executor>> {
        self.executors.borrow().get(executor).cloned()
    }

    /// A registered executor; it is registered if it is new.
    pub(super) fn executor_or_insert(&self, id: ExecutorId) -> Rc<Executor> {
        if let Some(executor) = self.executor(id) {
            return executor;
        }
        let executor: Rc<Executor> = Rc::default();
        self.executors.borrow_mut().insert(id, executor.clone());
        executor
    }

    /// An idle connection, or a new one if fewer than `max_connections` are open on all executors.
    ///
    /// # Errors
    /// If the limit is reached and none is idle, or if the executor cannot be reached.
    pub(super) async fn connect(
        &self,
        executor: &Executor,
        max_connections: usize,
        reuse: IdleReuse,
    ) -> Result<PooledConnection, ConnectError> {
        if let Some(connection) = executor.idle.take(&self.limits, reuse) {
            return Ok(connection);
        }
        if self.used_connections() >= max_connections && !self.close_longest_idle() {
            return Err(ConnectError::Exhausted);
        }
        self.open(executor).await
    }

    async fn open(&self, executor: &Executor) -> Result<PooledConnection, ConnectError> {
        let address = executor.address().ok_or(ConnectError::NoAddress)?;
        let permit = self.open_connections.acquire();
        let incarnation = executor.incarnation();
        let stream = timeout(self.limits.timeouts().connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(ConnectError::Failed)?;
        // Bytes in the send buffer cannot be withdrawn from an executor that reads slowly.
        let _ = socket2::SockRef::from(&stream).set_send_buffer_size(self.limits.connection_buffer_bytes);
        let connection = Connection::new(stream, self.limits.connection_buffer_bytes, &self.buffer_bytes);
        Ok(PooledConnection::new(connection, address, incarnation, permit))
    }

    /// Closes the connection that has been idle the longest across all executors. Returns false if none is idle.
    fn close_longest_idle(&self) -> bool {
        let executors = self.executors.borrow();
        let longest_idle = executors
            .values()
            .filter_map(|executor| Some((executor.idle.oldest_since()?, executor)))
            .min_by_key(|(since, _)| *since);
        match longest_idle {
            Some((_, executor)) => {
                executor.idle.close_oldest();
                true
            }
            None => false,
        }
    }

    /// Returns a connection whose last message is complete to the pool.
    pub(super) fn put_back(&self, executor: &Executor, mut connection: PooledConnection) {
        if executor.accepts(&connection) {
            connection.release_buffers();
            executor.idle.push(connection);
        }
    }

    /// Closes idle connections before the executor does, which might be while a request is sent on them.
    pub async fn close_expired_connections(self: Rc<Self>) {
        loop {
            let interval = self.limits.timeouts().max_pooled_idle / EXPIRY_CHECKS_PER_TIMEOUT;
            sleep(interval.max(MIN_EXPIRY_INTERVAL)).await;
            for executor in self.executors.borrow().values() {
                if executor.gate.is_closed() {
                    executor.idle.clear();
                } else {
                    executor.idle.close_unusable(&self.limits);
                }
            }
        }
    }
}
