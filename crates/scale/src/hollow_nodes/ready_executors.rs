//! Addresses of the ready executors. All rate nodes share them, and the first one updates them.
use super::endpoint_list::EndpointList;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Default)]
pub struct ReadyExecutors {
    ready: Vec<(Box<str>, SocketAddr)>,
    /// Index of each executor in `ready`.
    index_by_id: HashMap<Box<str>, usize>,
}

impl ReadyExecutors {
    pub fn apply(&mut self, list: EndpointList) {
        if list.is_snapshot {
            *self = ReadyExecutors::default();
        }
        for entry in list.entries {
            match entry.address.parse() {
                Ok(address) if entry.is_ready() => self.upsert(entry.id.into(), address),
                _ => self.remove(&entry.id),
            }
        }
    }

    fn upsert(&mut self, id: Box<str>, address: SocketAddr) {
        match self.index_by_id.get(&id) {
            Some(&index) => self.ready[index].1 = address,
            None => {
                self.index_by_id.insert(id.clone(), self.ready.len());
                self.ready.push((id, address));
            }
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(index) = self.index_by_id.remove(id) else { return };
        self.ready.swap_remove(index);
        if let Some((moved, _)) = self.ready.get(index) {
            self.index_by_id.insert(moved.clone(), index);
        }
    }

    /// Returns a ready executor, drawn uniformly; `None` if there is none.
    pub fn pick_random(&self, random: &mut ChaCha8Rng) -> Option<SocketAddr> {
        if self.ready.is_empty() {
            return None;
        }
        Some(self.ready[random.random_range(0..self.ready.len())].1)
    }
}
