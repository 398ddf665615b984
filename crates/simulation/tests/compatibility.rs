//! What an earlier release printed and kept (commit cc67128).
use serde_json::{Map, Value};
use troutknot_rehearsal::scenario::Scenario;
use troutknot_simulation::experiment::Row;
use troutknot_simulation::simulate;

/// Every decision of a short day, every key of the report and each figure to the last digit.
#[test]
fn a_day_is_reported_byte_for_byte_as_before() {
    let scenario = Scenario::parse(include_str!("fixtures/scenario.toml"), "scenario").unwrap();
    let report = simulate(&scenario, scenario.seed).unwrap();
    assert_eq!(
        serde_json::to_string_pretty(&report).unwrap(),
        include_str!("fixtures/report.json").trim_end()
    );
}

/// Floats are read to the last digit but one, so figures are compared by keys and within a part in 10^12.
#[test]
fn earlier_rows_of_an_experiment_are_read_and_written_as_before() {
    for line in include_str!("fixtures/rows.jsonl").lines() {
        let row: Row = serde_json::from_str(line).unwrap();
        let again = serde_json::to_string(&row).unwrap();
        assert_eq!(keys(&again), keys(line));
        let [before, after]: [Map<String, Value>; 2] =
            [line, &again].map(|text| serde_json::from_str(text).unwrap());
        for (key, value) in &before {
            match (value.as_f64(), after[key].as_f64()) {
                (Some(figure), Some(again)) => {
                    assert!((figure - again).abs() <= 1e-12 * figure.abs(), "{key}")
                }
                _ => assert_eq!(&after[key], value, "{key}"),
            }
        }
    }
}

/// The keys of an object in the order in which they are written.
fn keys(object: &str) -> Vec<&str> {
    let fields = object.trim_matches(['{', '}']).split(",\"");
    fields.filter_map(|field| field.trim_start_matches('"').split_once("\":")).map(|(key, _)| key).collect()
}
