//! Slow start: budgets, shares and weights at their boundary values.
use super::*;
use crate::policy::rule_inputs::*;
use crate::settings::Effect;

const START: Millis = 50_000.0;
const SLOTS: f64 = 4.0;
/// 0.8 of four times the work of 4 slots at a quarter of their capacity over 1000 ms, in slot-milliseconds.
const BUDGET: f64 = 3200.0;

fn rule(nodes: f64, node: Option<f64>) -> SlowStart {
    SlowStart::new(&slow_start_settings(nodes, node), nodes, LATENCY_OBJECTIVE)
}

fn warming_up(token: u64) -> Endpoint {
    Endpoint { token, started_at: Some(START), ..endpoint(0) }
}

fn remaining(rule: &SlowStart, now: Millis, spent: &[WarmUpDispatch], sharing: BudgetSharing) -> f64 {
    let endpoint = warming_up(0);
    rule.remaining_budget(&BudgetInputs { endpoint: &endpoint, capacity_slots: SLOTS, spent, sharing }, now)
}

/// Guards against a dispatch that counts for too short or too long.
#[test]
fn a_dispatch_counts_against_the_budget_until_its_window_is_over() {
    let rule = rule(1.0, None);
    let now = START + 500.0;
    for (age, expected) in [(0.0, BUDGET - 70.0), (1000.0, BUDGET - 70.0), (1001.0, BUDGET)] {
        let spent = [WarmUpDispatch { at: now - age, work: 70.0 }];
        assert_close(remaining(&rule, now, &spent, BudgetSharing::Exclusive), expected);
    }
}

/// An executor that is warm must not be limited, and one without a start time is warm.
#[test]
fn a_budget_limits_an_executor_until_its_window_begins_after_the_ramp() {
    let rule = rule(1.0, None);
    for (after_start, is_limited) in [(0.0, true), (10_999.0, true), (11_000.0, false)] {
        let now = START + after_start;
        assert_eq!(rule.is_limited(Some(START), now), is_limited, "{after_start} ms after its start");
        let remaining_budget = remaining(&rule, now, &[], BudgetSharing::Exclusive);
        assert_eq!(remaining_budget.is_finite(), is_limited, "{after_start} ms after its start");
    }
    assert!(!rule.is_limited(None, START), "an executor without a start is warm");
}

/// Two processes of one node must not spend its share twice.
#[test]
fn two_processes_of_a_node_get_half_a_budget_each() {
    assert_close(remaining(&rule(1.0, None), START, &[], BudgetSharing::WithSibling), BUDGET / 2.0);
}

/// Shares that add up to more would overload the executor; to less, leave it idle.
#[test]
fn the_shares_of_all_nodes_add_up_to_one_budget() {
    // Ten requests of the longest objective fit in the budget of one slot. 1.5 nodes per request are 15, and at most
    // eight are assigned.
    for (nodes, assigned) in [(4, 4), (8, 8), (20, 8)] {
        let rules = (0..nodes).map(|node| rule(f64::from(nodes), Some(f64::from(node))));
        let budgets: Vec<f64> =
            rules.map(|rule| remaining(&rule, START, &[], BudgetSharing::Exclusive)).collect();
        assert_eq!(budgets.iter().filter(|&&budget| budget > 0.0).count(), assigned, "{nodes} nodes");
        assert_close(budgets.iter().sum(), BUDGET);
    }
    let without_number = remaining(&rule(20.0, None), START, &[], BudgetSharing::Exclusive);
    assert_close(without_number, BUDGET / 20.0);
}

/// All nodes must agree on the assignment without messages.
#[test]
fn the_nodes_that_follow_the_token_are_assigned() {
    let assigned = |token| rule(20.0, Some(10.0)).is_assigned(&warming_up(token), START);
    for (token, expected) in [(2, false), (3, true), (10, true), (11, false), (30, true)] {
        assert_eq!(assigned(token), expected, "token {token}");
    }
    let rule = rule(20.0, Some(10.0));
    assert!(rule.is_assigned(&warming_up(10), START + 9999.0));
    assert!(!rule.is_assigned(&warming_up(10), START + 10_000.0), "the executor is warm");
    assert_close(rule.assigned_weight(2), 2.0 * (20.0 / 8.0 - 1.0));
}

/// Guards against a budget before the start of an executor, or after its ramp, that is out of bounds.
#[test]
fn progress_rises_from_the_initial_capacity_to_one() {
    let rule = rule(1.0, None);
    for (at, expected) in [(START - 1.0, 0.25), (START, 0.25), (START + 5000.0, 0.625)] {
        assert_close(rule.progress(Some(START), at), expected);
    }
    assert!(rule.progress(Some(START), START + 9999.0) < 1.0);
    assert_eq!(rule.progress(Some(START), START + 10_000.0), 1.0);
    assert_eq!(rule.progress(None, START), 1.0);
}

/// Guards against an exponent or a scale at the wrong fleet size.
#[test]
fn a_fleet_of_more_than_eight_nodes_is_large() {
    for (nodes, is_large, weight, scale) in [(8.0, false, 0.25, 1.0), (9.0, true, 0.5, 0.25)] {
        let rule = rule(nodes, None);
        assert_eq!(rule.is_large_fleet(), is_large, "{nodes} nodes");
        assert_close(rule.sampling_weight(Some(START), START), weight);
        assert_close(rule.response_time_scale(Some(START), START), scale);
    }
}

/// Guards against a cost that ignores the slots of a request.
#[test]
fn a_request_costs_its_slots_for_the_mean_running_time() {
    assert_close(warm_up_cost(&class(Effect::Idempotent), 3.0), 3.0 * LATENCY_OBJECTIVE);
}
