//! Checks configuration files without starting a node.
use crate::config::node::NodeConfig;
use crate::config::operator::OperatorFile;
use crate::error::{CONFIGURATION_VARIABLE, NodeError};
use std::path::{Path, PathBuf};
use troutknot_configuration::IdCatalog;

/// Checks whether a node can start with a node file.
///
/// # Errors
/// The error in the file, with the file's path.
pub fn check(path: &Path) -> Result<(), NodeError> {
    let config = NodeConfig::read(path)?;
    let resolved = config.resolve(&mut IdCatalog::default());
    resolved.map(|_| ()).map_err(|error| NodeError::NodeConfig { path: path.into(), source: error })
}

/// Checks whether a node can use an operator's file.
///
/// # Errors
/// All errors in the file, one per line.
pub fn check_operator_file(path: &Path) -> Result<(), NodeError> {
    OperatorFile::read(path)?;
    Ok(())
}

/// Returns the path of the node file, from the environment variable `ROUTER_CONFIG`.
///
/// # Errors
/// [`NodeError::ConfigurationPathMissing`] if it is not set.
pub fn path_from_environment() -> Result<PathBuf, NodeError> {
    let path = std::env::var_os(CONFIGURATION_VARIABLE).map(PathBuf::from);
    path.ok_or(NodeError::ConfigurationPathMissing)
}
