//! A node: what decides, and what it has open.
use std::collections::BTreeMap;
use troutknot::{Action, AllocId, Dispatcher, Event, Millis, WuId};

/// What decides: the dispatcher, or in the kit alone a baseline.
pub trait Mind {
    fn tell(&mut self, now: Millis, event: Event);
    fn emit(&mut self, now: Millis, actions: &mut Vec<Action>);
}

impl Mind for Dispatcher {
    fn tell(&mut self, now: Millis, event: Event) {
        Dispatcher::tell(self, now, event);
    }

    fn emit(&mut self, now: Millis, actions: &mut Vec<Action>) {
        Dispatcher::emit(self, now, actions);
    }
}

/// A work unit that is open at a node, or over with an allocation still out.
pub struct Open {
    /// Of the client's request, and which try.
    pub request: u32,
    pub attempt: u32,
    pub limit: Millis,
    /// The number of allocations, and the one that is out.
    pub allocs: u32,
    pub out: Option<Out>,
    /// Whether the client still waits.
    pub waits: bool,
}

#[derive(Clone, Copy)]
pub struct Out {
    pub alloc: AllocId,
    pub executor: usize,
    /// Stands for this allocation in the whole world.
    pub key: u64,
}

pub struct Node {
    pub mind: Box<dyn Mind>,
    pub up: bool,
    /// Asked to end.
    pub leaving: bool,
    /// Counts its starts: what was meant for an earlier life is dropped.
    pub life: u32,
    pub open: BTreeMap<WuId, Open>,
    pub next_wu: u64,
    pub wake: Millis,
    /// From when on nothing is sent to an executor; infinite for one that is well.
    pub shut: Vec<Millis>,
    /// Whether new connections come to it.
    pub taken_in: bool,
}
