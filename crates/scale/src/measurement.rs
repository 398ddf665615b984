//! The measurements of a run and their units.
use serde::{Deserialize, Serialize};
use std::fmt;

/// A measured quantity. Each has one unit; [`crate::bounds::Bounds::limit`] returns its bound, if it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measurement {
    /// Rule 1: requests without exactly one answer before their deadline.
    LateOrMissingAnswers,
    /// Rule 2: requests that had an effect twice.
    RepeatedEffects,
    /// Rule 3: dispatches to an executor later than the grace after the node was notified that it drains or is gone.
    SentAfterGrace,
    /// Rule 4: requests to an executor in slow start beyond its warm-up budget.
    #[serde(rename = "pushed-over")]
    SlowStartOverload,
    /// 99th percentile of the time from a change of the endpoint list until a node was notified of it.
    #[serde(rename = "told")]
    NotificationDelay,
    /// 90th percentile of the time from the start of a node to its first answer with status 200 on `/_health`.
    #[serde(rename = "ready-again")]
    StartupTime,
    /// CPU usage of a node as a share of one core.
    CpuShare,
    /// Peak resident memory of a node.
    Memory,
    /// Bytes per second that discovery sent to one node.
    ListBytes,
    /// Largest number of sockets that one node had open.
    OpenSockets,
    /// Requests that clients sent; the rules are evaluated on these.
    Requests,
    /// Requests that were completed.
    Completed,
    /// Median latency of completed requests.
    LatencyMedian,
    /// 99th percentile of the latency of completed requests.
    LatencyP99,
    /// Probes per second of one node.
    Probes,
    /// Dispatches per second of one node.
    #[serde(rename = "pushes")]
    Dispatches,
    /// List lines per second that one node received.
    ListUpdates,
    /// Number of hollow nodes of one [`crate::row::NodeKind`].
    #[serde(rename = "drivers")]
    HollowNodeCount,
    /// Requests that were answered more than once.
    #[serde(rename = "doubled-answers")]
    DuplicateAnswers,
    /// Resident memory of a node per listed executor.
    MemoryPerExecutor,
    /// CPU time of a node for a full endpoint list.
    #[serde(rename = "cpu-of-whole-list")]
    CpuPerFullList,
    /// CPU time of a node for one changed entry of the endpoint list.
    #[serde(rename = "cpu-of-change")]
    CpuPerListChange,
    /// CPU time of a node for a burst of executors that disappear and return.
    #[serde(rename = "cpu-of-burst")]
    CpuPerBurst,
    /// CPU time of a node per request, beyond its idle CPU time.
    CpuPerRequest,
    /// New connections to executors per request.
    ConnectionsPerRequest,
    /// Probes per request.
    ProbesPerRequest,
    /// Bytes per second that all real nodes together sent to executors.
    ExecutorBytes,
    /// CPU time of a node for one configuration reload.
    ConfigCpu,
    /// Rise of the peak memory of a node by one configuration reload.
    ConfigMemory,
    /// Time from the reload signal until the first request was sent whose class only the new settings contain and that
    /// the node did not refuse as one of an unknown class.
    ConfigDelay,
    /// Listed executors that a node does not retain in its registry.
    #[serde(rename = "left-out")]
    UnretainedExecutors,
    /// Distinct executors that received attempts.
    ReachedExecutors,
}

/// The unit of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// A number of items.
    Count,
    Milliseconds,
    /// A share of one core.
    Cores,
    Bytes,
    BytesPerSecond,
    PerSecond,
}

/// Writes the JSON name of a value, such as an enum variant.
pub(crate) fn write_json_name(value: &impl Serialize, f: &mut fmt::Formatter) -> fmt::Result {
    let json = serde_json::to_value(value).map_err(|_| fmt::Error)?;
    f.pad(json.as_str().unwrap_or(""))
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_json_name(self, f)
    }
}

impl Measurement {
    /// All measurements.
    pub const ALL: [Measurement; 32] = [
        Measurement::LateOrMissingAnswers,
        Measurement::RepeatedEffects,
        Measurement::SentAfterGrace,
        Measurement::SlowStartOverload,
        Measurement::NotificationDelay,
        Measurement::StartupTime,
        Measurement::CpuShare,
        Measurement::Memory,
        Measurement::ListBytes,
        Measurement::OpenSockets,
        Measurement::Requests,
        Measurement::Completed,
        Measurement::LatencyMedian,
        Measurement::LatencyP99,
        Measurement::Probes,
        Measurement::Dispatches,
        Measurement::ListUpdates,
        Measurement::HollowNodeCount,
        Measurement::DuplicateAnswers,
        Measurement::MemoryPerExecutor,
        Measurement::CpuPerFullList,
        Measurement::CpuPerListChange,
        Measurement::CpuPerBurst,
        Measurement::CpuPerRequest,
        Measurement::ConnectionsPerRequest,
        Measurement::ProbesPerRequest,
        Measurement::ExecutorBytes,
        Measurement::ConfigCpu,
        Measurement::ConfigMemory,
        Measurement::ConfigDelay,
        Measurement::UnretainedExecutors,
        Measurement::ReachedExecutors,
    ];

    /// Returns the unit of the measurement.
    pub fn unit(self) -> Unit {
        use Measurement::*;
        match self {
            LateOrMissingAnswers | RepeatedEffects | SentAfterGrace | SlowStartOverload => Unit::Count,
            OpenSockets | Requests | Completed | HollowNodeCount => Unit::Count,
            DuplicateAnswers | ConnectionsPerRequest | ProbesPerRequest => Unit::Count,
            UnretainedExecutors | ReachedExecutors => Unit::Count,
            NotificationDelay | StartupTime | LatencyMedian | LatencyP99 => Unit::Milliseconds,
            CpuPerFullList | CpuPerListChange | CpuPerBurst => Unit::Milliseconds,
            CpuPerRequest | ConfigCpu | ConfigDelay => Unit::Milliseconds,
            CpuShare => Unit::Cores,
            Memory | MemoryPerExecutor | ConfigMemory => Unit::Bytes,
            ListBytes | ExecutorBytes => Unit::BytesPerSecond,
            Probes | Dispatches | ListUpdates => Unit::PerSecond,
        }
    }

    /// Returns the rule whose violations the measurement counts, if it counts any.
    pub fn rule(self) -> Option<u8> {
        match self {
            Measurement::LateOrMissingAnswers | Measurement::DuplicateAnswers => Some(1),
            Measurement::RepeatedEffects => Some(2),
            Measurement::SentAfterGrace => Some(3),
            Measurement::SlowStartOverload => Some(4),
            _ => None,
        }
    }
}
