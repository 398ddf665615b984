//! The section `[lists.consul]` of the operator's file, which configures the watches of Consul services.
use crate::config::validation::Validator;
use crate::units::{to_duration, to_millis};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use troutknot_consul::catalog::{CatalogPolicy, Damping, RemovalLimit};
use troutknot_consul::query::{Consistency, QueryTiming, WatchedService};

const MAX_AGENTS: usize = 16;
const MAX_SERVICES: usize = 64;
const ONE_DAY: Duration = Duration::from_secs(86_400);

/// Configuration of the watches of Consul.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConsulConfig {
    /// Addresses of the agents; after a failed query the next agent is queried.
    pub agents: Vec<SocketAddr>,
    /// Path of the file with the ACL token, which is read at start and on reload.
    pub token_file: Option<PathBuf>,
    /// The services to watch. If several list an executor, the entry of the first one is used.
    pub services: Vec<ServiceConfig>,
    /// The consistency mode of the queries.
    #[serde(default)]
    pub consistency: ConsistencyMode,
    /// How long an agent blocks a query if nothing changes.
    #[serde(rename = "wait", default = "default_query_wait", with = "humantime_serde")]
    pub query_wait: Duration,
    /// Maximum backoff between failing queries.
    #[serde(rename = "longest_retry", default = "default_max_backoff", with = "humantime_serde")]
    pub max_backoff: Duration,
    /// Maximum age of a stale answer.
    #[serde(rename = "oldest_view", default = "default_max_staleness", with = "humantime_serde")]
    pub max_staleness: Duration,
    /// Bounds on the executors that may disappear at once.
    #[serde(default)]
    pub panic: PanicConfig,
    /// Flap damping of executors.
    #[serde(default)]
    pub damping: DampingConfig,
}

fn default_query_wait() -> Duration {
    Duration::from_secs(10)
}

fn default_max_backoff() -> Duration {
    Duration::from_secs(10)
}

fn default_max_staleness() -> Duration {
    Duration::from_secs(10)
}

/// Consul's consistency mode of a query.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Default)]
#[serde(rename_all = "kebab-case")]
pub enum ConsistencyMode {
    /// The leader answers without confirming its leadership.
    #[default]
    Default,
    /// Any server answers.
    Stale,
    /// The leader confirms its leadership before it answers.
    Consistent,
}

/// A service to watch.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The service's name in the catalog.
    pub name: String,
    /// The datacenter; the agent's own if absent.
    pub datacenter: Option<String>,
    /// The namespace, for Consul Enterprise.
    pub namespace: Option<String>,
    /// A filter expression of the health API.
    pub filter: Option<String>,
}

/// Bounds the share of executors that may disappear from the answers at once.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PanicConfig {
    /// The fraction of executors, from 0 to 1, that may disappear within the window.
    #[serde(rename = "share")]
    pub max_missing_share: f64,
    /// The window.
    #[serde(rename = "span", with = "humantime_serde")]
    pub window: Duration,
    /// An executor that has been missing for this long is removed regardless of the bound.
    #[serde(rename = "believed_after", with = "humantime_serde")]
    pub max_missing_time: Duration,
}

impl Default for PanicConfig {
    fn default() -> Self {
        let limit = CatalogPolicy::default().removal_limit;
        PanicConfig {
            max_missing_share: limit.max_share,
            window: to_duration(limit.window),
            max_missing_time: to_duration(limit.max_missing_time),
        }
    }
}

/// Flap damping: an executor that fails and recovers repeatedly is suppressed for a while.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DampingConfig {
    /// Whether damping is enabled.
    #[serde(rename = "on")]
    pub is_enabled: bool,
    /// Half-life of the penalty, which grows by 1 with each failure.
    #[serde(with = "humantime_serde")]
    pub half_life: Duration,
    /// An executor is suppressed when its penalty exceeds this value.
    #[serde(rename = "cutoff")]
    pub suppress_threshold: f64,
    /// A suppressed executor is listed again once its penalty is below this value.
    #[serde(rename = "reuse")]
    pub reuse_threshold: f64,
    /// Maximum time for which an executor is suppressed.
    #[serde(rename = "longest", with = "humantime_serde")]
    pub max_suppress_time: Duration,
}

impl Default for DampingConfig {
    fn default() -> Self {
        let damping = CatalogPolicy::default().damping.expect("damping is enabled by default");
        DampingConfig {
            is_enabled: true,
            half_life: to_duration(damping.half_life),
            suppress_threshold: damping.suppress_threshold,
            reuse_threshold: damping.reuse_threshold,
            max_suppress_time: to_duration(damping.max_suppress_time),
        }
    }
}

impl ConsulConfig {
    /// The watches, in order of precedence.
    pub fn watches(&self) -> Vec<WatchedService> {
        let consistency = match self.consistency {
            ConsistencyMode::Default => Consistency::Default,
            ConsistencyMode::Stale => Consistency::Stale,
            ConsistencyMode::Consistent => Consistency::Consistent,
        };
        let watch_of = |service: &ServiceConfig| WatchedService {
            service: service.name.clone(),
            datacenter: service.datacenter.clone(),
            namespace: service.namespace.clone(),
            filter: service.filter.clone(),
            consistency,
        };
        self.services.iter().map(watch_of).collect()
    }

    /// The timing of the blocking queries.
    pub fn query_timing(&self) -> QueryTiming {
        QueryTiming {
            wait: to_millis(self.query_wait),
            max_backoff: to_millis(self.max_backoff),
            max_staleness: to_millis(self.max_staleness),
            ..QueryTiming::default()
        }
    }

    /// The policy of the catalog, which holds at most `max_executors` executors.
    pub fn catalog_policy(&self, max_executors: usize) -> CatalogPolicy {
        let damping = Damping {
            half_life: to_millis(self.damping.half_life),
            suppress_threshold: self.damping.suppress_threshold,
            reuse_threshold: self.damping.reuse_threshold,
            max_suppress_time: to_millis(self.damping.max_suppress_time),
        };
        let removal_limit = RemovalLimit {
            max_share: self.panic.max_missing_share,
            window: to_millis(self.panic.window),
            max_missing_time: to_millis(self.panic.max_missing_time),
        };
        CatalogPolicy {
            damping: self.damping.is_enabled.then_some(damping),
            removal_limit,
            max_executors,
            ..CatalogPolicy::default()
        }
    }

    /// Checks all values.
    pub(super) fn validate(&self, validator: &mut Validator) {
        let (millis, secs) = (Duration::from_millis, Duration::from_secs);
        validator.check_count("lists.consul.agents", self.agents.len(), 1..=MAX_AGENTS, "addresses");
        validator.check_count("lists.consul.services", self.services.len(), 1..=MAX_SERVICES, "services");
        validator.check_rule(
            "lists.consul.services",
            self.services.iter().all(|service| !service.name.is_empty()),
            "has a service with an empty name",
        );
        validator.check_duration("lists.consul.wait", self.query_wait, millis(100)..=secs(600));
        validator.check_duration("lists.consul.longest_retry", self.max_backoff, millis(250)..=secs(600));
        validator.check_duration("lists.consul.oldest_view", self.max_staleness, millis(100)..=ONE_DAY);
        validator.check_number("lists.consul.panic.share", self.panic.max_missing_share, 0.0..=1.0);
        validator.check_duration("lists.consul.panic.span", self.panic.window, millis(100)..=ONE_DAY);
        let DampingConfig { half_life, suppress_threshold, reuse_threshold, .. } = self.damping;
        validator.check_duration("lists.consul.damping.half_life", half_life, millis(100)..=ONE_DAY);
        let is_ordered =
            reuse_threshold > 0.0 && suppress_threshold >= reuse_threshold && suppress_threshold <= 100.0;
        validator.check_rule("lists.consul.damping", is_ordered, "needs 0 < `reuse` <= `cutoff` <= 100");
    }
}
