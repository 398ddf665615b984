//! The latest endpoint list and the executors that operators excluded.
//!
//! An executor that is excluded and listed as ready counts as draining. The module performs no I/O.
use crate::protocol::EndpointEntry;
use crate::protocol::endpoint_state::{DRAINING, GONE};
use slotmap::SecondaryMap;
use std::collections::{BTreeSet, VecDeque};
use troutknot::ExecutorId;

/// Maximum number of excluded executors that are not listed; above it the oldest exclusion is dropped.
pub const MAX_EXCLUDED_ABSENT: usize = 1024;

/// Listed and excluded executors.
#[derive(Default)]
pub struct Membership {
    listed: SecondaryMap<ExecutorId, EndpointEntry>,
    excluded: BTreeSet<String>,
    /// Excluded executors that are not listed, the oldest first.
    excluded_absent: VecDeque<String>,
    /// The version of the list, if its source reports versions.
    pub version: Option<u64>,
}

impl Membership {
    /// Stores an entry of the list and returns it with the exclusions applied.
    pub fn update(&mut self, executor: ExecutorId, entry: EndpointEntry) -> EndpointEntry {
        let mut effective = entry.clone();
        if self.excluded.contains(entry.id.as_str()) {
            self.excluded_absent.retain(|name| *name != entry.id);
            if effective.is_ready() {
                effective.state = DRAINING.into();
            }
        }
        self.listed.insert(executor, entry);
        effective
    }

    /// Reserves memory for `executors` in total.
    pub fn reserve(&mut self, executors: usize) {
        self.listed.set_capacity(executors);
    }

    /// Marks an executor as gone because a snapshot does not list it.
    pub fn mark_gone(&mut self, executor: ExecutorId) {
        if let Some(entry) = self.listed.get_mut(executor) {
            entry.state = GONE.into();
        }
    }

    /// Removes the entry of an executor whose handle is released. An exclusion is retained by name.
    pub fn release(&mut self, executor: ExecutorId) {
        if let Some(entry) = self.listed.remove(executor)
            && self.excluded.contains(entry.id.as_str())
        {
            self.add_excluded_absent(entry.id.to_string());
        }
    }

    /// Excludes an executor or includes it again. One call reverts any number of earlier calls.
    ///
    /// Returns the listed entry, which the caller must apply again, or `None` if nothing changes or the executor is
    /// not listed.
    pub fn set_excluded(
        &mut self,
        executor: Option<ExecutorId>,
        name: &str,
        is_excluded: bool,
    ) -> Option<EndpointEntry> {
        let is_changed =
            if is_excluded { self.excluded.insert(name.into()) } else { self.excluded.remove(name) };
        let entry = executor.and_then(|executor| self.listed.get(executor)).cloned();
        match (is_excluded, &entry) {
            (true, None) if is_changed => self.add_excluded_absent(name.into()),
            (false, _) => self.excluded_absent.retain(|absent| absent != name),
            _ => {}
        }
        entry.filter(|_| is_changed)
    }

    /// Adds the exclusions of an earlier process. Must be called before the first list is applied.
    pub fn import_excluded(&mut self, names: BTreeSet<String>) {
        for name in names {
            if self.excluded.insert(name.clone()) {
                self.add_excluded_absent(name);
            }
        }
    }

    /// The names of all excluded executors.
    pub fn excluded(&self) -> &BTreeSet<String> {
        &self.excluded
    }

    /// The listed entry of an executor, or `None` if it is gone.
    pub fn entry(&self, executor: ExecutorId) -> Option<&EndpointEntry> {
        self.listed.get(executor).filter(|entry| !entry.is_gone())
    }

    /// All listed entries, without those of executors that are gone.
    pub fn listed(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.listed.values().filter(|entry| !entry.is_gone())
    }

    /// The number of entries, including those of executors that are gone and not yet released.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Adds an exclusion by name. The number is bounded, because callers can name executors that do not exist.
    fn add_excluded_absent(&mut self, name: String) {
        self.excluded_absent.push_back(name);
        if self.excluded_absent.len() > MAX_EXCLUDED_ABSENT
            && let Some(oldest) = self.excluded_absent.pop_front()
        {
            tracing::warn!(executor = %oldest, "exclusion of an executor that is not listed dropped");
            self.excluded.remove(&oldest);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
