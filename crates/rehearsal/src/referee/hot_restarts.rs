//! Rule 1 during hot restarts: clients notice no interruption while a new process of a node takes over from the old
//! one.
use super::facts::Facts;
use super::observations::{ClientAttempt, HotRestart, Observations};
use super::violation::{RuleViolation, ViolationKind};
use troutknot_emulator::Millis;

/// How long after its end a hot restart may still affect clients, in milliseconds.
const SETTLE_TIME: Millis = 300.0;
/// Maximum number of requests that may be disconnected unread or refused during one hot restart.
const MAX_INTERRUPTED_REQUESTS: usize = 2;

/// Checks all hot restarts.
pub(super) fn check(facts: &Facts, observations: &Observations, violations: &mut Vec<RuleViolation>) {
    for restart in &observations.hot_restarts {
        let disconnected = (observations.client_attempts.values())
            .filter(|client_attempt| is_disconnected_unread(restart, client_attempt))
            .count();
        // If a node is drained, there may be no other node to connect to.
        let refused = (observations.connect_failures.iter())
            .filter(|at| is_affected(restart, **at) && !observations.is_any_node_drained(**at))
            .count();
        if disconnected + refused > MAX_INTERRUPTED_REQUESTS {
            let description = format!(
                "{disconnected} requests to n{} were cut unread and {refused} found no way in while it was \
                 upgraded from {} to {}",
                restart.node,
                facts.format_time(restart.began_at),
                facts.format_time(restart.ended_at)
            );
            let kind = ViolationKind::HotRestartInterruption;
            violations.push(RuleViolation::new(kind, restart.began_at, description));
        }
    }
}

fn is_affected(restart: &HotRestart, at: Millis) -> bool {
    (restart.began_at..=restart.ended_at + SETTLE_TIME).contains(&at)
}

fn is_disconnected_unread(restart: &HotRestart, client_attempt: &ClientAttempt) -> bool {
    client_attempt.node == restart.node
        && client_attempt.attempts.is_empty()
        && client_attempt.answer.is_none()
        && client_attempt.disconnect.is_some_and(|disconnect| is_affected(restart, disconnect.at))
}
