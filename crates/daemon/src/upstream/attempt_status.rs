//! Queries an executor for the status of a recorded attempt whose outcome is unknown.
use super::connection::PooledConnection;
use super::executor::{Executor, IdleReuse};
use super::pool::ExecutorPool;
use crate::durable::Lease;
use crate::in_flight::{Answer, InFlightRequest};
use crate::protocol::{self, AttemptStatus};
use bytes::BytesMut;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout};
use troutknot::Outcome;

/// Interval between two queries while the executor reports no final state.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// Queries the status of one attempt. The query also fences it: an attempt that has not started by then never starts.
///
/// A response names no attempt, so the queries use connections that have carried nothing else: a late duplicate of
/// another response could be taken for the status of this attempt.
pub(super) struct AttemptStatusQuery<'a> {
    pub pool: &'a ExecutorPool,
    pub executor: &'a Executor,
    pub in_flight: &'a InFlightRequest,
    pub lease: &'a Lease,
}

impl AttemptStatusQuery<'_> {
    /// Repeats the query until the executor reports a final state. Returns `None` if the executor does not support
    /// fencing or does not recognize the attempt, or if the request is closed or its deadline passes first. An expired
    /// lease does not prove that the attempt has ended.
    pub async fn resolve(&self) -> Option<Outcome> {
        if !self.lease.has_fencing() {
            return None;
        }
        let mut connection = None;
        loop {
            let probe_timeout = self.pool.limits.timeouts().probe_timeout;
            let status = tokio::select! {
                biased;
                () = self.in_flight.closed() => return None,
                () = sleep_until(self.in_flight.deadline) => return None,
                status = timeout(probe_timeout, self.query(&mut connection)) => status.ok().flatten(),
            };
            match status {
                Some(AttemptStatus::NeverRan) if self.lease.record_fenced() => {
                    return Some(Outcome::NoConnection);
                }
                Some(AttemptStatus::Completed(result)) => {
                    self.in_flight.answer(Answer::Completed(result));
                    return Some(Outcome::Completed);
                }
                Some(AttemptStatus::NeverRan | AttemptStatus::Unknown) => return None,
                Some(AttemptStatus::Running) | None => {}
            }
            tokio::select! {
                () = self.in_flight.closed() => return None,
                () = sleep(QUERY_INTERVAL) => {}
            }
        }
    }

    /// Sends one query, on the connection of an earlier one for this attempt if there is one. Returns `None` if the
    /// executor cannot be reached or its response is not valid.
    async fn query(&self, kept: &mut Option<PooledConnection>) -> Option<AttemptStatus> {
        let mut connection = self.connection(kept.take()).await?;
        let request_id = &self.in_flight.request.id;
        let query = self.pool.codec.load().fence_request(
            request_id,
            self.lease.fence,
            self.lease.age(),
            self.executor.address()?,
        );
        connection.write(&[&query]).await.ok()?;
        let mut head = connection.read_response_head().await.ok()?;
        let mut body = BytesMut::new();
        connection.read_body(&mut head.body, &mut body, self.pool.max_response_bytes()).await.ok()?;
        if head.keep_alive {
            connection.release_buffers();
            *kept = Some(connection);
        }
        protocol::parse_attempt_status(&head, &body, request_id)
    }

    /// The connection of an earlier query, unless something has arrived on it since or connections are scarce; otherwise
    /// a new one.
    async fn connection(&self, kept: Option<PooledConnection>) -> Option<PooledConnection> {
        let may_keep = |connection: &PooledConnection| {
            connection.is_quiet() && self.executor.accepts(connection) && self.pool.has_spare_connections()
        };
        match kept.filter(may_keep) {
            Some(connection) => Some(connection),
            None => {
                let max_connections = self.pool.limits.upstream.max_connections;
                self.pool.connect(self.executor, max_connections, IdleReuse::Never).await.ok()
            }
        }
    }
}
