//! Builds a node from its configuration, and runs it until it is asked to end.
pub mod check;
mod discovery;
mod ledger;
mod startup;

use crate::admin::AdminServer;
use crate::config::limits::Limits;
use crate::config::node::NodeConfig;
use crate::config::reload::{ConfigReloader, NodeReload, OperatorReload};
use crate::discovery::EndpointUpdate;
use crate::downstream::{DownstreamContext, DownstreamServer, ListenerOrigin};
use crate::driver::{Driver, DriverConfig};
use crate::error::NodeError;
use crate::event::{NodeEvent, WatchRequests};
use crate::gossip::GossipSocket;
use crate::hot_restart::codec::{Bounds, Inherited};
use crate::hot_restart::inherited_socket;
use crate::hot_restart::link::Link;
use crate::hot_restart::sibling::SiblingProcess;
use crate::hot_restart::takeover::{self, Handover, Takeover};
use crate::lifecycle::{Drain, Lifecycle};
use crate::protocol::{Codec, Current, EndpointList};
use crate::retention::EndpointRetention;
use crate::shutdown::GracefulShutdown;
use crate::tasks::TaskGroup;
use crate::upstream::ExecutorPool;
use discovery::{CachedList, DiscoveryControls};
use ledger::LedgerOpener;
use startup::{Configuration, Listeners, Signals, open_gossip_socket};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;
use troutknot::{Dispatcher, ListUpdate};
use troutknot_clock::Clock;

/// Runs one node on this thread until SIGTERM or SIGINT, and shuts it down gracefully.
///
/// `path` names the node's configuration, a JSON file, which is reloaded at SIGHUP.
///
/// # Errors
/// Why the node cannot start, or that it stopped by a fault of its own.
pub fn start(path: &Path) -> Result<(), NodeError> {
    // Before anything is opened that could take the number of the descriptor.
    let descriptor = std::env::var(inherited_socket::DESCRIPTOR_VARIABLE).ok();
    let inherited_listener = inherited_socket::listener(descriptor.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(NodeError::Runtime)?;
    // Before the configuration is read: a signal that arrives meanwhile is handled once the node runs.
    let signals = runtime.block_on(async { Signals::listen() })?;
    let config = NodeConfig::read(path)?;
    LocalSet::new().block_on(&runtime, run(config, path.to_owned(), inherited_listener, signals))
}

async fn run(
    config: NodeConfig,
    path: PathBuf,
    inherited_listener: Option<std::net::TcpListener>,
    signals: Signals,
) -> Result<(), NodeError> {
    let Signals { terminate, interrupt, reload } = signals;
    let mut configuration = Configuration::resolve(config, path)?;
    let origin = ListenerOrigin::of(inherited_listener.as_ref());
    let gossip = open_gossip_socket(&configuration.operator, origin)?;
    let limits = Rc::new(configuration.limits(origin));
    let listeners = Listeners::open(&configuration.node, inherited_listener, limits.listen_backlog)?;
    let clock = Clock::start();
    let takeover_path = match origin {
        ListenerOrigin::Inherited => takeover::socket_path(&configuration.node.name),
        ListenerOrigin::Bound => None,
    };
    let handover = request_state(&mut configuration, &limits, takeover_path.as_deref()).await;
    let builder = NodeBuilder::new(configuration, limits, clock, gossip);
    let node = builder.build(listeners, reload, takeover_path, handover)?;
    node.run(terminate, interrupt).await
}

/// Requests the state of the old process. Its endpoint list replaces that of the configuration, which is older.
async fn request_state(
    configuration: &mut Configuration,
    limits: &Limits,
    path: Option<&Path>,
) -> Option<Handover> {
    let bounds =
        Bounds { executors: limits.executor_bounds.max_listed, ids: 2 * limits.downstream.max_completed_ids };
    let node = &mut configuration.node;
    let mut handover = takeover::request_state(path?, &node.name, bounds).await?;
    let inherited = &mut handover.inherited;
    let version = inherited.version.or(node.cached_list.as_ref().map(|known| known.version)).unwrap_or(0);
    let entries = std::mem::take(&mut inherited.entries);
    node.cached_list = Some(EndpointList { version, is_snapshot: true, entries, dropped_entries: 0 });
    Some(handover)
}

/// Values that the parts of a node share.
#[derive(Clone)]
struct Shared {
    limits: Rc<Limits>,
    codec: Rc<Current<Codec>>,
    clock: Clock,
    /// Reaches the driver.
    events: mpsc::Sender<NodeEvent>,
    lifecycle: Rc<Lifecycle>,
    sibling: Rc<SiblingProcess>,
    watch_requests: Rc<WatchRequests>,
    /// State of the discovery sources, as the readiness response shows it.
    discovery_status: Rc<RefCell<String>>,
    tasks: TaskGroup,
}

/// A node whose parts are being connected.
struct NodeBuilder {
    configuration: Configuration,
    shared: Shared,
    received_events: mpsc::Receiver<NodeEvent>,
    gossip: Option<Rc<GossipSocket>>,
    executors: Rc<ExecutorPool>,
    downstream: Rc<DownstreamServer>,
}

impl NodeBuilder {
    fn new(
        configuration: Configuration,
        limits: Rc<Limits>,
        clock: Clock,
        gossip: Option<Rc<GossipSocket>>,
    ) -> Self {
        let (events, received_events) = mpsc::channel(limits.event_queue_capacity);
        let shared = Shared {
            limits,
            codec: configuration.codec.clone(),
            clock,
            events,
            lifecycle: Rc::new(Lifecycle::new()),
            sibling: Rc::default(),
            watch_requests: Rc::default(),
            discovery_status: Rc::default(),
            tasks: TaskGroup::default(),
        };
        let executors = ExecutorPool::new(
            shared.limits.clone(),
            shared.codec.clone(),
            shared.events.clone(),
            shared.sibling.clone(),
        );
        let downstream = DownstreamServer::new(DownstreamContext {
            limits: shared.limits.clone(),
            codec: shared.codec.clone(),
            events: shared.events.clone(),
            lifecycle: shared.lifecycle.watch(),
            status: shared.discovery_status.clone(),
            durable_config: configuration.operator.durable.clone(),
            sibling: shared.sibling.clone(),
            tasks: shared.tasks.clone(),
        });
        NodeBuilder { configuration, shared, received_events, gossip, executors, downstream }
    }

    /// Connects the parts and starts their tasks.
    fn build(
        mut self,
        listeners: Listeners,
        reload: Signal,
        takeover_path: Option<PathBuf>,
        handover: Option<Handover>,
    ) -> Result<Node, NodeError> {
        let (inherited, old_process) = handover.map(|state| (state.inherited, state.link)).unzip();
        self.open_ledger(listeners.origin, old_process.is_some())?;
        let mut driver = self.build_driver();
        if let Some(gossip) = self.gossip.take() {
            self.shared.tasks.spawn(gossip.receive(self.shared.codec.clone(), self.shared.events.clone()));
        }
        let cached_list = self.restore(&mut driver, inherited);
        let controls = discovery::start(&self.configuration, &self.shared, cached_list);
        self.shared.tasks.spawn(self.executors.clone().close_expired_connections());
        self.shared.tasks.spawn(self.downstream.clone().accept(listeners.clients, listeners.origin));
        let admin = self.build_admin(&driver);
        let driver = spawn_local(driver.run());
        self.log_listening(listeners.address);
        if let Some(listener) = listeners.admin {
            self.start_admin(admin, listener)?;
        }
        if let Some(path) = takeover_path {
            self.start_takeover(path, old_process);
        }
        let (shared, downstream) = (self.shared.clone(), self.downstream.clone());
        self.start_reload(reload, controls);
        Ok(Node { shared, downstream, driver, listener_origin: listeners.origin })
    }

    /// Opens the ledger, if the operator's file names one. If another process may still have it open, a task waits
    /// for it, and this process numbers its requests outside the ledger's range.
    fn open_ledger(&self, origin: ListenerOrigin, has_old_process: bool) -> Result<(), NodeError> {
        let Some(config) = self.configuration.operator.durable.clone() else { return Ok(()) };
        let opener = LedgerOpener {
            config,
            shared: self.shared.clone(),
            downstream: self.downstream.clone(),
            executors: self.executors.clone(),
        };
        if !has_old_process {
            match opener.open() {
                Ok(()) => return Ok(()),
                Err(error) if origin == ListenerOrigin::Bound => return Err(error.into()),
                Err(_) => {}
            }
        }
        self.downstream.set_first_request_id(self.shared.clock.now().max(0.0) as u64 * 1000);
        self.shared.tasks.spawn(opener.open_once_released());
        Ok(())
    }

    fn build_driver(&mut self) -> Driver {
        let Configuration { node, settings, seed, .. } = &self.configuration;
        let shared = &self.shared;
        let (_, no_events) = mpsc::channel(1);
        let bounds = &shared.limits.executor_bounds;
        Driver::new(DriverConfig {
            dispatcher: Dispatcher::new(settings, *seed, shared.clock.now()),
            clock: shared.clock,
            codec: shared.codec.clone(),
            executors: self.executors.clone(),
            watch_requests: shared.watch_requests.clone(),
            events: std::mem::replace(&mut self.received_events, no_events),
            lifecycle: shared.lifecycle.clone(),
            sibling: shared.sibling.clone(),
            retention: EndpointRetention::new(&node.name, bounds.max_retained, bounds.max_unretained_entries),
            gossip: self.gossip.clone(),
            tasks: shared.tasks.clone(),
        })
    }

    /// Begins with the cached endpoint list and with the state of the old process. Returns the cached list for the
    /// discovery sources.
    fn restore(&mut self, driver: &mut Driver, mut inherited: Option<Inherited>) -> CachedList {
        let Some(known) = self.configuration.node.cached_list.take() else { return CachedList::default() };
        let cached = CachedList::of(&known, &self.configuration.operator.discovery.sources);
        if let Some(inherited) = &mut inherited {
            driver.exclude(std::mem::take(&mut inherited.excluded));
        }
        let update = EndpointUpdate::from_list(ListUpdate::Cached, known);
        driver.handle_event(self.shared.clock.now(), NodeEvent::ListReceived(update));
        if let Some(inherited) = inherited {
            self.restore_state(driver, inherited);
        }
        cached
    }

    fn restore_state(&self, driver: &mut Driver, mut inherited: Inherited) {
        self.downstream.record_sibling_requests(&std::mem::take(&mut inherited.ids));
        if inherited.is_drained {
            self.shared.lifecycle.update(|facts| {
                facts.drain = Drain::Settled;
                facts.is_drain_inherited = true;
            });
        }
        driver.import_state(self.shared.clock.now(), inherited);
    }

    fn build_admin(&self, driver: &Driver) -> Rc<AdminServer> {
        AdminServer::new(
            self.shared.limits.clone(),
            self.shared.events.clone(),
            self.shared.lifecycle.clone(),
            self.shared.sibling.clone(),
            driver.retention_statistics(),
        )
    }

    fn log_listening(&self, address: std::net::SocketAddr) {
        let limits = &self.shared.limits;
        tracing::info!(
            node = %self.configuration.node.name,
            %address,
            max_client_connections = limits.downstream.max_connections,
            max_executor_connections = limits.upstream.max_connections,
            max_request_bytes = limits.downstream.max_reserved_bytes,
            "node listening"
        );
    }

    fn start_admin(&self, admin: Rc<AdminServer>, listener: TcpListener) -> Result<(), NodeError> {
        let address = listener.local_addr().map_err(NodeError::AdminAddress)?;
        tracing::info!(%address, "admin listening");
        self.shared.tasks.spawn(admin.accept(listener));
        Ok(())
    }

    fn start_takeover(&self, path: PathBuf, old_process: Option<Link>) {
        let takeover = Rc::new(Takeover {
            name: self.configuration.node.name.clone(),
            path,
            sibling: self.shared.sibling.clone(),
            limits: self.shared.limits.clone(),
            events: self.shared.events.clone(),
            lifecycle: self.shared.lifecycle.clone(),
            downstream: self.downstream.clone(),
            executors: self.executors.clone(),
            tasks: self.shared.tasks.clone(),
            bound: RefCell::default(),
        });
        self.shared.tasks.spawn(takeover.run(old_process));
    }

    fn start_reload(self, reload: Signal, controls: DiscoveryControls) {
        let Configuration { node, path, operator, operator_path, catalog, .. } = self.configuration;
        let Shared { limits, codec, events, tasks, .. } = self.shared;
        let node = NodeReload {
            path,
            config: node,
            discovery_address: controls.platform,
            catalog,
            limits,
            codec,
            events,
        };
        let operator = OperatorReload { path: operator_path, file: operator, consul: controls.consul };
        tasks.spawn(ConfigReloader { node, operator }.run(reload));
    }
}

/// A node that runs.
struct Node {
    shared: Shared,
    downstream: Rc<DownstreamServer>,
    driver: JoinHandle<()>,
    listener_origin: ListenerOrigin,
}

impl Node {
    /// Serves until a signal asks the node to end, then shuts down.
    async fn run(mut self, mut terminate: Signal, mut interrupt: Signal) -> Result<(), NodeError> {
        self.serve(&mut terminate, &mut interrupt).await?;
        tracing::info!(connections = self.downstream.connection_count(), "shutdown requested");
        let shutdown = GracefulShutdown {
            limits: self.shared.limits.clone(),
            downstream: self.downstream.clone(),
            lifecycle: self.shared.lifecycle.clone(),
            events: self.shared.events.clone(),
            listener_origin: self.listener_origin,
        };
        tokio::select! {
            ended = &mut self.driver => return Err(driver_stopped(ended)),
            () = shutdown.run() => {}
        }
        self.stop_tasks().await;
        Ok(())
    }

    async fn serve(&mut self, terminate: &mut Signal, interrupt: &mut Signal) -> Result<(), NodeError> {
        let list_timeout = sleep(self.shared.limits.cached_list_after);
        tokio::pin!(list_timeout);
        loop {
            tokio::select! {
                ended = &mut self.driver => return Err(driver_stopped(ended)),
                _ = terminate.recv() => return Ok(()),
                _ = interrupt.recv() => return Ok(()),
                () = &mut list_timeout, if !list_timeout.is_elapsed() => serve_by_cached_list(&self.shared.lifecycle),
            }
        }
    }

    async fn stop_tasks(self) {
        self.driver.abort();
        let _ = self.driver.await;
        self.shared.tasks.shutdown().await;
    }
}

fn serve_by_cached_list(lifecycle: &Lifecycle) {
    if !lifecycle.facts().is_listed {
        tracing::warn!("no endpoint list received yet, serving by the cached one");
        lifecycle.update(|facts| facts.is_listed = true);
    }
}

fn driver_stopped(ended: Result<(), JoinError>) -> NodeError {
    NodeError::DriverStopped(ended.err())
}
