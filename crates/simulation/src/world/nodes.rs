//! Nodes: their processes, what their dispatchers are told, and the actions that follow.
use super::events::{InTransit, WorldEvent};
use super::{ANSWER_MARGIN, BEGAN, HEALTH_EVERY, LIST_SILENCE, WAY, World};
use crate::node::{Handles, Node, Open, Out};
use troutknot::{
    Action, AttemptId, Event, ExecutorId, ListUpdate, Outcome, RequestClassId, RequestId, TenantId,
};
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{NodeNumber, Observation};
use troutknot_rehearsal::scenario::millis;

impl World<'_> {
    /// Starts a process of a node, the first one or the next.
    pub(super) fn start_node(&mut self, node: usize) {
        let life = self.nodes.get(node).map_or(0, |n| n.life + 1);
        let seed = self.plan.seed ^ (node as u64) << 32 ^ u64::from(life) << 48;
        let fresh = Node {
            module: (self.make)(&self.settings[node], seed, self.now),
            up: true,
            leaving: false,
            life,
            open: Default::default(),
            next_wu: 0,
            wake: f64::INFINITY,
            handles: Handles::new(self.plan.executors.len()),
            shut: vec![f64::INFINITY; self.plan.executors.len()],
            taken_in: self.nodes.get(node).is_some_and(|n| n.taken_in),
        };
        if node < self.nodes.len() {
            self.nodes[node] = fresh;
            self.queue.at(self.now + HEALTH_EVERY, WorldEvent::TakenIn { node: node as u32, taken_in: true });
        } else {
            self.nodes.push(fresh);
        }
        self.note(Observation::NodeStarted { node: node as NodeNumber });
        self.tell_list(node, ListUpdate::Snapshot);
    }

    /// Tells a node something, and takes the actions that follow.
    pub(super) fn tell(&mut self, node: usize, event: Event) {
        let now = self.now;
        self.nodes[node].module.handle_event(now, event);
        let mut actions = std::mem::take(&mut self.actions);
        self.nodes[node].module.poll_actions(now, &mut actions);
        self.counts.decisions += 1;
        for action in actions.drain(..) {
            self.act(node, action);
        }
        self.actions = actions;
    }

    /// Takes an action of a node's dispatcher.
    fn act(&mut self, node: usize, action: Action) {
        let (now, life, number) = (self.now, self.nodes[node].life, node as u32);
        match action {
            Action::Dispatch { request_id, executor, attempt_deadline, .. } => {
                self.push(node, request_id, executor, attempt_deadline)
            }
            Action::Cancel { request_id, attempt_id } => {
                if self.give_up(node, request_id, attempt_id) {
                    let outcome = Outcome::Cancelled;
                    self.queue
                        .at(now, WorldEvent::Ended { node: number, life, request_id, attempt_id, outcome });
                }
            }
            Action::Reject { request_id, retry_after: come_back } => {
                self.answer(node, request_id, 503, come_back)
            }
            Action::Fail { request_id } => self.answer(node, request_id, 502, None),
            Action::Probe { executor } => {
                self.counts.probes += 1;
                self.queue.at(now + WAY, WorldEvent::Asked { node: number, life, executor });
            }
            Action::SetTimer { at } => {
                let at = at.max(now);
                if at < self.nodes[node].wake {
                    self.nodes[node].wake = at;
                    self.queue.at(at, WorldEvent::Wake { node: number, life });
                }
            }
            Action::WatchEndpoints => {
                let (at, event) = if self.silent {
                    (now + LIST_SILENCE, WorldEvent::ListLost { node: number, life })
                } else {
                    (now + 2.0 * WAY, WorldEvent::Follows { node: number, life })
                };
                self.queue.at(at, event);
            }
            // Ways to executors never break here, and its settings let no nodes talk.
            Action::ReleaseExecutor { executor } => self.nodes[node].handles.release(executor),
            Action::CloseIdleConnections { .. } | Action::Gossip(_) | Action::Log(_) => {}
        }
    }

    /// Sends an allocation of a work unit to an executor.
    fn push(&mut self, node: usize, request_id: RequestId, executor: ExecutorId, attempt_deadline: Millis) {
        let sender = &mut self.nodes[node];
        let Some(executor) = sender.handles.number(executor) else { return };
        let Some(open) = sender.open.get_mut(&request_id) else { return };
        let (attempt_id, key, cut) =
            (AttemptId(open.attempts), self.next_key, attempt_deadline.min(open.limit));
        self.next_key += 1;
        open.attempts += 1;
        open.out = Some(Out { attempt_id, executor, key });
        let (life, node) = (sender.life, node as u32);
        let out = InTransit { attempt_id, executor: executor as u32, key };
        self.queue.at(self.now + WAY, WorldEvent::Sent { node, life, request_id, out });
        self.queue.at(cut, WorldEvent::Cut { node, life, request_id, attempt_id });
    }

    /// The connection of an allocation that is out ends; false where none is.
    pub(super) fn give_up(&mut self, node: usize, request_id: RequestId, attempt_id: AttemptId) -> bool {
        let Some(open) = self.nodes[node].open.get(&request_id) else { return false };
        let Some(out) = open.out.filter(|out| out.attempt_id == attempt_id) else { return false };
        self.queue.at(self.now + WAY, WorldEvent::GivenUp { executor: out.executor as u32, key: out.key });
        true
    }

    /// The final answer of a node, if its client still waits.
    fn answer(&mut self, node: usize, request_id: RequestId, status: u16, come_back: Option<Millis>) {
        let Some(open) = self.nodes[node].open.get_mut(&request_id) else { return };
        let (request, attempt) = (open.request, open.attempt);
        let waits = std::mem::replace(&mut open.waits, false);
        if open.out.is_none() {
            self.nodes[node].open.remove(&request_id);
        }
        if waits {
            self.queue.at(self.now + WAY, WorldEvent::Answered { request, attempt, status, come_back });
        }
    }

    /// A request reaches a node.
    pub(super) fn request_arrives(&mut self, node: usize, request: u32, attempt: u32) {
        let asked = &self.plan.requests[request as usize];
        let kind = self.types[asked.request_class];
        let limit = millis(kind.deadline);
        let left = limit - ANSWER_MARGIN.min(limit * 0.2);
        let request_id = RequestId(self.nodes[node].next_wu);
        self.nodes[node].next_wu += 1;
        let open = Open { request, attempt, limit: self.now + left, attempts: 0, out: None, waits: true };
        self.nodes[node].open.insert(request_id, open);
        if let Some(after) = asked.disconnects_after {
            let (life, number) = (self.nodes[node].life, node as u32);
            self.queue.at(BEGAN + asked.at + after, WorldEvent::Leaves { node: number, life, request_id });
        }
        let (project_type, customer) = (RequestClassId(asked.request_class as u32), asked.tenant as u32);
        let (customer, slots, memory) = (TenantId(customer), kind.slots, kind.memory);
        let again = attempt > 0;
        self.tell(
            node,
            Event::RequestArrived {
                request_id,
                class: project_type,
                tenant: customer,
                slots,
                memory,
                time_left: left,
                is_retry: again,
            },
        );
    }

    /// An allocation has ended, as far as its node hears.
    pub(super) fn attempt_ended(
        &mut self,
        node: usize,
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) {
        let Some(open) = self.nodes[node].open.get_mut(&request_id) else { return };
        if open.out.is_none_or(|out| out.attempt_id != attempt_id) {
            return;
        }
        open.out = None;
        if outcome == Outcome::Completed && open.waits {
            self.answer(node, request_id, 200, None);
        }
        let closed = self.nodes[node].open.get(&request_id).is_none_or(|open| !open.waits);
        if closed {
            self.nodes[node].open.remove(&request_id);
        }
        self.tell(node, Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: closed });
    }

    /// A node's timer fires, unless it was replaced by an earlier one that already has.
    pub(super) fn timer_fires(&mut self, node: usize) {
        if self.nodes[node].wake <= self.now {
            self.nodes[node].wake = f64::INFINITY;
            self.tell(node, Event::TimerFired);
        }
    }

    /// Ends the process of a node; all that is open there is cut.
    pub(super) fn kill_node(&mut self, node: usize) {
        let number = node as NodeNumber;
        let was = &mut self.nodes[node];
        if !std::mem::replace(&mut was.up, false) {
            return;
        }
        let open = std::mem::take(&mut was.open);
        let leaving = was.leaving;
        self.note(if leaving {
            Observation::NodeExited { node: number, is_clean: true }
        } else {
            Observation::NodeKilled { node: number }
        });
        for open in open.into_values() {
            if let Some(out) = open.out {
                self.queue
                    .at(self.now + WAY, WorldEvent::GivenUp { executor: out.executor as u32, key: out.key });
            }
            if open.waits {
                self.request_cut(open.request, open.attempt);
            }
        }
        let noticed = self.now + millis(self.scenario.front.detection_delay);
        self.queue.at(noticed, WorldEvent::TakenIn { node: node as u32, taken_in: false });
    }

    /// The front learns by its health checks whether a node takes requests.
    pub(super) fn front_learns(&mut self, node: usize, taken_in: bool) {
        let node = &mut self.nodes[node];
        // A node that is back before the front noticed stays taken in.
        node.taken_in = if taken_in { node.up } else { node.up && !node.leaving };
    }
}
