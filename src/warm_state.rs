//! The state that one process of a node hands to the next, so that it need not be observed anew.
use crate::ids::ExecutorId;
use crate::time::Millis;

/// The state of a dispatcher that the next process of its node starts with.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct WarmState {
    /// State by executor.
    pub executors: Vec<ExecutorWarmState>,
    /// Response times by class.
    pub class_running_times: Vec<ObservedMean>,
    /// Smoothed response time of all requests.
    pub mean_running_time: Millis,
    /// Smoothed share of probe replies that showed a queue; `None` before the first.
    pub busy_probe_ratio: Option<f64>,
    /// Smoothed latency of probes; `None` before the first reply.
    pub probe_latency: Option<Millis>,
    /// The number of executors sampled for a request.
    pub sample_size: u32,
}

/// The observed state of one executor.
#[derive(Clone, PartialEq, Debug)]
pub struct ExecutorWarmState {
    /// The executor.
    pub executor: ExecutorId,
    /// Score of its faults and slow attempts.
    pub failure_score: DecayingScore,
    /// Decaying number of the outcomes in that score.
    pub observations: DecayingScore,
    /// The largest number of slots that its reports have shown.
    pub max_slots: f64,
    /// Dispatches while it was in slow start, which count against its warm-up budget.
    pub warm_up_spent: Vec<WarmUpDispatch>,
}

/// A score that decays exponentially from the time at which it was set.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct DecayingScore {
    /// The score at that time.
    pub value: f64,
    /// When it was set.
    pub set_at: Millis,
}

impl DecayingScore {
    /// The score now, with this time constant.
    pub fn at(self, now: Millis, time_constant: Millis) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now - self.set_at) / time_constant).exp()
    }
}

/// A smoothed mean with the number of its observations; without any, the mean is an assumption.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct ObservedMean {
    /// The mean.
    pub mean: Millis,
    /// The number of observations.
    pub observations: f64,
}

impl ObservedMean {
    /// Adds one observation, with at least this weight: the first ones count evenly.
    pub fn observe(&mut self, observed: Millis, min_weight: f64) {
        self.observations += 1.0;
        self.mean += (observed - self.mean) * min_weight.max(1.0 / self.observations);
    }
}

/// A dispatch to an executor in slow start.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct WarmUpDispatch {
    /// The time of the dispatch.
    pub at: Millis,
    /// Its cost in slot-milliseconds.
    pub work: f64,
}
