//! A hollow node that the decision module drives: events in, actions out, over real sockets.
use super::connections::Pool;
use super::exchange::{self, Attempt};
use super::list::{self, Entry, Keep, List, WatchEnd};
use super::vocabulary::Vocabulary;
use super::{Shared, add};
use crate::request_id::RequestId as WireRequestId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until};
use troutknot::{
    Action, AttemptId, Dispatcher, Endpoint, Event, ExecutorId, ListUpdate, Millis, Outcome, ProbeReply,
    RequestClassId, RequestId, TenantId,
};
use troutknot_clock::Clock;
use troutknot_membership::ExecutorRegistry;

/// Requests of one node that are open at most; more are not taken.
const MOST_OPEN: usize = 512;
/// Events that are told before the actions that follow from them are taken.
const MOST_AT_ONCE: usize = 64;

/// What the tasks of a node tell it.
enum Told {
    List(List),
    WatchEnded(WatchEnd),
    Event(Event),
}

struct Open {
    id: WireRequestId,
    class: String,
    work: Duration,
    deadline: Instant,
    /// By their numbers; none where it was broken off.
    attempts: Vec<Option<AbortHandle>>,
}

pub struct DispatcherNode {
    shared: Rc<Shared>,
    number: usize,
    vocabulary: Vocabulary,
    dispatcher: Dispatcher,
    clock: Clock,
    random: ChaCha8Rng,
    pool: Rc<Pool>,
    executors: ExecutorRegistry,
    addresses: SecondaryMap<ExecutorId, SocketAddr>,
    open: BTreeMap<RequestId, Open>,
    /// Counts its starts.
    start: u64,
    next_request: u64,
    wake: Option<Instant>,
    version: Option<u64>,
    follows: bool,
    tell: mpsc::UnboundedSender<Told>,
    /// Ends with the node.
    tasks: JoinSet<()>,
}

impl DispatcherNode {
    pub async fn run(shared: Rc<Shared>, number: usize, start: u64) {
        // Checked at the start of all.
        let Ok(vocabulary) = Vocabulary::of(&shared.settings.node_settings) else { return };
        let clock = Clock::start();
        let (tell, told) = mpsc::unbounded_channel();
        let pool = Rc::new(exchange::pool(&shared.settings, number, shared.by_dispatcher.clone()));
        let mut settings = vocabulary.settings.clone();
        settings.node = Some((shared.settings.first_number + number) as f64);
        let mut random = shared.settings.random(number, start);
        let dispatcher = Dispatcher::new(&settings, random.random(), clock.now());
        let mut node = DispatcherNode {
            shared,
            number,
            vocabulary,
            dispatcher,
            clock,
            random,
            pool,
            executors: ExecutorRegistry::default(),
            addresses: SecondaryMap::new(),
            open: BTreeMap::new(),
            start,
            next_request: 0,
            wake: None,
            version: None,
            follows: false,
            tell,
            tasks: JoinSet::new(),
        };
        node.follow();
        node.play(told).await;
    }

    async fn play(mut self, mut told: mpsc::UnboundedReceiver<Told>) {
        let mut rate = self.shared.request_rate.clone();
        let mut arrival =
            Instant::now() + exchange::next_arrival(&mut self.random, *rate.borrow_and_update());
        let mut actions = Vec::new();
        loop {
            let wake = self.wake;
            tokio::select! {
                Some(first) = told.recv() => {
                    self.hear(first);
                    for _ in 0..MOST_AT_ONCE {
                        let Ok(next) = told.try_recv() else { break };
                        self.hear(next);
                    }
                }
                () = async { sleep_until(wake.unwrap_or_else(Instant::now)).await }, if wake.is_some() => {
                    self.wake = None;
                    self.dispatcher.handle_event(self.clock.now(), Event::TimerFired);
                }
                () = sleep_until(arrival) => {
                    self.arrive();
                    arrival = Instant::now() + exchange::next_arrival(&mut self.random, *rate.borrow());
                }
                changed = rate.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    arrival = Instant::now() + exchange::next_arrival(&mut self.random, *rate.borrow_and_update());
                }
                Some(_) = self.tasks.join_next() => continue,
            }
            self.dispatcher.poll_actions(self.clock.now(), &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn hear(&mut self, told: Told) {
        let event = match told {
            Told::List(list) => self.list(list),
            Told::WatchEnded(end) => {
                self.follows = false;
                Event::EndpointWatchLost { is_rejected: end == WatchEnd::TurnedAway }
            }
            Told::Event(Event::AttemptEnded { request_id, attempt_id, outcome, .. }) => {
                if outcome == Outcome::Completed {
                    self.open.remove(&request_id);
                }
                Event::AttemptEnded {
                    request_id,
                    attempt_id,
                    outcome,
                    is_request_closed: !self.open.contains_key(&request_id),
                }
            }
            Told::Event(event) => event,
        };
        self.dispatcher.handle_event(self.clock.now(), event);
    }

    fn list(&mut self, list: List) -> Event {
        self.version = Some(list.version);
        let kind = if list.full { ListUpdate::Snapshot } else { ListUpdate::Delta };
        let entries = list.entries.iter().map(|entry| self.listed(entry)).collect();
        Event::EndpointsUpdated { update: kind, endpoints: entries }
    }

    fn listed(&mut self, entry: &Entry) -> Endpoint {
        let executor = self.executors.register(&entry.id);
        if let Ok(addr) = entry.addr.parse() {
            self.addresses.insert(executor, addr);
        }
        self.vocabulary.listing(entry, executor)
    }

    /// A request comes; no client waits for its answer.
    fn arrive(&mut self) {
        if self.open.len() >= MOST_OPEN {
            return add(&self.shared.by_dispatcher.skipped, 1);
        }
        let settings = &self.shared.settings;
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        let class = self.random.random_range(0..self.vocabulary.classes.len());
        let open = Open {
            id: settings.request_id(self.number, self.start, self.next_request),
            class: self.vocabulary.classes[class].clone(),
            work: exchange::draw_work(&mut self.random, settings.work),
            deadline: Instant::now() + settings.deadline,
            attempts: Vec::new(),
        };
        let event = Event::RequestArrived {
            request_id,
            class: RequestClassId(class as u32),
            tenant: TenantId(0),
            slots: 1.0,
            memory: 0.0,
            time_left: settings.deadline.as_secs_f64() * 1000.0,
            is_retry: false,
        };
        add(&self.shared.by_dispatcher.requests, 1);
        self.open.insert(request_id, open);
        self.dispatcher.handle_event(self.clock.now(), event);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, send_deadline } => {
                self.push(request_id, executor, attempt_deadline, send_deadline)
            }
            Action::Cancel { request_id, attempt_id } => self.cancel(request_id, attempt_id),
            Action::Reject { request_id, .. } | Action::Fail { request_id } => {
                _ = self.open.remove(&request_id)
            }
            Action::Probe { executor } => self.probe(executor),
            Action::SetTimer { at } => {
                let at = self.clock.instant_of(at);
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
            }
            Action::CloseIdleConnections { executor } => {
                self.address(executor).into_iter().for_each(|addr| self.pool.close_idle(addr));
            }
            Action::WatchEndpoints => self.follow(),
            Action::ReleaseExecutor { executor } => {
                self.executors.release(executor);
                self.addresses.remove(executor);
            }
            // Hollow nodes have no peers and no log.
            Action::Gossip(_) | Action::Log(_) => {}
        }
    }

    fn address(&self, executor: ExecutorId) -> Option<SocketAddr> {
        self.addresses.get(executor).copied()
    }

    fn push(
        &mut self,
        request_id: RequestId,
        executor: ExecutorId,
        attempt_deadline: Millis,
        send_deadline: Millis,
    ) {
        let addr = self.address(executor);
        let Some(open) = self.open.get_mut(&request_id) else { return };
        let attempt_id = AttemptId(open.attempts.len() as u32);
        let attempt = addr.map(|addr| Attempt {
            id: open.id,
            class: open.class.clone(),
            addr,
            work: open.work,
            cut: self.clock.instant_of(attempt_deadline).min(open.deadline),
            send_by: self.clock.instant_of(send_deadline).min(open.deadline),
        });
        let (tell, pool, counters) =
            (self.tell.clone(), self.pool.clone(), self.shared.by_dispatcher.clone());
        let pushed = async move {
            let on_start = || _ = tell.send(Told::Event(Event::AttemptStarted { request_id, attempt_id }));
            let outcome = match attempt {
                Some(attempt) => exchange::push(&pool, attempt, &counters, on_start).await,
                None => Outcome::NoConnection,
            };
            let _ = tell.send(Told::Event(Event::AttemptEnded {
                request_id,
                attempt_id,
                outcome,
                is_request_closed: false,
            }));
        };
        open.attempts.push(Some(self.tasks.spawn_local(pushed)));
    }

    /// Breaks an attempt off, unless it is over.
    fn cancel(&mut self, request_id: RequestId, attempt_id: AttemptId) {
        let attempts = self.open.get_mut(&request_id).map(|open| &mut open.attempts);
        let attempt = attempts.and_then(|attempts| attempts.get_mut(attempt_id.0 as usize)?.take());
        if let Some(attempt) = attempt.filter(|attempt| !attempt.is_finished()) {
            attempt.abort();
            let outcome = Outcome::Cancelled;
            let _ = self.tell.send(Told::Event(Event::AttemptEnded {
                request_id,
                attempt_id,
                outcome,
                is_request_closed: false,
            }));
        }
    }

    fn probe(&mut self, executor: ExecutorId) {
        let addr = self.address(executor);
        let (tell, pool, counters) =
            (self.tell.clone(), self.pool.clone(), self.shared.by_dispatcher.clone());
        self.tasks.spawn_local(async move {
            let sent = Instant::now();
            let reading = match addr {
                Some(addr) => exchange::probe(&pool, addr, &counters).await,
                None => None,
            };
            let lag = sent.elapsed().as_secs_f64() * 1000.0;
            let reply = reading.map(|report| ProbeReply { latency: lag, report });
            let _ = tell.send(Told::Event(Event::ProbeCompleted { executor, reply }));
        });
    }

    /// Opens a watch of the list, unless one stands.
    fn follow(&mut self) {
        if std::mem::replace(&mut self.follows, true) {
            return;
        }
        let settings = &self.shared.settings;
        let (source, discovery) = (settings.source(self.number), settings.discovery_of(self.number));
        let (tell, counters, version) = (self.tell.clone(), self.shared.by_dispatcher.clone(), self.version);
        self.tasks.spawn_local(async move {
            let take = |line: &[u8]| {
                if let Ok(list) = serde_json::from_slice(line) {
                    let _ = tell.send(Told::List(list));
                }
            };
            let end = list::follow(source, discovery, version, Keep::Whole, &counters, take).await;
            let _ = tell.send(Told::WatchEnded(end));
        });
    }
}
