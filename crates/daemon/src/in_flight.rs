//! A request in flight, shared by the downstream and upstream modules, which have no other interface to each other.
use crate::byte_budget::{ByteBudget, Reservation};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use troutknot::{Millis, Outcome, RequestClassId, RequestId, TenantId};

/// The contents of a request as received from its client.
pub struct ClientRequest {
    /// The client's id, which is forwarded unchanged.
    pub id: String,
    /// The idempotency key, if the client sent one and durable requests are enabled.
    pub key: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The HTTP target.
    pub target: String,
    /// The header lines that are forwarded to executors unchanged.
    pub fields: Bytes,
    /// The body.
    pub body: Bytes,
    /// The request class that the settings assign.
    pub class: RequestClassId,
    /// The tenant that the settings assign.
    pub tenant: TenantId,
    /// Number of slots that it occupies at an executor.
    pub slots: f64,
    /// Memory that it occupies at an executor.
    pub memory: f64,
    /// Whether the client has sent it before.
    pub is_retry: bool,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The result of an executor.
    Completed(Bytes),
    /// The request was rejected and may be retried: it did not run, or running it again is safe. With the time after
    /// which the client may retry, if one is set.
    Rejected(Option<Millis>),
    /// The request failed and may have run.
    Failed,
}

/// A request that is open, or closed with an attempt still in flight. Its bytes count against a budget until it is
/// dropped.
pub struct InFlightRequest {
    /// The id of the request within the node.
    pub request_id: RequestId,
    /// The contents of the request.
    pub request: ClientRequest,
    /// When the final answer is due.
    pub deadline: Instant,
    /// Whether the request is recorded in the ledger; each attempt is then recorded before it is sent.
    pub is_durable: Cell<bool>,
    /// Whether an attempt was ordered, so that the request may have run.
    pub was_dispatched: Cell<bool>,
    state: RefCell<State>,
    answered: Notify,
    closed: Notify,
    _reservation: Reservation,
}

enum State {
    Open,
    Answered(Answer),
    /// The client disconnected, or the downstream module answered by itself.
    Closed,
}

impl InFlightRequest {
    /// Opens a request. Returns `None` if its bytes exceed the budget.
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
            was_dispatched: Cell::new(false),
            state: RefCell::new(State::Open),
            answered: Notify::new(),
            closed: Notify::new(),
            _reservation: reservation,
        }))
    }

    /// Sets the final answer. Returns false and has no effect if the request was closed before.
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

    /// Closes the request without an answer, because the client disconnected or the downstream module answers by
    /// itself. Returns false if the request was closed before.
    pub fn close(&self) -> bool {
        let before = std::mem::replace(&mut *self.state.borrow_mut(), State::Closed);
        self.closed.notify_waiters();
        matches!(before, State::Open)
    }

    /// Whether the request has an answer or was closed without one.
    pub fn is_closed(&self) -> bool {
        !matches!(*self.state.borrow(), State::Open)
    }

    /// Waits for the final answer. Only one task may call it.
    pub async fn answered(&self) -> Answer {
        loop {
            if let State::Answered(answer) = &*self.state.borrow() {
                return answer.clone();
            }
            self.answered.notified().await;
        }
    }

    /// Waits until the request has an answer or is closed without one.
    pub async fn closed(&self) {
        let closed = self.closed.notified();
        if !self.is_closed() {
            closed.await
        }
    }
}

/// Cancels one attempt and sets its outcome.
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

    /// Waits until the attempt is cancelled and returns its outcome. Several tasks may wait.
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
