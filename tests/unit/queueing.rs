//! Queueing: how long a request is queued, which one is dispatched first, and when a request is given up.
use super::*;
use crate::event::Outcome;
use crate::policy::rule_inputs::*;
use crate::settings::Effect;

/// A quarter of the latency objective.
const MAX_WAIT: Millis = 25.0;

fn enqueue(recheck_at: Millis) -> QueueDecision {
    QueueDecision::Enqueue { recheck_at }
}

/// A request that waits longer could not be answered in time any more.
#[test]
fn a_request_is_queued_until_its_longest_wait() {
    let class = class(Effect::Idempotent);
    assert_close(max_queueing_time(&class), MAX_WAIT);
    for (now, expected) in [
        (0.0, enqueue(MAX_WAIT / 2.0)),
        (MAX_WAIT / 2.0, enqueue(MAX_WAIT)),
        (MAX_WAIT - 1.0, enqueue(MAX_WAIT)),
        (MAX_WAIT, QueueDecision::GiveUp),
    ] {
        assert_eq!(decide(&class, &request(), 0, now), expected, "at {now} ms");
    }
}

/// A client's retry can have less time left than the longest wait of its class.
#[test]
fn a_request_is_queued_until_its_deadline() {
    let class = class(Effect::Idempotent);
    let request = Request { deadline: 10.0, ..request() };
    assert_eq!(decide(&class, &request, 0, 9.0), enqueue(10.0));
    assert_eq!(decide(&class, &request, 0, 10.0), QueueDecision::GiveUp);
}

/// A class with long requests has a longer objective, so its requests can wait longer.
#[test]
fn the_longest_wait_grows_with_the_running_time() {
    let mut class = class(Effect::Idempotent);
    class.terms.stretch = 3.0;
    class.response_time.mean = 50.0;
    assert_close(max_queueing_time(&class), 0.25 * (LATENCY_OBJECTIVE + 2.0 * 50.0));
}

/// A request that may not be dispatched again must be answered at once and not after its wait.
#[test]
fn a_request_without_a_further_attempt_is_given_up() {
    let never_ran = Some(Outcome::Rejected);
    for (effect, attempts, expected) in [
        (Effect::AtMostOnce, vec![never_ran; MAX_ATTEMPTS - 1], enqueue(MAX_WAIT / 2.0)),
        (Effect::AtMostOnce, vec![never_ran; MAX_ATTEMPTS], QueueDecision::GiveUp),
        (Effect::AtMostOnce, vec![Some(Outcome::Reset)], QueueDecision::GiveUp),
        (Effect::Idempotent, vec![Some(Outcome::Reset)], enqueue(MAX_WAIT / 2.0)),
    ] {
        let attempts: Vec<_> = attempts.into_iter().map(|outcome| attempt(0, 0.0, outcome)).collect();
        let request = Request { attempts, ..request() };
        let decision = decide(&class(effect), &request, 0, 0.0);
        assert_eq!(decision, expected, "{effect:?} after {} attempts", request.attempts.len());
    }
}

/// A tenant over its quota must not delay the requests of others while capacity is short.
#[test]
fn a_request_over_its_quota_is_shed_while_others_are_queued() {
    let class = class(Effect::Idempotent);
    for (is_over_quota, queued, expected) in [
        (true, 1, QueueDecision::GiveUp),
        (true, 0, enqueue(MAX_WAIT / 2.0)),
        (false, 1, enqueue(MAX_WAIT / 2.0)),
    ] {
        let request = Request { is_over_quota, ..request() };
        let decision = decide(&class, &request, queued, 0.0);
        assert_eq!(decision, expected, "over quota: {is_over_quota}, {queued} queued");
    }
}

/// Guards against a priority that ignores value, slots, wait or quota.
#[test]
fn priority_is_the_value_per_slot_times_the_wait() {
    let mut class = class(Effect::Idempotent);
    class.terms.value = 6.0;
    let request = Request { slots: 2.0, first_sent_at: 10.0, ..request() };
    assert_close(priority(&class, &request, 0.5, 30.0), 6.0 / 2.0 * 20.0);
    let over_quota = Request { is_over_quota: true, ..request };
    assert_close(priority(&class, &over_quota, 0.5, 30.0), 0.5 * 6.0 / 2.0 * 20.0);
}

/// The choice among equal priorities must be deterministic.
#[test]
fn the_highest_priority_is_chosen_and_the_last_of_equal_ones() {
    let queue = [RequestId(1), RequestId(2), RequestId(3)];
    assert_eq!(highest_priority(&queue, |id| -(id.0 as f64)), Some(RequestId(1)));
    assert_eq!(highest_priority(&queue, |id| if id.0 == 2 { 1.1 } else { 1.0 }), Some(RequestId(2)));
    assert_eq!(highest_priority(&queue, |_| 1.0), Some(RequestId(3)));
    assert_eq!(highest_priority(&[], |_| 1.0), None);
}
