//! The rows of a run as JSON lines, and their reader.
use crate::bounds::Bounds;
use crate::measurement::write_name;
pub use crate::measurement::{Measurement, Unit};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, BufRead};

/// One line of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "row", rename_all = "kebab-case")]
pub enum Row {
    /// The first line.
    Start(Start),
    Figure(Figure),
    /// A breach of one of the four rules, named; its count stands in a figure as well.
    #[serde(rename = "breach")]
    Violation(RuleViolation),
    /// The last line of a run that was played to its end.
    End(End),
}

/// What a run was made with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Of the scale file.
    pub name: String,
    pub seed: u64,
    /// Of the program, and the commit that it was built from where that is known.
    pub version: String,
    pub commit: Option<String>,
    pub cores: usize,
    pub memory_bytes: u64,
    /// Times by which the troubles' day is squeezed; 1 where it is played as it is.
    #[serde(rename = "squeezed")]
    pub time_compression: f64,
    pub bounds: Bounds,
}

/// The node that a figure was measured at, or by what hollow nodes were driven.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// A process of `troutknotd`.
    Real,
    /// A hollow node that the decision module drives.
    HollowByDispatcher,
    /// A hollow node that plays rates which a real node was measured to have.
    HollowByRates,
    /// No node: the whole run, or the kit itself.
    All,
}

/// The part of the campaign that a figure belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Fleet sizes by turnovers by rates.
    Steady,
    /// Nodes start, and are told the whole list and single changes.
    Start,
    /// A node reads a changed configuration.
    ConfigChange,
    /// A zone's or a region's executors change at once.
    ZoneBurst,
    RegionBurst,
    /// Troubles, see [`crate::file::FaultKind`].
    BusyDay,
    ZoneLost,
    DiscoverySilent,
}

/// One value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    pub phase: Phase,
    pub measurement: Measurement,
    /// Executors in the list.
    pub executors: usize,
    /// How often the whole fleet has been replaced under new names before.
    pub turnover: f64,
    /// Requests in a second at one real node.
    pub rate: f64,
    pub value: f64,
    pub unit: Unit,
    /// The most that is allowed, where there is a bound.
    pub bound: Option<f64>,
    pub node: NodeKind,
    /// Of the run.
    pub at_seconds: f64,
}

/// A breach as the referee names it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleViolation {
    /// 1 to 4.
    pub rule: u8,
    pub name: String,
    pub phase: Phase,
    #[serde(rename = "what")]
    pub description: String,
    pub at_seconds: f64,
}

/// A run was played to its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    pub at_seconds: f64,
}

/// Where a figure is measured: what does not change within one step of the campaign.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatingPoint {
    pub phase: Phase,
    pub executors: usize,
    pub turnover: f64,
    pub rate: f64,
}

impl Figure {
    /// A figure with its measurement's unit, and its bound beside it.
    pub fn new(
        point: OperatingPoint,
        measurement: Measurement,
        node: NodeKind,
        value: f64,
        at_seconds: f64,
        bounds: &Bounds,
    ) -> Self {
        let OperatingPoint { phase, executors, turnover, rate } = point;
        let (unit, bound) = (measurement.unit(), bounds.limit(measurement));
        Figure { phase, measurement, executors, turnover, rate, value, unit, bound, node, at_seconds }
    }

    /// Where it was measured.
    pub fn point(&self) -> OperatingPoint {
        let Figure { phase, executors, turnover, rate, .. } = *self;
        OperatingPoint { phase, executors, turnover, rate }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_name(self, f)
    }
}

impl fmt::Display for OperatingPoint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let OperatingPoint { phase, executors, turnover, rate } = self;
        write!(f, "{phase}, {executors} executors, turnover {turnover}, {rate}/s")
    }
}

impl fmt::Display for NodeKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_name(self, f)
    }
}

/// Why rows could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("line {line}: {why}")]
    Line { line: usize, why: String },
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Reads the rows of a run: the first is its start, nothing follows its end.
///
/// # Errors
/// The first line that is no row, or stands where it may not.
pub fn read_rows(from: impl BufRead) -> Result<Vec<Row>, ReadError> {
    let mut rows: Vec<Row> = Vec::new();
    for (number, line) in from.lines().enumerate() {
        let fault = |why: String| ReadError::Line { line: number + 1, why };
        let row = serde_json::from_str(&line?).map_err(|e| fault(e.to_string()))?;
        check(&row, rows.last()).map_err(|why| fault(why.into()))?;
        rows.push(row);
    }
    if rows.is_empty() {
        return Err(ReadError::Line { line: 1, why: "there are no rows".into() });
    }
    Ok(rows)
}

/// Whether a row may stand after another one, and says what it can say.
fn check(row: &Row, before: Option<&Row>) -> Result<(), &'static str> {
    if matches!(row, Row::Start(_)) != before.is_none() {
        return Err("a run begins with its one `start` row");
    }
    if matches!(before, Some(Row::End(_))) {
        return Err("a row stands after the end of the run");
    }
    match row {
        Row::Figure(figure) if !figure.value.is_finite() => Err("a value is not a number"),
        Row::Figure(figure) if figure.unit != figure.measurement.unit() => {
            Err("a value has another unit than its measurement")
        }
        Row::Violation(breach) if !(1..=4).contains(&breach.rule) => Err("there are four rules, 1 to 4"),
        _ => Ok(()),
    }
}

/// The start of a run whose rows have been read.
pub fn start_of(rows: &[Row]) -> Option<&Start> {
    match rows.first() {
        Some(Row::Start(start)) => Some(start),
        _ => None,
    }
}

/// The figures among rows.
pub fn figures(rows: &[Row]) -> impl Iterator<Item = &Figure> {
    rows.iter().filter_map(|row| match row {
        Row::Figure(figure) => Some(figure),
        _ => None,
    })
}

impl fmt::Display for Row {
    /// As one JSON line, without its end.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&serde_json::to_string(self).map_err(|_| fmt::Error)?)
    }
}
