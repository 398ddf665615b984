//! A share with additive increase and multiplicative decrease (AIMD).
//!
//! See D.-M. Chiu and R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance
//! in Computer Networks" (1989): nodes that observe the same signals converge to the same share, regardless of
//! their traffic.

/// Step sizes of an [`AdaptiveShare`].
pub(crate) struct ShareSteps {
    /// Amount added on a positive signal.
    pub increase: f64,
    /// Factor applied on a negative signal, below 1.
    pub decrease: f64,
    /// Lower bound on the share.
    pub floor: f64,
}

/// A share between the floor and 1, initially 1.
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
