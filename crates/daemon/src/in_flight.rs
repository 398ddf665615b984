//! One work unit between the client that asked and the executors that may run it: the only place where the
//! client side and the executor side meet.
use crate::byte_budget::HeldBytes;
use crate::durable::Durable;
use bytes::Bytes;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use troutknot::{Millis, Outcome, RequestClassId, RequestId, TenantId};

/// What a client handed in.
pub struct Work {
    /// The id that the client gave, which goes on unchanged.
    pub id: String,
    /// By which its client asks for it again, where it is taken durably.
    pub key: Option<String>,
    pub method: String,
    pub target: String,
    /// The header lines that go on unchanged.
    pub fields: Bytes,
    pub body: Bytes,
    pub project_type: RequestClassId,
    pub customer: TenantId,
    pub slots: f64,
    pub memory: f64,
    pub again: bool,
}

#[cfg(test)]
impl Work {
    pub fn of(id: &str, size: usize) -> Self {
        Work {
            id: id.into(),
            key: None,
            method: "POST".into(),
            target: "/render".into(),
            fields: Bytes::new(),
            body: vec![b'x'; size].into(),
            project_type: RequestClassId(0),
            customer: TenantId(0),
            slots: 1.0,
            memory: 0.0,
            again: false,
        }
    }
}

/// The final answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Completed(Bytes),
    Deferred(Option<Millis>),
    Aborted,
}

pub struct Exchange {
    pub request_id: RequestId,
    pub work: Work,
    /// When it must have its final answer.
    pub limit: Instant,
    /// Set where it is on record; each allocation is then recorded before it is sent.
    pub durable: OnceCell<Rc<Durable>>,
    state: RefCell<State>,
    changed: Notify,
    over: Notify,
    held: Rc<HeldBytes>,
    own_bytes: usize,
}

enum State {
    Open,
    Answered(Answer),
    /// The answer was taken away to be written, or the client left.
    Closed,
}

impl Exchange {
    /// None where the bytes of this work unit do not fit beside what is held.
    pub fn new(request_id: RequestId, work: Work, limit: Instant, held: &Rc<HeldBytes>) -> Option<Rc<Self>> {
        let own_bytes = work.fields.len() + work.body.len();
        held.take(own_bytes).then(|| {
            Rc::new(Exchange {
                request_id,
                work,
                limit,
                durable: OnceCell::new(),
                state: RefCell::new(State::Open),
                changed: Notify::new(),
                over: Notify::new(),
                held: held.clone(),
                own_bytes,
            })
        })
    }

    /// Gives the final answer; only the first one counts, and only while the client is there.
    pub fn answer(&self, answer: Answer) -> bool {
        let mut state = self.state.borrow_mut();
        let first = matches!(*state, State::Open);
        if first {
            *state = State::Answered(answer);
            self.changed.notify_one();
            self.over.notify_waiters();
        }
        first
    }

    /// The client left, or will be told by its own side; nothing more is owed. False where it was over.
    pub fn close(&self) -> bool {
        let was = std::mem::replace(&mut *self.state.borrow_mut(), State::Closed);
        self.over.notify_waiters();
        matches!(was, State::Open)
    }

    pub fn is_over(&self) -> bool {
        !matches!(*self.state.borrow(), State::Open)
    }

    /// Waits for the final answer and takes it away; for the client side alone.
    pub async fn answered(&self) -> Answer {
        loop {
            if let State::Answered(answer) = &*self.state.borrow() {
                return answer.clone();
            }
            self.changed.notified().await;
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

/// Tells an allocation that it must end, and how.
#[derive(Default)]
pub struct Stop {
    why: Cell<Option<Outcome>>,
    told: Notify,
}

impl Stop {
    pub fn tell(&self, why: Outcome) {
        self.why.set(Some(why));
        self.told.notify_waiters();
    }

    pub fn is_told(&self) -> bool {
        self.why.get().is_some()
    }

    /// Waits until it is told; it may be asked any number of times.
    pub async fn told(&self) -> Outcome {
        loop {
            let told = self.told.notified();
            if let Some(why) = self.why.get() {
                return why;
            }
            told.await;
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.held.give_back(self.own_bytes);
    }
}

#[tokio::test]
async fn the_first_answer_counts_and_none_after_the_client_left() {
    let held = HeldBytes::new(10);
    let make = |bytes: usize| {
        let work = Work::of("1", bytes);
        Exchange::new(RequestId(1), work, Instant::now(), &held)
    };
    let exchange = make(8).unwrap();
    assert!(make(3).is_none(), "what is held is bounded");
    assert!(exchange.answer(Answer::Aborted) && !exchange.answer(Answer::Deferred(None)));
    assert_eq!(exchange.answered().await, Answer::Aborted);
    exchange.over().await;
    drop(exchange);
    let left = make(10).unwrap();
    assert!(left.close() && left.is_over() && !left.answer(Answer::Aborted));
    left.over().await;
}
