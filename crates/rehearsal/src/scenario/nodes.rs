//! The nodes of a scenario: their resources, the limits of the four rules, and durable requests.
use serde::Deserialize;
use std::time::Duration;

/// The limits of the four rules, which nodes are configured with and the referee checks.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a node may still dispatch to an executor after the executor was listed as draining.
    #[serde(with = "humantime_serde")]
    pub drain_grace: Duration,
    /// Latest time after a change reached a node's discovery agent at which the node counts as notified.
    #[serde(rename = "told_at_latest", with = "humantime_serde")]
    pub notification_timeout: Duration,
    /// Maximum number of attempts of a request.
    #[serde(rename = "most_allocations")]
    pub max_attempts: u32,
    /// Tolerance added to each time limit for delays of the sockets.
    #[serde(with = "humantime_serde")]
    pub slack: Duration,
    /// Share of its capacity that an executor has at the beginning of its slow start, 0 to 1.
    #[serde(rename = "cold_share")]
    pub initial_capacity: f64,
    /// Duration of slow start, at the end of which an executor has its full capacity.
    #[serde(rename = "ramp", with = "humantime_serde")]
    pub ramp_duration: Duration,
    /// Work that an executor in slow start survives, as a multiple of what its current capacity performs during
    /// `budget_window`; more work makes it fail from overload.
    #[serde(rename = "fall_multiple")]
    pub budget_multiple: f64,
    /// Sliding window of the warm-up budget.
    #[serde(rename = "fall_window", with = "humantime_serde")]
    pub budget_window: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace: Duration::from_secs(2),
            notification_timeout: Duration::from_secs(6),
            max_attempts: 3,
            slack: Duration::from_millis(50),
            initial_capacity: 0.25,
            ramp_duration: Duration::from_secs(10),
            budget_multiple: 4.0,
            budget_window: Duration::from_millis(1500),
        }
    }
}

/// The nodes, all of them configured alike.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    /// Number of nodes.
    pub count: usize,
    /// Memory limit in the configuration of each node, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Limit of file descriptors in the configuration of each node.
    #[serde(rename = "descriptors", default = "default_descriptors")]
    pub max_file_descriptors: u64,
    /// How long a node waits for a connection to an executor.
    #[serde(rename = "connect_wait", default = "default_connect_wait", with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Price of a probe, in units of a request's value.
    #[serde(default)]
    pub probe_price: f64,
}

fn default_memory_mb() -> u64 {
    192
}

fn default_descriptors() -> u64 {
    1024
}

fn default_connect_wait() -> Duration {
    Duration::from_millis(250)
}

/// When a node's ledger writes its records to disk.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerSync {
    /// Once for all pending records.
    #[serde(rename = "together")]
    Batched,
    /// Once for each record.
    #[serde(rename = "each")]
    PerRecord,
}

/// The nodes' configuration for durable requests. Each node has a ledger of its own in the rehearsal's folder.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct DurableSpec {
    /// When the ledger writes to disk.
    pub sync: LedgerSync,
    /// The lease of a running attempt, renewed by each progress report; absent if executors report no progress.
    #[serde(rename = "lease", with = "humantime_serde")]
    pub lease_duration: Option<Duration>,
    /// Whether executors support fences.
    #[serde(rename = "fences")]
    pub has_fencing: bool,
    /// How long after its end a request can still be looked up by its idempotency key.
    #[serde(rename = "kept", with = "humantime_serde")]
    pub retention: Duration,
}

impl Default for DurableSpec {
    fn default() -> Self {
        DurableSpec {
            sync: LedgerSync::Batched,
            lease_duration: None,
            has_fencing: true,
            retention: Duration::from_secs(60),
        }
    }
}

/// The load balancer between clients and nodes.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct FrontSpec {
    /// How long the load balancer takes to remove a node that crashed.
    #[serde(rename = "notices_after", with = "humantime_serde")]
    pub detection_delay: Duration,
}

impl Default for FrontSpec {
    fn default() -> Self {
        FrontSpec { detection_delay: Duration::from_secs(2) }
    }
}
