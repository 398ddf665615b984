//! What may be retried, and where, by what running it twice would do. It is said here alone.
use crate::ids::ExecutorId;
use crate::settings::{DeduplicationScope, Effect};
use crate::state::request::Request;
use crate::state::request_class::RequestClass;
use crate::time::Millis;

/// Deduplicated work is sent again only this part into its window, for the way there and clocks that differ.
pub(crate) const WINDOW_MARGIN: f64 = 0.8;

/// Where a request may be sent next.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RetryTarget {
    Anywhere,
    /// Only to executors that recognize repeats of what this one may have run.
    SameDeduplicationDomain(ExecutorId),
    Nowhere,
}

pub(crate) struct RetryPolicy {
    pub target: RetryTarget,
    /// Whether the client may send it again after an answer that it was not served.
    pub may_reject: bool,
}

impl RetryPolicy {
    pub fn decide(class: &RequestClass, request: &Request, now: Millis) -> Self {
        let Some(first) = request.first_possible_run() else {
            return RetryPolicy { target: RetryTarget::Anywhere, may_reject: true };
        };
        let is_everywhere = class.terms.deduplication_scope == DeduplicationScope::All;
        match class.terms.effect {
            Effect::Idempotent => RetryPolicy { target: RetryTarget::Anywhere, may_reject: true },
            Effect::AtMostOnce => RetryPolicy { target: RetryTarget::Nowhere, may_reject: false },
            Effect::Deduplicated => {
                let is_over = now - first.sent_at > class.terms.deduplication_window * WINDOW_MARGIN;
                let target = match is_over {
                    true => RetryTarget::Nowhere,
                    false if is_everywhere => RetryTarget::Anywhere,
                    false => RetryTarget::SameDeduplicationDomain(first.executor),
                };
                RetryPolicy { target, may_reject: is_everywhere }
            }
        }
    }

    /// Until when the last byte of a next attempt may go out. A connection may come up late: what may have
    /// run goes out complete inside its window, or not.
    pub fn send_deadline(class: &RequestClass, request: &Request, attempt_deadline: Millis) -> Millis {
        let first = request.first_possible_run().filter(|_| class.terms.effect == Effect::Deduplicated);
        let window = class.terms.deduplication_window * WINDOW_MARGIN;
        first.map_or(attempt_deadline, |first| attempt_deadline.min(first.sent_at + window))
    }
}
