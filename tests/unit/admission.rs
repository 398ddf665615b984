//! Admission control: load shedding and quotas at their boundary values.
use super::*;
use crate::policy::rule_inputs::*;
use crate::settings::{ClassSettings, Effect, TenantSettings};
use rand::RngExt;

/// Returns a control that adapts because probes are forbidden.
fn adaptive(starts_reported: bool) -> AdmissionControl {
    let mut settings = Settings::default();
    settings.limits.probes_enabled = false;
    settings.executors.reports_start = starts_reported;
    let mut control = AdmissionControl::new();
    control.apply_settings(&settings);
    control
}

fn admitted_of_1000(control: &AdmissionControl, relative_cost: f64) -> usize {
    let mut random = random();
    (0..1000).filter(|_| control.decide(relative_cost, &mut random) == Admission::Admitted).count()
}

/// A draw without need would shift all later random numbers.
#[test]
fn all_requests_are_admitted_initially_without_a_random_draw() {
    let (mut used, mut unused) = (random(), random());
    let control = adaptive(true);
    assert!((0..100).all(|_| control.decide(1.0, &mut used) == Admission::Admitted));
    assert_eq!(used.random::<u64>(), unused.random::<u64>());
}

/// Guards against a share that does not fall, falls below its floor, does not recover, or ignores the cost.
#[test]
fn requests_are_shed_after_late_starts_and_costly_ones_first() {
    let mut control = adaptive(true);
    (0..4).for_each(|_| control.record_late_start());
    // The share is 0.85^4 = 0.52.
    let [cheap, mean, costly] = [0.1, 1.0, 4.0].map(|cost| admitted_of_1000(&control, cost));
    assert!((900..970).contains(&cheap), "{cheap}");
    assert!((470..570).contains(&mean), "{mean}");
    assert!((40..110).contains(&costly), "{costly}");
    (0..100).for_each(|_| control.record_late_start());
    assert_close(control.share.share(), 0.05);
    (0..10).for_each(|_| control.record_start(&class(Effect::Idempotent), 0.0));
    assert_eq!(admitted_of_1000(&control, 4.0), 1000, "ten starts in time restore the share");
}

/// Late starts must not reject requests for which probes find capacity.
#[test]
fn nothing_is_shed_while_queues_can_be_probed() {
    let mut control = AdmissionControl::new();
    control.apply_settings(&Settings::default());
    (0..100).for_each(|_| control.record_late_start());
    assert_eq!(admitted_of_1000(&control, 1.0), 1000);
}

/// A late start must not raise the share, or an overload would not reduce it.
#[test]
fn a_start_within_the_longest_delay_raises_the_share() {
    let class = class(Effect::Idempotent);
    for (starts_reported, max_delay) in [(true, LATENCY_OBJECTIVE), (false, DEADLINE / 4.0)] {
        for (delay, expected) in [(max_delay, 0.95), (max_delay + 1.0, 0.85)] {
            let mut control = adaptive(starts_reported);
            control.record_late_start();
            control.record_start(&class, delay);
            assert_close(control.share.share(), expected);
        }
    }
}

/// An attempt must not raise the share twice, by its start and by its end.
#[test]
fn an_end_counts_only_if_starts_are_not_reported() {
    let class = class(Effect::Idempotent);
    for (starts_reported, expected) in [(true, 0.85), (false, 0.95)] {
        let mut control = adaptive(starts_reported);
        control.record_late_start();
        control.record_end(&class, 1.0);
        assert_close(control.share.share(), expected);
    }
}

/// Classes with long requests have a longer objective; without the stretch their starts would count as late.
#[test]
fn the_longest_start_delay_grows_with_the_stretch() {
    let mut class = class(Effect::Idempotent);
    class.terms.stretch = 3.0;
    class.service_time.mean = 40.0;
    assert_close(adaptive(true).max_start_delay(&class), LATENCY_OBJECTIVE + 2.0 * 40.0);
    assert_close(adaptive(false).max_start_delay(&class), DEADLINE / 4.0);
}

/// Guards against a cost that ignores running times or values.
#[test]
fn the_cost_of_a_class_is_relative_to_the_mean() {
    let terms = |latency_objective, value| ClassSettings {
        latency_objective: Some(latency_objective),
        deadline: Some(DEADLINE),
        value,
        ..ClassSettings::default()
    };
    let classes = vec![terms(100.0, 1.0), terms(300.0, 1.0), terms(100.0, 0.5)];
    let mut request_classes = RequestClasses::default();
    request_classes.add_new(&Settings { classes, ..Settings::default() });
    for (class, expected) in [(0, 0.5), (1, 1.5), (2, 1.0)] {
        assert_close(relative_cost(&request_classes, RequestClassId(class)), expected);
    }
}

/// Returns quotas of 10 requests per second for tenant 0 and of 0.001 for tenant 1.
fn quotas(nodes: f64) -> TenantQuotas {
    let tenants = [10.0, 0.001].map(|quota| TenantSettings { quota_per_s: Some(quota) }).into();
    let mut quotas = TenantQuotas::default();
    quotas.apply_settings(0.0, &Settings { tenants, ..Settings::default() }, nodes);
    quotas
}

fn accepted(quotas: &mut TenantQuotas, now: Millis, tenant: u32) -> usize {
    let within = |_: &i32| quotas.record_request(now, TenantId(tenant), false) == QuotaUse::WithinQuota;
    (0..1000).filter(within).count()
}

/// Guards against quotas that reject bursts, or that nodes together exceed several times.
#[test]
fn a_quota_allows_a_burst_and_then_its_rate() {
    // Quota accumulates over two seconds, and a node gets up to twice an even part of a quota.
    for (nodes, burst, refill) in [(1.0, 20, 100.0), (2.0, 20, 100.0), (4.0, 10, 200.0)] {
        for (pause, expected) in [(refill - 1.0, 0), (refill, 1)] {
            let mut quotas = quotas(nodes);
            assert_eq!(accepted(&mut quotas, 0.0, 0), burst, "{nodes} nodes");
            assert_eq!(accepted(&mut quotas, pause, 0), expected, "{nodes} nodes, after {pause} ms");
        }
    }
    assert_eq!(accepted(&mut quotas(1.0), 0.0, 1), 3, "the smallest burst that a quota allows");
    assert_eq!(accepted(&mut quotas(1.0), 0.0, 2), 1000, "a tenant without a quota");
}

/// A client that retries after a rejection must not use up its quota by that.
#[test]
fn a_client_retry_is_not_counted_again() {
    let mut quotas = quotas(1.0);
    for _ in 0..10 {
        assert_eq!(quotas.record_request(0.0, TenantId(1), true), QuotaUse::WithinQuota);
    }
    assert_eq!(accepted(&mut quotas, 0.0, 1), 3);
    assert_eq!(quotas.record_request(0.0, TenantId(1), true), QuotaUse::OverQuota);
}
