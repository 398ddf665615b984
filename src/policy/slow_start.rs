//! Slow start: the warm-up budget that limits the work an executor receives after its start, and this node's share
//! of that budget.
use crate::endpoint::Endpoint;
use crate::settings::{RuleSettings, Settings};
use crate::state::request_class::RequestClass;
use crate::time::Millis;
use crate::warm_state::WarmUpDispatch;

/// Part of the budget that nodes spend. The rest is a reserve for requests that run longer than the mean.
const USABLE_BUDGET_SHARE: f64 = 0.8;
/// Number of nodes that share one executor's budget, per request that fits in the budget of one slot when the
/// executor starts. Such a request is taken to run as long as the longest latency objective.
const NODES_PER_REQUEST: f64 = 1.5;
/// Upper bound on the number of nodes that share one executor's budget.
const MAX_ASSIGNED_NODES: f64 = 8.0;
/// Part of the node's share that this process may spend while another process of the node dispatches as well.
const SIBLING_SHARE: f64 = 0.5;
/// Exponent of the warm-up progress in the sampling weight in a large fleet.
const LARGE_FLEET_WEIGHT_EXPONENT: f64 = 0.5;

/// Whether another process of this node spends the same budgets, as during a hot restart.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum BudgetSharing {
    /// Another process runs, or has stopped less than one budget window ago.
    WithSibling,
    Exclusive,
}

/// What the remaining budget of one executor depends on.
pub(crate) struct BudgetInputs<'a> {
    pub endpoint: &'a Endpoint,
    /// Slots of the executor when it is warm.
    pub capacity_slots: f64,
    /// Dispatches of this node to the executor during slow start.
    pub spent: &'a [WarmUpDispatch],
    pub sharing: BudgetSharing,
}

/// The warm-up budgets of executors, in slot-milliseconds over a sliding window.
///
/// The budget of an executor is assigned to a few nodes, which are determined by the executor's token alone, so that
/// nodes agree without messages. A node without a number of its own takes an even share of every budget.
#[derive(Default)]
pub(crate) struct SlowStart {
    rules: RuleSettings,
    node: Option<u64>,
    nodes: f64,
    assigned_nodes: f64,
}

impl SlowStart {
    /// Creates the rule. `max_objective` is the longest latency objective of all request classes.
    pub fn new(settings: &Settings, nodes: f64, max_objective: Millis) -> Self {
        let rules = settings.rules.clone();
        let fitting = rules.budget_multiple * rules.initial_capacity * rules.budget_window / max_objective;
        let assigned_nodes = (NODES_PER_REQUEST * fitting).round().clamp(1.0, MAX_ASSIGNED_NODES).min(nodes);
        SlowStart { rules, node: settings.node.map(|node| node as u64), nodes, assigned_nodes }
    }

    /// Returns the time since which dispatches count against a budget.
    pub fn window_start(&self, now: Millis) -> Millis {
        now - self.rules.budget_window
    }

    /// Returns until when the dispatches of a process that stops now count against a budget.
    pub fn window_end(&self, now: Millis) -> Millis {
        now + self.rules.budget_window
    }

    /// Whether there are more nodes than may share one budget, so that a node rarely dispatches to a given
    /// executor. The fleet here is that of the nodes; the number of executors does not matter.
    pub fn is_large_fleet(&self) -> bool {
        self.nodes > MAX_ASSIGNED_NODES
    }

    /// Part of its capacity that an executor has at a time, 0 to 1, assuming the slowest ramp that the settings
    /// allow. An executor without a start time is warm.
    pub fn progress(&self, started_at: Option<Millis>, at: Millis) -> f64 {
        let RuleSettings { initial_capacity, ramp_duration, .. } = self.rules;
        match started_at {
            Some(start) if at < start + ramp_duration => {
                initial_capacity + (1.0 - initial_capacity) * ((at - start) / ramp_duration).max(0.0)
            }
            _ => 1.0,
        }
    }

    /// Factor by which a response time is scaled before outlier detection; 1 in a small fleet.
    ///
    /// In a large fleet, an executor that is penalized as an outlier during its warm-up would stay idle, because no
    /// node dispatches to it often enough to correct the score.
    pub fn response_time_scale(&self, started_at: Option<Millis>, sent_at: Millis) -> f64 {
        if self.is_large_fleet() { self.progress(started_at, sent_at) } else { 1.0 }
    }

    /// Sampling weight of an executor, 0 to 1.
    pub fn sampling_weight(&self, started_at: Option<Millis>, now: Millis) -> f64 {
        let exponent = if self.is_large_fleet() { LARGE_FLEET_WEIGHT_EXPONENT } else { 1.0 };
        self.progress(started_at, now).powf(exponent)
    }

    /// Whether a budget limits the dispatches to an executor in the current window.
    pub fn is_limited(&self, started_at: Option<Millis>, now: Millis) -> bool {
        self.progress(started_at, self.window_start(now)) < 1.0
    }

    /// Work that this node may still dispatch to an executor, in slot-milliseconds; infinite for a warm executor.
    pub fn remaining_budget(&self, inputs: &BudgetInputs<'_>, now: Millis) -> f64 {
        let RuleSettings { budget_window, budget_multiple, .. } = self.rules;
        let since = self.window_start(now);
        let progress = self.progress(inputs.endpoint.started_at, since);
        if progress >= 1.0 {
            return f64::INFINITY;
        }
        let budget = budget_multiple * progress * inputs.capacity_slots * budget_window;
        let part = match inputs.sharing {
            BudgetSharing::WithSibling => SIBLING_SHARE,
            BudgetSharing::Exclusive => 1.0,
        };
        let spent = inputs.spent.iter().filter(|dispatch| dispatch.at >= since);
        USABLE_BUDGET_SHARE * budget * part * self.share(inputs.endpoint.token)
            - spent.map(|dispatch| dispatch.work).sum::<f64>()
    }

    /// Whether an executor is in slow start and this node has more than an even share of its budget.
    pub fn is_assigned(&self, endpoint: &Endpoint, now: Millis) -> bool {
        self.progress(endpoint.started_at, now) < 1.0 && self.share(endpoint.token) * self.nodes > 1.0
    }

    /// Additional sampling weight of all assigned executors. The nodes to which a budget is assigned sample its
    /// executor on behalf of all the other nodes as well.
    pub fn assigned_weight(&self, assigned_executors: usize) -> f64 {
        assigned_executors as f64 * (self.nodes / self.assigned_nodes - 1.0)
    }

    /// This node's share of the budget of the executor with `token`, 0 to 1. The token selects a first node; this one
    /// and those with the next numbers share the budget evenly.
    fn share(&self, token: u64) -> f64 {
        let (nodes, assigned) = (self.nodes as u64, self.assigned_nodes as u64);
        let Some(node) = self.node else { return 1.0 / self.nodes };
        let position = (node % nodes + nodes - token % nodes) % nodes;
        if position < assigned { 1.0 / assigned as f64 } else { 0.0 }
    }
}

/// Budget that a request takes, in slot-milliseconds. Its running time is estimated by the mean of its class.
pub(crate) fn warm_up_cost(class: &RequestClass, slots: f64) -> f64 {
    slots * class.service_time.mean
}

#[cfg(test)]
#[path = "../../tests/unit/slow_start.rs"]
mod tests;
