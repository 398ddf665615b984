//! Chooses which of the listed executors this node retains.
//!
//! Up to the bound all executors are retained. Beyond it, [`Retention`] chooses anew with each update of the list. The
//! entries that are not chosen are cached up to a bound of their own, so that one of them can be retained as soon as
//! there is capacity. Beyond that bound the lowest-ranked entries are only counted, and a snapshot is requested once
//! all cached entries are used up. The module performs no I/O.
use crate::protocol::EndpointEntry;
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use std::fmt;
use troutknot_membership::{Rank, Readiness, Retention};

/// Numbers of executors. The text is an answer of the admin API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetentionStatistics {
    /// All executors that are listed.
    pub listed: usize,
    /// Executors that are retained.
    pub retained: usize,
    /// Executors that are not retained. If not all of them are cached, their number is that of the last snapshot.
    pub unretained: usize,
    /// Upper bound on the executors that are retained.
    pub bound: usize,
}

impl fmt::Display for RetentionStatistics {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let RetentionStatistics { listed, retained, unretained, bound } = self;
        write!(formatter, "{listed} listed, {retained} kept, {unretained} left out, bound {bound}")
    }
}

/// What an update of the list changes for the node.
#[derive(Debug, Default, PartialEq)]
pub struct RetentionChange {
    /// Entries to apply, in order. An executor that is no longer retained has an entry that says it is gone.
    pub entries: Vec<EndpointEntry>,
    /// The number of entries that a later one of the same update replaced.
    pub repeated: usize,
    /// Whether to request a snapshot, because there is capacity and no entry is cached.
    pub needs_snapshot: bool,
}

/// The executors that are retained now, with their last entries.
pub trait RetainedEntries {
    /// The entry of one executor; none if it is gone or not retained.
    fn entry(&self, name: &str) -> Option<&EndpointEntry>;
    /// All entries.
    fn entries(&self) -> impl Iterator<Item = &EndpointEntry>;
}

/// Chooses the executors to retain.
pub struct EndpointRetention {
    retention: Retention,
    bound: usize,
    max_unretained: usize,
    retained: usize,
    /// Cached entries of executors that are not retained.
    unretained: HashMap<CompactString, EndpointEntry>,
    /// The number of executors that are neither retained nor cached.
    uncached: usize,
    /// A snapshot was requested and has not arrived.
    is_snapshot_requested: bool,
}

/// The rank of an executor in a node's order of preference.
pub fn rank(retention: &Retention, entry: &EndpointEntry) -> Rank {
    let readiness = if entry.is_ready() { Readiness::Ready } else { Readiness::Draining };
    retention.rank(&entry.id, readiness)
}

/// Removes all but the last entry of each name, and returns how many were removed.
fn remove_repeated(entries: &mut Vec<EndpointEntry>) -> usize {
    let mut indices: Vec<usize> = (0..entries.len()).collect();
    indices.sort_unstable_by(|&a, &b| entries[a].id.cmp(&entries[b].id).then(a.cmp(&b)));
    let is_repeated = |pair: &&[usize]| entries[pair[0]].id == entries[pair[1]].id;
    let repeated: HashSet<usize> = indices.windows(2).filter(is_repeated).map(|pair| pair[0]).collect();
    let mut index = 0..;
    entries.retain(|_| index.next().is_some_and(|index| !repeated.contains(&index)));
    repeated.len()
}

impl EndpointRetention {
    /// For the node of this name, which retains at most `bound` executors and caches `max_unretained` other entries.
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

    /// The numbers of executors.
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

    /// Applies a snapshot, of which the parser dropped a number of entries. An executor without an entry in the
    /// result is gone or no longer retained.
    pub fn apply_snapshot(
        &mut self,
        mut entries: Vec<EndpointEntry>,
        dropped_entries: usize,
    ) -> RetentionChange {
        let repeated = remove_repeated(&mut entries);
        entries.retain(|entry| !entry.is_gone());
        self.unretained.clear();
        self.uncached = dropped_entries;
        self.is_snapshot_requested = false;
        let mut losing = Vec::new();
        if entries.len() > self.bound {
            let ranks: Vec<Rank> = entries.iter().map(|entry| self.rank(entry)).collect();
            let mut is_chosen = Retention::choose(&ranks, self.bound).into_iter();
            losing.extend(entries.extract_if(.., |_| is_chosen.next() == Some(false)));
        }
        self.retained = entries.len();
        self.cache(losing);
        RetentionChange { entries, repeated, needs_snapshot: false }
    }

    /// Applies changes of the list.
    pub fn apply_delta(
        &mut self,
        mut entries: Vec<EndpointEntry>,
        current: &impl RetainedEntries,
    ) -> RetentionChange {
        let repeated = remove_repeated(&mut entries);
        let mut accepted = Vec::with_capacity(entries.len());
        let mut may_change_choice = false;
        for entry in entries {
            match current.entry(&entry.id) {
                Some(previous) => {
                    self.retained -= usize::from(entry.is_gone());
                    may_change_choice |= previous.state != entry.state;
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
                    may_change_choice = true;
                }
            }
        }
        if self.has_waiting() || (may_change_choice && !self.unretained.is_empty()) {
            accepted = self.choose_again(accepted, current);
        }
        RetentionChange { entries: accepted, repeated, needs_snapshot: self.request_snapshot() }
    }

    /// Returns true once if executors that are not cached could be retained.
    fn request_snapshot(&mut self) -> bool {
        let is_needed = self.uncached > 0 && self.retained < self.bound && self.unretained.is_empty();
        if !is_needed {
            return false;
        }
        !std::mem::replace(&mut self.is_snapshot_requested, true)
    }

    /// Whether a cached entry could be retained now.
    pub fn has_waiting(&self) -> bool {
        self.retained < self.bound && !self.unretained.is_empty()
    }

    /// Caches an entry that was chosen and for which there is no free handle, even beyond the bound of the cache.
    pub fn defer(&mut self, entry: EndpointEntry) {
        self.retained -= 1;
        self.unretained.insert(entry.id.clone(), entry);
    }

    /// Chooses among all retained executors, with the update applied, and all cached ones.
    fn choose_again(
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
        let is_chosen = Retention::choose(&ranks, self.bound);
        let (retained_chosen, unretained_chosen) = is_chosen.split_at(retained.len());
        let losing = retained.iter().zip(retained_chosen).filter(|(_, is_chosen)| !**is_chosen);
        let losing: Vec<EndpointEntry> = losing.map(|(entry, _)| (*entry).clone()).collect();
        let winning = self.unretained.values().zip(unretained_chosen).filter(|(_, is_chosen)| **is_chosen);
        let winning: Vec<CompactString> = winning.map(|(entry, _)| entry.id.clone()).collect();
        self.retained = is_chosen.iter().filter(|&&is_chosen| is_chosen).count();
        let losing_names: HashSet<&str> = losing.iter().map(|entry| entry.id.as_str()).collect();
        accepted.retain(|entry| !losing_names.contains(entry.id.as_str()));
        // An executor that was not retained before has no entry to take back.
        let retained_before = losing.iter().filter(|entry| current.entry(&entry.id).is_some());
        accepted.extend(retained_before.map(|entry| entry.clone().into_gone()));
        accepted.extend(winning.iter().filter_map(|name| self.unretained.remove(name)));
        self.cache(losing);
        accepted
    }

    /// Caches entries, and drops those with the lowest ranks beyond the bound.
    fn cache(&mut self, entries: Vec<EndpointEntry>) {
        self.unretained.extend(entries.into_iter().map(|entry| (entry.id.clone(), entry)));
        if self.unretained.len() <= self.max_unretained {
            return;
        }
        let ranks: Vec<Rank> = self.unretained.values().map(|entry| self.rank(entry)).collect();
        let mut is_chosen = Retention::choose(&ranks, self.max_unretained).into_iter();
        let before = self.unretained.len();
        self.unretained.retain(|_, _| is_chosen.next() == Some(true));
        self.uncached += before - self.unretained.len();
    }
}

#[cfg(test)]
#[path = "../tests/unit/retention.rs"]
mod tests;
