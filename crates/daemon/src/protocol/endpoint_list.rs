//! The endpoint list of discovery.
use super::codec::Codec;
use super::names::{self, endpoint_state};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use troutknot::{DeduplicationGroupId, Endpoint, EndpointState, ExecutorId, MachineTypeId, Millis, ZoneId};
use troutknot_membership::token;

/// Id of the machine types that the settings do not list; no class requires it.
const UNLISTED_MACHINE_TYPE: u32 = u32::MAX;

/// A version of the endpoint list.
#[derive(Deserialize, Clone, Debug)]
pub struct EndpointList {
    /// Grows with each change.
    pub version: u64,
    /// Whether this is a complete list rather than the changes since the previous version.
    #[serde(default, rename = "full")]
    pub is_snapshot: bool,
    /// The executors, or those of them that changed.
    #[serde(rename = "servers")]
    pub entries: Vec<EndpointEntry>,
    /// Entries that were dropped as the list exceeds a bound.
    #[serde(skip)]
    pub dropped_entries: usize,
}

/// One executor as the endpoint list describes it.
///
/// Tens of thousands are retained at once, so texts of up to 24 bytes are stored inline.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Name of the executor.
    pub id: CompactString,
    /// Address and port; may be empty if the executor is gone.
    #[serde(default, rename = "addr")]
    pub address: CompactString,
    /// Name of its zone; unknown if it is missing.
    pub zone: Option<CompactString>,
    /// Name of its type of machine.
    #[serde(rename = "kind")]
    pub machine_type: Option<CompactString>,
    /// Executors of one group recognize repeated idempotency keys of each other; unknown if it is missing.
    #[serde(rename = "cell")]
    pub deduplication_group: Option<u32>,
    /// One of [`endpoint_state`]; other states count as draining.
    pub state: CompactString,
    /// Share of the requests relative to other executors; 1 if missing.
    pub weight: Option<f64>,
    /// When the executor started, in milliseconds since the Unix epoch.
    #[serde(rename = "started_ms")]
    pub started_at: Option<Millis>,
}

impl EndpointEntry {
    /// The entry of an executor that is not listed and has nothing but a name.
    pub fn gone(id: &str) -> Self {
        EndpointEntry {
            id: id.into(),
            address: CompactString::default(),
            zone: None,
            machine_type: None,
            deduplication_group: None,
            state: endpoint_state::GONE.into(),
            weight: None,
            started_at: None,
        }
    }

    /// The same executor once it is no longer listed.
    pub fn into_gone(self) -> Self {
        EndpointEntry { state: endpoint_state::GONE.into(), ..self }
    }

    /// Whether the executor is no longer listed.
    pub fn is_gone(&self) -> bool {
        self.state == endpoint_state::GONE
    }

    /// Whether the executor takes requests.
    pub fn is_ready(&self) -> bool {
        self.state == endpoint_state::READY
    }

    fn endpoint_state(&self) -> EndpointState {
        match self.state.as_str() {
            endpoint_state::READY => EndpointState::Ready,
            endpoint_state::GONE => EndpointState::Gone,
            // The safe interpretation of a state that this version does not know: no new requests.
            _ => EndpointState::Draining,
        }
    }
}

impl Codec {
    /// The request that watches the endpoint list, from the version after `version` or from a snapshot.
    pub fn watch_request(&self, discovery: SocketAddr, version: Option<u64>) -> String {
        let index = version.map_or(String::new(), |version| format!("&index={version}"));
        format!("GET {}?stream=1{index} HTTP/1.1\r\nHost: {discovery}\r\n\r\n", names::ENDPOINT_LIST_PATH)
    }

    /// An entry in the dispatcher's terms.
    pub fn endpoint(&self, entry: &EndpointEntry, executor: ExecutorId) -> Endpoint {
        Endpoint {
            executor,
            token: token(&entry.id),
            zone: entry.zone.as_deref().and_then(|zone| id_of(zone, &self.zone_names)).map(ZoneId),
            machine_type: MachineTypeId(self.machine_type_of(entry)),
            deduplication_group: entry.deduplication_group.map(DeduplicationGroupId),
            state: entry.endpoint_state(),
            weight: entry.weight.unwrap_or(1.0),
            started_at: entry.started_at.filter(|&started_at| started_at > 0.0),
        }
    }

    /// The id of an executor's machine type: the first one if the list names none, and [`UNLISTED_MACHINE_TYPE`] if the
    /// settings do not list its name.
    fn machine_type_of(&self, entry: &EndpointEntry) -> u32 {
        let Some(name) = entry.machine_type.as_deref() else { return 0 };
        id_of(name, &self.machine_type_names).unwrap_or(UNLISTED_MACHINE_TYPE)
    }
}

/// The id of a name; `None` if the settings do not list it.
fn id_of(name: &str, names: &[String]) -> Option<u32> {
    names.iter().position(|candidate| candidate == name).map(|id| id as u32)
}
