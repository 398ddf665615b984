//! Start checks: when a check is due, and which attempts count as lost.
use super::*;
use crate::endpoint::LoadReport;
use crate::policy::rule_inputs::*;
use crate::settings::Effect;
use crate::state::request::{Attempt, CandidateReport};

fn settings(hedging_enabled: bool, probes_enabled: bool, reports_start: bool) -> Settings {
    let mut settings = Settings::default();
    settings.limits.hedging_enabled = hedging_enabled;
    settings.limits.probes_enabled = probes_enabled;
    settings.executors.reports_start = reports_start;
    settings
}

/// Without any of the three, a lost attempt cannot be detected or not be hedged.
#[test]
fn start_checks_need_hedging_probes_and_reported_starts() {
    assert_eq!(StartCheck::new(&settings(true, true, true)), StartCheck::Enabled);
    for (hedging, probes, reports) in [(false, true, true), (true, false, true), (true, true, false)] {
        assert_eq!(StartCheck::new(&settings(hedging, probes, reports)), StartCheck::Disabled);
    }
}

/// A check before the report can include the attempt would take each attempt for a lost one.
#[test]
fn a_check_is_due_after_the_objective_and_not_before_a_report() {
    let mut class = class(Effect::Idempotent);
    for (objective, expected) in [(499.0, 1500.0), (500.0, 1500.0), (501.0, 1501.0)] {
        class.latency_objective = objective;
        assert_close(StartCheck::Enabled.due_at(&class, 1000.0), expected);
        assert_eq!(StartCheck::Disabled.due_at(&class, 1000.0), f64::INFINITY);
    }
}

/// Returns a request for one slot with an attempt at executor 1 and a report of executor `reported`.
fn checked(reported: u32, report: LoadReport) -> Request {
    let reports = vec![CandidateReport { executor: executor(reported), report }];
    Request { attempts: vec![attempt(1, 0.0, None)], reports, ..request() }
}

/// An attempt in the queue of a busy executor must not be hedged.
#[test]
fn an_attempt_is_lost_if_its_executor_reports_free_capacity() {
    let report = |queue_length, free_slots| LoadReport { queue_length, free_slots, ..LoadReport::default() };
    for (reported, report, expected) in [
        (1, report(Some(0.0), Some(1.0)), true),
        (1, report(Some(0.0), Some(0.9)), false),
        (1, report(Some(0.4), Some(1.0)), true),
        (1, report(Some(0.5), Some(1.0)), false),
        (1, report(None, Some(1.0)), false),
        (1, report(Some(0.0), None), false),
        (2, report(Some(0.0), Some(1.0)), false),
    ] {
        assert_eq!(is_lost(&checked(reported, report)), expected, "executor {reported}: {report:?}");
    }
}

/// Guards against a hedge of a running attempt.
#[test]
fn an_attempt_that_started_is_not_lost() {
    let mut request = checked(1, LoadReport { queue_length: Some(0.0), ..LoadReport::from_free_slots(1.0) });
    assert!(is_lost(&request));
    request.attempts = vec![Attempt { started_at: Some(1.0), ..request.attempts[0] }];
    assert!(!is_lost(&request));
    request.attempts.clear();
    assert!(!is_lost(&request));
}
