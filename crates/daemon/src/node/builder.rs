//! Creates the parts of a node and starts their tasks.
use super::Node;
use super::discovery::{self, CachedList, DiscoveryControls};
use super::ledger::LedgerOpener;
use super::shared::Shared;
use super::startup::{Configuration, Listeners};
use crate::admin::AdminServer;
use crate::config::limits::Limits;
use crate::config::reload::{ConfigReloader, NodeReload, OperatorReload};
use crate::discovery::EndpointUpdate;
use crate::downstream::{DownstreamContext, DownstreamServer, ListenerOrigin};
use crate::driver::{Driver, DriverDependencies};
use crate::error::NodeError;
use crate::event::NodeEvent;
use crate::gossip::GossipSocket;
use crate::hot_restart::codec::{InheritedState, StateBounds};
use crate::hot_restart::link::Link;
use crate::lifecycle::Drain;
use crate::membership::MAX_EXCLUDED_ABSENT;
use crate::protocol::EndpointList;
use crate::retention::EndpointRetention;
use crate::takeover::{self, Handover, Takeover};
use crate::upstream::ExecutorPool;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use troutknot::{Dispatcher, ListUpdate};

/// Number of request ids that a process may use per millisecond without a collision with those of a later process. The
/// first id is this number times the Unix time in milliseconds, which is also far above the numbers of a ledger.
const REQUEST_IDS_PER_MILLI: u64 = 1000;

/// The result of the first phase of a hot restart, which runs before the node is built.
#[derive(Default)]
pub struct HotRestart {
    /// Path of the Unix socket that connects the processes of this node, or `None` if hot restart is disabled.
    socket_path: Option<PathBuf>,
    /// The state and connection of the old process, if one runs.
    handover: Option<Handover>,
}

impl HotRestart {
    /// Requests the state of the old process if the listening socket was inherited. The endpoint list of the old
    /// process replaces the older one of the configuration.
    pub async fn begin(configuration: &mut Configuration, limits: &Limits, origin: ListenerOrigin) -> Self {
        if origin == ListenerOrigin::Bound {
            return HotRestart::default();
        }
        let node = &mut configuration.node;
        let Some(path) = takeover::socket_path(&node.name) else { return HotRestart::default() };
        let bounds = StateBounds {
            excluded: limits.executor_bounds.max_listed + MAX_EXCLUDED_ABSENT,
            entries: limits.executor_bounds.max_listed,
            executors: limits.executor_bounds.max_registered,
            ids: 2 * (limits.downstream.max_completed_ids + limits.downstream.max_protected_ids),
        };
        let mut handover = takeover::request_state(&path, &node.name, bounds).await;
        if let Some(Handover { inherited, .. }) = &mut handover {
            let configured_version = node.cached_list.as_ref().map(|list| list.version);
            let version = inherited.version.or(configured_version).unwrap_or(0);
            let entries = std::mem::take(&mut inherited.entries);
            let dropped_entries = inherited.dropped_entries;
            node.cached_list = Some(EndpointList { version, is_snapshot: true, entries, dropped_entries });
        }
        HotRestart { socket_path: Some(path), handover }
    }
}

/// Builds a node from its configuration.
pub struct NodeBuilder {
    configuration: Configuration,
    shared: Shared,
    gossip: Option<Rc<GossipSocket>>,
    executors: Rc<ExecutorPool>,
    downstream: Rc<DownstreamServer>,
}

impl NodeBuilder {
    /// Creates the downstream server and the executor pool.
    pub fn new(configuration: Configuration, shared: Shared, gossip: Option<Rc<GossipSocket>>) -> Self {
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
            discovery_status: shared.discovery_status.clone(),
            durable_config: configuration.operator.durable.clone(),
            sibling: shared.sibling.clone(),
            tasks: shared.tasks.clone(),
        });
        NodeBuilder { configuration, shared, gossip, executors, downstream }
    }

    /// Creates the other parts and starts all tasks.
    ///
    /// # Errors
    /// If the ledger cannot be opened, or the address of the admin API cannot be determined.
    pub fn build(
        mut self,
        received_events: mpsc::Receiver<NodeEvent>,
        listeners: Listeners,
        hot_restart: HotRestart,
        reload: Signal,
    ) -> Result<Node, NodeError> {
        let (inherited, old_process) =
            hot_restart.handover.map(|handover| (handover.inherited, handover.link)).unzip();
        self.open_ledger(listeners.origin, old_process.is_some())?;
        let mut driver = self.build_driver(received_events);
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
        if let Some(path) = hot_restart.socket_path {
            self.start_takeover(path, old_process);
        }
        let (shared, downstream) = (self.shared.clone(), self.downstream.clone());
        self.start_reload(reload, controls);
        Ok(Node { shared, downstream, driver, listener_origin: listeners.origin })
    }

    /// Opens the ledger, if the operator's file configures one. If another process may still have it open, a task
    /// waits until it is released, and this process uses request ids outside the ledger's range.
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
        let unix_millis = self.shared.clock.now().max(0.0) as u64;
        self.downstream.set_first_request_id(unix_millis * REQUEST_IDS_PER_MILLI);
        self.shared.tasks.spawn(opener.open_once_released());
        Ok(())
    }

    fn build_driver(&self, events: mpsc::Receiver<NodeEvent>) -> Driver {
        let Configuration { node, settings, seed, .. } = &self.configuration;
        let shared = &self.shared;
        let bounds = &shared.limits.executor_bounds;
        Driver::new(DriverDependencies {
            dispatcher: Dispatcher::new(settings, *seed, shared.clock.now()),
            clock: shared.clock,
            codec: shared.codec.clone(),
            executors: self.executors.clone(),
            watch_requests: shared.watch_requests.clone(),
            events,
            lifecycle: shared.lifecycle.clone(),
            sibling: shared.sibling.clone(),
            retention: EndpointRetention::new(&node.name, bounds.max_retained, bounds.max_unretained_entries),
            gossip: self.gossip.clone(),
            tasks: shared.tasks.clone(),
        })
    }

    /// Applies the cached endpoint list and the state of the old process to the driver. Returns the cached list for
    /// the discovery sources.
    fn restore(&mut self, driver: &mut Driver, mut inherited: Option<InheritedState>) -> CachedList {
        let Some(list) = self.configuration.node.cached_list.take() else { return CachedList::default() };
        let cached = CachedList::from_list(&list, &self.configuration.operator.discovery.sources);
        if let Some(inherited) = &mut inherited {
            driver.exclude(&std::mem::take(&mut inherited.excluded));
        }
        let update = EndpointUpdate::from_list(ListUpdate::Cached, list);
        driver.handle_event(self.shared.clock.now(), NodeEvent::ListReceived(update));
        if let Some(inherited) = inherited {
            self.restore_state(driver, inherited);
        }
        cached
    }

    fn restore_state(&self, driver: &mut Driver, mut inherited: InheritedState) {
        self.downstream.import_protected_request_ids(&std::mem::take(&mut inherited.protected_ids));
        self.downstream.record_sibling_requests(&std::mem::take(&mut inherited.ids));
        if inherited.is_drained {
            self.shared.lifecycle.update(|conditions| {
                conditions.drain = Drain::Settled;
                conditions.is_drain_inherited = true;
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
            self.shared.tasks.clone(),
        )
    }

    fn log_listening(&self, address: SocketAddr) {
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
            successor_listener: RefCell::default(),
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
