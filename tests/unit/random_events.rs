//! Randomized sequences of events, with and without the reclaiming of state: no rule is violated, and only executors
//! that are listed or needed have state.
//!
//! The simulated host records its own view of requests and executors and checks each action against it. The same checks
//! must detect faulty reclaiming.
use super::Dispatcher;
use crate::state::executor_table::Reclaiming;
use crate::*;
use helpers::probe_reply;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use std::collections::BTreeMap;

#[path = "../helpers/mod.rs"]
mod helpers;

const STEPS: usize = 100_000;
/// Upper bound on the number of events of a run, so that a faulty run ends.
const MAX_EVENTS: usize = 20 * STEPS;
const FLEET: usize = 24;
const GROUPS: u32 = 3;
const MAX_OPEN: usize = 150;
const FREE_SLOTS: f64 = 4.0;
const RUNNING_TIME: Millis = 100.0;
const DEADLINE: Millis = 5000.0;
/// Parameters of the helpers' settings, with a smaller budget, which is exhausted more often.
const DEDUPLICATION_WINDOW: Millis = 2000.0;
const BUDGET_WINDOW: Millis = 1000.0;
const RAMP_DURATION: Millis = 10_000.0;
const INITIAL_CAPACITY: f64 = 0.25;
const BUDGET_MULTIPLE: f64 = 0.5;
/// Upper bound on the time for which state that is not needed is retained, in milliseconds.
const RECLAIM_INTERVAL: Millis = 1000.0;

const IDEMPOTENT: u32 = 0;
const DEDUPLICATED_IN_GROUP: u32 = 2;
const AT_MOST_ONCE: u32 = 3;

struct SentAttempt {
    executor: ExecutorId,
    group: u32,
    at: Millis,
    outcome: Option<Outcome>,
}

struct Request {
    class: u32,
    attempts: Vec<SentAttempt>,
}

impl Request {
    fn first_possible_run(&self) -> Option<&SentAttempt> {
        self.attempts.iter().find(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran))
    }
}

/// One executor in the endpoint list.
struct NamedExecutor {
    group: u32,
    state: EndpointState,
    started_at: Option<Millis>,
    handle: Option<ExecutorId>,
    /// Times of the dispatches to it during slow start.
    warm_up_dispatches: Vec<Millis>,
    /// Whether its state was needed after the last event.
    is_needed: bool,
    /// When its state was last needed.
    needed_at: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Rejected,
    Failed,
}

/// An event that is scheduled for a point in time.
enum ScheduledEvent {
    AttemptEnds { request_id: RequestId, attempt: usize, outcome: Outcome },
    Timer,
}

/// Counts of what happened during a run.
#[derive(Default, Debug)]
struct Statistics {
    answers: usize,
    completed: usize,
    released: usize,
    max_executors: usize,
    stale: u64,
    retried: usize,
    listed_again_before_release: usize,
}

/// The dispatcher under test, with a simulated host.
struct SimulatedHost {
    node: Dispatcher,
    random: ChaCha8Rng,
    now: Millis,
    events: usize,
    names: BTreeMap<u64, NamedExecutor>,
    listed: Vec<u64>,
    next_name: u64,
    handles: SlotMap<ExecutorId, u64>,
    released: Vec<ExecutorId>,
    probes: Vec<ExecutorId>,
    open: BTreeMap<RequestId, Request>,
    next_request: u64,
    scheduled: BTreeMap<(u64, usize), ScheduledEvent>,
    next_scheduled: usize,
    timer_at: Millis,
    statistics: Statistics,
    reclaiming: Reclaiming,
}

/// The result of a check; the error describes the violation.
type Checked = Result<(), String>;

fn ensure(is_satisfied: bool, violation: &str) -> Checked {
    if is_satisfied { Ok(()) } else { Err(violation.to_string()) }
}

fn run(seed: u64, reclaiming: Reclaiming, steps: usize) -> Result<Statistics, String> {
    let mut settings = helpers::settings_of(1.0, None);
    settings.rules.budget_multiple = BUDGET_MULTIPLE;
    let mut node = Dispatcher::new(&settings, seed, 0.0);
    node.fleet.executors.reclaiming = reclaiming;
    let mut host = SimulatedHost {
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
        scheduled: BTreeMap::new(),
        next_scheduled: 0,
        timer_at: f64::INFINITY,
        statistics: Statistics::default(),
        reclaiming,
    };
    host.list_new_fleet()?;
    for step in 0..steps {
        host.step()
            .map_err(|violation| format!("seed {seed}, step {step}, at {:.1} ms: {violation}", host.now))?;
    }
    host.end().map_err(|violation| format!("seed {seed}, at the end: {violation}"))?;
    host.statistics.stale = host.node.stale_events();
    Ok(host.statistics)
}

impl SimulatedHost {
    fn step(&mut self) -> Checked {
        let pause = if self.random.random_bool(0.002) { 800.0 } else { 4.0 };
        let until = self.now + pause * self.random.random::<f64>();
        self.advance(until)?;
        match self.random.random_range(0..100) {
            0..32 => self.arrive(),
            32..82 => self.answer_probe(),
            82..88 => self.change_endpoint(),
            88..90 => self.withdraw(),
            90..94 => self.report_stale_event(),
            94 if self.random.random_bool(0.02) => self.list_new_fleet(),
            94 if self.random.random_bool(0.1) => self.list_part_of_fleet(),
            _ => self.handle(Event::TimerFired),
        }
    }

    /// Removes all executors from the list and waits until all requests are answered.
    fn end(&mut self) -> Checked {
        self.update_endpoints(ListUpdate::Snapshot, &[])?;
        while !self.probes.is_empty() {
            self.answer_probe()?;
        }
        self.advance(self.now + 2.0 * DEADLINE)?;
        ensure(self.open.is_empty(), "a request was never answered")?;
        let expected = if self.reclaiming == Reclaiming::Never { self.handles.len() } else { 0 };
        ensure(self.node.executor_count() == expected, "state that nothing needs is retained")
    }

    /// Advances the time and reports the events that are due.
    fn advance(&mut self, until: Millis) -> Checked {
        while let Some((&(bits, number), _)) = self.scheduled.first_key_value()
            && f64::from_bits(bits) <= until
        {
            let Some(event) = self.scheduled.remove(&(bits, number)) else { break };
            self.now = self.now.max(f64::from_bits(bits));
            match event {
                ScheduledEvent::Timer if f64::from_bits(bits) == self.timer_at => {
                    self.timer_at = f64::INFINITY;
                    self.handle(Event::TimerFired)?;
                }
                ScheduledEvent::Timer => {}
                ScheduledEvent::AttemptEnds { request_id, attempt, outcome } => {
                    self.end_attempt(request_id, attempt, outcome)?
                }
            }
        }
        self.now = self.now.max(until);
        Ok(())
    }

    fn schedule(&mut self, at: Millis, event: ScheduledEvent) {
        self.next_scheduled += 1;
        self.scheduled.insert((at.max(self.now).to_bits(), self.next_scheduled), event);
    }

    fn arrive(&mut self) -> Checked {
        if self.open.len() >= MAX_OPEN {
            return Ok(());
        }
        self.next_request += 1;
        let (request_id, class) = (RequestId(self.next_request), self.random.random_range(0..4));
        self.open.insert(request_id, Request { class, attempts: Vec::new() });
        self.handle(Event::RequestArrived {
            request_id,
            class: RequestClassId(class),
            tenant: TenantId(0),
            slots: 1.0,
            memory: 0.0,
            time_left: DEADLINE,
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
        let report =
            LoadReport { queue_length: Some(queue), free_slots: Some(free_slots), ..LoadReport::default() };
        let reply = answered.then_some(ProbeReply { latency: 1.0, report });
        self.handle(Event::ProbeCompleted { executor, reply })
    }

    fn change_endpoint(&mut self) -> Checked {
        let name = self.listed[self.random.random_range(0..self.listed.len())];
        let Some(named) = self.names.get_mut(&name) else { return Ok(()) };
        let was_gone = named.state == EndpointState::Gone;
        (named.state, named.started_at) = match self.random.random_range(0..10) {
            0..3 => (EndpointState::Gone, named.started_at),
            3 => (EndpointState::Draining, named.started_at),
            4 => (EndpointState::Ready, Some(self.now)),
            _ => (EndpointState::Ready, named.started_at),
        };
        let is_listed_again = was_gone && named.state != EndpointState::Gone && named.handle.is_some();
        self.statistics.listed_again_before_release += usize::from(is_listed_again);
        self.update_endpoints(ListUpdate::Delta, &[name])
    }

    fn list_new_fleet(&mut self) -> Checked {
        let first = self.next_name;
        self.next_name += FLEET as u64;
        self.listed = (first..self.next_name).collect();
        for name in first..self.next_name {
            let group = self.random.random_range(0..GROUPS);
            let started_at = self.random.random_bool(0.5).then_some(self.now);
            let named = NamedExecutor {
                group,
                state: EndpointState::Ready,
                started_at,
                handle: None,
                warm_up_dispatches: Vec::new(),
                is_needed: true,
                needed_at: self.now,
            };
            self.names.insert(name, named);
        }
        let all = self.listed.clone();
        self.update_endpoints(ListUpdate::Snapshot, &all)
    }

    fn list_part_of_fleet(&mut self) -> Checked {
        let (mut some, random) = (self.listed.clone(), &mut self.random);
        some.retain(|_| random.random_bool(0.8));
        for name in &some {
            self.names.get_mut(name).into_iter().for_each(|named| named.state = EndpointState::Ready);
        }
        self.update_endpoints(ListUpdate::Snapshot, &some)
    }

    fn update_endpoints(&mut self, update: ListUpdate, names: &[u64]) -> Checked {
        if update == ListUpdate::Snapshot {
            let missing = self.names.iter_mut().filter(|(name, _)| !names.contains(name));
            missing.for_each(|(_, named)| named.state = EndpointState::Gone);
        }
        let mut endpoints = Vec::new();
        for name in names {
            let Some(named) = self.names.get_mut(name) else { continue };
            // The event that lists the executor for the first time needs its state.
            named.is_needed |= named.handle.is_none();
            let executor = *named.handle.get_or_insert_with(|| self.handles.insert(*name));
            endpoints.push(Endpoint {
                executor,
                token: *name,
                zone: Some(ZoneId(0)),
                machine_type: MachineTypeId(0),
                deduplication_group: Some(DeduplicationGroupId(named.group)),
                state: named.state,
                weight: 1.0,
                started_at: named.started_at,
            });
        }
        self.handle(Event::EndpointsUpdated { update, endpoints })
    }

    fn withdraw(&mut self) -> Checked {
        let nth = self.random.random_range(0..self.open.len().max(1));
        let Some(request_id) = self.open.keys().nth(nth).copied() else { return Ok(()) };
        self.open.remove(&request_id);
        self.statistics.answers += 1;
        self.handle(Event::RequestWithdrawn { request_id })
    }

    /// Reports an event about a released executor or an answered request.
    fn report_stale_event(&mut self) -> Checked {
        let Some(last) = self.released.len().checked_sub(1) else { return Ok(()) };
        let executor = self.released[self.random.random_range(0..=last)];
        let (before, choice) = (self.node.stale_events(), self.random.random_range(0..4));
        let report = LoadReport::from_free_slots(1000.0);
        let event = match choice {
            0 => probe_reply(executor, 1.0, report),
            1 => Event::ProbeCompleted { executor, reply: None },
            2 => {
                let class = RequestClassId(0);
                Event::GossipReceived(GossipMessage::RequestRejected { token: u32::MAX, class })
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
        self.handle(event)?;
        let counted = self.node.stale_events() - before;
        ensure(counted == u64::from(choice < 3), "an outdated event was not dropped and counted")
    }

    fn end_attempt(&mut self, request_id: RequestId, attempt: usize, outcome: Outcome) -> Checked {
        if let Some(request) = self.open.get_mut(&request_id) {
            request.attempts[attempt].outcome = Some(outcome);
        }
        let is_closed = outcome == Outcome::Completed;
        if is_closed && self.open.remove(&request_id).is_some() {
            self.statistics.answers += 1;
            self.statistics.completed += 1;
        }
        self.handle(Event::AttemptEnded {
            request_id,
            attempt_id: AttemptId(attempt as u32),
            outcome,
            is_request_closed: is_closed,
        })
    }

    /// Reports one event to the dispatcher and checks all resulting actions.
    fn handle(&mut self, event: Event) -> Checked {
        self.events += 1;
        ensure(self.events < MAX_EVENTS, "the run does not end")?;
        let mut actions = Vec::new();
        self.node.handle_event(self.now, event);
        self.node.poll_actions(self.now, &mut actions);
        for action in actions {
            self.check_action(action)?;
        }
        self.check_executors()
    }

    fn check_action(&mut self, action: Action) -> Checked {
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, .. } => {
                self.check_dispatch(request_id, executor, attempt_deadline)
            }
            Action::Reject { request_id, .. } => self.check_answer(request_id, Answer::Rejected),
            Action::Fail { request_id } => self.check_answer(request_id, Answer::Failed),
            Action::Probe { executor } => {
                ensure(self.handles.contains_key(executor), "a probe of a released executor")?;
                ensure(!self.probes.contains(&executor), "a second probe while one is in flight")?;
                self.probes.push(executor);
                Ok(())
            }
            Action::SetTimer { at } => {
                if at < self.timer_at {
                    self.timer_at = at.max(self.now);
                    self.schedule(self.timer_at, ScheduledEvent::Timer);
                }
                Ok(())
            }
            Action::ReleaseExecutor { executor } => self.check_release(executor),
            _ => Ok(()),
        }
    }

    fn check_dispatch(
        &mut self,
        request_id: RequestId,
        executor: ExecutorId,
        attempt_deadline: Millis,
    ) -> Checked {
        let name = self.handles.get(executor).ok_or("a dispatch to a released executor")?;
        let named = self.names.get_mut(name).ok_or("a dispatch to an executor that was never listed")?;
        ensure(named.state == EndpointState::Ready, "a dispatch to an executor that is draining or gone")?;
        let request = self.open.get_mut(&request_id).ok_or("a dispatch after the answer")?;
        ensure(
            request.attempts.iter().all(|attempt| attempt.outcome.is_some()),
            "a dispatch while an attempt is in flight",
        )?;
        if let Some(first) = request.first_possible_run() {
            self.statistics.retried += 1;
            ensure(request.class != AT_MOST_ONCE, "a retry of an at-most-once request that may have run")?;
            let in_window = request.class == IDEMPOTENT || self.now - first.at <= DEDUPLICATION_WINDOW;
            ensure(in_window, "a retry after the window")?;
            let in_group = request.class != DEDUPLICATED_IN_GROUP || first.group == named.group;
            ensure(in_group, "a retry outside the group")?;
        }
        let sent = SentAttempt { executor, group: named.group, at: self.now, outcome: None };
        request.attempts.push(sent);
        Self::check_warm_up_budget(self.now, named)?;
        let attempt = request.attempts.len() - 1;
        let (at, outcome) = match self.random.random_range(0..100) {
            0..70 => (self.now + RUNNING_TIME, Outcome::Completed),
            70..76 => (self.now + 1.0, Outcome::Rejected),
            76..82 => (self.now + 2.0, Outcome::NoConnection),
            82..94 => (self.now + 300.0 * self.random.random::<f64>(), Outcome::Reset),
            _ => (attempt_deadline, Outcome::TimedOut),
        };
        self.schedule(at, ScheduledEvent::AttemptEnds { request_id, attempt, outcome });
        Ok(())
    }

    fn check_warm_up_budget(now: Millis, named: &mut NamedExecutor) -> Checked {
        let (Some(start), window_start) = (named.started_at, now - BUDGET_WINDOW) else { return Ok(()) };
        if window_start >= start + RAMP_DURATION {
            return Ok(());
        }
        let progress =
            INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * ((window_start - start) / RAMP_DURATION).max(0.0);
        let budget = BUDGET_MULTIPLE * progress * FREE_SLOTS * BUDGET_WINDOW;
        named.warm_up_dispatches.retain(|at| *at >= window_start && *at >= start);
        named.warm_up_dispatches.push(now);
        let spent = named.warm_up_dispatches.len() as f64 * RUNNING_TIME;
        ensure(spent <= budget, "more than the warm-up budget")
    }

    fn check_answer(&mut self, request_id: RequestId, answer: Answer) -> Checked {
        let request = self.open.remove(&request_id).ok_or("a second answer")?;
        self.statistics.answers += 1;
        ensure(
            request.attempts.iter().all(|attempt| attempt.outcome.is_some()),
            "an answer while an attempt is in flight",
        )?;
        let is_strict = request.class == AT_MOST_ONCE || request.class == DEDUPLICATED_IN_GROUP;
        let may_have_run = request.first_possible_run().is_some();
        ensure(
            !(answer == Answer::Rejected && is_strict && may_have_run),
            "a rejection of a request that may have run",
        )
    }

    fn check_release(&mut self, executor: ExecutorId) -> Checked {
        let name = self.handles.remove(executor).ok_or("released twice")?;
        let named = self.names.get_mut(&name).ok_or("released though never listed")?;
        ensure(named.state == EndpointState::Gone, "released though it is listed")?;
        ensure(!self.probes.contains(&executor), "released while a probe is in flight")?;
        let refers_to_it =
            |request: &Request| request.attempts.iter().any(|attempt| attempt.executor == executor);
        ensure(!self.open.values().any(refers_to_it), "released while an open request refers to it")?;
        let start = named.started_at.unwrap_or(f64::NEG_INFINITY);
        let counts = |at: &Millis| *at >= self.now - BUDGET_WINDOW && *at >= start;
        ensure(!named.warm_up_dispatches.iter().any(counts), "released while its warm-up budget counts")?;
        named.handle = None;
        if !self.listed.contains(&name) {
            self.names.remove(&name);
        }
        self.released.push(executor);
        self.statistics.released += 1;
        Ok(())
    }

    /// Checks that each executor with state is listed or needed, or was so within the reclaim interval.
    fn check_executors(&mut self) -> Checked {
        let executors = self.node.executor_count();
        ensure(executors == self.handles.len(), "host and dispatcher have different numbers of executors")?;
        self.statistics.max_executors = self.statistics.max_executors.max(executors);
        if self.reclaiming == Reclaiming::Never {
            return Ok(());
        }
        for (executor, name) in &self.handles {
            let Some(named) = self.names.get_mut(name) else { continue };
            // State that was needed after the previous event was needed until this one.
            if named.is_needed {
                named.needed_at = self.now;
            }
            let refers_to_it = |request: &crate::state::request::Request| {
                request.referenced_executors().any(|other| other == executor)
            };
            named.is_needed = named.state != EndpointState::Gone
                || self.probes.contains(&executor)
                || self.node.requests.values().any(refers_to_it);
            let spent_until =
                named.warm_up_dispatches.last().map_or(f64::NEG_INFINITY, |at| at + BUDGET_WINDOW);
            let unneeded_for = self.now - named.needed_at.max(spent_until);
            let is_allowed = named.is_needed || unneeded_for <= RECLAIM_INTERVAL + 1.0;
            ensure(is_allowed, "state that nothing needs is retained")?;
        }
        Ok(())
    }
}

/// Random events violate no rule, whether state is reclaimed or not, and reclaiming bounds the number of executors with
/// state.
#[test]
fn random_events_violate_no_rule_and_only_needed_state_is_retained() {
    for reclaiming in [Reclaiming::Unneeded, Reclaiming::Never] {
        let statistics =
            run(20_261, reclaiming, STEPS).unwrap_or_else(|violation| panic!("{reclaiming:?}: {violation}"));
        println!("{reclaiming:?}: {statistics:?}");
        // The cases to check must occur often.
        let is_frequent =
            statistics.answers > STEPS / 10 && statistics.completed > STEPS / 20 && statistics.retried > 100;
        assert!(is_frequent && statistics.listed_again_before_release > 50, "{reclaiming:?}: {statistics:?}");
        let is_reclaimed = reclaiming == Reclaiming::Unneeded;
        assert_eq!(statistics.released > 300, is_reclaimed, "{reclaiming:?}: {statistics:?}");
        assert_eq!(statistics.max_executors <= 4 * FLEET, is_reclaimed, "{reclaiming:?}: {statistics:?}");
        assert_eq!(statistics.stale > 1000, is_reclaimed, "{reclaiming:?}: {statistics:?}");
    }
}

/// Verifies that the checks above detect state that is reclaimed too early.
#[test]
fn state_that_is_reclaimed_too_early_is_detected() {
    for (faulty, expected) in [
        (Reclaiming::Referenced, "released while an open request refers to it"),
        (Reclaiming::InUse, "released while"),
    ] {
        let violation = run(20_261, faulty, STEPS).expect_err("the checks detect it");
        assert!(violation.contains(expected), "{faulty:?}: {violation}");
    }
}
