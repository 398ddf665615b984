//! The requests of a scenario: request classes, tenants, the load curve and the behavior of clients.
use super::one;
use serde::Deserialize;
use std::time::Duration;

/// What a second execution of the same request does.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Nothing: the request may run any number of times.
    #[serde(rename = "rerunnable")]
    Idempotent,
    /// Nothing within the deduplication window, in which executors recognize repeated requests.
    #[serde(rename = "receipted")]
    Deduplicated,
    /// Damage: the request must not run more than once.
    #[serde(rename = "exclusive")]
    AtMostOnce,
}

/// The executors that recognize each other's requests as repeated.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All executors.
    All,
    /// The executors of one zone.
    #[serde(rename = "place")]
    Zone,
    /// The executors of one group.
    Group,
}

/// A request class, with the resources that its requests need and its service objectives.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The name, made of letters, digits and `-`.
    pub name: String,
    /// What a second execution does.
    pub effect: Effect,
    /// Weight among all requests, relative to the other classes.
    pub share: f64,
    /// Mean service time on one core of speed 1; the distribution is log-normal.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Standard deviation of the logarithm of the service time.
    #[serde(rename = "spread", default = "default_spread")]
    pub work_sigma: f64,
    /// Slots that a request occupies at an executor.
    #[serde(default = "one")]
    pub slots: f64,
    /// Memory that a request occupies at an executor.
    #[serde(default)]
    pub memory: f64,
    /// Time within which a response counts for the service level.
    #[serde(rename = "promised_turnaround", with = "humantime_serde")]
    pub latency_objective: Duration,
    /// Time after which the client no longer waits for a response.
    #[serde(rename = "hard_limit", with = "humantime_serde")]
    pub deadline: Duration,
    /// Value of a request that meets its latency objective.
    #[serde(rename = "credit", default = "one")]
    pub value: f64,
    /// How long executors recognize a repeated request; for [`Effect::Deduplicated`].
    #[serde(rename = "window", default, with = "humantime_serde")]
    pub deduplication_window: Duration,
    /// The executors that recognize a repeated request; for [`Effect::Deduplicated`].
    #[serde(rename = "repeat_scope", default = "default_repeat_scope")]
    pub deduplication_scope: DeduplicationScope,
}

fn default_spread() -> f64 {
    0.5
}

fn default_repeat_scope() -> DeduplicationScope {
    DeduplicationScope::All
}

/// A tenant that requests belong to.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name in the nodes' settings and in the requests' `tenant` header.
    pub name: String,
    /// Weight among all requests, relative to the other tenants.
    pub share: f64,
}

/// A point of the load curve.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct LoadPoint {
    /// Time since the start of the day.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The load at that time, as a multiple of [`Traffic::load`].
    #[serde(rename = "times")]
    pub factor: f64,
}

/// The load over the day.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requested work, as a share of the capacity of the initial executors.
    pub load: f64,
    /// The load curve, linear between its points; constant if empty.
    #[serde(rename = "shape", default)]
    pub curve: Vec<LoadPoint>,
}

/// The behavior of clients.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSpec {
    /// Maximum number of retries of a request.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Delay before the first retry, doubled for each further one. A longer `Retry-After` of the response takes
    /// precedence.
    #[serde(rename = "retry_wait", with = "humantime_serde")]
    pub retry_delay: Duration,
    /// Share of requests whose client disconnects before the latency objective, 0 to 1.
    #[serde(rename = "leave")]
    pub disconnect_share: f64,
    /// Maximum number of requests in flight of all clients, each on a connection of its own.
    #[serde(rename = "connections")]
    pub max_connections: usize,
}

impl Default for ClientSpec {
    fn default() -> Self {
        ClientSpec {
            max_retries: 2,
            retry_delay: Duration::from_millis(50),
            disconnect_share: 0.0,
            max_connections: 4096,
        }
    }
}
