//! The events of the simulated world, and the handler of each.
use super::World;
use troutknot::{AttemptId, Event, ExecutorId, ListUpdate, LoadReport, Outcome, ProbeReply, RequestId};
use troutknot_emulator::Millis;

/// An event in the queue. `node` and `incarnation` identify one process of a node: events for an earlier process are
/// dropped. Requests, executors and steps are indices into the plan.
#[derive(Clone, Copy)]
pub(super) enum WorldEvent {
    /// A step of the plan is due.
    StepDue(u32),
    /// A request of the plan is due.
    RequestDue(u32),
    /// A client retries a request.
    RetryDue { request: u32, client_attempt: u32 },
    /// The last byte of a request reaches a node.
    RequestReceived { node: u32, incarnation: u32, request: u32, client_attempt: u32 },
    /// A client disconnects from a node before the answer.
    ClientDisconnected { node: u32, incarnation: u32, request_id: RequestId },
    /// An answer reaches its client.
    AnswerReceived { request: u32, client_attempt: u32, status: u16, retry_after: Option<Millis> },
    /// An executor may have output.
    ExecutorPollDue(u32),
    /// The last byte of an attempt reaches its executor.
    DispatchReceived { node: u32, incarnation: u32, request_id: RequestId, attempt: AttemptInTransit },
    /// The end of an attempt reaches its node.
    AttemptEnded {
        node: u32,
        incarnation: u32,
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
    },
    /// The deadline of an attempt expires.
    AttemptTimedOut { node: u32, incarnation: u32, request_id: RequestId, attempt_id: AttemptId },
    /// The closing of an attempt's connection reaches its executor.
    AttemptCancelled { executor: u32, key: u64 },
    /// A probe reaches its executor.
    ProbeReceived { node: u32, incarnation: u32, executor: ExecutorId },
    /// The reply to a probe, or its failure, reaches the node.
    ProbeCompleted {
        node: u32,
        incarnation: u32,
        executor: ExecutorId,
        is_answered: bool,
        latency: Millis,
        report: LoadReport,
    },
    /// A node's timer expires.
    TimerExpired { node: u32, incarnation: u32 },
    /// A changed entry reaches a node's agent.
    EntryReceived { node: u32, executor: u32, entry: u32 },
    /// A node detects that its discovery watch is lost.
    WatchLost { node: u32, incarnation: u32 },
    /// A node's discovery watch is open again.
    WatchOpened { node: u32, incarnation: u32 },
    /// A health check of the front changes whether a node is in rotation.
    HealthChecked { node: u32, is_accepting: bool },
}

/// An attempt on its way to its executor.
#[derive(Clone, Copy)]
pub(super) struct AttemptInTransit {
    pub attempt_id: AttemptId,
    pub executor: u32,
    pub key: u64,
}

/// The node process and request that an attempt at an executor belongs to.
#[derive(Clone, Copy)]
pub(super) struct AttemptOrigin {
    pub node: u32,
    pub incarnation: u32,
    pub request_id: RequestId,
    pub attempt_id: AttemptId,
}

impl World<'_> {
    /// Handles an event that is due.
    pub(super) fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::StepDue(step) => self.apply_step(step as usize),
            WorldEvent::RequestDue(request) => self.start_request(request),
            WorldEvent::RetryDue { request, client_attempt } => self.send_request(request, client_attempt),
            WorldEvent::RequestReceived { node, incarnation, request, client_attempt } => {
                if !self.is_running(node, incarnation) {
                    return self.lose_client_connection(request, client_attempt);
                }
                self.receive_request(node as usize, request, client_attempt);
            }
            WorldEvent::ClientDisconnected { node, incarnation, request_id } => {
                if self.is_running(node, incarnation) {
                    self.disconnect_client(node as usize, request_id);
                }
            }
            WorldEvent::AnswerReceived { request, client_attempt, status, retry_after } => {
                self.receive_answer(request, client_attempt, status, retry_after);
            }
            WorldEvent::ExecutorPollDue(executor) => self.poll_executor(executor as usize),
            WorldEvent::DispatchReceived { node, incarnation, request_id, attempt } => {
                self.receive_dispatch(event, node, incarnation, request_id, attempt)
            }
            WorldEvent::AttemptEnded { node, incarnation, request_id, attempt_id, outcome } => {
                if self.is_running(node, incarnation) {
                    self.end_attempt(node as usize, request_id, attempt_id, outcome);
                }
            }
            WorldEvent::AttemptTimedOut { node, incarnation, request_id, attempt_id } => {
                if self.is_running(node, incarnation)
                    && self.cancel_attempt(node as usize, request_id, attempt_id)
                {
                    self.end_attempt(node as usize, request_id, attempt_id, Outcome::TimedOut);
                }
            }
            WorldEvent::AttemptCancelled { executor, key } => {
                self.receive_cancellation(executor as usize, key)
            }
            WorldEvent::ProbeReceived { node, incarnation, executor } => {
                self.receive_probe(node, incarnation, executor)
            }
            WorldEvent::ProbeCompleted { node, incarnation, executor, is_answered, latency, report } => {
                if self.is_running(node, incarnation) {
                    let reply = is_answered.then_some(ProbeReply { latency, report });
                    self.notify_node(node as usize, Event::ProbeCompleted { executor, reply });
                }
            }
            WorldEvent::TimerExpired { node, incarnation } => {
                if self.is_running(node, incarnation) {
                    self.fire_timer(node as usize);
                }
            }
            WorldEvent::EntryReceived { node, executor, entry } => {
                self.receive_entry(node as usize, executor as usize, entry)
            }
            WorldEvent::WatchLost { node, incarnation } => {
                if self.is_running(node, incarnation) {
                    self.lose_watch(node as usize);
                }
            }
            WorldEvent::WatchOpened { node, incarnation } => {
                if self.is_running(node, incarnation) {
                    self.send_list(node as usize, ListUpdate::Delta);
                }
            }
            WorldEvent::HealthChecked { node, is_accepting } => {
                self.update_rotation(node as usize, is_accepting)
            }
        }
    }

    /// Whether a process of a node still runs.
    fn is_running(&self, node: u32, incarnation: u32) -> bool {
        let node = &self.nodes[node as usize];
        node.is_up && node.incarnation == incarnation
    }
}
