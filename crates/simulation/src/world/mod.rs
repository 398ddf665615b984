//! The simulated world: executors, discovery, nodes and clients, driven by one event queue.
//!
//! This module holds the state and the loop; each part of the world handles its own events in a module of its own.
mod clients;
mod discovery;
mod events;
mod executors;
mod nodes;
mod steps;

use crate::ModuleFactory;
use crate::node::Node;
use crate::queue::EventQueue;
use events::{AttemptOrigin, WorldEvent};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use troutknot::{Action, Settings};
use troutknot_configuration::SettingsError;
use troutknot_emulator::observations::{ListedState, Observation};
use troutknot_emulator::{Executor, Millis};
use troutknot_rehearsal::node_config;
use troutknot_rehearsal::plan::Plan;
use troutknot_rehearsal::scenario::{RequestClass, Scenario};

/// Time in milliseconds at which the plan starts; nodes receive the first endpoint list before it.
pub const PLAN_START: Millis = 100_000.0;
/// Time in milliseconds from the start of the nodes and the initial executors to the start of the plan.
const STARTUP_TIME: Millis = 700.0;
/// One-way latency in milliseconds between any two processes, including their processing time.
const NETWORK_LATENCY: Millis = 0.15;
/// Time in milliseconds after which a silent discovery watch counts as lost (the node's `watch_idle_timeout`).
const WATCH_IDLE_TIMEOUT: Millis = 2600.0;
/// Interval in milliseconds of the front's health checks.
const HEALTH_CHECK_INTERVAL: Millis = 200.0;
/// Time in milliseconds by which a request's deadline at a node precedes the client's (the node's `deadline_margin`).
const DEADLINE_MARGIN: Millis = 25.0;

/// Counters of the work that a run did.
#[derive(Default, Clone, Copy)]
pub struct Counts {
    /// Events taken from the queue.
    pub events: u64,
    /// Events passed to decision modules.
    pub decisions: u64,
    /// Probes sent to executors.
    pub probes: u64,
}

/// The state of executors, discovery, nodes and clients at the current time.
pub struct World<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    create_module: ModuleFactory<'a>,
    request_classes: Vec<&'a RequestClass>,
    /// The settings of each node.
    settings: Vec<Settings>,
    /// Names of the machine types; the id of a type is its index.
    machine_types: Vec<String>,
    /// The token of each executor: the hash of its name, which is the same at every node.
    tokens: Vec<u64>,
    queue: EventQueue<WorldEvent>,
    now: Millis,
    /// The process of each executor; `None` before its first start.
    executors: Vec<Option<Executor>>,
    /// When each executor is polled next; infinite if no poll is scheduled.
    next_poll_at: Vec<Millis>,
    /// Dispatches that reached each executor while it was paused.
    paused_dispatches: Vec<Vec<WorldEvent>>,
    /// The origin of each attempt that an executor has accepted, by key.
    attempt_origins: HashMap<u64, AttemptOrigin>,
    next_attempt_key: u64,
    /// Every entry that discovery has ever listed: the state of an executor, and the start time in the list.
    entries: Vec<(ListedState, Option<Millis>)>,
    /// Index in `entries` of the current entry of each executor.
    current_entries: Vec<Option<u32>>,
    /// The same for each node, as its discovery agent has received it; it is older while discovery is silent.
    agent_entries: Vec<Vec<Option<u32>>>,
    is_discovery_silent: bool,
    /// Updates withheld from agents while discovery is silent: node, executor and entry.
    held_updates: Vec<(u32, u32, u32)>,
    nodes: Vec<Node>,
    /// The node that the front tries first for the next request.
    next_node: usize,
    rng: ChaCha8Rng,
    observations: Vec<(Millis, Observation)>,
    counts: Counts,
    /// Buffer for the actions of one event, reused to avoid memory allocations.
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    /// Creates the world of a plan with its nodes and initial executors started.
    ///
    /// # Errors
    /// If the scenario gives a node invalid settings.
    pub fn new(
        scenario: &'a Scenario,
        plan: &'a Plan,
        create_module: ModuleFactory<'a>,
    ) -> Result<Self, SettingsError> {
        let machine_types = node_config::machine_types(scenario);
        let mut settings = Vec::new();
        for node in 0..scenario.nodes.count {
            settings.push(troutknot_configuration::parse_settings(&node_config::settings(scenario, node))?);
        }
        let count = plan.executors.len();
        let mut world = World {
            scenario,
            plan,
            create_module,
            request_classes: scenario.request_classes.iter().map(|class| class.get_ref()).collect(),
            settings,
            machine_types,
            tokens: (0..count).map(|k| troutknot_membership::token(&format!("s-{k:05}"))).collect(),
            queue: EventQueue::default(),
            now: 0.0,
            executors: (0..count).map(|_| None).collect(),
            next_poll_at: vec![f64::INFINITY; count],
            paused_dispatches: (0..count).map(|_| Vec::new()).collect(),
            attempt_origins: HashMap::new(),
            next_attempt_key: 0,
            entries: Vec::new(),
            current_entries: vec![None; count],
            agent_entries: vec![vec![None; count]; scenario.nodes.count],
            is_discovery_silent: false,
            held_updates: Vec::new(),
            nodes: Vec::new(),
            next_node: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x73_696d),
            observations: Vec::new(),
            counts: Counts::default(),
            actions: Vec::new(),
        };
        world.now = PLAN_START - STARTUP_TIME;
        for executor in 0..count {
            if plan.executors[executor].is_initial {
                world.start_executor(executor);
                world.entries.push((ListedState::Ready, world.listed_start(executor)));
                world.current_entries[executor] = Some(world.entries.len() as u32 - 1);
            }
        }
        for node in 0..scenario.nodes.count {
            world.agent_entries[node].clone_from(&world.current_entries);
            world.start_node(node);
            world.nodes[node].is_in_rotation = true;
        }
        for (step, (at, _)) in plan.steps.iter().enumerate() {
            world.queue.schedule(PLAN_START + at, WorldEvent::StepDue(step as u32));
        }
        if let Some(first) = plan.requests.first() {
            world.queue.schedule(PLAN_START + first.at, WorldEvent::RequestDue(0));
        }
        Ok(world)
    }

    /// Handles events until the queue is empty.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.counts.events += 1;
            self.handle_event(event);
        }
    }

    /// Returns all observations in order of time, and the counters of the run.
    pub fn finish(self) -> (Vec<(Millis, Observation)>, Counts) {
        let mut observations = self.observations;
        // An executor reports its past events at the next poll, later than they occurred.
        observations.sort_by(|a, b| a.0.total_cmp(&b.0));
        (observations, self.counts)
    }

    /// Records an observation for the referee at the current time.
    fn record(&mut self, observation: Observation) {
        self.observations.push((self.now, observation));
    }

    /// Returns the request id that the client sends with an attempt.
    fn client_request_id(&self, request: u32, client_attempt: u32) -> Box<str> {
        self.plan.request_id(request as usize, client_attempt).into()
    }
}
