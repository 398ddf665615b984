//! Samples executors for a request, probes them, and dispatches it.
use super::Dispatcher;
use crate::endpoint::LoadReport;
use crate::event::ProbeReply;
use crate::ids::{ExecutorId, RequestId};
use crate::policy::retry::RetryPolicy;
use crate::policy::sampling::{FleetCapacity, avoided_executors};
use crate::policy::selection::{self, NextStep, RankedCandidate, ShortestQueue};
use crate::policy::slow_start::warm_up_cost;
use crate::state::request::{CandidateReport, DesiredState, Request};
use crate::time::Millis;

impl Dispatcher {
    /// Samples ready executors with replacement and probes each distinct one. If none is eligible, the request is
    /// queued. A request that may not be dispatched any more is given up.
    pub(super) fn sample(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let class = &self.classes[request.class];
        if now >= request.deadline || !RetryPolicy::allows_dispatch(class, &request.attempts, now) {
            return self.finish_unserved(now, request_id);
        }
        let avoided = avoided_executors(request);
        self.update_sample_size(now);
        let sample_size = self.sample_sizing.size_for(self.fleet_capacity());
        let mut candidates: Vec<ExecutorId> = Vec::new();
        for _ in 0..sample_size {
            let sampled = self.sample_one(now, request_id, &avoided);
            candidates.extend(sampled.filter(|executor| !candidates.contains(executor)));
        }
        // Executors of the node's own zone are probed first; if one of them is sufficient, the others are not probed.
        candidates.sort_by_key(|&executor| self.fleet.is_cross_zone(executor));
        match candidates.is_empty() {
            true => self.enqueue(now, request_id),
            false => self.probe(now, request_id, candidates),
        }
    }

    fn sample_one(
        &mut self,
        now: Millis,
        request_id: RequestId,
        avoided: &[ExecutorId],
    ) -> Option<ExecutorId> {
        let request = self.requests.get(&request_id)?;
        let class = &self.classes[request.class];
        let (fleet, classes) = (&self.fleet, &self.classes);
        fleet.sampler().sample_one(
            &mut self.random,
            avoided,
            |executor| fleet.is_eligible(now, class, request, executor),
            |executor| fleet.sampling_weight(now, classes, request.class, executor),
        )
    }

    fn fleet_capacity(&self) -> FleetCapacity {
        let is_large_fleet = self.fleet.slow_start.is_large_fleet();
        FleetCapacity::observe(self.queue.len(), self.probes.busy_ratio, is_large_fleet)
    }

    fn update_sample_size(&mut self, now: Millis) {
        if !self.sample_sizing.is_due(now) {
            return;
        }
        let Some(busy_ratio) = self.probes.busy_ratio else { return };
        self.fleet.refresh(now);
        let probe_cost = self.probes.cost(self.fleet.executors.mean_running_time);
        self.log.extend(self.sample_sizing.update(now, busy_ratio, probe_cost));
    }

    /// Starts a sampling round: probes `candidates` for a request, one after the other.
    pub(super) fn probe(&mut self, now: Millis, request_id: RequestId, candidates: Vec<ExecutorId>) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.candidates = candidates;
        request.probed = 0;
        request.sampling_rounds += 1;
        request.reports.clear();
        match self.probes.is_forbidden {
            true => self.dispatch_by_own_load(now, request_id),
            false => self.probe_next(now, request_id),
        }
    }

    /// Probes the next candidate of a request, or dispatches the request if there are no more.
    pub(super) fn probe_next(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let Some(&executor) = request.candidates.get(request.probed) else {
            return self.dispatch_to_shortest(now, request_id);
        };
        request.probed += 1;
        let deadline = request.deadline;
        if let Some(state) = self.fleet.executors.state_mut(executor) {
            if !state.is_probe_in_flight && state.awaiting_probe.is_empty() {
                self.due_probes.push(executor);
            }
            if !state.awaiting_probe.contains(&request_id) {
                state.awaiting_probe.push(request_id);
            }
        }
        let timer_at = (now + self.probes.timeout()).min(deadline);
        self.set_desired(request_id, DesiredState::Probing, timer_at);
    }

    /// Applies the reply to a probe to all requests that await it; `None` if the probe failed.
    pub(super) fn on_probe_completed(
        &mut self,
        now: Millis,
        executor: ExecutorId,
        reply: Option<ProbeReply>,
    ) {
        if self.fleet.executors.count_if_stale(executor) {
            return;
        }
        match &reply {
            Some(reply) => self.probes.observe(reply),
            None => self.fleet.record_fault(now, executor),
        }
        let Some(state) = self.fleet.executors.state_mut(executor) else { return };
        let report = reply.map(|reply| reply.report);
        report.iter().for_each(|report| state.record_report(now, *report));
        state.is_probe_in_flight = false;
        for request_id in std::mem::take(&mut state.awaiting_probe) {
            self.apply_reply(now, request_id, executor, report);
        }
    }

    fn apply_reply(
        &mut self,
        now: Millis,
        request_id: RequestId,
        executor: ExecutorId,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let position = request.candidates.iter().take(request.probed).position(|&probed| probed == executor);
        let Some(position) = position.filter(|_| request.desired == DesiredState::Probing) else { return };
        // If a later candidate is already being probed, this reply only adds its report unless it is sufficient; the
        // reply to the later probe continues the request.
        let is_last = position + 1 >= request.probed;
        request.reports.extend(report.map(|report| CandidateReport { executor, report }));
        let slots = request.slots;
        let is_sufficient = report.is_some_and(|report| {
            let slots_in_flight = self.fleet.executors.state(executor).slots_in_flight;
            let rank = self.fleet.rank(now, slots, executor, &report);
            rank.is_sufficient(slots_in_flight, self.probes.price)
        });
        match is_sufficient {
            true => self.dispatch_to_shortest(now, request_id),
            false if is_last => self.probe_next(now, request_id),
            false => {}
        }
    }

    /// Dispatches by the slots of this node's own attempts in flight, where probes are forbidden.
    fn dispatch_by_own_load(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let report = |&executor: &ExecutorId| {
            let slots_in_flight = self.fleet.executors.state(executor).slots_in_flight;
            CandidateReport { executor, report: selection::assumed_report(slots_in_flight) }
        };
        request.reports = request.candidates.iter().map(report).collect();
        self.dispatch_to_shortest(now, request_id);
    }

    /// Dispatches to the best candidate that has replied; of equal ones, to one at random.
    fn dispatch_to_shortest(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        // If the only candidate is the executor of an attempt in flight, it was probed as a start check, or no other
        // executor is eligible.
        let last = request.attempts.last().filter(|_| request.is_in_flight());
        if last.is_some_and(|last| request.candidates == [last.executor]) {
            return self.hedge_if_lost(now, request_id);
        }
        let shortest = self.shortest_queue(now, request);
        let chosen = match shortest.next_step(request.sampling_rounds, self.fleet_capacity()) {
            NextStep::Enqueue => return self.enqueue(now, request_id),
            NextStep::SampleAgain => None,
            NextStep::Dispatch => selection::choose_any(&shortest.executors, &mut self.random),
            NextStep::DispatchUnprobed => {
                let sampled = self.sample_one(now, request_id, &[]);
                // Chooses from one executor at most. Without this draw, all later random numbers of a seed would shift.
                selection::choose_any(sampled.as_slice(), &mut self.random)
            }
        };
        match chosen {
            Some(executor) => self.dispatch(now, request_id, executor),
            None => self.sample(now, request_id),
        }
    }

    fn shortest_queue(&self, now: Millis, request: &Request) -> ShortestQueue {
        let class = &self.classes[request.class];
        let is_eligible =
            |candidate: &&CandidateReport| self.fleet.is_eligible(now, class, request, candidate.executor);
        let rank = |candidate: &CandidateReport| {
            let executor = candidate.executor;
            let rank = self.fleet.rank(now, request.slots, executor, &candidate.report);
            RankedCandidate { executor, rank }
        };
        selection::shortest_queue(request.reports.iter().filter(is_eligible).map(rank))
    }

    fn dispatch(&mut self, now: Millis, request_id: RequestId, executor: ExecutorId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let class = &self.classes[request.class];
        let attempts = request.attempts.len() + 1;
        let desired = DesiredState::Dispatched { executor, deadline: request.deadline, attempts };
        let timer_at = match self.probes.is_forbidden {
            true => now + self.admission.max_start_delay(class),
            false => self.start_check.due_at(class, now),
        };
        self.fleet.spend_warm_up_budget(now, executor, warm_up_cost(class, request.slots));
        self.fleet.executors.record_slot_change(now, executor, request.slots);
        self.set_desired(request_id, desired, timer_at);
    }
}
