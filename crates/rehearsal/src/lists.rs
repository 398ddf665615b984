//! What tells the nodes of a rehearsal their list: the platform's discovery, or Consul's stand-in.
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

pub const SERVICE: &str = "box";

/// The list of one node.
pub enum NodeList {
    Platform(Rc<Agent>),
    Consul(Rc<ConsulList>),
}

/// One node's agent of Consul, and what it has told.
pub struct ConsulList {
    agent: Rc<fake_consul::Agent>,
    node: NodeNumber,
    record: Arc<ObservationLog>,
    /// What could not be told since it went wrong.
    missed: RefCell<Vec<(ExecutorNumber, ListedState)>>,
    wrong: RefCell<Option<DiscoveryFault>>,
}

fn number_of(id: &str) -> Option<ExecutorNumber> {
    id.strip_prefix("s-")?.parse().ok()
}

fn listed(status: Status) -> ListedState {
    if matches!(status, Status::Passing | Status::Warning) {
        ListedState::Ready
    } else {
        ListedState::Terminating
    }
}

impl ConsulList {
    /// # Errors
    /// Where the address cannot be listened at.
    pub fn start(
        cluster: &Rc<Cluster>,
        node: NodeNumber,
        at: SocketAddr,
        record: &Arc<ObservationLog>,
    ) -> io::Result<Rc<Self>> {
        let agent = fake_consul::Agent::start(cluster, at, None)?;
        let told: RefCell<HashMap<ExecutorNumber, ListedState>> = RefCell::default();
        let own = record.clone();
        agent.set_response_callback(Box::new(move |instances| {
            let now: HashMap<ExecutorNumber, ListedState> =
                instances.iter().filter_map(|(id, status)| Some((number_of(id)?, listed(*status)))).collect();
            let mut told = told.borrow_mut();
            let note =
                |executor, listed| own.record(Observation::NodeNotified { node, executor, state: listed });
            for (&executor, &state) in &now {
                if told.get(&executor) != Some(&state) {
                    note(executor, state);
                }
            }
            told.keys()
                .filter(|executor| !now.contains_key(executor))
                .for_each(|&e| note(e, ListedState::Gone));
            *told = now;
        }));
        let (missed, wrong) = Default::default();
        Ok(Rc::new(ConsulList { agent, node, record: record.clone(), missed, wrong }))
    }

    fn knows(&self, executor: ExecutorNumber, listed: ListedState) {
        if self.wrong.borrow().is_some() {
            self.missed.borrow_mut().push((executor, listed));
        } else {
            self.record.record(Observation::AgentUpdated { node: self.node, executor, state: listed });
        }
    }

    fn script(&self, how: Option<DiscoveryFault>) {
        *self.wrong.borrow_mut() = how;
        self.agent.set_fault(match how {
            None => Fault::None,
            Some(DiscoveryFault::Silent) => Fault::Silent,
            Some(DiscoveryFault::Errors) => Fault::Status500,
            Some(DiscoveryFault::NoLeader) => Fault::NoLeader,
            Some(DiscoveryFault::Empty) => Fault::Empty,
            Some(DiscoveryFault::HalfBody) => Fault::TruncatedBody,
            Some(DiscoveryFault::StaleView) => Fault::StaleView,
            Some(DiscoveryFault::Late) => Fault::Delayed(Duration::from_millis(500)),
        });
        if how.is_none() {
            for (executor, listed) in self.missed.take() {
                self.knows(executor, listed);
            }
        }
    }
}

impl NodeList {
    /// Where the node's configuration says that the list is; with Consul nothing is there.
    pub fn addr(&self) -> SocketAddr {
        match self {
            NodeList::Platform(agent) => agent.addr(),
            NodeList::Consul(_) => ([127, 0, 0, 1], 9).into(),
        }
    }

    /// The list as the node last had it, as far as its agent knows.
    pub fn known(&self, listed: &[Option<Member>]) -> Value {
        match self {
            NodeList::Platform(agent) => agent.snapshot(),
            NodeList::Consul(_) => {
                let members = listed.iter().flatten().filter(|m| m.state != ListedState::Gone);
                let of = |m: &Member| {
                    let state = if m.state == ListedState::Ready { "Ready" } else { "Terminating" };
                    serde_json::json!({"id": m.id, "addr": m.addr.to_string(), "zone": m.zone, "kind": m.machine_type,
                        "cell": m.deduplication_group, "state": state, "weight": m.weight, "started_ms": m.started_at})
                };
                serde_json::json!({"version": 1, "full": true, "servers": members.map(of).collect::<Vec<_>>()})
            }
        }
    }

    /// The operator's own file, where the node needs one.
    pub fn own_file(&self, scenario: &Scenario, ledger: &Path) -> Option<String> {
        let mut text = String::new();
        if let Some(d) = &scenario.durable {
            let sync = if d.sync == LedgerSync::PerRecord { "each" } else { "together" };
            let _ = writeln!(text, "[durable]\npath = {:?}\nsync = \"{sync}\"", ledger.display().to_string());
            let _ = writeln!(
                text,
                "fences = {}\nkept = \"{}\"",
                d.has_fencing,
                humantime::format_duration(d.retention)
            );
            let lease =
                d.lease_duration.iter().map(|l| format!("lease = \"{}\"\n", humantime::format_duration(*l)));
            lease.for_each(|line| text += &line);
        }
        let NodeList::Consul(list) = self else { return Some(text).filter(|text| !text.is_empty()) };
        text += "[lists]\nsources = [\"consul\"]\n[lists.consul]\n";
        let _ =
            writeln!(text, "agents = [\"{}\"]\nwait = \"5s\"\nlongest_retry = \"500ms\"", list.agent.addr);
        let _ = writeln!(text, "[lists.consul.damping]\non = {}", scenario.discovery.damping);
        let _ = writeln!(text, "[[lists.consul.services]]\nname = \"{SERVICE}\"");
        Some(text)
    }

    pub fn silent(&self, on: bool) {
        match self {
            NodeList::Platform(agent) => agent.set_silent(on),
            NodeList::Consul(list) => list.script(on.then_some(DiscoveryFault::Silent)),
        }
    }

    pub fn trouble(&self, how: Option<DiscoveryFault>) {
        if let NodeList::Consul(list) = self {
            list.script(how);
        }
    }

    pub fn restart(&self) {
        match self {
            NodeList::Platform(agent) => agent.reset_watches(),
            NodeList::Consul(list) => list.agent.reset_connections(),
        }
    }

    /// # Errors
    /// Where it cannot move there.
    pub fn move_to(&self, at: SocketAddr) -> std::io::Result<()> {
        match self {
            NodeList::Platform(agent) => agent.move_to(at).map(|_| ()),
            NodeList::Consul(_) => Ok(()),
        }
    }

    /// A change of the list, heard by the platform's agent after a while. Consul's cluster has it already.
    pub fn change(&self, member: &Member, after: Duration) {
        match self {
            NodeList::Platform(agent) => agent.schedule_change(member.clone(), after),
            NodeList::Consul(list) => list.knows(member.executor, member.state),
        }
    }
}

/// The cluster that all nodes' agents serve, where the scenario has one.
pub fn cluster(scenario: &Scenario, members: &[Member]) -> Option<Rc<Cluster>> {
    let consul = scenario.discovery.source == DiscoverySource::Consul;
    let cluster = consul.then(|| Cluster::new("here"))?;
    cluster.register_all(SERVICE, members.iter().map(|m| instance(m, false)).collect());
    Some(cluster)
}

/// Lists a member in Consul as it stands; `failing` says whether its checks do, or an operator.
pub fn register(cluster: &Cluster, member: &Member, failing: bool) {
    match member.state {
        ListedState::Gone => cluster.deregister(SERVICE, &member.id),
        _ => cluster.register(SERVICE, instance(member, failing)),
    }
}

fn instance(member: &Member, failing: bool) -> Instance {
    let mut instance = Instance::new(&member.id, member.addr);
    instance.status = match (member.state, failing) {
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
