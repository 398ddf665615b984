//! Running times: how a completed attempt changes the means.
use super::*;
use crate::policy::rule_inputs::*;
use crate::settings::Effect;

/// The assumed mean must not outlast the first observation.
#[test]
fn the_first_attempt_sets_the_means_of_its_class() {
    let (mut class, mut mean) = (class(Effect::Idempotent), 500.0);
    let attempt = Attempt { started_at: Some(130.0), ..attempt(0, 100.0, None) };
    assert_close(observe(&mut class, &mut mean, &attempt, 180.0, 1.0), 1.0);
    assert_close(class.response_time.mean, 80.0);
    assert_close(class.service_time.mean, 50.0);
    assert_close(mean, 500.0 + 0.03 * (80.0 - 500.0));
}

/// A single attempt must not change the means much.
#[test]
fn a_later_attempt_has_a_weight_of_three_percent() {
    let (mut class, mut mean) = (class(Effect::Idempotent), 500.0);
    class.response_time.observations = 1000.0;
    class.service_time.observations = 1000.0;
    let relative = observe(&mut class, &mut mean, &attempt(0, 0.0, None), 200.0, 1.0);
    let expected = 100.0 + 0.03 * 100.0;
    assert_close(class.response_time.mean, expected);
    assert_close(class.service_time.mean, expected);
    assert_close(relative, 200.0 / expected);
}

/// The estimate for an executor in slow start would distort the means.
#[test]
fn an_attempt_in_slow_start_is_scaled_and_does_not_change_the_means() {
    let (mut class, mut mean) = (class(Effect::Idempotent), 500.0);
    let relative = observe(&mut class, &mut mean, &attempt(0, 0.0, None), 300.0, 0.5);
    assert_close(relative, 300.0 * 0.5 / LATENCY_OBJECTIVE);
    assert_eq!((class.response_time.mean, class.response_time.observations), (LATENCY_OBJECTIVE, 0.0));
    assert_eq!((class.service_time.observations, mean), (0.0, 500.0));
    observe(&mut class, &mut mean, &attempt(0, 0.0, None), 300.0, 0.999);
    assert_eq!(class.response_time.observations, 0.0, "a scale just below that of a warm executor");
}
