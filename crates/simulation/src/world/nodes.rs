//! Nodes: their processes, the events that their decision modules receive, and the resulting actions.
use super::events::{AttemptInTransit, WorldEvent};
use super::{DEADLINE_MARGIN, HEALTH_CHECK_INTERVAL, NETWORK_LATENCY, PLAN_START, WATCH_IDLE_TIMEOUT, World};
use crate::node::{ExecutorIds, InFlightAttempt, Node, OpenRequest};
use troutknot::{
    Action, AttemptId, Event, ExecutorId, ListUpdate, Outcome, RequestClassId, RequestId, TenantId,
};
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{NodeNumber, Observation};
use troutknot_rehearsal::scenario::millis;

/// Upper bound on the deadline margin, as a share of the time until the deadline.
const MAX_DEADLINE_MARGIN_SHARE: f64 = 0.2;

impl World<'_> {
    /// Starts a process of a node: its first one, or the next one after a restart.
    pub(super) fn start_node(&mut self, node: usize) {
        let incarnation = self.nodes.get(node).map_or(0, |previous| previous.incarnation + 1);
        let seed = self.plan.seed ^ (node as u64) << 32 ^ u64::from(incarnation) << 48;
        let process = Node {
            module: (self.create_module)(&self.settings[node], seed, self.now),
            is_up: true,
            is_terminating: false,
            incarnation,
            open_requests: Default::default(),
            next_request_id: 0,
            timer_at: f64::INFINITY,
            executor_ids: ExecutorIds::new(self.plan.executors.len()),
            send_stops_at: vec![f64::INFINITY; self.plan.executors.len()],
            is_in_rotation: self.nodes.get(node).is_some_and(|previous| previous.is_in_rotation),
        };
        if node < self.nodes.len() {
            self.nodes[node] = process;
            let checked = WorldEvent::HealthChecked { node: node as u32, is_accepting: true };
            self.queue.schedule(self.now + HEALTH_CHECK_INTERVAL, checked);
        } else {
            self.nodes.push(process);
        }
        self.record(Observation::NodeStarted { node: node as NodeNumber });
        self.send_list(node, ListUpdate::Snapshot);
    }

    /// Passes an event to the decision module of a node, and executes the resulting actions.
    pub(super) fn notify_node(&mut self, node: usize, event: Event) {
        let now = self.now;
        self.nodes[node].module.handle_event(now, event);
        let mut actions = std::mem::take(&mut self.actions);
        self.nodes[node].module.poll_actions(now, &mut actions);
        self.counts.decisions += 1;
        for action in actions.drain(..) {
            self.execute_action(node, action);
        }
        self.actions = actions;
    }

    /// Executes an action of a node's decision module.
    fn execute_action(&mut self, node: usize, action: Action) {
        let (now, incarnation, number) = (self.now, self.nodes[node].incarnation, node as u32);
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, .. } => {
                self.dispatch(node, request_id, executor, attempt_deadline)
            }
            Action::Cancel { request_id, attempt_id } => {
                if self.cancel_attempt(node, request_id, attempt_id) {
                    let outcome = Outcome::Cancelled;
                    self.queue.schedule(
                        now,
                        WorldEvent::AttemptEnded {
                            node: number,
                            incarnation,
                            request_id,
                            attempt_id,
                            outcome,
                        },
                    );
                }
            }
            Action::Reject { request_id, retry_after } => {
                self.answer_client(node, request_id, 503, retry_after)
            }
            Action::Fail { request_id } => self.answer_client(node, request_id, 502, None),
            Action::Probe { executor } => {
                self.counts.probes += 1;
                let received = WorldEvent::ProbeReceived { node: number, incarnation, executor };
                self.queue.schedule(now + NETWORK_LATENCY, received);
            }
            Action::SetTimer { at } => {
                let at = at.max(now);
                if at < self.nodes[node].timer_at {
                    self.nodes[node].timer_at = at;
                    self.queue.schedule(at, WorldEvent::TimerExpired { node: number, incarnation });
                }
            }
            Action::WatchEndpoints => {
                let (at, event) = if self.is_discovery_silent {
                    (now + WATCH_IDLE_TIMEOUT, WorldEvent::WatchLost { node: number, incarnation })
                } else {
                    (now + 2.0 * NETWORK_LATENCY, WorldEvent::WatchOpened { node: number, incarnation })
                };
                self.queue.schedule(at, event);
            }
            Action::ReleaseExecutor { executor } => self.nodes[node].executor_ids.release(executor),
            // Connections to executors are never lost here, and the settings of the nodes disable gossip.
            Action::CloseIdleConnections { .. } | Action::Gossip(_) | Action::Log(_) => {}
        }
    }

    /// Sends an attempt of a request to an executor.
    fn dispatch(
        &mut self,
        node: usize,
        request_id: RequestId,
        executor: ExecutorId,
        attempt_deadline: Millis,
    ) {
        let sender = &mut self.nodes[node];
        let Some(executor) = sender.executor_ids.index(executor) else { return };
        let Some(open) = sender.open_requests.get_mut(&request_id) else { return };
        let (attempt_id, key) = (AttemptId(open.attempt_count), self.next_attempt_key);
        let timeout_at = attempt_deadline.min(open.deadline);
        self.next_attempt_key += 1;
        open.attempt_count += 1;
        open.in_flight = Some(InFlightAttempt { attempt_id, executor, key });
        let (incarnation, node) = (sender.incarnation, node as u32);
        let attempt = AttemptInTransit { attempt_id, executor: executor as u32, key };
        self.queue.schedule(
            self.now + NETWORK_LATENCY,
            WorldEvent::DispatchReceived { node, incarnation, request_id, attempt },
        );
        let timed_out = WorldEvent::AttemptTimedOut { node, incarnation, request_id, attempt_id };
        self.queue.schedule(timeout_at, timed_out);
    }

    /// Closes the connection of an attempt, which its executor notices one network latency later. Returns false if the
    /// attempt is not in flight.
    pub(super) fn cancel_attempt(
        &mut self,
        node: usize,
        request_id: RequestId,
        attempt_id: AttemptId,
    ) -> bool {
        let Some(open) = self.nodes[node].open_requests.get(&request_id) else { return false };
        let in_flight = open.in_flight.filter(|attempt| attempt.attempt_id == attempt_id);
        let Some(attempt) = in_flight else { return false };
        let cancelled = WorldEvent::AttemptCancelled { executor: attempt.executor as u32, key: attempt.key };
        self.queue.schedule(self.now + NETWORK_LATENCY, cancelled);
        true
    }

    /// Sends the final answer of a node to the client if the client is still waiting.
    fn answer_client(
        &mut self,
        node: usize,
        request_id: RequestId,
        status: u16,
        retry_after: Option<Millis>,
    ) {
        let Some(open) = self.nodes[node].open_requests.get_mut(&request_id) else { return };
        let (request, client_attempt) = (open.request, open.client_attempt);
        let is_client_waiting = std::mem::replace(&mut open.is_client_waiting, false);
        if open.in_flight.is_none() {
            self.nodes[node].open_requests.remove(&request_id);
        }
        if is_client_waiting {
            let received = WorldEvent::AnswerReceived { request, client_attempt, status, retry_after };
            self.queue.schedule(self.now + NETWORK_LATENCY, received);
        }
    }

    /// Handles a request that reaches a node.
    pub(super) fn receive_request(&mut self, node: usize, request: u32, client_attempt: u32) {
        let planned = &self.plan.requests[request as usize];
        let class = self.request_classes[planned.request_class];
        let timeout = millis(class.deadline);
        let time_left = timeout - DEADLINE_MARGIN.min(timeout * MAX_DEADLINE_MARGIN_SHARE);
        let request_id = RequestId(self.nodes[node].next_request_id);
        self.nodes[node].next_request_id += 1;
        let open = OpenRequest {
            request,
            client_attempt,
            deadline: self.now + time_left,
            attempt_count: 0,
            in_flight: None,
            is_client_waiting: true,
        };
        self.nodes[node].open_requests.insert(request_id, open);
        if let Some(delay) = planned.disconnects_after {
            let incarnation = self.nodes[node].incarnation;
            self.queue.schedule(
                PLAN_START + planned.at + delay,
                WorldEvent::ClientDisconnected { node: node as u32, incarnation, request_id },
            );
        }
        self.notify_node(
            node,
            Event::RequestArrived {
                request_id,
                class: RequestClassId(planned.request_class as u32),
                tenant: TenantId(planned.tenant as u32),
                slots: class.slots,
                memory: class.memory,
                time_left,
                is_retry: client_attempt > 0,
            },
        );
    }

    /// Passes the end of an attempt to its node, and answers the client if the attempt completed the request.
    pub(super) fn end_attempt(
        &mut self,
        node: usize,
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) {
        let Some(open) = self.nodes[node].open_requests.get_mut(&request_id) else { return };
        if open.in_flight.is_none_or(|attempt| attempt.attempt_id != attempt_id) {
            return;
        }
        open.in_flight = None;
        if outcome == Outcome::Completed && open.is_client_waiting {
            self.answer_client(node, request_id, 200, None);
        }
        let open = self.nodes[node].open_requests.get(&request_id);
        let is_request_closed = open.is_none_or(|open| !open.is_client_waiting);
        if is_request_closed {
            self.nodes[node].open_requests.remove(&request_id);
        }
        self.notify_node(node, Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed });
    }

    /// Fires a node's timer, unless an earlier one has replaced it and has already fired.
    pub(super) fn fire_timer(&mut self, node: usize) {
        if self.nodes[node].timer_at <= self.now {
            self.nodes[node].timer_at = f64::INFINITY;
            self.notify_node(node, Event::TimerFired);
        }
    }

    /// Ends the process of a node and closes all its connections.
    pub(super) fn kill_node(&mut self, node: usize) {
        let number = node as NodeNumber;
        let process = &mut self.nodes[node];
        if !std::mem::replace(&mut process.is_up, false) {
            return;
        }
        let open_requests = std::mem::take(&mut process.open_requests);
        let is_terminating = process.is_terminating;
        self.record(if is_terminating {
            Observation::NodeExited { node: number, is_clean: true }
        } else {
            Observation::NodeKilled { node: number }
        });
        for open in open_requests.into_values() {
            if let Some(attempt) = open.in_flight {
                let cancelled =
                    WorldEvent::AttemptCancelled { executor: attempt.executor as u32, key: attempt.key };
                self.queue.schedule(self.now + NETWORK_LATENCY, cancelled);
            }
            if open.is_client_waiting {
                self.lose_client_connection(open.request, open.client_attempt);
            }
        }
        let detected_at = self.now + millis(self.scenario.front.detection_delay);
        let checked = WorldEvent::HealthChecked { node: node as u32, is_accepting: false };
        self.queue.schedule(detected_at, checked);
    }

    /// Adds a node to the front's rotation or removes it after a health check.
    pub(super) fn update_rotation(&mut self, node: usize, is_accepting: bool) {
        let node = &mut self.nodes[node];
        // A node that is up again before the front detects its failure stays in rotation.
        node.is_in_rotation = if is_accepting { node.is_up } else { node.is_up && !node.is_terminating };
    }
}
