//! Rows as JSON lines: guards against rows that change when they are written and read, and against invalid runs that
//! are accepted.
mod common;

use common::{figure, rows_within_bounds, start};
use troutknot_scale::row::{
    End, Measurement, Phase, ReadError, Row, RuleViolation, Unit, figures, read_rows,
};
use troutknot_scale::table::{Style, render_table};

fn lines(rows: &[Row]) -> String {
    rows.iter().map(|row| format!("{row}\n")).collect()
}

/// Returns the error of reading an invalid run.
fn read_error(text: &str) -> String {
    read_rows(text.as_bytes()).expect_err("the run is invalid").to_string()
}

#[test]
fn written_rows_are_read_back_unchanged() {
    let mut rows = rows_within_bounds();
    let violation = RuleViolation {
        rule: 3,
        name: "sent-after-grace".into(),
        phase: Phase::ZoneLost,
        description: "sent to s-00007, \"notified\" 3 s before".into(),
        at_seconds: 2.25,
    };
    rows.insert(4, Row::Violation(violation));
    assert_eq!(read_rows(lines(&rows).as_bytes()).unwrap(), rows);
}

#[test]
fn a_figure_is_written_as_one_line_with_all_its_fields() {
    let line = Row::Figure(figure(19_000, Measurement::CpuShare, 0.02)).to_string();
    let expected = r#"{"row":"figure","phase":"steady","measurement":"cpu-share","executors":19000,"turnover":2.0,"rate":75.0,"value":0.02,"unit":"cores","bound":0.027,"node":"real","at_seconds":1.5}"#;
    assert_eq!(line, expected);
}

#[test]
fn measurements_have_unique_names() {
    let names: std::collections::BTreeSet<String> =
        Measurement::ALL.iter().map(|measurement| measurement.to_string()).collect();
    assert_eq!(names.len(), Measurement::ALL.len());
    assert_eq!(Measurement::ListBytes.to_string(), "list-bytes");
}

#[test]
fn an_invalid_run_is_rejected_with_the_line_of_its_error() {
    let start = Row::Start(start()).to_string();
    let figure = Row::Figure(figure(100, Measurement::NotificationDelay, 3.0)).to_string();
    let end = Row::End(End { at_seconds: 1.0 }).to_string();
    let cases = [
        (String::new(), "line 1: there are no rows"),
        (figure.clone(), "line 1: a run must begin with its only `start` row"),
        (format!("{start}\n{start}"), "line 2: a run must begin with its only `start` row"),
        (format!("{start}\n{end}\n{figure}"), "line 3: a row follows the `end` row"),
        (format!("{start}\n{}", figure.replace("3.0", "1e999")), "line 2: "),
        (
            format!("{start}\n{}", figure.replace("milliseconds", "count")),
            "line 2: the unit is not that of the measurement",
        ),
        (format!("{start}\n{}", figure.replace("told", "foretold")), "line 2: unknown variant `foretold`"),
        (format!("{start}\n{}", figure.replace("\"rate\"", "\"pace\"")), "line 2: unknown field `pace`"),
        (format!("{start}\n{}", &figure[..40]), "line 2: EOF while parsing"),
        (format!("{start}\n\n{figure}"), "line 2: EOF while parsing"),
        (
            format!(
                "{start}\n{}",
                r#"{"row":"breach","rule":5,"name":"a","phase":"steady","what":"b","at_seconds":1.0}"#
            ),
            "line 2: there are four rules, 1 to 4",
        ),
    ];
    for (text, expected) in cases {
        let error = read_error(&text);
        assert!(error.starts_with(expected), "{text}\nis rejected with\n{error}");
    }
}

#[test]
fn the_stored_rows_of_earlier_experiments_are_read_and_give_a_table() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/scale");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_none_or(|extension| extension != "jsonl") {
            continue;
        }
        let rows = read_rows(std::fs::read(&path).unwrap().as_slice());
        let rows = rows.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert!(render_table(&rows, Style::Plain).contains("all held"), "{}", path.display());
        count += 1;
    }
    assert!(count >= 9);
}

#[test]
fn bytes_that_are_not_utf8_are_rejected() {
    let error = read_rows(&[0xff, 0xfe, b'\n'][..]).expect_err("the run is invalid");
    assert!(matches!(error, ReadError::Io(_)), "{error}");
}

#[test]
fn a_figure_has_the_unit_and_the_bound_of_its_measurement() {
    let rows = rows_within_bounds();
    let memory = figures(&rows).find(|figure| figure.measurement == Measurement::Memory).unwrap();
    assert_eq!((memory.unit, memory.bound), (Unit::Bytes, Some(128.0 * 1024.0 * 1024.0)));
    let requests = figures(&rows).find(|figure| figure.measurement == Measurement::Requests).unwrap();
    assert_eq!((requests.unit, requests.bound), (Unit::Count, None));
}
