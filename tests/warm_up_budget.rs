//! The warm-up budget of one executor, shared by nodes and processes, and spent by running times.
mod helpers;
use helpers::*;
use troutknot::*;

/// During a burst of any length, all nodes together dispatch at least one request to an executor in slow start, and no
/// more than its budget. A node without a number uses an even share.
#[test]
fn all_nodes_together_stay_within_a_warm_up_budget() {
    for (nodes, is_numbered) in [(1, false), (4, false), (1, true), (3, true), (161, true), (314, true)] {
        let mut dispatched = 0;
        for number in 0..if is_numbered { nodes } else { 1 } {
            let mut node = node_numbered(nodes as f64, is_numbered.then_some(f64::from(number)));
            node.now = 50_000.0;
            node.update_endpoints(
                ListUpdate::Snapshot,
                &[endpoint(7, 0, EndpointState::Ready, Some(50_000.0))],
            );
            for _ in 0..100 {
                let (_, actions) = node.arrive(0);
                dispatched += dispatched_to(&node.answer_probes(actions, |_| 0.0)).is_some() as u32;
            }
        }
        // Four times the work of 4 slots at a quarter of their capacity over 1000 ms. A request is assumed to run for
        // 100 ms until running times are observed.
        let budget = 4.0 * 0.25 * 4.0 * 1000.0 / 100.0 / if is_numbered { 1.0 } else { nodes as f64 };
        assert!(
            dispatched >= 1 && f64::from(dispatched) <= budget,
            "{dispatched} of {budget} by {nodes} nodes, numbered: {is_numbered}"
        );
    }
}

/// Two processes of a node that both dispatch during a burst together stay within one budget if each is notified of the
/// other. Dispatches of the earlier one do not count after a restart of the executor.
#[test]
fn two_processes_of_a_node_stay_within_one_warm_up_budget() {
    let warming_up = |started| [endpoint(7, 0, EndpointState::Ready, Some(started))];
    // Sends another request and withdraws it at once, so that only the budget limits the dispatches.
    let dispatches = |node: &mut Node| {
        node.now += 11.0;
        let (request_id, actions) = node.arrive(0);
        let free_slots = Some(4.0 + node.now / 1e9);
        let mut is_dispatched = dispatched_to(&actions).is_some();
        if actions.iter().any(|action| matches!(action, Action::Probe { .. })) {
            let report = LoadReport { queue_length: Some(0.0), free_slots, ..LoadReport::default() };
            let probed = probe_reply(executor(7), 1.0, report);
            is_dispatched |= dispatched_to(&node.handle(probed)).is_some();
        }
        node.handle(Event::RequestWithdrawn { request_id });
        is_dispatched as u32
    };
    for (is_imported, is_announced) in [(true, true), (true, false), (false, true), (false, false)] {
        let (mut old, mut new) = (node(1.0), node(1.0));
        (old.now, new.now) = (50_000.0, 50_000.0);
        old.update_endpoints(ListUpdate::Snapshot, &warming_up(50_000.0));
        let mut dispatched = (0..10).map(|_| dispatches(&mut old)).sum::<u32>();
        let exported = old.dispatcher.export_state(old.now);
        new.now = old.now;
        new.update_endpoints(ListUpdate::Cached, &warming_up(50_000.0));
        if is_imported {
            new.handle(Event::WarmStateReceived(exported));
        }
        if is_announced {
            for node in [&mut old, &mut new] {
                node.handle(Event::SiblingChanged { is_running: true });
            }
        }
        dispatched += (0..75).map(|_| dispatches(&mut old) + dispatches(&mut new)).sum::<u32>();
        // Four times the work of 4 slots at a quarter of their capacity over 1000 ms. A request is assumed to run for
        // 100 ms until running times are observed.
        let budget = 4.0 * 0.25 * 4.0 * 1000.0 / 100.0;
        let case = format!("imported: {is_imported}, announced: {is_announced}");
        assert_eq!(f64::from(dispatched) <= budget, is_announced, "{dispatched} of {budget}, {case}");
        let is_used = f64::from(dispatched) > budget / 2.0;
        assert!(!(is_imported && is_announced) || is_used, "{dispatched} of {budget}");
        // After the other process has stopped, half of the budget is available as long as its dispatches count.
        new.handle(Event::SiblingChanged { is_running: false });
        new.update_endpoints(ListUpdate::Delta, &warming_up(new.now));
        let half = (0..75).map(|_| dispatches(&mut new)).sum::<u32>();
        assert!(half >= 5 && f64::from(half) <= budget / 2.0, "after a restart: {half} of {budget}");
    }
}

/// If waiting times were spent as well, an executor in slow start would get too few requests.
#[test]
fn a_budget_is_spent_by_running_times_and_not_by_waits() {
    for starts_reported in [true, false] {
        let mut node = node_without_probes(starts_reported);
        node.list_warm(1);
        // Each request waits for 140 ms, which is not late yet, and runs for 50 ms.
        for _ in 0..100 {
            let (request_id, _) = node.arrive(0);
            node.now += 140.0;
            _ = starts_reported
                .then(|| node.handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) }));
            node.now += 50.0;
            node.end_attempt(request_id, 0, Outcome::Completed);
        }
        // An executor that started 1500 ms ago, whose budget is assigned to this node.
        let warming_up =
            Endpoint { token: 300, ..endpoint(1, 0, EndpointState::Ready, Some(node.now - 1500.0)) };
        node.update_endpoints(ListUpdate::Delta, &[warming_up]);
        assert_eq!((0..50).any(|_| dispatched_to(&node.arrive(0).1) == Some(executor(1))), starts_reported);
    }
}
