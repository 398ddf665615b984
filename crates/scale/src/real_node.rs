//! A real node with its discovery agent, its clients and its files.
use crate::clients::{ClientConfig, Clients};
use crate::discovery::{Agent, Discovery};
use crate::file::ScaleFile;
use crate::node_config::NodeConfig;
use crate::node_process::{NodeProcess, NodeProgram, Usage};
use crate::registry_counts::RegistryCounts;
use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of concurrent client connections to one node.
const CLIENT_CONNECTIONS: usize = 128;
/// How long after SIGTERM the front continues to send new requests to a node.
const FRONT_REMOVAL_DELAY: Duration = Duration::from_millis(300);
/// Time beyond the longest deadline that a node has to exit after SIGTERM.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Longest request deadline that a restart waits for.
const MAX_DEADLINE: Duration = Duration::from_secs(3);

/// Parameters that all real nodes of a step share.
pub struct NodeContext<'a> {
    pub file: &'a ScaleFile,
    pub program: &'a NodeProgram,
    pub folder: &'a Path,
    pub discovery: &'a Rc<Discovery>,
    pub zones: usize,
    /// First sequence number of the requests of each node's clients.
    pub first_sequence: u64,
}

impl NodeContext<'_> {
    fn config<'a>(
        &'a self,
        node: usize,
        addresses: &Addresses,
        discovery_address: SocketAddr,
    ) -> NodeConfig<'a> {
        let (file, zones) = (self.file, self.zones);
        let Addresses { listen_address, admin_address } = *addresses;
        NodeConfig {
            file,
            node,
            listen_address,
            discovery_address,
            admin_address,
            zones,
            cached_list: None,
            has_added_class: false,
        }
    }

    /// Returns the settings of a node, for use by a node without a configuration file.
    pub fn settings(&self, node: usize) -> serde_json::Map<String, serde_json::Value> {
        let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.config(node, &Addresses { listen_address: unused, admin_address: unused }, unused).to_settings()
    }
}

/// Addresses of a node's listeners.
struct Addresses {
    listen_address: SocketAddr,
    /// Address of the admin server.
    admin_address: SocketAddr,
}

/// A node process with its agent and its clients.
pub struct RealNode {
    number: usize,
    addresses: Addresses,
    pub agent: Rc<Agent>,
    pub clients: Rc<Clients>,
    config_path: PathBuf,
    log_path: PathBuf,
    /// None while the process is being awaited, that is during a start or restart.
    process: RefCell<Option<NodeProcess>>,
}

impl RealNode {
    /// Starts a node without a cached list.
    ///
    /// # Errors
    /// If a file cannot be written or the process cannot be started.
    pub fn start(context: &NodeContext, number: usize) -> io::Result<Rc<Self>> {
        let agent = Agent::start(context.discovery, number)?;
        let addresses = Addresses { listen_address: free_address()?, admin_address: free_address()? };
        let config = context.folder.join(format!("node-{number}.json"));
        let log = context.folder.join(format!("node-{number}.log"));
        write_config(context, number, &addresses, &agent, None, false, &config)?;
        let process = NodeProcess::start(context.program, &config, &log, addresses.listen_address)?;
        let clients = Clients::new(number as u8, addresses.listen_address, client_config(context));
        Ok(Rc::new(RealNode {
            number,
            addresses,
            agent,
            clients,
            config_path: config,
            log_path: log,
            process: RefCell::new(Some(process)),
        }))
    }

    pub fn number(&self) -> usize {
        self.number
    }

    /// Waits for the first 200 on `/_health`; returns the time since the start, or `None` after the timeout.
    pub async fn wait_ready(&self, timeout: Duration) -> Option<Duration> {
        let mut process = self.process.take()?;
        let startup_duration = process.wait_ready(timeout).await;
        self.process.replace(Some(process));
        startup_duration
    }

    fn with_process<T>(&self, read: impl FnOnce(&NodeProcess) -> io::Result<T>) -> io::Result<T> {
        match &*self.process.borrow() {
            Some(process) => read(process),
            None => Err(io::Error::new(io::ErrorKind::NotConnected, "the node process is being started")),
        }
    }

    /// # Errors
    /// If the process has ended or is being restarted.
    pub fn usage(&self) -> io::Result<Usage> {
        self.with_process(NodeProcess::usage)
    }

    pub fn reset_peak(&self) {
        let _ = self.with_process(|process| {
            process.reset_peak();
            Ok(())
        });
    }

    /// # Errors
    /// If the process has ended or is being restarted.
    pub fn open_sockets(&self) -> io::Result<usize> {
        self.with_process(NodeProcess::open_sockets)
    }

    /// Returns the last 3 lines of the node's log, for an error message.
    pub fn last_log_lines(&self) -> String {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("; ")
    }

    /// Fetches the registry counts from the node's admin server.
    ///
    /// # Errors
    /// If the node does not respond with the counts.
    pub async fn fetch_registry_counts(&self) -> io::Result<RegistryCounts> {
        RegistryCounts::fetch(self.addresses.admin_address).await
    }

    /// Makes the node reread its configuration, with or without [`crate::node_config::ADDED_CLASS`].
    ///
    /// # Errors
    /// If the file cannot be written or the process cannot be signalled.
    pub fn reload(&self, context: &NodeContext, has_added_class: bool) -> io::Result<()> {
        write_config(
            context,
            self.number,
            &self.addresses,
            &self.agent,
            None,
            has_added_class,
            &self.config_path,
        )?;
        self.with_process(NodeProcess::reload)
    }

    /// Ends the node with SIGTERM and starts it again with the current list as its cached list. Returns the time from
    /// the new start until it is ready, or `None` after the timeout.
    ///
    /// # Errors
    /// If the process cannot be signalled or started.
    pub async fn restart(
        &self,
        context: &NodeContext<'_>,
        timeout: Duration,
    ) -> io::Result<Option<Duration>> {
        let cached_list = context.discovery.snapshot_json();
        let Some(mut process) = self.process.take() else { return Ok(None) };
        process.terminate()?;
        tokio::time::sleep(FRONT_REMOVAL_DELAY).await;
        self.clients.set_enabled(false);
        let deadline = context.file.requests.deadline.min(MAX_DEADLINE);
        process.wait_ended(deadline + EXIT_MARGIN - FRONT_REMOVAL_DELAY).await;
        write_config(
            context,
            self.number,
            &self.addresses,
            &self.agent,
            Some(&cached_list),
            false,
            &self.config_path,
        )?;
        drop(process);
        let process = NodeProcess::start(
            context.program,
            &self.config_path,
            &self.log_path,
            self.addresses.listen_address,
        )?;
        self.process.replace(Some(process));
        let startup_duration = self.wait_ready(timeout).await;
        self.clients.set_enabled(true);
        Ok(startup_duration)
    }

    /// Returns whether the process ended unasked.
    pub fn has_ended(&self) -> bool {
        self.process.borrow_mut().as_mut().is_some_and(NodeProcess::has_ended)
    }
}

fn client_config(context: &NodeContext) -> ClientConfig {
    let file = context.file;
    ClientConfig {
        seed: file.seed,
        tenants: file.requests.tenants,
        deadline: file.requests.deadline,
        slack: file.rules.slack,
        at_most_once_share: file.requests.at_most_once,
        max_connections: CLIENT_CONNECTIONS,
        first_sequence: context.first_sequence,
    }
}

/// Returns a local address that is currently unused.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn write_config(
    context: &NodeContext,
    node: usize,
    addresses: &Addresses,
    agent: &Agent,
    cached_list: Option<&str>,
    has_added_class: bool,
    path: &Path,
) -> io::Result<()> {
    let config =
        NodeConfig { cached_list, has_added_class, ..context.config(node, addresses, agent.address()) };
    // Renaming replaces the file atomically, so that a node never reads an incomplete one.
    let temporary = path.with_extension("new");
    fs::write(&temporary, config.to_json().to_string())?;
    fs::rename(&temporary, path)
}
