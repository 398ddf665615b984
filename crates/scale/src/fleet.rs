//! A fleet as discovery lists it: executors with names, which are replaced, lost and back.
use crate::catalog::{Member, State};
use crate::discovery::Discovery;
use crate::hollow_executors::HollowExecutors;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The first executors of all that listen, under names of their own.
pub struct Fleet {
    executors: Rc<HollowExecutors>,
    discovery: Rc<Discovery>,
    size: usize,
    zone_size: usize,
    /// By executor, which of its names it has.
    generations: RefCell<Vec<u32>>,
    started_ms: RefCell<Vec<u64>>,
    replaced: Cell<usize>,
}

fn unix_now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Fleet {
    /// Lists the first `size` executors as started long ago. Agents of its discovery tell them.
    pub async fn list(executors: &Rc<HollowExecutors>, size: usize, zone_size: usize) -> Self {
        executors.reset().await;
        let fleet = Fleet {
            executors: executors.clone(),
            discovery: Discovery::new(executors.clone()),
            size,
            // Without a size all are in one zone: nodes keep a bounded number of zones in mind.
            zone_size: if zone_size == 0 { size.max(1) } else { zone_size },
            generations: RefCell::new(vec![0; size]),
            started_ms: RefCell::new(vec![0; size]),
            replaced: Cell::new(0),
        };
        fleet.publish(0..size, State::Ready);
        fleet
    }

    pub fn discovery(&self) -> &Rc<Discovery> {
        &self.discovery
    }

    pub fn size(&self) -> usize {
        self.size
    }

    /// Zones that the fleet is spread over.
    pub fn zones(&self) -> usize {
        self.size.div_ceil(self.zone_size).max(1)
    }

    /// Executors that were replaced under new names since the fleet was listed.
    pub fn replaced(&self) -> usize {
        self.replaced.get()
    }

    fn member(&self, executor: usize, state: State) -> Member {
        Member {
            executor,
            id: format!("s-{:03}-{executor:05}", self.generations.borrow()[executor]),
            address: self.executors.addresses()[executor],
            zone: executor / self.zone_size,
            state,
            started_ms: self.started_ms.borrow()[executor],
        }
    }

    /// Discovery says so from now on, in one line for all of them.
    pub fn publish(&self, executors: Range<usize>, state: State) {
        self.discovery.publish(executors.map(|executor| self.member(executor, state)));
    }

    /// The processes die; discovery does not know yet.
    pub async fn kill(&self, executors: Range<usize>) {
        self.executors.kill(executors).await;
    }

    /// They start anew, cold, under the names that they had, and are listed.
    pub async fn return_cold(&self, executors: Range<usize>) {
        self.executors.restart(executors.clone()).await;
        let now = unix_now_ms();
        self.started_ms.borrow_mut()[executors.clone()].fill(now);
        self.publish(executors, State::Ready);
    }

    /// They start anew, cold, under new names, and are listed. Before, discovery has said that they are gone.
    pub async fn return_renamed(&self, executors: Range<usize>) {
        for generation in &mut self.generations.borrow_mut()[executors.clone()] {
            *generation += 1;
        }
        self.replaced.set(self.replaced.get() + executors.len());
        self.return_cold(executors).await;
    }
}
