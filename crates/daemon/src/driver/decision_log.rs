//! Wording of the decision module's log entries: a constant message, with the figures as fields.
use troutknot::LogEvent;

/// Writes an entry of the decision module to the node's log.
pub(super) fn record(event: LogEvent) {
    match event {
        LogEvent::EndpointListLost { failures, next_call_in } => {
            tracing::info!(count = failures, next_call_ms = next_call_in.round(), "endpoint list lost");
        }
        LogEvent::EndpointListRecovered { failures } => {
            tracing::info!(count = failures, "endpoint list received after failed calls");
        }
        LogEvent::IdleConnectionsLost { max_idle_time } => {
            tracing::info!(max_idle_ms = max_idle_time, "idle connections were lost");
        }
        LogEvent::SampleSizeChanged { from, to, busy_ratio, probe_cost } => {
            tracing::info!(from, to, busy_ratio, probe_cost, "sample size changed");
        }
    }
}
