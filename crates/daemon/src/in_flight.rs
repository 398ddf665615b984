//! A request between its client and the executors. The client side and the executor side know each other by this
//! alone.
use crate::byte_budget::{ByteBudget, Reservation};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use troutknot::{Millis, Outcome, RequestClassId, RequestId, TenantId};

/// A request as its client made it.
pub struct ClientRequest {
    /// The client's id, which is forwarded unchanged.
    pub id: String,
    /// The idempotency key, if the client gave one and durable requests are enabled.
    pub key: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The HTTP target.
    pub target: String,
    /// The header lines that are forwarded unchanged.
    pub fields: Bytes,
    /// The body.
    pub body: Bytes,
    /// The class, by the settings.
    pub class: RequestClassId,
    /// The tenant, by the settings.
    pub tenant: TenantId,
    /// The slots of an executor that it takes.
    pub slots: f64,
    /// The memory of an executor that it takes.
    pub memory: f64,
    /// Whether the client has made it before.
    pub is_retry: bool,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The result of an executor.
    Completed(Bytes),
    /// The request was not served and did not run; with the time after which the client may retry, if there is one.
    Rejected(Option<Millis>),
    /// The request failed, and may have run.
    Failed,
}

/// A request that is open, or closed with an attempt still in flight. Its bytes count against a budget until it is
/// dropped.
pub struct InFlightRequest {
    /// The id of the request within the node.
    pub request_id: RequestId,
    /// The request as its client made it.
    pub request: ClientRequest,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// Set if the request is in the ledger; each attempt is then recorded before it is sent.
    pub is_durable: Cell<bool>,
    state: RefCell<State>,
    answered: Notify,
    closed: Notify,
    _reservation: Reservation,
}

enum State {
    Open,
    Answered(Answer),
    /// The client has left or was answered by its own side.
    Closed,
}

impl InFlightRequest {
    /// Opens a request; None if its bytes do not fit into the budget.
    pub fn new(
        request_id: RequestId,
        request: ClientRequest,
        deadline: Instant,
        budget: &Rc<ByteBudget>,
    ) -> Option<Rc<Self>> {
        let reservation = budget.reserve(request.fields.len() + request.body.len())?;
        Some(Rc::new(InFlightRequest {
            request_id,
            request,
            deadline,
            is_durable: Cell::new(false),
            state: RefCell::new(State::Open),
            answered: Notify::new(),
            closed: Notify::new(),
            _reservation: reservation,
        }))
    }

    /// Gives the final answer. Returns false, without effect, if the request was closed before.
    pub fn answer(&self, answer: Answer) -> bool {
        let mut state = self.state.borrow_mut();
        let is_open = matches!(*state, State::Open);
        if is_open {
            *state = State::Answered(answer);
            self.answered.notify_one();
            self.closed.notify_waiters();
        }
        is_open
    }

    /// Closes the request without an answer: the client has left, or its side answers by itself. Returns false if
    /// it was closed before.
    pub fn close(&self) -> bool {
        let before = std::mem::replace(&mut *self.state.borrow_mut(), State::Closed);
        self.closed.notify_waiters();
        matches!(before, State::Open)
    }

    /// Whether the request has its answer, or was closed without one.
    pub fn is_closed(&self) -> bool {
        !matches!(*self.state.borrow(), State::Open)
    }

    /// Waits for the final answer. To be called by one task only.
    pub async fn answered(&self) -> Answer {
        loop {
            if let State::Answered(answer) = &*self.state.borrow() {
                return answer.clone();
            }
            self.answered.notified().await;
        }
    }

    /// Returns once the request has its answer, or was closed without one.
    pub async fn closed(&self) {
        let closed = self.closed.notified();
        if !self.is_closed() {
            closed.await
        }
    }
}

/// Cancels one attempt, with the outcome that it is to end with.
#[derive(Default)]
pub struct CancelSignal {
    outcome: Cell<Option<Outcome>>,
    changed: Notify,
}

impl CancelSignal {
    /// Cancels the attempt.
    pub fn cancel(&self, outcome: Outcome) {
        self.outcome.set(Some(outcome));
        self.changed.notify_waiters();
    }

    /// Whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.outcome.get().is_some()
    }

    /// Waits until the attempt is cancelled, and returns the outcome. Several tasks may wait.
    pub async fn cancelled(&self) -> Outcome {
        loop {
            let changed = self.changed.notified();
            if let Some(outcome) = self.outcome.get() {
                return outcome;
            }
            changed.await;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/in_flight.rs"]
mod tests;
