//! Plans of troubles: the same from the same seed, whole, in order, and as many steps as the file says.
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
fn the_same_seed_gives_the_same_plan_and_another_one_another() {
    let draw = |seed| FaultPlan::generate(&busy_day(), SCOPE, seed).unwrap();
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

#[test]
fn a_busy_day_is_squeezed_and_touches_each_executor_once() {
    let plan = FaultPlan::generate(&busy_day(), SCOPE, 3).unwrap();
    let mut replaced = BTreeSet::new();
    let mut failed = BTreeSet::new();
    for step in &plan.steps {
        match step.action {
            Action::Replace(executor) => assert!(replaced.insert(executor)),
            Action::Fail(executor) => assert!(failed.insert(executor)),
            ref other => panic!("{other:?} is no step of a busy day"),
        }
    }
    assert_eq!((replaced.len(), failed.len()), (1500, 270));
    assert!(replaced.is_disjoint(&failed));
    assert!(replaced.iter().chain(&failed).all(|executor| *executor < SCOPE.executors));
    assert!(plan.steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
    // 24 h by 480 are 180 s; that 1,770 times all fall into the first 170 s of them has no chance.
    let last = plan.steps.last().unwrap().at;
    assert!((Duration::from_secs(172)..=Duration::from_secs(182)).contains(&last), "{last:?}");
    assert_eq!(plan.time_compression, 480.0);
}

#[test]
fn a_busy_day_of_a_small_fleet_touches_no_executor_twice() {
    let scope = PlanScope { executors: 20, nodes: 2, real_nodes: 1, recovery_time: RECOVERY_TIME };
    let plan = FaultPlan::generate(&busy_day(), scope, 3).unwrap();
    assert_eq!(plan.steps.len(), 20);
}

#[test]
fn a_zone_is_lost_and_the_same_zone_comes_back() {
    let plan = FaultPlan::generate(&spec("kind = \"zone-lost\"\nexecutors = 613\nback = \"12s\""), SCOPE, 5)
        .unwrap();
    let [lost, back] = &plan.steps[..] else { panic!("{:?}", plan.steps) };
    let Action::KillZone(zone) = &lost.action else { panic!("{lost:?}") };
    assert_eq!(back.action, Action::RestartZone(zone.clone()));
    assert_eq!((zone.len(), back.at - lost.at), (613, Duration::from_secs(12)));
    assert!(zone.end <= SCOPE.executors);
    assert_eq!(plan.length, back.at + RECOVERY_TIME);
}

#[test]
fn a_tenth_of_the_nodes_restart_while_discovery_is_silent() {
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
fn one_node_at_least_restarts_where_any_shall() {
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
fn a_plan_lasts_until_what_follows_from_its_last_step_is_over() {
    let file = ScaleFile::parse("", "test").unwrap();
    // The grace of 2 s, the deadline of 3 s and the ramp of 10 s.
    assert_eq!(PlanScope::from_file(&file), SCOPE);
}
