//! What is held of each executor: its storage, its lifetime and when it is reclaimed. Where work goes is decided
//! in the parent module.
//!
//! State is held under the host's handle from the first time that the executor is listed until the list says that
//! it is gone and nothing can need it any more. A handle that is not held reads as an executor that is gone
//! and without history, so an outdated handle is harmless everywhere.
use crate::terms::*;
use slotmap::SecondaryMap;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// Executors that are gone are looked over this often, and only while there are any.
const RECLAIM_EVERY: Millis = 1000.0;

/// What is known of one executor.
pub(crate) struct ExecutorState {
    pub listing: Endpoint,
    /// Score for what failed there, and when it was set.
    pub failure_score: (f64, Millis),
    /// How many outcomes it was made of, fading alike.
    pub observations: (f64, Millis),
    /// The same score for each project type that it turned away though it had shown room.
    pub turned_away: BTreeMap<usize, (f64, Millis)>,
    /// The most slots that its reports have shown.
    pub most_slots: f64,
    pub reading: LoadReport,
    /// When this reading was first seen; the same one comes back until the executor makes a new one.
    pub read_at: Millis,
    /// Slots that this node's own dispatches (+) and ended attempts (-) have changed of late.
    pub recent_changes: VecDeque<(Millis, f64)>,
    /// Slots of this node's attempts that are out.
    pub slots_out: f64,
    /// Requests that wait for the probe that is wanted or out.
    pub awaiting_probe: Vec<RequestId>,
    pub probe_out: bool,
    /// What was dispatched while cold: when, and how many slot-milliseconds.
    pub cold_spent: Vec<(Millis, f64)>,
    /// When a connection there was last used by an attempt.
    pub last_used: Millis,
}

impl ExecutorState {
    fn new(listing: Endpoint) -> Self {
        ExecutorState {
            listing,
            failure_score: (0.0, 0.0),
            observations: (0.0, 0.0),
            turned_away: BTreeMap::new(),
            most_slots: 0.0,
            reading: LoadReport::default(),
            read_at: 0.0,
            recent_changes: VecDeque::new(),
            slots_out: 0.0,
            awaiting_probe: Vec::new(),
            probe_out: false,
            cold_spent: Vec::new(),
            last_used: f64::NEG_INFINITY,
        }
    }

    /// What the list says now; another start has another history. That it is gone says nothing of its start: it
    /// may be back with it, and what was spent of its cold budget counts then.
    fn relist(&mut self, listing: Endpoint) {
        if listing.state == EndpointState::Gone {
            self.listing.state = EndpointState::Gone;
            return;
        }
        if self.listing.started_at != listing.started_at {
            // A process before this one may have handed on what it spent there, and not under which start.
            if self.listing.started_at.is_some() {
                self.cold_spent.clear();
            }
            self.failure_score = (0.0, 0.0);
            self.turned_away.clear();
        }
        self.listing = listing;
    }

    /// Whether a probe is out or wanted, or part of its cold budget counts that was spent since then.
    fn is_in_use(&self, spent_since: Millis) -> bool {
        let probed = self.probe_out || !self.awaiting_probe.is_empty();
        probed || self.cold_spent.iter().any(|&(at, _)| at >= spent_since)
    }
}

/// The sizes of one kind of machine, held while an executor of that kind is.
#[derive(Default)]
struct KindSize {
    largest: f64,
    executors: usize,
}

/// All executors that are held.
pub(crate) struct Fleet {
    states: SecondaryMap<ExecutorId, ExecutorState>,
    /// Stands in for an executor that is not held.
    absent: ExecutorState,
    /// Where sizes fall with load: the largest that the list has shown of each kind of machine counts.
    pub falling: bool,
    kind_sizes: BTreeMap<u32, KindSize>,
    /// The least slots that any report has shown; it stands in where none are shown yet.
    pub least_slots: f64,
    pub healthy: Vec<ExecutorId>,
    /// The cold ones of them of whose budget this node holds more than an even part.
    pub dealt: Vec<ExecutorId>,
    /// Smoothed running time of all work: what an older reading shows has mostly ended by then.
    pub mean_run: Millis,
    /// Own outcomes of late, fading, and when that was counted.
    pub met: (f64, Millis),
    /// Those that are gone and still held, and when these are looked over next.
    gone: BTreeSet<ExecutorId>,
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
    /// Wrong: also while a probe is out or its cold budget counts.
    InUse,
}

impl Fleet {
    /// `mean_run` is the running time of work to begin with.
    pub fn new(mean_run: Millis) -> Self {
        let nowhere = Endpoint {
            executor: ExecutorId::default(),
            token: 0,
            zone: ZoneId(u32::MAX),
            machine_type: MachineTypeId(u32::MAX),
            deduplication_group: DeduplicationGroupId(u32::MAX),
            state: EndpointState::Gone,
            weight: 0.0,
            started_at: None,
        };
        Fleet {
            states: SecondaryMap::new(),
            absent: ExecutorState::new(nowhere),
            falling: false,
            kind_sizes: BTreeMap::new(),
            least_slots: 1.0,
            healthy: Vec::new(),
            dealt: Vec::new(),
            mean_run,
            met: (0.0, 0.0),
            gone: BTreeSet::new(),
            reclaim_at: f64::INFINITY,
            stale_events: 0,
            #[cfg(test)]
            reclaiming: Reclaiming::Unneeded,
        }
    }

    /// The number of executors that are held, those that are gone included.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    pub fn holds(&self, executor: ExecutorId) -> bool {
        self.states.contains_key(executor)
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

    /// Whether an executor is held that an event is for; one that is not counts as an outdated event.
    pub fn expects(&mut self, executor: ExecutorId) -> bool {
        let held = self.holds(executor);
        self.stale_events += u64::from(!held);
        held
    }

    pub fn is_ready(&self, executor: ExecutorId) -> bool {
        self.state(executor).listing.state == EndpointState::Ready
    }

    /// Makes room for the executors of a whole list at once, and for an eighth more: growing step by step would
    /// leave as much memory behind as is held in the end.
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

    /// Takes what the list says; with `whole`, who is missing is gone.
    pub fn take_list(&mut self, now: Millis, whole: bool, entries: &[Endpoint]) {
        if whole {
            self.states.values_mut().for_each(|state| state.listing.state = EndpointState::Gone);
            self.gone = self.states.keys().collect();
            self.reserve(entries.len());
        }
        entries.iter().for_each(|entry| self.list(entry));
        self.list_ready();
        if self.gone.is_empty() {
            self.reclaim_at = f64::INFINITY;
        } else if self.reclaim_at.is_infinite() {
            self.reclaim_at = now + RECLAIM_EVERY;
        }
    }

    fn list(&mut self, entry: &Endpoint) {
        let executor = entry.executor;
        let kind_before = self.states.get(executor).map(|state| state.listing.machine_type.0);
        match self.states.get_mut(executor) {
            Some(state) => state.relist(*entry),
            None => {
                self.states.insert(executor, ExecutorState::new(*entry));
            }
        }
        // Not held even so where the slot is another executor's by now.
        if !self.expects(executor) {
            return;
        }
        match entry.state {
            EndpointState::Gone => self.gone.insert(executor),
            _ => self.gone.remove(&executor),
        };
        self.count_kind(kind_before, self.state(executor).listing);
    }

    /// Keeps the largest size of each kind of machine, and how many there are of it.
    fn count_kind(&mut self, kind_before: Option<u32>, listing: Endpoint) {
        let kind = listing.machine_type.0;
        if kind_before != Some(kind) {
            self.kind_sizes.entry(kind).or_default().executors += 1;
            kind_before.into_iter().for_each(|before| self.drop_kind(before));
        }
        if let Some(size) = self.kind_sizes.get_mut(&kind)
            && self.falling
            && listing.state == EndpointState::Ready
        {
            size.largest = size.largest.max(listing.weight);
        }
    }

    fn drop_kind(&mut self, kind: u32) {
        let Some(size) = self.kind_sizes.get_mut(&kind) else { return };
        size.executors = size.executors.saturating_sub(1);
        if size.executors == 0 {
            self.kind_sizes.remove(&kind);
        }
    }

    pub fn list_ready(&mut self) {
        let ready = self.states.iter().filter(|(_, state)| state.listing.state == EndpointState::Ready);
        self.healthy = ready.map(|(executor, _)| executor).collect();
    }

    /// Slots of an executor: as its reports show, else the least that any has shown.
    pub fn slots_of(&self, executor: ExecutorId) -> f64 {
        let shown = self.state(executor).most_slots;
        if shown > 0.0 { shown } else { self.least_slots }
    }

    /// What an executor can do when warm, in slots: by its size where that falls with load and hides slots.
    pub fn capacity(&self, executor: ExecutorId) -> f64 {
        let kind = self.state(executor).listing.machine_type.0;
        let size = self.kind_sizes.get(&kind).map_or(0.0, |size| size.largest);
        if size > 0.0 { size } else { self.slots_of(executor) }
    }

    /// When those that are gone are looked over next; infinite while there are none.
    pub fn reclaim_at(&self) -> Millis {
        self.reclaim_at
    }

    /// Drops the state of those that are gone and that nothing can need any more; `named` are the executors that
    /// open requests name, and what was spent of a cold budget counts from `spent_since` on.
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
        self.reclaim_at = if self.gone.is_empty() { f64::INFINITY } else { now + RECLAIM_EVERY };
        released
    }

    fn may_release(&self, executor: ExecutorId, named: &HashSet<ExecutorId>, spent_since: Millis) -> bool {
        let (is_named, in_use) = (named.contains(&executor), self.state(executor).is_in_use(spent_since));
        #[cfg(test)]
        match self.reclaiming {
            Reclaiming::Unneeded => {}
            Reclaiming::Never => return false,
            Reclaiming::Named => return !in_use,
            Reclaiming::InUse => return !is_named,
        }
        !is_named && !in_use
    }

    fn release(&mut self, executor: ExecutorId) {
        self.gone.remove(&executor);
        if let Some(state) = self.states.remove(executor) {
            self.drop_kind(state.listing.machine_type.0);
        }
    }
}
