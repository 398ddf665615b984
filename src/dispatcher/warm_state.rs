//! What one process of a node hands to the next.
use super::Dispatcher;
use crate::policy::MAX_SAMPLE_SIZE;
use crate::state::probe_statistics::LEAST_SAMPLE_SIZE;
use crate::time::Millis;
use crate::warm_state::WarmState;

impl Dispatcher {
    /// What a process of this node after this one goes on from.
    pub fn export_state(&self, now: Millis) -> WarmState {
        WarmState {
            executors: self.executors.export(now - self.slow_start.rules.budget_window),
            class_running_times: self.classes.iter().map(|class| class.response_time).collect(),
            mean_running_time: self.executors.mean_running_time,
            busy_probe_ratio: self.probes.busy_ratio,
            probe_latency: self.probes.latency,
            sample_size: self.probes.sample_size,
        }
    }

    pub(crate) fn import_state(&mut self, state: WarmState) {
        self.executors.import(state.executors);
        let observed = self.classes.iter_mut().zip(state.class_running_times);
        for (class, running_time) in observed.filter(|(_, running_time)| running_time.observations > 0.0) {
            // What it waited is not told apart; that is less than the truth for fresh executors.
            (class.response_time, class.service_time) = (running_time, running_time);
        }
        self.executors.mean_running_time = state.mean_running_time;
        self.probes.import(state.busy_probe_ratio, state.probe_latency);
        self.probes.sample_size = state.sample_size.clamp(LEAST_SAMPLE_SIZE, MAX_SAMPLE_SIZE);
    }
}
