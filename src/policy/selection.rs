//! Selection: load reports of the candidates ranked, and the shortest queue chosen.
use crate::endpoint::LoadReport;
use crate::ids::ExecutorId;
use crate::policy::sampling::FleetCapacity;
use crate::state::probe_statistics::MIN_QUEUE_LENGTH;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Assumed free slots of an executor whose load cannot be probed: more than any request needs.
const UNKNOWN_SLOTS: f64 = 1e6;
/// With fewer slots in flight at an executor, this node keeps none of it busy: a request takes one at least.
const MIN_BUSY_SLOTS: f64 = 0.5;
/// Sampling rounds of a request after which it is queued, or dispatched without a reply.
const MAX_SAMPLING_ROUNDS: u32 = 2;

/// The load of a candidate, by its report.
pub(crate) struct CandidateLoad<'a> {
    pub report: &'a LoadReport,
    /// Reported free slots, less those that this node's own dispatches have taken since; `None` if the
    /// report does not show free slots.
    pub free_slots: Option<f64>,
    /// Slots of the executor, or an assumption.
    pub total_slots: f64,
    pub is_cross_zone: bool,
}

/// The order of candidates: the shortest queue first, then the node's own zone, then the lowest utilization.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
pub(crate) struct QueueRank {
    queue_length: f64,
    is_cross_zone: bool,
    /// Negated free slots as a part of all slots: the lower, the more are free. Lowest, at minus infinity, if
    /// the report does not show free slots.
    utilization: f64,
}

impl QueueRank {
    const WORST: QueueRank = QueueRank { queue_length: f64::INFINITY, is_cross_zone: true, utilization: 0.0 };

    /// The rank of a candidate for a request that needs this many slots. Slots that it lacks there count as
    /// queued.
    pub fn new(load: &CandidateLoad<'_>, needed_slots: f64) -> Self {
        let waiting = load.report.queue_length.or(load.report.in_flight).unwrap_or(0.0);
        let missing_slots = load.free_slots.map_or(0.0, |free_slots| (needed_slots - free_slots).max(0.0));
        QueueRank {
            queue_length: (waiting + missing_slots).round(),
            is_cross_zone: load.is_cross_zone,
            utilization: -load.free_slots.unwrap_or(f64::INFINITY) / load.total_slots,
        }
    }

    fn has_queue(&self) -> bool {
        self.queue_length >= MIN_QUEUE_LENGTH
    }

    /// Whether a candidate is good enough to skip the probes of the others. It has no queue and is in the
    /// node's own zone: another could only have a lower utilization. That is worth a probe only if probes are
    /// free and this node has requests in flight here.
    pub fn is_sufficient(&self, slots_in_flight: f64, probe_price: f64) -> bool {
        let is_idle = slots_in_flight < MIN_BUSY_SLOTS;
        !self.has_queue() && !self.is_cross_zone && (is_idle || probe_price > 0.0)
    }
}

/// The rank of one candidate.
pub(crate) struct RankedCandidate {
    pub executor: ExecutorId,
    pub rank: QueueRank,
}

/// The candidates of the best rank.
pub(crate) struct ShortestQueue {
    pub executors: Vec<ExecutorId>,
    rank: QueueRank,
}

/// The candidates of the best rank, in their order.
pub(crate) fn shortest_queue(candidates: impl Iterator<Item = RankedCandidate>) -> ShortestQueue {
    let mut shortest = ShortestQueue { executors: Vec::new(), rank: QueueRank::WORST };
    for RankedCandidate { executor, rank } in candidates {
        if rank < shortest.rank {
            shortest = ShortestQueue { executors: Vec::new(), rank };
        }
        if rank == shortest.rank {
            shortest.executors.push(executor);
        }
    }
    shortest
}

/// What follows once all reports of a request's candidates are in.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum NextStep {
    /// Dispatch to one of the shortest queues.
    Dispatch,
    /// No candidate replied, or none that did is still eligible: sample one more executor and dispatch without its report.
    DispatchUnprobed,
    /// Sample a second round.
    SampleAgain,
    /// All queues are long: wait here, as a request in an executor's queue cannot move.
    Enqueue,
}

impl ShortestQueue {
    /// `sampling_rounds` counts the rounds of this request, the last one included.
    pub fn next_step(&self, sampling_rounds: u32, capacity: FleetCapacity) -> NextStep {
        let is_last_round = sampling_rounds >= MAX_SAMPLING_ROUNDS;
        if self.executors.is_empty() {
            return if is_last_round { NextStep::DispatchUnprobed } else { NextStep::SampleAgain };
        }
        match self.rank.has_queue() {
            false => NextStep::Dispatch,
            true if is_last_round || capacity == FleetCapacity::Short => NextStep::Enqueue,
            true => NextStep::SampleAgain,
        }
    }
}

/// One of several equal executors, at random; `None` of none.
pub(crate) fn choose_any(executors: &[ExecutorId], random: &mut ChaCha8Rng) -> Option<ExecutorId> {
    (!executors.is_empty()).then(|| executors[random.random_range(0..executors.len())])
}

/// The report that stands in for a probe reply where probes are forbidden: the fewer slots this node has in
/// flight, the emptier the executor. It never shows a queue.
pub(crate) fn assumed_report(slots_in_flight: f64) -> LoadReport {
    LoadReport::from_free_slots(UNKNOWN_SLOTS - slots_in_flight)
}

#[cfg(test)]
#[path = "../../tests/unit/selection.rs"]
mod tests;
