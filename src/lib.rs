//! The decision logic of a dispatcher that sends requests to executors, without I/O and without a clock. Each node
//! has one instance.
//!
//! A host creates a [`Dispatcher`] from [`Settings`], a seed and the time, reports [`Event`]s to it, and
//! carries out the resulting [`Action`]s:
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
//! [`policy`] contains the rules, one module each; [`dispatcher`] applies them. The hosts are `crates/daemon`,
//! the node, `crates/simulator-adapter`, the adapter to the simulator, and `crates/simulation`, which simulates a
//! fleet.

// Unit tests use the helpers of the integration tests, which import this crate by its name.
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
pub use endpoint::{DeduplicationDomain, Endpoint, EndpointState, ListUpdate, LoadReport};
pub use event::{Event, GossipMessage, Outcome, ProbeReply};
pub use ids::{
    AttemptId, DeduplicationGroupId, ExecutorId, MachineTypeId, RequestClassId, RequestId, TenantId, ZoneId,
};
pub use log_event::LogEvent;
pub use settings::{DeduplicationScope, Effect, Settings};
pub use time::Millis;
pub use warm_state::{DecayingScore, ExecutorWarmState, ObservedMean, WarmState, WarmUpDispatch};
