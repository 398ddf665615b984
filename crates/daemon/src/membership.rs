//! The list as it was last told, and the executors that operators left out by hand, which lie over it: one that
//! is out and ready in the list drains for everything behind. Without I/O.
use crate::words::Entry;
use slotmap::SecondaryMap;
use std::collections::{BTreeSet, VecDeque};
use troutknot::ExecutorId;

/// Names that stay left out by hand while no executor of that name is listed; the oldest is forgotten first.
pub const MOST_ABSENT: usize = 1024;

#[derive(Default)]
pub struct Roster {
    listed: SecondaryMap<ExecutorId, Entry>,
    out: BTreeSet<String>,
    /// Those of them that are not listed, in the order in which they went.
    absent: VecDeque<String>,
    /// Of the list, where its source counts versions.
    pub version: Option<u64>,
}

const READY: &str = "Ready";
const DRAINS: &str = "Terminating";
const GONE: &str = "Gone";

impl Roster {
    /// Keeps what the list says of an executor in mind; what is to be believed of it follows.
    pub fn take(&mut self, executor: ExecutorId, entry: Entry) -> Entry {
        let mut believed = entry.clone();
        if self.out.contains(entry.id.as_str()) {
            self.absent.retain(|name| *name != entry.id);
            if believed.state == READY {
                believed.state = DRAINS.into();
            }
        }
        self.listed.insert(executor, entry);
        believed
    }

    /// Makes room for so many executors in all, at once.
    pub fn reserve(&mut self, executors: usize) {
        self.listed.set_capacity(executors);
    }

    /// It is missing from a whole list.
    pub fn gone(&mut self, executor: ExecutorId) {
        if let Some(entry) = self.listed.get_mut(executor) {
            entry.state = GONE.into();
        }
    }

    /// Its handle is released: what the list said of it is forgotten. If it is out by hand it stays so by name.
    pub fn release(&mut self, executor: ExecutorId) {
        if let Some(entry) = self.listed.remove(executor)
            && self.out.contains(entry.id.as_str())
        {
            self.keep_absent(entry.id.to_string());
        }
    }

    /// Leaves an executor out, or lets it serve again: a set and no count, so one call back undoes any number
    /// of calls out. What the list says of it, to be taken anew; none where nothing changes or it is not listed.
    pub fn leave_out(&mut self, executor: Option<ExecutorId>, name: &str, out: bool) -> Option<Entry> {
        let changes = if out { self.out.insert(name.into()) } else { self.out.remove(name) };
        let entry = executor.and_then(|executor| self.listed.get(executor)).cloned();
        match (out, &entry) {
            (true, None) if changes => self.keep_absent(name.into()),
            (false, _) => self.absent.retain(|absent| absent != name),
            _ => {}
        }
        entry.filter(|_| changes)
    }

    /// Takes over who is out, before any list.
    pub fn inherit(&mut self, out: BTreeSet<String>) {
        for name in out {
            if self.out.insert(name.clone()) {
                self.keep_absent(name);
            }
        }
    }

    pub fn out(&self) -> &BTreeSet<String> {
        &self.out
    }

    /// What the list says of one executor; none where it is gone.
    pub fn entry(&self, executor: ExecutorId) -> Option<&Entry> {
        self.listed.get(executor).filter(|entry| !entry.is_gone())
    }

    /// What the list says, without who is gone.
    pub fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.listed.values().filter(|entry| !entry.is_gone())
    }

    /// The number of executors of which anything is kept, but for names.
    #[cfg(test)]
    pub fn kept(&self) -> usize {
        self.listed.len()
    }

    /// Guards against names without end: of those that are out and not listed the oldest is let in again.
    fn keep_absent(&mut self, name: String) {
        self.absent.push_back(name);
        if self.absent.len() > MOST_ABSENT
            && let Some(oldest) = self.absent.pop_front()
        {
            tracing::warn!("{oldest} was left out by hand and is not listed; that is forgotten now");
            self.out.remove(&oldest);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
