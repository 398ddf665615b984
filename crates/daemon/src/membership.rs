//! The latest endpoint list and the executors that operators excluded.
//!
//! An executor that is excluded and listed as ready counts as draining. The module performs no I/O.
use crate::protocol::EndpointEntry;
use crate::protocol::endpoint_state::{DRAINING, GONE};
use slotmap::SecondaryMap;
use std::collections::{BTreeMap, HashSet};
use troutknot::ExecutorId;

/// Maximum number of excluded executors that are not listed; above it the oldest exclusion is dropped.
pub const MAX_EXCLUDED_ABSENT: usize = 1024;

/// Listed and excluded executors.
#[derive(Default)]
pub struct Membership {
    listed: SecondaryMap<ExecutorId, EndpointEntry>,
    /// The names of excluded executors; a higher number was excluded later.
    excluded: BTreeMap<String, u64>,
    next_exclusion: u64,
    /// The version of the list, if its source reports versions.
    pub version: Option<u64>,
}

impl Membership {
    /// Stores an entry of the list and returns it with the exclusions applied.
    pub fn update(&mut self, executor: ExecutorId, entry: EndpointEntry) -> EndpointEntry {
        let mut effective = entry.clone();
        if effective.is_ready() && self.is_excluded(&entry.id) {
            effective.state = DRAINING.into();
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
        self.listed.remove(executor);
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
        let is_changed = self.is_excluded(name) != is_excluded;
        match is_excluded {
            true => self.insert_excluded(name),
            false => _ = self.excluded.remove(name),
        }
        let entry = executor.and_then(|executor| self.listed.get(executor)).cloned();
        entry.filter(|_| is_changed)
    }

    /// Adds the exclusions of an earlier process, the oldest first. Which of them are listed is not known before the
    /// list is applied, so that none is dropped here.
    pub fn import_excluded(&mut self, names: &[String]) {
        names.iter().for_each(|name| self.insert_excluded(name));
    }

    fn insert_excluded(&mut self, name: &str) {
        if !self.is_excluded(name) {
            self.excluded.insert(name.into(), self.next_exclusion);
            self.next_exclusion += 1;
        }
    }

    /// Drops the oldest exclusions of executors that are not listed, above [`MAX_EXCLUDED_ABSENT`]. Their number is
    /// bounded, because the names of executors that come and go accumulate. Called whenever the list or the exclusions
    /// have changed, but not before a list is applied. `is_unretained` tells whether an executor without an entry here is
    /// listed all the same.
    pub fn drop_excess_exclusions(&mut self, is_unretained: impl Fn(&str) -> bool) {
        if self.excluded.len() <= MAX_EXCLUDED_ABSENT {
            return;
        }
        let entries = self.listed.values().filter(|entry| !entry.is_gone());
        let listed: HashSet<&str> = entries.map(|entry| entry.id.as_str()).collect();
        let is_absent = |name: &str| !listed.contains(name) && !is_unretained(name);
        let absent = self.excluded.iter().filter(|(name, _)| is_absent(name));
        let mut absent: Vec<u64> = absent.map(|(_, &number)| number).collect();
        absent.sort_unstable();
        let excess = absent.len().saturating_sub(MAX_EXCLUDED_ABSENT);
        let first_kept = absent.get(excess).copied().unwrap_or(0);
        let is_dropped = |name: &String, number: &mut u64| *number < first_kept && is_absent(name);
        for (executor, _) in self.excluded.extract_if(.., is_dropped) {
            tracing::warn!(%executor, "exclusion of an executor that is not listed dropped");
        }
    }

    /// Whether operators excluded the executor with this name.
    pub fn is_excluded(&self, name: &str) -> bool {
        self.excluded.contains_key(name)
    }

    /// The names of all excluded executors, the oldest exclusion first.
    pub fn excluded(&self) -> Vec<String> {
        let mut by_age: Vec<(&String, &u64)> = self.excluded.iter().collect();
        by_age.sort_unstable_by_key(|(_, number)| **number);
        by_age.into_iter().map(|(name, _)| name.clone()).collect()
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
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
