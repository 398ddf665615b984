//! Open requests with their attempts, and the desired state of each.
use crate::endpoint::LoadReport;
use crate::event::Outcome;
use crate::ids::{ExecutorId, RequestClassId};
use crate::time::Millis;

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub executor: ExecutorId,
    pub sent_at: Millis,
    /// How long the executor's connections had not been used.
    pub idle_time: Millis,
    /// When it began to run, where that was told.
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

/// What is desired of a request.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum DesiredState {
    #[default]
    Probing,
    /// So many attempts in all, the last one at this executor and given up at the deadline.
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

/// The load that a candidate reported.
#[derive(Clone, Copy)]
pub(crate) struct CandidateReport {
    pub executor: ExecutorId,
    pub report: LoadReport,
}

#[derive(Default)]
pub(crate) struct Request {
    pub class: RequestClassId,
    pub slots: f64,
    pub is_over_quota: bool,
    /// When the client first asked, for an earlier try perhaps.
    pub asked_at: Millis,
    pub deadline: Millis,
    pub desired: DesiredState,
    pub attempts: Vec<Attempt>,
    /// Those sampled last, and how many of them were asked.
    pub candidates: Vec<ExecutorId>,
    pub probed: usize,
    pub reports: Vec<CandidateReport>,
    /// How often executors were sampled for it.
    pub sampling_rounds: u32,
    pub timer_at: Millis,
}

impl Request {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Those that it names: where it was sent, which says where it may be sent again, and while it waits for
    /// probes those that were sampled for it.
    pub fn executors(&self) -> impl Iterator<Item = ExecutorId> {
        let sent = self.attempts.iter().map(|attempt| attempt.executor);
        let sampled = if self.desired == DesiredState::Probing { &self.candidates[..] } else { &[] };
        sent.chain(sampled.iter().copied())
    }
}
