//! Departures of executors from the list: when discovery found each one, and when it notified each node. Executors
//! use them to detect attempts that arrive too late (rule 3).
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Departure of one executor.
struct Departure {
    discovered_at: Instant,
    /// Time of the notification, by node.
    notified_at: HashMap<usize, Instant>,
}

/// Departures of all executors that have not returned.
pub struct Departures {
    /// Time after which a node counts as notified, whether or not discovery could send the change.
    max_notification_delay: Duration,
    by_executor: RefCell<HashMap<usize, Departure>>,
}

impl Departures {
    pub fn new(max_notification_delay: Duration) -> Self {
        Departures { max_notification_delay, by_executor: RefCell::default() }
    }

    /// Records that discovery found an executor draining or gone. An executor that drained before keeps its first
    /// time.
    pub fn record_departure(&self, executor: usize, discovered_at: Instant) {
        self.by_executor
            .borrow_mut()
            .entry(executor)
            .or_insert_with(|| Departure { discovered_at, notified_at: HashMap::new() });
    }

    /// Removes the departure of an executor that is ready again, possibly under another name.
    pub fn record_return(&self, executor: usize) {
        self.by_executor.borrow_mut().remove(&executor);
    }

    /// Removes all departures, since another fleet is listed.
    pub fn clear(&self) {
        self.by_executor.borrow_mut().clear();
    }

    /// Records that a node was sent the departure of an executor; the first time counts.
    pub fn record_notification(&self, node: usize, executor: usize, at: Instant) {
        if let Some(departure) = self.by_executor.borrow_mut().get_mut(&executor) {
            departure.notified_at.entry(node).or_insert(at);
        }
    }

    /// Returns since when a node counts as notified of an executor's departure; none if the executor has not
    /// departed.
    pub fn notified_at(&self, node: usize, executor: usize) -> Option<Instant> {
        let departures = self.by_executor.borrow();
        let departure = departures.get(&executor)?;
        let latest = departure.discovered_at + self.max_notification_delay;
        Some(departure.notified_at.get(&node).map_or(latest, |notified_at| latest.min(*notified_at)))
    }
}
