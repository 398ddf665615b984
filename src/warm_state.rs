//! What one process of a node hands to the next, so that it need not learn anew.
use crate::ids::ExecutorId;
use crate::time::Millis;

/// What one process of a node knows that one after it goes on from.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct WarmState {
    /// What is known of executors.
    pub executors: Vec<ExecutorWarmState>,
    /// Running times by class.
    pub class_running_times: Vec<ObservedMean>,
    /// Smoothed running time of all work.
    pub mean_running_time: Millis,
    /// Smoothed share of probe replies that showed a queue; none before the first.
    pub busy_probe_ratio: Option<f64>,
    /// Smoothed time that a probe takes; none before the first.
    pub probe_latency: Option<Millis>,
    /// How many executors are sampled for a request.
    pub sample_size: u32,
}

/// What is known of an executor beside its endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct ExecutorWarmState {
    /// The executor.
    pub executor: ExecutorId,
    /// What failed there.
    pub failure_score: DecayingScore,
    /// Of how many outcomes that score was made.
    pub observations: DecayingScore,
    /// The most slots that its reports have shown.
    pub max_slots: f64,
    /// What of its warm-up budget is spent.
    pub warm_up_spent: Vec<WarmUpDispatch>,
}

/// A score that fades exponentially from the time at which it was set.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct DecayingScore {
    /// What it was then.
    pub value: f64,
    /// When that was.
    pub set_at: Millis,
}

impl DecayingScore {
    /// What is left of it now, with this time constant.
    pub fn at(self, now: Millis, time_constant: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now - self.set_at) / time_constant).exp()
    }
}

/// A smoothed mean with the number of observations behind it; none says nothing.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct ObservedMean {
    /// The mean.
    pub mean: Millis,
    /// How many were observed.
    pub observations: f64,
}

impl ObservedMean {
    /// Takes in one observation, with at least this weight: the first ones count evenly.
    pub fn observe(&mut self, observed: Millis, least_weight: f64) {
        self.observations += 1.0;
        self.mean += (observed - self.mean) * least_weight.max(1.0 / self.observations);
    }
}

/// Work that was dispatched to an executor in slow start.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct WarmUpDispatch {
    /// When.
    pub at: Millis,
    /// How much, in slot-milliseconds.
    pub work: f64,
}
