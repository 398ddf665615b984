//! Rule 4: no executor in slow start receives more work within a sliding window than its warm-up budget.
use super::facts::Facts;
use super::observations::{Attempt, Observations};
use super::violation::{RuleViolation, ViolationKind};
use std::collections::BTreeMap;
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{ExecutorNumber, NodeNumber};

/// Relative tolerance for rounding when the work of a window is summed up.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The slow start of one executor, with the attempts that it received meanwhile.
struct SlowStart<'a> {
    facts: &'a Facts,
    observations: &'a Observations,
    executor: ExecutorNumber,
    started_at: Millis,
    /// In the order of arrival.
    attempts: Vec<&'a Attempt>,
}

/// The attempts within one window, and the budget at the arrival of the last of them.
struct Window<'a> {
    attempts: &'a [&'a Attempt],
    last: &'a Attempt,
    budget: Millis,
}

/// Checks every slow start. Returns the largest share of a budget that was used.
pub(super) fn check(facts: &Facts, observations: &Observations, violations: &mut Vec<RuleViolation>) -> f64 {
    let mut largest_share = 0.0f64;
    for (executor, attempts) in attempts_by_executor(observations) {
        let starts = observations.starts.get(&executor).map_or(&[][..], Vec::as_slice);
        for (index, &started_at) in starts.iter().enumerate() {
            if index == 0 && !facts.executors[executor as usize].slow_start {
                continue;
            }
            let next_start = starts.get(index + 1).copied().unwrap_or(f64::INFINITY);
            let end = next_start.min(started_at + facts.ramp_duration);
            let is_within = |attempt: &&&Attempt| (started_at..end).contains(&attempt.received_at);
            let attempts = attempts.iter().filter(is_within).copied().collect();
            let slow_start = SlowStart { facts, observations, executor, started_at, attempts };
            largest_share = largest_share.max(slow_start.check(violations));
        }
    }
    largest_share
}

fn attempts_by_executor(observations: &Observations) -> BTreeMap<ExecutorNumber, Vec<&Attempt>> {
    let mut by_executor: BTreeMap<ExecutorNumber, Vec<&Attempt>> = BTreeMap::new();
    for attempt in observations.attempts.values() {
        by_executor.entry(attempt.executor).or_default().push(attempt);
    }
    for attempts in by_executor.values_mut() {
        attempts.sort_by(|a, b| a.received_at.total_cmp(&b.received_at));
    }
    by_executor
}

impl SlowStart<'_> {
    /// Reports the first window that exceeds its budget. Returns the largest share of a budget up to there.
    fn check(&self, violations: &mut Vec<RuleViolation>) -> f64 {
        let mut largest_share = 0.0f64;
        let mut slot_time = 0.0;
        let mut first = 0;
        for (index, last) in self.attempts.iter().enumerate() {
            slot_time += last.slot_time();
            while self.attempts[first].received_at <= last.received_at - self.facts.budget_window {
                slot_time -= self.attempts[first].slot_time();
                first += 1;
            }
            let budget = self.budget_at(last.received_at);
            largest_share = largest_share.max(slot_time / budget);
            if slot_time > budget * (1.0 + ROUNDING_TOLERANCE) {
                let window = Window { attempts: &self.attempts[first..=index], last, budget };
                violations.push(self.violation(&window));
                break;
            }
        }
        largest_share
    }

    /// The slot time that the executor can receive within the window that ends at a time.
    fn budget_at(&self, at: Millis) -> Millis {
        let capacity = self.facts.capacity(self.executor, at - self.started_at);
        self.facts.budget_multiple * capacity * self.facts.budget_window
    }

    fn violation(&self, window: &Window) -> RuleViolation {
        let at = window.last.received_at;
        let description = format!(
            "{} stands {:.0} ms of work within {:.0} ms at {}, {:.0} ms after its start; {} sent it",
            self.facts.executor_name(self.executor),
            window.budget,
            self.facts.budget_window,
            self.facts.format_time(at),
            at - self.started_at,
            self.format_senders(window)
        );
        RuleViolation::new(ViolationKind::WarmUpBudgetExceeded, at, description)
    }

    /// The slot time of a window by the node that dispatched it.
    fn format_senders(&self, window: &Window) -> String {
        let mut by_node: BTreeMap<NodeNumber, Millis> = BTreeMap::new();
        for attempt in window.attempts {
            let client_attempt = self.observations.client_attempts.get(&attempt.request_id);
            let node = client_attempt.map_or(NodeNumber::MAX, |client_attempt| client_attempt.node);
            *by_node.entry(node).or_default() += attempt.slot_time();
        }
        let senders: Vec<String> =
            by_node.iter().map(|(node, slot_time)| format!("n{node} {slot_time:.0} ms")).collect();
        senders.join(", ")
    }
}
