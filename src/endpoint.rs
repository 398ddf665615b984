//! Endpoints of executors as discovery lists them, and the load that executors report.
use crate::ids::{DeduplicationGroupId, ExecutorId, MachineTypeId, ZoneId};
use crate::time::Millis;

/// Whether an executor takes new work, as the list says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// One executor as the list shows it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Endpoint {
    /// The host's handle.
    pub executor: ExecutorId,
    /// A number that stands for this executor at every node alike.
    pub token: u64,
    /// Where it stands.
    pub zone: ZoneId,
    /// What it runs on.
    pub machine_type: MachineTypeId,
    /// Those with which it shares its records of deduplicated work.
    pub deduplication_group: DeduplicationGroupId,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Its weight in the list; what it says follows from [`crate::settings::WeightSource`].
    pub weight: f64,
    /// When it started; none where the list does not say, or long ago.
    pub started_at: Option<Millis>,
}

/// What an update of the endpoint list holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListUpdate {
    /// Only what changed.
    Delta,
    /// What operators changed by hand, which is no news from discovery.
    Operator,
    /// The complete list; who is not in it is gone.
    Snapshot,
    /// The complete list as last held before a restart, perhaps out of date.
    Cached,
}

/// Load that an executor reported; what a site does not report stays `None`.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct LoadReport {
    /// Requests that wait there.
    pub queue_length: Option<f64>,
    /// Requests that it has, waiting or running.
    pub in_flight: Option<f64>,
    /// Slots that are free.
    pub free_slots: Option<f64>,
    /// Memory that is free, in the units of the requests' memory.
    pub free_memory: Option<f64>,
}

impl LoadReport {
    /// One that shows free slots and no more.
    pub fn of_free_slots(free_slots: f64) -> Self {
        LoadReport { free_slots: Some(free_slots), ..LoadReport::default() }
    }
}
