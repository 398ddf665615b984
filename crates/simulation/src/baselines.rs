//! Baseline policies, for comparison with the dispatcher; only simulations use them. A baseline follows the same rules
//! as the dispatcher with the same limits (what may be retried and on which executors, no dispatches to draining
//! executors, and an even share per node of an executor's warm-up budget) and differs in how it selects an executor.
//!
//! The warm-up budget is computed here again instead of by the core's code on purpose: a baseline must not change when
//! the policy that is compared with it changes.
use crate::node::DecisionModule;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{Key, SecondaryMap};
use std::collections::{BTreeMap, VecDeque};
use std::str::FromStr;
use troutknot::settings::ClassSettings;
use troutknot::{
    Action, AttemptId, DeduplicationScope, Effect, Endpoint, EndpointState, Event, ExecutorId, ListUpdate,
    LoadReport, Millis, Outcome, RequestId, Settings,
};

/// Share of a warm-up budget that may be spent, and share of a deduplication window within which a retry may be sent.
const USABLE_SHARE: f64 = 0.8;
/// Delay in milliseconds before a request that found no executor is tried again.
const RETRY_INTERVAL: Millis = 20.0;
/// Longest time that a request waits for an executor, as a share of its latency objective.
const MAX_WAIT_SHARE: f64 = 0.25;

/// How a node selects executors.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Policy {
    /// The dispatcher itself.
    Adaptive,
    /// A random executor.
    Random,
    /// The next executor in the order of the plan.
    RoundRobin,
    /// The executor with the smallest share of its slots in use by this node's attempts.
    LeastOutstanding,
    /// Probes this number of executors, drawn with replacement, and selects the shortest queue.
    PowerOfChoices(u32),
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        Ok(match name {
            "adaptive" => Policy::Adaptive,
            "random" => Policy::Random,
            "round-robin" => Policy::RoundRobin,
            "least-outstanding" => Policy::LeastOutstanding,
            "d1" => Policy::PowerOfChoices(1),
            "d2" => Policy::PowerOfChoices(2),
            "d4" => Policy::PowerOfChoices(4),
            other => {
                let allowed = "adaptive, random, round-robin, least-outstanding, d1, d2, d4";
                return Err(format!("unknown policy `{other}`; allowed are {allowed}"));
            }
        })
    }
}

struct RequestClass {
    effect: Effect,
    scope: DeduplicationScope,
    deduplication_window: Millis,
    latency_objective: Millis,
}

struct Attempt {
    executor: ExecutorId,
    dispatched_at: Millis,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

struct Request {
    /// Index of its request class.
    class: usize,
    slots: f64,
    arrived_at: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    /// Sampled executors whose probe replies are outstanding.
    awaited_probes: Vec<ExecutorId>,
    /// Load reports of the sampled executors that have replied.
    reports: Vec<(ExecutorId, LoadReport)>,
}

/// The state of one executor. It is never dropped: a baseline runs for the length of one simulation.
struct ExecutorState {
    endpoint: Endpoint,
    slots: f64,
    slots_in_use: f64,
    /// Dispatches during slow start: the time of each, and its cost in slot-milliseconds.
    spent: VecDeque<(Millis, f64)>,
    is_probe_outstanding: bool,
}

/// The position of an executor in the order of the plan.
fn position(executor: ExecutorId) -> u32 {
    executor.data().as_ffi() as u32
}

/// Position after which round robin starts.
const FIRST_POSITION: u32 = 1;

/// A node that selects executors by a baseline policy.
pub struct Baseline {
    policy: Policy,
    rng: ChaCha8Rng,
    classes: Vec<RequestClass>,
    max_attempts: usize,
    /// Number of nodes that share the warm-up budgets.
    node_count: f64,
    initial_capacity: f64,
    ramp_duration: Millis,
    budget_window: Millis,
    budget_multiple: f64,
    executors: SecondaryMap<ExecutorId, ExecutorState>,
    ready: Vec<ExecutorId>,
    /// Position of the last selection by round robin.
    last_position: u32,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that found no executor and wait for the timer.
    waiting: Vec<RequestId>,
    actions: Vec<Action>,
}

impl Baseline {
    /// Creates a baseline with the settings of a node and the seed of its random choices.
    pub fn new(policy: Policy, settings: &Settings, seed: u64) -> Self {
        let classes = settings.classes.iter().take_while(|class| class.deadline.is_some());
        let request_class = |class: &ClassSettings| RequestClass {
            effect: class.effect,
            scope: class.deduplication_scope,
            deduplication_window: class.deduplication_window,
            latency_objective: class.latency_objective.unwrap_or(0.0),
        };
        Baseline {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            classes: classes.map(request_class).collect(),
            max_attempts: settings.limits.max_attempts.unwrap_or(1.0) as usize,
            node_count: settings.nodes.max(1.0),
            initial_capacity: settings.rules.initial_capacity,
            ramp_duration: settings.rules.ramp_duration,
            budget_window: settings.rules.budget_window,
            budget_multiple: settings.rules.budget_multiple,
            executors: SecondaryMap::new(),
            ready: Vec::new(),
            last_position: FIRST_POSITION,
            requests: BTreeMap::new(),
            waiting: Vec::new(),
            actions: Vec::new(),
        }
    }

    fn update_endpoints(&mut self, update: ListUpdate, endpoints: &[Endpoint]) {
        if update != ListUpdate::Delta {
            self.executors.values_mut().for_each(|state| state.endpoint.state = EndpointState::Gone);
        }
        for endpoint in endpoints {
            match self.executors.get_mut(endpoint.executor) {
                Some(state) => {
                    if state.endpoint.started_at != endpoint.started_at {
                        state.spent.clear();
                    }
                    state.endpoint = *endpoint;
                }
                None => {
                    let state = ExecutorState {
                        endpoint: *endpoint,
                        slots: 1.0,
                        slots_in_use: 0.0,
                        spent: VecDeque::new(),
                        is_probe_outstanding: false,
                    };
                    self.executors.insert(endpoint.executor, state);
                }
            }
        }
        let ready = self.executors.iter().filter(|(_, state)| state.endpoint.state == EndpointState::Ready);
        self.ready = ready.map(|(executor, _)| executor).collect();
    }

    /// The share of its full capacity that an executor has at the time `at`, by the linear ramp of slow start.
    fn capacity_share(&self, executor: ExecutorId, at: Millis) -> f64 {
        match self.executors.get(executor).and_then(|state| state.endpoint.started_at) {
            Some(started_at) if at < started_at + self.ramp_duration => {
                self.initial_capacity
                    + (1.0 - self.initial_capacity) * ((at - started_at) / self.ramp_duration).max(0.0)
            }
            _ => 1.0,
        }
    }

    /// The rest of this node's share of an executor's warm-up budget, in slot-milliseconds; infinite for an executor at
    /// full capacity.
    fn remaining_budget(&self, executor: ExecutorId, now: Millis) -> f64 {
        let window_start = now - self.budget_window;
        let capacity_share = self.capacity_share(executor, window_start);
        if capacity_share >= 1.0 {
            return f64::INFINITY;
        }
        let Some(state) = self.executors.get(executor) else { return 0.0 };
        let budget = self.budget_multiple * capacity_share * state.slots * self.budget_window;
        let spent: f64 = state.spent.iter().filter(|(at, _)| *at >= window_start).map(|(_, cost)| cost).sum();
        USABLE_SHARE * budget / self.node_count - spent
    }

    /// Returns whether a request may be dispatched again, the executor whose deduplication group it must stay in
    /// (`None` if any group is allowed), and whether it may be rejected rather than failed.
    fn retry_rule(&self, now: Millis, request: &Request) -> (bool, Option<ExecutorId>, bool) {
        let class = &self.classes[request.class];
        let mut attempts = request.attempts.iter();
        let Some(first) = attempts.find(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran)) else {
            return (true, None, true);
        };
        let is_unscoped = class.scope == DeduplicationScope::All;
        match class.effect {
            Effect::Idempotent => (true, None, true),
            Effect::AtMostOnce => (false, None, false),
            Effect::Deduplicated if now - first.dispatched_at > class.deduplication_window * USABLE_SHARE => {
                (false, None, is_unscoped)
            }
            Effect::Deduplicated if is_unscoped => (true, None, true),
            Effect::Deduplicated => (true, Some(first.executor), false),
        }
    }

    /// The executors to which a request may be dispatched. Executors that already had an attempt of it are included
    /// only if there are no others.
    fn candidates(&self, now: Millis, request: &Request) -> Vec<ExecutorId> {
        let (_, peer, _) = self.retry_rule(now, request);
        let group = |executor: ExecutorId| {
            self.executors.get(executor).map(|state| state.endpoint.deduplication_group)
        };
        let class = &self.classes[request.class];
        let cost = request.slots * class.latency_objective;
        let is_allowed = |&executor: &ExecutorId| {
            peer.is_none_or(|peer| group(executor) == group(peer))
                && self.remaining_budget(executor, now) >= cost
        };
        let allowed: Vec<ExecutorId> = self.ready.iter().copied().filter(is_allowed).collect();
        let is_untried =
            |executor: &ExecutorId| request.attempts.iter().all(|attempt| attempt.executor != *executor);
        let untried: Vec<ExecutorId> = allowed.iter().copied().filter(is_untried).collect();
        if untried.is_empty() { allowed } else { untried }
    }

    /// Selects an executor for a request and dispatches to it, or sends the probes on which the selection depends. A
    /// request without a candidate waits for the timer. Gives up a request that has waited too long, is past its
    /// deadline, has no attempts left or may not be dispatched again.
    fn schedule(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let (can_retry, _, can_reject) = self.retry_rule(now, request);
        if now >= request.deadline || request.attempts.len() >= self.max_attempts || !can_retry {
            return self.give_up(request_id, can_reject);
        }
        let candidates = self.candidates(now, request);
        if candidates.is_empty() {
            let latency_objective = self.classes[request.class].latency_objective;
            if now >= request.arrived_at + MAX_WAIT_SHARE * latency_objective {
                return self.give_up(request_id, can_reject);
            }
            self.waiting.push(request_id);
            self.actions.push(Action::SetTimer { at: now + RETRY_INTERVAL });
            return;
        }
        let draw = |rng: &mut ChaCha8Rng| candidates[rng.random_range(0..candidates.len())];
        let selected = match self.policy {
            Policy::Adaptive | Policy::Random => draw(&mut self.rng),
            Policy::RoundRobin => {
                let mut remaining = candidates.iter().copied();
                let next = remaining.find(|e| position(*e) > self.last_position).unwrap_or(candidates[0]);
                self.last_position = position(next);
                next
            }
            Policy::LeastOutstanding => {
                let usage = |executor: ExecutorId| {
                    let state = self.executors.get(executor);
                    state.map_or(0.0, |state| state.slots_in_use / state.slots.max(1.0))
                };
                let lowest = candidates.iter().map(|&e| usage(e)).fold(f64::INFINITY, f64::min);
                let best: Vec<ExecutorId> =
                    candidates.iter().copied().filter(|&e| usage(e) <= lowest).collect();
                best[self.rng.random_range(0..best.len())]
            }
            Policy::PowerOfChoices(sample_size) => {
                let mut sample: Vec<ExecutorId> = (0..sample_size).map(|_| draw(&mut self.rng)).collect();
                sample.sort_unstable();
                sample.dedup();
                for &executor in &sample {
                    let Some(state) = self.executors.get_mut(executor) else { continue };
                    if !std::mem::replace(&mut state.is_probe_outstanding, true) {
                        self.actions.push(Action::Probe { executor });
                    }
                }
                let request = self.requests.get_mut(&request_id).expect("the request is open");
                request.awaited_probes = sample;
                request.reports.clear();
                return;
            }
        };
        self.dispatch(now, request_id, selected);
    }

    fn dispatch(&mut self, now: Millis, request_id: RequestId, executor: ExecutorId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.attempts.push(Attempt { executor, dispatched_at: now, outcome: None });
        let (slots, attempt_deadline) = (request.slots, request.deadline);
        let cost = slots * self.classes[request.class].latency_objective;
        let window_start = now - self.budget_window;
        let is_warming_up = self.capacity_share(executor, window_start) < 1.0;
        if let Some(state) = self.executors.get_mut(executor) {
            state.slots_in_use += slots;
            if is_warming_up {
                state.spent.retain(|(at, _)| *at >= window_start);
                state.spent.push_back((now, cost));
            }
        }
        self.actions.push(Action::Dispatch {
            request_id,
            executor,
            attempt_deadline,
            send_deadline: attempt_deadline,
        });
    }

    /// Rejects a request, or fails it if it may not be rejected.
    fn give_up(&mut self, request_id: RequestId, can_reject: bool) {
        if let Some(request) = self.requests.remove(&request_id) {
            let retry_after = Some(self.classes[request.class].latency_objective);
            self.actions.push(if can_reject {
                Action::Reject { request_id, retry_after }
            } else {
                Action::Fail { request_id }
            });
        }
    }

    /// Handles the reply to a probe, or its absence, for each request that awaits it.
    fn handle_probe_reply(
        &mut self,
        now: Millis,
        executor: ExecutorId,
        is_answered: bool,
        report: LoadReport,
    ) {
        let Some(state) = self.executors.get_mut(executor) else { return };
        state.is_probe_outstanding = false;
        if is_answered {
            let in_flight = (report.in_flight.unwrap_or(0.0)).max(0.0);
            state.slots = state.slots.max((report.free_slots.unwrap_or(0.0) + in_flight).round());
        }
        let awaiting: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.awaited_probes.contains(&executor))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in awaiting {
            let request = self.requests.get_mut(&request_id).expect("the request is open");
            request.awaited_probes.retain(|awaited| *awaited != executor);
            if is_answered {
                request.reports.push((executor, report));
            }
            if !request.awaited_probes.is_empty() {
                continue;
            }
            let reports = std::mem::take(&mut request.reports);
            let candidates = self.candidates(now, &self.requests[&request_id]);
            let length = |r: &LoadReport| r.queue_length.unwrap_or(0.0) + r.in_flight.unwrap_or(0.0);
            let eligible: Vec<&(ExecutorId, LoadReport)> =
                reports.iter().filter(|(e, _)| candidates.contains(e)).collect();
            let shortest = eligible.iter().map(|(_, r)| length(r)).fold(f64::INFINITY, f64::min);
            let best: Vec<ExecutorId> =
                eligible.iter().filter(|(_, r)| length(r) <= shortest).map(|(e, _)| *e).collect();
            if best.is_empty() {
                // No candidate has answered: select a random one.
                match candidates.is_empty() {
                    true => self.schedule(now, request_id),
                    false => {
                        let selected = candidates[self.rng.random_range(0..candidates.len())];
                        self.dispatch(now, request_id, selected);
                    }
                }
            } else {
                let selected = best[self.rng.random_range(0..best.len())];
                self.dispatch(now, request_id, selected);
            }
        }
    }

    fn release_slots(&mut self, executor: ExecutorId, slots: f64) {
        if let Some(state) = self.executors.get_mut(executor) {
            state.slots_in_use = (state.slots_in_use - slots).max(0.0);
        }
    }

    fn end_attempt(
        &mut self,
        now: Millis,
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
        is_request_closed: bool,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let attempt = request.attempts.get_mut(attempt_id.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let (executor, slots) = (attempt.executor, request.slots);
        self.release_slots(executor, slots);
        if is_request_closed || outcome == Outcome::Completed {
            self.requests.remove(&request_id);
        } else {
            self.schedule(now, request_id);
        }
    }
}

impl DecisionModule for Baseline {
    fn handle_event(&mut self, now: Millis, event: Event) {
        match event {
            Event::EndpointsUpdated { update, endpoints } => self.update_endpoints(update, &endpoints),
            Event::RequestArrived { request_id, class, slots, time_left, .. } => {
                let request = Request {
                    class: class.0 as usize,
                    slots,
                    arrived_at: now,
                    deadline: now + time_left,
                    attempts: Vec::new(),
                    awaited_probes: Vec::new(),
                    reports: Vec::new(),
                };
                self.requests.insert(request_id, request);
                self.schedule(now, request_id);
            }
            Event::ProbeCompleted { executor, reply } => {
                let report = reply.map(|reply| reply.report);
                self.handle_probe_reply(now, executor, report.is_some(), report.unwrap_or_default());
            }
            Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed } => {
                self.end_attempt(now, request_id, attempt_id, outcome, is_request_closed)
            }
            Event::RequestWithdrawn { request_id } => {
                if let Some(request) = self.requests.remove(&request_id)
                    && let Some(attempt) = request.attempts.last().filter(|last| last.outcome.is_none())
                {
                    let (executor, slots) = (attempt.executor, request.slots);
                    self.release_slots(executor, slots);
                }
            }
            Event::TimerFired => {
                for request_id in std::mem::take(&mut self.waiting) {
                    self.schedule(now, request_id);
                }
            }
            Event::EndpointWatchLost { .. } => self.actions.push(Action::WatchEndpoints),
            Event::AttemptRecovered { .. }
            | Event::AttemptStarted { .. }
            | Event::AttemptProgressed { .. } => {}
            // A baseline has no sibling process, and its state ends with its process.
            Event::SiblingChanged { .. } | Event::WarmStateReceived(_) => {}
            // Baselines do not gossip.
            Event::GossipReceived(_) => {}
        }
    }

    fn poll_actions(&mut self, _now: Millis, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}
