//! Evaluation of rows against the bounds: each test makes one row wrong, which must fail the checks that depend on it
//! and no others.
mod common;

use common::{SIZES, bounds, figure, rows_within_bounds, start};
use troutknot_scale::evaluation::{BOUNDED_MEASUREMENTS, BoundCheck, Verdict, evaluate};
use troutknot_scale::row::{Measurement, NodeKind, Phase, Row, RuleViolation};

/// Returns the checks that did not pass.
fn checks_not_passed(rows: &[Row]) -> Vec<BoundCheck> {
    let evaluation = evaluate(rows).expect("the rows have a start row");
    evaluation.checks.into_iter().filter(|check| check.verdict != Verdict::Passed).collect()
}

/// Returns passing rows, except that the figure of a measurement at the largest fleet size is changed.
fn rows_with_changed_figure(measurement: Measurement, change: impl Fn(&mut f64)) -> Vec<Row> {
    let mut rows = rows_within_bounds();
    let figures = rows.iter_mut().filter_map(|row| match row {
        Row::Figure(figure) if figure.measurement == measurement => Some(figure),
        _ => None,
    });
    change(&mut figures.last().expect("the measurement has a figure").value);
    rows
}

#[test]
fn values_at_their_bounds_pass() {
    let evaluation = evaluate(&rows_within_bounds()).unwrap();
    assert!(evaluation.has_passed(), "{evaluation:#?}");
    assert_eq!(evaluation.checks.len(), BOUNDED_MEASUREMENTS.len());
    assert!(evaluation.checks.iter().all(|check| check.checked == SIZES.len()));
}

#[test]
fn a_value_over_its_bound_fails_its_own_check_only() {
    for measurement in BOUNDED_MEASUREMENTS {
        let rows = rows_with_changed_figure(measurement, |value| *value = *value * 1.01 + 1e-3);
        let not_passed = checks_not_passed(&rows);
        assert_eq!(not_passed.len(), 1, "{measurement}: {not_passed:#?}");
        assert_eq!(
            (not_passed[0].measurement, not_passed[0].verdict.clone()),
            (measurement, Verdict::Failed)
        );
        assert_eq!((not_passed[0].exceeded, not_passed[0].checked), (1, SIZES.len()));
        assert_eq!(not_passed[0].worst.as_ref().unwrap().executors, 19_000);
        assert!(!evaluate(&rows).unwrap().has_passed());
    }
}

#[test]
fn every_measurement_with_a_bound_is_checked() {
    let bounded = Measurement::ALL.into_iter().filter(|measurement| bounds().limit(*measurement).is_some());
    let mut bounded: Vec<Measurement> = bounded.collect();
    bounded.sort();
    let mut checked = BOUNDED_MEASUREMENTS.to_vec();
    checked.sort();
    assert_eq!(bounded, checked);
}

#[test]
fn a_missing_measurement_does_not_pass() {
    for measurement in BOUNDED_MEASUREMENTS {
        let mut rows = rows_within_bounds();
        rows.retain(|row| !matches!(row, Row::Figure(figure) if figure.measurement == measurement));
        let not_passed = checks_not_passed(&rows);
        assert_eq!(not_passed.len(), 1, "{measurement}: {not_passed:#?}");
        assert_eq!(not_passed[0].measurement, measurement);
        assert!(matches!(not_passed[0].verdict, Verdict::NotMeasured { .. }), "{not_passed:#?}");
    }
}

#[test]
fn a_measurement_missing_at_one_fleet_size_does_not_pass() {
    // These two require a list change or a start, which not every part of a run has.
    let required_everywhere = BOUNDED_MEASUREMENTS.into_iter().filter(|measurement| {
        !matches!(measurement, Measurement::NotificationDelay | Measurement::StartupTime)
    });
    for measurement in required_everywhere {
        let mut rows = rows_within_bounds();
        rows.retain(|row| {
            !matches!(row, Row::Figure(figure) if figure.measurement == measurement && figure.executors == 5000)
        });
        let not_passed = checks_not_passed(&rows);
        let reason = "there is no figure of steady, 5000 executors, turnover 2, 75/s".to_string();
        assert_eq!(not_passed.len(), 1, "{measurement}: {not_passed:#?}");
        assert_eq!(not_passed[0].verdict, Verdict::NotMeasured { reason });
    }
}

#[test]
fn nothing_passes_if_no_request_was_sent() {
    let mut rows = rows_within_bounds();
    for row in &mut rows {
        if let Row::Figure(figure) = row
            && figure.measurement == Measurement::Requests
        {
            figure.value = 0.0;
        }
    }
    assert_eq!(checks_not_passed(&rows).len(), BOUNDED_MEASUREMENTS.len());
}

#[test]
fn a_rule_does_not_pass_if_no_request_was_completed() {
    let rows = rows_with_changed_figure(Measurement::Completed, |value| *value = 0.0);
    let reason = "nothing was completed in steady, 19000 executors, turnover 2, 75/s".to_string();
    let expected =
        [Measurement::RepeatedEffects, Measurement::SentAfterGrace, Measurement::SlowStartOverload]
            .map(|measurement| (measurement, Verdict::NotMeasured { reason: reason.clone() }));
    let not_passed = checks_not_passed(&rows).into_iter().map(|check| (check.measurement, check.verdict));
    assert_eq!(not_passed.collect::<Vec<_>>(), expected);
}

#[test]
fn a_measurement_missing_at_one_turnover_does_not_pass() {
    let mut rows = rows_within_bounds();
    for measurement in [Measurement::Requests, Measurement::Completed] {
        let mut other = figure(5000, measurement, 600.0);
        other.turnover = 8.0;
        rows.insert(1, Row::Figure(other));
    }
    let not_passed = checks_not_passed(&rows);
    // All measurements that are required wherever requests were sent.
    assert_eq!(not_passed.len(), BOUNDED_MEASUREMENTS.len() - 2);
    let reason = "there is no figure of steady, 5000 executors, turnover 8, 75/s".to_string();
    assert!(
        not_passed.iter().all(|check| check.verdict == Verdict::NotMeasured { reason: reason.clone() }),
        "{not_passed:#?}"
    );
}

#[test]
fn a_violation_row_fails_its_rule_even_if_the_count_is_0() {
    let counts = [
        (1, vec![Measurement::LateOrMissingAnswers, Measurement::DuplicateAnswers]),
        (2, vec![Measurement::RepeatedEffects]),
        (3, vec![Measurement::SentAfterGrace]),
        (4, vec![Measurement::SlowStartOverload]),
    ];
    for (rule, expected) in counts {
        let mut rows = rows_within_bounds();
        let violation = RuleViolation {
            rule,
            name: "wrong-on-purpose".into(),
            phase: Phase::BusyDay,
            description: "a test".into(),
            at_seconds: 1.0,
        };
        rows.insert(1, Row::Violation(violation));
        let not_passed = checks_not_passed(&rows);
        assert_eq!(not_passed.iter().map(|check| check.measurement).collect::<Vec<_>>(), expected);
        assert!(not_passed.iter().all(|check| check.violations == 1 && check.verdict == Verdict::Failed));
    }
}

#[test]
fn the_bound_in_a_figure_row_is_ignored() {
    let mut rows = rows_with_changed_figure(Measurement::Memory, |value| *value *= 2.0);
    for row in &mut rows {
        if let Row::Figure(figure) = row {
            figure.bound = None;
        }
    }
    assert_eq!(checks_not_passed(&rows).len(), 1);
}

#[test]
fn figures_of_hollow_nodes_are_neither_checked_nor_a_substitute() {
    let mut rows = rows_within_bounds();
    let mut hollow = figure(19_000, Measurement::CpuShare, 7.0);
    hollow.node = NodeKind::HollowByDispatcher;
    rows.insert(1, Row::Figure(hollow));
    assert!(checks_not_passed(&rows).is_empty());
    for row in &mut rows {
        if let Row::Figure(figure) = row
            && figure.measurement == Measurement::SlowStartOverload
        {
            figure.node = NodeKind::HollowByRates;
        }
    }
    assert_eq!(checks_not_passed(&rows).len(), 1);
}

#[test]
fn an_incomplete_run_does_not_pass() {
    let mut rows = rows_within_bounds();
    rows.pop();
    let evaluation = evaluate(&rows).unwrap();
    assert!(checks_not_passed(&rows).is_empty() && !evaluation.is_complete && !evaluation.has_passed());
}

#[test]
fn rows_without_a_start_are_not_evaluated() {
    assert_eq!(evaluate(&rows_within_bounds()[1..]), None);
    assert!(!evaluate(&[Row::Start(start())]).unwrap().has_passed());
}
