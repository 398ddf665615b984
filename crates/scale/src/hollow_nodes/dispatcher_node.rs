//! A hollow node that passes events to the decision module, and executes the resulting actions on real sockets.
use super::connections::Pool;
use super::endpoint_list::{self, EndpointEntry, EndpointList, LineRetention, WatchEnd};
use super::exchange::{self, Attempt};
use super::resolved_settings::ResolvedSettings;
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

/// Maximum number of open requests per node; further ones are skipped.
const MAX_OPEN_REQUESTS: usize = 512;
/// Maximum number of inputs that are handled before the resulting actions are executed.
const MAX_INPUT_BATCH: usize = 64;

/// Message from the tasks of a node to its main loop.
enum NodeInput {
    EndpointList(EndpointList),
    WatchEnded(WatchEnd),
    Event(Event),
}

struct OpenRequest {
    id: WireRequestId,
    class: String,
    work: Duration,
    deadline: Instant,
    /// Handles of the attempts by their numbers; `None` if the attempt was cancelled.
    attempts: Vec<Option<AbortHandle>>,
}

pub struct DispatcherNode {
    shared: Rc<Shared>,
    number: usize,
    resolved_settings: ResolvedSettings,
    dispatcher: Dispatcher,
    clock: Clock,
    random: ChaCha8Rng,
    pool: Rc<Pool>,
    executors: ExecutorRegistry,
    addresses: SecondaryMap<ExecutorId, SocketAddr>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    /// Identifies this start of the node; 0 for the first one.
    generation: u64,
    next_request: u64,
    timer_at: Option<Instant>,
    version: Option<u64>,
    is_watching: bool,
    input_sender: mpsc::UnboundedSender<NodeInput>,
    /// Tasks of the node, which are aborted when it is dropped.
    tasks: JoinSet<()>,
}

impl DispatcherNode {
    pub async fn run(shared: Rc<Shared>, number: usize, generation: u64) {
        // The settings were checked when the hollow nodes were started.
        let Ok(resolved_settings) = ResolvedSettings::resolve(&shared.settings.node_settings) else { return };
        let clock = Clock::start();
        let (input_sender, inputs) = mpsc::unbounded_channel();
        let pool =
            Rc::new(exchange::create_pool(&shared.settings, number, shared.dispatcher_counters.clone()));
        let mut settings = resolved_settings.settings.clone();
        settings.node = Some((shared.settings.first_number + number) as f64);
        let mut random = shared.settings.new_random(number, generation);
        let dispatcher = Dispatcher::new(&settings, random.random(), clock.now());
        let mut node = DispatcherNode {
            shared,
            number,
            resolved_settings,
            dispatcher,
            clock,
            random,
            pool,
            executors: ExecutorRegistry::default(),
            addresses: SecondaryMap::new(),
            open_requests: BTreeMap::new(),
            generation,
            next_request: 0,
            timer_at: None,
            version: None,
            is_watching: false,
            input_sender,
            tasks: JoinSet::new(),
        };
        node.open_watch();
        node.run_loop(inputs).await;
    }

    async fn run_loop(mut self, mut inputs: mpsc::UnboundedReceiver<NodeInput>) {
        let mut rate = self.shared.request_rate.clone();
        let mut next_request_at =
            Instant::now() + exchange::draw_interarrival_time(&mut self.random, *rate.borrow_and_update());
        let mut actions = Vec::new();
        loop {
            let timer_at = self.timer_at;
            tokio::select! {
                Some(first) = inputs.recv() => {
                    self.handle_input(first);
                    for _ in 0..MAX_INPUT_BATCH {
                        let Ok(next) = inputs.try_recv() else { break };
                        self.handle_input(next);
                    }
                }
                () = async { sleep_until(timer_at.unwrap_or_else(Instant::now)).await },
                    if timer_at.is_some() =>
                {
                    self.timer_at = None;
                    self.dispatcher.handle_event(self.clock.now(), Event::TimerFired);
                }
                () = sleep_until(next_request_at) => {
                    self.start_request();
                    next_request_at = Instant::now()
                        + exchange::draw_interarrival_time(&mut self.random, *rate.borrow());
                }
                changed = rate.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    next_request_at = Instant::now()
                        + exchange::draw_interarrival_time(&mut self.random, *rate.borrow_and_update());
                }
                Some(_) = self.tasks.join_next() => continue,
            }
            self.dispatcher.poll_actions(self.clock.now(), &mut actions);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
        }
    }

    fn handle_input(&mut self, input: NodeInput) {
        let event = match input {
            NodeInput::EndpointList(list) => self.apply_list(list),
            NodeInput::WatchEnded(end) => {
                self.is_watching = false;
                Event::EndpointWatchLost { is_rejected: end == WatchEnd::Rejected }
            }
            NodeInput::Event(Event::AttemptEnded { request_id, attempt_id, outcome, .. }) => {
                if outcome == Outcome::Completed {
                    self.open_requests.remove(&request_id);
                }
                Event::AttemptEnded {
                    request_id,
                    attempt_id,
                    outcome,
                    is_request_closed: !self.open_requests.contains_key(&request_id),
                }
            }
            NodeInput::Event(event) => event,
        };
        self.dispatcher.handle_event(self.clock.now(), event);
    }

    fn apply_list(&mut self, list: EndpointList) -> Event {
        self.version = Some(list.version);
        let update = if list.is_snapshot { ListUpdate::Snapshot } else { ListUpdate::Delta };
        let endpoints = list.entries.iter().map(|entry| self.register(entry)).collect();
        Event::EndpointsUpdated { update, endpoints }
    }

    fn register(&mut self, entry: &EndpointEntry) -> Endpoint {
        let executor = self.executors.register(&entry.id);
        if let Ok(address) = entry.address.parse() {
            self.addresses.insert(executor, address);
        }
        self.resolved_settings.endpoint(entry, executor)
    }

    /// Starts a request, which has no client that waits for its response.
    fn start_request(&mut self) {
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            return add(&self.shared.dispatcher_counters.skipped, 1);
        }
        let settings = &self.shared.settings;
        self.next_request += 1;
        let request_id = RequestId(self.next_request);
        let class = self.random.random_range(0..self.resolved_settings.classes.len());
        let request = OpenRequest {
            id: settings.request_id(self.number, self.generation, self.next_request),
            class: self.resolved_settings.classes[class].clone(),
            work: exchange::draw_work(&mut self.random, settings.mean_work),
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
        add(&self.shared.dispatcher_counters.requests, 1);
        self.open_requests.insert(request_id, request);
        self.dispatcher.handle_event(self.clock.now(), event);
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, send_deadline } => {
                self.dispatch(request_id, executor, attempt_deadline, send_deadline)
            }
            Action::Cancel { request_id, attempt_id } => self.cancel(request_id, attempt_id),
            Action::Reject { request_id, .. } | Action::Fail { request_id } => {
                _ = self.open_requests.remove(&request_id)
            }
            Action::Probe { executor } => self.probe(executor),
            Action::SetTimer { at } => {
                let at = self.clock.instant_of(at);
                self.timer_at = Some(self.timer_at.map_or(at, |timer_at| timer_at.min(at)));
            }
            Action::CloseIdleConnections { executor } => {
                self.address_of(executor).into_iter().for_each(|address| self.pool.close_idle(address));
            }
            Action::WatchEndpoints => self.open_watch(),
            Action::ReleaseExecutor { executor } => {
                self.executors.release(executor);
                self.addresses.remove(executor);
            }
            // Hollow nodes have no peers and write no log.
            Action::Gossip(_) | Action::Log(_) => {}
        }
    }

    fn address_of(&self, executor: ExecutorId) -> Option<SocketAddr> {
        self.addresses.get(executor).copied()
    }

    fn dispatch(
        &mut self,
        request_id: RequestId,
        executor: ExecutorId,
        attempt_deadline: Millis,
        send_deadline: Millis,
    ) {
        let address = self.address_of(executor);
        let Some(request) = self.open_requests.get_mut(&request_id) else { return };
        let attempt_id = AttemptId(request.attempts.len() as u32);
        let attempt = address.map(|address| Attempt {
            id: request.id,
            class: request.class.clone(),
            address,
            work: request.work,
            deadline: self.clock.instant_of(attempt_deadline).min(request.deadline),
            send_deadline: self.clock.instant_of(send_deadline).min(request.deadline),
        });
        let (input_sender, pool, counters) =
            (self.input_sender.clone(), self.pool.clone(), self.shared.dispatcher_counters.clone());
        let dispatch = async move {
            let on_start =
                || _ = input_sender.send(NodeInput::Event(Event::AttemptStarted { request_id, attempt_id }));
            let outcome = match attempt {
                Some(attempt) => exchange::dispatch(&pool, attempt, &counters, on_start).await,
                None => Outcome::NoConnection,
            };
            let _ = input_sender.send(NodeInput::Event(Event::AttemptEnded {
                request_id,
                attempt_id,
                outcome,
                is_request_closed: false,
            }));
        };
        request.attempts.push(Some(self.tasks.spawn_local(dispatch)));
    }

    /// Cancels an attempt, unless it has finished.
    fn cancel(&mut self, request_id: RequestId, attempt_id: AttemptId) {
        let attempts = self.open_requests.get_mut(&request_id).map(|request| &mut request.attempts);
        let attempt = attempts.and_then(|attempts| attempts.get_mut(attempt_id.0 as usize)?.take());
        if let Some(attempt) = attempt.filter(|attempt| !attempt.is_finished()) {
            attempt.abort();
            let outcome = Outcome::Cancelled;
            let _ = self.input_sender.send(NodeInput::Event(Event::AttemptEnded {
                request_id,
                attempt_id,
                outcome,
                is_request_closed: false,
            }));
        }
    }

    fn probe(&mut self, executor: ExecutorId) {
        let address = self.address_of(executor);
        let (input_sender, pool, counters) =
            (self.input_sender.clone(), self.pool.clone(), self.shared.dispatcher_counters.clone());
        self.tasks.spawn_local(async move {
            let sent_at = Instant::now();
            let report = match address {
                Some(address) => exchange::probe(&pool, address, &counters).await,
                None => None,
            };
            let latency = sent_at.elapsed().as_secs_f64() * 1000.0;
            let reply = report.map(|report| ProbeReply { latency, report });
            let _ = input_sender.send(NodeInput::Event(Event::ProbeCompleted { executor, reply }));
        });
    }

    /// Opens a watch of the list, unless one is open.
    fn open_watch(&mut self) {
        if std::mem::replace(&mut self.is_watching, true) {
            return;
        }
        let settings = &self.shared.settings;
        let (source, discovery_address) =
            (settings.source_address(self.number), settings.discovery_address(self.number));
        let (input_sender, counters, version) =
            (self.input_sender.clone(), self.shared.dispatcher_counters.clone(), self.version);
        self.tasks.spawn_local(async move {
            let handle_line = |line: &[u8]| {
                if let Ok(list) = serde_json::from_slice(line) {
                    let _ = input_sender.send(NodeInput::EndpointList(list));
                }
            };
            let end = endpoint_list::follow(
                source,
                discovery_address,
                version,
                LineRetention::Full,
                &counters,
                handle_line,
            )
            .await;
            let _ = input_sender.send(NodeInput::WatchEnded(end));
        });
    }
}
