//! Times in the units of the core and of the runtime.
use std::time::Duration;
use troutknot::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// A duration in milliseconds, as the core counts time.
pub fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Milliseconds as a duration; they must not be negative.
pub fn to_duration(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis / MILLIS_PER_SECOND)
}
