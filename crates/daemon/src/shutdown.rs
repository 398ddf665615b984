//! Graceful shutdown: serves open requests and those that still arrive, closes idle connections, and completes once no
//! connection is open or the time limit is reached.
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

/// Number of consecutive counts without a connection after which the node is idle. Two are needed because a connection
/// that was established just before a count is accepted only before the next one.
const IDLE_COUNTS: u32 = 2;

/// The parts of the node that a graceful shutdown uses.
pub struct GracefulShutdown {
    /// The limits, which bound each phase.
    pub limits: Rc<Limits>,
    /// Serves the connections from clients.
    pub downstream: Rc<DownstreamServer>,
    /// The lifecycle, updated with each phase.
    pub lifecycle: Rc<Lifecycle>,
    /// The driver's queue.
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

    /// Hands new connections over to another process, or accepts them until clients have had time to detect the
    /// shutdown.
    async fn stop_accepting(&self, max_wait: Duration, requested_at: Instant) {
        match self.listener_origin {
            ListenerOrigin::Inherited => {
                self.lifecycle.update(|conditions| conditions.shutdown = Shutdown::HandedOver);
                self.wait_until_idle(requested_at, max_wait).await;
            }
            ListenerOrigin::Bound => {
                self.lifecycle.update(|conditions| conditions.shutdown = Shutdown::Requested);
                let mut state = self.lifecycle.watch();
                let _ = timeout(max_wait, state.wait_for(|state| state.is_closing_idle())).await;
            }
        }
    }

    /// Waits until no connection is open, but no longer than `limit` after the shutdown was requested.
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
