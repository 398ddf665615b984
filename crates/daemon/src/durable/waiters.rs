//! The clients that wait for the answers of durable requests.
use crate::in_flight::Answer;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::watch;
use troutknot::RequestId;

/// A request whose answer is not on record yet. All clients that ask for it share one value.
pub struct PendingAnswer {
    answer: watch::Sender<Option<Answer>>,
}

impl PendingAnswer {
    fn new() -> Rc<Self> {
        Rc::new(PendingAnswer { answer: watch::channel(None).0 })
    }

    /// Waits for the answer, which is given once it is on record.
    pub async fn answered(&self) -> Answer {
        let mut answer = self.answer.subscribe();
        let answer = answer.wait_for(Option::is_some).await;
        answer.ok().and_then(|answer| answer.clone()).unwrap_or(Answer::Failed)
    }
}

/// The requests whose answers are not on record yet.
#[derive(Default)]
pub(super) struct PendingAnswers(RefCell<HashMap<RequestId, Rc<PendingAnswer>>>);

impl PendingAnswers {
    /// The value shared by those that wait for this request; begins one if there is none.
    pub(super) fn join(&self, request_id: RequestId) -> Rc<PendingAnswer> {
        self.0.borrow_mut().entry(request_id).or_insert_with(PendingAnswer::new).clone()
    }

    /// The value shared by those that wait for this request, if its answer is not on record yet.
    pub(super) fn get(&self, request_id: RequestId) -> Option<Rc<PendingAnswer>> {
        self.0.borrow().get(&request_id).cloned()
    }

    /// Whether the request's answer is not on record yet.
    pub(super) fn contains(&self, request_id: RequestId) -> bool {
        self.0.borrow().contains_key(&request_id)
    }

    /// Gives the answer, which is on record, to all that wait for it.
    pub(super) fn publish(&self, request_id: RequestId, pending: &PendingAnswer, answer: Answer) {
        pending.answer.send_replace(Some(answer));
        self.0.borrow_mut().remove(&request_id);
    }
}
