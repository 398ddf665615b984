//! Handlers of the calls of the admin API.
use crate::admin::routes::AdminCall;
use crate::config::limits::Limits;
use crate::event::{CallOrigin, NodeEvent};
use crate::hot_restart::{codec::Message, sibling::SiblingProcess};
use crate::lifecycle::{DrainOrigin, DrainRequest, Lifecycle, LifecycleState, Shutdown};
use crate::retention::RetentionStatistics;
use std::borrow::Cow;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

/// A response of the admin API.
pub struct AdminResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body, without the line end.
    pub body: Cow<'static, str>,
    /// The value of the header `Allow`, if the request's method is not allowed.
    pub allowed_method: Option<&'static str>,
}

impl AdminResponse {
    /// A response without further headers.
    pub fn new(status: u16, body: impl Into<Cow<'static, str>>) -> Self {
        AdminResponse { status, body: body.into(), allowed_method: None }
    }

    fn done() -> Self {
        AdminResponse::new(200, "done")
    }
}

/// Handles the calls of the admin API.
pub struct AdminHandlers {
    /// The limits of the node.
    pub limits: Rc<Limits>,
    /// The driver's queue.
    pub events: mpsc::Sender<NodeEvent>,
    /// The lifecycle of this process.
    pub lifecycle: Rc<Lifecycle>,
    /// The other process of this node, during a hot restart.
    pub sibling: Rc<SiblingProcess>,
    /// The numbers of listed and retained executors.
    pub statistics: Rc<Cell<RetentionStatistics>>,
}

impl AdminHandlers {
    /// Handles a call. Returns the response once the call has taken effect in both processes of the node.
    pub async fn handle(&self, call: &AdminCall) -> AdminResponse {
        match call {
            AdminCall::Readiness => self.readiness(),
            AdminCall::Statistics => self.statistics(),
            AdminCall::SetExcluded { executor, is_excluded } => {
                self.set_excluded(executor, *is_excluded).await
            }
            AdminCall::Drain(request) => self.drain(*request).await,
        }
    }

    fn readiness(&self) -> AdminResponse {
        if self.lifecycle.conditions().is_ready() {
            AdminResponse::new(200, "ready")
        } else {
            AdminResponse::new(503, "not ready")
        }
    }

    fn statistics(&self) -> AdminResponse {
        AdminResponse::new(200, self.statistics.get().to_string())
    }

    async fn drain(&self, request: DrainRequest) -> AdminResponse {
        if self.lifecycle.conditions().shutdown != Shutdown::None {
            return AdminResponse::new(503, "the node ends");
        }
        let settle_time = self.limits.admin.drain_settle_time;
        self.lifecycle.request_drain(request, DrainOrigin::Operator, settle_time);
        let is_drained = request == DrainRequest::Drain;
        let (acknowledge, acknowledged) = oneshot::channel();
        self.sibling.replicate(|number| Message::Drained { drained: is_drained, number }, acknowledge);
        match timeout(self.limits.admin.call_timeout, acknowledged).await {
            Ok(Ok(_)) => AdminResponse::done(),
            _ => AdminResponse::new(503, "the other process of this node does not answer"),
        }
    }

    async fn set_excluded(&self, executor: &str, is_excluded: bool) -> AdminResponse {
        let list_deadline = Instant::now() + self.limits.admin.call_timeout;
        // Leaves time for the call itself even if the wait for the list uses all of its own timeout.
        let deadline = list_deadline + self.limits.admin.call_timeout / 2;
        // No executor can be found by name before a list is received.
        let mut lifecycle = self.lifecycle.watch();
        let listed = lifecycle.wait_for(|state| *state != LifecycleState::Starting);
        let _ = timeout_at(list_deadline, listed).await;
        let (acknowledge, acknowledged) = oneshot::channel();
        let event = NodeEvent::SetExcluded {
            executor: executor.to_string(),
            is_excluded,
            origin: CallOrigin::Operator(acknowledge),
        };
        let applied = async {
            self.events.send(event).await.ok()?;
            acknowledged.await.ok()
        };
        match timeout_at(deadline, applied).await {
            Ok(Some(true)) => AdminResponse::done(),
            Ok(Some(false)) => AdminResponse::new(404, "no such executor was ever listed"),
            _ => AdminResponse::new(503, "the node is too busy"),
        }
    }
}
