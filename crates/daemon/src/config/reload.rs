//! Reload of the configuration files at SIGHUP. An invalid file is rejected and has no effect.
use crate::config::consul::ConsulConfig;
use crate::config::limits::Limits;
use crate::config::node::{
    NodeConfig, NodeConfigError, NodeFileError, RawSettings, limit_inputs, resolve_settings,
};
use crate::config::operator::{OperatorFile, SettingsConflict};
use crate::event::NodeEvent;
use crate::protocol::{Codec, Current};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use troutknot_configuration::{IdCatalog, SettingsErrors, parse_settings};

/// Why a new node file is rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The file cannot be read or parsed.
    #[error(transparent)]
    File(#[from] NodeFileError),
    /// A value is not allowed.
    #[error("`{}`: {source}", path.display())]
    Values { path: PathBuf, source: NodeConfigError },
    /// A setting conflicts with the operator's file.
    #[error("`{}`: {source}", path.display())]
    Conflict { path: PathBuf, source: SettingsConflict },
    /// The driver has stopped, because the node is shutting down.
    #[error("the node is shutting down")]
    ShuttingDown,
}

/// Reloads the node file and applies its changes.
pub struct NodeReload {
    /// The file.
    pub path: PathBuf,
    /// The last accepted contents; addresses and resources stay as they were at the start.
    pub config: NodeConfig,
    /// Publishes the address of the discovery service.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// The ids of the names in all settings since the start.
    pub catalog: IdCatalog,
    /// The limits, whose timeouts are derived from the settings.
    pub limits: Rc<Limits>,
    /// The current codec.
    pub codec: Rc<Current<Codec>>,
    /// The driver's queue.
    pub events: mpsc::Sender<NodeEvent>,
}

/// Reloads the operator's file and applies its changes.
pub struct OperatorReload {
    /// The path of the file, or `None` if the node runs without one.
    pub path: Option<PathBuf>,
    /// The last accepted contents.
    pub file: OperatorFile,
    /// Publishes the configuration of the Consul source.
    pub consul: watch::Sender<Option<ConsulConfig>>,
}

/// Reloads both files at each SIGHUP.
pub struct ConfigReloader {
    /// The node file.
    pub node: NodeReload,
    /// The operator's file.
    pub operator: OperatorReload,
}

impl ConfigReloader {
    /// Reloads at each signal until the node shuts down.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            self.operator.reload();
            if let Err(error) = self.node.reload(&self.operator.file).await {
                tracing::warn!(%error, "new configuration rejected, keeping the current one");
            }
        }
    }
}

impl OperatorReload {
    fn reload(&mut self) {
        let Some(path) = &self.path else { return };
        match OperatorFile::read(path) {
            Ok(newer) => self.apply(newer),
            Err(error) => {
                let error = error.to_string().replace('\n', "; ");
                tracing::warn!(%error, "new operator's file rejected, keeping the current one");
            }
        }
    }

    fn apply(&mut self, mut newer: OperatorFile) {
        // These sections take effect only at the start.
        newer.gossip = self.file.gossip.clone();
        newer.durable = self.file.durable.clone();
        if newer.discovery.sources != self.file.discovery.sources {
            tracing::info!(key = "lists.sources", "changed value takes effect only after a restart");
        }
        // An unchanged section is sent too, because the token file may have changed.
        self.consul.send_replace(newer.discovery.consul.clone());
        self.file = newer;
    }
}

impl NodeReload {
    async fn reload(&mut self, operator_file: &OperatorFile) -> Result<(), ReloadError> {
        let newer = NodeConfig::read(&self.path)?;
        self.check(&newer, operator_file)?;
        self.apply_settings(&newer.settings).await?;
        let address = newer.discovery_address;
        let address_changed = self.discovery_address.send_replace(address) != address;
        let settings_changed = newer.settings != self.config.settings;
        let restart_required = self.config.restart_required_keys(&newer).join(", ");
        tracing::info!(
            %address,
            address_changed,
            settings_changed,
            %restart_required,
            "configuration reloaded"
        );
        self.config.settings = newer.settings;
        Ok(())
    }

    /// Checks all values before any of them is applied.
    fn check(&self, newer: &NodeConfig, operator_file: &OperatorFile) -> Result<(), ReloadError> {
        newer.parse_seed().map_err(|source| self.values_error(source))?;
        let settings = parse_settings(&newer.settings)
            .map_err(|error| self.values_error(SettingsErrors::from(error).into()))?;
        operator_file
            .check_settings(&settings)
            .map_err(|source| ReloadError::Conflict { path: self.path.clone(), source })
    }

    /// Applies new settings to all parts of the node. If one is not valid, none is applied.
    async fn apply_settings(&mut self, raw_settings: &RawSettings) -> Result<(), ReloadError> {
        let resolved = resolve_settings(raw_settings, &mut self.catalog);
        let (settings, codec) = resolved.map_err(|error| self.values_error(error.into()))?;
        self.limits.update_timeouts(&limit_inputs(&settings, &codec));
        // The dispatcher must have a new request class before the codec accepts the first request of that class.
        let event = NodeEvent::SettingsChanged(Box::new(settings));
        self.events.send(event).await.map_err(|_| ReloadError::ShuttingDown)?;
        self.codec.store(codec);
        Ok(())
    }

    fn values_error(&self, source: NodeConfigError) -> ReloadError {
        ReloadError::Values { path: self.path.clone(), source }
    }
}
