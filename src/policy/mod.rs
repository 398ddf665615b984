//! Every decision of the dispatcher, one file for each concern: these files alone say which requests are
//! taken, where each goes, what is sent again and what is given up.
pub(crate) mod admission;
mod lifecycle;
mod outlier;
pub(crate) mod retry;
mod sampling;
mod selection;
pub(crate) mod slow_start;

pub(crate) use sampling::MAX_SAMPLE_SIZE;
pub use sampling::{best_sample_size, time_in_system};
