//! The faults of executors and the scheduled events of a scenario.
use super::{DiscoveryFault, one};
use serde::Deserialize;
use std::time::Duration;

/// The kinds of fault of an executor.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Requests take `factor` times as long.
    Slow,
    /// The executor neither works nor sends anything.
    Pause,
    /// The executor is cut off: open connections are silent, and new ones are not accepted.
    Silence,
    /// Other load takes the share `part` of the cores for the time `on` and none for the time `off`, alternately.
    #[serde(rename = "neighbour")]
    CpuContention,
    /// Requests of a class are accepted and never started.
    #[serde(rename = "swallow")]
    NeverStart,
    /// Attempts are answered with an error at once.
    Errors,
    /// Load reports show `factor` times the load.
    #[serde(rename = "wrong-readings")]
    WrongLoadReports,
    /// Load reports are late by the time `by`.
    #[serde(rename = "late-readings")]
    LateLoadReports,
    /// Connections of running attempts are reset, and their work is lost.
    Resets,
    /// Requests of a class take longer, by a factor from a Pareto distribution with the exponent `alpha`.
    HeavyTail,
}

/// A fault of executors for a period of the day. Its kind determines which of the optional keys are required.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When the fault begins, since the start of the day.
    #[serde(rename = "from", with = "humantime_serde")]
    pub begins_at: Duration,
    /// When the fault ends, since the start of the day.
    #[serde(rename = "to", with = "humantime_serde")]
    pub ends_at: Duration,
    /// Share of all executors, or of those in `group`, that have the fault, 0 to 1; at least one executor has it.
    #[serde(default = "one")]
    pub share: f64,
    /// The group of executors; all groups if absent.
    pub group: Option<String>,
    /// Factor of [`FaultKind::Slow`] and [`FaultKind::WrongLoadReports`].
    pub factor: Option<f64>,
    /// Share of the cores that [`FaultKind::CpuContention`] takes, 0 to 1.
    #[serde(rename = "part")]
    pub core_share: Option<f64>,
    /// How long [`FaultKind::CpuContention`] takes the cores.
    #[serde(rename = "on", default, with = "humantime_serde")]
    pub contended_time: Option<Duration>,
    /// How long [`FaultKind::CpuContention`] leaves the cores free.
    #[serde(rename = "off", default, with = "humantime_serde")]
    pub uncontended_time: Option<Duration>,
    /// The request class that the fault affects.
    #[serde(rename = "project_type")]
    pub request_class: Option<String>,
    /// Share of the attempts that the fault affects, 0 to 1.
    #[serde(rename = "of_work")]
    pub attempt_share: Option<f64>,
    /// Delay of [`FaultKind::LateLoadReports`].
    #[serde(rename = "by", default, with = "humantime_serde")]
    pub delay: Option<Duration>,
    /// Exponent of [`FaultKind::HeavyTail`].
    pub alpha: Option<f64>,
    /// Whether executors restart, with a slow start, at the end of [`FaultKind::Silence`].
    #[serde(rename = "cold")]
    pub restarts: Option<bool>,
}

/// The kinds of scheduled event.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// SIGKILL to a node, which restarts `back` later with its last endpoint list.
    KillNode,
    /// SIGKILL to one node at a time, at random intervals with the mean `every`; each node restarts `back` later.
    KillNodes,
    /// SIGTERM to a node, SIGKILL at the end of its termination grace, and a restart `back` later.
    RestartNode,
    /// A new configuration file and SIGHUP to every node: its discovery agent moves to another address.
    #[serde(rename = "reread-nodes")]
    ReloadNodes,
    /// The executors of a group are replaced one at a time, at intervals of `every`: each is listed as draining,
    /// its replacement joins with a slow start, and it leaves after the notification timeout and the drain grace.
    Deploy,
    /// An executor of a group crashes and, if `back` is given, restarts that much later with a slow start.
    KillExecutor,
    /// Discovery sends nothing for the time `lasts`.
    SilenceDiscovery,
    /// Discovery restarts and closes every watch of its list.
    RestartDiscovery,
    /// Healthy executors of a group are listed as failing and as passing in turn, once per `every`.
    FlapExecutors,
    /// Consul's agents have the fault `how` for the time `lasts`.
    #[serde(rename = "trouble-discovery")]
    FailDiscovery,
    /// Operators suspend executors of a group at every node and resume them after `lasts`.
    SuspendExecutors,
    /// Operators drain a node and activate it again after `lasts`.
    DrainNode,
    /// A hot restart: a node's next process starts with the same listening socket, and the previous one gets
    /// SIGTERM when the next is ready.
    #[serde(rename = "upgrade-node")]
    HotRestartNode,
    /// New settings and SIGHUP to every node: a request has at most `attempts` attempts from then on. If `broken`,
    /// the file contains this limit and lacks a required key.
    #[serde(rename = "retune-nodes")]
    ReconfigureNodes,
}

/// A scheduled event. Its kind determines which of the optional keys are required.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct EventSpec {
    /// The kind of event.
    #[serde(rename = "what")]
    pub kind: EventKind,
    /// When the event happens or begins, since the start of the day.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The index of a node, from 0.
    pub node: Option<usize>,
    /// A group of executors.
    pub group: Option<String>,
    /// Number of executors of the group.
    pub count: Option<usize>,
    /// Time from the end of a process until its restart.
    #[serde(rename = "back", default, with = "humantime_serde")]
    pub downtime: Option<Duration>,
    /// Time between two repetitions.
    #[serde(rename = "every", default, with = "humantime_serde")]
    pub interval: Option<Duration>,
    /// How long the event lasts.
    #[serde(rename = "lasts", default, with = "humantime_serde")]
    pub duration: Option<Duration>,
    /// The fault of [`EventKind::FailDiscovery`].
    #[serde(rename = "how")]
    pub discovery_fault: Option<DiscoveryFault>,
    /// The attempt limit of [`EventKind::ReconfigureNodes`].
    #[serde(rename = "attempts")]
    pub max_attempts: Option<u32>,
    /// Whether the settings of [`EventKind::ReconfigureNodes`] lack a required key.
    #[serde(rename = "broken")]
    pub is_broken: Option<bool>,
}
