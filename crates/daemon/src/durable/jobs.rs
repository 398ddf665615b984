//! The life of a durable request in this process: found or accepted, dispatched, answered, and forgotten.
use super::payload::{self, StoredRequest};
use super::{Durable, Lease, PendingAnswer};
use crate::event::NodeEvent;
use crate::in_flight::{Answer, ClientRequest, InFlightRequest};
use crate::units::to_millis;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};
use troutknot_ledger::{Fence, Record, Row};

/// How often answers that need not be retained any longer are looked for.
const FORGET_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of answers that are forgotten before other tasks run.
const MAX_FORGOTTEN: usize = 1000;

/// Time between attempts to write an answer that the disk did not take.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Retry-After of a request that could not be recorded, in milliseconds.
const UNRECORDED_RETRY_AFTER: Millis = 1000.0;

/// What the ledger has of a request that a client makes.
pub enum LookupResult {
    /// Nothing: the request is new.
    New,
    /// The same request, not answered yet.
    Open(Rc<PendingAnswer>),
    /// The same request, with its answer.
    Answered(RequestId),
    /// Another request with the same idempotency key.
    KeyMismatch,
    /// A request with the same id and without a key by which it could be recognized as the same.
    DuplicateId,
}

impl Durable {
    /// Looks a request up by its idempotency key, or else by its id.
    pub fn look_up(&self, request: &ClientRequest) -> LookupResult {
        let ledger = self.ledger.borrow();
        let Some(request_id) = request.key.as_ref().and_then(|key| ledger.find_by_key(key)) else {
            let is_known = ledger.find_by_client_id(&request.id).is_some();
            return if is_known { LookupResult::DuplicateId } else { LookupResult::New };
        };
        let Some(job) = ledger.job(request_id) else { return LookupResult::New };
        if job.digest != payload::digest(request) {
            return LookupResult::KeyMismatch;
        }
        match self.pending_answers.get(request_id) {
            Some(pending) => LookupResult::Open(pending),
            None if job.answered_at.is_some() => LookupResult::Answered(request_id),
            // Open since an earlier process, and not recovered yet.
            None => LookupResult::Open(self.pending_answers.join(request_id)),
        }
    }

    /// Accepts a request; it is on disk when this returns. `answer_by` is when its client is answered at the
    /// latest.
    ///
    /// # Errors
    /// The answer to a request that could not be recorded in time; it was not and will not be sent.
    pub async fn accept(
        self: &Rc<Self>,
        in_flight: &Rc<InFlightRequest>,
        answer_by: Instant,
    ) -> Result<Rc<PendingAnswer>, Answer> {
        let rejected = Answer::Rejected(Some(UNRECORDED_RETRY_AFTER));
        let Some(row) = self.apply_accepted(in_flight) else { return Err(rejected) };
        let request_id = in_flight.request_id;
        let pending = self.pending_answers.join(request_id);
        let written = timeout(self.config.slow_sync_threshold, self.write(vec![row])).await;
        if !matches!(written, Ok(Ok(()))) {
            tracing::debug!(request = request_id.0, "request rejected, its record is not on disk in time");
            self.withdraw(request_id, &pending, rejected.clone());
            return Err(rejected);
        }
        self.tasks.spawn(self.clone().record_answer(in_flight.clone(), pending.clone(), answer_by));
        Ok(pending)
    }

    /// The record of a new request; None if it cannot be made.
    fn apply_accepted(&self, in_flight: &InFlightRequest) -> Option<Row> {
        let request = &in_flight.request;
        let time_left = in_flight.deadline.saturating_duration_since(Instant::now());
        let codec = self.codec.load();
        let record = Record::Accepted {
            request_id: in_flight.request_id,
            effect: codec.effect(request.class).unwrap_or(Effect::AtMostOnce),
            deadline: self.now() + to_millis(time_left),
            client_id: request.id.clone(),
            key: request.key.clone(),
            digest: payload::digest(request),
            payload: postcard::to_stdvec(&StoredRequest::new(request, &codec)).ok()?,
        };
        self.apply(record)
    }

    /// Ends a request whose record was not written in time. A client that repeats it is rejected until that is on
    /// record; afterwards it is a new request.
    fn withdraw(&self, request_id: RequestId, pending: &PendingAnswer, answer: Answer) {
        self.record_soon(Record::Answered { request_id, answer: payload::to_recorded(&answer) });
        self.record_soon(Record::Forgotten { request_id });
        self.pending_answers.publish(request_id, pending, answer);
    }

    /// Waits for the answer, also if no client does any more, records it, and gives it to those that wait.
    pub(super) async fn record_answer(
        self: Rc<Self>,
        in_flight: Rc<InFlightRequest>,
        pending: Rc<PendingAnswer>,
        answer_by: Instant,
    ) {
        let request_id = in_flight.request_id;
        let answer = self.final_answer(&in_flight, answer_by).await;
        let row = self.apply(Record::Answered { request_id, answer: payload::to_recorded(&answer) });
        let mut written = self.write(row.into_iter().collect()).await;
        while written.is_err() {
            sleep(WRITE_RETRY_INTERVAL).await;
            // The committer still has the row; this waits until it is on disk.
            written = self.write(Vec::new()).await;
        }
        if let Answer::Rejected(_) = answer {
            // The request may run later: a client that repeats it with its key makes a new one.
            self.record_soon(Record::Forgotten { request_id });
        }
        self.pending_answers.publish(request_id, &pending, answer);
    }

    /// The answer, or a failure if there is none by `answer_by`.
    async fn final_answer(&self, in_flight: &InFlightRequest, answer_by: Instant) -> Answer {
        tokio::select! {
            biased;
            answer = in_flight.answered() => answer,
            () = sleep_until(answer_by) => {
                in_flight.close();
                let _ = self.events.send(NodeEvent::ClientLeft(in_flight.request_id)).await;
                Answer::Failed
            }
        }
    }

    /// Records that an answer was written to a client.
    pub fn record_acknowledged(&self, request_id: RequestId) {
        self.record_soon(Record::Acknowledged { request_id });
    }

    /// Reads the answer that is on record; None, logged, if it cannot be read.
    pub async fn recorded_answer(&self, request_id: RequestId) -> Option<Answer> {
        let rows = self.read(request_id).await;
        let log = |error: &_| tracing::warn!(request = request_id.0, %error, "recorded answer not readable");
        rows.inspect_err(log).ok()?.into_iter().find_map(|row| match row.record {
            Record::Answered { answer, .. } => Some(payload::from_recorded(answer)),
            _ => None,
        })
    }

    /// Records an attempt; it may be sent once this returns a lease. None if the request may not have another
    /// attempt, or the record was not written; the attempt must not be sent then.
    pub async fn record_attempt(
        self: &Rc<Self>,
        request_id: RequestId,
        executor: &str,
        deadline: Instant,
    ) -> Option<Lease> {
        let now = self.now();
        let (attempt_id, fence) = self.next_attempt(request_id, now)?;
        let until_deadline = deadline.saturating_duration_since(Instant::now());
        let lease_time = self.config.lease_duration.unwrap_or(until_deadline);
        let lease_until = now + to_millis(lease_time);
        let executor = executor.into();
        let row = self.apply(Record::Dispatched { request_id, fence, executor, lease_until })?;
        let mut unsent = UnsentAttempt(Some(Lease::new(self.clone(), request_id, attempt_id, fence, now)));
        self.write(vec![row]).await.ok()?;
        unsent.0.take()
    }

    /// Number and fence of the next attempt; None, logged, if the request may not have one.
    fn next_attempt(&self, request_id: RequestId, now: Millis) -> Option<(AttemptId, Fence)> {
        let ledger = self.ledger.borrow();
        let job = ledger.job(request_id)?;
        let fence = job.next_fence(now, self.max_attempts);
        let log = |error: &_| tracing::warn!(request = request_id.0, %error, "attempt not recorded");
        let fence = fence.inspect_err(log).ok()?;
        Some((AttemptId(job.attempts.len() as u32), fence))
    }

    /// Forgets answers that are older than the configured time, until the node ends.
    pub async fn forget_answered(self: Rc<Self>) {
        loop {
            sleep(FORGET_INTERVAL).await;
            let before = self.now() - to_millis(self.config.retention);
            while self.forget_batch(before) == Batch::Full {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Forgets some of the requests that were answered before this time.
    fn forget_batch(&self, before: Millis) -> Batch {
        let mut answered = self.ledger.borrow().answered_before(before, MAX_FORGOTTEN);
        let is_full = answered.len() == MAX_FORGOTTEN;
        answered.retain(|request_id| !self.pending_answers.contains(*request_id));
        for request_id in &answered {
            self.record_soon(Record::Forgotten { request_id: *request_id });
        }
        // Without progress the rest has to wait as well.
        if is_full && !answered.is_empty() { Batch::Full } else { Batch::Last }
    }
}

/// Whether more may follow a batch at once.
#[derive(PartialEq)]
enum Batch {
    Full,
    Last,
}

/// An attempt whose record is being written. Dropped before that is done, it counts as not sent.
struct UnsentAttempt(Option<Lease>);

impl Drop for UnsentAttempt {
    fn drop(&mut self) {
        if let Some(lease) = &self.0 {
            lease.record_outcome(Outcome::NotSent);
        }
    }
}
