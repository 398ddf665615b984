//! Whether an executor may be sent requests. It closes some time after the executor began to drain.
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Open at first; once it is closed no byte of a request is sent to the executor any more.
#[derive(Default)]
pub(super) struct DispatchGate {
    closes_at: Cell<Option<Instant>>,
    changed: Notify,
}

impl DispatchGate {
    /// Opens it again, or cancels a close that is yet to come.
    pub fn reopen(&self) {
        self.set(None);
    }

    /// Closes it after `wait`, unless it is closed or closes already.
    pub fn close_after(&self, wait: Duration) {
        if self.closes_at.get().is_none() {
            self.set(Some(Instant::now() + wait));
        }
    }

    /// Closes it at once.
    pub fn close(&self) {
        self.set(Some(Instant::now()));
    }

    fn set(&self, closes_at: Option<Instant>) {
        self.closes_at.set(closes_at);
        self.changed.notify_waiters();
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.closes_at.get().is_some_and(|at| Instant::now() >= at)
    }

    /// Completes once it is closed.
    pub async fn closed(&self) {
        loop {
            let changed = self.changed.notified();
            let Some(at) = self.closes_at.get() else {
                changed.await;
                continue;
            };
            // The executor may become ready again during the wait, and drain once more: the latest change counts.
            tokio::select! {
                biased;
                () = changed => {}
                () = sleep_until(at) => return,
            }
        }
    }
}
