//! The steps of a day while they are being generated.
use super::random::sample;
use super::{PlannedExecutor, Step};
use crate::scenario::Scenario;
use rand_chacha::ChaCha8Rng;
use troutknot_emulator::Millis;

/// Collects the steps of a day. All parts draw from the same generator, in the order of the scenario file.
pub(super) struct Schedule<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) executors: Vec<PlannedExecutor>,
    pub(super) rng: ChaCha8Rng,
    steps: Vec<(Millis, Step)>,
}

impl<'a> Schedule<'a> {
    pub(super) fn new(scenario: &'a Scenario, executors: Vec<PlannedExecutor>, rng: ChaCha8Rng) -> Self {
        Schedule { scenario, executors, rng, steps: Vec::new() }
    }

    /// Adds a step at a time of the day, in milliseconds.
    pub(super) fn add(&mut self, at: Millis, step: Step) {
        self.steps.push((at, step));
    }

    /// The executors of a group, or of all groups, that run when the day starts.
    pub(super) fn initial_executors(&self, group: Option<&str>) -> Vec<usize> {
        let in_group = |executor: &PlannedExecutor| {
            group.is_none_or(|name| self.scenario.executors[executor.group].get_ref().name == name)
        };
        let numbered = self.executors.iter().enumerate();
        numbered
            .filter(|(_, executor)| executor.is_initial && in_group(executor))
            .map(|(number, _)| number)
            .collect()
    }

    /// Samples up to `count` of the candidates without replacement.
    pub(super) fn sample(&mut self, candidates: Vec<usize>, count: usize) -> Vec<usize> {
        sample(&mut self.rng, candidates, count)
    }

    /// All executors of the day, and the steps in the order of their time.
    pub(super) fn finish(mut self) -> (Vec<PlannedExecutor>, Vec<(Millis, Step)>) {
        self.steps.sort_by(|left, right| left.0.total_cmp(&right.0));
        (self.executors, self.steps)
    }
}
