//! Hollow nodes: many in one process, each of which puts the load of one node on executors and on discovery.
//!
//! Dispatcher nodes run the decision module: requests arrive at random times, and the actions of
//! [`troutknot::Dispatcher`] (probes, attempts, watches of the list) use real sockets. Rate nodes only reproduce the
//! rates measured on a real node, at a small part of the cost. Rows state which of them they describe, by
//! [`crate::row::NodeKind`].
//!
//! Each hollow node connects from its own loopback address, counted from [`FIRST_SOURCE`], by which executors
//! distinguish it from real nodes. No client waits for its requests. The field `Work-Millis` contains the work of a
//! request, for executors that take it from there.
mod connections;
mod dispatcher_node;
mod endpoint_list;
mod exchange;
mod http;
mod rate_node;
mod ready_executors;
mod resolved_settings;

use crate::file::MeasuredRates;
use crate::request_id::RequestId;
use crate::row::NodeKind;
use dispatcher_node::DispatcherNode;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rate_node::RateNode;
use ready_executors::ReadyExecutors;
use resolved_settings::ResolvedSettings;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Source address of the first hollow node.
pub const FIRST_SOURCE: Ipv4Addr = Ipv4Addr::new(127, 32, 0, 1);
/// Position of the generation in a request's sequence number: each of up to [`MAX_GENERATIONS`] starts of a node has
/// room for 2^40 requests.
const GENERATION_SHIFT: u32 = 40;
const MAX_GENERATIONS: u64 = 1 << 16;

/// Settings of the hollow nodes of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of the first hollow node among all nodes of the run.
    pub first_number: usize,
    /// Number of dispatcher nodes.
    pub dispatcher_nodes: usize,
    pub rate_nodes: usize,
    pub rates: MeasuredRates,
    /// Maximum number of open connections to executors, per node.
    pub max_connections: usize,
    /// Discovery addresses; hollow node `n` uses the one at index `n` modulo their number.
    pub discovery_addresses: Vec<SocketAddr>,
    /// Settings of the real nodes, which apply to hollow nodes too.
    pub node_settings: Map<String, Value>,
    /// Initial requests per second at each hollow node.
    pub request_rate: f64,
    /// Mean work of a request.
    pub mean_work: Duration,
    pub deadline: Duration,
    pub seed: u64,
}

impl Settings {
    /// Returns the source address of a hollow node.
    pub fn source_address(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::from_bits(FIRST_SOURCE.to_bits() + number as u32)
    }

    fn discovery_address(&self, number: usize) -> SocketAddr {
        self.discovery_addresses[number % self.discovery_addresses.len()]
    }

    /// Returns a request id that is unique within the run.
    fn request_id(&self, number: usize, generation: u64, sequence: u64) -> RequestId {
        let node = (self.first_number + number) as u8;
        RequestId::new(node, (generation % MAX_GENERATIONS) << GENERATION_SHIFT | sequence)
    }

    /// Returns the random generator of a node; each generation has a stream of its own.
    fn new_random(&self, number: usize, generation: u64) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream((number as u64) << GENERATION_SHIFT | generation);
        random
    }

    /// Returns the number of file descriptors that the nodes need in this process, including those of the runtime.
    pub fn descriptors(&self) -> u64 {
        let nodes = (self.dispatcher_nodes + self.rate_nodes) as u64;
        nodes * (self.max_connections as u64 + 1) + 16
    }
}

/// Counts of all hollow nodes of one kind since their start.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub struct Counts {
    pub probes: u64,
    /// Probes that were answered.
    pub answered_probes: u64,
    pub attempts: u64,
    pub completed: u64,
    /// New connections to executors.
    pub connections: u64,
    /// Requests, probes and attempts that were not sent because a limit on requests, tasks or connections was
    /// reached.
    pub skipped: u64,
    pub list_lines: u64,
    pub list_bytes: u64,
    pub watches: u64,
    pub requests: u64,
}

/// The counters behind [`Counts`].
#[derive(Default)]
struct Counters {
    probes: AtomicU64,
    answered_probes: AtomicU64,
    attempts: AtomicU64,
    completed: AtomicU64,
    connections: AtomicU64,
    skipped: AtomicU64,
    list_lines: AtomicU64,
    list_bytes: AtomicU64,
    watches: AtomicU64,
    requests: AtomicU64,
}

fn add(counter: &AtomicU64, increment: u64) {
    counter.fetch_add(increment, Ordering::Relaxed);
}

impl Counters {
    fn read(&self) -> Counts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            probes: load(&self.probes),
            answered_probes: load(&self.answered_probes),
            attempts: load(&self.attempts),
            completed: load(&self.completed),
            connections: load(&self.connections),
            skipped: load(&self.skipped),
            list_lines: load(&self.list_lines),
            list_bytes: load(&self.list_bytes),
            watches: load(&self.watches),
            requests: load(&self.requests),
        }
    }
}

/// State that all hollow nodes share.
struct Shared {
    settings: Settings,
    dispatcher_counters: Arc<Counters>,
    rate_counters: Arc<Counters>,
    /// Requests per second at each node.
    request_rate: watch::Receiver<f64>,
    /// Ready executors, for the rate nodes.
    ready_executors: RefCell<ReadyExecutors>,
}

enum Command {
    Restart(usize),
    Stop,
}

/// Hollow nodes that run on a thread of their own until they are stopped or dropped.
pub struct HollowNodes {
    dispatcher_counters: Arc<Counters>,
    rate_counters: Arc<Counters>,
    request_rate: watch::Sender<f64>,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<thread::JoinHandle<()>>,
}

/// The reason why hollow nodes could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("hollow nodes have invalid settings: {0}")]
    Settings(troutknot_configuration::SettingsErrors),
    #[error("hollow nodes have no discovery address")]
    NoDiscovery,
    #[error("hollow nodes: {0}")]
    Io(#[from] io::Error),
}

impl HollowNodes {
    /// Starts all hollow nodes.
    ///
    /// # Errors
    /// If the settings are invalid or the thread cannot be started.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        if settings.discovery_addresses.is_empty() {
            return Err(StartError::NoDiscovery);
        }
        ResolvedSettings::resolve(&settings.node_settings).map_err(StartError::Settings)?;
        let (request_rate, rate_changes) = watch::channel(settings.request_rate);
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let (dispatcher_counters, rate_counters) = (Arc::<Counters>::default(), Arc::<Counters>::default());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (shared_dispatcher_counters, shared_rate_counters) =
            (dispatcher_counters.clone(), rate_counters.clone());
        let run = move || {
            let shared = Rc::new(Shared {
                settings,
                dispatcher_counters: shared_dispatcher_counters,
                rate_counters: shared_rate_counters,
                request_rate: rate_changes,
                ready_executors: RefCell::default(),
            });
            LocalSet::new().block_on(&runtime, run_nodes(shared, command_receiver));
        };
        let thread = thread::Builder::new().name("hollow-nodes".into()).spawn(run)?;
        Ok(HollowNodes { dispatcher_counters, rate_counters, request_rate, commands, thread: Some(thread) })
    }

    /// Sets the requests per second at each node.
    pub fn set_request_rate(&self, rate: f64) {
        self.request_rate.send_replace(rate);
    }

    /// Restarts a node: its connections end, and it loses its state.
    pub fn restart(&self, node: usize) {
        let _ = self.commands.send(Command::Restart(node));
    }

    /// Returns the counts of a kind; all are zero if the kind is not hollow.
    pub fn counts(&self, kind: NodeKind) -> Counts {
        match kind {
            NodeKind::HollowByDispatcher => self.dispatcher_counters.read(),
            NodeKind::HollowByRates => self.rate_counters.read(),
            NodeKind::Real | NodeKind::All => Counts::default(),
        }
    }

    /// Stops all nodes and waits for the end of their thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for HollowNodes {
    fn drop(&mut self) {
        self.end();
    }
}

/// Runs the nodes and carries out commands until [`Command::Stop`].
async fn run_nodes(shared: Rc<Shared>, mut commands: mpsc::UnboundedReceiver<Command>) {
    let Settings { dispatcher_nodes, rate_nodes, .. } = shared.settings;
    let mut nodes: Vec<JoinHandle<()>> =
        (0..dispatcher_nodes + rate_nodes).map(|number| start_node(&shared, number, 0)).collect();
    let mut restarts = 0;
    while let Some(Command::Restart(number)) = commands.recv().await {
        if let Some(node) = nodes.get_mut(number) {
            restarts += 1;
            node.abort();
            *node = start_node(&shared, number, restarts);
        }
    }
    nodes.iter().for_each(JoinHandle::abort);
}

/// Starts a node on this thread.
fn start_node(shared: &Rc<Shared>, number: usize, generation: u64) -> JoinHandle<()> {
    let shared = shared.clone();
    if number < shared.settings.dispatcher_nodes {
        spawn_local(DispatcherNode::run(shared, number, generation))
    } else {
        spawn_local(RateNode::run(shared, number, generation))
    }
}
