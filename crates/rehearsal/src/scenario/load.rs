//! Values derived from a scenario: capacity, request rate and number of requests; and scaling of its length.
use super::{ExecutorGroup, Scenario, millis};
use std::time::Duration;
use toml::Spanned;

/// Number of samples of the load curve for its mean.
const LOAD_SAMPLES: usize = 1000;

impl Scenario {
    /// Multiplies the length of the day and the times of its load curve, faults and events by a factor. Service times,
    /// limits and delays stay the same, so a longer day has more requests at the same rate.
    pub fn stretch(&mut self, factor: f64) {
        let stretch = |duration: &mut Duration| *duration = duration.mul_f64(factor);
        stretch(&mut self.length);
        self.traffic.get_mut().curve.iter_mut().for_each(|point| stretch(&mut point.at));
        for fault in self.faults.iter_mut().map(Spanned::get_mut) {
            stretch(&mut fault.begins_at);
            stretch(&mut fault.ends_at);
        }
        for event in self.events.iter_mut().map(Spanned::get_mut) {
            stretch(&mut event.at);
            let durations = [&mut event.downtime, &mut event.interval, &mut event.duration];
            durations.into_iter().flatten().for_each(stretch);
        }
    }

    /// Work that the initial executors perform per millisecond.
    pub fn capacity(&self) -> f64 {
        let group_capacity = |group: &ExecutorGroup| {
            group.count as f64 * group.cores.unwrap_or(group.slots).min(group.slots) * group.speed
        };
        self.executors.iter().map(|group| group_capacity(group.get_ref())).sum()
    }

    /// Requests per millisecond at a load factor of 1.
    pub fn rate_per_ms(&self) -> f64 {
        let classes = || self.request_classes.iter().map(|class| class.get_ref());
        let shares: f64 = classes().map(|class| class.share).sum();
        let work: f64 = classes().map(|class| class.share * class.slots * millis(class.work)).sum();
        if work > 0.0 { self.traffic.get_ref().load * self.capacity() * shares / work } else { 0.0 }
    }

    /// The expected number of requests of the day.
    pub fn expected_requests(&self) -> f64 {
        let samples = LOAD_SAMPLES as f64;
        let sample = |index: usize| self.load_factor(self.length.mul_f64(index as f64 / samples));
        let mean = (0..LOAD_SAMPLES).map(sample).sum::<f64>() / samples;
        mean * self.rate_per_ms() * millis(self.length)
    }

    /// The value of the load curve at a time since the start of the day.
    pub fn load_factor(&self, at: Duration) -> f64 {
        let curve = &self.traffic.get_ref().curve;
        let next = curve.partition_point(|point| point.at <= at);
        match (next.checked_sub(1).map(|index| &curve[index]), curve.get(next)) {
            (Some(left), Some(right)) => {
                let progress = (at - left.at).as_secs_f64() / (right.at - left.at).as_secs_f64();
                left.factor + (right.factor - left.factor) * progress
            }
            (Some(point), None) | (None, Some(point)) => point.factor,
            (None, None) => 1.0,
        }
    }
}
