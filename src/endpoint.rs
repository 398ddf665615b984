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
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Type of the machine on which it runs.
    pub machine_type: MachineTypeId,
    /// Group of executors that share their records of deduplicated requests.
    pub deduplication_group: DeduplicationGroupId,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Weight in the list; [`crate::settings::WeightSource`] defines its meaning.
    pub weight: f64,
    /// When it started; `None` if that is unknown or so long ago that it is warm.
    pub started_at: Option<Millis>,
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
