//! Adaptive admission where queues cannot be seen: the share of new requests that is taken, worked out from
//! whether this node's own attempts began in time. It keeps the estimate alone; the parent module decides which
//! attempts count as in time and what becomes of a request that is not taken.
//!
//! Additive increase and multiplicative decrease, after D.-M. Chiu and R. Jain, "Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance in Computer Networks" (1989): nodes that see the same queues
//! settle at the same share, however much traffic each of them has.

/// What an attempt that began in time adds to the share that is taken.
const INCREASE: f64 = 0.1;
/// What is left of the share after an attempt that did not begin in time.
const DECREASE: f64 = 0.85;
/// The least share that is taken, so that the end of an overload is seen.
const LEAST_SHARE: f64 = 0.05;

/// The share of new requests that is taken.
pub(super) struct Admission {
    share: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission { share: 1.0 }
    }
}

impl Admission {
    /// An attempt began in time.
    pub fn in_time(&mut self) {
        self.share = (self.share + INCREASE).min(1.0);
    }

    /// An attempt has not begun in time.
    pub fn late(&mut self) {
        self.share = (self.share * DECREASE).max(LEAST_SHARE);
    }

    /// The share that is taken of requests which need so many times the mean work for what they earn: what
    /// needs more is turned away first.
    pub fn share_of(&self, relative_cost: f64) -> f64 {
        self.share.powf(relative_cost)
    }
}
