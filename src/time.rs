//! Time in the dispatcher, which has no clock: its host passes the time with each call.

/// A point in time or a duration, in milliseconds with fractions.
pub type Millis = f64;
