//! One emulated executor, without I/O, clock or threads: time and events in, outputs out.
//!
//! Every call that takes `now` first plays what has happened since the last one. [`Executor::next_event_at`] says
//! when something will happen by itself, and [`Executor::pop_output`] hands out what did, in order of time. The
//! same seed and the same calls give the same outputs.
//!
//! Running work progresses at one rate for each slot, so an allocation ends when the common progress reaches
//! where it began plus its work; only a change of that rate costs anything.
use crate::machine::{CancelScope, Fault, Machine, Millis, QueueOrder, Ramp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Pareto, StandardNormal};
use std::collections::{HashMap, VecDeque};

/// While it warms up, its rate is reckoned anew this often.
const RAMP_STEP: Millis = 50.0;
/// Work that ends within so much of now has ended: guards against steps too small for the clock's digits.
const CLOSE: f64 = 1e-7;
const MOST_CHECKPOINTS: usize = 4096;

/// An allocation as this executor knows it; never used for two.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct AttemptKey(pub u64);

/// What an executor is asked to run.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    pub key: AttemptKey,
    /// Stands for the work unit at every executor alike.
    pub request_id: u64,
    pub request_class: usize,
    pub slots: f64,
    pub memory: f64,
    pub work: Millis,
    pub priority: f64,
}

/// What comes of an offer at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    Accepted,
    /// The queue is full; it was not executed.
    Rejected,
    Error,
    /// The machine is down.
    Down,
}

/// How an allocation that was taken ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    Done,
    /// Handed back unstarted.
    Returned,
    /// The machine went down under it.
    Lost,
    /// Its connection broke under it.
    Reset,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Output {
    Started {
        key: AttemptKey,
    },
    Progress {
        key: AttemptKey,
        share: f64,
    },
    Ended {
        key: AttemptKey,
        outcome: AttemptOutcome,
    },
    /// It was sent more while cold than it stands, and is down.
    Overloaded {
        sent: Millis,
        limit: Millis,
    },
}

/// What a load reading shows.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Load {
    pub waiting: f64,
    pub running: f64,
    pub free_slots: f64,
    pub free_memory: f64,
}

struct Running {
    offer: Attempt,
    /// The common progress at which it ends, by result or by a reset.
    ends_at: f64,
    resets: bool,
    /// What was done before, up to a checkpoint.
    before: f64,
    began_at: f64,
    tells_at: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Life {
    Up,
    Down,
}

/// One executor.
pub struct Executor {
    machine: Machine,
    rng: ChaCha8Rng,
    seed: u64,
    now: Millis,
    life: Life,
    started: Millis,
    draining: bool,
    troubles: Vec<(u64, Millis, Fault)>,
    /// Work that each slot in use has had done since ever, and what a millisecond adds to it.
    progress: f64,
    rate: f64,
    /// Work of probes and handshakes that is still to do, and how fast it is done.
    overhead: f64,
    overhead_rate: f64,
    work_done: f64,
    running: Vec<Running>,
    waiting: VecDeque<Attempt>,
    used_slots: f64,
    used_memory: f64,
    connections: usize,
    checkpoints: HashMap<u64, f64>,
    /// Work that came while cold, and when.
    cold_spent: VecDeque<(Millis, f64)>,
    /// Load from each of these times on, as far back as a reading may show.
    history: VecDeque<(Millis, Load)>,
    outputs: VecDeque<(Millis, Output)>,
}

fn mixed(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Executor {
    /// An executor that started at `now`; where `warm`, long ago.
    pub fn new(machine: Machine, seed: u64, now: Millis, warm: bool) -> Self {
        let mut made = Executor {
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            now,
            life: Life::Up,
            started: now,
            draining: false,
            troubles: Vec::new(),
            progress: 0.0,
            rate: 0.0,
            overhead: 0.0,
            overhead_rate: 0.0,
            work_done: 0.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            used_slots: 0.0,
            used_memory: 0.0,
            connections: 0,
            checkpoints: HashMap::new(),
            cold_spent: VecDeque::new(),
            history: VecDeque::new(),
            outputs: VecDeque::new(),
            machine,
        };
        if warm {
            (made.started, made.work_done) = (f64::NEG_INFINITY, f64::INFINITY);
        }
        made.noted();
        made
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// When it last started; minus infinity for long ago.
    pub fn started_at(&self) -> Millis {
        self.started
    }

    pub fn is_down(&self) -> bool {
        self.life == Life::Down
    }

    /// Whether open connections say nothing and new ones never come up.
    pub fn is_silent(&self) -> bool {
        self.troubles.iter().any(|(_, _, t)| matches!(t, Fault::Silence { .. }))
    }

    /// Whether nothing happens and nothing is said, though connections come up.
    pub fn is_paused(&self) -> bool {
        self.troubles.iter().any(|(_, _, t)| *t == Fault::Pause)
    }

    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// The share of its cores that it may use, from cold to 1.
    pub fn capacity_share(&self) -> f64 {
        let Some(cold) = self.machine.slow_start else { return 1.0 };
        let way = match cold.ramp {
            Ramp::Time(span) => (self.now - self.started) / span,
            Ramp::Work(work) => self.work_done / work,
        };
        if way >= 1.0 { 1.0 } else { cold.initial_capacity + (1.0 - cold.initial_capacity) * way.max(0.0) }
    }

    /// Work that it does in a millisecond when all slots are busy and nothing is wrong.
    pub fn capacity(&self) -> f64 {
        self.machine.cores.min(self.machine.slots) * self.machine.speed * self.capacity_share()
    }

    /// An allocation comes.
    pub fn dispatch(&mut self, now: Millis, mut offer: Attempt) -> Admission {
        self.play(now);
        if self.is_down() {
            return Admission::Down;
        }
        if let Some((sent, stood)) = self.pushed_over(&offer) {
            self.outputs.push_back((self.now, Output::Overloaded { sent, limit: stood }));
            self.go_down(AttemptOutcome::Lost);
            return Admission::Down;
        }
        let mut chance = ChaCha8Rng::seed_from_u64(mixed(self.seed, offer.key.0));
        // The same work unit is as heavy everywhere.
        let mut weight = ChaCha8Rng::seed_from_u64(mixed(0x7461_696c, offer.request_id));
        let mut swallowed = false;
        for (_, _, trouble) in &self.troubles {
            match *trouble {
                Fault::Errors { share } if chance.random::<f64>() < share => return Admission::Error,
                Fault::NeverStart { request_class: project_type, share }
                    if project_type == offer.request_class =>
                {
                    swallowed |= chance.random::<f64>() < share;
                }
                Fault::HeavyTail { request_class: project_type, share, alpha }
                    if project_type == offer.request_class =>
                {
                    if weight.random::<f64>() < share
                        && let Ok(pareto) = Pareto::new(1.0, alpha)
                    {
                        offer.work *= pareto.sample(&mut weight);
                    }
                }
                _ => {}
            }
        }
        if swallowed {
            return Admission::Accepted;
        }
        let too_large = offer.slots > self.machine.slots || offer.memory > self.machine.memory;
        if too_large || (!self.fits(&offer) || !self.waiting.is_empty()) && self.is_full() {
            return Admission::Rejected;
        }
        self.waiting.push_back(offer);
        self.start_what_fits();
        self.reckon();
        Admission::Accepted
    }

    /// Whoever asked for it has given it up.
    pub fn cancel(&mut self, now: Millis, key: AttemptKey) {
        self.play(now);
        if self.machine.cancel_scope != CancelScope::None {
            self.waiting.retain(|offer| offer.key != key);
        }
        if self.machine.cancel_scope == CancelScope::Running
            && let Some(at) = self.running.iter().position(|r| r.offer.key == key)
        {
            self.stop(at);
        }
        self.start_what_fits();
        self.reckon();
    }

    /// A new connection; false where it holds no more.
    pub fn connect(&mut self, now: Millis) -> bool {
        self.play(now);
        if self.is_down() || self.connections >= self.machine.max_connections {
            return false;
        }
        self.connections += 1;
        self.overhead += self.machine.handshake_work;
        self.reckon();
        true
    }

    /// A connection that came up has ended.
    pub fn disconnect(&mut self, now: Millis) {
        self.play(now);
        self.connections = self.connections.saturating_sub(1);
    }

    /// A probe: what the newest reading that has arrived shows.
    pub fn probe(&mut self, now: Millis) -> Load {
        self.play(now);
        self.overhead += self.machine.probe_work;
        self.reckon();
        let readings = self.machine.load_reports;
        let (mut late, mut factor) = (0.0, 1.0);
        for (_, _, trouble) in &self.troubles {
            match *trouble {
                Fault::LateLoadReports { delay: by } => late += by,
                Fault::WrongLoadReports { factor: f } => factor *= f,
                _ => {}
            }
        }
        let mut seen = self.now - late - readings.delay;
        let mut chance = None;
        if readings.interval > 0.0 {
            // Each executor's readings come at their own beat; each has its own jitter and noise.
            let beat = (mixed(self.seed, 1) % 1000) as f64 / 1000.0 * readings.interval;
            let number = ((seen - beat) / readings.interval).floor();
            let mut own = ChaCha8Rng::seed_from_u64(mixed(self.seed, number as i64 as u64));
            let jittered = (seen - beat - own.random::<f64>() * readings.jitter) / readings.interval;
            seen = beat + jittered.floor() * readings.interval;
            chance = Some(own);
        }
        let at = self.history.partition_point(|(from, _)| *from <= seen);
        let mut load = self.history[at.saturating_sub(1)].1;
        if readings.noise > 0.0 {
            let rng = chance.as_mut().unwrap_or(&mut self.rng);
            let mut noisy = |value: &mut f64| {
                let drawn: f64 = StandardNormal.sample(rng);
                *value = (*value * (1.0 + readings.noise * drawn)).max(0.0);
            };
            [&mut load.free_slots, &mut load.free_memory].into_iter().for_each(&mut noisy);
        }
        if factor != 1.0 {
            let used = (self.machine.slots - load.free_slots) * factor;
            load.free_slots = (self.machine.slots - used).clamp(0.0, self.machine.slots);
            load.waiting = (load.waiting * factor).floor();
            load.running = (load.running * factor).floor();
        }
        load
    }

    /// It is asked to drain; what it has goes on, but for what it hands back.
    pub fn drain(&mut self, now: Millis) {
        self.play(now);
        self.draining = true;
        if self.machine.returns_queue_on_drain {
            for offer in std::mem::take(&mut self.waiting) {
                self.outputs.push_back((
                    self.now,
                    Output::Ended { key: offer.key, outcome: AttemptOutcome::Returned },
                ));
            }
        }
        self.reckon();
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The process dies; it stays down until [`Executor::restart`].
    pub fn kill(&mut self, now: Millis) {
        self.play(now);
        self.go_down(AttemptOutcome::Reset);
    }

    /// It starts anew, cold and empty.
    pub fn restart(&mut self, now: Millis) {
        self.play(now);
        self.go_down(AttemptOutcome::Reset);
        (self.life, self.started, self.draining, self.work_done) = (Life::Up, now, false, 0.0);
        self.cold_spent.clear();
        self.reckon();
    }

    /// A trouble begins; the number names it until its end.
    pub fn begin_fault(&mut self, now: Millis, number: u64, trouble: Fault) {
        self.play(now);
        if trouble == (Fault::Silence { restarts: true }) {
            // The machine is gone; whoever waits for it hears nothing before it is back.
            self.running.iter().for_each(|r| {
                self.outputs.push_back((
                    f64::INFINITY,
                    Output::Ended { key: r.offer.key, outcome: AttemptOutcome::Reset },
                ))
            });
            self.waiting.iter().for_each(|o| {
                self.outputs
                    .push_back((f64::INFINITY, Output::Ended { key: o.key, outcome: AttemptOutcome::Reset }))
            });
            self.running.clear();
            self.waiting.clear();
            (self.used_slots, self.used_memory, self.overhead) = (0.0, 0.0, 0.0);
        }
        self.troubles.push((number, now, trouble));
        self.reckon();
    }

    pub fn end_fault(&mut self, now: Millis, number: u64) {
        self.play(now);
        let Some(at) = self.troubles.iter().position(|(n, ..)| *n == number) else { return };
        let (_, _, trouble) = self.troubles.remove(at);
        if trouble == (Fault::Silence { restarts: true }) {
            for (at, _) in self.outputs.iter_mut().filter(|(at, _)| at.is_infinite()) {
                *at = now;
            }
            if self.life == Life::Up {
                self.restart(now);
            }
        }
        self.start_what_fits();
        self.reckon();
    }

    /// When something happens by itself next.
    pub fn next_event_at(&self) -> Option<Millis> {
        let waits = self.outputs.iter().map(|(at, _)| *at).find(|at| at.is_finite());
        waits.or_else(|| self.next_change())
    }

    /// Hands out what happened until `now`, with its time.
    pub fn pop_output(&mut self, now: Millis) -> Option<(Millis, Output)> {
        self.play(now);
        let at = self.outputs.iter().position(|(at, _)| *at <= now)?;
        self.outputs.remove(at)
    }

    /// Whether more within the window has come than a cold one stands; counts what comes now.
    fn pushed_over(&mut self, offer: &Attempt) -> Option<(Millis, Millis)> {
        let fall = self.machine.slow_start?.overload_limit?;
        if self.capacity_share() >= 1.0 {
            self.cold_spent.clear();
            return None;
        }
        self.cold_spent.push_back((self.now, offer.work * offer.slots));
        while self.cold_spent.front().is_some_and(|(at, _)| *at <= self.now - fall.window) {
            self.cold_spent.pop_front();
        }
        let sent: f64 = self.cold_spent.iter().map(|(_, work)| work).sum();
        let stands = fall.multiple * self.capacity() * fall.window;
        (sent > stands).then_some((sent, stands))
    }

    fn is_full(&self) -> bool {
        self.waiting.len() >= self.machine.queue_capacity
    }

    fn fits(&self, offer: &Attempt) -> bool {
        self.used_slots + offer.slots <= self.machine.slots + CLOSE
            && self.used_memory + offer.memory <= self.machine.memory
    }

    fn go_down(&mut self, end: AttemptOutcome) {
        let now = self.now;
        for key in self.running.drain(..).map(|r| r.offer.key).chain(self.waiting.drain(..).map(|o| o.key)) {
            self.outputs.push_back((now, Output::Ended { key, outcome: end }));
        }
        (self.used_slots, self.used_memory, self.overhead) = (0.0, 0.0, 0.0);
        self.connections = 0;
        self.life = Life::Down;
        self.reckon();
    }

    /// Takes a running allocation off, and keeps what it did up to its last checkpoint.
    fn stop(&mut self, at: usize) -> Running {
        let ended = self.running.swap_remove(at);
        self.used_slots -= ended.offer.slots;
        self.used_memory -= ended.offer.memory;
        if self.running.is_empty() {
            (self.used_slots, self.used_memory) = (0.0, 0.0);
        }
        if let Some(every) = self.machine.checkpoint_interval {
            let done = ended.before + self.progress - ended.began_at;
            if self.checkpoints.len() >= MOST_CHECKPOINTS {
                self.checkpoints.clear();
            }
            self.checkpoints.insert(ended.offer.request_id, (done / every).floor() * every);
        }
        ended
    }

    fn start_what_fits(&mut self) {
        if self.is_down() || self.is_paused() {
            return;
        }
        loop {
            let next = match self.machine.queue_order {
                QueueOrder::InOrder => self.waiting.front().map(|_| 0),
                QueueOrder::Backfill => self.waiting.iter().position(|offer| self.fits(offer)),
                QueueOrder::Priority => {
                    let best = |best: usize, at: usize| {
                        if self.waiting[at].priority > self.waiting[best].priority { at } else { best }
                    };
                    (0..self.waiting.len()).reduce(best)
                }
            };
            let Some(at) = next.filter(|&at| self.fits(&self.waiting[at])) else { return };
            let Some(offer) = self.waiting.remove(at) else { return };
            self.start(offer);
        }
    }

    fn start(&mut self, offer: Attempt) {
        let before = self.checkpoints.remove(&offer.request_id).unwrap_or(0.0).min(offer.work);
        let mut left = offer.work - before;
        let mut chance = ChaCha8Rng::seed_from_u64(mixed(self.seed ^ 0x7265_7365, offer.key.0));
        let mut resets = false;
        for (_, _, trouble) in &self.troubles {
            if let Fault::Resets { share } = *trouble
                && chance.random::<f64>() < share
            {
                (left, resets) = (left * chance.random::<f64>(), true);
            }
        }
        self.used_slots += offer.slots;
        self.used_memory += offer.memory;
        self.outputs.push_back((self.now, Output::Started { key: offer.key }));
        self.running.push(Running {
            ends_at: self.progress + left,
            resets,
            before,
            began_at: self.progress,
            tells_at: self.machine.progress_interval.map_or(f64::INFINITY, |every| self.now + every),
            offer,
        });
    }

    /// The part of the cores that other programs take now, and when that changes.
    fn neighbours(&self) -> (f64, Option<Millis>) {
        let (mut left, mut changes) = (1.0, None::<Millis>);
        for (_, since, trouble) in &self.troubles {
            if let Fault::CpuContention { share: part, on, off } = *trouble {
                let into = (self.now - since).rem_euclid(on + off);
                let (taken, next) = if into + CLOSE < on { (part, on) } else { (0.0, on + off) };
                left *= 1.0 - taken;
                let at = self.now + (next - into).max(CLOSE);
                changes = Some(changes.map_or(at, |c| c.min(at)));
            }
        }
        (1.0 - left, changes)
    }

    /// Reckons how fast everything goes from now on, and notes the load.
    fn reckon(&mut self) {
        let mut speed = self.machine.speed;
        for (_, _, trouble) in &self.troubles {
            if let Fault::Slow { factor } = *trouble {
                speed /= factor;
            }
        }
        let gone = self.troubles.iter().any(|(_, _, t)| *t == Fault::Silence { restarts: true });
        if self.is_down() || self.is_paused() || gone {
            speed = 0.0;
        }
        let cores = self.machine.cores * self.capacity_share() * (1.0 - self.neighbours().0);
        let for_overhead = if self.overhead > 0.0 { cores.min(1.0) } else { 0.0 };
        self.overhead_rate = for_overhead * speed;
        let for_work = cores - for_overhead;
        self.rate = if self.used_slots > 0.0 { speed * (for_work / self.used_slots).min(1.0) } else { 0.0 };
        self.noted();
    }

    fn noted(&mut self) {
        let load = Load {
            waiting: self.waiting.len() as f64,
            running: self.running.len() as f64,
            free_slots: (self.machine.slots - self.used_slots).max(0.0),
            free_memory: (self.machine.memory - self.used_memory).max(0.0),
        };
        if self.history.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.history.push_back((self.now, load));
        let readings = self.machine.load_reports;
        let mut span = readings.delay + readings.jitter + 2.0 * readings.interval;
        for (_, _, trouble) in &self.troubles {
            if let Fault::LateLoadReports { delay: by } = *trouble {
                span += by;
            }
        }
        while self.history.len() > 1 && self.history[1].0 <= self.now - span {
            self.history.pop_front();
        }
    }

    fn next_change(&self) -> Option<Millis> {
        let mut next = f64::INFINITY;
        if self.rate > 0.0 {
            let least = self.running.iter().map(|r| r.ends_at).fold(f64::INFINITY, f64::min);
            next = next.min(self.now + (least - self.progress).max(0.0) / self.rate);
        }
        if self.overhead > 0.0 && self.overhead_rate > 0.0 {
            next = next.min(self.now + self.overhead / self.overhead_rate);
        }
        let busy = self.rate > 0.0 || self.overhead_rate > 0.0;
        if busy && self.capacity_share() < 1.0 {
            next = next.min(self.now + RAMP_STEP);
        }
        if (busy || !self.running.is_empty())
            && let Some(at) = self.neighbours().1
        {
            next = next.min(at);
        }
        if self.rate > 0.0 {
            next = self.running.iter().map(|r| r.tells_at).fold(next, f64::min);
        }
        next.is_finite().then_some(next)
    }

    /// Plays what happens by itself until `now`.
    fn play(&mut self, now: Millis) {
        while let Some(at) = self.next_change()
            && at <= now
        {
            self.step(at);
            let mut at = 0;
            while at < self.running.len() {
                if self.running[at].ends_at - self.progress <= CLOSE {
                    let ended = self.stop(at);
                    let (key, request_id) = (ended.offer.key, ended.offer.request_id);
                    if !ended.resets {
                        self.checkpoints.remove(&request_id);
                    }
                    let end = if ended.resets { AttemptOutcome::Reset } else { AttemptOutcome::Done };
                    self.outputs.push_back((self.now, Output::Ended { key, outcome: end }));
                } else {
                    let running = &mut self.running[at];
                    if running.tells_at <= self.now + CLOSE {
                        let done = running.before + self.progress - running.began_at;
                        let share = (done / running.offer.work.max(CLOSE)).min(1.0);
                        running.tells_at = self.now + self.machine.progress_interval.unwrap_or(f64::INFINITY);
                        let key = running.offer.key;
                        self.outputs.push_back((self.now, Output::Progress { key, share }));
                    }
                    at += 1;
                }
            }
            self.start_what_fits();
            self.reckon();
        }
        if now > self.now {
            self.step(now);
            if self.capacity_share() < 1.0 {
                self.reckon();
            }
        }
    }

    /// Lets time pass at the present rates.
    fn step(&mut self, to: Millis) {
        let span = (to - self.now).max(0.0);
        self.progress += span * self.rate;
        self.work_done += span * self.rate * self.used_slots;
        self.overhead -= span * self.overhead_rate;
        if self.overhead < CLOSE {
            self.overhead = 0.0;
        }
        self.now = self.now.max(to);
    }
}
