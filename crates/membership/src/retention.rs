//! Which executors a node retains if a list has more than fit into its memory.
//!
//! Uses rendezvous hashing, also called highest random weight: every node assigns each executor a weight that depends
//! only on both names, and retains those with the highest weights (D. G. Thaler and C. V. Ravishankar, "Using name-based
//! mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998). So the choice of a node
//! is deterministic, and an executor that is added or removed changes at most one other. Since the weights differ
//! between nodes, each executor is retained by an even share of the nodes. Without I/O.
use crate::token;

/// The state of an executor in the list, in ascending order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// It completes its running requests. Retained only if there is space after all ready executors.
    Draining,
    /// It accepts new requests.
    Ready,
}

/// The rank of an executor at one node; the highest ranks are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    readiness: Readiness,
    weight: u64,
}

/// The choice of retained executors at one node.
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

/// The finalizer of MurmurHash3: each bit of the input changes each bit of the output with a probability of about 1/2.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}

impl Retention {
    /// Creates the choice of the node with this name, which must be unique. Processes of one node have the same choice.
    pub fn for_node(name: &str) -> Self {
        Retention { node: mix(token(name)) }
    }

    /// Returns the rank of an executor at this node.
    pub fn rank(&self, executor: &str, readiness: Readiness) -> Rank {
        let weight = mix(mix(token(executor) ^ self.node).wrapping_add(self.node));
        Rank { readiness, weight }
    }

    /// Returns for each rank, in the order of `ranks`, whether it is retained if `limit` executors fit.
    pub fn choose(ranks: &[Rank], limit: usize) -> Vec<bool> {
        if ranks.len() <= limit {
            return vec![true; ranks.len()];
        }
        let mut order: Vec<usize> = (0..ranks.len()).collect();
        // Two names may have equal ranks; these are ordered by their index.
        let by_rank = |&one: &usize, &other: &usize| ranks[other].cmp(&ranks[one]).then(one.cmp(&other));
        let mut chosen = vec![false; ranks.len()];
        if limit > 0 {
            order.select_nth_unstable_by(limit - 1, by_rank);
            order[..limit].iter().for_each(|&index| chosen[index] = true);
        }
        chosen
    }
}
