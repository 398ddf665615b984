//! A share that grows by additive increase and falls by multiplicative decrease.
//!
//! After D.-M. Chiu and R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance
//! in Computer Networks" (1989): nodes that observe the same signals converge to the same share, whatever their
//! traffic.

/// How a share changes.
pub(crate) struct ShareSteps {
    /// Added by a good signal.
    pub increase: f64,
    /// Factor that a bad signal applies.
    pub decrease: f64,
    /// Lower bound on the share.
    pub floor: f64,
}

/// A share from the floor of its steps to 1, initially 1.
pub(crate) struct AdaptiveShare {
    share: f64,
    steps: ShareSteps,
}

impl AdaptiveShare {
    pub fn new(steps: ShareSteps) -> Self {
        AdaptiveShare { share: 1.0, steps }
    }

    pub fn increase(&mut self) {
        self.share = (self.share + self.steps.increase).min(1.0);
    }

    pub fn decrease(&mut self) {
        self.share = (self.share * self.steps.decrease).max(self.steps.floor);
    }

    pub fn share(&self) -> f64 {
        self.share
    }
}
