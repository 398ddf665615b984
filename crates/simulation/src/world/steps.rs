//! Steps of the plan: faults, replaced and killed executors, and operator actions.
use super::{HEALTH_CHECK_INTERVAL, World, WorldEvent};
use troutknot::Event;
use troutknot_emulator::Fault;
use troutknot_emulator::observations::{ExecutorNumber, ListedState, NodeNumber, Observation};
use troutknot_rehearsal::plan::Step;

impl World<'_> {
    /// Applies the step of the plan with this index.
    pub(super) fn apply_step(&mut self, index: usize) {
        let plan = self.plan;
        match &plan.steps[index].1 {
            Step::FaultBegins { number, executor, fault } => {
                self.record(Observation::FaultBegan { number: *number });
                self.change_executor(*executor, |process, now| {
                    process.begin_fault(now, *number as u64, fault.clone())
                });
                if *fault == (Fault::Silence { restarts: true }) {
                    self.paused_dispatches[*executor].clear();
                }
            }
            Step::FaultEnds { number, executor } => {
                self.record(Observation::FaultEnded { number: *number });
                let start_and_down = |world: &Self| {
                    let process = world.executors[*executor].as_ref();
                    process.map(|process| (process.started_at(), process.is_down()))
                };
                let before = start_and_down(self);
                self.change_executor(*executor, |process, now| process.end_fault(now, *number as u64));
                if start_and_down(self) != before && before.is_some_and(|(_, is_down)| !is_down) {
                    self.record(Observation::ExecutorUp { executor: *executor as ExecutorNumber });
                }
            }
            Step::Join { executor } => {
                self.start_executor(*executor);
                self.update_entry(*executor, ListedState::Ready);
            }
            Step::Drain { executor } => {
                self.update_entry(*executor, ListedState::Terminating);
                self.change_executor(*executor, |process, now| process.drain(now));
            }
            Step::Leave { executor } => {
                self.update_entry(*executor, ListedState::Gone);
                self.kill_executor(*executor);
            }
            Step::KillExecutor { executor } => self.kill_executor(*executor),
            Step::RestartExecutor { executor } => {
                self.change_executor(*executor, |process, now| process.restart(now));
                self.record(Observation::ExecutorUp { executor: *executor as ExecutorNumber });
            }
            Step::ListRemoved { executor } => self.update_entry(*executor, ListedState::Gone),
            Step::ListRestarted { executor } | Step::ListPassing { executor } => {
                self.update_entry(*executor, ListedState::Ready)
            }
            Step::ListFailing { executor } => self.update_entry(*executor, ListedState::Terminating),
            Step::KillNode { node } => self.kill_node(*node),
            Step::TerminateNode { node } => {
                self.record(Observation::NodeTerminating { node: *node as NodeNumber });
                self.nodes[*node].is_terminating = true;
                self.queue.schedule(
                    self.now + HEALTH_CHECK_INTERVAL / 2.0,
                    WorldEvent::HealthChecked { node: *node as u32, is_accepting: false },
                );
            }
            Step::StartNode { node } => self.start_node(*node),
            Step::ReloadNodes => {
                for node in 0..self.nodes.len() {
                    self.record(Observation::NodeReloaded { node: node as NodeNumber });
                }
            }
            Step::SilenceDiscovery { silent } => self.set_discovery_silent(*silent),
            // Scenarios with these steps are not simulated, as they need real node processes.
            Step::SuspendExecutor { .. }
            | Step::DrainNode { .. }
            | Step::HotRestartNode { .. }
            | Step::ReconfigureNodes { .. } => {}
            // Every discovery fault is simulated as silence.
            Step::DiscoveryFault { fault } => self.set_discovery_silent(fault.is_some()),
            Step::RestartDiscovery => {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].is_up {
                        self.notify_node(node, Event::EndpointWatchLost { is_rejected: false });
                    }
                }
            }
        }
    }
}
