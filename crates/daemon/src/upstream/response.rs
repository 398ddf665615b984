//! Reads an executor's response to an attempt, up to the event that decides the outcome.
use super::connection::PooledConnection;
use super::dispatch::DispatchOrder;
use super::pool::ExecutorPool;
use crate::durable::Lease;
use crate::event::NodeEvent;
use crate::http1::{ReceiveError, ResponseHead};
use crate::in_flight::Answer;
use crate::protocol::{self, AttemptEvent, EventError};
use bytes::BytesMut;
use troutknot::{Event as CoreEvent, Outcome};

/// Why a response gives no outcome.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    #[error(transparent)]
    Http(#[from] ReceiveError),
    #[error(transparent)]
    Event(#[from] EventError),
    #[error("the request was returned as not started after it had started")]
    ReturnedAfterStart,
    #[error("the response ended without an outcome")]
    NoOutcome,
}

impl ResponseError {
    /// Whether the executor broke the protocol, in contrast to a connection that was lost.
    pub fn is_protocol_violation(&self) -> bool {
        matches!(self, ResponseError::Http(ReceiveError::Message(_)) | ResponseError::Event(_))
    }
}

/// Reads one response and reports its events.
pub(super) struct ResponseReader<'a> {
    pool: &'a ExecutorPool,
    order: &'a DispatchOrder,
    lease: Option<&'a Lease>,
    has_started: bool,
}

impl<'a> ResponseReader<'a> {
    /// A reader of the response to `order`; each event extends the lease.
    pub fn new(pool: &'a ExecutorPool, order: &'a DispatchOrder, lease: Option<&'a Lease>) -> Self {
        ResponseReader { pool, order, lease, has_started: false }
    }

    /// Reads up to the outcome. The returned head holds the framing of the rest of the response.
    ///
    /// # Errors
    /// If the connection ends before the outcome, or the response breaks the protocol.
    pub async fn read(
        mut self,
        connection: &mut PooledConnection,
    ) -> Result<(Outcome, ResponseHead), ResponseError> {
        let mut head = connection.read_response_head().await?;
        self.extend_lease();
        if let Some(outcome) = protocol::outcome_of_head(&head) {
            return Ok((outcome, head));
        }
        let max_bytes = self.pool.max_response_bytes();
        let mut buffer = BytesMut::new();
        loop {
            let is_complete = connection.read_body_line(&mut head.body, &mut buffer, max_bytes).await?;
            while let Some(line) = protocol::next_line(&mut buffer, is_complete) {
                if let Some(outcome) = self.handle_line(&line)? {
                    return Ok((outcome, head));
                }
            }
            if is_complete {
                return Err(ResponseError::NoOutcome);
            }
        }
    }

    /// Returns the outcome if this event decides it.
    fn handle_line(&mut self, line: &[u8]) -> Result<Option<Outcome>, ResponseError> {
        let in_flight = &self.order.in_flight;
        let event = protocol::parse_attempt_event(line, &in_flight.request.id)?;
        let is_running = matches!(event, AttemptEvent::Started | AttemptEvent::Progress(_));
        if let (Some(lease), true) = (self.lease, is_running) {
            lease.record_started();
        }
        self.extend_lease();
        self.has_started |= is_running;
        let (request_id, attempt_id) = (in_flight.request_id, self.order.attempt_id);
        match event {
            AttemptEvent::Started => {
                self.report(CoreEvent::AttemptStarted { request_id, attempt_id });
                Ok(None)
            }
            AttemptEvent::Progress(share) => {
                self.report(CoreEvent::AttemptProgressed { request_id, attempt_id, share });
                Ok(None)
            }
            AttemptEvent::Result(result) => {
                in_flight.answer(Answer::Completed(result));
                Ok(Some(Outcome::Completed))
            }
            AttemptEvent::Ended(outcome) if self.has_started && outcome.never_ran() => {
                Err(ResponseError::ReturnedAfterStart)
            }
            AttemptEvent::Ended(outcome) => Ok(Some(outcome)),
        }
    }

    fn extend_lease(&self) {
        if let Some(lease) = self.lease {
            lease.extend();
        }
    }

    /// Reports progress, which is dropped if the driver's queue is full. Outcomes must not be lost, so they are not
    /// reported here.
    fn report(&self, event: CoreEvent) {
        let _ = self.pool.events.try_send(NodeEvent::Core(event));
    }
}
