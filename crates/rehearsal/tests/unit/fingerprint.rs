//! The text that a plan's hash is taken of, as it was before the types in this crate were renamed.
use super::*;
use crate::scenario::How;
use troutknot_emulator::Trouble;

#[test]
fn each_step_keeps_its_hashed_text() {
    let slow = Trouble::Slow { factor: 2.0 };
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
        (Step::DiscoveryFault { fault: Some(How::HalfBody) }, "TroubleDiscovery { how: Some(HalfBody) }"),
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
