//! Judgements, each of which a row that is wrong on purpose must turn.
mod common;

use common::{SIZES, bounds, figure, rows_within_bounds, start};
use troutknot_scale::judge::{JUDGED, Judgement, Verdict, judge};
use troutknot_scale::row::{Breach, Measurement, NodeKind, Phase, Row};

/// The judgements that did not hold.
fn turned(rows: &[Row]) -> Vec<Judgement> {
    let judgements = judge(rows).expect("the rows have a start");
    judgements.each.into_iter().filter(|judgement| judgement.verdict != Verdict::Held).collect()
}

/// Changes the figure of a measurement at the largest size.
fn mutate(measurement: Measurement, change: impl Fn(&mut f64)) -> Vec<Row> {
    let mut rows = rows_within_bounds();
    let figures = rows.iter_mut().filter_map(|row| match row {
        Row::Figure(figure) if figure.measurement == measurement => Some(figure),
        _ => None,
    });
    change(&mut figures.last().expect("it was measured").value);
    rows
}

#[test]
fn rows_at_their_bounds_hold() {
    let judgements = judge(&rows_within_bounds()).unwrap();
    assert!(judgements.all_held(), "{judgements:#?}");
    assert_eq!(judgements.each.len(), JUDGED.len());
    assert!(judgements.each.iter().all(|judgement| judgement.judged == SIZES.len()));
}

#[test]
fn a_figure_over_its_bound_misses_that_bound_and_no_other() {
    for measurement in JUDGED {
        let rows = mutate(measurement, |value| *value = *value * 1.01 + 1e-3);
        let turned = turned(&rows);
        assert_eq!(turned.len(), 1, "{measurement}: {turned:#?}");
        assert_eq!((turned[0].measurement, turned[0].verdict.clone()), (measurement, Verdict::Missed));
        assert_eq!((turned[0].over, turned[0].judged), (1, SIZES.len()));
        assert_eq!(turned[0].worst.as_ref().unwrap().executors, 19_000);
        assert!(!judge(&rows).unwrap().all_held());
    }
}

#[test]
fn each_bounded_measurement_is_judged() {
    let bounded = Measurement::ALL.into_iter().filter(|of| bounds().of(*of).is_some());
    let mut bounded: Vec<Measurement> = bounded.collect();
    bounded.sort();
    let mut judged = JUDGED.to_vec();
    judged.sort();
    assert_eq!(bounded, judged);
}

#[test]
fn a_measurement_that_was_never_made_does_not_hold() {
    for measurement in JUDGED {
        let mut rows = rows_within_bounds();
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
    let everywhere =
        JUDGED.into_iter().filter(|of| !matches!(of, Measurement::Told | Measurement::ReadyAgain));
    for measurement in everywhere {
        let mut rows = rows_within_bounds();
        rows.retain(|row| {
            !matches!(row, Row::Figure(figure) if figure.measurement == measurement && figure.executors == 5000)
        });
        let turned = turned(&rows);
        let why = "there is no figure of steady, 5000 executors, turnover 2, 75/s".to_string();
        assert_eq!(turned.len(), 1, "{measurement}: {turned:#?}");
        assert_eq!(turned[0].verdict, Verdict::NotMeasured { why });
    }
}

#[test]
fn nothing_holds_where_no_request_was_sent() {
    let mut rows = rows_within_bounds();
    for row in &mut rows {
        if let Row::Figure(figure) = row
            && figure.measurement == Measurement::Requests
        {
            figure.value = 0.0;
        }
    }
    assert_eq!(turned(&rows).len(), JUDGED.len());
}

#[test]
fn a_rule_that_nothing_could_break_does_not_hold() {
    let rows = mutate(Measurement::Completed, |value| *value = 0.0);
    let why = "nothing was completed in steady, 19000 executors, turnover 2, 75/s".to_string();
    let expected = [Measurement::RepeatedEffects, Measurement::SentAfterGrace, Measurement::PushedOver]
        .map(|measurement| (measurement, Verdict::NotMeasured { why: why.clone() }));
    let turned = turned(&rows).into_iter().map(|judgement| (judgement.measurement, judgement.verdict));
    assert_eq!(turned.collect::<Vec<_>>(), expected);
}

#[test]
fn a_measurement_that_is_missing_at_one_turnover_does_not_hold() {
    let mut rows = rows_within_bounds();
    for measurement in [Measurement::Requests, Measurement::Completed] {
        let mut other = figure(5000, measurement, 600.0);
        other.turnover = 8.0;
        rows.insert(1, Row::Figure(other));
    }
    let turned = turned(&rows);
    // All that is judged wherever requests were sent.
    assert_eq!(turned.len(), JUDGED.len() - 2);
    let why = "there is no figure of steady, 5000 executors, turnover 8, 75/s".to_string();
    assert!(turned.iter().all(|one| one.verdict == Verdict::NotMeasured { why: why.clone() }), "{turned:#?}");
}

#[test]
fn a_breach_that_is_named_turns_its_rule_though_its_count_is_0() {
    let counts = [
        (1, vec![Measurement::LateOrMissingAnswers, Measurement::DoubledAnswers]),
        (2, vec![Measurement::RepeatedEffects]),
        (3, vec![Measurement::SentAfterGrace]),
        (4, vec![Measurement::PushedOver]),
    ];
    for (rule, expected) in counts {
        let mut rows = rows_within_bounds();
        let breach = Breach {
            rule,
            name: "wrong-on-purpose".into(),
            phase: Phase::BusyDay,
            what: "a test".into(),
            at_seconds: 1.0,
        };
        rows.insert(1, Row::Breach(breach));
        let turned = turned(&rows);
        assert_eq!(turned.iter().map(|one| one.measurement).collect::<Vec<_>>(), expected);
        assert!(turned.iter().all(|one| one.named == 1 && one.verdict == Verdict::Missed));
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
    let mut rows = rows_within_bounds();
    let mut hollow = figure(19_000, Measurement::CpuShare, 7.0);
    hollow.node = NodeKind::HollowByDispatcher;
    rows.insert(1, Row::Figure(hollow));
    assert!(turned(&rows).is_empty());
    for row in &mut rows {
        if let Row::Figure(figure) = row
            && figure.measurement == Measurement::PushedOver
        {
            figure.node = NodeKind::HollowByRates;
        }
    }
    assert_eq!(turned(&rows).len(), 1);
}

#[test]
fn a_run_that_was_not_played_to_its_end_does_not_hold() {
    let mut rows = rows_within_bounds();
    rows.pop();
    let judgements = judge(&rows).unwrap();
    assert!(turned(&rows).is_empty() && !judgements.ended && !judgements.all_held());
}

#[test]
fn rows_without_a_start_are_not_judged() {
    assert_eq!(judge(&rows_within_bounds()[1..]), None);
    assert!(!judge(&[Row::Start(start())]).unwrap().all_held());
}
