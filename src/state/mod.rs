//! State that the rules work on: executors, requests, probe statistics, timers and token buckets.
pub(crate) mod adaptive_share;
pub(crate) mod discovery_backoff;
pub(crate) mod executor_state;
pub(crate) mod executor_table;
mod machine_types;
pub(crate) mod probe_statistics;
pub(crate) mod request;
pub(crate) mod request_class;
pub(crate) mod timer_queue;
pub(crate) mod token_bucket;

/// Updates an exponential moving average with a sample of this weight, 0 to 1.
pub(crate) fn smooth(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}
