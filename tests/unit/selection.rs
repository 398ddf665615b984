//! Selection: ranks of candidates, and the next step after the choice of the shortest queue.
use super::*;
use crate::policy::rule_inputs::*;
use std::collections::BTreeSet;

fn report(queue_length: f64, free_slots: f64) -> LoadReport {
    LoadReport { queue_length: Some(queue_length), free_slots: Some(free_slots), ..LoadReport::default() }
}

/// Returns the rank of an executor with ten slots for a request of two slots.
fn rank(report: &LoadReport, is_cross_zone: bool) -> QueueRank {
    let load = CandidateLoad { report, free_slots: report.free_slots, total_slots: 10.0, is_cross_zone };
    QueueRank::new(&load, 2.0)
}

/// A request that needs more slots than are free would wait at the executor.
#[test]
fn missing_slots_count_as_queue_length() {
    for (queue_length, free_slots, expected) in [
        (0.0, 2.0, 0.0),
        (0.0, 1.0, 1.0),
        (0.0, -1.0, 3.0),
        (3.0, 2.0, 3.0),
        (0.4, 2.0, 0.0),
        (0.5, 2.0, 1.0),
    ] {
        let rank = rank(&report(queue_length, free_slots), false);
        assert_eq!(rank.queue_length, expected, "{queue_length} queued, {free_slots} free");
        assert_eq!(rank.has_queue(), expected > 0.0, "{queue_length} queued, {free_slots} free");
    }
}

/// An executor that reports no queue length must not always appear idle.
#[test]
fn requests_in_flight_replace_a_missing_queue_length() {
    let in_flight = LoadReport { in_flight: Some(4.0), ..LoadReport::default() };
    assert_eq!(rank(&in_flight, false).queue_length, 4.0);
    assert_eq!(rank(&LoadReport::default(), false).queue_length, 0.0);
}

/// Guards against a dispatch to another zone or a busier executor without need.
#[test]
fn ranks_are_ordered_by_queue_then_zone_then_free_slots() {
    let ordered = [
        rank(&report(0.0, 6.0), false),
        rank(&report(0.0, 5.0), false),
        rank(&report(0.0, 6.0), true),
        rank(&report(1.0, 6.0), false),
        QueueRank::WORST,
    ];
    assert!(ordered.windows(2).all(|pair| pair[0] < pair[1]), "{ordered:?}");
}

/// Guards against probes that cannot find a better candidate.
#[test]
fn a_candidate_without_a_queue_suffices_if_it_is_idle_or_probes_have_a_price() {
    let (free, queued) = (report(0.0, 2.0), report(0.0, 1.0));
    for (report, is_cross_zone, slots_in_flight, probe_price, expected) in [
        (free, false, 0.4, 0.0, true),
        (free, false, 0.5, 0.0, false),
        (free, false, 0.5, 0.001, true),
        (free, true, 0.0, 0.001, false),
        (queued, false, 0.0, 0.001, false),
    ] {
        let is_sufficient = rank(&report, is_cross_zone).is_sufficient(slots_in_flight, probe_price);
        assert_eq!(is_sufficient, expected, "{report:?}, {slots_in_flight} in flight, price {probe_price}");
    }
}

fn shortest(candidates: &[(u32, LoadReport)]) -> ShortestQueue {
    let ranked = |(number, report): &(u32, LoadReport)| RankedCandidate {
        executor: executor(*number),
        rank: rank(report, false),
    };
    shortest_queue(candidates.iter().map(ranked))
}

/// If one of several equal candidates were always chosen, it would receive all requests.
#[test]
fn the_shortest_queue_has_all_candidates_of_the_best_rank() {
    let (short, long) = (report(0.0, 4.0), report(2.0, 4.0));
    let executors_of = |candidates: &[(u32, LoadReport)]| shortest(candidates).executors;
    assert_eq!(executors_of(&[(1, long), (2, short), (3, long), (4, short)]), [2, 4].map(executor));
    assert_eq!(executors_of(&[(1, short), (2, report(0.0, 5.0))]), [executor(2)], "one more slot is free");
    assert!(executors_of(&[]).is_empty());
}

/// Guards against endless sampling, and against a dispatch into a queue.
#[test]
fn the_next_step_depends_on_queue_round_and_capacity() {
    let (short, long) = ([(1, report(0.0, 2.0))], [(1, report(0.0, 1.0))]);
    for (candidates, rounds, capacity, expected) in [
        (&short[..], 1, FleetCapacity::Available, NextStep::Dispatch),
        (&short[..], 2, FleetCapacity::Short, NextStep::Dispatch),
        (&long[..], 1, FleetCapacity::Available, NextStep::SampleAgain),
        (&long[..], 1, FleetCapacity::Short, NextStep::Enqueue),
        (&long[..], 2, FleetCapacity::Available, NextStep::Enqueue),
        (&[], 1, FleetCapacity::Short, NextStep::SampleAgain),
        (&[], 2, FleetCapacity::Short, NextStep::DispatchUnprobed),
    ] {
        let next = shortest(candidates).next_step(rounds, capacity);
        assert_eq!(next, expected, "{} replies, round {rounds}, {capacity:?}", candidates.len());
    }
}

/// Nodes with the same order of candidates must not all choose the same executor.
#[test]
fn equal_executors_are_chosen_at_random() {
    let (executors, mut random) = ([1, 2, 3].map(executor), random());
    let chosen: BTreeSet<_> = (0..100).map(|_| choose_any(&executors, &mut random)).collect();
    assert_eq!(chosen, executors.map(Some).into());
    assert_eq!(choose_any(&[], &mut random), None);
}

/// Without probes, requests must be spread by this node's own load and never be queued.
#[test]
fn an_assumed_report_ranks_by_slots_in_flight_and_shows_no_queue() {
    let ranks = [0.0, 1.0, 500.0].map(|slots_in_flight| rank(&assumed_report(slots_in_flight), false));
    assert!(ranks[0] < ranks[1] && ranks[1] < ranks[2]);
    assert!(ranks.iter().all(|rank| !rank.has_queue()));
}
