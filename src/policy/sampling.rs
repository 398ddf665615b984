//! Sampling: how many executors are sampled for a request, by the formula of the ESM paper, and which ones.
use crate::ids::ExecutorId;
use crate::log_event::LogEvent;
use crate::state::request::Request;
use crate::time::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Interval at which the sample size is recomputed, in milliseconds.
const SAMPLE_SIZE_INTERVAL: Millis = 1000.0;
/// Initial sample size and its lower bound, in executors.
const MIN_SAMPLE_SIZE: u32 = 2;
/// Upper bound on the sample size. Executors with several slots rarely have a queue, and each probe has a cost.
const MAX_SAMPLE_SIZE: u32 = 3;
/// Sample size while capacity is short everywhere. More probes would find no capacity either, at a cost.
const SAMPLE_SIZE_WITHOUT_CAPACITY: u32 = 1;
/// Number of random samples after which all ready executors are searched for an eligible one.
const MAX_SAMPLES: usize = 40;
/// Smoothed share of probe replies with a queue above which capacity is short, even if no request is queued at
/// this node.
const SHORT_CAPACITY_RATIO: f64 = 0.3;
/// Weight above which a sampled executor is accepted without a draw from the random source.
const FULL_WEIGHT: f64 = 0.98;
/// Sampling weight of an executor in another zone if dispatches across zones have a price.
const CROSS_ZONE_PREFERENCE: f64 = 0.3;
/// The sum of the formula ends at the first term that is not above this value.
const NEGLIGIBLE_TERM: f64 = 1e-9;
/// Upper bound on the number of terms in the sum of the formula.
const MAX_TERMS: i32 = 10_000;
/// Distance of the busy ratio from 0 and 1, where the tail law has no solution.
const BUSY_RATIO_MARGIN: f64 = 1e-6;

/// Returns the mean time in the system, in mean running times, by equation (1) of the ESM paper: with the sample size
/// d and the utilization with probes rho = load / (1 - load d `probe_cost`), it is
/// (rho / load) sum rho^((d^i - d) / (d - 1)).
///
/// `load` is the utilization without probes, `probe_cost` the cost of a probe in mean running times. Returns
/// `None` if the utilization with probes reaches 1.
pub fn time_in_system(sample_size: u32, load: f64, probe_cost: f64) -> Option<f64> {
    let (size, capacity_left) = (sample_size as f64, 1.0 - load * sample_size as f64 * probe_cost);
    let utilization = load / capacity_left;
    if capacity_left <= 0.0 || utilization >= 1.0 {
        return None;
    }
    let power = |index: i32| match sample_size {
        1 => index as f64 - 1.0,
        _ => (size.powi(index) - size) / (size - 1.0),
    };
    // The first term is 1 and the terms fall at least geometrically, so the omitted ones cannot change which sample
    // size is the best.
    let terms = (1..MAX_TERMS).map(|index| utilization.powf(power(index)));
    let terms = terms.take_while(|&term| term > NEGLIGIBLE_TERM);
    Some(utilization / load * terms.sum::<f64>())
}

/// Returns the sample size, up to `max_size`, with the shortest time in the system.
///
/// The load follows from the busy ratio that was observed with `sample_size` (d), by the tail law: busy ratio =
/// load^(d+1). Returns `None` if no size is stable.
pub fn best_sample_size(busy_ratio: f64, sample_size: u32, probe_cost: f64, max_size: u32) -> Option<u32> {
    let busy_ratio = busy_ratio.clamp(BUSY_RATIO_MARGIN, 1.0 - BUSY_RATIO_MARGIN);
    let load = busy_ratio.powf(1.0 / (sample_size as f64 + 1.0));
    let sizes = MIN_SAMPLE_SIZE..=max_size.max(MIN_SAMPLE_SIZE);
    let times = sizes.filter_map(|size| Some((size, time_in_system(size, load, probe_cost)?)));
    times.min_by(|one, other| one.1.total_cmp(&other.1)).map(|(size, _)| size)
}

/// Whether executors appear to have free capacity.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum FleetCapacity {
    Available,
    Short,
}

impl FleetCapacity {
    /// Capacity is short if requests are queued at this node. In a large fleet it is also short if many probe
    /// replies show a queue, because a node of a large fleet usually has too few requests to queue any.
    pub fn observe(queued: usize, busy_ratio: Option<f64>, is_large_fleet: bool) -> Self {
        let is_busy = busy_ratio.unwrap_or(0.0) > SHORT_CAPACITY_RATIO;
        match queued > 0 || (is_busy && is_large_fleet) {
            true => FleetCapacity::Short,
            false => FleetCapacity::Available,
        }
    }
}

/// The number of executors that are sampled for a request, recomputed at intervals.
pub(crate) struct SampleSizing {
    sample_size: u32,
    updated_at: Millis,
}

impl SampleSizing {
    /// Creates a sizing with the smallest sample size.
    pub fn new(now: Millis) -> Self {
        SampleSizing { sample_size: MIN_SAMPLE_SIZE, updated_at: now }
    }

    /// The sample size while capacity is available.
    pub fn sample_size(&self) -> u32 {
        self.sample_size
    }

    /// The sample size for one request.
    pub fn size_for(&self, capacity: FleetCapacity) -> u32 {
        match capacity {
            FleetCapacity::Available => self.sample_size,
            FleetCapacity::Short => SAMPLE_SIZE_WITHOUT_CAPACITY,
        }
    }

    /// Whether the sample size is due for a recomputation.
    pub fn is_due(&self, now: Millis) -> bool {
        now - self.updated_at >= SAMPLE_SIZE_INTERVAL
    }

    /// Recomputes the sample size from the busy ratio and the cost of a probe in mean running times. Returns a
    /// log entry if it changed.
    pub fn update(&mut self, now: Millis, busy_ratio: f64, probe_cost: f64) -> Option<LogEvent> {
        self.updated_at = now;
        let from = self.sample_size;
        let best = best_sample_size(busy_ratio, from, probe_cost, MAX_SAMPLE_SIZE);
        self.sample_size = best.unwrap_or(MIN_SAMPLE_SIZE);
        let to = self.sample_size;
        (to != from).then_some(LogEvent::SampleSizeChanged { from, to, busy_ratio, probe_cost })
    }

    /// Takes over the sample size of an earlier process, clamped to the bounds.
    pub fn import(&mut self, sample_size: u32) {
        self.sample_size = sample_size.clamp(MIN_SAMPLE_SIZE, MAX_SAMPLE_SIZE);
    }
}

/// The factors of an executor's weight when it is sampled, each from 0 to 1.
pub(crate) struct SamplingWeight {
    /// Factor of slow start.
    pub warm_up: f64,
    /// Factor of outlier detection.
    pub health: f64,
    pub is_cross_zone: bool,
}

impl SamplingWeight {
    /// Whether a sampled executor is accepted, with its weight as the probability.
    fn accepts(&self, random: &mut ChaCha8Rng) -> bool {
        let preference = if self.is_cross_zone { CROSS_ZONE_PREFERENCE } else { 1.0 };
        let weight = preference * self.warm_up * self.health;
        weight > FULL_WEIGHT || random.random::<f64>() < weight
    }
}

/// Returns the executors to avoid for a request: those of its attempts, and in the second sampling round those of
/// the first.
pub(crate) fn avoided_executors(request: &Request) -> Vec<ExecutorId> {
    let mut avoided: Vec<ExecutorId> = request.attempts.iter().map(|attempt| attempt.executor).collect();
    avoided.extend(request.candidates.iter().filter(|_| request.sampling_rounds == 1));
    avoided
}

/// The executors to sample from.
pub(crate) struct Sampler<'a> {
    pub ready: &'a [ExecutorId],
    /// Ready executors in slow start that are assigned to this node; they are sampled more often.
    pub assigned: &'a [ExecutorId],
    /// Total weight of the assigned executors in addition to their weight as ready ones.
    pub assigned_weight: f64,
}

impl Sampler<'_> {
    /// Samples one eligible executor at random by weight; one of `avoided` only if there is no other.
    pub fn sample_one(
        &self,
        random: &mut ChaCha8Rng,
        avoided: &[ExecutorId],
        is_eligible: impl Fn(ExecutorId) -> bool,
        weight: impl Fn(ExecutorId) -> SamplingWeight,
    ) -> Option<ExecutorId> {
        let ready = self.ready.len();
        let assigned_chance = self.assigned_weight / (self.assigned_weight + ready.max(1) as f64);
        // The bound on the samples keeps the usual cost of a request independent of the size of the fleet.
        for _ in 0..if ready == 0 { 0 } else { MAX_SAMPLES } {
            let from = if random.random_bool(assigned_chance) { self.assigned } else { self.ready };
            let executor = from[random.random_range(0..from.len())];
            if !avoided.contains(&executor) && is_eligible(executor) && weight(executor).accepts(random) {
                return Some(executor);
            }
        }
        self.search(random, avoided, is_eligible)
    }

    /// Searches all ready executors and returns one of the eligible ones, all with the same probability.
    fn search(
        &self,
        random: &mut ChaCha8Rng,
        avoided: &[ExecutorId],
        is_eligible: impl Fn(ExecutorId) -> bool,
    ) -> Option<ExecutorId> {
        let mut eligible = self.ready.to_vec();
        eligible.retain(|&executor| is_eligible(executor));
        if !eligible.iter().all(|executor| avoided.contains(executor)) {
            eligible.retain(|executor| !avoided.contains(executor));
        }
        (!eligible.is_empty()).then(|| eligible[random.random_range(0..eligible.len())])
    }
}

#[cfg(test)]
#[path = "../../tests/unit/sampling.rs"]
mod tests;
