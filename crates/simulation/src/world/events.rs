//! What is scheduled in the world, and which part of the world each event goes to.
use super::World;
use troutknot::{AttemptId, Event, ExecutorId, ListUpdate, LoadReport, Outcome, ProbeReply, RequestId};
use troutknot_emulator::Millis;

/// An event in the queue. `node` and `life` name one process of a node: what was meant for an earlier one is dropped.
#[derive(Clone, Copy)]
pub(super) enum WorldEvent {
    /// The step of the plan with this number is due.
    Step(u32),
    /// The request of the plan with this number is due.
    Request(u32),
    /// A client asks again.
    Retry { request: u32, attempt: u32 },
    /// The last byte of a request reaches a node.
    Arrives { node: u32, life: u32, request: u32, attempt: u32 },
    /// A client gives up a request that is open at a node.
    Leaves { node: u32, life: u32, request_id: RequestId },
    /// An answer reaches its client.
    Answered { request: u32, attempt: u32, status: u16, come_back: Option<Millis> },
    /// An executor may have something to report.
    ExecutorDue(u32),
    /// The last byte of an allocation reaches its executor.
    Sent { node: u32, life: u32, request_id: RequestId, out: InTransit },
    /// A node learns how an allocation ended.
    Ended { node: u32, life: u32, request_id: RequestId, attempt_id: AttemptId, outcome: Outcome },
    /// The time limit of an allocation is over.
    Cut { node: u32, life: u32, request_id: RequestId, attempt_id: AttemptId },
    /// An executor sees that the connection of an allocation was closed.
    GivenUp { executor: u32, key: u64 },
    /// A probe reaches its executor.
    Asked { node: u32, life: u32, executor: ExecutorId },
    /// The answer to a probe, or its absence, reaches the node.
    Probed { node: u32, life: u32, executor: ExecutorId, answered: bool, lag: Millis, reading: LoadReport },
    /// A node's timer fires.
    Wake { node: u32, life: u32 },
    /// A change reaches a node's agent.
    Hears { node: u32, executor: u32, listing: u32 },
    /// A node notices that its watch of the list broke off.
    ListLost { node: u32, life: u32 },
    /// A node follows the list again.
    Follows { node: u32, life: u32 },
    /// The front puts a node into its rotation, or takes it out.
    TakenIn { node: u32, taken_in: bool },
}

/// An allocation on its way to its executor.
#[derive(Clone, Copy)]
pub(super) struct InTransit {
    pub attempt_id: AttemptId,
    pub executor: u32,
    pub key: u64,
}

/// The node and work unit that an allocation at an executor belongs to.
#[derive(Clone, Copy)]
pub(super) struct Origin {
    pub node: u32,
    pub life: u32,
    pub request_id: RequestId,
    pub attempt_id: AttemptId,
}

impl World<'_> {
    /// Handles an event that is due.
    pub(super) fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Step(number) => self.step(number as usize),
            WorldEvent::Request(number) => self.request_is_due(number),
            WorldEvent::Retry { request, attempt } => self.send_request(request, attempt),
            WorldEvent::Arrives { node, life, request, attempt } => {
                if !self.is_current(node, life) {
                    return self.request_cut(request, attempt);
                }
                self.request_arrives(node as usize, request, attempt);
            }
            WorldEvent::Leaves { node, life, request_id } => {
                if self.is_current(node, life) {
                    self.client_leaves(node as usize, request_id);
                }
            }
            WorldEvent::Answered { request, attempt, status, come_back } => {
                self.answer_arrives(request, attempt, status, come_back);
            }
            WorldEvent::ExecutorDue(number) => self.check_executor(number as usize),
            WorldEvent::Sent { node, life, request_id, out } => {
                self.allocation_sent(event, node, life, request_id, out)
            }
            WorldEvent::Ended { node, life, request_id, attempt_id, outcome } => {
                if self.is_current(node, life) {
                    self.attempt_ended(node as usize, request_id, attempt_id, outcome);
                }
            }
            WorldEvent::Cut { node, life, request_id, attempt_id } => {
                if self.is_current(node, life) && self.give_up(node as usize, request_id, attempt_id) {
                    self.attempt_ended(node as usize, request_id, attempt_id, Outcome::TimedOut);
                }
            }
            WorldEvent::GivenUp { executor, key } => self.allocation_given_up(executor as usize, key),
            WorldEvent::Asked { node, life, executor } => self.probe_arrives(node, life, executor),
            WorldEvent::Probed { node, life, executor, answered, lag, reading } => {
                if self.is_current(node, life) {
                    let reply = answered.then_some(ProbeReply { latency: lag, report: reading });
                    self.tell(node as usize, Event::ProbeCompleted { executor, reply });
                }
            }
            WorldEvent::Wake { node, life } => {
                if self.is_current(node, life) {
                    self.timer_fires(node as usize);
                }
            }
            WorldEvent::Hears { node, executor, listing } => {
                self.hears(node as usize, executor as usize, listing)
            }
            WorldEvent::ListLost { node, life } => {
                if self.is_current(node, life) {
                    self.list_lost(node as usize);
                }
            }
            WorldEvent::Follows { node, life } => {
                if self.is_current(node, life) {
                    self.tell_list(node as usize, ListUpdate::Delta);
                }
            }
            WorldEvent::TakenIn { node, taken_in } => self.front_learns(node as usize, taken_in),
        }
    }

    /// Whether this process of a node still runs.
    fn is_current(&self, node: u32, life: u32) -> bool {
        let node = &self.nodes[node as usize];
        node.up && node.life == life
    }
}
