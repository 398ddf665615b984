//! Queries an executor for the status of a recorded attempt whose outcome is unknown.
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
        loop {
            let probe_timeout = self.pool.limits.timeouts().probe_timeout;
            let status = tokio::select! {
                biased;
                () = self.in_flight.closed() => return None,
                () = sleep_until(self.in_flight.deadline) => return None,
                status = timeout(probe_timeout, self.query()) => status.ok().flatten(),
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

    /// Sends one query. Returns `None` if the executor cannot be reached or its response is not valid.
    async fn query(&self) -> Option<AttemptStatus> {
        let limits = &self.pool.limits;
        let connection =
            self.pool.connect(self.executor, limits.upstream.max_connections, IdleReuse::Any).await;
        let mut connection = connection.ok()?;
        let query = self.pool.codec.load().fence_request(
            &self.in_flight.request.id,
            self.lease.fence,
            self.lease.age(),
            self.executor.address()?,
        );
        connection.write(&[&query]).await.ok()?;
        let mut head = connection.read_response_head().await.ok()?;
        let mut body = BytesMut::new();
        connection.read_body(&mut head.body, &mut body, self.pool.max_response_bytes()).await.ok()?;
        let status = protocol::parse_attempt_status(&head, &body);
        if head.keep_alive {
            self.pool.put_back(self.executor, connection);
        }
        status
    }
}
