//! Fault plans: guards against plans that differ between runs with the same seed, or whose steps are missing,
//! repeated, out of order or outside their scope.
use std::collections::BTreeSet;
use std::time::Duration;
use troutknot_scale::fault_plan::{Action, FaultPlan, LEAD_TIME, PlanScope, Step};
use troutknot_scale::file::{FaultKind, FaultSpec, ScaleFile};

const RECOVERY_TIME: Duration = Duration::from_secs(15);
const SCOPE: PlanScope =
    PlanScope { executors: 19_000, nodes: 160, real_nodes: 3, recovery_time: RECOVERY_TIME };

fn spec(text: &str) -> FaultSpec {
    let file = ScaleFile::parse(&format!("[[troubles]]\n{text}"), "test").unwrap();
    file.faults[0].get_ref().clone()
}

fn busy_day() -> FaultSpec {
    spec("kind = \"busy-day\"\nreplaced = 1500\nfailed = 270\nfactor = 480")
}

#[test]
fn equal_seeds_give_equal_plans_and_other_seeds_give_other_plans() {
    let generate = |seed| FaultPlan::generate(&busy_day(), SCOPE, seed).unwrap();
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7), generate(8));
}

#[test]
fn a_busy_day_is_compressed_and_affects_no_executor_twice() {
    let plan = FaultPlan::generate(&busy_day(), SCOPE, 3).unwrap();
    let mut replaced = BTreeSet::new();
    let mut failed = BTreeSet::new();
    for step in &plan.steps {
        match step.action {
            Action::Replace(executor) => assert!(replaced.insert(executor)),
            Action::Fail(executor) => assert!(failed.insert(executor)),
            ref other => panic!("{other:?} is not an action of a busy day"),
        }
    }
    assert_eq!((replaced.len(), failed.len()), (1500, 270));
    assert!(replaced.is_disjoint(&failed));
    assert!(replaced.iter().chain(&failed).all(|executor| *executor < SCOPE.executors));
    assert!(plan.steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
    // 24 h compressed by 480 are 180 s; the probability that all 1,770 random times are in the first 170 s is
    // negligible.
    let last = plan.steps.last().unwrap().at;
    assert!((Duration::from_secs(172)..=Duration::from_secs(182)).contains(&last), "{last:?}");
    assert_eq!(plan.time_compression, 480.0);
}

#[test]
fn a_busy_day_of_a_small_fleet_affects_no_executor_twice() {
    let scope = PlanScope { executors: 20, nodes: 2, real_nodes: 1, recovery_time: RECOVERY_TIME };
    let plan = FaultPlan::generate(&busy_day(), scope, 3).unwrap();
    assert_eq!(plan.steps.len(), 20);
}

#[test]
fn the_killed_zone_is_restarted() {
    let plan = FaultPlan::generate(&spec("kind = \"zone-lost\"\nexecutors = 613\nback = \"12s\""), SCOPE, 5)
        .unwrap();
    let [killed, restarted] = &plan.steps[..] else { panic!("{:?}", plan.steps) };
    let Action::KillZone(zone) = &killed.action else { panic!("{killed:?}") };
    assert_eq!(restarted.action, Action::RestartZone(zone.clone()));
    assert_eq!((zone.len(), restarted.at - killed.at), (613, Duration::from_secs(12)));
    assert!(zone.end <= SCOPE.executors);
    assert_eq!(plan.length, restarted.at + RECOVERY_TIME);
}

#[test]
fn the_configured_share_of_nodes_restarts_while_discovery_is_silent() {
    let silent = spec("kind = \"discovery-silent\"\nlasts = \"8s\"\nrestarted = 0.1");
    let plan = FaultPlan::generate(&silent, SCOPE, 5).unwrap();
    assert_eq!(plan.kind, FaultKind::DiscoverySilent);
    assert_eq!(plan.steps.first().unwrap().action, Action::SilenceDiscovery);
    let last = plan.steps.last().unwrap();
    assert_eq!((last.action.clone(), last.at), (Action::ResumeDiscovery, LEAD_TIME + Duration::from_secs(8)));
    let restarted = plan.steps.iter().filter_map(|step| match step.action {
        Action::RestartNode(node) => Some(node),
        _ => None,
    });
    let restarted: BTreeSet<usize> = restarted.collect();
    assert_eq!((restarted.len(), plan.steps.len()), (16, 18));
    assert!(restarted.iter().all(|node| *node < SCOPE.nodes));
    for seed in 0..50 {
        let plan = FaultPlan::generate(&silent, SCOPE, seed).unwrap();
        let is_real =
            |step: &Step| matches!(step.action, Action::RestartNode(node) if node < SCOPE.real_nodes);
        assert!(plan.steps.iter().any(is_real), "seed {seed} restarts no real node");
    }
}

#[test]
fn a_share_above_zero_restarts_at_least_one_node() {
    let silent = spec("kind = \"discovery-silent\"\nlasts = \"8s\"\nrestarted = 0.1");
    let plan = FaultPlan::generate(
        &silent,
        PlanScope { executors: 10, nodes: 2, real_nodes: 1, recovery_time: RECOVERY_TIME },
        5,
    )
    .unwrap();
    assert_eq!(plan.steps.len(), 3);
    let none = spec("kind = \"discovery-silent\"\nlasts = \"8s\"\nrestarted = 0.0");
    assert_eq!(FaultPlan::generate(&none, SCOPE, 5).unwrap().steps.len(), 2);
}

#[test]
fn the_recovery_time_covers_grace_deadline_and_slow_start() {
    let file = ScaleFile::parse("", "test").unwrap();
    // The drain grace of 2 s, the deadline of 3 s and the slow start of 10 s.
    assert_eq!(PlanScope::from_file(&file), SCOPE);
}
