//! Which executors a node keeps where a list names more than it has memory for.
//!
//! Rendezvous hashing, also called highest random weight: every node gives every executor a weight that follows
//! from both names alone, and keeps those that weigh most (D. G. Thaler and C. V. Ravishankar, "Using name-based
//! mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998). So a node chooses alike
//! whenever it is asked, an executor that comes or goes changes one place at most, and as weights differ from
//! node to node every executor is kept by its fair share of the nodes. Without I/O.
use crate::token;

/// What the list says of an executor, the better later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// It finishes what it has, and is kept only where there is space beside those that are ready.
    Draining,
    /// It takes new work.
    Ready,
}

/// An executor's place in the order of one node; the highest are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    readiness: Readiness,
    weight: u64,
}

/// The choice of one node.
///
/// ```
/// use troutknot_membership::{Retention, Readiness::{Draining, Ready}};
/// let retention = Retention::for_node("n0");
/// let ranks: Vec<_> = [("a", Ready), ("b", Draining), ("c", Ready)]
///     .map(|(name, readiness)| retention.rank(name, readiness))
///     .into();
/// assert_eq!(Retention::choose(&ranks, 2), [true, false, true]);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    node: u64,
}

/// The finalizer of MurmurHash3: each bit of the input changes each bit of the output with even chance.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}

impl Retention {
    /// The name is the node's alone; processes of one node choose alike.
    pub fn for_node(name: &str) -> Self {
        Retention { node: mix(token(name)) }
    }

    /// The place of an executor in this node's order.
    pub fn rank(&self, executor: &str, readiness: Readiness) -> Rank {
        let weight = mix(mix(token(executor) ^ self.node).wrapping_add(self.node));
        Rank { readiness, weight }
    }

    /// Whether each one is kept where `limit` fit, in the order of `ranks`.
    pub fn choose(ranks: &[Rank], limit: usize) -> Vec<bool> {
        if ranks.len() <= limit {
            return vec![true; ranks.len()];
        }
        let mut order: Vec<usize> = (0..ranks.len()).collect();
        // Equal ranks, which two names could have, are told apart by their places.
        let by_rank = |&a: &usize, &b: &usize| ranks[b].cmp(&ranks[a]).then(a.cmp(&b));
        let mut chosen = vec![false; ranks.len()];
        if limit > 0 {
            order.select_nth_unstable_by(limit - 1, by_rank);
            order[..limit].iter().for_each(|&place| chosen[place] = true);
        }
        chosen
    }
}
