//! What a run measures, and the units of it.
use serde::{Deserialize, Serialize};
use std::fmt;

/// What is measured. Each has one unit, and [`crate::bounds::Bounds::limit`] says whether it has a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measurement {
    /// Rule 1: requests without exactly one answer before their deadline.
    LateOrMissingAnswers,
    /// Rule 2: requests that had an effect twice.
    RepeatedEffects,
    /// Rule 3: pushes to an executor past the grace after the node was told that it drains or is gone.
    SentAfterGrace,
    /// Rule 4: cold executors that were sent more than they can take.
    #[serde(rename = "pushed-over")]
    SlowStartOverload,
    /// From a change of the list to the node's having been told, the 99th percentile.
    #[serde(rename = "told")]
    NotificationDelay,
    /// From a node's start to its first answer on `/_health` with 200, nine in ten.
    #[serde(rename = "ready-again")]
    StartupTime,
    /// Of one core.
    CpuShare,
    /// The most that was resident.
    Memory,
    /// That discovery sent to one node in a second.
    ListBytes,
    /// Open sockets of one node, at most.
    OpenSockets,
    /// Requests that clients sent; the rules were judged by these.
    Requests,
    Completed,
    LatencyMedian,
    LatencyP99,
    /// Sent in a second by one node.
    Probes,
    #[serde(rename = "pushes")]
    Dispatches,
    /// List lines that one node was told in a second.
    ListUpdates,
    /// Hollow nodes that are driven in this way (see [`crate::row::NodeKind`]).
    #[serde(rename = "drivers")]
    HollowNodeCount,
    /// Requests that were answered more than once.
    #[serde(rename = "doubled-answers")]
    DuplicateAnswers,
    /// Resident memory that each listed executor adds.
    MemoryPerExecutor,
    /// Processor time that a node needs for a whole list, for one changed entry, for a burst out and back.
    #[serde(rename = "cpu-of-whole-list")]
    CpuPerFullList,
    #[serde(rename = "cpu-of-change")]
    CpuPerListChange,
    #[serde(rename = "cpu-of-burst")]
    CpuPerBurst,
    /// Beside the idle node's, for each request.
    CpuPerRequest,
    ConnectionsPerRequest,
    ProbesPerRequest,
    /// That all real nodes together sent to executors in a second.
    ExecutorBytes,
    /// Of one change of the configuration: processor time, growth of the peak memory, and the time from the signal
    /// to the first request that was taken by the new settings.
    ConfigCpu,
    ConfigMemory,
    ConfigDelay,
    /// Executors that a node reports it left out of its registry.
    #[serde(rename = "left-out")]
    UnretainedExecutors,
    /// Distinct executors that were sent something.
    ReachedExecutors,
}

/// The unit of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    Count,
    Milliseconds,
    /// A share of one core.
    Cores,
    Bytes,
    BytesPerSecond,
    PerSecond,
}

/// Writes the name that a value has in JSON.
pub(crate) fn write_name(value: &impl Serialize, f: &mut fmt::Formatter) -> fmt::Result {
    let json = serde_json::to_value(value).map_err(|_| fmt::Error)?;
    f.pad(json.as_str().unwrap_or(""))
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_name(self, f)
    }
}

impl Measurement {
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

    /// The rule whose breaches it counts.
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
