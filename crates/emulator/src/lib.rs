//! Emulated executors for tests and rehearsals: [`model`] without I/O, and the sockets round it.
//!
//! Nothing here uses the daemon's code, so that a mistake there cannot hide itself.
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
