//! Follows Consul: a task for each watched service, which asks the agents in turn, and one for what the roster
//! does by itself. What a roster says becomes changes of the list, told like the platform's.
use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::config::operator::Consul;
use crate::discovery::{EndpointUpdate, EndpointUpdateSender};
use crate::http1::{Connection, Failed};
use crate::protocol::EndpointEntry;
use bytes::BytesMut;
use compact_str::{CompactString, ToCompactString};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use troutknot_clock::Clock;
use troutknot_consul::blocking::{Blocking, Head, Watched};
use troutknot_consul::health::{Bounds, Health, Member, Reader, Start};
use troutknot_consul::roster::{Change, Notice, Roster, State, WatchNumber};

/// The list held before, which stays until all watches have answered.
const BEFORE: WatchNumber = WatchNumber(usize::MAX);
/// A silent source is told of again after so long.
const SAY_AGAIN: Duration = Duration::from_secs(60);

pub struct Follower {
    pub limits: Rc<Limits>,
    pub clock: Clock,
    pub told: EndpointUpdateSender,
    /// What the operator's file says; none where it no longer names Consul.
    pub wanted: watch::Receiver<Option<Consul>>,
    /// What the node says of its list, where it is asked.
    pub status: Rc<RefCell<String>>,
}

struct Shared {
    limits: Rc<Limits>,
    clock: Clock,
    told: EndpointUpdateSender,
    roster: RefCell<Roster>,
    status: Rc<RefCell<String>>,
    /// Told when the roster's next time may be another.
    changed: Notify,
    /// Of the watches, in order: since when each has failed.
    watches: RefCell<Vec<Watching>>,
    before: Cell<bool>,
    seed: Cell<u64>,
}

struct Watching {
    watched: Watched,
    number: WatchNumber,
    task: JoinHandle<()>,
    answered_at: Cell<Option<f64>>,
    failing: Cell<bool>,
}

impl Follower {
    /// Follows until the node ends. `known` is the list held before.
    pub async fn run(mut self, known: Vec<EndpointEntry>) {
        let clock = self.clock;
        // The roster's times are the clock's own, which are Unix times already.
        let first = self.wanted.borrow().clone();
        let terms =
            first.as_ref().map(|c| c.terms(self.limits.executor_bounds.max_retained)).unwrap_or_default();
        let shared = Rc::new(Shared {
            limits: self.limits.clone(),
            clock,
            told: self.told.clone(),
            roster: RefCell::new(Roster::new(terms, 0.0)),
            status: self.status.clone(),
            changed: Notify::new(),
            watches: RefCell::default(),
            before: Cell::new(!known.is_empty()),
            seed: Cell::new(
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
            ),
        });
        let known: Vec<Rc<Member>> = known.iter().filter_map(member_of).map(Rc::new).collect();
        shared.roster.borrow_mut().answer(clock.now(), BEFORE, &known);
        // What it says is known already.
        let _ = shared.roster.borrow_mut().changes(clock.now());
        spawn_local(shared.clone().let_time_pass());
        let mut next = 0;
        loop {
            let wanted = self.wanted.borrow_and_update().clone();
            shared.follow(wanted, &mut next).await;
            if self.wanted.changed().await.is_err() {
                return;
            }
        }
    }
}

impl Shared {
    /// Starts and ends watches so that they are those that are wanted; one that stays is not disturbed, but
    /// where the agents or the token are others.
    async fn follow(self: &Rc<Self>, wanted: Option<Consul>, next: &mut usize) {
        let mut kept: Vec<Watching> = std::mem::take(&mut *self.watches.borrow_mut());
        if let Some(consul) = &wanted {
            self.roster.borrow_mut().set_terms(consul.terms(self.limits.executor_bounds.max_retained));
            let token = consul.token_file.as_deref().and_then(read_token);
            for watched in consul.watched() {
                let was = kept.iter().position(|w| w.watched == watched).map(|at| kept.swap_remove(at));
                let number = was.as_ref().map_or_else(
                    || {
                        *next += 1;
                        WatchNumber(*next - 1)
                    },
                    |was| was.number,
                );
                let asks = Asks {
                    blocking: Blocking::new(watched.clone(), consul.pace(), consul.agents.len() as u32),
                    agents: consul.agents.clone(),
                    token: token.clone(),
                    number,
                };
                if let Some(was) = &was {
                    was.task.abort();
                }
                let watching = Watching {
                    watched,
                    number,
                    task: spawn_local(self.clone().watch(asks)),
                    answered_at: Cell::new(was.as_ref().and_then(|was| was.answered_at.get())),
                    failing: Cell::new(was.as_ref().is_some_and(|was| was.failing.get())),
                };
                self.watches.borrow_mut().push(watching);
            }
            let agents: Vec<String> = consul.agents.iter().map(SocketAddr::to_string).collect();
            tracing::info!("consul is followed at {}: {} services", agents.join(", "), consul.services.len());
        }
        for gone in kept {
            gone.task.abort();
            tracing::info!("consul: service {} is no longer followed", gone.watched.service);
            self.roster.borrow_mut().remove(gone.number);
        }
        self.tell().await;
    }

    /// A number from 0 to 1, other at each call and each node; nothing is decided by it but waits.
    fn chance(&self) -> f64 {
        let mut x = self.seed.get() | 1;
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.seed.set(x);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    async fn watch(self: Rc<Self>, mut asks: Asks) {
        let (mut agent, mut reader) = (0, Reader::default());
        loop {
            let addr = asks.agents[agent % asks.agents.len()];
            let wait = match self.ask(&mut asks, &mut reader, addr).await {
                Ok((wait, members)) => {
                    self.took(&asks, &members).await;
                    wait
                }
                Err(why) => {
                    self.failed(&asks, addr, &why).await;
                    agent += 1;
                    asks.blocking.moved();
                    let wait = asks.blocking.failed(self.chance());
                    // The others are asked at once; only a whole round that fails waits longer.
                    let round = asks.agents.len() as u32;
                    if asks.blocking.failures().is_multiple_of(round) { wait } else { wait.min(50.0) }
                }
            };
            sleep(Duration::from_secs_f64(wait / 1000.0)).await;
        }
    }

    /// One question: how long to wait before the next, and who is listed.
    async fn ask(
        &self,
        asks: &mut Asks,
        reader: &mut Reader,
        addr: SocketAddr,
    ) -> Result<(f64, Vec<Rc<Member>>), String> {
        let deadline = Duration::from_secs_f64(asks.blocking.deadline() / 1000.0);
        let most = self.limits.discovery.max_consul_answer_bytes;
        let call = async {
            let stream = timeout(self.limits.timeouts().connect_timeout, TcpStream::connect(addr)).await;
            let stream =
                stream.map_err(|_| "no connection in time".to_string())?.map_err(|e| e.to_string())?;
            let mut connection = Connection::new(
                stream,
                self.limits.connection_buffer_bytes,
                &ByteBudget::new(2 * self.limits.connection_buffer_bytes),
            );
            let token = asks.token.as_ref().map_or(String::new(), |t| format!("X-Consul-Token: {t}\r\n"));
            let ask = format!(
                "GET {} HTTP/1.1\r\nHost: {addr}\r\n{token}Connection: close\r\n\r\n",
                asks.blocking.target()
            );
            connection.write(&[ask.as_bytes()]).await.map_err(|e| e.to_string())?;
            let said = |e: Failed| e.to_string();
            let mut head = connection.answer_head().await.map_err(said)?;
            let mut body = BytesMut::new();
            connection.body(&mut head.body, &mut body, most, false).await.map_err(said)?;
            Ok::<_, String>((head, body))
        };
        let (head, body) = timeout(deadline, call).await.map_err(|_| "silent for too long".to_string())??;
        let one = |name: &str| head.headers.one(name).ok().flatten();
        let said = Head {
            status: head.status,
            index: one("x-consul-index"),
            known_leader: one("x-consul-knownleader"),
            last_contact: one("x-consul-lastcontact"),
        };
        asks.blocking.check(&said).map_err(|e| e.to_string())?;
        let bounds =
            Bounds { body: most, entries: self.limits.executor_bounds.max_retained, ..Bounds::default() };
        let members = reader.read(&body, &bounds).map_err(|e| e.to_string())?;
        Ok((asks.blocking.answered(&said), members))
    }

    async fn took(&self, asks: &Asks, members: &[Rc<Member>]) {
        let now = self.clock.now();
        for watching in self.watches.borrow().iter().filter(|w| w.number == asks.number) {
            if watching.failing.replace(false) {
                let was = watching.answered_at.get().map_or(0.0, |at| (now - at) / 1000.0);
                let service = &watching.watched.service;
                tracing::info!(
                    "consul answers again for {service} after {was:.1} s, {} listed",
                    members.len()
                );
            }
            watching.answered_at.set(Some(now));
        }
        self.roster.borrow_mut().answer(now, asks.number, members);
        let all = self.watches.borrow().iter().all(|w| self.roster.borrow().has_answered(w.number));
        if all && self.before.replace(false) {
            self.roster.borrow_mut().answer(now, BEFORE, &[]);
        }
        self.tell().await;
    }

    async fn failed(&self, asks: &Asks, addr: SocketAddr, why: &str) {
        let now = self.clock.now();
        let listed = self.roster.borrow().listed();
        for watching in self.watches.borrow().iter().filter(|w| w.number == asks.number) {
            let service = &watching.watched.service;
            if !watching.failing.replace(true) {
                let age = watching.answered_at.get().map(|at| format!("{:.1} s old", (now - at) / 1000.0));
                let age = age.unwrap_or("from before the start".into());
                tracing::warn!(
                    "consul at {addr} gives no list of {service}: {why}; the last one stays, {age}, {listed} listed"
                );
            } else {
                tracing::debug!("consul at {addr} still gives no list of {service}: {why}");
            }
        }
        self.say();
    }

    /// Tells the node what changed.
    async fn tell(&self) {
        let (changes, notices) = self.roster.borrow_mut().changes(self.clock.now());
        for notice in notices {
            match notice {
                Notice::PanicBegins { kept, listed } => tracing::warn!(
                    "consul: too many vanished at once; {kept} of {listed} that are missing stay listed"
                ),
                Notice::PanicEnds => {
                    tracing::info!("consul: no executor that is missing stays listed any more")
                }
                Notice::HeldOut { id, penalty, until } => {
                    let span = (until - self.clock.now()) / 1000.0;
                    tracing::info!(
                        "consul: {id} comes and goes, held out for {span:.1} s at penalty {penalty:.1}"
                    );
                }
                Notice::LetIn { id } => tracing::info!("consul: {id} is let in again"),
                Notice::LeftOut { count } => {
                    tracing::warn!("consul: too many executors are listed, {count} are left out");
                }
            }
        }
        tracing::debug!("consul: {} changes told", changes.len());
        let answered = self.watches.borrow().iter().any(|w| w.answered_at.get().is_some());
        if answered || !changes.is_empty() {
            // That nothing has changed is word from the list as well.
            self.told.tell(EndpointUpdate::changes(changes.into_iter().map(entry_of).collect())).await;
        }
        self.say();
        self.changed.notify_one();
    }

    fn say(&self) {
        let now = self.clock.now();
        let (watches, roster) = (self.watches.borrow(), self.roster.borrow());
        let mut said =
            format!("list from consul: {} listed, {} kept though missing\n", roster.listed(), roster.kept());
        for watching in watches.iter() {
            let at = watching.answered_at.get();
            let age =
                at.map_or("never answered".into(), |at| format!("answered {:.1} s ago", (now - at) / 1000.0));
            let state = if watching.failing.get() { "failing" } else { "followed" };
            said += &format!("service {}: {state}, {age}\n", watching.watched.service);
        }
        *self.status.borrow_mut() = said;
    }

    async fn let_time_pass(self: Rc<Self>) {
        loop {
            let next = self.roster.borrow().next_at();
            let wait = next.map_or(SAY_AGAIN, |at| {
                Duration::from_secs_f64(
                    ((at - self.clock.now()) / 1000.0).clamp(0.0, SAY_AGAIN.as_secs_f64()),
                )
            });
            tokio::select! {
                () = sleep(wait) => {
                    self.say();
                    if next.is_some_and(|at| at <= self.clock.now()) {
                        self.tell().await;
                    } else if self.watches.borrow().iter().any(|w| w.failing.get()) {
                        tracing::warn!("consul still gives no list; {}", self.status.borrow().trim().replace('\n', ", "));
                    }
                }
                () = self.changed.notified() => {}
            }
        }
    }
}

struct Asks {
    blocking: Blocking,
    agents: Vec<SocketAddr>,
    token: Option<String>,
    number: WatchNumber,
}

fn read_token(path: &Path) -> Option<String> {
    let text = std::fs::read_to_string(path);
    let text = text.inspect_err(|e| tracing::warn!("consul's token `{}`: {e}", path.display())).ok()?;
    let token = text.trim().to_string();
    let plain = !token.is_empty() && token.len() <= 256 && token.bytes().all(|b| b.is_ascii_graphic());
    if !plain {
        tracing::warn!("consul's token `{}` is no token, none is sent", path.display());
    }
    plain.then_some(token)
}

fn entry_of(change: Change) -> EndpointEntry {
    let member = &change.member;
    EndpointEntry {
        id: member.id.as_str().into(),
        addr: member.addr.to_compact_string(),
        zone: Some(member.zone.as_str().into()),
        kind: member.kind.as_deref().map(CompactString::from),
        cell: member.cell,
        state: match change.state {
            State::Ready => "Ready",
            State::Draining => "Terminating",
            State::Gone => "Gone",
        }
        .into(),
        weight: Some(member.weight),
        started_ms: change.started,
    }
}

/// One of the list held before; none where it has no address.
fn member_of(entry: &EndpointEntry) -> Option<Member> {
    let ready = entry.state == "Ready";
    Some(Member {
        id: entry.id.to_string(),
        addr: entry.addr.parse().ok()?,
        health: if ready { Health::Passing } else { Health::Maintenance },
        weight: if ready { entry.weight.unwrap_or(1.0) } else { 0.0 },
        zone: entry.zone.as_deref().unwrap_or_default().to_string(),
        kind: entry.kind.as_deref().map(str::to_string),
        cell: entry.cell,
        start: entry.started_ms.filter(|at| *at > 0.0).map_or(Start::Unknown, Start::Told),
    })
}
