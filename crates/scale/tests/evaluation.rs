//! Evaluation, each of which a row that is wrong on purpose must turn.
mod common;

use common::{SIZES, bounds, figure, good_rows, start};
use troutknot_scale::evaluation::{BOUNDED_MEASUREMENTS, BoundCheck, Verdict, evaluate};
use troutknot_scale::row::{Measurement, NodeKind, Phase, Row, RuleViolation};

/// The judgements that did not hold.
fn turned(rows: &[Row]) -> Vec<BoundCheck> {
    let judgements = evaluate(rows).expect("the rows have a start");
    judgements.checks.into_iter().filter(|judgement| judgement.verdict != Verdict::Passed).collect()
}

/// Changes the figure of a measurement at the largest size.
fn mutate(measurement: Measurement, change: impl Fn(&mut f64)) -> Vec<Row> {
    let mut rows = good_rows();
    let figures = rows.iter_mut().filter_map(|row| match row {
        Row::Figure(figure) if figure.measurement == measurement => Some(figure),
        _ => None,
    });
    change(&mut figures.last().expect("it was measured").value);
    rows
}

#[test]
fn rows_at_their_bounds_hold() {
    let judgements = evaluate(&good_rows()).unwrap();
    assert!(judgements.has_passed(), "{judgements:#?}");
    assert_eq!(judgements.checks.len(), BOUNDED_MEASUREMENTS.len());
    assert!(judgements.checks.iter().all(|judgement| judgement.checked == SIZES.len()));
}

#[test]
fn a_figure_over_its_bound_misses_that_bound_and_no_other() {
    for measurement in BOUNDED_MEASUREMENTS {
        let rows = mutate(measurement, |value| *value = *value * 1.01 + 1e-3);
        let turned = turned(&rows);
        assert_eq!(turned.len(), 1, "{measurement}: {turned:#?}");
        assert_eq!((turned[0].measurement, turned[0].verdict.clone()), (measurement, Verdict::Failed));
        assert_eq!((turned[0].exceeded, turned[0].checked), (1, SIZES.len()));
        assert_eq!(turned[0].worst.as_ref().unwrap().executors, 19_000);
        assert!(!evaluate(&rows).unwrap().has_passed());
    }
}

#[test]
fn each_bounded_measurement_is_judged() {
    let bounded = Measurement::ALL.into_iter().filter(|of| bounds().limit(*of).is_some());
    let mut bounded: Vec<Measurement> = bounded.collect();
    bounded.sort();
    let mut judged = BOUNDED_MEASUREMENTS.to_vec();
    judged.sort();
    assert_eq!(bounded, judged);
}

#[test]
fn a_measurement_that_was_never_made_does_not_hold() {
    for measurement in BOUNDED_MEASUREMENTS {
        let mut rows = good_rows();
        rows.retain(|row| !matches!(row, Row::Figure(figure) if figure.measurement == measurement));
        let turned = turned(&rows);
        assert_eq!(turned.len(), 1, "{measurement}: {turned:#?}");
        assert_eq!(turned[0].measurement, measurement);
        assert!(matches!(turned[0].verdict, Verdict::NotMeasured { .. }), "{turned:#?}");
    }
}

#[test]
fn a_measurement_that_is_missing_at_one_size_does_not_hold() {
    // What follows from a change or a start is not measured in each part of a run.
    let everywhere = BOUNDED_MEASUREMENTS
        .into_iter()
        .filter(|of| !matches!(of, Measurement::NotificationDelay | Measurement::StartupTime));
    for measurement in everywhere {
        let mut rows = good_rows();
        rows.retain(|row| {
            !matches!(row, Row::Figure(figure) if figure.measurement == measurement && figure.executors == 5000)
        });
        let turned = turned(&rows);
        let reason = "there is no figure of steady, 5000 executors, turnover 2, 75/s".to_string();
        assert_eq!(turned.len(), 1, "{measurement}: {turned:#?}");
        assert_eq!(turned[0].verdict, Verdict::NotMeasured { reason });
    }
}

#[test]
fn nothing_holds_where_no_request_was_sent() {
    let mut rows = good_rows();
    for row in &mut rows {
        if let Row::Figure(figure) = row
            && figure.measurement == Measurement::Requests
        {
            figure.value = 0.0;
        }
    }
    assert_eq!(turned(&rows).len(), BOUNDED_MEASUREMENTS.len());
}

#[test]
fn a_rule_that_nothing_could_break_does_not_hold() {
    let rows = mutate(Measurement::Completed, |value| *value = 0.0);
    let reason = "nothing was completed in steady, 19000 executors, turnover 2, 75/s".to_string();
    let expected =
        [Measurement::RepeatedEffects, Measurement::SentAfterGrace, Measurement::SlowStartOverload]
            .map(|measurement| (measurement, Verdict::NotMeasured { reason: reason.clone() }));
    let turned = turned(&rows).into_iter().map(|judgement| (judgement.measurement, judgement.verdict));
    assert_eq!(turned.collect::<Vec<_>>(), expected);
}

#[test]
fn a_measurement_that_is_missing_at_one_turnover_does_not_hold() {
    let mut rows = good_rows();
    for measurement in [Measurement::Requests, Measurement::Completed] {
        let mut other = figure(5000, measurement, 600.0);
        other.turnover = 8.0;
        rows.insert(1, Row::Figure(other));
    }
    let turned = turned(&rows);
    // All that is judged wherever requests were sent.
    assert_eq!(turned.len(), BOUNDED_MEASUREMENTS.len() - 2);
    let reason = "there is no figure of steady, 5000 executors, turnover 8, 75/s".to_string();
    assert!(
        turned.iter().all(|one| one.verdict == Verdict::NotMeasured { reason: reason.clone() }),
        "{turned:#?}"
    );
}

#[test]
fn a_breach_that_is_named_turns_its_rule_though_its_count_is_0() {
    let counts = [
        (1, vec![Measurement::LateOrMissingAnswers, Measurement::DuplicateAnswers]),
        (2, vec![Measurement::RepeatedEffects]),
        (3, vec![Measurement::SentAfterGrace]),
        (4, vec![Measurement::SlowStartOverload]),
    ];
    for (rule, expected) in counts {
        let mut rows = good_rows();
        let breach = RuleViolation {
            rule,
            name: "wrong-on-purpose".into(),
            phase: Phase::BusyDay,
            description: "a test".into(),
            at_seconds: 1.0,
        };
        rows.insert(1, Row::Violation(breach));
        let turned = turned(&rows);
        assert_eq!(turned.iter().map(|one| one.measurement).collect::<Vec<_>>(), expected);
        assert!(turned.iter().all(|one| one.violations == 1 && one.verdict == Verdict::Failed));
    }
}

#[test]
fn a_bound_that_a_row_states_for_itself_counts_for_nothing() {
    let mut rows = mutate(Measurement::Memory, |value| *value *= 2.0);
    for row in &mut rows {
        if let Row::Figure(figure) = row {
            figure.bound = None;
        }
    }
    assert_eq!(turned(&rows).len(), 1);
}

#[test]
fn hollow_nodes_are_not_judged_and_are_no_evidence() {
    let mut rows = good_rows();
    let mut hollow = figure(19_000, Measurement::CpuShare, 7.0);
    hollow.node = NodeKind::HollowByDispatcher;
    rows.insert(1, Row::Figure(hollow));
    assert!(turned(&rows).is_empty());
    for row in &mut rows {
        if let Row::Figure(figure) = row
            && figure.measurement == Measurement::SlowStartOverload
        {
            figure.node = NodeKind::HollowByRates;
        }
    }
    assert_eq!(turned(&rows).len(), 1);
}

#[test]
fn a_run_that_was_not_played_to_its_end_does_not_hold() {
    let mut rows = good_rows();
    rows.pop();
    let judgements = evaluate(&rows).unwrap();
    assert!(turned(&rows).is_empty() && !judgements.is_complete && !judgements.has_passed());
}

#[test]
fn rows_without_a_start_are_not_judged() {
    assert_eq!(evaluate(&good_rows()[1..]), None);
    assert!(!evaluate(&[Row::Start(start())]).unwrap().has_passed());
}
