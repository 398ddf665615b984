//! The world in simulated time: executors, lists, nodes and clients, moved by one queue of events.
//!
//! This module holds the state and the loop; each part of the world handles its own events in a module of its own.
mod clients;
mod discovery;
mod events;
mod executors;
mod nodes;
mod steps;

use crate::MakeModule;
use crate::node::Node;
use crate::queue::Queue;
use events::{Origin, WorldEvent};
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

/// When the day begins; before, nodes hear the list.
pub const BEGAN: Millis = 100_000.0;
/// One way between any two, with what the programs at its ends take.
const WAY: Millis = 0.15;
/// A watch that says nothing has broken off after so long (the node's `list_silence`).
const LIST_SILENCE: Millis = 2600.0;
/// The front asks a node's health so often.
const HEALTH_EVERY: Millis = 200.0;
/// How much sooner than the client gives up a work unit's limit is (the node's `answer_margin`).
const ANSWER_MARGIN: Millis = 25.0;

/// What a run cost.
#[derive(Default, Clone, Copy)]
pub struct Counts {
    /// Events of the queue.
    pub events: u64,
    /// Times that a dispatcher was told something.
    pub decisions: u64,
    /// Probes sent to executors.
    pub probes: u64,
}

/// Executors, discovery, nodes and clients at one time of the day.
pub struct World<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    /// Makes what decides at a node.
    make: MakeModule<'a>,
    types: Vec<&'a RequestClass>,
    /// The settings of each node.
    settings: Vec<Settings>,
    /// Machine kinds, in the order of their numbers.
    kinds: Vec<String>,
    /// The token of each executor.
    tokens: Vec<u64>,
    queue: Queue<WorldEvent>,
    now: Millis,
    /// The process of each executor; none before its first start.
    hosts: Vec<Option<Executor>>,
    /// When each executor is asked for reports next.
    looked: Vec<Millis>,
    /// What reached each executor while it stood still.
    waits_at: Vec<Vec<WorldEvent>>,
    /// Allocations at executors, by their keys.
    outs: HashMap<u64, Origin>,
    next_key: u64,
    /// Every entry that discovery ever had.
    entries: Vec<(ListedState, Option<Millis>)>,
    /// The entry that counts for each executor.
    listed: Vec<Option<u32>>,
    /// The same as the agent of each node has it.
    views: Vec<Vec<Option<u32>>>,
    /// Whether discovery is silent.
    silent: bool,
    /// What agents could not tell while discovery was silent.
    untold: Vec<(u32, u32, u32)>,
    nodes: Vec<Node>,
    /// The node that the front tries first for the next request.
    next_node: usize,
    chance: ChaCha8Rng,
    seen: Vec<(Millis, Observation)>,
    counts: Counts,
    /// Kept from one decision to the next for its memory alone.
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    /// The world of a plan as it stands before its day begins.
    ///
    /// # Errors
    /// Where the scenario gives a node settings that cannot be used.
    pub fn new(scenario: &'a Scenario, plan: &'a Plan, make: MakeModule<'a>) -> Result<Self, SettingsError> {
        let kinds = node_config::machine_types(scenario);
        let mut settings = Vec::new();
        for node in 0..scenario.nodes.count {
            settings.push(troutknot_configuration::parse_settings(&node_config::settings(scenario, node))?);
        }
        let count = plan.executors.len();
        let mut world = World {
            scenario,
            plan,
            make,
            types: scenario.request_classes.iter().map(|t| t.get_ref()).collect(),
            settings,
            kinds,
            tokens: (0..count).map(|k| troutknot_membership::token(&format!("s-{k:05}"))).collect(),
            queue: Queue::default(),
            now: 0.0,
            hosts: (0..count).map(|_| None).collect(),
            looked: vec![f64::INFINITY; count],
            waits_at: (0..count).map(|_| Vec::new()).collect(),
            outs: HashMap::new(),
            next_key: 0,
            entries: Vec::new(),
            listed: vec![None; count],
            views: vec![vec![None; count]; scenario.nodes.count],
            silent: false,
            untold: Vec::new(),
            nodes: Vec::new(),
            next_node: 0,
            chance: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x73_696d),
            seen: Vec::new(),
            counts: Counts::default(),
            actions: Vec::new(),
        };
        world.now = BEGAN - 700.0;
        for number in 0..count {
            if plan.executors[number].is_initial {
                world.start_executor(number);
                world.entries.push((ListedState::Ready, world.started(number)));
                world.listed[number] = Some(world.entries.len() as u32 - 1);
            }
        }
        for node in 0..scenario.nodes.count {
            world.views[node].clone_from(&world.listed);
            world.start_node(node);
            world.nodes[node].taken_in = true;
        }
        for (number, (at, _)) in plan.steps.iter().enumerate() {
            world.queue.at(BEGAN + at, WorldEvent::Step(number as u32));
        }
        if let Some(first) = plan.requests.first() {
            world.queue.at(BEGAN + first.at, WorldEvent::Request(0));
        }
        Ok(world)
    }

    /// Handles events until there are none left.
    pub fn play(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.counts.events += 1;
            self.handle(event);
        }
    }

    /// All that was seen, in the order of time, and what the run cost.
    pub fn end(self) -> (Vec<(Millis, Observation)>, Counts) {
        let mut seen = self.seen;
        // What an executor notes of its past came a little later.
        seen.sort_by(|a, b| a.0.total_cmp(&b.0));
        (seen, self.counts)
    }

    /// Records what the referee is to know.
    fn note(&mut self, seen: Observation) {
        self.seen.push((self.now, seen));
    }

    /// The id that a request carries at an attempt.
    fn id(&self, request: u32, attempt: u32) -> Box<str> {
        self.plan.request_id(request as usize, attempt).into()
    }
}
