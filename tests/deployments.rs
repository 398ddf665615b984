//! What deployments of another shape ask of the module, by events alone.
mod helpers;
use helpers::*;
use troutknot::settings::WeightSource;
use troutknot::*;

enum Flag {
    Gossip,
    Hedging,
    ReportsStart,
}

/// The settings of the tests, with idle connections kept for 15 s and flags as named.
fn shape(flags: &[Flag]) -> Settings {
    let mut settings = settings_of(1.0, None);
    settings.limits.idle_timeout = Some(15_000.0);
    for flag in flags {
        match flag {
            Flag::Gossip => settings.limits.gossip_enabled = true,
            Flag::Hedging => settings.limits.hedging_enabled = true,
            Flag::ReportsStart => settings.executors.reports_start = true,
        }
    }
    settings
}

/// A reset before any start over a connection that was idle is told, and idle ones are closed for 30 s.
#[test]
fn idle_connections_that_are_gone_are_closed_before_they_are_used() {
    for (idle, begun, after, gone) in [
        (2e3, false, 1.0, true),
        (2e3, true, 1.0, false),
        (2e3, false, 900.0, false),
        (16e3, false, 1.0, false),
    ] {
        let mut node = with(shape(&[Flag::Gossip]));
        node.warm(1);
        let (request_id, _) = node.pushed(0);
        node.end(request_id, 0, Outcome::Completed);
        node.now += idle;
        let (request_id, _) = node.pushed(3);
        if begun {
            node.tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        }
        node.now += after;
        let actions = node.end(request_id, 0, Outcome::Reset);
        assert_eq!(
            (said(&actions), actions.contains(&Action::Gossip(GossipMessage::IdleConnectionLost))),
            ('a', gone)
        );
        for age in 0..40 {
            let (request_id, actions) = node.arrive(0);
            let closes = node
                .answer(actions, |_| 0.0)
                .iter()
                .any(|a| matches!(a, Action::CloseIdleConnections { .. }));
            assert_eq!(closes, gone && (1..30).contains(&age), "{idle} {begun} {after}: {age} s");
            node.end(request_id, 0, Outcome::Completed);
            node.now += 1000.0;
        }
    }
}

/// What has not begun though its executor shows room was lost: a copy goes elsewhere if it may, and it is told.
#[test]
fn a_second_copy_where_the_first_was_lost() {
    for (flags, project_type, begun, queue, free, copied) in [
        (3, 0, false, 0.0, 4.0, true),
        (3, 1, false, 0.0, 4.0, true),
        (3, 3, false, 0.0, 4.0, false),
        (3, 0, true, 0.0, 4.0, false),
        (3, 0, false, 2.0, 4.0, false),
        (2, 0, false, 0.0, 4.0, false),
    ] {
        let mut node = with(shape(&[Flag::Gossip, Flag::ReportsStart, Flag::Hedging][..flags]));
        node.warm(4);
        let (request_id, executor) = node.pushed(project_type);
        if begun {
            node.tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        }
        node.now += 600.0;
        let asked = node.tell(Event::TimerFired).contains(&Action::Probe { executor });
        assert_eq!(asked, flags == 3 && !begun);
        let reading =
            LoadReport { queue_length: Some(queue), free_slots: Some(free), ..LoadReport::default() };
        let actions = node.tell(replied(executor, 1.0, reading));
        let told = actions.iter().any(|a| matches!(a, Action::Gossip(GossipMessage::WorkRejected { .. })));
        let second = push_of(&node.answer(actions, |_| 0.0));
        assert_eq!(
            (told, second.is_some_and(|second| second != executor)),
            (asked && queue == 0.0 && free > 0.0, copied)
        );
    }
}

/// Both outcomes of two copies, in either order: one answer.
#[test]
fn two_copies_have_one_answer() {
    use Outcome::*;
    for (early, late, order, expected) in
        [(Completed, Reset, [0, 1], 'h'), (Reset, Completed, [1, 0], 'h'), (Rejected, TimedOut, [1, 0], 'p')]
    {
        let mut node = with(shape(&[Flag::Hedging, Flag::ReportsStart]));
        node.warm(6);
        let (request_id, _) = node.pushed(0);
        node.now += 600.0;
        let actions = node.tell(Event::TimerFired);
        push_of(&node.answer(actions, |_| 0.0)).expect("a second copy");
        assert_eq!(said(&node.end(request_id, order[0], early)), 'h', "answered, or the other is out");
        let actions = node.end(request_id, order[1], late);
        assert_eq!(said(&actions), expected, "{early:?} {late:?}");
    }
}

/// What an executor turns away, or another says so, counts for that type alone and never shuts it out.
#[test]
fn what_an_executor_turns_away_is_remembered_by_type() {
    let token = listing(2, 2, EndpointState::Ready, None).token as u32;
    for (seen, token, less) in [(true, 0, true), (false, token, true), (false, 5, false)] {
        let mut node = with(shape(&[Flag::Gossip]));
        node.warm(4);
        let mut sent = [0; 2];
        for k in 0..800 {
            node.now += 50.0;
            let told = GossipMessage::WorkRejected { token, class: RequestClassId(3) };
            let echo = if seen { Vec::new() } else { node.tell(Event::GossipReceived(told)) };
            assert!(!echo.contains(&Action::Gossip(told)));
            let (request_id, executor) = node.pushed([0, 3][k % 2]);
            sent[k % 2] += usize::from(number_of(executor) == 2);
            let turned = seen && number_of(executor) == 2 && k % 2 == 1;
            let actions =
                node.end(request_id, 0, if turned { Outcome::Rejected } else { Outcome::Completed });
            node.answer(actions, |_| 0.0);
            node.end(request_id, 1, Outcome::Completed);
        }
        assert!(sent[0] > 60 && sent[1] > 0 && (sent[1] < 60) == less, "{sent:?}");
    }
}

/// Few nodes have a fresh executor's budget where work is long; falling sizes say how much by the largest.
#[test]
fn a_cold_budget_goes_by_settings_and_sizes() {
    for (turnaround, weight_source, holders) in [
        (50.0, WeightSource::Unstated, 8),
        (500.0, WeightSource::Unstated, 3),
        (700.0, WeightSource::Unstated, 2),
        (900.0, WeightSource::Unstated, 0),
        (900.0, WeightSource::Live, 2),
    ] {
        let probes = |&me: &u64| {
            let mut settings = settings_of(40.0, Some(me as f64));
            settings.classes[0].latency_objective = Some(turnaround);
            settings.weight_source = weight_source.clone();
            let mut node = with_seed(settings, me);
            node.now = 50_000.0;
            let sized =
                |size, started| Endpoint { weight: size, ..listing(5, 5, EndpointState::Ready, started) };
            node.list(ListUpdate::Snapshot, &[sized(4.0, None)]);
            node.list(ListUpdate::Snapshot, &[sized(1.0, Some(45_000.0))]);
            node.arrive(0).1.iter().any(|a| matches!(a, Action::Probe { .. }))
        };
        assert_eq!((0..40).filter(probes).count(), holders, "{turnaround} {weight_source:?}");
    }
}
