//! Open requests with their attempts, and the desired state of each.
use crate::endpoint::LoadReport;
use crate::event::Outcome;
use crate::ids::{AttemptId, ExecutorId, RequestClassId};
use crate::time::Millis;

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub executor: ExecutorId,
    pub sent_at: Millis,
    /// How long the connections to the executor had been idle; infinite if that is unknown, as then no broken
    /// idle connection explains how the attempt ended.
    pub idle_time: Millis,
    /// When it started, if the executor has reported that.
    pub started_at: Option<Millis>,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn new(executor: ExecutorId, sent_at: Millis, idle_time: Millis) -> Self {
        Attempt { executor, sent_at, idle_time, started_at: None, outcome: None }
    }

    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// The state that a request is to be in.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum DesiredState {
    #[default]
    Probing,
    /// `attempts` in all, the last one at this executor with this deadline.
    Dispatched {
        executor: ExecutorId,
        deadline: Millis,
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

/// The smallest number of slots that a request takes.
pub(crate) const MIN_SLOTS: f64 = 1.0;

/// A request that has no final answer yet.
#[derive(Default)]
pub(crate) struct Request {
    pub class: RequestClassId,
    pub slots: f64,
    pub is_over_quota: bool,
    /// When the client sent the request first; before the arrival if it is a retry of the client's.
    pub first_sent_at: Millis,
    /// The time by which it must be answered.
    pub deadline: Millis,
    pub desired: DesiredState,
    pub attempts: Vec<Attempt>,
    /// The executors that were sampled last.
    pub candidates: Vec<ExecutorId>,
    /// How many of the candidates were probed.
    pub probed: usize,
    pub reports: Vec<CandidateReport>,
    /// How often candidates were probed for it since its arrival, start checks included. A wait in the queue
    /// sets it back to 1, so that one more sample is the last round.
    pub sampling_rounds: u32,
    /// When its timer fires; infinite for never.
    pub timer_at: Millis,
}

impl Request {
    pub fn attempt_mut(&mut self, attempt_id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(attempt_id.0 as usize)
    }

    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// The executors that it refers to: those of its attempts, which limit where it may be retried, and its
    /// candidates while it awaits probes.
    pub fn referenced_executors(&self) -> impl Iterator<Item = ExecutorId> {
        let sent = self.attempts.iter().map(|attempt| attempt.executor);
        let sampled = if self.desired == DesiredState::Probing { &self.candidates[..] } else { &[] };
        sent.chain(sampled.iter().copied())
    }
}
