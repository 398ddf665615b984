//! Fake Consul agents on loopback, for tests and rehearsals: the health endpoint with blocking queries, written from
//! the public documentation of the HTTP API, and with a [`Fault`] if a test sets one.
//!
//! One [`Cluster`] has the catalogue; each [`Agent`] serves it at an address of its own.
mod agent;
mod catalogue;
mod query;

pub use agent::{Agent, AnswerCallback, Fault};
pub use catalogue::{Cluster, Instance, Status};
