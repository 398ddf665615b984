//! A token bucket: tokens are added at a rate, up to a capacity.
use crate::time::Millis;

/// A token bucket that starts full, independently of its capacity.
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
    pub rate_per_ms: f64,
}

impl TokenBucket {
    pub fn new(now: Millis) -> Self {
        TokenBucket { tokens: f64::INFINITY, refilled_at: now, rate_per_ms: 0.0 }
    }

    /// Adds the tokens accumulated since the last refill, up to `capacity`.
    pub fn refill(&mut self, now: Millis, capacity: f64) {
        self.tokens = (self.tokens + self.rate_per_ms * (now - self.refilled_at)).min(capacity);
        self.refilled_at = now;
    }

    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes one token; the bucket must have one.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
