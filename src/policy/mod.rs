//! Every decision of the dispatcher.
//! How to call it: `Dispatcher::new(values, seed, now)`, then `tell(now, event)` for each event of a moment
//! and one `emit(now, &mut actions)` after them, which alone works out the difference of wanted and present.
mod admission;
mod learned;
mod reclaim;
mod retune;

use crate::state::discovery_backoff::Following;
use crate::state::executor_table::{ExecutorState, Fleet};
use crate::terms::*;
use admission::Admission;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap};

/// Weight of one answer in the smoothed share of executors with work waiting: about the last hundred.
const ANSWER_WEIGHT: f64 = 0.01;
/// Weight of one ended allocation in a running time: about the last thirty.
const RUN_WEIGHT: f64 = 0.03;
const RECOMPUTE_EVERY: Millis = 1000.0;
/// The most draws that are tried: an executor with several slots rarely makes work wait, and probes cost.
const MOST_DRAWS: u32 = 3;
/// How long a reading may have been under way when first seen, and when one that looks the same is a new one.
const READING_DELAY: Millis = 40.0;
const READING_LIFE: Millis = 500.0;
/// Traffic is uneven, so a node takes up to so many times its even part of what all share.
const UNEVEN: f64 = 2.0;
/// Distrust fades by this time constant; a running time over the usual adds so much of its logarithm to it.
const DISTRUST_FADE: Millis = 4000.0;
const SLOW_DISTRUST: f64 = 0.7;
/// Work with fewer running times to spare feels distrust more, as slow executors make it late.
const AMPLE: f64 = 3.0;
/// Past so many outcomes each one more takes the place of one: a score tells how and not how much is done.
const ENOUGH: f64 = 12.0;
/// Distrust stands for so many meetings within a bound, and a fault counts for as many within another.
const MEETINGS: f64 = 4.0;
const LONGEST_FADE: Millis = 30_000.0;
const MOST_FAULT: f64 = 3.0;
/// What another node says counts for so much, and fades: it never shuts an executor out.
const HEARSAY: f64 = 1.5;
/// Part of the cold budget that is used, as only mean running times are known. It is dealt to so many nodes
/// for each time that a slot's part at the start holds the longest promised turnaround, at most to these.
const COLD_HEADROOM: f64 = 0.8;
const DEALT_A_TIME: f64 = 1.5;
const MOST_DEALT: f64 = 8.0;
/// A receipted work unit is resent only this part into its window, for the way there and clocks that differ.
const WINDOW_MARGIN: f64 = 0.8;
/// Part of the time that a mean work unit has to spare within its promised turnaround; short ones have less. Of the
/// hard limit where nothing is told of it.
const PATIENCE: f64 = 0.25;
/// Span over which a customer saves up what it did not ask for, and the least that it may save.
const SPAN: Millis = 2000.0;
const LEAST_SAVED: f64 = 3.0;
const PICKS: usize = 40;
/// From this smoothed share of answers with a queue on, room is short everywhere, also where none is held.
const SHORT_SHARE: f64 = 0.3;
const BROKE_WITHIN: Millis = 150.0;
/// Where idle connections are dropped unseen, none is used again that was idle for longer, for so long.
const LEAST_IDLE: Millis = 200.0;
const DROPS_FOR: Millis = 30_000.0;
/// The least value that is reckoned with.
const LEAST_VALUE: f64 = 1e-9;
/// Chance that an executor elsewhere is ready, where crossing is priced.
const FAR: f64 = 0.3;

struct ProjectType {
    effect: Effect,
    scope: DeduplicationScope,
    window: Millis,
    turnaround: Millis,
    stretch: f64,
    limit: Millis,
    credit: f64,
    only_kind: Option<MachineTypeId>,
    max_attempts: usize,
    /// Smoothed running times, with the wait there and, where starts are told, without; first the promised one.
    run: Millis,
    work: Millis,
    runs_seen: f64,
}

/// The figures of the rule that no cold executor is pushed over.
#[derive(Default)]
struct ColdRule {
    share: f64,
    ramp: Millis,
    fall: Millis,
    multiple: f64,
    /// This node's number, if it is told; and how many nodes a budget is dealt to, alike at all.
    node: Option<u64>,
    dealt: f64,
}

#[derive(Clone, Copy)]
struct Attempt {
    executor: ExecutorId,
    sent: Millis,
    /// How long the executor's connections had not been used.
    idle: Millis,
    /// When it started, where that was told.
    begun: Millis,
    outcome: Option<Outcome>,
}

impl Attempt {
    fn new(executor: ExecutorId, sent: Millis, idle: Millis) -> Self {
        Attempt { executor, sent, idle, begun: f64::NEG_INFINITY, outcome: None }
    }

    fn waits(&self) -> bool {
        self.begun == f64::NEG_INFINITY
    }
}

impl Request {
    fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// The first allocation that may have run, or may yet.
    fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }
}

#[derive(Clone, Copy, PartialEq, Default)]
enum Wanted {
    #[default]
    Probed,
    /// So many allocations in all, the last one there and cut then.
    Out(ExecutorId, Millis, usize),
    Held,
    Deferred(Option<Millis>),
    Aborted,
}

#[derive(Default)]
struct Request {
    project_type: usize,
    slots: f64,
    over: bool,
    /// When the client first asked, for an earlier try perhaps.
    asked: Millis,
    limit: Millis,
    wanted: Wanted,
    attempts: Vec<Attempt>,
    drawn: Vec<ExecutorId>,
    answers: Vec<(ExecutorId, LoadReport)>,
    probed: usize,
    draws: u32,
    wake: Millis,
}

/// Where a work unit may be sent next.
#[derive(Clone, Copy, PartialEq)]
enum Resend {
    Anywhere,
    /// Only to executors that drop repeats of what this one may have run.
    Like(ExecutorId),
    Never,
}

#[derive(Default)]
struct Monitoring {
    draws: u32,
    at: Millis,
    waiting_share: Option<f64>,
    seen: f64,
    lag: Option<Millis>,
    price: f64,
    forbidden: bool,
}

/// What a customer may still ask within its share: so many work units, filling up at a rate.
struct Share {
    left: f64,
    at: Millis,
    per_ms: f64,
}

pub struct Dispatcher {
    rng: ChaCha8Rng,
    types: Vec<ProjectType>,
    shares: Vec<Share>,
    credit_over: f64,
    cold: ColdRule,
    nodes: f64,
    come_back_told: bool,
    /// Where this node stands, if the settings price a push to another place.
    home: Option<ZoneId>,
    fleet: Fleet,
    requests: HashMap<RequestId, Request>,
    held: Vec<RequestId>,
    /// Work units whose wanted state may differ from what is out.
    touched: Vec<RequestId>,
    probes_wanted: Vec<ExecutorId>,
    /// When a work unit wants to be looked at again, by the bits of that time.
    wakes: BTreeSet<(u64, RequestId)>,
    wake_set: Millis,
    monitoring: Monitoring,
    admission: Admission,
    /// Whether executors tell when an attempt begins.
    starts_told: bool,
    /// How long a connection stays open idle, and until when that is not believed.
    idle_stated: Millis,
    drops_until: Millis,
    /// Whether nodes may tell one another, and what is to be told.
    talks: bool,
    tellings: Vec<GossipMessage>,
    /// After how long work that has not begun is looked after, where copies may run and starts are told.
    looks_after: Millis,
    following: Following,
    beside_until: Millis,
    log: Vec<String>,
}

/// What is left of a score that was set some time ago.
fn faded((score, at): (f64, Millis), now: Millis, fade: Millis) -> f64 {
    if score == 0.0 { 0.0 } else { score * (-(now - at) / fade).exp() }
}

/// The mean time in the system by the ESM formula, in mean running times; none where ρ reaches 1.
pub fn time_in_system(draws: u32, load: f64, cost: f64) -> Option<f64> {
    let (d, left) = (draws as f64, 1.0 - load * draws as f64 * cost);
    let rho = load / left;
    if left <= 0.0 || rho >= 1.0 {
        return None;
    }
    let power = |i: i32| if draws == 1 { i as f64 - 1.0 } else { (d.powi(i) - d) / (d - 1.0) };
    // The first term is 1 and they fall like a geometric row or faster: what is cut cannot move the minimum.
    let terms = (1..10_000).map(|i| rho.powf(power(i))).take_while(|&term| term > 1e-9);
    Some(rho / load * terms.sum::<f64>())
}

/// The number of draws that makes the formula smallest; load follows by the tail law, share = load^(d+1).
pub fn best_draws(waiting_share: f64, in_use: u32, cost: f64, most: u32) -> Option<u32> {
    let load = waiting_share.clamp(1e-6, 1.0 - 1e-6).powf(1.0 / (in_use as f64 + 1.0));
    let times = (2..=most.max(2)).filter_map(|d| Some((d, time_in_system(d, load, cost)?)));
    times.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(d, _)| d)
}

impl Fleet {
    /// How long distrust stands, so that it outlives the time until the next meeting.
    fn fade(&self, now: Millis) -> Millis {
        let met_every =
            DISTRUST_FADE * self.healthy.len().max(1) as f64 / faded(self.met, now, DISTRUST_FADE);
        (MEETINGS * met_every).clamp(DISTRUST_FADE, LONGEST_FADE)
    }

    /// Guards against an executor that fails at once, and of which nothing would be left by the next meeting.
    fn fault(&mut self, e: ExecutorId, now: Millis) {
        self.add_distrust(e, now, (self.fade(now) / DISTRUST_FADE).min(MOST_FAULT));
    }

    fn add_distrust(&mut self, e: ExecutorId, now: Millis, by: f64) {
        let fade = self.fade(now);
        let Some(state) = self.state_mut(e) else { return };
        let seen = faded(state.observations, now, DISTRUST_FADE) + 1.0;
        let kept = (ENOUGH / seen).min(1.0);
        state.failure_score = ((faded(state.failure_score, now, fade) + by) * kept, now);
        state.observations = (seen * kept, now);
    }

    /// Guards against executors that turn away or swallow one project type; what is new is told.
    fn turn_away(
        &mut self,
        e: ExecutorId,
        kind: RequestClassId,
        now: Millis,
        seen: bool,
    ) -> Option<GossipMessage> {
        let fade = self.fade(now);
        let state = self.state_mut(e)?;
        let score = state.turned_away.entry(kind.0 as usize).or_insert((0.0, now));
        let before = faded(*score, now, fade);
        let by = (fade / DISTRUST_FADE).min(MOST_FAULT);
        *score = (if seen { before + by } else { before.max(HEARSAY) }, now);
        let token = state.listing.token as u32;
        (seen && before < HEARSAY / 2.0).then_some(GossipMessage::WorkRejected { token, class: kind })
    }

    fn own_change(&mut self, e: ExecutorId, now: Millis, slots: f64) {
        let Some(state) = self.state_mut(e) else { return };
        while state.recent_changes.front().is_some_and(|&(at, _)| at < now - READING_LIFE) {
            state.recent_changes.pop_front();
        }
        state.recent_changes.push_back((now, slots));
        state.slots_out = (state.slots_out + slots).max(0.0);
    }

    /// Guards against a herd of this node's own: pushes and endings newer than the reading are counted.
    fn unseen(&self, e: ExecutorId, now: Millis) -> f64 {
        let state = self.state(e);
        let since = (state.read_at - READING_DELAY).max(now - READING_LIFE);
        state.recent_changes.iter().filter(|&&(at, _)| at >= since).map(|&(_, slots)| slots).sum()
    }

    /// The queue that a work unit would stand in, with the slots that it lacks there now; and the free slots.
    fn queue_for(&self, e: ExecutorId, now: Millis, slots: f64, reading: &LoadReport) -> (f64, f64) {
        let waiting = reading.queue_length.or(reading.in_flight).unwrap_or(0.0);
        let Some(free) = reading.free_slots else { return (waiting.round(), f64::INFINITY) };
        let free = free - self.unseen(e, now);
        ((waiting + (slots - free).max(0.0)).round(), free)
    }
}

impl Dispatcher {
    pub fn new(values: NamedValues, seed: u64, now: Millis) -> Self {
        let mut this = Dispatcher {
            rng: ChaCha8Rng::seed_from_u64(seed),
            types: Vec::new(),
            shares: Vec::new(),
            credit_over: 1.0,
            cold: ColdRule::default(),
            nodes: 1.0,
            come_back_told: false,
            home: None,
            fleet: Fleet::new(READING_LIFE),
            requests: HashMap::new(),
            held: Vec::new(),
            touched: Vec::new(),
            probes_wanted: Vec::new(),
            wakes: BTreeSet::new(),
            wake_set: f64::INFINITY,
            monitoring: Monitoring { draws: 2, at: now, ..Monitoring::default() },
            admission: Admission::default(),
            starts_told: false,
            idle_stated: 0.0,
            drops_until: 0.0,
            talks: false,
            tellings: Vec::new(),
            looks_after: f64::INFINITY,
            following: Following::new(&values, now),
            beside_until: 0.0,
            log: Vec::new(),
        };
        this.retune(now, &values);
        this
    }

    /// Takes in one event; what follows from it is emitted by the next `emit`.
    pub fn tell(&mut self, now: Millis, event: Event) {
        match event {
            Event::EndpointsUpdated { update: kind, endpoints: entries } => self.on_list(now, kind, &entries),
            Event::EndpointWatchLost { is_rejected: turned_away } => {
                self.log.push(self.following.lost(now, self.nodes, turned_away, &mut self.rng))
            }
            Event::RequestArrived {
                request_id,
                class: project_type,
                tenant: customer,
                slots,
                time_left: left,
                is_retry: again,
                ..
            } => {
                let project_type = project_type.0 as usize;
                if project_type < self.types.len() && !self.requests.contains_key(&request_id) {
                    let wanted = Request {
                        project_type,
                        slots: slots.max(1.0),
                        over: self.over_share(now, customer, again),
                        asked: now + left - self.types[project_type].limit.max(left),
                        limit: now + left,
                        wake: f64::INFINITY,
                        ..Request::default()
                    };
                    self.requests.insert(request_id, wanted);
                    if self.admits(project_type) {
                        self.draw(now, request_id)
                    } else {
                        self.give_up(now, request_id)
                    }
                }
            }
            Event::ProbeCompleted { executor, answered, lag, reading } => {
                self.on_probed(now, executor, answered.then_some((lag, reading)))
            }
            Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: closed } => {
                self.on_ended(now, request_id, attempt_id, outcome, closed)
            }
            Event::AttemptRecovered { request_id, executor, sent_at: sent } => {
                self.on_recovered(now, request_id, executor, sent)
            }
            Event::GossipReceived(GossipMessage::IdleConnectionLost) => self.on_dropped(now, false),
            Event::GossipReceived(GossipMessage::WorkRejected { token, class: project_type }) => {
                let found = self.fleet.iter().find(|state| state.listing.token as u32 == token);
                let executor = found.map_or(ExecutorId::default(), |state| state.listing.executor);
                if self.fleet.expects(executor) {
                    self.fleet.turn_away(executor, project_type, now, false);
                }
            }
            Event::SiblingChanged { is_running: true } => self.beside_until = f64::INFINITY,
            Event::SiblingChanged { is_running: false } => self.beside_until = now + self.cold.fall,
            Event::WarmStateReceived(learned) => self.on_learned(learned),
            Event::AttemptStarted { request_id, attempt_id } => self.on_started(now, request_id, attempt_id),
            Event::AttemptProgressed { .. } => {}
            Event::TimerFired => self.wake_set = f64::INFINITY,
            Event::RequestWithdrawn { request_id } => self.forget(request_id),
        }
        while let Some(&(bits, request_id)) = self.wakes.first()
            && f64::from_bits(bits) <= now
        {
            self.wakes.remove(&(bits, request_id));
            let Some(w) = self.requests.get_mut(&request_id) else { continue };
            w.wake = f64::INFINITY;
            match w.wanted {
                Wanted::Probed => self.probe_next(now, request_id),
                // It has not begun yet: its executor is asked why, where it may be asked.
                Wanted::Out(executor, ..) => match w.attempts.last() {
                    Some(last) if last.waits() && self.monitoring.forbidden => self.admission.late(),
                    Some(last) if last.waits() => self.probe(now, request_id, vec![executor]),
                    _ => {}
                },
                Wanted::Held => {
                    w.draws = 1;
                    self.draw(now, request_id)
                }
                _ => {}
            }
        }
    }

    /// Whether a new request is taken: by chance, where queues cannot be seen and many attempts begin late.
    fn admits(&mut self, project_type: usize) -> bool {
        let cost_per_value = |class: &ProjectType| class.work / class.credit.max(LEAST_VALUE);
        let mean = self.types.iter().map(cost_per_value).sum::<f64>() / self.types.len() as f64;
        let share = self.admission.share_of(cost_per_value(&self.types[project_type]) / mean);
        share >= 1.0 || self.rng.random::<f64>() < share
    }

    /// How long an attempt may take to begin for a mean request of its class to be in time; where starts are not
    /// told, how long to end.
    fn longest_wait(&self, project_type: usize) -> Millis {
        let class = &self.types[project_type];
        if !self.starts_told {
            // Its running time cannot be told apart from its wait.
            return PATIENCE * class.limit;
        }
        class.turnaround + (class.stretch - 1.0).max(0.0) * class.work
    }

    fn on_started(&mut self, now: Millis, request_id: RequestId, attempt_id: AttemptId) {
        let Some(w) = self.requests.get_mut(&request_id) else { return };
        let Some(attempt) = w.attempts.get_mut(attempt_id.0 as usize).filter(|a| a.waits()) else { return };
        attempt.begun = now;
        let (waited, project_type) = (now - attempt.sent, w.project_type);
        self.observe_wait(project_type, waited);
    }

    /// An attempt that has not begun in time was observed when its time was over.
    fn observe_wait(&mut self, project_type: usize, waited: Millis) {
        if self.monitoring.forbidden && waited <= self.longest_wait(project_type) {
            self.admission.in_time();
        }
    }

    /// Whether this work unit is beyond its customer's share; a client that asks again is not counted twice.
    fn over_share(&mut self, now: Millis, customer: TenantId, again: bool) -> bool {
        let Some(share) = self.shares.get_mut(customer.0 as usize) else { return false };
        let most = (share.per_ms * SPAN).max(LEAST_SAVED);
        share.left = (share.left + share.per_ms * (now - share.at)).min(most);
        share.at = now;
        let over = share.left < 1.0;
        share.left -= if over || again { 0.0 } else { 1.0 };
        over
    }

    fn on_list(&mut self, now: Millis, kind: ListUpdate, entries: &[Endpoint]) {
        let whole = matches!(kind, ListUpdate::Snapshot | ListUpdate::Cached);
        self.fleet.take_list(now, whole, entries);
        if matches!(kind, ListUpdate::Snapshot | ListUpdate::Delta) {
            self.log.extend(self.following.heard());
        }
        // A push decided in this very batch must not go to an executor that the list has just taken away.
        for request_id in self.touched.clone() {
            let Some(w) = self.requests.get(&request_id) else { continue };
            if let Wanted::Out(executor, _, attempts) = w.wanted
                && w.attempts.len() < attempts
                && !self.fleet.is_ready(executor)
            {
                self.fleet.own_change(executor, now, -w.slots);
                self.draw(now, request_id);
            }
        }
    }

    fn on_probed(&mut self, now: Millis, executor: ExecutorId, answer: Option<(Millis, LoadReport)>) {
        if !self.fleet.expects(executor) {
            return;
        }
        if let Some((lag, reading)) = answer {
            let m = &mut self.monitoring;
            let usual = m.lag.get_or_insert(lag);
            *usual += 0.05 * (lag - *usual);
            let waiting = if reading.queue_length.unwrap_or(0.0) >= 0.5 { 1.0 } else { 0.0 };
            // Guards against what a node holds at its start, which one that sees little would keep all day.
            m.seen += 1.0;
            let share = m.waiting_share.get_or_insert(0.25);
            *share += ANSWER_WEIGHT.max(1.0 / (m.seen + 4.0)) * (waiting - *share);
            let running = (reading.in_flight.unwrap_or(0.0) - reading.queue_length.unwrap_or(0.0)).max(0.0);
            let shown = reading.free_slots.unwrap_or(0.0) + running;
            let Some(state) = self.fleet.state_mut(executor) else { return };
            state.most_slots = state.most_slots.max(shown.round());
            if state.reading != reading {
                (state.reading, state.read_at) = (reading, now);
            }
        } else {
            self.fleet.fault(executor, now);
        }
        let Some(state) = self.fleet.state_mut(executor) else { return };
        state.probe_out = false;
        for request_id in std::mem::take(&mut state.awaiting_probe) {
            let Some(w) = self.requests.get_mut(&request_id) else { continue };
            let asked = w.drawn.iter().take(w.probed).position(|x| *x == executor);
            let Some(nth) = asked.filter(|_| w.wanted == Wanted::Probed) else { continue };
            let last = nth + 1 >= w.probed;
            w.answers.extend(answer.map(|(_, reading)| (executor, reading)));
            // Those still to be probed could at best tie, or are emptier, which is not worth a price.
            let rank =
                answer.map(|(_, reading)| self.rank(now, &self.requests[&request_id], executor, &reading));
            let enough = self.fleet.state(executor).slots_out < 0.5 || self.monitoring.price > 0.0;
            match rank.is_some_and(|r| r.0 < 0.5 && !r.1 && enough) {
                true => self.choose(now, request_id),
                false if last => self.probe_next(now, request_id),
                false => {}
            }
        }
    }

    fn on_ended(
        &mut self,
        now: Millis,
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
        closed: bool,
    ) {
        let Some(w) = self.requests.get_mut(&request_id) else { return };
        let Some(a) = w.attempts.get_mut(attempt_id.0 as usize).filter(|a| a.outcome.is_none()) else {
            return;
        };
        let (executor, e, sent, begun) = (a.executor, a.executor, a.sent, a.begun);
        let soon = now - sent < BROKE_WITHIN && a.waits() && a.idle < self.idle_stated;
        a.outcome = Some(outcome);
        let (project_type, slots, another_out) = (w.project_type, w.slots, w.is_out());
        self.fleet.own_change(e, now, -slots);
        self.fleet.met = (faded(self.fleet.met, now, DISTRUST_FADE) + 1.0, now);
        // Only executors that showed room are sent to; one that is full all the same reports wrongly.
        if soon && outcome == Outcome::Reset {
            self.on_dropped(now, true);
        } else if outcome == Outcome::Rejected {
            let kind = RequestClassId(project_type as u32);
            self.tellings.extend(self.fleet.turn_away(e, kind, now, true));
        } else if !matches!(outcome, Outcome::Completed | Outcome::NotSent | Outcome::Cancelled) {
            self.fleet.fault(e, now);
        }
        if !outcome.never_ran() {
            self.fleet.state_mut(e).into_iter().for_each(|state| state.last_used = now);
        }
        if outcome == Outcome::Completed {
            // Guards against fresh executors that stay idle: among many nodes, slow while cold is no fault.
            let warmth = if self.nodes > MOST_DEALT { self.warmth(e, sent) } else { 1.0 };
            let ran = (now - sent) * warmth;
            let kind = &mut self.types[project_type];
            if warmth >= 1.0 {
                kind.runs_seen += 1.0;
                kind.run += (ran - kind.run) * RUN_WEIGHT.max(1.0 / kind.runs_seen);
                kind.work += (now - sent.max(begun) - kind.work) * RUN_WEIGHT.max(1.0 / kind.runs_seen);
                self.fleet.mean_run += (ran - self.fleet.mean_run) * RUN_WEIGHT;
            }
            // Guards against slow executors; the logarithm forgives the long tail of ordinary running times.
            self.fleet.add_distrust(e, now, SLOW_DISTRUST * (ran / kind.run).ln().max(0.0));
            if !self.starts_told {
                self.observe_wait(project_type, now - sent);
            }
        }
        match closed {
            true => self.forget(request_id),
            // A copy that is still out, or in the making, says what follows; where nobody is asked, who is full.
            false if another_out => {}
            false if outcome == Outcome::Rejected && self.monitoring.forbidden => self.hold(now, request_id),
            false => self.draw(now, request_id),
        }
        if outcome == Outcome::Completed {
            self.room_at(now, executor);
        }
    }

    /// Takes up an allocation of an earlier life: nothing is drawn, held or given up before its end is told.
    fn on_recovered(&mut self, now: Millis, request_id: RequestId, executor: ExecutorId, sent: Millis) {
        let known = self.fleet.expects(executor);
        let Some(w) = self.requests.get_mut(&request_id).filter(|_| known) else { return };
        w.attempts.push(Attempt::new(executor, sent, f64::INFINITY));
        w.draws = 0;
        let (slots, limit, attempts) = (w.slots, w.limit, w.attempts.len());
        self.fleet.own_change(executor, now, slots);
        self.want(request_id, Wanted::Out(executor, limit, attempts), f64::INFINITY);
    }

    /// Guards against connections that are dropped unseen while idle; whoever sees it tells the others.
    fn on_dropped(&mut self, now: Millis, seen: bool) {
        if now >= self.drops_until {
            self.log.push(format!("idle connections dropped: none is used again after {LEAST_IDLE} ms"));
            self.tellings.extend(seen.then_some(GossipMessage::IdleConnectionLost));
        }
        self.drops_until = now + DROPS_FOR;
    }

    fn forget(&mut self, request_id: RequestId) {
        let Some(w) = self.requests.remove(&request_id) else { return };
        // What is still out after its answer is left to the readings to show.
        for a in w.attempts.iter().filter(|a| a.outcome.is_none()) {
            let Some(state) = self.fleet.state_mut(a.executor) else { continue };
            state.slots_out = (state.slots_out - w.slots).max(0.0);
        }
        self.held.retain(|&h| h != request_id);
        self.wakes.remove(&(w.wake.to_bits(), request_id));
    }

    fn want(&mut self, request_id: RequestId, wanted: Wanted, wake: Millis) {
        let Some(w) = self.requests.get_mut(&request_id) else { return };
        self.wakes.remove(&(w.wake.to_bits(), request_id));
        self.held.retain(|&h| h != request_id);
        if wanted == Wanted::Held {
            self.held.push(request_id);
        }
        (w.wanted, w.wake) = (wanted, wake);
        if wake.is_finite() {
            self.wakes.insert((wake.to_bits(), request_id));
        }
        self.touched.push(request_id);
    }

    /// Whether and where a work unit may be sent again, and whether it may be deferred, said here alone.
    fn may_resend(&self, now: Millis, w: &Request) -> (Resend, bool) {
        let kind = &self.types[w.project_type];
        let Some(first) = w.first_run() else { return (Resend::Anywhere, true) };
        let all = kind.scope == DeduplicationScope::All;
        match kind.effect {
            Effect::Idempotent => (Resend::Anywhere, true),
            Effect::AtMostOnce => (Resend::Never, false),
            Effect::Deduplicated if now - first.sent > kind.window * WINDOW_MARGIN => (Resend::Never, all),
            Effect::Deduplicated if all => (Resend::Anywhere, all),
            Effect::Deduplicated => (Resend::Like(first.executor), all),
        }
    }

    /// Gives up: the answer goes out with this very batch.
    fn give_up(&mut self, now: Millis, request_id: RequestId) {
        let Some(w) = self.requests.get(&request_id) else { return };
        if w.is_out() {
            return self.wait(request_id);
        }
        let deferred = Wanted::Deferred(self.come_back_told.then_some(self.types[w.project_type].turnaround));
        let wanted = if self.may_resend(now, w).1 { deferred } else { Wanted::Aborted };
        self.want(request_id, wanted, f64::INFINITY);
    }

    fn wait(&mut self, request_id: RequestId) {
        let Some((w, a)) = self.requests.get(&request_id).and_then(|w| Some((w, w.attempts.last()?))) else {
            return;
        };
        self.want(request_id, Wanted::Out(a.executor, w.limit, w.attempts.len()), f64::INFINITY);
    }

    /// What has not begun though its executor shows room was lost on the way.
    fn look_after(&mut self, now: Millis, request_id: RequestId) {
        let Some((w, a)) = self.requests.get(&request_id).and_then(|w| Some((w, w.attempts.last()?))) else {
            return;
        };
        let roomy =
            |r: &LoadReport| r.queue_length.unwrap_or(1.0) < 0.5 && r.free_slots.unwrap_or(0.0) >= w.slots;
        if !a.waits() || !w.answers.iter().any(|(x, r)| *x == a.executor && roomy(r)) {
            return self.wait(request_id);
        }
        if a.idle < self.idle_stated && now >= self.drops_until {
            self.on_dropped(now, true);
        } else {
            let (e, kind) = (a.executor, RequestClassId(w.project_type as u32));
            self.tellings.extend(self.fleet.turn_away(e, kind, now, true));
        }
        self.draw(now, request_id)
    }

    /// 1 for a warm executor, less while it may still be cold; the slowest ramp is assumed.
    fn warmth(&self, e: ExecutorId, at: Millis) -> f64 {
        let ColdRule { share, ramp, .. } = self.cold;
        match self.fleet.state(e).listing.started_at {
            Some(start) if at < start + ramp => share + (1.0 - share) * ((at - start) / ramp).max(0.0),
            _ => 1.0,
        }
    }

    /// This node's part of an executor's cold budget, dealt to few nodes that follow from the executor alone.
    fn cold_part(&self, e: ExecutorId) -> f64 {
        let (nodes, dealt) = (self.nodes as u64, self.cold.dealt as u64);
        let Some(node) = self.cold.node else { return 1.0 / self.nodes };
        let place = (node % nodes + nodes - self.fleet.state(e).listing.token % nodes) % nodes;
        if place < dealt { 1.0 / dealt as f64 } else { 0.0 }
    }

    /// What this node has left of an executor's cold budget, in slot-milliseconds.
    fn cold_room(&self, e: ExecutorId, now: Millis) -> f64 {
        let (fall, warm_then) = (self.cold.fall, self.warmth(e, now - self.cold.fall));
        if warm_then >= 1.0 {
            return f64::INFINITY;
        }
        let whole = self.cold.multiple * warm_then * self.fleet.capacity(e) * fall;
        let spent = self.fleet.state(e).cold_spent.iter().filter(|&&(at, _)| at >= now - fall);
        // Two processes of this node push at once, or did of late: each to half of its part.
        let half = if now < self.beside_until { 0.5 } else { 1.0 };
        COLD_HEADROOM * whole * half * self.cold_part(e) - spent.map(|&(_, work)| work).sum::<f64>()
    }

    fn cost(&self, w: &Request) -> f64 {
        w.slots * self.types[w.project_type].work
    }

    /// Whether the rules allow this executor for a work unit now.
    fn allowed(&self, now: Millis, w: &Request, executor: ExecutorId) -> bool {
        let (kind, listing) = (&self.types[w.project_type], &self.fleet.state(executor).listing);
        let by_place = kind.scope == DeduplicationScope::Zone;
        let shares = |l: &Endpoint| if by_place { l.zone.0 } else { l.deduplication_group.0 };
        let in_scope = match self.may_resend(now, w).0 {
            Resend::Anywhere => true,
            Resend::Never => false,
            Resend::Like(other) => {
                self.fleet.holds(other) && shares(listing) == shares(&self.fleet.state(other).listing)
            }
        };
        let able = kind.only_kind.is_none_or(|k| k == listing.machine_type) && self.fleet.is_ready(executor);
        in_scope && able && self.cold_room(executor, now) >= self.cost(w)
    }

    /// Chance by warmth (among many nodes its root) and by trust decides who of the allowed is ready.
    fn let_through(&mut self, now: Millis, request_id: RequestId, executor: ExecutorId) -> bool {
        let (state, fade) = (self.fleet.state(executor), self.fleet.fade(now));
        let project_type = self.requests.get(&request_id).map_or(0, |w| w.project_type);
        let turned_away = state.turned_away.get(&project_type).copied().unwrap_or_default();
        let kind = &self.types[project_type];
        let spare = (kind.turnaround + (kind.stretch - 1.0) * kind.run) / kind.run;
        let tight = (AMPLE / spare).clamp(1.0, AMPLE);
        let warmth = self.warmth(executor, now).powf(if self.nodes > MOST_DEALT { 0.5 } else { 1.0 });
        let far = if self.crosses(executor) { FAR } else { 1.0 };
        let distrust = faded(state.failure_score, now, fade) + faded(turned_away, now, fade);
        let chance = far * warmth * (-distrust * tight).exp();
        chance > 0.98 || self.rng.random::<f64>() < chance
    }

    fn crosses(&self, executor: ExecutorId) -> bool {
        self.home.is_some_and(|home| self.fleet.state(executor).listing.zone != home)
    }

    /// One ready executor, each with the same chance; those that `but` names where there is no other.
    fn pick(&mut self, now: Millis, request_id: RequestId, but: &[ExecutorId]) -> Option<ExecutorId> {
        // The few nodes to which a cold one's budget is dealt draw it for all the others too.
        let dealt = self.fleet.dealt.len() as f64 * (self.nodes / self.cold.dealt - 1.0);
        let to_dealt = dealt / (dealt + self.fleet.healthy.len().max(1) as f64);
        // Guards against work that grows with the fleet: a healthy one at random, then whether it is ready.
        for _ in 0..if self.fleet.healthy.is_empty() { 0 } else { PICKS } {
            let of = if self.rng.random_bool(to_dealt) { &self.fleet.dealt } else { &self.fleet.healthy };
            let x = of[self.rng.random_range(0..of.len())];
            if !but.contains(&x)
                && self.allowed(now, self.requests.get(&request_id)?, x)
                && self.let_through(now, request_id, x)
            {
                return Some(x);
            }
        }
        let (mut left, w) = (self.fleet.healthy.clone(), self.requests.get(&request_id)?);
        left.retain(|&x| self.allowed(now, w, x));
        if !left.iter().all(|x| but.contains(x)) {
            left.retain(|x| !but.contains(x));
        }
        (!left.is_empty()).then(|| left[self.rng.random_range(0..left.len())])
    }

    /// Work is held, or answers show it: one of many nodes has too little work to hold some at most times.
    fn room_is_short(&self) -> bool {
        let shown = self.monitoring.waiting_share.unwrap_or(0.0) > SHORT_SHARE;
        !self.held.is_empty() || (shown && self.nodes > MOST_DEALT)
    }

    /// Draws d ready executors with replacement and wants a probe to each distinct one.
    fn draw(&mut self, now: Millis, request_id: RequestId) {
        let Some(w) = self.requests.get(&request_id) else { return };
        let most = self.types[w.project_type].max_attempts;
        if now >= w.limit || w.attempts.len() >= most || self.may_resend(now, w).0 == Resend::Never {
            return self.give_up(now, request_id);
        }
        let mut but: Vec<ExecutorId> = w.attempts.iter().map(|a| a.executor).collect();
        but.extend(w.drawn.iter().filter(|_| w.draws == 1));
        self.recompute_draws(now);
        // Where room is short everywhere: one draw, for each probe is priced.
        let draws = if self.room_is_short() { 1 } else { self.monitoring.draws };
        let mut drawn: Vec<ExecutorId> = Vec::new();
        for _ in 0..draws {
            drawn.extend(self.pick(now, request_id, &but).filter(|x| !drawn.contains(x)));
        }
        // Who is near is asked first: where it shows room, the others need not be.
        drawn.sort_by_key(|&x| self.crosses(x));
        if drawn.is_empty() { self.hold(now, request_id) } else { self.probe(now, request_id, drawn) }
    }

    /// Wants answers from these for this work unit, one after another.
    fn probe(&mut self, now: Millis, request_id: RequestId, drawn: Vec<ExecutorId>) {
        let Some(w) = self.requests.get_mut(&request_id) else { return };
        (w.drawn, w.probed, w.draws) = (drawn, 0, w.draws + 1);
        w.answers.clear();
        if !self.monitoring.forbidden {
            return self.probe_next(now, request_id);
        }
        // Nobody may be asked: what this node has out there says who is emptier, and never that room is short.
        let own = |&x: &ExecutorId| (x, LoadReport::of_free_slots(1e6 - self.fleet.state(x).slots_out));
        w.answers = w.drawn.iter().map(own).collect();
        self.choose(now, request_id);
    }

    fn probe_next(&mut self, now: Millis, request_id: RequestId) {
        let Some(w) = self.requests.get_mut(&request_id) else { return };
        let Some(&executor) = w.drawn.get(w.probed) else { return self.choose(now, request_id) };
        w.probed += 1;
        if let Some(state) = self.fleet.state_mut(executor) {
            if !state.probe_out && state.awaiting_probe.is_empty() {
                self.probes_wanted.push(executor);
            }
            if !state.awaiting_probe.contains(&request_id) {
                state.awaiting_probe.push(request_id);
            }
        }
        // The wait for a probe is bounded by what it usually takes; a deep one may queue like a work unit.
        let wake = (now + 8.0 * self.monitoring.lag.unwrap_or(15.0) + 5.0).min(w.limit);
        self.want(request_id, Wanted::Probed, wake);
    }

    /// The shortest queue first, then the node's own place, then the least part of the slots in use.
    fn rank(&self, now: Millis, w: &Request, executor: ExecutorId, reading: &LoadReport) -> (f64, bool, f64) {
        let (queue, free) = self.fleet.queue_for(executor, now, w.slots, reading);
        (queue, self.crosses(executor), -free / self.fleet.slots_of(executor))
    }

    /// With all answers in, the best of those drawn; among equal ones chance decides.
    fn choose(&mut self, now: Millis, request_id: RequestId) {
        let Some(w) = self.requests.get(&request_id) else { return };
        if w.is_out() && w.attempts.last().is_some_and(|a| w.drawn == [a.executor]) {
            return self.look_after(now, request_id);
        }
        let mut best: Vec<ExecutorId> = Vec::new();
        let mut least = (f64::INFINITY, true, 0.0);
        for (executor, reading) in w.answers.iter().filter(|(x, _)| self.allowed(now, w, *x)) {
            let rank = self.rank(now, w, *executor, reading);
            if rank < least {
                (least, best) = (rank, Vec::new());
            }
            if rank == least {
                best.push(*executor);
            }
        }
        let (draws, answered, long) = (w.draws, !best.is_empty(), least.0 >= 0.5);
        if !answered && draws >= 2 {
            // No answer at all: one more draw, then one of the ready at random.
            best.extend(self.pick(now, request_id, &[]));
        } else if answered && long && (draws >= 2 || self.room_is_short()) {
            // Every answer is long: one more draw, then a short hold, as what is in a queue cannot be moved.
            return self.hold(now, request_id);
        }
        if best.is_empty() || (answered && long) {
            return self.draw(now, request_id);
        }
        let executor = best[self.rng.random_range(0..best.len())];
        let (w, e) = (&self.requests[&request_id], executor);
        let (attempt_deadline, slots, cost, attempts) =
            (w.limit, w.slots, self.cost(w), w.attempts.len() + 1);
        if self.warmth(e, now - self.cold.fall) < 1.0 {
            let since = now - self.cold.fall;
            let Some(state) = self.fleet.state_mut(e) else { return };
            state.cold_spent.retain(|&(at, _)| at >= since);
            state.cold_spent.push((now, cost));
        }
        self.fleet.own_change(e, now, slots);
        let wake = if self.monitoring.forbidden {
            now + self.longest_wait(w.project_type)
        } else {
            now + self.types[w.project_type].turnaround.max(self.looks_after)
        };
        self.want(request_id, Wanted::Out(executor, attempt_deadline, attempts), wake);
    }

    /// Holds a work unit, to draw again halfway, while it may well be in time, then gives it up at once.
    fn hold(&mut self, now: Millis, request_id: RequestId) {
        let Some(w) = self.requests.get(&request_id) else { return };
        if w.is_out() {
            return self.wait(request_id);
        }
        let kind = &self.types[w.project_type];
        let patience = PATIENCE * (kind.turnaround + (kind.stretch - 1.0).max(0.0) * kind.run);
        let until = (w.asked + patience).min(w.limit);
        let spent = w.attempts.len() >= kind.max_attempts || self.may_resend(now, w).0 == Resend::Never;
        // Where room is short, what exceeds a customer's share goes first.
        if now >= until || spent || (w.over && !self.held.is_empty()) {
            return self.give_up(now, request_id);
        }
        self.want(request_id, Wanted::Held, (now + patience / 2.0).min(until));
    }

    /// Room, maybe: the held work unit of most credit for its slots, times how long it waits, asks there.
    fn room_at(&mut self, now: Millis, executor: ExecutorId) {
        let earns = |request_id: &RequestId| {
            let w = &self.requests[request_id];
            let part = if w.over { self.credit_over } else { 1.0 };
            part * self.types[w.project_type].credit / w.slots * (now - w.asked)
        };
        let best = self.held.iter().max_by(|a, b| earns(a).total_cmp(&earns(b))).copied();
        if let Some(request_id) =
            best.filter(|request_id| self.allowed(now, &self.requests[request_id], executor))
        {
            self.probe(now, request_id, vec![executor]);
        }
    }

    fn recompute_draws(&mut self, now: Millis) {
        let m = &mut self.monitoring;
        let Some(share) = m.waiting_share.filter(|_| now - m.at >= RECOMPUTE_EVERY) else { return };
        m.at = now;
        self.fleet.list_ready();
        let more = |e: ExecutorId| self.warmth(e, now) < 1.0 && self.cold_part(e) * self.nodes > 1.0;
        self.fleet.dealt = self.fleet.healthy.iter().copied().filter(|x| more(*x)).collect();
        let shown = self.fleet.iter().map(|state| state.most_slots).filter(|&slots| slots > 0.0);
        self.fleet.least_slots = shown.min_by(f64::total_cmp).unwrap_or(1.0);
        let m = &mut self.monitoring;
        // The design's C, probe latency over running time, and the price of a probe beside what work earns.
        let cost = m.lag.unwrap_or(0.0) / self.fleet.mean_run.max(1.0) + m.price;
        let draws = best_draws(share, m.draws, cost, MOST_DRAWS).unwrap_or(2);
        if draws != m.draws {
            self.log.push(format!("d {} to {draws}: waiting share {share:.3}, C {cost:.4}", m.draws));
            m.draws = draws;
        }
    }

    /// The difference between what is wanted and what is out, held and timed; the only place that acts.
    pub fn emit(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.following.ask_at <= now {
            self.following.ask_at = f64::INFINITY;
            actions.push(Action::WatchEndpoints);
        }
        for request_id in std::mem::take(&mut self.touched) {
            let Some(w) = self.requests.get_mut(&request_id) else { continue };
            match w.wanted {
                Wanted::Out(executor, attempt_deadline, attempts) if w.attempts.len() < attempts => {
                    let idle = now - self.fleet.state(executor).last_used;
                    if now < self.drops_until && idle > LEAST_IDLE && idle < self.idle_stated {
                        actions.push(Action::CloseIdleConnections { executor });
                    }
                    // A connection may come up late: what may have run goes out whole inside its window, or not.
                    let kind = &self.types[w.project_type];
                    let first = w.first_run().filter(|_| kind.effect == Effect::Deduplicated);
                    let send_deadline = first.map_or(attempt_deadline, |a| {
                        attempt_deadline.min(a.sent + kind.window * WINDOW_MARGIN)
                    });
                    w.attempts.push(Attempt::new(executor, now, idle));
                    actions.push(Action::Dispatch { request_id, executor, attempt_deadline, send_deadline });
                }
                Wanted::Probed | Wanted::Held | Wanted::Out(..) => {}
                Wanted::Deferred(come_back) => {
                    actions.push(Action::Reject { request_id, retry_after: come_back })
                }
                Wanted::Aborted => actions.push(Action::Fail { request_id }),
            }
            if matches!(self.requests[&request_id].wanted, Wanted::Deferred(_) | Wanted::Aborted) {
                self.forget(request_id);
            }
        }
        for executor in std::mem::take(&mut self.probes_wanted) {
            let wanted = |state: &&mut ExecutorState| !state.probe_out && !state.awaiting_probe.is_empty();
            if let Some(state) = self.fleet.state_mut(executor).filter(wanted) {
                state.probe_out = true;
                actions.push(Action::Probe { executor });
            }
        }
        actions.extend(self.tellings.drain(..).filter(|_| self.talks).map(Action::Gossip));
        self.reclaim(now, actions);
        let first = self.wakes.first().map_or(f64::INFINITY, |&(bits, _)| f64::from_bits(bits));
        let wake = first.min(self.following.ask_at).min(self.fleet.reclaim_at());
        if wake < self.wake_set {
            self.wake_set = wake;
            actions.push(Action::SetTimer { at: wake });
        }
        actions.extend(self.log.drain(..).map(Action::Log));
    }
}
