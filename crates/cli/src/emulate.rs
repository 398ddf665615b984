//! `troutknot emulate`: runs the fleet of a scenario with discovery but without nodes, for manual use.
use crate::{ExitStatus, check};
use clap::Args;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::LocalSet;
use troutknot_emulator::discovery::{self, Member};
use troutknot_emulator::executors::{FleetContext, Host, RequestSpec};
use troutknot_emulator::observations::{ListedState, ObservationLog};
use troutknot_fake_consul::{Agent, Cluster, Instance, Status};
use troutknot_rehearsal::plan::{Plan, Step};
use troutknot_rehearsal::scenario::{Scenario, millis};
use troutknot_rehearsal::world::Addresses;

/// Largest number of emulated Consul agents; the address layout has room for 16.
const MAX_CONSUL_AGENTS: usize = 16;
/// The Consul service under which the executors are registered.
const CONSUL_SERVICE: &str = "box";
/// Interval at which the observations are cleared. Nothing reads them here, and they would grow without bound.
const CLEAR_INTERVAL: Duration = Duration::from_secs(1);

/// Why the fleet cannot be started.
#[derive(Debug, Error)]
enum EmulateError {
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error("cannot listen for {what} at {address}: {error}")]
    Listen {
        what: &'static str,
        address: SocketAddr,
        #[source]
        error: io::Error,
    },
}

/// Run the executors and the discovery of a scenario without nodes, for manual use
#[derive(Args)]
#[command(after_help = "Example: troutknot emulate scenarios/calm.toml --for 1m
then:    curl -d x -H 'Request-Id: a1' -H 'Work-Millis: 250' http://ADDRESS/render")]
pub struct Emulate {
    scenario: PathBuf,
    /// Seed of the plan; by default the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Number of Consul agents to run in addition to discovery
    #[arg(long, value_name = "AGENTS", num_args = 0..=1, default_missing_value = "1", default_value_t = 0)]
    consul: usize,
    /// Time to run
    #[arg(long = "for", value_name = "TIME", default_value = "1h", value_parser = humantime::parse_duration)]
    run_time: Duration,
}

impl Emulate {
    /// Runs the fleet until its time ends or Ctrl-C is pressed.
    pub fn run(self) -> ExitStatus {
        let scenario = match check::scenario(&self.scenario) {
            Ok(scenario) => scenario,
            Err(error) => return ExitStatus::Usage.report(error),
        };
        match self.block_on(scenario) {
            Ok(()) => ExitStatus::Passed,
            Err(error) => ExitStatus::Machine.report(error),
        }
    }

    fn block_on(&self, scenario: Scenario) -> Result<(), EmulateError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(EmulateError::Runtime)?;
        LocalSet::new().block_on(&runtime, self.emulate(scenario))
    }

    async fn emulate(&self, scenario: Scenario) -> Result<(), EmulateError> {
        let plan = Plan::generate(&scenario, self.seed.unwrap_or(scenario.seed));
        let fleet = Fleet::start(&scenario, &plan, self.consul)?;
        tokio::select! {
            () = fleet.run_steps(&plan) => {}
            () = clear_periodically(&fleet.observations) => {}
            () = tokio::time::sleep(self.run_time) => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        Ok(())
    }
}

/// The emulated executors, and the discovery services that list them.
struct Fleet {
    hosts: Vec<Rc<Host>>,
    cluster: Rc<Cluster>,
    observations: Arc<ObservationLog>,
    // Dropping them stops the services.
    _consul_agents: Vec<Rc<Agent>>,
    _discovery: Rc<discovery::Agent>,
}

impl Fleet {
    fn start(scenario: &Scenario, plan: &Plan, consul_agents: usize) -> Result<Self, EmulateError> {
        let observations = Arc::new(ObservationLog::default());
        let shared = FleetContext::new(observations.clone(), Arc::new(request_specs(scenario)), true);
        let addresses = Addresses::fresh();
        let (hosts, members) = start_executors(plan, &shared, addresses)?;
        let cluster = Cluster::new("dc1");
        let instances = members.iter().map(|member| Instance::new(&member.id, member.addr)).collect();
        cluster.register_all(CONSUL_SERVICE, instances);
        let consul_agents = start_consul(&cluster, consul_agents, addresses)?;
        let address = addresses.agent(0);
        let discovery = discovery::Agent::start(&observations, 0, address, members);
        let discovery =
            discovery.map_err(|error| EmulateError::Listen { what: "discovery", address, error })?;
        println!("discovery http://{}/catalog/members", discovery.addr());
        Ok(Fleet { hosts, cluster, observations, _consul_agents: consul_agents, _discovery: discovery })
    }

    /// Applies the plan's steps at their times, then waits forever.
    async fn run_steps(&self, plan: &Plan) {
        let started = tokio::time::Instant::now();
        for (at_ms, step) in &plan.steps {
            tokio::time::sleep_until(started + Duration::from_secs_f64(at_ms / 1000.0)).await;
            self.apply(step);
        }
        std::future::pending().await
    }

    /// Applies a step that changes an executor or its health check; ignores all others.
    fn apply(&self, step: &Step) {
        match step {
            Step::FaultBegins { number, executor, fault } => {
                let Some(host) = self.hosts.get(*executor) else { return };
                host.begin_fault(*number as u64, fault.clone());
                eprintln!("{} {fault}", host.name);
            }
            Step::FaultEnds { number, executor } => {
                let Some(host) = self.hosts.get(*executor) else { return };
                host.end_fault(*number as u64);
                eprintln!("{} has recovered from the fault", host.name);
            }
            Step::KillExecutor { executor } => {
                self.hosts.get(*executor).into_iter().for_each(|host| host.kill())
            }
            Step::RestartExecutor { executor } => {
                self.hosts.get(*executor).into_iter().for_each(|host| host.restart())
            }
            Step::ListFailing { executor } => {
                self.set_status(*executor, Status::Critical, "is listed as failing")
            }
            Step::ListPassing { executor } => {
                self.set_status(*executor, Status::Passing, "is listed as passing")
            }
            _ => {}
        }
    }

    fn set_status(&self, executor: usize, status: Status, text: &str) {
        let Some(host) = self.hosts.get(executor) else { return };
        self.cluster.set_status(CONSUL_SERVICE, &[&host.name], status);
        eprintln!("{} {text}", host.name);
    }
}

/// Returns a function that specifies the work of a request id: the mean of the first request class. A header of the
/// request overrides the work.
fn request_specs(scenario: &Scenario) -> impl Fn(&str) -> Option<RequestSpec> + use<> {
    let classes: Vec<_> = scenario.request_classes.iter().map(|class| class.get_ref().clone()).collect();
    move |id| {
        let hash = |hash: u64, byte: u8| hash.wrapping_mul(31).wrapping_add(byte.into());
        let request_id = id.bytes().fold(0, hash);
        let class = classes.first()?;
        let (slots, memory, work) = (class.slots, class.memory, millis(class.work));
        Some(RequestSpec { request_id, request_class: 0, slots, memory, work, priority: class.value })
    }
}

fn start_executors(
    plan: &Plan,
    shared: &Rc<FleetContext>,
    addresses: Addresses,
) -> Result<(Vec<Rc<Host>>, Vec<Member>), EmulateError> {
    let (mut hosts, mut members) = (Vec::new(), Vec::new());
    for (number, planned) in plan.executors.iter().enumerate().filter(|(_, planned)| planned.is_initial) {
        let address = addresses.executor(number);
        let machine = planned.machine.clone();
        let host = Host::start(shared, number as u32, machine, planned.seed, address, !planned.slow_start);
        let host = host.map_err(|error| EmulateError::Listen { what: "an executor", address, error })?;
        members.push(Member {
            executor: number as u32,
            id: host.name.clone(),
            addr: host.addr,
            zone: "here".into(),
            machine_type: planned.machine_type.clone(),
            deduplication_group: planned.group as u32,
            state: ListedState::Ready,
            weight: 1.0,
            started_at: 0.0,
        });
        println!("{} http://{}", host.name, host.addr);
        hosts.push(host);
    }
    Ok((hosts, members))
}

fn start_consul(
    cluster: &Rc<Cluster>,
    count: usize,
    addresses: Addresses,
) -> Result<Vec<Rc<Agent>>, EmulateError> {
    let mut agents = Vec::new();
    for number in 0..count.min(MAX_CONSUL_AGENTS) {
        let address = addresses.agent(number + 1);
        let agent = Agent::start(cluster, address, None);
        let agent = agent.map_err(|error| EmulateError::Listen { what: "Consul", address, error })?;
        println!("consul http://{}/v1/health/service/{CONSUL_SERVICE}", agent.addr);
        agents.push(agent);
    }
    Ok(agents)
}

async fn clear_periodically(observations: &ObservationLog) {
    loop {
        tokio::time::sleep(CLEAR_INTERVAL).await;
        observations.take();
    }
}
