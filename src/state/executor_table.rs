//! What is held of each executor: its storage, its lifetime and when it is reclaimed.
//!
//! State is held under the host's handle from the first time that the executor is listed until the list says
//! that it is gone and nothing can need it any more. A handle that is not held reads as an executor that is
//! gone and without history, so an outdated handle is harmless everywhere.
use crate::endpoint::{Endpoint, EndpointState, ListUpdate, LoadReport};
use crate::ids::{DeduplicationGroupId, ExecutorId, MachineTypeId, RequestClassId, RequestId, ZoneId};
use crate::settings::{Settings, WeightSource};
use crate::time::Millis;
use crate::warm_state::{DecayingScore, ExecutorWarmState, WarmUpDispatch};
use slotmap::SecondaryMap;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// How often executors that are gone are looked over, and only while there are any.
const RECLAIM_INTERVAL: Millis = 1000.0;
/// How long a report may have been on its way when it is first seen.
const REPORT_DELAY: Millis = 40.0;
/// When a report that looks the same is a new one.
pub(crate) const REPORT_LIFETIME: Millis = 500.0;
/// Mean running time before the first attempt has completed.
const INITIAL_RUNNING_TIME: Millis = 500.0;

/// What is known of one executor.
pub(crate) struct ExecutorState {
    pub endpoint: Endpoint,
    /// Score for what failed there.
    pub failure_score: DecayingScore,
    /// How many outcomes it was made of, fading alike.
    pub observations: DecayingScore,
    /// The same score for each class whose work it rejected though it had shown free capacity.
    pub rejections: BTreeMap<RequestClassId, DecayingScore>,
    /// The most slots that its reports have shown.
    pub max_slots: f64,
    pub report: LoadReport,
    /// When this report was first seen; the same one comes back until the executor makes a new one.
    pub reported_at: Millis,
    /// Slots that this node's own dispatches (+) and ended attempts (-) have changed of late.
    recent_changes: VecDeque<SlotChange>,
    /// Slots of this node's attempts that are in flight.
    pub slots_in_flight: f64,
    /// Requests that wait for the probe that is wanted or in flight.
    pub awaiting_probe: Vec<RequestId>,
    pub is_probe_in_flight: bool,
    /// What was dispatched while it was in slow start.
    pub warm_up_spent: Vec<WarmUpDispatch>,
    /// When a connection there was last used by an attempt.
    pub last_used: Millis,
}

struct SlotChange {
    at: Millis,
    slots: f64,
}

impl ExecutorState {
    fn new(endpoint: Endpoint) -> Self {
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

    /// What the list says now; another start has another history. That it is gone says nothing of its start:
    /// it may be back with it, and what was spent of its warm-up budget counts then.
    fn relist(&mut self, endpoint: Endpoint) {
        if endpoint.state == EndpointState::Gone {
            self.endpoint.state = EndpointState::Gone;
            return;
        }
        if self.endpoint.started_at != endpoint.started_at {
            // A process before this one may have handed on what it spent there, and not under which start.
            if self.endpoint.started_at.is_some() {
                self.warm_up_spent.clear();
            }
            self.failure_score = DecayingScore::default();
            self.rejections.clear();
        }
        self.endpoint = endpoint;
    }

    /// Records what this node's own dispatch (+) or ended attempt (-) changes, as long as a report may not
    /// show it.
    fn record_change(&mut self, now: Millis, slots: f64) {
        while self.recent_changes.front().is_some_and(|change| change.at < now - REPORT_LIFETIME) {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back(SlotChange { at: now, slots });
        self.slots_in_flight = (self.slots_in_flight + slots).max(0.0);
    }

    /// Slots that this node's own dispatches and ended attempts have changed and its report may not show yet.
    pub fn unreported_change(&self, now: Millis) -> f64 {
        let since = (self.reported_at - REPORT_DELAY).max(now - REPORT_LIFETIME);
        self.recent_changes.iter().filter(|change| change.at >= since).map(|change| change.slots).sum()
    }

    /// Takes in a report, and the most slots that any has shown.
    pub fn take_report(&mut self, now: Millis, report: LoadReport) {
        let running = (report.in_flight.unwrap_or(0.0) - report.queue_length.unwrap_or(0.0)).max(0.0);
        let shown_slots = report.free_slots.unwrap_or(0.0) + running;
        self.max_slots = self.max_slots.max(shown_slots.round());
        if self.report != report {
            (self.report, self.reported_at) = (report, now);
        }
    }

    /// What was spent of the warm-up budget since then.
    pub fn warm_up_spent_since(&self, since: Millis) -> impl Iterator<Item = &WarmUpDispatch> {
        self.warm_up_spent.iter().filter(move |spent| spent.at >= since)
    }

    /// Whether a probe is in flight or wanted, or part of its warm-up budget counts that was spent since
    /// then.
    fn is_in_use(&self, spent_since: Millis) -> bool {
        let is_probed = self.is_probe_in_flight || !self.awaiting_probe.is_empty();
        is_probed || self.warm_up_spent_since(spent_since).next().is_some()
    }
}

/// The weights of one type of machine, held while an executor of that type is.
#[derive(Default)]
struct MachineTypeWeight {
    largest: f64,
    executors: usize,
}

/// All executors that are held.
pub(crate) struct ExecutorTable {
    states: SecondaryMap<ExecutorId, ExecutorState>,
    /// Stands in for an executor that is not held.
    absent: ExecutorState,
    /// Whether weights fall with load: the largest that the list has shown of each type of machine counts
    /// then.
    weights_fall_with_load: bool,
    machine_types: BTreeMap<MachineTypeId, MachineTypeWeight>,
    /// The least slots that any report has shown; it stands in where none are shown yet.
    pub least_slots: f64,
    /// Those that take new work.
    pub ready: Vec<ExecutorId>,
    /// Those of them in slow start of whose budget this node holds more than an even part.
    pub assigned: Vec<ExecutorId>,
    /// Smoothed running time of all work: what an older report shows has mostly ended by then.
    pub mean_running_time: Millis,
    /// Those that are gone and still held.
    gone: BTreeSet<ExecutorId>,
    /// When these are looked over next; infinite while there are none.
    reclaim_at: Millis,
    /// Events so far for executors that are not held.
    pub stale_events: u64,
    #[cfg(test)]
    pub reclaiming: Reclaiming,
}

/// How the tests have state reclaimed, to compare with what is right.
#[cfg(test)]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Reclaiming {
    Unneeded,
    Never,
    /// Wrong: also while open requests name it.
    Named,
    /// Wrong: also while a probe is in flight or its warm-up budget counts.
    InUse,
}

impl ExecutorTable {
    pub fn new() -> Self {
        let absent = Endpoint {
            executor: ExecutorId::default(),
            token: 0,
            zone: ZoneId(u32::MAX),
            machine_type: MachineTypeId(u32::MAX),
            deduplication_group: DeduplicationGroupId(u32::MAX),
            state: EndpointState::Gone,
            weight: 0.0,
            started_at: None,
        };
        ExecutorTable {
            states: SecondaryMap::new(),
            absent: ExecutorState::new(absent),
            weights_fall_with_load: false,
            machine_types: BTreeMap::new(),
            least_slots: 1.0,
            ready: Vec::new(),
            assigned: Vec::new(),
            mean_running_time: INITIAL_RUNNING_TIME,
            gone: BTreeSet::new(),
            reclaim_at: f64::INFINITY,
            stale_events: 0,
            #[cfg(test)]
            reclaiming: Reclaiming::Unneeded,
        }
    }

    pub fn apply_settings(&mut self, settings: &Settings) {
        self.weights_fall_with_load = settings.weight_source == WeightSource::Live;
    }

    /// The number of executors that are held, those that are gone included.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    pub fn get(&self, executor: ExecutorId) -> Option<&ExecutorState> {
        self.states.get(executor)
    }

    /// What is known of an executor; nothing where it is not held.
    pub fn state(&self, executor: ExecutorId) -> &ExecutorState {
        self.states.get(executor).unwrap_or(&self.absent)
    }

    pub fn state_mut(&mut self, executor: ExecutorId) -> Option<&mut ExecutorState> {
        self.states.get_mut(executor)
    }

    /// All that are held, in the order of their slots: that of first mention while none is released.
    pub fn iter(&self) -> impl Iterator<Item = &ExecutorState> {
        self.states.values()
    }

    /// Records a dispatch (+) or an ended attempt (-).
    pub fn record_change(&mut self, executor: ExecutorId, now: Millis, slots: f64) {
        let Some(state) = self.state_mut(executor) else { return };
        state.record_change(now, slots);
    }

    /// Whether an executor is held that an event is for; one that is not counts as an outdated event.
    pub fn expects(&mut self, executor: ExecutorId) -> bool {
        let is_held = self.states.contains_key(executor);
        self.stale_events += u64::from(!is_held);
        is_held
    }

    pub fn is_ready(&self, executor: ExecutorId) -> bool {
        self.state(executor).endpoint.state == EndpointState::Ready
    }

    /// Makes room for the executors of a complete list at once, and for an eighth more: growing step by step
    /// would leave as much memory behind as is held in the end.
    fn reserve(&mut self, executors: usize) {
        if executors > self.states.capacity() {
            self.states.set_capacity(executors + executors / 8);
        }
    }

    /// Those that are gone are looked over next time, whenever it was due.
    pub fn reclaim_now(&mut self) {
        if !self.gone.is_empty() {
            self.reclaim_at = f64::NEG_INFINITY;
        }
    }

    /// Applies an update of the endpoint list; executors that a complete list does not contain are gone.
    pub fn update(&mut self, now: Millis, update: ListUpdate, endpoints: &[Endpoint]) {
        if matches!(update, ListUpdate::Snapshot | ListUpdate::Cached) {
            self.states.values_mut().for_each(|state| state.endpoint.state = EndpointState::Gone);
            self.gone = self.states.keys().collect();
            self.reserve(endpoints.len());
        }
        endpoints.iter().for_each(|endpoint| self.list(endpoint));
        self.collect_ready();
        if self.gone.is_empty() {
            self.reclaim_at = f64::INFINITY;
        } else if self.reclaim_at.is_infinite() {
            self.reclaim_at = now + RECLAIM_INTERVAL;
        }
    }

    fn list(&mut self, endpoint: &Endpoint) {
        let executor = endpoint.executor;
        let type_before = self.states.get(executor).map(|state| state.endpoint.machine_type);
        match self.states.get_mut(executor) {
            Some(state) => state.relist(*endpoint),
            None => {
                self.states.insert(executor, ExecutorState::new(*endpoint));
            }
        }
        // Not held even so where the slot is another executor's by now.
        if !self.expects(executor) {
            return;
        }
        match endpoint.state {
            EndpointState::Gone => self.gone.insert(executor),
            _ => self.gone.remove(&executor),
        };
        self.count_machine_type(type_before, self.state(executor).endpoint);
    }

    /// Keeps the largest weight of each type of machine, and how many executors there are of it.
    fn count_machine_type(&mut self, type_before: Option<MachineTypeId>, endpoint: Endpoint) {
        let machine_type = endpoint.machine_type;
        if type_before != Some(machine_type) {
            self.machine_types.entry(machine_type).or_default().executors += 1;
            type_before.into_iter().for_each(|before| self.drop_machine_type(before));
        }
        if let Some(weight) = self.machine_types.get_mut(&machine_type)
            && self.weights_fall_with_load
            && endpoint.state == EndpointState::Ready
        {
            weight.largest = weight.largest.max(endpoint.weight);
        }
    }

    fn drop_machine_type(&mut self, machine_type: MachineTypeId) {
        let Some(weight) = self.machine_types.get_mut(&machine_type) else { return };
        weight.executors = weight.executors.saturating_sub(1);
        if weight.executors == 0 {
            self.machine_types.remove(&machine_type);
        }
    }

    /// Works out anew who takes new work.
    pub fn collect_ready(&mut self) {
        let ready = self.states.iter().filter(|(_, state)| state.endpoint.state == EndpointState::Ready);
        self.ready = ready.map(|(executor, _)| executor).collect();
    }

    /// Slots of an executor: as its reports show, else the least that any has shown.
    pub fn slots_or_least(&self, executor: ExecutorId) -> f64 {
        let shown = self.state(executor).max_slots;
        if shown > 0.0 { shown } else { self.least_slots }
    }

    /// Works out anew the least slots that any report has shown.
    pub fn update_least_slots(&mut self) {
        let shown = self.iter().map(|state| state.max_slots).filter(|&slots| slots > 0.0);
        self.least_slots = shown.min_by(f64::total_cmp).unwrap_or(1.0);
    }

    /// What an executor can do when warm, in slots: by its weight where that falls with load and hides slots.
    pub fn capacity(&self, executor: ExecutorId) -> f64 {
        let machine_type = self.state(executor).endpoint.machine_type;
        let largest = self.machine_types.get(&machine_type).map_or(0.0, |weight| weight.largest);
        if largest > 0.0 { largest } else { self.slots_or_least(executor) }
    }

    /// What a next process goes on from; what was spent of warm-up budgets counts from `spent_since` on.
    pub fn export(&self, spent_since: Millis) -> Vec<ExecutorWarmState> {
        let spent =
            |state: &ExecutorState| state.warm_up_spent_since(spent_since).copied().collect::<Vec<_>>();
        // One that is gone may be back with the same start while what was spent of its warm-up budget counts.
        let is_exported = |state: &&ExecutorState| {
            state.endpoint.state != EndpointState::Gone
                || state.warm_up_spent_since(spent_since).next().is_some()
        };
        let export = |state: &ExecutorState| ExecutorWarmState {
            executor: state.endpoint.executor,
            failure_score: state.failure_score,
            observations: state.observations,
            max_slots: state.max_slots,
            warm_up_spent: spent(state),
        };
        self.iter().filter(is_exported).map(export).collect()
    }

    /// Goes on from what a process before this one exported of executors that are held.
    pub fn import(&mut self, executors: Vec<ExecutorWarmState>) {
        for imported in executors {
            if self.expects(imported.executor)
                && let Some(state) = self.state_mut(imported.executor)
            {
                state.failure_score = imported.failure_score;
                state.observations = imported.observations;
                state.max_slots = imported.max_slots;
                state.warm_up_spent = imported.warm_up_spent;
            }
        }
    }

    /// When those that are gone are looked over next; infinite while there are none.
    pub fn reclaim_at(&self) -> Millis {
        self.reclaim_at
    }

    /// Drops the state of those that are gone and that nothing can need any more; `named` are the executors
    /// that open requests name, and what was spent of warm-up budgets counts from `spent_since` on.
    ///
    /// The cost goes by the open requests and the executors that are gone.
    pub fn reclaim(
        &mut self,
        now: Millis,
        spent_since: Millis,
        named: impl Iterator<Item = ExecutorId>,
    ) -> Vec<ExecutorId> {
        let named: HashSet<ExecutorId> = named.filter(|executor| self.gone.contains(executor)).collect();
        let unneeded = |executor: &ExecutorId| self.may_release(*executor, &named, spent_since);
        let released: Vec<ExecutorId> = self.gone.iter().copied().filter(unneeded).collect();
        released.iter().for_each(|executor| self.release(*executor));
        self.reclaim_at = if self.gone.is_empty() { f64::INFINITY } else { now + RECLAIM_INTERVAL };
        released
    }

    fn may_release(&self, executor: ExecutorId, named: &HashSet<ExecutorId>, spent_since: Millis) -> bool {
        let is_named = named.contains(&executor);
        let is_in_use = self.state(executor).is_in_use(spent_since);
        #[cfg(test)]
        match self.reclaiming {
            Reclaiming::Unneeded => {}
            Reclaiming::Never => return false,
            Reclaiming::Named => return !is_in_use,
            Reclaiming::InUse => return !is_named,
        }
        !is_named && !is_in_use
    }

    fn release(&mut self, executor: ExecutorId) {
        self.gone.remove(&executor);
        if let Some(state) = self.states.remove(executor) {
            self.drop_machine_type(state.endpoint.machine_type);
        }
    }
}
