//! Events in the order of time; those of one time in the order in which they were scheduled.
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use troutknot_emulator::Millis;

struct Due<E> {
    at: Millis,
    number: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    /// The heap hands out the greatest first, so the earliest is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

pub struct Queue<E> {
    heap: BinaryHeap<Due<E>>,
    next: u64,
    now: Millis,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), next: 0, now: 0.0 }
    }
}

impl<E> Queue<E> {
    /// What is due in the past is due now.
    pub fn at(&mut self, at: Millis, event: E) {
        self.heap.push(Due { at: at.max(self.now), number: self.next, event });
        self.next += 1;
    }

    pub fn pop(&mut self) -> Option<(Millis, E)> {
        let due = self.heap.pop()?;
        self.now = due.at;
        Some((due.at, due.event))
    }
}

#[test]
fn ties_come_in_the_order_of_scheduling_and_nothing_goes_back() {
    let mut queue = Queue::default();
    for (at, name) in [(2.0, 'c'), (1.0, 'a'), (2.0, 'd'), (1.0, 'b')] {
        queue.at(at, name);
    }
    let mut came = String::new();
    while let Some((at, name)) = queue.pop() {
        came.push(name);
        if name == 'b' {
            // What is scheduled for the past comes next, at the time that it is.
            queue.at(at - 5.0, 'x');
        }
    }
    assert_eq!(came, "abxcd");
}
