//! Owns the dispatcher: tells it what the sides saw, and hands each of its actions to the side that acts.
use crate::clock::Clock;
use crate::event::{Asked, Earlier, Event};
use crate::executors::{Executors, Push};
use crate::gossip::Peers;
use crate::hot_restart::Beside;
use crate::hot_restart::codec::{self, Inherited, Message};
use crate::in_flight::{Answer, Exchange, Stop};
use crate::lifecycle::{Drain, Stages};
use crate::lists::ToldList;
use crate::membership::Roster;
use crate::retention::{Figures, Kept, Selected, Selection};
use crate::words::{Entry, InForce, Vocabulary};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until};
use troutknot::{Event as Heard, *};
use troutknot_membership::ExecutorRegistry;

/// So many events at most are told before the actions that follow from them are taken.
const MOST_AT_ONCE: usize = 64;

/// How often the others are let go first after a standstill: a follower reads, then tells.
const READ_FIRST: usize = 4;

/// What the log calls an executor that was released.
const RELEASED: &str = "(released)";

/// Asks for the list to be followed.
#[derive(Default)]
pub struct Follow {
    pub changes: Notify,
    /// From the whole list on.
    pub whole: Notify,
}

/// The executors that are kept now.
struct KeptNow<'a> {
    registry: &'a ExecutorRegistry,
    roster: &'a Roster,
}

impl Kept for KeptNow<'_> {
    fn entry(&self, name: &str) -> Option<&Entry> {
        self.roster.entry(self.registry.get(name)?)
    }

    fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.roster.listed()
    }
}

struct Open {
    exchange: Rc<Exchange>,
    attempts: u32,
    /// Each stops one allocation, by its number.
    stops: Vec<Rc<Stop>>,
    /// Where the last allocation went and when it was decided, for the log.
    pushed: Option<(ExecutorId, Instant)>,
}

pub struct Driver {
    dispatcher: Dispatcher,
    clock: Clock,
    words: Rc<InForce<Vocabulary>>,
    executors: Rc<Executors>,
    follow: Rc<Follow>,
    registry: ExecutorRegistry,
    /// Which of the listed executors are kept.
    pub selection: Selection,
    /// How many these are, where operators ask.
    pub figures: Rc<Cell<Figures>>,
    /// Executors were released since those left out were looked at.
    has_released: bool,
    events: mpsc::Receiver<Event>,
    stages: Rc<Stages>,
    /// Another process of this node, if one runs.
    beside: Rc<Beside>,
    roster: Roster,
    /// The other nodes, where the settings let nodes talk.
    pub peers: Option<Rc<Peers>>,
    open: BTreeMap<RequestId, Open>,
    wake: Option<Instant>,
    out_of_time: bool,
    /// Events for executors that were released, as far as the log has said.
    stale_events: u64,
    /// The node ends now: what still comes is answered at once.
    ended: bool,
}

impl Driver {
    pub fn new(
        dispatcher: Dispatcher,
        clock: Clock,
        words: Rc<InForce<Vocabulary>>,
        executors: Rc<Executors>,
        follow: Rc<Follow>,
        events: mpsc::Receiver<Event>,
        stages: Rc<Stages>,
    ) -> Self {
        Driver {
            dispatcher,
            clock,
            words,
            follow,
            registry: ExecutorRegistry::default(),
            selection: Selection::new("", executors.limits.known, executors.limits.left_out),
            figures: Rc::default(),
            has_released: false,
            events,
            stages,
            beside: executors.beside.clone(),
            executors,
            roster: Roster::default(),
            peers: None,
            open: BTreeMap::new(),
            wake: None,
            out_of_time: false,
            stale_events: 0,
            ended: false,
        }
    }

    pub async fn run(mut self) {
        let (mut actions, mut batch, mut looked) = (Vec::new(), Vec::new(), self.clock.now());
        let standstill = self.executors.limits.standstill.as_secs_f64() * 1000.0;
        loop {
            let wake = self.wake;
            let first = tokio::select! {
                biased;
                event = self.events.recv() => event,
                () = async { sleep_until(wake.unwrap_or_else(Instant::now)).await }, if wake.is_some() => {
                    self.wake = None;
                    Some(Event::Heard(Heard::TimerFired))
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
            batch.sort_by_key(|event| !matches!(event, Event::List(..)));
            let now = self.clock.now();
            looked = now;
            for event in batch.drain(..) {
                self.tell(now, event);
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

    pub fn tell(&mut self, now: Millis, event: Event) {
        let told = match event {
            Event::Arrived(exchange) => {
                if exchange.is_over() {
                    return;
                }
                if self.ended {
                    _ = exchange.answer(self.last_answer(0));
                    return;
                }
                let work = &exchange.work;
                let left = exchange.limit.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
                let told = Heard::RequestArrived {
                    request_id: exchange.request_id,
                    class: work.project_type,
                    tenant: work.customer,
                    slots: work.slots,
                    memory: work.memory,
                    time_left: left,
                    is_retry: work.again,
                };
                self.open.insert(
                    exchange.request_id,
                    Open { exchange, attempts: 0, stops: Vec::new(), pushed: None },
                );
                told
            }
            Event::Recovered(exchange, earlier) => return self.recovered(now, exchange, earlier),
            Event::Left(request_id) => {
                self.open.remove(&request_id);
                Heard::RequestWithdrawn { request_id }
            }
            Event::Heard(Heard::AttemptEnded { request_id, attempt_id, outcome, .. }) => {
                let closed = self.open.get(&request_id).is_none_or(|open| open.exchange.is_over());
                if let Some((open, (executor, at))) =
                    self.open.get(&request_id).and_then(|o| Some((o, o.pushed?)))
                {
                    let (ran, kind) =
                        (at.elapsed().as_secs_f64() * 1000.0, open.exchange.work.project_type.0);
                    let name = self.name(executor);
                    tracing::debug!(
                        "ended: type {kind} alloc {} at {name} {outcome:?} {ran:.1} ms",
                        attempt_id.0
                    );
                }
                if closed {
                    self.open.remove(&request_id);
                }
                Heard::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: closed }
            }
            Event::Heard(heard) => {
                if let Heard::ProbeCompleted { executor, reply } = &heard {
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
            Event::List(list) => self.list(list),
            Event::LeaveOut { executor, out, asked } => return self.called(now, executor, out, asked),
            Event::HandOver => return self.hand_over(now),
            Event::Beside(runs) => Heard::SiblingChanged { is_running: runs },
            Event::Retuned(settings) => return self.dispatcher.apply_settings(now, &settings),
            Event::OutOfTime => {
                self.out_of_time = true;
                let stops = self.open.values().flat_map(|open| &open.stops);
                stops.for_each(|stop| stop.tell(Outcome::TimedOut));
                return;
            }
            Event::End => {
                self.ended = true;
                for (request_id, open) in std::mem::take(&mut self.open) {
                    open.exchange.answer(self.last_answer(open.attempts));
                    self.dispatcher.handle_event(now, Heard::RequestWithdrawn { request_id });
                }
                return;
            }
        };
        let is_list = matches!(told, Heard::EndpointsUpdated { .. });
        self.dispatcher.handle_event(now, told);
        if is_list && self.selection.has_waiting() {
            // There is room, and no handle is free.
            self.dispatcher.reclaim_now();
        }
    }

    /// What a work unit is told that was open when the node ended: one that was never sent may come again.
    fn last_answer(&self, attempts: u32) -> Answer {
        match attempts {
            0 => Answer::Deferred(Some(self.executors.limits.full_come_back.as_secs_f64() * 1000.0)),
            _ => Answer::Aborted,
        }
    }

    /// Tells of a work unit from an earlier life: its arrival, then each allocation and its end, as far as known.
    fn recovered(&mut self, now: Millis, exchange: Rc<Exchange>, earlier: Vec<Earlier>) {
        let request_id = exchange.request_id;
        self.tell(now, Event::Arrived(exchange.clone()));
        let Some(open) = self.open.get_mut(&request_id) else { return };
        open.attempts = earlier.len() as u32;
        for (number, Earlier { executor: name, sent, outcome, lease }) in earlier.into_iter().enumerate() {
            let attempt_id = AttemptId(number as u32);
            let executor = self.register(now, &name);
            self.dispatcher
                .handle_event(now, Heard::AttemptRecovered { request_id, executor, sent_at: sent });
            match outcome {
                Some(outcome) => self.dispatcher.handle_event(
                    now,
                    Heard::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: false },
                ),
                None => {
                    let settled =
                        self.executors.clone().settle(exchange.clone(), executor, attempt_id, lease);
                    tokio::task::spawn_local(settled);
                }
            }
        }
    }

    fn list(&mut self, list: ToldList) -> Heard {
        let ToldList { kind, entries, version, beyond } = list;
        let entries = match kind {
            ListUpdate::Delta => self.select(|selection, kept| selection.changes(entries, kept)),
            // Who is missing from a whole list is gone.
            _ => {
                let selected = self.select(|selection, _| selection.whole(entries, beyond));
                self.shut_missing(&selected);
                self.reserve(selected.len());
                selected
            }
        };
        let told = self.take_all(entries);
        self.roster.version = version.or(self.roster.version);
        if kind != ListUpdate::Cached {
            self.stages.change(|life| life.listed = true);
        }
        Heard::EndpointsUpdated { update: kind, endpoints: told }
    }

    /// Chooses whom to keep; what is to be taken follows.
    fn select(&mut self, choose: impl FnOnce(&mut Selection, &KeptNow) -> Selected) -> Vec<Entry> {
        let kept = KeptNow { registry: &self.registry, roster: &self.roster };
        let selected = choose(&mut self.selection, &kept);
        if selected.repeated > 0 {
            tracing::warn!("{} entries of a list are repeated in it, the last ones count", selected.repeated);
        }
        if selected.ask_whole {
            self.follow.whole.notify_one();
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
        self.roster.reserve(executors);
        self.executors.reserve(executors);
    }

    /// Nothing new is sent to executors that a whole list does not name, or that lost their place by it.
    fn shut_missing(&mut self, selected: &[Entry]) {
        let mut missing: BTreeSet<_> = self.registry.handles().collect();
        for entry in selected {
            self.registry.get(&entry.id).iter().for_each(|executor| _ = missing.remove(executor));
        }
        for executor in missing {
            self.roster.gone(executor);
            self.executors.shut(executor);
        }
    }

    /// Takes entries that were selected; one for which there is no handle now waits until others are released.
    fn take_all(&mut self, entries: Vec<Entry>) -> Vec<Endpoint> {
        let most = self.executors.limits.registered;
        let mut told = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.registry.register_within(&entry.id, most) {
                Some(executor) => told.push(self.take(executor, entry)),
                None => self.selection.give_back(entry),
            }
        }
        told
    }

    /// Takes executors in that are left out, once others are released; whether there were any.
    fn take_waiting(&mut self, now: Millis) -> bool {
        if !std::mem::take(&mut self.has_released) || !self.selection.has_waiting() {
            return false;
        }
        let selected = self.select(|selection, kept| selection.changes(Vec::new(), kept));
        let entries = self.take_all(selected);
        let is_any = !entries.is_empty();
        self.dispatcher
            .handle_event(now, Heard::EndpointsUpdated { update: ListUpdate::Operator, endpoints: entries });
        is_any
    }

    /// Says how many executors are left out, whenever that is another figure.
    fn log_figures(&mut self) {
        let figures = self.selection.figures();
        if figures.left_out != self.figures.replace(figures).left_out {
            match figures.left_out {
                0 => tracing::info!("executors: {figures}"),
                _ => tracing::warn!("more executors are listed than there is memory for: {figures}"),
            }
        }
    }

    /// Takes what the list says of one executor, under what operators say of it.
    fn take(&mut self, executor: ExecutorId, entry: Entry) -> Endpoint {
        let entry = self.roster.take(executor, entry);
        let mut listing = self.words.now().listing(&entry, executor);
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
    fn called(&mut self, now: Millis, name: String, out: bool, asked: Asked) {
        let executor = self.registry.get(&name);
        // One that is gone and out can be let in again under its name.
        let is_left_out = self.selection.entry_left_out(&name).is_some();
        let known = executor.is_some() || is_left_out || self.roster.out().contains(&name);
        let takes = known || matches!(asked, Asked::ByOther(_));
        let entry = if takes { self.roster.leave_out(executor, &name, out) } else { None };
        let changed = executor.zip(entry);
        if let Some((executor, entry)) = changed {
            let entries = vec![self.take(executor, entry)];
            self.dispatcher.handle_event(
                now,
                Heard::EndpointsUpdated { update: ListUpdate::Operator, endpoints: entries },
            );
        }
        match asked {
            Asked::ByHand(done) if known => {
                self.beside.mirror(|number| Message::LeaveOut { executor: name, out, number }, done);
            }
            Asked::ByHand(done) => _ = done.send(false),
            Asked::ByOther(number) => self.beside.say(Message::Done { number }),
        }
    }

    /// Tells a next process of this node what is known here.
    fn hand_over(&mut self, now: Millis) {
        let beside = &self.beside;
        let say = |messages: Vec<Message>| messages.into_iter().for_each(|message| beside.say(message));
        let out: Vec<String> = self.roster.out().iter().cloned().collect();
        say(codec::in_lines(&out, |executors| Message::Out { executors }));
        say(vec![Message::Drained { drained: self.stages.life().drain != Drain::None, number: 0 }]);
        let (listed, version) = (self.roster.listed(), self.roster.version);
        let entries: Vec<Entry> = listed.chain(self.selection.left_out()).cloned().collect();
        say(codec::in_lines(&entries, |entries| Message::List { version, entries }));
        let learned = self.dispatcher.export_state(now);
        let known = |l: ExecutorWarmState| {
            let id = self.registry.name(l.executor)?.to_string();
            let score = |score: DecayingScore| (score.value, score.set_at);
            Some(codec::Known {
                id,
                failed: score(l.failure_score),
                judged: score(l.observations),
                slots: l.max_slots,
                cold_spent: l.warm_up_spent.iter().map(|spent| (spent.at, spent.work)).collect(),
            })
        };
        let executors: Vec<codec::Known> = learned.executors.into_iter().filter_map(known).collect();
        say(codec::in_lines(&executors, |executors| Message::Executors { executors }));
        let words = self.words.now();
        let run = |(name, kind): (&str, RequestClassId)| {
            learned
                .class_running_times
                .get(kind.0 as usize)
                .map(|time| (name.to_string(), time.mean, time.observations))
        };
        say(vec![
            Message::Work(codec::Work {
                types: words.taken_types().filter_map(run).collect(),
                mean_run: learned.mean_running_time,
                waiting_share: learned.busy_probe_ratio,
                lag: learned.probe_latency,
                draws: learned.sample_size,
            }),
            Message::Told,
        ]);
    }

    /// Begins with what a process before this one knew; the list was told.
    pub fn take_over(&mut self, now: Millis, inherited: Inherited) {
        let words = self.words.now();
        let mut runs = vec![
            ObservedMean::default();
            words.taken_types().map(|(_, kind)| kind.0 as usize + 1).max().unwrap_or(0)
        ];
        let work = inherited.work.unwrap_or_default();
        for (name, kind) in words.taken_types() {
            if let Some((_, run, seen)) = work.types.iter().find(|(other, ..)| other == name) {
                runs[kind.0 as usize] = ObservedMean { mean: *run, observations: *seen };
            }
        }
        let executors = inherited.executors.into_iter();
        let executors = executors.filter_map(|known| self.take_over_executor(now, known)).collect();
        let learned = WarmState {
            executors,
            class_running_times: runs,
            mean_running_time: work.mean_run,
            busy_probe_ratio: work.waiting_share,
            probe_latency: work.lag,
            sample_size: work.draws,
        };
        self.dispatcher.handle_event(now, Heard::WarmStateReceived(learned));
    }

    /// What a process before this one knew of an executor; nothing of one that is gone and needed no more.
    fn take_over_executor(&mut self, now: Millis, known: codec::Known) -> Option<ExecutorWarmState> {
        if self.registry.get(&known.id).is_none() && known.cold_spent.is_empty() {
            return None;
        }
        let executor = self.register(now, &known.id);
        let codec::Known { failed, judged, slots, cold_spent, .. } = known;
        let score = |(value, set_at)| DecayingScore { value, set_at };
        Some(ExecutorWarmState {
            executor,
            failure_score: score(failed),
            observations: score(judged),
            max_slots: slots,
            warm_up_spent: cold_spent.into_iter().map(|(at, work)| WarmUpDispatch { at, work }).collect(),
        })
    }

    /// The handle of an executor that an earlier life or process names; one that is not kept is gone.
    fn register(&mut self, now: Millis, name: &str) -> ExecutorId {
        if let Some(executor) = self.registry.get(name) {
            return executor;
        }
        let left_out = self.selection.entry_left_out(name).cloned();
        let executor = self.registry.register(name);
        let gone = self.take(executor, left_out.map_or_else(|| Entry::gone(name), Entry::into_gone));
        self.dispatcher
            .handle_event(now, Heard::EndpointsUpdated { update: ListUpdate::Delta, endpoints: vec![gone] });
        executor
    }

    /// Who is out by hand from the start.
    pub fn leave_out(&mut self, out: BTreeSet<String>) {
        self.roster.inherit(out);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, send_deadline } => {
                let Some(open) = self.open.get_mut(&request_id) else { return };
                let attempt_id = AttemptId(open.attempts);
                open.attempts += 1;
                let stop: Rc<Stop> = Rc::default();
                if self.out_of_time {
                    stop.tell(Outcome::TimedOut);
                }
                open.stops.resize_with(attempt_id.0 as usize, Rc::default);
                open.stops.push(stop.clone());
                let [cut, send_deadline] =
                    [attempt_deadline, send_deadline].map(|at| self.clock.when(at).min(open.exchange.limit));
                let (decided, life) = (Instant::now(), self.executors.life(executor));
                open.pushed = Some((executor, decided));
                let exchange = open.exchange.clone();
                let name = exchange.durable.get().map(|_| self.name(executor).to_string());
                tracing::debug!("push: alloc {} to {}", attempt_id.0, self.name(executor));
                let push =
                    Push { exchange, executor, name, attempt_id, decided, life, cut, send_deadline, stop };
                tokio::task::spawn_local(self.executors.clone().allocate(push));
            }
            Action::Cancel { request_id, attempt_id } => {
                let stop = self.open.get(&request_id).and_then(|open| open.stops.get(attempt_id.0 as usize));
                stop.into_iter().for_each(|stop| stop.tell(Outcome::Cancelled));
            }
            Action::Reject { request_id, retry_after: come_back } => {
                self.finish(request_id, Answer::Deferred(come_back))
            }
            Action::Fail { request_id } => self.finish(request_id, Answer::Aborted),
            Action::Probe { executor } => {
                tracing::debug!("probe: {}", self.name(executor));
                tokio::task::spawn_local(self.executors.clone().probe(executor));
            }
            Action::SetTimer { at } => {
                let at = self.clock.when(at);
                self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
            }
            Action::CloseIdleConnections { executor } => self.executors.close_idle(executor),
            Action::Gossip(said) => {
                let words = self.words.now();
                self.peers.iter().for_each(|peers| peers.tell(said, words.type_names()));
            }
            Action::WatchEndpoints => self.follow.changes.notify_one(),
            Action::ReleaseExecutor { executor } => self.release(executor),
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Frees what is kept of an executor that is gone and that nothing can need any more.
    fn release(&mut self, executor: ExecutorId) {
        self.roster.release(executor);
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
            let kind = open.exchange.work.project_type.0;
            match answer {
                Answer::Deferred(_) => tracing::debug!("deferred: type {kind} after {}", open.attempts),
                _ => tracing::debug!("aborted: type {kind} after {}", open.attempts),
            }
            open.exchange.answer(answer);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/driver.rs"]
mod tests;
