//! The section `[durable]` of the operator's file, which configures jobs that survive a restart of the node.
use crate::config::validation::Validator;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;
use troutknot::Effect;

const MAX_KEY_HEADER_BYTES: usize = 64;

/// When the ledger is synced to disk.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LedgerSync {
    /// One sync covers all pending records.
    #[default]
    #[serde(rename = "together")]
    Batched,
    /// One sync for each record.
    #[serde(rename = "each")]
    PerRecord,
}

/// An effect of a request class, under its name in the operator's file.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurableEffect {
    /// Repeated execution has no further effect.
    #[serde(rename = "rerunnable")]
    Idempotent,
    /// Executors discard repeated requests by their ids.
    #[serde(rename = "receipted")]
    Deduplicated,
    /// Repeated execution would take effect twice.
    #[serde(rename = "exclusive")]
    AtMostOnce,
}

impl From<Effect> for DurableEffect {
    fn from(effect: Effect) -> Self {
        match effect {
            Effect::Idempotent => DurableEffect::Idempotent,
            Effect::Deduplicated => DurableEffect::Deduplicated,
            Effect::AtMostOnce => DurableEffect::AtMostOnce,
        }
    }
}

/// Configuration of durable jobs. A reload does not change it.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DurableConfig {
    /// Path of the ledger file.
    pub path: PathBuf,
    /// Requests of a class with one of these effects become durable jobs even without an idempotency key.
    #[serde(default = "default_effects")]
    pub effects: Vec<DurableEffect>,
    /// The header that carries a client's idempotency key.
    #[serde(default = "default_key_header")]
    pub key_header: String,
    /// How long a completed job and its idempotency key are retained.
    #[serde(rename = "kept", default = "default_retention", with = "humantime_serde")]
    pub retention: Duration,
    /// When the ledger is synced to disk.
    #[serde(default)]
    pub sync: LedgerSync,
    /// New durable jobs are rejected while a sync takes longer than this.
    #[serde(rename = "slow_after", default = "default_slow_sync_threshold", with = "humantime_serde")]
    pub slow_sync_threshold: Duration,
    /// Maximum number of recorded jobs, open and completed; the memory limit may allow fewer.
    #[serde(rename = "most", default = "default_max_jobs")]
    pub max_jobs: usize,
    /// An attempt without a heartbeat for this long counts as lost; `None` if executors report no progress.
    #[serde(rename = "lease", default, with = "humantime_serde")]
    pub lease_duration: Option<Duration>,
    /// Whether executors reject attempts with an outdated fencing token.
    #[serde(rename = "fences", default)]
    pub has_fencing: bool,
}

fn default_effects() -> Vec<DurableEffect> {
    vec![DurableEffect::AtMostOnce]
}

fn default_key_header() -> String {
    "Idempotency-Key".into()
}

fn default_retention() -> Duration {
    Duration::from_secs(600)
}

fn default_slow_sync_threshold() -> Duration {
    Duration::from_millis(250)
}

fn default_max_jobs() -> usize {
    10_000
}

impl DurableConfig {
    /// Whether requests of a class with this effect become durable jobs without an idempotency key.
    pub fn includes(&self, effect: Effect) -> bool {
        self.effects.contains(&effect.into())
    }

    /// Checks all values.
    pub(super) fn validate(&self, validator: &mut Validator) {
        let (millis, secs) = (Duration::from_millis, Duration::from_secs);
        validator.check_rule("durable.path", !self.path.as_os_str().is_empty(), "is empty");
        validator.check_rule(
            "durable.key_header",
            is_header_name(&self.key_header),
            "must be a header's name of 1 to 64 bytes",
        );
        validator.check_duration("durable.kept", self.retention, millis(100)..=secs(7 * 86_400));
        validator.check_duration("durable.slow_after", self.slow_sync_threshold, millis(10)..=secs(60));
        validator.check_number("durable.most", self.max_jobs as f64, 1.0..=1_000_000.0);
        if let Some(lease_duration) = self.lease_duration {
            validator.check_duration("durable.lease", lease_duration, millis(100)..=secs(3600));
        }
    }
}

/// Whether a name is a `token` of RFC 9110 and not longer than the maximum.
fn is_header_name(name: &str) -> bool {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    (1..=MAX_KEY_HEADER_BYTES).contains(&name.len()) && name.bytes().all(is_token)
}
