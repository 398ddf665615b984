//! Rehearses days: a [`scenario::Scenario`] becomes a [`plan::Plan`], is played on real sockets against real
//! nodes, and what was seen is judged by the [`referee`].
pub mod briefing;
pub mod clients;
pub mod diagnostics;

pub mod lists;
pub mod nodes;
pub mod plan;
pub mod referee;
pub mod run;
pub mod scenario;
pub mod world;
