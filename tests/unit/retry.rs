//! Retries: where, how often and until when, depending on effect, scope and window.
use super::*;
use crate::ids::{DeduplicationGroupId, ZoneId};
use crate::policy::rule_inputs::*;
use Target::{Anywhere, Nowhere, SameDeduplicationDomain};
use UnservedAnswer::{Failed, Rejected};

/// 0.8 of the deduplication window.
const RETRY_WINDOW: Millis = 1600.0;

/// A [`RetryTarget`] that can be compared.
#[derive(PartialEq, Debug)]
enum Target {
    Anywhere,
    SameDeduplicationDomain(ExecutorId),
    Nowhere,
}

fn decide(class: &RequestClass, outcomes: &[Option<Outcome>], now: Millis) -> (Target, UnservedAnswer) {
    let attempts: Vec<Attempt> = outcomes.iter().map(|&outcome| attempt(7, 0.0, outcome)).collect();
    let policy = RetryPolicy::decide(class, &attempts, now);
    let target = match policy.target {
        RetryTarget::Anywhere => Anywhere,
        RetryTarget::SameDeduplicationDomain(origin) => SameDeduplicationDomain(origin.executor),
        RetryTarget::Nowhere => Nowhere,
    };
    (target, policy.unserved_answer)
}

fn same_domain_as(attempt: &Attempt) -> RetryTarget {
    RetryTarget::SameDeduplicationDomain(AttemptOrigin::of(attempt))
}

/// Guards against a final failure of a request that can safely be sent again.
#[test]
fn a_request_that_never_ran_is_retried_anywhere() {
    let never_ran = [Outcome::Rejected, Outcome::NoConnection, Outcome::NotSent].map(Some);
    for effect in [Effect::Idempotent, Effect::Deduplicated, Effect::AtMostOnce] {
        for outcomes in [&[][..], &never_ran[..]] {
            assert_eq!(decide(&class(effect), outcomes, 0.0), (Anywhere, Rejected), "{effect:?}");
        }
    }
}

/// Guards against a request that takes effect twice.
#[test]
fn the_retry_of_a_request_that_may_have_run_depends_on_its_effect() {
    let may_have_run = [
        None,
        Some(Outcome::Completed),
        Some(Outcome::Error),
        Some(Outcome::TimedOut),
        Some(Outcome::Reset),
        Some(Outcome::Cancelled),
    ];
    for outcome in may_have_run {
        for (effect, expected) in [
            (Effect::Idempotent, (Anywhere, Rejected)),
            (Effect::Deduplicated, (SameDeduplicationDomain(executor(7)), Failed)),
            (Effect::AtMostOnce, (Nowhere, Failed)),
        ] {
            let decided = decide(&class(effect), &[Some(Outcome::Rejected), outcome], 0.0);
            assert_eq!(decided, expected, "{effect:?} after {outcome:?}");
        }
    }
}

/// After the window, executors do not recognize a repeat, which would run a second time.
#[test]
fn deduplicated_requests_are_retried_within_their_window() {
    let mut class = class(Effect::Deduplicated);
    for (scope, target_in_window, answer) in [
        (DeduplicationScope::Group, SameDeduplicationDomain(executor(7)), Failed),
        (DeduplicationScope::Zone, SameDeduplicationDomain(executor(7)), Failed),
        (DeduplicationScope::All, Anywhere, Rejected),
    ] {
        class.terms.deduplication_scope = scope;
        for (now, expected) in [(RETRY_WINDOW, target_in_window), (RETRY_WINDOW + 1.0, Nowhere)] {
            let decided = decide(&class, &[Some(Outcome::Reset)], now);
            assert_eq!(decided, (expected, answer), "{scope:?} at {now} ms");
        }
    }
}

/// Guards against an attempt more or less than the class allows.
#[test]
fn attempts_are_limited() {
    let class = class(Effect::Idempotent);
    let attempts = [attempt(0, 0.0, Some(Outcome::Rejected)); MAX_ATTEMPTS];
    assert!(!RetryPolicy::is_exhausted(&class, &attempts[1..]));
    assert!(RetryPolicy::is_exhausted(&class, &attempts));
}

/// A connection may be established late; a request sent after the window would run a second time.
#[test]
fn the_send_deadline_of_a_request_that_may_have_run_is_within_its_window() {
    for (effect, outcome, expected) in [
        (Effect::Deduplicated, Outcome::Reset, 10.0 + RETRY_WINDOW),
        (Effect::Deduplicated, Outcome::Rejected, DEADLINE),
        (Effect::Idempotent, Outcome::Reset, DEADLINE),
    ] {
        let attempts = [attempt(7, 10.0, Some(outcome))];
        let deadline = RetryPolicy::send_deadline(&class(effect), &attempts, DEADLINE);
        assert_close(deadline, expected);
    }
    let attempts = [attempt(7, 10.0, Some(Outcome::Reset))];
    assert_close(RetryPolicy::send_deadline(&class(Effect::Deduplicated), &attempts, 500.0), 500.0);
}

/// An executor outside the domain does not recognize a repeat, which would run a second time.
#[test]
fn a_deduplication_domain_is_a_group_or_a_zone() {
    let first = endpoint(7);
    let same_group = Endpoint { deduplication_group: first.deduplication_group, ..endpoint(1) };
    let same_zone = Endpoint { zone: first.zone, ..endpoint(2) };
    let neither =
        Endpoint { zone: Some(ZoneId(8)), deduplication_group: Some(DeduplicationGroupId(8)), ..endpoint(3) };
    let mut class = class(Effect::Deduplicated);
    for (scope, in_domain) in [(DeduplicationScope::Group, same_group), (DeduplicationScope::Zone, same_zone)]
    {
        class.terms.deduplication_scope = scope;
        for other in [same_group, same_zone, neither] {
            let target = same_domain_as(&attempt(7, 0.0, None));
            let is_in_domain = other.executor == in_domain.executor;
            assert_eq!(target.allows(&class, &other), is_in_domain, "{scope:?} {other:?}");
            assert!(RetryTarget::Anywhere.allows(&class, &other));
            assert!(!RetryTarget::Nowhere.allows(&class, &other));
        }
    }
}

/// Guards against a repeat at an executor that does not recognize it: an unknown zone or group was taken for the first
/// one, and two unknown ones for the same.
#[test]
fn an_unknown_deduplication_domain_allows_a_retry_at_the_same_executor_alone() {
    let unknown = |number| Endpoint { zone: None, deduplication_group: None, ..endpoint(number) };
    let sent = Attempt { domain: DeduplicationDomain::default(), ..attempt(7, 100.0, Some(Outcome::Reset)) };
    let mut class = class(Effect::Deduplicated);
    for scope in [DeduplicationScope::Group, DeduplicationScope::Zone] {
        class.terms.deduplication_scope = scope;
        for other in [endpoint(0), unknown(1)] {
            assert!(!same_domain_as(&sent).allows(&class, &other), "{scope:?} {other:?}");
        }
        assert!(!same_domain_as(&attempt(0, 100.0, None)).allows(&class, &unknown(1)), "{scope:?}");
        for receiver in [endpoint(7), unknown(7)] {
            assert!(same_domain_as(&sent).allows(&class, &receiver), "{scope:?} {receiver:?}");
            let restarted = Endpoint { started_at: Some(100.1), ..receiver };
            assert!(!same_domain_as(&sent).allows(&class, &restarted), "{scope:?}: its records may be lost");
        }
    }
}

/// Guards against a repeat in a group that its first executor has joined only since.
#[test]
fn a_retry_stays_in_the_domain_that_its_executor_had_when_the_attempt_was_sent() {
    let class = class(Effect::Deduplicated);
    let target = same_domain_as(&attempt(7, 100.0, None));
    let in_group = |number, group| Endpoint {
        deduplication_group: Some(DeduplicationGroupId(group)),
        started_at: Some(200.0),
        ..endpoint(number)
    };
    assert!(target.allows(&class, &in_group(1, 7)));
    assert!(!target.allows(&class, &in_group(7, 8)), "the same name, restarted in another group");
    assert!(!target.allows(&class, &in_group(1, 8)));
}
