//! The lifetime of executor state, from the first listing to the release. State that is released too early allows
//! wrong retries or overspent budgets; state that is never released leaks memory.
mod helpers;
use helpers::*;
use troutknot::settings::WeightSource;
use troutknot::*;

/// Interval at which executors that are gone are checked for release, in milliseconds.
const RECLAIM_INTERVAL: Millis = 1000.0;
/// Budget window of the helpers' settings, in milliseconds.
const BUDGET_WINDOW: Millis = 1000.0;

fn released(actions: &[Action]) -> Vec<ExecutorId> {
    let release = |action: &Action| match action {
        Action::ReleaseExecutor { executor } => Some(*executor),
        _ => None,
    };
    actions.iter().filter_map(release).collect()
}

fn gone(number: u32) -> Endpoint {
    endpoint(number, number, EndpointState::Gone, None)
}

/// Returns the endpoint with the handle that its slot has after this many releases.
fn with_reused_handle(endpoint: Endpoint, releases: u32) -> Endpoint {
    Endpoint { executor: reused_handle(number_of(endpoint.executor), releases), ..endpoint }
}

impl Node {
    /// Advances the time past the next check of executors that are gone, and returns the released ones.
    fn reclaim(&mut self) -> Vec<ExecutorId> {
        self.now += RECLAIM_INTERVAL + 1.0;
        released(&self.handle(Event::TimerFired))
    }
}

/// The timer for the release is set while an executor is gone, and only then. Without it, a node without traffic would
/// never release executors.
#[test]
fn a_timer_is_set_while_an_executor_is_gone() {
    let mut node = node(1.0);
    let sets_timer =
        |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::SetTimer { .. }));
    node.list_warm(3);
    assert!(!sets_timer(&node.handle(Event::TimerFired)), "no executor is gone");
    let actions = node.update_endpoints(ListUpdate::Delta, &[gone(1)]);
    assert!(actions.contains(&Action::SetTimer { at: RECLAIM_INTERVAL }), "{actions:?}");
    node.now = RECLAIM_INTERVAL;
    let actions = node.handle(Event::TimerFired);
    assert_eq!((released(&actions), node.dispatcher.executor_count()), (vec![executor(1)], 2));
    assert!(!sets_timer(&actions), "no executor is gone any more");
    assert!(!sets_timer(
        &node.update_endpoints(ListUpdate::Delta, &[endpoint(0, 0, EndpointState::Draining, None)])
    ));
}

/// The state of an executor that is gone is retained while an at-most-once request is in flight there, and the request
/// has one answer.
#[test]
fn an_executor_that_is_gone_has_state_until_its_attempt_has_ended() {
    for (outcome, expected) in
        [(Outcome::TimedOut, Response::Failed), (Outcome::NotSent, Response::Dispatching)]
    {
        let mut node = node(1.0);
        node.list_warm(3);
        let (request_id, executor) = node.dispatched(3);
        let number = number_of(executor);
        assert!(released(&node.update_endpoints(ListUpdate::Delta, &[gone(number)])).is_empty());
        for _ in 0..4 {
            assert!(node.reclaim().is_empty(), "its attempt is in flight");
        }
        node.now = 4999.0;
        let actions = node.end_attempt(request_id, 0, outcome);
        assert_eq!(response_to(&actions), expected, "{outcome:?}");
        let retried_at = dispatched_to(&node.answer_probes(actions, |_| 0.0));
        assert_eq!(
            retried_at.is_some(),
            expected == Response::Dispatching,
            "only an attempt that never ran is retried"
        );
        assert_ne!(retried_at, Some(executor));
        if expected == Response::Dispatching {
            assert!(node.reclaim().is_empty(), "the open request refers to it");
            node.end_attempt(request_id, 1, Outcome::Completed);
        }
        assert_eq!(node.reclaim(), [executor], "{outcome:?}");
        assert!(node.end_attempt(request_id, 0, Outcome::Completed).is_empty(), "no second answer");
    }
}

/// A retry is limited to the deduplication group of an executor that is gone. The state of that executor is retained
/// until the request is answered.
#[test]
fn an_executor_that_limits_a_retry_has_state() {
    let mut node = node(1.0);
    let endpoints = (0..4).map(|number| endpoint(number, number % 2, EndpointState::Ready, None));
    let endpoints: Vec<Endpoint> = endpoints.collect();
    node.update_endpoints(ListUpdate::Snapshot, &endpoints);
    let (request_id, first) = node.dispatched(2);
    let group = number_of(first) % 2;
    let others: Vec<Endpoint> = endpoints.into_iter().filter(|endpoint| endpoint.executor != first).collect();
    node.update_endpoints(ListUpdate::Snapshot, &others);
    assert!(node.reclaim().is_empty());
    let actions = node.end_attempt(request_id, 0, Outcome::Reset);
    let second = dispatched_to(&node.answer_probes(actions, |_| 0.0)).expect("another of its group");
    assert_eq!((number_of(second) % 2, second == first), (group, false));
    assert!(node.reclaim().is_empty());
    node.end_attempt(request_id, 1, Outcome::Completed);
    assert_eq!(node.reclaim(), [first]);
}

/// Returns the number of requests that the warm-up budget of the only executor allows now. No request stays open.
fn warm_up_dispatches(node: &mut Node) -> usize {
    let is_allowed = |_: &usize| {
        let (request_id, actions) = node.arrive(0);
        let is_dispatched = dispatched_to(&node.answer_probes(actions, |_| 0.0)).is_some();
        // The attempt never ran, so its slot is free for the next one, but its cost remains spent.
        let actions =
            if is_dispatched { node.end_attempt(request_id, 0, Outcome::NotSent) } else { Vec::new() };
        node.handle(Event::RequestWithdrawn { request_id });
        node.answer_probes(actions, |_| 0.0);
        is_dispatched
    };
    (0..200).filter(is_allowed).count()
}

/// A spent budget counts for an executor that is listed again with the same start, and not after a restart.
#[test]
fn a_spent_budget_counts_for_an_executor_that_is_listed_again() {
    let start = 50_000.0;
    let warming_up = |started| endpoint(0, 0, EndpointState::Ready, Some(started));
    let node_with_spent_budget = || {
        let mut node = node(1.0);
        node.now = start + 2.0 * BUDGET_WINDOW;
        node.update_endpoints(ListUpdate::Snapshot, &[warming_up(start)]);
        let spent = warm_up_dispatches(&mut node);
        assert!((20..60).contains(&spent), "{spent}");
        assert_eq!(warm_up_dispatches(&mut node), 0, "the budget is spent");
        node
    };
    // Listed again soon with the same start: only the growth of the budget since then is left.
    let mut node = node_with_spent_budget();
    node.now += 100.0;
    node.update_endpoints(ListUpdate::Delta, &[gone(0)]);
    node.now += 100.0;
    node.update_endpoints(ListUpdate::Delta, &[warming_up(start)]);
    assert!(warm_up_dispatches(&mut node) <= 2);
    // Listed again with the same start after the budget window and the release: the full budget, with another handle.
    let mut node = node_with_spent_budget();
    node.update_endpoints(ListUpdate::Delta, &[gone(0)]);
    node.now += 0.9 * BUDGET_WINDOW;
    assert!(released(&node.handle(Event::TimerFired)).is_empty(), "the budget counts");
    assert_eq!(node.reclaim(), [executor(0)]);
    node.update_endpoints(ListUpdate::Delta, &[with_reused_handle(warming_up(start), 1)]);
    assert!(warm_up_dispatches(&mut node) > 20);
    // Listed again with another start: a new budget at once.
    let mut node = node_with_spent_budget();
    node.update_endpoints(ListUpdate::Delta, &[gone(0)]);
    node.now += 100.0;
    node.update_endpoints(ListUpdate::Delta, &[warming_up(node.now - 50.0)]);
    assert!(warm_up_dispatches(&mut node) > 20);
}

/// An executor has state while its probe is in flight. Events with a released handle have no effect, or they would
/// change the state of another executor.
#[test]
fn events_with_a_released_handle_are_dropped_and_counted() {
    let mut node = node(1.0);
    node.list_warm(1);
    let report =
        |queue| LoadReport { queue_length: Some(queue), free_slots: Some(4.0), ..LoadReport::default() };
    let reply = |executor, queue| probe_reply(executor, 1.0, report(queue));
    let (request_id, actions) = node.arrive(0);
    assert!(actions.contains(&Action::Probe { executor: executor(0) }));
    node.handle(Event::RequestWithdrawn { request_id });
    node.update_endpoints(ListUpdate::Snapshot, &[]);
    assert!(node.reclaim().is_empty(), "its probe is in flight");
    node.handle(reply(executor(0), 0.0));
    assert_eq!((node.reclaim(), node.dispatcher.stale_events()), (vec![executor(0)], 0));
    // The slot now belongs to another executor, which is being probed.
    let second = reused_handle(0, 1);
    node.update_endpoints(
        ListUpdate::Snapshot,
        &[with_reused_handle(endpoint(0, 7, EndpointState::Ready, None), 1)],
    );
    let (request_id, actions) = node.arrive(0);
    assert!(actions.contains(&Action::Probe { executor: second }));
    let token = endpoint(5, 5, EndpointState::Ready, None).token as u32;
    let exported = ExecutorWarmState {
        executor: executor(0),
        failure_score: DecayingScore { value: 100.0, set_at: node.now },
        observations: DecayingScore { value: 1.0, set_at: node.now },
        max_slots: 1.0,
        warm_up_spent: Vec::new(),
    };
    for (count, stale) in [
        reply(executor(0), 9.0),
        Event::ProbeCompleted { executor: executor(0), reply: None },
        Event::GossipReceived(GossipMessage::RequestRejected { token, class: RequestClassId(0) }),
        Event::EndpointsUpdated {
            update: ListUpdate::Delta,
            endpoints: vec![endpoint(0, 0, EndpointState::Gone, None)],
        },
        Event::AttemptRecovered { request_id, executor: executor(0), sent_at: 0.0 },
        Event::WarmStateReceived(WarmState {
            executors: vec![exported],
            sample_size: 2,
            ..WarmState::default()
        }),
    ]
    .into_iter()
    .enumerate()
    {
        assert_eq!(node.handle(stale), [], "no action follows");
        assert_eq!(node.dispatcher.stale_events(), count as u64 + 1);
    }
    assert_eq!(node.dispatcher.executor_count(), 1);
    // A reply and an end of an attempt at the new executor take effect; the end of an earlier attempt does not.
    let actions = node.handle(reply(second, 0.0));
    assert_eq!(dispatched_to(&actions), Some(second));
    assert!(
        node.handle(Event::AttemptEnded {
            request_id: RequestId(1),
            attempt_id: AttemptId(0),
            outcome: Outcome::Error,
            is_request_closed: false
        })
        .is_empty()
    );
    assert!(released(&node.end_attempt(request_id, 0, Outcome::Completed)).is_empty());
    assert_eq!(node.dispatched(0).1, second, "the new executor has no failure score");
}

/// A fleet that one snapshot replaces is released, except for an executor that an open request refers to.
#[test]
fn a_fleet_that_is_replaced_by_one_snapshot_is_released() {
    let mut node = node(1.0);
    node.list_warm(50);
    let (request_id, executor) = node.dispatched(0);
    let next: Vec<Endpoint> =
        (50..100).map(|number| endpoint(number, number, EndpointState::Ready, None)).collect();
    node.update_endpoints(ListUpdate::Snapshot, &next);
    assert_eq!(node.dispatcher.executor_count(), 100);
    let first = node.reclaim();
    assert_eq!((first.len(), first.contains(&executor), node.dispatcher.executor_count()), (49, false, 51));
    assert!(number_of(node.dispatched(0).1) >= 50);
    let actions = node.end_attempt(request_id, 0, Outcome::Reset);
    let second =
        dispatched_to(&node.answer_probes(actions, |_| 0.0)).expect("it is retried in the new fleet");
    assert!(number_of(second) >= 50);
    assert!(node.reclaim().is_empty(), "the request refers to its first executor");
    node.end_attempt(request_id, 1, Outcome::Completed);
    assert_eq!(node.reclaim(), [executor]);
    // A third fleet in the released slots, with other generations.
    let reused: Vec<Endpoint> = (0..50)
        .map(|number| with_reused_handle(endpoint(number, number, EndpointState::Ready, None), 1))
        .collect();
    node.update_endpoints(ListUpdate::Snapshot, &reused);
    assert_eq!(node.reclaim().len(), 49, "one of them has an attempt in flight");
    assert!(number_of(node.dispatched(0).1) < 50);
}

/// An executor that is removed and listed again 1000 times has one state, or memory would grow with each restart.
#[test]
fn an_executor_that_is_listed_a_thousand_times_has_one_state() {
    let mut node = node(1.0);
    node.list_warm(4);
    for releases in 0..1000 {
        let handle = reused_handle(1, releases);
        // Every third time it is listed again before its release.
        if releases % 3 == 0 {
            node.update_endpoints(ListUpdate::Delta, &[with_reused_handle(gone(1), releases)]);
            node.update_endpoints(
                ListUpdate::Delta,
                &[with_reused_handle(endpoint(1, 1, EndpointState::Ready, None), releases)],
            );
            assert!(node.reclaim().is_empty());
        }
        let (request_id, _) = node.dispatched(0);
        node.end_attempt(request_id, 0, Outcome::Completed);
        node.update_endpoints(ListUpdate::Delta, &[with_reused_handle(gone(1), releases)]);
        assert_eq!((node.reclaim(), node.dispatcher.executor_count()), (vec![handle], 3));
        node.update_endpoints(
            ListUpdate::Delta,
            &[with_reused_handle(endpoint(1, 1, EndpointState::Ready, None), releases + 1)],
        );
        assert_eq!(node.dispatcher.executor_count(), 4);
    }
    assert_eq!(node.dispatcher.stale_events(), 0);
}

/// The state of executors that are gone is not handed over to the next process.
#[test]
fn only_listed_executors_are_handed_over() {
    let mut old = node(1.0);
    old.list_warm(3);
    let (request_id, executor) = old.dispatched(0);
    old.update_endpoints(ListUpdate::Delta, &[gone(number_of(executor))]);
    old.reclaim();
    let exported = old.dispatcher.export_state(old.now);
    assert_eq!(
        (exported.executors.len(), old.dispatcher.executor_count()),
        (2, 3),
        "the state of the third is not handed over"
    );
    let mut next = node(1.0);
    next.now = old.now;
    let endpoints: Vec<Endpoint> = exported
        .executors
        .iter()
        .map(|state| endpoint(number_of(state.executor), 0, EndpointState::Ready, None))
        .collect();
    next.update_endpoints(ListUpdate::Cached, &endpoints);
    next.handle(Event::WarmStateReceived(exported));
    assert_eq!((next.dispatcher.executor_count(), next.dispatcher.stale_events()), (2, 0));
    old.end_attempt(request_id, 0, Outcome::Completed);
    assert_eq!((old.reclaim(), next.reclaim()), (vec![executor], vec![]));
}

/// The spent budget of an executor that is gone is handed over while it counts, because the executor may be listed again
/// with the same start.
#[test]
fn a_spent_budget_of_an_executor_that_is_gone_is_handed_over() {
    let start = 50_000.0;
    let warming_up = endpoint(0, 0, EndpointState::Ready, Some(start));
    for (wait, is_handed_over) in [(0.5 * BUDGET_WINDOW, true), (1.5 * BUDGET_WINDOW, false)] {
        let mut old = node(1.0);
        old.now = start + 2.0 * BUDGET_WINDOW;
        old.update_endpoints(ListUpdate::Snapshot, &[warming_up]);
        assert!(warm_up_dispatches(&mut old) > 20);
        old.update_endpoints(ListUpdate::Snapshot, &[]);
        let mut next = node(1.0);
        next.now = old.now + wait;
        let exported = old.dispatcher.export_state(next.now);
        assert_eq!(exported.executors.len(), usize::from(is_handed_over));
        next.update_endpoints(ListUpdate::Cached, &[gone(0)]);
        next.handle(Event::WarmStateReceived(exported));
        next.update_endpoints(ListUpdate::Delta, &[warming_up]);
        // The budget has grown a little since the export.
        assert_eq!(warm_up_dispatches(&mut next) < 10, is_handed_over);
    }
}

/// The largest weight of a machine type is retained until the last executor of the type is released; without it,
/// capacities would be underestimated.
#[test]
fn the_largest_weight_is_retained_while_its_machine_type_has_executors() {
    let nodes_with_budget = |between: &[Endpoint], wait: bool| {
        let has_budget = |&number: &u64| {
            let mut settings = settings_of(40.0, Some(number as f64));
            settings.weight_source = WeightSource::Live;
            settings.classes[0].latency_objective = Some(900.0);
            let mut node = node_with_seed(settings, number);
            node.now = 50_000.0;
            let weighted =
                |weight, started| Endpoint { weight, ..endpoint(5, 5, EndpointState::Ready, started) };
            node.update_endpoints(ListUpdate::Snapshot, &[weighted(4.0, None)]);
            node.update_endpoints(ListUpdate::Snapshot, between);
            let releases = if wait { node.reclaim().len() } else { 0 };
            let warming_up = with_reused_handle(weighted(1.0, Some(node.now - 5000.0)), releases as u32);
            node.update_endpoints(ListUpdate::Snapshot, &[warming_up]);
            node.arrive(0).1.iter().any(|action| matches!(action, Action::Probe { .. }))
        };
        (0..40).filter(has_budget).count()
    };
    let other = endpoint(6, 6, EndpointState::Draining, None);
    for (case, between, wait, expected) in [
        ("the executor is gone and has state", &[][..], false, 2),
        ("the executor is released, and another one of its type has state", &[other], true, 2),
        ("no executor of its type has state", &[], true, 0),
    ] {
        assert_eq!(nodes_with_budget(between, wait), expected, "{case}");
    }
}
