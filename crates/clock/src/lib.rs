//! The clock that hosts hand to the decision module: milliseconds of Unix time at the start, carried on by the
//! clock that never jumps.
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use troutknot::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// A time that is further ahead is taken for so far ahead.
const MAX_AHEAD: Millis = 86_400_000.0;

/// A clock that was started once; copies of it agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_time: Millis,
}

impl Clock {
    /// Begins at the system's time. A system whose time is before 1970 begins then.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_time: unix_time.as_secs_f64() * MILLIS_PER_SECOND }
    }

    /// Milliseconds of Unix time, which never go back.
    pub fn now(&self) -> Millis {
        self.unix_time + self.started_at.elapsed().as_secs_f64() * MILLIS_PER_SECOND
    }

    /// When it will be this time; a time that is past is now, one too far away is a day off.
    pub fn instant_of(&self, at: Millis) -> Instant {
        let ahead = (at - self.now()).clamp(0.0, MAX_AHEAD);
        Instant::now() + Duration::from_secs_f64(ahead / MILLIS_PER_SECOND)
    }
}
