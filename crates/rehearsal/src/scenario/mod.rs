//! Scenario files: the description of a day that is rehearsed or simulated.
//!
//! [`Scenario::parse`] reads a file and checks all of it before anything starts. All errors are reported at once, each
//! with its line and the allowed values.
mod check;
mod discovery;
mod disturbances;
mod executors;
mod load;
mod nodes;
mod requests;

pub use crate::diagnostics::{Diagnostic, Diagnostics};
pub use discovery::{DiscoveryFault, DiscoverySource, DiscoverySpec};
pub use disturbances::{EventKind, EventSpec, FaultKind, FaultSpec};
pub use executors::{CancelScope, ExecutorGroup, LoadReportSpec, QueueOrder};
pub use nodes::{DurableSpec, FrontSpec, LedgerSync, NodeSpec, Rules};
pub use requests::{ClientSpec, DeduplicationScope, Effect, LoadPoint, RequestClass, Tenant, Traffic};

use crate::diagnostics::Checker;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// Maximum length of a day, so that a mistake in a file does not cause an endless run.
const MAX_LENGTH: Duration = Duration::from_secs(3600);
/// Maximum number of executors of a scenario.
pub const MAX_EXECUTORS: usize = 3000;
/// Maximum number of nodes of a scenario.
pub const MAX_NODES: usize = 1000;
/// Maximum number of expected requests of a scenario.
pub const MAX_REQUESTS: f64 = 5e6;
/// Longest time that a terminating node gets for its open requests.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time that a terminating node gets in addition to the deadline of its open requests.
const TERMINATION_MARGIN: Duration = Duration::from_millis(700);

/// The description of a day, as parsed from its file.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name in reports.
    pub name: String,
    /// The purpose of the scenario.
    #[serde(rename = "about", default)]
    pub description: String,
    /// Length of the day.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// The seed to use if the command line gives none.
    #[serde(default)]
    pub seed: u64,
    /// The limits of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// The nodes.
    pub nodes: NodeSpec,
    /// The groups of executors.
    pub executors: Vec<Spanned<ExecutorGroup>>,
    /// The request classes.
    #[serde(rename = "project_types")]
    pub request_classes: Vec<Spanned<RequestClass>>,
    /// The tenants; requests have no tenant if there are none.
    #[serde(rename = "customers", default)]
    pub tenants: Vec<Spanned<Tenant>>,
    /// The load over the day.
    pub traffic: Spanned<Traffic>,
    /// The behavior of clients.
    #[serde(default)]
    pub clients: ClientSpec,
    /// How executors are listed.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// The load balancer between clients and nodes.
    #[serde(default)]
    pub front: FrontSpec,
    /// If present, at-most-once requests are durable and sent with an idempotency key.
    pub durable: Option<DurableSpec>,
    /// The faults of executors.
    #[serde(rename = "troubles", default)]
    pub faults: Vec<Spanned<FaultSpec>>,
    /// The scheduled events.
    #[serde(default)]
    pub events: Vec<Spanned<EventSpec>>,
    /// The expected results.
    #[serde(default)]
    pub expect: Expectation,
}

/// The expected results of a day.
#[derive(Deserialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Expectation {
    /// Minimum service level, 0 to 1.
    #[serde(rename = "service")]
    pub min_service: f64,
}

/// The default of multipliers and shares.
fn one() -> f64 {
    1.0
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

impl Scenario {
    /// Parses a scenario and checks all of it; `file` is the name that its errors start with.
    ///
    /// # Errors
    /// All errors of the file, each with its line and the allowed values.
    pub fn parse(text: &str, file: &str) -> Result<Self, Diagnostics> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| Diagnostics {
            file: file.into(),
            entries: vec![Diagnostic::from_toml(&error, text)],
        })?;
        let mut checker = Checker::new(text);
        scenario.check(&mut checker);
        checker.finish(file).map(|()| scenario)
    }

    /// Whether requests of a class are durable, so that clients send an idempotency key.
    pub fn has_idempotency_key(&self, class: &RequestClass) -> bool {
        self.durable.is_some() && class.effect == Effect::AtMostOnce
    }

    /// Whether events call the nodes' admin interface or replace their processes or settings.
    pub fn has_operator_events(&self) -> bool {
        use EventKind::*;
        let is_operator_event =
            |kind| matches!(kind, SuspendExecutors | DrainNode | HotRestartNode | ReconfigureNodes);
        self.events.iter().any(|event| is_operator_event(event.get_ref().kind))
    }

    /// Whether nodes pass their listening socket from one process to the next.
    pub fn has_hot_restarts(&self) -> bool {
        self.events.iter().any(|event| event.get_ref().kind == EventKind::HotRestartNode)
    }

    /// Time between SIGTERM and SIGKILL to a node: the longest deadline, up to 3 s, plus 700 ms.
    pub fn termination_grace(&self) -> Duration {
        let deadlines = self.request_classes.iter().map(|class| class.get_ref().deadline);
        deadlines.max().unwrap_or_default().min(MAX_DRAIN_TIME) + TERMINATION_MARGIN
    }
}
