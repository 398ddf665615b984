//! Owns the dispatcher: tells it what the sides saw, and hands each of its actions to the side that acts.
mod decision_log;

use crate::durable::Lease;
use crate::event::{CallOrigin, EndpointUpdate, NodeEvent, RecoveredAttempt, WatchRequests};
use crate::gossip::GossipSocket;
use crate::hot_restart::codec::{self, Inherited, Message};
use crate::hot_restart::sibling::SiblingProcess;
use crate::in_flight::{Answer, CancelSignal, InFlightRequest};
use crate::lifecycle::{Drain, Lifecycle};
use crate::membership::Membership;
use crate::protocol::{Codec, Current, EndpointEntry};
use crate::retention::{EndpointRetention, RetainedEntries, RetentionChange, RetentionStatistics};
use crate::tasks::TaskGroup;
use crate::upstream::{DispatchOrder, ExecutorPool};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use troutknot::{Event as CoreEvent, *};
use troutknot_clock::Clock;
use troutknot_membership::ExecutorRegistry;

/// So many events at most are told before the actions that follow from them are taken.
const MOST_AT_ONCE: usize = 64;

/// How often the others are let go first after a standstill: a follower reads, then tells.
const READ_FIRST: usize = 4;

/// What the log calls an executor that was released.
const RELEASED: &str = "(released)";

/// The executors that are kept now.
struct RetainedNow<'a> {
    registry: &'a ExecutorRegistry,
    membership: &'a Membership,
}

impl RetainedEntries for RetainedNow<'_> {
    fn entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.membership.entry(self.registry.get(name)?)
    }

    fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.membership.listed()
    }
}

struct OpenRequest {
    in_flight: Rc<InFlightRequest>,
    attempts: u32,
    /// Each stops one allocation, by its number.
    stops: Vec<Rc<CancelSignal>>,
    /// Where the last allocation went and when it was decided, for the log.
    pushed: Option<(ExecutorId, Instant)>,
}

/// What a [`Driver`] is connected with.
pub struct DriverConfig {
    /// Decides what is done.
    pub dispatcher: Dispatcher,
    /// The clock of the dispatcher.
    pub clock: Clock,
    /// Translates between names and ids.
    pub codec: Rc<Current<Codec>>,
    /// Carries out attempts and probes.
    pub executors: Rc<ExecutorPool>,
    /// Asks for the endpoint list to be watched.
    pub watch_requests: Rc<WatchRequests>,
    /// The events to handle.
    pub events: mpsc::Receiver<NodeEvent>,
    /// Receives that a list has arrived.
    pub lifecycle: Rc<Lifecycle>,
    /// The other process of this node, if one runs.
    pub sibling: Rc<SiblingProcess>,
    /// Chooses the executors that are retained.
    pub retention: EndpointRetention,
    /// Sends gossip, if the node has peers.
    pub gossip: Option<Rc<GossipSocket>>,
    /// Owns the tasks of attempts and probes.
    pub tasks: TaskGroup,
}

/// Owns the dispatcher, and runs it.
pub struct Driver {
    dispatcher: Dispatcher,
    clock: Clock,
    codec: Rc<Current<Codec>>,
    executors: Rc<ExecutorPool>,
    follow: Rc<WatchRequests>,
    registry: ExecutorRegistry,
    /// Which of the listed executors are kept.
    retention: EndpointRetention,
    /// How many these are, where operators ask.
    figures: Rc<Cell<RetentionStatistics>>,
    /// Executors were released since those left out were looked at.
    has_released: bool,
    events: mpsc::Receiver<NodeEvent>,
    lifecycle: Rc<Lifecycle>,
    /// Another process of this node, if one runs.
    beside: Rc<SiblingProcess>,
    membership: Membership,
    /// The other nodes, where the settings let nodes talk.
    peers: Option<Rc<GossipSocket>>,
    tasks: TaskGroup,
    open: BTreeMap<RequestId, OpenRequest>,
    wake: Option<Instant>,
    out_of_time: bool,
    /// Events for executors that were released, as far as the log has said.
    stale_events: u64,
    /// The node ends now: what still comes is answered at once.
    ended: bool,
}

impl Driver {
    /// Creates a driver that knows no executors yet.
    pub fn new(config: DriverConfig) -> Self {
        Driver {
            dispatcher: config.dispatcher,
            clock: config.clock,
            codec: config.codec,
            executors: config.executors,
            follow: config.watch_requests,
            registry: ExecutorRegistry::default(),
            retention: config.retention,
            figures: Rc::default(),
            has_released: false,
            events: config.events,
            lifecycle: config.lifecycle,
            beside: config.sibling,
            membership: Membership::default(),
            peers: config.gossip,
            tasks: config.tasks,
            open: BTreeMap::new(),
            wake: None,
            out_of_time: false,
            stale_events: 0,
            ended: false,
        }
    }

    /// How many executors are listed and retained, kept up to date.
    pub fn retention_statistics(&self) -> Rc<Cell<RetentionStatistics>> {
        self.figures.clone()
    }

    pub async fn run(mut self) {
        let (mut actions, mut batch, mut looked) = (Vec::new(), Vec::new(), self.clock.now());
        let standstill = self.executors.limits.stall_threshold.as_secs_f64() * 1000.0;
        loop {
            let wake = self.wake;
            let first = tokio::select! {
                biased;
                event = self.events.recv() => event,
                () = async { sleep_until(wake.unwrap_or_else(Instant::now)).await }, if wake.is_some() => {
                    self.wake = None;
                    Some(NodeEvent::Core(CoreEvent::TimerFired))
                }
            };
            if self.clock.now() - looked > standstill {
                // Guards against a node that stood still: the others first read what has come for them, and
                // news of the list counts before anything is decided.
                for _ in 0..READ_FIRST {
                    tokio::task::yield_now().await;
                }
            }
            batch.extend(first);
            while batch.len() < MOST_AT_ONCE {
                let Ok(event) = self.events.try_recv() else { break };
                batch.push(event);
            }
            batch.sort_by_key(|event| !matches!(event, NodeEvent::ListReceived(..)));
            let now = self.clock.now();
            looked = now;
            for event in batch.drain(..) {
                self.handle_event(now, event);
            }
            loop {
                self.dispatcher.poll_actions(now, &mut actions);
                for action in actions.drain(..) {
                    self.act(action);
                }
                if !self.take_waiting(now) {
                    break;
                }
            }
            self.log_figures();
            self.log_stale_events();
        }
    }

    pub fn handle_event(&mut self, now: Millis, event: NodeEvent) {
        let told = match event {
            NodeEvent::RequestArrived(in_flight) => {
                if in_flight.is_over() {
                    return;
                }
                if self.ended {
                    _ = in_flight.answer(self.last_answer(0));
                    return;
                }
                let work = &in_flight.request;
                let left =
                    in_flight.deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
                let told = CoreEvent::RequestArrived {
                    request_id: in_flight.request_id,
                    class: work.class,
                    tenant: work.tenant,
                    slots: work.slots,
                    memory: work.memory,
                    time_left: left,
                    is_retry: work.is_retry,
                };
                self.open.insert(
                    in_flight.request_id,
                    OpenRequest { in_flight, attempts: 0, stops: Vec::new(), pushed: None },
                );
                told
            }
            NodeEvent::RequestRecovered(in_flight, earlier) => {
                return self.recovered(now, in_flight, earlier);
            }
            NodeEvent::ClientLeft(request_id) => {
                self.open.remove(&request_id);
                CoreEvent::RequestWithdrawn { request_id }
            }
            NodeEvent::Core(CoreEvent::AttemptEnded { request_id, attempt_id, outcome, .. }) => {
                let closed = self.open.get(&request_id).is_none_or(|open| open.in_flight.is_over());
                if let Some((open, (executor, at))) =
                    self.open.get(&request_id).and_then(|o| Some((o, o.pushed?)))
                {
                    let (ran, kind) = (at.elapsed().as_secs_f64() * 1000.0, open.in_flight.request.class.0);
                    let name = self.name(executor);
                    tracing::debug!(
                        "ended: type {kind} alloc {} at {name} {outcome:?} {ran:.1} ms",
                        attempt_id.0
                    );
                }
                if closed {
                    self.open.remove(&request_id);
                }
                CoreEvent::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: closed }
            }
            NodeEvent::Core(heard) => {
                if let CoreEvent::ProbeCompleted { executor, reply } = &heard {
                    let name = self.name(*executor);
                    match reply {
                        Some(ProbeReply { latency, report }) => {
                            let (queue, free) = (report.queue_length, report.free_slots);
                            tracing::debug!("probed: {name} {latency:.1} ms queue {queue:?} free {free:?}");
                        }
                        None => tracing::debug!("probed: {name} has not answered"),
                    }
                }
                heard
            }
            NodeEvent::ListReceived(list) => self.list(list),
            NodeEvent::SetExcluded { executor, is_excluded, origin } => {
                return self.set_excluded(now, executor, is_excluded, origin);
            }
            NodeEvent::ExportState => return self.hand_over(now),
            NodeEvent::SiblingChanged(runs) => CoreEvent::SiblingChanged { is_running: runs },
            NodeEvent::SettingsChanged(settings) => return self.dispatcher.apply_settings(now, &settings),
            NodeEvent::CancelInFlight => {
                self.out_of_time = true;
                let stops = self.open.values().flat_map(|open| &open.stops);
                stops.for_each(|stop| stop.cancel(Outcome::TimedOut));
                return;
            }
            NodeEvent::ShutDown => {
                self.ended = true;
                for (request_id, open) in std::mem::take(&mut self.open) {
                    open.in_flight.answer(self.last_answer(open.attempts));
                    self.dispatcher.handle_event(now, CoreEvent::RequestWithdrawn { request_id });
                }
                return;
            }
        };
        let is_list = matches!(told, CoreEvent::EndpointsUpdated { .. });
        self.dispatcher.handle_event(now, told);
        if is_list && self.retention.has_waiting() {
            // There is room, and no handle is free.
            self.dispatcher.reclaim_now();
        }
    }

    /// What a work unit is told that was open when the node ended: one that was never sent may come again.
    fn last_answer(&self, attempts: u32) -> Answer {
        match attempts {
            0 => Answer::Rejected(Some(
                self.executors.limits.downstream.rejected_retry_after.as_secs_f64() * 1000.0,
            )),
            _ => Answer::Failed,
        }
    }

    /// Tells of a work unit from an earlier life: its arrival, then each allocation and its end, as far as known.
    fn recovered(&mut self, now: Millis, in_flight: Rc<InFlightRequest>, earlier: Vec<RecoveredAttempt>) {
        let request_id = in_flight.request_id;
        self.handle_event(now, NodeEvent::RequestArrived(in_flight.clone()));
        let Some(open) = self.open.get_mut(&request_id) else { return };
        open.attempts = earlier.len() as u32;
        for (number, RecoveredAttempt { executor: name, sent_at, outcome, fence }) in
            earlier.into_iter().enumerate()
        {
            let attempt_id = AttemptId(number as u32);
            let executor = self.register(now, &name);
            self.dispatcher.handle_event(now, CoreEvent::AttemptRecovered { request_id, executor, sent_at });
            match (outcome, self.executors.durable.get()) {
                (Some(outcome), _) => self.dispatcher.handle_event(
                    now,
                    CoreEvent::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: false },
                ),
                (None, Some(durable)) => {
                    let lease = Lease::new(durable.clone(), request_id, attempt_id, fence, sent_at);
                    let settled =
                        self.executors.clone().settle(in_flight.clone(), executor, attempt_id, lease);
                    self.tasks.spawn(settled);
                }
                // Requests are recovered from the ledger alone.
                (None, None) => {}
            }
        }
    }

    fn list(&mut self, list: EndpointUpdate) -> CoreEvent {
        let EndpointUpdate { kind, entries, version, dropped_entries } = list;
        let entries = match kind {
            ListUpdate::Delta => self.select(|retention, kept| retention.apply_delta(entries, kept)),
            // Who is missing from a whole list is gone.
            _ => {
                let selected = self.select(|retention, _| retention.apply_snapshot(entries, dropped_entries));
                self.shut_missing(&selected);
                self.reserve(selected.len());
                selected
            }
        };
        let told = self.take_all(entries);
        self.membership.version = version.or(self.membership.version);
        if kind != ListUpdate::Cached {
            self.lifecycle.update(|facts| facts.is_listed = true);
        }
        CoreEvent::EndpointsUpdated { update: kind, endpoints: told }
    }

    /// Chooses whom to keep; what is to be taken follows.
    fn select(
        &mut self,
        choose: impl FnOnce(&mut EndpointRetention, &RetainedNow) -> RetentionChange,
    ) -> Vec<EndpointEntry> {
        let kept = RetainedNow { registry: &self.registry, membership: &self.membership };
        let selected = choose(&mut self.retention, &kept);
        if selected.repeated > 0 {
            tracing::warn!("{} entries of a list are repeated in it, the last ones count", selected.repeated);
        }
        if selected.needs_snapshot {
            self.follow.snapshot.notify_one();
        }
        selected.entries
    }

    /// Makes room for the executors of a whole list at once, and for an eighth more: growing step by step would
    /// leave as much memory behind as is held in the end.
    fn reserve(&mut self, executors: usize) {
        if executors <= self.registry.capacity() {
            return;
        }
        let executors = executors + executors / 8;
        self.registry.reserve(executors);
        self.membership.reserve(executors);
        self.executors.reserve(executors);
    }

    /// Nothing new is sent to executors that a whole list does not name, or that lost their place by it.
    fn shut_missing(&mut self, selected: &[EndpointEntry]) {
        let mut missing: BTreeSet<_> = self.registry.handles().collect();
        for entry in selected {
            self.registry.get(&entry.id).iter().for_each(|executor| _ = missing.remove(executor));
        }
        for executor in missing {
            self.membership.mark_gone(executor);
            self.executors.shut(executor);
        }
    }

    /// Takes entries that were selected; one for which there is no handle now waits until others are released.
    fn take_all(&mut self, entries: Vec<EndpointEntry>) -> Vec<Endpoint> {
        let most = self.executors.limits.executor_bounds.max_registered;
        let mut told = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.registry.register_within(&entry.id, most) {
                Some(executor) => told.push(self.take(executor, entry)),
                None => self.retention.defer(entry),
            }
        }
        told
    }

    /// Takes executors in that are left out, once others are released; whether there were any.
    fn take_waiting(&mut self, now: Millis) -> bool {
        if !std::mem::take(&mut self.has_released) || !self.retention.has_waiting() {
            return false;
        }
        let selected = self.select(|retention, kept| retention.apply_delta(Vec::new(), kept));
        let entries = self.take_all(selected);
        let is_any = !entries.is_empty();
        self.dispatcher.handle_event(
            now,
            CoreEvent::EndpointsUpdated { update: ListUpdate::Operator, endpoints: entries },
        );
        is_any
    }

    /// Says how many executors are left out, whenever that is another figure.
    fn log_figures(&mut self) {
        let figures = self.retention.statistics();
        if figures.unretained != self.figures.replace(figures).unretained {
            match figures.unretained {
                0 => tracing::info!("executors: {figures}"),
                _ => tracing::warn!("more executors are listed than there is memory for: {figures}"),
            }
        }
    }

    /// Takes what the list says of one executor, under what operators say of it.
    fn take(&mut self, executor: ExecutorId, entry: EndpointEntry) -> Endpoint {
        let entry = self.membership.update(executor, entry);
        let mut listing = self.codec.now().listing(&entry, executor);
        let addr = entry.addr.parse().ok();
        if addr.is_none() && listing.state == EndpointState::Ready {
            tracing::warn!("executor {} has no usable address: `{}`", entry.id, entry.addr);
            listing.state = EndpointState::Draining;
        }
        self.executors.listed(executor, addr, listing.started_at, listing.state == EndpointState::Ready);
        tracing::debug!("listed: {} {:?} started {:?}", entry.id, listing.state, listing.started_at);
        listing
    }

    /// Leaves an executor out by hand, or lets it serve again, here and in the other process of this node.
    fn set_excluded(&mut self, now: Millis, name: String, is_excluded: bool, origin: CallOrigin) {
        let executor = self.registry.get(&name);
        // One that is gone and out can be let in again under its name.
        let is_left_out = self.retention.unretained_entry(&name).is_some();
        let known = executor.is_some() || is_left_out || self.membership.excluded().contains(&name);
        let takes = known || matches!(origin, CallOrigin::Sibling(_));
        let entry = if takes { self.membership.set_excluded(executor, &name, is_excluded) } else { None };
        let changed = executor.zip(entry);
        if let Some((executor, entry)) = changed {
            let entries = vec![self.take(executor, entry)];
            self.dispatcher.handle_event(
                now,
                CoreEvent::EndpointsUpdated { update: ListUpdate::Operator, endpoints: entries },
            );
        }
        match origin {
            CallOrigin::Operator(done) if known => {
                self.beside
                    .mirror(|number| Message::SetExcluded { executor: name, is_excluded, number }, done);
            }
            CallOrigin::Operator(done) => _ = done.send(false),
            CallOrigin::Sibling(number) => self.beside.send(Message::Acknowledged { number }),
        }
    }

    /// Tells a next process of this node what is known here.
    fn hand_over(&mut self, now: Millis) {
        let beside = &self.beside;
        let say = |messages: Vec<Message>| messages.into_iter().for_each(|message| beside.send(message));
        let out: Vec<String> = self.membership.excluded().iter().cloned().collect();
        say(codec::split_list(&out, |executors| Message::Excluded { executors }));
        say(vec![Message::Drained { drained: self.lifecycle.facts().drain != Drain::None, number: 0 }]);
        let (listed, version) = (self.membership.listed(), self.membership.version);
        let entries: Vec<EndpointEntry> = listed.chain(self.retention.unretained()).cloned().collect();
        say(codec::split_list(&entries, |entries| Message::List { version, entries }));
        let state = self.dispatcher.export_state(now);
        let executors: Vec<codec::ExecutorState> =
            state.executors.iter().filter_map(|executor| self.export_executor(executor)).collect();
        say(codec::split_list(&executors, |executors| Message::Executors { executors }));
        let codec = self.codec.now();
        let running_time = |(name, class): (&str, RequestClassId)| {
            let time = *state.class_running_times.get(class.0 as usize)?;
            Some(codec::ClassRunningTime { class: name.to_string(), time })
        };
        let running_times = codec::RunningTimes {
            classes: codec.taken_types().filter_map(running_time).collect(),
            mean_running_time: state.mean_running_time,
            busy_probe_ratio: state.busy_probe_ratio,
            probe_latency: state.probe_latency,
            sample_size: state.sample_size,
        };
        say(vec![Message::RunningTimes(running_times), Message::Complete]);
    }

    fn export_executor(&self, state: &ExecutorWarmState) -> Option<codec::ExecutorState> {
        Some(codec::ExecutorState {
            id: self.registry.name(state.executor)?.to_string(),
            failure_score: codec::Score(state.failure_score),
            observations: codec::Score(state.observations),
            max_slots: state.max_slots,
            warm_up_spent: state.warm_up_spent.iter().copied().map(codec::SpentBudget).collect(),
        })
    }

    /// Begins with what a process before this one knew; the list was told.
    pub fn import_state(&mut self, now: Millis, inherited: Inherited) {
        let codec = self.codec.now();
        let classes = codec.taken_types().map(|(_, class)| class.0 as usize + 1).max().unwrap_or(0);
        let mut class_running_times = vec![ObservedMean::default(); classes];
        let running_times = inherited.running_times.unwrap_or_default();
        for (name, class) in codec.taken_types() {
            if let Some(known) = running_times.classes.iter().find(|known| known.class == name) {
                class_running_times[class.0 as usize] = known.time;
            }
        }
        let executors = inherited.executors.into_iter();
        let executors = executors.filter_map(|state| self.import_executor(now, state)).collect();
        let state = WarmState {
            executors,
            class_running_times,
            mean_running_time: running_times.mean_running_time,
            busy_probe_ratio: running_times.busy_probe_ratio,
            probe_latency: running_times.probe_latency,
            sample_size: running_times.sample_size,
        };
        self.dispatcher.handle_event(now, CoreEvent::WarmStateReceived(state));
    }

    /// What a process before this one knew of an executor; nothing of one that is gone and needed no more.
    fn import_executor(&mut self, now: Millis, state: codec::ExecutorState) -> Option<ExecutorWarmState> {
        if self.registry.get(&state.id).is_none() && state.warm_up_spent.is_empty() {
            return None;
        }
        Some(ExecutorWarmState {
            executor: self.register(now, &state.id),
            failure_score: state.failure_score.0,
            observations: state.observations.0,
            max_slots: state.max_slots,
            warm_up_spent: state.warm_up_spent.into_iter().map(|codec::SpentBudget(spent)| spent).collect(),
        })
    }

    /// The handle of an executor that an earlier life or process names; one that is not kept is gone.
    fn register(&mut self, now: Millis, name: &str) -> ExecutorId {
        if let Some(executor) = self.registry.get(name) {
            return executor;
        }
        let left_out = self.retention.unretained_entry(name).cloned();
        let executor = self.registry.register(name);
        let gone =
            self.take(executor, left_out.map_or_else(|| EndpointEntry::gone(name), EndpointEntry::into_gone));
        self.dispatcher.handle_event(
            now,
            CoreEvent::EndpointsUpdated { update: ListUpdate::Delta, endpoints: vec![gone] },
        );
        executor
    }

    /// Who is out by hand from the start.
    pub fn exclude(&mut self, out: BTreeSet<String>) {
        self.membership.import_excluded(out);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, send_deadline } => {
                let Some(open) = self.open.get_mut(&request_id) else { return };
                let attempt_id = AttemptId(open.attempts);
                open.attempts += 1;
                let stop: Rc<CancelSignal> = Rc::default();
                if self.out_of_time {
                    stop.cancel(Outcome::TimedOut);
                }
                open.stops.resize_with(attempt_id.0 as usize, Rc::default);
                open.stops.push(stop.clone());
                let [cut, send_deadline] = [attempt_deadline, send_deadline]
                    .map(|at| self.clock.instant_of(at).min(open.in_flight.deadline));
                let (decided, life) = (Instant::now(), self.executors.life(executor));
                open.pushed = Some((executor, decided));
                let in_flight = open.in_flight.clone();
                let name = in_flight.is_durable.get().then(|| self.name(executor).to_string());
                tracing::debug!("push: alloc {} to {}", attempt_id.0, self.name(executor));
                let push = DispatchOrder {
                    in_flight,
                    executor,
                    name,
                    attempt_id,
                    decided,
                    life,
                    cut,
                    send_deadline,
                    stop,
                };
                self.tasks.spawn(self.executors.clone().allocate(push));
            }
            Action::Cancel { request_id, attempt_id } => {
                let stop = self.open.get(&request_id).and_then(|open| open.stops.get(attempt_id.0 as usize));
                stop.into_iter().for_each(|stop| stop.cancel(Outcome::Cancelled));
            }
            Action::Reject { request_id, retry_after: come_back } => {
                self.finish(request_id, Answer::Rejected(come_back))
            }
            Action::Fail { request_id } => self.finish(request_id, Answer::Failed),
            Action::Probe { executor } => {
                tracing::debug!("probe: {}", self.name(executor));
                self.tasks.spawn(self.executors.clone().probe(executor));
            }
            Action::SetTimer { at } => {
                let at = self.clock.instant_of(at);
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
            }
            Action::CloseIdleConnections { executor } => self.executors.close_idle(executor),
            Action::Gossip(said) => {
                let codec = self.codec.now();
                self.peers.iter().for_each(|peers| peers.broadcast(said, codec.type_names()));
            }
            Action::WatchEndpoints => self.follow.resume.notify_one(),
            Action::ReleaseExecutor { executor } => self.release(executor),
            Action::Log(event) => decision_log::record(event),
        }
    }

    /// Frees what is kept of an executor that is gone and that nothing can need any more.
    fn release(&mut self, executor: ExecutorId) {
        self.membership.release(executor);
        self.executors.release(executor);
        self.has_released = true;
        if let Some(name) = self.registry.release(executor) {
            tracing::debug!("released: {name}, {} are kept in mind", self.registry.len());
        }
    }

    /// An executor's name for the log.
    fn name(&self, executor: ExecutorId) -> &str {
        self.registry.name(executor).unwrap_or(RELEASED)
    }

    /// Says at each power of two how many events came too late for executors that were released.
    fn log_stale_events(&mut self) {
        let stale = self.dispatcher.stale_events();
        if stale.checked_ilog2() > self.stale_events.checked_ilog2() {
            tracing::info!("{stale} events came for executors that were released, and were dropped");
        }
        self.stale_events = stale;
    }

    fn finish(&mut self, request_id: RequestId, answer: Answer) {
        if let Some(open) = self.open.remove(&request_id) {
            let kind = open.in_flight.request.class.0;
            match answer {
                Answer::Rejected(_) => tracing::debug!("deferred: type {kind} after {}", open.attempts),
                _ => tracing::debug!("aborted: type {kind} after {}", open.attempts),
            }
            open.in_flight.answer(answer);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/driver.rs"]
mod tests;
