//! Compatibility with the reports and stored rows of an earlier release (commit cc67128).
use serde_json::{Map, Value};
use troutknot_rehearsal::scenario::Scenario;
use troutknot_simulation::experiment::Row;
use troutknot_simulation::simulate;

/// Guards against changed decisions, changed keys of the report, and figures that differ in any digit.
#[test]
fn the_report_of_a_scenario_is_equal_byte_for_byte_to_the_earlier_one() {
    let scenario = Scenario::parse(include_str!("fixtures/scenario.toml"), "scenario").unwrap();
    let report = simulate(&scenario, scenario.seed).unwrap();
    assert_eq!(
        serde_json::to_string_pretty(&report).unwrap(),
        include_str!("fixtures/report.json").trim_end()
    );
}

/// Guards against rows of an earlier release that can no longer be read, or that are written with other keys or values.
/// The JSON parser may be off in the last digit of a float, so figures are compared with a relative tolerance of
/// 10^-12.
#[test]
fn earlier_rows_of_an_experiment_are_read_and_written_unchanged() {
    for line in include_str!("fixtures/rows.jsonl").lines() {
        let row: Row = serde_json::from_str(line).unwrap();
        let written = serde_json::to_string(&row).unwrap();
        assert_eq!(keys(&written), keys(line));
        let [before, after]: [Map<String, Value>; 2] =
            [line, &written].map(|text| serde_json::from_str(text).unwrap());
        for (key, value) in &before {
            match (value.as_f64(), after[key].as_f64()) {
                (Some(earlier), Some(current)) => {
                    assert!((earlier - current).abs() <= 1e-12 * earlier.abs(), "{key}")
                }
                _ => assert_eq!(&after[key], value, "{key}"),
            }
        }
    }
}

/// Returns the keys of a JSON object in the order in which they are written.
fn keys(object: &str) -> Vec<&str> {
    let fields = object.trim_matches(['{', '}']).split(",\"");
    fields.filter_map(|field| field.trim_start_matches('"').split_once("\":")).map(|(key, _)| key).collect()
}
