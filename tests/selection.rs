//! Selection: to which executor a request is dispatched.
mod helpers;
use helpers::*;
use troutknot::*;

/// Guards against a request that is dispatched to the only executor of a first sample although that has a queue.
#[test]
fn a_request_is_dispatched_to_the_shortest_queue() {
    let mut node = node(1.0);
    node.list_warm(2);
    for _ in 0..20 {
        let (request_id, actions) = node.arrive(0);
        let executor = dispatched_to(&node.answer_probes(actions, |number| 3.0 * f64::from(number))).unwrap();
        assert_eq!(number_of(executor), 0, "a sample of the longer queue only is followed by another one");
        node.end_attempt(request_id, 0, Outcome::Completed);
    }
}

/// A drain takes effect in the batch in which it is reported, even for a request whose probes are all answered.
#[test]
fn a_draining_executor_gets_no_new_requests() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut node = node(1.0);
        node.list_warm(2);
        let (_, actions) = node.arrive(0);
        let probes: Vec<ExecutorId> = actions
            .iter()
            .filter_map(|action| if let Action::Probe { executor } = action { Some(*executor) } else { None })
            .collect();
        for executor in probes {
            let report =
                LoadReport { queue_length: Some(number_of(executor) as f64), ..LoadReport::default() };
            node.dispatcher.handle_event(node.now, probe_reply(executor, 1.0, report));
        }
        let endpoints = vec![endpoint(0, 0, state, None)];
        node.dispatcher
            .handle_event(node.now, Event::EndpointsUpdated { update: ListUpdate::Delta, endpoints });
        let actions = node.poll();
        let actions = node.answer_probes(actions, |_| 0.0);
        assert_eq!(dispatched_to(&actions), Some(executor(1)));
    }
    let mut node = node(1.0);
    node.list_warm(2);
    // Executors missing from a snapshot are gone; without executors, a request waits.
    node.update_endpoints(ListUpdate::Snapshot, &[]);
    assert_eq!(response_to(&node.arrive(0).1), Response::Waiting);
}

/// Without probes, requests must still be spread evenly over the executors, and be retried after rejections.
#[test]
fn no_executor_is_probed_where_probes_are_forbidden() {
    let mut node = node_without_probes(true);
    node.list_warm(2);
    let mut in_flight = [0_u32; 2];
    for number in 0..200 {
        node.now = 10.0 * f64::from(number);
        let (request_id, actions) = node.arrive(0);
        let executor = dispatched_to(&actions).expect("the request is dispatched at once");
        in_flight[number_of(executor) as usize] += 1;
        // Without a reported start, new requests would be shed, as in tests/admission.rs.
        node.handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        assert_eq!(probed(&actions), None);
        assert!(in_flight[0].abs_diff(in_flight[1]) < 5, "{in_flight:?} after {number}");
    }
    // A rejection indicates that capacity is short, and a completed attempt that there is some. The third attempt is the
    // last.
    let (request_id, _) = node.arrive(0);
    for (attempt_id, expected) in [(0, Response::Waiting), (1, Response::Waiting), (2, Response::Rejected)] {
        assert_eq!(
            response_to(&node.end_attempt(request_id, attempt_id, Outcome::Rejected)),
            expected,
            "attempt {attempt_id}"
        );
        let ended = node.end_attempt(RequestId(attempt_id as u64 + 1), 0, Outcome::Completed);
        assert_eq!(
            dispatched_to(&ended).is_some(),
            expected == Response::Waiting,
            "attempt {attempt_id}: dispatched to the executor whose attempt ended"
        );
    }
    assert!(dispatched_to(&node.arrive(0).1).is_some());
    node.now += 2500.0;
    let actions = node.handle(Event::TimerFired);
    assert_eq!(probed(&actions), None, "no start check without probes");
}

/// With invalid numbers of nodes and a fleet that shrinks, each request is still answered once, and none is dispatched
/// to an executor that is gone.
#[test]
fn requests_are_answered_once_with_invalid_node_numbers_and_a_shrinking_fleet() {
    for (nodes, number) in
        [(0.0, None), (0.0, Some(0.0)), (3.0, Some(7.0)), (-2.0, Some(-1.0)), (1e9, Some(5.0))]
    {
        let mut node = node_numbered(nodes, number);
        node.now = 50_000.0;
        let started = |number| if number % 2 == 0 { Some(49_000.0) } else { None };
        let all: Vec<Endpoint> = (0..3000)
            .map(|number| endpoint(number * 5, number, EndpointState::Ready, started(number)))
            .collect();
        node.update_endpoints(ListUpdate::Snapshot, &all);
        let (request_id, actions) = node.arrive(3);
        // All executors but one are removed from the list while the probes are in flight.
        node.update_endpoints(ListUpdate::Snapshot, &all[1..2]);
        let mut actions = node.answer_probes(actions, |_| 0.0);
        while response_to(&actions) == Response::Waiting && node.now < 56_000.0 {
            node.now += 5.0;
            let followed = node.handle(Event::TimerFired);
            actions = node.answer_probes(followed, |_| 0.0);
        }
        assert!(
            dispatched_to(&actions).is_none_or(|executor| executor == all[1].executor),
            "{nodes} nodes, number {number:?}"
        );
        assert_ne!(response_to(&actions), Response::Waiting, "{nodes} nodes, number {number:?}");
        if dispatched_to(&actions).is_some() {
            assert_eq!(response_to(&node.end_attempt(request_id, 0, Outcome::Reset)), Response::Failed);
        }
    }
}

/// Stale events have no effect, and the same events result in the same actions.
#[test]
fn stale_events_are_ignored_and_decisions_are_deterministic() {
    let run = || {
        let mut node = node(2.0);
        node.list_warm(5);
        let mut all = Vec::new();
        for number in 0..30 {
            node.now = number as f64;
            let (request_id, actions) = node.arrive(number % 4);
            let actions = node.answer_probes(actions, |executor| (executor % 3) as f64);
            all.extend(actions.clone());
            if dispatched_to(&actions).is_some() {
                all.extend(node.end_attempt(request_id, 0, Outcome::Completed));
                assert!(node.end_attempt(request_id, 0, Outcome::Reset).is_empty());
            }
        }
        let stale = RequestId(999);
        for event in [
            Event::RequestWithdrawn { request_id: stale },
            Event::AttemptStarted { request_id: stale, attempt_id: AttemptId(3) },
            Event::AttemptProgressed { request_id: stale, attempt_id: AttemptId(0), share: 0.5 },
            probe_reply(executor(77), 1.0, LoadReport::default()),
        ] {
            assert!(node.handle(event).is_empty());
        }
        all
    };
    assert_eq!(run(), run());
}
