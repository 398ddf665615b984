//! The executors of a day and the machines that they model.
use crate::scenario::{Cancels, Executors, Order, ReadingsSpec, Rules, Scenario, millis};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use troutknot_emulator::{CancelPower, Cold, Fall, Machine, QueueOrder, Ramp, Readings};

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
        waiting_room: group.waiting_room,
        order: queue_order(group.order),
        cold: Some(slow_start(rules)),
        cancels: cancel_power(group.cancels),
        checkpoint_every: group.checkpoint_every.map(millis),
        drain_returns: group.drain_returns,
        probe_work: millis(group.probe_work),
        handshake_work: millis(group.handshake_work),
        connections: group.connections,
        readings: readings(&group.readings),
        progress_every: group.progress_every.map(millis),
    }
}

fn queue_order(order: Order) -> QueueOrder {
    match order {
        Order::InOrder => QueueOrder::InOrder,
        Order::Backfill => QueueOrder::Backfill,
        Order::Priority => QueueOrder::Priority,
    }
}

fn cancel_power(cancels: Cancels) -> CancelPower {
    match cancels {
        Cancels::Nothing => CancelPower::Nothing,
        Cancels::Waiting => CancelPower::Waiting,
        Cancels::Running => CancelPower::Running,
    }
}

fn slow_start(rules: &Rules) -> Cold {
    Cold {
        share: rules.cold_share,
        ramp: Ramp::Time(millis(rules.ramp)),
        fall: Some(Fall { multiple: rules.fall_multiple, window: millis(rules.fall_window) }),
    }
}

fn readings(spec: &ReadingsSpec) -> Readings {
    Readings {
        refresh: millis(spec.refresh),
        delay: millis(spec.delay),
        jitter: millis(spec.jitter),
        noise: spec.noise,
    }
}
