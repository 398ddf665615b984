//! Starts and ends of attempts, and their effect on the state of executors and connections.
use super::Dispatcher;
use crate::endpoint::DeduplicationDomain;
use crate::event::{GossipMessage, Outcome};
use crate::ids::{AttemptId, ExecutorId, RequestClassId, RequestId};
use crate::log_event::LogEvent;
use crate::policy::connection_reuse::ReuseBlock;
use crate::policy::running_time;
use crate::policy::start_check;
use crate::state::request::Attempt;
use crate::time::Millis;

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub outcome: Outcome,
    /// Whether the request has its final answer.
    pub is_request_closed: bool,
}

/// The node that observed a broken idle connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Observer {
    ThisNode,
    Peer,
}

impl Dispatcher {
    /// Records the start of an attempt; a repeated report has no effect.
    pub(super) fn on_attempt_started(&mut self, now: Millis, request_id: RequestId, attempt_id: AttemptId) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let class = &self.classes[request.class];
        let attempt = request.attempt_mut(attempt_id);
        let Some(attempt) = attempt.filter(|attempt| attempt.started_at.is_none()) else { return };
        attempt.started_at = Some(now);
        self.admission.record_start(class, now - attempt.sent_at);
    }

    /// Applies the end of an attempt to its executor, its class and its request. The request is then retried, given
    /// up or closed.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Millis,
        request_id: RequestId,
        attempt_id: AttemptId,
        end: AttemptEnd,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let attempt = request.attempt_mut(attempt_id);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) else { return };
        attempt.outcome = Some(end.outcome);
        let (attempt, class, slots) = (*attempt, request.class, request.slots);
        let is_another_in_flight = request.is_in_flight();
        self.fleet.executors.record_slot_change(now, attempt.executor, -slots);
        self.fleet.outliers.record_outcome(now);
        self.apply_outcome(now, class, &attempt, end.outcome);
        let is_completed = end.outcome == Outcome::Completed;
        if is_completed {
            self.observe_running_time(now, class, &attempt);
        }
        match end.is_request_closed {
            true => self.remove_request(request_id),
            false if is_another_in_flight => {}
            // Without probes, a rejection is the only indication that the executors are busy.
            false if end.outcome == Outcome::Rejected && self.probes.is_forbidden => {
                self.enqueue(now, request_id)
            }
            false => self.sample(now, request_id),
        }
        if is_completed {
            self.probe_for_queue(now, attempt.executor);
        }
    }

    /// Applies an outcome to the scores of the executor and to the reuse of connections.
    fn apply_outcome(&mut self, now: Millis, class: RequestClassId, attempt: &Attempt, outcome: Outcome) {
        let executor = attempt.executor;
        match outcome {
            Outcome::Reset if self.connection_reuse.was_stale(attempt, now) => {
                self.block_idle_reuse(now, Observer::ThisNode)
            }
            // Requests are only dispatched to executors that show free capacity, so a rejection means that the report
            // was wrong.
            Outcome::Rejected => self.gossip.extend(self.fleet.record_rejection(now, executor, class)),
            Outcome::Completed | Outcome::NotSent | Outcome::Cancelled => {}
            _ => self.fleet.record_fault(now, executor),
        }
        if !outcome.never_ran()
            && let Some(state) = self.fleet.executors.state_mut(executor)
        {
            state.last_used = now;
        }
    }

    fn observe_running_time(&mut self, now: Millis, class: RequestClassId, attempt: &Attempt) {
        let started_at = self.fleet.executors.state(attempt.executor).endpoint.started_at;
        let scale = self.fleet.slow_start.response_time_scale(started_at, attempt.sent_at);
        let class = &mut self.classes[class];
        let mean_running_time = &mut self.fleet.executors.mean_running_time;
        let relative = running_time::observe(class, mean_running_time, attempt, now, scale);
        self.fleet.record_response_time(now, attempt.executor, relative);
        self.admission.record_end(class, now - attempt.sent_at);
    }

    /// Blocks the reuse of idle connections, and notifies the peers if this node observed the broken connection.
    pub(super) fn block_idle_reuse(&mut self, now: Millis, observer: Observer) {
        if let ReuseBlock::Began { max_idle_time } = self.connection_reuse.block(now) {
            self.log.push(LogEvent::IdleConnectionsLost { max_idle_time });
            if observer == Observer::ThisNode {
                self.gossip.push(GossipMessage::IdleConnectionLost);
            }
        }
    }

    /// Handles a request whose last attempt was not reported as started in time. Without probes this lowers the
    /// admitted share; otherwise the executor is probed to find out whether the attempt was lost.
    pub(super) fn on_start_overdue(&mut self, now: Millis, request_id: RequestId, executor: ExecutorId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        if request.attempts.last().is_none_or(|last| last.started_at.is_some()) {
            return;
        }
        match self.probes.is_forbidden {
            true => self.admission.record_late_start(),
            false => self.probe(now, request_id, vec![executor]),
        }
    }

    /// Completes a start check with the executor's report, if there is one. A lost attempt is hedged; any other is
    /// left to run.
    pub(super) fn hedge_if_lost(&mut self, now: Millis, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let Some(&attempt) = request.attempts.last() else { return };
        if !start_check::is_lost(request) {
            return self.await_attempts(request_id);
        }
        if self.connection_reuse.explains_lost_attempt(&attempt, now) {
            self.block_idle_reuse(now, Observer::ThisNode);
        } else {
            let rejection = self.fleet.record_rejection(now, attempt.executor, request.class);
            self.gossip.extend(rejection);
        }
        self.sample(now, request_id)
    }

    /// Adds an attempt of an earlier process to its request, which then waits for its end.
    pub(super) fn on_attempt_recovered(
        &mut self,
        now: Millis,
        request_id: RequestId,
        executor: ExecutorId,
        sent_at: Millis,
    ) {
        if self.fleet.executors.count_if_stale(executor) {
            return;
        }
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let endpoint = &self.fleet.executors.state(executor).endpoint;
        // A later incarnation need not run in the domain of the one that received the attempt.
        let domain = match endpoint.has_started_after(sent_at) {
            true => DeduplicationDomain::default(),
            false => endpoint.deduplication_domain(),
        };
        request.attempts.push(Attempt::new(executor, domain, sent_at, f64::INFINITY));
        // The request was sampled for at its arrival, before its attempt was reported; that round does not count.
        request.sampling_rounds = 0;
        let slots = request.slots;
        self.fleet.executors.record_slot_change(now, executor, slots);
        self.await_attempts(request_id);
    }
}
