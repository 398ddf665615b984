//! Selection: ranks the candidates of a request by their load reports and chooses the shortest queue.
use crate::endpoint::LoadReport;
use crate::ids::ExecutorId;
use crate::policy::sampling::FleetCapacity;
use crate::state::probe_statistics::MIN_QUEUE_LENGTH;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Assumed free slots of an executor that cannot be probed; more than any request needs.
const UNKNOWN_SLOTS: f64 = 1e6;
/// Slots in flight below which this node has no attempt at an executor; a request takes at least one slot.
const MIN_BUSY_SLOTS: f64 = 0.5;
/// Sampling rounds after which a request is queued, or dispatched without a probe reply.
const MAX_SAMPLING_ROUNDS: u32 = 2;

/// The load of a candidate, from its load report and this node's own dispatches.
pub(crate) struct CandidateLoad<'a> {
    pub report: &'a LoadReport,
    /// Reported free slots less those taken by this node's dispatches since the report; `None` if the report
    /// does not contain free slots.
    pub free_slots: Option<f64>,
    /// Total slots of the executor; assumed if its reports have not shown them.
    pub total_slots: f64,
    pub is_cross_zone: bool,
}

/// The rank of a candidate; the lowest is the best. Candidates are ordered by queue length, then the node's own
/// zone before others, then utilization.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
pub(crate) struct QueueRank {
    queue_length: f64,
    is_cross_zone: bool,
    /// Negated share of free slots: the lower, the more are free. Minus infinity if the report does not contain
    /// free slots.
    utilization: f64,
}

impl QueueRank {
    const WORST: QueueRank = QueueRank { queue_length: f64::INFINITY, is_cross_zone: true, utilization: 0.0 };

    /// Ranks a candidate for a request that needs `needed_slots`. Slots that the candidate is short of count as
    /// queue length.
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

    /// Whether a candidate is good enough to skip the probes of the others: it has no queue and is in the node's
    /// own zone, so another one could only have a lower utilization. That is worth a probe only if probes have
    /// no price and this node has requests in flight at the candidate.
    pub fn is_sufficient(&self, slots_in_flight: f64, probe_price: f64) -> bool {
        let is_idle = slots_in_flight < MIN_BUSY_SLOTS;
        !self.has_queue() && !self.is_cross_zone && (is_idle || probe_price > 0.0)
    }
}

/// A candidate with its rank.
pub(crate) struct RankedCandidate {
    pub executor: ExecutorId,
    pub rank: QueueRank,
}

/// The candidates that share the best rank.
pub(crate) struct ShortestQueue {
    pub executors: Vec<ExecutorId>,
    rank: QueueRank,
}

/// Returns the candidates that share the best rank, in their original order.
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

/// The next step of a request after the probes of its candidates.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum NextStep {
    /// Dispatch to one of the shortest queues.
    Dispatch,
    /// No candidate replied, or none that did is still eligible: sample one more executor and dispatch without its
    /// report.
    DispatchUnprobed,
    /// Sample a second round.
    SampleAgain,
    /// All candidates have a queue: wait at this node, because a request in an executor's queue cannot be moved.
    Enqueue,
}

impl ShortestQueue {
    /// Decides the next step. `sampling_rounds` counts the rounds of this request, including the last one.
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

/// Chooses one of the executors at random; `None` if there are none.
pub(crate) fn choose_any(executors: &[ExecutorId], random: &mut ChaCha8Rng) -> Option<ExecutorId> {
    (!executors.is_empty()).then(|| executors[random.random_range(0..executors.len())])
}

/// Returns the report that replaces a probe reply if probes are forbidden. The fewer slots this node has in flight
/// at an executor, the more free slots it has; it never shows a queue.
pub(crate) fn assumed_report(slots_in_flight: f64) -> LoadReport {
    LoadReport::from_free_slots(UNKNOWN_SLOTS - slots_in_flight)
}

#[cfg(test)]
#[path = "../../tests/unit/selection.rs"]
mod tests;
