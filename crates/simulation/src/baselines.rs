//! Other policies, to compare with: in the kit alone. They keep the same rules by the same figures: what may be sent
//! again and where, who drains, and each node's even part of a cold executor's budget. They differ in whom they choose.
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

/// Part of a cold budget that is used, and of a window within which a repeat is sent.
const HEADROOM: f64 = 0.8;
/// What finds nobody is tried again after so long, for this part of its promised turnaround.
const AGAIN: Millis = 20.0;
const PATIENCE: f64 = 0.25;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Policy {
    /// The dispatcher as it is.
    Adaptive,
    Random,
    RoundRobin,
    /// The executor with the fewest of this node's own slots out.
    LeastOutstanding,
    /// So many draws with replacement, all probed, the shortest queue.
    Fixed(u32),
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        Ok(match word {
            "adaptive" => Policy::Adaptive,
            "random" => Policy::Random,
            "round-robin" => Policy::RoundRobin,
            "least-outstanding" => Policy::LeastOutstanding,
            "d1" => Policy::Fixed(1),
            "d2" => Policy::Fixed(2),
            "d4" => Policy::Fixed(4),
            other => {
                let known = "adaptive, random, round-robin, least-outstanding, d1, d2, d4";
                return Err(format!("`{other}` is no policy; {known} are allowed"));
            }
        })
    }
}

struct Kind {
    effect: Effect,
    scope: DeduplicationScope,
    window: Millis,
    turnaround: Millis,
}

struct Alloc {
    executor: ExecutorId,
    sent: Millis,
    outcome: Option<Outcome>,
}

struct Wu {
    kind: usize,
    slots: f64,
    arrived: Millis,
    limit: Millis,
    attempts: Vec<Alloc>,
    /// Drawn ones that are still to answer, and what the others said.
    asked: Vec<ExecutorId>,
    answers: Vec<(ExecutorId, LoadReport)>,
}

/// What is known of one executor. Nothing is released here: a baseline lasts for one day of the kit.
struct Known {
    listing: Endpoint,
    slots: f64,
    out: f64,
    /// What was pushed while cold: when, and how many slot-milliseconds.
    spent: VecDeque<(Millis, f64)>,
    probed: bool,
}

/// The place of an executor in the order of the plan.
fn slot(executor: ExecutorId) -> u32 {
    executor.data().as_ffi() as u32
}

/// Round robin begins after the first slot.
const FIRST_SLOT: u32 = 1;

pub struct Baseline {
    policy: Policy,
    rng: ChaCha8Rng,
    kinds: Vec<Kind>,
    max_attempts: usize,
    nodes: f64,
    cold_share: f64,
    ramp: Millis,
    fall: Millis,
    multiple: f64,
    known: SecondaryMap<ExecutorId, Known>,
    healthy: Vec<ExecutorId>,
    turn: u32,
    requests: BTreeMap<RequestId, Wu>,
    /// Those that found nobody.
    held: Vec<RequestId>,
    actions: Vec<Action>,
}

impl Baseline {
    pub fn new(policy: Policy, settings: &Settings, seed: u64) -> Self {
        let classes = settings.classes.iter().take_while(|class| class.deadline.is_some());
        let kind = |class: &ClassSettings| Kind {
            effect: class.effect,
            scope: class.deduplication_scope,
            window: class.deduplication_window,
            turnaround: class.latency_objective.unwrap_or(0.0),
        };
        Baseline {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            kinds: classes.map(kind).collect(),
            max_attempts: settings.limits.max_attempts.unwrap_or(1.0) as usize,
            nodes: settings.nodes.max(1.0),
            cold_share: settings.rules.initial_capacity,
            ramp: settings.rules.ramp_duration,
            fall: settings.rules.budget_window,
            multiple: settings.rules.budget_multiple,
            known: SecondaryMap::new(),
            healthy: Vec::new(),
            turn: FIRST_SLOT,
            requests: BTreeMap::new(),
            held: Vec::new(),
            actions: Vec::new(),
        }
    }

    fn list(&mut self, kind: ListUpdate, entries: &[Endpoint]) {
        if kind != ListUpdate::Delta {
            self.known.values_mut().for_each(|known| known.listing.state = EndpointState::Gone);
        }
        for entry in entries {
            match self.known.get_mut(entry.executor) {
                Some(known) => {
                    if known.listing.started_at != entry.started_at {
                        known.spent.clear();
                    }
                    known.listing = *entry;
                }
                None => {
                    let (listing, spent) = (*entry, VecDeque::new());
                    let known = Known { listing, slots: 1.0, out: 0.0, spent, probed: false };
                    self.known.insert(entry.executor, known);
                }
            }
        }
        let well = self.known.iter().filter(|(_, known)| known.listing.state == EndpointState::Ready);
        self.healthy = well.map(|(executor, _)| executor).collect();
    }

    fn warmth(&self, e: ExecutorId, at: Millis) -> f64 {
        match self.known.get(e).and_then(|known| known.listing.started_at) {
            Some(start) if at < start + self.ramp => {
                self.cold_share + (1.0 - self.cold_share) * ((at - start) / self.ramp).max(0.0)
            }
            _ => 1.0,
        }
    }

    fn cold_room(&self, e: ExecutorId, now: Millis) -> f64 {
        let warm_then = self.warmth(e, now - self.fall);
        if warm_then >= 1.0 {
            return f64::INFINITY;
        }
        let Some(known) = self.known.get(e) else { return 0.0 };
        let whole = self.multiple * warm_then * known.slots * self.fall;
        let since = now - self.fall;
        let spent: f64 = known.spent.iter().filter(|(at, _)| *at >= since).map(|(_, work)| work).sum();
        HEADROOM * whole / self.nodes - spent
    }

    /// Whether it may be sent again, to whom only, and whether it may be deferred.
    fn may_resend(&self, now: Millis, w: &Wu) -> (bool, Option<ExecutorId>, bool) {
        let kind = &self.kinds[w.kind];
        let Some(first) = w.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran)) else {
            return (true, None, true);
        };
        let all = kind.scope == DeduplicationScope::All;
        match kind.effect {
            Effect::Idempotent => (true, None, true),
            Effect::AtMostOnce => (false, None, false),
            Effect::Deduplicated if now - first.sent > kind.window * HEADROOM => (false, None, all),
            Effect::Deduplicated if all => (true, None, true),
            Effect::Deduplicated => (true, Some(first.executor), false),
        }
    }

    fn allowed(&self, now: Millis, w: &Wu) -> Vec<ExecutorId> {
        let (_, like, _) = self.may_resend(now, w);
        let group = |e: ExecutorId| self.known.get(e).map(|known| known.listing.deduplication_group);
        let kind = &self.kinds[w.kind];
        let cost = w.slots * kind.turnaround;
        let may = |&e: &ExecutorId| {
            like.is_none_or(|like| group(e) == group(like)) && self.cold_room(e, now) >= cost
        };
        let of: Vec<ExecutorId> = self.healthy.iter().copied().filter(may).collect();
        let fresh: Vec<ExecutorId> =
            of.iter().copied().filter(|e| w.attempts.iter().all(|a| a.executor != *e)).collect();
        if fresh.is_empty() { of } else { fresh }
    }

    fn choose(&mut self, now: Millis, request_id: RequestId) {
        let Some(w) = self.requests.get(&request_id) else { return };
        let (again, _, deferred) = self.may_resend(now, w);
        if now >= w.limit || w.attempts.len() >= self.max_attempts || !again {
            return self.give_up(request_id, deferred);
        }
        let allowed = self.allowed(now, w);
        if allowed.is_empty() {
            let turnaround = self.kinds[w.kind].turnaround;
            if now >= w.arrived + PATIENCE * turnaround {
                return self.give_up(request_id, deferred);
            }
            self.held.push(request_id);
            self.actions.push(Action::SetTimer { at: now + AGAIN });
            return;
        }
        let any = |rng: &mut ChaCha8Rng| allowed[rng.random_range(0..allowed.len())];
        let chosen = match self.policy {
            Policy::Adaptive | Policy::Random => any(&mut self.rng),
            Policy::RoundRobin => {
                let next = allowed.iter().copied().find(|e| slot(*e) > self.turn).unwrap_or(allowed[0]);
                self.turn = slot(next);
                next
            }
            Policy::LeastOutstanding => {
                let of =
                    |e: ExecutorId| self.known.get(e).map_or(0.0, |known| known.out / known.slots.max(1.0));
                let least = allowed.iter().map(|&e| of(e)).fold(f64::INFINITY, f64::min);
                let best: Vec<ExecutorId> = allowed.iter().copied().filter(|&e| of(e) <= least).collect();
                best[self.rng.random_range(0..best.len())]
            }
            Policy::Fixed(draws) => {
                let mut asked: Vec<ExecutorId> = (0..draws).map(|_| any(&mut self.rng)).collect();
                asked.sort_unstable();
                asked.dedup();
                for &e in &asked {
                    let Some(known) = self.known.get_mut(e) else { continue };
                    if !std::mem::replace(&mut known.probed, true) {
                        self.actions.push(Action::Probe { executor: e });
                    }
                }
                let w = self.requests.get_mut(&request_id).expect("it is open");
                w.asked = asked;
                w.answers.clear();
                return;
            }
        };
        self.push(now, request_id, chosen);
    }

    fn push(&mut self, now: Millis, request_id: RequestId, e: ExecutorId) {
        let Some(w) = self.requests.get_mut(&request_id) else { return };
        w.attempts.push(Alloc { executor: e, sent: now, outcome: None });
        let (slots, attempt_deadline) = (w.slots, w.limit);
        let cost = slots * self.kinds[w.kind].turnaround;
        let (is_cold, since) = (self.warmth(e, now - self.fall) < 1.0, now - self.fall);
        if let Some(known) = self.known.get_mut(e) {
            known.out += slots;
            if is_cold {
                known.spent.retain(|(at, _)| *at >= since);
                known.spent.push_back((now, cost));
            }
        }
        self.actions.push(Action::Dispatch {
            request_id,
            executor: e,
            attempt_deadline,
            send_deadline: attempt_deadline,
        });
    }

    fn give_up(&mut self, request_id: RequestId, deferred: bool) {
        if let Some(w) = self.requests.remove(&request_id) {
            let come_back = Some(self.kinds[w.kind].turnaround);
            self.actions.push(if deferred {
                Action::Reject { request_id, retry_after: come_back }
            } else {
                Action::Fail { request_id }
            });
        }
    }

    fn probed(&mut self, now: Millis, e: ExecutorId, answered: bool, reading: LoadReport) {
        let Some(known) = self.known.get_mut(e) else { return };
        known.probed = false;
        if answered {
            let running = (reading.in_flight.unwrap_or(0.0)).max(0.0);
            known.slots = known.slots.max((reading.free_slots.unwrap_or(0.0) + running).round());
        }
        let waiting: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, w)| w.asked.contains(&e))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in waiting {
            let w = self.requests.get_mut(&request_id).expect("it was there");
            w.asked.retain(|x| *x != e);
            if answered {
                w.answers.push((e, reading));
            }
            if !w.asked.is_empty() {
                continue;
            }
            let answers = std::mem::take(&mut w.answers);
            let allowed = self.allowed(now, &self.requests[&request_id]);
            let length = |r: &LoadReport| r.queue_length.unwrap_or(0.0) + r.in_flight.unwrap_or(0.0);
            let fit: Vec<&(ExecutorId, LoadReport)> =
                answers.iter().filter(|(x, _)| allowed.contains(x)).collect();
            let least = fit.iter().map(|(_, r)| length(r)).fold(f64::INFINITY, f64::min);
            let best: Vec<ExecutorId> =
                fit.iter().filter(|(_, r)| length(r) <= least).map(|(x, _)| *x).collect();
            if best.is_empty() {
                // Nobody answered: chance decides.
                match allowed.is_empty() {
                    true => self.choose(now, request_id),
                    false => {
                        let e = allowed[self.rng.random_range(0..allowed.len())];
                        self.push(now, request_id, e);
                    }
                }
            } else {
                let e = best[self.rng.random_range(0..best.len())];
                self.push(now, request_id, e);
            }
        }
    }

    fn no_longer_out(&mut self, e: ExecutorId, slots: f64) {
        if let Some(known) = self.known.get_mut(e) {
            known.out = (known.out - slots).max(0.0);
        }
    }

    fn ended(
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
        a.outcome = Some(outcome);
        let (e, slots) = (a.executor, w.slots);
        self.no_longer_out(e, slots);
        if closed || outcome == Outcome::Completed {
            self.requests.remove(&request_id);
        } else {
            self.choose(now, request_id);
        }
    }
}

impl DecisionModule for Baseline {
    fn handle_event(&mut self, now: Millis, event: Event) {
        match event {
            Event::EndpointsUpdated { update: kind, endpoints: entries } => self.list(kind, &entries),
            Event::RequestArrived { request_id, class: project_type, slots, time_left: left, .. } => {
                let (kind, limit) = (project_type.0 as usize, now + left);
                let (attempts, asked, answers) = Default::default();
                self.requests
                    .insert(request_id, Wu { kind, slots, arrived: now, limit, attempts, asked, answers });
                self.choose(now, request_id);
            }
            Event::ProbeCompleted { executor, reply } => {
                let report = reply.map(|reply| reply.report);
                self.probed(now, executor, report.is_some(), report.unwrap_or_default());
            }
            Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: closed } => {
                self.ended(now, request_id, attempt_id, outcome, closed)
            }
            Event::RequestWithdrawn { request_id } => {
                if let Some(w) = self.requests.remove(&request_id)
                    && let Some(a) = w.attempts.last().filter(|a| a.outcome.is_none())
                {
                    let (executor, slots) = (a.executor, w.slots);
                    self.no_longer_out(executor, slots);
                }
            }
            Event::TimerFired => {
                for request_id in std::mem::take(&mut self.held) {
                    self.choose(now, request_id);
                }
            }
            Event::EndpointWatchLost { .. } => self.actions.push(Action::WatchEndpoints),
            Event::AttemptRecovered { .. }
            | Event::AttemptStarted { .. }
            | Event::AttemptProgressed { .. } => {}
            // A baseline runs in one process and forgets with it.
            Event::SiblingChanged { .. } | Event::WarmStateReceived(_) => {}
            // Nor does it talk.
            Event::GossipReceived(_) => {}
        }
    }

    fn poll_actions(&mut self, _now: Millis, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}
