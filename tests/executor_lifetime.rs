//! From when to when the module holds an executor, by events alone.
mod helpers;
use helpers::*;
use troutknot::settings::WeightSource;
use troutknot::*;

/// Executors that are gone are looked over this often.
const RECLAIM_EVERY: Millis = 1000.0;
/// The helpers' span in which what was spent of a cold budget counts.
const FALL: Millis = 1000.0;

fn released(actions: &[Action]) -> Vec<ExecutorId> {
    let release = |action: &Action| match action {
        Action::ReleaseExecutor { executor } => Some(*executor),
        _ => None,
    };
    actions.iter().filter_map(release).collect()
}

fn gone(number: u32) -> Endpoint {
    listing(number, number, EndpointState::Gone, None)
}

/// The same executor's listing under the handle that its slot has after so many releases.
fn under(listing: Endpoint, releases: u32) -> Endpoint {
    Endpoint { executor: executor_again(number_of(listing.executor), releases), ..listing }
}

impl Node {
    /// Lets the time pass in which those that are gone are looked over; who is released.
    fn look_over(&mut self) -> Vec<ExecutorId> {
        self.now += RECLAIM_EVERY + 1.0;
        released(&self.tell(Event::TimerFired))
    }
}

/// Without traffic a wake sees to it, and only while somebody is gone.
#[test]
fn a_wake_is_set_while_somebody_is_gone() {
    let mut node = node(1.0);
    let wakes = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::SetTimer { .. }));
    node.warm(3);
    assert!(!wakes(&node.tell(Event::TimerFired)), "nobody is gone");
    let actions = node.list(ListUpdate::Delta, &[gone(1)]);
    assert!(actions.contains(&Action::SetTimer { at: RECLAIM_EVERY }), "{actions:?}");
    node.now = RECLAIM_EVERY;
    let actions = node.tell(Event::TimerFired);
    assert_eq!((released(&actions), node.node.executor_count()), (vec![executor(1)], 2));
    assert!(!wakes(&actions), "nobody is gone any more");
    assert!(!wakes(&node.list(ListUpdate::Delta, &[listing(0, 0, EndpointState::Draining, None)])));
}

/// At-most-once work is out where its executor is gone: until its end it is told apart, it has one answer, and
/// only then the executor is released.
#[test]
fn who_is_gone_is_held_until_its_attempt_has_ended() {
    for (outcome, answered) in [(Outcome::TimedOut, 'a'), (Outcome::NotSent, 'p')] {
        let mut node = node(1.0);
        node.warm(3);
        let (request_id, at) = node.pushed(3);
        let number = number_of(at);
        assert!(released(&node.list(ListUpdate::Delta, &[gone(number)])).is_empty());
        for _ in 0..4 {
            assert!(node.look_over().is_empty(), "its attempt is out");
        }
        node.now = 4999.0;
        let actions = node.end(request_id, 0, outcome);
        assert_eq!(said(&actions), answered, "{outcome:?}");
        let pushed = push_of(&node.answer(actions, |_| 0.0));
        assert_eq!(pushed.is_some(), answered == 'p', "what never ran goes elsewhere, in time");
        assert_ne!(pushed, Some(at));
        if answered == 'p' {
            assert!(node.look_over().is_empty(), "the request is open and names it");
            node.end(request_id, 1, Outcome::Completed);
        }
        assert_eq!(node.look_over(), [at], "{outcome:?}");
        assert!(node.end(request_id, 0, Outcome::Completed).is_empty(), "no second answer");
    }
}

/// A repeat goes to the group of an executor that is gone, so that one is held while the request is open.
#[test]
fn who_says_where_a_repeat_may_go_is_held() {
    let mut node = node(1.0);
    let in_groups = |phase| (0..4).map(|e| listing(e, e % 2, phase, None)).collect::<Vec<_>>();
    node.list(ListUpdate::Snapshot, &in_groups(EndpointState::Ready));
    let (request_id, first) = node.pushed(2);
    let group = number_of(first) % 2;
    let others: Vec<Endpoint> =
        in_groups(EndpointState::Ready).into_iter().filter(|l| l.executor != first).collect();
    node.list(ListUpdate::Snapshot, &others);
    assert!(node.look_over().is_empty());
    let actions = node.end(request_id, 0, Outcome::Reset);
    let second = push_of(&node.answer(actions, |_| 0.0)).expect("another of its group");
    assert_eq!((number_of(second) % 2, second == first), (group, false));
    assert!(node.look_over().is_empty());
    node.end(request_id, 1, Outcome::Completed);
    assert_eq!(node.look_over(), [first]);
}

/// How much cold work the only executor takes at once; nothing of it is left open.
fn cold_pushes(node: &mut Node) -> usize {
    let takes = |_: &usize| {
        let (request_id, actions) = node.arrive(0);
        let pushed = push_of(&node.answer(actions, |_| 0.0)).is_some();
        // It never ran, so that room is left for the next; what was spent stays spent.
        let actions = if pushed { node.end(request_id, 0, Outcome::NotSent) } else { Vec::new() };
        node.tell(Event::RequestWithdrawn { request_id });
        node.answer(actions, |_| 0.0);
        pushed
    };
    (0..200).filter(takes).count()
}

/// Back within the ramp: what was spent still counts for the same start, and not for another.
#[test]
fn a_spent_cold_budget_counts_for_who_is_back() {
    let start = 50_000.0;
    let fresh = |started| listing(0, 0, EndpointState::Ready, Some(started));
    let cold_node = || {
        let mut node = node(1.0);
        node.now = start + 2.0 * FALL;
        node.list(ListUpdate::Snapshot, &[fresh(start)]);
        let spent = cold_pushes(&mut node);
        assert!((20..60).contains(&spent), "{spent}");
        assert_eq!(cold_pushes(&mut node), 0, "it is used up");
        node
    };
    // The same start, soon: no more than it has warmed up by since.
    let mut node = cold_node();
    node.now += 100.0;
    node.list(ListUpdate::Delta, &[gone(0)]);
    node.now += 100.0;
    node.list(ListUpdate::Delta, &[fresh(start)]);
    assert!(cold_pushes(&mut node) <= 2);
    // The same start once what was spent counts no more, and it is released: all of it, under another handle.
    let mut node = cold_node();
    node.list(ListUpdate::Delta, &[gone(0)]);
    node.now += 0.9 * FALL;
    assert!(released(&node.tell(Event::TimerFired)).is_empty(), "it counts");
    assert_eq!(node.look_over(), [executor(0)]);
    node.list(ListUpdate::Delta, &[under(fresh(start), 1)]);
    assert!(cold_pushes(&mut node) > 20);
    // Another start, at once: it has a budget of its own.
    let mut node = cold_node();
    node.list(ListUpdate::Delta, &[gone(0)]);
    node.now += 100.0;
    node.list(ListUpdate::Delta, &[fresh(node.now - 50.0)]);
    assert!(cold_pushes(&mut node) > 20);
}

/// A probe that is out holds its executor; its answer for a slot's earlier owner changes nothing.
#[test]
fn an_answer_for_an_earlier_owner_of_a_slot_is_dropped_and_counted() {
    let mut node = node(1.0);
    node.warm(1);
    let reading =
        |queue| LoadReport { queue_length: Some(queue), free_slots: Some(4.0), ..LoadReport::default() };
    let probed = |executor, queue| replied(executor, 1.0, reading(queue));
    let (request_id, actions) = node.arrive(0);
    assert!(actions.contains(&Action::Probe { executor: executor(0) }));
    node.tell(Event::RequestWithdrawn { request_id });
    node.list(ListUpdate::Snapshot, &[]);
    assert!(node.look_over().is_empty(), "its probe is out");
    node.tell(probed(executor(0), 0.0));
    assert_eq!((node.look_over(), node.node.stale_events()), (vec![executor(0)], 0));
    // The slot has a new owner, which is being probed.
    let second = executor_again(0, 1);
    node.list(ListUpdate::Snapshot, &[under(listing(0, 7, EndpointState::Ready, None), 1)]);
    let (request_id, actions) = node.arrive(0);
    assert!(actions.contains(&Action::Probe { executor: second }));
    let token = listing(5, 5, EndpointState::Ready, None).token as u32;
    let learned = ExecutorWarmState {
        executor: executor(0),
        failure_score: DecayingScore { value: 100.0, set_at: node.now },
        observations: DecayingScore { value: 1.0, set_at: node.now },
        max_slots: 1.0,
        warm_up_spent: Vec::new(),
    };
    for (counted, stale) in [
        probed(executor(0), 9.0),
        Event::ProbeCompleted { executor: executor(0), reply: None },
        Event::GossipReceived(GossipMessage::WorkRejected { token, class: RequestClassId(0) }),
        Event::EndpointsUpdated {
            update: ListUpdate::Delta,
            endpoints: vec![listing(0, 0, EndpointState::Gone, None)],
        },
        Event::AttemptRecovered { request_id, executor: executor(0), sent_at: 0.0 },
        Event::WarmStateReceived(WarmState {
            executors: vec![learned],
            sample_size: 2,
            ..WarmState::default()
        }),
    ]
    .into_iter()
    .enumerate()
    {
        assert_eq!(node.tell(stale), [], "nothing follows");
        assert_eq!(node.node.stale_events(), counted as u64 + 1);
    }
    assert_eq!(node.node.executor_count(), 1);
    // The new owner's own answer counts, and so does its end; one for an attempt of before does not.
    let actions = node.tell(probed(second, 0.0));
    assert_eq!(push_of(&actions), Some(second));
    assert!(
        node.tell(Event::AttemptEnded {
            request_id: RequestId(1),
            attempt_id: AttemptId(0),
            outcome: Outcome::Error,
            is_request_closed: false
        })
        .is_empty()
    );
    assert!(released(&node.end(request_id, 0, Outcome::Completed)).is_empty());
    assert_eq!(node.pushed(0).1, second, "and it is trusted");
}

/// One whole list in which every name is new.
#[test]
fn a_fleet_that_is_replaced_in_one_list_is_released_and_the_next_one_serves() {
    let mut node = node(1.0);
    node.warm(50);
    let (out, at) = node.pushed(0);
    let next: Vec<Endpoint> = (50..100).map(|e| listing(e, e, EndpointState::Ready, None)).collect();
    node.list(ListUpdate::Snapshot, &next);
    assert_eq!(node.node.executor_count(), 100);
    let first = node.look_over();
    assert_eq!((first.len(), first.contains(&at), node.node.executor_count()), (49, false, 51));
    assert!(number_of(node.pushed(0).1) >= 50);
    let actions = node.end(out, 0, Outcome::Reset);
    let again = push_of(&node.answer(actions, |_| 0.0)).expect("it goes to the next fleet");
    assert!(number_of(again) >= 50);
    assert!(node.look_over().is_empty(), "the request names it");
    node.end(out, 1, Outcome::Completed);
    assert_eq!(node.look_over(), [at]);
    // In the slots that are free, under other generations.
    let reused: Vec<Endpoint> =
        (0..50).map(|e| under(listing(e, e, EndpointState::Ready, None), 1)).collect();
    node.list(ListUpdate::Snapshot, &reused);
    assert_eq!(node.look_over().len(), 49, "one of them has work out");
    assert!(number_of(node.pushed(0).1) < 50);
}

#[test]
fn one_that_is_gone_and_back_a_thousand_times_is_held_once() {
    let mut node = node(1.0);
    node.warm(4);
    for releases in 0..1000 {
        let mine = executor_again(1, releases);
        // Every third time it is back before it is released.
        if releases % 3 == 0 {
            node.list(ListUpdate::Delta, &[under(gone(1), releases)]);
            node.list(ListUpdate::Delta, &[under(listing(1, 1, EndpointState::Ready, None), releases)]);
            assert!(node.look_over().is_empty());
        }
        let (request_id, _) = node.pushed(0);
        node.end(request_id, 0, Outcome::Completed);
        node.list(ListUpdate::Delta, &[under(gone(1), releases)]);
        assert_eq!((node.look_over(), node.node.executor_count()), (vec![mine], 3));
        node.list(ListUpdate::Delta, &[under(listing(1, 1, EndpointState::Ready, None), releases + 1)]);
        assert_eq!(node.node.executor_count(), 4);
    }
    assert_eq!(node.node.stale_events(), 0);
}

/// A next process takes over while executors are gone: it is told of those in force alone, and what comes for
/// others is dropped.
#[test]
fn a_next_process_is_told_of_who_is_in_force() {
    let mut old = node(1.0);
    old.warm(3);
    let (request_id, at) = old.pushed(0);
    old.list(ListUpdate::Delta, &[gone(number_of(at))]);
    old.look_over();
    let learned = old.node.export_state(old.now);
    assert_eq!((learned.executors.len(), old.node.executor_count()), (2, 3), "it is held and not handed on");
    let mut next = node(1.0);
    next.now = old.now;
    let entries: Vec<Endpoint> = learned
        .executors
        .iter()
        .map(|learned| listing(number_of(learned.executor), 0, EndpointState::Ready, None))
        .collect();
    next.list(ListUpdate::Cached, &entries);
    next.tell(Event::WarmStateReceived(learned));
    assert_eq!((next.node.executor_count(), next.node.stale_events()), (2, 0));
    old.end(request_id, 0, Outcome::Completed);
    assert_eq!((old.look_over(), next.look_over()), (vec![at], vec![]));
}

/// The same for one that is gone with part of its cold budget out, which may be back with the same start.
#[test]
fn a_next_process_is_told_what_was_spent_of_a_cold_budget_by_who_is_gone() {
    let start = 50_000.0;
    let fresh = listing(0, 0, EndpointState::Ready, Some(start));
    for (wait, is_handed_on) in [(0.5 * FALL, true), (1.5 * FALL, false)] {
        let mut old = node(1.0);
        old.now = start + 2.0 * FALL;
        old.list(ListUpdate::Snapshot, &[fresh]);
        assert!(cold_pushes(&mut old) > 20);
        old.list(ListUpdate::Snapshot, &[]);
        let mut next = node(1.0);
        next.now = old.now + wait;
        let learned = old.node.export_state(next.now);
        assert_eq!(learned.executors.len(), usize::from(is_handed_on));
        next.list(ListUpdate::Cached, &[gone(0)]);
        next.tell(Event::WarmStateReceived(learned));
        next.list(ListUpdate::Delta, &[fresh]);
        // It has warmed up a little since.
        assert_eq!(cold_pushes(&mut next) < 10, is_handed_on);
    }
}

/// What is kept of a kind of machine goes with the last executor of that kind.
#[test]
fn the_largest_size_is_kept_while_there_are_machines_of_its_kind() {
    let holders = |between: &[Endpoint], wait: bool| {
        let probes = |&me: &u64| {
            let mut settings = settings_of(40.0, Some(me as f64));
            settings.weight_source = WeightSource::Live;
            settings.classes[0].latency_objective = Some(900.0);
            let mut node = with_seed(settings, me);
            node.now = 50_000.0;
            let sized =
                |size, started| Endpoint { weight: size, ..listing(5, 5, EndpointState::Ready, started) };
            node.list(ListUpdate::Snapshot, &[sized(4.0, None)]);
            node.list(ListUpdate::Snapshot, between);
            let releases = if wait { node.look_over().len() } else { 0 };
            let fresh = under(sized(1.0, Some(node.now - 5000.0)), releases as u32);
            node.list(ListUpdate::Snapshot, &[fresh]);
            node.arrive(0).1.iter().any(|action| matches!(action, Action::Probe { .. }))
        };
        (0..40).filter(probes).count()
    };
    let other = listing(6, 6, EndpointState::Draining, None);
    for (what, between, wait, expected) in [
        ("it is gone and held", &[][..], false, 2),
        ("it is released, and another of its kind is held", &[other], true, 2),
        ("none of its kind is held", &[], true, 0),
    ] {
        assert_eq!(holders(between, wait), expected, "{what}");
    }
}
