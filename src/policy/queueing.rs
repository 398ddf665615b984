//! Queueing at this node: how long a request waits for capacity, which queued request is dispatched first, and
//! when a request is given up.
use super::retry::RetryPolicy;
use crate::ids::RequestId;
use crate::state::request::Request;
use crate::state::request_class::RequestClass;
use crate::time::Millis;

/// Longest wait in the queue, as a part of the latency objective of a request of mean running time. The rest
/// covers the attempt; a request with a shorter running time may have a shorter objective.
pub(crate) const MAX_WAIT_SHARE: f64 = 0.25;
/// Interval at which a queued request samples executors again, as a part of its longest wait.
const RECHECK_SHARE: f64 = 0.5;

/// The decision on a request for which no executor has capacity.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum QueueDecision {
    Enqueue {
        /// When the request samples executors again.
        recheck_at: Millis,
    },
    GiveUp,
}

/// Longest wait in the queue for a request of this class, in milliseconds.
pub(crate) fn max_queueing_time(class: &RequestClass) -> Millis {
    MAX_WAIT_SHARE * class.mean_objective(class.response_time.mean)
}

/// Queues a request until its longest wait or its deadline is over, as long as another attempt is allowed. `queued`
/// is the number of queued requests. If there are any, capacity is short, and a request over its tenant's quota is
/// given up.
pub(crate) fn decide(class: &RequestClass, request: &Request, queued: usize, now: Millis) -> QueueDecision {
    let max_wait = max_queueing_time(class);
    let until = (request.first_sent_at + max_wait).min(request.deadline);
    let is_retry_allowed = RetryPolicy::allows_dispatch(class, &request.attempts, now);
    let is_shed = request.is_over_quota && queued > 0;
    if now >= until || !is_retry_allowed || is_shed {
        return QueueDecision::GiveUp;
    }
    QueueDecision::Enqueue { recheck_at: (now + max_wait * RECHECK_SHARE).min(until) }
}

/// Priority of a queued request: its value per slot times its waiting time. `over_quota_value` is the part of
/// its value that a request over its tenant's quota retains, 0 to 1.
pub(crate) fn priority(class: &RequestClass, request: &Request, over_quota_value: f64, now: Millis) -> f64 {
    let part = if request.is_over_quota { over_quota_value } else { 1.0 };
    part * class.terms.value / request.slots * (now - request.first_sent_at)
}

/// Returns the queued request with the highest priority; of equal ones, the last.
pub(crate) fn highest_priority(
    queue: &[RequestId],
    priority: impl Fn(RequestId) -> f64,
) -> Option<RequestId> {
    queue.iter().copied().max_by(|&one, &other| priority(one).total_cmp(&priority(other)))
}

#[cfg(test)]
#[path = "../../tests/unit/queueing.rs"]
mod tests;
