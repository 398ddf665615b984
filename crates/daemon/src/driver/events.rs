//! Handles the events of the node and translates them into events of the dispatcher.
use super::{Driver, OpenRequest};
use crate::event::NodeEvent;
use crate::in_flight::{Answer, InFlightRequest};
use crate::units::to_millis;
use std::rc::Rc;
use tokio::time::Instant;
use troutknot::{AttemptId, Event as CoreEvent, ExecutorId, Millis, Outcome, ProbeReply, RequestId};

impl Driver {
    /// Handles one event. The caller polls the dispatcher's actions afterwards.
    pub fn handle_event(&mut self, now: Millis, event: NodeEvent) {
        match event {
            NodeEvent::RequestArrived(in_flight) => self.handle_request(now, in_flight),
            NodeEvent::RequestRecovered(in_flight, attempts) => {
                self.handle_recovered_request(now, in_flight, attempts);
            }
            NodeEvent::ClientDisconnected(request_id) => {
                self.requests.remove(&request_id);
                self.dispatcher.handle_event(now, CoreEvent::RequestWithdrawn { request_id });
            }
            NodeEvent::Core(event) => self.handle_dispatcher_event(now, event),
            NodeEvent::ListReceived(update) => self.handle_endpoint_update(now, update),
            NodeEvent::SetExcluded { executor, is_excluded, origin } => {
                self.set_excluded(now, executor, is_excluded, origin);
            }
            NodeEvent::ExportState => self.export_state(now),
            NodeEvent::SiblingChanged { is_running } => {
                self.dispatcher.handle_event(now, CoreEvent::SiblingChanged { is_running });
            }
            NodeEvent::SettingsChanged(settings) => self.dispatcher.apply_settings(now, &settings),
            NodeEvent::CancelInFlight => self.cancel_in_flight(),
            NodeEvent::ShutDown => self.shut_down(now),
        }
    }

    pub(super) fn handle_request(&mut self, now: Millis, in_flight: Rc<InFlightRequest>) {
        if in_flight.is_closed() {
            return;
        }
        if self.is_shut_down {
            in_flight.answer(self.final_answer(0));
            return;
        }
        let request = &in_flight.request;
        let event = CoreEvent::RequestArrived {
            request_id: in_flight.request_id,
            class: request.class,
            tenant: request.tenant,
            slots: request.slots,
            memory: request.memory,
            time_left: to_millis(in_flight.deadline.saturating_duration_since(Instant::now())),
            is_retry: request.is_retry,
        };
        self.requests.insert(in_flight.request_id, OpenRequest::new(in_flight));
        self.dispatcher.handle_event(now, event);
    }

    fn handle_dispatcher_event(&mut self, now: Millis, event: CoreEvent) {
        match &event {
            CoreEvent::AttemptEnded { request_id, attempt_id, outcome, .. } => {
                return self.handle_attempt_ended(now, *request_id, *attempt_id, *outcome);
            }
            CoreEvent::ProbeCompleted { executor, reply } => self.log_probe(*executor, reply.as_ref()),
            _ => {}
        }
        let is_endpoint_update = matches!(event, CoreEvent::EndpointsUpdated { .. });
        self.dispatcher.handle_event(now, event);
        if is_endpoint_update {
            self.reclaim_handles();
        }
    }

    /// Informs the dispatcher of an attempt's outcome. The upstream task cannot tell whether the request is closed, so
    /// that is determined here.
    fn handle_attempt_ended(
        &mut self,
        now: Millis,
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) {
        self.log_attempt_ended(request_id, attempt_id, outcome);
        let request = self.requests.get(&request_id);
        let is_request_closed = request.is_none_or(|request| request.in_flight.is_closed());
        if is_request_closed {
            self.requests.remove(&request_id);
        }
        let event = CoreEvent::AttemptEnded { request_id, attempt_id, outcome, is_request_closed };
        self.dispatcher.handle_event(now, event);
    }

    fn log_attempt_ended(&self, request_id: RequestId, attempt_id: AttemptId, outcome: Outcome) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let Some(dispatch) = request.last_dispatch else { return };
        tracing::debug!(
            executor = %self.executor_name(dispatch.executor),
            attempt = attempt_id.0,
            ?outcome,
            elapsed_ms = to_millis(dispatch.decided_at.elapsed()),
            request = request_id.0,
            class = request.in_flight.request.class.0,
            "attempt ended"
        );
    }

    fn log_probe(&self, executor: ExecutorId, reply: Option<&ProbeReply>) {
        let executor = self.executor_name(executor);
        let Some(ProbeReply { latency, report }) = reply else {
            tracing::debug!(%executor, "probe failed");
            return;
        };
        tracing::debug!(
            %executor,
            elapsed_ms = latency,
            queue_length = ?report.queue_length,
            free_slots = ?report.free_slots,
            "probe completed"
        );
    }

    /// Cancels the attempts in flight, and any that the dispatcher starts from now on.
    fn cancel_in_flight(&mut self) {
        self.is_cancelling = true;
        let signals = self.requests.values().flat_map(|request| &request.cancel_signals);
        signals.for_each(|signal| signal.cancel(Outcome::TimedOut));
    }

    /// Answers all open requests, and any that arrive from now on.
    fn shut_down(&mut self, now: Millis) {
        self.is_shut_down = true;
        for (request_id, request) in std::mem::take(&mut self.requests) {
            request.in_flight.answer(self.final_answer(request.attempts));
            self.dispatcher.handle_event(now, CoreEvent::RequestWithdrawn { request_id });
        }
    }

    /// The answer to a request that is open when the node shuts down: rejected if no attempt was made, so that the
    /// client may retry it, otherwise failed.
    pub(super) fn final_answer(&self, attempts: u32) -> Answer {
        match attempts {
            0 => Answer::Rejected(Some(to_millis(self.executors.limits.downstream.rejected_retry_after))),
            _ => Answer::Failed,
        }
    }
}
