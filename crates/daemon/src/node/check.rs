//! Finds and checks configuration files without starting a node.
use crate::config::node::NodeConfig;
use crate::config::operator::OperatorFile;
use crate::error::{CONFIGURATION_VARIABLE, NodeError};
use std::path::{Path, PathBuf};
use troutknot_configuration::IdCatalog;

/// Checks whether a node could start with this configuration.
///
/// # Errors
/// What is wrong with the file, with its path.
pub fn check(path: &Path) -> Result<(), NodeError> {
    let config = NodeConfig::read(path)?;
    let resolved = config.resolve(&mut IdCatalog::default());
    resolved.map(|_| ()).map_err(|error| NodeError::NodeConfig { path: path.into(), source: error })
}

/// Checks whether a node could use this operator's file.
///
/// # Errors
/// Every fault in the file, each on a line of its own.
pub fn check_operator_file(path: &Path) -> Result<(), NodeError> {
    OperatorFile::read(path)?;
    Ok(())
}

/// The path of the configuration file that `ROUTER_CONFIG` names.
///
/// # Errors
/// [`NodeError::ConfigurationPathMissing`] if it is not set.
pub fn path_from_environment() -> Result<PathBuf, NodeError> {
    let path = std::env::var_os(CONFIGURATION_VARIABLE).map(PathBuf::from);
    path.ok_or(NodeError::ConfigurationPathMissing)
}
