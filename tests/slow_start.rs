//! Simulates all processes of a fleet of nodes, which decide independently, and checks that their dispatches to one
//! executor in slow start together stay within its warm-up budget. An excess would overload an executor that is not
//! warm.
mod helpers;
use helpers::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use troutknot::*;

/// Number of the executor in slow start; executors with smaller numbers are warm.
const WARMING_UP: u32 = 10;
const SLOTS: f64 = 8.0;
/// When the executor in slow start and the burst start.
const STARTED_AT: Millis = 50_000.0;
/// When the nodes start. Until the burst, they observe running times at the warm executors.
const NODES_STARTED_AT: Millis = STARTED_AT - 2000.0;
/// Length of the burst, in milliseconds.
const BURST_DURATION: Millis = 3000.0;
/// Arrival rate. It exceeds the capacity of all executors, but these report free slots in any case.
const ARRIVALS_PER_MS: f64 = 1.2;
const MEAN_RUNNING_TIME: Millis = 100.0;
/// Parameters of slow start in the settings of the helpers.
const INITIAL_CAPACITY: f64 = 0.25;
const RAMP_DURATION: Millis = 10_000.0;
const BUDGET_WINDOW: Millis = 1000.0;
const BUDGET_MULTIPLE: f64 = 4.0;
/// When the next process of each node starts.
const HANDED_OVER_AT: Millis = STARTED_AT + 700.0;
/// When the earlier process of each node stops.
const EARLIER_STOPPED_AT: Millis = STARTED_AT + 1500.0;
const SEEDS: u64 = 20;

/// The changes of the processes during the burst.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ProcessChange {
    None,
    /// Two processes of each node, from the start of the executor on.
    TwoProcesses,
    /// Each node is handed over to a next process.
    HandedOver,
    /// Seven of ten nodes are killed at the same time, and restart without the record of their dispatches.
    Killed,
}

fn endpoints(started_at: Option<Millis>) -> Vec<Endpoint> {
    let warm = (0..WARMING_UP).map(|number| endpoint(number, number, EndpointState::Ready, None));
    warm.chain([endpoint(WARMING_UP, WARMING_UP, EndpointState::Ready, started_at)]).collect()
}

/// The end of an attempt. Ordered by the bits of its time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    at_bits: u64,
    node: usize,
    process: usize,
    request_id: RequestId,
}

/// The processes of a fleet, the attempts in flight, and the dispatches to the executor in slow start.
struct Fleet {
    random: ChaCha8Rng,
    /// Number of slots of each executor.
    slots: f64,
    now: Millis,
    /// Processes of each node. A node has two during a handover.
    processes: Vec<Vec<Node>>,
    ends: BinaryHeap<Reverse<AttemptEnd>>,
    warm_up_dispatches: Vec<WarmUpDispatch>,
}

impl Fleet {
    fn new(nodes: usize, seed: u64, slots: f64) -> Self {
        let fleet_seed = seed * 1000;
        let process = |node: usize| {
            let settings = settings_of(nodes as f64, Some(node as f64));
            let mut process = node_started_at(NODES_STARTED_AT, settings, fleet_seed + node as u64);
            process.update_endpoints(ListUpdate::Snapshot, &endpoints(None)[..WARMING_UP as usize]);
            process
        };
        Fleet {
            random: ChaCha8Rng::seed_from_u64(seed),
            slots,
            now: NODES_STARTED_AT,
            processes: (0..nodes).map(|node| vec![process(node)]).collect(),
            ends: BinaryHeap::new(),
            warm_up_dispatches: Vec::new(),
        }
    }

    /// Draws an exponentially distributed number.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    /// Starts the next process of each node with the state of the earlier one.
    fn start_next_processes(&mut self) {
        let nodes = self.processes.len();
        for (node, processes) in self.processes.iter_mut().enumerate() {
            let exported = processes[0].dispatcher.export_state(self.now);
            let settings = settings_of(nodes as f64, Some(node as f64));
            let mut next = node_started_at(self.now, settings, 77 + node as u64);
            next.update_endpoints(ListUpdate::Cached, &endpoints(Some(STARTED_AT)));
            next.handle(Event::WarmStateReceived(exported));
            processes.push(next);
            for process in processes {
                process.now = self.now;
                process.handle(Event::SiblingChanged { is_running: true });
            }
        }
    }

    fn list_executor_in_slow_start(&mut self) {
        let now = self.now;
        for process in self.processes.iter_mut().flatten() {
            process.now = now;
            process.update_endpoints(ListUpdate::Snapshot, &endpoints(Some(STARTED_AT)));
        }
    }

    /// Restarts seven of ten nodes without their state.
    fn kill_and_restart(&mut self) {
        let nodes = self.processes.len();
        for node in (0..nodes).filter(|node| node % 10 < 7) {
            let settings = settings_of(nodes as f64, Some(node as f64));
            let mut next = node_started_at(self.now, settings, 99 + node as u64);
            next.update_endpoints(ListUpdate::Snapshot, &endpoints(Some(STARTED_AT)));
            self.processes[node].push(next);
        }
    }

    /// Stops the earlier processes. Their attempts in flight still end later.
    fn stop_earlier_processes(&mut self) {
        for processes in &mut self.processes {
            let next = &mut processes[1];
            next.now = self.now;
            next.handle(Event::SiblingChanged { is_running: false });
        }
    }

    fn arrive(&mut self, only_newest: bool) {
        // A third of the nodes receive more requests than the others.
        let nodes = self.processes.len();
        let node = match self.random.random_range(0..4) {
            0 => self.random.random_range(0..nodes.div_ceil(3)),
            _ => self.random.random_range(0..nodes),
        };
        let processes = self.processes[node].len();
        let process = if only_newest { processes - 1 } else { self.random.random_range(0..processes) };
        let slots = self.slots;
        let receiver = &mut self.processes[node][process];
        receiver.now = self.now;
        let (request_id, actions) = receiver.arrive(0);
        let executor = dispatched_to(&answer_with_capacity(receiver, actions, slots));
        let Some(executor) = executor else { return };
        let work = self.exponential(MEAN_RUNNING_TIME);
        if executor == helpers::executor(WARMING_UP) {
            self.warm_up_dispatches.push(WarmUpDispatch { at: self.now, work });
        }
        let at_bits = (self.now + work).to_bits();
        self.ends.push(Reverse(AttemptEnd { at_bits, node, process, request_id }));
    }

    fn end_attempts_until(&mut self, until: Millis) {
        while let Some(&Reverse(end)) = self.ends.peek()
            && f64::from_bits(end.at_bits) <= until
        {
            self.ends.pop();
            let process = &mut self.processes[end.node][end.process];
            process.now = f64::from_bits(end.at_bits);
            process.end_attempt(end.request_id, 0, Outcome::Completed);
        }
    }

    fn run(&mut self, change: ProcessChange) {
        let (mut next_process_at, mut earlier_stops_at) = match change {
            ProcessChange::None => (f64::INFINITY, f64::INFINITY),
            ProcessChange::TwoProcesses => (STARTED_AT, f64::INFINITY),
            ProcessChange::HandedOver => (HANDED_OVER_AT, EARLIER_STOPPED_AT),
            ProcessChange::Killed => (HANDED_OVER_AT, f64::INFINITY),
        };
        let (mut only_newest, mut listed) = (false, false);
        while self.now < STARTED_AT + BURST_DURATION {
            if self.now >= STARTED_AT && !listed {
                listed = true;
                self.list_executor_in_slow_start();
            }
            if self.now >= next_process_at {
                if change == ProcessChange::Killed {
                    self.kill_and_restart();
                    only_newest = true;
                } else {
                    self.start_next_processes();
                }
                next_process_at = f64::INFINITY;
            }
            if self.now >= earlier_stops_at {
                self.stop_earlier_processes();
                (only_newest, earlier_stops_at) = (true, f64::INFINITY);
            }
            let next = self.now + self.exponential(1.0 / ARRIVALS_PER_MS);
            self.end_attempts_until(next);
            self.now = next;
            self.arrive(only_newest);
        }
    }

    /// Returns the largest excess over the budget plus its tolerance in any window, in requests of the mean running time;
    /// negative if there is none. `tolerance` returns the random excess to expect for a budget of a number of requests.
    fn excess(&self, tolerance: impl Fn(f64) -> f64) -> f64 {
        let windows = self.warm_up_dispatches.iter().map(|&WarmUpDispatch { at: end, .. }| {
            let progress = INITIAL_CAPACITY
                + (1.0 - INITIAL_CAPACITY) * ((end - BUDGET_WINDOW - STARTED_AT) / RAMP_DURATION).max(0.0);
            let budget = BUDGET_MULTIPLE * progress * self.slots * BUDGET_WINDOW / MEAN_RUNNING_TIME;
            let inside =
                self.warm_up_dispatches.iter().filter(|sent| sent.at > end - BUDGET_WINDOW && sent.at <= end);
            let requests = inside.map(|dispatch| dispatch.work).sum::<f64>() / MEAN_RUNNING_TIME;
            requests - (budget + tolerance(budget))
        });
        windows.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Returns the tolerance for a budget of this many requests.
fn large_budget_tolerance(budget: f64) -> f64 {
    2.0 * budget.sqrt() + 2.0
}

/// Returns the tolerance for a budget of this many requests, which is larger below 30 requests.
fn tolerance(budget: f64) -> f64 {
    if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { large_budget_tolerance(budget) }
}

/// Answers all probes with free capacity, regardless of the attempts in flight.
fn answer_with_capacity(process: &mut Node, mut actions: Vec<Action>, slots: f64) -> Vec<Action> {
    while let Some(at) = actions.iter().position(|action| matches!(action, Action::Probe { .. })) {
        let Action::Probe { executor } = actions.remove(at) else { unreachable!() };
        // Each report differs from the previous one, so that it counts as a new report.
        let free_slots = Some(slots + process.now / 1e9);
        let report = LoadReport { queue_length: Some(0.0), free_slots, ..LoadReport::default() };
        actions.extend(process.handle(probe_reply(executor, 1.0, report)));
    }
    actions
}

/// Independent processes, also during handovers and restarts, must not exceed the budget or leave it unused.
#[test]
fn all_processes_together_stay_within_a_budget() {
    for change in
        [ProcessChange::None, ProcessChange::TwoProcesses, ProcessChange::HandedOver, ProcessChange::Killed]
    {
        for nodes in [20, 30] {
            let (mut exceeded, mut largest_excess, mut fewest) = (0, f64::NEG_INFINITY, usize::MAX);
            for seed in 0..SEEDS {
                let mut fleet = Fleet::new(nodes, seed, SLOTS);
                fleet.run(change);
                let excess = fleet.excess(large_budget_tolerance);
                exceeded += u32::from(excess > 0.0);
                largest_excess = largest_excess.max(excess);
                fewest = fewest.min(fleet.warm_up_dispatches.len());
            }
            println!(
                "{change:?}, {nodes} nodes: exceeded for {exceeded} of {SEEDS} seeds, by {largest_excess:.1} requests, at least {fewest} dispatches"
            );
            assert_eq!(exceeded, 0, "{change:?}, {nodes} nodes: exceeded by {largest_excess:.1} requests");
            // At least a quarter of the initial budget is used during the burst.
            let budget = BUDGET_MULTIPLE * INITIAL_CAPACITY * SLOTS * BURST_DURATION / MEAN_RUNNING_TIME;
            assert!(
                fewest as f64 >= budget / 4.0,
                "{change:?}, {nodes} nodes: {fewest} dispatched of {budget}"
            );
        }
    }
}

/// The budget holds for any number of nodes, also if it is small.
#[test]
fn few_and_many_nodes_stay_within_a_budget() {
    for slots in [SLOTS, 2.0] {
        for nodes in [1, 2, 3, 5, 100, 160] {
            let mut largest_excess = f64::NEG_INFINITY;
            for seed in 0..SEEDS / 2 {
                let mut fleet = Fleet::new(nodes, seed, slots);
                fleet.run(ProcessChange::None);
                largest_excess = largest_excess.max(fleet.excess(tolerance));
            }
            println!("{nodes} nodes, {slots} slots: largest excess {largest_excess:.1}");
            assert!(
                largest_excess <= 0.0,
                "{nodes} nodes, {slots} slots: exceeded by {largest_excess:.1} requests"
            );
        }
    }
}
