//! The printed table: guards against checks, violations, values or fitted lines that are missing or wrong in it.
mod common;

use common::{figure, rows_within_bounds};
use troutknot_scale::row::{Figure, Measurement, NodeKind, Phase, Row, RuleViolation};
use troutknot_scale::table::{Style, render_table};

/// Returns the first line of the table that begins with `prefix`.
fn line<'a>(table: &'a str, prefix: &str) -> &'a str {
    table
        .lines()
        .find(|line| line.starts_with(prefix))
        .unwrap_or_else(|| panic!("no line with `{prefix}` in\n{table}"))
}

fn words(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

#[test]
fn a_passed_run_is_printed_with_all_its_bounds() {
    let table = render_table(&rows_within_bounds(), Style::Plain);
    assert!(
        table.starts_with("test with seed 7: version 0.1.0, commit abc1234\nmachine: 8 cores, 16384 MiB\n")
    );
    assert!(table.contains("a day of troubles is played 480 times as fast"));
    assert!(table.ends_with("\nall held\n"), "{table}");
    let memory = words(line(&table, "memory "));
    assert_eq!(memory[..9], ["memory", "128", "MiB", "128", "MiB", "5", "0", "held", "steady,"]);
    let cpu = words(line(&table, "cpu-share"));
    assert_eq!(cpu[..6], ["cpu-share", "2.70%", "core", "2.70%", "core", "5"]);
    assert!(line(&table, "rule 3 sent-after-grace").contains(" held "));
    assert!(!table.contains('\u{1b}'));
}

#[test]
fn a_value_over_its_bound_is_marked_and_located() {
    let mut rows = rows_within_bounds();
    rows.insert(1, Row::Figure(figure(19_000, Measurement::ListBytes, 12_345.0)));
    let table = render_table(&rows, Style::Plain);
    let missed = line(&table, "list-bytes ");
    assert!(missed.contains("11 KB/s    12.3 KB/s        6      1  MISSED"), "{missed}");
    assert!(missed.ends_with("steady, 19000 executors, turnover 2, 75/s"), "{missed}");
    assert!(table.contains("12.3*"), "{table}");
    assert!(table.ends_with("\nNOT all held\n"), "{table}");
}

#[test]
fn violations_are_printed_and_fail_their_rule() {
    let mut rows = rows_within_bounds();
    for number in 0..25 {
        let violation = RuleViolation {
            rule: 4,
            name: "pushed-over".into(),
            phase: Phase::ZoneLost,
            description: format!("executor {number}"),
            at_seconds: 3.5,
        };
        rows.insert(1, Row::Violation(violation));
    }
    let table = render_table(&rows, Style::Plain);
    assert!(table.contains("  rule 4 pushed-over in zone-lost at 3.500 s: executor 24\n"), "{table}");
    assert!(table.contains("  and 5 more\n"), "{table}");
    let rule = line(&table, "rule 4 pushed-over");
    assert!(rule.contains("MISSED") && rule.ends_with("; 25 breaches are named"), "{rule}");
}

#[test]
fn missing_measurements_and_incomplete_runs_are_reported() {
    let mut rows = rows_within_bounds();
    rows.pop();
    rows.retain(
        |row| !matches!(row, Row::Figure(figure) if figure.measurement == Measurement::NotificationDelay),
    );
    let table = render_table(&rows, Style::Plain);
    let delay = line(&table, "told ");
    assert!(delay.contains("NOT MEASURED there is no figure"), "{delay}");
    assert!(table.ends_with("NOT all held: the run was not played to its end\n"), "{table}");
}

#[test]
fn each_series_is_printed_with_its_values_by_fleet_size_and_its_line() {
    let mut rows = rows_within_bounds();
    let hollow = |executors: usize| {
        let probes = figure(executors, Measurement::Probes, 2.0 + executors as f64 / 1000.0);
        Row::Figure(Figure { node: NodeKind::HollowByRates, ..probes })
    };
    common::SIZES.iter().for_each(|size| rows.insert(1, hollow(*size)));
    let table = render_table(&rows, Style::Plain);
    let mut lines =
        table.lines().skip_while(|line| !line.starts_with("probes, node hollow-by-rates, 1/s, no bound"));
    lines.next().unwrap();
    let header = words(lines.next().unwrap());
    let expected = ["100", "1000", "5000", "10000", "19000", "slope/1000", "intercept", "R2", "n"];
    assert_eq!(header[3..], expected);
    let values = words(lines.next().unwrap());
    let expected = ["steady", "2", "75", "2.10", "3", "7", "12", "21", "1.00", "2.00", "1.000", "5"];
    let is_close = |printed: &str, expected: &str| match (printed.parse::<f64>(), expected.parse::<f64>()) {
        (Ok(printed), Ok(expected)) => (printed - expected).abs() < 1e-6,
        _ => printed == expected,
    };
    assert!(values.len() == expected.len(), "{values:?}");
    assert!(values.iter().zip(expected).all(|(printed, expected)| is_close(printed, expected)), "{values:?}");
}

#[test]
fn the_fleet_size_at_which_values_deviate_from_their_line_is_printed() {
    let mut rows = rows_within_bounds();
    for size in common::SIZES {
        let value = if size == 19_000 { 900.0 } else { size as f64 / 100.0 };
        rows.insert(1, Row::Figure(figure(size, Measurement::LatencyP99, value)));
    }
    let table = render_table(&rows, Style::Plain);
    assert!(table.contains("leaves the line at 19000: 900 where 190 was expected"), "{table}");
}

#[test]
fn only_the_coloured_style_uses_escape_sequences() {
    let mut rows = rows_within_bounds();
    assert!(render_table(&rows, Style::Coloured).contains("\u{1b}[32mall held\u{1b}[0m"));
    rows.insert(1, Row::Figure(figure(100, Measurement::NotificationDelay, 1e9)));
    assert!(render_table(&rows, Style::Coloured).contains("\u{1b}[31mNOT all held\u{1b}[0m"));
    assert!(!render_table(&rows, Style::Plain).contains('\u{1b}'));
}

#[test]
fn rows_without_a_start_have_no_table() {
    assert_eq!(render_table(&rows_within_bounds()[1..], Style::Plain), "");
}
