//! Sampling: the ESM formula, and which and how many executors are probed.
mod helpers;
use helpers::*;
use troutknot::policy::{best_sample_size, time_in_system};
use troutknot::*;

/// Values of figure 1 of the paper, with C = 0.003.
#[test]
fn the_formula_has_the_values_of_the_paper() {
    let time = |size, load| time_in_system(size, load, 0.003).unwrap();
    for (size, load, low, high) in [
        (2, 0.80, 1.8, 2.1),
        (20, 0.80, 1.03, 1.15),
        (2, 0.90, 2.4, 2.8),
        (2, 0.95, 3.0, 3.7),
        (1, 0.50, 1.9, 2.1),
    ] {
        assert!((low..high).contains(&time(size, load)), "size {size}, load {load}: {}", time(size, load));
    }
    for load in [0.80, 0.90, 0.95] {
        let stable = (2..100).filter(|&size| time_in_system(size, load, 0.003).is_some());
        let best = stable.min_by(|&one, &other| time(one, load).total_cmp(&time(other, load))).unwrap();
        assert!(
            time(best, load) < time(2, load)
                && (best + 5..60).any(|size| {
                    time_in_system(size, load, 0.003).is_none_or(|other| other > time(best, load))
                })
        );
    }
    // In the first case no sample size is stable.
    for (busy_ratio, cost, expected) in [(0.99, 0.6, None), (0.2, 0.0, Some(8)), (0.001, 0.5, Some(2))] {
        assert_eq!(
            best_sample_size(busy_ratio, 2, cost, 8),
            expected,
            "busy ratio {busy_ratio}, cost {cost}"
        );
    }
}

/// The sampling weight of an executor in slow start is its progress, in a large fleet the square root of its progress.
#[test]
fn executors_in_slow_start_are_sampled_less() {
    for (is_large_fleet, low, high) in [(false, 0.27, 0.34), (true, 0.37, 0.43)] {
        let mut node = node(if is_large_fleet { 9.0 } else { 1.0 });
        node.now = 50_000.0;
        let (warming_up, all) = (4000, 8000);
        let started = |number| (number < warming_up).then_some(47_500.0);
        let endpoints: Vec<Endpoint> =
            (0..all).map(|number| endpoint(number, number, EndpointState::Ready, started(number))).collect();
        node.update_endpoints(ListUpdate::Snapshot, &endpoints);
        let (mut sampled_warming_up, count) = (0, 3000);
        for number in 0..count + 100 {
            let (request_id, actions) = node.arrive(0);
            let sampled = probed(&actions).map(number_of);
            sampled_warming_up +=
                (number >= 100 && sampled.expect("an executor is sampled") < warming_up) as u32;
            node.handle(Event::RequestWithdrawn { request_id });
            node.answer_probes(actions, |_| if is_large_fleet { 2.0 } else { 0.0 });
        }
        // After a quarter of the ramp, which starts at a quarter, the weight is 0.4375: 0.4375 of 1.4375 samples, or with
        // the square root 0.66 of 1.66.
        let share = sampled_warming_up as f64 / count as f64;
        assert!((low..high).contains(&share), "{share} of the samples, large fleet: {is_large_fleet}");
    }
}

/// One probe suffices if the first executor has no queue and this node has no attempts there.
#[test]
fn probing_stops_at_an_idle_executor() {
    for (has_attempts, expected) in [(false, 1), (true, 2)] {
        let mut node = node(1.0);
        node.list_warm(2);
        let mut max_probes = 0;
        for _ in 0..20 {
            let (request_id, mut actions) = node.arrive(0);
            let mut probes = 0;
            while let [Action::Probe { executor }, ..] = actions[..] {
                probes += 1;
                let report = LoadReport { queue_length: Some(0.0), ..LoadReport::default() };
                actions = node.handle(probe_reply(executor, 1.0, report));
            }
            assert!(dispatched_to(&actions).is_some());
            if !has_attempts {
                node.end_attempt(request_id, 0, Outcome::Completed);
            }
            max_probes = max_probes.max(probes);
        }
        assert_eq!(max_probes, expected, "attempts in flight: {has_attempts}");
    }
}

/// If probes have a price, one that shows capacity suffices, even if this node has attempts at all executors.
#[test]
fn one_priced_probe_that_shows_capacity_suffices() {
    // The price, the free slots that each of eight executors shows, and whether one probe suffices.
    for (price, free, is_sufficient) in
        [(0.01, 3.0, true), (0.01, 1.0, true), (0.001, 3.0, true), (0.0, 3.0, false)]
    {
        let mut settings = settings_of(1.0, None);
        settings.prices.probe = price;
        let mut node = node_with(settings);
        node.list_warm(8);
        let (mut has_attempt, mut probes) = ([false; 8], 0);
        for number in 0..400 {
            node.now += 1000.0;
            let free_slots = Some(if has_attempt == [true; 8] { free } else { 4.0 });
            let (request_id, mut actions) = node.arrive(0);
            while let Some(executor) = probed(&actions) {
                probes += u32::from(number >= 300);
                let report = LoadReport { queue_length: Some(0.0), free_slots, ..LoadReport::default() };
                actions = node.handle(probe_reply(executor, 1.0, report));
            }
            // One attempt remains in flight at each executor; the others end.
            let executor = number_of(dispatched_to(&actions).unwrap()) as usize;
            if std::mem::replace(&mut has_attempt[executor], true) {
                node.end_attempt(request_id, 0, Outcome::Completed);
            }
        }
        assert!(has_attempt == [true; 8]);
        let expected = if is_sufficient { 100..=100 } else { 150..=300 };
        assert!(
            expected.contains(&probes),
            "{probes} probes for 100 requests, price {price}, {free} slots free"
        );
    }
}

/// A node of a large fleet rarely queues requests, so it detects short capacity by the probe replies. It then probes once
/// and queues the request. A single node, and a node whose replies rarely show queues, samples again.
#[test]
fn a_request_is_probed_for_once_if_replies_show_no_capacity() {
    for (nodes, busy, max_probes) in [(100.0, true, 1), (100.0, false, 6), (1.0, true, 6)] {
        let mut node = node(nodes);
        node.list_warm(20);
        for _ in 0..200 {
            let (request_id, actions) = node.arrive(0);
            node.answer_probes(actions, |_| if busy { 3.0 } else { 0.0 });
            node.handle(Event::RequestWithdrawn { request_id });
            node.now += 20.0;
        }
        let probes = std::cell::Cell::new(0);
        let (_, actions) = node.arrive(0);
        node.answer_probes(actions, |_| {
            probes.set(probes.get() + 1);
            3.0
        });
        let probes = probes.get();
        assert!(
            probes <= max_probes && (probes > 1) == (max_probes > 1),
            "{nodes} nodes, replies with queues: {busy}, {probes} probes"
        );
    }
}

/// If dispatches across zones have a price, executors of another zone are sampled less, but get the requests for which
/// the node's own zone has no capacity.
#[test]
fn executors_of_another_zone_are_sampled_less_if_cross_zone_dispatches_have_a_price() {
    for (price, is_local_full, min_share, max_share) in
        [(0.0, false, 0.35, 0.65), (0.03, false, 0.02, 0.3), (0.03, true, 1.0, 1.0)]
    {
        let mut settings = settings_of(1.0, None);
        settings.prices.cross_zone = price;
        settings.zone = Some(0.0);
        let mut node = node_with(settings);
        let in_zone = |number: u32| Endpoint {
            zone: Some(ZoneId(number % 2)),
            ..endpoint(number, number, EndpointState::Ready, None)
        };
        node.update_endpoints(ListUpdate::Snapshot, &(0..40).map(in_zone).collect::<Vec<_>>());
        let queue = |number: u32| if is_local_full && number.is_multiple_of(2) { 3.0 } else { 0.0 };
        let (mut dispatched, mut cross_zone) = (0, 0);
        for _ in 0..60 {
            node.now += 5.0;
            let (request_id, actions) = node.arrive(0);
            if let Some(to) = dispatched_to(&node.answer_probes(actions, queue)) {
                (dispatched, cross_zone) = (dispatched + 1, cross_zone + number_of(to) % 2);
            }
            node.handle(Event::RequestWithdrawn { request_id });
        }
        let share = f64::from(cross_zone) / f64::from(dispatched);
        assert!(
            dispatched > 20 && (min_share..=max_share).contains(&share),
            "{cross_zone} of {dispatched} cross zones, price {price}, own zone full: {is_local_full}"
        );
    }
}
