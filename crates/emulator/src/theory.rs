//! Results of queueing theory for simple fleets, and simulations of the same fleets with [`Executor`]s.
//!
//! Arrivals are Poisson and work is exponential with mean 1; results are in units of that mean.
use crate::machine::{Machine, Millis};
use crate::model::{Attempt, AttemptKey, AttemptOutcome, Executor, Output};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The mean waiting time in M/M/c at utilization `rho` (Erlang C).
///
/// ```
/// assert!((troutknot_emulator::theory::mmc_wait(1, 0.5) - 1.0).abs() < 1e-12);
/// ```
pub fn mmc_wait(servers: u32, rho: f64) -> f64 {
    let offered = servers as f64 * rho;
    let (mut term, mut sum) = (1.0, 1.0);
    for server in 1..servers {
        term *= offered / server as f64;
        sum += term;
    }
    let last = term * offered / servers as f64 / (1.0 - rho);
    last / (sum + last) / (servers as f64 * (1.0 - rho))
}

/// The mean response time with d probes per request at load lambda and probe cost c, in units of the mean work:
/// equation (1) of the ESM paper, T = (rho / lambda) sum rho^((d^i - d) / (d - 1)) with
/// rho = lambda / (1 - lambda d c). `None` if rho reaches 1. For d = 1 it is M/M/1.
pub fn esm_response(probes: u32, load: f64, probe_cost: f64) -> Option<f64> {
    let rho = load / (1.0 - load * probes as f64 * probe_cost);
    if !(0.0..1.0).contains(&rho) {
        return None;
    }
    if probes == 1 {
        return Some(rho / load / (1.0 - rho));
    }
    let probes = probes as f64;
    let (mut sum, mut exponent) = (0.0, 1);
    loop {
        let term = rho.powf((probes.powi(exponent) - probes) / (probes - 1.0));
        sum += term;
        if term < 1e-12 {
            return Some(rho / load * sum);
        }
        exponent += 1;
    }
}

/// A simulated fleet under Poisson arrivals.
pub struct Fleet {
    pub executors: usize,
    pub machine: Machine,
    /// Utilization of all cores of the fleet.
    pub load: f64,
    /// Executors sampled with replacement per arrival; the one with the fewest attempts gets it, ties at random.
    pub samples: usize,
    pub arrivals: usize,
    pub seed: u64,
}

/// Means over all arrivals except the first tenth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Means {
    pub wait: f64,
    pub response: f64,
}

/// A time with a total order.
#[derive(PartialEq)]
struct Time(Millis);

impl Eq for Time {}

impl PartialOrd for Time {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Time {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The next event of each executor, by time.
struct EventQueue {
    /// Can contain outdated entries, which are skipped.
    heap: BinaryHeap<Reverse<(Time, usize)>>,
    /// The time of the next event by executor; infinity if there is none.
    due: Vec<Millis>,
}

impl EventQueue {
    /// Sets the time of the next event of an executor.
    fn set(&mut self, executor: usize, at: Option<Millis>) {
        let at = at.unwrap_or(f64::INFINITY);
        if self.due[executor] != at {
            self.due[executor] = at;
            if at.is_finite() {
                self.heap.push(Reverse((Time(at), executor)));
            }
        }
    }

    /// The time of the earliest event; infinity if there is none.
    fn first_at(&mut self) -> Millis {
        while let Some(Reverse((at, executor))) = self.heap.peek() {
            if self.due[*executor] == at.0 {
                return at.0;
            }
            self.heap.pop();
        }
        f64::INFINITY
    }

    /// Removes the event that [`EventQueue::first_at`] found, and returns its executor.
    fn pop(&mut self) -> Option<usize> {
        let Reverse((_, executor)) = self.heap.pop()?;
        self.due[executor] = f64::INFINITY;
        Some(executor)
    }
}

impl Fleet {
    /// Simulates the fleet until all arrivals have completed.
    pub fn simulate(&self) -> Means {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut fleet: Vec<Executor> = (0..self.executors)
            .map(|number| Executor::new(self.machine.clone(), self.seed ^ ((number as u64) << 20), 0.0, true))
            .collect();
        let cores = self.machine.cores * self.executors as f64;
        let mut events = EventQueue { heap: BinaryHeap::new(), due: vec![f64::INFINITY; self.executors] };
        let mut open_attempts: HashMap<AttemptKey, (usize, Millis)> = HashMap::new();
        let (mut now, mut arrival_count, mut end_count) = (0.0, 0, 0);
        let mut next_arrival_at = Some(0.0);
        let (mut total_wait, mut total_response, mut counted) = (0.0, 0.0, 0u64);
        let skipped = self.arrivals / 10;
        while end_count < self.arrivals {
            let due = events.first_at();
            let executor = match next_arrival_at.filter(|&at: &f64| at <= due) {
                Some(at) => {
                    now = at;
                    let sampled: Vec<usize> =
                        (0..self.samples).map(|_| rng.random_range(0..self.executors)).collect();
                    let queues: Vec<f64> = sampled
                        .iter()
                        .map(|&number| {
                            let load = fleet[number].probe(now);
                            events.set(number, fleet[number].next_event_at());
                            load.waiting + load.running
                        })
                        .collect();
                    let shortest = queues.iter().copied().fold(f64::INFINITY, f64::min);
                    let mut best: Vec<usize> = sampled
                        .iter()
                        .zip(&queues)
                        .filter(|(_, queue)| **queue == shortest)
                        .map(|(&number, _)| number)
                        .collect();
                    best.sort_unstable();
                    best.dedup();
                    let chosen = best[rng.random_range(0..best.len())];
                    let (key, work): (AttemptKey, f64) =
                        (AttemptKey(arrival_count as u64), Exp1.sample(&mut rng));
                    open_attempts.insert(key, (arrival_count, now));
                    let attempt = Attempt {
                        key,
                        request_id: key.0,
                        request_class: 0,
                        slots: 1.0,
                        memory: 0.0,
                        work,
                        priority: 0.0,
                    };
                    fleet[chosen].dispatch(now, attempt);
                    arrival_count += 1;
                    let gap: f64 = Exp1.sample(&mut rng);
                    next_arrival_at =
                        (arrival_count < self.arrivals).then(|| now + gap / (self.load * cores));
                    chosen
                }
                None => {
                    let Some(number) = events.pop() else { break };
                    now = due.max(now);
                    number
                }
            };
            while let Some((at, output)) = fleet[executor].pop_output(now) {
                match output {
                    Output::Started { key } => {
                        let (number, arrived_at) = open_attempts[&key];
                        if number >= skipped {
                            total_wait += at - arrived_at;
                        }
                    }
                    Output::Ended { key, outcome: AttemptOutcome::Done } => {
                        let Some((number, arrived_at)) = open_attempts.remove(&key) else { continue };
                        end_count += 1;
                        if number >= skipped {
                            (total_response, counted) = (total_response + at - arrived_at, counted + 1);
                        }
                    }
                    _ => {}
                }
            }
            events.set(executor, fleet[executor].next_event_at());
        }
        Means { wait: total_wait / counted as f64, response: total_response / counted as f64 }
    }
}
