//! The life of one client connection: waits for requests, has each one handled, and closes.
use super::DownstreamServer;
use super::eviction::{ConnectionEntry, ConnectionState};
use super::request::{ConnectionReuse, ParsedRequest, ReadError};
use super::response::{Response, SendError};
use crate::http1::Connection;
use std::fmt::Display;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Whether an accepted connection is within the node's limits.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum ConnectionAdmission {
    Admitted,
    /// New requests on it are rejected for lack of capacity.
    OverLimit,
}

/// Whether an idle connection has input.
#[derive(PartialEq)]
enum Input {
    Available,
    /// The connection is to be closed.
    None,
}

/// Whether a response may be incomplete at the client when its last byte is written here.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ResponseSize {
    Small,
    /// A part of it may still be in the send buffer.
    Large,
}

/// How the handling of one request ended.
pub(super) enum ExchangeEnd {
    /// The connection waits for the next request.
    KeepAlive,
    /// The connection is closed after this response, or because its client has disconnected.
    Close(ResponseSize),
    /// Nothing is left to do before the connection is dropped.
    Drop,
}

/// One client connection that is served.
pub(super) struct ClientSession {
    pub server: Rc<DownstreamServer>,
    pub connection: Connection,
    pub entry: Rc<ConnectionEntry>,
    pub admission: ConnectionAdmission,
    /// When the first request has to be complete.
    first_request_due: Instant,
}

impl ClientSession {
    /// A session on a connection that was accepted just now.
    pub fn new(
        server: Rc<DownstreamServer>,
        stream: TcpStream,
        entry: Rc<ConnectionEntry>,
        admission: ConnectionAdmission,
    ) -> Self {
        let limits = &server.limits;
        let connection = Connection::new(stream, limits.connection_buffer_bytes, &server.ring_bytes);
        let first_request_due = Instant::now() + limits.downstream.io_timeout;
        ClientSession { server, connection, entry, admission, first_request_due }
    }

    /// Serves the connection until it is to be closed.
    pub async fn run(mut self) {
        loop {
            if !self.connection.has_input() && self.wait_for_input().await == Input::None {
                return;
            }
            match self.serve_request().await {
                ExchangeEnd::KeepAlive => {}
                ExchangeEnd::Close(size) => return self.finish(size).await,
                ExchangeEnd::Drop => return,
            }
        }
    }

    /// Waits for the first byte of a request. None arrives if the client disconnects or the wait times out, or if
    /// the connection is evicted or closed for a shutdown before.
    async fn wait_for_input(&mut self) -> Input {
        self.connection.rest();
        let has_served = self.entry.state().has_served();
        let idle_until = self.start_idle_timeout();
        let mut lifecycle = self.server.lifecycle.clone();
        let has_input = tokio::select! {
            biased;
            read = self.connection.read() => matches!(read, Ok(count) if count > 0),
            () = self.entry.evicted() => !self.connection.quiet(),
            _ = lifecycle.wait_for(|state| state.closes_idle()), if has_served => !self.connection.quiet(),
            () = sleep_until(idle_until) => false,
        };
        if has_input { Input::Available } else { Input::None }
    }

    /// Marks the connection as waiting, and returns when it has waited for too long.
    fn start_idle_timeout(&self) -> Instant {
        let (now, limits) = (Instant::now(), &self.server.limits.downstream);
        if self.entry.state().has_served() {
            self.entry.set_state(ConnectionState::Idle { since: now });
            return now + limits.idle_timeout;
        }
        // While idle connections are closed, a new one without a request is not kept open for long either.
        if self.server.lifecycle.borrow().closes_idle() {
            return self.first_request_due.min(now + limits.min_new_connection_age);
        }
        self.first_request_due
    }

    /// Reads one request and handles it.
    async fn serve_request(&mut self) -> ExchangeEnd {
        let has_served = self.entry.state().has_served();
        let due = if has_served {
            self.entry.stop_waiting();
            Instant::now() + self.server.limits.downstream.io_timeout
        } else {
            self.first_request_due
        };
        let request = tokio::select! {
            biased;
            request = self.server.read_request(&mut self.connection) => request,
            () = self.entry.evicted(), if !has_served => Err(ReadError::TimedOut),
            () = sleep_until(due) => Err(ReadError::TimedOut),
        };
        self.entry.stop_waiting();
        match request {
            Ok(request) => self.handle(request).await,
            Err(error) => match error.status() {
                Some(status) => self.reject(status, &error).await,
                None => ExchangeEnd::Close(ResponseSize::Small),
            },
        }
    }

    async fn handle(&mut self, request: ParsedRequest) -> ExchangeEnd {
        match request {
            ParsedRequest::ReadinessCheck => self.report_readiness().await,
            ParsedRequest::JobStatus { client_id, reuse } => self.report_job(&client_id, reuse).await,
            ParsedRequest::Submission(submission) => self.handle_submission(submission).await,
        }
    }

    /// Rejects a request and closes the connection, as the next request cannot be told from the rest of this one.
    pub async fn reject(&mut self, status: u16, reason: &dyn Display) -> ExchangeEnd {
        tracing::debug!(status, %reason, "request rejected");
        let retry_after = self.server.limits.downstream.malformed_retry_after;
        let response = Response::rejection(&self.server.codec.now(), status, retry_after);
        if self.send(&response, ConnectionReuse::Close).await.is_ok() {
            self.close_gracefully().await;
        }
        ExchangeEnd::Drop
    }

    /// Writes a response.
    pub async fn send(&mut self, response: &Response, reuse: ConnectionReuse) -> Result<(), SendError> {
        let write_timeout = self.server.limits.downstream.io_timeout;
        response.send(&mut self.connection, reuse, write_timeout).await
    }

    /// Closes the connection after the last response. If the client has sent more, or a part of the response may
    /// not have arrived, an immediate close could reset the connection and discard that part.
    async fn finish(&mut self, size: ResponseSize) {
        let may_lose_response =
            size == ResponseSize::Large || self.connection.is_overrun() || !self.connection.quiet();
        let is_admitted = self.admission == ConnectionAdmission::Admitted;
        if is_admitted && self.entry.state().has_served() && may_lose_response {
            self.close_gracefully().await;
        }
    }

    /// Ends the sending and waits for the client to close. The connection counts as a new one meanwhile, so that
    /// others can take its place.
    async fn close_gracefully(&mut self) {
        self.entry.set_state(ConnectionState::New { since: Instant::now() });
        let limits = &self.server.limits;
        self.connection.end(limits.rest_of_message_timeout, limits.max_discarded_bytes).await;
    }
}
