//! The times of calls for the endpoint list after its watch was lost.
mod helpers;
use helpers::*;
use troutknot::settings::DiscoveryMode;
use troutknot::*;

/// A node whose backoff exceeds the poll interval would use an outdated list for too long.
#[test]
fn a_lost_list_is_called_for_within_the_poll_interval() {
    let mut settings = Settings { discovery_mode: DiscoveryMode::Subscribe, ..Settings::default() };
    settings.rules.poll_interval = Some(4000.0);
    let mut node = node_with(settings);
    assert!(node.poll().contains(&Action::WatchEndpoints));
    node.list_warm(2);
    for _ in 0..10 {
        let wait = next_call_after(&mut node, true);
        assert!(wait > 0.0 && wait <= 1000.0);
        node.now += wait;
        assert!(node.handle(Event::TimerFired).contains(&Action::WatchEndpoints));
    }
}

/// After a failure at all of them, 100 nodes spread their calls over much of the poll interval, so that they do not
/// overload the source. Two nodes, and all nodes right after the list was received, call soon.
#[test]
fn many_rejected_nodes_spread_their_calls() {
    for (nodes, was_received, earliest, latest) in
        [(100.0, false, 5000.0, 9500.0), (100.0, true, 0.0, 200.0), (2.0, false, 0.0, 500.0)]
    {
        let waits: Vec<f64> = (0..100)
            .map(|seed| {
                let mut settings = settings_of(nodes, None);
                // This also holds for a pushed list: its source is reachable and receives too many calls.
                settings.discovery_mode =
                    if seed % 2 == 0 { DiscoveryMode::Push } else { DiscoveryMode::Subscribe };
                settings.rules.drain_grace = Some(2000.0);
                let mut node = node_with_seed(settings, seed);
                node.list_warm(2);
                if !was_received {
                    node.handle(Event::EndpointWatchLost { is_rejected: true });
                    node.now = 20_000.0;
                    node.handle(Event::TimerFired);
                }
                next_call_after(&mut node, true)
            })
            .collect();
        let last = waits.iter().copied().fold(0.0, f64::max);
        assert!(
            last >= earliest && last <= latest,
            "{nodes} nodes, list received: {was_received}, last call after {last} ms"
        );
        // Fewer than a quarter of the nodes call in any half second.
        let busiest =
            (0..20).map(|slice| waits.iter().filter(|&&wait| (wait / 500.0) as i32 == slice).count()).max();
        assert!(earliest == 0.0 || busiest < Some(25), "{busiest:?}");
    }
}

/// After a pushing source stopped answering, calls follow within a quarter of the drain grace, for any number of nodes
/// and failures. Otherwise a node would dispatch to executors whose drain it has not received.
#[test]
fn calls_to_a_silent_pushing_source_follow_within_a_part_of_the_drain_grace() {
    for (nodes, grace, latest) in [(300.0, 2000.0, 500.0), (6.0, 2000.0, 500.0), (300.0, 250.0, 100.0)] {
        let mut settings = settings_of(nodes, None);
        settings.discovery_mode = DiscoveryMode::Push;
        settings.rules.drain_grace = Some(grace);
        for seed in 0..100 {
            let mut node = node_with_seed(settings.clone(), seed);
            for failure in 1..10 {
                let wait = next_call_after(&mut node, false);
                assert!(
                    (50.0..=latest).contains(&wait),
                    "{nodes} nodes, failure {failure}: {wait} ms, grace of {grace} ms"
                );
                node.now += wait;
                assert!(node.handle(Event::TimerFired).contains(&Action::WatchEndpoints));
            }
        }
    }
}

/// All calls follow within the poll interval, and the first ones after the loss of a received list follow soon.
#[test]
fn calls_follow_within_the_poll_interval() {
    const POLL_INTERVAL: Millis = 3000.0;
    let modes = [DiscoveryMode::Push, DiscoveryMode::Subscribe];
    let cases = modes.into_iter().flat_map(|mode| [500.0, 30_000.0].map(|grace| (mode, grace)));
    for ((mode, grace), seed) in cases.flat_map(|case| (0..100).map(move |seed| (case, seed))) {
        let mut settings = settings_of(300.0, None);
        settings.discovery_mode = mode;
        settings.rules.poll_interval = Some(POLL_INTERVAL);
        settings.rules.drain_grace = Some(grace);
        for is_rejected in [true, false] {
            let mut node = node_with_seed(settings.clone(), seed);
            node.list_warm(2);
            for failure in 1..10 {
                let wait = next_call_after(&mut node, is_rejected);
                let latest = match failure {
                    1 => 200.0,
                    2 if !is_rejected => 400.0,
                    _ => POLL_INTERVAL,
                };
                assert!(
                    wait <= latest,
                    "{mode:?}, grace {grace} ms, rejected: {is_rejected}, failure {failure}: {wait} ms"
                );
                node.now += wait;
                assert!(node.handle(Event::TimerFired).contains(&Action::WatchEndpoints));
            }
        }
    }
}

/// Reports the loss of the list and returns the time to the next call, in milliseconds.
fn next_call_after(node: &mut Node, is_rejected: bool) -> f64 {
    let actions = node.handle(Event::EndpointWatchLost { is_rejected });
    let at =
        actions.iter().find_map(|action| if let Action::SetTimer { at } = action { Some(*at) } else { None });
    at.expect("a next call") - node.now
}
