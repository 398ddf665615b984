//! The sockets of hollow executors that share one thread.
use crate::departures::Departures;
use crate::executor_counts::{Event, ExecutorBreach, ExecutorCounts, Sender};
use crate::executor_orders::{Order, Ordered, Reply};
use crate::executor_terms::{AT_MOST_ONCE, ExecutorTerms, REAL_NODES_ADDRESS, result_of};
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

/// The executors' addresses start at 127.64.0.1.
const FIRST_ADDRESS: u32 = 0x7f40_0001;
/// Lets the system choose a port.
const ANY_PORT: u16 = 0;
/// A service time is no longer than so many mean ones.
const LONGEST_SERVICE: f64 = 10.0;
/// A restarted executor that finds its port in use tries again after so long.
const LISTEN_AGAIN: Duration = Duration::from_millis(20);

impl ExecutorTerms {
    /// How long the work of a request takes on a warm executor; the same everywhere.
    fn service_time(&self, request: RequestId) -> Duration {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ request.0.rotate_left(17));
        let uniform: f64 = random.random();
        let drawn = -(1.0 - uniform).ln();
        self.mean_service.mul_f64(drawn.min(LONGEST_SERVICE))
    }

    /// The share of its capacity that an executor of this age has.
    fn speed(&self, age: Duration) -> f64 {
        let way = age.as_secs_f64() / self.ramp.as_secs_f64().max(1e-9);
        (self.cold_share + (1.0 - self.cold_share) * way).min(1.0)
    }
}

/// What all executors of a shard have in common.
struct Shared {
    terms: ExecutorTerms,
    counts: ExecutorCounts,
    departures: Departures,
}

/// Whether an executor runs; each start is told by another number.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Life {
    Up(u32),
    Down,
}

struct Executor {
    number: usize,
    address: SocketAddr,
    shared: Rc<Shared>,
    life: watch::Sender<Life>,
    starts: Cell<u32>,
    /// None where it started long ago.
    started: Cell<Option<Instant>>,
    slots: Semaphore,
    running: Cell<usize>,
    waiting: Cell<usize>,
    /// Work that came while it was cold, and when.
    cold_work: RefCell<VecDeque<(Instant, Duration)>>,
}

/// One that counts in a cell for as long as it lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn in_cell(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Counted(cell)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The executors of one shard.
struct Shard {
    /// The number of the first one in the whole fleet.
    first: usize,
    executors: Vec<Rc<Executor>>,
    shared: Rc<Shared>,
}

/// Carries out orders until nobody can give one any more; the first has to be [`Order::Open`].
pub async fn serve_orders(mut orders: mpsc::UnboundedReceiver<Ordered>) {
    let mut shard = None;
    while let Some(Ordered { order, reply }) = orders.recv().await {
        let answer = match (order, &shard) {
            (Order::Open { first, count, terms }, None) => match Shard::open(first, count, terms) {
                Ok(opened) => Reply::Opened(shard.insert(opened).addresses()),
                Err(error) => Reply::Failed(error.to_string()),
            },
            (order, Some(shard)) => shard.obey(order),
            (order, None) => Reply::Failed(format!("no executors are open: {order:?}")),
        };
        // What executors were told is seen through before the order counts as done.
        tokio::task::yield_now().await;
        let _ = reply.send(answer);
    }
}

impl Shard {
    fn open(first: usize, count: usize, terms: ExecutorTerms) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            terms,
            counts: ExecutorCounts::default(),
            departures: Departures::new(terms.told_at_latest),
        });
        let mut executors: Vec<Rc<Executor>> = Vec::with_capacity(count);
        for number in first..first + count {
            // The port of the first one serves for all, so fleets of other runs do not meet this one.
            let port = executors.first().map_or(ANY_PORT, |executor| executor.address.port());
            executors.push(Executor::open(number, port, &shared)?);
        }
        Ok(Shard { first, executors, shared })
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.executors.iter().map(|executor| executor.address).collect()
    }

    /// Those of a range that are in this shard.
    fn own(&self, range: &Range<usize>) -> &[Rc<Executor>] {
        let count = self.executors.len();
        let start = range.start.saturating_sub(self.first).min(count);
        let end = range.end.saturating_sub(self.first).min(count);
        &self.executors[start..end.max(start)]
    }

    fn obey(&self, order: Order) -> Reply {
        let Shared { departures, counts, .. } = &*self.shared;
        let now = Instant::now();
        match order {
            Order::Open { .. } => return Reply::Failed("executors are open already".into()),
            Order::Kill(range) => self.own(&range).iter().for_each(|executor| executor.kill()),
            Order::Restart(range) => self.own(&range).iter().for_each(|executor| executor.restart()),
            Order::Warm(range) => self.own(&range).iter().for_each(|executor| executor.started.set(None)),
            Order::Left(executors) => executors.into_iter().for_each(|e| departures.left(e, now)),
            Order::Returned(executors) => executors.into_iter().for_each(|e| departures.returned(e)),
            Order::Told { node, executors } => {
                executors.into_iter().for_each(|executor| departures.told(node, executor, now));
            }
            Order::Listed => departures.clear(),
            Order::Report => return Reply::Report(counts.take_report()),
        }
        Reply::Done
    }
}

impl Executor {
    /// Listens at this port, or at a free one where it is taken at the executor's address.
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
            life: watch::channel(Life::Up(0)).0,
            starts: Cell::new(0),
            started: Cell::new(None),
            slots: Semaphore::new(shared.terms.slots),
            running: Cell::new(0),
            waiting: Cell::new(0),
            cold_work: RefCell::default(),
        });
        spawn_local(executor.clone().accept(listener));
        Ok(executor)
    }

    fn kill(&self) {
        self.life.send_replace(Life::Down);
    }

    fn restart(&self) {
        self.starts.set(self.starts.get() + 1);
        self.started.set(Some(Instant::now()));
        self.cold_work.borrow_mut().clear();
        self.life.send_replace(Life::Up(self.starts.get()));
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut life = self.life.subscribe();
        let mut listener = Some(listener);
        loop {
            let up = *life.borrow_and_update() != Life::Down;
            if !up {
                listener = None;
            } else if listener.is_none() {
                listener = wire::listen(self.address).ok();
                if listener.is_none() {
                    sleep(LISTEN_AGAIN).await;
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
                changed = life.changed() => if changed.is_err() { return },
                accepted = accepted => if let Ok((stream, peer)) = accepted {
                    spawn_local(self.clone().serve(stream, peer));
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let real = peer.ip() == IpAddr::V4(REAL_NODES_ADDRESS);
        let sender = if real { Sender::RealNode } else { Sender::HollowNode };
        self.shared.counts.count(sender, Event::Connection);
        let mut connection = Connection::new(stream);
        let mut life = self.life.subscribe();
        life.borrow_and_update();
        let killed = tokio::select! {
            _ = life.changed() => true,
            _ = self.exchange(&mut connection, sender) => false,
        };
        self.shared.counts.count(sender, Event::BytesIn(connection.bytes_read));
        self.shared.counts.count(sender, Event::BytesOut(connection.bytes_written));
        if killed {
            connection.reset();
        }
    }

    /// Serves one connection until it ends.
    async fn exchange(&self, connection: &mut Connection, sender: Sender) -> io::Result<()> {
        while let Some(request) = connection.request().await? {
            let closes = request.asks_to_close();
            if request.method == "GET" {
                self.answer_probe(&request, connection, sender).await?;
            } else {
                self.answer_attempt(&request, connection, sender).await?;
            }
            self.hand_over_bytes(connection, sender);
            if closes {
                break;
            }
        }
        Ok(())
    }

    /// Counts what a connection has carried so far, so that long connections count while they live.
    fn hand_over_bytes(&self, connection: &mut Connection, sender: Sender) {
        let read = std::mem::take(&mut connection.bytes_read);
        let written = std::mem::take(&mut connection.bytes_written);
        self.shared.counts.count(sender, Event::BytesIn(read));
        self.shared.counts.count(sender, Event::BytesOut(written));
    }

    fn load_report(&self) -> String {
        let (running, waiting) = (self.running.get(), self.waiting.get());
        let slots = self.shared.terms.slots;
        let free = slots.saturating_sub(running);
        let utilization = running as f64 / slots.max(1) as f64;
        format!("inflight={running},queue={waiting},util={utilization:.3},x0={free}")
    }

    async fn answer_probe(
        &self,
        request: &Message,
        connection: &mut Connection,
        sender: Sender,
    ) -> io::Result<()> {
        let answer = match request.target.as_str() {
            "/ping" | "/_load" => {
                self.shared.counts.count(sender, Event::Probe);
                wire::answer_bytes(200, "", &self.load_report())
            }
            _ => wire::answer_bytes(404, "", ""),
        };
        connection.write(&answer).await
    }

    async fn answer_attempt(
        &self,
        request: &Message,
        connection: &mut Connection,
        sender: Sender,
    ) -> io::Result<()> {
        let Some(id) = request.field("request-id") else {
            return connection.write(&wire::answer_bytes(404, "", "")).await;
        };
        let Some(id) = RequestId::parse(id) else {
            return connection.write(&wire::answer_bytes(400, "", "")).await;
        };
        self.shared.counts.count(sender, Event::Attempt);
        let work = self.shared.terms.service_time(id);
        // Hollow nodes are load: what they send is held to no rule.
        let is_real = sender == Sender::RealNode;
        if is_real {
            self.shared.counts.reached(self.number);
            self.check_grace(id, request.first_byte);
        }
        if is_real && self.is_pushed_over(id, work) {
            // It falls over: whoever started it starts it again.
            self.restart();
            return std::future::pending().await;
        }
        if self.running.get() >= self.shared.terms.slots
            && self.waiting.get() >= self.shared.terms.queue_capacity
        {
            self.shared.counts.count(sender, Event::TurnedAway);
            return connection.write(&wire::answer_bytes(503, "Not-Started: 1\r\n", "")).await;
        }
        let is_at_most_once = request.target.trim_start_matches('/').split('/').next() == Some(AT_MOST_ONCE);
        self.run(id, work, is_real && is_at_most_once, connection).await
    }

    /// Takes the job, and answers in chunks until it is done. A peer that goes away meanwhile cancels it. Starts of
    /// what may run at most once are counted.
    async fn run(
        &self,
        id: RequestId,
        work: Duration,
        counts_starts: bool,
        connection: &mut Connection,
    ) -> io::Result<()> {
        let name = self.number;
        connection.write(wire::CHUNKED_HEAD).await?;
        let permit = {
            let _waits = Counted::in_cell(&self.waiting);
            tokio::select! {
                biased;
                permit = self.slots.acquire() => permit.map_err(io::Error::other)?,
                () = connection.ended() => return Err(io::ErrorKind::ConnectionAborted.into()),
            }
        };
        let _runs = Counted::in_cell(&self.running);
        if counts_starts {
            self.shared.counts.started_at_most_once(id, self.number);
        }
        let line = format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"started\"}}\n");
        connection.write(&wire::chunk(&line)).await?;
        let speed = self.started.get().map_or(1.0, |started| self.shared.terms.speed(started.elapsed()));
        tokio::select! {
            () = sleep(work.div_f64(speed.max(0.01))) => {}
            () = connection.ended() => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
        drop(permit);
        let line = format!(
            "{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"done\",\"result\":\"{}\"}}\n",
            result_of(id)
        );
        let mut last = wire::chunk(&line);
        last.extend_from_slice(wire::LAST_CHUNK);
        connection.write(&last).await
    }

    /// Rule 3.
    fn check_grace(&self, request: RequestId, first_byte: Option<Instant>) {
        let Shared { terms, counts, departures } = &*self.shared;
        let Some(told) = departures.counts_as_told(request.node(), self.number) else { return };
        let allowed = told + terms.drain_grace + terms.slack;
        let late = first_byte.unwrap_or_else(Instant::now).saturating_duration_since(allowed);
        if !late.is_zero() {
            let late_ms = late.as_secs_f64() * 1000.0;
            counts.breach(ExecutorBreach::SentAfterGrace { request, executor: self.number, late_ms });
        }
    }

    /// Rule 4: whether this work is more than a cold executor takes within the window.
    fn is_pushed_over(&self, request: RequestId, work: Duration) -> bool {
        let Shared { terms, counts, .. } = &*self.shared;
        let Some(started) = self.started.get() else { return false };
        let age = started.elapsed();
        if age >= terms.ramp {
            return false;
        }
        let now = Instant::now();
        let mut cold_work = self.cold_work.borrow_mut();
        cold_work.push_back((now, work));
        cold_work.retain(|(at, _)| now.duration_since(*at) < terms.fall_window);
        let sent: Duration = cold_work.iter().map(|(_, work)| *work).sum();
        let capacity = terms.slots as f64 * terms.speed(age);
        let stands = terms.fall_window.mul_f64(terms.fall_multiple * capacity);
        let over = sent > stands;
        if over {
            let (sent_ms, stands_ms) = (sent.as_secs_f64() * 1000.0, stands.as_secs_f64() * 1000.0);
            counts.breach(ExecutorBreach::PushedOver { request, executor: self.number, sent_ms, stands_ms });
        }
        over
    }
}
