//! What the executors of a fleet have in common, and what a request to them says.
use crate::request_id::RequestId;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Requests of this class may run at most once.
pub const AT_MOST_ONCE: &str = "charge";
/// Requests of this class may run again.
pub const IDEMPOTENT: &str = "render";
/// Real nodes connect from here, hollow ones from any other loopback address.
pub const REAL_NODES_ADDRESS: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// What all executors of a fleet have in common.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutorTerms {
    pub seed: u64,
    pub slots: usize,
    pub queue_capacity: usize,
    /// Service times are drawn from an exponential distribution with this mean.
    pub mean_service: Duration,
    /// What discovery has to tell counts as told so long after it knew.
    pub told_at_latest: Duration,
    pub drain_grace: Duration,
    /// Each time limit is so much longer, for what the sockets take.
    pub slack: Duration,
    /// The share of its capacity that a cold executor has, and how long it takes until it has all of it.
    pub cold_share: f64,
    pub ramp: Duration,
    /// A cold executor stands so many times its capacity within a window.
    pub fall_multiple: f64,
    pub fall_window: Duration,
}

/// The result that an executor makes of a request, so that a client can tell that it is the right one.
pub fn result_of(id: RequestId) -> String {
    format!("result of {id}")
}
