//! When what is held of executors is let go, and what hosts can see of that.
use super::*;

impl Dispatcher {
    /// The number of executors whose state is held: those in force, and those that are gone and still needed.
    pub fn executors_held(&self) -> usize {
        self.fleet.len()
    }

    /// The number of events so far that came for executors that are no longer held, and were dropped.
    pub fn stale_events(&self) -> u64 {
        self.fleet.stale_events
    }

    /// Has the executors that are gone looked over with the next `emit`, for a host that is short of handles.
    pub fn reclaim_now(&mut self) {
        self.fleet.reclaim_now();
    }

    /// Releases the executors that are gone and that nothing can need any more, once that is due.
    pub(super) fn reclaim(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.fleet.reclaim_at() {
            return;
        }
        let spent_since = now - self.cold.fall;
        let named = self.requests.values().flat_map(Request::executors);
        let released = self.fleet.reclaim(now, spent_since, named);
        actions.extend(released.into_iter().map(|executor| Action::ReleaseExecutor { executor }));
    }
}

impl Request {
    /// Those that it names: where it was sent, which says where it may be sent again, and while it waits for
    /// answers those that were drawn for it.
    fn executors(&self) -> impl Iterator<Item = ExecutorId> {
        let sent = self.attempts.iter().map(|attempt_id| attempt_id.executor);
        let drawn = if self.wanted == Wanted::Probed { &self.drawn[..] } else { &[] };
        sent.chain(drawn.iter().copied())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/reclaim.rs"]
mod tests;
