//! Executors as points on a ring, the same at every node that knows the same. Nothing is decided here.
use crate::terms::{ExecutorId, KeyId};

/// Points of an executor: so many make the parts of the ring about even.
const POINTS: u64 = 32;

/// Takes memory as executors are many, and none for keys.
#[derive(Default)]
pub struct Ring(Vec<(u64, ExecutorId)>);

/// Spreads numbers evenly (the finalizer of splitmix64).
fn mixed(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d049bb133111eb);
    z ^ (z >> 31)
}

impl Ring {
    /// Of executors with the tokens that stand for them at every node.
    pub fn of(executors: impl Iterator<Item = (u64, ExecutorId)>) -> Self {
        let points = |(token, x)| (0..POINTS).map(move |k| (mixed(token ^ mixed(k)), x));
        let mut ring: Vec<_> = executors.flat_map(points).collect();
        ring.sort_unstable();
        Ring(ring)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The executor of the nth point from a key on; none past the whole ring.
    pub fn nth(&self, key: KeyId, n: usize) -> Option<ExecutorId> {
        let first = self.0.partition_point(|&(point, _)| point < mixed(key.0));
        (n < self.0.len()).then(|| self.0[(first + n) % self.0.len()].1)
    }
}
