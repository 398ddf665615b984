//! The sources of the list of executors; each tells the same events.
pub mod platform;
