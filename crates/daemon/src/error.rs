//! Why a node cannot start, or stopped.
use crate::config::node::{NodeConfigError, NodeFileError};
use crate::config::operator::{OperatorFileError, SettingsConflict};
use crate::durable::DurableError;
use crate::gossip::GossipListenError;
use crate::hot_restart::inherited_socket::InheritedSocketError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable that names the node's configuration file.
pub(crate) const CONFIGURATION_VARIABLE: &str = "ROUTER_CONFIG";

/// Why a node cannot start, why a file cannot be used, or why a node stopped.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The environment names no configuration file.
    #[error("{CONFIGURATION_VARIABLE} is not set")]
    ConfigurationPathMissing,
    /// The listening socket that was passed on cannot be used.
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
    /// The asynchronous runtime cannot be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] io::Error),
    /// The node file cannot be read or parsed.
    #[error(transparent)]
    NodeFile(#[from] NodeFileError),
    /// A value of the node file is not allowed.
    #[error("`{}`: {source}", path.display())]
    NodeConfig {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: NodeConfigError,
    },
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The settings of the node file do not go with the operator's file.
    #[error(transparent)]
    SettingsConflict(#[from] SettingsConflict),
    /// The address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address of other nodes' messages cannot be listened at.
    #[error(transparent)]
    Gossip(#[from] GossipListenError),
    /// The address of the admin API cannot be determined.
    #[error("cannot determine the address of the admin API: {0}")]
    AdminAddress(#[source] io::Error),
    /// The ledger cannot be opened.
    #[error(transparent)]
    Durable(#[from] DurableError),
    /// The driver ended while the node was running, which is a fault of the program.
    #[error("the driver stopped unexpectedly")]
    DriverStopped(#[source] Option<tokio::task::JoinError>),
}
