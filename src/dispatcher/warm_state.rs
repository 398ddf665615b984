//! Export and import of the state that one process of a node hands over to the next.
use super::Dispatcher;
use crate::time::Millis;
use crate::warm_state::WarmState;

impl Dispatcher {
    /// Returns the state with which the next process of this node starts.
    pub fn export_state(&self, now: Millis) -> WarmState {
        let executors = &self.fleet.executors;
        WarmState {
            executors: executors.export(self.fleet.slow_start.window_start(now)),
            class_running_times: self.classes.iter().map(|class| class.response_time).collect(),
            mean_running_time: executors.mean_running_time,
            busy_probe_ratio: self.probes.busy_ratio,
            probe_latency: self.probes.latency,
            sample_size: self.sample_sizing.sample_size(),
        }
    }

    /// Imports the state of an earlier process of this node.
    pub(super) fn import_state(&mut self, state: WarmState) {
        self.fleet.executors.import(state.executors);
        let observed = self.classes.iter_mut().zip(state.class_running_times);
        for (class, running_time) in observed.filter(|(_, running_time)| running_time.observations > 0.0) {
            // Service times are not handed over. They start at the response times, which include the queueing at the
            // executor and are therefore too long.
            (class.response_time, class.service_time) = (running_time, running_time);
        }
        self.fleet.executors.mean_running_time = state.mean_running_time;
        self.probes.import(state.busy_probe_ratio, state.probe_latency);
        self.sample_sizing.import(state.sample_size);
    }
}
