//! Slow start: the work that an executor may receive after its start, and this node's share of that budget.
use crate::endpoint::Endpoint;
use crate::settings::{RuleSettings, Settings};
use crate::state::request_class::RequestClass;
use crate::time::Millis;
use crate::warm_state::WarmUpDispatch;

/// Part of the budget that this node plans to spend; requests longer than the mean running time use the rest.
const USABLE_BUDGET_SHARE: f64 = 0.8;
/// Nodes that share one executor's budget, for each request as long as the longest latency objective that
/// fits in the budget of one slot at its start.
const NODES_PER_REQUEST: f64 = 1.5;
/// Upper bound on the nodes that share one executor's budget.
const MAX_ASSIGNED_NODES: f64 = 8.0;
/// This process's part of the node's share while another process of the node dispatches as well.
const SIBLING_SHARE: f64 = 0.5;
/// Power of the warm-up progress that weights a sample in a large fleet.
const LARGE_FLEET_WEIGHT_EXPONENT: f64 = 0.5;

/// Whether another process of this node shares its budgets, as during a hot restart. The daemon has a type of
/// the same name, which is the connection to that process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum SiblingProcess {
    /// It runs, or has stopped less than one window ago.
    Running,
    Absent,
}

/// An executor, as far as its budget depends on it.
pub(crate) struct WarmUp<'a> {
    pub endpoint: &'a Endpoint,
    /// Slots of the executor when it is warm.
    pub capacity_slots: f64,
    /// What this node dispatched to it in slow start.
    pub spent: &'a [WarmUpDispatch],
    pub sibling: SiblingProcess,
}

/// The budgets of executors in slow start, in slot-milliseconds over a sliding window.
///
/// An executor's budget is assigned to a few nodes, which follow from the executor's token alone. A node that
/// does not know its own number takes an even share of every budget.
#[derive(Default)]
pub(crate) struct SlowStart {
    rules: RuleSettings,
    node: Option<u64>,
    nodes: f64,
    assigned_nodes: f64,
}

impl SlowStart {
    /// `max_objective` is the longest latency objective of all request classes.
    pub fn new(settings: &Settings, nodes: f64, max_objective: Millis) -> Self {
        let rules = settings.rules.clone();
        let fitting = rules.budget_multiple * rules.initial_capacity * rules.budget_window / max_objective;
        let assigned_nodes = (NODES_PER_REQUEST * fitting).round().clamp(1.0, MAX_ASSIGNED_NODES).min(nodes);
        SlowStart { rules, node: settings.node.map(|node| node as u64), nodes, assigned_nodes }
    }

    /// Dispatches since this time count against a budget.
    pub fn window_start(&self, now: Millis) -> Millis {
        now - self.rules.budget_window
    }

    /// Until when the dispatches of a process that stops now count against a budget.
    pub fn window_end(&self, now: Millis) -> Millis {
        now + self.rules.budget_window
    }

    /// Whether there are more nodes than may share one budget, so that a node rarely meets an executor. The
    /// fleet meant here is that of the nodes, whatever the number of executors.
    pub fn is_large_fleet(&self) -> bool {
        self.nodes > MAX_ASSIGNED_NODES
    }

    /// Part of its capacity that an executor has at a time, 0 to 1, if its ramp is the slowest allowed. An
    /// executor without a start time is warm.
    pub fn progress(&self, started_at: Option<Millis>, at: Millis) -> f64 {
        let RuleSettings { initial_capacity, ramp_duration, .. } = self.rules;
        match started_at {
            Some(start) if at < start + ramp_duration => {
                initial_capacity + (1.0 - initial_capacity) * ((at - start) / ramp_duration).max(0.0)
            }
            _ => 1.0,
        }
    }

    /// The progress by which a response time is scaled before it counts as slow; 1 in a small fleet.
    ///
    /// In a large fleet, a fresh executor that is scored as an outlier would stay idle: no node meets it
    /// often enough to correct the score.
    pub fn response_time_scale(&self, started_at: Option<Millis>, sent_at: Millis) -> f64 {
        if self.is_large_fleet() { self.progress(started_at, sent_at) } else { 1.0 }
    }

    /// Weight of an executor when it is sampled, 0 to 1.
    pub fn sampling_weight(&self, started_at: Option<Millis>, now: Millis) -> f64 {
        let exponent = if self.is_large_fleet() { LARGE_FLEET_WEIGHT_EXPONENT } else { 1.0 };
        self.progress(started_at, now).powf(exponent)
    }

    /// Whether the dispatches of the current window to an executor are limited by a budget.
    pub fn is_limited(&self, started_at: Option<Millis>, now: Millis) -> bool {
        self.progress(started_at, self.window_start(now)) < 1.0
    }

    /// What this node may still dispatch to an executor, in slot-milliseconds; infinite for a warm one.
    pub fn remaining_budget(&self, warm_up: &WarmUp<'_>, now: Millis) -> f64 {
        let RuleSettings { budget_window, budget_multiple, .. } = self.rules;
        let since = self.window_start(now);
        let progress = self.progress(warm_up.endpoint.started_at, since);
        if progress >= 1.0 {
            return f64::INFINITY;
        }
        let budget = budget_multiple * progress * warm_up.capacity_slots * budget_window;
        let part = match warm_up.sibling {
            SiblingProcess::Running => SIBLING_SHARE,
            SiblingProcess::Absent => 1.0,
        };
        let spent = warm_up.spent.iter().filter(|dispatch| dispatch.at >= since);
        USABLE_BUDGET_SHARE * budget * part * self.share(warm_up.endpoint.token)
            - spent.map(|dispatch| dispatch.work).sum::<f64>()
    }

    /// Whether an executor is in slow start and more than an even share of its budget is this node's.
    pub fn is_assigned(&self, endpoint: &Endpoint, now: Millis) -> bool {
        self.progress(endpoint.started_at, now) < 1.0 && self.share(endpoint.token) * self.nodes > 1.0
    }

    /// Sampling weight of the assigned executors beyond that of other executors: the nodes to which a budget
    /// is assigned sample its executor in place of all the other nodes as well.
    pub fn assigned_weight(&self, assigned_executors: usize) -> f64 {
        assigned_executors as f64 * (self.nodes / self.assigned_nodes - 1.0)
    }

    /// This node's share of the budget of the executor with this token, 0 to 1.
    fn share(&self, token: u64) -> f64 {
        let (nodes, assigned) = (self.nodes as u64, self.assigned_nodes as u64);
        let Some(node) = self.node else { return 1.0 / self.nodes };
        let position = (node % nodes + nodes - token % nodes) % nodes;
        if position < assigned { 1.0 / assigned as f64 } else { 0.0 }
    }
}

/// Budget that a request takes, in slot-milliseconds: only the mean running time of its class is known.
pub(crate) fn warm_up_cost(class: &RequestClass, slots: f64) -> f64 {
    slots * class.service_time.mean
}

#[cfg(test)]
#[path = "../../tests/unit/slow_start.rs"]
mod tests;
