//! Outlier detection: faults, slow responses and rejections raise an executor's score. The score decays over
//! time and lowers the executor's weight in sampling.
use crate::state::request_class::RequestClass;
use crate::time::Millis;
use crate::warm_state::DecayingScore;

/// Lower bound on the time constant of the scores' decay, in milliseconds; the count of outcomes decays with it.
const MIN_SCORE_DECAY: Millis = 4000.0;
/// Upper bound on the time constant of the scores' decay, in milliseconds.
const MAX_SCORE_DECAY: Millis = 30_000.0;
/// Time constant of the scores' decay, as a multiple of the mean interval between two attempts of this node at
/// one executor.
const DECAY_INTERVALS: f64 = 4.0;
/// Penalty of a slow attempt per unit of the natural logarithm of its relative response time.
const SLOWNESS_WEIGHT: f64 = 0.7;
/// Upper bound on the penalty of one fault.
const MAX_FAULT_PENALTY: f64 = 3.0;
/// Upper bound on the number of outcomes in a score, so that a busy executor does not accumulate a higher score
/// than an idle one.
const MAX_OBSERVATIONS: f64 = 12.0;
/// Rejection score after a peer reported a rejection by gossip. It is too low to exclude an executor.
const GOSSIP_PENALTY: f64 = 1.5;
/// Peers are notified of a rejection only if the rejection score was below this value before it.
const GOSSIP_THRESHOLD: f64 = GOSSIP_PENALTY / 2.0;
/// Slack, in mean response times, at and above which the sensitivity is 1. It is also the upper bound on the
/// sensitivity.
const REFERENCE_SLACK: f64 = 3.0;

/// Counts the recent outcomes of all executors, from which the interval between two attempts at one executor
/// follows.
#[derive(Default)]
pub(crate) struct OutlierDetection {
    recent_outcomes: DecayingScore,
}

impl OutlierDetection {
    /// Counts one attempt that ended.
    pub fn record_outcome(&mut self, now: Millis) {
        let outcomes = self.recent_outcomes.at(now, MIN_SCORE_DECAY) + 1.0;
        self.recent_outcomes = DecayingScore { value: outcomes, set_at: now };
    }

    /// Returns the current decay of scores, slow enough for a score to last until the next attempt at the same
    /// executor.
    pub fn score_decay(&self, now: Millis, ready_executors: usize) -> ScoreDecay {
        let outcomes = self.recent_outcomes.at(now, MIN_SCORE_DECAY);
        // The decayed count approximates the outcomes within one `MIN_SCORE_DECAY`. Without outcomes the interval
        // is infinite, and the upper bound applies.
        let attempt_interval = MIN_SCORE_DECAY * ready_executors.max(1) as f64 / outcomes;
        let time_constant = (DECAY_INTERVALS * attempt_interval).clamp(MIN_SCORE_DECAY, MAX_SCORE_DECAY);
        ScoreDecay { time_constant }
    }
}

/// The failure score of an executor, with the decaying number of outcomes that it consists of.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct FailureScore {
    pub score: DecayingScore,
    pub observations: DecayingScore,
}

/// A rejection score after another rejection.
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

/// The decay of scores at one point in time, and the penalties that outcomes add to them.
#[derive(Clone, Copy)]
pub(crate) struct ScoreDecay {
    time_constant: Millis,
}

impl ScoreDecay {
    /// Penalty of one fault. It grows with the time constant, so that a node which rarely dispatches to an
    /// executor still has some of the score left at its next attempt.
    pub fn fault_penalty(self) -> f64 {
        (self.time_constant / MIN_SCORE_DECAY).min(MAX_FAULT_PENALTY)
    }

    /// Adds the penalty of one outcome; 0 for a success.
    pub fn penalize(self, before: FailureScore, penalty: f64, now: Millis) -> FailureScore {
        let observations = before.observations.at(now, MIN_SCORE_DECAY) + 1.0;
        let retained = (MAX_OBSERVATIONS / observations).min(1.0);
        let score = (before.score.at(now, self.time_constant) + penalty) * retained;
        FailureScore {
            score: DecayingScore { value: score, set_at: now },
            observations: DecayingScore { value: observations * retained, set_at: now },
        }
    }

    /// Adds a rejection by an executor whose load report showed free capacity.
    pub fn add_rejection(self, score: DecayingScore, now: Millis) -> RecordedRejection {
        let before = score.at(now, self.time_constant);
        let score = DecayingScore { value: before + self.fault_penalty(), set_at: now };
        let notice = if before < GOSSIP_THRESHOLD { PeerNotice::Send } else { PeerNotice::Skip };
        RecordedRejection { score, notice }
    }

    /// Returns the rejection score after a peer reported a rejection by gossip.
    pub fn apply_gossip(self, score: DecayingScore, now: Millis) -> DecayingScore {
        DecayingScore { value: score.at(now, self.time_constant).max(GOSSIP_PENALTY), set_at: now }
    }

    /// Returns an executor's score for one class: its failure score plus its rejection score for that class.
    pub fn current_score(self, failures: DecayingScore, rejections: DecayingScore, now: Millis) -> f64 {
        failures.at(now, self.time_constant) + rejections.at(now, self.time_constant)
    }
}

/// Penalty of a response time, given as a multiple of the mean. The logarithm tolerates the long tail of normal
/// running times.
pub(crate) fn slowness_penalty(relative_response_time: f64) -> f64 {
    SLOWNESS_WEIGHT * relative_response_time.ln().max(0.0)
}

/// Factor by which a score counts for a class, 1 to 3. It is higher for a class with less slack, whose requests
/// a slow executor makes late sooner.
pub(crate) fn sensitivity(class: &RequestClass) -> f64 {
    let response_time = class.response_time.mean;
    let slack = (class.latency_objective + (class.terms.stretch - 1.0) * response_time) / response_time;
    (REFERENCE_SLACK / slack).clamp(1.0, REFERENCE_SLACK)
}

/// Sampling weight of an executor with this score, 0 to 1.
pub(crate) fn health_weight(score: f64, sensitivity: f64) -> f64 {
    (-score * sensitivity).exp()
}

#[cfg(test)]
#[path = "../../tests/unit/outlier.rs"]
mod tests;
