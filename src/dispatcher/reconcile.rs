//! Reconciles the desired state of requests, probes and timers with what is under way. All actions originate here.
use super::Dispatcher;
use crate::action::Action;
use crate::ids::{ExecutorId, RequestId};
use crate::policy::retry::RetryPolicy;
use crate::state::executor_state::ExecutorState;
use crate::state::request::{Attempt, DesiredState, Request};
use crate::time::Millis;

impl Dispatcher {
    /// Appends the actions that result from all events since the last call.
    pub fn poll_actions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.discovery.start_due_call(now) {
            actions.push(Action::WatchEndpoints);
        }
        for request_id in std::mem::take(&mut self.dirty) {
            self.reconcile(now, request_id, actions);
        }
        self.start_probes(actions);
        let gossip_enabled = self.gossip_enabled;
        actions.extend(self.gossip.drain(..).filter(|_| gossip_enabled).map(Action::Gossip));
        self.reclaim(now, actions);
        self.set_timer(actions);
        actions.extend(self.log.drain(..).map(Action::Log));
    }

    fn reconcile(&mut self, now: Millis, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&request_id) else { return };
        match request.desired {
            DesiredState::Dispatched { executor, deadline, attempts }
                if request.attempts.len() < attempts =>
            {
                self.start_attempt(now, request_id, executor, deadline, actions)
            }
            DesiredState::Probing | DesiredState::Queued | DesiredState::Dispatched { .. } => {}
            DesiredState::Rejected { retry_after } => {
                self.remove_request(request_id);
                actions.push(Action::Reject { request_id, retry_after })
            }
            DesiredState::Failed => {
                self.remove_request(request_id);
                actions.push(Action::Fail { request_id })
            }
        }
    }

    fn start_attempt(
        &mut self,
        now: Millis,
        request_id: RequestId,
        executor: ExecutorId,
        attempt_deadline: Millis,
        actions: &mut Vec<Action>,
    ) {
        let state = self.fleet.executors.state(executor);
        let (idle_time, domain) = (now - state.last_used, state.endpoint.deduplication_domain());
        if self.connection_reuse.must_close_idle(idle_time, now) {
            actions.push(Action::CloseIdleConnections { executor });
        }
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let class = &self.classes[request.class];
        let send_deadline = RetryPolicy::send_deadline(class, &request.attempts, attempt_deadline);
        request.attempts.push(Attempt::new(executor, domain, now, idle_time));
        actions.push(Action::Dispatch { request_id, executor, attempt_deadline, send_deadline });
    }

    /// Starts the due probes that a request still awaits.
    fn start_probes(&mut self, actions: &mut Vec<Action>) {
        for executor in std::mem::take(&mut self.due_probes) {
            let is_awaited =
                |state: &&mut ExecutorState| !state.is_probe_in_flight && !state.awaiting_probe.is_empty();
            if let Some(state) = self.fleet.executors.state_mut(executor).filter(is_awaited) {
                state.is_probe_in_flight = true;
                actions.push(Action::Probe { executor });
            }
        }
    }

    /// Releases the executors that are gone and no longer needed, if a check is due.
    fn reclaim(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.fleet.executors.reclaim_at() {
            return;
        }
        let spent_since = self.fleet.slow_start.window_start(now);
        let referenced = self.requests.values().flat_map(Request::referenced_executors);
        let released = self.fleet.executors.reclaim(now, spent_since, referenced);
        actions.extend(released.into_iter().map(|executor| Action::ReleaseExecutor { executor }));
    }

    /// Sets the host's timer if the next due time is earlier than the time for which it is set.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let next_call_at = self.discovery.next_call_at;
        let next = self.timers.next_due_at().min(next_call_at).min(self.fleet.executors.reclaim_at());
        actions.extend(self.timers.arm_host_timer(next).map(|at| Action::SetTimer { at }));
    }
}
