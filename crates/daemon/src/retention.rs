//! Which of the listed executors this node keeps, and those that it leaves out. Without I/O.
//!
//! Up to the bound a list passes as it is. Above it the [`Retention`] of this node chooses anew with each list,
//! and entries that lose are held for when there is room, up to a bound of their own: one that fits again comes
//! in at once, whatever its source tells of next. Past that bound the lowest are only counted, and the source is
//! asked for its whole list once what is held is used up.
use crate::protocol::EndpointEntry;
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use troutknot_membership::{Rank, Readiness, Retention};

/// How many executors are listed, and what becomes of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetentionStatistics {
    pub listed: usize,
    pub kept: usize,
    /// Not kept; as of the last whole list where they are more than are held.
    pub left_out: usize,
    pub bound: usize,
}

impl std::fmt::Display for RetentionStatistics {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let RetentionStatistics { listed, kept, left_out, bound } = self;
        write!(f, "{listed} listed, {kept} kept, {left_out} left out, bound {bound}")
    }
}

/// What a list changes for the node.
#[derive(Debug, Default, PartialEq)]
pub struct RetentionChange {
    /// Entries to take, in order; one that was kept and loses its place stands there as gone.
    pub entries: Vec<EndpointEntry>,
    /// How many entries named an executor that the same list names again later.
    pub repeated: usize,
    /// The source must tell its whole list, for there is room and what fits is not held.
    pub needs_snapshot: bool,
}

/// The executors that are kept now, as the list last told them.
pub trait RetainedEntries {
    /// None for one that is not kept, or gone.
    fn entry(&self, name: &str) -> Option<&EndpointEntry>;
    fn entries(&self) -> impl Iterator<Item = &EndpointEntry>;
}

pub struct EndpointRetention {
    retention: Retention,
    bound: usize,
    max_unretained: usize,
    kept: usize,
    unretained: HashMap<CompactString, EndpointEntry>,
    /// Left out and not held.
    forgotten: usize,
    /// The whole list was asked for, and has not come yet.
    is_asked: bool,
}

/// The place of an executor in a node's order.
pub fn rank(retention: &Retention, entry: &EndpointEntry) -> Rank {
    let standing = if entry.is_ready() { Readiness::Ready } else { Readiness::Draining };
    retention.rank(&entry.id, standing)
}

/// Leaves the last entry of each name; how many others there were.
fn remove_repeated(entries: &mut Vec<EndpointEntry>) -> usize {
    let mut places: Vec<usize> = (0..entries.len()).collect();
    places.sort_unstable_by(|&a, &b| entries[a].id.cmp(&entries[b].id).then(a.cmp(&b)));
    let is_same = |pair: &&[usize]| entries[pair[0]].id == entries[pair[1]].id;
    let repeated: HashSet<usize> = places.windows(2).filter(is_same).map(|pair| pair[0]).collect();
    let mut place = 0..;
    entries.retain(|_| place.next().is_some_and(|place| !repeated.contains(&place)));
    repeated.len()
}

impl EndpointRetention {
    /// For the node of this name, which keeps at most `bound` executors and holds `max_unretained` others.
    pub fn new(node: &str, bound: usize, max_unretained: usize) -> Self {
        let retention = Retention::of_node(node);
        let unretained = HashMap::new();
        EndpointRetention {
            retention,
            bound,
            max_unretained,
            kept: 0,
            unretained,
            forgotten: 0,
            is_asked: false,
        }
    }

    pub fn statistics(&self) -> RetentionStatistics {
        let left_out = self.unretained.len() + self.forgotten;
        RetentionStatistics { listed: self.kept + left_out, kept: self.kept, left_out, bound: self.bound }
    }

    /// What the list says of an executor that is left out, as far as that is held.
    pub fn unretained_entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.unretained.get(name)
    }

    /// All that is held of those left out.
    pub fn unretained(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.unretained.values()
    }

    fn rank(&self, entry: &EndpointEntry) -> Rank {
        rank(&self.retention, entry)
    }

    /// Takes a whole list, of which `beyond` more entries were cut when it was read. Whoever is not among what
    /// is selected has lost its place, or is gone.
    pub fn apply_snapshot(&mut self, mut entries: Vec<EndpointEntry>, beyond: usize) -> RetentionChange {
        let repeated = remove_repeated(&mut entries);
        entries.retain(|entry| !entry.is_gone());
        self.unretained.clear();
        (self.forgotten, self.is_asked) = (beyond, false);
        let mut lost = Vec::new();
        if entries.len() > self.bound {
            let ranks: Vec<Rank> = entries.iter().map(|entry| self.rank(entry)).collect();
            let mut chosen = Retention::choose(&ranks, self.bound).into_iter();
            lost.extend(entries.extract_if(.., |_| chosen.next() == Some(false)));
        }
        self.kept = entries.len();
        self.hold(lost);
        RetentionChange { entries, repeated, needs_snapshot: false }
    }

    /// Takes changes of the list.
    pub fn apply_delta(
        &mut self,
        mut entries: Vec<EndpointEntry>,
        before: &impl RetainedEntries,
    ) -> RetentionChange {
        let repeated = remove_repeated(&mut entries);
        let mut told = Vec::with_capacity(entries.len());
        let mut may_change_places = false;
        for entry in entries {
            match before.entry(&entry.id) {
                Some(was) => {
                    self.kept -= usize::from(entry.is_gone());
                    may_change_places |= was.state != entry.state;
                    told.push(entry);
                }
                None if entry.is_gone() => {
                    self.unretained.remove(&entry.id);
                }
                None if self.kept < self.bound && self.unretained.is_empty() => {
                    self.kept += 1;
                    told.push(entry);
                }
                None => {
                    self.unretained.insert(entry.id.clone(), entry);
                    may_change_places = true;
                }
            }
        }
        if self.has_waiting() || (may_change_places && !self.unretained.is_empty()) {
            told = self.compete(told, before);
        }
        let is_short = self.forgotten > 0 && self.kept < self.bound && self.unretained.is_empty();
        let needs_snapshot = is_short && !std::mem::replace(&mut self.is_asked, is_short);
        RetentionChange { entries: told, repeated, needs_snapshot }
    }

    /// Whether one that is left out would be kept now.
    pub fn has_waiting(&self) -> bool {
        self.kept < self.bound && !self.unretained.is_empty()
    }

    /// There was no handle for one that was selected: it waits, whatever else is held.
    pub fn defer(&mut self, entry: EndpointEntry) {
        self.kept -= 1;
        self.unretained.insert(entry.id.clone(), entry);
    }

    /// Chooses anew among all that are kept, by what is told now, and all that are held besides.
    fn compete(&mut self, mut told: Vec<EndpointEntry>, before: &impl RetainedEntries) -> Vec<EndpointEntry> {
        let told_names: HashSet<&str> = told.iter().map(|entry| entry.id.as_str()).collect();
        let unchanged = before.entries().filter(|entry| !told_names.contains(entry.id.as_str()));
        let keeping: Vec<&EndpointEntry> =
            unchanged.chain(told.iter().filter(|entry| !entry.is_gone())).collect();
        let candidates = || keeping.iter().copied().chain(self.unretained.values());
        let ranks: Vec<Rank> = candidates().map(|entry| self.rank(entry)).collect();
        let chosen = Retention::choose(&ranks, self.bound);
        let losing = keeping.iter().zip(&chosen).filter(|(_, is_chosen)| !**is_chosen);
        let lost: Vec<EndpointEntry> = losing.map(|(entry, _)| (*entry).clone()).collect();
        let winning = self.unretained.values().zip(&chosen[keeping.len()..]).filter(|(_, chosen)| **chosen);
        let won: Vec<CompactString> = winning.map(|(entry, _)| entry.id.clone()).collect();
        self.kept = chosen.iter().filter(|&&is_chosen| is_chosen).count();
        // Only one that was kept is told as gone.
        let lost_names: HashSet<&str> = lost.iter().map(|entry| entry.id.as_str()).collect();
        told.retain(|entry| !lost_names.contains(entry.id.as_str()));
        let kept_before = lost.iter().filter(|entry| before.entry(&entry.id).is_some());
        told.extend(kept_before.map(|entry| entry.clone().into_gone()));
        told.extend(won.iter().filter_map(|name| self.unretained.remove(name)));
        self.hold(lost);
        told
    }

    /// Holds what lost, and of all that is held the highest ranks.
    fn hold(&mut self, lost: Vec<EndpointEntry>) {
        self.unretained.extend(lost.into_iter().map(|entry| (entry.id.clone(), entry)));
        if self.unretained.len() <= self.max_unretained {
            return;
        }
        let ranks: Vec<Rank> = self.unretained.values().map(|entry| self.rank(entry)).collect();
        let mut chosen = Retention::choose(&ranks, self.max_unretained).into_iter();
        let before = self.unretained.len();
        self.unretained.retain(|_, _| chosen.next() == Some(true));
        self.forgotten += before - self.unretained.len();
    }
}

#[cfg(test)]
#[path = "../tests/unit/retention.rs"]
mod tests;
