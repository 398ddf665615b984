//! The state of one node: its files, its sockets and its processes.
use super::World;
use super::error::WorldError;
use crate::endpoint_lists::{ConsulList, EndpointList};
use crate::node_process::{NodeProcess, NodeSignal, ResourceUsage};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use troutknot_emulator::discovery::{Agent, Member};
use troutknot_emulator::observations::NodeNumber;

/// One node, across all of its processes.
pub(super) struct Node {
    /// Where clients connect to it.
    pub address: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
    /// The operator's file, written if the scenario needs one.
    pub operator_config: PathBuf,
    pub endpoint_list: EndpointList,
    pub process: Option<Box<dyn NodeProcess>>,
    /// The old process during a hot restart.
    pub previous_process: Option<Box<dyn NodeProcess>>,
    /// The listening socket that is handed from process to process, and the folder that these share.
    pub inherited_socket: Option<(TcpListener, PathBuf)>,
    /// Where the current process serves its admin interface.
    pub admin_address: Option<SocketAddr>,
    /// Resources that ended processes have used.
    pub ended_usage: ResourceUsage,
    /// How many processes have been started; each gets a seed of its own.
    pub starts: u64,
}

impl Node {
    /// Adds the resources that an ended process has used.
    pub fn add_usage(&mut self, usage: ResourceUsage) {
        self.ended_usage.cpu_ms += usage.cpu_ms;
        self.ended_usage.peak_memory_kb = self.ended_usage.peak_memory_kb.max(usage.peak_memory_kb);
    }

    /// Kills all processes of the node and returns the resources that they have used.
    pub fn stop(&mut self) -> ResourceUsage {
        for mut process in self.process.take().into_iter().chain(self.previous_process.take()) {
            let usage = process.resource_usage();
            let _ = process.signal(NodeSignal::Kill);
            self.add_usage(usage);
        }
        if let Some((_, folder)) = &self.inherited_socket {
            let _ = std::fs::remove_dir_all(folder);
        }
        self.ended_usage
    }

    /// Sends a signal to the current process, if there is one.
    pub fn signal(&mut self, signal: NodeSignal) {
        if let Some(process) = &mut self.process {
            let _ = process.signal(signal);
        }
    }
}

impl World {
    /// Creates a node with its endpoint list and a free port, without a process.
    pub(super) fn create_node(
        &self,
        number: usize,
        members: &[Member],
        folder: &Path,
    ) -> Result<Node, WorldError> {
        let endpoint_list = self.start_endpoint_list(number, members)?;
        let address = self.addresses.node(number);
        let port_error = |source| WorldError::NodePort { address, source };
        let listener = TcpListener::bind(address).map_err(port_error)?;
        let address = listener.local_addr().map_err(port_error)?;
        let inherited_socket = match self.scenario.has_hot_restarts() {
            true => Some((listener, create_process_folder(address, number)?)),
            false => None,
        };
        let file = |extension: &str| folder.join(format!("n{number}.{extension}"));
        Ok(Node {
            address,
            config: file("json"),
            log: file("log"),
            operator_config: file("toml"),
            endpoint_list,
            process: None,
            previous_process: None,
            inherited_socket,
            admin_address: None,
            ended_usage: ResourceUsage::default(),
            starts: 0,
        })
    }

    fn start_endpoint_list(&self, number: usize, members: &[Member]) -> Result<EndpointList, WorldError> {
        let address = self.addresses.agent(number);
        let node = number as NodeNumber;
        if let Some(cluster) = &*self.cluster.borrow() {
            let list = ConsulList::start(cluster, node, address, &self.observation_log);
            let list = list.map_err(|source| WorldError::ConsulAddress { address, source })?;
            return Ok(EndpointList::Consul(list));
        }
        let agent = Agent::start(&self.observation_log, node, address, members.to_vec());
        let agent = agent.map_err(|source| WorldError::DiscoveryAddress { address, source })?;
        Ok(EndpointList::Platform(agent))
    }
}

/// Creates the folder where a node's processes find each other. It is not under the rehearsal's folder because the
/// path of a Unix socket must be short.
fn create_process_folder(address: SocketAddr, number: usize) -> Result<PathBuf, WorldError> {
    let folder = std::env::temp_dir().join(format!("troutknot-{}-{number}", address.port()));
    std::fs::create_dir_all(&folder).map_err(WorldError::ProcessFolder)?;
    Ok(folder)
}
