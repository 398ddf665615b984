//! Handles a durable request: it is recorded in the ledger before it is dispatched, and a repeated request waits
//! for the same answer.
use super::DownstreamServer;
use super::admission::{AdmissionError, AdmittedRequest, ConnectionAdmission};
use super::record_lookup::ResolvedJob;
use super::request::Submission;
use crate::durable::{self, Acceptance, Durable, LookupResult, PendingAnswer};
use crate::event::NodeEvent;
use crate::hot_restart::job_record::JobIdentity;
use crate::http1::Connection;
use crate::in_flight::{Answer, ClientRequest};
use crate::units::to_millis;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use troutknot::RequestId;

/// Retry-After of durable requests that cannot be recorded now.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a durable request ends without a final answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum DurableExchangeError {
    #[error("the idempotency key was used for another request")]
    KeyMismatch,
    #[error("a request with this id is open or on record")]
    Duplicate,
    #[error("the client disconnected")]
    Disconnected,
}

impl DurableExchangeError {
    /// The status of the response; `None` if the client has disconnected.
    pub fn status(&self) -> Option<u16> {
        match self {
            DurableExchangeError::KeyMismatch => Some(422),
            DurableExchangeError::Duplicate => Some(409),
            DurableExchangeError::Disconnected => None,
        }
    }
}

/// The answer to a durable request.
pub(super) struct DurableAnswer {
    pub answer: Answer,
    /// The job to record as acknowledged once its answer is written.
    pub acknowledges: Option<RequestId>,
}

impl DurableAnswer {
    /// The answer while no request can be recorded.
    fn retry_later() -> Self {
        DurableAnswer::unacknowledged(Answer::Rejected(Some(to_millis(LEDGER_RETRY_AFTER))))
    }

    /// The answer to a request of which it is not known whether it is on record.
    fn unresolved() -> Self {
        DurableAnswer::unacknowledged(Answer::Failed)
    }

    fn unacknowledged(answer: Answer) -> Self {
        DurableAnswer { answer, acknowledges: None }
    }

    /// The answer that follows from what the other process of the node has on record.
    fn of_record(job: ResolvedJob) -> Result<Self, DurableExchangeError> {
        match job {
            ResolvedJob::New => Ok(DurableAnswer::retry_later()),
            ResolvedJob::Answered(answer) => Ok(DurableAnswer::unacknowledged(answer)),
            ResolvedJob::KeyMismatch => Err(DurableExchangeError::KeyMismatch),
            ResolvedJob::DuplicateId => Err(DurableExchangeError::Duplicate),
        }
    }
}

/// How a request was handled that arrived before this process had the ledger open.
enum Resolution {
    /// This process has opened the ledger, and handles the request itself.
    LedgerOpened(Rc<Durable>),
    Answered(DurableAnswer),
}

/// A job whose answer a client waits for.
struct PendingJob {
    pending_answer: Rc<PendingAnswer>,
    acknowledges: Option<RequestId>,
    /// When the client gets an answer even if the job has no outcome yet.
    last_answer_at: Instant,
}

/// Result of recording a new durable request.
enum JobStart {
    /// It is on record or being withdrawn from it, and its answer will follow.
    Pending(PendingJob),
    /// It was not recorded, and this is its answer.
    NotRecorded(DurableAnswer),
}

/// A durable request up to its answer.
pub(super) struct DurableExchange<'a> {
    pub server: &'a DownstreamServer,
    pub connection: &'a mut Connection,
    pub admission: ConnectionAdmission,
}

impl DurableExchange<'_> {
    /// Records a request, or finds it in the ledger, and waits for its answer.
    ///
    /// # Errors
    /// If the request contradicts what is on record, or if the client disconnects.
    pub async fn run(&mut self, mut submission: Submission) -> Result<DurableAnswer, DurableExchangeError> {
        let identity = durable::identity_of(&submission.request);
        let ledger = match self.server.ledger() {
            Some(ledger) => ledger,
            None => match self.resolve_without_ledger(&mut submission, &identity).await? {
                Resolution::LedgerOpened(ledger) => ledger,
                Resolution::Answered(answer) => return Ok(answer),
            },
        };
        let pending = match ledger.look_up(&identity) {
            LookupResult::KeyMismatch => return Err(DurableExchangeError::KeyMismatch),
            LookupResult::DuplicateId => return Err(DurableExchangeError::Duplicate),
            LookupResult::Answered(request_id) => {
                // An answer that cannot be read leaves open whether the request ran.
                let answer = ledger.recorded_answer(request_id).await.unwrap_or(Answer::Failed);
                return Ok(DurableAnswer { answer, acknowledges: Some(request_id) });
            }
            LookupResult::Open(pending_answer) => {
                let last_answer_at = Instant::now() + self.server.last_answer_wait(submission.time_left);
                PendingJob { pending_answer, acknowledges: None, last_answer_at }
            }
            LookupResult::New => match self.start_job(&ledger, submission).await? {
                JobStart::Pending(pending) => pending,
                JobStart::NotRecorded(answer) => return Ok(answer),
            },
        };
        self.wait_for_job(pending).await
    }

    /// Handles a request while another process of the node has the ledger open. Nothing is answered before that process
    /// has looked the request up: a client that gets 503 for one that has run sends it again as a new one.
    async fn resolve_without_ledger(
        &mut self,
        submission: &mut Submission,
        identity: &JobIdentity,
    ) -> Result<Resolution, DurableExchangeError> {
        let (server, started_at) = (self.server, Instant::now());
        let request = &submission.request;
        let Some(_reservation) = server.request_bytes.reserve(request.fields.len() + request.body.len())
        else {
            return Ok(Resolution::Answered(DurableAnswer::unresolved()));
        };
        let resolution = tokio::select! {
            biased;
            ledger = server.ledger_opened() => Resolution::LedgerOpened(ledger),
            job = server.resolve_at_sibling(identity) => Resolution::Answered(DurableAnswer::of_record(job)?),
            () = self.connection.closed_by_peer() => return Err(DurableExchangeError::Disconnected),
            () = sleep_until(started_at + server.last_answer_wait(submission.time_left)) => {
                Resolution::Answered(DurableAnswer::unresolved())
            }
        };
        submission.time_left = submission.time_left.saturating_sub(started_at.elapsed());
        Ok(resolution)
    }

    /// Records a new request and hands it to the driver.
    async fn start_job(
        &self,
        ledger: &Rc<Durable>,
        submission: Submission,
    ) -> Result<JobStart, DurableExchangeError> {
        if !ledger.is_ready() {
            return Ok(JobStart::NotRecorded(DurableAnswer::retry_later()));
        }
        let Submission { request, time_left, .. } = submission;
        let admitted = match self.server.admit(request, time_left, self.admission) {
            Ok(admitted) => admitted,
            Err(AdmissionError::Duplicate) => return Err(DurableExchangeError::Duplicate),
            Err(AdmissionError::NoCapacity | AdmissionError::Drained) => {
                return Ok(JobStart::NotRecorded(DurableAnswer::retry_later()));
            }
        };
        let AdmittedRequest { in_flight, token, needs_claim, last_answer_at } = admitted;
        if needs_claim {
            // The other process has no ledger open and runs no such request, so that its consent is not waited for.
            self.server.sibling.announce_request(token);
        }
        in_flight.is_durable.set(true);
        let acceptance = ledger.accept(&in_flight, last_answer_at).await;
        // From here on the ledger detects duplicates of it.
        self.server.request_ids.close(&in_flight.request.id);
        match acceptance {
            Acceptance::Recorded(pending_answer) => {
                let acknowledges = Some(in_flight.request_id);
                let _ = self.server.events.send(NodeEvent::RequestArrived(in_flight)).await;
                Ok(JobStart::Pending(PendingJob { pending_answer, acknowledges, last_answer_at }))
            }
            Acceptance::Withdrawn(pending_answer) => {
                Ok(JobStart::Pending(PendingJob { pending_answer, acknowledges: None, last_answer_at }))
            }
            Acceptance::Rejected(answer) => Ok(JobStart::NotRecorded(DurableAnswer::unacknowledged(answer))),
        }
    }

    /// Waits for the answer to a job. The job continues if the client disconnects.
    async fn wait_for_job(&mut self, pending: PendingJob) -> Result<DurableAnswer, DurableExchangeError> {
        let answer = tokio::select! {
            biased;
            answer = pending.pending_answer.answered() => answer,
            () = self.connection.closed_by_peer() => return Err(DurableExchangeError::Disconnected),
            () = sleep_until(pending.last_answer_at) => Answer::Failed,
        };
        Ok(DurableAnswer { answer, acknowledges: pending.acknowledges })
    }
}

impl DownstreamServer {
    /// Whether a request is recorded in the ledger: by its idempotency key, or by the effect of its class.
    pub(super) fn is_durable(&self, request: &ClientRequest) -> bool {
        let Some(config) = &self.durable_config else { return false };
        let effect = self.codec.load().effect(request.class);
        request.key.is_some() || effect.is_some_and(|effect| config.includes(effect))
    }
}
