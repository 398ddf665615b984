//! A value that changes over time.
use troutknot_emulator::Millis;

/// The successive values of one state, in the order of time.
#[derive(Debug)]
pub(super) struct Timeline<T> {
    changes: Vec<TimedValue<T>>,
}

/// A value, and when it began to hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedValue<T> {
    pub since: Millis,
    pub value: T,
}

impl<T> Default for Timeline<T> {
    fn default() -> Self {
        Timeline { changes: Vec::new() }
    }
}

impl<T: Copy + PartialEq> Timeline<T> {
    /// Appends a change. Changes that are out of order need [`Timeline::sort`] before the first query.
    pub fn push(&mut self, since: Millis, value: T) {
        self.changes.push(TimedValue { since, value });
    }

    /// Removes the changes scheduled after a time.
    pub fn truncate_after(&mut self, at: Millis) {
        self.changes.retain(|change| change.since <= at);
    }

    /// Sorts the changes by time; changes of the same instant retain their order.
    pub fn sort(&mut self) {
        self.changes.sort_by(|a, b| a.since.total_cmp(&b.since));
    }

    /// The value at a time, and the start of the uninterrupted period for which it has held.
    pub fn at(&self, at: Millis) -> Option<TimedValue<T>> {
        let past = &self.changes[..self.changes.partition_point(|change| change.since <= at)];
        let value = past.last()?.value;
        past.iter().rev().take_while(|change| change.value == value).last().copied()
    }

    /// Since when `value` has held without interruption; `None` if another value holds at that time.
    pub fn holds_since(&self, value: T, at: Millis) -> Option<Millis> {
        self.at(at).filter(|current| current.value == value).map(|current| current.since)
    }
}
