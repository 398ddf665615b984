//! Errors of a rehearsal's world.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the world of a rehearsal could not be set up or changed.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// An executor cannot listen on its address.
    #[error("cannot listen for an executor on {address}")]
    ExecutorAddress { address: SocketAddr, source: io::Error },
    /// The platform's discovery agent cannot listen on its address.
    #[error("cannot listen for discovery on {address}")]
    DiscoveryAddress { address: SocketAddr, source: io::Error },
    /// A Consul agent cannot listen on its address.
    #[error("cannot listen for Consul on {address}")]
    ConsulAddress { address: SocketAddr, source: io::Error },
    /// No port is free for a node.
    #[error("no free port for a node on {address}")]
    NodePort { address: SocketAddr, source: io::Error },
    /// The folder that the processes of one node share cannot be created.
    #[error("cannot create the shared folder of a node's processes")]
    ProcessFolder(#[source] io::Error),
    /// A configuration or log file cannot be written.
    #[error("cannot write {}", path.display())]
    Write { path: PathBuf, source: io::Error },
    /// A node's process cannot be started.
    #[error("cannot start a node")]
    StartNode(#[source] io::Error),
    /// A node ended or did not become ready in time; `last_line` is the last line of its log.
    #[error("node n{node} is not ready: {last_line}")]
    NodeNotReady { node: usize, last_line: String },
    /// A listener of a node cannot be duplicated or bound.
    #[error(transparent)]
    Socket(#[from] io::Error),
}
