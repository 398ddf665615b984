//! Timeouts that are derived from the settings.
use super::LimitInputs;
use std::time::Duration;

/// Maximum time for which the longest request deadline delays a shutdown.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_secs(3);

/// Timeouts that are derived from the settings and change when the settings are reloaded.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// The longest deadline of any request class.
    pub max_deadline: Duration,
    /// Bounds the establishment of a connection.
    pub connect_timeout: Duration,
    /// Bounds a load probe.
    pub probe_timeout: Duration,
    /// Maximum idle time of a pooled connection that is reused.
    pub max_pooled_idle: Duration,
    /// How long attempts that were decided before an executor drained or disappeared are still sent to it.
    pub drained_dispatch_grace: Duration,
    /// Time from the shutdown signal until idle connections are closed.
    pub close_idle_after: Duration,
    /// Time from the shutdown signal until attempts in flight are cancelled.
    pub cancel_after: Duration,
    /// Time from the shutdown signal until open requests are answered.
    pub answer_open_after: Duration,
}

impl Timeouts {
    /// Derives the timeouts from the settings.
    pub fn new(inputs: &LimitInputs) -> Self {
        let millis = Duration::from_millis;
        let connect_timeout = inputs.connect_timeout.unwrap_or(Duration::from_secs(1));
        let executor_idle_timeout = inputs.executor_idle_timeout.unwrap_or(Duration::from_secs(1));
        let wait = inputs.max_deadline.min(MAX_SHUTDOWN_WAIT);
        // New connections may still arrive for 400 ms, and clients use their open connections for as long as an answer
        // can arrive. The three steps must complete before the node is killed.
        let close_idle_after = wait.max(millis(650)).min(wait + millis(300));
        Timeouts {
            max_deadline: inputs.max_deadline,
            connect_timeout,
            probe_timeout: connect_timeout,
            max_pooled_idle: executor_idle_timeout.mul_f64(0.7),
            drained_dispatch_grace: inputs.drain_grace.unwrap_or_default().mul_f64(0.5),
            close_idle_after,
            // The platform kills a node 700 ms after the longest deadline, which counts as 3 s at most.
            cancel_after: (wait + millis(200)).max(close_idle_after + millis(100)),
            answer_open_after: wait + millis(500),
        }
    }
}
