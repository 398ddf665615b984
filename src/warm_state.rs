//! The state that one process of a node hands over to the next, which otherwise would have to observe it again.
use crate::ids::ExecutorId;
use crate::time::Millis;

/// The state of a dispatcher with which the next process of its node starts.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct WarmState {
    /// State of each executor.
    pub executors: Vec<ExecutorWarmState>,
    /// Smoothed response time of each class, by class id.
    pub class_running_times: Vec<ObservedMean>,
    /// Smoothed response time of all requests, in milliseconds.
    pub mean_running_time: Millis,
    /// Smoothed share of probe replies that showed a queue; `None` before the first reply.
    pub busy_probe_ratio: Option<f64>,
    /// Smoothed latency of probes; `None` before the first reply.
    pub probe_latency: Option<Millis>,
    /// Number of executors sampled for a request.
    pub sample_size: u32,
}

/// The observed state of one executor.
#[derive(Clone, PartialEq, Debug)]
pub struct ExecutorWarmState {
    /// Handle of the executor.
    pub executor: ExecutorId,
    /// Score of its faults and slow attempts.
    pub failure_score: DecayingScore,
    /// Decaying number of the outcomes in that score.
    pub observations: DecayingScore,
    /// Largest number of slots that its reports have shown.
    pub max_slots: f64,
    /// Dispatches during slow start, which count against its warm-up budget.
    pub warm_up_spent: Vec<WarmUpDispatch>,
}

/// A score that decays exponentially from the time at which it was set.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct DecayingScore {
    /// Score at the time at which it was set.
    pub value: f64,
    /// When the score was set.
    pub set_at: Millis,
}

impl DecayingScore {
    /// Returns the score at `now`, decayed with this time constant.
    pub fn at(self, now: Millis, time_constant: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now - self.set_at) / time_constant).exp()
    }
}

/// A smoothed mean and the number of its observations. Without observations, the mean is an assumption.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct ObservedMean {
    /// Mean, in milliseconds.
    pub mean: Millis,
    /// Number of observations.
    pub observations: f64,
}

impl ObservedMean {
    /// Adds an observation with a weight of `min_weight` or more. The first observations have equal weights.
    pub fn observe(&mut self, observed: Millis, min_weight: f64) {
        self.observations += 1.0;
        self.mean += (observed - self.mean) * min_weight.max(1.0 / self.observations);
    }
}

/// A dispatch to an executor in slow start.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct WarmUpDispatch {
    /// When it was dispatched.
    pub at: Millis,
    /// Cost in slot-milliseconds.
    pub work: f64,
}
