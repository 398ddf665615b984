//! The timers of requests, all driven by a single timer of the host.
use crate::ids::RequestId;
use crate::time::Millis;
use std::collections::BTreeSet;

/// The due times of requests, ordered by time. Each request stores its own due time, which is needed to remove it.
pub(crate) struct TimerQueue {
    /// Keyed by the bits of the time, which order like the times themselves because these are not negative.
    due: BTreeSet<(u64, RequestId)>,
    /// Time for which the host's timer is set; infinite if it is not set.
    host_timer_at: Millis,
}

impl TimerQueue {
    pub fn new() -> Self {
        TimerQueue { due: BTreeSet::new(), host_timer_at: f64::INFINITY }
    }

    /// Inserts a due time; an infinite one is ignored, since it is never due.
    pub fn insert(&mut self, request_id: RequestId, at: Millis) {
        if at.is_finite() {
            self.due.insert((at.to_bits(), request_id));
        }
    }

    pub fn remove(&mut self, request_id: RequestId, at: Millis) {
        self.due.remove(&(at.to_bits(), request_id));
    }

    /// Removes and returns the request with the earliest due time, if it has passed.
    pub fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        let &(bits, request_id) = self.due.first()?;
        if f64::from_bits(bits) > now {
            return None;
        }
        self.due.pop_first();
        Some(request_id)
    }

    /// Returns the earliest due time; infinite if there is none.
    pub fn next_due_at(&self) -> Millis {
        self.due.first().map_or(f64::INFINITY, |&(bits, _)| f64::from_bits(bits))
    }

    /// Records that the host's timer has fired.
    pub fn host_timer_fired(&mut self) {
        self.host_timer_at = f64::INFINITY;
    }

    /// Returns `at` if the host has to set its timer for it: if it is earlier than the time already set.
    pub fn arm_host_timer(&mut self, at: Millis) -> Option<Millis> {
        if at >= self.host_timer_at {
            return None;
        }
        self.host_timer_at = at;
        Some(at)
    }
}
