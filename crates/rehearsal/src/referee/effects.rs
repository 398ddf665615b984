//! Rule 2: a request has one attempt in flight at a time and a limited number of them. A request that may have
//! run is retried or rejected only if its class is safe to repeat.
use super::facts::Facts;
use super::observations::{Answer, Attempt, Observations};
use super::subject::Subject;
use super::violation::{RuleViolation, ViolationKind};
use crate::scenario::{DeduplicationScope, Effect};
use std::collections::{BTreeMap, BTreeSet};
use troutknot_emulator::Millis;

/// How long a node may take to apply new settings, in milliseconds.
const SETTINGS_APPLY_TIMEOUT: Millis = 1200.0;

/// Checks the attempts of one client attempt.
pub(super) fn check(subject: &Subject, violations: &mut Vec<RuleViolation>) {
    let attempts: Vec<&Attempt> = subject.attempts().collect();
    check_attempt_limit(subject, &attempts, violations);
    for (index, later) in attempts.iter().enumerate() {
        for earlier in &attempts[..index] {
            check_concurrency(subject, earlier, later, violations);
            check_retry(subject, earlier, later, violations);
        }
    }
    if let Some(answer) = subject.client_attempt.answer.filter(Answer::is_rejection) {
        check_rejection(subject, answer, violations);
    }
}

/// Checks the number of attempts. While new settings are being applied, the larger of both limits holds.
fn check_attempt_limit(subject: &Subject, attempts: &[&Attempt], violations: &mut Vec<RuleViolation>) {
    let limit_at = |at| {
        let changed = subject.observations.max_attempts.at(at);
        changed.map_or(subject.facts.max_attempts, |limit| limit.value)
    };
    let sent_at = subject.client_attempt.sent_at;
    let max_attempts = limit_at(sent_at).max(limit_at(sent_at - SETTINGS_APPLY_TIMEOUT));
    if let Some(excess) = attempts.get(max_attempts) {
        let detail = format!("{} allocations", attempts.len());
        violations.push(subject.violation(ViolationKind::TooManyAttempts, excess.received_at, &detail));
    }
}

fn check_concurrency(
    subject: &Subject,
    earlier: &Attempt,
    later: &Attempt,
    violations: &mut Vec<RuleViolation>,
) {
    let latest_end = later.received_at + subject.facts.slack;
    if earlier.ended_at.is_none_or(|ended_at| ended_at > latest_end) {
        let pair = format_pair(subject.facts, earlier, later);
        let detail = format!("allocated {pair}, which was still out");
        violations.push(subject.violation(ViolationKind::ConcurrentAttempts, later.received_at, &detail));
    }
}

fn check_retry(subject: &Subject, earlier: &Attempt, later: &Attempt, violations: &mut Vec<RuleViolation>) {
    let latest_notice = later.received_at + subject.facts.slack;
    let was_unexecuted = earlier.unexecuted_since.is_some_and(|since| since <= latest_notice);
    if was_unexecuted || is_retry_safe(subject, earlier, later) {
        return;
    }
    let prefix = if earlier.was_started && later.was_started { "ran twice, " } else { "" };
    let pair = format_pair(subject.facts, earlier, later);
    let detail = format!("{prefix}allocated {pair}, which may have run");
    violations.push(subject.violation(ViolationKind::UnsafeRetry, later.received_at, &detail));
}

/// Whether the later attempt does no harm if the earlier one has run.
fn is_retry_safe(subject: &Subject, earlier: &Attempt, later: &Attempt) -> bool {
    let class = subject.class();
    match class.effect {
        Effect::Idempotent => true,
        Effect::AtMostOnce => false,
        Effect::Deduplicated => {
            let scope = class.deduplication_scope;
            subject.facts.has_shared_deduplication(scope, earlier.executor, later.executor)
                && later.received_at <= earlier.received_at + class.deduplication_window
        }
    }
}

/// A rejection invites the client to send the request again, to any executor.
fn check_rejection(subject: &Subject, answer: Answer, violations: &mut Vec<RuleViolation>) {
    let Subject { facts, .. } = *subject;
    let class = subject.class();
    let is_repeatable_anywhere = match class.effect {
        Effect::Idempotent => true,
        Effect::Deduplicated => class.deduplication_scope == DeduplicationScope::All,
        Effect::AtMostOnce => false,
    };
    if is_repeatable_anywhere {
        return;
    }
    let Answer { at, status, .. } = answer;
    let latest = at + facts.slack;
    // Attempts after the response violate another rule.
    let may_have_run = |attempt: &&Attempt| {
        attempt.received_at <= latest && attempt.unexecuted_since.is_none_or(|since| since > latest)
    };
    if let Some(attempt) = subject.attempts().find(may_have_run) {
        let executor = facts.executor_name(attempt.executor);
        let time = facts.format_time(at);
        let detail = format!("answered {status} at {time}, though {executor} may have run it");
        violations.push(subject.violation(ViolationKind::RejectedMayHaveRun, at, &detail));
    }
}

/// Checks that no at-most-once request ran under more than one request id.
pub(super) fn check_across_client_attempts(
    facts: &Facts,
    observations: &Observations,
    violations: &mut Vec<RuleViolation>,
) {
    let mut started: BTreeMap<usize, Vec<&Attempt>> = BTreeMap::new();
    for client_attempt in observations.client_attempts.values() {
        if facts.class_of(client_attempt).effect == Effect::AtMostOnce {
            let attempts = observations.attempts_of(client_attempt);
            let of_request = started.entry(client_attempt.request).or_default();
            of_request.extend(attempts.filter(|attempt| attempt.was_started));
        }
    }
    for (request, attempts) in started {
        let ids: BTreeSet<&str> = attempts.iter().map(|attempt| &*attempt.request_id).collect();
        if ids.len() > 1 {
            let at = attempts.iter().map(|attempt| attempt.received_at).fold(0.0, f64::max);
            let description = format!("request {request} ran as {ids:?}, each once");
            violations.push(RuleViolation::new(ViolationKind::SecondEffect, at, description));
        }
    }
}

fn format_pair(facts: &Facts, earlier: &Attempt, later: &Attempt) -> String {
    format!(
        "at {} to {}, after {} to {}",
        facts.format_time(later.received_at),
        facts.executor_name(later.executor),
        facts.format_time(earlier.received_at),
        facts.executor_name(earlier.executor)
    )
}
