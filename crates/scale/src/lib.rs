//! Scale runs: a few real nodes and thousands of hollow executors and hollow nodes, on loopback sockets.
//!
//! A [`file::ScaleFile`] defines the measurements. [`campaign::run`] makes them and emits [`row::Row`]s, which
//! [`evaluation`] compares with the bounds; [`fit`] fits a straight line to them over the size of the fleet. [`table`]
//! prints both, for the rows of the current run as well as for those of an earlier one.
pub mod bounds;
pub mod campaign;
pub mod catalog;
pub mod clients;
mod departures;
pub mod discovery;
pub mod evaluation;
pub mod executor_commands;
pub mod executor_config;
pub mod executor_counts;
pub mod executor_shard;
pub mod executor_worker;
pub mod fault_plan;
pub mod file;
pub mod fit;
pub mod fleet;
pub mod hollow_executors;
pub mod hollow_nodes;
pub mod measurement;
mod node_config;
pub mod node_process;
mod real_node;
pub mod registry_counts;
pub mod request_id;
pub mod row;
pub mod table;
pub mod wire;
