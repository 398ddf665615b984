//! Hollow nodes: many in one process, each of which puts on executors and discovery the load of one node.
//!
//! Some are driven by the decision module itself: requests come at random times, and what [`troutknot::Dispatcher`]
//! asks for (probes, pushes, watches of the list) goes over real sockets. The others play rates that a real node was
//! measured to have; they cost a small part of it. Rows say which ones they come from, by
//! [`crate::row::NodeKind`].
//!
//! Each connects from a loopback address of its own, the one after [`FIRST_SOURCE`] and so on, by which executors tell
//! it from real nodes. No client waits for its requests. `Work-Millis` says how long each one works, where executors
//! take that from the request.
mod address_book;
mod by_dispatcher;
mod by_rates;
mod connections;
mod exchange;
mod http;
mod list;
mod vocabulary;

use crate::file::MeasuredRates;
use crate::request_id::RequestId;
use crate::row::NodeKind;
use address_book::AddressBook;
use by_dispatcher::DispatcherNode;
use by_rates::RatesNode;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
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
use vocabulary::Vocabulary;

/// The source address of the first hollow node.
pub const FIRST_SOURCE: Ipv4Addr = Ipv4Addr::new(127, 32, 0, 1);
/// Request ids have room for so many starts of one node, and so many requests of a start.
const START_SHIFT: u32 = 40;
const MOST_STARTS: u64 = 1 << 16;

/// What hollow nodes are told at their start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of the first of them among all nodes.
    pub first_number: usize,
    /// So many are driven by the decision module, and so many play rates.
    pub by_dispatcher: usize,
    pub by_rates: usize,
    pub rates: MeasuredRates,
    /// Connections to executors that each holds open, at most.
    pub connections: usize,
    /// Where the list is followed; hollow node `n` follows it at `n` modulo their number.
    pub discovery: Vec<SocketAddr>,
    /// The settings that the real nodes are told.
    pub node_settings: Map<String, Value>,
    /// Requests in a second at each hollow node, at the start.
    pub request_rate: f64,
    /// Mean work of one request.
    pub work: Duration,
    pub deadline: Duration,
    pub seed: u64,
}

impl Settings {
    /// Where a hollow node connects from.
    pub fn source(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::from_bits(FIRST_SOURCE.to_bits() + number as u32)
    }

    fn discovery_of(&self, number: usize) -> SocketAddr {
        self.discovery[number % self.discovery.len()]
    }

    /// An id that no other request of a run has.
    fn request_id(&self, number: usize, start: u64, sequence: u64) -> RequestId {
        let node = (self.first_number + number) as u8;
        RequestId::new(node, (start % MOST_STARTS) << START_SHIFT | sequence)
    }

    /// What a node draws from; each of its starts draws otherwise.
    fn random(&self, number: usize, start: u64) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream((number as u64) << START_SHIFT | start);
        random
    }

    /// File descriptors that they need in this process, one runtime included.
    pub fn descriptors(&self) -> u64 {
        let nodes = (self.by_dispatcher + self.by_rates) as u64;
        nodes * (self.connections as u64 + 1) + 16
    }
}

/// What hollow nodes of one kind have done since their start.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
pub struct Counts {
    pub probes: u64,
    /// Probes that were answered.
    pub probed: u64,
    pub pushes: u64,
    pub completed: u64,
    /// New connections to executors.
    pub connections: u64,
    /// What was not sent for want of a free connection.
    pub skipped: u64,
    pub list_lines: u64,
    pub list_bytes: u64,
    pub watches: u64,
    pub requests: u64,
}

/// The same while they go on.
#[derive(Default)]
struct Counters {
    probes: AtomicU64,
    probed: AtomicU64,
    pushes: AtomicU64,
    completed: AtomicU64,
    connections: AtomicU64,
    skipped: AtomicU64,
    list_lines: AtomicU64,
    list_bytes: AtomicU64,
    watches: AtomicU64,
    requests: AtomicU64,
}

fn add(counter: &AtomicU64, more: u64) {
    counter.fetch_add(more, Ordering::Relaxed);
}

impl Counters {
    fn read(&self) -> Counts {
        let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            probes: of(&self.probes),
            probed: of(&self.probed),
            pushes: of(&self.pushes),
            completed: of(&self.completed),
            connections: of(&self.connections),
            skipped: of(&self.skipped),
            list_lines: of(&self.list_lines),
            list_bytes: of(&self.list_bytes),
            watches: of(&self.watches),
            requests: of(&self.requests),
        }
    }
}

/// What all hollow nodes share.
struct Shared {
    settings: Settings,
    by_dispatcher: Arc<Counters>,
    by_rates: Arc<Counters>,
    /// Requests in a second at each.
    request_rate: watch::Receiver<f64>,
    /// What rates nodes know of the list.
    address_book: RefCell<AddressBook>,
}

enum Command {
    Restart(usize),
    Stop,
}

/// Hollow nodes that run on a thread of their own, until they are stopped or dropped.
pub struct HollowNodes {
    by_dispatcher: Arc<Counters>,
    by_rates: Arc<Counters>,
    request_rate: watch::Sender<f64>,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Why hollow nodes could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("hollow nodes are told settings that cannot be used: {0}")]
    Settings(troutknot_configuration::SettingsErrors),
    #[error("hollow nodes have no address of discovery")]
    NoDiscovery,
    #[error("hollow nodes: {0}")]
    Io(#[from] io::Error),
}

impl HollowNodes {
    /// Starts them all.
    ///
    /// # Errors
    /// Where their settings cannot be used, or there is no thread for them.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        if settings.discovery.is_empty() {
            return Err(StartError::NoDiscovery);
        }
        Vocabulary::of(&settings.node_settings).map_err(StartError::Settings)?;
        let (request_rate, rate_changes) = watch::channel(settings.request_rate);
        let (commands, received) = mpsc::unbounded_channel();
        let (by_dispatcher, by_rates) = (Arc::<Counters>::default(), Arc::<Counters>::default());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (of_dispatcher, of_rates) = (by_dispatcher.clone(), by_rates.clone());
        let run = move || {
            let shared = Rc::new(Shared {
                settings,
                by_dispatcher: of_dispatcher,
                by_rates: of_rates,
                request_rate: rate_changes,
                address_book: RefCell::default(),
            });
            LocalSet::new().block_on(&runtime, drive(shared, received));
        };
        let thread = thread::Builder::new().name("hollow-nodes".into()).spawn(run)?;
        Ok(HollowNodes { by_dispatcher, by_rates, request_rate, commands, thread: Some(thread) })
    }

    /// Sets how many requests a second come to each from now on.
    pub fn set_request_rate(&self, rate: f64) {
        self.request_rate.send_replace(rate);
    }

    /// Starts one anew: its connections end, and it knows nothing any more.
    pub fn restart(&self, node: usize) {
        let _ = self.commands.send(Command::Restart(node));
    }

    /// What those of one kind have done; nothing where the kind is not hollow.
    pub fn counts(&self, kind: NodeKind) -> Counts {
        match kind {
            NodeKind::HollowByDispatcher => self.by_dispatcher.read(),
            NodeKind::HollowByRates => self.by_rates.read(),
            NodeKind::Real | NodeKind::All => Counts::default(),
        }
    }

    /// Ends them all and waits for it.
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

/// Runs the nodes and carries out commands until one says to stop.
async fn drive(shared: Rc<Shared>, mut commands: mpsc::UnboundedReceiver<Command>) {
    let Settings { by_dispatcher, by_rates, .. } = shared.settings;
    let mut nodes: Vec<JoinHandle<()>> =
        (0..by_dispatcher + by_rates).map(|number| start_node(&shared, number, 0)).collect();
    let mut starts = 0;
    while let Some(Command::Restart(number)) = commands.recv().await {
        if let Some(node) = nodes.get_mut(number) {
            starts += 1;
            node.abort();
            *node = start_node(&shared, number, starts);
        }
    }
    nodes.iter().for_each(JoinHandle::abort);
}

/// Starts a node on this thread; each start draws otherwise.
fn start_node(shared: &Rc<Shared>, number: usize, start: u64) -> JoinHandle<()> {
    let shared = shared.clone();
    if number < shared.settings.by_dispatcher {
        spawn_local(DispatcherNode::run(shared, number, start))
    } else {
        spawn_local(RatesNode::run(shared, number, start))
    }
}
