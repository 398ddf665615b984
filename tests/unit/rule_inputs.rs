//! Inputs for the unit tests of the rules.
use crate::endpoint::{Endpoint, EndpointState};
use crate::event::Outcome;
use crate::ids::{DeduplicationGroupId, ExecutorId, MachineTypeId, ZoneId};
use crate::settings::{ClassSettings, Effect, RuleSettings, Settings};
use crate::state::request::{Attempt, Request};
use crate::state::request_class::RequestClass;
use crate::time::Millis;
use crate::warm_state::ObservedMean;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::KeyData;

pub(crate) const LATENCY_OBJECTIVE: Millis = 100.0;
pub(crate) const DEADLINE: Millis = 5000.0;
pub(crate) const DEDUPLICATION_WINDOW: Millis = 2000.0;
pub(crate) const MAX_ATTEMPTS: usize = 3;

pub(crate) fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(11)
}

pub(crate) fn executor(number: u32) -> ExecutorId {
    // `SlotMap` never uses slot 0, and the generation of an occupied slot is odd.
    KeyData::from_ffi(1 << 32 | (u64::from(number) + 1)).into()
}

/// Returns a ready, warm executor in a zone and a deduplication group of its own.
pub(crate) fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        executor: executor(number),
        token: u64::from(number),
        zone: Some(ZoneId(number)),
        machine_type: MachineTypeId(0),
        deduplication_group: Some(DeduplicationGroupId(number)),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Returns a class with the terms above and without observed running times.
pub(crate) fn class(effect: Effect) -> RequestClass {
    let unobserved = ObservedMean { mean: LATENCY_OBJECTIVE, observations: 0.0 };
    RequestClass {
        terms: ClassSettings {
            effect,
            deduplication_window: DEDUPLICATION_WINDOW,
            value: 1.0,
            stretch: 1.0,
            ..ClassSettings::default()
        },
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
        max_attempts: MAX_ATTEMPTS,
        response_time: unobserved,
        service_time: unobserved,
    }
}

/// Returns a request for one slot that arrived at 0 ms.
pub(crate) fn request() -> Request {
    Request { slots: 1.0, deadline: DEADLINE, ..Request::default() }
}

pub(crate) fn attempt(number: u32, sent_at: Millis, outcome: Option<Outcome>) -> Attempt {
    Attempt {
        outcome,
        ..Attempt::new(executor(number), endpoint(number).deduplication_domain(), sent_at, 0.0)
    }
}

/// Returns settings with a slow start from a quarter of the capacity over 10 s and a budget window of 1 s.
pub(crate) fn slow_start_settings(nodes: f64, node: Option<f64>) -> Settings {
    let rules = RuleSettings {
        initial_capacity: 0.25,
        ramp_duration: 10_000.0,
        budget_window: 1000.0,
        budget_multiple: 4.0,
        ..RuleSettings::default()
    };
    Settings { nodes, node, rules, ..Settings::default() }
}

#[track_caller]
pub(crate) fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-9, "{actual}, expected {expected}");
}
