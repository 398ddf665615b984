//! Holds the rows of a run against its bounds. A run holds where it was played to its end, each bounded measurement
//! was measured wherever it must be, and none missed its bound.
use crate::bounds::Bounds;
use crate::row::{Figure, Measurement, NodeKind, OperatingPoint, Row, RuleViolation, figures, start_of};

/// What a run is held to, in the order of its table.
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

/// How a measurement came off.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Passed,
    Failed,
    /// There is nothing to judge by, which is no success.
    NotMeasured {
        reason: String,
    },
}

/// One measurement beside its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundCheck {
    pub measurement: Measurement,
    pub bound: f64,
    /// The figure that is farthest up.
    pub worst: Option<Figure>,
    /// Figures that were judged, and those of them over the bound.
    pub judged: usize,
    pub over: usize,
    /// Breaches that were named, where it counts those of a rule.
    pub named: usize,
    pub verdict: Verdict,
}

/// All judgements of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Evaluation {
    pub checks: Vec<BoundCheck>,
    /// Whether the run was played to its end.
    pub is_complete: bool,
}

impl Evaluation {
    pub fn has_passed(&self) -> bool {
        self.is_complete && self.checks.iter().all(|judgement| judgement.verdict == Verdict::Passed)
    }
}

/// Judges rows; the bounds are those of their start, whatever stands beside a figure. None without a start.
pub fn evaluate(rows: &[Row]) -> Option<Evaluation> {
    let bounds = &start_of(rows)?.bounds;
    let evidence = Evidence::of(rows);
    let checks = BOUNDED_MEASUREMENTS
        .into_iter()
        .filter_map(|measurement| evidence.check(measurement, bounds))
        .collect();
    Some(Evaluation { checks, is_complete: matches!(rows.last(), Some(Row::End(_))) })
}

/// What is judged, and where it must have been measured.
struct Evidence<'a> {
    figures: Vec<&'a Figure>,
    breaches: Vec<&'a RuleViolation>,
    /// Where clients sent requests: there the rules and the budgets can be judged.
    loaded: Vec<OperatingPoint>,
    /// Where requests were completed, too.
    served: Vec<OperatingPoint>,
}

impl<'a> Evidence<'a> {
    fn of(rows: &'a [Row]) -> Self {
        // Hollow nodes are load, and are not judged.
        let is_judged = |figure: &&Figure| matches!(figure.node, NodeKind::Real | NodeKind::All);
        let figures: Vec<&Figure> = figures(rows).filter(is_judged).collect();
        let breaches = rows.iter().filter_map(|row| match row {
            Row::Violation(breach) => Some(breach),
            _ => None,
        });
        let points_with = |measurement| {
            let counts = figures.iter().filter(|figure| figure.measurement == measurement);
            counts.filter(|figure| figure.value > 0.0).map(|figure| figure.point()).collect()
        };
        let (loaded, served) = (points_with(Measurement::Requests), points_with(Measurement::Completed));
        Evidence { breaches: breaches.collect(), loaded, served, figures }
    }

    /// None where the measurement has no bound.
    fn check(&self, measurement: Measurement, bounds: &Bounds) -> Option<BoundCheck> {
        let bound = bounds.limit(measurement)?;
        let own: Vec<&Figure> =
            self.figures.iter().copied().filter(|figure| figure.measurement == measurement).collect();
        let over = own.iter().filter(|figure| figure.value > bound).count();
        let named = match measurement.rule() {
            // Both measurements of rule 1 are named as one.
            Some(rule) => self.breaches.iter().filter(|breach| breach.rule == rule).count(),
            None => 0,
        };
        let missing = self.missing(measurement, &own);
        let verdict = if over > 0 || named > 0 {
            Verdict::Failed
        } else if let Some(reason) = missing {
            Verdict::NotMeasured { reason }
        } else {
            Verdict::Passed
        };
        let worst = own.iter().copied().max_by(|a, b| a.value.total_cmp(&b.value)).cloned();
        Some(BoundCheck { measurement, bound, worst, judged: own.len(), over, named, verdict })
    }

    /// Where a measurement is missing though it must have been made, or could not have shown a breach.
    fn missing(&self, measurement: Measurement, own: &[&Figure]) -> Option<String> {
        if own.is_empty() {
            return Some("there is no figure".into());
        }
        if self.loaded.is_empty() {
            return Some("no request was sent".into());
        }
        // These follow from a change or a start, which not every part of a run has.
        if matches!(measurement, Measurement::NotificationDelay | Measurement::StartupTime) {
            return None;
        }
        let place = |point: OperatingPoint| match measurement {
            // Of a list, whatever the rate.
            Measurement::UnretainedExecutors => OperatingPoint { rate: 0.0, ..point },
            _ => point,
        };
        let measured: Vec<OperatingPoint> = own.iter().map(|figure| place(figure.point())).collect();
        if let Some(point) = self.loaded.iter().find(|point| !measured.contains(&place(**point))) {
            return Some(format!("there is no figure of {point}"));
        }
        // Where nothing reaches an executor, nothing can break a rule there.
        if measurement.rule().is_some_and(|rule| rule > 1)
            && let Some(point) = self.loaded.iter().find(|point| !self.served.contains(point))
        {
            return Some(format!("nothing was completed in {point}"));
        }
        None
    }
}
