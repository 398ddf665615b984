//! The input of the referee in addition to the recorded events: the limits of the rules, the executors and the
//! planned requests.
use super::observations::ClientAttempt;
use crate::scenario::{DeduplicationScope, Effect};
use troutknot_emulator::observations::ExecutorNumber;
use troutknot_emulator::{Machine, Millis};

/// The limits of the rules, the environment and the planned requests of one rehearsal.
pub struct Facts {
    /// Seed of the plan.
    pub seed: u64,
    /// How long a node may still dispatch to an executor after it learned that the executor drains.
    pub drain_grace: Millis,
    /// Latest time after a change in discovery at which a node counts as notified.
    pub notification_timeout: Millis,
    /// Upper bound on the attempts of one request, until the settings change.
    pub max_attempts: usize,
    /// Tolerance for transport and scheduling delays in every comparison of times.
    pub slack: Millis,
    /// Share of its capacity that an executor has at its start, 0 to 1.
    pub initial_capacity: f64,
    /// Duration of slow start.
    pub ramp_duration: Millis,
    /// Work that an executor in slow start survives, as a multiple of what its current capacity performs
    /// during `budget_window`.
    pub budget_multiple: f64,
    /// Sliding window of the warm-up budget.
    pub budget_window: Millis,
    /// The request classes; [`RequestFacts::class`] is an index into them.
    pub classes: Vec<ClassFacts>,
    /// The executors by their number.
    pub executors: Vec<ExecutorFacts>,
    /// The requests by their number in the plan.
    pub requests: Vec<RequestFacts>,
    /// When the day began, in milliseconds since the observation log started.
    pub started_at: Millis,
}

/// Limits and weights of one request class.
pub struct ClassFacts {
    /// Name of the class.
    pub name: String,
    /// What a second execution would do.
    pub effect: Effect,
    /// Whether clients send an idempotency key and retry until they receive a final response.
    pub has_idempotency_key: bool,
    /// The executors that deduplicate each other's requests.
    pub deduplication_scope: DeduplicationScope,
    /// How long executors remember a request for deduplication.
    pub deduplication_window: Millis,
    /// Time within which every request must be answered.
    pub deadline: Millis,
    /// Time within which a response counts for the service level.
    pub latency_objective: Millis,
    /// Weight of one request in the service level.
    pub value: f64,
}

/// One executor, as planned.
pub struct ExecutorFacts {
    /// Name of the executor.
    pub name: String,
    /// Its simulated hardware.
    pub machine: Machine,
    /// Zone; see [`DeduplicationScope::Zone`].
    pub zone: u32,
    /// Deduplication group; see [`DeduplicationScope::Group`].
    pub deduplication_group: u32,
    /// Whether its first start has a slow start, as every restart has.
    pub slow_start: bool,
}

/// One planned request.
pub struct RequestFacts {
    /// Index of its class.
    pub class: usize,
    /// When it was due, in milliseconds since the day began.
    pub due_at: Millis,
}

impl Facts {
    pub(super) fn executor_name(&self, number: ExecutorNumber) -> &str {
        self.executors.get(number as usize).map_or("an executor that is not known", |executor| &executor.name)
    }

    pub(super) fn class_of(&self, attempt: &ClientAttempt) -> &ClassFacts {
        &self.classes[self.requests[attempt.request].class]
    }

    /// Formats a time as seconds since the day began.
    pub(super) fn format_time(&self, at: Millis) -> String {
        format!("{:.3} s", (at - self.started_at) / 1000.0)
    }

    /// Whether each of two executors recognizes requests that the other one has run.
    pub(super) fn has_shared_deduplication(
        &self,
        scope: DeduplicationScope,
        first: ExecutorNumber,
        second: ExecutorNumber,
    ) -> bool {
        let first = &self.executors[first as usize];
        let second = &self.executors[second as usize];
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == second.zone,
            DeduplicationScope::Group => first.deduplication_group == second.deduplication_group,
        }
    }

    /// Work per millisecond that an executor can do, `since_start` after it started.
    pub(super) fn capacity(&self, executor: ExecutorNumber, since_start: Millis) -> f64 {
        let machine = &self.executors[executor as usize].machine;
        let progress = (since_start / self.ramp_duration).clamp(0.0, 1.0);
        let share = self.initial_capacity + (1.0 - self.initial_capacity) * progress;
        machine.cores.min(machine.slots) * machine.speed * share
    }
}
