//! The dispatcher's rules, one module each. A rule takes its inputs as arguments and returns a decision; it has
//! no side effects outside its own state. [`crate::dispatcher`] owns that state and applies the decisions.
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
