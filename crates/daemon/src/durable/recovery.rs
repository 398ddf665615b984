//! Recovery of requests that were open when an earlier process ended.
use super::Durable;
use super::payload::{StoredRequest, UnknownClass};
use crate::byte_budget::ByteBudget;
use crate::event::{NodeEvent, RecoveredAttempt};
use crate::in_flight::{Answer, ClientRequest, InFlightRequest};
use crate::lifecycle::LifecycleState;
use crate::units::to_duration;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use troutknot::{Millis, Outcome, RequestId};
use troutknot_ledger::committer::ReadError;
use troutknot_ledger::{Answer as RecordedAnswer, Attempt, Record};

/// Interval between attempts to reserve memory for a request.
const RESERVE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum remaining time of a recovered request in milliseconds, about 11 days. A corrupt row could contain a time
/// that a `Duration` cannot represent.
const MAX_TIME_LEFT: Millis = 1e9;

/// Why an open request cannot be recovered.
#[derive(Debug, thiserror::Error)]
enum RecoveryError {
    #[error("cannot read its records: {0}")]
    Read(#[from] ReadError),
    #[error("its first record is missing")]
    MissingFirstRecord,
    #[error("the request is not in the ledger's index")]
    NotInIndex,
    #[error("cannot decode the stored request: {0}")]
    Payload(#[from] postcard::Error),
    #[error(transparent)]
    UnknownClass(#[from] UnknownClass),
}

/// The first record of a request, decoded.
struct AcceptedRequest {
    client_id: String,
    key: Option<String>,
    deadline: Millis,
    stored: StoredRequest,
}

impl Durable {
    /// Recovers the requests that were open at the start, once there is an endpoint list: sends each to the driver
    /// with its earlier attempts. Waits for memory if the budget for the contents of requests is used up.
    pub async fn recover(
        self: Rc<Self>,
        mut state: watch::Receiver<LifecycleState>,
        request_bytes: Rc<ByteBudget>,
    ) {
        let unrecovered = self.unrecovered.take();
        let has_started = |state: &LifecycleState| *state != LifecycleState::Starting;
        if unrecovered.is_empty() || state.wait_for(has_started).await.is_err() {
            return;
        }
        let started_at = Instant::now();
        for request_id in &unrecovered {
            if let Err(error) = self.recover_request(*request_id, &request_bytes).await {
                tracing::warn!(request = request_id.0, %error, "request not recovered, answered as failed");
                self.answer_unrecovered(*request_id).await;
            }
            self.unrecovered_count.set(self.unrecovered_count.get() - 1);
        }
        tracing::info!(
            count = unrecovered.len(),
            elapsed_ms = started_at.elapsed().as_millis() as u64,
            "open requests recovered"
        );
    }

    async fn answer_unrecovered(&self, request_id: RequestId) {
        if let Some(row) = self.apply(Record::Answered { request_id, answer: RecordedAnswer::Failed }) {
            let _ = self.write(vec![row]).await;
        }
        let pending = self.pending_answers.get_or_create(request_id);
        self.pending_answers.publish(request_id, &pending, Answer::Failed);
    }

    async fn recover_request(
        self: &Rc<Self>,
        request_id: RequestId,
        request_bytes: &Rc<ByteBudget>,
    ) -> Result<(), RecoveryError> {
        let accepted = self.read_accepted(request_id).await?;
        let in_flight = self.reserve(request_id, &accepted, request_bytes).await?;
        in_flight.is_durable.set(true);
        let attempts = self.earlier_attempts(request_id)?;
        // The dispatcher also answers requests that are past their deadline, a short time after recovery.
        let limits = &self.limits;
        let grace = limits.downstream.deadline_margin + limits.timeouts().connect_timeout;
        let answer_by = in_flight.deadline + grace;
        let pending = self.pending_answers.get_or_create(request_id);
        self.tasks.spawn(self.clone().record_answer(in_flight.clone(), pending, answer_by));
        let _ = self.events.send(NodeEvent::RequestRecovered(in_flight, attempts)).await;
        Ok(())
    }

    async fn read_accepted(&self, request_id: RequestId) -> Result<AcceptedRequest, RecoveryError> {
        for row in self.read(request_id).await? {
            if let Record::Accepted { client_id, key, deadline, payload, .. } = row.record {
                let stored = postcard::from_bytes(&payload)?;
                return Ok(AcceptedRequest { client_id, key, deadline, stored });
            }
        }
        Err(RecoveryError::MissingFirstRecord)
    }

    /// Opens the request, waiting until its memory can be reserved.
    async fn reserve(
        &self,
        request_id: RequestId,
        accepted: &AcceptedRequest,
        request_bytes: &Rc<ByteBudget>,
    ) -> Result<Rc<InFlightRequest>, RecoveryError> {
        loop {
            let request = self.restore_request(accepted)?;
            let deadline = self.instant_of(accepted.deadline);
            match InFlightRequest::new(request_id, request, deadline, request_bytes) {
                Some(in_flight) => return Ok(in_flight),
                None => sleep(RESERVE_INTERVAL).await,
            }
        }
    }

    fn restore_request(&self, accepted: &AcceptedRequest) -> Result<ClientRequest, UnknownClass> {
        let (client_id, key) = (accepted.client_id.clone(), accepted.key.clone());
        accepted.stored.to_request(client_id, key, &self.codec.load())
    }

    fn instant_of(&self, deadline: Millis) -> Instant {
        let time_left = (deadline - self.now()).clamp(0.0, MAX_TIME_LEFT);
        Instant::now() + to_duration(time_left)
    }

    fn earlier_attempts(&self, request_id: RequestId) -> Result<Vec<RecoveredAttempt>, RecoveryError> {
        let ledger = self.ledger.borrow();
        let job = ledger.job(request_id).ok_or(RecoveryError::NotInIndex)?;
        Ok(job.attempts.iter().map(recovered_attempt).collect())
    }
}

fn recovered_attempt(attempt: &Attempt) -> RecoveredAttempt {
    let outcome = match attempt.outcome {
        _ if attempt.is_fenced => Some(Outcome::NotSent),
        // The result was not recorded, but the executor may still have it.
        Some(Outcome::Completed) => None,
        outcome => outcome,
    };
    RecoveredAttempt {
        executor: attempt.executor.clone(),
        sent_at: attempt.recorded_at,
        outcome,
        fence: attempt.fence,
    }
}
