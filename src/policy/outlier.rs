//! Outlier detection: executors that fail, are slow or reject requests get a decaying score, and by it a
//! lower weight when executors are sampled.
use crate::state::request_class::RequestClass;
use crate::time::Millis;
use crate::warm_state::DecayingScore;

/// Lower bound on the time constant with which scores decay; outcomes are counted with it.
const MIN_SCORE_DECAY: Millis = 4000.0;
/// Upper bound on that time constant.
const MAX_SCORE_DECAY: Millis = 30_000.0;
/// Time constant of a score, in mean intervals between two attempts of this node at one executor.
const DECAY_INTERVALS: f64 = 4.0;
/// Score of a slow attempt, per unit of the logarithm of its response time relative to the mean.
const SLOWNESS_WEIGHT: f64 = 0.7;
/// Upper bound on the score of one fault.
const MAX_FAULT_PENALTY: f64 = 3.0;
/// Upper bound on the observations in a score: it rates an executor's outcomes, not their number.
const MAX_OBSERVATIONS: f64 = 12.0;
/// Initial score of a rejection that a peer reported by gossip; it never excludes an executor.
const GOSSIP_PENALTY: f64 = 1.5;
/// Peers are notified of a rejection if the score before it was below this.
const GOSSIP_THRESHOLD: f64 = GOSSIP_PENALTY / 2.0;
/// Slack, in running times, from which on a score has its plain effect; it is also the largest sensitivity.
const REFERENCE_SLACK: f64 = 3.0;

/// Counts the attempts that ended at all executors, which say how often this node meets one executor.
#[derive(Default)]
pub(crate) struct OutlierDetection {
    recent_outcomes: DecayingScore,
}

impl OutlierDetection {
    /// Counts an attempt that ended.
    pub fn record_outcome(&mut self, now: Millis) {
        let outcomes = self.recent_outcomes.at(now, MIN_SCORE_DECAY) + 1.0;
        self.recent_outcomes = DecayingScore { value: outcomes, set_at: now };
    }

    /// How scores decay now, so that one outlasts the time until the next attempt at the same executor.
    pub fn score_decay(&self, now: Millis, ready_executors: usize) -> ScoreDecay {
        let outcomes = self.recent_outcomes.at(now, MIN_SCORE_DECAY);
        // Decayed with this constant, the count is about the outcomes of one such span. With none, the interval
        // is infinite, and the upper bound holds.
        let attempt_interval = MIN_SCORE_DECAY * ready_executors.max(1) as f64 / outcomes;
        let time_constant = (DECAY_INTERVALS * attempt_interval).clamp(MIN_SCORE_DECAY, MAX_SCORE_DECAY);
        ScoreDecay { time_constant }
    }
}

/// The failure score of an executor, and the decaying number of outcomes in it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct FailureScore {
    pub score: DecayingScore,
    pub observations: DecayingScore,
}

/// A rejection score after one more rejection.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct RecordedRejection {
    pub score: DecayingScore,
    pub notice: PeerNotice,
}

/// Whether peers are notified of a rejection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum PeerNotice {
    Send,
    Skip,
}

/// How scores decay at a time, and what outcomes add to them.
#[derive(Clone, Copy)]
pub(crate) struct ScoreDecay {
    time_constant: Millis,
}

impl ScoreDecay {
    /// Score of one fault. It grows with the time constant, so that some of the score is left at the next
    /// attempt of a node that meets an executor rarely.
    pub fn fault_penalty(self) -> f64 {
        (self.time_constant / MIN_SCORE_DECAY).min(MAX_FAULT_PENALTY)
    }

    /// Adds the penalty of one outcome, 0 for a good one.
    pub fn penalize(self, before: FailureScore, penalty: f64, now: Millis) -> FailureScore {
        let observations = before.observations.at(now, MIN_SCORE_DECAY) + 1.0;
        let retained = (MAX_OBSERVATIONS / observations).min(1.0);
        let score = (before.score.at(now, self.time_constant) + penalty) * retained;
        FailureScore {
            score: DecayingScore { value: score, set_at: now },
            observations: DecayingScore { value: observations * retained, set_at: now },
        }
    }

    /// Adds a rejection of a request of one class by an executor whose report showed free capacity.
    pub fn reject(self, score: DecayingScore, now: Millis) -> RecordedRejection {
        let before = score.at(now, self.time_constant);
        let score = DecayingScore { value: before + self.fault_penalty(), set_at: now };
        let notice = if before < GOSSIP_THRESHOLD { PeerNotice::Send } else { PeerNotice::Skip };
        RecordedRejection { score, notice }
    }

    /// The rejection score after a peer reported a rejection by gossip.
    pub fn apply_gossip(self, score: DecayingScore, now: Millis) -> DecayingScore {
        DecayingScore { value: score.at(now, self.time_constant).max(GOSSIP_PENALTY), set_at: now }
    }

    /// The score of an executor for requests of a class, given its failures and its rejections of that class.
    pub fn current_score(self, failures: DecayingScore, rejections: DecayingScore, now: Millis) -> f64 {
        failures.at(now, self.time_constant) + rejections.at(now, self.time_constant)
    }
}

/// Score of a response time, given as a multiple of the mean. The logarithm tolerates the long tail of
/// ordinary running times.
pub(crate) fn slowness_penalty(relative_response_time: f64) -> f64 {
    SLOWNESS_WEIGHT * relative_response_time.ln().max(0.0)
}

/// How strongly a score counts for a class, 1 to 3: the shorter its slack, the sooner a slow executor makes
/// its requests late.
pub(crate) fn sensitivity(class: &RequestClass) -> f64 {
    let response_time = class.response_time.mean;
    let slack = (class.latency_objective + (class.terms.stretch - 1.0) * response_time) / response_time;
    (REFERENCE_SLACK / slack).clamp(1.0, REFERENCE_SLACK)
}

/// Weight of an executor with this score when executors are sampled, 0 to 1.
pub(crate) fn health_weight(score: f64, sensitivity: f64) -> f64 {
    (-score * sensitivity).exp()
}

#[cfg(test)]
#[path = "../../tests/unit/outlier.rs"]
mod tests;
