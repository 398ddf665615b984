//! Stand-ins for outside systems, written from their public specifications: they bind to loopback only, and do
//! what a script tells them.
pub mod consul;
