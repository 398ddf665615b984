//! Guards against changes that give a scenario file of an earlier release (commit cc67128) another plan.
use troutknot_rehearsal::plan::Plan;
use troutknot_rehearsal::scenario::Scenario;

#[test]
fn the_plan_of_an_earlier_scenario_file_is_unchanged() {
    let scenario = Scenario::parse(include_str!("fixtures/scenario.toml"), "scenario").unwrap();
    let plan = Plan::generate(&scenario, scenario.seed);
    assert_eq!(plan.hash(), "8fcb227690b0dacb");
}
