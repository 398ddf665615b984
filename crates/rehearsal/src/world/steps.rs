//! Applies the steps of the plan.
use super::World;
use super::listing::HealthCheck;
use super::process::break_config;
use crate::endpoint_lists::EndpointList;
use crate::node_process::NodeSignal;
use crate::plan::Step;
use std::rc::Rc;
use tokio::task::spawn_local;
use troutknot_emulator::executors::Host;
use troutknot_emulator::observations::{ListedState, NodeNumber, Observation};

impl World {
    pub(super) fn apply(self: &Rc<Self>, step: &Step) {
        match step {
            Step::FaultBegins { .. }
            | Step::FaultEnds { .. }
            | Step::Join { .. }
            | Step::Drain { .. }
            | Step::Leave { .. }
            | Step::KillExecutor { .. }
            | Step::RestartExecutor { .. } => self.apply_to_executor(step),
            Step::ListRemoved { executor } => self.list(*executor, ListedState::Gone),
            Step::ListRestarted { executor } => self.list(*executor, ListedState::Ready),
            Step::ListFailing { executor } => {
                self.list_with_health(*executor, ListedState::Terminating, HealthCheck::Failing);
            }
            Step::ListPassing { executor } => self.list(*executor, ListedState::Ready),
            Step::SilenceDiscovery { silent } => self.for_each_endpoint_list(|list| list.set_silent(*silent)),
            Step::RestartDiscovery => self.for_each_endpoint_list(EndpointList::restart),
            Step::DiscoveryFault { fault } => self.for_each_endpoint_list(|list| list.set_fault(*fault)),
            _ => self.apply_to_nodes(step),
        }
    }

    fn apply_to_executor(&self, step: &Step) {
        match step {
            Step::FaultBegins { number, executor, fault } => {
                self.observation_log.record(Observation::FaultBegan { number: *number });
                self.with_host(*executor, |host| host.begin_fault(*number as u64, fault.clone()));
            }
            Step::FaultEnds { number, executor } => {
                self.observation_log.record(Observation::FaultEnded { number: *number });
                self.with_host(*executor, |host| host.end_fault(*number as u64));
            }
            Step::Join { executor } => self.join(*executor),
            Step::Drain { executor } => {
                self.list(*executor, ListedState::Terminating);
                self.with_host(*executor, Host::drain);
            }
            Step::Leave { executor } => {
                self.list(*executor, ListedState::Gone);
                self.with_host(*executor, Host::kill);
            }
            Step::KillExecutor { executor } => self.with_host(*executor, Host::kill),
            Step::RestartExecutor { executor } => self.with_host(*executor, Host::restart),
            _ => {}
        }
    }

    fn apply_to_nodes(self: &Rc<Self>, step: &Step) {
        match step {
            Step::KillNode { node } => self.kill_node(*node),
            Step::TerminateNode { node } => {
                self.observation_log.record(Observation::NodeTerminating { node: *node as NodeNumber });
                self.nodes.borrow_mut()[*node].signal(NodeSignal::Terminate);
            }
            Step::StartNode { node } => match self.start_process(*node) {
                Ok(process) => self.nodes.borrow_mut()[*node].process = Some(process),
                Err(error) => eprintln!("node n{node} cannot be restarted: {error}"),
            },
            Step::ReloadNodes => self.reload_nodes(),
            Step::SuspendExecutor { executor, suspended } => {
                for node in 0..self.scenario.nodes.count {
                    spawn_local(self.clone().set_suspended(node, *executor, *suspended));
                }
            }
            Step::DrainNode { node, drained } => {
                spawn_local(self.clone().set_drained(*node, *drained));
            }
            Step::HotRestartNode { node } => {
                spawn_local(self.clone().hot_restart(*node));
            }
            Step::ReconfigureNodes { max_attempts, broken } => self.reconfigure_nodes(*max_attempts, *broken),
            _ => {}
        }
    }

    /// Calls `change` with an executor, if it has been started.
    fn with_host(&self, executor: usize, change: impl FnOnce(&Host)) {
        let host = self.hosts.borrow()[executor].clone();
        if let Some(host) = host {
            change(&host);
        }
    }

    fn for_each_endpoint_list(&self, change: impl Fn(&EndpointList)) {
        self.nodes.borrow().iter().for_each(|node| change(&node.endpoint_list));
    }

    /// Starts and lists an executor; does nothing if its address is taken.
    fn join(&self, executor: usize) {
        let Ok(host) = self.start_host(executor) else { return };
        self.hosts.borrow_mut()[executor] = Some(host);
        self.list(executor, ListedState::Ready);
    }

    /// Moves every node's discovery agent to another address and has the nodes reload their configuration.
    fn reload_nodes(&self) {
        for number in 0..self.scenario.nodes.count {
            let moved = self.nodes.borrow()[number].endpoint_list.move_to(self.addresses.agent(number));
            if moved.is_err() || self.write_config(number).is_err() {
                continue;
            }
            self.observation_log.record(Observation::NodeReloaded { node: number as NodeNumber });
            self.nodes.borrow_mut()[number].signal(NodeSignal::Reload);
        }
    }

    /// Gives every node another attempt limit, in settings that lack a key if `broken`.
    fn reconfigure_nodes(&self, max_attempts: u32, broken: bool) {
        if !broken {
            self.observation_log.record(Observation::MaxAttemptsChanged { max_attempts });
            self.max_attempts.set(max_attempts);
        }
        for number in 0..self.scenario.nodes.count {
            if self.write_config(number).is_err() {
                continue;
            }
            let mut nodes = self.nodes.borrow_mut();
            let node = &mut nodes[number];
            let written = if broken { break_config(&node.config, max_attempts) } else { Ok(()) };
            self.observation_log.record(Observation::NodeReloaded { node: number as NodeNumber });
            if written.is_ok() {
                node.signal(NodeSignal::Reload);
            }
        }
    }
}
