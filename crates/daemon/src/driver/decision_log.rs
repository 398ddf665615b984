//! Writes the dispatcher's log events to the node's log, each as a constant message with its values as fields.
use troutknot::LogEvent;

/// Logs an event of the dispatcher.
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
