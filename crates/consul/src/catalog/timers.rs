//! Timers of the executors in a catalog.
use crate::Millis;
use std::collections::BTreeSet;

/// Executors by the time at which their state may change without a response.
#[derive(Default)]
pub struct TimerSet {
    /// Executors with the [`sort_key`] of their time.
    timers: BTreeSet<(u64, String)>,
}

/// The bits of a time. They sort like the times because no time is negative.
fn sort_key(at: Millis) -> u64 {
    at.max(0.0).to_bits()
}

impl TimerSet {
    /// Sets a timer for an executor.
    pub fn set(&mut self, at: Millis, id: &str) {
        self.timers.insert((sort_key(at), id.to_string()));
    }

    /// Removes the timer of an executor that was set for the time `at`.
    pub fn cancel(&mut self, at: Millis, id: &str) {
        self.timers.remove(&(sort_key(at), id.to_string()));
    }

    /// Returns the time of the earliest timer.
    pub fn next_at(&self) -> Option<Millis> {
        self.timers.first().map(|(bits, _)| f64::from_bits(*bits))
    }

    /// Removes the earliest timer if it has expired, and returns its executor.
    pub fn pop_expired(&mut self, now: Millis) -> Option<String> {
        if self.next_at()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, id)| id)
    }
}
