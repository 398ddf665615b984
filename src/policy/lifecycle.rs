//! What follows for a request from its arrival, its timer and the ends of its attempts, and what these say of
//! executors and connections.
use super::retry::RetryPolicy;
use super::slow_start::MAX_ASSIGNED_NODES;
use crate::dispatcher::Dispatcher;
use crate::endpoint::{Endpoint, ListUpdate};
use crate::event::{GossipMessage, Outcome};
use crate::ids::{AttemptId, ExecutorId, RequestClassId, RequestId};
use crate::log_event::LogEvent;
use crate::state::executor_table::REPORT_LIFETIME;
use crate::state::request::{Attempt, DesiredState, Request};
use crate::state::smooth;
use crate::time::Millis;

/// Weight of one ended attempt in a running time: about the last thirty count.
const RUNNING_TIME_WEIGHT: f64 = 0.03;
/// A connection that breaks so soon under an attempt that has not begun was gone before.
const STALE_CONNECTION_WINDOW: Millis = 150.0;
/// Where idle connections are dropped unseen, none is used again that was idle for longer, for so long.
const SAFE_IDLE_TIME: Millis = 200.0;
const IDLE_REUSE_BLOCK: Millis = 30_000.0;

impl Dispatcher {
    pub(crate) fn on_request(&mut self, now: Millis, request_id: RequestId, request: Request) {
        let class = request.class;
        self.requests.insert(request_id, request);
        match self.admits(class) {
            true => self.sample(now, request_id),
            false => self.finish_unserved(now, request_id),
        }
    }

    pub(crate) fn on_timer(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.timer_at = f64::INFINITY;
        match request.desired {
            DesiredState::Probing => self.probe_next(now, request_id),
            // It has not begun yet: its executor is asked why, where it may be asked.
            DesiredState::Dispatched { executor, .. } => {
                let has_begun = request.attempts.last().is_none_or(|last| last.started_at.is_some());
                match self.probes.is_forbidden {
                    _ if has_begun => {}
                    true => self.admission.decrease(),
                    false => self.probe(now, request_id, vec![executor]),
                }
            }
            DesiredState::Queued => {
                request.sampling_rounds = 1;
                self.sample(now, request_id)
            }
            DesiredState::Rejected { .. } | DesiredState::Failed => {}
        }
    }

    pub(crate) fn on_attempt_started(&mut self, now: Millis, request_id: RequestId, attempt_id: AttemptId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let attempt = request.attempts.get_mut(attempt_id.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.started_at.is_none()) else { return };
        attempt.started_at = Some(now);
        let (class, delay) = (request.class, now - attempt.sent_at);
        self.observe_start_delay(class, delay);
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Millis,
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
        is_request_closed: bool,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let attempt = request.attempts.get_mut(attempt_id.0 as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) else { return };
        attempt.outcome = Some(outcome);
        let (attempt, class, slots) = (*attempt, request.class, request.slots);
        let is_another_in_flight = request.is_in_flight();
        self.executors.record_change(attempt.executor, now, -slots);
        self.executors.record_outcome(now);
        self.judge_outcome(now, class, &attempt, outcome);
        if outcome == Outcome::Completed {
            self.observe_running_time(now, class, &attempt);
        }
        match is_request_closed {
            true => self.forget(request_id),
            // Another one that is in flight says what follows; where nobody is asked, who is full.
            false if is_another_in_flight => {}
            false if outcome == Outcome::Rejected && self.probes.is_forbidden => {
                self.enqueue(now, request_id)
            }
            false => self.sample(now, request_id),
        }
        if outcome == Outcome::Completed {
            self.dispatch_queued_to(now, attempt.executor);
        }
    }

    /// What an outcome says of the executor, and of the connections to it.
    pub(crate) fn judge_outcome(&mut self, now: Millis, class: usize, attempt: &Attempt, outcome: Outcome) {
        let executor = attempt.executor;
        let was_stale = now - attempt.sent_at < STALE_CONNECTION_WINDOW
            && attempt.started_at.is_none()
            && attempt.idle_time < self.idle_timeout;
        match outcome {
            Outcome::Reset if was_stale => self.block_idle_reuse(now, true),
            // Only who showed free capacity is sent to; one that is full all the same reports wrongly.
            Outcome::Rejected => {
                let class = RequestClassId(class as u32);
                self.gossip.extend(self.executors.record_rejection(executor, class, now));
            }
            Outcome::Completed | Outcome::NotSent | Outcome::Cancelled => {}
            _ => self.executors.record_fault(executor, now),
        }
        if !outcome.never_ran()
            && let Some(state) = self.executors.state_mut(executor)
        {
            state.last_used = now;
        }
    }

    pub(crate) fn observe_running_time(&mut self, now: Millis, class_number: usize, attempt: &Attempt) {
        // Guards against fresh executors that stay idle: among many nodes, slow while starting is no fault.
        let is_one_of_many = self.nodes > MAX_ASSIGNED_NODES;
        let progress =
            if is_one_of_many { self.warm_up_progress(attempt.executor, attempt.sent_at) } else { 1.0 };
        let response_time = (now - attempt.sent_at) * progress;
        let class = &mut self.classes[class_number];
        if progress >= 1.0 {
            let started_at = attempt.sent_at.max(attempt.started_at.unwrap_or(f64::NEG_INFINITY));
            class.response_time.observe(response_time, RUNNING_TIME_WEIGHT);
            class.service_time.observe(now - started_at, RUNNING_TIME_WEIGHT);
            smooth(&mut self.executors.mean_running_time, response_time, RUNNING_TIME_WEIGHT);
        }
        let relative = response_time / class.response_time.mean;
        self.executors.record_response_time(attempt.executor, now, relative);
        if !self.starts_reported {
            self.observe_start_delay(class_number, now - attempt.sent_at);
        }
    }

    /// Guards against connections that are dropped unseen while idle; whoever sees it tells the others.
    pub(crate) fn block_idle_reuse(&mut self, now: Millis, is_own_observation: bool) {
        if now >= self.idle_reuse_blocked_until {
            self.log.push(LogEvent::IdleConnectionsLost { max_idle_time: SAFE_IDLE_TIME });
            self.gossip.extend(is_own_observation.then_some(GossipMessage::IdleConnectionLost));
        }
        self.idle_reuse_blocked_until = now + IDLE_REUSE_BLOCK;
    }

    /// Gives a request up: the answer goes out with this very batch.
    pub(crate) fn finish_unserved(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        if request.is_in_flight() {
            return self.await_attempts(request_id);
        }
        let class = &self.classes[request.class];
        let retry_after = self.retry_after_enabled.then_some(class.latency_objective);
        let desired = match RetryPolicy::decide(class, request, now).may_reject {
            true => DesiredState::Rejected { retry_after },
            false => DesiredState::Failed,
        };
        self.set_desired(request_id, desired, f64::INFINITY);
    }

    pub(crate) fn on_endpoints(&mut self, now: Millis, update: ListUpdate, endpoints: &[Endpoint]) {
        let is_complete = matches!(update, ListUpdate::Snapshot | ListUpdate::Cached);
        self.executors.update(now, is_complete, endpoints);
        if matches!(update, ListUpdate::Snapshot | ListUpdate::Delta) {
            self.log.extend(self.discovery.record_success());
        }
        // A dispatch decided in this very batch must not go to an executor that the list has just taken away.
        for request_id in self.dirty.clone() {
            let Some(request) = self.requests.get(&request_id) else { continue };
            if let DesiredState::Dispatched { executor, attempts, .. } = request.desired
                && request.attempts.len() < attempts
                && !self.executors.is_ready(executor)
            {
                self.executors.record_change(executor, now, -request.slots);
                self.sample(now, request_id);
            }
        }
    }

    /// Takes up an attempt of an earlier process: nothing else follows before its end is told.
    pub(crate) fn on_attempt_recovered(
        &mut self,
        now: Millis,
        request_id: RequestId,
        executor: ExecutorId,
        sent_at: Millis,
    ) {
        let is_held = self.executors.expects(executor);
        let Some(request) = self.requests.get_mut(&request_id).filter(|_| is_held) else { return };
        request.attempts.push(Attempt::new(executor, sent_at, f64::INFINITY));
        request.sampling_rounds = 0;
        let slots = request.slots;
        self.executors.record_change(executor, now, slots);
        self.await_attempts(request_id);
    }

    /// Whether the idle connections there are closed before a dispatch.
    pub(crate) fn closes_idle_connections(&self, now: Millis, idle_time: Millis) -> bool {
        let is_blocked = now < self.idle_reuse_blocked_until;
        is_blocked && idle_time > SAFE_IDLE_TIME && idle_time < self.idle_timeout
    }

    /// After how long an attempt that has not begun is checked; never where no second copy may run.
    pub(crate) fn start_check_delay(&self, hedging_enabled: bool) -> Millis {
        let is_checked = hedging_enabled && self.starts_reported && !self.probes.is_forbidden;
        if is_checked { REPORT_LIFETIME } else { f64::INFINITY }
    }
}
