//! Watches services in Consul: a task for each service, which queries the agents in turn, and one task for the
//! roster's timers. Changes of the roster are sent as updates of the endpoint list.
mod entry;
mod query;

use crate::config::consul::ConsulConfig;
use crate::config::limits::Limits;
use crate::discovery::{EndpointUpdate, EndpointUpdateSender};
use crate::protocol::EndpointEntry;
use entry::{entry_of, member_of};
use query::{QueryError, ServiceQueries, read_token};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;
use troutknot::Millis;
use troutknot_clock::Clock;
use troutknot_consul::blocking::Watched;
use troutknot_consul::health::Member;
use troutknot_consul::roster::{Notice, Roster, WatchNumber};

/// Stands for the cached list in the roster, until all services have answered.
const CACHED_LIST: WatchNumber = WatchNumber(usize::MAX);

/// How often the status is refreshed, and failing queries are logged, while nothing else happens.
const STATUS_INTERVAL: Duration = Duration::from_secs(60);

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Watches the services that the operator's file names.
pub struct ConsulWatcher {
    /// The limits of this node.
    pub limits: Rc<Limits>,
    /// The clock of the roster.
    pub clock: Clock,
    /// Receives the updates.
    pub updates: EndpointUpdateSender,
    /// Terms of the watches; none once the operator's file no longer has them.
    pub config: watch::Receiver<Option<ConsulConfig>>,
    /// The status that a health check of this node returns.
    pub status: Rc<RefCell<String>>,
}

/// State that the tasks share.
struct Shared {
    limits: Rc<Limits>,
    clock: Clock,
    updates: EndpointUpdateSender,
    roster: RefCell<Roster>,
    status: Rc<RefCell<String>>,
    /// Notified when the time of the roster's next timer may have changed.
    timer_changed: Notify,
    /// The watches, in the order of precedence.
    watches: RefCell<Vec<ServiceWatch>>,
    next_number: Cell<usize>,
    has_cached_list: Cell<bool>,
    random_state: Cell<u64>,
}

/// The watch of one service.
struct ServiceWatch {
    watched: Watched,
    number: WatchNumber,
    task: JoinHandle<()>,
    last_answer_at: Cell<Option<Millis>>,
    is_failing: Cell<bool>,
}

impl ConsulWatcher {
    /// Watches until the node ends. The cached entries stay listed until all services have answered.
    pub async fn run(mut self, cached: Vec<EndpointEntry>) {
        let shared = Rc::new(Shared::new(&self, &cached));
        drop(cached);
        spawn_local(shared.clone().run_timers());
        loop {
            let config = self.config.borrow_and_update().clone();
            shared.reconcile(config).await;
            if self.config.changed().await.is_err() {
                return;
            }
        }
    }
}

impl Shared {
    fn new(watcher: &ConsulWatcher, cached: &[EndpointEntry]) -> Self {
        let config = watcher.config.borrow();
        let max_executors = watcher.limits.executor_bounds.max_retained;
        let terms = config.as_ref().map(|config| config.roster_terms(max_executors)).unwrap_or_default();
        // The clock's times are Unix times already.
        let mut roster = Roster::new(terms, 0.0);
        let members: Vec<Rc<Member>> = cached.iter().filter_map(member_of).map(Rc::new).collect();
        roster.answer(watcher.clock.now(), CACHED_LIST, &members);
        // The driver has these already.
        let _ = roster.changes(watcher.clock.now());
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Shared {
            limits: watcher.limits.clone(),
            clock: watcher.clock,
            updates: watcher.updates.clone(),
            roster: RefCell::new(roster),
            status: watcher.status.clone(),
            timer_changed: Notify::new(),
            watches: RefCell::default(),
            next_number: Cell::new(0),
            has_cached_list: Cell::new(!cached.is_empty()),
            random_state: Cell::new(since_epoch.as_nanos() as u64),
        }
    }

    /// Starts and stops watches so that they are those of the configuration. The state of a service that is still
    /// configured is retained.
    async fn reconcile(self: &Rc<Self>, config: Option<ConsulConfig>) {
        let mut previous = self.watches.take();
        if let Some(config) = &config {
            let max_executors = self.limits.executor_bounds.max_retained;
            self.roster.borrow_mut().set_terms(config.roster_terms(max_executors));
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
            self.roster.borrow_mut().remove(watch.number);
        }
        self.publish().await;
    }

    fn start_watch(
        self: &Rc<Self>,
        watched: Watched,
        queries: ServiceQueries,
        previous: Option<ServiceWatch>,
    ) -> ServiceWatch {
        if let Some(previous) = &previous {
            previous.task.abort();
        }
        let number = previous.as_ref().map_or_else(|| self.take_number(), |previous| previous.number);
        let last_answer_at = previous.as_ref().and_then(|previous| previous.last_answer_at.get());
        let is_failing = previous.is_some_and(|previous| previous.is_failing.get());
        ServiceWatch {
            watched,
            number,
            task: spawn_local(self.clone().run_queries(queries, number)),
            last_answer_at: Cell::new(last_answer_at),
            is_failing: Cell::new(is_failing),
        }
    }

    fn take_number(&self) -> WatchNumber {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        WatchNumber(number)
    }

    async fn run_queries(self: Rc<Self>, mut queries: ServiceQueries, number: WatchNumber) {
        loop {
            let address = queries.agent();
            let wait = match queries.query(&self.limits).await {
                Ok(answer) => {
                    self.apply_answer(number, &answer.members).await;
                    answer.next_query_after
                }
                Err(error) => {
                    self.record_failure(number, address, &error);
                    queries.fail_over(self.random_jitter())
                }
            };
            sleep(Duration::from_secs_f64(wait / MILLIS_PER_SECOND)).await;
        }
    }

    /// A random number from 0 to 1, for jitter.
    fn random_jitter(&self) -> f64 {
        // Xorshift64 (Marsaglia, 2003); its state must not be 0.
        let mut state = self.random_state.get() | 1;
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.random_state.set(state);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }

    async fn apply_answer(&self, number: WatchNumber, members: &[Rc<Member>]) {
        let now = self.clock.now();
        for watch in self.watches.borrow().iter().filter(|watch| watch.number == number) {
            if watch.is_failing.replace(false) {
                let service = &watch.watched.service;
                let elapsed_ms = watch.last_answer_at.get().map(|at| (now - at).round());
                tracing::info!(%service, elapsed_ms, count = members.len(), "consul query recovered");
            }
            watch.last_answer_at.set(Some(now));
        }
        self.roster.borrow_mut().answer(now, number, members);
        if self.have_all_answered() && self.has_cached_list.replace(false) {
            self.roster.borrow_mut().answer(now, CACHED_LIST, &[]);
        }
        self.publish().await;
    }

    fn have_all_answered(&self) -> bool {
        let roster = self.roster.borrow();
        self.watches.borrow().iter().all(|watch| roster.has_answered(watch.number))
    }

    fn record_failure(&self, number: WatchNumber, address: SocketAddr, error: &QueryError) {
        let now = self.clock.now();
        let count = self.roster.borrow().listed();
        for watch in self.watches.borrow().iter().filter(|watch| watch.number == number) {
            let service = &watch.watched.service;
            if watch.is_failing.replace(true) {
                tracing::debug!(%service, %address, %error, "consul query failed again");
            } else {
                let elapsed_ms = watch.last_answer_at.get().map(|at| (now - at).round());
                tracing::warn!(
                    %service,
                    %address,
                    %error,
                    elapsed_ms,
                    count,
                    "consul query failed, keeping the last list"
                );
            }
        }
        self.refresh_status();
    }

    /// Sends the roster's changes to the driver.
    async fn publish(&self) {
        let (changes, notices) = self.roster.borrow_mut().changes(self.clock.now());
        notices.iter().for_each(|notice| self.log_notice(notice));
        tracing::debug!(count = changes.len(), "consul changes sent");
        let has_answer = self.watches.borrow().iter().any(|watch| watch.last_answer_at.get().is_some());
        // An update without changes shows that the list is up to date.
        if has_answer || !changes.is_empty() {
            let entries = changes.into_iter().map(entry_of).collect();
            self.updates.send(EndpointUpdate::delta(entries)).await;
        }
        self.refresh_status();
        self.timer_changed.notify_one();
    }

    fn log_notice(&self, notice: &Notice) {
        match notice {
            Notice::PanicBegins { kept: missing, listed: count } => {
                tracing::warn!(missing, count, "too many executors missing in consul, they stay listed");
            }
            Notice::PanicEnds => tracing::info!("no executor missing in consul stays listed"),
            Notice::HeldOut { id: executor, penalty, until } => {
                let duration_ms = (until - self.clock.now()).round();
                tracing::info!(%executor, penalty, duration_ms, "executor suppressed by flap damping");
            }
            Notice::LetIn { id: executor } => {
                tracing::info!(%executor, "executor no longer suppressed by flap damping");
            }
            Notice::LeftOut { count } => {
                tracing::warn!(count, "too many executors in consul, some are not retained");
            }
        }
    }

    fn refresh_status(&self) {
        let now = self.clock.now();
        let (watches, roster) = (self.watches.borrow(), self.roster.borrow());
        let (listed, missing) = (roster.listed(), roster.kept());
        let mut status = format!("list from consul: {listed} listed, {missing} kept though missing\n");
        for watch in watches.iter() {
            let state = if watch.is_failing.get() { "failing" } else { "followed" };
            let answered = match watch.last_answer_at.get() {
                Some(at) => format!("answered {:.1} s ago", (now - at) / MILLIS_PER_SECOND),
                None => "never answered".into(),
            };
            let _ = writeln!(status, "service {}: {state}, {answered}", watch.watched.service);
        }
        *self.status.borrow_mut() = status;
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let due_at = self.roster.borrow().next_at();
            let wait = due_at.map_or(STATUS_INTERVAL, |at| self.time_until(at).min(STATUS_INTERVAL));
            tokio::select! {
                () = sleep(wait) => self.handle_timer(due_at).await,
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn time_until(&self, at: Millis) -> Duration {
        Duration::from_secs_f64(((at - self.clock.now()) / MILLIS_PER_SECOND).max(0.0))
    }

    async fn handle_timer(&self, due_at: Option<Millis>) {
        self.refresh_status();
        if due_at.is_some_and(|at| at <= self.clock.now()) {
            self.publish().await;
        } else if self.watches.borrow().iter().any(|watch| watch.is_failing.get()) {
            let status = self.status.borrow().trim().replace('\n', ", ");
            tracing::warn!(%status, "consul queries still failing");
        }
    }
}
