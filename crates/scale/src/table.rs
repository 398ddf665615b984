//! Formats the table of a run: the checks against its bounds, and each measurement by fleet size.
use crate::evaluation::{BoundCheck, Evaluation, Verdict, evaluate};
use crate::fit::{LinearFit, Sample, SeriesKey, group_into_series};
use crate::row::{Measurement, NodeKind, Row, RuleViolation, Start, Unit, figures, start_of};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Whether the table is coloured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    /// Text without escape sequences.
    Plain,
    /// Green for passed checks, red for failed ones, by ANSI escape sequences.
    Coloured,
}

const RED: &str = "\u{1b}[31m";
const GREEN: &str = "\u{1b}[32m";
const RESET: &str = "\u{1b}[0m";
/// Upper limit of the printed violations; the rows may contain more.
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// Number of executors that a printed slope refers to.
const SLOPE_UNIT_EXECUTORS: f64 = 1000.0;

impl Style {
    fn green(self, text: &str) -> String {
        self.colour(GREEN, text)
    }

    fn red(self, text: &str) -> String {
        self.colour(RED, text)
    }

    fn colour(self, colour: &str, text: &str) -> String {
        match self {
            Style::Plain => text.into(),
            Style::Coloured => format!("{colour}{text}{RESET}"),
        }
    }
}

/// Formats the table of the rows of a run; empty if the rows have no start row.
pub fn render_table(rows: &[Row], style: Style) -> String {
    let (Some(start), Some(evaluation)) = (start_of(rows), evaluate(rows)) else { return String::new() };
    let mut out = String::new();
    write_start(&mut out, start);
    write_checks(&mut out, &evaluation, style);
    write_violations(&mut out, rows);
    write_series(&mut out, start, rows, style);
    let verdict = match (evaluation.is_complete, evaluation.has_passed()) {
        (true, true) => style.green("all held"),
        (true, false) => style.red("NOT all held"),
        (false, _) => style.red("NOT all held: the run was not played to its end"),
    };
    let _ = writeln!(out, "\n{verdict}");
    out
}

fn write_start(out: &mut String, start: &Start) {
    let commit = start.commit.as_deref().unwrap_or("unknown");
    let Start { name, seed, version, cores, memory_bytes, time_compression, .. } = start;
    let _ = writeln!(out, "{name} with seed {seed}: version {version}, commit {commit}");
    let memory = format_with_unit(*memory_bytes as f64, Unit::Bytes);
    let _ = writeln!(out, "machine: {cores} cores, {memory}");
    if *time_compression > 1.0 {
        let _ = writeln!(out, "a day of troubles is played {time_compression} times as fast");
    }
}

fn write_checks(out: &mut String, evaluation: &Evaluation, style: Style) {
    let _ = writeln!(
        out,
        "\n{:<30} {:>12} {:>12} {:>8} {:>6}  {:<12} worst at",
        "held to", "bound", "worst", "figures", "over", "verdict"
    );
    for check in &evaluation.checks {
        write_check(out, check, style);
    }
}

fn write_check(out: &mut String, check: &BoundCheck, style: Style) {
    let BoundCheck { measurement, bound, worst, checked, exceeded, violations, verdict } = check;
    let rule = measurement.rule().map_or(String::new(), |rule| format!("rule {rule} "));
    let name = format!("{rule}{measurement}");
    let unit = measurement.unit();
    let value = worst.as_ref().map_or("-".into(), |figure| format_with_unit(figure.value, unit));
    // Padded before colouring, since colour codes have no width on screen.
    let verdict_cell = match verdict {
        Verdict::Passed => style.green(&format!("{:<12}", "held")),
        Verdict::Failed => style.red(&format!("{:<12}", "MISSED")),
        Verdict::NotMeasured { .. } => style.red(&format!("{:<12}", "NOT MEASURED")),
    };
    let details = match (verdict, worst) {
        (Verdict::NotMeasured { reason }, _) => reason.clone(),
        (Verdict::Failed, Some(figure)) if *exceeded == 0 => {
            format!("{}; {violations} breaches are named", figure.point())
        }
        (_, Some(figure)) => figure.point().to_string(),
        (_, None) => String::new(),
    };
    let bound = format_with_unit(*bound, unit);
    let _ = writeln!(
        out,
        "{name:<30} {bound:>12} {value:>12} {checked:>8} {exceeded:>6}  {verdict_cell} {details}"
    );
}

fn write_violations(out: &mut String, rows: &[Row]) {
    let violations = rows.iter().filter_map(|row| match row {
        Row::Violation(violation) => Some(violation),
        _ => None,
    });
    let violations: Vec<&RuleViolation> = violations.collect();
    if violations.is_empty() {
        return;
    }
    let _ = writeln!(out, "\nbreaches");
    for RuleViolation { rule, name, phase, description, at_seconds } in
        violations.iter().take(MAX_PRINTED_VIOLATIONS)
    {
        let _ = writeln!(out, "  rule {rule} {name} in {phase} at {at_seconds:.3} s: {description}");
    }
    if let Some(omitted) = violations.len().checked_sub(MAX_PRINTED_VIOLATIONS).filter(|omitted| *omitted > 0)
    {
        let _ = writeln!(out, "  and {omitted} more");
    }
}

/// A measurement and the kind of node that it was taken at; each pair has a section of its own in the table.
type Group = (Measurement, NodeKind);

fn write_series(out: &mut String, start: &Start, rows: &[Row], style: Style) {
    let mut groups: BTreeMap<Group, Vec<(SeriesKey, Vec<Sample>)>> = BTreeMap::new();
    for (key, samples) in group_into_series(figures(rows)) {
        groups.entry((key.measurement, key.node)).or_default().push((key, samples));
    }
    for ((measurement, node), series) in groups {
        let bound =
            start.bounds.limit(measurement).filter(|_| matches!(node, NodeKind::Real | NodeKind::All));
        write_group(out, measurement, node, bound, &series, style);
    }
}

fn write_group(
    out: &mut String,
    measurement: Measurement,
    node: NodeKind,
    bound: Option<f64>,
    series: &[(SeriesKey, Vec<Sample>)],
    style: Style,
) {
    let unit = measurement.unit();
    let sizes: BTreeSet<usize> =
        series.iter().flat_map(|(_, samples)| samples.iter().map(|sample| sample.executors)).collect();
    let bound_text =
        bound.map_or("no bound".into(), |bound| format!("bound {}", format_with_unit(bound, unit)));
    let _ = writeln!(out, "\n{measurement}, node {node}, {}, {bound_text}", unit_name(unit));
    let mut header = format!("  {:<16} {:>8} {:>6}", "phase", "turnover", "rate");
    sizes.iter().for_each(|size| _ = write!(header, " {size:>10}"));
    let _ = writeln!(out, "{header} {:>12} {:>12} {:>6} {:>3}", "slope/1000", "intercept", "R2", "n");
    for (key, samples) in series {
        let mut line = format!("  {:<16} {:>8} {:>6}", key.phase, key.turnover(), key.rate());
        sizes.iter().for_each(|size| _ = write!(line, " {}", value_cell(samples, *size, unit, bound, style)));
        let _ = writeln!(out, "{line} {}", fit_cells(samples, unit));
    }
}

/// Formats the largest value of one fleet size, with a star if it exceeds the bound.
fn value_cell(samples: &[Sample], size: usize, unit: Unit, bound: Option<f64>, style: Style) -> String {
    let values = samples.iter().filter(|sample| sample.executors == size).map(|sample| sample.value);
    let Some(largest) = values.max_by(f64::total_cmp) else { return format!("{:>10}", "-") };
    if bound.is_some_and(|bound| largest > bound) {
        return style.red(&format!("{:>10}", format!("{}*", format_number(largest, unit))));
    }
    format!("{:>10}", format_number(largest, unit))
}

/// Formats the line fitted to the samples, and the first value that deviates from the line through the smaller fleet
/// sizes, if there is one.
fn fit_cells(samples: &[Sample], unit: Unit) -> String {
    let Some(fit) = LinearFit::through(samples.to_vec()) else {
        return format!("{:>12} {:>12} {:>6} {:>3}", "-", "-", "-", samples.len());
    };
    let r_squared = fit.r_squared.map_or("-".into(), |r_squared| format!("{r_squared:.3}"));
    let deviation = fit.deviation.map_or(String::new(), |deviation| {
        format!(
            "  leaves the line at {}: {} where {} was expected",
            deviation.executors,
            format_number(deviation.value, unit),
            format_number(deviation.predicted, unit)
        )
    });
    format!(
        "{:>12} {:>12} {r_squared:>6} {:>3}{deviation}",
        format_number(fit.slope * SLOPE_UNIT_EXECUTORS, unit),
        format_number(fit.intercept, unit),
        fit.samples.len()
    )
}

/// Returns the name of the unit in which the table shows values of a unit.
fn unit_name(unit: Unit) -> &'static str {
    match unit {
        Unit::Count => "count",
        Unit::Milliseconds => "ms",
        Unit::Cores => "% of a core",
        Unit::Bytes => "MiB",
        Unit::BytesPerSecond => "KB/s",
        Unit::PerSecond => "1/s",
    }
}

/// Converts a value to the unit in which the table shows it.
fn convert_to_table_unit(value: f64, unit: Unit) -> f64 {
    match unit {
        Unit::Cores => value * 100.0,
        Unit::Bytes => value / (1024.0 * 1024.0),
        Unit::BytesPerSecond => value / 1000.0,
        Unit::Count | Unit::Milliseconds | Unit::PerSecond => value,
    }
}

/// Formats a value with three significant digits, without its unit.
fn format_number(value: f64, unit: Unit) -> String {
    let value = convert_to_table_unit(value, unit);
    match value.abs() {
        0.0 => "0".into(),
        magnitude if magnitude >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        magnitude if magnitude >= 10.0 => format!("{value:.1}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        magnitude if magnitude >= 0.1 => format!("{value:.3}"),
        magnitude if magnitude >= 0.01 => format!("{value:.4}"),
        magnitude if magnitude >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.1e}"),
    }
}

/// Formats a value with its unit.
fn format_with_unit(value: f64, unit: Unit) -> String {
    let number = format_number(value, unit);
    match unit {
        Unit::Count => number,
        Unit::Cores => format!("{number}% core"),
        other => format!("{number} {}", unit_name(other)),
    }
}
