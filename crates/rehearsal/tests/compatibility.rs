//! A scenario file of an earlier release (commit cc67128) means the same day.
use troutknot_rehearsal::plan::Plan;
use troutknot_rehearsal::scenario::Scenario;

#[test]
fn an_earlier_scenario_is_the_same_day() {
    let scenario = Scenario::parse(include_str!("fixtures/scenario.toml"), "scenario").unwrap();
    let plan = Plan::generate(&scenario, scenario.seed);
    assert_eq!(plan.hash(), "8fcb227690b0dacb");
}
