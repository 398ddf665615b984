//! Load shedding without probes: requests are rejected while this node's attempts start late, and admitted again once
//! attempts start in time.
mod helpers;
use helpers::*;
use std::collections::BTreeMap;
use troutknot::*;

const RUNNING_TIME: Millis = 50.0;
/// Longest delay of a start in time: the latency objective of 100 ms plus the running time.
const LATEST_START: Millis = 150.0;
/// Longest delay of an end in time if starts are not reported: a quarter of the deadline of 5 s.
const LATEST_END: Millis = 1250.0;

fn settings_without_probes(starts_reported: bool) -> Settings {
    let mut settings = settings_of(300.0, Some(0.0));
    settings.limits.probes_enabled = false;
    settings.executors.reports_start = starts_reported;
    settings
}

/// Sends requests one after the other; each attempt starts after `wait` and runs for [`RUNNING_TIME`]. Returns the
/// number of admitted requests.
fn admitted_of(node: &mut Node, requests: usize, class: u32, wait: Millis, starts_reported: bool) -> usize {
    let mut admitted = 0;
    for _ in 0..requests {
        let (request_id, actions) = node.arrive(class);
        if dispatched_to(&actions).is_none() {
            assert_eq!(
                response_to(&actions),
                Response::Rejected,
                "a request that is not admitted is answered at once"
            );
            node.now += 1.0;
            continue;
        }
        admitted += 1;
        node.now += wait;
        node.handle(Event::TimerFired);
        if starts_reported {
            node.handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        }
        node.now += RUNNING_TIME;
        node.end_attempt(request_id, 0, Outcome::Completed);
    }
    admitted
}

/// Without shedding, queues at executors would grow; without the recovery, requests would be rejected after an
/// overload.
#[test]
fn requests_are_rejected_while_attempts_start_late_and_admitted_again_after() {
    for (starts_reported, latest) in [(true, LATEST_START), (false, LATEST_END)] {
        let mut node = node_with(settings_without_probes(starts_reported));
        node.list_warm(4);
        let in_time = latest - 2.0 * RUNNING_TIME;
        assert_eq!(admitted_of(&mut node, 200, 0, in_time, starts_reported), 200, "nothing is late");
        let admitted = admitted_of(&mut node, 400, 0, latest + 100.0, starts_reported);
        assert!((5..80).contains(&admitted), "{admitted} of 400 admitted while all start late");
        admitted_of(&mut node, 800, 0, in_time, starts_reported);
        assert_eq!(admitted_of(&mut node, 200, 0, in_time, starts_reported), 200, "the overload is over");
    }
}

/// A late start that is counted again when it is reported would reject too many requests.
#[test]
fn a_late_start_is_counted_only_once() {
    let admitted_after = |is_reported: bool| {
        let mut node = node_with(settings_without_probes(true));
        node.list_warm(4);
        let (in_flight, _): (Vec<RequestId>, Vec<_>) = (0..12).map(|_| node.arrive(0)).unzip();
        node.now += 2.0 * LATEST_START;
        node.handle(Event::TimerFired);
        if is_reported {
            node.now += 500.0;
            in_flight.iter().for_each(|&request_id| {
                _ = node.handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) })
            });
        }
        (0..400).filter(|_| dispatched_to(&node.arrive(0).1).is_some()).count()
    };
    let (unreported, reported) = (admitted_after(false), admitted_after(true));
    assert!((20..100).contains(&unreported), "{unreported} of 400 admitted after twelve late starts");
    assert_eq!(unreported, reported, "a late start that is reported does not count again");
}

/// If all classes were shed alike, an overload would cost more value than necessary.
#[test]
fn requests_of_higher_cost_for_their_value_are_rejected_first() {
    let mut settings = settings_without_probes(true);
    settings.classes[0].value = 10.0;
    settings.classes[1].value = 1.0;
    let mut node = node_with(settings);
    node.list_warm(4);
    admitted_of(&mut node, 5, 0, 3000.0, true);
    let mut admitted = [0, 0];
    for number in 0..600_usize {
        let (_, actions) = node.arrive((number % 2) as u32);
        admitted[number % 2] += usize::from(dispatched_to(&actions).is_some());
    }
    assert!(admitted[0] > 2 * admitted[1] && admitted[1] > 0, "{admitted:?}");
}

/// If probes show the queues, late starts have no effect on admission.
#[test]
fn late_starts_do_not_count_where_queues_can_be_probed() {
    let mut node = node_numbered(300.0, Some(0.0));
    node.list_warm(4);
    for _ in 0..100 {
        let (request_id, executor) = node.dispatched(0);
        node.now += 4000.0;
        node.handle(Event::TimerFired);
        node.handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        node.now += 50.0;
        node.end_attempt(request_id, 0, Outcome::Completed);
        assert!(number_of(executor) < 4);
    }
}

/// The start or the end of an attempt.
struct DueEvent {
    node: usize,
    request_id: RequestId,
    is_start: bool,
}

/// A model of executors with first-in-first-out queues that cannot be probed.
struct QueueModel {
    /// When each slot of each executor becomes free.
    free_at: Vec<[Millis; 2]>,
    /// Scheduled events, by the bits of their time and a sequence number.
    due: BTreeMap<(u64, u64), DueEvent>,
    sequence: u64,
}

impl QueueModel {
    fn enqueue(
        &mut self,
        now: Millis,
        node: usize,
        request_id: RequestId,
        executor: ExecutorId,
        running_time: Millis,
    ) {
        let slots = &mut self.free_at[number_of(executor) as usize];
        let slot = if slots[0] <= slots[1] { 0 } else { 1 };
        let starts_at = slots[slot].max(now + 1.0);
        slots[slot] = starts_at + running_time;
        for (at, is_start) in [(starts_at, true), (starts_at + running_time, false)] {
            self.sequence += 1;
            self.due.insert((at.to_bits(), self.sequence), DueEvent { node, request_id, is_start });
        }
    }
}

/// The shares of requests that were answered within one second, and that were rejected.
struct ServiceRatios {
    in_time: f64,
    rejected: f64,
}

/// Simulates ten nodes that receive `load` times the capacity of eight executors for 60 s.
fn simulate(load: f64) -> ServiceRatios {
    const NODES: usize = 10;
    const QUEUED_RUNNING_TIME: Millis = 400.0;
    let interval = QUEUED_RUNNING_TIME / (8.0 * 2.0) / load;
    let mut nodes: Vec<Node> =
        (0..NODES).map(|seed| node_with_seed(settings_without_probes(true), seed as u64)).collect();
    nodes.iter_mut().for_each(|node| node.list_warm(8));
    let mut model = QueueModel { free_at: vec![[0.0; 2]; 8], due: BTreeMap::new(), sequence: 0 };
    let mut in_flight: BTreeMap<(usize, RequestId), Millis> = BTreeMap::new();
    let (mut in_time, mut rejected, mut offered) = (0, 0, 0);
    while (offered as f64) * interval < 60_000.0 {
        let now = offered as f64 * interval;
        while let Some(entry) = model.due.first_entry().filter(|due| f64::from_bits(due.key().0) <= now) {
            let ((bits, _), DueEvent { node, request_id, is_start }) = entry.remove_entry();
            nodes[node].now = f64::from_bits(bits);
            if is_start {
                nodes[node].handle(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
            } else if let Some(at) = in_flight.remove(&(node, request_id)) {
                in_time += usize::from(nodes[node].now - at <= 1000.0);
                nodes[node].end_attempt(request_id, 0, Outcome::Completed);
            }
        }
        let node = offered % NODES;
        offered += 1;
        nodes[node].now = now;
        nodes[node].handle(Event::TimerFired);
        let (request_id, actions) = nodes[node].arrive(0);
        match dispatched_to(&actions) {
            Some(executor) => {
                in_flight.insert((node, request_id), now);
                model.enqueue(now, node, request_id, executor, QUEUED_RUNNING_TIME);
            }
            None => rejected += 1,
        }
    }
    ServiceRatios { in_time: in_time as f64 / offered as f64, rejected: rejected as f64 / offered as f64 }
}

/// Without shedding, all requests would be late during the overload; with too much, capacity would be idle.
#[test]
fn requests_are_served_in_time_during_an_overload_of_half_the_capacity() {
    let ServiceRatios { in_time, rejected } = simulate(1.5);
    assert!(in_time > 0.3, "{in_time} in time, {rejected} rejected");
    assert!((0.2..0.6).contains(&rejected), "{in_time} in time, {rejected} rejected");
    let ServiceRatios { in_time, rejected } = simulate(0.7);
    assert!(in_time > 0.8 && rejected < 0.02, "{in_time} in time, {rejected} rejected");
}
