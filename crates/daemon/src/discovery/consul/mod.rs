//! Watches services in Consul. One task for each service queries the agents in turn, and one task runs the timers of
//! the catalog. Changes of the catalog are sent as updates of the endpoint list.
mod entry;
mod publish;
mod query;
mod service;

use crate::config::consul::ConsulConfig;
use crate::config::limits::Limits;
use crate::discovery::EndpointUpdateSender;
use crate::protocol::EndpointEntry;
use crate::tasks::TaskGroup;
use entry::to_instance;
use query::{ServiceQueries, read_token};
use service::ServiceWatch;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use troutknot_clock::Clock;
use troutknot_consul::catalog::{Catalog, WatchId};
use troutknot_consul::health::ServiceInstance;
use troutknot_consul::query::WatchedService;

/// Identifies the cached list in the catalog until all services have answered.
const CACHED_LIST: WatchId = WatchId(usize::MAX);

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Watches the services that the operator's file configures.
pub struct ConsulWatcher {
    /// The limits of the node.
    pub limits: Rc<Limits>,
    /// The clock of the catalog.
    pub clock: Clock,
    /// Receives the updates.
    pub updates: EndpointUpdateSender,
    /// Configuration of the watches; `None` if a reloaded operator's file no longer has it.
    pub config: watch::Receiver<Option<ConsulConfig>>,
    /// The status text that a health check of the node returns.
    pub status: Rc<RefCell<String>>,
    /// Runs the tasks of the watches.
    pub tasks: TaskGroup,
}

/// State that the tasks of the watches share.
struct WatcherState {
    limits: Rc<Limits>,
    clock: Clock,
    updates: EndpointUpdateSender,
    catalog: RefCell<Catalog>,
    status: Rc<RefCell<String>>,
    tasks: TaskGroup,
    /// Notified when the time of the catalog's next timer may have changed.
    timer_changed: Notify,
    /// The watches, in the order of precedence.
    watches: RefCell<Vec<ServiceWatch>>,
    next_watch_number: Cell<usize>,
    has_cached_list: Cell<bool>,
    random_state: Cell<u64>,
}

impl ConsulWatcher {
    /// Watches until the node shuts down. Cached entries stay listed until all services have answered.
    pub async fn run(mut self, cached: Vec<EndpointEntry>) {
        let shared = Rc::new(WatcherState::new(&self, &cached));
        drop(cached);
        self.tasks.spawn(shared.clone().run_timers());
        loop {
            let config = self.config.borrow_and_update().clone();
            shared.reconcile(config).await;
            if self.config.changed().await.is_err() {
                return;
            }
        }
    }
}

impl WatcherState {
    fn new(watcher: &ConsulWatcher, cached: &[EndpointEntry]) -> Self {
        let config = watcher.config.borrow();
        let max_executors = watcher.limits.executor_bounds.max_retained;
        let policy = config.as_ref().map(|config| config.catalog_policy(max_executors)).unwrap_or_default();
        // The offset to Unix time is 0, because the clock already returns Unix times.
        let mut catalog = Catalog::new(policy, 0.0);
        let instances: Vec<Rc<ServiceInstance>> =
            cached.iter().filter_map(to_instance).map(Rc::new).collect();
        catalog.apply_response(watcher.clock.now(), CACHED_LIST, &instances);
        // Discarded, because the driver already has the cached list.
        let _ = catalog.take_changes(watcher.clock.now());
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WatcherState {
            limits: watcher.limits.clone(),
            clock: watcher.clock,
            updates: watcher.updates.clone(),
            catalog: RefCell::new(catalog),
            status: watcher.status.clone(),
            tasks: watcher.tasks.clone(),
            timer_changed: Notify::new(),
            watches: RefCell::default(),
            next_watch_number: Cell::new(0),
            has_cached_list: Cell::new(!cached.is_empty()),
            random_state: Cell::new(since_epoch.as_nanos() as u64),
        }
    }

    /// Starts and stops watches so that they match the configuration. The state of a service that is still configured
    /// is retained.
    async fn reconcile(self: &Rc<Self>, config: Option<ConsulConfig>) {
        let mut previous = self.watches.take();
        if let Some(config) = &config {
            let max_executors = self.limits.executor_bounds.max_retained;
            self.catalog.borrow_mut().set_policy(config.catalog_policy(max_executors));
            let token = config.token_file.as_deref().and_then(read_token);
            for watched in config.watches() {
                let index = previous.iter().position(|watch| watch.watched == watched);
                let previous = index.map(|index| previous.swap_remove(index));
                let queries = ServiceQueries::new(config, watched.clone(), token.clone());
                let watch = self.start_watch(watched, queries, previous);
                self.watches.borrow_mut().push(watch);
            }
            let agents: Vec<String> = config.agents.iter().map(SocketAddr::to_string).collect();
            tracing::info!(
                agents = %agents.join(", "),
                count = config.services.len(),
                "watching consul services"
            );
        }
        for watch in previous {
            watch.task.abort();
            tracing::info!(service = %watch.watched.service, "consul service no longer watched");
            self.catalog.borrow_mut().remove_watch(watch.watch_id);
        }
        self.publish().await;
    }

    fn start_watch(
        self: &Rc<Self>,
        watched: WatchedService,
        queries: ServiceQueries,
        previous: Option<ServiceWatch>,
    ) -> ServiceWatch {
        if let Some(previous) = &previous {
            previous.task.abort();
        }
        let watch_id = previous.as_ref().map_or_else(|| self.next_watch_id(), |previous| previous.watch_id);
        let last_answer_at = previous.as_ref().and_then(|previous| previous.last_answer_at.get());
        let is_failing = previous.is_some_and(|previous| previous.is_failing.get());
        ServiceWatch {
            watched,
            watch_id,
            task: self.tasks.spawn(self.clone().run_queries(queries, watch_id)),
            last_answer_at: Cell::new(last_answer_at),
            is_failing: Cell::new(is_failing),
        }
    }

    fn next_watch_id(&self) -> WatchId {
        let number = self.next_watch_number.get();
        self.next_watch_number.set(number + 1);
        WatchId(number)
    }
}
