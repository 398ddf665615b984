//! Running times: the smoothed means per class and over all requests.
use crate::state::request::Attempt;
use crate::state::request_class::RequestClass;
use crate::state::smooth;
use crate::time::Millis;

/// Weight of one attempt in a smoothed mean, which averages over about the last 30 attempts.
const RUNNING_TIME_WEIGHT: f64 = 0.03;

/// Adds a completed attempt to the means unless it is scaled, and returns its response time as a multiple of
/// the mean of its class.
///
/// `scale` is below 1 for an executor in slow start if many nodes share the load. It scales the response time
/// down to that of a warm executor; this is an estimate, which would distort the means.
pub(crate) fn observe(
    class: &mut RequestClass,
    mean_running_time: &mut Millis,
    attempt: &Attempt,
    now: Millis,
    scale: f64,
) -> f64 {
    let response_time = (now - attempt.sent_at) * scale;
    if scale >= 1.0 {
        let started_at = attempt.sent_at.max(attempt.started_at.unwrap_or(f64::NEG_INFINITY));
        class.response_time.observe(response_time, RUNNING_TIME_WEIGHT);
        class.service_time.observe(now - started_at, RUNNING_TIME_WEIGHT);
        smooth(mean_running_time, response_time, RUNNING_TIME_WEIGHT);
    }
    response_time / class.response_time.mean
}

#[cfg(test)]
#[path = "../../tests/unit/running_time.rs"]
mod tests;
