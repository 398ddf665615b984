//! The ordinary path, as the paper has it: how many executors are sampled for a request, by the ESM formula,
//! and whom to probe.
use super::retry::{RetryPolicy, RetryTarget};
use super::slow_start::MAX_ASSIGNED_NODES;
use crate::dispatcher::Dispatcher;
use crate::ids::{ExecutorId, RequestId};
use crate::log_event::LogEvent;
use crate::state::probe_statistics::LEAST_SAMPLE_SIZE;
use crate::state::request::{DesiredState, RequestClass};
use crate::time::Millis;
use rand::RngExt;

const SAMPLE_SIZE_INTERVAL: Millis = 1000.0;
/// The largest sample that is tried: an executor with several slots rarely makes work wait, and probes cost.
pub(crate) const MAX_SAMPLE_SIZE: u32 = 3;
/// So often an executor is drawn and looked at before all are looked at.
const MAX_DRAWS: usize = 40;
/// From this smoothed share of replies with a queue on, capacity is short, also where none is queued here.
const SHORT_CAPACITY_RATIO: f64 = 0.3;
/// The mean time in the system by the ESM formula, in mean running times; none where utilization reaches 1.
pub fn time_in_system(sample_size: u32, load: f64, probe_cost: f64) -> Option<f64> {
    let (d, capacity_left) = (sample_size as f64, 1.0 - load * sample_size as f64 * probe_cost);
    let utilization = load / capacity_left;
    if capacity_left <= 0.0 || utilization >= 1.0 {
        return None;
    }
    let power = |i: i32| if sample_size == 1 { i as f64 - 1.0 } else { (d.powi(i) - d) / (d - 1.0) };
    // The first term is 1 and they fall like a geometric row or faster: what is cut cannot move the minimum.
    let terms = (1..10_000).map(|i| utilization.powf(power(i))).take_while(|&term| term > 1e-9);
    Some(utilization / load * terms.sum::<f64>())
}

/// The sample size that makes the formula smallest; the tail law gives the load: busy ratio = load^(d+1).
pub fn best_sample_size(busy_ratio: f64, sample_size: u32, probe_cost: f64, largest: u32) -> Option<u32> {
    let load = busy_ratio.clamp(1e-6, 1.0 - 1e-6).powf(1.0 / (sample_size as f64 + 1.0));
    let sizes = LEAST_SAMPLE_SIZE..=largest.max(LEAST_SAMPLE_SIZE);
    let times = sizes.filter_map(|size| Some((size, time_in_system(size, load, probe_cost)?)));
    times.min_by(|one, other| one.1.total_cmp(&other.1)).map(|(size, _)| size)
}

impl Dispatcher {
    /// Samples d ready executors with replacement and wants a probe to each distinct one.
    pub(crate) fn sample(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let class = &self.classes[request.class];
        let is_used_up = request.attempts.len() >= class.max_attempts;
        if now >= request.deadline || is_used_up || !self.may_dispatch_again(now, class, request_id) {
            return self.finish_unserved(now, request_id);
        }
        let mut avoided: Vec<ExecutorId> = request.attempts.iter().map(|attempt| attempt.executor).collect();
        avoided.extend(request.candidates.iter().filter(|_| request.sampling_rounds == 1));
        self.update_sample_size(now);
        // Where capacity is short everywhere: one, for each probe has its price.
        let sample_size = if self.is_capacity_short() { 1 } else { self.probes.sample_size };
        let mut candidates: Vec<ExecutorId> = Vec::new();
        for _ in 0..sample_size {
            let sampled = self.sample_one(now, request_id, &avoided);
            candidates.extend(sampled.filter(|executor| !candidates.contains(executor)));
        }
        // Who is near is asked first: where it shows free capacity, the others need not be.
        candidates.sort_by_key(|&executor| self.is_cross_zone(executor));
        match candidates.is_empty() {
            true => self.enqueue(now, request_id),
            false => self.probe(now, request_id, candidates),
        }
    }

    fn may_dispatch_again(&self, now: Millis, class: &RequestClass, request_id: RequestId) -> bool {
        let request = self.requests.get(&request_id);
        request.is_some_and(|request| RetryPolicy::decide(class, request, now).target != RetryTarget::Nowhere)
    }

    /// One eligible executor, each with the same chance but for its health; one to avoid if there is none.
    pub(crate) fn sample_one(
        &mut self,
        now: Millis,
        request_id: RequestId,
        avoided: &[ExecutorId],
    ) -> Option<ExecutorId> {
        // The few nodes to which a budget in slow start is assigned draw its executor for all the others too.
        let assigned_weight =
            self.executors.assigned.len() as f64 * (self.nodes / self.slow_start.assigned_nodes - 1.0);
        let ready = self.executors.ready.len();
        let assigned_chance = assigned_weight / (assigned_weight + ready.max(1) as f64);
        // Guards against work that grows with the fleet: a ready one at random, then whether it is eligible.
        for _ in 0..if ready == 0 { 0 } else { MAX_DRAWS } {
            let draws_assigned = self.random.random_bool(assigned_chance);
            let from = if draws_assigned { &self.executors.assigned } else { &self.executors.ready };
            let executor = from[self.random.random_range(0..from.len())];
            if !avoided.contains(&executor)
                && self.is_eligible(now, self.requests.get(&request_id)?, executor)
                && self.passes_health_weight(now, request_id, executor)
            {
                return Some(executor);
            }
        }
        let request = self.requests.get(&request_id)?;
        let mut eligible = self.executors.ready.clone();
        eligible.retain(|&executor| self.is_eligible(now, request, executor));
        if !eligible.iter().all(|executor| avoided.contains(executor)) {
            eligible.retain(|executor| !avoided.contains(executor));
        }
        (!eligible.is_empty()).then(|| eligible[self.random.random_range(0..eligible.len())])
    }

    /// Work is queued, or replies show it: one of many nodes has too little work to queue some at most times.
    pub(crate) fn is_capacity_short(&self) -> bool {
        let is_shown = self.probes.busy_ratio.unwrap_or(0.0) > SHORT_CAPACITY_RATIO;
        !self.queue.is_empty() || (is_shown && self.nodes > MAX_ASSIGNED_NODES)
    }

    /// Wants reports of these for this request, one after another.
    pub(crate) fn probe(&mut self, now: Millis, request_id: RequestId, candidates: Vec<ExecutorId>) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.candidates = candidates;
        request.probed = 0;
        request.sampling_rounds += 1;
        request.reports.clear();
        match self.probes.is_forbidden {
            true => self.dispatch_by_own_load(now, request_id),
            false => self.probe_next(now, request_id),
        }
    }

    pub(crate) fn probe_next(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let Some(&executor) = request.candidates.get(request.probed) else {
            return self.dispatch_to_shortest(now, request_id);
        };
        request.probed += 1;
        let deadline = request.deadline;
        if let Some(state) = self.executors.state_mut(executor) {
            if !state.is_probe_in_flight && state.awaiting_probe.is_empty() {
                self.due_probes.push(executor);
            }
            if !state.awaiting_probe.contains(&request_id) {
                state.awaiting_probe.push(request_id);
            }
        }
        // The wait for a probe is bounded by what it usually takes; a deep one may queue like a request.
        let timer_at = (now + self.probes.timeout()).min(deadline);
        self.set_desired(request_id, DesiredState::Probing, timer_at);
    }

    fn update_sample_size(&mut self, now: Millis) {
        let probes = &mut self.probes;
        let is_due = now - probes.updated_at >= SAMPLE_SIZE_INTERVAL;
        let Some(busy_ratio) = probes.busy_ratio.filter(|_| is_due) else { return };
        probes.updated_at = now;
        self.executors.collect_ready();
        self.update_assigned(now);
        self.executors.update_least_slots();
        let probes = &mut self.probes;
        // The design's C, probe latency over running time, and the price of a probe beside what work earns.
        let latency = probes.latency.unwrap_or(0.0);
        let cost = latency / self.executors.mean_running_time.max(1.0) + probes.price;
        let before = probes.sample_size;
        let best = best_sample_size(busy_ratio, before, cost, MAX_SAMPLE_SIZE).unwrap_or(LEAST_SAMPLE_SIZE);
        if best != before {
            let change = LogEvent::SampleSizeChanged { from: before, to: best, busy_ratio, probe_cost: cost };
            self.log.push(change);
            probes.sample_size = best;
        }
    }
}
