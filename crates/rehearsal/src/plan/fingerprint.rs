//! The hash of a plan, which identifies it in reports and recorded runs. The hashed text is a format of its own, so
//! that the hash stays the same when types of this crate are renamed.
use super::{Plan, PlannedExecutor, Request, Step};
use std::fmt;
use troutknot_emulator::{
    CancelScope, LoadReportTiming, Machine, OverloadLimit, QueueOrder, Ramp, SlowStart,
};

const HASH_DIGITS: usize = 16;

impl Plan {
    /// The hash of the requests, executors and steps of the plan, in 16 hex digits.
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
    for value in [request.at, request.work, request.disconnects_after.unwrap_or(-1.0)] {
        hasher.update(&value.to_bits().to_le_bytes());
    }
    hasher.update(&[request.request_class as u8, request.tenant as u8]);
}

/// The hashed form of an executor.
struct ExecutorText<'a>(&'a PlannedExecutor);

impl fmt::Debug for ExecutorText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlannedExecutor")
            .field("group", &self.0.group)
            .field("machine", &MachineText(&self.0.machine))
            .field("seed", &self.0.seed)
            .field("kind", &self.0.machine_type)
            .field("at_start", &self.0.is_initial)
            .field("cold", &self.0.slow_start)
            .finish()
    }
}

/// The hashed form of a machine.
struct MachineText<'a>(&'a Machine);

impl fmt::Debug for MachineText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Machine {
            slots,
            cores,
            speed,
            memory,
            queue_capacity,
            queue_order,
            slow_start,
            cancel_scope,
            checkpoint_interval,
            returns_queue_on_drain,
            probe_work,
            handshake_work,
            max_connections,
            load_reports,
            progress_interval,
        } = self.0;
        let queue_order = match queue_order {
            QueueOrder::InOrder => format_args!("InOrder"),
            QueueOrder::Backfill => format_args!("Backfill"),
            QueueOrder::Priority => format_args!("Priority"),
        };
        let cancel_scope = match cancel_scope {
            CancelScope::None => format_args!("Nothing"),
            CancelScope::Waiting => format_args!("Waiting"),
            CancelScope::Running => format_args!("Running"),
        };
        f.debug_struct("Machine")
            .field("slots", slots)
            .field("cores", cores)
            .field("speed", speed)
            .field("memory", memory)
            .field("waiting_room", queue_capacity)
            .field("order", &queue_order)
            .field("cold", &slow_start.as_ref().map(SlowStartText))
            .field("cancels", &cancel_scope)
            .field("checkpoint_every", checkpoint_interval)
            .field("drain_returns", returns_queue_on_drain)
            .field("probe_work", probe_work)
            .field("handshake_work", handshake_work)
            .field("connections", max_connections)
            .field("readings", &LoadReportTimingText(load_reports))
            .field("progress_every", progress_interval)
            .finish()
    }
}

/// The hashed form of a slow start.
struct SlowStartText<'a>(&'a SlowStart);

impl fmt::Debug for SlowStartText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SlowStart { initial_capacity, ramp, overload_limit } = self.0;
        let (ramp_name, ramp_length) = match ramp {
            Ramp::Time(duration) => ("Time", duration),
            Ramp::Work(work) => ("Work", work),
        };
        f.debug_struct("Cold")
            .field("share", initial_capacity)
            .field("ramp", &format_args!("{ramp_name}({ramp_length:?})"))
            .field("fall", &overload_limit.as_ref().map(OverloadLimitText))
            .finish()
    }
}

/// The hashed form of an overload limit.
struct OverloadLimitText<'a>(&'a OverloadLimit);

impl fmt::Debug for OverloadLimitText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OverloadLimit { multiple, window } = self.0;
        f.debug_struct("Fall").field("multiple", multiple).field("window", window).finish()
    }
}

/// The hashed form of the timing of load reports.
struct LoadReportTimingText<'a>(&'a LoadReportTiming);

impl fmt::Debug for LoadReportTimingText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoadReportTiming { interval, delay, jitter, noise } = self.0;
        f.debug_struct("Readings")
            .field("refresh", interval)
            .field("delay", delay)
            .field("jitter", jitter)
            .field("noise", noise)
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
                format_fault_or_suspension(self.0, f)
            }
            _ => format_node_or_discovery(self.0, f),
        }
    }
}

fn format_fault_or_suspension(step: &Step, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    match step {
        Step::FaultBegins { number, executor, fault } => f
            .debug_struct("TroubleBegins")
            .field("number", number)
            .field("executor", executor)
            .field("trouble", &format_args!("{fault}"))
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
