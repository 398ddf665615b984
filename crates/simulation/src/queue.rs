//! The event queue: events in order of time; events at the same time in the order in which they were scheduled.
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use troutknot_emulator::Millis;

struct ScheduledEvent<E> {
    at: Millis,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    /// The heap returns the greatest element first, so the earliest event is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// A queue of scheduled events.
pub struct EventQueue<E> {
    heap: BinaryHeap<ScheduledEvent<E>>,
    next_sequence: u64,
    now: Millis,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), next_sequence: 0, now: 0.0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event; a time in the past counts as the current time.
    pub fn schedule(&mut self, at: Millis, event: E) {
        self.heap.push(ScheduledEvent { at: at.max(self.now), sequence: self.next_sequence, event });
        self.next_sequence += 1;
    }

    /// Removes the next event and advances the current time to it.
    pub fn pop(&mut self) -> Option<(Millis, E)> {
        let next = self.heap.pop()?;
        self.now = next.at;
        Some((next.at, next.event))
    }
}

/// Guards against runs that depend on the heap's order of ties, and against a clock that goes backwards.
#[test]
fn events_at_the_same_time_keep_scheduling_order_and_time_never_decreases() {
    let mut queue = EventQueue::default();
    for (at, name) in [(2.0, 'c'), (1.0, 'a'), (2.0, 'd'), (1.0, 'b')] {
        queue.schedule(at, name);
    }
    let mut popped = String::new();
    while let Some((at, name)) = queue.pop() {
        popped.push(name);
        if name == 'b' {
            // Scheduled 5 ms in the past: it is next, at the current time.
            queue.schedule(at - 5.0, 'x');
        }
    }
    assert_eq!(popped, "abxcd");
}
