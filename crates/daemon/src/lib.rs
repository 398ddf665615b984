//! One real node: the dispatcher on sockets. Here it starts and stops; each concern has a file or a room of
//! its own. `troutknotd` and `troutknot node` are thin programs round [`start`].
mod admin;
mod byte_budget;
mod config;
mod discovery;
mod downstream;
mod driver;
mod durable;
mod event;
mod gossip;
mod hot_restart;
mod http1;
mod in_flight;
mod lifecycle;
mod membership;
mod protocol;
mod retention;
mod ring_buffer;
mod tasks;
mod upstream;

use admin::AdminServer;
use config::durable::DurableConfig;
use config::limits::{LimitInputs, Limits};
use config::node::{NodeConfig, ResolvedNodeConfig, limit_inputs};
use config::operator::{DiscoverySource, OperatorFile};
use config::reload::{ConfigReloader, NodeReload, OperatorReload};
use discovery::{EndpointUpdate, EndpointUpdateSender, merge::EndpointMerge};
use downstream::DownstreamServer;
use driver::Driver;
use durable::Durable;
use event::{NodeEvent, WatchRequests};
use gossip::{AddressUse, GossipSocket};
use hot_restart::{codec::Bounds, inherited_socket, sibling::SiblingProcess, takeover, takeover::Takeover};
use lifecycle::{Drain, Lifecycle, Shutdown};
use protocol::{Codec, Current, EndpointList};
use retention::EndpointRetention;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use tracing_appender::non_blocking::NonBlockingBuilder;
use troutknot::{Dispatcher, ListUpdate};
use troutknot_clock::Clock;
use troutknot_configuration::IdCatalog;
use troutknot_membership::Retention;
use upstream::ExecutorPool;

/// A node that ends is empty once nobody was connected so often in a row.
const EMPTY_FOR: u32 = 2;

/// How often a ledger is tried that another process may hold.
const LEDGER_AGAIN: Duration = Duration::from_millis(100);

/// Writes the log's waiting lines when it is dropped; to be held until the process ends.
pub struct LogGuard(#[allow(dead_code)] tracing_appender::non_blocking::WorkerGuard);

/// Starts the log on standard output; `TROUTKNOT_LOG=debug` says more. Once a process.
pub fn log_to_stdout() -> LogGuard {
    let level = match std::env::var("TROUTKNOT_LOG").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    // Guards against a log that nobody reads: lines are dropped then, and the node serves on.
    let log = NonBlockingBuilder::default().buffered_lines_limit(config::limits::LOG_QUEUE_LINES).lossy(true);
    let (log, written_at_the_end) = log.finish(std::io::stdout());
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .with_writer(log)
        .init();
    LogGuard(written_at_the_end)
}

/// Runs one node until SIGTERM or SIGINT has been seen through, on this thread alone.
///
/// `path` names the JSON file that says all that the node is told; it is read again at SIGHUP.
///
/// # Errors
/// One plain line that says why the node cannot start, or that its driver has ended.
pub fn start(path: &Path) -> Result<(), String> {
    // Before anything else is opened, so that the descriptor is the one that was passed on.
    let passed =
        inherited_socket::listener(std::env::var(inherited_socket::DESCRIPTOR_VARIABLE).ok().as_deref())
            .map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    // Before anything is read, which may take a while: a signal that comes meanwhile is seen once the node runs.
    let signals = runtime.block_on(async { Signals::listen() })?;
    let told = NodeConfig::read(path).map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, run(told, path.to_owned(), passed, signals))
}

/// The signals that the node goes by; none of them ends it unseen.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reread: Signal,
}

impl Signals {
    fn listen() -> Result<Self, String> {
        let of = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
        Ok(Signals {
            terminate: of(SignalKind::terminate())?,
            interrupt: of(SignalKind::interrupt())?,
            reread: of(SignalKind::hangup())?,
        })
    }
}

/// Says whether a node could be told by this file.
///
/// # Errors
/// One plain line that says why not.
pub fn check(path: &Path) -> Result<(), String> {
    let config = NodeConfig::read(path).map_err(|error| error.to_string())?;
    let resolved = config.resolve(&mut IdCatalog::default());
    resolved.map(|_| ()).map_err(|error| format!("`{}`: {error}", path.display()))
}

/// Says whether an operator's own file could be used.
///
/// # Errors
/// Every fault on a line of its own.
pub fn check_own(path: &Path) -> Result<(), String> {
    OperatorFile::read(path).map(|_| ()).map_err(|error| error.to_string())
}

/// The file that `ROUTER_CONFIG` names.
///
/// # Errors
/// Where it is not set.
pub fn path_from_environment() -> Result<PathBuf, String> {
    std::env::var_os("ROUTER_CONFIG").map(PathBuf::from).ok_or_else(|| "ROUTER_CONFIG is not set".into())
}

async fn run(
    mut told: NodeConfig,
    path: PathBuf,
    passed: Option<std::net::TcpListener>,
    signals: Signals,
) -> Result<(), String> {
    let Signals { mut terminate, mut interrupt, reread } = signals;
    let mut catalog = IdCatalog::default();
    let ResolvedNodeConfig { seed, settings, codec } =
        told.resolve(&mut catalog).map_err(|error| error.to_string())?;
    let own_path = OperatorFile::path_from_environment();
    let file = own_path.as_deref().map(OperatorFile::read).transpose();
    let file = file.map_err(|error| error.to_string())?.unwrap_or_default();
    file.check_settings(&settings).map_err(|error| error.to_string())?;
    let address_use = if passed.is_some() { AddressUse::Shared } else { AddressUse::Exclusive };
    let peers = file
        .gossip
        .clone()
        .map(|gossip| GossipSocket::listen(gossip.listen_address, gossip.peers, address_use))
        .transpose()
        .map_err(|error| error.to_string())?;
    let limits = Rc::new(Limits::new(&LimitInputs {
        memory_mb: told.resources.memory_mb,
        max_sockets: told.resources.max_sockets,
        has_consul: file.discovery.sources.contains(&DiscoverySource::Consul),
        has_ledger: file.durable.is_some(),
        has_inherited_socket: passed.is_some(),
        ..limit_inputs(&settings, &codec)
    }));
    let codec = Current::new(codec);
    let cannot = |at: SocketAddr| move |e| format!("cannot listen at {at}: {e}");
    let passed = passed.map(TcpListener::from_std).transpose().map_err(cannot(told.listen_address))?;
    let was_passed = passed.is_some();
    let listener = match passed {
        Some(listener) => listener,
        None => listen(told.listen_address, limits.listen_backlog).map_err(cannot(told.listen_address))?,
    };
    let management =
        told.admin_address.map(|at| listen(at, limits.listen_backlog).map_err(cannot(at))).transpose()?;
    let address =
        listener.local_addr().map_err(|e| format!("cannot listen at {}: {e}", told.listen_address))?;

    let clock = Clock::start();
    let beside: Rc<SiblingProcess> = Rc::default();
    let place = was_passed.then(|| takeover::socket_path(&told.name)).flatten();
    let bounds =
        Bounds { executors: limits.executor_bounds.max_listed, ids: 2 * limits.downstream.max_completed_ids };
    let older = match &place {
        Some(place) => takeover::request_state(place, &told.name, bounds).await,
        None => None,
    };
    let (mut inherited, older) = older.map(|handover| (handover.inherited, handover.link)).unzip();
    let tasks = tasks::TaskGroup::default();
    if let Some(inherited) = &mut inherited {
        // What the process before this one was told of the list is newer than what the configuration says.
        let version = inherited.version.or(told.cached_list.as_ref().map(|known| known.version));
        let entries = std::mem::take(&mut inherited.entries);
        told.cached_list =
            Some(EndpointList { version: version.unwrap_or(0), full: true, entries, beyond: 0 });
    }
    let (events, told_events) = mpsc::channel(limits.event_queue_capacity);
    let lifecycle = Rc::new(Lifecycle::new());
    let follow: Rc<WatchRequests> = Rc::default();
    let executors = ExecutorPool::new(limits.clone(), codec.clone(), events.clone(), beside.clone());
    let status: Rc<RefCell<String>> = Rc::default();
    let clients = DownstreamServer::new(
        limits.clone(),
        codec.clone(),
        events.clone(),
        lifecycle.watch(),
        status.clone(),
        file.durable.clone(),
        beside.clone(),
    );
    if let Some(terms) = file.durable.clone() {
        let ledger = LedgerOpener {
            terms,
            limits: limits.clone(),
            clock,
            codec: codec.clone(),
            events: events.clone(),
        };
        let held =
            if older.is_some() { Err("the process before this one has it".into()) } else { ledger.open() };
        match held {
            Ok(durable) => take_durably(durable, &clients, &executors, &lifecycle),
            Err(why) if !was_passed => return Err(why),
            Err(_) => {
                clients.number_from(clock.now().max(0.0) as u64 * 1000);
                spawn_local(ledger.wait(clients.clone(), executors.clone(), lifecycle.clone()));
            }
        }
    }
    let dispatcher = Dispatcher::new(&settings, seed, clock.now());
    let mut driver = Driver::new(
        dispatcher,
        clock,
        codec.clone(),
        executors.clone(),
        follow.clone(),
        told_events,
        lifecycle.clone(),
    );
    driver.peers = peers.clone();
    driver.retention = EndpointRetention::new(
        &told.name,
        limits.executor_bounds.max_retained,
        limits.executor_bounds.max_unretained_entries,
    );
    if let Some(peers) = peers {
        spawn_local(peers.receive(codec.clone(), events.clone()));
    }
    let version = told.cached_list.as_ref().map(|known| known.version);
    // A platform's list that is followed alone goes on from its version, and needs no second copy of it.
    let is_alone = file.discovery.sources.as_slice() == [DiscoverySource::Platform];
    let before = told.cached_list.as_ref().filter(|_| !is_alone);
    let before = before.map_or(Vec::new(), |known| known.entries.clone());
    if let Some(known) = told.cached_list.take() {
        if let Some(inherited) = &mut inherited {
            driver.leave_out(std::mem::take(&mut inherited.excluded));
        }
        driver
            .tell(clock.now(), NodeEvent::ListReceived(EndpointUpdate::from_list(ListUpdate::Cached, known)));
    }
    if let Some(mut inherited) = inherited {
        clients.taken_elsewhere(&inherited.ids);
        if inherited.is_drained {
            lifecycle.update(|facts| (facts.drain, facts.is_drain_inherited) = (Drain::Settled, true));
        }
        inherited.ids = Vec::new();
        driver.take_over(clock.now(), inherited);
    }
    let (discovery, followed) = watch::channel(told.discovery_address);
    let (consul, consul_wanted) = watch::channel(file.discovery.consul.clone());
    let merge = Rc::new(RefCell::new(EndpointMerge::new(limits.executor_bounds.max_listed)));
    let retention = Retention::of_node(&told.name);
    for (place, source) in file.discovery.sources.iter().enumerate() {
        let several = file.discovery.sources.len() > 1;
        let events = events.clone();
        let told = if several {
            EndpointUpdateSender::merged(events, place, &merge)
        } else {
            EndpointUpdateSender::unmerged(events)
        };
        match source {
            DiscoverySource::Platform => {
                if several {
                    // Its watch goes on from the version held before, and the node has been told of that.
                    let _ = merge.borrow_mut().apply(place, ListUpdate::Snapshot, before.clone());
                }
                let follower = discovery::platform::PlatformWatcher {
                    address: followed.clone(),
                    limits: limits.clone(),
                    codec: codec.clone(),
                    updates: told,
                    requests: follow.clone(),
                    retention,
                };
                // The list is followed from the start, also where nobody has to ask for it.
                follow.resume.notify_one();
                spawn_local(follower.run(version));
            }
            DiscoverySource::Consul => {
                let (limits, wanted) = (limits.clone(), consul_wanted.clone());
                let follower = discovery::consul::ConsulWatcher {
                    limits,
                    clock,
                    updates: told,
                    config: wanted,
                    status: status.clone(),
                };
                // With the platform's list beside it, that one keeps what was held before.
                let known = if several { Vec::new() } else { before.clone() };
                spawn_local(follower.run(known));
            }
        }
    }
    drop(before);
    spawn_local(executors.clone().retire_idle());
    spawn_local(clients.clone().accept(listener, was_passed));
    let figures = driver.figures.clone();
    let driver = spawn_local(driver.run());
    tracing::info!(
        "{} listens at {}: {} clients, {} connections to executors, {} bytes held at most",
        told.name,
        address,
        limits.downstream.max_connections,
        limits.upstream.max_connections,
        limits.downstream.max_reserved_bytes
    );
    if let Some(listener) = management {
        let at = listener.local_addr().map_err(|e| format!("no address to be called at: {e}"))?;
        tracing::info!("operators call at {at}");
        spawn_local(
            AdminServer::new(limits.clone(), events.clone(), lifecycle.clone(), beside.clone(), figures)
                .accept(listener),
        );
    }
    if let Some(place) = place {
        let handover = Rc::new(Takeover {
            name: told.name.clone(),
            path: place,
            sibling: beside,
            limits: limits.clone(),
            events: events.clone(),
            lifecycle: lifecycle.clone(),
            downstream: clients.clone(),
            executors: executors.clone(),
            tasks: tasks.clone(),
            bound: RefCell::default(),
        });
        spawn_local(handover.run(older));
    }
    let reloader = ConfigReloader {
        node: NodeReload {
            path,
            config: told,
            discovery_address: discovery,
            catalog,
            limits: limits.clone(),
            codec: codec.clone(),
            events: events.clone(),
        },
        operator: OperatorReload { path: own_path, file, consul },
    };
    spawn_local(reloader.run(reread));
    let unlisted = sleep(limits.cached_list_after);
    tokio::pin!(driver, unlisted);
    loop {
        tokio::select! {
            _ = &mut driver => return Err("the driver has ended".into()),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = &mut unlisted, if !unlisted.is_elapsed() => {
                if !lifecycle.facts().is_listed {
                    tracing::warn!("no word from the list yet, serving by the one held before");
                    lifecycle.update(|facts| facts.is_listed = true);
                }
            }
        }
    }
    tracing::info!("asked to end, {} connections from clients", clients.connections());
    let ending = end(&limits, &clients, &lifecycle, &events, was_passed);
    tokio::select! {
        _ = &mut driver => return Err("the driver has ended".into()),
        () = ending => {}
    }
    tasks.shutdown().await;
    Ok(())
}

/// Takes durable work from now on, and takes up what is open on record.
fn take_durably(
    durable: Rc<Durable>,
    clients: &DownstreamServer,
    executors: &ExecutorPool,
    lifecycle: &Lifecycle,
) {
    let _ = executors.durable.set(durable.clone());
    clients.open_ledger(durable.clone());
    spawn_local(durable.clone().recover(lifecycle.watch(), clients.held.clone()));
    spawn_local(durable.forget());
}

/// What is needed to open the ledger, which one process holds alone.
struct LedgerOpener {
    terms: DurableConfig,
    limits: Rc<Limits>,
    clock: Clock,
    codec: Rc<Current<Codec>>,
    events: mpsc::Sender<NodeEvent>,
}

impl LedgerOpener {
    fn open(&self) -> Result<Rc<Durable>, String> {
        Durable::start(self.terms.clone(), &self.limits, self.clock, &self.codec, &self.events)
    }

    /// Opens it once the process before this one has ended; until then durable work is deferred.
    async fn wait(
        self,
        clients: Rc<DownstreamServer>,
        executors: Rc<ExecutorPool>,
        lifecycle: Rc<Lifecycle>,
    ) {
        tracing::info!("durable work is deferred until the process before this one has ended");
        let mut said = String::new();
        loop {
            sleep(LEDGER_AGAIN).await;
            match self.open() {
                Ok(durable) => return take_durably(durable, &clients, &executors, &lifecycle),
                Err(why) if why != said => {
                    tracing::info!("not yet: {why}");
                    said = why;
                }
                Err(_) => {}
            }
        }
    }
}

fn listen(addr: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A node that starts again under its address must not wait for connections of its last life.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// Answers what is taken and what still comes, closes what is idle, and ends when nothing is left.
async fn end(
    limits: &Limits,
    clients: &DownstreamServer,
    lifecycle: &Lifecycle,
    events: &mpsc::Sender<NodeEvent>,
    passed: bool,
) {
    let (asked, times) = (Instant::now(), limits.timeouts());
    lifecycle
        .update(|facts| facts.shutdown = if passed { Shutdown::HandedOver } else { Shutdown::Requested });
    // Until then after the signal, or until nobody is connected. Guards against a connection that came up just
    // before it was counted and is yet to be accepted: nobody must be seen twice, with a turn to accept between.
    let wait = async |until: Duration| {
        let mut empty = 0;
        while empty < EMPTY_FOR && asked.elapsed() < until {
            empty = if clients.connections() > 0 { 0 } else { empty + 1 };
            sleep(Duration::from_millis(20)).await;
        }
    };
    if passed {
        // Another process takes what still comes.
        wait(times.close_idle_after).await;
    } else {
        let mut staged = lifecycle.watch();
        let _ = timeout(times.close_idle_after, staged.wait_for(|stage| stage.closes_idle())).await;
    }
    lifecycle.update(|facts| facts.shutdown = Shutdown::Closing);
    wait(times.cancel_after).await;
    if clients.connections() > 0 {
        let _ = events.send(NodeEvent::CancelInFlight).await;
        wait(times.answer_open_after).await;
    }
    let left = clients.connections();
    if left > 0 {
        let _ = events.send(NodeEvent::ShutDown).await;
        wait(times.answer_open_after + limits.last_write_timeout).await;
    }
    tracing::info!("ended with {left} connections still open");
}

#[cfg(test)]
#[path = "../tests/unit/lib.rs"]
mod tests;

#[cfg(test)]
#[path = "../tests/unit/compatibility.rs"]
mod compatibility;
