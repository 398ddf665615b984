//! Steps of the plan: troubles, replaced and killed executors, and what operators do.
use super::{HEALTH_EVERY, World, WorldEvent};
use troutknot::Event;
use troutknot_emulator::Fault;
use troutknot_emulator::observations::{ExecutorNumber, ListedState, NodeNumber, Observation};
use troutknot_rehearsal::plan::Step;

impl World<'_> {
    /// Takes the step of the plan with this number.
    pub(super) fn step(&mut self, number: usize) {
        let plan = self.plan;
        match &plan.steps[number].1 {
            Step::FaultBegins { number, executor, fault } => {
                self.note(Observation::FaultBegan { number: *number });
                self.change_executor(*executor, |host, now| {
                    host.begin_fault(now, *number as u64, fault.clone())
                });
                if *fault == (Fault::Silence { restarts: true }) {
                    self.waits_at[*executor].clear();
                }
            }
            Step::FaultEnds { number, executor } => {
                self.note(Observation::FaultEnded { number: *number });
                let start =
                    |world: &Self| world.hosts[*executor].as_ref().map(|h| (h.started_at(), h.is_down()));
                let before = start(self);
                self.change_executor(*executor, |host, now| host.end_fault(now, *number as u64));
                if start(self) != before && before.is_some_and(|(_, down)| !down) {
                    self.note(Observation::ExecutorUp { executor: *executor as ExecutorNumber });
                }
            }
            Step::Join { executor } => {
                self.start_executor(*executor);
                self.list(*executor, ListedState::Ready);
            }
            Step::Drain { executor } => {
                self.list(*executor, ListedState::Terminating);
                self.change_executor(*executor, |host, now| host.drain(now));
            }
            Step::Leave { executor } => {
                self.list(*executor, ListedState::Gone);
                self.kill_executor(*executor);
            }
            Step::KillExecutor { executor } => self.kill_executor(*executor),
            Step::RestartExecutor { executor } => {
                self.change_executor(*executor, |host, now| host.restart(now));
                self.note(Observation::ExecutorUp { executor: *executor as ExecutorNumber });
            }
            Step::ListRemoved { executor } => self.list(*executor, ListedState::Gone),
            Step::ListRestarted { executor } | Step::ListPassing { executor } => {
                self.list(*executor, ListedState::Ready)
            }
            Step::ListFailing { executor } => self.list(*executor, ListedState::Terminating),
            Step::KillNode { node } => self.kill_node(*node),
            Step::TerminateNode { node } => {
                self.note(Observation::NodeTerminating { node: *node as NodeNumber });
                self.nodes[*node].leaving = true;
                self.queue.at(
                    self.now + HEALTH_EVERY / 2.0,
                    WorldEvent::TakenIn { node: *node as u32, taken_in: false },
                );
            }
            Step::StartNode { node } => self.start_node(*node),
            Step::ReloadNodes => {
                for node in 0..self.nodes.len() {
                    self.note(Observation::NodeReloaded { node: node as NodeNumber });
                }
            }
            Step::SilenceDiscovery { silent } => self.silence(*silent),
            // Such days are not simulated: they need real nodes.
            Step::SuspendExecutor { .. }
            | Step::DrainNode { .. }
            | Step::HotRestartNode { .. }
            | Step::ReconfigureNodes { .. } => {}
            Step::DiscoveryFault { fault } => self.silence(fault.is_some()),
            Step::RestartDiscovery => {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].up {
                        self.tell(node, Event::EndpointWatchLost { is_rejected: false });
                    }
                }
            }
        }
    }
}
