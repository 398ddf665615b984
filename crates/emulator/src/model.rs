//! One emulated executor, without I/O, clock or threads: time and inputs in, outputs out.
//!
//! Every call that takes `now` first advances the model to that time. [`Executor::next_event_at`] returns the time of
//! the next output or internal change, and [`Executor::pop_output`] returns the outputs in order of time. The same seed
//! and the same calls give the same outputs.
//!
//! All slots in use progress at the same rate, so an attempt ends when the common progress reaches its value at the
//! start of the attempt plus the attempt's work. Only a change of the rate needs a computation.
use crate::machine::{CancelScope, Fault, Machine, Millis, QueueOrder, Ramp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Pareto, StandardNormal};
use std::collections::{HashMap, VecDeque};

/// Interval at which the rate is recomputed during the slow start.
const RAMP_STEP: Millis = 50.0;
/// Tolerance of comparisons, in milliseconds, units of work or slots. Without it, the time to the end of an attempt can
/// be too short to change `now` in double precision, so that the attempt would never end.
const TOLERANCE: f64 = 1e-7;
/// All checkpoints are discarded once there are this many.
const MAX_CHECKPOINTS: usize = 4096;

/// Identifies an attempt at one executor; a key is never reused.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct AttemptKey(pub u64);

/// An attempt that is dispatched to an executor.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    pub key: AttemptKey,
    /// The number of the request, the same at every executor.
    pub request_id: u64,
    pub request_class: usize,
    pub slots: f64,
    pub memory: f64,
    pub work: Millis,
    /// The higher, the earlier it starts under [`QueueOrder::Priority`].
    pub priority: f64,
}

/// The immediate answer to a dispatched attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    Accepted,
    /// The queue is full, or the attempt is larger than the machine; it was not executed.
    Rejected,
    Error,
    /// The machine is down.
    Down,
}

/// How an accepted attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    Done,
    /// Returned by a drain without having started.
    Returned,
    /// The executor went down because of overload.
    Lost,
    /// Its connection was reset, by a fault or because the process died.
    Reset,
}

/// What an executor reports about an attempt or itself.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Output {
    Started {
        key: AttemptKey,
    },
    /// `share` of the work is done.
    Progress {
        key: AttemptKey,
        share: f64,
    },
    Ended {
        key: AttemptKey,
        outcome: AttemptOutcome,
    },
    /// The executor went down: `sent` is the work dispatched to it within the window of its overload limit, `limit` the
    /// work above which it goes down.
    Overloaded {
        sent: Millis,
        limit: Millis,
    },
}

/// The content of a load report.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Load {
    pub waiting: f64,
    pub running: f64,
    pub free_slots: f64,
    pub free_memory: f64,
}

struct RunningAttempt {
    attempt: Attempt,
    /// The common progress at which it ends, by its result or by a reset.
    end_progress: f64,
    is_reset: bool,
    /// Work done by earlier attempts of the request, up to their last checkpoint.
    resumed_work: f64,
    /// The common progress at its start.
    start_progress: f64,
    /// When the next progress report is due; infinity if none is.
    next_report_at: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ProcessState {
    Up,
    Down,
}

/// The model of one executor.
pub struct Executor {
    machine: Machine,
    rng: ChaCha8Rng,
    seed: u64,
    now: Millis,
    state: ProcessState,
    started_at: Millis,
    is_draining: bool,
    /// The active faults: number, begin time and fault.
    faults: Vec<(u64, Millis, Fault)>,
    /// Work done for each slot in use since the model was created.
    progress: f64,
    /// Increase of `progress` per millisecond.
    rate: f64,
    /// Outstanding work of probes and handshakes.
    overhead: f64,
    /// Decrease of `overhead` per millisecond.
    overhead_rate: f64,
    /// Work done since the last start.
    work_done: f64,
    running: Vec<RunningAttempt>,
    waiting: VecDeque<Attempt>,
    used_slots: f64,
    used_memory: f64,
    connections: usize,
    /// Work done up to the last checkpoint, by request.
    checkpoints: HashMap<u64, f64>,
    /// When work was dispatched during the slow start, and how much.
    slow_start_work: VecDeque<(Millis, f64)>,
    /// The load since each of these times, as far back as a load report can show.
    load_history: VecDeque<(Millis, Load)>,
    outputs: VecDeque<(Millis, Output)>,
}

/// Hashes a seed and a number to a new seed (the finalizer of SplitMix64).
fn mix_seed(seed: u64, number: u64) -> u64 {
    let mut hash = seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

impl Executor {
    /// Creates an executor that starts at `now`; if `is_warm`, one that started long ago and has its full capacity.
    pub fn new(machine: Machine, seed: u64, now: Millis, is_warm: bool) -> Self {
        let mut executor = Executor {
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            now,
            state: ProcessState::Up,
            started_at: now,
            is_draining: false,
            faults: Vec::new(),
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
            slow_start_work: VecDeque::new(),
            load_history: VecDeque::new(),
            outputs: VecDeque::new(),
            machine,
        };
        if is_warm {
            (executor.started_at, executor.work_done) = (f64::NEG_INFINITY, f64::INFINITY);
        }
        executor.record_load();
        executor
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// When it last started; minus infinity if it was warm from the beginning.
    pub fn started_at(&self) -> Millis {
        self.started_at
    }

    pub fn is_down(&self) -> bool {
        self.state == ProcessState::Down
    }

    /// Whether open connections carry no traffic and new ones are not established.
    pub fn is_silent(&self) -> bool {
        self.faults.iter().any(|(_, _, fault)| matches!(fault, Fault::Silence { .. }))
    }

    /// Whether it executes and sends nothing, though connections are established.
    pub fn is_paused(&self) -> bool {
        self.faults.iter().any(|(_, _, fault)| *fault == Fault::Pause)
    }

    /// The number of running attempts.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// The number of queued attempts.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// The share of its cores that it can use, from the initial capacity of the slow start to 1.
    pub fn capacity_share(&self) -> f64 {
        let Some(slow_start) = self.machine.slow_start else { return 1.0 };
        let ramp_share = match slow_start.ramp {
            Ramp::Time(duration) => (self.now - self.started_at) / duration,
            Ramp::Work(work) => self.work_done / work,
        };
        if ramp_share >= 1.0 {
            1.0
        } else {
            slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * ramp_share.max(0.0)
        }
    }

    /// Work per millisecond with all slots in use and no fault active.
    pub fn capacity(&self) -> f64 {
        self.machine.cores.min(self.machine.slots) * self.machine.speed * self.capacity_share()
    }

    /// Accepts or rejects an attempt that arrives at `now`.
    pub fn dispatch(&mut self, now: Millis, mut attempt: Attempt) -> Admission {
        self.advance(now);
        if self.is_down() {
            return Admission::Down;
        }
        if let Some((sent, limit)) = self.exceeded_overload_limit(&attempt) {
            self.outputs.push_back((self.now, Output::Overloaded { sent, limit }));
            self.go_down(AttemptOutcome::Lost);
            return Admission::Down;
        }
        let mut fault_rng = ChaCha8Rng::seed_from_u64(mix_seed(self.seed, attempt.key.0));
        // Seeded without the executor's seed, so that a request takes equally long on every executor.
        let mut tail_rng = ChaCha8Rng::seed_from_u64(mix_seed(0x7461_696c, attempt.request_id));
        let mut never_starts = false;
        for (_, _, fault) in &self.faults {
            match *fault {
                Fault::Errors { share } if fault_rng.random::<f64>() < share => return Admission::Error,
                Fault::NeverStart { request_class, share } if request_class == attempt.request_class => {
                    never_starts |= fault_rng.random::<f64>() < share;
                }
                Fault::HeavyTail { request_class, share, alpha }
                    if request_class == attempt.request_class =>
                {
                    if tail_rng.random::<f64>() < share
                        && let Ok(pareto) = Pareto::new(1.0, alpha)
                    {
                        attempt.work *= pareto.sample(&mut tail_rng);
                    }
                }
                _ => {}
            }
        }
        if never_starts {
            return Admission::Accepted;
        }
        let is_too_large = attempt.slots > self.machine.slots || attempt.memory > self.machine.memory;
        if is_too_large || (!self.fits(&attempt) || !self.waiting.is_empty()) && self.is_queue_full() {
            return Admission::Rejected;
        }
        self.waiting.push_back(attempt);
        self.start_fitting_attempts();
        self.update_rates();
        Admission::Accepted
    }

    /// Cancels an attempt; whether it stops depends on [`Machine::cancel_scope`].
    pub fn cancel(&mut self, now: Millis, key: AttemptKey) {
        self.advance(now);
        if self.machine.cancel_scope != CancelScope::None {
            self.waiting.retain(|attempt| attempt.key != key);
        }
        if self.machine.cancel_scope == CancelScope::Running
            && let Some(index) = self.running.iter().position(|running| running.attempt.key == key)
        {
            self.stop_attempt(index);
        }
        self.start_fitting_attempts();
        self.update_rates();
    }

    /// Opens a connection; returns false if the executor is down or holds [`Machine::max_connections`].
    pub fn connect(&mut self, now: Millis) -> bool {
        self.advance(now);
        if self.is_down() || self.connections >= self.machine.max_connections {
            return false;
        }
        self.connections += 1;
        self.overhead += self.machine.handshake_work;
        self.update_rates();
        true
    }

    /// Closes a connection that [`Executor::connect`] accepted.
    pub fn disconnect(&mut self, now: Millis) {
        self.advance(now);
        self.connections = self.connections.saturating_sub(1);
    }

    /// Answers a probe with the newest load report that is visible at `now`.
    pub fn probe(&mut self, now: Millis) -> Load {
        self.advance(now);
        self.overhead += self.machine.probe_work;
        self.update_rates();
        let timing = self.machine.load_reports;
        let (mut added_delay, mut load_factor) = (0.0, 1.0);
        for (_, _, fault) in &self.faults {
            match *fault {
                Fault::LateLoadReports { delay } => added_delay += delay,
                Fault::WrongLoadReports { factor } => load_factor *= factor,
                _ => {}
            }
        }
        let mut reported_at = self.now - added_delay - timing.delay;
        let mut report_rng = None;
        if timing.interval > 0.0 {
            // Reports have a phase per executor, and jitter and noise per report.
            let phase = (mix_seed(self.seed, 1) % 1000) as f64 / 1000.0 * timing.interval;
            let number = ((reported_at - phase) / timing.interval).floor();
            let mut rng = ChaCha8Rng::seed_from_u64(mix_seed(self.seed, number as i64 as u64));
            let jittered = (reported_at - phase - rng.random::<f64>() * timing.jitter) / timing.interval;
            reported_at = phase + jittered.floor() * timing.interval;
            report_rng = Some(rng);
        }
        let end = self.load_history.partition_point(|(from, _)| *from <= reported_at);
        let mut load = self.load_history[end.saturating_sub(1)].1;
        if timing.noise > 0.0 {
            let rng = report_rng.as_mut().unwrap_or(&mut self.rng);
            let mut add_noise = |value: &mut f64| {
                let deviation: f64 = StandardNormal.sample(rng);
                *value = (*value * (1.0 + timing.noise * deviation)).max(0.0);
            };
            [&mut load.free_slots, &mut load.free_memory].into_iter().for_each(&mut add_noise);
        }
        if load_factor != 1.0 {
            let used = (self.machine.slots - load.free_slots) * load_factor;
            load.free_slots = (self.machine.slots - used).clamp(0.0, self.machine.slots);
            load.waiting = (load.waiting * load_factor).floor();
            load.running = (load.running * load_factor).floor();
        }
        load
    }

    /// Begins to drain: running attempts continue, and queued ones are returned if
    /// [`Machine::returns_queue_on_drain`] is set.
    pub fn drain(&mut self, now: Millis) {
        self.advance(now);
        self.is_draining = true;
        if self.machine.returns_queue_on_drain {
            for attempt in std::mem::take(&mut self.waiting) {
                self.outputs.push_back((
                    self.now,
                    Output::Ended { key: attempt.key, outcome: AttemptOutcome::Returned },
                ));
            }
        }
        self.update_rates();
    }

    /// Whether it was asked to drain since its last start.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Kills the process; it stays down until [`Executor::restart`].
    pub fn kill(&mut self, now: Millis) {
        self.advance(now);
        self.go_down(AttemptOutcome::Reset);
    }

    /// Restarts the process without any attempts and at the beginning of its slow start.
    pub fn restart(&mut self, now: Millis) {
        self.advance(now);
        self.go_down(AttemptOutcome::Reset);
        (self.state, self.started_at, self.is_draining, self.work_done) = (ProcessState::Up, now, false, 0.0);
        self.slow_start_work.clear();
        self.update_rates();
    }

    /// Activates a fault under a number, by which [`Executor::end_fault`] ends it.
    pub fn begin_fault(&mut self, now: Millis, number: u64, fault: Fault) {
        self.advance(now);
        if fault == (Fault::Silence { restarts: true }) {
            // The machine's state is lost, but its peers notice it only when the fault ends, which sets the time of
            // these outputs.
            self.running.iter().for_each(|running| {
                self.outputs.push_back((
                    f64::INFINITY,
                    Output::Ended { key: running.attempt.key, outcome: AttemptOutcome::Reset },
                ))
            });
            self.waiting.iter().for_each(|attempt| {
                self.outputs.push_back((
                    f64::INFINITY,
                    Output::Ended { key: attempt.key, outcome: AttemptOutcome::Reset },
                ))
            });
            self.running.clear();
            self.waiting.clear();
            (self.used_slots, self.used_memory, self.overhead) = (0.0, 0.0, 0.0);
        }
        self.faults.push((number, now, fault));
        self.update_rates();
    }

    /// Ends the fault of this number, if it is active.
    pub fn end_fault(&mut self, now: Millis, number: u64) {
        self.advance(now);
        let Some(index) = self.faults.iter().position(|(active, ..)| *active == number) else { return };
        let (_, _, fault) = self.faults.remove(index);
        if fault == (Fault::Silence { restarts: true }) {
            for (at, _) in self.outputs.iter_mut().filter(|(at, _)| at.is_infinite()) {
                *at = now;
            }
            if self.state == ProcessState::Up {
                self.restart(now);
            }
        }
        self.start_fitting_attempts();
        self.update_rates();
    }

    /// The time of the next output or internal change; `None` if nothing happens without a further call.
    pub fn next_event_at(&self) -> Option<Millis> {
        let output_at = self.outputs.iter().map(|(at, _)| *at).find(|at| at.is_finite());
        output_at.or_else(|| self.next_change())
    }

    /// Removes and returns the next output up to `now`, with its time.
    pub fn pop_output(&mut self, now: Millis) -> Option<(Millis, Output)> {
        self.advance(now);
        let index = self.outputs.iter().position(|(at, _)| *at <= now)?;
        self.outputs.remove(index)
    }

    /// Counts an attempt towards the overload limit; returns the work dispatched within the window and the limit if it
    /// is exceeded.
    fn exceeded_overload_limit(&mut self, attempt: &Attempt) -> Option<(Millis, Millis)> {
        let overload_limit = self.machine.slow_start?.overload_limit?;
        if self.capacity_share() >= 1.0 {
            self.slow_start_work.clear();
            return None;
        }
        self.slow_start_work.push_back((self.now, attempt.work * attempt.slots));
        while self.slow_start_work.front().is_some_and(|(at, _)| *at <= self.now - overload_limit.window) {
            self.slow_start_work.pop_front();
        }
        let sent: f64 = self.slow_start_work.iter().map(|(_, work)| work).sum();
        let limit = overload_limit.multiple * self.capacity() * overload_limit.window;
        (sent > limit).then_some((sent, limit))
    }

    fn is_queue_full(&self) -> bool {
        self.waiting.len() >= self.machine.queue_capacity
    }

    /// Whether the free slots and memory suffice for an attempt.
    fn fits(&self, attempt: &Attempt) -> bool {
        self.used_slots + attempt.slots <= self.machine.slots + TOLERANCE
            && self.used_memory + attempt.memory <= self.machine.memory
    }

    /// Ends all attempts and connections, and stops the process.
    fn go_down(&mut self, outcome: AttemptOutcome) {
        let now = self.now;
        for key in self
            .running
            .drain(..)
            .map(|running| running.attempt.key)
            .chain(self.waiting.drain(..).map(|attempt| attempt.key))
        {
            self.outputs.push_back((now, Output::Ended { key, outcome }));
        }
        (self.used_slots, self.used_memory, self.overhead) = (0.0, 0.0, 0.0);
        self.connections = 0;
        self.state = ProcessState::Down;
        self.update_rates();
    }

    /// Removes a running attempt and keeps its last checkpoint.
    fn stop_attempt(&mut self, index: usize) -> RunningAttempt {
        let ended = self.running.swap_remove(index);
        self.used_slots -= ended.attempt.slots;
        self.used_memory -= ended.attempt.memory;
        if self.running.is_empty() {
            (self.used_slots, self.used_memory) = (0.0, 0.0);
        }
        if let Some(interval) = self.machine.checkpoint_interval {
            let done = ended.resumed_work + self.progress - ended.start_progress;
            if self.checkpoints.len() >= MAX_CHECKPOINTS {
                self.checkpoints.clear();
            }
            self.checkpoints.insert(ended.attempt.request_id, (done / interval).floor() * interval);
        }
        ended
    }

    fn start_fitting_attempts(&mut self) {
        if self.is_down() || self.is_paused() {
            return;
        }
        loop {
            let next = match self.machine.queue_order {
                QueueOrder::InOrder => self.waiting.front().map(|_| 0),
                QueueOrder::Backfill => self.waiting.iter().position(|attempt| self.fits(attempt)),
                QueueOrder::Priority => {
                    let higher = |best: usize, index: usize| {
                        if self.waiting[index].priority > self.waiting[best].priority { index } else { best }
                    };
                    (0..self.waiting.len()).reduce(higher)
                }
            };
            let Some(index) = next.filter(|&index| self.fits(&self.waiting[index])) else { return };
            let Some(attempt) = self.waiting.remove(index) else { return };
            self.start_attempt(attempt);
        }
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        let resumed_work = self.checkpoints.remove(&attempt.request_id).unwrap_or(0.0).min(attempt.work);
        let mut remaining_work = attempt.work - resumed_work;
        let mut reset_rng = ChaCha8Rng::seed_from_u64(mix_seed(self.seed ^ 0x7265_7365, attempt.key.0));
        let mut is_reset = false;
        for (_, _, fault) in &self.faults {
            if let Fault::Resets { share } = *fault
                && reset_rng.random::<f64>() < share
            {
                (remaining_work, is_reset) = (remaining_work * reset_rng.random::<f64>(), true);
            }
        }
        self.used_slots += attempt.slots;
        self.used_memory += attempt.memory;
        self.outputs.push_back((self.now, Output::Started { key: attempt.key }));
        self.running.push(RunningAttempt {
            end_progress: self.progress + remaining_work,
            is_reset,
            resumed_work,
            start_progress: self.progress,
            next_report_at: self
                .machine
                .progress_interval
                .map_or(f64::INFINITY, |interval| self.now + interval),
            attempt,
        });
    }

    /// The share of the cores that other programs take now, and when it changes.
    fn cpu_contention(&self) -> (f64, Option<Millis>) {
        let (mut free_share, mut changes_at) = (1.0, None::<Millis>);
        for (_, since, fault) in &self.faults {
            if let Fault::CpuContention { share, on, off } = *fault {
                let phase = (self.now - since).rem_euclid(on + off);
                let (taken, next) = if phase + TOLERANCE < on { (share, on) } else { (0.0, on + off) };
                free_share *= 1.0 - taken;
                let at = self.now + (next - phase).max(TOLERANCE);
                changes_at = Some(changes_at.map_or(at, |earliest| earliest.min(at)));
            }
        }
        (1.0 - free_share, changes_at)
    }

    /// Recomputes the rates, and records the load.
    fn update_rates(&mut self) {
        let mut speed = self.machine.speed;
        for (_, _, fault) in &self.faults {
            if let Fault::Slow { factor } = *fault {
                speed /= factor;
            }
        }
        let is_restarting =
            self.faults.iter().any(|(_, _, fault)| *fault == Fault::Silence { restarts: true });
        if self.is_down() || self.is_paused() || is_restarting {
            speed = 0.0;
        }
        let cores = self.machine.cores * self.capacity_share() * (1.0 - self.cpu_contention().0);
        let overhead_cores = if self.overhead > 0.0 { cores.min(1.0) } else { 0.0 };
        self.overhead_rate = overhead_cores * speed;
        let attempt_cores = cores - overhead_cores;
        self.rate =
            if self.used_slots > 0.0 { speed * (attempt_cores / self.used_slots).min(1.0) } else { 0.0 };
        self.record_load();
    }

    /// Appends the current load to the history, and drops what is too old for any load report.
    fn record_load(&mut self) {
        let load = Load {
            waiting: self.waiting.len() as f64,
            running: self.running.len() as f64,
            free_slots: (self.machine.slots - self.used_slots).max(0.0),
            free_memory: (self.machine.memory - self.used_memory).max(0.0),
        };
        if self.load_history.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.load_history.push_back((self.now, load));
        let timing = self.machine.load_reports;
        let mut max_age = timing.delay + timing.jitter + 2.0 * timing.interval;
        for (_, _, fault) in &self.faults {
            if let Fault::LateLoadReports { delay } = *fault {
                max_age += delay;
            }
        }
        while self.load_history.len() > 1 && self.load_history[1].0 <= self.now - max_age {
            self.load_history.pop_front();
        }
    }

    fn next_change(&self) -> Option<Millis> {
        let mut next = f64::INFINITY;
        if self.rate > 0.0 {
            let first_end =
                self.running.iter().map(|running| running.end_progress).fold(f64::INFINITY, f64::min);
            next = next.min(self.now + (first_end - self.progress).max(0.0) / self.rate);
        }
        if self.overhead > 0.0 && self.overhead_rate > 0.0 {
            next = next.min(self.now + self.overhead / self.overhead_rate);
        }
        let is_busy = self.rate > 0.0 || self.overhead_rate > 0.0;
        if is_busy && self.capacity_share() < 1.0 {
            next = next.min(self.now + RAMP_STEP);
        }
        if (is_busy || !self.running.is_empty())
            && let Some(at) = self.cpu_contention().1
        {
            next = next.min(at);
        }
        if self.rate > 0.0 {
            next = self.running.iter().map(|running| running.next_report_at).fold(next, f64::min);
        }
        next.is_finite().then_some(next)
    }

    /// Advances the model to `now`, with all ends, starts and progress reports up to then.
    fn advance(&mut self, now: Millis) {
        while let Some(at) = self.next_change()
            && at <= now
        {
            self.apply_rates(at);
            let mut index = 0;
            while index < self.running.len() {
                if self.running[index].end_progress - self.progress <= TOLERANCE {
                    let ended = self.stop_attempt(index);
                    let (key, request_id) = (ended.attempt.key, ended.attempt.request_id);
                    if !ended.is_reset {
                        self.checkpoints.remove(&request_id);
                    }
                    let outcome = if ended.is_reset { AttemptOutcome::Reset } else { AttemptOutcome::Done };
                    self.outputs.push_back((self.now, Output::Ended { key, outcome }));
                } else {
                    let running = &mut self.running[index];
                    if running.next_report_at <= self.now + TOLERANCE {
                        let done = running.resumed_work + self.progress - running.start_progress;
                        let share = (done / running.attempt.work.max(TOLERANCE)).min(1.0);
                        running.next_report_at =
                            self.now + self.machine.progress_interval.unwrap_or(f64::INFINITY);
                        let key = running.attempt.key;
                        self.outputs.push_back((self.now, Output::Progress { key, share }));
                    }
                    index += 1;
                }
            }
            self.start_fitting_attempts();
            self.update_rates();
        }
        if now > self.now {
            self.apply_rates(now);
            if self.capacity_share() < 1.0 {
                self.update_rates();
            }
        }
    }

    /// Applies the current rates up to a time without any event before it.
    fn apply_rates(&mut self, until: Millis) {
        let elapsed = (until - self.now).max(0.0);
        self.progress += elapsed * self.rate;
        self.work_done += elapsed * self.rate * self.used_slots;
        self.overhead -= elapsed * self.overhead_rate;
        if self.overhead < TOLERANCE {
            self.overhead = 0.0;
        }
        self.now = self.now.max(until);
    }
}
