//! Sampling: how many executors are sampled, and which ones.
use super::*;
use crate::event::Outcome;
use crate::policy::rule_inputs::*;
use std::collections::BTreeSet;

/// Guards against a node of a large fleet that probes on although no executor has capacity.
#[test]
fn capacity_is_short_if_requests_are_queued_or_replies_show_it_in_a_large_fleet() {
    for (queued, busy_ratio, is_large_fleet, expected) in [
        (0, None, true, FleetCapacity::Available),
        (1, None, false, FleetCapacity::Short),
        (0, Some(0.3), true, FleetCapacity::Available),
        (0, Some(0.31), true, FleetCapacity::Short),
        (0, Some(0.31), false, FleetCapacity::Available),
    ] {
        let capacity = FleetCapacity::observe(queued, busy_ratio, is_large_fleet);
        assert_eq!(
            capacity, expected,
            "{queued} queued, busy ratio {busy_ratio:?}, large fleet: {is_large_fleet}"
        );
    }
}

/// Guards against probes that cost capacity while it is short.
#[test]
fn one_executor_is_sampled_while_capacity_is_short() {
    let sizing = SampleSizing::new(0.0);
    assert_eq!(sizing.size_for(FleetCapacity::Available), 2);
    assert_eq!(sizing.size_for(FleetCapacity::Short), 1);
}

/// Guards against a recomputation for each request.
#[test]
fn the_sample_size_is_recomputed_once_per_second() {
    let mut sizing = SampleSizing::new(500.0);
    assert!(!sizing.is_due(1499.0) && sizing.is_due(1500.0));
    sizing.update(1500.0, 0.2, 0.0);
    assert!(!sizing.is_due(2499.0) && sizing.is_due(2500.0));
}

/// Guards against a sample size out of bounds, and against log entries without a change.
#[test]
fn the_sample_size_follows_load_and_cost_within_its_bounds() {
    let mut sizing = SampleSizing::new(0.0);
    let grown = LogEvent::SampleSizeChanged { from: 2, to: 3, busy_ratio: 0.2, probe_cost: 0.0 };
    assert_eq!(sizing.update(1000.0, 0.2, 0.0), Some(grown), "probes without a cost: the largest size");
    assert_eq!(sizing.update(2000.0, 0.2, 0.0), None, "no change");
    let shrunk = LogEvent::SampleSizeChanged { from: 3, to: 2, busy_ratio: 0.99, probe_cost: 0.6 };
    assert_eq!(sizing.update(3000.0, 0.99, 0.6), Some(shrunk), "no size is stable: the smallest one");
    assert_eq!(sizing.sample_size(), 2);
}

/// An earlier process of another release may hand over a size out of bounds.
#[test]
fn an_imported_sample_size_is_clamped() {
    let mut sizing = SampleSizing::new(0.0);
    for (imported, expected) in [(0, 2), (2, 2), (3, 3), (4, 3)] {
        sizing.import(imported);
        assert_eq!(sizing.sample_size(), expected, "{imported}");
    }
}

/// A second round must not probe the executors of the first again.
#[test]
fn candidates_of_the_first_round_are_avoided_in_the_second() {
    let mut request = request();
    request.attempts = vec![attempt(1, 0.0, Some(Outcome::Rejected))];
    request.candidates = vec![executor(2), executor(3)];
    for (rounds, expected) in [(0, vec![1]), (1, vec![1, 2, 3]), (2, vec![1])] {
        request.sampling_rounds = rounds;
        let expected: Vec<ExecutorId> = expected.into_iter().map(executor).collect();
        assert_eq!(avoided_executors(&request), expected, "after {rounds} rounds");
    }
}

fn weight_of(health: f64) -> SamplingWeight {
    SamplingWeight { warm_up: 1.0, health, is_cross_zone: false }
}

/// Samples 200 times from executors 0 to 3, of which 3 is assigned, and returns the different results.
fn sampled(
    avoided: &[ExecutorId],
    assigned_weight: f64,
    is_eligible: impl Fn(ExecutorId) -> bool,
    weight: impl Fn(ExecutorId) -> SamplingWeight,
) -> BTreeSet<Option<ExecutorId>> {
    let (ready, mut random) = ([0, 1, 2, 3].map(executor), random());
    let sampler = Sampler { ready: &ready, assigned: &ready[3..], assigned_weight };
    let sample = |_| sampler.sample_one(&mut random, avoided, &is_eligible, &weight);
    (0..200).map(sample).collect()
}

fn all_of(numbers: &[u32]) -> BTreeSet<Option<ExecutorId>> {
    numbers.iter().map(|&number| Some(executor(number))).collect()
}

/// Guards against a dispatch that the rules forbid, and against executors that are never sampled.
#[test]
fn eligible_executors_are_sampled_and_others_are_not() {
    let (healthy, all) = (|_| weight_of(1.0), |_| true);
    assert_eq!(sampled(&[], 0.0, all, healthy), all_of(&[0, 1, 2, 3]));
    assert_eq!(sampled(&[], 0.0, |id| id != executor(1), healthy), all_of(&[0, 2, 3]));
    assert_eq!(sampled(&[], 0.0, |_| false, healthy), BTreeSet::from([None]));
}

/// A retry must prefer another executor, but must not fail if there is none.
#[test]
fn an_avoided_executor_is_sampled_only_if_there_is_no_other() {
    let (healthy, avoided) = (|_| weight_of(1.0), [executor(1), executor(2)]);
    assert_eq!(sampled(&avoided, 0.0, |_| true, healthy), all_of(&[0, 3]));
    let only_avoided = |id| id == executor(1) || id == executor(2);
    assert_eq!(sampled(&avoided, 0.0, only_avoided, healthy), all_of(&[1, 2]));
}

/// A weight of 0 must not make a request wait if the executor is the only one.
#[test]
fn an_executor_without_weight_is_sampled_only_if_there_is_no_other() {
    let weight = |id| weight_of(if id == executor(0) { 0.0 } else { 1.0 });
    assert_eq!(sampled(&[], 0.0, |_| true, weight), all_of(&[1, 2, 3]));
    assert_eq!(sampled(&[], 0.0, |id| id == executor(0), weight), all_of(&[0]));
}

/// Without the weight, the budget that is assigned to this node would remain unused.
#[test]
fn an_assigned_executor_is_sampled_more_often_by_the_assigned_weight() {
    let (ready, mut random) = ([0, 1, 2, 3].map(executor), random());
    for (assigned_weight, expected) in [(0.0, 190..310), (4.0, 570..680)] {
        let sampler = Sampler { ready: &ready, assigned: &ready[3..], assigned_weight };
        let mut sample = || sampler.sample_one(&mut random, &[], |_| true, |_| weight_of(1.0));
        let count = (0..1000).filter(|_| sample() == Some(executor(3))).count();
        assert!(expected.contains(&count), "{count} of 1000 with weight {assigned_weight}");
    }
}

/// Guards against a panic by a random choice from an empty list.
#[test]
fn no_executor_is_sampled_from_none() {
    let sampler = Sampler { ready: &[], assigned: &[], assigned_weight: 0.0 };
    assert_eq!(sampler.sample_one(&mut random(), &[], |_| true, |_| weight_of(1.0)), None);
}

/// Guards against a draw without need, which shifts all later random numbers.
#[test]
fn a_weight_close_to_one_is_accepted_without_a_random_draw() {
    for (health, is_used) in [(1.0, false), (0.981, false), (0.98, true), (0.5, true)] {
        let (mut used, mut unused) = (random(), random());
        weight_of(health).accepts(&mut used);
        assert_eq!(used.random::<u64>() != unused.random::<u64>(), is_used, "weight {health}");
    }
}

/// Guards against a weight that ignores one of its factors.
#[test]
fn the_factors_of_a_weight_are_multiplied() {
    let mut random = random();
    for (warm_up, health, is_cross_zone, expected) in
        [(0.5, 1.0, false, 0.5), (0.5, 0.5, false, 0.25), (1.0, 1.0, true, 0.3)]
    {
        let weight = SamplingWeight { warm_up, health, is_cross_zone };
        let accepted = (0..4000).filter(|_| weight.accepts(&mut random)).count() as f64 / 4000.0;
        assert!((accepted - expected).abs() < 0.03, "{accepted}, expected {expected}");
    }
}
