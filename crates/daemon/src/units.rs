//! Conversion between the time types of the node and of the dispatcher.
use std::time::Duration;
use troutknot::Millis;

/// A duration in milliseconds, as the dispatcher counts time.
pub fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}
