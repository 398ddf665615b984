//! Every decision of the dispatcher.
//!
//! How to call it: `Dispatcher::new(values, seed, now)`, then `tell(now, event)` for each event of a moment and one
//! `emit(now, &mut actions)` after them. `tell` only changes what is wanted; `emit` alone works out the difference
//! to what is out, held and timed. The interface (events, actions, ids) stands in `terms.rs`.
//!
//! Order of reading: what is known (`ProjectType`, `Fleet`, `Wu`), `tell`, `draw`, `choose`, the rules, `emit`.
use crate::terms::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Weight of one answer in the smoothed share of executors with work waiting: about the last hundred answers.
const ANSWER_WEIGHT: f64 = 0.01;
/// Weight of one ended allocation in a project type's running time: about the last thirty.
const RUN_WEIGHT: f64 = 0.03;
/// How often d is worked out anew.
const RECOMPUTE_EVERY: Millis = 1000.0;
/// The most draws that are tried; past this a draw rarely finds an executor not drawn yet.
const MOST_DRAWS: u32 = 3;
/// How long a reading may have been under way when it is first seen.
const READING_DELAY: Millis = 40.0;
/// A reading that still looks the same after this is taken to be made anew.
const READING_LIFE: Millis = 400.0;
/// Distrust fades by this time constant.
const DISTRUST_FADE: Millis = 4000.0;
/// Part of the cold budget that is used: running times are heavy-tailed and only learned means are known.
const COLD_HEADROOM: f64 = 0.5;
/// A receipted work unit is resent only this part into its window, for the way there and clocks that differ.
const WINDOW_MARGIN: f64 = 0.8;
/// A held work unit draws again after this part of its promised turnaround.
const HOLD_PART: f64 = 0.25;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Effect {
    Rerunnable,
    Receipted,
    Exclusive,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum RepeatScope {
    All,
    Place,
    Group,
}

struct ProjectType {
    effect: Effect,
    scope: RepeatScope,
    window: Millis,
    turnaround: Millis,
    stretch: f64,
    limit: Millis,
    credit: f64,
    only_kind: Option<MachineKindId>,
    /// Smoothed running time; the promised turnaround stands in until an allocation has ended.
    run: Millis,
    runs_seen: u32,
}

/// What is known of executors, in parallel arrays under the executor's number.
#[derive(Default)]
struct Fleet {
    phase: Vec<Phase>,
    place: Vec<PlaceId>,
    kind: Vec<MachineKindId>,
    group: Vec<GroupId>,
    started: Vec<Option<Millis>>,
    distrust: Vec<f64>,
    distrust_at: Vec<Millis>,
    /// The most slots that reports have shown.
    slots: Vec<f64>,
    reading: Vec<Reading>,
    /// When this reading was first seen; the same one comes back until the executor makes a new one.
    read_at: Vec<Millis>,
    /// Slots that this node's own pushes (+) and ended allocations (-) have changed of late.
    own_changes: Vec<VecDeque<(Millis, f64)>>,
    /// Slots of this node's allocations that are out.
    own_out: Vec<f64>,
    /// Work units that wait for the probe that is wanted or out.
    awaiting: Vec<Vec<WuId>>,
    probe_out: Vec<bool>,
    /// What was pushed while cold: when, and how many slot-milliseconds.
    cold_spent: Vec<VecDeque<(Millis, f64)>>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
struct Alloc {
    executor: ExecutorId,
    sent: Millis,
    started: Option<Millis>,
    outcome: Option<Outcome>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Wanted {
    /// Probes are wanted or out for what was drawn.
    Probed,
    Out {
        executor: ExecutorId,
        cut_at: Millis,
    },
    Held,
    Deferred(Option<Millis>),
    Aborted,
}

struct Wu {
    project_type: usize,
    slots: f64,
    limit: Millis,
    wanted: Wanted,
    allocs: Vec<Alloc>,
    drawn: Vec<ExecutorId>,
    answers: Vec<(ExecutorId, Reading)>,
    missing: usize,
    draws: u32,
    /// When the client first asked, for an earlier try perhaps.
    asked: Millis,
    wake: Millis,
}

/// Where a work unit may be sent next.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Resend {
    Anywhere,
    /// Only to executors that drop repeats of what this one may have run.
    LikeExecutor(ExecutorId),
    Never,
}

pub struct Dispatcher {
    values: NamedValues,
    rng: ChaCha8Rng,
    types: Vec<ProjectType>,
    fleet: Fleet,
    wus: HashMap<WuId, Wu>,
    /// Held work units, the longest held first.
    held: Vec<WuId>,
    /// Work units whose wanted state may differ from what is out.
    touched: Vec<WuId>,
    probes_wanted: Vec<ExecutorId>,
    /// When a work unit wants to be looked at again, by the bits of that time.
    wakes: BTreeSet<(u64, WuId)>,
    wake_set: Millis,
    log: Vec<String>,
    /// Where this node stands, and whether the settings price a push to another place.
    place: PlaceId,
    cross_priced: bool,
    draws: u32,
    draws_at: Millis,
    waiting_share: Option<f64>,
    probe_lag: Option<f64>,
    probe_lag_swing: f64,
    follow_wanted: bool,
    follow_at: Millis,
    follow_failures: u32,
}

/// The mean time in the system of the ESM formula, in units of the mean running time; none where ρ reaches 1.
pub fn time_in_system(draws: u32, load: f64, cost: f64) -> Option<f64> {
    let d = draws as f64;
    let left = 1.0 - load * d * cost;
    let rho = load / left;
    if left <= 0.0 || rho >= 1.0 {
        return None;
    }
    let (mut sum, mut i) = (0.0, 1);
    loop {
        let term = rho.powf(if draws == 1 { i as f64 - 1.0 } else { (d.powi(i) - d) / (d - 1.0) });
        sum += term;
        i += 1;
        // The terms fall faster than a geometric row; what is cut here cannot move the minimum.
        if term < 1e-9 * sum || i > 10_000 {
            return Some(rho / load * sum);
        }
    }
}

/// The number of draws that makes the formula smallest, the load being read off the share of executors with work
/// waiting through the tail law (share = load^(d+1) at the d in use).
pub fn best_draws(waiting_share: f64, in_use: u32, cost: f64, most: u32) -> Option<u32> {
    let load = waiting_share.clamp(1e-6, 1.0 - 1e-6).powf(1.0 / (in_use as f64 + 1.0));
    let mut best: Option<(u32, f64)> = None;
    for draws in 2..=most.max(2) {
        if let Some(time) = time_in_system(draws, load, cost)
            && best.is_none_or(|(_, least)| time < least)
        {
            best = Some((draws, time));
        }
    }
    best.map(|(draws, _)| draws)
}

impl Fleet {
    fn make_room(&mut self, upto: usize) {
        while self.phase.len() <= upto {
            self.phase.push(Phase::Gone);
            self.place.push(PlaceId(0));
            self.kind.push(MachineKindId(0));
            self.group.push(GroupId(0));
            self.started.push(None);
            self.distrust.push(0.0);
            self.distrust_at.push(0.0);
            self.slots.push(0.0);
            self.reading.push(Reading::default());
            self.read_at.push(0.0);
            self.own_changes.push(VecDeque::new());
            self.own_out.push(0.0);
            self.awaiting.push(Vec::new());
            self.probe_out.push(false);
            self.cold_spent.push(VecDeque::new());
        }
    }

    fn list(&mut self, entry: &Listing) {
        let e = entry.executor.0 as usize;
        self.make_room(e);
        self.phase[e] = entry.phase;
        self.place[e] = entry.place;
        self.kind[e] = entry.kind;
        self.group[e] = entry.group;
        if self.started[e] != entry.started {
            self.started[e] = entry.started;
            self.cold_spent[e].clear();
            self.distrust[e] = 0.0;
        }
    }

    fn distrust(&self, e: usize, now: Millis) -> f64 {
        self.distrust[e] * (-(now - self.distrust_at[e]) / DISTRUST_FADE).exp()
    }

    fn add_distrust(&mut self, e: usize, now: Millis, by: f64) {
        self.distrust[e] = (self.distrust(e, now) + by).min(6.0);
        self.distrust_at[e] = now;
    }

    fn own_change(&mut self, e: usize, now: Millis, slots: f64) {
        let changes = &mut self.own_changes[e];
        while changes.front().is_some_and(|&(at, _)| at < now - READING_LIFE) {
            changes.pop_front();
        }
        changes.push_back((now, slots));
        self.own_out[e] = (self.own_out[e] + slots).max(0.0);
    }

    /// Guards against a herd of this node's own: a reading is made now and then and arrives late, so pushes newer
    /// than it are added, and what has ended since is taken off.
    fn unseen(&self, e: usize, now: Millis) -> f64 {
        let since = (self.read_at[e] - READING_DELAY).max(now - READING_LIFE);
        self.own_changes[e].iter().filter(|&&(at, _)| at >= since).map(|&(_, slots)| slots).sum()
    }

    /// Slots of an executor: as its reports show, else the least that any of its kind, then any at all, has shown.
    fn slots_of(&self, e: usize) -> f64 {
        if self.slots[e] > 0.0 {
            return self.slots[e];
        }
        let least = |same_kind: bool| {
            let shown = (0..self.slots.len())
                .filter(|&o| self.slots[o] > 0.0 && (!same_kind || self.kind[o] == self.kind[e]))
                .map(|o| self.slots[o]);
            shown.fold(f64::INFINITY, f64::min)
        };
        [least(true), least(false), 1.0].into_iter().find(|s| s.is_finite()).unwrap_or(1.0)
    }
}

impl Dispatcher {
    pub fn new(values: NamedValues, seed: u64, now: Millis) -> Self {
        let mut node = Dispatcher {
            values,
            rng: ChaCha8Rng::seed_from_u64(seed),
            types: Vec::new(),
            fleet: Fleet::default(),
            wus: HashMap::new(),
            held: Vec::new(),
            touched: Vec::new(),
            probes_wanted: Vec::new(),
            wakes: BTreeSet::new(),
            wake_set: f64::INFINITY,
            log: Vec::new(),
            place: PlaceId(0),
            cross_priced: false,
            draws: 2,
            draws_at: now,
            waiting_share: None,
            probe_lag: None,
            probe_lag_swing: 0.0,
            follow_wanted: false,
            follow_at: f64::INFINITY,
            follow_failures: 0,
        };
        while node.values.contains_key(&format!("project_types.{}.hard_limit", node.types.len())) {
            let own = |name: &str| format!("project_types.{}.{name}", node.types.len());
            let turnaround = node.number(&own("promised_turnaround"), 1000.0);
            let kind = node.number(&own("only_kind"), -1.0);
            node.types.push(ProjectType {
                effect: match node.text(&own("effect")) {
                    "rerunnable" => Effect::Rerunnable,
                    "receipted" => Effect::Receipted,
                    _ => Effect::Exclusive,
                },
                scope: match node.text(&own("repeat_scope")) {
                    "all" => RepeatScope::All,
                    "place" => RepeatScope::Place,
                    _ => RepeatScope::Group,
                },
                window: node.number(&own("window"), 0.0),
                turnaround,
                stretch: node.number(&own("stretch"), 0.0),
                limit: node.number(&own("hard_limit"), 0.0),
                credit: node.number(&own("credit"), 1.0),
                only_kind: (kind >= 0.0).then_some(MachineKindId(kind as u32)),
                run: turnaround,
                runs_seen: 0,
            });
        }
        node.place = PlaceId(node.number("place", 0.0) as u32);
        node.cross_priced = node.number("prices.cross_place", 0.0) > 0.0;
        if node.text("list_mode") == "asked" {
            node.follow_wanted = true;
            node.follow_at = now;
        }
        node
    }

    fn number(&self, name: &str, otherwise: f64) -> f64 {
        match self.values.get(name) {
            Some(Given::Number(n)) => *n,
            _ => otherwise,
        }
    }

    fn text(&self, name: &str) -> &str {
        match self.values.get(name) {
            Some(Given::Text(t)) => t,
            _ => "",
        }
    }

    fn flag(&self, name: &str) -> bool {
        matches!(self.values.get(name), Some(Given::Flag(true)))
    }

    /// Takes in one event; what follows from it is emitted by the next `emit`.
    pub fn tell(&mut self, now: Millis, event: Event) {
        match event {
            Event::ListTold { kind, entries } => self.on_list(now, kind, &entries),
            Event::ListLost => {
                // A failed call keeps the old list; waits grow with jitter so that nodes do not ask in step,
                // and stay well inside the span after which a node counts as told.
                self.follow_failures = (self.follow_failures + 1).min(6);
                let longest = self.number("rules.ask_every", 10_000.0) / 4.0;
                let wait = (100.0 * f64::powi(2.0, self.follow_failures as i32)).min(longest);
                self.follow_at = now + wait * self.rng.random_range(0.5..1.0);
                self.follow_wanted = true;
                self.log.push(format!("list lost: failure {}, asking in {wait:.0} ms", self.follow_failures));
            }
            Event::Arrived { wu, project_type, slots, left, .. } => {
                if (project_type.0 as usize) < self.types.len() && !self.wus.contains_key(&wu) {
                    let fresh = Wu {
                        project_type: project_type.0 as usize,
                        slots: slots.max(1.0),
                        limit: now + left,
                        wanted: Wanted::Held,
                        allocs: Vec::new(),
                        drawn: Vec::new(),
                        answers: Vec::new(),
                        missing: 0,
                        draws: 0,
                        asked: now + left - self.types[project_type.0 as usize].limit.max(left),
                        wake: f64::INFINITY,
                    };
                    self.wus.insert(wu, fresh);
                    self.draw(now, wu);
                }
            }
            Event::Probed { executor, answered, lag, reading } => {
                self.on_probed(now, executor, answered, lag, reading)
            }
            Event::Ended { wu, alloc, executor, outcome, closed, lag } => {
                self.on_ended(now, wu, alloc, executor, outcome, closed, lag)
            }
            Event::Started { wu, alloc } => {
                if let Some(a) = self.wus.get_mut(&wu).and_then(|w| w.allocs.get_mut(alloc.0 as usize)) {
                    a.started.get_or_insert(now);
                }
            }
            Event::Progress { .. } => {}
            Event::TimerFired => self.wake_set = f64::INFINITY,
            Event::Withdrawn { wu } => self.forget(wu),
        }
        while let Some(&(bits, wu)) = self.wakes.first()
            && f64::from_bits(bits) <= now
        {
            self.wakes.remove(&(bits, wu));
            self.on_wake(now, wu);
        }
    }

    fn on_list(&mut self, now: Millis, kind: ListKind, entries: &[Listing]) {
        if kind != ListKind::Changes {
            self.fleet.phase.fill(Phase::Gone);
        }
        for entry in entries {
            self.fleet.list(entry);
        }
        if kind != ListKind::Saved {
            if self.follow_failures > 0 {
                self.log.push(format!("list back after {} failures", self.follow_failures));
            }
            self.follow_failures = 0;
        }
        // A push decided in this very batch must not go to an executor that the list has just taken away.
        for wu in self.touched.clone() {
            if let Some(Wanted::Out { executor, .. }) = self.wus.get(&wu).map(|w| w.wanted)
                && self.pending(wu).is_none()
                && self.fleet.phase[executor.0 as usize] != Phase::Healthy
            {
                self.draw(now, wu);
            }
        }
    }

    fn on_probed(
        &mut self,
        now: Millis,
        executor: ExecutorId,
        answered: bool,
        lag: Millis,
        reading: Reading,
    ) {
        let e = executor.0 as usize;
        if e >= self.fleet.phase.len() {
            return;
        }
        self.fleet.probe_out[e] = false;
        if answered {
            let was = *self.probe_lag.get_or_insert(lag);
            self.probe_lag = Some(was + 0.05 * (lag - was));
            self.probe_lag_swing += 0.05 * ((lag - was).abs() - self.probe_lag_swing);
            let busy = if reading.queue.unwrap_or(0.0) >= 0.5 { 1.0 } else { 0.0 };
            let share = *self.waiting_share.get_or_insert(0.25);
            self.waiting_share = Some(share + ANSWER_WEIGHT * (busy - share));
            let running = reading.held.unwrap_or(0.0) - reading.queue.unwrap_or(0.0);
            let shown = reading.free_slots.unwrap_or(0.0) + running.max(0.0);
            self.fleet.slots[e] = self.fleet.slots[e].max(shown.round());
            if self.fleet.reading[e] != reading {
                self.fleet.reading[e] = reading;
                self.fleet.read_at[e] = now;
            }
        } else {
            self.fleet.add_distrust(e, now, 1.0);
        }
        for wu in std::mem::take(&mut self.fleet.awaiting[e]) {
            let Some(w) = self.wus.get_mut(&wu) else { continue };
            if w.wanted != Wanted::Probed || !w.drawn.contains(&executor) {
                continue;
            }
            w.missing = w.missing.saturating_sub(1);
            if answered {
                w.answers.push((executor, reading));
            }
            if w.missing == 0 {
                self.choose(now, wu);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn on_ended(
        &mut self,
        now: Millis,
        wu: WuId,
        alloc: AllocId,
        executor: ExecutorId,
        outcome: Outcome,
        closed: bool,
        lag: Millis,
    ) {
        match outcome {
            Outcome::Completed | Outcome::NotSent | Outcome::Cancelled => {}
            // Only executors that showed room are sent to; one that is full all the same reports wrongly.
            Outcome::Full => self.fleet.add_distrust(executor.0 as usize, now, 1.0),
            Outcome::Error => self.fleet.add_distrust(executor.0 as usize, now, 0.3),
            Outcome::TimedOut | Outcome::NoConnection => {
                self.fleet.add_distrust(executor.0 as usize, now, 1.0)
            }
            Outcome::Reset => self.fleet.add_distrust(executor.0 as usize, now, 2.0),
        }
        let Some(w) = self.wus.get_mut(&wu) else { return };
        let Some(a) = w.allocs.get_mut(alloc.0 as usize) else { return };
        a.outcome = Some(outcome);
        let slots = w.slots;
        self.fleet.own_change(executor.0 as usize, now, -slots);
        let Some(w) = self.wus.get_mut(&wu) else { return };
        let Some(a) = w.allocs.get_mut(alloc.0 as usize) else { return };
        if outcome == Outcome::Completed {
            let ran = a.started.map_or(lag, |s| now - s);
            let kind = &mut self.types[w.project_type];
            kind.runs_seen = kind.runs_seen.saturating_add(1);
            kind.run += (ran - kind.run) * RUN_WEIGHT.max(1.0 / kind.runs_seen as f64);
        }
        if closed {
            self.forget(wu);
        } else if w.allocs.iter().all(|a| a.outcome.is_some()) {
            self.draw(now, wu);
        }
        if outcome == Outcome::Completed {
            self.room_at(now, executor);
        }
    }

    fn on_wake(&mut self, now: Millis, wu: WuId) {
        let Some(w) = self.wus.get_mut(&wu) else { return };
        w.wake = f64::INFINITY;
        match w.wanted {
            Wanted::Probed => self.choose(now, wu),
            Wanted::Held => {
                w.draws = 0;
                self.draw(now, wu)
            }
            _ => {}
        }
    }

    fn forget(&mut self, wu: WuId) {
        if let Some(w) = self.wus.remove(&wu) {
            self.held.retain(|&h| h != wu);
            self.wakes.remove(&(w.wake.to_bits(), wu));
        }
    }

    fn want(&mut self, wu: WuId, wanted: Wanted, wake: Millis) {
        let Some(w) = self.wus.get_mut(&wu) else { return };
        self.wakes.remove(&(w.wake.to_bits(), wu));
        if w.wanted == Wanted::Held {
            self.held.retain(|&h| h != wu);
        }
        if wanted == Wanted::Held {
            self.held.push(wu);
        }
        w.wanted = wanted;
        w.wake = wake;
        if wake.is_finite() {
            self.wakes.insert((wake.to_bits(), wu));
        }
        self.touched.push(wu);
    }

    fn pending(&self, wu: WuId) -> Option<&Alloc> {
        self.wus.get(&wu)?.allocs.last().filter(|a| a.outcome.is_none())
    }

    /// The one place that says whether and where a work unit may be sent again, and (second) whether a deferral,
    /// which promises that asking again is harmless, may be given.
    fn may_resend(&self, now: Millis, w: &Wu) -> (Resend, bool) {
        let kind = &self.types[w.project_type];
        let Some(first) = w.allocs.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran)) else {
            return (Resend::Anywhere, true);
        };
        match kind.effect {
            Effect::Rerunnable => (Resend::Anywhere, true),
            Effect::Exclusive => (Resend::Never, false),
            Effect::Receipted => {
                let in_window = now - first.sent <= kind.window * WINDOW_MARGIN;
                let all = kind.scope == RepeatScope::All;
                let to = match (in_window, all) {
                    (false, _) => Resend::Never,
                    (true, true) => Resend::Anywhere,
                    (true, false) => Resend::LikeExecutor(first.executor),
                };
                (to, all)
            }
        }
    }

    /// Gives up: the answer goes out with this very batch.
    fn give_up(&mut self, now: Millis, wu: WuId) {
        let Some(w) = self.wus.get(&wu) else { return };
        let wanted = if self.may_resend(now, w).1 {
            let kind = &self.types[w.project_type];
            Wanted::Deferred(self.flag("limits.come_back_told").then_some(kind.turnaround))
        } else {
            Wanted::Aborted
        };
        self.want(wu, wanted, f64::INFINITY);
    }

    /// 1 for a warm executor, less while it may still be cold; the slowest ramp is assumed.
    fn warmth(&self, e: usize, at: Millis) -> f64 {
        let cold = self.number("rules.cold_share", 1.0);
        let ramp = self.number("rules.ramp_time", 0.0);
        match self.fleet.started[e] {
            Some(start) if at < start + ramp => cold + (1.0 - cold) * ((at - start) / ramp).max(0.0),
            _ => 1.0,
        }
    }

    /// What this node has left of an executor's cold budget, in slot-milliseconds; it holds one part in as many as
    /// there are nodes, so that all together stay under the whole without a word between them.
    fn cold_room(&mut self, e: usize, now: Millis) -> f64 {
        let fall = self.number("rules.fall", 0.0);
        let warm_then = self.warmth(e, now - fall);
        if warm_then >= 1.0 {
            return f64::INFINITY;
        }
        let part = self.number("rules.fall_multiple", 1.0) / self.number("nodes", 1.0).max(1.0);
        let budget = COLD_HEADROOM * part * warm_then * self.fleet.slots_of(e) * fall;
        let spent = &mut self.fleet.cold_spent[e];
        while spent.front().is_some_and(|&(at, _)| at < now - fall) {
            spent.pop_front();
        }
        budget - spent.iter().map(|&(_, work)| work).sum::<f64>()
    }

    fn cost(&self, w: &Wu) -> f64 {
        w.slots * self.types[w.project_type].run
    }

    /// Executors that the rules allow for this work unit now.
    fn legal(&mut self, now: Millis, wu: WuId) -> Vec<ExecutorId> {
        let Some(w) = self.wus.get(&wu) else { return Vec::new() };
        let (resend, _) = self.may_resend(now, w);
        let (kind, cost) = (w.project_type, self.cost(w));
        let mut legal = Vec::with_capacity(self.fleet.phase.len());
        for e in 0..self.fleet.phase.len() {
            let same_scope = match resend {
                Resend::Anywhere => true,
                Resend::Never => false,
                Resend::LikeExecutor(o) => match self.types[kind].scope {
                    RepeatScope::Place => self.fleet.place[e] == self.fleet.place[o.0 as usize],
                    _ => self.fleet.group[e] == self.fleet.group[o.0 as usize],
                },
            };
            let able = self.types[kind].only_kind.is_none_or(|k| k == self.fleet.kind[e]);
            if same_scope && able && self.fleet.phase[e] == Phase::Healthy && self.cold_room(e, now) >= cost {
                legal.push(ExecutorId(e as u32));
            }
        }
        legal
    }

    /// Of the legal ones those that chance lets through, by warmth and by trust; never empty where any is legal.
    fn ready(&mut self, now: Millis, legal: &[ExecutorId]) -> Vec<ExecutorId> {
        let mut ready = Vec::with_capacity(legal.len());
        for &executor in legal {
            let e = executor.0 as usize;
            let chance = self.warmth(e, now) * (-self.fleet.distrust(e, now)).exp();
            if chance > 0.98 || self.rng.random::<f64>() < chance {
                ready.push(executor);
            }
        }
        if ready.is_empty() { legal.to_vec() } else { ready }
    }

    /// Draws d ready executors with replacement and wants a probe to each distinct one.
    fn draw(&mut self, now: Millis, wu: WuId) {
        let Some(w) = self.wus.get(&wu) else { return };
        let most = self.number("limits.most_allocations", 1.0) as usize;
        if now >= w.limit || w.allocs.len() >= most || self.may_resend(now, w).0 == Resend::Never {
            return self.give_up(now, wu);
        }
        let mut legal = self.legal(now, wu);
        let Some(w) = self.wus.get(&wu) else { return };
        let refused = |x: &ExecutorId| w.allocs.iter().any(|a| a.executor == *x);
        if legal.iter().any(|x| !refused(x)) {
            legal.retain(|x| !refused(x));
        }
        if legal.is_empty() {
            return self.hold(now, wu);
        }
        if w.draws == 1 && legal.iter().any(|x| !w.drawn.contains(x)) {
            legal.retain(|x| !w.drawn.contains(x));
        }
        let ready = self.ready(now, &legal);
        self.recompute_draws(now);
        let mut drawn: Vec<ExecutorId> = Vec::with_capacity(self.draws as usize);
        for _ in 0..self.draws {
            let pick = ready[self.rng.random_range(0..ready.len())];
            if !drawn.contains(&pick) {
                drawn.push(pick);
            }
        }
        self.probe(now, wu, drawn);
    }

    /// Wants an answer from each of these for this work unit.
    fn probe(&mut self, now: Millis, wu: WuId, drawn: Vec<ExecutorId>) {
        for &executor in &drawn {
            let e = executor.0 as usize;
            if !self.fleet.probe_out[e] && self.fleet.awaiting[e].is_empty() {
                self.probes_wanted.push(executor);
            }
            if !self.fleet.awaiting[e].contains(&wu) {
                self.fleet.awaiting[e].push(wu);
            }
        }
        // The wait for probes is bounded by what probes usually take; a deep probe may queue like a work unit.
        let wait = 4.0 * self.probe_lag.unwrap_or(25.0) + 4.0 * self.probe_lag_swing + 5.0;
        let Some(w) = self.wus.get_mut(&wu) else { return };
        w.missing = drawn.len();
        w.drawn = drawn;
        w.answers.clear();
        w.draws += 1;
        let wake = (now + wait).min(w.limit);
        self.want(wu, Wanted::Probed, wake);
    }

    /// With all answers in, or the wait for them over: the shortest queue of those drawn, ties at random.
    fn choose(&mut self, now: Millis, wu: WuId) {
        let legal = self.legal(now, wu);
        let Some(w) = self.wus.get(&wu) else { return };
        let mut best: Vec<ExecutorId> = Vec::new();
        let mut least = (f64::INFINITY, true, 0.0);
        for (executor, reading) in &w.answers {
            if !legal.contains(executor) {
                continue;
            }
            let e = executor.0 as usize;
            let unseen = self.fleet.unseen(e, now);
            let free = reading.free_slots.unwrap_or(0.0);
            // Guards against readings that come late or stand still: what this node has out there is there.
            let free = (free - unseen).min(self.fleet.slots_of(e) - self.fleet.own_out[e]);
            let short = reading.free_slots.map_or(0.0, |_| (w.slots - free).max(0.0));
            let queue = (reading.queue.or(reading.held).unwrap_or(0.0) + short).round();
            let crossed = self.cross_priced && self.fleet.place[e] != self.place;
            let own = self.fleet.own_out[e] / self.fleet.slots_of(e);
            let rank = (queue, crossed, own);
            if rank < least {
                least = rank;
                best.clear();
            }
            if rank <= least {
                best.push(*executor);
            }
        }
        if best.is_empty() {
            // No answer at all: one more draw, then one of the ready at random.
            if w.draws < 2 || legal.is_empty() {
                return self.draw(now, wu);
            }
            best = self.ready(now, &legal);
        } else if least.0 >= 0.5 {
            // Every answer is long: one more draw, then a short hold. What is pushed into a queue cannot be moved.
            return if w.draws < 2 { self.draw(now, wu) } else { self.hold(now, wu) };
        }
        let pick = best[self.rng.random_range(0..best.len())];
        self.push_to(now, wu, pick);
    }

    /// Holds a work unit for as long as it may still end within its promised turnaround, then gives it up at once.
    fn hold(&mut self, now: Millis, wu: WuId) {
        let Some(w) = self.wus.get(&wu) else { return };
        let kind = &self.types[w.project_type];
        let patience = kind.turnaround + (kind.stretch - 1.0).max(0.0) * kind.run;
        let until = (w.asked + patience).min(w.limit);
        if now >= until {
            return self.give_up(now, wu);
        }
        self.want(wu, Wanted::Held, (now + HOLD_PART * patience).min(until));
    }

    /// An own allocation has ended, so there is room: the held work unit that earns most for its work asks there.
    fn room_at(&mut self, now: Millis, executor: ExecutorId) {
        let earns = |w: &Wu| self.types[w.project_type].credit / self.cost(w).max(1e-3);
        let mut best: Option<(WuId, f64)> = None;
        for &wu in &self.held {
            let worth = earns(&self.wus[&wu]);
            if best.is_none_or(|(_, most)| worth > most) {
                best = Some((wu, worth));
            }
        }
        let Some((wu, _)) = best else { return };
        if self.legal(now, wu).contains(&executor) {
            self.probe(now, wu, vec![executor]);
        }
    }

    fn push_to(&mut self, now: Millis, wu: WuId, executor: ExecutorId) {
        let Some(w) = self.wus.get(&wu) else { return };
        let e = executor.0 as usize;
        let fall = self.number("rules.fall", 0.0);
        if self.warmth(e, now - fall) < 1.0 {
            let cost = self.cost(w);
            self.fleet.cold_spent[e].push_back((now, cost));
        }
        let (cut_at, slots) = (w.limit, w.slots);
        self.fleet.own_change(e, now, slots);
        self.want(wu, Wanted::Out { executor, cut_at }, f64::INFINITY);
    }

    /// Works out d anew now and then.
    fn recompute_draws(&mut self, now: Millis) {
        let Some(share) = self.waiting_share else { return };
        if now - self.draws_at < RECOMPUTE_EVERY {
            return;
        }
        self.draws_at = now;
        let seen: f64 = self.types.iter().map(|t| t.runs_seen as f64).sum();
        let run = self.types.iter().map(|t| t.run * t.runs_seen as f64).sum::<f64>() / seen.max(1.0);
        if run <= 0.0 {
            return;
        }
        // The design's C, probe latency over running time, and what the settings charge for a probe as a share of
        // what a work unit earns.
        let cost = self.probe_lag.unwrap_or(0.0) / run + self.number("prices.probe", 0.0);
        let draws = best_draws(share, self.draws, cost, MOST_DRAWS).unwrap_or(2);
        if draws != self.draws {
            self.log.push(format!("d {} to {draws}: waiting share {share:.3}, C {cost:.4}", self.draws));
            self.draws = draws;
        }
    }

    /// The difference between what is wanted and what is out, held and timed; the only place that acts.
    pub fn emit(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.follow_wanted && self.follow_at <= now {
            self.follow_wanted = false;
            self.follow_at = f64::INFINITY;
            actions.push(Action::FollowList);
        }
        for wu in std::mem::take(&mut self.touched) {
            let Some(w) = self.wus.get_mut(&wu) else { continue };
            match w.wanted {
                Wanted::Probed | Wanted::Held => {}
                Wanted::Out { executor, cut_at } => {
                    if w.allocs.last().is_none_or(|a| a.outcome.is_some()) {
                        w.allocs.push(Alloc { executor, sent: now, started: None, outcome: None });
                        actions.push(Action::Push { wu, executor, cut_at });
                    }
                }
                Wanted::Deferred(come_back) => {
                    actions.push(Action::Defer { wu, come_back });
                    self.forget(wu);
                }
                Wanted::Aborted => {
                    actions.push(Action::Abort { wu });
                    self.forget(wu);
                }
            }
        }
        for executor in std::mem::take(&mut self.probes_wanted) {
            let e = executor.0 as usize;
            if !self.fleet.probe_out[e] && !self.fleet.awaiting[e].is_empty() {
                self.fleet.probe_out[e] = true;
                actions.push(Action::Probe { executor });
            }
        }
        let first = self.wakes.first().map_or(f64::INFINITY, |&(bits, _)| f64::from_bits(bits));
        let wake = first.min(self.follow_at);
        if wake < self.wake_set {
            self.wake_set = wake;
            actions.push(Action::Wake { at: wake });
        }
        actions.extend(self.log.drain(..).map(Action::Log));
    }
}
