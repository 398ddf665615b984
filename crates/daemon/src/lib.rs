//! A node: the dispatcher with network I/O.
//!
//! [`start`] runs a node until a shutdown is requested; the programs `troutknotd` and `troutknot node` call it. The
//! `driver` owns the dispatcher, which makes the decisions; `downstream` serves connections from clients, `upstream`
//! maintains connections to executors, and `discovery` watches the endpoint list. They exchange the messages of
//! `event`.
mod admin;
mod byte_budget;
mod config;
mod discovery;
mod downstream;
mod driver;
mod durable;
mod error;
mod event;
mod gossip;
mod hot_restart;
mod http1;
mod in_flight;
mod lifecycle;
mod logging;
mod membership;
mod node;
mod protocol;
mod retention;
mod ring_buffer;
mod shutdown;
mod takeover;
mod tasks;
mod units;
mod upstream;

pub use error::NodeError;
pub use logging::{LogGuard, log_to_stdout};
pub use node::check::{check, check_operator_file, path_from_environment};
pub use node::start;

#[cfg(test)]
#[path = "../tests/unit/compatibility.rs"]
mod compatibility;
