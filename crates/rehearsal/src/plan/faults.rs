//! Faults of executors, as steps of the day.
use super::schedule::Schedule;
use super::{Step, startup_delay};
use crate::scenario::{FaultKind, FaultSpec, Scenario, millis};
use troutknot_emulator::{Fault, Millis};

/// Default length of a period with contention and of a period without it, in milliseconds.
const DEFAULT_CONTENTION_PERIOD: Millis = 1000.0;
const DEFAULT_CORE_SHARE: f64 = 0.5;
const DEFAULT_PARETO_EXPONENT: f64 = 1.5;

impl Schedule<'_> {
    /// Schedules a fault of a random sample of the executors that it can affect.
    pub(super) fn add_fault(&mut self, number: usize, spec: &FaultSpec) {
        let candidates = self.initial_executors(spec.group.as_deref());
        let count = ((candidates.len() as f64 * spec.share).round() as usize).max(1);
        let (begins_at, ends_at) = (millis(spec.begins_at), millis(spec.ends_at));
        let fault = executor_fault(spec, self.scenario);
        for executor in self.sample(candidates, count) {
            if fault == (Fault::Silence { restarts: true }) {
                self.add_listing_changes(executor, begins_at, ends_at);
            }
            self.add(begins_at, Step::FaultBegins { number, executor, fault: fault.clone() });
            self.add(ends_at, Step::FaultEnds { number, executor });
        }
    }

    /// Schedules what discovery lists of an executor that is cut off and then starts again.
    fn add_listing_changes(&mut self, executor: usize, begins_at: Millis, ends_at: Millis) {
        // An executor registers before it accepts connections.
        let registered_at = (ends_at - startup_delay(self.scenario)).max(begins_at);
        let removed_at = begins_at + millis(self.scenario.discovery.failure_detection_delay);
        if removed_at < registered_at {
            self.add(removed_at, Step::ListRemoved { executor });
        }
        self.add(registered_at, Step::ListRestarted { executor });
    }
}

fn executor_fault(spec: &FaultSpec, scenario: &Scenario) -> Fault {
    let factor = spec.factor.unwrap_or(1.0);
    let share = spec.attempt_share.unwrap_or(1.0);
    match spec.kind {
        FaultKind::Slow => Fault::Slow { factor },
        FaultKind::Pause => Fault::Pause,
        FaultKind::Silence => Fault::Silence { restarts: spec.restarts.unwrap_or(true) },
        FaultKind::CpuContention => Fault::CpuContention {
            share: spec.core_share.unwrap_or(DEFAULT_CORE_SHARE),
            on: spec.contended_time.map_or(DEFAULT_CONTENTION_PERIOD, millis),
            off: spec.uncontended_time.map_or(DEFAULT_CONTENTION_PERIOD, millis),
        },
        FaultKind::NeverStart => Fault::NeverStart { request_class: class_index(spec, scenario), share },
        FaultKind::Errors => Fault::Errors { share },
        FaultKind::WrongLoadReports => Fault::WrongLoadReports { factor },
        FaultKind::LateLoadReports => Fault::LateLoadReports { delay: spec.delay.map_or(0.0, millis) },
        FaultKind::Resets => Fault::Resets { share },
        FaultKind::HeavyTail => Fault::HeavyTail {
            request_class: class_index(spec, scenario),
            share,
            alpha: spec.alpha.unwrap_or(DEFAULT_PARETO_EXPONENT),
        },
    }
}

/// The index of the request class that a fault affects; 0 if it names none.
fn class_index(spec: &FaultSpec, scenario: &Scenario) -> usize {
    let is_named = |class: &str| spec.request_class.as_deref() == Some(class);
    scenario.request_classes.iter().position(|class| is_named(&class.get_ref().name)).unwrap_or(0)
}
