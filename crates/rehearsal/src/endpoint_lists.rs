//! The sources of the nodes' endpoint lists in a rehearsal: the platform's discovery, or a fake Consul cluster.
use crate::scenario::{DiscoveryFault, DiscoverySource, LedgerSync, Scenario};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use troutknot_emulator::discovery::{Agent, Member};
use troutknot_emulator::observations::{
    ExecutorNumber, ListedState, NodeNumber, Observation, ObservationLog,
};
use troutknot_fake_consul::{self as fake_consul, Cluster, Fault, Instance, Status};

/// The name of the service that executors register with Consul.
pub const SERVICE: &str = "box";

/// The address in the configuration of nodes that get their list from Consul; no discovery agent listens there.
const NO_AGENT: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// The delay of responses during [`DiscoveryFault::Late`].
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(500);

/// The source of one node's endpoint list.
pub enum EndpointList {
    /// An agent of the platform's discovery.
    Platform(Rc<Agent>),
    /// An agent of Consul.
    Consul(Rc<ConsulList>),
}

/// The Consul agent of one node, which records the changes that it sends.
pub struct ConsulList {
    agent: Rc<fake_consul::Agent>,
    node: NodeNumber,
    observation_log: Arc<ObservationLog>,
    /// Changes that the agent could not send since its fault began.
    pending: RefCell<Vec<(ExecutorNumber, ListedState)>>,
    fault: RefCell<Option<DiscoveryFault>>,
}

fn executor_number(id: &str) -> Option<ExecutorNumber> {
    id.strip_prefix("s-")?.parse().ok()
}

fn listed_state(status: Status) -> ListedState {
    if matches!(status, Status::Passing | Status::Warning) {
        ListedState::Ready
    } else {
        ListedState::Terminating
    }
}

impl ConsulList {
    /// Starts the agent of a node.
    ///
    /// # Errors
    /// The agent cannot listen on its address.
    pub fn start(
        cluster: &Rc<Cluster>,
        node: NodeNumber,
        address: SocketAddr,
        observation_log: &Arc<ObservationLog>,
    ) -> io::Result<Rc<Self>> {
        let agent = fake_consul::Agent::start(cluster, address, None)?;
        let last_sent: RefCell<HashMap<ExecutorNumber, ListedState>> = RefCell::default();
        let callback_log = observation_log.clone();
        agent.set_response_callback(Box::new(move |instances| {
            let current: HashMap<ExecutorNumber, ListedState> = instances
                .iter()
                .filter_map(|(id, status)| Some((executor_number(id)?, listed_state(*status))))
                .collect();
            let mut last_sent = last_sent.borrow_mut();
            let record_notified = |executor, state| {
                callback_log.record(Observation::NodeNotified { node, executor, state });
            };
            for (&executor, &state) in &current {
                if last_sent.get(&executor) != Some(&state) {
                    record_notified(executor, state);
                }
            }
            last_sent
                .keys()
                .filter(|executor| !current.contains_key(executor))
                .for_each(|&executor| record_notified(executor, ListedState::Gone));
            *last_sent = current;
        }));
        let (pending, fault) = Default::default();
        Ok(Rc::new(ConsulList { agent, node, observation_log: observation_log.clone(), pending, fault }))
    }

    /// Records a change that the agent knows of, or holds it back while the agent has a fault.
    fn record_update(&self, executor: ExecutorNumber, state: ListedState) {
        if self.fault.borrow().is_some() {
            self.pending.borrow_mut().push((executor, state));
        } else {
            self.observation_log.record(Observation::AgentUpdated { node: self.node, executor, state });
        }
    }

    fn set_fault(&self, fault: Option<DiscoveryFault>) {
        *self.fault.borrow_mut() = fault;
        self.agent.set_fault(match fault {
            None => Fault::None,
            Some(DiscoveryFault::Silent) => Fault::Silent,
            Some(DiscoveryFault::Errors) => Fault::Status500,
            Some(DiscoveryFault::NoLeader) => Fault::NoLeader,
            Some(DiscoveryFault::Empty) => Fault::Empty,
            Some(DiscoveryFault::HalfBody) => Fault::TruncatedBody,
            Some(DiscoveryFault::StaleView) => Fault::StaleView,
            Some(DiscoveryFault::Late) => Fault::Delayed(LATE_RESPONSE_DELAY),
        });
        if fault.is_none() {
            for (executor, state) in self.pending.take() {
                self.record_update(executor, state);
            }
        }
    }
}

impl EndpointList {
    /// The discovery address in the node's configuration. With Consul nothing listens there.
    pub fn discovery_address(&self) -> SocketAddr {
        match self {
            EndpointList::Platform(agent) => agent.addr(),
            EndpointList::Consul(_) => NO_AGENT.into(),
        }
    }

    /// The endpoint list that the node is configured to start with, as its agent currently lists it.
    pub fn cached_list(&self, listed: &[Option<Member>]) -> Value {
        match self {
            EndpointList::Platform(agent) => agent.snapshot(),
            EndpointList::Consul(_) => {
                let members = listed.iter().flatten().filter(|member| member.state != ListedState::Gone);
                let entry = |member: &Member| {
                    let state = if member.state == ListedState::Ready { "Ready" } else { "Terminating" };
                    serde_json::json!({"id": member.id, "addr": member.addr.to_string(), "zone": member.zone,
                        "kind": member.machine_type, "cell": member.deduplication_group, "state": state,
                        "weight": member.weight, "started_ms": member.started_at})
                };
                let entries = members.map(entry).collect::<Vec<_>>();
                serde_json::json!({"version": 1, "full": true, "servers": entries})
            }
        }
    }

    /// The text of the operator's configuration file; `None` if the node needs none.
    pub fn operator_config(&self, scenario: &Scenario, ledger: &Path) -> Option<String> {
        let mut text = String::new();
        if let Some(durable) = &scenario.durable {
            let sync = if durable.sync == LedgerSync::PerRecord { "each" } else { "together" };
            let _ = writeln!(text, "[durable]\npath = {:?}\nsync = \"{sync}\"", ledger.display().to_string());
            let retention = humantime::format_duration(durable.retention);
            let _ = writeln!(text, "fences = {}\nkept = \"{retention}\"", durable.has_fencing);
            if let Some(lease_duration) = durable.lease_duration {
                let _ = writeln!(text, "lease = \"{}\"", humantime::format_duration(lease_duration));
            }
        }
        let EndpointList::Consul(list) = self else { return Some(text).filter(|text| !text.is_empty()) };
        text += "[lists]\nsources = [\"consul\"]\n[lists.consul]\n";
        let _ =
            writeln!(text, "agents = [\"{}\"]\nwait = \"5s\"\nlongest_retry = \"500ms\"", list.agent.addr);
        let _ = writeln!(text, "[lists.consul.damping]\non = {}", scenario.discovery.damping);
        let _ = writeln!(text, "[[lists.consul.services]]\nname = \"{SERVICE}\"");
        Some(text)
    }

    /// Stops the agent from sending anything, or lets it send again.
    pub fn set_silent(&self, silent: bool) {
        match self {
            EndpointList::Platform(agent) => agent.set_silent(silent),
            EndpointList::Consul(list) => list.set_fault(silent.then_some(DiscoveryFault::Silent)),
        }
    }

    /// Starts a fault of a Consul agent, or ends it if `None`; the platform's agent has none.
    pub fn set_fault(&self, fault: Option<DiscoveryFault>) {
        if let EndpointList::Consul(list) = self {
            list.set_fault(fault);
        }
    }

    /// Closes the agent's connections, as its restart would.
    pub fn restart(&self) {
        match self {
            EndpointList::Platform(agent) => agent.reset_watches(),
            EndpointList::Consul(list) => list.agent.reset_connections(),
        }
    }

    /// Moves the platform's agent to another address; a Consul agent stays.
    ///
    /// # Errors
    /// The agent cannot listen on the address.
    pub fn move_to(&self, address: SocketAddr) -> io::Result<()> {
        match self {
            EndpointList::Platform(agent) => agent.move_to(address).map(|_| ()),
            EndpointList::Consul(_) => Ok(()),
        }
    }

    /// Applies a change of the list. The platform's agent receives it after `delay`; Consul's cluster has it already.
    pub fn update(&self, member: &Member, delay: Duration) {
        match self {
            EndpointList::Platform(agent) => agent.schedule_change(member.clone(), delay),
            EndpointList::Consul(list) => list.record_update(member.executor, member.state),
        }
    }
}

/// Creates the Consul cluster of a scenario, with the initial executors registered; `None` without Consul.
pub fn create_cluster(scenario: &Scenario, members: &[Member]) -> Option<Rc<Cluster>> {
    let uses_consul = scenario.discovery.source == DiscoverySource::Consul;
    let cluster = uses_consul.then(|| Cluster::new("here"))?;
    cluster.register_all(SERVICE, members.iter().map(|member| instance(member, false)).collect());
    Some(cluster)
}

/// Updates the registration of a member in Consul, or removes it if the member is gone. A draining member is listed as
/// critical if `is_failing`, otherwise as in maintenance.
pub fn register(cluster: &Cluster, member: &Member, is_failing: bool) {
    match member.state {
        ListedState::Gone => cluster.deregister(SERVICE, &member.id),
        _ => cluster.register(SERVICE, instance(member, is_failing)),
    }
}

fn instance(member: &Member, is_failing: bool) -> Instance {
    let mut instance = Instance::new(&member.id, member.addr);
    instance.status = match (member.state, is_failing) {
        (ListedState::Ready, _) => Status::Passing,
        (_, true) => Status::Critical,
        (_, false) => Status::Maintenance,
    };
    let meta = [
        ("executor", member.id.clone()),
        ("kind", member.machine_type.clone()),
        ("cell", member.deduplication_group.to_string()),
        ("started", format!("{:.0}", member.started_at)),
    ];
    instance.meta = meta.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    instance
}
