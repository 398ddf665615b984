//! The endpoint list as it was last told, and the executors that operators excluded, which lie over it: one that is
//! excluded and ready in the list drains for everything behind. Without I/O.
use crate::protocol::EndpointEntry;
use slotmap::SecondaryMap;
use std::collections::{BTreeSet, VecDeque};
use troutknot::ExecutorId;

/// Names that stay excluded while no executor of that name is listed; the oldest is forgotten first.
pub const MAX_ABSENT: usize = 1024;
const READY: &str = "Ready";
const DRAINING: &str = "Terminating";
const GONE: &str = "Gone";

/// What is listed and what is excluded.
#[derive(Default)]
pub struct Membership {
    listed: SecondaryMap<ExecutorId, EndpointEntry>,
    excluded: BTreeSet<String>,
    /// Those of them that are not listed, in the order in which they went.
    excluded_absent: VecDeque<String>,
    /// The version of the list, where its source counts versions.
    pub version: Option<u64>,
}

impl Membership {
    /// Keeps what the list says of an executor; what is to be gone by follows.
    pub fn update(&mut self, executor: ExecutorId, entry: EndpointEntry) -> EndpointEntry {
        let mut effective = entry.clone();
        if self.excluded.contains(entry.id.as_str()) {
            self.excluded_absent.retain(|name| *name != entry.id);
            if effective.state == READY {
                effective.state = DRAINING.into();
            }
        }
        self.listed.insert(executor, entry);
        effective
    }

    /// Makes space for so many executors in all, at once.
    pub fn reserve(&mut self, executors: usize) {
        self.listed.set_capacity(executors);
    }

    /// It is missing from a complete list.
    pub fn mark_gone(&mut self, executor: ExecutorId) {
        if let Some(entry) = self.listed.get_mut(executor) {
            entry.state = GONE.into();
        }
    }

    /// Its handle is released: what the list said of it is forgotten. If it is excluded it stays so by name.
    pub fn release(&mut self, executor: ExecutorId) {
        if let Some(entry) = self.listed.remove(executor)
            && self.excluded.contains(entry.id.as_str())
        {
            self.retain_absent(entry.id.to_string());
        }
    }

    /// Excludes an executor, or lets it serve again: a set and no count, so one call undoes any number of calls
    /// before. What the list says of it, to be taken anew; none where nothing changes or it is not listed.
    pub fn set_excluded(
        &mut self,
        executor: Option<ExecutorId>,
        name: &str,
        is_excluded: bool,
    ) -> Option<EndpointEntry> {
        let changes =
            if is_excluded { self.excluded.insert(name.into()) } else { self.excluded.remove(name) };
        let entry = executor.and_then(|executor| self.listed.get(executor)).cloned();
        match (is_excluded, &entry) {
            (true, None) if changes => self.retain_absent(name.into()),
            (false, _) => self.excluded_absent.retain(|absent| absent != name),
            _ => {}
        }
        entry.filter(|_| changes)
    }

    /// Takes over who is excluded, before any list.
    pub fn import_excluded(&mut self, names: BTreeSet<String>) {
        for name in names {
            if self.excluded.insert(name.clone()) {
                self.retain_absent(name);
            }
        }
    }

    /// Names of all that are excluded.
    pub fn excluded(&self) -> &BTreeSet<String> {
        &self.excluded
    }

    /// What the list says of one executor; none where it is gone.
    pub fn entry(&self, executor: ExecutorId) -> Option<&EndpointEntry> {
        self.listed.get(executor).filter(|entry| !entry.is_gone())
    }

    /// What the list says, without who is gone.
    pub fn listed(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.listed.values().filter(|entry| !entry.is_gone())
    }

    /// The number of executors of which anything is kept, but for names.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Guards against names without end: of those that are excluded and not listed the oldest is let in again.
    fn retain_absent(&mut self, name: String) {
        self.excluded_absent.push_back(name);
        if self.excluded_absent.len() > MAX_ABSENT
            && let Some(oldest) = self.excluded_absent.pop_front()
        {
            tracing::warn!("{oldest} was left out by hand and is not listed; that is forgotten now");
            self.excluded.remove(&oldest);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
