//! Graceful shutdown: serves what was taken and what still arrives, closes idle connections, and ends once no
//! connection is left or the time is up.
use crate::config::limits::Limits;
use crate::downstream::{DownstreamServer, ListenerOrigin};
use crate::event::NodeEvent;
use crate::lifecycle::{Lifecycle, Shutdown};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// How often open connections are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// Consecutive counts without a connection after which the node is idle. A connection that was established just
/// before a count is accepted before the next one.
const IDLE_COUNTS: u32 = 2;

/// What a graceful shutdown acts on.
pub struct GracefulShutdown {
    /// Bound each phase.
    pub limits: Rc<Limits>,
    /// Holds the connections of clients.
    pub downstream: Rc<DownstreamServer>,
    /// Announces each phase.
    pub lifecycle: Rc<Lifecycle>,
    /// Reaches the driver.
    pub events: mpsc::Sender<NodeEvent>,
    /// The origin of the listening socket.
    pub listener_origin: ListenerOrigin,
}

impl GracefulShutdown {
    /// Runs all phases. Each phase ends early once the node is idle.
    pub async fn run(self) {
        let requested_at = Instant::now();
        let timeouts = self.limits.timeouts();
        self.stop_accepting(timeouts.close_idle_after, requested_at).await;
        self.lifecycle.update(|conditions| conditions.shutdown = Shutdown::Closing);
        self.wait_until_idle(requested_at, timeouts.cancel_after).await;
        if self.downstream.connection_count() > 0 {
            let _ = self.events.send(NodeEvent::CancelInFlight).await;
            self.wait_until_idle(requested_at, timeouts.answer_open_after).await;
        }
        let connections = self.downstream.connection_count();
        if connections > 0 {
            let _ = self.events.send(NodeEvent::ShutDown).await;
            self.wait_until_idle(requested_at, timeouts.answer_open_after + self.limits.last_write_timeout)
                .await;
        }
        tracing::info!(connections, "shutdown complete");
    }

    /// Leaves new connections to another process, or serves them until clients have noticed the shutdown.
    async fn stop_accepting(&self, linger: Duration, requested_at: Instant) {
        match self.listener_origin {
            ListenerOrigin::Inherited => {
                self.lifecycle.update(|conditions| conditions.shutdown = Shutdown::HandedOver);
                self.wait_until_idle(requested_at, linger).await;
            }
            ListenerOrigin::Bound => {
                self.lifecycle.update(|conditions| conditions.shutdown = Shutdown::Requested);
                let mut state = self.lifecycle.watch();
                let _ = timeout(linger, state.wait_for(|state| state.is_closing_idle())).await;
            }
        }
    }

    /// Waits until no connection is open, at the longest for `limit` after the shutdown was requested.
    async fn wait_until_idle(&self, requested_at: Instant, limit: Duration) {
        let mut idle_counts = 0;
        while idle_counts < IDLE_COUNTS && requested_at.elapsed() < limit {
            idle_counts = if self.downstream.connection_count() > 0 { 0 } else { idle_counts + 1 };
            sleep(COUNT_INTERVAL).await;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/shutdown.rs"]
mod tests;
