//! Rule 1: every request receives exactly one final response by its deadline, and no attempt is dispatched
//! after it. A result must have been produced by an executor.
use super::observations::{Answer, Disconnect};
use super::subject::Subject;
use super::violation::{RuleViolation, ViolationKind};
use troutknot_emulator::Millis;

/// A node that was killed up to this long before a request was sent may still have accepted its connection; in
/// milliseconds.
const KILL_BEFORE_SEND: Millis = 1000.0;
/// A client may notice the disconnect by a killed node up to this long before the kill is recorded; in milliseconds.
const KILL_AFTER_DISCONNECT: Millis = 100.0;

/// Checks one client attempt.
pub(super) fn check(subject: &Subject, violations: &mut Vec<RuleViolation>) {
    let client_attempt = subject.client_attempt;
    let deadline = client_attempt.sent_at + subject.class().deadline + subject.facts.slack;
    let outcome = (client_attempt.answer, client_attempt.abandoned_at, client_attempt.disconnect);
    let ended_at = match outcome {
        (Some(answer), ..) => {
            check_deadline(subject, answer, deadline, violations);
            check_result(subject, answer, violations);
            Some(answer.at)
        }
        (None, Some(abandoned_at), _) => Some(abandoned_at),
        (None, None, Some(disconnect)) => {
            check_disconnect(subject, disconnect, violations);
            None
        }
        (None, None, None) => {
            check_missing_answer(subject, deadline, violations);
            Some(deadline)
        }
    };
    if let Some(ended_at) = ended_at {
        check_no_dispatch_after(subject, ended_at, violations);
    }
}

fn check_deadline(subject: &Subject, answer: Answer, deadline: Millis, violations: &mut Vec<RuleViolation>) {
    let Answer { at, status, .. } = answer;
    if at > deadline {
        let time = subject.facts.format_time(at);
        let detail = format!("answered {status} at {time}, {:.0} ms late", at - deadline);
        violations.push(subject.violation(ViolationKind::LateResponse, at, &detail));
    }
}

fn check_result(subject: &Subject, answer: Answer, violations: &mut Vec<RuleViolation>) {
    if answer.status == 200 && !(answer.is_valid && was_produced(subject)) {
        let detail = "200 with a result that no executor made for it";
        violations.push(subject.violation(ViolationKind::InventedResult, answer.at, detail));
    }
}

/// Whether an executor produced a result for the attempt, or for any other attempt with its idempotency key.
fn was_produced(subject: &Subject) -> bool {
    let Subject { observations, client_attempt, .. } = *subject;
    if subject.attempts().any(|attempt| attempt.was_completed) {
        return true;
    }
    subject.class().has_idempotency_key
        && (observations.client_attempts.values())
            .filter(|other| other.request == client_attempt.request)
            .any(|other| observations.attempts_of(other).any(|attempt| attempt.was_completed))
}

fn check_disconnect(subject: &Subject, disconnect: Disconnect, violations: &mut Vec<RuleViolation>) {
    let Disconnect { at, was_reused } = disconnect;
    let client_attempt = subject.client_attempt;
    let killed_from = client_attempt.sent_at - KILL_BEFORE_SEND;
    let was_killed =
        subject.observations.was_killed(client_attempt.node, killed_from, at + KILL_AFTER_DISCONNECT);
    // A node may close an idle connection before it reads the next request.
    let was_unread = was_reused && client_attempt.attempts.is_empty();
    if was_killed || was_unread {
        return;
    }
    let time = subject.facts.format_time(at);
    let detail = format!("n{} ended its connection at {time} without an answer", client_attempt.node);
    violations.push(subject.violation(ViolationKind::ConnectionLost, at, &detail));
}

fn check_missing_answer(subject: &Subject, deadline: Millis, violations: &mut Vec<RuleViolation>) {
    let client_attempt = subject.client_attempt;
    let killed_from = client_attempt.sent_at - KILL_BEFORE_SEND;
    if subject.observations.was_killed(client_attempt.node, killed_from, deadline) {
        return;
    }
    let time = subject.facts.format_time(client_attempt.sent_at);
    let detail = format!("sent to n{} at {time}, no answer by its hard limit", client_attempt.node);
    violations.push(subject.violation(ViolationKind::NoResponse, deadline, &detail));
}

fn check_no_dispatch_after(subject: &Subject, ended_at: Millis, violations: &mut Vec<RuleViolation>) {
    let facts = subject.facts;
    for attempt in subject.attempts().filter(|attempt| attempt.first_byte_at > ended_at + facts.slack) {
        let detail = format!(
            "sent to {} at {}, though it was over at {}",
            facts.executor_name(attempt.executor),
            facts.format_time(attempt.first_byte_at),
            facts.format_time(ended_at)
        );
        violations.push(subject.violation(ViolationKind::DispatchedAfterEnd, attempt.first_byte_at, &detail));
    }
}
