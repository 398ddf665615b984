//! The hashed text of a plan. Guards against renamed types that change the hash by which reports name a plan.
use super::*;
use crate::scenario::DiscoveryFault;
use troutknot_emulator::Fault;

#[test]
fn the_hashed_text_of_each_step_is_stable() {
    let slow = Fault::Slow { factor: 2.0 };
    let texts = [
        (
            Step::FaultBegins { number: 1, executor: 2, fault: slow },
            "TroubleBegins { number: 1, executor: 2, trouble: Slow { factor: 2.0 } }",
        ),
        (Step::FaultEnds { number: 1, executor: 2 }, "TroubleEnds { number: 1, executor: 2 }"),
        (Step::Join { executor: 2 }, "Join { executor: 2 }"),
        (Step::Drain { executor: 2 }, "Drain { executor: 2 }"),
        (Step::Leave { executor: 2 }, "Leave { executor: 2 }"),
        (Step::KillExecutor { executor: 2 }, "KillExecutor { executor: 2 }"),
        (Step::RestartExecutor { executor: 2 }, "RestartExecutor { executor: 2 }"),
        (Step::ListRemoved { executor: 2 }, "ListGone { executor: 2 }"),
        (Step::ListRestarted { executor: 2 }, "ListBack { executor: 2 }"),
        (Step::KillNode { node: 3 }, "KillNode { node: 3 }"),
        (Step::TerminateNode { node: 3 }, "EndNode { node: 3 }"),
        (Step::StartNode { node: 3 }, "StartNode { node: 3 }"),
        (Step::ReloadNodes, "RereadNodes"),
        (Step::SilenceDiscovery { silent: true }, "SilenceDiscovery { on: true }"),
        (Step::RestartDiscovery, "RestartDiscovery"),
        (Step::ListFailing { executor: 2 }, "ListFailing { executor: 2 }"),
        (Step::ListPassing { executor: 2 }, "ListWell { executor: 2 }"),
        (
            Step::DiscoveryFault { fault: Some(DiscoveryFault::HalfBody) },
            "TroubleDiscovery { how: Some(HalfBody) }",
        ),
        (Step::DiscoveryFault { fault: None }, "TroubleDiscovery { how: None }"),
        (Step::SuspendExecutor { executor: 2, suspended: true }, "LeaveOut { executor: 2, out: true }"),
        (Step::DrainNode { node: 3, drained: false }, "DrainNode { node: 3, drain: false }"),
        (Step::HotRestartNode { node: 3 }, "UpgradeNode { node: 3 }"),
        (
            Step::ReconfigureNodes { max_attempts: 4, broken: true },
            "RetuneNodes { attempts: 4, broken: true }",
        ),
    ];
    for (step, text) in texts {
        assert_eq!(format!("{:?}", StepText(&step)), text);
    }
}

#[test]
fn the_hashed_text_of_each_fault_is_stable() {
    let texts = [
        (Fault::Slow { factor: 2.0 }, "Slow { factor: 2.0 }"),
        (Fault::Pause, "Pause"),
        (Fault::Silence { restarts: true }, "Silence { cold: true }"),
        (
            Fault::CpuContention { share: 0.5, on: 100.0, off: 200.0 },
            "Neighbour { part: 0.5, on: 100.0, off: 200.0 }",
        ),
        (Fault::NeverStart { request_class: 1, share: 0.5 }, "Swallow { project_type: 1, share: 0.5 }"),
        (Fault::Errors { share: 0.5 }, "Errors { share: 0.5 }"),
        (Fault::WrongLoadReports { factor: 0.0 }, "WrongReadings { factor: 0.0 }"),
        (Fault::LateLoadReports { delay: 800.0 }, "LateReadings { by: 800.0 }"),
        (Fault::Resets { share: 0.5 }, "Resets { share: 0.5 }"),
        (
            Fault::HeavyTail { request_class: 1, share: 0.5, alpha: 1.5 },
            "HeavyTail { project_type: 1, share: 0.5, alpha: 1.5 }",
        ),
    ];
    for (fault, text) in texts {
        assert_eq!(fault.to_string(), text);
    }
}

#[test]
fn the_hashed_text_of_a_machine_is_stable() {
    let overload_limit = Some(OverloadLimit { multiple: 2.0, window: 100.0 });
    let slow_start = SlowStart { initial_capacity: 0.25, ramp: Ramp::Work(1000.0), overload_limit };
    let machine = Machine {
        slow_start: Some(slow_start),
        cancel_scope: CancelScope::None,
        checkpoint_interval: Some(40.0),
        queue_capacity: 8,
        max_connections: 16,
        load_reports: LoadReportTiming { interval: 100.0, delay: 20.0, jitter: 10.0, noise: 0.5 },
        ..Machine::default()
    };
    assert_eq!(
        format!("{:?}", MachineText(&machine)),
        "Machine { slots: 1.0, cores: 1.0, speed: 1.0, memory: inf, waiting_room: 8, order: InOrder, \
         cold: Some(Cold { share: 0.25, ramp: Work(1000.0), fall: Some(Fall { multiple: 2.0, window: 100.0 }) }), \
         cancels: Nothing, checkpoint_every: Some(40.0), drain_returns: false, probe_work: 0.0, \
         handshake_work: 0.0, connections: 16, readings: Readings { refresh: 100.0, delay: 20.0, jitter: 10.0, \
         noise: 0.5 }, progress_every: None }"
    );
    let machine = Machine {
        queue_order: QueueOrder::Priority,
        cancel_scope: CancelScope::Running,
        ..Machine::default()
    };
    let text = format!("{:?}", MachineText(&machine));
    assert!(text.contains("order: Priority, cold: None, cancels: Running, "), "{text}");
}
