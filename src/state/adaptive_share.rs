//! A share that grows by additive increase and falls by multiplicative decrease.
//!
//! After D.-M. Chiu and R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance
//! in Computer Networks" (1989): those that see the same signs settle at the same share, however much traffic
//! each of them has.

/// How a share moves.
pub(crate) struct ShareSteps {
    /// What is added by a good sign.
    pub increase: f64,
    /// What is left after a bad one.
    pub decrease: f64,
    /// The share does not fall below this.
    pub floor: f64,
}

/// A share from the floor of its steps to 1, at first 1.
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
