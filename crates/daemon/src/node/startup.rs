//! The first phases of startup: resolving the configuration and opening the sockets.
use crate::config::limits::{LimitInputs, Limits};
use crate::config::node::{NodeConfig, ResolvedNodeConfig, limit_inputs};
use crate::config::operator::{DiscoverySource, GossipConfig, OperatorFile};
use crate::downstream::ListenerOrigin;
use crate::error::NodeError;
use crate::gossip::{AddressUse, GossipSocket};
use crate::protocol::{Codec, Current};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use troutknot::Settings;
use troutknot_configuration::IdCatalog;

/// The signals that a node handles.
pub struct Signals {
    /// SIGTERM: shut down gracefully.
    pub terminate: Signal,
    /// SIGINT: shut down gracefully.
    pub interrupt: Signal,
    /// SIGHUP: reload the configuration.
    pub reload: Signal,
}

impl Signals {
    /// Registers handlers of the signals. Must be called within the runtime.
    ///
    /// # Errors
    /// [`NodeError::Signals`] if a handler cannot be registered.
    pub fn listen() -> Result<Self, NodeError> {
        let register = |signal_kind| signal(signal_kind).map_err(NodeError::Signals);
        Ok(Signals {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
            reload: register(SignalKind::hangup())?,
        })
    }
}

/// The resolved configuration of a node.
pub struct Configuration {
    /// The node's configuration file.
    pub node: NodeConfig,
    /// Its path.
    pub path: PathBuf,
    /// The operator's file, or the defaults if there is none.
    pub operator: OperatorFile,
    /// The path of the operator's file, if the environment sets one.
    pub operator_path: Option<PathBuf>,
    /// The ids of names in the settings, which stay the same when the settings are reloaded.
    pub catalog: IdCatalog,
    /// The seed of the dispatcher's random number generator.
    pub seed: u64,
    /// The dispatcher's settings.
    pub settings: Settings,
    /// Encodes and decodes messages according to the current settings.
    pub codec: Rc<Current<Codec>>,
}

impl Configuration {
    /// Resolves the node file and reads the operator's file.
    ///
    /// # Errors
    /// If a file is not valid, or the two files conflict.
    pub fn resolve(node: NodeConfig, path: PathBuf) -> Result<Self, NodeError> {
        let mut catalog = IdCatalog::default();
        let resolved = node.resolve(&mut catalog);
        let resolved = resolved.map_err(|source| NodeError::NodeConfig { path: path.clone(), source })?;
        let ResolvedNodeConfig { seed, settings, codec } = resolved;
        let operator_path = OperatorFile::path_from_environment();
        let operator = operator_path.as_deref().map(OperatorFile::read).transpose();
        let operator = operator?.unwrap_or_default();
        operator.check_settings(&settings)?;
        let codec = Current::new(codec);
        Ok(Configuration { node, path, operator, operator_path, catalog, seed, settings, codec })
    }

    /// Derives the limits from the configuration.
    pub fn limits(&self, listener_origin: ListenerOrigin) -> Limits {
        Limits::new(&LimitInputs {
            memory_mb: self.node.resources.memory_mb,
            max_sockets: self.node.resources.max_sockets,
            has_consul: self.operator.discovery.sources.contains(&DiscoverySource::Consul),
            has_ledger: self.operator.durable.is_some(),
            has_inherited_socket: listener_origin == ListenerOrigin::Inherited,
            ..limit_inputs(&self.settings, &self.codec.load())
        })
    }
}

/// Opens the gossip socket, if the operator's file configures gossip.
///
/// # Errors
/// [`NodeError::Gossip`] if the address cannot be bound.
pub fn open_gossip_socket(
    operator: &OperatorFile,
    listener_origin: ListenerOrigin,
) -> Result<Option<Rc<GossipSocket>>, NodeError> {
    let address_use = match listener_origin {
        ListenerOrigin::Inherited => AddressUse::Shared,
        ListenerOrigin::Bound => AddressUse::Exclusive,
    };
    let open = |config: GossipConfig| {
        let socket = GossipSocket::listen(config.listen_address, config.peers, address_use);
        socket.map_err(NodeError::Gossip)
    };
    operator.gossip.clone().map(open).transpose()
}

/// The listening sockets of a node.
pub struct Listeners {
    /// Accepts connections from clients.
    pub clients: TcpListener,
    /// The address of `clients`.
    pub address: SocketAddr,
    /// The origin of `clients`.
    pub origin: ListenerOrigin,
    /// Accepts connections to the admin API, if the configuration has an address for it.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Opens the listening sockets. If `inherited` is a socket, it is used for clients.
    ///
    /// # Errors
    /// [`NodeError::Listen`] if the node cannot listen on an address.
    pub fn open(
        config: &NodeConfig,
        inherited: Option<std::net::TcpListener>,
        backlog: u32,
    ) -> Result<Self, NodeError> {
        let listen_error = |address| move |source| NodeError::Listen { address, source };
        let (clients, origin) = match inherited {
            Some(inherited) => (TcpListener::from_std(inherited), ListenerOrigin::Inherited),
            None => (listen(config.listen_address, backlog), ListenerOrigin::Bound),
        };
        let clients = clients.map_err(listen_error(config.listen_address))?;
        let open_admin = |address| listen(address, backlog).map_err(listen_error(address));
        let admin = config.admin_address.map(open_admin).transpose()?;
        let address = clients.local_addr().map_err(listen_error(config.listen_address))?;
        Ok(Listeners { clients, address, origin, admin })
    }
}

/// Listens on an address, even if connections of an earlier process at that address are not closed yet.
///
/// # Errors
/// The error of the operating system.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

#[cfg(test)]
#[path = "../../tests/unit/startup.rs"]
mod tests;
