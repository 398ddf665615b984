//! The executors of a day and the machines that they model.
use crate::scenario::{Cancels, Executors, Order, ReadingsSpec, Rules, Scenario, millis};
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
    /// The model of its machine.
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
pub(super) fn initial(scenario: &Scenario, mut rng: ChaCha8Rng) -> Vec<PlannedExecutor> {
    let mut executors = Vec::new();
    for (group_index, group) in scenario.executors.iter().enumerate() {
        let group = group.get_ref();
        for _ in 0..group.count {
            executors.push(PlannedExecutor {
                group: group_index,
                machine: machine(group, &scenario.rules),
                seed: rng.random(),
                machine_type: group.kind.clone(),
                is_initial: true,
                slow_start: group.cold,
            });
        }
    }
    executors
}

fn machine(group: &Executors, rules: &Rules) -> Machine {
    Machine {
        slots: group.slots,
        cores: group.cores.unwrap_or(group.slots),
        speed: group.speed,
        memory: group.memory.unwrap_or(f64::INFINITY),
        queue_capacity: group.waiting_room,
        queue_order: queue_order(group.order),
        slow_start: Some(slow_start(rules)),
        cancel_scope: cancel_power(group.cancels),
        checkpoint_interval: group.checkpoint_every.map(millis),
        returns_queue_on_drain: group.drain_returns,
        probe_work: millis(group.probe_work),
        handshake_work: millis(group.handshake_work),
        max_connections: group.connections,
        load_reports: readings(&group.readings),
        progress_interval: group.progress_every.map(millis),
    }
}

fn queue_order(order: Order) -> QueueOrder {
    match order {
        Order::InOrder => QueueOrder::InOrder,
        Order::Backfill => QueueOrder::Backfill,
        Order::Priority => QueueOrder::Priority,
    }
}

fn cancel_power(cancels: Cancels) -> CancelScope {
    match cancels {
        Cancels::Nothing => CancelScope::None,
        Cancels::Waiting => CancelScope::Waiting,
        Cancels::Running => CancelScope::Running,
    }
}

fn slow_start(rules: &Rules) -> SlowStart {
    SlowStart {
        initial_capacity: rules.cold_share,
        ramp: Ramp::Time(millis(rules.ramp)),
        overload_limit: Some(OverloadLimit {
            multiple: rules.fall_multiple,
            window: millis(rules.fall_window),
        }),
    }
}

fn readings(spec: &ReadingsSpec) -> LoadReportTiming {
    LoadReportTiming {
        interval: millis(spec.refresh),
        delay: millis(spec.delay),
        jitter: millis(spec.jitter),
        noise: spec.noise,
    }
}
