//! Endpoints of executors from discovery, and the load reports of executors.
use crate::ids::{DeduplicationGroupId, ExecutorId, MachineTypeId, ZoneId};
use crate::time::Millis;

/// The state of an executor in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It completes its running requests and accepts no new ones.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Endpoint {
    /// Handle that the host assigned.
    pub executor: ExecutorId,
    /// Number that identifies the executor and is the same at every node.
    pub token: u64,
    /// Zone in which it runs; `None` if it is not known.
    pub zone: Option<ZoneId>,
    /// Type of the machine on which it runs.
    pub machine_type: MachineTypeId,
    /// Group of executors that share their records of deduplicated requests; `None` if it is not known.
    pub deduplication_group: Option<DeduplicationGroupId>,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Weight in the list; [`crate::settings::WeightSource`] defines its meaning.
    pub weight: f64,
    /// When it started; `None` if that is unknown or so long ago that it is warm.
    pub started_at: Option<Millis>,
}

impl Endpoint {
    /// Where its records of deduplicated requests are shared.
    pub fn deduplication_domain(&self) -> DeduplicationDomain {
        DeduplicationDomain { zone: self.zone, group: self.deduplication_group }
    }

    /// Whether its current incarnation is known to have started after `at`, a Unix time in milliseconds.
    pub fn has_started_after(&self, at: Millis) -> bool {
        self.started_at.is_some_and(|started_at| started_at > at)
    }
}

/// The executors with which one shares its records of deduplicated requests. A value that is not known equals no other,
/// not even another unknown one.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeduplicationDomain {
    /// The zone, for classes whose repeats are recognized within a zone.
    pub zone: Option<ZoneId>,
    /// The group, for classes whose repeats are recognized within a group.
    pub group: Option<DeduplicationGroupId>,
}

/// The content of an update of the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListUpdate {
    /// Entries that changed.
    Delta,
    /// Entries that an operator changed; the update does not come from discovery.
    Operator,
    /// The complete list; executors missing from it are gone.
    Snapshot,
    /// The complete list as it was cached before a restart; it may be outdated.
    Cached,
}

/// The load that an executor reported. Values that it does not report are `None`.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct LoadReport {
    /// Number of requests in its queue.
    pub queue_length: Option<f64>,
    /// Number of requests in its queue or running.
    pub in_flight: Option<f64>,
    /// Number of free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in the unit of the requests' memory. No decision depends on it.
    pub free_memory: Option<f64>,
}

impl LoadReport {
    /// Creates a report that contains only free slots.
    pub fn from_free_slots(free_slots: f64) -> Self {
        LoadReport { free_slots: Some(free_slots), ..LoadReport::default() }
    }
}
