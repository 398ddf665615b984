//! Filters endpoint lists by version.
use crate::protocol::EndpointList;
use troutknot::ListUpdate;

/// Number of consecutive watches that must begin with an older snapshot before the source counts as restarted.
const RESTARTED_AFTER: u32 = 3;

/// The position of a list in its watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListPosition {
    /// The first list of the watch.
    First,
    /// Any later list of the watch.
    Later,
}

/// Rejects lists that are repeated or outdated, so that they do not re-add executors that drain.
#[derive(Default)]
pub struct VersionFilter {
    /// The version of the last accepted list.
    pub current: Option<u64>,
    outdated_watches: u32,
    /// Whether a snapshot is needed even if its version is the current one.
    pub is_snapshot_needed: bool,
}

impl VersionFilter {
    /// Creates a filter that starts from the version of a cached list.
    pub fn new(cached_version: Option<u64>) -> Self {
        VersionFilter { current: cached_version, ..VersionFilter::default() }
    }

    /// The version from which the next watch continues, or `None` to request a snapshot.
    pub fn resume_version(&self) -> Option<u64> {
        self.current.filter(|_| !self.is_snapshot_needed)
    }

    /// Accepts a list and returns how to apply it, or `None` if it is not new.
    ///
    /// An older snapshot at the beginning of several consecutive watches means that the source has restarted and its
    /// versions start again; such a snapshot is accepted.
    pub fn accept(&mut self, list: &EndpointList, position: ListPosition) -> Option<ListUpdate> {
        let is_first_snapshot = position == ListPosition::First && list.is_snapshot;
        let is_newer = self.current.is_none_or(|current| list.version > current);
        let is_repeated_snapshot = is_first_snapshot && self.current == Some(list.version);
        if !is_newer && !is_repeated_snapshot {
            self.outdated_watches += u32::from(is_first_snapshot);
            if !is_first_snapshot || self.outdated_watches < RESTARTED_AFTER {
                return None;
            }
        }
        self.current = Some(list.version);
        self.outdated_watches = 0;
        self.is_snapshot_needed &= !list.is_snapshot;
        Some(if list.is_snapshot { ListUpdate::Snapshot } else { ListUpdate::Delta })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/versions.rs"]
mod tests;
