//! Broken idle connections, hedged requests, rejections by class, and the nodes that share a warm-up budget.
mod helpers;
use helpers::*;
use troutknot::settings::WeightSource;
use troutknot::*;

enum Flag {
    Gossip,
    Hedging,
    ReportsStart,
}

/// Returns settings with an idle timeout of 15 s and these flags.
fn settings_with(flags: &[Flag]) -> Settings {
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

/// After a reset over an idle connection, before the attempt started, peers are notified and idle connections are
/// closed for 30 s. Otherwise further requests would be lost over broken connections.
#[test]
fn idle_connections_are_closed_after_one_was_found_broken() {
    for (idle_time, has_started, reset_after, is_stale) in [
        (2e3, false, 1.0, true),
        (2e3, true, 1.0, false),
        (2e3, false, 900.0, false),
        (16e3, false, 1.0, false),
    ] {
        let mut node = node_with(settings_with(&[Flag::Gossip]));
        node.list_warm(1);
        let (request_id, _) = node.dispatched(0);
        node.end_attempt(request_id, 0, Outcome::Completed);
        node.now += idle_time;
        let (request_id, _) = node.dispatched(3);
        if has_started {
            node.handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        }
        node.now += reset_after;
        let actions = node.end_attempt(request_id, 0, Outcome::Reset);
        assert_eq!(
            (response_to(&actions), actions.contains(&Action::Gossip(GossipMessage::IdleConnectionLost))),
            (Response::Failed, is_stale)
        );
        for age in 0..40 {
            let (request_id, actions) = node.arrive(0);
            let closes = node
                .answer_probes(actions, |_| 0.0)
                .iter()
                .any(|action| matches!(action, Action::CloseIdleConnections { .. }));
            assert_eq!(
                closes,
                is_stale && (1..30).contains(&age),
                "idle for {idle_time} ms, started: {has_started}, reset after {reset_after} ms, {age} s later"
            );
            node.end_attempt(request_id, 0, Outcome::Completed);
            node.now += 1000.0;
        }
    }
}

/// An attempt that has not started although its executor reports free capacity was lost. The request is hedged if its
/// class allows it, and peers are notified.
#[test]
fn a_lost_attempt_is_hedged() {
    for (flags, class, has_started, queue_length, free_slots, is_hedged) in [
        (3, 0, false, 0.0, 4.0, true),
        (3, 1, false, 0.0, 4.0, true),
        (3, 3, false, 0.0, 4.0, false),
        (3, 0, true, 0.0, 4.0, false),
        (3, 0, false, 2.0, 4.0, false),
        (2, 0, false, 0.0, 4.0, false),
    ] {
        let mut node = node_with(settings_with(&[Flag::Gossip, Flag::ReportsStart, Flag::Hedging][..flags]));
        node.list_warm(4);
        let (request_id, executor) = node.dispatched(class);
        if has_started {
            node.handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        }
        node.now += 600.0;
        let is_checked = node.handle(Event::TimerFired).contains(&Action::Probe { executor });
        assert_eq!(is_checked, flags == 3 && !has_started);
        let report = LoadReport {
            queue_length: Some(queue_length),
            free_slots: Some(free_slots),
            ..LoadReport::default()
        };
        let actions = node.handle(probe_reply(executor, 1.0, report));
        let is_reported = actions
            .iter()
            .any(|action| matches!(action, Action::Gossip(GossipMessage::RequestRejected { .. })));
        let second = dispatched_to(&node.answer_probes(actions, |_| 0.0));
        assert_eq!(
            (is_reported, second.is_some_and(|second| second != executor)),
            (is_checked && queue_length == 0.0 && free_slots > 0.0, is_hedged)
        );
    }
}

/// A hedged request has one answer for any outcomes of its two attempts, in either order.
#[test]
fn a_hedged_request_has_one_answer() {
    use Outcome::*;
    for (early, late, order, expected) in [
        (Completed, Reset, [0, 1], Response::Waiting),
        (Reset, Completed, [1, 0], Response::Waiting),
        (Rejected, TimedOut, [1, 0], Response::Dispatching),
    ] {
        let mut node = node_with(settings_with(&[Flag::Hedging, Flag::ReportsStart]));
        node.list_warm(6);
        let (request_id, _) = node.dispatched(0);
        node.now += 600.0;
        let actions = node.handle(Event::TimerFired);
        dispatched_to(&node.answer_probes(actions, |_| 0.0)).expect("a second attempt");
        assert_eq!(
            response_to(&node.end_attempt(request_id, order[0], early)),
            Response::Waiting,
            "already answered, or the other attempt is in flight"
        );
        let actions = node.end_attempt(request_id, order[1], late);
        assert_eq!(response_to(&actions), expected, "{early:?} {late:?}");
    }
}

/// Rejections, observed or reported by a peer, lower the weight of an executor for their class only, and never exclude
/// it.
#[test]
fn rejections_lower_the_weight_for_their_class_only() {
    let token = endpoint(2, 2, EndpointState::Ready, None).token as u32;
    for (is_observed, token, is_fewer) in [(true, 0, true), (false, token, true), (false, 5, false)] {
        let mut node = node_with(settings_with(&[Flag::Gossip]));
        node.list_warm(4);
        let mut dispatched = [0; 2];
        for number in 0..800 {
            node.now += 50.0;
            let message = GossipMessage::RequestRejected { token, class: RequestClassId(3) };
            let followed = if is_observed { Vec::new() } else { node.handle(Event::GossipReceived(message)) };
            assert!(!followed.contains(&Action::Gossip(message)));
            let (request_id, executor) = node.dispatched([0, 3][number % 2]);
            dispatched[number % 2] += usize::from(number_of(executor) == 2);
            let is_rejected = is_observed && number_of(executor) == 2 && number % 2 == 1;
            let actions = node.end_attempt(
                request_id,
                0,
                if is_rejected { Outcome::Rejected } else { Outcome::Completed },
            );
            node.answer_probes(actions, |_| 0.0);
            node.end_attempt(request_id, 1, Outcome::Completed);
        }
        let [other, rejected] = dispatched;
        assert!(other > 60 && rejected > 0 && (rejected < 60) == is_fewer, "{dispatched:?}");
    }
}

/// The longer the latency objective, the fewer nodes share a warm-up budget. If weights fall with load, the largest
/// weight is the capacity.
#[test]
fn the_nodes_that_share_a_budget_depend_on_objective_and_weights() {
    for (latency_objective, weight_source, nodes) in [
        (50.0, WeightSource::Unstated, 8),
        (500.0, WeightSource::Unstated, 3),
        (700.0, WeightSource::Unstated, 2),
        (900.0, WeightSource::Unstated, 0),
        (900.0, WeightSource::Live, 2),
    ] {
        let has_budget = |&number: &u64| {
            let mut settings = settings_of(40.0, Some(number as f64));
            settings.classes[0].latency_objective = Some(latency_objective);
            settings.weight_source = weight_source.clone();
            let mut node = node_with_seed(settings, number);
            node.now = 50_000.0;
            let weighted =
                |weight, started| Endpoint { weight, ..endpoint(5, 5, EndpointState::Ready, started) };
            node.update_endpoints(ListUpdate::Snapshot, &[weighted(4.0, None)]);
            node.update_endpoints(ListUpdate::Snapshot, &[weighted(1.0, Some(45_000.0))]);
            node.arrive(0).1.iter().any(|action| matches!(action, Action::Probe { .. }))
        };
        let count = (0..40).filter(has_budget).count();
        assert_eq!(count, nodes, "objective of {latency_objective} ms, weights {weight_source:?}");
    }
}
