//! Log entries of the dispatcher. Hosts may format them themselves.
use crate::time::Millis;
use std::fmt;

/// One entry for the log of a node. [`Display`](fmt::Display) formats it as one line, for hosts whose log is plain
/// text.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LogEvent {
    /// A call for the endpoint list failed, or a watch of it was interrupted.
    EndpointListLost {
        /// Number of consecutive failures, up to an upper bound.
        failures: u32,
        /// Time until the next call, in milliseconds.
        next_call_in: Millis,
    },
    /// The endpoint list was received after failed calls.
    EndpointListRecovered {
        /// Number of consecutive failures before it, up to an upper bound.
        failures: u32,
    },
    /// Idle connections broke unnoticed; for 30 s only recently used ones are reused.
    IdleConnectionsLost {
        /// Idle time up to which a connection is still reused, in milliseconds.
        max_idle_time: Millis,
    },
    /// The number of executors that are sampled for a request changed.
    SampleSizeChanged {
        /// Sample size before the change.
        from: u32,
        /// Sample size after the change.
        to: u32,
        /// Smoothed share of probe replies that showed a queue.
        busy_ratio: f64,
        /// Cost of a probe, in mean running times.
        probe_cost: f64,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointListLost { failures, next_call_in } => {
                write!(formatter, "endpoint list lost: failure {failures}, next call in {next_call_in:.0} ms")
            }
            LogEvent::EndpointListRecovered { failures } => {
                write!(formatter, "endpoint list received after {failures} failed calls")
            }
            LogEvent::IdleConnectionsLost { max_idle_time } => {
                write!(formatter, "idle connections were lost: no connection is used again that was idle ")?;
                write!(formatter, "for {max_idle_time} ms")
            }
            LogEvent::SampleSizeChanged { from, to, busy_ratio, probe_cost } => {
                write!(formatter, "sample size {from} to {to}: busy ratio {busy_ratio:.3}, ")?;
                write!(formatter, "probe cost {probe_cost:.4}")
            }
        }
    }
}
