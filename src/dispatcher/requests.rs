//! The life cycle of requests from arrival to answer, with the queue and the request timers.
use super::Dispatcher;
use crate::ids::{ExecutorId, RequestClassId, RequestId, TenantId};
use crate::policy::admission::{self, Admission, QuotaUse};
use crate::policy::queueing::{self, QueueDecision};
use crate::policy::retry::{RetryPolicy, UnservedAnswer};
use crate::state::request::{DesiredState, MIN_SLOTS, Request};
use crate::time::Millis;

/// The terms of a request at its arrival.
pub(super) struct Arrival {
    pub class: RequestClassId,
    pub tenant: TenantId,
    pub slots: f64,
    pub time_left: Millis,
    pub is_retry: bool,
}

impl Dispatcher {
    /// Admits a request or sheds it. A request of an unknown class, or with the id of an open request, is ignored.
    pub(super) fn on_request_arrived(&mut self, now: Millis, request_id: RequestId, arrival: Arrival) {
        let Arrival { class, tenant, slots, time_left, is_retry } = arrival;
        if !self.classes.contains(class) || self.requests.contains_key(&request_id) {
            return;
        }
        let quota_use = self.quotas.record_request(now, tenant, is_retry);
        let request = Request {
            class,
            slots: slots.max(MIN_SLOTS),
            is_over_quota: quota_use == QuotaUse::OverQuota,
            // A client's retry has less time left than the deadline of its class. The difference is taken as the time
            // since the client first sent it.
            first_sent_at: now + time_left - self.classes[class].deadline.max(time_left),
            deadline: now + time_left,
            timer_at: f64::INFINITY,
            ..Request::default()
        };
        self.requests.insert(request_id, request);
        let relative_cost = admission::relative_cost(&self.classes, class);
        match self.admission.decide(relative_cost, &mut self.random) {
            Admission::Admitted => self.sample(now, request_id),
            Admission::Shed => self.finish_unserved(now, request_id),
        }
    }

    /// Continues a request whose timer fired, with the next probe, a start check or another sample.
    pub(super) fn on_request_timer(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.timer_at = f64::INFINITY;
        match request.desired {
            DesiredState::Probing => self.probe_next(now, request_id),
            DesiredState::Dispatched { executor, .. } => self.on_start_overdue(now, request_id, executor),
            DesiredState::Queued => {
                // The next sample is the last round; without capacity the request is queued again or given up.
                request.sampling_rounds = 1;
                self.sample(now, request_id)
            }
            DesiredState::Rejected { .. } | DesiredState::Failed => {}
        }
    }

    /// Removes a request that needs no answer any more.
    pub(super) fn remove_request(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.remove(&request_id) else { return };
        // Attempts still in flight are no longer counted here; only the executors' load reports show them.
        for attempt in request.attempts.iter().filter(|attempt| attempt.is_in_flight()) {
            let Some(state) = self.fleet.executors.state_mut(attempt.executor) else { continue };
            state.slots_in_flight = (state.slots_in_flight - request.slots).max(0.0);
        }
        self.queue.retain(|&queued| queued != request_id);
        self.timers.remove(request_id, request.timer_at);
    }

    /// Sets the desired state of a request and the time at which its timer fires; infinite for no timer.
    pub(super) fn set_desired(&mut self, request_id: RequestId, desired: DesiredState, timer_at: Millis) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        self.timers.remove(request_id, request.timer_at);
        self.queue.retain(|&queued| queued != request_id);
        if desired == DesiredState::Queued {
            self.queue.push(request_id);
        }
        (request.desired, request.timer_at) = (desired, timer_at);
        self.timers.insert(request_id, timer_at);
        self.dirty.push(request_id);
    }

    /// Makes a request wait for the end of its attempts in flight.
    pub(super) fn await_attempts(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let Some(last) = request.attempts.last() else { return };
        let (executor, deadline, attempts) = (last.executor, request.deadline, request.attempts.len());
        let desired = DesiredState::Dispatched { executor, deadline, attempts };
        self.set_desired(request_id, desired, f64::INFINITY);
    }

    /// Gives up a request, unless an attempt is in flight. Its answer is among the next actions.
    pub(super) fn finish_unserved(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        if request.is_in_flight() {
            return self.await_attempts(request_id);
        }
        let class = &self.classes[request.class];
        let desired = match RetryPolicy::decide(class, &request.attempts, now).unserved_answer {
            UnservedAnswer::Rejected => {
                let retry_after = self.retry_after_enabled.then_some(class.latency_objective);
                DesiredState::Rejected { retry_after }
            }
            UnservedAnswer::Failed => DesiredState::Failed,
        };
        self.set_desired(request_id, desired, f64::INFINITY);
    }

    /// Queues a request for which no executor has capacity, or gives it up if it cannot be answered in time.
    pub(super) fn enqueue(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        if request.is_in_flight() {
            return self.await_attempts(request_id);
        }
        match queueing::decide(&self.classes[request.class], request, self.queue.len(), now) {
            QueueDecision::Enqueue { recheck_at } => {
                self.set_desired(request_id, DesiredState::Queued, recheck_at)
            }
            QueueDecision::GiveUp => self.finish_unserved(now, request_id),
        }
    }

    /// Probes an executor that may have free capacity again, for the queued request with the highest priority.
    pub(super) fn probe_for_queue(&mut self, now: Millis, executor: ExecutorId) {
        let priority = |request_id: RequestId| {
            let request = &self.requests[&request_id];
            queueing::priority(&self.classes[request.class], request, self.over_quota_value, now)
        };
        let Some(request_id) = queueing::highest_priority(&self.queue, priority) else { return };
        let request = &self.requests[&request_id];
        if self.fleet.is_eligible(now, &self.classes[request.class], request, executor) {
            self.probe(now, request_id, vec![executor]);
        }
    }
}
