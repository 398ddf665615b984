//! Probe replies ranked, and the request dispatched to the shortest queue; queued where all are long, and
//! dispatched from the queue to an executor that has free capacity again.
use super::retry::{RetryPolicy, RetryTarget};
use crate::dispatcher::Dispatcher;
use crate::endpoint::LoadReport;
use crate::event::ProbeReply;
use crate::ids::{ExecutorId, RequestId};
use crate::state::executor_table::ExecutorTable;
use crate::state::probe_statistics::SHORTEST_QUEUE;
use crate::state::request::{CandidateReport, DesiredState, Request};
use crate::time::Millis;

/// Stands for the slots of an executor that nobody may ask.
const UNKNOWN_SLOTS: f64 = 1e6;

/// The shortest queue first, then the node's own zone, then the least part of the slots in use.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct QueueRank {
    queue_length: f64,
    is_cross_zone: bool,
    utilization: f64,
}

impl QueueRank {
    const WORST: QueueRank = QueueRank { queue_length: f64::INFINITY, is_cross_zone: true, utilization: 0.0 };
}

impl ExecutorTable {
    /// The queue that a request would stand in, with the slots that it lacks there now; and the free slots.
    fn queue_for(&self, executor: ExecutorId, now: Millis, slots: f64, report: &LoadReport) -> (f64, f64) {
        let waiting = report.queue_length.or(report.in_flight).unwrap_or(0.0);
        let Some(free_slots) = report.free_slots else { return (waiting.round(), f64::INFINITY) };
        // Guards against a herd of this node's own.
        let free_slots = free_slots - self.state(executor).unreported_change(now);
        ((waiting + (slots - free_slots).max(0.0)).round(), free_slots)
    }
}

impl Dispatcher {
    fn rank(&self, now: Millis, slots: f64, executor: ExecutorId, report: &LoadReport) -> QueueRank {
        let (queue_length, free_slots) = self.executors.queue_for(executor, now, slots, report);
        let is_cross_zone = self.is_cross_zone(executor);
        let utilization = -free_slots / self.executors.slots_or_least(executor);
        QueueRank { queue_length, is_cross_zone, utilization }
    }

    /// Whether the rules allow this executor for a request now.
    pub(crate) fn is_eligible(&self, now: Millis, request: &Request, executor: ExecutorId) -> bool {
        let class = &self.classes[request.class];
        let endpoint = &self.executors.state(executor).endpoint;
        let is_in_scope = match RetryPolicy::decide(class, request, now).target {
            RetryTarget::Anywhere => true,
            RetryTarget::Nowhere => false,
            RetryTarget::SameDeduplicationDomain(first) => {
                self.executors.holds(first)
                    && class.is_same_deduplication_domain(endpoint, &self.executors.state(first).endpoint)
            }
        };
        let is_able = class.terms.machine_type.is_none_or(|needed| needed == endpoint.machine_type);
        is_in_scope
            && is_able
            && self.executors.is_ready(executor)
            && self.remaining_warm_up_budget(executor, now) >= self.warm_up_cost(request)
    }

    /// Takes what a probe brought to all requests that wait for it.
    pub(crate) fn on_probe(&mut self, now: Millis, executor: ExecutorId, reply: Option<ProbeReply>) {
        if !self.executors.expects(executor) {
            return;
        }
        match &reply {
            Some(reply) => self.probes.observe(reply),
            None => self.executors.record_fault(executor, now),
        }
        let Some(state) = self.executors.state_mut(executor) else { return };
        reply.iter().for_each(|reply| state.take_report(now, reply.report));
        state.is_probe_in_flight = false;
        for request_id in std::mem::take(&mut state.awaiting_probe) {
            self.take_reply(now, request_id, executor, reply.map(|reply| reply.report));
        }
    }

    fn take_reply(
        &mut self,
        now: Millis,
        request_id: RequestId,
        executor: ExecutorId,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let place = request.candidates.iter().take(request.probed).position(|&asked| asked == executor);
        let Some(place) = place.filter(|_| request.desired == DesiredState::Probing) else { return };
        let is_last = place + 1 >= request.probed;
        request.reports.extend(report.map(|report| CandidateReport { executor, report }));
        // Those still to be probed could at best tie, or are emptier, which is not worth a price.
        let slots = request.slots;
        let rank = report.map(|report| self.rank(now, slots, executor, &report));
        let is_idle = self.executors.state(executor).slots_in_flight < 0.5;
        let is_enough = is_idle || self.probes.price > 0.0;
        let is_best =
            |rank: QueueRank| rank.queue_length < SHORTEST_QUEUE && !rank.is_cross_zone && is_enough;
        match rank.is_some_and(is_best) {
            true => self.dispatch_to_shortest(now, request_id),
            false if is_last => self.probe_next(now, request_id),
            false => {}
        }
    }

    /// Where nobody may be asked, what this node has in flight there says who is emptier, and never that
    /// capacity is short.
    pub(crate) fn dispatch_by_own_load(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let report = |&executor: &ExecutorId| {
            let free_slots = UNKNOWN_SLOTS - self.executors.state(executor).slots_in_flight;
            CandidateReport { executor, report: LoadReport::of_free_slots(free_slots) }
        };
        request.reports = request.candidates.iter().map(report).collect();
        self.dispatch_to_shortest(now, request_id);
    }

    /// With all reports in, the best of the candidates; among equal ones chance decides.
    pub(crate) fn dispatch_to_shortest(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let last = request.attempts.last().filter(|_| request.is_in_flight());
        if last.is_some_and(|last| request.candidates == [last.executor]) {
            return self.recheck_start(now, request_id);
        }
        let (mut best, least) = self.shortest(now, request);
        let is_second_round = request.sampling_rounds >= 2;
        let (is_answered, is_long) = (!best.is_empty(), least.queue_length >= SHORTEST_QUEUE);
        if !is_answered && is_second_round {
            // No reply at all: one more is sampled, and dispatched to unseen.
            best.extend(self.sample_one(now, request_id, &[]));
        } else if is_answered && is_long && (is_second_round || self.is_capacity_short()) {
            // All queues are long: one more sample, then a wait here, as what is in a queue cannot move.
            return self.enqueue(now, request_id);
        }
        if best.is_empty() || (is_answered && is_long) {
            return self.sample(now, request_id);
        }
        let executor = best[rand::RngExt::random_range(&mut self.random, 0..best.len())];
        self.dispatch(now, request_id, executor);
    }

    /// Those of the eligible candidates whose queue is shortest, and their rank.
    fn shortest(&self, now: Millis, request: &Request) -> (Vec<ExecutorId>, QueueRank) {
        let (mut best, mut least) = (Vec::new(), QueueRank::WORST);
        for CandidateReport { executor, report } in &request.reports {
            if !self.is_eligible(now, request, *executor) {
                continue;
            }
            let rank = self.rank(now, request.slots, *executor, report);
            if rank < least {
                (least, best) = (rank, Vec::new());
            }
            if rank == least {
                best.push(*executor);
            }
        }
        (best, least)
    }

    fn dispatch(&mut self, now: Millis, request_id: RequestId, executor: ExecutorId) {
        let request = &self.requests[&request_id];
        let (class, slots, deadline) = (request.class, request.slots, request.deadline);
        let attempts = request.attempts.len() + 1;
        self.spend_warm_up_budget(now, executor, self.warm_up_cost(request));
        self.executors.record_change(executor, now, slots);
        let timer_at = match self.probes.is_forbidden {
            true => now + self.max_start_delay(class),
            false => now + self.classes[class].latency_objective.max(self.start_check_delay),
        };
        self.set_desired(request_id, DesiredState::Dispatched { executor, deadline, attempts }, timer_at);
    }

    /// An attempt that has not begun though its executor shows free capacity was lost on the way.
    fn recheck_start(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let Some(&attempt) = request.attempts.last() else { return };
        let executor = attempt.executor;
        let shows_capacity = |reported: &CandidateReport| {
            reported.executor == executor
                && reported.report.queue_length.unwrap_or(1.0) < SHORTEST_QUEUE
                && reported.report.free_slots.unwrap_or(0.0) >= request.slots
        };
        if attempt.started_at.is_some() || !request.reports.iter().any(shows_capacity) {
            return self.await_attempts(request_id);
        }
        if attempt.idle_time < self.idle_timeout && now >= self.idle_reuse_blocked_until {
            self.block_idle_reuse(now, true);
        } else {
            let class = request.class;
            self.gossip.extend(self.executors.record_rejection(executor, class, now));
        }
        self.sample(now, request_id)
    }

    /// Queues a request, to sample again halfway, while it may well be in time; then it is given up at once.
    pub(crate) fn enqueue(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        if request.is_in_flight() {
            return self.await_attempts(request_id);
        }
        let class = &self.classes[request.class];
        let patience = class.max_queueing_time();
        let until = (request.asked_at + patience).min(request.deadline);
        let is_used_up = request.attempts.len() >= class.max_attempts
            || RetryPolicy::decide(class, request, now).target == RetryTarget::Nowhere;
        // Where capacity is short, what exceeds a tenant's quota is shed first.
        let is_shed = request.is_over_quota && !self.queue.is_empty();
        if now >= until || is_used_up || is_shed {
            return self.finish_unserved(now, request_id);
        }
        self.set_desired(request_id, DesiredState::Queued, (now + patience / 2.0).min(until));
    }

    /// Perhaps free capacity: the queued request of most value for its slots, times its wait, asks there.
    pub(crate) fn dispatch_queued_to(&mut self, now: Millis, executor: ExecutorId) {
        let priority = |request_id: &RequestId| {
            let request = &self.requests[request_id];
            let part = if request.is_over_quota { self.over_quota_value } else { 1.0 };
            part * self.classes[request.class].terms.value / request.slots * (now - request.asked_at)
        };
        let first = self.queue.iter().max_by(|one, other| priority(one).total_cmp(&priority(other))).copied();
        let is_eligible = |id: &RequestId| self.is_eligible(now, &self.requests[id], executor);
        if let Some(request_id) = first.filter(is_eligible) {
            self.probe(now, request_id, vec![executor]);
        }
    }
}
