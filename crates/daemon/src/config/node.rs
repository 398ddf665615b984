//! The platform's node file (JSON): the node's addresses, resources, settings and initial endpoint list.
use crate::config::file::read_text;
use crate::config::limits::{LimitInputs, MAX_POLL_INTERVAL};
use crate::protocol::{Codec, EndpointList};
use crate::units::{to_duration, to_millis};
use serde::Deserialize;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;
use troutknot::{Millis, Settings};
use troutknot_configuration::{IdCatalog, SettingsErrors};

/// Maximum number of bytes read from the file.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

/// Environment variable that overrides the address of the admin API, so that two processes of one node can have
/// different addresses.
const ADMIN_ADDRESS_VARIABLE: &str = "ROUTER_MANAGEMENT";

/// A setting that is a duration is ignored if it has this many milliseconds or more.
const MAX_SETTING_MILLIS: Millis = 1e9;

/// The platform's settings in the form of the node file.
pub type RawSettings = serde_json::Map<String, serde_json::Value>;

/// Why a node file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeFileError {
    /// The file cannot be read.
    #[error("cannot read `{}`: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not JSON, or a key is missing or has the wrong type.
    #[error("`{}`: {source}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The environment variable that overrides the admin address is not a socket address.
    #[error("{ADMIN_ADDRESS_VARIABLE}: `{value}`: {source}")]
    AdminAddress {
        /// The variable's value.
        value: String,
        /// The cause.
        source: AddrParseError,
    },
}

/// Why the values of a node file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The seed cannot be parsed.
    #[error("`seed` must be a hexadecimal number of at most 64 bits, not `{seed}`")]
    Seed {
        /// The seed in the file.
        seed: String,
    },
    /// Settings are missing or have values that are not allowed.
    #[error(transparent)]
    Settings(#[from] SettingsErrors),
}

/// A node file.
#[derive(Deserialize)]
pub struct NodeConfig {
    /// The node's name, unique among the nodes.
    pub name: String,
    /// The address for connections from clients.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// The address of the platform's discovery service.
    #[serde(rename = "discovery")]
    pub discovery_address: SocketAddr,
    /// The address of the admin API, which is disabled if this is absent.
    #[serde(rename = "management", default)]
    pub admin_address: Option<SocketAddr>,
    /// Seed of the random number generator, in hexadecimal.
    pub seed: String,
    /// Memory and sockets of the process.
    #[serde(rename = "limits")]
    pub resources: Resources,
    /// The initial endpoint list.
    #[serde(rename = "known")]
    pub cached_list: Option<EndpointList>,
    /// The platform's settings.
    pub settings: RawSettings,
}

/// Resources that the process may use.
#[derive(Deserialize, PartialEq)]
pub struct Resources {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Maximum number of open sockets.
    #[serde(rename = "sockets")]
    pub max_sockets: u64,
}

/// The values of a node file, converted to the types that the node uses.
pub struct ResolvedNodeConfig {
    /// Seed of the random number generator.
    pub seed: u64,
    /// The settings of the dispatcher.
    pub settings: Settings,
    /// The codec for the settings' names and wire format.
    pub codec: Codec,
}

impl NodeConfig {
    /// Reads a node file. The environment may override the address of the admin API.
    ///
    /// # Errors
    /// If the file cannot be read or parsed, or the override is not a socket address.
    pub fn read(path: &Path) -> Result<Self, NodeFileError> {
        let text = read_text(path, MAX_FILE_BYTES)
            .map_err(|source| NodeFileError::Read { path: path.into(), source })?;
        let mut config: Self = serde_json::from_str(&text)
            .map_err(|source| NodeFileError::Syntax { path: path.into(), source })?;
        if let Some(admin_address) = admin_address_override()? {
            config.admin_address = Some(admin_address);
        }
        Ok(config)
    }

    /// Parses the seed of the random number generator.
    ///
    /// # Errors
    /// If it is not a hexadecimal number of at most 64 bits.
    pub fn parse_seed(&self) -> Result<u64, NodeConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| NodeConfigError::Seed { seed: self.seed.clone() })
    }

    /// Converts the values; names in the settings get their ids from the catalog.
    ///
    /// # Errors
    /// If the seed or the settings are not allowed.
    pub fn resolve(&self, catalog: &mut IdCatalog) -> Result<ResolvedNodeConfig, NodeConfigError> {
        let seed = self.parse_seed()?;
        let (settings, codec) = resolve_settings(&self.settings, catalog)?;
        Ok(ResolvedNodeConfig { seed, settings, codec })
    }

    /// Returns the keys whose values differ in a newer file and take effect only after a restart.
    pub fn restart_required_keys(&self, newer: &NodeConfig) -> Vec<&'static str> {
        let changes = [
            ("name", self.name != newer.name),
            ("listen", self.listen_address != newer.listen_address),
            ("management", self.admin_address != newer.admin_address),
            ("seed", self.seed != newer.seed),
            ("limits", self.resources != newer.resources),
        ];
        changes.into_iter().filter(|(_, is_changed)| *is_changed).map(|(key, _)| key).collect()
    }
}

fn admin_address_override() -> Result<Option<SocketAddr>, NodeFileError> {
    let value = std::env::var(ADMIN_ADDRESS_VARIABLE).unwrap_or_default();
    if value.is_empty() {
        return Ok(None);
    }
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(NodeFileError::AdminAddress { value, source }),
    }
}

/// Converts settings for the dispatcher and the codec; names get their ids from the catalog.
///
/// # Errors
/// If settings are missing or have values that are not allowed; the catalog is unchanged then.
pub fn resolve_settings(
    raw_settings: &RawSettings,
    catalog: &mut IdCatalog,
) -> Result<(Settings, Codec), SettingsErrors> {
    let mut resolved = catalog.resolve(raw_settings)?;
    bound_poll_interval(&mut resolved.settings);
    let settings = resolved.settings.clone();
    Ok((settings, Codec::new(raw_settings, resolved)))
}

/// Limits the poll interval of the endpoint list, so that an update is applied in time after a failed poll.
fn bound_poll_interval(settings: &mut Settings) {
    let max_interval = to_millis(MAX_POLL_INTERVAL);
    let interval = settings.rules.poll_interval.unwrap_or(max_interval);
    settings.rules.poll_interval = Some(interval.min(max_interval));
}

/// Returns the limit inputs that come from the settings; the others have their defaults.
pub fn limit_inputs(settings: &Settings, codec: &Codec) -> LimitInputs {
    LimitInputs {
        connect_timeout: duration_of(settings.limits.connect_timeout),
        executor_idle_timeout: duration_of(settings.limits.idle_timeout),
        drain_grace: duration_of(settings.rules.drain_grace),
        max_deadline: codec.max_deadline(),
        ..LimitInputs::default()
    }
}

/// Converts a setting to a duration. Returns `None` if it is missing, negative or too large.
fn duration_of(setting: Option<Millis>) -> Option<Duration> {
    let millis = setting.filter(|millis| (0.0..MAX_SETTING_MILLIS).contains(millis))?;
    Some(to_duration(millis))
}

#[cfg(test)]
#[path = "../../tests/unit/node_file.rs"]
mod tests;
