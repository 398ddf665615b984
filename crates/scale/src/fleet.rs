//! A fleet of executors as discovery lists it; its executors can be replaced, killed and restarted.
use crate::catalog::{Member, State};
use crate::discovery::Discovery;
use crate::hollow_executors::HollowExecutors;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The first `size` of all hollow executors, listed under ids of their own.
pub struct Fleet {
    executors: Rc<HollowExecutors>,
    discovery: Rc<Discovery>,
    size: usize,
    zone_size: usize,
    /// Number of replacements of each executor, which is part of its id.
    generations: RefCell<Vec<u32>>,
    started_ms: RefCell<Vec<u64>>,
    replaced_count: Cell<usize>,
}

fn unix_now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl Fleet {
    /// Lists the first `size` executors as started long ago, in a new discovery.
    pub async fn list(executors: &Rc<HollowExecutors>, size: usize, zone_size: usize) -> Self {
        executors.reset().await;
        let fleet = Fleet {
            executors: executors.clone(),
            discovery: Discovery::new(executors.clone()),
            size,
            // By default all executors are in one zone, because nodes store a bounded number of zones.
            zone_size: if zone_size == 0 { size.max(1) } else { zone_size },
            generations: RefCell::new(vec![0; size]),
            started_ms: RefCell::new(vec![0; size]),
            replaced_count: Cell::new(0),
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

    /// Returns the number of zones of the fleet.
    pub fn zone_count(&self) -> usize {
        self.size.div_ceil(self.zone_size).max(1)
    }

    /// Returns the number of executors replaced under new ids since the fleet was listed.
    pub fn replaced_count(&self) -> usize {
        self.replaced_count.get()
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

    /// Publishes a state of the executors in one message.
    pub fn publish(&self, executors: Range<usize>, state: State) {
        self.discovery.publish(executors.map(|executor| self.member(executor, state)));
    }

    /// Kills the executors without a change of the list.
    pub async fn kill(&self, executors: Range<usize>) {
        self.executors.kill(executors).await;
    }

    /// Restarts the executors under their previous ids, so that they warm up again, and lists them.
    pub async fn restart(&self, executors: Range<usize>) {
        self.executors.restart(executors.clone()).await;
        let now = unix_now_ms();
        self.started_ms.borrow_mut()[executors.clone()].fill(now);
        self.publish(executors, State::Ready);
    }

    /// Restarts the executors under new ids, so that they warm up again, and lists them. The previous ids must have
    /// been published as gone.
    pub async fn restart_renamed(&self, executors: Range<usize>) {
        for generation in &mut self.generations.borrow_mut()[executors.clone()] {
            *generation += 1;
        }
        self.replaced_count.set(self.replaced_count.get() + executors.len());
        self.restart(executors).await;
    }
}
