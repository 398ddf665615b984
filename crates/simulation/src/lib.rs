//! Runs a scenario in simulated time: the plan, the executor model, the dispatcher and the referee of a rehearsal,
//! without sockets and without waiting. Simulations share no state, so that several can run in parallel.
//!
//! A scenario and a seed give the same run on every machine: there is one thread and one event queue, events at the
//! same time keep the order in which they were scheduled, and the queue is the only clock.
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
pub enum SimulationError {
    /// The scenario has durable requests.
    #[error("durable requests need real node processes that are killed; run `troutknot rehearse`")]
    DurableRequests,
    /// The scenario has admin calls, hot restarts or changes of a node's settings.
    #[error(
        "admin calls, hot restarts and changed settings need real node processes; run `troutknot rehearse`"
    )]
    OperatorActions,
    /// The scenario leads to node settings that are not valid.
    #[error("the scenario gives a node invalid settings: {0}")]
    Settings(#[from] troutknot_configuration::SettingsError),
}

/// The result of a simulation. Nothing in it depends on the machine.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    /// Hash of the plan.
    #[serde(rename = "plan")]
    pub plan_hash: String,
    pub nodes: usize,
    pub executors: usize,
    pub length_s: f64,
    pub expected_service: f64,
    pub verdict: Verdict,
    /// Events taken from the queue.
    pub events: u64,
    /// Events handled by decision modules.
    pub decisions: u64,
    /// Probes sent to executors.
    pub probes: u64,
}

impl Report {
    /// Whether no rule was violated and the expected service was reached.
    pub fn has_passed(&self) -> bool {
        self.verdict.violations.is_empty() && self.verdict.service >= self.expected_service
    }
}

/// Creates the decision module of a node from its settings, a seed and the current time.
pub type ModuleFactory<'a> = &'a dyn Fn(&Settings, u64, Millis) -> Box<dyn DecisionModule>;

/// Simulates a scenario with the dispatcher.
///
/// # Errors
/// If the scenario has something that cannot be simulated.
pub fn simulate(scenario: &Scenario, seed: u64) -> Result<Report, SimulationError> {
    simulate_policy(scenario, seed, Policy::Adaptive)
}

/// Simulates a scenario with a policy.
///
/// # Errors
/// If the scenario has something that cannot be simulated.
pub fn simulate_policy(scenario: &Scenario, seed: u64, policy: Policy) -> Result<Report, SimulationError> {
    simulate_modules(scenario, seed, &move |settings, seed, now| match policy {
        Policy::Adaptive => Box::new(Dispatcher::new(settings, seed, now)),
        other => Box::new(Baseline::new(other, settings, seed)),
    })
}

/// Simulates a scenario with nodes whose decision modules a factory creates.
///
/// # Errors
/// If the scenario has something that cannot be simulated.
pub fn simulate_modules(
    scenario: &Scenario,
    seed: u64,
    create_module: ModuleFactory,
) -> Result<Report, SimulationError> {
    if scenario.durable.is_some() {
        return Err(SimulationError::DurableRequests);
    }
    if scenario.has_operator_events() {
        return Err(SimulationError::OperatorActions);
    }
    let plan = Plan::generate(scenario, seed);
    let mut world = World::new(scenario, &plan, create_module).map_err(SimulationError::Settings)?;
    world.run();
    let (observations, counts) = world.finish();
    let verdict = referee::judge(&build_facts(scenario, &plan, world::PLAN_START), &observations);
    Ok(Report {
        scenario: scenario.name.clone(),
        seed,
        plan_hash: plan.hash(),
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
