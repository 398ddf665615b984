//! The table of a run: what it is held to, and each measurement over the size of the fleet.
use crate::evaluation::{BoundCheck, Evaluation, Verdict, evaluate};
use crate::fit::{LinearFit, Sample, SeriesKey, group_into_series};
use crate::row::{Measurement, NodeKind, Row, RuleViolation, Start, Unit, figures, start_of};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Whether the table is coloured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Style {
    Plain,
    Coloured,
}

const RED: &str = "\u{1b}[31m";
const GREEN: &str = "\u{1b}[32m";
const RESET: &str = "\u{1b}[0m";
/// Breaches that are printed; the rows hold more.
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// Slopes are told for so many executors.
const SLOPE_UNIT_EXECUTORS: f64 = 1000.0;

impl Style {
    fn good(self, text: &str) -> String {
        self.paint(GREEN, text)
    }

    fn bad(self, text: &str) -> String {
        self.paint(RED, text)
    }

    fn paint(self, colour: &str, text: &str) -> String {
        match self {
            Style::Plain => text.into(),
            Style::Coloured => format!("{colour}{text}{RESET}"),
        }
    }
}

/// The table of a run's rows; empty where they have no start.
pub fn render_table(rows: &[Row], style: Style) -> String {
    let (Some(start), Some(judgements)) = (start_of(rows), evaluate(rows)) else { return String::new() };
    let mut out = String::new();
    write_start(&mut out, start);
    write_judgements(&mut out, &judgements, style);
    write_breaches(&mut out, rows);
    write_series(&mut out, start, rows, style);
    let verdict = match (judgements.is_complete, judgements.has_passed()) {
        (true, true) => style.good("all held"),
        (true, false) => style.bad("NOT all held"),
        (false, _) => style.bad("NOT all held: the run was not played to its end"),
    };
    let _ = writeln!(out, "\n{verdict}");
    out
}

fn write_start(out: &mut String, start: &Start) {
    let commit = start.commit.as_deref().unwrap_or("unknown");
    let Start { name, seed, version, cores, memory_bytes, time_compression, .. } = start;
    let _ = writeln!(out, "{name} with seed {seed}: version {version}, commit {commit}");
    let memory = with_unit(*memory_bytes as f64, Unit::Bytes);
    let _ = writeln!(out, "machine: {cores} cores, {memory}");
    if *time_compression > 1.0 {
        let _ = writeln!(out, "a day of troubles is played {time_compression} times as fast");
    }
}

fn write_judgements(out: &mut String, judgements: &Evaluation, style: Style) {
    let _ = writeln!(
        out,
        "\n{:<30} {:>12} {:>12} {:>8} {:>6}  {:<12} worst at",
        "held to", "bound", "worst", "figures", "over", "verdict"
    );
    for judgement in &judgements.checks {
        write_judgement(out, judgement, style);
    }
}

fn write_judgement(out: &mut String, judgement: &BoundCheck, style: Style) {
    let BoundCheck { measurement, bound, worst, judged, over, named, verdict } = judgement;
    let rule = measurement.rule().map_or(String::new(), |rule| format!("rule {rule} "));
    let name = format!("{rule}{measurement}");
    let unit = measurement.unit();
    let value = worst.as_ref().map_or("-".into(), |figure| with_unit(figure.value, unit));
    // Padded before it is painted, as colours take no room.
    let told = match verdict {
        Verdict::Passed => style.good(&format!("{:<12}", "held")),
        Verdict::Failed => style.bad(&format!("{:<12}", "MISSED")),
        Verdict::NotMeasured { .. } => style.bad(&format!("{:<12}", "NOT MEASURED")),
    };
    let place = match (verdict, worst) {
        (Verdict::NotMeasured { reason }, _) => reason.clone(),
        (Verdict::Failed, Some(figure)) if *over == 0 => {
            format!("{}; {named} breaches are named", figure.point())
        }
        (_, Some(figure)) => figure.point().to_string(),
        (_, None) => String::new(),
    };
    let bound = with_unit(*bound, unit);
    let _ = writeln!(out, "{name:<30} {bound:>12} {value:>12} {judged:>8} {over:>6}  {told} {place}");
}

fn write_breaches(out: &mut String, rows: &[Row]) {
    let breaches = rows.iter().filter_map(|row| match row {
        Row::Violation(breach) => Some(breach),
        _ => None,
    });
    let breaches: Vec<&RuleViolation> = breaches.collect();
    if breaches.is_empty() {
        return;
    }
    let _ = writeln!(out, "\nbreaches");
    for RuleViolation { rule, name, phase, description, at_seconds } in
        breaches.iter().take(MAX_PRINTED_VIOLATIONS)
    {
        let _ = writeln!(out, "  rule {rule} {name} in {phase} at {at_seconds:.3} s: {description}");
    }
    if let Some(more) = breaches.len().checked_sub(MAX_PRINTED_VIOLATIONS).filter(|more| *more > 0) {
        let _ = writeln!(out, "  and {more} more");
    }
}

/// A measurement at one kind of node: the lines of its part of the table.
type Group = (Measurement, NodeKind);

fn write_series(out: &mut String, start: &Start, rows: &[Row], style: Style) {
    let mut groups: BTreeMap<Group, Vec<(SeriesKey, Vec<Sample>)>> = BTreeMap::new();
    for (of, samples) in group_into_series(figures(rows)) {
        groups.entry((of.measurement, of.node)).or_default().push((of, samples));
    }
    for ((measurement, node), lines) in groups {
        let bound =
            start.bounds.limit(measurement).filter(|_| matches!(node, NodeKind::Real | NodeKind::All));
        write_group(out, measurement, node, bound, &lines, style);
    }
}

fn write_group(
    out: &mut String,
    measurement: Measurement,
    node: NodeKind,
    bound: Option<f64>,
    lines: &[(SeriesKey, Vec<Sample>)],
    style: Style,
) {
    let unit = measurement.unit();
    let sizes: BTreeSet<usize> =
        lines.iter().flat_map(|(_, samples)| samples.iter().map(|sample| sample.executors)).collect();
    let bound_told = bound.map_or("no bound".into(), |bound| format!("bound {}", with_unit(bound, unit)));
    let _ = writeln!(out, "\n{measurement}, node {node}, {}, {bound_told}", unit_name(unit));
    let mut head = format!("  {:<16} {:>8} {:>6}", "phase", "turnover", "rate");
    sizes.iter().for_each(|size| _ = write!(head, " {size:>10}"));
    let _ = writeln!(out, "{head} {:>12} {:>12} {:>6} {:>3}", "slope/1000", "intercept", "R2", "n");
    for (of, samples) in lines {
        let mut line = format!("  {:<16} {:>8} {:>6}", of.phase, of.turnover(), of.rate());
        sizes.iter().for_each(|size| _ = write!(line, " {}", cell(samples, *size, unit, bound, style)));
        let _ = writeln!(out, "{line} {}", fit_cells(samples, unit));
    }
}

/// The largest value of one size; a star says that it is over its bound.
fn cell(samples: &[Sample], size: usize, unit: Unit, bound: Option<f64>, style: Style) -> String {
    let of_size = samples.iter().filter(|sample| sample.executors == size).map(|sample| sample.value);
    let Some(largest) = of_size.max_by(f64::total_cmp) else { return format!("{:>10}", "-") };
    if bound.is_some_and(|bound| largest > bound) {
        return style.bad(&format!("{:>10}", format!("{}*", number(largest, unit))));
    }
    format!("{:>10}", number(largest, unit))
}

/// The line through the samples, and where they leave it.
fn fit_cells(samples: &[Sample], unit: Unit) -> String {
    let Some(fit) = LinearFit::through(samples.to_vec()) else {
        return format!("{:>12} {:>12} {:>6} {:>3}", "-", "-", "-", samples.len());
    };
    let r_squared = fit.r_squared.map_or("-".into(), |share| format!("{share:.3}"));
    let deviation = fit.deviation.map_or(String::new(), |deviation| {
        format!(
            "  leaves the line at {}: {} where {} was expected",
            deviation.executors,
            number(deviation.value, unit),
            number(deviation.predicted, unit)
        )
    });
    format!(
        "{:>12} {:>12} {r_squared:>6} {:>3}{deviation}",
        number(fit.slope * SLOPE_UNIT_EXECUTORS, unit),
        number(fit.intercept, unit),
        fit.samples.len()
    )
}

/// The unit that numbers of a part of the table are in.
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

/// A value in the unit of the table.
fn scaled(value: f64, unit: Unit) -> f64 {
    match unit {
        Unit::Cores => value * 100.0,
        Unit::Bytes => value / (1024.0 * 1024.0),
        Unit::BytesPerSecond => value / 1000.0,
        Unit::Count | Unit::Milliseconds | Unit::PerSecond => value,
    }
}

/// A value with three digits that count, without its unit.
fn number(value: f64, unit: Unit) -> String {
    let value = scaled(value, unit);
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 0.1 => format!("{value:.3}"),
        size if size >= 0.01 => format!("{value:.4}"),
        size if size >= 0.001 => format!("{value:.5}"),
        _ => format!("{value:.1e}"),
    }
}

fn with_unit(value: f64, unit: Unit) -> String {
    let number = number(value, unit);
    match unit {
        Unit::Count => number,
        Unit::Cores => format!("{number}% core"),
        other => format!("{number} {}", unit_name(other)),
    }
}
