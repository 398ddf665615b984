//! Retries: where and until when a request may be dispatched again, depending on the effect of running it twice.
use crate::endpoint::{DeduplicationDomain, Endpoint};
use crate::event::Outcome;
use crate::ids::ExecutorId;
use crate::settings::{DeduplicationScope, Effect};
use crate::state::request::Attempt;
use crate::state::request_class::RequestClass;
use crate::time::Millis;

/// Part of the deduplication window within which a request is sent again. The rest covers transit time and
/// clock skew.
const USABLE_WINDOW_SHARE: f64 = 0.8;

/// Where a request may be dispatched next.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RetryTarget {
    Anywhere,
    /// Only to executors that recognize a repeat of a request that this attempt may have run.
    SameDeduplicationDomain(AttemptOrigin),
    Nowhere,
}

/// Where and when an attempt was sent that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOrigin {
    executor: ExecutorId,
    domain: DeduplicationDomain,
    sent_at: Millis,
}

impl AttemptOrigin {
    fn of(attempt: &Attempt) -> Self {
        AttemptOrigin { executor: attempt.executor, domain: attempt.domain, sent_at: attempt.sent_at }
    }

    /// Whether this executor recognizes a repeat of the attempt: it received the attempt itself, or is known to share
    /// the records of the one that did.
    fn is_recognized_by(&self, class: &RequestClass, endpoint: &Endpoint) -> bool {
        let is_receiver = endpoint.executor == self.executor && !endpoint.has_started_after(self.sent_at);
        is_receiver || class.is_same_deduplication_domain(endpoint.deduplication_domain(), self.domain)
    }
}

impl RetryTarget {
    /// Whether a request of this class may be dispatched to this executor.
    pub fn allows(&self, class: &RequestClass, endpoint: &Endpoint) -> bool {
        match self {
            RetryTarget::Anywhere => true,
            RetryTarget::Nowhere => false,
            RetryTarget::SameDeduplicationDomain(origin) => origin.is_recognized_by(class, endpoint),
        }
    }
}

/// The final answer to a request that was not served.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum UnservedAnswer {
    /// The request was not served; the client may send it again.
    Rejected,
    /// The request may have run; the client must check before it sends it again.
    Failed,
}

/// What the attempts of a request so far allow: where it may be retried, and its answer if it is not served.
pub(crate) struct RetryPolicy {
    pub target: RetryTarget,
    pub unserved_answer: UnservedAnswer,
}

impl RetryPolicy {
    /// Decides by the effect of the class and by the first attempt that may have run or may still run.
    pub fn decide(class: &RequestClass, attempts: &[Attempt], now: Millis) -> Self {
        let Some(first) = first_possible_run(attempts) else {
            return RetryPolicy { target: RetryTarget::Anywhere, unserved_answer: UnservedAnswer::Rejected };
        };
        let is_recognized_everywhere = class.terms.deduplication_scope == DeduplicationScope::All;
        match class.terms.effect {
            Effect::Idempotent => {
                RetryPolicy { target: RetryTarget::Anywhere, unserved_answer: UnservedAnswer::Rejected }
            }
            Effect::AtMostOnce => {
                RetryPolicy { target: RetryTarget::Nowhere, unserved_answer: UnservedAnswer::Failed }
            }
            Effect::Deduplicated => {
                let is_window_over =
                    now - first.sent_at > class.terms.deduplication_window * USABLE_WINDOW_SHARE;
                let target = match is_window_over {
                    true => RetryTarget::Nowhere,
                    false if is_recognized_everywhere => RetryTarget::Anywhere,
                    false => RetryTarget::SameDeduplicationDomain(AttemptOrigin::of(first)),
                };
                let unserved_answer =
                    if is_recognized_everywhere { UnservedAnswer::Rejected } else { UnservedAnswer::Failed };
                RetryPolicy { target, unserved_answer }
            }
        }
    }

    /// Whether the rules allow another attempt of a request at any executor.
    pub fn allows_dispatch(class: &RequestClass, attempts: &[Attempt], now: Millis) -> bool {
        !Self::is_exhausted(class, attempts)
            && !matches!(Self::decide(class, attempts, now).target, RetryTarget::Nowhere)
    }

    /// Whether a request has used up the attempts that its class allows.
    pub fn is_exhausted(class: &RequestClass, attempts: &[Attempt]) -> bool {
        attempts.len() >= class.max_attempts
    }

    /// Returns until when the last byte of the next attempt may be sent. Establishing a connection takes time, so
    /// a request that may have run needs a bound: it is sent completely within its deduplication window, or not
    /// at all.
    pub fn send_deadline(class: &RequestClass, attempts: &[Attempt], attempt_deadline: Millis) -> Millis {
        let first = first_possible_run(attempts).filter(|_| class.terms.effect == Effect::Deduplicated);
        let window = class.terms.deduplication_window * USABLE_WINDOW_SHARE;
        first.map_or(attempt_deadline, |first| attempt_deadline.min(first.sent_at + window))
    }
}

/// The first attempt that may have run or may still run.
fn first_possible_run(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran))
}

#[cfg(test)]
#[path = "../../tests/unit/retry.rs"]
mod tests;
