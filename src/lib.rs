//! Decisions of a dispatcher that pushes work units to executors: sans-IO, clockless, one instance a node.
//!
//! [`policy`] holds every decision, [`terms`] the words spoken with it. A host makes a [`Dispatcher`] from
//! named values, a seed and the time, tells it events and carries out the actions that it emits:
//!
//! ```
//! use troutknot::{Action, Dispatcher, Event, Given, NamedValues};
//! let mut values = NamedValues::default();
//! values.insert("nodes", Given::Number(1.0));
//! let mut node = Dispatcher::new(values, 7, 0.0);
//! node.tell(0.0, Event::TimerFired);
//! let mut actions: Vec<Action> = Vec::new();
//! node.emit(0.0, &mut actions);
//! assert!(actions.is_empty());
//! ```
//!
//! Two hosts drive it: `crates/daemon`, the real node, and `crates/wirehost`, the simulator's adapter. Room
//! is left, by boundaries alone, for IPP. `crates/rehearsal` rehearses whole days with it.

/// So that tests of private items use the helpers of the others.
#[cfg(test)]
extern crate self as troutknot;

pub mod policy;
mod state;
pub mod terms;

pub use policy::Dispatcher;
pub use terms::*;
