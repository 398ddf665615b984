//! The state of one executor: its list entry, its load reports, and this node's observations.
use crate::endpoint::{Endpoint, EndpointState, LoadReport};
use crate::ids::{RequestClassId, RequestId};
use crate::time::Millis;
use crate::warm_state::{DecayingScore, WarmUpDispatch};
use std::collections::{BTreeMap, VecDeque};

/// Upper bound on the age of a load report when it is received, in milliseconds.
const REPORT_DELAY: Millis = 40.0;
/// Upper bound on the time for which an executor repeats the same load report, in milliseconds.
pub(crate) const REPORT_LIFETIME: Millis = 500.0;

/// The state of one executor.
pub(crate) struct ExecutorState {
    pub endpoint: Endpoint,
    /// Score of its faults and slow attempts.
    pub failure_score: DecayingScore,
    /// Decaying number of the outcomes in that score.
    pub observations: DecayingScore,
    /// Scores of rejections although the executor's report showed free capacity, by request class.
    pub rejections: BTreeMap<RequestClassId, DecayingScore>,
    /// Largest number of slots that its reports have shown.
    pub max_slots: f64,
    pub report: LoadReport,
    /// When this report was first received; an executor repeats a report until it creates a new one.
    pub reported_at: Millis,
    /// Slots taken by this node's recent dispatches (+) and freed by its ended attempts (-).
    recent_changes: VecDeque<SlotChange>,
    /// Slots of this node's attempts that are in flight.
    pub slots_in_flight: f64,
    /// Requests that await the probe that is due or in flight.
    pub awaiting_probe: Vec<RequestId>,
    pub is_probe_in_flight: bool,
    /// Dispatches of this node to it during slow start.
    pub warm_up_spent: Vec<WarmUpDispatch>,
    /// When the last attempt at it that may have run ended; approximates the last use of its connections.
    /// Rejections do not count, although they use a connection.
    pub last_used: Millis,
}

struct SlotChange {
    at: Millis,
    slots: f64,
}

impl ExecutorState {
    pub fn new(endpoint: Endpoint) -> Self {
        ExecutorState {
            endpoint,
            failure_score: DecayingScore::default(),
            observations: DecayingScore::default(),
            rejections: BTreeMap::new(),
            max_slots: 0.0,
            report: LoadReport::default(),
            reported_at: 0.0,
            recent_changes: VecDeque::new(),
            slots_in_flight: 0.0,
            awaiting_probe: Vec::new(),
            is_probe_in_flight: false,
            warm_up_spent: Vec::new(),
            last_used: f64::NEG_INFINITY,
        }
    }

    /// Applies a new list entry. A restart clears the history. An executor that is gone keeps its start time: if it
    /// is listed again with the same one, its spent warm-up budget still counts.
    pub fn apply_entry(&mut self, endpoint: Endpoint) {
        if endpoint.state == EndpointState::Gone {
            self.endpoint.state = EndpointState::Gone;
            return;
        }
        if self.endpoint.started_at != endpoint.started_at {
            // Dispatches imported from an earlier process come without a start time and must not be cleared by the
            // first one.
            if self.endpoint.started_at.is_some() {
                self.warm_up_spent.clear();
            }
            self.failure_score = DecayingScore::default();
            self.rejections.clear();
        }
        self.endpoint = endpoint;
    }

    /// Records slots taken by a dispatch (+) or freed by an ended attempt (-) until reports include them.
    pub fn record_slot_change(&mut self, now: Millis, slots: f64) {
        while self.recent_changes.front().is_some_and(|change| change.at < now - REPORT_LIFETIME) {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(SlotChange { at: now, slots });
        self.slots_in_flight = (self.slots_in_flight + slots).max(0.0);
    }

    /// Returns the slots taken (+) or freed (-) by this node that the report may not include yet.
    pub fn unreported_change(&self, now: Millis) -> f64 {
        let since = (self.reported_at - REPORT_DELAY).max(now - REPORT_LIFETIME);
        self.recent_changes.iter().filter(|change| change.at >= since).map(|change| change.slots).sum()
    }

    /// Stores a load report and updates the largest number of slots, counting one slot per running request.
    pub fn record_report(&mut self, now: Millis, report: LoadReport) {
        let running = (report.in_flight.unwrap_or(0.0) - report.queue_length.unwrap_or(0.0)).max(0.0);
        let shown_slots = report.free_slots.unwrap_or(0.0) + running;
        self.max_slots = self.max_slots.max(shown_slots.round());
        if self.report != report {
            (self.report, self.reported_at) = (report, now);
        }
    }

    /// Returns the dispatches during slow start since this time.
    pub fn warm_up_spent_since(&self, since: Millis) -> impl Iterator<Item = &WarmUpDispatch> {
        self.warm_up_spent.iter().filter(move |spent| spent.at >= since)
    }

    /// Whether a probe is due or in flight, or a dispatch during slow start since `spent_since` counts.
    pub fn is_in_use(&self, spent_since: Millis) -> bool {
        let is_probed = self.is_probe_in_flight || !self.awaiting_probe.is_empty();
        is_probed || self.warm_up_spent_since(spent_since).next().is_some()
    }
}
