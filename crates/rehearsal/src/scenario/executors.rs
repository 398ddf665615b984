//! The executors of a scenario: groups of identical machines.
use super::one;
use serde::Deserialize;
use std::time::Duration;

/// The order in which an executor starts the attempts in its queue.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// In the order of arrival; the others wait until the first one fits.
    InOrder,
    /// The first one that fits.
    Backfill,
    /// The highest value first; equal values in the order of arrival.
    Priority,
}

/// The attempts that an executor cancels when their connection closes.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum CancelScope {
    /// None.
    Nothing,
    /// Those in its queue.
    Waiting,
    /// Those in its queue and those that run.
    Running,
}

/// A group of identical executors.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ExecutorGroup {
    /// The name that faults and events refer to.
    pub name: String,
    /// Number of executors at the start of the day.
    pub count: usize,
    /// Slots of each executor.
    pub slots: f64,
    /// Cores of each executor; equal to `slots` if absent.
    pub cores: Option<f64>,
    /// Speed of each core, relative to the core that service times are given for.
    #[serde(default = "one")]
    pub speed: f64,
    /// Memory of each executor; unlimited if absent.
    pub memory: Option<f64>,
    /// Maximum number of attempts in the queue of each executor.
    #[serde(rename = "waiting_room", default = "default_waiting_room")]
    pub queue_capacity: usize,
    /// The order of the queue.
    #[serde(rename = "order", default = "default_order")]
    pub queue_order: QueueOrder,
    /// The attempts that are cancelled when their connection closes.
    #[serde(rename = "cancels", default = "default_cancels")]
    pub cancel_scope: CancelScope,
    /// Interval at which running attempts write a checkpoint; they write none if absent.
    #[serde(rename = "checkpoint_every", default, with = "humantime_serde")]
    pub checkpoint_interval: Option<Duration>,
    /// Whether a draining executor returns the attempts in its queue.
    #[serde(rename = "drain_returns", default)]
    pub returns_queue_on_drain: bool,
    /// Work that each probe costs.
    #[serde(default, with = "humantime_serde")]
    pub probe_work: Duration,
    /// Work that each new connection costs.
    #[serde(default, with = "humantime_serde")]
    pub handshake_work: Duration,
    /// Maximum number of open connections of each executor.
    #[serde(rename = "connections", default = "default_connections")]
    pub max_connections: usize,
    /// Whether the executors are in slow start when the day begins.
    #[serde(rename = "cold", default)]
    pub slow_start: bool,
    /// The machine type that discovery lists.
    #[serde(rename = "kind", default)]
    pub machine_type: String,
    /// The timing and accuracy of load reports.
    #[serde(rename = "readings", default)]
    pub load_reports: LoadReportSpec,
    /// Interval of progress reports; none are sent if absent.
    #[serde(rename = "progress_every", default, with = "humantime_serde")]
    pub progress_interval: Option<Duration>,
}

fn default_waiting_room() -> usize {
    32
}

fn default_order() -> QueueOrder {
    QueueOrder::InOrder
}

fn default_cancels() -> CancelScope {
    CancelScope::Waiting
}

fn default_connections() -> usize {
    4096
}

/// The timing and accuracy of an executor's load reports.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct LoadReportSpec {
    /// Interval at which the load is measured.
    #[serde(rename = "refresh", with = "humantime_serde")]
    pub interval: Duration,
    /// Age of a measurement when it is first reported.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Upper bound of the random time added to `delay` for each report.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// Standard deviation of the measurement error, relative to the measured value.
    pub noise: f64,
}

impl Default for LoadReportSpec {
    fn default() -> Self {
        LoadReportSpec {
            interval: Duration::from_millis(20),
            delay: Duration::from_millis(5),
            jitter: Duration::from_millis(5),
            noise: 0.02,
        }
    }
}
