//! Plays a scenario in simulated time: the plan, the executors' model, the dispatcher and the referee of a rehearsal,
//! without sockets and without waiting. Instances share nothing but the world.
//!
//! The same scenario and seed give the same run on any machine: one thread, one queue of events, ties in time in the
//! order in which they were scheduled, and no clock but the queue's.
pub mod baselines;
pub mod experiment;
mod node;
mod queue;
pub mod stats;
mod world;

pub use node::DecisionModule;

use baselines::{Baseline, Policy};

use serde::Serialize;
use troutknot::{Dispatcher, Millis, Settings};
use troutknot_rehearsal::plan::Plan;
use troutknot_rehearsal::referee::{self, Verdict};
use troutknot_rehearsal::run::build_facts;
use troutknot_rehearsal::scenario::Scenario;
use world::World;

/// Why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum Unable {
    #[error("durable work needs real nodes that die: rehearse it")]
    Durable,
    #[error("calls, upgrades and new settings need real nodes: rehearse it")]
    Operated,
    #[error("the scenario gives a node settings that cannot be used: {0}")]
    Settings(#[from] troutknot_configuration::SettingsError),
}

/// All that a run tells; nothing in it hangs on the machine.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub plan: String,
    pub nodes: usize,
    pub executors: usize,
    pub length_s: f64,
    pub expected_service: f64,
    pub verdict: Verdict,
    /// Events of the queue, decisions asked for, and probes sent.
    pub events: u64,
    pub decisions: u64,
    pub probes: u64,
}

impl Report {
    /// Whether no rule broke and the service expected was reached.
    pub fn holds(&self) -> bool {
        self.verdict.violations.is_empty() && self.verdict.service >= self.expected_service
    }
}

/// Makes what decides at a node, from its settings, a seed and the time.
pub type MakeModule<'a> = &'a dyn Fn(&Settings, u64, Millis) -> Box<dyn DecisionModule>;

/// Plays a scenario with the dispatcher as it is.
///
/// # Errors
/// Where it holds what is not simulated.
pub fn simulate(scenario: &Scenario, seed: u64) -> Result<Report, Unable> {
    simulate_by(scenario, seed, Policy::Adaptive)
}

/// The same by any policy.
///
/// # Errors
/// As [`simulate`].
pub fn simulate_by(scenario: &Scenario, seed: u64, policy: Policy) -> Result<Report, Unable> {
    simulate_with(scenario, seed, &move |settings, seed, now| match policy {
        Policy::Adaptive => Box::new(Dispatcher::new(settings, seed, now)),
        other => Box::new(Baseline::new(other, settings, seed)),
    })
}

/// The same with whatever decides.
///
/// # Errors
/// As [`simulate`].
pub fn simulate_with(scenario: &Scenario, seed: u64, make: MakeModule) -> Result<Report, Unable> {
    if scenario.durable.is_some() {
        return Err(Unable::Durable);
    }
    if scenario.has_operator_events() {
        return Err(Unable::Operated);
    }
    let plan = Plan::generate(scenario, seed);
    let mut world = World::new(scenario, &plan, make).map_err(Unable::Settings)?;
    world.play();
    let (seen, counts) = world.end();
    let verdict = referee::judge(&build_facts(scenario, &plan, world::BEGAN), &seen);
    Ok(Report {
        scenario: scenario.name.clone(),
        seed,
        plan: plan.hash(),
        nodes: scenario.nodes.count,
        executors: plan.executors.len(),
        length_s: plan.length / 1000.0,
        expected_service: scenario.expect.min_service,
        verdict,
        events: counts.events,
        decisions: counts.decisions,
        probes: counts.probes,
    })
}
