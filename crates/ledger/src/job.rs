//! The state of one durable request: its attempts, and whether another one is allowed.
use crate::record::{Digest, Fence};
use troutknot::{Effect, Millis, Outcome};

/// Upper bound on the attempts of a request in any ledger, so that further ones are damage. The settings may allow
/// fewer; that number is not recorded, and can be another one at the next start.
pub const MAX_ATTEMPTS: usize = 3;

/// Why a request may not be dispatched again now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum DispatchError {
    /// The lease of an attempt has not expired.
    #[error("an attempt is in flight")]
    InFlight,
    /// The request is at-most-once, and an earlier attempt may have run.
    #[error("an earlier attempt may have run")]
    MayHaveRun,
    /// The request has had the maximum number of attempts.
    #[error("the request has had the maximum number of attempts")]
    MaxAttempts,
}

/// State of an attempt, as far as the records tell.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptStatus {
    /// Its lease has not expired.
    InFlight,
    /// Its lease expired without an outcome: it may have run, may be running, or may still start.
    Unknown,
    /// It has not run and never will.
    NeverRan,
    /// It ended without a result, and may have run.
    MayHaveRun,
    /// It ran, and its result was received.
    Completed,
}

/// One recorded attempt.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    /// Its fence.
    pub fence: Fence,
    /// The name of its executor.
    pub executor: String,
    /// When its dispatch was recorded.
    pub recorded_at: Millis,
    /// When its lease expires unless a heartbeat extends it.
    pub lease_until: Millis,
    /// Whether its executor reported that it started.
    pub has_started: bool,
    /// Its outcome; none if it has not ended.
    pub outcome: Option<Outcome>,
    /// Whether its executor has confirmed that it did not run, and refuses it from then on.
    pub is_fenced: bool,
}

impl Attempt {
    /// Its status at the time `now`.
    pub fn status(&self, now: Millis) -> AttemptStatus {
        match self.outcome {
            _ if self.is_fenced => AttemptStatus::NeverRan,
            Some(Outcome::Completed) => AttemptStatus::Completed,
            Some(outcome) if outcome.never_ran() => AttemptStatus::NeverRan,
            Some(_) => AttemptStatus::MayHaveRun,
            None if now < self.lease_until => AttemptStatus::InFlight,
            None => AttemptStatus::Unknown,
        }
    }
}

/// One durable request.
#[derive(Clone, PartialEq, Debug)]
pub struct Job {
    /// The effect of running it more than once.
    pub effect: Effect,
    /// When its acceptance was recorded.
    pub accepted_at: Millis,
    /// By when it must have its final answer.
    pub deadline: Millis,
    /// The id that the client assigned to it.
    pub client_id: String,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// The hash of its contents.
    pub digest: Digest,
    /// Its attempts, oldest first.
    pub attempts: Vec<Attempt>,
    /// When its final answer was recorded.
    pub answered_at: Option<Millis>,
    /// Whether the last byte of the answer was written to a client.
    pub is_acknowledged: bool,
    /// How many rows it has.
    pub row_count: u32,
}

impl Job {
    /// Whether the request may be rejected at the time `now`, which tells its client that a retry is harmless: it did not
    /// run, or it may run again by the effect that was recorded with it.
    pub fn may_be_rejected(&self, now: Millis) -> bool {
        let never_ran = |attempt: &Attempt| attempt.status(now) == AttemptStatus::NeverRan;
        self.effect != Effect::AtMostOnce || self.attempts.iter().all(never_ran)
    }

    /// The fence for its next attempt, if another one is allowed at the time `now`.
    ///
    /// # Errors
    /// If an attempt is in flight, if an earlier one of an at-most-once request may have run, or if `max_attempts` is
    /// reached.
    pub fn next_fence(&self, now: Millis, max_attempts: usize) -> Result<Fence, DispatchError> {
        let mut may_have_run = false;
        for attempt in &self.attempts {
            match attempt.status(now) {
                AttemptStatus::InFlight => return Err(DispatchError::InFlight),
                AttemptStatus::NeverRan => {}
                AttemptStatus::Unknown | AttemptStatus::MayHaveRun | AttemptStatus::Completed => {
                    may_have_run = true
                }
            }
        }
        if may_have_run && self.effect == Effect::AtMostOnce {
            return Err(DispatchError::MayHaveRun);
        }
        if self.attempts.len() >= max_attempts {
            return Err(DispatchError::MaxAttempts);
        }
        Ok(Fence(self.attempts.last().map_or(1, |last| last.fence.0 + 1)))
    }
}
