//! A node: its decision module, and the requests that are open at it.
use slotmap::{Key, KeyData};
use std::collections::BTreeMap;
use troutknot::{Action, AttemptId, Dispatcher, Event, ExecutorId, Millis, RequestId};

/// The decisions of a node: the dispatcher, or in simulations a baseline.
pub trait DecisionModule {
    /// Handles an event.
    fn handle_event(&mut self, now: Millis, event: Event);
    /// Appends the actions that follow from the events so far.
    fn poll_actions(&mut self, now: Millis, actions: &mut Vec<Action>);
}

impl DecisionModule for Dispatcher {
    fn handle_event(&mut self, now: Millis, event: Event) {
        Dispatcher::handle_event(self, now, event);
    }

    fn poll_actions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        Dispatcher::poll_actions(self, now, actions);
    }
}

/// The ids that a node has for the executors of the plan. The slot of an id is fixed by the plan's order; its
/// generation changes each time the node releases the executor.
pub struct ExecutorIds {
    generations: Vec<u32>,
}

/// A slot map never uses slot 0, and the generations of its occupied slots are odd.
const FIRST_SLOT: u64 = 1;
const FIRST_GENERATION: u32 = 1;
const GENERATION_STEP: u32 = 2;

impl ExecutorIds {
    pub fn new(executor_count: usize) -> Self {
        ExecutorIds { generations: vec![FIRST_GENERATION; executor_count] }
    }

    /// Returns the current id of an executor, which is given by its index in the plan.
    pub fn id(&self, index: usize) -> ExecutorId {
        let generation = u64::from(self.generations[index]);
        KeyData::from_ffi(generation << 32 | (index as u64 + FIRST_SLOT)).into()
    }

    /// Returns the index in the plan, or `None` for an id that was released.
    pub fn index(&self, id: ExecutorId) -> Option<usize> {
        let slot = id.data().as_ffi() & u64::from(u32::MAX);
        let index = slot.checked_sub(FIRST_SLOT)? as usize;
        (index < self.generations.len() && self.id(index) == id).then_some(index)
    }

    pub fn release(&mut self, id: ExecutorId) {
        if let Some(index) = self.index(id) {
            self.generations[index] = self.generations[index].wrapping_add(GENERATION_STEP);
        }
    }
}

/// A request that is open at a node, or a closed one with an attempt still in flight.
pub struct OpenRequest {
    /// Index of the request in the plan.
    pub request: u32,
    /// Number of the client's attempt at it, from 0.
    pub client_attempt: u32,
    pub deadline: Millis,
    /// Attempts of the node so far.
    pub attempt_count: u32,
    pub in_flight: Option<InFlightAttempt>,
    pub is_client_waiting: bool,
}

/// The attempt of a request that is in flight.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    pub attempt_id: AttemptId,
    /// Index of the executor in the plan.
    pub executor: usize,
    /// Unique among the attempts of all nodes.
    pub key: u64,
}

/// A node and its current process.
pub struct Node {
    pub module: Box<dyn DecisionModule>,
    pub is_up: bool,
    /// Whether the process was asked to terminate.
    pub is_terminating: bool,
    /// Number of the process, from 0; events for an earlier process are dropped.
    pub incarnation: u32,
    pub open_requests: BTreeMap<RequestId, OpenRequest>,
    pub next_request_id: u64,
    /// When the timer fires; infinite if it is not set.
    pub timer_at: Millis,
    pub executor_ids: ExecutorIds,
    /// From when on nothing is sent to each executor; infinite for a ready one.
    pub send_stops_at: Vec<Millis>,
    /// Whether the front sends new connections to the node.
    pub is_in_rotation: bool,
}
