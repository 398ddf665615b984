//! The world of a rehearsal on sockets: executors, discovery agents and the nodes' processes, all driven by one
//! thread. The steps of the plan change it.
mod addresses;
mod error;
mod listing;
mod node;
mod operator;
mod process;
mod steps;

pub use addresses::Addresses;
pub use error::WorldError;

use crate::endpoint_lists;
use crate::node_process::{NodeLauncher, ResourceUsage};
use crate::plan::Plan;
use crate::scenario::Scenario;
use node::Node;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use troutknot_emulator::Millis;
use troutknot_emulator::discovery::Member;
use troutknot_emulator::executors::{FleetContext, Host};
use troutknot_emulator::front::check_health;
use troutknot_emulator::observations::{ExecutorNumber, ListedState, ObservationLog};
use troutknot_fake_consul::Cluster;

/// How long all nodes together may take to become ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Separates the random stream of notification delays from those of the plan.
const RNG_SALT: u64 = 0x77_6f72_6c64;

/// The executors, discovery agents and nodes of a rehearsal.
pub struct World {
    scenario: Arc<Scenario>,
    plan: Arc<Plan>,
    observation_log: Arc<ObservationLog>,
    fleet_context: Rc<FleetContext>,
    launcher: Arc<dyn NodeLauncher>,
    /// By their numbers in the plan; `None` before they join.
    hosts: RefCell<Vec<Option<Rc<Host>>>>,
    /// The entry of each executor in discovery; `None` before it joins.
    listed: RefCell<Vec<Option<Member>>>,
    nodes: RefCell<Vec<Node>>,
    /// Samples the notification delays.
    rng: RefCell<ChaCha8Rng>,
    addresses: Addresses,
    /// Consul's servers, if the scenario's endpoint lists come from Consul.
    cluster: RefCell<Option<Rc<Cluster>>>,
    /// The Unix time at the start of the observation log, in milliseconds.
    unix_offset_ms: Millis,
    max_step_delay_ms: Cell<Millis>,
    /// The attempt limit in the nodes' settings.
    max_attempts: Cell<u32>,
}

impl World {
    /// Starts executors, agents and nodes, and waits until all nodes are ready.
    ///
    /// # Errors
    /// An address cannot be listened on, a file cannot be written, or a node cannot be started or does not become
    /// ready in time.
    pub async fn start(
        scenario: Arc<Scenario>,
        plan: Arc<Plan>,
        observation_log: Arc<ObservationLog>,
        launcher: Arc<dyn NodeLauncher>,
        folder: PathBuf,
    ) -> Result<Rc<Self>, WorldError> {
        let world = Rc::new(World::new(scenario, plan, observation_log, launcher));
        world.start_initial_executors()?;
        let members: Vec<Member> = world.listed.borrow().iter().flatten().cloned().collect();
        *world.cluster.borrow_mut() = endpoint_lists::create_cluster(&world.scenario, &members);
        for number in 0..world.scenario.nodes.count {
            world.add_node(number, &members, &folder)?;
        }
        world.wait_until_ready().await?;
        spawn_local(world.clone().monitor_nodes());
        Ok(world)
    }

    /// Creates a world in which nothing runs yet.
    fn new(
        scenario: Arc<Scenario>,
        plan: Arc<Plan>,
        observation_log: Arc<ObservationLog>,
        launcher: Arc<dyn NodeLauncher>,
    ) -> Self {
        let (work_plan, work_scenario) = (plan.clone(), scenario.clone());
        let work_of = Arc::new(move |id: &str| work_plan.work(&work_scenario, id));
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        World {
            addresses: Addresses::fresh(),
            cluster: RefCell::default(),
            unix_offset_ms: unix_now.as_secs_f64() * 1000.0 - observation_log.now(),
            hosts: RefCell::new(vec![None; plan.executors.len()]),
            listed: RefCell::new(vec![None; plan.executors.len()]),
            nodes: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed ^ RNG_SALT)),
            max_step_delay_ms: Cell::new(0.0),
            max_attempts: Cell::new(scenario.rules.max_attempts),
            fleet_context: FleetContext::new(observation_log.clone(), work_of, true),
            scenario,
            plan,
            observation_log,
            launcher,
        }
    }

    /// Starts all initial executors, then lists them.
    fn start_initial_executors(&self) -> Result<(), WorldError> {
        let planned = self.plan.executors.iter().enumerate();
        let initial = planned.filter(|(_, executor)| executor.is_initial).map(|(number, _)| number);
        let initial: Vec<usize> = initial.collect();
        for &number in &initial {
            let host = self.start_host(number)?;
            self.hosts.borrow_mut()[number] = Some(host);
        }
        for &number in &initial {
            let member = self.member(number, ListedState::Ready);
            self.listed.borrow_mut()[number] = Some(member);
        }
        Ok(())
    }

    fn start_host(&self, number: usize) -> Result<Rc<Host>, WorldError> {
        let planned = &self.plan.executors[number];
        let address = self.addresses.executor(number);
        let machine = planned.machine.clone();
        let is_warm = !planned.slow_start;
        Host::start(&self.fleet_context, number as ExecutorNumber, machine, planned.seed, address, is_warm)
            .map_err(|source| WorldError::ExecutorAddress { address, source })
    }

    fn add_node(&self, number: usize, members: &[Member], folder: &Path) -> Result<(), WorldError> {
        let node = self.create_node(number, members, folder)?;
        self.nodes.borrow_mut().push(node);
        let process = self.start_process(number)?;
        self.nodes.borrow_mut()[number].process = Some(process);
        Ok(())
    }

    /// The addresses on which the nodes accept clients.
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.borrow().iter().map(|node| node.address).collect()
    }

    async fn wait_until_ready(&self) -> Result<(), WorldError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for (number, address) in self.node_addresses().into_iter().enumerate() {
            while check_health(address).await != Some(200) {
                if self.has_ended(number) || Instant::now() > deadline {
                    return Err(self.not_ready_error(number));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn has_ended(&self, number: usize) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        nodes[number].process.as_mut().is_some_and(|process| process.exited_cleanly().is_some())
    }

    fn not_ready_error(&self, number: usize) -> WorldError {
        let log = std::fs::read_to_string(&self.nodes.borrow()[number].log).unwrap_or_default();
        let last_line = log.lines().last().unwrap_or("its log is empty").to_string();
        WorldError::NodeNotReady { node: number, last_line }
    }

    /// Applies the plan's steps at their times; the day starts at `started_at`.
    pub async fn play(self: Rc<Self>, started_at: Instant) {
        let plan = self.plan.clone();
        for (at, step) in &plan.steps {
            let due = started_at + Duration::from_secs_f64(at / 1000.0);
            sleep_until(due).await;
            let delay_ms = due.elapsed().as_secs_f64() * 1000.0;
            self.max_step_delay_ms.set(self.max_step_delay_ms.get().max(delay_ms));
            self.apply(step);
        }
    }

    /// The largest delay of a step against the plan, in milliseconds.
    pub fn max_step_delay_ms(&self) -> Millis {
        self.max_step_delay_ms.get()
    }

    /// Kills all nodes and returns the resources that each has used.
    pub fn stop(&self) -> Vec<ResourceUsage> {
        self.nodes.borrow_mut().iter_mut().map(Node::stop).collect()
    }
}
