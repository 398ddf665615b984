//! The rules of the dispatcher, one module each. A rule is a value or a function: its inputs are its
//! arguments, and its result says what is to be done. [`crate::dispatcher`] owns the values and applies the
//! results.
pub(crate) mod admission;
pub(crate) mod connection_reuse;
pub(crate) mod outlier;
pub(crate) mod queueing;
pub(crate) mod retry;
pub(crate) mod running_time;
pub(crate) mod sampling;
pub(crate) mod selection;
pub(crate) mod slow_start;
pub(crate) mod start_check;

pub use sampling::{best_sample_size, time_in_system};

#[cfg(test)]
#[path = "../../tests/unit/rule_inputs.rs"]
mod rule_inputs;
