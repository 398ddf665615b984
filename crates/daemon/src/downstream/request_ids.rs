//! Ids of requests: tracks which client ids are open or were used recently, and numbers new requests.
use crate::config::limits::Limits;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;
use troutknot::RequestId;

/// Detects duplicates by the ids that clients give their requests, and numbers requests.
pub(super) struct RequestIds {
    open: RefCell<HashSet<String>>,
    /// Tokens of requests that may run twice; the oldest are dropped if memory is short.
    recent: RefCell<RecentTokens>,
    /// Tokens of requests that must not run twice; none is dropped within the deduplication window.
    protected: RefCell<RecentTokens>,
    next: Cell<u64>,
}

impl RequestIds {
    /// Starts without requests, at number 0.
    pub fn new() -> Self {
        RequestIds {
            open: RefCell::default(),
            recent: RefCell::new(RecentTokens::new()),
            protected: RefCell::new(RecentTokens::new()),
            next: Cell::new(0),
        }
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
        [&self.recent, &self.protected].into_iter().any(|tokens| {
            let mut tokens = tokens.borrow_mut();
            tokens.drop_expired(limits);
            tokens.contains(token)
        })
    }

    /// Records that a request was admitted that must not run twice. Returns false if there is no memory for its token;
    /// it must not be dispatched then.
    pub fn protect_token(&self, token: u64, limits: &Limits) -> bool {
        self.protected.borrow_mut().insert_within(token, limits)
    }

    /// Adds the protected tokens of an earlier process, which fill both generations.
    pub fn import_protected(&self, tokens: &[u64], limits: &Limits) {
        let max_older = limits.downstream.max_protected_ids / 2;
        let (older, newer) = tokens.split_at(tokens.len().min(max_older));
        self.protected.borrow_mut().older.extend(older);
        newer.iter().for_each(|token| _ = self.protect_token(*token, limits));
    }

    /// Forgets a request that was never dispatched.
    pub fn forget_token(&self, token: u64) {
        self.protected.borrow_mut().remove(token);
    }

    /// Tokens that were recorded within the deduplication window, those that are protected last.
    pub fn recent_tokens(&self) -> Vec<u64> {
        let mut tokens = self.recent.borrow().all();
        tokens.extend(self.protected_tokens());
        tokens
    }

    /// Tokens of requests that must not run twice.
    pub fn protected_tokens(&self) -> Vec<u64> {
        self.protected.borrow().all()
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

/// Tokens in two generations. The older one is dropped after the longest deadline.
struct RecentTokens {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    rotated_at: Instant,
    /// The longest deadline of the settings under which the newer generation was recorded.
    window: Duration,
}

impl RecentTokens {
    fn new() -> Self {
        RecentTokens {
            newer: HashSet::new(),
            older: HashSet::new(),
            rotated_at: Instant::now(),
            window: Duration::ZERO,
        }
    }

    fn contains(&self, token: u64) -> bool {
        self.older.contains(&token) || self.newer.contains(&token)
    }

    fn all(&self) -> Vec<u64> {
        self.older.iter().chain(&self.newer).copied().collect()
    }

    fn remove(&mut self, token: u64) {
        self.newer.remove(&token);
        self.older.remove(&token);
    }

    /// Inserts a token without dropping another one. Returns false if there is no memory for it.
    fn insert_within(&mut self, token: u64, limits: &Limits) -> bool {
        self.drop_expired(limits);
        let has_memory = self.newer.len() < limits.downstream.max_protected_ids / 2;
        if has_memory {
            self.newer.insert(token);
        }
        has_memory
    }

    /// Inserts a token; if memory is short, the older generation is dropped. Returns false if the token is present.
    fn insert(&mut self, token: u64, limits: &Limits) -> bool {
        self.drop_expired(limits);
        // Each of the two generations may take half of the memory.
        if self.newer.len() >= limits.downstream.max_completed_ids / 2 {
            self.rotate();
        }
        !self.older.contains(&token) && self.newer.insert(token)
    }

    fn drop_expired(&mut self, limits: &Limits) {
        let max_deadline = limits.timeouts().max_deadline;
        self.window = self.window.max(max_deadline);
        if self.rotated_at.elapsed() >= self.window {
            self.rotate();
            self.window = max_deadline;
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
