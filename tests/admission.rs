//! Admission where probes are forbidden: new requests are turned away at once while own attempts begin late, and
//! taken again once they begin in time.
mod helpers;
use helpers::*;
use std::collections::BTreeMap;
use troutknot::*;

const RUNS: Millis = 50.0;
/// What begins later began late: the promised turnaround of 100 ms, and once more the running time.
const LATEST_START: Millis = 150.0;
/// Where starts are not told, what ends later ended late: a quarter of the hard limit of 5 s.
const LATEST_END: Millis = 1250.0;

fn settings_without_probes(starts_told: bool) -> Settings {
    let mut settings = settings_of(300.0, Some(0.0));
    settings.limits.probes_enabled = false;
    settings.executors.reports_start = starts_told;
    settings
}

/// So many requests in turn of which each waits so long and runs for [`RUNS`]; how many of them were taken.
fn taken_of(node: &mut Node, requests: usize, project_type: u32, wait: Millis, starts_told: bool) -> usize {
    let mut taken = 0;
    for _ in 0..requests {
        let (request_id, actions) = node.arrive(project_type);
        if push_of(&actions).is_none() {
            assert_eq!(said(&actions), 'd', "what is not taken is answered at once");
            node.now += 1.0;
            continue;
        }
        taken += 1;
        node.now += wait;
        node.tell(Event::TimerFired);
        if starts_told {
            node.tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        }
        node.now += RUNS;
        node.end(request_id, 0, Outcome::Completed);
    }
    taken
}

#[test]
fn requests_are_turned_away_at_once_while_attempts_begin_late_and_taken_again_after() {
    for (starts_told, latest) in [(true, LATEST_START), (false, LATEST_END)] {
        let mut node = with(settings_without_probes(starts_told));
        node.warm(4);
        let in_time = latest - 2.0 * RUNS;
        assert_eq!(taken_of(&mut node, 200, 0, in_time, starts_told), 200, "nothing is late");
        let taken = taken_of(&mut node, 400, 0, latest + 100.0, starts_told);
        assert!((5..80).contains(&taken), "{taken} of 400 taken while all begin late");
        taken_of(&mut node, 800, 0, in_time, starts_told);
        assert_eq!(taken_of(&mut node, 200, 0, in_time, starts_told), 200, "the overload is over");
    }
}

#[test]
fn a_start_that_is_late_is_observed_before_it_comes_and_once() {
    let late = |tells: bool| {
        let mut node = with(settings_without_probes(true));
        node.warm(4);
        let (out, _): (Vec<RequestId>, Vec<_>) = (0..12).map(|_| node.arrive(0)).unzip();
        node.now += 2.0 * LATEST_START;
        node.tell(Event::TimerFired);
        if tells {
            node.now += 500.0;
            out.iter().for_each(|&request_id| {
                _ = node.tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) })
            });
        }
        (0..400).filter(|_| push_of(&node.arrive(0).1).is_some()).count()
    };
    let (silent, told) = (late(false), late(true));
    assert!((20..100).contains(&silent), "{silent} of 400 taken after twelve that began late");
    assert_eq!(silent, told, "starts that come late say nothing more");
}

#[test]
fn what_needs_more_work_for_its_value_is_turned_away_first() {
    let mut settings = settings_without_probes(true);
    settings.classes[0].value = 10.0;
    settings.classes[1].value = 1.0;
    let mut node = with(settings);
    node.warm(4);
    taken_of(&mut node, 5, 0, 3000.0, true);
    let mut taken = [0, 0];
    for k in 0..600_usize {
        let (_, actions) = node.arrive((k % 2) as u32);
        taken[k % 2] += usize::from(push_of(&actions).is_some());
    }
    assert!(taken[0] > 2 * taken[1] && taken[1] > 0, "{taken:?}");
}

/// Settings that allow probes show queues, and nothing is turned away by starts that come late.
#[test]
fn late_starts_turn_nothing_away_where_queues_can_be_seen() {
    let mut node = node_of(300.0, Some(0.0));
    node.warm(4);
    for _ in 0..100 {
        let (request_id, executor) = node.pushed(0);
        node.now += 4000.0;
        node.tell(Event::TimerFired);
        node.tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        node.now += 50.0;
        node.end(request_id, 0, Outcome::Completed);
        assert!(number_of(executor) < 4);
    }
}

/// Executors with first-in-first-out queues that nobody can look into, driven step by step.
struct QueueModel {
    /// When each slot of each executor is free again.
    free_at: Vec<[Millis; 2]>,
    /// What comes next, by time and number: a start or an end of a request of a node.
    due: BTreeMap<(u64, u64), (usize, RequestId, bool)>,
    sequence: u64,
}

impl QueueModel {
    fn offer(&mut self, now: Millis, node: usize, request_id: RequestId, executor: ExecutorId, runs: Millis) {
        let slots = &mut self.free_at[number_of(executor) as usize];
        let slot = if slots[0] <= slots[1] { 0 } else { 1 };
        let begins = slots[slot].max(now + 1.0);
        slots[slot] = begins + runs;
        for (at, is_start) in [(begins, true), (begins + runs, false)] {
            self.sequence += 1;
            self.due.insert((at.to_bits(), self.sequence), (node, request_id, is_start));
        }
    }
}

/// Ten nodes offer so many times what eight executors can do, for 60 s; the share of all that ended within a second,
/// and the share that was turned away.
fn served_in_time(load: f64) -> (f64, f64) {
    const NODES: usize = 10;
    const WORK: Millis = 400.0;
    let apart = WORK / (8.0 * 2.0) / load;
    let mut nodes: Vec<Node> =
        (0..NODES).map(|seed| with_seed(settings_without_probes(true), seed as u64)).collect();
    nodes.iter_mut().for_each(|node| node.warm(8));
    let mut model = QueueModel { free_at: vec![[0.0; 2]; 8], due: BTreeMap::new(), sequence: 0 };
    let mut sent: BTreeMap<(usize, RequestId), Millis> = BTreeMap::new();
    let (mut in_time, mut turned_away, mut offered) = (0, 0, 0);
    while (offered as f64) * apart < 60_000.0 {
        let now = offered as f64 * apart;
        while let Some(entry) = model.due.first_entry().filter(|due| f64::from_bits(due.key().0) <= now) {
            let ((bits, _), (node, request_id, is_start)) = entry.remove_entry();
            nodes[node].now = f64::from_bits(bits);
            if is_start {
                nodes[node].tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
            } else if let Some(at) = sent.remove(&(node, request_id)) {
                in_time += usize::from(nodes[node].now - at <= 1000.0);
                nodes[node].end(request_id, 0, Outcome::Completed);
            }
        }
        let node = offered % NODES;
        offered += 1;
        nodes[node].now = now;
        nodes[node].tell(Event::TimerFired);
        let (request_id, actions) = nodes[node].arrive(0);
        match push_of(&actions) {
            Some(executor) => {
                sent.insert((node, request_id), now);
                model.offer(now, node, request_id, executor, WORK);
            }
            None => turned_away += 1,
        }
    }
    (in_time as f64 / offered as f64, turned_away as f64 / offered as f64)
}

#[test]
fn half_as_much_again_as_executors_can_do_is_served_in_time_in_part() {
    let (in_time, turned_away) = served_in_time(1.5);
    assert!(in_time > 0.3, "{in_time} in time, {turned_away} turned away");
    assert!((0.2..0.6).contains(&turned_away), "{in_time} in time, {turned_away} turned away");
    let (in_time, turned_away) = served_in_time(0.7);
    assert!(in_time > 0.8 && turned_away < 0.02, "{in_time} in time, {turned_away} turned away");
}
