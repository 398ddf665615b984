//! Ids of requests: tracks which client ids are open or were used recently, and numbers new requests.
use crate::config::limits::Limits;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use tokio::time::Instant;
use troutknot::RequestId;

/// Detects duplicates by the ids that clients give their requests, and numbers requests.
pub(super) struct RequestIds {
    open: RefCell<HashSet<String>>,
    recent: RefCell<RecentTokens>,
    next: Cell<u64>,
}

impl RequestIds {
    /// Starts without requests, at number 0.
    pub fn new() -> Self {
        RequestIds { open: RefCell::default(), recent: RefCell::new(RecentTokens::new()), next: Cell::new(0) }
    }

    /// Whether a request with this client id is open.
    pub fn is_open(&self, client_id: &str) -> bool {
        self.open.borrow().contains(client_id)
    }

    /// Records that a request with this token was admitted. Returns false if the token was recorded within the
    /// deduplication window.
    pub fn record_token(&self, token: u64, limits: &Limits) -> bool {
        self.recent.borrow_mut().insert(token, limits)
    }

    /// Whether a request with this token was admitted within the deduplication window.
    pub fn is_recent(&self, token: u64, limits: &Limits) -> bool {
        let mut recent = self.recent.borrow_mut();
        recent.drop_expired(limits);
        recent.contains(token)
    }

    /// Tokens that were recorded within the deduplication window.
    pub fn recent_tokens(&self) -> Vec<u64> {
        let recent = self.recent.borrow();
        recent.older.iter().chain(&recent.newer).copied().collect()
    }

    /// The id of the next request that is opened.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next.get())
    }

    /// Opens a request under the id that [`next_id`](Self::next_id) returns.
    pub fn open(&self, client_id: String) {
        self.next.set(self.next.get() + 1);
        self.open.borrow_mut().insert(client_id);
    }

    /// Closes a request; its token stays within the deduplication window.
    pub fn close(&self, client_id: &str) {
        self.open.borrow_mut().remove(client_id);
    }

    /// Raises the id of the next request to `first`, unless it is higher already.
    pub fn skip_to(&self, first: u64) {
        self.next.set(self.next.get().max(first));
    }

    /// The number of open requests.
    #[cfg(test)]
    pub fn open_count(&self) -> usize {
        self.open.borrow().len()
    }
}

/// Tokens in two generations. The older one is dropped after the longest deadline, or if memory is short.
struct RecentTokens {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    rotated_at: Instant,
}

impl RecentTokens {
    fn new() -> Self {
        RecentTokens { newer: HashSet::new(), older: HashSet::new(), rotated_at: Instant::now() }
    }

    fn contains(&self, token: u64) -> bool {
        self.older.contains(&token) || self.newer.contains(&token)
    }

    /// Returns false if the token is present.
    fn insert(&mut self, token: u64, limits: &Limits) -> bool {
        self.drop_expired(limits);
        // Each of the two generations may take half of the memory.
        if self.newer.len() >= limits.downstream.max_completed_ids / 2 {
            self.rotate();
        }
        !self.older.contains(&token) && self.newer.insert(token)
    }

    fn drop_expired(&mut self, limits: &Limits) {
        if self.rotated_at.elapsed() >= limits.timeouts().max_deadline {
            self.rotate();
        }
    }

    fn rotate(&mut self) {
        self.older = std::mem::take(&mut self.newer);
        self.rotated_at = Instant::now();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request_ids.rs"]
mod tests;
