//! A gate that decides whether an executor may be sent requests. It closes some time after the executor starts to
//! drain.
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
    /// Opens the gate again, or cancels a scheduled close.
    pub fn reopen(&self) {
        self.set(None);
    }

    /// Closes the gate after `delay`, unless it is closed or a close is scheduled.
    pub fn close_after(&self, delay: Duration) {
        if self.closes_at.get().is_none() {
            self.set(Some(Instant::now() + delay));
        }
    }

    /// Closes the gate immediately.
    pub fn close(&self) {
        self.set(Some(Instant::now()));
    }

    fn set(&self, closes_at: Option<Instant>) {
        self.closes_at.set(closes_at);
        self.changed.notify_waiters();
    }

    /// Whether the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.closes_at.get().is_some_and(|at| Instant::now() >= at)
    }

    /// Completes once the gate is closed.
    pub async fn closed(&self) {
        loop {
            let changed = self.changed.notified();
            let Some(at) = self.closes_at.get() else {
                changed.await;
                continue;
            };
            // The executor may become ready again and drain once more during the delay, so the latest change applies.
            tokio::select! {
                biased;
                () = changed => {}
                () = sleep_until(at) => return,
            }
        }
    }
}
