//! Emulated executors for tests and rehearsals: a model without I/O in [`model`], and the services that run it on
//! sockets.
//!
//! This crate does not use the code of the daemon, because an error in shared code would cancel out in tests.
pub mod discovery;
pub mod executors;
pub mod front;
pub mod machine;
pub mod model;
pub mod observations;
pub mod scripted;
pub mod theory;
pub mod wire;

pub use machine::*;
pub use model::{Admission, Attempt, AttemptKey, AttemptOutcome, Executor, Load, Output};
