//! The states of all executors, and when they are reclaimed.
//!
//! An executor has state under the host's handle from its first listing until it is gone from the list and nothing
//! needs the state any more. A handle without state reads as an executor that is gone and has no history, so an
//! outdated handle is harmless.
use crate::endpoint::{Endpoint, EndpointState, ListUpdate};
use crate::ids::{ExecutorId, MachineTypeId};
use crate::settings::Settings;
use crate::state::executor_state::ExecutorState;
use crate::state::machine_types::MachineTypes;
use crate::time::Millis;
use crate::warm_state::ExecutorWarmState;
use slotmap::SecondaryMap;
use std::collections::{BTreeSet, HashSet};

/// Interval at which executors that are gone are checked for release, in milliseconds.
const RECLAIM_INTERVAL: Millis = 1000.0;
/// Mean running time assumed until the first attempt has completed, in milliseconds.
const INITIAL_RUNNING_TIME: Millis = 500.0;

/// All executors with state.
pub(crate) struct ExecutorTable {
    states: SecondaryMap<ExecutorId, ExecutorState>,
    /// State returned for an executor without state.
    absent: ExecutorState,
    machine_types: MachineTypes,
    /// Smallest number of slots that the reports of any executor have shown. Assumed for executors whose reports
    /// have not shown slots yet.
    pub min_slots: f64,
    /// Executors that accept new requests.
    pub ready: Vec<ExecutorId>,
    /// Ready executors in slow start for which this node has more than an even share of the warm-up budget.
    pub assigned: Vec<ExecutorId>,
    /// Smoothed response time of all requests, from dispatch to result. The cost of a probe is relative to it.
    pub mean_running_time: Millis,
    /// Executors that are gone but still have state.
    gone: BTreeSet<ExecutorId>,
    /// When the executors that are gone are next checked for release; infinite if there are none.
    reclaim_at: Millis,
    /// Number of events so far that referred to an executor without state.
    pub stale_events: u64,
    #[cfg(test)]
    pub reclaiming: Reclaiming,
}

/// When state is reclaimed. Tests compare the correct behavior with faulty ones.
#[cfg(test)]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Reclaiming {
    Unneeded,
    Never,
    /// Faulty: also while open requests refer to it.
    Referenced,
    /// Faulty: also while a probe is in flight or a dispatch counts against its warm-up budget.
    InUse,
}

impl ExecutorTable {
    pub fn new() -> Self {
        let absent = Endpoint {
            executor: ExecutorId::default(),
            token: 0,
            zone: None,
            machine_type: MachineTypeId(u32::MAX),
            deduplication_group: None,
            state: EndpointState::Gone,
            weight: 0.0,
            started_at: None,
        };
        ExecutorTable {
            states: SecondaryMap::new(),
            absent: ExecutorState::new(absent),
            machine_types: MachineTypes::default(),
            min_slots: 1.0,
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
        self.machine_types.apply_settings(settings);
    }

    /// Number of executors with state, including those that are gone.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// The state of an executor; if it has none, that of an executor that is gone and has no history.
    pub fn state(&self, executor: ExecutorId) -> &ExecutorState {
        self.states.get(executor).unwrap_or(&self.absent)
    }

    pub fn state_mut(&mut self, executor: ExecutorId) -> Option<&mut ExecutorState> {
        self.states.get_mut(executor)
    }

    /// All executors with state, in the order of their handles.
    pub fn iter(&self) -> impl Iterator<Item = &ExecutorState> {
        self.states.values()
    }

    /// Records slots taken by a dispatch (+) or freed by an ended attempt (-).
    pub fn record_slot_change(&mut self, now: Millis, executor: ExecutorId, slots: f64) {
        let Some(state) = self.state_mut(executor) else { return };
        state.record_slot_change(now, slots);
    }

    /// Whether the executor that an event refers to has no state. If so, the event is counted as stale.
    pub fn count_if_stale(&mut self, executor: ExecutorId) -> bool {
        let is_stale = !self.states.contains_key(executor);
        self.stale_events += u64::from(is_stale);
        is_stale
    }

    /// Whether an executor accepts new requests.
    pub fn is_ready(&self, executor: ExecutorId) -> bool {
        self.state(executor).endpoint.state == EndpointState::Ready
    }

    /// Reserves space for the executors of a complete list plus an eighth. Growing incrementally would leave freed
    /// memory of the same size behind.
    fn reserve(&mut self, executors: usize) {
        if executors > self.states.capacity() {
            self.states.set_capacity(executors + executors / 8);
        }
    }

    /// Makes the executors that are gone due for release at once.
    pub fn reclaim_now(&mut self) {
        if !self.gone.is_empty() {
            self.reclaim_at = f64::NEG_INFINITY;
        }
    }

    /// Applies an update of the endpoint list. Executors missing from a complete list are gone.
    pub fn update(&mut self, now: Millis, update: ListUpdate, endpoints: &[Endpoint]) {
        if matches!(update, ListUpdate::Snapshot | ListUpdate::Cached) {
            self.states.values_mut().for_each(|state| state.endpoint.state = EndpointState::Gone);
            self.gone = self.states.keys().collect();
            self.reserve(endpoints.len());
        }
        endpoints.iter().for_each(|endpoint| self.apply_entry(endpoint));
        self.collect_ready();
        if self.gone.is_empty() {
            self.reclaim_at = f64::INFINITY;
        } else if self.reclaim_at.is_infinite() {
            self.reclaim_at = now + RECLAIM_INTERVAL;
        }
    }

    fn apply_entry(&mut self, endpoint: &Endpoint) {
        let executor = endpoint.executor;
        let type_before = self.states.get(executor).map(|state| state.endpoint.machine_type);
        match self.states.get_mut(executor) {
            Some(state) => state.apply_entry(*endpoint),
            None => {
                self.states.insert(executor, ExecutorState::new(*endpoint));
            }
        }
        // An outdated handle, whose slot now belongs to another executor, gets no state.
        if self.count_if_stale(executor) {
            return;
        }
        match endpoint.state {
            EndpointState::Gone => self.gone.insert(executor),
            _ => self.gone.remove(&executor),
        };
        if let Some(state) = self.states.get(executor) {
            self.machine_types.update(type_before, &state.endpoint);
        }
    }

    /// Updates the list of executors that accept new requests.
    pub fn collect_ready(&mut self) {
        let ready = self.states.iter().filter(|(_, state)| state.endpoint.state == EndpointState::Ready);
        self.ready = ready.map(|(executor, _)| executor).collect();
    }

    /// Slots of an executor according to its reports; if they have not shown any yet, the smallest number of any
    /// executor.
    pub fn slots_or_min(&self, executor: ExecutorId) -> f64 {
        let shown = self.state(executor).max_slots;
        if shown > 0.0 { shown } else { self.min_slots }
    }

    /// Updates the smallest number of slots of any executor.
    pub fn update_min_slots(&mut self) {
        let shown = self.iter().map(|state| state.max_slots).filter(|&slots| slots > 0.0);
        self.min_slots = shown.min_by(f64::total_cmp).unwrap_or(1.0);
    }

    /// Slots of an executor when it is warm. They follow from the weights of its machine type if weights fall with
    /// load, because reports show fewer slots during warm-up.
    pub fn capacity(&self, executor: ExecutorId) -> f64 {
        let machine_type = self.state(executor).endpoint.machine_type;
        self.machine_types.capacity(machine_type).unwrap_or_else(|| self.slots_or_min(executor))
    }

    /// Returns the state for the next process of this node, with the dispatches during slow start since
    /// `spent_since`.
    pub fn export(&self, spent_since: Millis) -> Vec<ExecutorWarmState> {
        let spent =
            |state: &ExecutorState| state.warm_up_spent_since(spent_since).copied().collect::<Vec<_>>();
        // An executor that is gone may be listed again with the same start time, and thus the same budget.
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

    /// Imports the state of an earlier process for executors that have state here.
    pub fn import(&mut self, executors: Vec<ExecutorWarmState>) {
        for imported in executors {
            if !self.count_if_stale(imported.executor)
                && let Some(state) = self.state_mut(imported.executor)
            {
                state.failure_score = imported.failure_score;
                state.observations = imported.observations;
                state.max_slots = imported.max_slots;
                state.warm_up_spent = imported.warm_up_spent;
            }
        }
    }

    /// When executors that are gone are next checked for release; infinite if there are none.
    pub fn reclaim_at(&self) -> Millis {
        self.reclaim_at
    }

    /// Removes the state of executors that are gone and no longer needed, and returns their handles. `referenced` are
    /// the executors that open requests refer to; dispatches during slow start since `spent_since` count.
    ///
    /// The cost is linear in the number of open requests and of executors that are gone.
    pub fn reclaim(
        &mut self,
        now: Millis,
        spent_since: Millis,
        referenced: impl Iterator<Item = ExecutorId>,
    ) -> Vec<ExecutorId> {
        let referenced: HashSet<ExecutorId> =
            referenced.filter(|executor| self.gone.contains(executor)).collect();
        let unneeded = |executor: &ExecutorId| self.can_release(*executor, &referenced, spent_since);
        let released: Vec<ExecutorId> = self.gone.iter().copied().filter(unneeded).collect();
        released.iter().for_each(|executor| self.release(*executor));
        self.reclaim_at = if self.gone.is_empty() { f64::INFINITY } else { now + RECLAIM_INTERVAL };
        released
    }

    fn can_release(
        &self,
        executor: ExecutorId,
        referenced: &HashSet<ExecutorId>,
        spent_since: Millis,
    ) -> bool {
        let is_referenced = referenced.contains(&executor);
        let is_in_use = self.state(executor).is_in_use(spent_since);
        #[cfg(test)]
        match self.reclaiming {
            Reclaiming::Unneeded => {}
            Reclaiming::Never => return false,
            Reclaiming::Referenced => return !is_in_use,
            Reclaiming::InUse => return !is_referenced,
        }
        !is_referenced && !is_in_use
    }

    fn release(&mut self, executor: ExecutorId) {
        self.gone.remove(&executor);
        if let Some(state) = self.states.remove(executor) {
            self.machine_types.remove(state.endpoint.machine_type);
        }
    }
}
