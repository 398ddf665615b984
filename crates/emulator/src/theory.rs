//! What queueing theory says of simple fleets, and the same fleets made of [`Executor`]s in simulated time.
//!
//! Arrivals are Poisson, work is exponential with mean 1; results are in units of that mean.
use crate::machine::{Machine, Millis};
use crate::model::{Attempt, AttemptKey, AttemptOutcome, Executor, Output};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Mean wait before the start in M/M/c at load `rho` of each server (Erlang C).
///
/// ```
/// assert!((troutknot_emulator::theory::mmc_wait(1, 0.5) - 1.0).abs() < 1e-12);
/// ```
pub fn mmc_wait(servers: u32, rho: f64) -> f64 {
    let offered = servers as f64 * rho;
    let (mut term, mut sum) = (1.0, 1.0);
    for k in 1..servers {
        term *= offered / k as f64;
        sum += term;
    }
    let last = term * offered / servers as f64 / (1.0 - rho);
    last / (sum + last) / (servers as f64 * (1.0 - rho))
}

/// Mean response time with `d` probes a job at load `lambda` and probe cost `c`, as a share of mean work:
/// equation (1) of the ESM paper, T = (rho / lambda) sum rho^((d^i - d) / (d - 1)) with
/// rho = lambda / (1 - lambda d c). None where rho reaches 1. For d = 1 it is M/M/1.
pub fn esm_response(d: u32, lambda: f64, c: f64) -> Option<f64> {
    let rho = lambda / (1.0 - lambda * d as f64 * c);
    if !(0.0..1.0).contains(&rho) {
        return None;
    }
    if d == 1 {
        return Some(rho / lambda / (1.0 - rho));
    }
    let d = d as f64;
    let (mut sum, mut i) = (0.0, 1);
    loop {
        let term = rho.powf((d.powi(i) - d) / (d - 1.0));
        sum += term;
        if term < 1e-12 {
            return Some(rho / lambda * sum);
        }
        i += 1;
    }
}

/// A fleet in simulated time under Poisson arrivals.
pub struct Fleet {
    pub executors: usize,
    pub machine: Machine,
    /// Of the whole fleet's cores.
    pub load: f64,
    /// Executors drawn with replacement for each arrival; the emptiest one gets it, ties at random.
    pub samples: usize,
    pub arrivals: usize,
    pub seed: u64,
}

/// Means over all arrivals but the first tenth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Means {
    pub wait: f64,
    pub response: f64,
}

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

/// When something happens by itself next, over all executors.
struct Agenda {
    /// May hold entries that no longer hold; they are passed over.
    heap: BinaryHeap<Reverse<(Time, usize)>>,
    due: Vec<Millis>,
}

impl Agenda {
    fn set(&mut self, executor: usize, at: Option<Millis>) {
        let at = at.unwrap_or(f64::INFINITY);
        if self.due[executor] != at {
            self.due[executor] = at;
            if at.is_finite() {
                self.heap.push(Reverse((Time(at), executor)));
            }
        }
    }

    fn first(&mut self) -> Millis {
        while let Some(Reverse((at, executor))) = self.heap.peek() {
            if self.due[*executor] == at.0 {
                return at.0;
            }
            self.heap.pop();
        }
        f64::INFINITY
    }

    /// Takes off what [`Agenda::first`] found.
    fn pop(&mut self) -> Option<usize> {
        let Reverse((_, executor)) = self.heap.pop()?;
        self.due[executor] = f64::INFINITY;
        Some(executor)
    }
}

impl Fleet {
    /// Plays it to the last arrival's end.
    pub fn simulate(&self) -> Means {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut fleet: Vec<Executor> = (0..self.executors)
            .map(|k| Executor::new(self.machine.clone(), self.seed ^ ((k as u64) << 20), 0.0, true))
            .collect();
        let cores = self.machine.cores * self.executors as f64;
        // What comes next at each executor; entries that no longer hold are passed over.
        let mut next = Agenda { heap: BinaryHeap::new(), due: vec![f64::INFINITY; self.executors] };
        let mut came: HashMap<AttemptKey, (usize, Millis)> = HashMap::new();
        let (mut now, mut arrived, mut ended) = (0.0, 0, 0);
        let mut arrival = Some(0.0);
        let (mut waits, mut responses, mut counted) = (0.0, 0.0, 0u64);
        let skipped = self.arrivals / 10;
        while ended < self.arrivals {
            let due = next.first();
            let executor = match arrival.filter(|&at: &f64| at <= due) {
                Some(at) => {
                    now = at;
                    let drawn: Vec<usize> =
                        (0..self.samples).map(|_| rng.random_range(0..self.executors)).collect();
                    let queues: Vec<f64> = drawn
                        .iter()
                        .map(|&k| {
                            let load = fleet[k].probe(now);
                            next.set(k, fleet[k].next_event_at());
                            load.waiting + load.running
                        })
                        .collect();
                    let least = queues.iter().copied().fold(f64::INFINITY, f64::min);
                    let mut best: Vec<usize> =
                        drawn.iter().zip(&queues).filter(|(_, q)| **q == least).map(|(&k, _)| k).collect();
                    best.sort_unstable();
                    best.dedup();
                    let chosen = best[rng.random_range(0..best.len())];
                    let (key, work): (AttemptKey, f64) = (AttemptKey(arrived as u64), Exp1.sample(&mut rng));
                    came.insert(key, (arrived, now));
                    let offer = Attempt {
                        key,
                        request_id: key.0,
                        request_class: 0,
                        slots: 1.0,
                        memory: 0.0,
                        work,
                        priority: 0.0,
                    };
                    fleet[chosen].dispatch(now, offer);
                    arrived += 1;
                    let gap: f64 = Exp1.sample(&mut rng);
                    arrival = (arrived < self.arrivals).then(|| now + gap / (self.load * cores));
                    chosen
                }
                None => {
                    let Some(k) = next.pop() else { break };
                    now = due.max(now);
                    k
                }
            };
            while let Some((at, output)) = fleet[executor].pop_output(now) {
                match output {
                    Output::Started { key } => {
                        let (number, since) = came[&key];
                        if number >= skipped {
                            waits += at - since;
                        }
                    }
                    Output::Ended { key, outcome: AttemptOutcome::Done } => {
                        let Some((number, since)) = came.remove(&key) else { continue };
                        ended += 1;
                        if number >= skipped {
                            (responses, counted) = (responses + at - since, counted + 1);
                        }
                    }
                    _ => {}
                }
            }
            next.set(executor, fleet[executor].next_event_at());
        }
        Means { wait: waits / counted as f64, response: responses / counted as f64 }
    }
}
