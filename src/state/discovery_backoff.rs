//! When the endpoint list is asked for, where it must be asked: a backoff with jitter.
use crate::log_event::LogEvent;
use crate::settings::{DiscoveryMode, Settings};
use crate::time::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How far apart nodes that were not answered ask for the list.
const CALL_SPACING: Millis = 100.0;
/// The part of the poll interval over which their calls are spread at most.
const MAX_SPREAD: f64 = 0.7;
/// The longest backoff, as a part of the poll interval.
const MAX_BACKOFF: f64 = 0.25;
/// A list that is pushed and falls silent is asked for again within this part of the grace, in which what is
/// told at its return must be known.
const MAX_BACKOFF_OF_GRACE: f64 = 0.25;
const LEAST_MAX_BACKOFF: Millis = 100.0;
/// The backoff before the first failure is doubled.
const BASE_BACKOFF: Millis = 100.0;
/// Failures past so many do not make the backoff longer.
const MAX_FAILURES: u32 = 6;

/// The backoff of calls for the endpoint list.
pub(crate) struct DiscoveryBackoff {
    /// When the list is asked for next; infinite while a call or a watch stands.
    pub next_call_at: Millis,
    /// Whether the list has been told, and at most one call has failed since it was lost.
    was_followed: bool,
    failures: u32,
    poll_interval: Millis,
    /// Where the list is pushed: the grace of an executor that drains.
    push_grace: Option<Millis>,
}

impl DiscoveryBackoff {
    /// Asks at once where the settings have the node ask.
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let asks = settings.discovery_mode == DiscoveryMode::Subscribe;
        let next_call_at = if asks { now } else { f64::INFINITY };
        DiscoveryBackoff {
            next_call_at,
            was_followed: false,
            failures: 0,
            poll_interval: 0.0,
            push_grace: None,
        }
    }

    /// Goes by these settings from now on.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.poll_interval = settings.rules.poll_interval();
        let is_pushed = settings.discovery_mode == DiscoveryMode::Push;
        self.push_grace = is_pushed.then(|| settings.rules.drain_grace.unwrap_or(0.0));
    }

    /// Whether a call is due, which is taken as made then.
    pub fn take_due_call(&mut self, now: Millis) -> bool {
        let is_due = self.next_call_at <= now;
        if is_due {
            self.next_call_at = f64::INFINITY;
        }
        is_due
    }

    /// The list was told: what to log of it, if calls had failed.
    pub fn record_success(&mut self) -> Option<LogEvent> {
        self.was_followed = true;
        let failures = std::mem::take(&mut self.failures);
        (failures > 0).then_some(LogEvent::EndpointListRecovered { failures })
    }

    /// A call failed, or a watch broke off: when to ask again, and what to log of it.
    pub fn record_failure(
        &mut self,
        now: Millis,
        nodes: f64,
        is_rejected: bool,
        random: &mut ChaCha8Rng,
    ) -> LogEvent {
        // Waits grow, with jitter against asking in step, well inside the span that counts as told.
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        // What a silent source knows counts as told when it is back, and whoever waits longer goes on
        // dispatching to executors that drain. One that rejects calls is there, and has too many of them.
        let grace = self.push_grace.filter(|_| !is_rejected);
        let longest = self.poll_interval * MAX_BACKOFF;
        let longest =
            grace.map_or(longest, |grace| (grace * MAX_BACKOFF_OF_GRACE).max(LEAST_MAX_BACKOFF).min(longest));
        let backoff = (BASE_BACKOFF * f64::powi(2.0, self.failures as i32)).min(longest);
        // Guards against many nodes that ask so often together that each call waits past its time
        // and none is answered: what failed is asked again spread over a span for all of them.
        let spacing = if grace.is_some() { 0.0 } else { CALL_SPACING };
        let span = ((nodes - 1.0) * spacing).min(self.poll_interval * MAX_SPREAD);
        // A list that fell silent, one call in vain and such a wait are together longer than a change may
        // take.
        let is_first_silence = self.failures == 1 || !is_rejected;
        let spread = if self.was_followed && is_first_silence { 0.0 } else { span };
        self.was_followed &= self.failures == 1;
        let wait = backoff * random.random_range(0.5..1.0) + spread * random.random::<f64>();
        self.next_call_at = now + wait;
        LogEvent::EndpointListLost { failures: self.failures, next_call_in: wait }
    }
}
