//! Start checks: when the executor of an attempt that has not started is probed, and when the attempt counts as
//! lost.
use crate::settings::Settings;
use crate::state::executor_state::REPORT_LIFETIME;
use crate::state::probe_statistics::MIN_QUEUE_LENGTH;
use crate::state::request::Request;
use crate::state::request_class::RequestClass;
use crate::time::Millis;

/// Queue length assumed for a report without one, so that it does not count as free capacity.
const UNREPORTED_QUEUE_LENGTH: f64 = 1.0;

/// Whether attempts that have not started are checked.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum StartCheck {
    /// Starts are not reported, probes are forbidden, or hedging is disabled.
    #[default]
    Disabled,
    Enabled,
}

impl StartCheck {
    /// Enabled if the settings allow hedging and probes, and executors report starts.
    pub fn new(settings: &Settings) -> Self {
        let limits = &settings.limits;
        match limits.hedging_enabled && settings.executors.reports_start && limits.probes_enabled {
            true => StartCheck::Enabled,
            false => StartCheck::Disabled,
        }
    }

    /// When an attempt of this class that is dispatched now is checked: after its latency objective, but not before
    /// its executor's load report can include it. Infinite if attempts are not checked.
    pub fn due_at(self, class: &RequestClass, now: Millis) -> Millis {
        let delay = match self {
            StartCheck::Disabled => f64::INFINITY,
            StartCheck::Enabled => REPORT_LIFETIME,
        };
        now + class.latency_objective.max(delay)
    }
}

/// Whether the last attempt of a request never reached its executor: it has not started, although the executor
/// reports free capacity.
pub(crate) fn is_lost(request: &Request) -> bool {
    let Some(attempt) = request.attempts.last() else { return false };
    let shows_capacity = request.reports.iter().any(|candidate| {
        let queue_length = candidate.report.queue_length.unwrap_or(UNREPORTED_QUEUE_LENGTH);
        candidate.executor == attempt.executor
            && queue_length < MIN_QUEUE_LENGTH
            && candidate.report.free_slots.unwrap_or(0.0) >= request.slots
    });
    attempt.started_at.is_none() && shows_capacity
}

#[cfg(test)]
#[path = "../../tests/unit/start_check.rs"]
mod tests;
