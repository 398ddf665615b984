//! Queueing at the node, and tenant quotas while capacity is short.
mod helpers;
use helpers::*;
use troutknot::*;

/// Without capacity, a request samples executors twice and is queued, until an attempt of this node ends or the request
/// is rejected.
#[test]
fn a_request_is_queued_while_it_may_be_in_time() {
    for (has_ended, expected) in [(true, Response::Dispatching), (false, Response::Rejected)] {
        let mut node = node(1.0);
        node.list_warm(2);
        let (running, executor) = node.dispatched(0);
        let (request_id, actions) = node.arrive(3);
        let actions = node.answer_probes(actions, |_| 5.0);
        assert_eq!(response_to(&actions), Response::Waiting, "nothing is dispatched into a queue");
        let mut followed = actions;
        if has_ended {
            node.now += 10.0;
            let actions = node.end_attempt(running, 0, Outcome::Completed);
            assert!(actions.contains(&Action::Probe { executor }));
            followed = node.answer_probes(actions, |_| 0.0);
            assert_eq!(dispatched_to(&followed), Some(executor));
        }
        while !has_ended && response_to(&followed) == Response::Waiting && node.now < 1000.0 {
            node.now += 10.0;
            let actions = node.handle(Event::TimerFired);
            followed = node.answer_probes(actions, |_| 5.0);
        }
        assert_eq!(response_to(&followed), expected);
        assert!(
            has_ended
                || (node.now < 400.0
                    && followed.iter().any(|action| matches!(action,
            Action::Reject { request_id: rejected, retry_after: Some(_) } if *rejected == request_id)))
        );
    }
}

/// While capacity is short, requests over their tenant's quota are rejected at once.
#[test]
fn requests_over_quota_are_rejected_first() {
    for (queued_before, queue, expected) in [(1, 5.0, Response::Rejected), (0, 0.0, Response::Dispatching)] {
        let mut node = node(1.0);
        node.list_warm(2);
        let mut last_response = Response::Waiting;
        for _ in 0..queued_before {
            let (_, actions) = node.arrive_for(3, 0);
            node.answer_probes(actions, |_| queue);
        }
        for _ in 0..4 {
            let (_, actions) = node.arrive_for(3, 1);
            last_response = response_to(&node.answer_probes(actions, |_| queue));
        }
        assert_eq!(last_response, expected, "queues of {queue}");
    }
}

/// With hundreds of nodes, one node's part of a quota is far below one request, but still allows a small burst.
#[test]
fn a_small_part_of_a_quota_allows_a_small_burst() {
    let mut node = node(300.0);
    node.list_warm(2);
    let responses = [(); 4].map(|()| {
        let (_, actions) = node.arrive_for(3, 1);
        response_to(&node.answer_probes(actions, |_| 5.0))
    });
    let expected = [Response::Waiting, Response::Waiting, Response::Waiting, Response::Rejected];
    assert_eq!(responses, expected, "three are queued, the fourth is over its quota");
}
