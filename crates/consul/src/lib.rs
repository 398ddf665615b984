//! Consul as a source of endpoints, without I/O and without a clock: the blocking queries to send ([`query`]), the
//! instances that a response lists ([`health`]), and the resulting changes of the endpoint list ([`catalog`]).
//!
//! Implements the public documentation of the HTTP API: health endpoints, blocking queries, consistency modes. Times are
//! milliseconds on one clock that the caller chooses.
pub mod catalog;
pub mod health;
pub mod query;

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
