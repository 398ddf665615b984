//! A real node with all that stands round it: its agent of discovery, its clients, its files.
use crate::clients::{ClientTerms, Clients};
use crate::discovery::{Agent, Discovery};
use crate::file::ScaleFile;
use crate::node_config::NodeConfig;
use crate::node_process::{NodeProcess, NodeProgram, Usage};
use crate::registry_figures::RegistryFigures;
use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Client connections to one node at once.
const CLIENT_CONNECTIONS: usize = 128;
/// So long after SIGTERM the front still lets new requests through.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// A node is given so long to end after SIGTERM, beside the longest deadline.
const END_BESIDE_DEADLINE: Duration = Duration::from_millis(700);
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);

/// What all real nodes of a step have in common.
pub struct Surroundings<'a> {
    pub file: &'a ScaleFile,
    pub program: &'a NodeProgram,
    pub folder: &'a Path,
    pub discovery: &'a Rc<Discovery>,
    pub zones: usize,
    /// Of the requests of each node's clients.
    pub first_sequence: u64,
}

impl Surroundings<'_> {
    fn config<'a>(&'a self, node: usize, addresses: &Addresses, discovery: SocketAddr) -> NodeConfig<'a> {
        let (file, zones) = (self.file, self.zones);
        let Addresses { listen, management } = *addresses;
        NodeConfig { file, node, listen, discovery, management, zones, known: None, added_class: false }
    }

    /// The settings that a node is told, for one that has no file of its own.
    pub fn settings_of(&self, node: usize) -> serde_json::Map<String, serde_json::Value> {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        self.config(node, &Addresses { listen: nowhere, management: nowhere }, nowhere).settings()
    }
}

/// Where a node listens.
struct Addresses {
    listen: SocketAddr,
    /// For operators.
    management: SocketAddr,
}

/// One node and who it talks to.
pub struct RealNode {
    number: usize,
    addresses: Addresses,
    pub agent: Rc<Agent>,
    pub clients: Rc<Clients>,
    config: PathBuf,
    log: PathBuf,
    /// None while somebody waits for it: it starts, or is being restarted.
    process: RefCell<Option<NodeProcess>>,
}

impl RealNode {
    /// Starts a node that knows no list yet.
    ///
    /// # Errors
    /// Where files cannot be written, or the process not be started.
    pub fn start(surroundings: &Surroundings, number: usize) -> io::Result<Rc<Self>> {
        let agent = Agent::start(surroundings.discovery, number)?;
        let addresses = Addresses { listen: free_address()?, management: free_address()? };
        let config = surroundings.folder.join(format!("node-{number}.json"));
        let log = surroundings.folder.join(format!("node-{number}.log"));
        write_config(surroundings, number, &addresses, &agent, None, false, &config)?;
        let process = NodeProcess::start(surroundings.program, &config, &log, addresses.listen)?;
        let clients = Clients::new(number as u8, addresses.listen, client_terms(surroundings));
        Ok(Rc::new(RealNode {
            number,
            addresses,
            agent,
            clients,
            config,
            log,
            process: RefCell::new(Some(process)),
        }))
    }

    pub fn number(&self) -> usize {
        self.number
    }

    /// The time from its start to its first 200 on `/_health`; none where that takes longer.
    pub async fn ready(&self, at_most: Duration) -> Option<Duration> {
        let mut process = self.process.take()?;
        let ready = process.ready(at_most).await;
        self.process.replace(Some(process));
        ready
    }

    fn ask<T>(&self, what: impl FnOnce(&NodeProcess) -> io::Result<T>) -> io::Result<T> {
        match &*self.process.borrow() {
            Some(process) => what(process),
            None => Err(io::Error::new(io::ErrorKind::NotConnected, "the node is being started")),
        }
    }

    /// # Errors
    /// Where the process has ended, or is being restarted.
    pub fn usage(&self) -> io::Result<Usage> {
        self.ask(NodeProcess::usage)
    }

    pub fn reset_peak(&self) {
        let _ = self.ask(|process| {
            process.reset_peak();
            Ok(())
        });
    }

    /// # Errors
    /// Where the process has ended, or is being restarted.
    pub fn open_sockets(&self) -> io::Result<usize> {
        self.ask(NodeProcess::open_sockets)
    }

    /// The last lines that it said, for an error message.
    pub fn last_words(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("; ")
    }

    /// What it tells operators of its executors now.
    ///
    /// # Errors
    /// Where it does not answer.
    pub async fn registry_figures(&self) -> io::Result<RegistryFigures> {
        RegistryFigures::ask(self.addresses.management).await
    }

    /// Has it read its configuration again, with or without [`crate::node_config::ADDED_CLASS`].
    ///
    /// # Errors
    /// Where the file cannot be written, or the process not be signalled.
    pub fn reload(&self, surroundings: &Surroundings, added_class: bool) -> io::Result<()> {
        write_config(
            surroundings,
            self.number,
            &self.addresses,
            &self.agent,
            None,
            added_class,
            &self.config,
        )?;
        self.ask(NodeProcess::reload)
    }

    /// SIGTERM, its end, and a new start from the list as it is told now; the time from the new start to ready,
    /// none where that takes longer than `at_most`.
    ///
    /// # Errors
    /// Where it cannot be signalled or started.
    pub async fn restart(
        &self,
        surroundings: &Surroundings<'_>,
        at_most: Duration,
    ) -> io::Result<Option<Duration>> {
        let known = surroundings.discovery.whole_list();
        let Some(mut process) = self.process.take() else { return Ok(None) };
        process.terminate()?;
        tokio::time::sleep(FRONT_NOTICES).await;
        self.clients.set_open(false);
        let deadline = surroundings.file.requests.deadline.min(LONGEST_DEADLINE);
        process.ended(deadline + END_BESIDE_DEADLINE - FRONT_NOTICES).await;
        write_config(
            surroundings,
            self.number,
            &self.addresses,
            &self.agent,
            Some(&known),
            false,
            &self.config,
        )?;
        drop(process);
        let process =
            NodeProcess::start(surroundings.program, &self.config, &self.log, self.addresses.listen)?;
        self.process.replace(Some(process));
        let ready = self.ready(at_most).await;
        self.clients.set_open(true);
        Ok(ready)
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.process.borrow_mut().as_mut().is_some_and(NodeProcess::has_ended)
    }
}

fn client_terms(surroundings: &Surroundings) -> ClientTerms {
    let file = surroundings.file;
    ClientTerms {
        seed: file.seed,
        tenants: file.requests.tenants,
        deadline: file.requests.deadline,
        slack: file.rules.slack,
        at_most_once: file.requests.at_most_once,
        connections: CLIENT_CONNECTIONS,
        first_sequence: surroundings.first_sequence,
    }
}

/// An address that nobody listens at now.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn write_config(
    surroundings: &Surroundings,
    node: usize,
    addresses: &Addresses,
    agent: &Agent,
    known: Option<&str>,
    added_class: bool,
    path: &Path,
) -> io::Result<()> {
    let config = NodeConfig { known, added_class, ..surroundings.config(node, addresses, agent.address()) };
    // Renamed into place: a node never reads half a file.
    let written = path.with_extension("new");
    fs::write(&written, config.to_json().to_string())?;
    fs::rename(&written, path)
}
