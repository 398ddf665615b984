//! A shard: the hollow executors that share one thread, with their sockets.
use crate::departures::Departures;
use crate::executor_commands::{Command, PendingCommand, Reply};
use crate::executor_config::{AT_MOST_ONCE, ExecutorConfig, REAL_NODES_ADDRESS, result_of};
use crate::executor_counts::{ExecutorCounts, ExecutorViolation, Sender, TrafficEvent};
use crate::request_id::RequestId;
use crate::wire::{self, Connection, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// 127.64.0.1, the address of the first executor.
const FIRST_ADDRESS: u32 = 0x7f40_0001;
/// Port 0: the operating system assigns a port.
const ANY_PORT: u16 = 0;
/// Upper bound of a service time, as a multiple of the mean.
const MAX_SERVICE_TIME_FACTOR: f64 = 10.0;
/// Delay before a restarted executor tries again to listen, while its port is in use.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

impl ExecutorConfig {
    /// Returns the service time of a request on an executor that has warmed up. It is drawn from the seed and the
    /// request id, hence the same on every executor.
    fn service_time(&self, request: RequestId) -> Duration {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ request.0.rotate_left(17));
        let uniform: f64 = random.random();
        let drawn = -(1.0 - uniform).ln();
        self.mean_service_time.mul_f64(drawn.min(MAX_SERVICE_TIME_FACTOR))
    }

    /// Returns the share of its capacity that an executor has at this age.
    fn capacity_share(&self, age: Duration) -> f64 {
        let progress = age.as_secs_f64() / self.ramp_duration.as_secs_f64().max(1e-9);
        (self.initial_capacity + (1.0 - self.initial_capacity) * progress).min(1.0)
    }
}

/// State that all executors of a shard share.
struct Shared {
    config: ExecutorConfig,
    counts: ExecutorCounts,
    departures: Departures,
}

/// Whether an executor runs. Each start has a generation of its own, so that a restart is seen as a change.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RunState {
    Running(u32),
    Down,
}

struct Executor {
    number: usize,
    address: SocketAddr,
    shared: Rc<Shared>,
    run_state: watch::Sender<RunState>,
    generation: Cell<u32>,
    /// None if the executor counts as warmed up.
    started_at: Cell<Option<Instant>>,
    slots: Semaphore,
    running: Cell<usize>,
    waiting: Cell<usize>,
    /// Arrival time and service time of the work received during warm-up within the budget window.
    recent_work: RefCell<VecDeque<(Instant, Duration)>>,
}

/// Increments a count, and decrements it again when it is dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn increment(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        CountGuard(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The executors of one shard.
struct Shard {
    /// Number of the shard's first executor within the fleet.
    first: usize,
    executors: Vec<Rc<Executor>>,
    shared: Rc<Shared>,
}

/// Carries out commands until all senders are dropped; the first command must be [`Command::Open`].
pub async fn serve_commands(mut commands: mpsc::UnboundedReceiver<PendingCommand>) {
    let mut shard = None;
    while let Some(PendingCommand { command, reply }) = commands.recv().await {
        let result = match (command, &shard) {
            (Command::Open { first, count, config }, None) => match Shard::open(first, count, config) {
                Ok(opened) => Reply::Opened(shard.insert(opened).addresses()),
                Err(error) => Reply::Failed(error.to_string()),
            },
            (command, Some(shard)) => shard.execute(command),
            (command, None) => Reply::Failed(format!("the executors are not open yet: {command:?}")),
        };
        // Lets the executors' tasks handle a change of their state before the command is acknowledged.
        tokio::task::yield_now().await;
        let _ = reply.send(result);
    }
}

impl Shard {
    fn open(first: usize, count: usize, config: ExecutorConfig) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            config,
            counts: ExecutorCounts::default(),
            departures: Departures::new(config.max_notification_delay),
        });
        let mut executors: Vec<Rc<Executor>> = Vec::with_capacity(count);
        for number in first..first + count {
            // All executors use the port of the first one, which keeps fleets of concurrent runs apart.
            let port = executors.first().map_or(ANY_PORT, |executor| executor.address.port());
            executors.push(Executor::open(number, port, &shared)?);
        }
        Ok(Shard { first, executors, shared })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.executors.iter().map(|executor| executor.address).collect()
    }

    /// Returns the executors of this shard whose numbers are in the range.
    fn members_in(&self, range: &Range<usize>) -> &[Rc<Executor>] {
        let count = self.executors.len();
        let start = range.start.saturating_sub(self.first).min(count);
        let end = range.end.saturating_sub(self.first).min(count);
        &self.executors[start..end.max(start)]
    }

    fn execute(&self, command: Command) -> Reply {
        let Shared { departures, counts, .. } = &*self.shared;
        let now = Instant::now();
        match command {
            Command::Open { .. } => return Reply::Failed("the executors are already open".into()),
            Command::Kill(range) => self.members_in(&range).iter().for_each(|executor| executor.kill()),
            Command::Restart(range) => self.members_in(&range).iter().for_each(|executor| executor.restart()),
            Command::MarkWarm(range) => {
                self.members_in(&range).iter().for_each(|executor| executor.started_at.set(None))
            }
            Command::RecordDepartures(executors) => {
                executors.into_iter().for_each(|executor| departures.record_departure(executor, now))
            }
            Command::RecordReturns(executors) => {
                executors.into_iter().for_each(|executor| departures.record_return(executor))
            }
            Command::RecordNotifications { node, executors } => {
                executors
                    .into_iter()
                    .for_each(|executor| departures.record_notification(node, executor, now));
            }
            Command::ClearDepartures => departures.clear(),
            Command::Report => return Reply::Report(counts.take_report()),
        }
        Reply::Done
    }
}

impl Executor {
    /// Listens at this port, or at a free one if the port is in use at the executor's address.
    fn open(number: usize, port: u16, shared: &Rc<Shared>) -> io::Result<Rc<Self>> {
        let ip = IpAddr::V4(Ipv4Addr::from(FIRST_ADDRESS + number as u32));
        let listener = match wire::listen(SocketAddr::new(ip, port)) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                wire::listen(SocketAddr::new(ip, ANY_PORT))?
            }
            listener => listener?,
        };
        let executor = Rc::new(Executor {
            number,
            address: listener.local_addr()?,
            shared: shared.clone(),
            run_state: watch::channel(RunState::Running(0)).0,
            generation: Cell::new(0),
            started_at: Cell::new(None),
            slots: Semaphore::new(shared.config.slots),
            running: Cell::new(0),
            waiting: Cell::new(0),
            recent_work: RefCell::default(),
        });
        spawn_local(executor.clone().accept(listener));
        Ok(executor)
    }

    fn kill(&self) {
        self.run_state.send_replace(RunState::Down);
    }

    fn restart(&self) {
        self.generation.set(self.generation.get() + 1);
        self.started_at.set(Some(Instant::now()));
        self.recent_work.borrow_mut().clear();
        self.run_state.send_replace(RunState::Running(self.generation.get()));
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut run_state = self.run_state.subscribe();
        let mut listener = Some(listener);
        loop {
            let is_running = *run_state.borrow_and_update() != RunState::Down;
            if !is_running {
                listener = None;
            } else if listener.is_none() {
                listener = wire::listen(self.address).ok();
                if listener.is_none() {
                    sleep(LISTEN_RETRY_DELAY).await;
                    continue;
                }
            }
            let accepted = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = run_state.changed() => if changed.is_err() { return },
                accepted = accepted => if let Ok((stream, peer)) = accepted {
                    spawn_local(self.clone().serve(stream, peer));
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let is_real_node = peer.ip() == IpAddr::V4(REAL_NODES_ADDRESS);
        let sender = if is_real_node { Sender::RealNode } else { Sender::HollowNode };
        self.shared.counts.count(sender, TrafficEvent::Connection);
        let mut connection = Connection::new(stream);
        let mut run_state = self.run_state.subscribe();
        run_state.borrow_and_update();
        let is_killed = tokio::select! {
            _ = run_state.changed() => true,
            _ = self.serve_requests(&mut connection, sender) => false,
        };
        self.shared.counts.count(sender, TrafficEvent::BytesIn(connection.bytes_read));
        self.shared.counts.count(sender, TrafficEvent::BytesOut(connection.bytes_written));
        if is_killed {
            connection.reset();
        }
    }

    /// Serves requests on one connection until it ends.
    async fn serve_requests(&self, connection: &mut Connection, sender: Sender) -> io::Result<()> {
        while let Some(request) = connection.read_request().await? {
            let is_last = request.has_connection_close();
            if request.method == "GET" {
                self.respond_to_probe(&request, connection, sender).await?;
            } else {
                self.handle_attempt(&request, connection, sender).await?;
            }
            self.flush_byte_counts(connection, sender);
            if is_last {
                break;
            }
        }
        Ok(())
    }

    /// Counts the bytes that a connection has carried since the last call, so that a long-lived connection is counted
    /// while it is open.
    fn flush_byte_counts(&self, connection: &mut Connection, sender: Sender) {
        let read = std::mem::take(&mut connection.bytes_read);
        let written = std::mem::take(&mut connection.bytes_written);
        self.shared.counts.count(sender, TrafficEvent::BytesIn(read));
        self.shared.counts.count(sender, TrafficEvent::BytesOut(written));
    }

    fn load_report(&self) -> String {
        let (running, waiting) = (self.running.get(), self.waiting.get());
        let slots = self.shared.config.slots;
        let free = slots.saturating_sub(running);
        let utilization = running as f64 / slots.max(1) as f64;
        format!("inflight={running},queue={waiting},util={utilization:.3},x0={free}")
    }

    async fn respond_to_probe(
        &self,
        request: &Message,
        connection: &mut Connection,
        sender: Sender,
    ) -> io::Result<()> {
        let response = match request.target.as_str() {
            "/ping" | "/_load" => {
                self.shared.counts.count(sender, TrafficEvent::Probe);
                wire::encode_response(200, "", &self.load_report())
            }
            _ => wire::encode_response(404, "", ""),
        };
        connection.write(&response).await
    }

    async fn handle_attempt(
        &self,
        request: &Message,
        connection: &mut Connection,
        sender: Sender,
    ) -> io::Result<()> {
        let Some(id) = request.field("request-id") else {
            return connection.write(&wire::encode_response(404, "", "")).await;
        };
        let Some(id) = RequestId::parse(id) else {
            return connection.write(&wire::encode_response(400, "", "")).await;
        };
        self.shared.counts.count(sender, TrafficEvent::Attempt);
        let work = self.shared.config.service_time(id);
        // Rules apply to real nodes only; hollow nodes merely produce load.
        let is_real_node = sender == Sender::RealNode;
        if is_real_node {
            self.shared.counts.record_reached(self.number);
            self.check_grace(id, request.first_byte_at);
        }
        if is_real_node && self.exceeds_warm_up_budget(id, work) {
            // Overloaded during warm-up: the executor fails and is restarted.
            self.restart();
            return std::future::pending().await;
        }
        if self.running.get() >= self.shared.config.slots
            && self.waiting.get() >= self.shared.config.queue_capacity
        {
            self.shared.counts.count(sender, TrafficEvent::Rejected);
            return connection.write(&wire::encode_response(503, "Not-Started: 1\r\n", "")).await;
        }
        let is_at_most_once = request.target.trim_start_matches('/').split('/').next() == Some(AT_MOST_ONCE);
        self.run(id, work, is_real_node && is_at_most_once, connection).await
    }

    /// Runs an attempt: queues it for a slot and streams its states as chunks until it is done. The attempt is
    /// cancelled if its peer closes the connection. Records the start if `is_start_recorded`.
    async fn run(
        &self,
        id: RequestId,
        work: Duration,
        is_start_recorded: bool,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let number = self.number;
        connection.write(wire::CHUNKED_HEAD).await?;
        let permit = {
            let _waiting = CountGuard::increment(&self.waiting);
            tokio::select! {
                biased;
                permit = self.slots.acquire() => permit.map_err(io::Error::other)?,
                () = connection.wait_closed() => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        };
        let _running = CountGuard::increment(&self.running);
        if is_start_recorded {
            self.shared.counts.record_at_most_once_start(id, self.number);
        }
        let line = format!("{{\"id\":\"{id}\",\"from\":\"{number}\",\"state\":\"started\"}}\n");
        connection.write(&wire::encode_chunk(&line)).await?;
        let capacity = self
            .started_at
            .get()
            .map_or(1.0, |started_at| self.shared.config.capacity_share(started_at.elapsed()));
        tokio::select! {
            () = sleep(work.div_f64(capacity.max(0.01))) => {}
            () = connection.wait_closed() => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        drop(permit);
        let line = format!(
            "{{\"id\":\"{id}\",\"from\":\"{number}\",\"state\":\"done\",\"result\":\"{}\"}}\n",
            result_of(id)
        );
        let mut last = wire::encode_chunk(&line);
        last.extend_from_slice(wire::LAST_CHUNK);
        connection.write(&last).await
    }

    /// Checks rule 3, and records a violation if an attempt arrives after the drain grace.
    fn check_grace(&self, request: RequestId, first_byte_at: Option<Instant>) {
        let Shared { config, counts, departures } = &*self.shared;
        let Some(notified_at) = departures.notified_at(request.node(), self.number) else { return };
        let allowed = notified_at + config.drain_grace + config.slack;
        let lateness = first_byte_at.unwrap_or_else(Instant::now).saturating_duration_since(allowed);
        if !lateness.is_zero() {
            let late_ms = lateness.as_secs_f64() * 1000.0;
            counts.record_violation(ExecutorViolation::SentAfterGrace {
                request,
                executor: self.number,
                late_ms,
            });
        }
    }

    /// Checks rule 4: returns whether an executor that warms up has been sent more work within the budget window than
    /// its warm-up budget, and records a violation if so.
    fn exceeds_warm_up_budget(&self, request: RequestId, work: Duration) -> bool {
        let Shared { config, counts, .. } = &*self.shared;
        let Some(started_at) = self.started_at.get() else { return false };
        let age = started_at.elapsed();
        if age >= config.ramp_duration {
            return false;
        }
        let now = Instant::now();
        let mut recent_work = self.recent_work.borrow_mut();
        recent_work.push_back((now, work));
        recent_work.retain(|(at, _)| now.duration_since(*at) < config.budget_window);
        let sent: Duration = recent_work.iter().map(|(_, work)| *work).sum();
        let capacity = config.slots as f64 * config.capacity_share(age);
        let budget = config.budget_window.mul_f64(config.budget_multiple * capacity);
        let is_exceeded = sent > budget;
        if is_exceeded {
            let (sent_ms, stands_ms) = (sent.as_secs_f64() * 1000.0, budget.as_secs_f64() * 1000.0);
            counts.record_violation(ExecutorViolation::PushedOver {
                request,
                executor: self.number,
                sent_ms,
                stands_ms,
            });
        }
        is_exceeded
    }
}
