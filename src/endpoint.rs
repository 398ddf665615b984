//! Endpoints of executors as discovery lists them, and the load that executors report.
use crate::ids::{DeduplicationGroupId, ExecutorId, MachineTypeId, ZoneId};
use crate::time::Millis;

/// Whether an executor accepts new requests, by the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It completes its requests and accepts no new ones.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Endpoint {
    /// The host's handle.
    pub executor: ExecutorId,
    /// A number that identifies this executor at every node.
    pub token: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// The type of its machine.
    pub machine_type: MachineTypeId,
    /// The group of executors that share their records of deduplicated work.
    pub deduplication_group: DeduplicationGroupId,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Its weight in the list; [`crate::settings::WeightSource`] says what it means.
    pub weight: f64,
    /// When it started; `None` if that is unknown or long ago.
    pub started_at: Option<Millis>,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListUpdate {
    /// The entries that changed.
    Delta,
    /// The entries that operators changed; it does not come from discovery.
    Operator,
    /// The complete list; executors that it does not contain are gone.
    Snapshot,
    /// The complete list as it was cached before a restart; it may be outdated.
    Cached,
}

/// The load that an executor reported; figures that it does not report are `None`.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct LoadReport {
    /// Requests in its queue.
    pub queue_length: Option<f64>,
    /// Requests in its queue or running.
    pub in_flight: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in the unit of the requests' memory; no decision depends on it.
    pub free_memory: Option<f64>,
}

impl LoadReport {
    /// A report of free slots alone.
    pub fn from_free_slots(free_slots: f64) -> Self {
        LoadReport { free_slots: Some(free_slots), ..LoadReport::default() }
    }
}
