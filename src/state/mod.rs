//! State that decides nothing and knows no dispatching.
pub(crate) mod discovery_backoff;
pub(crate) mod executor_table;
