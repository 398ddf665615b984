//! Several sources of one list. Figures of an executor come from the first source that lists it; it is ready
//! only while every source that names it says so, for what any of them has told counts as learned.
use crate::protocol::EndpointEntry;
use compact_str::CompactString;
use std::collections::BTreeMap;
use troutknot::ListUpdate;

/// What each source last said of one executor, by the source's place in the order.
#[derive(Default)]
struct Said {
    by: BTreeMap<usize, EndpointEntry>,
    told: Option<EndpointEntry>,
}

pub struct EndpointMerge {
    executors: BTreeMap<CompactString, Said>,
    /// So many are kept in mind; further ones are left out. Guards against lists that name ever new ones.
    most: usize,
}

const READY: &str = "Ready";
const GONE: &str = "Gone";

impl Said {
    fn wanted(&self) -> Option<EndpointEntry> {
        let first = self.by.values().find(|entry| entry.state != GONE).or(self.by.values().next())?;
        let mut wanted = first.clone();
        // One that a source has let go and another still lists only drains: it may be back there.
        if wanted.state == READY
            && let Some(strict) = self.by.values().find(|entry| entry.state != READY)
        {
            wanted.state = if strict.state == GONE { "Terminating".into() } else { strict.state.clone() };
        }
        Some(wanted)
    }
}

impl EndpointMerge {
    pub fn new(most: usize) -> Self {
        EndpointMerge { executors: BTreeMap::new(), most }
    }

    /// What changes for the node by a source's word.
    pub fn take(
        &mut self,
        source: usize,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
    ) -> Vec<EndpointEntry> {
        let mut touched: Vec<CompactString> = entries.iter().map(|entry| entry.id.clone()).collect();
        if kind != ListUpdate::Delta {
            // Who is missing from a whole list is gone.
            let named: std::collections::HashSet<&str> =
                entries.iter().map(|entry| entry.id.as_str()).collect();
            for (id, said) in &mut self.executors {
                if let Some(entry) = said.by.get_mut(&source)
                    && !named.contains(id.as_str())
                {
                    entry.state = GONE.into();
                    touched.push(id.clone());
                }
            }
        }
        for entry in entries {
            if self.executors.len() >= self.most && !self.executors.contains_key(&entry.id) {
                continue;
            }
            let said = self.executors.entry(entry.id.clone()).or_default();
            said.by.insert(source, entry);
        }
        let mut changes = Vec::new();
        for id in touched {
            let Some(said) = self.executors.get_mut(&id) else { continue };
            let Some(wanted) = said.wanted() else { continue };
            if said.told.as_ref() != Some(&wanted) {
                said.told = Some(wanted.clone());
                changes.push(wanted);
            }
            // Guards against a list that names ever new ones: who is gone everywhere is not kept in mind.
            if said.by.values().all(|entry| entry.state == GONE) {
                self.executors.remove(&id);
            }
        }
        changes
    }
}

#[cfg(test)]
#[path = "../../tests/unit/merge.rs"]
mod tests;
