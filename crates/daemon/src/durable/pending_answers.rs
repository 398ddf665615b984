//! Answers of durable requests that are not recorded yet, shared with the clients that wait for them.
use crate::in_flight::Answer;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::watch;
use troutknot::RequestId;

/// The answer of a request while it is not recorded yet. All clients that wait for it share one value.
pub struct PendingAnswer {
    answer: watch::Sender<Option<Answer>>,
}

impl PendingAnswer {
    fn new() -> Rc<Self> {
        Rc::new(PendingAnswer { answer: watch::channel(None).0 })
    }

    /// Waits for the answer, which is published once it is recorded.
    pub async fn answered(&self) -> Answer {
        let mut answer = self.answer.subscribe();
        let answer = answer.wait_for(Option::is_some).await;
        answer.ok().and_then(|answer| answer.clone()).unwrap_or(Answer::Failed)
    }
}

/// The requests whose answers are not recorded yet.
#[derive(Default)]
pub(super) struct PendingAnswers(RefCell<HashMap<RequestId, Rc<PendingAnswer>>>);

impl PendingAnswers {
    /// The shared value of a request, created if there is none.
    pub(super) fn get_or_create(&self, request_id: RequestId) -> Rc<PendingAnswer> {
        self.0.borrow_mut().entry(request_id).or_insert_with(PendingAnswer::new).clone()
    }

    /// The shared value of a request, or `None` if its answer is recorded.
    pub(super) fn get(&self, request_id: RequestId) -> Option<Rc<PendingAnswer>> {
        self.0.borrow().get(&request_id).cloned()
    }

    /// Whether the answer of a request is not recorded yet.
    pub(super) fn contains(&self, request_id: RequestId) -> bool {
        self.0.borrow().contains_key(&request_id)
    }

    /// Sends a recorded answer to all clients that wait for it.
    pub(super) fn publish(&self, request_id: RequestId, pending: &PendingAnswer, answer: Answer) {
        pending.answer.send_replace(Some(answer));
        self.0.borrow_mut().remove(&request_id);
    }
}
