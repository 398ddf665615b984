//! Schedules calls for the endpoint list, with exponential backoff and jitter.
use crate::log_event::LogEvent;
use crate::settings::{DiscoveryMode, Settings};
use crate::time::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Mean interval between the calls of different nodes after a failure, in milliseconds.
const CALL_SPACING: Millis = 100.0;
/// Upper bound on the time over which the calls of all nodes are spread, as a part of the poll interval.
const MAX_SPREAD_SHARE: f64 = 0.7;
/// Upper bound on the backoff, as a part of the poll interval.
const MAX_BACKOFF_SHARE: f64 = 0.25;
/// Upper bound on the backoff for a pushed list, as a part of the drain grace. The node must receive the changes
/// within that grace once the source is available again.
const MAX_PUSH_BACKOFF_SHARE: f64 = 0.25;
/// Lower bound on the limit that follows from the drain grace, in milliseconds, so that a short grace does not
/// make the node call without a pause.
const MIN_PUSH_BACKOFF_LIMIT: Millis = 100.0;
/// Base of the exponential backoff, in milliseconds: half of the backoff after the first failure.
const BASE_BACKOFF: Millis = 100.0;
/// Number of consecutive failures after which the backoff does not grow any more.
const MAX_FAILURES: u32 = 6;

/// The reason for which a call for the endpoint list failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ListFailure {
    /// The source is reachable but rejects the call, which is taken as a sign that it receives too many.
    Rejected,
    /// The source did not answer, or a watch was interrupted.
    Unanswered,
}

/// The backoff of calls for the endpoint list.
pub(crate) struct DiscoveryBackoff {
    /// Time of the next call; infinite while a call or a watch is open.
    pub next_call_at: Millis,
    /// Whether the list has been received, and at most one call has failed since the list was lost.
    was_available: bool,
    failures: u32,
    poll_interval: Millis,
    /// Drain grace if the list is pushed; `None` otherwise.
    push_grace: Option<Millis>,
}

impl DiscoveryBackoff {
    /// Creates a backoff whose first call is due at once if the settings make the node subscribe.
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let is_subscribed = settings.discovery_mode == DiscoveryMode::Subscribe;
        let next_call_at = if is_subscribed { now } else { f64::INFINITY };
        DiscoveryBackoff {
            next_call_at,
            was_available: false,
            failures: 0,
            poll_interval: 0.0,
            push_grace: None,
        }
    }

    /// Applies these settings from now on.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.poll_interval = settings.rules.poll_interval();
        let is_pushed = settings.discovery_mode == DiscoveryMode::Push;
        self.push_grace = is_pushed.then(|| settings.rules.drain_grace.unwrap_or(0.0));
    }

    /// Whether a call is due; if so, it counts as open from now on, and the caller must make it.
    pub fn start_due_call(&mut self, now: Millis) -> bool {
        let is_due = self.next_call_at <= now;
        if is_due {
            self.next_call_at = f64::INFINITY;
        }
        is_due
    }

    /// Records that the list was received. Returns a log entry if calls had failed.
    pub fn record_success(&mut self) -> Option<LogEvent> {
        self.was_available = true;
        let failures = std::mem::take(&mut self.failures);
        (failures > 0).then_some(LogEvent::EndpointListRecovered { failures })
    }

    /// Records that a call failed or a watch was interrupted, and schedules the next call. Returns a log entry.
    pub fn record_failure(
        &mut self,
        now: Millis,
        nodes: f64,
        failure: ListFailure,
        random: &mut ChaCha8Rng,
    ) -> LogEvent {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        // While a pushing source does not answer, this node may dispatch to executors that are already draining.
        let grace = self.push_grace.filter(|_| failure == ListFailure::Unanswered);
        let backoff = (BASE_BACKOFF * f64::powi(2.0, self.failures as i32)).min(self.max_backoff(grace));
        let spread = self.call_spread(nodes, failure, grace);
        self.was_available &= self.failures == 1;
        let wait = backoff * random.random_range(0.5..1.0) + spread * random.random::<f64>();
        self.next_call_at = now + wait;
        LogEvent::EndpointListLost { failures: self.failures, next_call_in: wait }
    }

    /// Upper bound on the backoff. `grace` is the drain grace if a source that pushes the list stopped answering.
    fn max_backoff(&self, grace: Option<Millis>) -> Millis {
        let longest = self.poll_interval * MAX_BACKOFF_SHARE;
        grace.map_or(longest, |grace| {
            (grace * MAX_PUSH_BACKOFF_SHARE).max(MIN_PUSH_BACKOFF_LIMIT).min(longest)
        })
    }

    /// Time over which the calls of all nodes are spread at random, in addition to the backoff. Without it, the
    /// calls of many nodes overload the source, and all of them time out.
    fn call_spread(&self, nodes: f64, failure: ListFailure, grace: Option<Millis>) -> Millis {
        // Right after the loss, and after one call without an answer, an additional spread would exceed the time
        // within which the node must receive a change.
        let is_urgent = self.failures == 1 || failure == ListFailure::Unanswered;
        if self.was_available && is_urgent {
            return 0.0;
        }
        let spacing = if grace.is_some() { 0.0 } else { CALL_SPACING };
        ((nodes - 1.0) * spacing).min(self.poll_interval * MAX_SPREAD_SHARE)
    }
}
