//! Configuration that all executors of a fleet share, and the constants that their clients need.
use crate::request_id::RequestId;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Request class whose requests may run at most once.
pub const AT_MOST_ONCE: &str = "charge";
/// Request class whose requests may be repeated.
pub const IDEMPOTENT: &str = "render";
/// Source address of real nodes; hollow nodes connect from other loopback addresses.
pub const REAL_NODES_ADDRESS: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// Configuration that all executors of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutorConfig {
    pub seed: u64,
    pub slots: usize,
    pub queue_capacity: usize,
    /// Mean of the exponential distribution that service times are drawn from.
    #[serde(rename = "mean_service")]
    pub mean_service_time: Duration,
    /// Time after which a node counts as notified of a change that discovery has found, whether or not it was sent.
    #[serde(rename = "told_at_latest")]
    pub max_notification_delay: Duration,
    pub drain_grace: Duration,
    /// Added to each time limit to allow for the delay of the sockets.
    pub slack: Duration,
    /// Share of its capacity that an executor has at its start; it reaches all of it after `ramp_duration`.
    #[serde(rename = "cold_share")]
    pub initial_capacity: f64,
    #[serde(rename = "ramp")]
    pub ramp_duration: Duration,
    /// An executor that warms up takes `budget_multiple` times its capacity of work within `budget_window`; beyond
    /// that it fails.
    #[serde(rename = "fall_multiple")]
    pub budget_multiple: f64,
    #[serde(rename = "fall_window")]
    pub budget_window: Duration,
}

/// Returns the result of a request; it contains the request id, so that a client detects the result of another
/// request.
pub fn result_of(id: RequestId) -> String {
    format!("result of {id}")
}
