//! Judges a rehearsal by what clients, executors and discovery observed on their sockets.
//!
//! Each violation of one of the four rules is reported with the request, the executor and the times involved.
//! Times are in milliseconds since the observation log started.
mod answers;
mod drains;
mod effects;
mod events;
mod facts;
mod hot_restarts;
mod idempotency_keys;
mod observations;
mod slow_start;
mod subject;
mod tally;
mod timeline;
mod verdict;
mod violation;

pub use facts::{ClassFacts, ExecutorFacts, Facts, RequestFacts};
pub use tally::{Tally, quantile};
pub use verdict::Verdict;
pub use violation::{RuleViolation, ViolationKind};

use observations::Observations;
use subject::Subject;
use troutknot_emulator::Millis;
use troutknot_emulator::observations::Observation;

/// Judges the recorded events, which must be in the order of time.
pub fn judge(facts: &Facts, events: &[(Millis, Observation)]) -> Verdict {
    let mut observations = Observations::from_events(facts, events);
    let mut violations = std::mem::take(&mut observations.violations);
    for (request_id, client_attempt) in &observations.client_attempts {
        let subject = Subject { facts, observations: &observations, request_id, client_attempt };
        answers::check(&subject, &mut violations);
        effects::check(&subject, &mut violations);
    }
    effects::check_across_client_attempts(facts, &observations, &mut violations);
    idempotency_keys::check(facts, &observations, &mut violations);
    let longest_dispatch_after_drain_ms =
        drains::check_draining_executors(facts, &observations, &mut violations);
    drains::check_operator_calls(facts, &observations, &mut violations);
    hot_restarts::check(facts, &observations, &mut violations);
    let warm_up_budget_used = slow_start::check(facts, &observations, &mut violations);
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    Verdict {
        violations,
        longest_dispatch_after_drain_ms,
        warm_up_budget_used,
        overload_failures: observations.overload_failures,
        ..tally::tally_outcomes(facts, &observations)
    }
}
