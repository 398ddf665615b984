//! A node: what decides, and what it has open.
use slotmap::{Key, KeyData};
use std::collections::BTreeMap;
use troutknot::{Action, AttemptId, Dispatcher, Event, ExecutorId, Millis, RequestId};

/// What decides at a node: the dispatcher, or in the kit alone a baseline.
pub trait DecisionModule {
    fn handle_event(&mut self, now: Millis, event: Event);
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

/// The handles under which a node knows the executors of the plan. Each has a slot of its own, in the plan's order,
/// and another generation each time that the node has released it.
pub struct Handles {
    generations: Vec<u32>,
}

/// Slot 0 is never given, and the generations of slots that are taken are odd.
const FIRST_SLOT: u64 = 1;
const FIRST_GENERATION: u32 = 1;
const NEXT_GENERATION: u32 = 2;

impl Handles {
    pub fn new(executors: usize) -> Self {
        Handles { generations: vec![FIRST_GENERATION; executors] }
    }

    /// The handle of an executor, by its number in the plan.
    pub fn of(&self, executor: usize) -> ExecutorId {
        let generation = u64::from(self.generations[executor]);
        KeyData::from_ffi(generation << 32 | (executor as u64 + FIRST_SLOT)).into()
    }

    /// The number in the plan; none for a handle that was released.
    pub fn number(&self, handle: ExecutorId) -> Option<usize> {
        let slot = handle.data().as_ffi() & u64::from(u32::MAX);
        let executor = slot.checked_sub(FIRST_SLOT)? as usize;
        (executor < self.generations.len() && self.of(executor) == handle).then_some(executor)
    }

    pub fn release(&mut self, handle: ExecutorId) {
        if let Some(executor) = self.number(handle) {
            self.generations[executor] = self.generations[executor].wrapping_add(NEXT_GENERATION);
        }
    }
}

/// A work unit that is open at a node, or over with an allocation still out.
pub struct Open {
    /// Of the client's request, and which try.
    pub request: u32,
    pub attempt: u32,
    pub limit: Millis,
    /// The number of allocations, and the one that is out.
    pub attempts: u32,
    pub out: Option<Out>,
    /// Whether the client still waits.
    pub waits: bool,
}

#[derive(Clone, Copy)]
pub struct Out {
    pub attempt_id: AttemptId,
    pub executor: usize,
    /// Stands for this allocation in the whole world.
    pub key: u64,
}

pub struct Node {
    pub module: Box<dyn DecisionModule>,
    pub up: bool,
    /// Asked to end.
    pub leaving: bool,
    /// Counts its starts: what was meant for an earlier life is dropped.
    pub life: u32,
    pub open: BTreeMap<RequestId, Open>,
    pub next_wu: u64,
    pub wake: Millis,
    pub handles: Handles,
    /// From when on nothing is sent to an executor; infinite for one that is well.
    pub shut: Vec<Millis>,
    /// Whether new connections come to it.
    pub taken_in: bool,
}
