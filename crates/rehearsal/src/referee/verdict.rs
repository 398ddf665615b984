//! The result of judging one rehearsal.
use super::tally::Tally;
use super::violation::RuleViolation;
use serde::Serialize;
use std::collections::BTreeMap;

/// All violations of a rehearsal, and how its requests ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// The violations in the order of time.
    #[serde(rename = "breaches")]
    pub violations: Vec<RuleViolation>,
    /// Value of the requests answered within their latency objective, measured from when they were due,
    /// divided by the value of all requests whose client did not leave; 1 without such requests.
    pub service: f64,
    /// The outcomes of all requests.
    pub all: Tally,
    /// The outcomes by the name of the request class.
    #[serde(rename = "by_type")]
    pub by_class: BTreeMap<String, Tally>,
    /// Number of times that an executor failed from overload.
    #[serde(rename = "fell_over")]
    pub overload_failures: usize,
    /// Longest time between the notice that an executor drains or is gone and a dispatch to it.
    #[serde(rename = "longest_after_told_ms")]
    pub longest_dispatch_after_drain_ms: f64,
    /// Largest share of a warm-up budget that was used; above 1 the budget was exceeded.
    #[serde(rename = "cold_budget_used")]
    pub warm_up_budget_used: f64,
}
