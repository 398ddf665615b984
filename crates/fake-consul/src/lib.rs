//! Fake Consul agents on loopback, for tests and rehearsals. They serve the health endpoint with blocking queries as in
//! the public documentation of the HTTP API, and simulate a [`Fault`] if a test sets one.
//!
//! One [`Cluster`] holds the catalog; each [`Agent`] serves it at its own address.
mod agent;
mod catalog;
mod query;

pub use agent::{Agent, Fault, ResponseCallback};
pub use catalog::{Cluster, Instance, Status};
