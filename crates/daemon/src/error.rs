//! Errors of starting and running a node.
use crate::config::node::{NodeConfigError, NodeFileError};
use crate::config::operator::{OperatorFileError, SettingsConflict};
use crate::durable::DurableError;
use crate::gossip::GossipListenError;
use crate::hot_restart::inherited_socket::InheritedSocketError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Environment variable with the path of the node file.
pub(crate) const CONFIGURATION_VARIABLE: &str = "ROUTER_CONFIG";

/// Why a node cannot start, a configuration file cannot be used, or a running node stopped.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The environment variable with the path of the node file is not set.
    #[error("{CONFIGURATION_VARIABLE} is not set")]
    ConfigurationPathMissing,
    /// The inherited listening socket cannot be used.
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
    /// The asynchronous runtime cannot be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handlers of signals cannot be registered.
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
        /// The cause.
        source: NodeConfigError,
    },
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The settings of the node file conflict with the operator's file.
    #[error(transparent)]
    SettingsConflict(#[from] SettingsConflict),
    /// The node cannot listen on an address.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The gossip socket cannot be opened.
    #[error(transparent)]
    Gossip(#[from] GossipListenError),
    /// The address of the admin API cannot be determined.
    #[error("cannot determine the address of the admin API: {0}")]
    AdminAddress(#[source] io::Error),
    /// The ledger cannot be opened.
    #[error(transparent)]
    Durable(#[from] DurableError),
    /// The driver stopped while the node was running, which is an internal error.
    #[error("the driver stopped unexpectedly")]
    DriverStopped(#[source] Option<tokio::task::JoinError>),
}
