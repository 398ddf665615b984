//! The settings of a node, deserialized from the platform's configuration.
//!
//! Where a key of the configuration differs from the field name, `serde(rename)` contains it. Unknown keys are
//! ignored, and missing keys have the value of [`Default`]. Durations are microseconds in the configuration and
//! [`Millis`] here.
use crate::ids::{MachineTypeId, RequestClassId, ZoneId};
use crate::time::Millis;
use serde::{Deserialize, Deserializer};

const MICROS_PER_MILLI: f64 = 1000.0;
/// Poll interval of the endpoint list if the settings do not contain one, in milliseconds.
const DEFAULT_POLL_INTERVAL: Millis = 10_000.0;

/// All settings of one node.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Number of nodes that share the load, at least 1; 1 by default.
    #[serde(rename = "balancers")]
    pub nodes: f64,
    /// This node's number among the nodes, from 0; `None` if it has none.
    #[serde(rename = "me")]
    pub node: Option<f64>,
    /// Number of this node's zone; `None` if it is not stated.
    pub zone: Option<f64>,
    /// Request classes by their ids.
    #[serde(rename = "project_types")]
    pub classes: Vec<ClassSettings>,
    /// Tenants by their ids. The list of quotas ends at the first tenant without a quota.
    #[serde(rename = "customers")]
    pub tenants: Vec<TenantSettings>,
    /// Part of its value that a request over its tenant's quota retains, 0 to 1; 1 by default.
    #[serde(rename = "overage_credit")]
    pub over_quota_value: f64,
    /// How the node receives the endpoint list.
    #[serde(rename = "registry_mode")]
    pub discovery_mode: DiscoveryMode,
    /// Meaning of the weights of endpoints.
    pub weight_source: WeightSource,
    /// Parameters of draining and slow start.
    #[serde(rename = "contract")]
    pub rules: RuleSettings,
    /// Permissions and limits of the node.
    pub limits: LimitSettings,
    /// Prices of actions, relative to the value of a request.
    #[serde(rename = "tariffs")]
    pub prices: PriceSettings,
    /// Properties of all executors.
    #[serde(rename = "family_info")]
    pub executors: ExecutorSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            nodes: 1.0,
            node: None,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_value: 1.0,
            discovery_mode: DiscoveryMode::default(),
            weight_source: WeightSource::default(),
            rules: RuleSettings::default(),
            limits: LimitSettings::default(),
            prices: PriceSettings::default(),
            executors: ExecutorSettings::default(),
        }
    }
}

impl Settings {
    /// Zone that is preferred for dispatches; `None` if dispatches across zones have no price.
    pub fn preferred_zone(&self) -> Option<ZoneId> {
        (self.prices.cross_zone > 0.0).then_some(ZoneId(self.zone.unwrap_or(0.0) as u32))
    }

    /// Upper bound on the number of attempts of a request of this class.
    pub fn max_attempts(&self, class: &ClassSettings) -> usize {
        class.max_attempts.or(self.limits.max_attempts).unwrap_or(1.0) as usize
    }

    /// Returns the quotas of the tenants in requests per second, up to the first tenant without one.
    pub fn quotas(&self) -> impl Iterator<Item = f64> {
        self.tenants.iter().map_while(|tenant| tenant.quota_per_s)
    }
}

/// The terms of one request class.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct ClassSettings {
    /// Effect of running a request twice.
    pub effect: Effect,
    /// Executors that recognize a repeat of a deduplicated request.
    #[serde(rename = "key_scope")]
    pub deduplication_scope: DeduplicationScope,
    /// Time for which these executors recognize the repeat.
    #[serde(rename = "window", deserialize_with = "millis")]
    pub deduplication_window: Millis,
    /// Time from its arrival within which a request should be answered.
    #[serde(rename = "promised_turnaround", deserialize_with = "optional_millis")]
    pub latency_objective: Option<Millis>,
    /// Time from its arrival within which a request must be answered. The list of classes ends at the first class
    /// without a deadline.
    #[serde(rename = "hard_limit", deserialize_with = "optional_millis")]
    pub deadline: Option<Millis>,
    /// Value of an answer within the latency objective.
    #[serde(rename = "credit")]
    pub value: f64,
    /// Value of a late answer. No decision depends on it.
    #[serde(rename = "tardy_credit")]
    pub late_value: f64,
    /// Growth of the latency objective with the running time of a request: `stretch - 1` times the running time is
    /// added if that is positive.
    #[serde(skip)]
    pub stretch: f64,
    /// Only machine type that can run its requests; `None` if all can.
    #[serde(skip)]
    pub machine_type: Option<MachineTypeId>,
    /// Upper bound on the number of attempts of a request; [`LimitSettings::max_attempts`] by default.
    #[serde(skip)]
    pub max_attempts: Option<f64>,
    /// Earlier class of the same name, from which this class inherits the observed running times.
    #[serde(skip)]
    pub inherits_from: Option<RequestClassId>,
}

/// The effect of running a request twice. An unknown value is read as the strictest effect.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum Effect {
    /// The same as running it once; it may be retried.
    Idempotent,
    /// Executors drop repeats within a scope and a time window; within both it may be retried.
    Deduplicated,
    /// It takes effect twice; it may be retried only if it certainly did not run.
    #[default]
    AtMostOnce,
}

impl From<String> for Effect {
    fn from(word: String) -> Self {
        match word.as_str() {
            "safe" => Effect::Idempotent,
            "keyed" => Effect::Deduplicated,
            _ => Effect::AtMostOnce,
        }
    }
}

/// The executors that recognize a repeat of a deduplicated request. An unknown value is read as the strictest scope.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum DeduplicationScope {
    /// All executors.
    All,
    /// The executors of one zone.
    Zone,
    /// The executors of one deduplication group.
    #[default]
    Group,
}

impl From<String> for DeduplicationScope {
    fn from(word: String) -> Self {
        match word.as_str() {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Group,
        }
    }
}

/// The terms of one tenant.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct TenantSettings {
    /// Quota in requests per second over all nodes; `None` for no quota.
    pub quota_per_s: Option<f64>,
}

/// How a node receives the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum DiscoveryMode {
    /// It watches the list, and calls again if a watch is interrupted.
    Subscribe,
    /// The source pushes the list without a call.
    Push,
    /// No mode or an unknown one. The node calls only after a watch was interrupted.
    #[default]
    Unstated,
}

impl From<String> for DiscoveryMode {
    fn from(word: String) -> Self {
        match word.as_str() {
            "subscribe" => DiscoveryMode::Subscribe,
            "automatic" => DiscoveryMode::Push,
            _ => DiscoveryMode::Unstated,
        }
    }
}

/// The meaning of the weights of endpoints.
#[derive(Clone, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum WeightSource {
    /// Weights are ignored.
    #[default]
    Unstated,
    /// Weights are free capacities, which fall with load.
    Live,
    /// An unknown value, which hosts may reject.
    Unknown(String),
}

impl From<String> for WeightSource {
    fn from(word: String) -> Self {
        match word.as_str() {
            "" | "silent" | "none" | "nominal" | "rough" => WeightSource::Unstated,
            "live" => WeightSource::Live,
            _ => WeightSource::Unknown(word),
        }
    }
}

/// Parameters of draining and slow start.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(default)]
pub struct RuleSettings {
    /// Time within which a node that did not receive the endpoint list has to call again.
    #[serde(rename = "ask_every", deserialize_with = "optional_millis")]
    pub poll_interval: Option<Millis>,
    /// Time for which a node may still dispatch to an executor after the list marks it as draining.
    #[serde(deserialize_with = "optional_millis")]
    pub drain_grace: Option<Millis>,
    /// Part of its full capacity that an executor has at its start, 0 to 1.
    #[serde(rename = "cold_share")]
    pub initial_capacity: f64,
    /// Time from the start of an executor to its full capacity.
    #[serde(rename = "ramp_time", deserialize_with = "millis")]
    pub ramp_duration: Millis,
    /// Length of the sliding window over which dispatches to an executor in slow start are counted.
    #[serde(rename = "fall", deserialize_with = "millis")]
    pub budget_window: Millis,
    /// Work that an executor may receive within the window, as a multiple of its capacity at the start of the window.
    #[serde(rename = "fall_multiple")]
    pub budget_multiple: f64,
}

impl RuleSettings {
    /// Returns the poll interval of the endpoint list, 10 s if the settings do not contain one.
    pub fn poll_interval(&self) -> Millis {
        self.poll_interval.unwrap_or(DEFAULT_POLL_INTERVAL)
    }
}

impl Default for RuleSettings {
    fn default() -> Self {
        RuleSettings {
            poll_interval: None,
            drain_grace: None,
            initial_capacity: 1.0,
            ramp_duration: 0.0,
            budget_window: 0.0,
            budget_multiple: 1.0,
        }
    }
}

/// Permissions and limits of a node.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Upper bound on the number of attempts of a request; 1 by default.
    #[serde(rename = "max_allocations")]
    pub max_attempts: Option<f64>,
    /// Whether executors may be probed; true by default.
    #[serde(rename = "probes")]
    pub probes_enabled: bool,
    /// Whether attempts in flight may be cancelled. Hosts apply it; no rule of the dispatcher does.
    #[serde(rename = "cancel")]
    pub cancel_enabled: bool,
    /// Whether a second attempt may be in flight while the first has not started.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Whether nodes may send gossip to each other.
    #[serde(rename = "peers")]
    pub gossip_enabled: bool,
    /// Whether a rejection states when to retry.
    #[serde(rename = "retry_after")]
    pub retry_after_enabled: bool,
    /// Upper bound on the `Retry-After` of a rejection; unbounded by default. Hosts apply it.
    #[serde(rename = "max_retry_after", deserialize_with = "optional_millis")]
    pub max_retry_after: Option<Millis>,
    /// Time within which a connection to an executor must be established.
    #[serde(deserialize_with = "optional_millis")]
    pub connect_timeout: Option<Millis>,
    /// Time for which an executor keeps an idle connection open.
    #[serde(rename = "conn_idle", deserialize_with = "optional_millis")]
    pub idle_timeout: Option<Millis>,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            max_attempts: None,
            probes_enabled: true,
            cancel_enabled: false,
            hedging_enabled: false,
            gossip_enabled: false,
            retry_after_enabled: false,
            max_retry_after: None,
            connect_timeout: None,
            idle_timeout: None,
        }
    }
}

/// Prices of actions, relative to the value of a request.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct PriceSettings {
    /// Price of a dispatch to another zone.
    pub cross_zone: f64,
    /// Price of a probe.
    pub probe: f64,
}

/// Properties of all executors.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct ExecutorSettings {
    /// Whether executors report when an attempt starts to run.
    #[serde(rename = "tells_start")]
    pub reports_start: bool,
    /// [`ClassSettings::machine_type`] of each class as a number; below 0 for all machine types.
    #[serde(rename = "class_kind")]
    pub class_machine_types: Vec<Option<f64>>,
    /// [`ClassSettings::stretch`] of each class.
    #[serde(rename = "class_stretch")]
    pub class_stretches: Vec<Option<f64>>,
}

fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
    f64::deserialize(deserializer).map(|micros| micros / MICROS_PER_MILLI)
}

fn optional_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
    millis(deserializer).map(Some)
}
