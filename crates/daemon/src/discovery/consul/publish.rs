//! Sends changes of the catalog to the driver, reports the status of the watches, and runs the catalog's timers.
use super::entry::to_entry;
use super::{MILLIS_PER_SECOND, WatcherState};
use crate::discovery::EndpointUpdate;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use troutknot::Millis;
use troutknot_consul::catalog::CatalogEvent;

/// Interval at which the status is refreshed and failing queries are logged if there is no other event.
const STATUS_INTERVAL: Duration = Duration::from_secs(60);

impl WatcherState {
    /// Sends changes of the catalog to the driver.
    pub(super) async fn publish(&self) {
        let (changes, events) = self.catalog.borrow_mut().take_changes(self.clock.now());
        events.iter().for_each(|event| self.log_event(event));
        tracing::debug!(count = changes.len(), "consul changes sent");
        let has_answer = self.watches.borrow().iter().any(|watch| watch.last_answer_at.get().is_some());
        // An update without changes confirms that the list is up to date.
        if has_answer || !changes.is_empty() {
            let entries = changes.into_iter().map(to_entry).collect();
            self.updates.send(EndpointUpdate::delta(entries)).await;
        }
        self.refresh_status();
        self.timer_changed.notify_one();
    }

    fn log_event(&self, event: &CatalogEvent) {
        match event {
            CatalogEvent::RetentionStarted { retained: missing, listed: count } => {
                tracing::warn!(missing, count, "too many executors missing in consul, they stay listed");
            }
            CatalogEvent::RetentionEnded => tracing::info!("no executor missing in consul stays listed"),
            CatalogEvent::Suppressed { id: executor, penalty, until } => {
                let duration_ms = (until - self.clock.now()).round();
                tracing::info!(%executor, penalty, duration_ms, "executor suppressed by flap damping");
            }
            CatalogEvent::Reused { id: executor } => {
                tracing::info!(%executor, "executor no longer suppressed by flap damping");
            }
            CatalogEvent::Dropped { count } => {
                tracing::warn!(count, "too many executors in consul, some are not retained");
            }
        }
    }

    /// Updates the status text that a health check of the node returns.
    pub(super) fn refresh_status(&self) {
        let now = self.clock.now();
        let (watches, catalog) = (self.watches.borrow(), self.catalog.borrow());
        let (listed, missing) = (catalog.listed_count(), catalog.retained_count());
        let mut status = format!("list from consul: {listed} listed, {missing} kept though missing\n");
        for watch in watches.iter() {
            let state = if watch.is_failing.get() { "failing" } else { "followed" };
            let answered = match watch.last_answer_at.get() {
                Some(at) => format!("answered {:.1} s ago", (now - at) / MILLIS_PER_SECOND),
                None => "never answered".into(),
            };
            let _ = writeln!(status, "service {}: {state}, {answered}", watch.watched.service);
        }
        *self.status.borrow_mut() = status;
    }

    /// Waits for timers of the catalog and handles them.
    pub(super) async fn run_timers(self: Rc<Self>) {
        loop {
            let due_at = self.catalog.borrow().next_timer();
            let wait = due_at.map_or(STATUS_INTERVAL, |at| self.time_until(at));
            tokio::select! {
                () = sleep(wait) => self.handle_timer(due_at).await,
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// The time until a timer, limited to the status interval.
    fn time_until(&self, at: Millis) -> Duration {
        let seconds = (at - self.clock.now()) / MILLIS_PER_SECOND;
        Duration::from_secs_f64(seconds.clamp(0.0, STATUS_INTERVAL.as_secs_f64()))
    }

    async fn handle_timer(&self, due_at: Option<Millis>) {
        self.refresh_status();
        if due_at.is_some_and(|at| at <= self.clock.now()) {
            self.publish().await;
        } else if self.watches.borrow().iter().any(|watch| watch.is_failing.get()) {
            let status = self.status.borrow().trim().replace('\n', ", ");
            tracing::warn!(%status, "consul queries still failing");
        }
    }
}
