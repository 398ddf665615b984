//! One request between the client that asked and the executors that may run it: the only place where the client
//! side and the executor side meet.
use crate::byte_budget::ByteBudget;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use troutknot::{Millis, Outcome, RequestClassId, RequestId, TenantId};

/// What a client handed in.
pub struct ClientRequest {
    /// The id that the client gave, which goes on unchanged.
    pub id: String,
    /// By which its client asks for it again, where it is taken durably.
    pub key: Option<String>,
    pub method: String,
    pub target: String,
    /// The header lines that go on unchanged.
    pub fields: Bytes,
    pub body: Bytes,
    pub class: RequestClassId,
    pub tenant: TenantId,
    pub slots: f64,
    pub memory: f64,
    /// Whether the client has asked before.
    pub is_retry: bool,
}

/// The final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The result.
    Completed(Bytes),
    /// Not served; after how long the client may ask again, where that is said.
    Rejected(Option<Millis>),
    /// Failed, and perhaps run.
    Failed,
}

/// A request that is open, or over with an attempt still in flight. Its bytes count against a budget until it is
/// dropped.
pub struct InFlightRequest {
    pub request_id: RequestId,
    pub request: ClientRequest,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// Set if the request is in the ledger; each attempt is then recorded before it is sent.
    pub is_durable: Cell<bool>,
    state: RefCell<State>,
    answered: Notify,
    over: Notify,
    budget: Rc<ByteBudget>,
    reserved_bytes: usize,
}

enum State {
    Open,
    Answered(Answer),
    /// The answer was taken away to be written, or the client left.
    Closed,
}

impl InFlightRequest {
    /// None where the bytes of this request do not fit into the budget.
    pub fn new(
        request_id: RequestId,
        request: ClientRequest,
        deadline: Instant,
        budget: &Rc<ByteBudget>,
    ) -> Option<Rc<Self>> {
        let reserved_bytes = request.fields.len() + request.body.len();
        budget.try_reserve(reserved_bytes).then(|| {
            Rc::new(InFlightRequest {
                request_id,
                request,
                deadline,
                is_durable: Cell::new(false),
                state: RefCell::new(State::Open),
                answered: Notify::new(),
                over: Notify::new(),
                budget: budget.clone(),
                reserved_bytes,
            })
        })
    }

    /// Gives the final answer; only the first one counts, and only while the client is there.
    pub fn answer(&self, answer: Answer) -> bool {
        let mut state = self.state.borrow_mut();
        let is_first = matches!(*state, State::Open);
        if is_first {
            *state = State::Answered(answer);
            self.answered.notify_one();
            self.over.notify_waiters();
        }
        is_first
    }

    /// The client left, or will be told by its own side; nothing more is owed. False where it was over.
    pub fn close(&self) -> bool {
        let before = std::mem::replace(&mut *self.state.borrow_mut(), State::Closed);
        self.over.notify_waiters();
        matches!(before, State::Open)
    }

    /// Whether there is an answer, or the client left.
    pub fn is_over(&self) -> bool {
        !matches!(*self.state.borrow(), State::Open)
    }

    /// Waits for the final answer; for the client side alone.
    pub async fn answered(&self) -> Answer {
        loop {
            if let State::Answered(answer) = &*self.state.borrow() {
                return answer.clone();
            }
            self.answered.notified().await;
        }
    }

    /// Ends once there is an answer or the client left.
    pub async fn over(&self) {
        let over = self.over.notified();
        if !self.is_over() {
            over.await
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.budget.release(self.reserved_bytes);
    }
}

/// Tells one attempt that it must end, and with which outcome.
#[derive(Default)]
pub struct CancelSignal {
    outcome: Cell<Option<Outcome>>,
    changed: Notify,
}

impl CancelSignal {
    pub fn cancel(&self, outcome: Outcome) {
        self.outcome.set(Some(outcome));
        self.changed.notify_waiters();
    }

    pub fn is_cancelled(&self) -> bool {
        self.outcome.get().is_some()
    }

    /// Waits until it is told; it may be asked any number of times.
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
