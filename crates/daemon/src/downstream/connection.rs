//! One client connection: waits for requests, has each one handled, and closes.
use super::DownstreamServer;
use super::admission::ConnectionAdmission;
use super::eviction::{ConnectionEntry, ConnectionState};
use super::exchange::{Exchange, ExchangeEnd};
use super::request::ReadError;
use super::response::ResponseSize;
use crate::http1::Connection;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Whether an idle connection has input.
#[derive(PartialEq)]
enum Input {
    Available,
    /// The connection is to be closed.
    None,
}

/// One client connection that is served.
pub(super) struct ClientSession {
    server: Rc<DownstreamServer>,
    connection: Connection,
    entry: Rc<ConnectionEntry>,
    admission: ConnectionAdmission,
    /// When the first request must have arrived completely.
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
        let connection = Connection::new(stream, limits.connection_buffer_bytes, &server.buffer_bytes);
        let first_request_due = Instant::now() + limits.downstream.io_timeout;
        ClientSession { server, connection, entry, admission, first_request_due }
    }

    /// Serves the connection until it is to be closed.
    pub async fn run(mut self) {
        loop {
            if !self.connection.has_buffered_input() && self.wait_for_input().await == Input::None {
                return;
            }
            match self.serve_request().await {
                ExchangeEnd::KeepAlive => {}
                ExchangeEnd::Close(size) => return self.close(size).await,
                ExchangeEnd::CloseGracefully => return self.close_gracefully().await,
                ExchangeEnd::Drop => return,
            }
        }
    }

    /// Waits for the first byte of a request. None arrives if the client disconnects or the wait times out, or if
    /// the connection is evicted or closed for a shutdown before.
    async fn wait_for_input(&mut self) -> Input {
        self.connection.release_buffers();
        let has_served = self.entry.state().has_served();
        let idle_until = self.start_idle_timeout();
        let mut lifecycle = self.server.lifecycle.clone();
        let has_input = tokio::select! {
            biased;
            read = self.connection.read() => matches!(read, Ok(count) if count > 0),
            () = self.entry.evicted() => !self.connection.is_quiet(),
            _ = lifecycle.wait_for(|state| state.is_closing_idle()), if has_served => !self.connection.is_quiet(),
            () = sleep_until(idle_until) => false,
        };
        if has_input { Input::Available } else { Input::None }
    }

    /// Marks the connection as waiting, and returns the instant at which the wait times out.
    fn start_idle_timeout(&self) -> Instant {
        let (now, limits) = (Instant::now(), &self.server.limits.downstream);
        if self.entry.state().has_served() {
            self.entry.set_state(ConnectionState::Idle { since: now });
            return now + limits.idle_timeout;
        }
        // While idle connections are being closed, a new one has less time to send its first request.
        if self.server.lifecycle.borrow().is_closing_idle() {
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
        let mut exchange = Exchange {
            server: &self.server,
            connection: &mut self.connection,
            entry: &self.entry,
            admission: self.admission,
        };
        match request {
            Ok(request) => exchange.handle(request).await,
            Err(error) => match error.status() {
                Some(status) => exchange.reject(status, &error).await,
                None => ExchangeEnd::Close(ResponseSize::Small),
            },
        }
    }

    /// Closes the connection after the last response. If the client has sent more, or a part of the response may
    /// not have arrived, an immediate close could reset the connection and discard that part.
    async fn close(&mut self, size: ResponseSize) {
        let may_lose_response = size == ResponseSize::Large
            || self.connection.has_discarded_input()
            || !self.connection.is_quiet();
        let is_admitted = self.admission == ConnectionAdmission::Admitted;
        if is_admitted && self.entry.state().has_served() && may_lose_response {
            self.close_gracefully().await;
        }
    }

    /// Shuts down the sending side and waits for the client to close. The connection counts as a new one meanwhile,
    /// so that it can be evicted.
    async fn close_gracefully(&mut self) {
        self.entry.set_state(ConnectionState::New { since: Instant::now() });
        let limits = &self.server.limits;
        self.connection.lingering_close(limits.rest_of_message_timeout, limits.max_discarded_bytes).await;
    }
}
