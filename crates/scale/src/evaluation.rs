//! Evaluates the rows of a run against its bounds. A run passes if it is complete, if each bounded measurement was
//! taken at every operating point that requires it, and if no measurement exceeds its bound.
use crate::bounds::Bounds;
use crate::row::{Figure, Measurement, NodeKind, OperatingPoint, Row, RuleViolation, figures, start_of};

/// The measurements with a bound, in the order of the table.
pub const BOUNDED_MEASUREMENTS: [Measurement; 12] = [
    Measurement::LateOrMissingAnswers,
    Measurement::DuplicateAnswers,
    Measurement::RepeatedEffects,
    Measurement::SentAfterGrace,
    Measurement::SlowStartOverload,
    Measurement::NotificationDelay,
    Measurement::StartupTime,
    Measurement::CpuShare,
    Measurement::Memory,
    Measurement::ListBytes,
    Measurement::OpenSockets,
    Measurement::UnretainedExecutors,
];

/// Result of the check of one measurement.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No value exceeds the bound.
    Passed,
    /// A value exceeds the bound, or the rule was violated.
    Failed,
    /// Values are missing, which does not count as passed.
    NotMeasured { reason: String },
}

/// One measurement checked against its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundCheck {
    pub measurement: Measurement,
    pub bound: f64,
    /// The figure with the largest value.
    pub worst: Option<Figure>,
    /// Number of checked figures.
    pub checked: usize,
    /// Number of checked figures over the bound.
    pub exceeded: usize,
    /// Number of violation rows, if the measurement counts the violations of a rule.
    pub violations: usize,
    pub verdict: Verdict,
}

/// Result of all checks of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Evaluation {
    pub checks: Vec<BoundCheck>,
    /// Whether the run completed, so that its last row is the end row.
    pub is_complete: bool,
}

impl Evaluation {
    /// Returns whether the run is complete and all its checks passed.
    pub fn has_passed(&self) -> bool {
        self.is_complete && self.checks.iter().all(|check| check.verdict == Verdict::Passed)
    }
}

/// Evaluates the rows of a run against the bounds in its start row; the bounds in the figures are ignored. Returns
/// `None` without a start row.
pub fn evaluate(rows: &[Row]) -> Option<Evaluation> {
    let bounds = &start_of(rows)?.bounds;
    let evidence = Evidence::from_rows(rows);
    let checks = BOUNDED_MEASUREMENTS
        .into_iter()
        .filter_map(|measurement| evidence.check(measurement, bounds))
        .collect();
    Some(Evaluation { checks, is_complete: matches!(rows.last(), Some(Row::End(_))) })
}

/// The figures and violations to evaluate, and the operating points at which measurements are required.
struct Evidence<'a> {
    figures: Vec<&'a Figure>,
    violations: Vec<&'a RuleViolation>,
    /// Operating points at which clients sent requests; the rules and the resource bounds can be evaluated there.
    loaded: Vec<OperatingPoint>,
    /// Operating points at which requests were completed.
    served: Vec<OperatingPoint>,
}

impl<'a> Evidence<'a> {
    fn from_rows(rows: &'a [Row]) -> Self {
        // Hollow nodes only create load and are not evaluated.
        let is_evaluated = |figure: &&Figure| matches!(figure.node, NodeKind::Real | NodeKind::All);
        let figures: Vec<&Figure> = figures(rows).filter(is_evaluated).collect();
        let violations = rows.iter().filter_map(|row| match row {
            Row::Violation(violation) => Some(violation),
            _ => None,
        });
        let points_with = |measurement| {
            let counts = figures.iter().filter(|figure| figure.measurement == measurement);
            counts.filter(|figure| figure.value > 0.0).map(|figure| figure.point()).collect()
        };
        let (loaded, served) = (points_with(Measurement::Requests), points_with(Measurement::Completed));
        Evidence { violations: violations.collect(), loaded, served, figures }
    }

    /// Checks one measurement; `None` if it has no bound.
    fn check(&self, measurement: Measurement, bounds: &Bounds) -> Option<BoundCheck> {
        let bound = bounds.limit(measurement)?;
        let values: Vec<&Figure> =
            self.figures.iter().copied().filter(|figure| figure.measurement == measurement).collect();
        let exceeded = values.iter().filter(|figure| figure.value > bound).count();
        let violations = match measurement.rule() {
            // A violation row names the rule only, so it counts for both measurements of rule 1.
            Some(rule) => self.violations.iter().filter(|violation| violation.rule == rule).count(),
            None => 0,
        };
        let missing = self.missing_reason(measurement, &values);
        let verdict = if exceeded > 0 || violations > 0 {
            Verdict::Failed
        } else if let Some(reason) = missing {
            Verdict::NotMeasured { reason }
        } else {
            Verdict::Passed
        };
        let worst = values.iter().copied().max_by(|a, b| a.value.total_cmp(&b.value)).cloned();
        Some(BoundCheck { measurement, bound, worst, checked: values.len(), exceeded, violations, verdict })
    }

    /// Returns why a measurement is incomplete: it is missing at an operating point that requires it, or could not have
    /// shown a violation there. `None` if it is complete.
    fn missing_reason(&self, measurement: Measurement, values: &[&Figure]) -> Option<String> {
        if values.is_empty() {
            return Some("there is no figure".into());
        }
        if self.loaded.is_empty() {
            return Some("no request was sent".into());
        }
        // These are measured at a list change or at the start of a node, which not every operating point has.
        if matches!(measurement, Measurement::NotificationDelay | Measurement::StartupTime) {
            return None;
        }
        let required_point = |point: OperatingPoint| match measurement {
            // The count depends on the endpoint list only, so one figure covers all rates.
            Measurement::UnretainedExecutors => OperatingPoint { rate: 0.0, ..point },
            _ => point,
        };
        let measured: Vec<OperatingPoint> =
            values.iter().map(|figure| required_point(figure.point())).collect();
        if let Some(point) = self.loaded.iter().find(|point| !measured.contains(&required_point(**point))) {
            return Some(format!("there is no figure of {point}"));
        }
        // Rules on executors cannot be violated where no request reaches an executor.
        if measurement.rule().is_some_and(|rule| rule > 1)
            && let Some(point) = self.loaded.iter().find(|point| !self.served.contains(point))
        {
            return Some(format!("nothing was completed in {point}"));
        }
        None
    }
}
