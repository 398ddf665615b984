//! Conversion between the dispatcher's milliseconds and `Duration`.
use std::time::Duration;
use troutknot::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Converts a duration to the dispatcher's milliseconds.
pub fn to_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Converts milliseconds to a duration. They must not be negative.
pub fn to_duration(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis / MILLIS_PER_SECOND)
}
