//! Hot restart: a new process of a node takes over from the one that runs, while the platform keeps the listening
//! socket open and passes it on.
//!
//! The new process connects to the old one over a Unix socket in `$TMPDIR` and receives its state: the endpoint
//! list, what operators excluded, recent request ids, and what was measured of executors. As long as both run,
//! each reports changes and its usage of shared limits to the other.
//!
//! This module has the messages, the connection and the shared value by which the parts of the node reach the other
//! process. It knows none of these parts; `takeover`, which drives both sides, stands above them.
pub mod codec;
pub mod inherited_socket;
pub mod link;
pub mod sibling;
