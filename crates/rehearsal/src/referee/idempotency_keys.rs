//! Requests with an idempotency key: over all client attempts with the key there is one final response and, for
//! at-most-once requests, one start, whichever node fails.
use super::facts::{ClassFacts, Facts};
use super::observations::{Answer, Attempt, ClientAttempt, Observations};
use super::violation::{RuleViolation, ViolationKind};
use crate::scenario::Effect;
use std::collections::BTreeMap;
use troutknot_emulator::Millis;

/// All client attempts with one idempotency key, in the order in which they were sent.
struct KeyedRequest<'a> {
    facts: &'a Facts,
    observations: &'a Observations,
    number: usize,
    class: &'a ClassFacts,
    client_attempts: Vec<&'a ClientAttempt>,
}

/// Checks all requests with an idempotency key.
pub(super) fn check(facts: &Facts, observations: &Observations, violations: &mut Vec<RuleViolation>) {
    let mut by_request: BTreeMap<usize, Vec<&ClientAttempt>> = BTreeMap::new();
    for client_attempt in observations.client_attempts.values() {
        if facts.class_of(client_attempt).has_idempotency_key {
            by_request.entry(client_attempt.request).or_default().push(client_attempt);
        }
    }
    for (number, mut client_attempts) in by_request {
        client_attempts.sort_by(|a, b| a.sent_at.total_cmp(&b.sent_at));
        let class = &facts.classes[facts.requests[number].class];
        let request = KeyedRequest { facts, observations, number, class, client_attempts };
        request.check_starts(violations);
        request.check_final_response(violations);
    }
}

impl<'a> KeyedRequest<'a> {
    fn attempts(&self) -> impl Iterator<Item = &'a Attempt> {
        let observations = self.observations;
        self.client_attempts.iter().flat_map(move |client_attempt| observations.attempts_of(client_attempt))
    }

    fn check_starts(&self, violations: &mut Vec<RuleViolation>) {
        if self.class.effect != Effect::AtMostOnce {
            return;
        }
        let started: Vec<&Attempt> = self.attempts().filter(|attempt| attempt.was_started).collect();
        if let Some(second) = started.get(1) {
            let detail = format!("started {} times", started.len());
            violations.push(self.violation(ViolationKind::RanAgain, second.received_at, &detail));
        }
    }

    fn check_final_response(&self, violations: &mut Vec<RuleViolation>) {
        let mut answers = self.client_attempts.iter().filter_map(|client_attempt| client_attempt.answer);
        // A rejection invites a retry; any other response is final.
        let final_answer = answers.clone().find(|answer| !answer.is_rejection());
        if let Some(answer) = final_answer {
            self.check_no_dispatch_after(answer, violations);
        } else if answers.next().is_none() {
            let last_sent_at =
                self.client_attempts.last().map_or(0.0, |client_attempt| client_attempt.sent_at);
            let detail = format!("asked {} times, never answered", self.client_attempts.len());
            violations.push(self.violation(ViolationKind::NeverAnswered, last_sent_at, &detail));
        }
    }

    fn check_no_dispatch_after(&self, answer: Answer, violations: &mut Vec<RuleViolation>) {
        let Answer { at, status, .. } = answer;
        let latest = at + self.facts.slack;
        if let Some(attempt) = self.attempts().find(|attempt| attempt.first_byte_at > latest) {
            let executor = self.facts.executor_name(attempt.executor);
            let time = self.facts.format_time(at);
            let detail = format!("answered {status} at {time}, sent to {executor} after");
            let kind = ViolationKind::DispatchedAfterEnd;
            violations.push(self.violation(kind, attempt.first_byte_at, &detail));
        }
    }

    fn violation(&self, kind: ViolationKind, at: Millis, detail: &str) -> RuleViolation {
        let description = format!("{} request {}: {detail}", self.class.name, self.number);
        RuleViolation::new(kind, at, description)
    }
}
