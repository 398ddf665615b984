//! Outlier detection: scores, their decay and the resulting weights.
use super::*;
use crate::policy::rule_inputs::*;
use crate::settings::Effect;

const NOW: Millis = 100_000.0;

fn decay(time_constant: Millis) -> ScoreDecay {
    ScoreDecay { time_constant }
}

fn score(value: f64) -> DecayingScore {
    DecayingScore { value, set_at: NOW }
}

/// Returns the time constant after this many outcomes at one point in time.
fn time_constant(outcomes: u32, ready_executors: usize) -> Millis {
    let mut detection = OutlierDetection::default();
    (0..outcomes).for_each(|_| detection.record_outcome(NOW));
    detection.score_decay(NOW, ready_executors).time_constant
}

/// With a constant decay, a node with rare attempts would forget a fault before its next attempt.
#[test]
fn scores_decay_more_slowly_with_rarer_attempts_at_an_executor() {
    // Four times the interval between two attempts at one executor, from 4 s to 30 s.
    for (outcomes, ready_executors, expected) in [
        (0, 1, MAX_SCORE_DECAY),
        (10, 10, 16_000.0),
        (40, 10, MIN_SCORE_DECAY),
        (41, 10, MIN_SCORE_DECAY),
        (10, 18, 28_800.0),
        (10, 19, MAX_SCORE_DECAY),
        (8, 0, MIN_SCORE_DECAY),
    ] {
        assert_close(time_constant(outcomes, ready_executors), expected);
    }
}

/// Guards against a penalty that has decayed before the next attempt, and against an unbounded one.
#[test]
fn the_penalty_of_a_fault_grows_with_the_time_constant_up_to_three() {
    for (time_constant, expected) in [(4000.0, 1.0), (11_000.0, 2.75), (12_000.0, 3.0), (30_000.0, 3.0)] {
        assert_close(decay(time_constant).fault_penalty(), expected);
    }
}

/// Guards against a score that keeps old penalties without decay.
#[test]
fn a_penalty_is_added_to_the_decayed_score() {
    let before = FailureScore { score: score(2.0), observations: score(1.0) };
    let after = decay(8000.0).penalize(before, 1.0, NOW);
    assert_eq!((after.score, after.observations), (score(3.0), score(2.0)));
    let later = decay(8000.0).penalize(before, 1.0, NOW + 8000.0);
    assert_close(later.score.value, 2.0 * (-1.0_f64).exp() + 1.0);
    assert_close(later.observations.value, (-2.0_f64).exp() + 1.0);
}

/// Without the bound, an executor with many requests would have a higher score than one with few.
#[test]
fn a_score_consists_of_at_most_twelve_outcomes() {
    for (observations, retained) in [(10.0, 1.0), (11.0, 1.0), (12.0, 12.0 / 13.0)] {
        let before = FailureScore { score: score(2.0), observations: score(observations) };
        let after = decay(4000.0).penalize(before, 0.0, NOW);
        assert_close(after.score.value, 2.0 * retained);
        assert_close(after.observations.value, (observations + 1.0_f64).min(12.0));
    }
}

/// Guards against a gossip message for each of many rejections.
#[test]
fn peers_are_notified_of_a_rejection_only_while_the_score_is_low() {
    for (before, notice) in
        [(0.0, PeerNotice::Send), (0.74, PeerNotice::Send), (0.75, PeerNotice::Skip), (3.0, PeerNotice::Skip)]
    {
        let recorded = decay(8000.0).add_rejection(score(before), NOW);
        assert_eq!(recorded, RecordedRejection { score: score(before + 2.0), notice }, "{before}");
    }
}

/// Repeated gossip must not exclude an executor.
#[test]
fn gossip_raises_a_score_up_to_the_gossip_penalty() {
    for (before, expected) in [(0.0, 1.5), (1.4, 1.5), (1.6, 1.6)] {
        assert_eq!(decay(4000.0).apply_gossip(score(before), NOW), score(expected));
    }
}

/// Guards against a score that ignores one of its parts, or does not decay.
#[test]
fn failure_and_rejection_scores_are_added() {
    assert_close(decay(4000.0).current_score(score(1.0), score(0.5), NOW), 1.5);
    assert_close(decay(4000.0).current_score(score(1.0), score(0.0), NOW + 4000.0), (-1.0_f64).exp());
}

/// A fast response must not change the score.
#[test]
fn only_response_times_above_the_mean_are_penalized() {
    for (relative, expected) in [(0.5, 0.0), (1.0, 0.0), (1.0_f64.exp(), 0.7), (2.0_f64.exp(), 1.4)] {
        assert_close(slowness_penalty(relative), expected);
    }
}

/// A slow executor makes requests with little slack late first.
#[test]
fn a_class_with_less_slack_is_more_sensitive() {
    let mut class = class(Effect::Idempotent);
    for (objective_in_running_times, expected) in [(3.0, 1.0), (2.0, 1.5), (1.0, 3.0), (0.5, 3.0)] {
        class.response_time.mean = LATENCY_OBJECTIVE / objective_in_running_times;
        assert_close(sensitivity(&class), expected);
    }
}

/// An executor without a score must have the full weight for any class.
#[test]
fn the_weight_falls_with_score_and_sensitivity() {
    assert_eq!(health_weight(0.0, 3.0), 1.0);
    assert_close(health_weight(1.0, 1.0), (-1.0_f64).exp());
    assert_close(health_weight(1.0, 2.0), (-2.0_f64).exp());
}
