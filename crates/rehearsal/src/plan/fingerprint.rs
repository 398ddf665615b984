//! A plan's hash. Reports and recorded runs name a plan by it, so its input text is a format of its own and does not
//! follow the names of the types in this crate.
use super::{Plan, PlannedExecutor, Request, Step};
use std::fmt;

const HASH_DIGITS: usize = 16;

impl Plan {
    /// The hash of everything in the plan, in 16 hex digits.
    pub fn hash(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for request in &self.requests {
            hash_request(&mut hasher, request);
        }
        let executors: Vec<ExecutorText> = self.executors.iter().map(ExecutorText).collect();
        let steps: Vec<_> = self.steps.iter().map(|(at, step)| (at, StepText(step))).collect();
        hasher.update(format!("{executors:?}{steps:?}").as_bytes());
        hasher.finalize().to_hex()[..HASH_DIGITS].to_string()
    }
}

fn hash_request(hasher: &mut blake3::Hasher, request: &Request) {
    for figure in [request.at, request.work, request.disconnects_after.unwrap_or(-1.0)] {
        hasher.update(&figure.to_bits().to_le_bytes());
    }
    hasher.update(&[request.request_class as u8, request.tenant as u8]);
}

/// The hashed form of an executor.
struct ExecutorText<'a>(&'a PlannedExecutor);

impl fmt::Debug for ExecutorText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlannedExecutor")
            .field("group", &self.0.group)
            .field("machine", &self.0.machine)
            .field("seed", &self.0.seed)
            .field("kind", &self.0.machine_type)
            .field("at_start", &self.0.is_initial)
            .field("cold", &self.0.slow_start)
            .finish()
    }
}

/// The hashed form of a step.
struct StepText<'a>(&'a Step);

impl fmt::Debug for StepText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let executor_step = |f: &mut fmt::Formatter<'_>, name: &str, executor: &usize| {
            f.debug_struct(name).field("executor", executor).finish()
        };
        match self.0 {
            Step::Join { executor } => executor_step(f, "Join", executor),
            Step::Drain { executor } => executor_step(f, "Drain", executor),
            Step::Leave { executor } => executor_step(f, "Leave", executor),
            Step::KillExecutor { executor } => executor_step(f, "KillExecutor", executor),
            Step::RestartExecutor { executor } => executor_step(f, "RestartExecutor", executor),
            Step::ListRemoved { executor } => executor_step(f, "ListGone", executor),
            Step::ListRestarted { executor } => executor_step(f, "ListBack", executor),
            Step::ListFailing { executor } => executor_step(f, "ListFailing", executor),
            Step::ListPassing { executor } => executor_step(f, "ListWell", executor),
            Step::FaultBegins { .. } | Step::FaultEnds { .. } | Step::SuspendExecutor { .. } => {
                format_operated_executor(self.0, f)
            }
            _ => format_node_or_discovery(self.0, f),
        }
    }
}

fn format_operated_executor(step: &Step, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match step {
        Step::FaultBegins { number, executor, fault } => f
            .debug_struct("TroubleBegins")
            .field("number", number)
            .field("executor", executor)
            .field("trouble", fault)
            .finish(),
        Step::FaultEnds { number, executor } => {
            f.debug_struct("TroubleEnds").field("number", number).field("executor", executor).finish()
        }
        Step::SuspendExecutor { executor, suspended } => {
            f.debug_struct("LeaveOut").field("executor", executor).field("out", suspended).finish()
        }
        _ => Ok(()),
    }
}

fn format_node_or_discovery(step: &Step, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match step {
        Step::KillNode { node } => f.debug_struct("KillNode").field("node", node).finish(),
        Step::TerminateNode { node } => f.debug_struct("EndNode").field("node", node).finish(),
        Step::StartNode { node } => f.debug_struct("StartNode").field("node", node).finish(),
        Step::ReloadNodes => f.write_str("RereadNodes"),
        Step::SilenceDiscovery { silent } => f.debug_struct("SilenceDiscovery").field("on", silent).finish(),
        Step::RestartDiscovery => f.write_str("RestartDiscovery"),
        Step::DiscoveryFault { fault } => f.debug_struct("TroubleDiscovery").field("how", fault).finish(),
        Step::DrainNode { node, drained } => {
            f.debug_struct("DrainNode").field("node", node).field("drain", drained).finish()
        }
        Step::HotRestartNode { node } => f.debug_struct("UpgradeNode").field("node", node).finish(),
        Step::ReconfigureNodes { max_attempts, broken } => {
            f.debug_struct("RetuneNodes").field("attempts", max_attempts).field("broken", broken).finish()
        }
        _ => Ok(()),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fingerprint.rs"]
mod tests;
