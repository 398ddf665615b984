//! The endpoint list of discovery, in which each change has a version. It does no I/O.
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// State of an executor in the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}

/// An executor as a member of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Number of the executor's address; a replacement under another id has the same one.
    pub executor: usize,
    pub id: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub state: State,
    /// Start time in milliseconds since the Unix epoch; 0 if it started long ago.
    pub started_ms: u64,
}

/// Entry in the format of the protocol.
#[derive(Serialize)]
struct WireEntry<'a> {
    id: &'a str,
    addr: SocketAddr,
    zone: String,
    kind: &'static str,
    cell: usize,
    state: State,
    weight: f64,
    started_ms: u64,
}

/// Machine type of all executors.
pub const MACHINE_TYPE: &str = "m1";
/// Number of executors per cell; their numbers are consecutive.
const CELL_SIZE: usize = 64;
/// Maximum number of gone executors that are retained, for nodes that receive deltas.
const MAX_GONE_ENTRIES: usize = 65_536;

impl Member {
    fn to_wire_entry(&self) -> WireEntry<'_> {
        WireEntry {
            id: &self.id,
            addr: self.address,
            zone: zone_name(self.zone),
            kind: MACHINE_TYPE,
            cell: self.executor / CELL_SIZE,
            state: self.state,
            weight: 1.0,
            started_ms: self.started_ms,
        }
    }
}

pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Last state of an entry.
struct CatalogEntry {
    member: Member,
    changed_at: Instant,
    /// The entry in the format of the protocol.
    json: String,
}

/// A change within a message, used to record when it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedChange {
    pub executor: usize,
    pub state: State,
    pub changed_at: Instant,
}

/// A message with a snapshot or a delta of the list, encoded as one line.
#[derive(Clone, Debug)]
pub struct ListMessage {
    pub text: String,
    pub version: u64,
    pub changes: Vec<ListedChange>,
    pub is_snapshot: bool,
}

/// The endpoint list with its versions.
#[derive(Default)]
pub struct Catalog {
    version: u64,
    /// Entries by the version of their last change.
    by_version: BTreeMap<u64, CatalogEntry>,
    version_by_id: std::collections::HashMap<String, u64>,
    gone_count: usize,
    /// Up to this version, changes may have been discarded, so that no delta can start before it.
    compacted_version: u64,
}

impl Catalog {
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of listed executors without those that are gone.
    pub fn listed_count(&self) -> usize {
        self.by_version.len() - self.gone_count
    }

    /// Inserts an entry, or replaces the entry with the same id.
    pub fn upsert(&mut self, member: Member, changed_at: Instant) {
        self.version += 1;
        if let Some(previous) = self.version_by_id.insert(member.id.clone(), self.version) {
            self.remove(previous);
        }
        self.gone_count += usize::from(member.state == State::Gone);
        let json = serde_json::to_string(&member.to_wire_entry()).unwrap_or_default();
        self.by_version.insert(self.version, CatalogEntry { member, changed_at, json });
        if self.gone_count > MAX_GONE_ENTRIES {
            self.compact_gone();
        }
    }

    fn remove(&mut self, version: u64) -> Option<CatalogEntry> {
        let entry = self.by_version.remove(&version)?;
        self.gone_count -= usize::from(entry.member.state == State::Gone);
        Some(entry)
    }

    /// Discards the older half of the gone entries.
    fn compact_gone(&mut self) {
        let gone = self.by_version.iter().filter(|(_, entry)| entry.member.state == State::Gone);
        let oldest: Vec<u64> = gone.map(|(version, _)| *version).take(MAX_GONE_ENTRIES / 2).collect();
        for version in &oldest {
            if let Some(entry) = self.remove(*version) {
                self.version_by_id.remove(&entry.member.id);
            }
        }
        self.compacted_version = oldest.last().copied().unwrap_or(self.compacted_version);
    }

    /// Returns the changes after a version, or a snapshot if there is none or changes since then have been discarded.
    pub fn message_after(&self, after: Option<u64>) -> ListMessage {
        let after = after.filter(|after| (self.compacted_version..=self.version).contains(after));
        let is_snapshot = after.is_none();
        let changed = self.by_version.range(after.map_or(0, |after| after + 1)..);
        let entries: Vec<&CatalogEntry> = changed
            .map(|(_, entry)| entry)
            .filter(|entry| !is_snapshot || entry.member.state != State::Gone)
            .collect();
        let items: Vec<&str> = entries.iter().map(|entry| entry.json.as_str()).collect();
        let text = format!(
            "{{\"version\":{},\"full\":{is_snapshot},\"servers\":[{}]}}\n",
            self.version,
            items.join(",")
        );
        let changes = entries
            .iter()
            .map(|CatalogEntry { member, changed_at, .. }| ListedChange {
                executor: member.executor,
                state: member.state,
                changed_at: *changed_at,
            })
            .collect();
        ListMessage { text, version: self.version, changes, is_snapshot }
    }

    /// Returns the retained gone executors; a snapshot conveys them by their absence.
    pub fn gone_executors(&self) -> impl Iterator<Item = usize> {
        let gone = self.by_version.values().filter(|entry| entry.member.state == State::Gone);
        gone.map(|entry| entry.member.executor)
    }
}
