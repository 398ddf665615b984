//! Builds [`Observations`] from the recorded events of a rehearsal.
use super::facts::Facts;
use super::observations::{Answer, Attempt, ClientAttempt, Disconnect, HotRestart, Link, Observations};
use super::timeline::Timeline;
use super::violation::{RuleViolation, ViolationKind};
use troutknot_emulator::observations::{AttemptNumber, ListedState, NodeNumber, Observation};
use troutknot_emulator::{AttemptOutcome, Millis};

impl Observations {
    /// Builds the observations from the recorded events, which must be in the order of time.
    pub fn from_events(facts: &Facts, events: &[(Millis, Observation)]) -> Self {
        let mut observations = Observations::default();
        for (at, event) in events {
            observations.record(facts, *at, event);
        }
        observations.readiness.values_mut().for_each(Timeline::sort);
        observations
    }

    fn record(&mut self, facts: &Facts, at: Millis, event: &Observation) {
        match event {
            Observation::RequestSent { .. }
            | Observation::RequestAnswered { .. }
            | Observation::ClientDisconnected { .. }
            | Observation::ConnectionLost { .. }
            | Observation::ConnectFailed { .. } => self.record_client_event(at, event),
            Observation::Received { .. }
            | Observation::UnknownRequest { .. }
            | Observation::NotStarted { .. }
            | Observation::ErrorAnswered { .. }
            | Observation::Started { .. }
            | Observation::Ended { .. }
            | Observation::Cancelled { .. } => self.record_attempt_event(facts, at, event),
            Observation::ExecutorUp { .. }
            | Observation::Overloaded { .. }
            | Observation::AgentUpdated { .. }
            | Observation::NodeNotified { .. } => self.record_executor_event(facts, at, event),
            Observation::ExecutorSuspended { .. }
            | Observation::NodeDrained { .. }
            | Observation::HotRestartBegan { .. }
            | Observation::HotRestartEnded { .. }
            | Observation::MaxAttemptsChanged { .. }
            | Observation::AdminCallFailed { .. }
            | Observation::HealthChecked { .. } => self.record_operator_event(at, event),
            Observation::NodeStarted { .. }
            | Observation::NodeTerminating { .. }
            | Observation::NodeKilled { .. }
            | Observation::NodeExited { .. } => self.record_node_event(at, event),
            Observation::ExecutorDown { .. }
            | Observation::NodeReloaded { .. }
            | Observation::FaultBegan { .. }
            | Observation::FaultEnded { .. } => {}
        }
    }

    fn record_client_event(&mut self, at: Millis, event: &Observation) {
        match event {
            Observation::RequestSent { id, request, node, .. } => {
                // A request is sent again if its connection turns out to be closed before the first write.
                self.client_attempts
                    .entry(id.clone())
                    .or_insert_with(|| ClientAttempt::new(*request, *node, at))
                    .node = *node;
            }
            Observation::RequestAnswered { id, status, is_valid, .. } => {
                let answer = Answer { at, status: *status, is_valid: *is_valid };
                self.update_client_attempt(id, |attempt| _ = attempt.answer.get_or_insert(answer));
            }
            Observation::ClientDisconnected { id } => {
                self.update_client_attempt(id, |attempt| attempt.abandoned_at = Some(at));
            }
            Observation::ConnectionLost { id, reused } => {
                let disconnect = Disconnect { at, was_reused: *reused };
                self.update_client_attempt(id, |attempt| attempt.disconnect = Some(disconnect));
            }
            Observation::ConnectFailed { .. } => self.connect_failures.push(at),
            _ => {}
        }
    }

    fn record_attempt_event(&mut self, facts: &Facts, at: Millis, event: &Observation) {
        match event {
            Observation::Received { executor, attempt_id, id, first_byte, slots, work } => {
                self.update_client_attempt(id, |attempt| attempt.attempts.push(*attempt_id));
                let attempt = Attempt {
                    request_id: id.clone(),
                    executor: *executor,
                    first_byte_at: *first_byte,
                    received_at: at,
                    slots: *slots,
                    work: *work,
                    unexecuted_since: None,
                    was_started: false,
                    was_completed: false,
                    ended_at: None,
                };
                self.attempts.insert(*attempt_id, attempt);
            }
            Observation::UnknownRequest { executor, id } => {
                let description =
                    format!("{} got `{id}`, which no client sent", facts.executor_name(*executor));
                self.add_violation(ViolationKind::UnknownRequestId, at, description);
            }
            Observation::NotStarted { attempt_id } => {
                self.end_attempt(*attempt_id, at, AttemptOutcome::Returned)
            }
            Observation::ErrorAnswered { attempt_id } | Observation::Cancelled { attempt_id } => {
                self.end_attempt(*attempt_id, at, AttemptOutcome::Lost);
            }
            Observation::Started { attempt_id } => {
                if let Some(attempt) = self.attempts.get_mut(attempt_id) {
                    attempt.was_started = true;
                }
            }
            Observation::Ended { attempt_id, outcome } => self.end_attempt(*attempt_id, at, *outcome),
            _ => {}
        }
    }

    fn record_executor_event(&mut self, facts: &Facts, at: Millis, event: &Observation) {
        match event {
            Observation::ExecutorUp { executor } => self.starts.entry(*executor).or_default().push(at),
            Observation::Overloaded { .. } => self.overload_failures += 1,
            Observation::AgentUpdated { node, executor, state } if *state != ListedState::Ready => {
                let link = Link { node: *node, executor: *executor };
                // A node that does not read the change counts as notified after the timeout.
                let notified_at = at + facts.notification_timeout;
                self.readiness.entry(link).or_default().push(notified_at, false);
            }
            Observation::NodeNotified { node, executor, state } => {
                let link = Link { node: *node, executor: *executor };
                let readiness = self.readiness.entry(link).or_default();
                let is_ready = *state == ListedState::Ready;
                if is_ready {
                    // The notice supersedes earlier changes that have not reached their timeout yet.
                    readiness.truncate_after(at);
                }
                readiness.push(at, is_ready);
            }
            _ => {}
        }
    }

    fn record_operator_event(&mut self, at: Millis, event: &Observation) {
        match event {
            Observation::ExecutorSuspended { node, executor, suspended } => {
                let link = Link { node: *node, executor: *executor };
                self.exclusions.entry(link).or_default().push(at, *suspended);
            }
            Observation::NodeDrained { node, drained } => {
                self.drained.entry(*node).or_default().push(at, *drained)
            }
            Observation::HotRestartBegan { node } => {
                self.hot_restarts.push(HotRestart { node: *node, began_at: at, ended_at: f64::INFINITY });
            }
            Observation::HotRestartEnded { node } => {
                if let Some(last) = self.hot_restarts.iter_mut().rfind(|restart| restart.node == *node) {
                    last.ended_at = at;
                }
            }
            Observation::MaxAttemptsChanged { max_attempts } => {
                self.max_attempts.push(at, *max_attempts as usize)
            }
            Observation::AdminCallFailed { node, status } => {
                let description = format!("node n{node} answered a call {status:?}, or not in time");
                self.add_violation(ViolationKind::CallFailed, at, description);
            }
            Observation::HealthChecked { node, status } => self.check_health(at, *node, *status),
            _ => {}
        }
    }

    fn record_node_event(&mut self, at: Millis, event: &Observation) {
        match event {
            Observation::NodeStarted { node } => self.reset_operator_state(at, *node),
            Observation::NodeTerminating { node } => _ = self.exit_requests.insert(*node),
            Observation::NodeKilled { node } => self.record_kill(at, *node),
            Observation::NodeExited { node, is_clean } => self.check_exit(at, *node, *is_clean),
            _ => {}
        }
    }

    /// Only a kill without notice excuses missing responses; a node that was asked to exit must have answered its
    /// requests before it is killed.
    fn record_kill(&mut self, at: Millis, node: NodeNumber) {
        if !self.exit_requests.remove(&node) {
            self.kills.entry(node).or_default().push(at);
        }
    }

    fn check_exit(&mut self, at: Millis, node: NodeNumber, is_clean: bool) {
        let was_asked = self.exit_requests.remove(&node);
        if was_asked && is_clean {
            return;
        }
        let manner = if is_clean { "unasked" } else { "badly" };
        let description = format!("node n{node} ended by itself, {manner}");
        self.add_violation(ViolationKind::NodeCrashed, at, description);
    }

    /// A process that replaces no running one starts without the operators' earlier calls.
    fn reset_operator_state(&mut self, at: Millis, node: NodeNumber) {
        for (link, exclusion) in &mut self.exclusions {
            if link.node == node {
                exclusion.push(at, false);
            }
        }
        self.drained.entry(node).or_default().push(at, false);
    }

    fn check_health(&mut self, at: Millis, node: NodeNumber, status: Option<u16>) {
        let is_drained =
            self.drained.get(&node).is_some_and(|drained| drained.holds_since(true, at).is_some());
        let is_healthy = status == Some(200);
        if is_drained != is_healthy {
            return;
        }
        let kind = if is_drained { ViolationKind::ReadyWhileDrained } else { ViolationKind::NotReadyAgain };
        self.add_violation(kind, at, format!("the health of node n{node} answered {status:?}"));
    }

    fn add_violation(&mut self, kind: ViolationKind, at: Millis, description: String) {
        self.violations.push(RuleViolation::new(kind, at, description));
    }

    fn update_client_attempt(&mut self, id: &str, update: impl FnOnce(&mut ClientAttempt)) {
        if let Some(attempt) = self.client_attempts.get_mut(id) {
            update(attempt);
        }
    }

    fn end_attempt(&mut self, attempt_id: AttemptNumber, at: Millis, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return };
        attempt.ended_at.get_or_insert(at);
        match outcome {
            AttemptOutcome::Done => attempt.was_completed = true,
            AttemptOutcome::Returned => attempt.unexecuted_since = Some(at),
            AttemptOutcome::Lost | AttemptOutcome::Reset => {}
        }
    }
}
