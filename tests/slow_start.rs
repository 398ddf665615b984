//! What all processes of a fleet send to one cold executor, each deciding alone.
mod helpers;
use helpers::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use troutknot::*;

/// The executor that starts cold, after the warm ones with smaller numbers.
const COLD: u32 = 10;
const SLOTS: f64 = 8.0;
/// When it starts; the burst begins then.
const STARTED: Millis = 50_000.0;
/// The nodes start then, and learn how long work runs on the warm executors.
const WARM_UP: Millis = STARTED - 2000.0;
const BURST: Millis = 3000.0;
/// More than all executors can do, and they show room all the same, as to a herd.
const ARRIVALS_PER_MS: f64 = 1.2;
const MEAN_WORK: Millis = 100.0;
/// The rule on cold executors, as the settings of the helpers state it.
const COLD_SHARE: f64 = 0.25;
const RAMP: Millis = 10_000.0;
const FALL: Millis = 1000.0;
const FALL_MULTIPLE: f64 = 4.0;
/// A next process of each node starts then, beside the one before it, which ends later.
const HANDED_OVER: Millis = STARTED + 700.0;
const LEFT_ALONE: Millis = STARTED + 1500.0;
const SEEDS: u64 = 20;

/// What becomes of the processes meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Course {
    Steady,
    /// Two processes of each node, from the start of the cold executor on.
    Beside,
    /// Each node is handed over to a next process.
    HandedOver,
    /// Seven in ten nodes are killed at once, and start again knowing nothing of what they sent.
    Killed,
}

fn listings(cold_start: Option<Millis>) -> Vec<Endpoint> {
    let warm = (0..COLD).map(|number| listing(number, number, EndpointState::Ready, None));
    warm.chain([listing(COLD, COLD, EndpointState::Ready, cold_start)]).collect()
}

/// The processes of a fleet, the attempts that are out, and the work that was sent to the cold executor.
struct Fleet {
    chance: ChaCha8Rng,
    /// Of each executor.
    slots: f64,
    now: Millis,
    /// By node; a node that is handed over has two for a while.
    processes: Vec<Vec<Node>>,
    /// When an attempt ends, by the bits of that time: node, process and request.
    ends: BinaryHeap<Reverse<(u64, usize, usize, RequestId)>>,
    sent_to_cold: Vec<(Millis, f64)>,
}

impl Fleet {
    fn new(nodes: usize, seed: u64, slots: f64) -> Self {
        let fleet_seed = seed * 1000;
        let process = |node: usize| {
            let settings = settings_of(nodes as f64, Some(node as f64));
            let mut process = start_at(WARM_UP, settings, fleet_seed + node as u64);
            process.list(ListUpdate::Snapshot, &listings(None)[..COLD as usize]);
            process
        };
        Fleet {
            chance: ChaCha8Rng::seed_from_u64(seed),
            slots,
            now: WARM_UP,
            processes: (0..nodes).map(|node| vec![process(node)]).collect(),
            ends: BinaryHeap::new(),
            sent_to_cold: Vec::new(),
        }
    }

    /// Exponentially distributed.
    fn draw(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.chance.random::<f64>()).ln()
    }

    /// A next process of each node, told what the one before it knows.
    fn start_next_processes(&mut self) {
        let nodes = self.processes.len();
        for (node, processes) in self.processes.iter_mut().enumerate() {
            let learned = processes[0].node.export_state(self.now);
            let settings = settings_of(nodes as f64, Some(node as f64));
            let mut next = start_at(self.now, settings, 77 + node as u64);
            next.list(ListUpdate::Cached, &listings(Some(STARTED)));
            next.tell(Event::WarmStateReceived(learned));
            processes.push(next);
            for process in processes {
                process.now = self.now;
                process.tell(Event::SiblingChanged { is_running: true });
            }
        }
    }

    fn list_cold(&mut self) {
        let now = self.now;
        for process in self.processes.iter_mut().flatten() {
            process.now = now;
            process.list(ListUpdate::Snapshot, &listings(Some(STARTED)));
        }
    }

    /// Seven in ten nodes start anew.
    fn kill_and_restart(&mut self) {
        let nodes = self.processes.len();
        for node in (0..nodes).filter(|node| node % 10 < 7) {
            let settings = settings_of(nodes as f64, Some(node as f64));
            let mut next = start_at(self.now, settings, 99 + node as u64);
            next.list(ListUpdate::Snapshot, &listings(Some(STARTED)));
            self.processes[node].push(next);
        }
    }

    /// What the older processes have out is seen to its end elsewhere.
    fn end_older_processes(&mut self) {
        for processes in &mut self.processes {
            let next = &mut processes[1];
            next.now = self.now;
            next.tell(Event::SiblingChanged { is_running: false });
        }
    }

    fn arrive(&mut self, only_newest: bool) {
        // A third of the nodes get twice as much as the others.
        let nodes = self.processes.len();
        let node = match self.chance.random_range(0..4) {
            0 => self.chance.random_range(0..nodes.div_ceil(3)),
            _ => self.chance.random_range(0..nodes),
        };
        let processes = self.processes[node].len();
        let process = if only_newest { processes - 1 } else { self.chance.random_range(0..processes) };
        let slots = self.slots;
        let (sent_to, request) = {
            let of = &mut self.processes[node][process];
            of.now = self.now;
            let (request, actions) = of.arrive(0);
            (push_of(&answer_with_room(of, actions, slots)), request)
        };
        let Some(sent_to) = sent_to else { return };
        let work = self.draw(MEAN_WORK);
        if sent_to == executor(COLD) {
            self.sent_to_cold.push((self.now, work));
        }
        self.ends.push(Reverse(((self.now + work).to_bits(), node, process, request)));
    }

    fn end_attempts_until(&mut self, until: Millis) {
        while let Some(&Reverse((bits, node, process, request))) = self.ends.peek()
            && f64::from_bits(bits) <= until
        {
            self.ends.pop();
            let of = &mut self.processes[node][process];
            of.now = f64::from_bits(bits);
            of.end(request, 0, Outcome::Completed);
        }
    }

    fn play(&mut self, course: Course) {
        let (mut next_process, mut alone) = match course {
            Course::Steady => (f64::INFINITY, f64::INFINITY),
            Course::Beside => (STARTED, f64::INFINITY),
            Course::HandedOver => (HANDED_OVER, LEFT_ALONE),
            Course::Killed => (HANDED_OVER, f64::INFINITY),
        };
        let (mut only_newest, mut listed) = (false, false);
        while self.now < STARTED + BURST {
            if self.now >= STARTED && !listed {
                listed = true;
                self.list_cold();
            }
            if self.now >= next_process {
                if course == Course::Killed {
                    self.kill_and_restart();
                    only_newest = true;
                } else {
                    self.start_next_processes();
                }
                next_process = f64::INFINITY;
            }
            if self.now >= alone {
                self.end_older_processes();
                (only_newest, alone) = (true, f64::INFINITY);
            }
            let next = self.now + self.draw(1.0 / ARRIVALS_PER_MS);
            self.end_attempts_until(next);
            self.now = next;
            self.arrive(only_newest);
        }
    }

    /// By how many requests of mean work the fullest window of the rule is beyond the budget and chance; below
    /// zero where it keeps within them. `chance` is what may come on top of a budget of so many requests.
    fn beyond(&self, chance: impl Fn(f64) -> f64) -> f64 {
        let windows = self.sent_to_cold.iter().map(|&(end, _)| {
            let warmth = COLD_SHARE + (1.0 - COLD_SHARE) * ((end - FALL - STARTED) / RAMP).max(0.0);
            let budget = FALL_MULTIPLE * warmth * self.slots * FALL / MEAN_WORK;
            let inside = self.sent_to_cold.iter().filter(|&&(at, _)| at > end - FALL && at <= end);
            let requests = inside.map(|&(_, work)| work).sum::<f64>() / MEAN_WORK;
            requests - (budget + chance(budget))
        });
        windows.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// What may come on top of a budget of this many requests, for any budget.
fn large_budget_chance(budget: f64) -> f64 {
    2.0 * budget.sqrt() + 2.0
}

/// The same where budgets under 30 requests have more.
fn chance(budget: f64) -> f64 {
    if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { large_budget_chance(budget) }
}

/// Answers all probes: there is room everywhere, however much was sent.
fn answer_with_room(process: &mut Node, mut actions: Vec<Action>, slots: f64) -> Vec<Action> {
    while let Some(at) = actions.iter().position(|action| matches!(action, Action::Probe { .. })) {
        let Action::Probe { executor } = actions.remove(at) else { unreachable!() };
        // Each reading differs from the one before, so that it is taken for a new one.
        let free_slots = Some(slots + process.now / 1e9);
        let reading = LoadReport { queue_length: Some(0.0), free_slots, ..LoadReport::default() };
        actions.extend(process.tell(replied(executor, 1.0, reading)));
    }
    actions
}

#[test]
fn all_processes_together_keep_a_cold_executor_within_its_budget_and_chance() {
    for course in [Course::Steady, Course::Beside, Course::HandedOver, Course::Killed] {
        for nodes in [20, 30] {
            let (mut fell, mut fullest, mut fewest) = (0, f64::NEG_INFINITY, usize::MAX);
            for seed in 0..SEEDS {
                let mut fleet = Fleet::new(nodes, seed, SLOTS);
                fleet.play(course);
                let beyond = fleet.beyond(large_budget_chance);
                fell += u32::from(beyond > 0.0);
                fullest = fullest.max(beyond);
                fewest = fewest.min(fleet.sent_to_cold.len());
            }
            println!(
                "{course:?}, {nodes} nodes: fell in {fell} of {SEEDS}, fullest {fullest:.1}, fewest {fewest}"
            );
            assert_eq!(fell, 0, "{course:?}, {nodes} nodes: {fullest:.1} requests beyond at most");
            // What it may do is used: a quarter at least of what it could at its start, for as long as the burst.
            let budget = FALL_MULTIPLE * COLD_SHARE * SLOTS * BURST / MEAN_WORK;
            assert!(fewest as f64 >= budget / 4.0, "{course:?}, {nodes} nodes: {fewest} sent of {budget}");
        }
    }
}

/// The budget binds however few or many processes there are, and however small it is.
#[test]
fn few_and_many_processes_keep_a_cold_executor_within_its_budget_and_chance() {
    for slots in [SLOTS, 2.0] {
        for nodes in [1, 2, 3, 5, 100, 160] {
            let mut fullest = f64::NEG_INFINITY;
            for seed in 0..SEEDS / 2 {
                let mut fleet = Fleet::new(nodes, seed, slots);
                fleet.play(Course::Steady);
                fullest = fullest.max(fleet.beyond(chance));
            }
            println!("{nodes} nodes, {slots} slots: fullest {fullest:.1}");
            assert!(fullest <= 0.0, "{nodes} nodes, {slots} slots: {fullest:.1} requests beyond");
        }
    }
}
