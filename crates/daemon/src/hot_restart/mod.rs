//! Hot restart: a new process of a node takes over from the running one, while the platform keeps the listening socket
//! open and passes it to the new process.
//!
//! The new process connects to the old one over a Unix socket in `$TMPDIR` and receives its state: the endpoint list,
//! exclusions by operators, recent request ids, and measurements of executors. While both run, each reports changes
//! and its usage of shared limits to the other.
//!
//! This module contains the messages, the connection, and the handle through which the rest of the node sends messages
//! to the other process. It does not depend on the rest of the node; `takeover` implements the exchange on top of it.
pub mod codec;
pub mod inherited_socket;
pub mod job_record;
pub mod link;
pub mod sibling;
