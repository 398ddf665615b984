//! Selects which of the listed executors this node retains.
//!
//! Up to a bound, all executors are retained. Above it, [`Retention`] selects executors again with each update of the
//! list. Entries that are not selected are cached up to a second bound, so that they can be retained as soon as there
//! is capacity. Above that bound the lowest-ranked entries are only counted, and a snapshot is requested once no
//! cached entry is left. The module performs no I/O.
use crate::protocol::EndpointEntry;
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use std::fmt;
use troutknot_membership::{Rank, Readiness, Retention};

/// Numbers of executors. The `Display` text is a response of the admin API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetentionStatistics {
    /// Number of listed executors.
    pub listed: usize,
    /// Number of retained executors.
    pub retained: usize,
    /// Number of executors that are not retained. If not all of them are cached, the count is that of the last
    /// snapshot.
    pub unretained: usize,
    /// Maximum number of retained executors.
    pub bound: usize,
}

impl fmt::Display for RetentionStatistics {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let RetentionStatistics { listed, retained, unretained, bound } = self;
        write!(formatter, "{listed} listed, {retained} kept, {unretained} left out, bound {bound}")
    }
}

/// The result of an update of the list.
#[derive(Debug, Default, PartialEq)]
pub struct RetentionChange {
    /// Entries to apply, in order. An executor that is no longer retained has an entry with the state gone.
    pub entries: Vec<EndpointEntry>,
    /// Number of entries that a later entry of the same update replaced.
    pub duplicates: usize,
    /// Whether to request a snapshot, because there is capacity and no entry is cached.
    pub needs_snapshot: bool,
}

/// Read access to the retained executors and their latest entries.
pub trait RetainedEntries {
    /// The entry of an executor, or `None` if it is gone or not retained.
    fn entry(&self, name: &str) -> Option<&EndpointEntry>;
    /// The entries of all retained executors.
    fn entries(&self) -> impl Iterator<Item = &EndpointEntry>;
}

/// Selects the executors to retain.
pub struct EndpointRetention {
    retention: Retention,
    bound: usize,
    max_unretained: usize,
    retained: usize,
    /// Cached entries of executors that are not retained.
    unretained: HashMap<CompactString, EndpointEntry>,
    /// Number of executors that are neither retained nor cached.
    uncached: usize,
    /// Whether a snapshot was requested and has not arrived.
    is_snapshot_requested: bool,
}

/// Ranks an executor in a node's order of preference.
pub fn rank(retention: &Retention, entry: &EndpointEntry) -> Rank {
    let readiness = if entry.is_ready() { Readiness::Ready } else { Readiness::Draining };
    retention.rank(&entry.id, readiness)
}

/// Removes all but the last entry of each executor, and returns the number of removed entries.
fn remove_duplicates(entries: &mut Vec<EndpointEntry>) -> usize {
    let mut indices: Vec<usize> = (0..entries.len()).collect();
    indices.sort_unstable_by(|&a, &b| entries[a].id.cmp(&entries[b].id).then(a.cmp(&b)));
    let is_duplicate = |pair: &&[usize]| entries[pair[0]].id == entries[pair[1]].id;
    let duplicates: HashSet<usize> = indices.windows(2).filter(is_duplicate).map(|pair| pair[0]).collect();
    let mut index = 0..;
    entries.retain(|_| index.next().is_some_and(|index| !duplicates.contains(&index)));
    duplicates.len()
}

impl EndpointRetention {
    /// Creates the retention of the node with this name, which retains at most `bound` executors and caches at most
    /// `max_unretained` other entries.
    pub fn new(node: &str, bound: usize, max_unretained: usize) -> Self {
        EndpointRetention {
            retention: Retention::for_node(node),
            bound,
            max_unretained,
            retained: 0,
            unretained: HashMap::new(),
            uncached: 0,
            is_snapshot_requested: false,
        }
    }

    /// The current numbers of executors.
    pub fn statistics(&self) -> RetentionStatistics {
        let unretained = self.unretained.len() + self.uncached;
        RetentionStatistics {
            listed: self.retained + unretained,
            retained: self.retained,
            unretained,
            bound: self.bound,
        }
    }

    /// The cached entry of an executor that is not retained.
    pub fn unretained_entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.unretained.get(name)
    }

    /// All cached entries of executors that are not retained.
    pub fn unretained(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.unretained.values()
    }

    fn rank(&self, entry: &EndpointEntry) -> Rank {
        rank(&self.retention, entry)
    }

    /// Applies a snapshot from which the parser dropped `dropped_entries` entries. An executor without an entry in the
    /// result is gone or no longer retained.
    pub fn apply_snapshot(
        &mut self,
        mut entries: Vec<EndpointEntry>,
        dropped_entries: usize,
    ) -> RetentionChange {
        let duplicates = remove_duplicates(&mut entries);
        entries.retain(|entry| !entry.is_gone());
        self.unretained.clear();
        self.uncached = dropped_entries;
        self.is_snapshot_requested = false;
        let mut unselected = Vec::new();
        if entries.len() > self.bound {
            let ranks: Vec<Rank> = entries.iter().map(|entry| self.rank(entry)).collect();
            let mut is_selected = Retention::choose(&ranks, self.bound).into_iter();
            unselected.extend(entries.extract_if(.., |_| is_selected.next() == Some(false)));
        }
        self.retained = entries.len();
        self.cache(unselected);
        RetentionChange { entries, duplicates, needs_snapshot: false }
    }

    /// Applies a delta of the list.
    pub fn apply_delta(
        &mut self,
        mut entries: Vec<EndpointEntry>,
        current: &impl RetainedEntries,
    ) -> RetentionChange {
        let duplicates = remove_duplicates(&mut entries);
        let mut accepted = Vec::with_capacity(entries.len());
        let mut has_selection_change = false;
        for entry in entries {
            match current.entry(&entry.id) {
                Some(previous) => {
                    self.retained -= usize::from(entry.is_gone());
                    has_selection_change |= previous.state != entry.state;
                    accepted.push(entry);
                }
                None if entry.is_gone() => {
                    self.unretained.remove(&entry.id);
                }
                None if self.retained < self.bound && self.unretained.is_empty() => {
                    self.retained += 1;
                    accepted.push(entry);
                }
                None => {
                    self.unretained.insert(entry.id.clone(), entry);
                    has_selection_change = true;
                }
            }
        }
        if self.has_retainable_entry() || (has_selection_change && !self.unretained.is_empty()) {
            accepted = self.reselect(accepted, current);
        }
        RetentionChange { entries: accepted, duplicates, needs_snapshot: self.request_snapshot() }
    }

    /// Returns true if a snapshot is needed to retain executors that are not cached, but only once until one arrives.
    fn request_snapshot(&mut self) -> bool {
        let is_needed = self.uncached > 0 && self.retained < self.bound && self.unretained.is_empty();
        if !is_needed {
            return false;
        }
        !std::mem::replace(&mut self.is_snapshot_requested, true)
    }

    /// Whether there is capacity to retain a cached entry.
    pub fn has_retainable_entry(&self) -> bool {
        self.retained < self.bound && !self.unretained.is_empty()
    }

    /// Caches a selected entry for which no handle is free, even above the bound of the cache.
    pub fn defer(&mut self, entry: EndpointEntry) {
        self.retained -= 1;
        self.unretained.insert(entry.id.clone(), entry);
    }

    /// Selects again among all retained executors, with the update applied, and all cached ones.
    fn reselect(
        &mut self,
        mut accepted: Vec<EndpointEntry>,
        current: &impl RetainedEntries,
    ) -> Vec<EndpointEntry> {
        let updated: HashSet<&str> = accepted.iter().map(|entry| entry.id.as_str()).collect();
        let unchanged = current.entries().filter(|entry| !updated.contains(entry.id.as_str()));
        let retained: Vec<&EndpointEntry> =
            unchanged.chain(accepted.iter().filter(|entry| !entry.is_gone())).collect();
        let candidates = retained.iter().copied().chain(self.unretained.values());
        let ranks: Vec<Rank> = candidates.map(|entry| self.rank(entry)).collect();
        let is_selected = Retention::choose(&ranks, self.bound);
        let (retained_selected, cached_selected) = is_selected.split_at(retained.len());
        let evicted = retained.iter().zip(retained_selected).filter(|(_, is_selected)| !**is_selected);
        let evicted: Vec<EndpointEntry> = evicted.map(|(entry, _)| (*entry).clone()).collect();
        let promoted = self.unretained.values().zip(cached_selected).filter(|(_, is_selected)| **is_selected);
        let promoted: Vec<CompactString> = promoted.map(|(entry, _)| entry.id.clone()).collect();
        self.retained = is_selected.iter().filter(|&&is_selected| is_selected).count();
        let evicted_names: HashSet<&str> = evicted.iter().map(|entry| entry.id.as_str()).collect();
        accepted.retain(|entry| !evicted_names.contains(entry.id.as_str()));
        // Only executors that were retained before the update are reported as gone.
        let retained_before = evicted.iter().filter(|entry| current.entry(&entry.id).is_some());
        accepted.extend(retained_before.map(|entry| entry.clone().into_gone()));
        accepted.extend(promoted.iter().filter_map(|name| self.unretained.remove(name)));
        self.cache(evicted);
        accepted
    }

    /// Caches entries, and drops the lowest-ranked ones above the bound.
    fn cache(&mut self, entries: Vec<EndpointEntry>) {
        self.unretained.extend(entries.into_iter().map(|entry| (entry.id.clone(), entry)));
        if self.unretained.len() <= self.max_unretained {
            return;
        }
        let ranks: Vec<Rank> = self.unretained.values().map(|entry| self.rank(entry)).collect();
        let mut is_selected = Retention::choose(&ranks, self.max_unretained).into_iter();
        let before = self.unretained.len();
        self.unretained.retain(|_, _| is_selected.next() == Some(true));
        self.uncached += before - self.unretained.len();
    }
}

#[cfg(test)]
#[path = "../tests/unit/retention.rs"]
mod tests;
