//! The executors of a day and their simulated machines.
use crate::scenario::{self, ExecutorGroup, LoadReportSpec, Rules, Scenario, millis};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use troutknot_emulator::{
    CancelScope, LoadReportTiming, Machine, OverloadLimit, QueueOrder, Ramp, SlowStart,
};

/// One executor over the day.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedExecutor {
    /// The index of its group in the scenario.
    pub group: usize,
    /// The simulated machine that it runs on.
    pub machine: Machine,
    /// Seeds the random behaviour of the machine.
    pub seed: u64,
    /// The machine type under which discovery lists it.
    pub machine_type: String,
    /// Whether it runs when the day starts; a replacement joins during the day.
    pub is_initial: bool,
    /// Whether it starts without warm caches, so that it serves slowly at first.
    pub slow_start: bool,
}

/// Generates the executors that run when the day starts; one draw for each.
pub(super) fn generate_initial(scenario: &Scenario, mut rng: ChaCha8Rng) -> Vec<PlannedExecutor> {
    let mut executors = Vec::new();
    for (group_index, group) in scenario.executors.iter().enumerate() {
        let group = group.get_ref();
        for _ in 0..group.count {
            executors.push(PlannedExecutor {
                group: group_index,
                machine: machine(group, &scenario.rules),
                seed: rng.random(),
                machine_type: group.machine_type.clone(),
                is_initial: true,
                slow_start: group.slow_start,
            });
        }
    }
    executors
}

fn machine(group: &ExecutorGroup, rules: &Rules) -> Machine {
    Machine {
        slots: group.slots,
        cores: group.cores.unwrap_or(group.slots),
        speed: group.speed,
        memory: group.memory.unwrap_or(f64::INFINITY),
        queue_capacity: group.queue_capacity,
        queue_order: queue_order(group.queue_order),
        slow_start: Some(slow_start(rules)),
        cancel_scope: cancel_scope(group.cancel_scope),
        checkpoint_interval: group.checkpoint_interval.map(millis),
        returns_queue_on_drain: group.returns_queue_on_drain,
        probe_work: millis(group.probe_work),
        handshake_work: millis(group.handshake_work),
        max_connections: group.max_connections,
        load_reports: load_report_timing(&group.load_reports),
        progress_interval: group.progress_interval.map(millis),
    }
}

fn queue_order(order: scenario::QueueOrder) -> QueueOrder {
    match order {
        scenario::QueueOrder::InOrder => QueueOrder::InOrder,
        scenario::QueueOrder::Backfill => QueueOrder::Backfill,
        scenario::QueueOrder::Priority => QueueOrder::Priority,
    }
}

fn cancel_scope(scope: scenario::CancelScope) -> CancelScope {
    match scope {
        scenario::CancelScope::Nothing => CancelScope::None,
        scenario::CancelScope::Waiting => CancelScope::Waiting,
        scenario::CancelScope::Running => CancelScope::Running,
    }
}

fn slow_start(rules: &Rules) -> SlowStart {
    SlowStart {
        initial_capacity: rules.initial_capacity,
        ramp: Ramp::Time(millis(rules.ramp_duration)),
        overload_limit: Some(OverloadLimit {
            multiple: rules.budget_multiple,
            window: millis(rules.budget_window),
        }),
    }
}

fn load_report_timing(spec: &LoadReportSpec) -> LoadReportTiming {
    LoadReportTiming {
        interval: millis(spec.interval),
        delay: millis(spec.delay),
        jitter: millis(spec.jitter),
        noise: spec.noise,
    }
}
