//! Connection reuse: detects idle connections that broke unnoticed, and decides which idle connections are closed.
use crate::settings::Settings;
use crate::state::request::Attempt;
use crate::time::Millis;

/// Time after the dispatch, in milliseconds, within which the reset of an attempt that has not started means that
/// the connection was already broken.
const STALE_CONNECTION_WINDOW: Millis = 150.0;
/// Idle time up to which a connection is still reused while reuse is blocked, in milliseconds.
const SAFE_IDLE_TIME: Millis = 200.0;
/// Time for which reuse is blocked after a broken idle connection, in milliseconds.
const REUSE_BLOCK: Millis = 30_000.0;

/// Whether a block of connection reuse began or was extended.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum ReuseBlock {
    Began {
        /// Idle time up to which a connection is still reused, in milliseconds.
        max_idle_time: Millis,
    },
    Extended,
}

/// Blocks the reuse of idle connections for 30 s after one of them was found broken.
#[derive(Default)]
pub(crate) struct ConnectionReuse {
    /// Time for which an executor keeps an idle connection open, in milliseconds; 0 if the settings do not state it.
    idle_timeout: Millis,
    blocked_until: Millis,
}

impl ConnectionReuse {
    /// Reads the idle timeout of the executors from the settings. Without one, no connection counts as broken while
    /// idle.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.idle_timeout = settings.limits.idle_timeout.unwrap_or(0.0);
    }

    /// Whether an attempt that ended with a reset was sent over a connection that had broken while idle.
    pub fn was_stale(&self, attempt: &Attempt, now: Millis) -> bool {
        now - attempt.sent_at < STALE_CONNECTION_WINDOW
            && attempt.started_at.is_none()
            && self.is_reusable(attempt.idle_time)
    }

    /// Whether a broken idle connection explains an attempt that never reached its executor.
    pub fn explains_lost_attempt(&self, attempt: &Attempt, now: Millis) -> bool {
        self.is_reusable(attempt.idle_time) && now >= self.blocked_until
    }

    /// Starts or extends the block of connection reuse.
    pub fn block(&mut self, now: Millis) -> ReuseBlock {
        let is_blocked = now < self.blocked_until;
        self.blocked_until = now + REUSE_BLOCK;
        match is_blocked {
            true => ReuseBlock::Extended,
            false => ReuseBlock::Began { max_idle_time: SAFE_IDLE_TIME },
        }
    }

    /// Whether the idle connections of an executor are closed before a dispatch, given their idle time.
    pub fn must_close_idle(&self, idle_time: Millis, now: Millis) -> bool {
        now < self.blocked_until && idle_time > SAFE_IDLE_TIME && self.is_reusable(idle_time)
    }

    fn is_reusable(&self, idle_time: Millis) -> bool {
        idle_time < self.idle_timeout
    }
}

#[cfg(test)]
#[path = "../../tests/unit/connection_reuse.rs"]
mod tests;
