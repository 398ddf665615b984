//! Merges the endpoint lists of several sources.
//!
//! An executor's entry comes from the source with the highest precedence that lists it. An executor is ready only
//! while every source that has an entry for it reports it as ready, because a source that reports a drain may be
//! ahead of the others.
use crate::protocol::EndpointEntry;
use crate::protocol::endpoint_state::{DRAINING, GONE};
use compact_str::CompactString;
use std::collections::{BTreeMap, HashSet};
use troutknot::ListUpdate;

/// The entries of one executor in all sources.
#[derive(Default)]
struct MergedExecutor {
    /// The latest entry of each source, keyed by the source's precedence.
    by_source: BTreeMap<usize, EndpointEntry>,
    /// The merged entry that was last returned to the caller.
    sent: Option<EndpointEntry>,
}

/// The endpoint list merged from several sources.
pub struct EndpointMerge {
    executors: BTreeMap<CompactString, MergedExecutor>,
    max_executors: usize,
}

impl MergedExecutor {
    fn merged(&self) -> Option<EndpointEntry> {
        let listed = self.by_source.values().find(|entry| !entry.is_gone());
        let mut merged = listed.or(self.by_source.values().next())?.clone();
        let not_ready = self.by_source.values().find(|entry| !entry.is_ready());
        if merged.is_ready()
            && let Some(not_ready) = not_ready
        {
            // It is draining rather than gone, because another source still lists it.
            merged.state = if not_ready.is_gone() { DRAINING.into() } else { not_ready.state.clone() };
        }
        Some(merged)
    }

    fn is_gone(&self) -> bool {
        self.by_source.values().all(EndpointEntry::is_gone)
    }
}

impl EndpointMerge {
    /// Creates an empty merge that ignores new executors above `max_executors`.
    pub fn new(max_executors: usize) -> Self {
        EndpointMerge { executors: BTreeMap::new(), max_executors }
    }

    /// Applies an update of one source, and returns the merged entries that changed.
    pub fn apply(
        &mut self,
        precedence: usize,
        update_type: ListUpdate,
        entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointEntry> {
        let mut affected: Vec<CompactString> = entries.iter().map(|entry| entry.id.clone()).collect();
        if update_type != ListUpdate::Delta {
            affected.extend(self.mark_missing_as_gone(precedence, &entries));
        }
        for entry in entries {
            let is_tracked = self.executors.contains_key(&entry.id);
            if is_tracked || self.executors.len() < self.max_executors {
                let executor = self.executors.entry(entry.id.clone()).or_default();
                executor.by_source.insert(precedence, entry);
            }
        }
        affected.iter().filter_map(|id| self.take_change(id)).collect()
    }

    /// Marks the executors of a source that its snapshot does not list as gone, and returns their ids.
    fn mark_missing_as_gone(&mut self, precedence: usize, snapshot: &[EndpointEntry]) -> Vec<CompactString> {
        let listed: HashSet<&str> = snapshot.iter().map(|entry| entry.id.as_str()).collect();
        let mut missing = Vec::new();
        for (id, executor) in &mut self.executors {
            if let Some(entry) = executor.by_source.get_mut(&precedence)
                && !listed.contains(id.as_str())
            {
                entry.state = GONE.into();
                missing.push(id.clone());
            }
        }
        missing
    }

    /// Returns the merged entry of an executor if it changed, and removes the executor if it is gone from all sources.
    fn take_change(&mut self, id: &CompactString) -> Option<EndpointEntry> {
        let executor = self.executors.get_mut(id)?;
        let merged = executor.merged()?;
        let is_changed = executor.sent.as_ref() != Some(&merged);
        if is_changed {
            executor.sent = Some(merged.clone());
        }
        if executor.is_gone() {
            self.executors.remove(id);
        }
        is_changed.then_some(merged)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/merge.rs"]
mod tests;
