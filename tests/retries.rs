//! Retries: the response to an outcome, by class, deduplication window and number of attempts.
mod helpers;
use helpers::*;
use troutknot::settings::ClassSettings;
use troutknot::*;

/// After the first attempt, the request is retried, rejected or failed, depending on its class and the outcome.
/// Otherwise at-most-once requests could run twice.
#[test]
fn the_response_to_an_outcome_depends_on_the_class() {
    use Outcome::*;
    let never_ran = [Rejected, NoConnection, NotSent];
    let may_have_run = [Error, TimedOut, Reset, Cancelled];
    for (class, never_ran_response, may_have_run_response) in [
        (0, Response::Dispatching, Response::Dispatching),
        (1, Response::Dispatching, Response::Dispatching),
        (2, Response::Dispatching, Response::Failed),
        (3, Response::Dispatching, Response::Failed),
    ] {
        for (outcomes, expected) in
            [(&never_ran[..], never_ran_response), (&may_have_run[..], may_have_run_response)]
        {
            for &outcome in outcomes {
                let mut node = node(1.0);
                node.list_warm(3);
                let (request_id, executor) = node.dispatched(class);
                // A deduplication group without its only executor has none for a retry.
                if class == 2 {
                    node.update_endpoints(
                        ListUpdate::Delta,
                        &[endpoint(number_of(executor), number_of(executor), EndpointState::Draining, None)],
                    );
                    node.now = 200.0;
                }
                let actions = node.end_attempt(request_id, 0, outcome);
                assert_eq!(response_to(&actions), expected, "class {class} after {outcome:?}");
                // Repeats are dropped within the deduplication window only, and a connection may be established later.
                let deadline = if class == 1 && !outcome.never_ran() { 1600.0 } else { 5000.0 };
                let deadline = (expected == Response::Dispatching).then_some(deadline);
                assert_eq!(
                    send_deadline(&node.answer_probes(actions, |_| 0.0)),
                    deadline,
                    "class {class} after {outcome:?}"
                );
            }
        }
    }
}

/// Attempts of an earlier process count like those of this process. A request waits for one in flight.
#[test]
fn attempts_of_an_earlier_process_count() {
    use Outcome::*;
    let cases: &[(&str, u32, &[Option<Outcome>], Response)] = &[
        ("an at-most-once request that may have run", 3, &[Some(Reset)], Response::Failed),
        ("an at-most-once request that never ran", 3, &[Some(NotSent)], Response::Dispatching),
        ("an at-most-once request in flight", 3, &[None], Response::Waiting),
        ("an attempt in flight after one that never ran", 3, &[Some(Rejected), None], Response::Waiting),
        (
            "three attempts that never ran",
            3,
            &[Some(Rejected), Some(NotSent), Some(NoConnection)],
            Response::Rejected,
        ),
        ("an idempotent request that may have run", 0, &[Some(Reset)], Response::Dispatching),
        (
            "an idempotent request that may have run three times",
            0,
            &[Some(Reset), Some(Error), Some(TimedOut)],
            Response::Rejected,
        ),
        ("a deduplicated request within its window", 1, &[Some(Reset)], Response::Dispatching),
    ];
    for (case, class, earlier, expected) in cases {
        let mut node = node(1.0);
        node.list_warm(3);
        node.update_endpoints(ListUpdate::Delta, &[endpoint(9, 9, EndpointState::Gone, None)]);
        let (now, request_id, executor) = (node.now, RequestId(77), executor(9));
        let arrived = Event::RequestArrived {
            request_id,
            class: RequestClassId(*class),
            tenant: TenantId(0),
            slots: 1.0,
            memory: 0.0,
            time_left: 900.0,
            is_retry: true,
        };
        node.dispatcher.handle_event(now, arrived);
        for (number, outcome) in earlier.iter().enumerate() {
            node.dispatcher
                .handle_event(now, Event::AttemptRecovered { request_id, executor, sent_at: now - 50.0 });
            if let Some(outcome) = *outcome {
                let attempt_id = AttemptId(number as u32);
                node.dispatcher.handle_event(
                    now,
                    Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: false },
                );
            }
        }
        let polled = node.poll();
        let actions = node.answer_probes(polled, |_| 0.0);
        assert_eq!(response_to(&actions), *expected, "{case}");
        if earlier.last() == Some(&None) {
            // The end of the last attempt is reported now.
            let ended = node.end_attempt(request_id, earlier.len() as u32 - 1, NotSent);
            assert!(dispatched_to(&node.answer_probes(ended, |_| 0.0)).is_some(), "{case}");
        }
    }
}

/// A deduplicated request that may have run is retried only within its group and its window; otherwise it could run
/// twice.
#[test]
fn deduplicated_requests_are_retried_in_their_group_and_window() {
    for (after, expected) in [(100.0, Response::Dispatching), (1700.0, Response::Failed)] {
        let mut node = node(1.0);
        let endpoints: Vec<Endpoint> =
            (0..6).map(|number| endpoint(number, number % 2, EndpointState::Ready, None)).collect();
        node.update_endpoints(ListUpdate::Snapshot, &endpoints);
        let (request_id, executor) = node.dispatched(2);
        node.now = after;
        let actions = node.end_attempt(request_id, 0, Outcome::Reset);
        assert_eq!(response_to(&actions), expected);
        if expected == Response::Dispatching {
            let actions = node.answer_probes(actions, |_| 0.0);
            assert_eq!(number_of(dispatched_to(&actions).unwrap()) % 2, number_of(executor) % 2);
        }
    }
}

/// Guards against unbounded retries and against a second answer.
#[test]
fn attempts_are_limited_and_a_rejection_is_final() {
    let mut node = node(1.0);
    node.list_warm(6);
    let (request_id, _) = node.dispatched(3);
    for attempt_id in 0..2 {
        let actions = node.end_attempt(request_id, attempt_id, Outcome::Rejected);
        dispatched_to(&node.answer_probes(actions, |_| 0.0)).unwrap();
    }
    assert_eq!(response_to(&node.end_attempt(request_id, 2, Outcome::Rejected)), Response::Rejected);
    assert!(
        node.end_attempt(request_id, 2, Outcome::Rejected).is_empty(),
        "no action follows a final answer"
    );
}

/// An open request must keep the terms that its client relied on when it was sent.
#[test]
fn new_settings_apply_to_new_requests_only() {
    let mut node = node(1.0);
    node.list_warm(6);
    let ((idempotent, _), (at_most_once, _)) = (node.dispatched(0), node.dispatched(3));
    let mut settings = settings_of(1.0, None);
    // Class 4 is class 0 with a stricter effect and one attempt; the other classes are unchanged.
    settings.classes.push(ClassSettings {
        effect: Effect::AtMostOnce,
        deadline: Some(900.0),
        latency_objective: Some(90.0),
        max_attempts: Some(1.0),
        ..ClassSettings::default()
    });
    settings.limits.max_attempts = Some(1.0);
    node.dispatcher.apply_settings(node.now, &settings);
    let response_to_reset = |node: &mut Node, request_id: RequestId| {
        let actions = node.end_attempt(request_id, 0, Outcome::Reset);
        response_to(&node.answer_probes(actions, |_| 0.0))
    };
    assert_eq!(
        (response_to_reset(&mut node, idempotent), response_to_reset(&mut node, at_most_once)),
        (Response::Dispatching, Response::Failed),
        "requests keep the terms at their arrival"
    );
    let (strict, _) = node.dispatched(4);
    assert_eq!(response_to_reset(&mut node, strict), Response::Failed);
    let (strict, _) = node.dispatched(4);
    assert_eq!(
        response_to(&node.end_attempt(strict, 0, Outcome::Rejected)),
        Response::Rejected,
        "one attempt"
    );
    let (idempotent, _) = node.dispatched(0);
    assert_eq!(response_to_reset(&mut node, idempotent), Response::Dispatching, "a class keeps its terms");
}
