//! Open requests, with their attempts and their desired state.
use crate::endpoint::{DeduplicationDomain, LoadReport};
use crate::event::Outcome;
use crate::ids::{AttemptId, ExecutorId, RequestClassId};
use crate::time::Millis;

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub executor: ExecutorId,
    /// The executor's domain when the attempt was sent; the endpoint list may state another one by now.
    pub domain: DeduplicationDomain,
    pub sent_at: Millis,
    /// Time for which the connections to the executor had been idle. Infinite if unknown, so that the end of the
    /// attempt is not attributed to a broken idle connection.
    pub idle_time: Millis,
    /// When it started; `None` until the executor reports it.
    pub started_at: Option<Millis>,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn new(
        executor: ExecutorId,
        domain: DeduplicationDomain,
        sent_at: Millis,
        idle_time: Millis,
    ) -> Self {
        Attempt { executor, domain, sent_at, idle_time, started_at: None, outcome: None }
    }

    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// The state that reconciliation brings a request to.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum DesiredState {
    #[default]
    Probing,
    Dispatched {
        /// Executor of the last attempt.
        executor: ExecutorId,
        /// Deadline of the last attempt.
        deadline: Millis,
        /// Total number of attempts, including the last one.
        attempts: usize,
    },
    Queued,
    Rejected {
        retry_after: Option<Millis>,
    },
    Failed,
}

/// The load report of a candidate.
#[derive(Clone, Copy)]
pub(crate) struct CandidateReport {
    pub executor: ExecutorId,
    pub report: LoadReport,
}

/// Smallest number of slots that a request takes.
pub(crate) const MIN_SLOTS: f64 = 1.0;

/// A request that has no final answer yet.
#[derive(Default)]
pub(crate) struct Request {
    pub class: RequestClassId,
    pub slots: f64,
    pub is_over_quota: bool,
    /// When the client first sent the request; before its arrival if this is a client's retry.
    pub first_sent_at: Millis,
    /// When it must be answered at the latest.
    pub deadline: Millis,
    pub desired: DesiredState,
    pub attempts: Vec<Attempt>,
    /// Executors sampled in the last round.
    pub candidates: Vec<ExecutorId>,
    /// Number of candidates that have been probed.
    pub probed: usize,
    pub reports: Vec<CandidateReport>,
    /// Number of sampling rounds since its arrival, including start checks. A wait in the queue resets it to 1, so
    /// that the next round is the last.
    pub sampling_rounds: u32,
    /// When its timer fires; infinite for no timer.
    pub timer_at: Millis,
}

impl Request {
    pub fn attempt_mut(&mut self, attempt_id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt_id.0 as usize)
    }

    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns the executors that it refers to: those of its attempts, which limit where it may be retried, and its
    /// candidates while it awaits probe replies.
    pub fn referenced_executors(&self) -> impl Iterator<Item = ExecutorId> {
        let sent = self.attempts.iter().map(|attempt| attempt.executor);
        let sampled = if self.desired == DesiredState::Probing { &self.candidates[..] } else { &[] };
        sent.chain(sampled.iter().copied())
    }
}
