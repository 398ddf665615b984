//! Handles one request of a client: health checks, job status, and requests for the executors.
use super::DownstreamServer;
use super::admission::{AdmissionError, AdmittedRequest, ConnectionAdmission};
use super::durable_exchange::{DurableAnswer, DurableExchange};
use super::eviction::{ConnectionEntry, ConnectionState};
use super::request::{ParsedRequest, Submission};
use super::response::{ConnectionReuse, Response, ResponseSize, SendError};
use crate::event::NodeEvent;
use crate::http1::Connection;
use crate::in_flight::{Answer, InFlightRequest};
use crate::lifecycle::LifecycleState;
use crate::units::to_millis;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at};

/// How the handling of one request ended.
pub(super) enum ExchangeEnd {
    /// The connection waits for the next request.
    KeepAlive,
    /// The connection is closed after this response, or because its client has disconnected.
    Close(ResponseSize),
    /// The connection is closed with a part of the request unread.
    CloseGracefully,
    /// The connection is dropped immediately.
    Drop,
}

impl ExchangeEnd {
    /// The end that follows from how a response was sent.
    fn after(sent: &Result<(), SendError>, reuse: ConnectionReuse, size: ResponseSize) -> Self {
        match (sent, reuse) {
            (Ok(()), ConnectionReuse::KeepAlive) => ExchangeEnd::KeepAlive,
            _ => ExchangeEnd::Close(size),
        }
    }
}

/// An answer that was handed to the connection.
struct Delivery {
    /// Whether its last byte was written.
    is_written: bool,
    end: ExchangeEnd,
}

/// How the claim of a request's id at the sibling ended.
enum Claim {
    Granted,
    /// The sibling has admitted a request of this id.
    Refused,
    /// The sibling has not answered in time, so that it is unknown whether a request of this id ran.
    Unanswered,
    /// The client has disconnected.
    Disconnected,
}

/// One request of a client and its response.
pub(super) struct Exchange<'a> {
    pub server: &'a DownstreamServer,
    pub connection: &'a mut Connection,
    pub entry: &'a ConnectionEntry,
    pub admission: ConnectionAdmission,
}

impl Exchange<'_> {
    /// Handles a request up to its response.
    pub async fn handle(&mut self, request: ParsedRequest) -> ExchangeEnd {
        match request {
            ParsedRequest::ReadinessCheck => self.report_readiness().await,
            ParsedRequest::JobStatus { client_id, reuse } => self.report_job(&client_id, reuse).await,
            ParsedRequest::Submission(submission) => self.handle_submission(submission).await,
        }
    }

    /// Rejects a request. The connection is closed, because the start of the next request cannot be located if this
    /// one was not read completely.
    pub async fn reject(&mut self, status: u16, reason: &dyn Display) -> ExchangeEnd {
        tracing::debug!(status, %reason, "request not admitted");
        let retry_after = self.server.limits.downstream.malformed_retry_after;
        let response = Response::rejection(&self.server.codec.load(), status, retry_after);
        match self.send(&response, ConnectionReuse::Close).await {
            Ok(()) => ExchangeEnd::CloseGracefully,
            Err(_) => ExchangeEnd::Drop,
        }
    }

    async fn send(&mut self, response: &Response, reuse: ConnectionReuse) -> Result<(), SendError> {
        let write_timeout = self.server.limits.downstream.io_timeout;
        response.send(self.connection, reuse, write_timeout).await
    }

    /// Answers a health check, whose connection is not reused.
    async fn report_readiness(&mut self) -> ExchangeEnd {
        let is_ready = *self.server.lifecycle.borrow() == LifecycleState::Serving;
        let mut text = self.server.discovery_status.borrow().clone();
        if let Some(ledger) = self.server.ledger() {
            text += &ledger.status_text();
        }
        let response = Response::text(if is_ready { 200 } else { 503 }, text);
        let sent = self.send(&response, ConnectionReuse::Close).await;
        ExchangeEnd::after(&sent, ConnectionReuse::Close, ResponseSize::Small)
    }

    /// Answers a query for a job's status from the ledger.
    async fn report_job(&mut self, client_id: &str, reuse: ConnectionReuse) -> ExchangeEnd {
        let response = match self.server.ledger().map(|ledger| ledger.describe_request(client_id)) {
            Some(Some(job)) => Response::text(200, job),
            Some(None) => Response::text(404, String::new()),
            None => Response::text(503, String::new()),
        };
        let sent = self.send(&response, reuse).await;
        ExchangeEnd::after(&sent, reuse, ResponseSize::Small)
    }

    /// Handles a request for the executors.
    async fn handle_submission(&mut self, submission: Submission) -> ExchangeEnd {
        if self.server.is_durable(&submission.request) {
            self.handle_durable(submission).await
        } else {
            self.handle_in_memory(submission).await
        }
    }

    async fn handle_in_memory(&mut self, submission: Submission) -> ExchangeEnd {
        let Submission { request, time_left, reuse } = submission;
        let admitted = match self.server.admit(request, time_left, self.admission) {
            Ok(admitted) => admitted,
            Err(error @ AdmissionError::Duplicate) => return self.reject(409, &error).await,
            Err(AdmissionError::NoCapacity) => {
                return self.reject_for(self.server.limits.downstream.rejected_retry_after).await;
            }
            Err(AdmissionError::Drained) => {
                return self.reject_for(self.server.limits.downstream.malformed_retry_after).await;
            }
        };
        self.entry.set_state(ConnectionState::Busy);
        let answer = match self.claim(&admitted).await {
            Claim::Granted => self.wait_for_answer(&admitted).await,
            Claim::Unanswered => Some(Answer::Failed),
            Claim::Disconnected => None,
            Claim::Refused => {
                self.close_request(&admitted);
                return self.reject(409, &AdmissionError::Duplicate).await;
            }
        };
        self.close_request(&admitted);
        let Some(answer) = answer else { return ExchangeEnd::Drop };
        let reuse = self.reuse_after_answer(reuse);
        self.send_answer(&answer, reuse).await.end
    }

    fn close_request(&self, admitted: &AdmittedRequest) {
        let request_ids = &self.server.request_ids;
        request_ids.close(&admitted.in_flight.request.id);
        if !admitted.in_flight.was_dispatched.get() {
            request_ids.forget_token(admitted.token);
        }
    }

    /// Asks the sibling whether it has admitted a request of the same id, if the request must not run twice.
    async fn claim(&mut self, admitted: &AdmittedRequest) -> Claim {
        if !admitted.needs_claim {
            return Claim::Granted;
        }
        tokio::select! {
            biased;
            is_granted = self.server.sibling.claim(admitted.token) => {
                if is_granted { Claim::Granted } else { Claim::Refused }
            }
            () = self.connection.closed_by_peer() => Claim::Disconnected,
            () = sleep_until(admitted.last_answer_at) => Claim::Unanswered,
        }
    }

    /// Rejects a request that was not admitted, and closes the connection.
    async fn reject_for(&mut self, retry_after: Duration) -> ExchangeEnd {
        let answer = Answer::Rejected(Some(to_millis(retry_after)));
        self.send_answer(&answer, ConnectionReuse::Close).await.end
    }

    /// Handles a request that is recorded in the ledger.
    async fn handle_durable(&mut self, submission: Submission) -> ExchangeEnd {
        self.entry.set_state(ConnectionState::Busy);
        let requested_reuse = submission.reuse;
        let mut durable =
            DurableExchange { server: self.server, connection: self.connection, admission: self.admission };
        let DurableAnswer { answer, acknowledges } = match durable.run(submission).await {
            Ok(answer) => answer,
            Err(error) => {
                return match error.status() {
                    Some(status) => self.reject(status, &error).await,
                    None => ExchangeEnd::Drop,
                };
            }
        };
        let reuse = self.reuse_after_answer(requested_reuse);
        let delivery = self.send_answer(&answer, reuse).await;
        if delivery.is_written
            && let (Some(ledger), Some(request_id)) = (self.server.ledger(), acknowledges)
        {
            ledger.record_acknowledged(request_id);
        }
        delivery.end
    }

    /// Whether the connection is used again after an answer. It is closed if the node is over its limit, so that
    /// waiting connections are accepted, or if input was discarded that may contain the next request.
    fn reuse_after_answer(&self, requested: ConnectionReuse) -> ConnectionReuse {
        let server = &self.server;
        let must_close = server.connection_count() > server.max_connections()
            || self.connection.has_discarded_input()
            || server.lifecycle.borrow().is_closing_after_response();
        if must_close { ConnectionReuse::Close } else { requested }
    }

    /// Writes the final answer to a request.
    async fn send_answer(&mut self, answer: &Answer, reuse: ConnectionReuse) -> Delivery {
        let response = Response::answer(&self.server.codec.load(), answer);
        let is_large = response.body_len() > self.server.limits.connection_buffer_bytes;
        let size = if is_large { ResponseSize::Large } else { ResponseSize::Small };
        let sent = self.send(&response, reuse).await;
        Delivery { is_written: sent.is_ok(), end: ExchangeEnd::after(&sent, reuse, size) }
    }

    /// Hands a request to the driver and waits for its answer. Returns `None` if the client disconnects first.
    async fn wait_for_answer(&mut self, admitted: &AdmittedRequest) -> Option<Answer> {
        let in_flight = &admitted.in_flight;
        let answer = tokio::select! {
            biased;
            answer = self.server.dispatch_and_wait(in_flight) => return Some(answer),
            () = self.connection.closed_by_peer() => None,
            // The client gets an answer before its own timeout, even if the driver is late.
            () = sleep_until(admitted.last_answer_at) => Some(Answer::Failed),
        };
        in_flight.close();
        let _ = self.server.events.send(NodeEvent::ClientDisconnected(in_flight.request_id)).await;
        if answer.is_none() {
            let client_id = &in_flight.request.id;
            tracing::debug!(%client_id, request = in_flight.request_id.0, "client disconnected");
        }
        answer
    }
}

impl DownstreamServer {
    /// Hands a request to the driver and waits for its answer.
    ///
    /// A request that arrives before the first endpoint list waits for it, for a bounded time: with the cached list
    /// it could be sent to an executor that has drained since.
    async fn dispatch_and_wait(&self, in_flight: &Rc<InFlightRequest>) -> Answer {
        let mut lifecycle = self.lifecycle.clone();
        let has_list = lifecycle.wait_for(|state| *state != LifecycleState::Starting);
        let _ = timeout_at(self.first_list_due, has_list).await;
        let _ = self.events.send(NodeEvent::RequestArrived(in_flight.clone())).await;
        in_flight.answered().await
    }
}
