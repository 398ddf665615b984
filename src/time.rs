//! Time, as the decision module knows it: without a clock, told by its host.

/// A point in time or a span, in milliseconds with fractions.
pub type Millis = f64;
