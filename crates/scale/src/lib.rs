//! Scale runs: some real nodes beside thousands of hollow executors and hollow nodes, on loopback sockets.
//!
//! A [`file::ScaleFile`] says what is measured. [`campaign::run`] measures it and emits [`row::Row`]s, which
//! [`evaluation`] holds against the bounds and [`fit`] lays a line through, over the size of the fleet. [`table`] prints
//! both, for rows that have just been measured as for those of an earlier run.
pub mod bounds;
pub mod campaign;
pub mod catalog;
pub mod clients;
mod departures;
pub mod discovery;
pub mod evaluation;
pub mod executor_counts;
pub mod executor_orders;
pub mod executor_shard;
pub mod executor_terms;
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
pub mod registry_figures;
pub mod request_id;
pub mod row;
pub mod table;
pub mod wire;
