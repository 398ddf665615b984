//! The settings of a node, as the platform's configuration states them.
//!
//! Keys of the configuration that differ from the names used here are given by `serde(rename)`; a key that is
//! not known is passed over. Spans stand in the configuration as microseconds and here as [`Millis`]. What
//! the configuration leaves out has the value of [`Default`].
use crate::ids::{MachineTypeId, ZoneId};
use crate::time::Millis;
use serde::{Deserialize, Deserializer};

const MICROS_PER_MILLI: f64 = 1000.0;
/// How often the endpoint list is fetched where the settings state nothing.
const DEFAULT_POLL_INTERVAL: Millis = 10_000.0;

/// All settings of one node.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// How many nodes share the load, at least 1; 1 where it is not stated.
    #[serde(rename = "balancers")]
    pub nodes: f64,
    /// This node's number among them, from 0; none where it is not told.
    #[serde(rename = "me")]
    pub node: Option<f64>,
    /// The number of the zone that this node stands in; none where it is not told.
    pub zone: Option<f64>,
    /// Request classes by their ids.
    #[serde(rename = "project_types")]
    pub classes: Vec<ClassSettings>,
    /// Tenants by their ids; one without a quota ends the list of those that have one.
    #[serde(rename = "customers")]
    pub tenants: Vec<TenantSettings>,
    /// Part of its value that a request beyond its tenant's quota has, 0 to 1; 1 where it is not stated.
    #[serde(rename = "overage_credit")]
    pub over_quota_value: f64,
    /// How the node learns of its endpoints.
    #[serde(rename = "registry_mode")]
    pub discovery_mode: DiscoveryMode,
    /// What the weight of an endpoint says.
    pub weight_source: WeightSource,
    /// Figures of the rules on draining and on slow start.
    #[serde(rename = "contract")]
    pub rules: RuleSettings,
    /// What the node may do, and for how long.
    pub limits: LimitSettings,
    /// What actions cost, in parts of the value of a request.
    #[serde(rename = "tariffs")]
    pub prices: PriceSettings,
    /// What is known of all executors.
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
    /// The zone to which requests are dispatched by preference; none where crossing zones costs nothing.
    pub fn preferred_zone(&self) -> Option<ZoneId> {
        (self.prices.cross_zone > 0.0).then_some(ZoneId(self.zone.unwrap_or(0.0) as u32))
    }

    /// How many attempts a request of this class may have.
    pub fn max_attempts(&self, class: &ClassSettings) -> usize {
        class.max_attempts.or(self.limits.max_attempts).unwrap_or(1.0) as usize
    }

    /// Requests a second of each tenant's quota, as far as the tenants in a row have one.
    pub fn quotas(&self) -> impl Iterator<Item = f64> {
        self.tenants.iter().map_while(|tenant| tenant.quota_per_s)
    }
}

/// The terms of one request class.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct ClassSettings {
    /// What running a request twice would do.
    pub effect: Effect,
    /// Which executors recognize a repeat of deduplicated work.
    #[serde(rename = "key_scope")]
    pub deduplication_scope: DeduplicationScope,
    /// For how long they do.
    #[serde(rename = "window", deserialize_with = "millis")]
    pub deduplication_window: Millis,
    /// Within this span of its arrival a request should have its answer.
    #[serde(rename = "promised_turnaround", deserialize_with = "optional_millis")]
    pub latency_objective: Option<Millis>,
    /// Within this span it must have its final answer; the first class without one ends the list of classes.
    #[serde(rename = "hard_limit", deserialize_with = "optional_millis")]
    pub deadline: Option<Millis>,
    /// What an answer in time earns.
    #[serde(rename = "credit")]
    pub value: f64,
    /// What a late answer earns; it tells classes apart, and nothing is decided by it.
    #[serde(rename = "tardy_credit")]
    pub late_value: f64,
    /// How many mean running times the objective of a long request grows with.
    #[serde(skip)]
    pub stretch: f64,
    /// The only type of machine that can run it; none where all can.
    #[serde(skip)]
    pub machine_type: Option<MachineTypeId>,
    /// How many attempts a request may have; as [`LimitSettings::max_attempts`] where it is not stated.
    #[serde(skip)]
    pub max_attempts: Option<f64>,
    /// The earlier class of the same name, whose running times stand in until this one has its own.
    #[serde(skip)]
    pub inherits_from: Option<usize>,
}

/// What running a request twice would do. A word that is not known is taken for the strictest.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum Effect {
    /// Nothing that once would not: it may run again.
    Idempotent,
    /// Executors drop repeats within a scope and a window: inside both it may run again.
    Deduplicated,
    /// It happens twice: it may run again only after proof that it never ran.
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

/// Which executors recognize a repeat of deduplicated work. A word that is not known is taken for the
/// strictest.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum DeduplicationScope {
    /// All executors.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one deduplication group.
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

/// What one tenant may ask for.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct TenantSettings {
    /// Requests a second, over all nodes.
    pub quota_per_s: Option<f64>,
}

/// How a node learns of its endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum DiscoveryMode {
    /// It watches the list, and asks again where a watch breaks off.
    Subscribe,
    /// It is told without asking.
    Push,
    /// The settings say nothing that is known: it asks only where it is told to.
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

/// What the weight of an endpoint says.
#[derive(Clone, PartialEq, Eq, Default, Debug, Deserialize)]
#[serde(from = "String")]
pub enum WeightSource {
    /// Nothing that is gone by.
    #[default]
    Unstated,
    /// The capacity that it has left, which falls with load.
    Live,
    /// A word that is not known.
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

/// Figures of the rules on draining and on slow start.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(default)]
pub struct RuleSettings {
    /// How long nodes that fail to get the endpoint list have to ask for it again.
    #[serde(rename = "ask_every", deserialize_with = "optional_millis")]
    pub poll_interval: Option<Millis>,
    /// How long after a node was told that an executor drains it may still get new work.
    #[serde(deserialize_with = "optional_millis")]
    pub drain_grace: Option<Millis>,
    /// Part of its capacity that an executor has when it starts, 0 to 1.
    #[serde(rename = "cold_share")]
    pub initial_capacity: f64,
    /// How long it takes to reach its whole capacity.
    #[serde(rename = "ramp_time", deserialize_with = "millis")]
    pub ramp_duration: Millis,
    /// The span over which the work dispatched to a cold executor is counted.
    #[serde(rename = "fall", deserialize_with = "millis")]
    pub budget_window: Millis,
    /// How many times its capacity over that span it may get.
    #[serde(rename = "fall_multiple")]
    pub budget_multiple: f64,
}

impl RuleSettings {
    /// [`RuleSettings::poll_interval`], or what stands for it where it is not stated.
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

/// What a node may do, and for how long.
#[derive(Clone, PartialEq, Debug, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// How many attempts a request may have; 1 where it is not stated.
    #[serde(rename = "max_allocations")]
    pub max_attempts: Option<f64>,
    /// Whether executors may be probed.
    #[serde(rename = "probes")]
    pub probes_enabled: bool,
    /// Whether what is under way may be cancelled.
    #[serde(rename = "cancel")]
    pub cancel_enabled: bool,
    /// Whether a second copy of a request may run beside one that has not begun.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Whether nodes may send each other messages.
    #[serde(rename = "peers")]
    pub gossip_enabled: bool,
    /// Whether a rejection says when to come back.
    #[serde(rename = "retry_after")]
    pub retry_after_enabled: bool,
    /// The longest time to come back that may be said; without a bound where it is not stated.
    #[serde(rename = "max_retry_after", deserialize_with = "optional_millis")]
    pub max_retry_after: Option<Millis>,
    /// How long a connection to an executor may take to come up.
    #[serde(deserialize_with = "optional_millis")]
    pub connect_timeout: Option<Millis>,
    /// How long an executor keeps an idle connection open.
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

/// What actions cost, in parts of the value of a request.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct PriceSettings {
    /// A dispatch to another zone.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
}

/// What is known of all executors.
#[derive(Clone, PartialEq, Default, Debug, Deserialize)]
#[serde(default)]
pub struct ExecutorSettings {
    /// Whether they tell when an attempt begins to run.
    #[serde(rename = "tells_start")]
    pub reports_start: bool,
    /// [`ClassSettings::machine_type`] by class, as a number; below 0 for all machines.
    #[serde(rename = "class_kind")]
    pub class_machine_types: Vec<Option<f64>>,
    /// [`ClassSettings::stretch`] by class.
    #[serde(rename = "class_stretch")]
    pub class_stretches: Vec<Option<f64>>,
}

fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
    f64::deserialize(deserializer).map(|micros| micros / MICROS_PER_MILLI)
}

fn optional_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
    millis(deserializer).map(Some)
}
