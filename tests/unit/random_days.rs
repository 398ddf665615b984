//! Random days against the module, with state reclaimed and without: no rule is broken, and what is held is
//! bounded by what is in force.
//!
//! The host here keeps its own books. Everything that the module does is checked against these, and a faulty
//! way to reclaim has to be found out by the same check.
use super::Dispatcher;
use crate::state::executor_table::Reclaiming;
use crate::*;
use helpers::replied;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use std::collections::BTreeMap;

#[path = "../helpers/mod.rs"]
mod helpers;

const STEPS: usize = 100_000;
/// No day has more events than that: whatever goes wrong, it ends.
const MOST_EVENTS: usize = 20 * STEPS;
const FLEET: usize = 24;
const GROUPS: u32 = 3;
const MOST_OPEN: usize = 150;
const FREE_SLOTS: f64 = 4.0;
const RUNNING_TIME: Millis = 100.0;
const LIMIT: Millis = 5000.0;
/// As the helpers' values state them; a smaller budget than theirs is used up more often.
const WINDOW: Millis = 2000.0;
const FALL: Millis = 1000.0;
const RAMP: Millis = 10_000.0;
const COLD_SHARE: f64 = 0.25;
const FALL_MULTIPLE: f64 = 0.5;
/// An executor may stand unneeded for so long until it is looked at.
const LOOKED_AT_WITHIN: Millis = 1000.0;

const RERUNNABLE: u32 = 0;
const IN_GROUP: u32 = 2;
const EXCLUSIVE: u32 = 3;

struct Sent {
    executor: ExecutorId,
    group: u32,
    at: Millis,
    outcome: Option<Outcome>,
}

struct Request {
    project_type: u32,
    sent: Vec<Sent>,
}

impl Request {
    fn first_that_may_have_run(&self) -> Option<&Sent> {
        self.sent.iter().find(|sent| !sent.outcome.is_some_and(Outcome::never_ran))
    }
}

/// One executor by its name, as the list has it.
struct Named {
    group: u32,
    phase: EndpointState,
    started: Option<Millis>,
    handle: Option<ExecutorId>,
    /// When work went there while it was cold.
    cold: Vec<Millis>,
    /// Whether anything needed it after the last event, and when that was so last.
    needed: bool,
    needed_at: Millis,
}

/// What comes by itself at its time.
enum Due {
    Ends { request_id: RequestId, attempt: usize, outcome: Outcome },
    Timer,
}

#[derive(Default, Debug)]
struct Figures {
    answers: usize,
    completed: usize,
    released: usize,
    most_held: usize,
    stale: u64,
    repeated: usize,
    back_before_release: usize,
}

struct Day {
    node: Dispatcher,
    random: ChaCha8Rng,
    now: Millis,
    events: usize,
    names: BTreeMap<u64, Named>,
    listed: Vec<u64>,
    next_name: u64,
    handles: SlotMap<ExecutorId, u64>,
    released: Vec<ExecutorId>,
    probes: Vec<ExecutorId>,
    open: BTreeMap<RequestId, Request>,
    next_request: u64,
    due: BTreeMap<(u64, usize), Due>,
    next_due: usize,
    timer_at: Millis,
    figures: Figures,
    reclaiming: Reclaiming,
}

type Checked = Result<(), String>;

fn ensure(holds: bool, broken: &str) -> Checked {
    if holds { Ok(()) } else { Err(broken.to_string()) }
}

fn play(seed: u64, reclaiming: Reclaiming, steps: usize) -> Result<Figures, String> {
    let mut settings = helpers::settings_of(1.0, None);
    settings.rules.budget_multiple = FALL_MULTIPLE;
    let mut node = Dispatcher::new(&settings, seed, 0.0);
    node.fleet.executors.reclaiming = reclaiming;
    let mut day = Day {
        node,
        random: ChaCha8Rng::seed_from_u64(seed),
        now: 0.0,
        events: 0,
        names: BTreeMap::new(),
        listed: Vec::new(),
        next_name: 0,
        handles: SlotMap::with_key(),
        released: Vec::new(),
        probes: Vec::new(),
        open: BTreeMap::new(),
        next_request: 0,
        due: BTreeMap::new(),
        next_due: 0,
        timer_at: f64::INFINITY,
        figures: Figures::default(),
        reclaiming,
    };
    day.whole_list_of_new_names()?;
    for step in 0..steps {
        day.step().map_err(|broken| format!("seed {seed}, step {step}, at {:.1} ms: {broken}", day.now))?;
    }
    day.end().map_err(|broken| format!("seed {seed}, at the end: {broken}"))?;
    day.figures.stale = day.node.stale_events();
    Ok(day.figures)
}

impl Day {
    fn step(&mut self) -> Checked {
        let pause = if self.random.random_bool(0.002) { 800.0 } else { 4.0 };
        let until = self.now + pause * self.random.random::<f64>();
        self.pass(until)?;
        match self.random.random_range(0..100) {
            0..32 => self.arrive(),
            32..82 => self.answer_probe(),
            82..88 => self.list_change(),
            88..90 => self.withdraw(),
            90..94 => self.stale_event(),
            94 if self.random.random_bool(0.02) => self.whole_list_of_new_names(),
            94 if self.random.random_bool(0.1) => self.whole_list_of_some(),
            _ => self.tell(Event::TimerFired),
        }
    }

    /// All that is open is seen to its end, and all executors leave.
    fn end(&mut self) -> Checked {
        self.tell_list(ListUpdate::Snapshot, &[])?;
        while !self.probes.is_empty() {
            self.answer_probe()?;
        }
        self.pass(self.now + 2.0 * LIMIT)?;
        ensure(self.open.is_empty(), "a request was never answered")?;
        let left = if self.reclaiming == Reclaiming::Never { self.handles.len() } else { 0 };
        ensure(self.node.executor_count() == left, "an executor is held that nothing needs")
    }

    /// Lets time pass, and what is due happen.
    fn pass(&mut self, until: Millis) -> Checked {
        while let Some((&(bits, number), _)) = self.due.first_key_value()
            && f64::from_bits(bits) <= until
        {
            let Some(due) = self.due.remove(&(bits, number)) else { break };
            self.now = self.now.max(f64::from_bits(bits));
            match due {
                Due::Timer if f64::from_bits(bits) == self.timer_at => {
                    self.timer_at = f64::INFINITY;
                    self.tell(Event::TimerFired)?;
                }
                Due::Timer => {}
                Due::Ends { request_id, attempt, outcome } => {
                    self.attempt_ends(request_id, attempt, outcome)?
                }
            }
        }
        self.now = self.now.max(until);
        Ok(())
    }

    fn at(&mut self, at: Millis, due: Due) {
        self.next_due += 1;
        self.due.insert((at.max(self.now).to_bits(), self.next_due), due);
    }

    fn arrive(&mut self) -> Checked {
        if self.open.len() >= MOST_OPEN {
            return Ok(());
        }
        self.next_request += 1;
        let (request_id, project_type) = (RequestId(self.next_request), self.random.random_range(0..4));
        self.open.insert(request_id, Request { project_type, sent: Vec::new() });
        self.tell(Event::RequestArrived {
            request_id,
            class: RequestClassId(project_type),
            tenant: TenantId(0),
            slots: 1.0,
            memory: 0.0,
            time_left: LIMIT,
            is_retry: false,
        })
    }

    fn answer_probe(&mut self) -> Checked {
        if self.probes.is_empty() {
            return Ok(());
        }
        let executor = self.probes.swap_remove(self.random.random_range(0..self.probes.len()));
        let (answered, is_full) = (self.random.random_bool(0.95), self.random.random_bool(0.1));
        let (queue, free_slots) = if is_full { (2.0, 0.0) } else { (0.0, FREE_SLOTS) };
        let reading =
            LoadReport { queue_length: Some(queue), free_slots: Some(free_slots), ..LoadReport::default() };
        let reply = answered.then_some(ProbeReply { latency: 1.0, report: reading });
        self.tell(Event::ProbeCompleted { executor, reply })
    }

    fn list_change(&mut self) -> Checked {
        let name = self.listed[self.random.random_range(0..self.listed.len())];
        let Some(named) = self.names.get_mut(&name) else { return Ok(()) };
        let was_gone = named.phase == EndpointState::Gone;
        (named.phase, named.started) = match self.random.random_range(0..10) {
            0..3 => (EndpointState::Gone, named.started),
            3 => (EndpointState::Draining, named.started),
            4 => (EndpointState::Ready, Some(self.now)),
            _ => (EndpointState::Ready, named.started),
        };
        let back = was_gone && named.phase != EndpointState::Gone && named.handle.is_some();
        self.figures.back_before_release += usize::from(back);
        self.tell_list(ListUpdate::Delta, &[name])
    }

    fn whole_list_of_new_names(&mut self) -> Checked {
        let first = self.next_name;
        self.next_name += FLEET as u64;
        self.listed = (first..self.next_name).collect();
        for name in first..self.next_name {
            let group = self.random.random_range(0..GROUPS);
            let started = self.random.random_bool(0.5).then_some(self.now);
            let named = Named {
                group,
                phase: EndpointState::Ready,
                started,
                handle: None,
                cold: Vec::new(),
                needed: true,
                needed_at: self.now,
            };
            self.names.insert(name, named);
        }
        let all = self.listed.clone();
        self.tell_list(ListUpdate::Snapshot, &all)
    }

    fn whole_list_of_some(&mut self) -> Checked {
        let (mut some, random) = (self.listed.clone(), &mut self.random);
        some.retain(|_| random.random_bool(0.8));
        for name in &some {
            self.names.get_mut(name).into_iter().for_each(|named| named.phase = EndpointState::Ready);
        }
        self.tell_list(ListUpdate::Snapshot, &some)
    }

    fn tell_list(&mut self, kind: ListUpdate, told: &[u64]) -> Checked {
        if kind == ListUpdate::Snapshot {
            let missing = self.names.iter_mut().filter(|(name, _)| !told.contains(name));
            missing.for_each(|(_, named)| named.phase = EndpointState::Gone);
        }
        let mut entries = Vec::new();
        for name in told {
            let Some(named) = self.names.get_mut(name) else { continue };
            // It is needed by the event that tells of it.
            named.needed |= named.handle.is_none();
            let executor = *named.handle.get_or_insert_with(|| self.handles.insert(*name));
            entries.push(Endpoint {
                executor,
                token: *name,
                zone: ZoneId(0),
                machine_type: MachineTypeId(0),
                deduplication_group: DeduplicationGroupId(named.group),
                state: named.phase,
                weight: 1.0,
                started_at: named.started,
            });
        }
        self.tell(Event::EndpointsUpdated { update: kind, endpoints: entries })
    }

    fn withdraw(&mut self) -> Checked {
        let nth = self.random.random_range(0..self.open.len().max(1));
        let Some(request_id) = self.open.keys().nth(nth).copied() else { return Ok(()) };
        self.open.remove(&request_id);
        self.figures.answers += 1;
        self.tell(Event::RequestWithdrawn { request_id })
    }

    /// Something for an executor or a request that is no more.
    fn stale_event(&mut self) -> Checked {
        let Some(last) = self.released.len().checked_sub(1) else { return Ok(()) };
        let executor = self.released[self.random.random_range(0..=last)];
        let (before, kind) = (self.node.stale_events(), self.random.random_range(0..4));
        let reading = LoadReport::of_free_slots(1000.0);
        let event = match kind {
            0 => replied(executor, 1.0, reading),
            1 => Event::ProbeCompleted { executor, reply: None },
            2 => {
                let project_type = RequestClassId(0);
                Event::GossipReceived(GossipMessage::WorkRejected { token: u32::MAX, class: project_type })
            }
            _ => {
                let request_id = RequestId(self.random.random_range(0..=self.next_request));
                if self.open.contains_key(&request_id) {
                    return Ok(());
                }
                Event::AttemptEnded {
                    request_id,
                    attempt_id: AttemptId(0),
                    outcome: Outcome::Error,
                    is_request_closed: false,
                }
            }
        };
        self.tell(event)?;
        let counted = self.node.stale_events() - before;
        ensure(counted == u64::from(kind < 3), "an outdated event was not dropped and counted")
    }

    fn attempt_ends(&mut self, request_id: RequestId, attempt: usize, outcome: Outcome) -> Checked {
        if let Some(request) = self.open.get_mut(&request_id) {
            request.sent[attempt].outcome = Some(outcome);
        }
        let closed = outcome == Outcome::Completed;
        if closed && self.open.remove(&request_id).is_some() {
            self.figures.answers += 1;
            self.figures.completed += 1;
        }
        self.tell(Event::AttemptEnded {
            request_id,
            attempt_id: AttemptId(attempt as u32),
            outcome,
            is_request_closed: closed,
        })
    }

    /// Tells the module one event, and checks all that it does.
    fn tell(&mut self, event: Event) -> Checked {
        self.events += 1;
        ensure(self.events < MOST_EVENTS, "the day does not end")?;
        let mut actions = Vec::new();
        self.node.handle_event(self.now, event);
        self.node.poll_actions(self.now, &mut actions);
        for action in actions {
            self.act(action)?;
        }
        self.check_what_is_held()
    }

    fn act(&mut self, action: Action) -> Checked {
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, .. } => {
                self.pushed(request_id, executor, attempt_deadline)
            }
            Action::Reject { request_id, .. } => self.answered(request_id, true),
            Action::Fail { request_id } => self.answered(request_id, false),
            Action::Probe { executor } => {
                ensure(self.handles.contains_key(executor), "a probe of a released executor")?;
                ensure(!self.probes.contains(&executor), "a second probe while one is out")?;
                self.probes.push(executor);
                Ok(())
            }
            Action::SetTimer { at } => {
                if at < self.timer_at {
                    self.timer_at = at.max(self.now);
                    self.at(self.timer_at, Due::Timer);
                }
                Ok(())
            }
            Action::ReleaseExecutor { executor } => self.release(executor),
            _ => Ok(()),
        }
    }

    fn pushed(&mut self, request_id: RequestId, executor: ExecutorId, attempt_deadline: Millis) -> Checked {
        let name = self.handles.get(executor).ok_or("work for a released executor")?;
        let named = self.names.get_mut(name).ok_or("work for an executor that was never listed")?;
        ensure(named.phase == EndpointState::Ready, "work for an executor that drains or is gone")?;
        let request = self.open.get_mut(&request_id).ok_or("work is sent after its answer")?;
        ensure(request.sent.iter().all(|sent| sent.outcome.is_some()), "sent while an attempt is out")?;
        if let Some(first) = request.first_that_may_have_run() {
            self.figures.repeated += 1;
            ensure(request.project_type != EXCLUSIVE, "at-most-once work is sent twice")?;
            let in_window = request.project_type == RERUNNABLE || self.now - first.at <= WINDOW;
            ensure(in_window, "a repeat after its window")?;
            let in_group = request.project_type != IN_GROUP || first.group == named.group;
            ensure(in_group, "a repeat outside its group")?;
        }
        let sent = Sent { executor, group: named.group, at: self.now, outcome: None };
        request.sent.push(sent);
        Self::check_cold_budget(self.now, named)?;
        let attempt = request.sent.len() - 1;
        let (at, outcome) = match self.random.random_range(0..100) {
            0..70 => (self.now + RUNNING_TIME, Outcome::Completed),
            70..76 => (self.now + 1.0, Outcome::Rejected),
            76..82 => (self.now + 2.0, Outcome::NoConnection),
            82..94 => (self.now + 300.0 * self.random.random::<f64>(), Outcome::Reset),
            _ => (attempt_deadline, Outcome::TimedOut),
        };
        self.at(at, Due::Ends { request_id, attempt, outcome });
        Ok(())
    }

    fn check_cold_budget(now: Millis, named: &mut Named) -> Checked {
        let (Some(start), then) = (named.started, now - FALL) else { return Ok(()) };
        if then >= start + RAMP {
            return Ok(());
        }
        let warmth = COLD_SHARE + (1.0 - COLD_SHARE) * ((then - start) / RAMP).max(0.0);
        let budget = FALL_MULTIPLE * warmth * FREE_SLOTS * FALL;
        named.cold.retain(|at| *at >= then && *at >= start);
        named.cold.push(now);
        let spent = named.cold.len() as f64 * RUNNING_TIME;
        ensure(spent <= budget, "more than the cold budget")
    }

    fn answered(&mut self, request_id: RequestId, deferred: bool) -> Checked {
        let request = self.open.remove(&request_id).ok_or("a second answer")?;
        self.figures.answers += 1;
        ensure(request.sent.iter().all(|sent| sent.outcome.is_some()), "an answer while an attempt is out")?;
        let strict = request.project_type == EXCLUSIVE || request.project_type == IN_GROUP;
        let may_have_run = request.first_that_may_have_run().is_some();
        ensure(!(deferred && strict && may_have_run), "work may come again that may have run")
    }

    fn release(&mut self, executor: ExecutorId) -> Checked {
        let name = self.handles.remove(executor).ok_or("released twice")?;
        let named = self.names.get_mut(&name).ok_or("released though never listed")?;
        ensure(named.phase == EndpointState::Gone, "released though it is listed")?;
        ensure(!self.probes.contains(&executor), "released while a probe is out")?;
        let names_it = |request: &Request| request.sent.iter().any(|sent| sent.executor == executor);
        ensure(!self.open.values().any(names_it), "released while an open request names it")?;
        let start = named.started.unwrap_or(f64::NEG_INFINITY);
        let counts = |at: &Millis| *at >= self.now - FALL && *at >= start;
        ensure(!named.cold.iter().any(counts), "released while its cold budget counts")?;
        named.handle = None;
        if !self.listed.contains(&name) {
            self.names.remove(&name);
        }
        self.released.push(executor);
        self.figures.released += 1;
        Ok(())
    }

    /// Who is held is in force, or needed, or was so a moment ago.
    fn check_what_is_held(&mut self) -> Checked {
        let held = self.node.executor_count();
        ensure(held == self.handles.len(), "host and module do not hold the same")?;
        self.figures.most_held = self.figures.most_held.max(held);
        if self.reclaiming == Reclaiming::Never {
            return Ok(());
        }
        for (executor, name) in &self.handles {
            let Some(named) = self.names.get_mut(name) else { continue };
            // What was needed after the last event was so until this one.
            if named.needed {
                named.needed_at = self.now;
            }
            let names_it =
                |request: &crate::state::request::Request| request.executors().any(|other| other == executor);
            named.needed = named.phase != EndpointState::Gone
                || self.probes.contains(&executor)
                || self.node.requests.values().any(names_it);
            let spent_until = named.cold.last().map_or(f64::NEG_INFINITY, |at| at + FALL);
            let stands = self.now - named.needed_at.max(spent_until);
            let in_time = named.needed || stands <= LOOKED_AT_WITHIN + 1.0;
            ensure(in_time, "an executor is held that nothing needs")?;
        }
        Ok(())
    }
}

#[test]
fn random_days_break_no_rule_and_hold_no_more_than_is_in_force() {
    for reclaiming in [Reclaiming::Unneeded, Reclaiming::Never] {
        let figures =
            play(20_261, reclaiming, STEPS).unwrap_or_else(|broken| panic!("{reclaiming:?}: {broken}"));
        println!("{reclaiming:?}: {figures:?}");
        // What is checked has happened often.
        let often = figures.answers > STEPS / 10 && figures.completed > STEPS / 20 && figures.repeated > 100;
        assert!(often && figures.back_before_release > 50, "{reclaiming:?}: {figures:?}");
        let reclaims = reclaiming == Reclaiming::Unneeded;
        assert_eq!(figures.released > 300, reclaims, "{reclaiming:?}: {figures:?}");
        assert_eq!(figures.most_held <= 4 * FLEET, reclaims, "{reclaiming:?}: {figures:?}");
        assert_eq!(figures.stale > 1000, reclaims, "{reclaiming:?}: {figures:?}");
    }
}

/// The check finds out a module that reclaims too early.
#[test]
fn a_state_that_is_reclaimed_too_early_is_found_out() {
    for (wrong, expected) in [
        (Reclaiming::Referenced, "released while an open request names it"),
        (Reclaiming::InUse, "released while"),
    ] {
        let broken = play(20_261, wrong, STEPS).expect_err("the check finds it");
        assert!(broken.contains(expected), "{wrong:?}: {broken}");
    }
}
