//! Executes the actions that the dispatcher returns.
use super::{Driver, LastDispatch, decision_log};
use crate::in_flight::{Answer, CancelSignal};
use crate::upstream::DispatchOrder;
use std::rc::Rc;
use tokio::time::Instant;
use troutknot::{Action, AttemptId, ExecutorId, GossipMessage, Millis, Outcome, RequestId};

impl Driver {
    pub(super) fn execute_action(&mut self, action: Action) {
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, send_deadline } => {
                self.dispatch(request_id, executor, attempt_deadline, send_deadline);
            }
            Action::Cancel { request_id, attempt_id } => self.cancel(request_id, attempt_id),
            Action::Reject { request_id, retry_after } => {
                self.finish(request_id, Answer::Rejected(retry_after));
            }
            Action::Fail { request_id } => self.finish(request_id, Answer::Failed),
            Action::Probe { executor } => {
                tracing::debug!(executor = %self.executor_name(executor), "probe started");
                self.tasks.spawn(self.executors.clone().probe(executor));
            }
            Action::SetTimer { at } => self.set_timer(at),
            Action::CloseIdleConnections { executor } => self.executors.close_idle_connections(executor),
            Action::Gossip(message) => self.send_gossip(message),
            Action::WatchEndpoints => self.watch_requests.resume.notify_one(),
            Action::ReleaseExecutor { executor } => self.release(executor),
            Action::Log(event) => decision_log::record(event),
        }
    }

    /// Starts an attempt, unless the request was closed after the dispatcher decided on it.
    fn dispatch(
        &mut self,
        request_id: RequestId,
        executor: ExecutorId,
        attempt_deadline: Millis,
        send_deadline: Millis,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let attempt_id = AttemptId(request.attempts);
        request.attempts += 1;
        let cancel_signal: Rc<CancelSignal> = Rc::default();
        if self.is_cancelling {
            cancel_signal.cancel(Outcome::TimedOut);
        }
        // Unused signals fill the indices of the attempts of earlier processes, which cannot be cancelled from here.
        request.cancel_signals.resize_with(attempt_id.0 as usize, Rc::default);
        request.cancel_signals.push(cancel_signal.clone());
        let decided_at = Instant::now();
        request.last_dispatch = Some(LastDispatch { executor, decided_at });
        let in_flight = request.in_flight.clone();
        in_flight.was_dispatched.set(true);
        let name = self.executor_name(executor);
        tracing::debug!(executor = %name, attempt = attempt_id.0, request = request_id.0, "attempt dispatched");
        let deadline = in_flight.deadline;
        let order = DispatchOrder {
            executor,
            executor_name: in_flight.is_durable.get().then(|| name.to_string()),
            attempt_id,
            decided_at,
            incarnation: self.executors.incarnation(executor),
            attempt_deadline: self.clock.instant_of(attempt_deadline).min(deadline),
            send_deadline: self.clock.instant_of(send_deadline).min(deadline),
            cancel_signal,
            in_flight,
        };
        self.tasks.spawn(self.executors.clone().dispatch(order));
    }

    fn cancel(&self, request_id: RequestId, attempt_id: AttemptId) {
        let request = self.requests.get(&request_id);
        let signal = request.and_then(|request| request.cancel_signals.get(attempt_id.0 as usize));
        if let Some(signal) = signal {
            signal.cancel(Outcome::Cancelled);
        }
    }

    /// Answers a request that the dispatcher rejected or failed, and removes it.
    fn finish(&mut self, request_id: RequestId, answer: Answer) {
        let Some(request) = self.requests.remove(&request_id) else { return };
        let class = request.in_flight.request.class.0;
        let attempts = request.attempts;
        match answer {
            Answer::Rejected(_) => {
                tracing::debug!(request = request_id.0, class, attempts, "request rejected");
            }
            _ => tracing::debug!(request = request_id.0, class, attempts, "request failed"),
        }
        request.in_flight.answer(answer);
    }

    /// Schedules a wake-up of the dispatcher. Of several timers, the driver stores only the earliest.
    fn set_timer(&mut self, at: Millis) {
        let at = self.clock.instant_of(at);
        self.next_timer = Some(self.next_timer.map_or(at, |earliest| earliest.min(at)));
    }

    fn send_gossip(&self, message: GossipMessage) {
        if let Some(gossip) = &self.gossip {
            gossip.broadcast(message, self.codec.load().class_names());
        }
    }
}
