//! Configuration of a node: the platform's node file, the operator's file, and the limits derived from both.
pub mod consul;
pub mod durable;
mod file;
pub mod limits;
pub mod node;
pub mod operator;
pub mod reload;
mod validation;
