//! Decisions of a dispatcher that pushes requests to executors: without I/O and clock, one instance a node.
//!
//! A host makes a [`Dispatcher`] from [`Settings`], a seed and the time, hands it [`Event`]s and carries out
//! the [`Action`]s that follow:
//!
//! ```
//! use troutknot::{Action, Dispatcher, Event, Settings};
//! let mut dispatcher = Dispatcher::new(&Settings::default(), 7, 0.0);
//! dispatcher.handle_event(0.0, Event::TimerFired);
//! let mut actions: Vec<Action> = Vec::new();
//! dispatcher.poll_actions(0.0, &mut actions);
//! assert!(actions.is_empty());
//! ```
//!
//! [`policy`] holds every decision, [`dispatcher`] what drives it. Two hosts drive it: `crates/daemon`, the
//! real node, and `crates/simulator-adapter`, the simulator's adapter; `crates/simulation` plays whole days with it.

/// So that tests of private items use the helpers of the others.
#[cfg(test)]
extern crate self as troutknot;

pub mod action;
pub mod dispatcher;
pub mod endpoint;
pub mod event;
pub mod ids;
pub mod log_event;
pub mod policy;
pub mod settings;
mod state;
pub mod time;
pub mod warm_state;

pub use action::Action;
pub use dispatcher::Dispatcher;
pub use endpoint::{Endpoint, EndpointState, ListUpdate, LoadReport};
pub use event::{Event, GossipMessage, Outcome, ProbeReply};
pub use ids::{
    AttemptId, DeduplicationGroupId, ExecutorId, MachineTypeId, RequestClassId, RequestId, TenantId, ZoneId,
};
pub use log_event::LogEvent;
pub use settings::{DeduplicationScope, Effect, Settings};
pub use time::Millis;
pub use warm_state::{DecayingScore, ExecutorWarmState, ObservedMean, WarmState, WarmUpDispatch};
