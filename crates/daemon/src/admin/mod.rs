//! The admin API. It has a separate listener, if the node file configures one, and serves one call per connection.
mod handlers;
mod routes;

use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::event::NodeEvent;
use crate::hot_restart::sibling::SiblingProcess;
use crate::http1::{self, Connection, ReceiveError, RequestHead};
use crate::lifecycle::Lifecycle;
use crate::retention::RetentionStatistics;
use crate::tasks::TaskGroup;
use handlers::{AdminHandlers, AdminResponse};
use routes::{AdminCall, RouteError};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Delay after a connection could not be accepted, for example because no file descriptor is free.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Serves the admin API.
pub struct AdminServer {
    handlers: AdminHandlers,
    limits: Rc<Limits>,
    buffers: Rc<ByteBudget>,
    tasks: TaskGroup,
    /// Connections whose request is incomplete, oldest first.
    incomplete: RefCell<VecDeque<IncompleteRequest>>,
    open_connections: Cell<usize>,
    next_connection_number: Cell<u64>,
}

/// A connection whose request is incomplete.
struct IncompleteRequest {
    connection_number: u64,
    /// Notified to close the connection.
    close: Rc<Notify>,
}

impl AdminServer {
    /// Creates the server of a node, whose numbers of executors are in `statistics`. Connections run as tasks of
    /// `tasks`.
    pub fn new(
        limits: Rc<Limits>,
        events: mpsc::Sender<NodeEvent>,
        lifecycle: Rc<Lifecycle>,
        sibling: Rc<SiblingProcess>,
        statistics: Rc<Cell<RetentionStatistics>>,
        tasks: TaskGroup,
    ) -> Rc<Self> {
        let buffers = ByteBudget::new(limits.admin.max_connections * 2 * limits.admin.buffer_bytes);
        let handlers = AdminHandlers { limits: limits.clone(), events, lifecycle, sibling, statistics };
        Rc::new(AdminServer {
            handlers,
            limits,
            buffers,
            tasks,
            incomplete: RefCell::default(),
            open_connections: Cell::new(0),
            next_connection_number: Cell::new(0),
        })
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.serve_or_drop(stream),
                Err(error) => {
                    tracing::warn!(%error, "admin connection cannot be accepted");
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Serves a connection. At the connection limit, it replaces the oldest connection whose request is incomplete, so
    /// that callers who send nothing cannot block the API; if there is none, the new connection is dropped.
    fn serve_or_drop(self: &Rc<Self>, stream: TcpStream) {
        if self.open_connections.get() >= self.limits.admin.max_connections {
            let Some(oldest) = self.incomplete.borrow_mut().pop_front() else { return };
            oldest.close.notify_one();
        }
        let connection_number = self.next_connection_number.get();
        self.next_connection_number.set(connection_number + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        let close: Rc<Notify> = Rc::default();
        self.incomplete.borrow_mut().push_back(IncompleteRequest { connection_number, close: close.clone() });
        let server = self.clone();
        self.tasks.spawn(async move {
            let buffer_bytes = server.limits.admin.buffer_bytes;
            let mut connection = Connection::new(stream, buffer_bytes, &server.buffers);
            server.serve(&mut connection, connection_number, &close).await;
            drop(connection);
            server.mark_complete(connection_number);
            server.open_connections.set(server.open_connections.get() - 1);
        });
    }

    fn mark_complete(&self, connection_number: u64) {
        self.incomplete.borrow_mut().retain(|request| request.connection_number != connection_number);
    }

    async fn serve(&self, connection: &mut Connection, connection_number: u64, close: &Notify) {
        let deadline = Instant::now() + self.limits.downstream.io_timeout;
        let head = tokio::select! {
            biased;
            head = connection.read_request_head() => head,
            () = close.notified() => return,
            () = sleep_until(deadline) => return,
        };
        self.mark_complete(connection_number);
        let response = match head {
            Ok(None) | Err(ReceiveError::UnexpectedEof | ReceiveError::Io(_)) => return,
            Err(ReceiveError::Message(error)) => {
                AdminResponse::new(error.status(), "the call cannot be read")
            }
            Ok(Some(head)) => self.respond(&head).await,
        };
        self.write(connection, &response).await;
    }

    async fn respond(&self, head: &RequestHead) -> AdminResponse {
        let call = match routes::route(&head.method, &head.target) {
            Ok(call) => call,
            Err(error) => return error_response(error),
        };
        let response = self.handlers.handle(&call).await;
        let is_query = matches!(call, AdminCall::Readiness | AdminCall::Statistics);
        if !is_query {
            tracing::info!(?call, status = response.status, reason = %response.body, "admin call");
        }
        response
    }

    async fn write(&self, connection: &mut Connection, response: &AdminResponse) {
        let body = format!("{}\n", response.body);
        let fields: Vec<(&str, String)> =
            response.allowed_method.iter().map(|method| ("Allow", method.to_string())).collect();
        // Each connection serves one call.
        let keep_alive = false;
        let head = http1::response_head(response.status, body.len(), keep_alive, &fields);
        let parts = [&head[..], body.as_bytes()];
        let written = timeout(self.limits.admin.call_timeout, connection.write(&parts)).await;
        if matches!(written, Ok(Ok(()))) {
            connection
                .lingering_close(self.limits.rest_of_message_timeout, self.limits.max_discarded_bytes)
                .await;
        }
    }
}

fn error_response(error: RouteError) -> AdminResponse {
    let allowed_method = match error {
        RouteError::MethodNotAllowed { allowed } => Some(allowed),
        _ => None,
    };
    AdminResponse { allowed_method, ..AdminResponse::new(error.status(), error.to_string()) }
}
