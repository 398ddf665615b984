//! Time in the decision module, which has no clock: its host states the time with each call.

/// A point in time or a span, in milliseconds with fractions.
pub type Millis = f64;
