//! One attempt of a request at an executor: connect, record, send, and read the response up to its outcome.
use super::connection::PooledConnection;
use super::dispatch::DispatchOrder;
use super::executor::{Executor, IdleReuse};
use super::pool::ExecutorPool;
use super::response::{ResponseError, ResponseReader};
use crate::durable::Lease;
use crate::http1::ResponseHead;
use bytes::BytesMut;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};
use troutknot::{Effect, Outcome};

/// How an attempt ended.
pub(super) struct AttemptEnd {
    pub outcome: Outcome,
    /// The attempt's lease, if it was recorded in the ledger.
    pub lease: Option<Lease>,
    /// The rest of the response, if the connection may be used again after it.
    pub unread: Option<UnreadResponse>,
}

impl AttemptEnd {
    fn without_response(outcome: Outcome, lease: Option<Lease>) -> Self {
        AttemptEnd { outcome, lease, unread: None }
    }
}

/// A response that is read up to its outcome.
pub(super) struct UnreadResponse {
    connection: PooledConnection,
    head: ResponseHead,
}

impl UnreadResponse {
    /// Reads to the response's end and puts the connection back, unless that times out.
    pub async fn finish(mut self, pool: &ExecutorPool, executor: &Executor) {
        let mut discarded = BytesMut::new();
        let rest = self.connection.read_body(&mut self.head.body, &mut discarded, pool.limits.max_body_bytes);
        if self.head.keep_alive
            && matches!(timeout(pool.limits.rest_of_message_timeout, rest).await, Ok(Ok(())))
        {
            pool.put_back(executor, self.connection);
        }
    }
}

/// Whether an attempt is recorded in the ledger before it is sent.
enum Recording {
    NotDurable,
    Recorded(Lease),
    /// The request may no longer be sent, or the ledger refused the attempt.
    Refused,
}

/// How waiting for the response ended.
enum Received {
    /// The response decided the outcome.
    Response { outcome: Outcome, head: ResponseHead },
    /// The attempt timed out or was cancelled before the response decided it.
    Interrupted(Outcome),
}

/// An attempt that is being carried out.
pub(super) struct Attempt<'a> {
    pub pool: &'a ExecutorPool,
    pub executor: &'a Executor,
    pub order: &'a DispatchOrder,
}

impl Attempt<'_> {
    /// Carries the attempt out, up to its outcome.
    pub async fn run(&self) -> AttemptEnd {
        let mut connection = match self.connect().await {
            Ok(connection) => connection,
            Err(outcome) => return AttemptEnd::without_response(outcome, None),
        };
        let lease = match self.record().await {
            Recording::NotDurable => None,
            Recording::Recorded(lease) => Some(lease),
            Recording::Refused => {
                self.pool.put_back(self.executor, connection);
                return AttemptEnd::without_response(Outcome::NotSent, None);
            }
        };
        let now = Instant::now();
        if self.is_outdated(now) {
            self.pool.put_back(self.executor, connection);
            return AttemptEnd::without_response(Outcome::NotSent, lease);
        }
        // The peer may have closed the connection while the attempt was recorded.
        if lease.is_some() && !connection.is_quiet() {
            return AttemptEnd::without_response(Outcome::NotSent, lease);
        }
        let time_left = self.order.attempt_deadline - now;
        if !self.send(&mut connection, lease.as_ref(), time_left).await {
            // An executor does not run a request whose last byte it never receives.
            connection.reset_on_drop();
            return AttemptEnd::without_response(Outcome::NoConnection, lease);
        }
        let received = self.receive(&mut connection, lease.as_ref()).await;
        self.finish(connection, lease, received)
    }

    /// Obtains a connection, as long as the request may still be sent.
    async fn connect(&self) -> Result<PooledConnection, Outcome> {
        let class = self.order.in_flight.request.class;
        // A late duplicate of the previous response can claim that nothing ran, without naming a request. Only
        // an idempotent request is safe to retry after that.
        let reuse = match self.pool.codec.load().effect(class) {
            Some(Effect::Idempotent) => IdleReuse::Any,
            _ => IdleReuse::PastDuplicateWindow,
        };
        let max_connections = self.pool.max_connections_for_attempts();
        tokio::select! {
            biased;
            () = self.withdrawn() => Err(Outcome::NotSent),
            () = sleep_until(self.order.attempt_deadline) => Err(Outcome::NoConnection),
            () = sleep_until(self.order.send_deadline) => Err(Outcome::NotSent),
            connection = self.pool.connect(self.executor, max_connections, reuse) => {
                connection.map_err(|error| error.outcome())
            }
        }
    }

    /// Records the attempt of a durable request; no byte is sent before it is on disk.
    async fn record(&self) -> Recording {
        let order = self.order;
        let (Some(durable), Some(executor_name)) = (self.pool.durable.get(), &order.executor_name) else {
            return Recording::NotDurable;
        };
        let lease = tokio::select! {
            biased;
            () = self.send_forbidden() => None,
            lease = durable.record_attempt(&order.in_flight, executor_name, order.attempt_deadline) => lease,
        };
        lease.map_or(Recording::Refused, Recording::Recorded)
    }

    /// Whether the dispatch may no longer be carried out, because the state that it was decided on has changed.
    fn is_outdated(&self, now: Instant) -> bool {
        let limits = &self.pool.limits;
        // After a stall of the process, queued events may already invalidate this dispatch.
        let has_stalled =
            now - self.order.decided_at > limits.timeouts().connect_timeout + limits.stall_threshold;
        // The warm-up budget that was charged belongs to an earlier incarnation of the executor.
        let is_other_incarnation = self.executor.incarnation() != self.order.incarnation;
        self.order.in_flight.is_closed()
            || self.executor.gate.is_closed()
            || now >= self.order.send_deadline
            || has_stalled
            || is_other_incarnation
    }

    /// Writes the request. Returns false if its last byte was not written, because of an error or because the request
    /// may no longer be sent. An executor that reads slowly can delay that byte indefinitely.
    async fn send(
        &self,
        connection: &mut PooledConnection,
        lease: Option<&Lease>,
        time_left: Duration,
    ) -> bool {
        let request = &self.order.in_flight.request;
        let head = self.pool.codec.load().dispatch_head(
            request,
            connection.address,
            time_left,
            lease.and_then(Lease::fields),
        );
        let parts: [&[u8]; 2] = [&head, &request.body];
        tokio::select! {
            biased;
            written = connection.write(&parts) => written.is_ok(),
            () = self.send_forbidden() => false,
        }
    }

    /// Reads the response up to the attempt's outcome, unless the attempt times out or is cancelled first.
    async fn receive(
        &self,
        connection: &mut PooledConnection,
        lease: Option<&Lease>,
    ) -> Result<Received, ResponseError> {
        let reader = ResponseReader::new(self.pool, self.order, lease);
        tokio::select! {
            biased;
            read = reader.read(connection) => read.map(|(outcome, head)| Received::Response { outcome, head }),
            () = lease_expired(lease) => Ok(Received::Interrupted(Outcome::TimedOut)),
            outcome = self.order.cancel_signal.cancelled() => Ok(Received::Interrupted(outcome)),
            () = self.abandoned() => Ok(Received::Interrupted(Outcome::Cancelled)),
            () = sleep_until(self.order.attempt_deadline) => Ok(Received::Interrupted(Outcome::TimedOut)),
        }
    }

    /// Decides whether the connection may be used again.
    fn finish(
        &self,
        mut connection: PooledConnection,
        lease: Option<Lease>,
        received: Result<Received, ResponseError>,
    ) -> AttemptEnd {
        match received {
            Ok(Received::Response { outcome, mut head }) => {
                // A rejection does not name its request, so it may be a duplicate response to the previous
                // attempt. It is accepted, but the connection is closed in case this request is running.
                let names_request = head.status == 200 || !outcome.never_ran();
                head.keep_alive &= names_request || connection.is_past_duplicate_window(&self.pool.limits);
                connection.last_response_at = Some(Instant::now());
                AttemptEnd { outcome, lease, unread: Some(UnreadResponse { connection, head }) }
            }
            Ok(Received::Interrupted(outcome)) => {
                connection.reset_on_drop();
                AttemptEnd::without_response(outcome, lease)
            }
            Err(error) => {
                connection.reset_on_drop();
                if error.is_protocol_violation() {
                    let address = connection.address;
                    tracing::warn!(%address, %error, "invalid response from executor, connection closed");
                }
                AttemptEnd::without_response(Outcome::Reset, lease)
            }
        }
    }

    /// Completes when the attempt is cancelled, the request is closed, or the executor's gate is closed.
    async fn withdrawn(&self) {
        tokio::select! {
            biased;
            _ = self.order.cancel_signal.cancelled() => {}
            () = self.order.in_flight.closed() => {}
            () = self.executor.gate.closed() => {}
        }
    }

    /// Completes when no further byte of the request may be written.
    async fn send_forbidden(&self) {
        tokio::select! {
            biased;
            () = self.withdrawn() => {}
            () = sleep_until(self.order.send_deadline) => {}
        }
    }

    /// Completes when the request is closed, if attempts of its class may be cancelled then.
    async fn abandoned(&self) {
        let in_flight = &self.order.in_flight;
        if self.pool.codec.load().is_cancellable(in_flight.request.class) {
            in_flight.closed().await;
        } else {
            std::future::pending().await
        }
    }
}

/// Completes when the executor of a recorded attempt has sent no event for the lease's duration.
async fn lease_expired(lease: Option<&Lease>) {
    match lease {
        Some(lease) => lease.expired().await,
        None => std::future::pending().await,
    }
}
