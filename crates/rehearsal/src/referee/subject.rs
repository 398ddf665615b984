//! The client attempt that the rules on single attempts are checked against.
use super::facts::{ClassFacts, Facts};
use super::observations::{Attempt, ClientAttempt, Observations};
use super::violation::{RuleViolation, ViolationKind};
use troutknot_emulator::Millis;

/// One client attempt, with the facts and observations that it is judged by.
#[derive(Clone, Copy)]
pub(super) struct Subject<'a> {
    pub facts: &'a Facts,
    pub observations: &'a Observations,
    pub request_id: &'a str,
    pub client_attempt: &'a ClientAttempt,
}

impl<'a> Subject<'a> {
    pub fn class(&self) -> &'a ClassFacts {
        self.facts.class_of(self.client_attempt)
    }

    /// The attempts that executors received for it.
    pub fn attempts(&self) -> impl Iterator<Item = &'a Attempt> + use<'a> {
        self.observations.attempts_of(self.client_attempt)
    }

    /// Creates a violation that names the class and the id of the request.
    pub fn violation(&self, kind: ViolationKind, at: Millis, detail: &str) -> RuleViolation {
        let description = format!("{} {}: {detail}", self.class().name, self.request_id);
        RuleViolation::new(kind, at, description)
    }
}
