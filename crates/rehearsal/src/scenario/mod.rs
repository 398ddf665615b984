//! Scenario files: what a day consists of.
//!
//! [`Scenario::parse`] reads a file and checks it whole before anything starts: all faults are listed at once, each
//! with its line and what is allowed.
mod check;
mod discovery;
mod disturbances;
mod executors;
mod load;
mod nodes;
mod requests;

pub use crate::diagnostics::{Diagnostic, Diagnostics};
pub use discovery::{Discovery, How, Source};
pub use disturbances::{EventKind, EventSpec, TroubleKind, TroubleSpec};
pub use executors::{Cancels, Executors, Order, ReadingsSpec};
pub use nodes::{DurableSpec, Front, Nodes, Rules, Syncs};
pub use requests::{Clients, Customer, Effect, Point, ProjectType, RepeatScope, Traffic};

use crate::diagnostics::Checker;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The longest day, so that a mistake in a file does not run for ever.
const LONGEST: Duration = Duration::from_secs(3600);
/// The most executors of a scenario.
pub const MOST_EXECUTORS: usize = 3000;
/// The most nodes of a scenario.
pub const MOST_NODES: usize = 1000;
/// The most requests of a scenario.
pub const MOST_REQUESTS: f64 = 5e6;

/// A day, as its file states it.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Shown in reports.
    pub name: String,
    /// What the scenario is for.
    #[serde(default)]
    pub about: String,
    /// How long the day is.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// The seed where none is given on the command line.
    #[serde(default)]
    pub seed: u64,
    /// The figures of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// The nodes.
    pub nodes: Nodes,
    /// Groups of executors.
    pub executors: Vec<Spanned<Executors>>,
    /// Kinds of requests.
    pub project_types: Vec<Spanned<ProjectType>>,
    /// Whom requests come from.
    #[serde(default)]
    pub customers: Vec<Spanned<Customer>>,
    /// The load over the day.
    pub traffic: Spanned<Traffic>,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// How executors are listed.
    #[serde(default)]
    pub discovery: Discovery,
    /// The load balancer in front of the nodes.
    #[serde(default)]
    pub front: Front,
    /// Exclusive work is taken durably, and asked for again by its key, where it is given.
    pub durable: Option<DurableSpec>,
    /// What goes wrong at executors.
    #[serde(default)]
    pub troubles: Vec<Spanned<TroubleSpec>>,
    /// What happens at given times.
    #[serde(default)]
    pub events: Vec<Spanned<EventSpec>>,
    /// What the day must reach.
    #[serde(default)]
    pub expect: Expect,
}

/// What the day must reach.
#[derive(Deserialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// The least service that must be reached, from 0 to 1.
    pub service: f64,
}

/// The default of a figure that multiplies.
fn one() -> f64 {
    1.0
}

/// A time in milliseconds.
pub fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

impl Scenario {
    /// Reads a scenario and checks it whole; `file` is named in the faults.
    ///
    /// # Errors
    /// All that is wrong, each with its line and what is allowed.
    pub fn parse(text: &str, file: &str) -> Result<Self, Diagnostics> {
        let scenario: Scenario = toml::from_str(text)
            .map_err(|e| Diagnostics { file: file.into(), entries: vec![Diagnostic::from_toml(&e, text)] })?;
        let mut checker = Checker::new(text);
        scenario.check(&mut checker);
        checker.finish(file).map(|()| scenario)
    }

    /// Whether work of a project type is taken durably, and its clients give a key.
    pub fn is_keyed(&self, project_type: &ProjectType) -> bool {
        self.durable.is_some() && project_type.effect == Effect::Exclusive
    }

    /// Whether operators call nodes, replace their processes or their settings.
    pub fn is_operated(&self) -> bool {
        use EventKind::*;
        let operates = |what| matches!(what, SuspendExecutors | DrainNode | UpgradeNode | RetuneNodes);
        self.events.iter().any(|event| operates(event.get_ref().what))
    }

    /// Whether clients' sockets are passed from one process to the next.
    pub fn is_upgraded(&self) -> bool {
        self.events.iter().any(|event| event.get_ref().what == EventKind::UpgradeNode)
    }

    /// What a node that is asked to end is granted.
    pub fn granted(&self) -> Duration {
        let longest = self.project_types.iter().map(|t| t.get_ref().hard_limit).max().unwrap_or_default();
        longest.min(Duration::from_secs(3)) + Duration::from_millis(700)
    }
}
