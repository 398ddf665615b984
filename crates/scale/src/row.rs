//! The rows of a run, which are written and read as JSON lines.
use crate::bounds::Bounds;
use crate::measurement::write_json_name;
pub use crate::measurement::{Measurement, Unit};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, BufRead};

/// One line of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "row", rename_all = "kebab-case")]
pub enum Row {
    /// The first row of a run.
    Start(Start),
    /// A measured value.
    Figure(Figure),
    /// A violation of one of the four rules; a figure counts the violations of each rule as well.
    #[serde(rename = "breach")]
    Violation(RuleViolation),
    /// The last row of a complete run.
    End(End),
}

/// The configuration, program and machine of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Name of the scale file.
    pub name: String,
    pub seed: u64,
    /// Version of the program.
    pub version: String,
    /// Commit that the program was built from, if known.
    pub commit: Option<String>,
    pub cores: usize,
    pub memory_bytes: u64,
    /// Factor by which a busy day is compressed; 1 if it runs at its real speed.
    #[serde(rename = "squeezed")]
    pub time_compression: f64,
    pub bounds: Bounds,
}

/// The kind of node that a figure was measured at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// A process of `troutknotd`.
    Real,
    /// A hollow node that runs the decision module.
    HollowByDispatcher,
    /// A hollow node that replays rates measured at a real node.
    HollowByRates,
    /// No single node: the whole run, or the kit itself.
    All,
}

/// The part of the campaign that a figure belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Steady load, for each combination of fleet size, turnover and request rate.
    Steady,
    /// Nodes start and receive the endpoint list.
    Start,
    /// Nodes reload a changed configuration.
    ConfigChange,
    /// All executors of a zone change at once.
    ZoneBurst,
    /// All executors of a region change at once.
    RegionBurst,
    /// See [`crate::file::FaultKind::BusyDay`].
    BusyDay,
    /// See [`crate::file::FaultKind::ZoneLost`].
    ZoneLost,
    /// See [`crate::file::FaultKind::DiscoverySilent`].
    DiscoverySilent,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    pub phase: Phase,
    pub measurement: Measurement,
    /// Executors in the endpoint list.
    pub executors: usize,
    /// How many times the whole fleet had been replaced under new names.
    pub turnover: f64,
    /// Requests per second at one real node.
    pub rate: f64,
    pub value: f64,
    pub unit: Unit,
    /// Upper bound, if the measurement has one.
    pub bound: Option<f64>,
    pub node: NodeKind,
    /// Time since the start of the run.
    pub at_seconds: f64,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleViolation {
    /// Number of the rule, 1 to 4.
    pub rule: u8,
    pub name: String,
    pub phase: Phase,
    #[serde(rename = "what")]
    pub description: String,
    pub at_seconds: f64,
}

/// Marks a complete run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    pub at_seconds: f64,
}

/// The conditions under which figures are measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatingPoint {
    pub phase: Phase,
    pub executors: usize,
    pub turnover: f64,
    pub rate: f64,
}

impl Figure {
    /// Creates a figure with the unit and the bound of its measurement.
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

    /// Returns the conditions under which the figure was measured.
    pub fn point(&self) -> OperatingPoint {
        let Figure { phase, executors, turnover, rate, .. } = *self;
        OperatingPoint { phase, executors, turnover, rate }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_json_name(self, f)
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
        write_json_name(self, f)
    }
}

/// Why rows cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A line is not a row, or is not allowed at its position.
    #[error("line {line}: {reason}")]
    Line { line: usize, reason: String },
    /// Reading failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Reads the rows of a run, which begin with the start row and have nothing after the end row.
///
/// # Errors
/// The first line that is not a row or is not allowed at its position, or the error of the reader.
pub fn read_rows(reader: impl BufRead) -> Result<Vec<Row>, ReadError> {
    let mut rows: Vec<Row> = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let error = |reason: String| ReadError::Line { line: number + 1, reason };
        let row = serde_json::from_str(&line?).map_err(|source| error(source.to_string()))?;
        validate(&row, rows.last()).map_err(|reason| error(reason.into()))?;
        rows.push(row);
    }
    if rows.is_empty() {
        return Err(ReadError::Line { line: 1, reason: "there are no rows".into() });
    }
    Ok(rows)
}

/// Checks that a row has valid content and is allowed after the previous one.
fn validate(row: &Row, previous: Option<&Row>) -> Result<(), &'static str> {
    if matches!(row, Row::Start(_)) != previous.is_none() {
        return Err("a run must begin with its only `start` row");
    }
    if matches!(previous, Some(Row::End(_))) {
        return Err("a row follows the `end` row");
    }
    match row {
        Row::Figure(figure) if !figure.value.is_finite() => Err("the value is not finite"),
        Row::Figure(figure) if figure.unit != figure.measurement.unit() => {
            Err("the unit is not that of the measurement")
        }
        Row::Violation(violation) if !(1..=4).contains(&violation.rule) => {
            Err("there are four rules, 1 to 4")
        }
        _ => Ok(()),
    }
}

/// Returns the start row of a run.
pub fn start_of(rows: &[Row]) -> Option<&Start> {
    match rows.first() {
        Some(Row::Start(start)) => Some(start),
        _ => None,
    }
}

/// Iterates over the figures of a run.
pub fn figures(rows: &[Row]) -> impl Iterator<Item = &Figure> {
    rows.iter().filter_map(|row| match row {
        Row::Figure(figure) => Some(figure),
        _ => None,
    })
}

impl fmt::Display for Row {
    /// Writes the row as one JSON line without a line break.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&serde_json::to_string(self).map_err(|_| fmt::Error)?)
    }
}
