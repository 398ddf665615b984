//! Rule 3: a node stops dispatching to an executor within a grace period after it learns that the executor drains,
//! is gone or was excluded by an operator. A node that an operator drained accepts no requests.
use super::facts::Facts;
use super::observations::{Attempt, ClientAttempt, Link, Observations};
use super::violation::{RuleViolation, ViolationKind};
use troutknot_emulator::Millis;

/// How long a node may accept requests after an operator drained it, in milliseconds.
const ACCEPT_GRACE: Millis = 2000.0;

/// An attempt, and the client attempt that it was dispatched for.
struct Dispatch<'a> {
    attempt: &'a Attempt,
    client_attempt: &'a ClientAttempt,
}

impl Dispatch<'_> {
    fn link(&self) -> Link {
        Link { node: self.client_attempt.node, executor: self.attempt.executor }
    }
}

/// Checks dispatches to executors that discovery no longer lists as ready. Returns the longest time between such a
/// change reaching a node and a later dispatch by this node, in milliseconds.
pub(super) fn check_draining_executors(
    facts: &Facts,
    observations: &Observations,
    violations: &mut Vec<RuleViolation>,
) -> Millis {
    let mut longest = 0.0f64;
    for dispatch in dispatches(observations) {
        let Dispatch { attempt, client_attempt } = dispatch;
        let at = attempt.first_byte_at;
        let readiness = observations.readiness.get(&dispatch.link());
        let Some(notified_at) = readiness.and_then(|readiness| readiness.holds_since(false, at)) else {
            continue;
        };
        longest = longest.max(at - notified_at);
        if at > notified_at + facts.drain_grace + facts.slack {
            let description = format!(
                "n{} sent {} to {} at {}, told at {} that it drains or is gone",
                client_attempt.node,
                attempt.request_id,
                facts.executor_name(attempt.executor),
                facts.format_time(at),
                facts.format_time(notified_at)
            );
            violations.push(RuleViolation::new(ViolationKind::DispatchedToDraining, at, description));
        }
    }
    longest
}

/// Checks dispatches against the exclusions and drains by operators.
pub(super) fn check_operator_calls(
    facts: &Facts,
    observations: &Observations,
    violations: &mut Vec<RuleViolation>,
) {
    for dispatch in dispatches(observations) {
        violations.extend(check_exclusion(facts, observations, &dispatch));
        violations.extend(check_drained_node(facts, observations, &dispatch));
    }
}

fn check_exclusion(facts: &Facts, observations: &Observations, dispatch: &Dispatch) -> Option<RuleViolation> {
    let Dispatch { attempt, client_attempt } = dispatch;
    let at = attempt.first_byte_at;
    let since = observations.exclusions.get(&dispatch.link())?.holds_since(true, at)?;
    if at <= since + facts.drain_grace + facts.slack {
        return None;
    }
    let description = format!(
        "n{} sent {} to {}, which is out by hand, at {}, told at {}",
        client_attempt.node,
        attempt.request_id,
        facts.executor_name(attempt.executor),
        facts.format_time(at),
        facts.format_time(since)
    );
    Some(RuleViolation::new(ViolationKind::DispatchedToExcluded, at, description))
}

fn check_drained_node(
    facts: &Facts,
    observations: &Observations,
    dispatch: &Dispatch,
) -> Option<RuleViolation> {
    let Dispatch { attempt, client_attempt } = dispatch;
    let drained = observations.drained.get(&client_attempt.node)?;
    let since = drained.holds_since(true, client_attempt.sent_at)?;
    if client_attempt.sent_at <= since + ACCEPT_GRACE {
        return None;
    }
    let description = format!(
        "n{}, which is drained, took {} and sent it at {}, told at {}",
        client_attempt.node,
        attempt.request_id,
        facts.format_time(attempt.first_byte_at),
        facts.format_time(since)
    );
    Some(RuleViolation::new(ViolationKind::AcceptedWhileDrained, attempt.first_byte_at, description))
}

/// All attempts whose request id a client sent.
fn dispatches(observations: &Observations) -> impl Iterator<Item = Dispatch<'_>> {
    observations.attempts.values().filter_map(|attempt| {
        let client_attempt = observations.client_attempts.get(&attempt.request_id)?;
        Some(Dispatch { attempt, client_attempt })
    })
}
