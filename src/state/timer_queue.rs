//! The timers of requests, and the one timer of the host that stands for them.
use crate::ids::RequestId;
use crate::time::Millis;
use std::collections::BTreeSet;

/// Due times of requests, the earliest first. Each request stores its own due time, by which it is removed.
pub(crate) struct TimerQueue {
    /// By the bits of the time: they order like the times, which are not negative.
    due: BTreeSet<(u64, RequestId)>,
    /// The time for which the host's timer is set; infinite if it is not.
    host_timer_at: Millis,
}

impl TimerQueue {
    pub fn new() -> Self {
        TimerQueue { due: BTreeSet::new(), host_timer_at: f64::INFINITY }
    }

    /// An infinite time is never due.
    pub fn insert(&mut self, request_id: RequestId, at: Millis) {
        if at.is_finite() {
            self.due.insert((at.to_bits(), request_id));
        }
    }

    pub fn remove(&mut self, request_id: RequestId, at: Millis) {
        self.due.remove(&(at.to_bits(), request_id));
    }

    /// Removes and returns the earliest request that is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        let &(bits, request_id) = self.due.first()?;
        if f64::from_bits(bits) > now {
            return None;
        }
        self.due.pop_first();
        Some(request_id)
    }

    /// The earliest due time; infinite if there is none.
    pub fn first(&self) -> Millis {
        self.due.first().map_or(f64::INFINITY, |&(bits, _)| f64::from_bits(bits))
    }

    /// The host's timer has fired.
    pub fn host_timer_fired(&mut self) {
        self.host_timer_at = f64::INFINITY;
    }

    /// The time for which the host has to set its timer, if that is earlier than before.
    pub fn arm_host_timer(&mut self, at: Millis) -> Option<Millis> {
        if at >= self.host_timer_at {
            return None;
        }
        self.host_timer_at = at;
        Some(at)
    }
}
