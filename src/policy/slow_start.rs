//! Slow start: the budget of an executor that has just started, and this node's part of it.
use crate::dispatcher::Dispatcher;
use crate::ids::ExecutorId;
use crate::settings::{RuleSettings, Settings};
use crate::state::request::Request;
use crate::time::Millis;
use crate::warm_state::WarmUpDispatch;

/// Part of the budget that is used, as only mean running times are known.
const BUDGET_HEADROOM: f64 = 0.8;
/// A budget is assigned to so many nodes for each longest objective that a slot's part at the start holds.
const NODES_PER_REQUEST: f64 = 1.5;
/// At most to so many; where there are more nodes, a node alone sees little of an executor.
pub(crate) const MAX_ASSIGNED_NODES: f64 = 8.0;
/// Two processes of a node dispatch at once: each to this part of the node's budget.
const SIBLING_SHARE: f64 = 0.5;

/// The figures of the rule that no executor is pushed over while it starts.
#[derive(Default)]
pub(crate) struct SlowStart {
    pub rules: RuleSettings,
    /// This node's number, if it is told.
    node: Option<u64>,
    /// To how many nodes a budget is assigned.
    pub assigned_nodes: f64,
}

impl SlowStart {
    /// `longest_objective` is that of the classes.
    pub fn new(settings: &Settings, nodes: f64, longest_objective: Millis) -> Self {
        let rules = settings.rules.clone();
        let fitting =
            rules.budget_multiple * rules.initial_capacity * rules.budget_window / longest_objective;
        let assigned_nodes = (NODES_PER_REQUEST * fitting).round().clamp(1.0, MAX_ASSIGNED_NODES).min(nodes);
        SlowStart { rules, node: settings.node.map(|node| node as u64), assigned_nodes }
    }

    /// 1 for a warm executor, less while it may still be in slow start; the slowest ramp is assumed.
    fn progress(&self, started_at: Option<Millis>, at: Millis) -> f64 {
        let RuleSettings { initial_capacity, ramp_duration, .. } = self.rules;
        match started_at {
            Some(start) if at < start + ramp_duration => {
                initial_capacity + (1.0 - initial_capacity) * ((at - start) / ramp_duration).max(0.0)
            }
            _ => 1.0,
        }
    }
}

impl Dispatcher {
    /// How far the slow start of an executor was at a time: 1 when it was warm.
    pub(crate) fn warm_up_progress(&self, executor: ExecutorId, at: Millis) -> f64 {
        self.slow_start.progress(self.executors.state(executor).endpoint.started_at, at)
    }

    /// This node's part of an executor's budget, assigned to few nodes that follow from the executor alone.
    pub(crate) fn warm_up_share(&self, executor: ExecutorId) -> f64 {
        let (nodes, assigned) = (self.nodes as u64, self.slow_start.assigned_nodes as u64);
        let Some(node) = self.slow_start.node else { return 1.0 / self.nodes };
        let token = self.executors.state(executor).endpoint.token;
        let place = (node % nodes + nodes - token % nodes) % nodes;
        if place < assigned { 1.0 / assigned as f64 } else { 0.0 }
    }

    /// What this node has left of an executor's budget, in slot-milliseconds.
    pub(crate) fn remaining_warm_up_budget(&self, executor: ExecutorId, now: Millis) -> f64 {
        let RuleSettings { budget_window, budget_multiple, .. } = self.slow_start.rules;
        let progress = self.warm_up_progress(executor, now - budget_window);
        if progress >= 1.0 {
            return f64::INFINITY;
        }
        let budget = budget_multiple * progress * self.executors.capacity(executor) * budget_window;
        let part = if now < self.sibling_until { SIBLING_SHARE } else { 1.0 };
        let spent = self.executors.state(executor).warm_up_spent_since(now - budget_window);
        BUDGET_HEADROOM * budget * part * self.warm_up_share(executor)
            - spent.map(|dispatch| dispatch.work).sum::<f64>()
    }

    /// What a request takes of a budget.
    pub(crate) fn warm_up_cost(&self, request: &Request) -> f64 {
        request.slots * self.classes[request.class].service_time.mean
    }

    /// Records what a dispatch takes of the budget of an executor in slow start.
    pub(crate) fn spend_warm_up_budget(&mut self, now: Millis, executor: ExecutorId, cost: f64) {
        let since = now - self.slow_start.rules.budget_window;
        if self.warm_up_progress(executor, since) >= 1.0 {
            return;
        }
        let Some(state) = self.executors.state_mut(executor) else { return };
        state.warm_up_spent.retain(|spent| spent.at >= since);
        state.warm_up_spent.push(WarmUpDispatch { at: now, work: cost });
    }

    /// Works out anew of whose budgets this node holds more than an even part.
    pub(crate) fn update_assigned(&mut self, now: Millis) {
        let is_assigned = |executor: &ExecutorId| {
            self.warm_up_progress(*executor, now) < 1.0 && self.warm_up_share(*executor) * self.nodes > 1.0
        };
        self.executors.assigned = self.executors.ready.iter().copied().filter(is_assigned).collect();
    }
}
