//! Processing of durable requests: lookup, acceptance, recording of attempts and answers, and removal.
use super::payload::{self, StoredRequest};
use super::{Durable, Lease, PendingAnswer};
use crate::event::NodeEvent;
use crate::hot_restart::job_record::JobIdentity;
use crate::in_flight::{Answer, InFlightRequest};
use crate::units::to_millis;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};
use troutknot_ledger::{Fence, MAX_ATTEMPTS, Record, Row};

/// Interval between searches for answers whose retention time has passed.
const FORGET_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of answers that are removed before other tasks run.
const MAX_FORGOTTEN: usize = 1000;

/// Retry-After of a request that could not be recorded, in milliseconds.
const UNRECORDED_RETRY_AFTER: Millis = 1000.0;

/// The result of looking up a client's request in the ledger.
pub enum LookupResult {
    /// The request is not in the ledger.
    New,
    /// The same request is recorded and not answered yet.
    Open(Rc<PendingAnswer>),
    /// The same request is recorded with its answer.
    Answered(RequestId),
    /// Another request is recorded with the same idempotency key.
    KeyMismatch,
    /// A request is recorded with the same id; without an idempotency key it cannot be identified as the same request.
    DuplicateId,
}

/// How the acceptance of a request ended.
pub enum Acceptance {
    /// Its record is on disk.
    Recorded(Rc<PendingAnswer>),
    /// Its record is not on disk and never will be; with its answer.
    Rejected(Answer),
    /// Its record may be on disk. It is never dispatched, and is rejected once its withdrawal is on disk as well.
    Withdrawn(Rc<PendingAnswer>),
}

/// Whether the first record of a request was written.
enum AcceptanceWrite {
    OnDisk,
    Cancelled,
    /// The commit failed or takes too long, so that the record may be on disk, or may yet get there.
    Uncertain,
}

impl Durable {
    /// Looks up a request by its idempotency key or, without one, by its id.
    pub fn look_up(&self, identity: &JobIdentity) -> LookupResult {
        let ledger = self.ledger.borrow();
        let Some(request_id) = identity.key.as_ref().and_then(|key| ledger.find_by_key(key)) else {
            let is_duplicate = ledger.find_by_client_id(&identity.client_id).is_some();
            return if is_duplicate { LookupResult::DuplicateId } else { LookupResult::New };
        };
        let Some(job) = ledger.job(request_id) else { return LookupResult::New };
        if job.digest != identity.digest {
            return LookupResult::KeyMismatch;
        }
        match self.pending_answers.get(request_id) {
            Some(pending) => LookupResult::Open(pending),
            None if job.answered_at.is_some() => LookupResult::Answered(request_id),
            // The request is from an earlier process and not recovered yet.
            None => LookupResult::Open(self.pending_answers.get_or_create(request_id)),
        }
    }

    /// Accepts a request, and returns once its record is on disk, or once it is certain not to get there. A request whose
    /// record may get there cannot be rejected before its withdrawal is on disk too: after a crash it would be
    /// recovered and run. `answer_by` is the latest time of the answer to the client.
    pub async fn accept(self: &Rc<Self>, in_flight: &Rc<InFlightRequest>, answer_by: Instant) -> Acceptance {
        let rejected = Answer::Rejected(Some(UNRECORDED_RETRY_AFTER));
        let Some(row) = self.apply_accepted(in_flight) else { return Acceptance::Rejected(rejected) };
        let request_id = in_flight.request_id;
        let pending = self.pending_answers.get_or_create(request_id);
        match self.write_acceptance(row, answer_by).await {
            AcceptanceWrite::OnDisk => {
                self.tasks.spawn(self.clone().record_answer(in_flight.clone(), pending.clone(), answer_by));
                Acceptance::Recorded(pending)
            }
            AcceptanceWrite::Cancelled => {
                tracing::debug!(
                    request = request_id.0,
                    "request rejected, its record is not on disk in time"
                );
                self.discard(request_id);
                self.pending_answers.publish(request_id, &pending, rejected.clone());
                Acceptance::Rejected(rejected)
            }
            AcceptanceWrite::Uncertain => {
                tracing::debug!(request = request_id.0, "request withdrawn, its record may be on disk");
                self.tasks.spawn(self.clone().withdraw(request_id, pending.clone(), rejected));
                Acceptance::Withdrawn(pending)
            }
        }
    }

    /// Writes the first record of a request. A write that is not begun in time is cancelled; one that is begun is waited
    /// for, as the record may be on disk.
    async fn write_acceptance(&self, row: Row, answer_by: Instant) -> AcceptanceWrite {
        let mut write = self.begin_write(vec![row]);
        let mut written = timeout(self.config.slow_sync_threshold, write.finished()).await;
        if written.is_err() {
            if write.cancel() {
                return AcceptanceWrite::Cancelled;
            }
            written = timeout_at(answer_by, write.finished()).await;
        }
        match written {
            Ok(Ok(())) => AcceptanceWrite::OnDisk,
            Ok(Err(_)) | Err(_) => AcceptanceWrite::Uncertain,
        }
    }

    /// Applies the first record of a request to the index. Returns `None` if that fails.
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

    /// Removes a request whose record will not be written. A retry by the client is a new request.
    fn discard(&self, request_id: RequestId) {
        let discarded = self.ledger.borrow_mut().discard(request_id);
        let log = |error: &_| tracing::warn!(request = request_id.0, %error, "request not discarded");
        let _ = discarded.inspect_err(log);
    }

    /// Closes a request whose record may be on disk, and publishes its answer once that is recorded. A retry by the client
    /// is a new request.
    async fn withdraw(self: Rc<Self>, request_id: RequestId, pending: Rc<PendingAnswer>, answer: Answer) {
        let answered = Record::Answered { request_id, answer: payload::to_recorded(&answer) };
        let records = [answered, Record::Forgotten { request_id }];
        let rows = records.into_iter().filter_map(|record| self.apply(record)).collect();
        self.write_until_on_disk(rows).await;
        self.pending_answers.publish(request_id, &pending, answer);
    }

    /// Waits for the answer, records it and publishes it to waiting clients. Continues if the client disconnects.
    pub(super) async fn record_answer(
        self: Rc<Self>,
        in_flight: Rc<InFlightRequest>,
        pending: Rc<PendingAnswer>,
        answer_by: Instant,
    ) {
        let request_id = in_flight.request_id;
        let answer = self.final_answer(&in_flight, answer_by).await;
        let answer = self.consistent_answer(request_id, answer);
        let row = self.apply(Record::Answered { request_id, answer: payload::to_recorded(&answer) });
        self.write_until_on_disk(row.into_iter().collect()).await;
        if let Answer::Rejected(_) = answer {
            // Removed so that a retry with the same idempotency key is accepted as a new request.
            self.record_in_background(Record::Forgotten { request_id });
        }
        self.pending_answers.publish(request_id, &pending, answer);
    }

    /// Waits for the answer, and fails the request if there is none by `answer_by`.
    async fn final_answer(&self, in_flight: &InFlightRequest, answer_by: Instant) -> Answer {
        tokio::select! {
            biased;
            answer = in_flight.answered() => answer,
            () = sleep_until(answer_by) => {
                in_flight.close();
                let _ = self.events.send(NodeEvent::ClientDisconnected(in_flight.request_id)).await;
                Answer::Failed
            }
        }
    }

    /// Turns a rejection that contradicts the records into a failure. The dispatcher decides by the present effect of the
    /// class, which can be another one than that of the recorded request.
    fn consistent_answer(&self, request_id: RequestId, answer: Answer) -> Answer {
        let ledger = self.ledger.borrow();
        let may_be_rejected = ledger.job(request_id).is_none_or(|job| job.may_be_rejected(self.now()));
        match answer {
            Answer::Rejected(_) if !may_be_rejected => Answer::Failed,
            answer => answer,
        }
    }

    /// Records that an answer was sent to a client.
    pub fn record_acknowledged(&self, request_id: RequestId) {
        self.record_in_background(Record::Acknowledged { request_id });
    }

    /// Reads the recorded answer of a request. Logs the error and returns `None` if it cannot be read.
    pub async fn recorded_answer(&self, request_id: RequestId) -> Option<Answer> {
        let rows = self.read(request_id).await;
        let log = |error: &_| tracing::warn!(request = request_id.0, %error, "recorded answer not readable");
        rows.inspect_err(log).ok()?.into_iter().find_map(|row| match row.record {
            Record::Answered { answer, .. } => Some(payload::from_recorded(answer)),
            _ => None,
        })
    }

    /// Records an attempt and returns its lease; the attempt must be sent only afterwards. Returns `None` if the
    /// request may not have another attempt or the record was not written; the attempt must not be sent then.
    pub async fn record_attempt(
        self: &Rc<Self>,
        in_flight: &InFlightRequest,
        executor: &str,
        deadline: Instant,
    ) -> Option<Lease> {
        let (request_id, now) = (in_flight.request_id, self.now());
        let (attempt_id, fence) = self.next_attempt(in_flight, now)?;
        let until_deadline = deadline.saturating_duration_since(Instant::now());
        let lease_time = self.config.lease_duration.unwrap_or(until_deadline);
        let lease_until = now + to_millis(lease_time);
        let executor = executor.into();
        let row = self.apply(Record::Dispatched { request_id, fence, executor, lease_until })?;
        let mut unsent = UnsentAttempt(Some(Lease::new(self.clone(), request_id, attempt_id, fence, now)));
        self.write(vec![row]).await.ok()?;
        unsent.0.take()
    }

    /// The id and fence of the next attempt. Logs the reason and returns `None` if the request may not have another
    /// one.
    fn next_attempt(&self, in_flight: &InFlightRequest, now: Millis) -> Option<(AttemptId, Fence)> {
        let request_id = in_flight.request_id;
        let max_attempts = self.max_attempts(in_flight);
        let ledger = self.ledger.borrow();
        let job = ledger.job(request_id)?;
        let attempts = job.attempts.len();
        let fence = job.next_fence(now, max_attempts);
        let log = |error: &_| {
            tracing::warn!(request = request_id.0, %error, attempts, max_attempts, "attempt not recorded");
        };
        let fence = fence.inspect_err(log).ok()?;
        Some((AttemptId(attempts as u32), fence))
    }

    /// Upper bound on the attempts of a request, which its class keeps when new settings are applied.
    fn max_attempts(&self, in_flight: &InFlightRequest) -> usize {
        let max_attempts = self.codec.load().max_attempts(in_flight.request.class);
        max_attempts.map_or(0, |max_attempts| max_attempts.min(MAX_ATTEMPTS))
    }

    /// Removes answers whose retention time has passed, until the task is aborted.
    pub async fn forget_answered(self: Rc<Self>) {
        loop {
            sleep(FORGET_INTERVAL).await;
            let before = self.now() - to_millis(self.config.retention);
            while self.forget_batch(before) == Batch::Full {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Removes a batch of requests that were answered before a time.
    fn forget_batch(&self, before: Millis) -> Batch {
        let mut answered = self.ledger.borrow().answered_before(before, MAX_FORGOTTEN);
        let is_full = answered.len() == MAX_FORGOTTEN;
        answered.retain(|request_id| !self.pending_answers.contains(*request_id));
        for request_id in &answered {
            self.record_in_background(Record::Forgotten { request_id: *request_id });
        }
        // An empty batch is reported as the last one, so that the loop does not run without progress.
        if is_full && !answered.is_empty() { Batch::Full } else { Batch::Last }
    }
}

/// Whether another batch may follow immediately.
#[derive(PartialEq)]
enum Batch {
    Full,
    Last,
}

/// An attempt whose record is being written. If it is dropped before the write completes, the attempt counts as not
/// sent.
struct UnsentAttempt(Option<Lease>);

impl Drop for UnsentAttempt {
    fn drop(&mut self) {
        if let Some(lease) = &self.0 {
            lease.record_outcome(Outcome::NotSent);
        }
    }
}
