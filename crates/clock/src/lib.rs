//! The clock from which hosts pass the time to the dispatcher. It starts at the system's Unix time and advances with
//! the monotonic clock, so it never jumps.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use troutknot::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// Longest time ahead that [`Clock::instant_of`] returns, in milliseconds: one day.
const MAX_AHEAD: Millis = 86_400_000.0;

/// A monotonic clock in Unix time. Copies return the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_time: Millis,
}

impl Clock {
    /// Starts a clock at the system time, or at 1970 if the system time is earlier.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_time: unix_time.as_secs_f64() * MILLIS_PER_SECOND }
    }

    /// Returns the Unix time in milliseconds, which never decreases.
    pub fn now(&self) -> Millis {
        self.unix_time + self.started_at.elapsed().as_secs_f64() * MILLIS_PER_SECOND
    }

    /// Returns the instant of a Unix time in milliseconds. A time in the past is now; a time more than a day ahead is a
    /// day ahead.
    pub fn instant_of(&self, at: Millis) -> Instant {
        let ahead = (at - self.now()).clamp(0.0, MAX_AHEAD);
        Instant::now() + Duration::from_secs_f64(ahead / MILLIS_PER_SECOND)
    }
}
