//! Rehearses a day: generates a [`plan::Plan`] from a [`scenario::Scenario`], plays it on real sockets against real
//! nodes, and judges the observations with the [`referee`].
pub mod clients;
pub mod diagnostics;
pub mod endpoint_lists;
pub mod node_config;
pub mod node_process;
pub mod plan;
pub mod referee;
pub mod run;
pub mod scenario;
pub mod world;
