//! Hot restart: a new process of a node takes over from the one that runs, while the platform keeps the listening
//! socket open and passes it on.
//!
//! The new process connects to the old one over a Unix socket in `$TMPDIR` and receives its state: the endpoint
//! list, what operators excluded, recent request ids, and what was measured of executors. As long as both run,
//! each reports changes and its usage of shared limits to the other.
pub mod codec;
pub mod inherited_socket;
pub mod link;
pub mod sibling;
pub mod takeover;
