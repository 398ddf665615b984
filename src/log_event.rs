//! What the decision module reports for the log; hosts choose the wording.
use crate::time::Millis;
use std::fmt;

/// One entry for the log of a node. [`Display`](fmt::Display) gives one line of text, for hosts whose log is
/// plain text.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LogEvent {
    /// A call for the endpoint list failed, or a watch of it broke off.
    EndpointListLost {
        /// Consecutive failures, counted up to an upper bound.
        failures: u32,
        /// Time until the next call.
        next_call_in: Millis,
    },
    /// The endpoint list was received after failed calls.
    EndpointListRecovered {
        /// Consecutive failures before it, counted up to an upper bound.
        failures: u32,
    },
    /// Idle connections broke without notice; for a while only recently used ones are reused.
    IdleConnectionsLost {
        /// The longest idle time after which a connection is still reused.
        max_idle_time: Millis,
    },
    /// The number of executors sampled for a request changed.
    SampleSizeChanged {
        /// The sample size before.
        from: u32,
        /// The sample size from now on.
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
