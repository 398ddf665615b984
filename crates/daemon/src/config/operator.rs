//! The operator's file (TOML), an optional file whose path is in the environment variable `TROUTKNOT_FILE`.
use crate::config::consul::ConsulConfig;
use crate::config::durable::DurableConfig;
use crate::config::file::read_text;
use crate::config::validation::{ValidationError, Validator};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use troutknot::Settings;

/// Environment variable with the path of the operator's file.
const PATH_VARIABLE: &str = "TROUTKNOT_FILE";

/// Maximum number of bytes read from the file.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

const MAX_GOSSIP_PEERS: usize = 1000;

/// Why an operator's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read `{}`: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not TOML, or has an unknown key or a value of the wrong type.
    #[error("`{}` line {line}: {}", path.display(), source.message().trim().replace('\n', "; "))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line of the error, counted from 1; 0 if it cannot be determined.
        line: usize,
        /// The cause.
        source: toml::de::Error,
    },
    /// Values are not allowed. The message has a line for each error.
    #[error("{}", error_lines(path, errors))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All errors in the file.
        errors: Vec<ValidationError>,
    },
}

fn error_lines(path: &Path, errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("`{}`: {error}", path.display())).collect();
    lines.join("\n")
}

/// A conflict between the platform's settings and the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsConflict {
    /// Gossip is enabled in the settings, but the file has no section `[peers]`.
    #[error("setting `limits.peers`: true needs [peers] in the operator's own file")]
    NoPeers,
    /// The file has a section `[peers]`, but gossip is not enabled in the settings.
    #[error("[peers] of the operator's own file: `limits.peers` is not true")]
    GossipDisabled,
    /// Both hedged requests and durable jobs are enabled.
    #[error(
        "setting `limits.second_copies`: true cannot go with [durable] of the operator's own file, which allows \
         one attempt at a time"
    )]
    HedgedDurableJobs,
}

/// The operator's file. Missing sections and keys have their defaults.
#[derive(Deserialize, Clone, Debug, PartialEq, Default)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorFile {
    /// Sources of the endpoint list.
    #[serde(rename = "lists")]
    pub discovery: DiscoveryConfig,
    /// Durable jobs, which are disabled if the section is absent.
    pub durable: Option<DurableConfig>,
    /// Gossip between nodes, which is disabled if the section is absent.
    #[serde(rename = "peers")]
    pub gossip: Option<GossipConfig>,
}

/// Configuration of gossip between nodes. A reload does not change it.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GossipConfig {
    /// The address at which this node receives datagrams.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// The addresses at which the nodes receive datagrams; they may include this node's.
    #[serde(rename = "nodes")]
    pub peers: Vec<SocketAddr>,
}

/// A source of the endpoint list.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoverySource {
    /// The platform's discovery service, whose address is in the node file.
    Platform,
    /// Consul's health API.
    Consul,
}

/// Sources of the endpoint list.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryConfig {
    /// The sources, in order of precedence. A reload does not change them.
    pub sources: Vec<DiscoverySource>,
    /// Configuration of the Consul source.
    pub consul: Option<ConsulConfig>,
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig { sources: vec![DiscoverySource::Platform], consul: None }
    }
}

impl OperatorFile {
    /// The path in `TROUTKNOT_FILE`, or `None` if that is unset or empty.
    pub fn path_from_environment() -> Option<PathBuf> {
        std::env::var_os(PATH_VARIABLE).filter(|path| !path.is_empty()).map(PathBuf::from)
    }

    /// Reads a file and checks all its values.
    ///
    /// # Errors
    /// If the file cannot be read or parsed. If values are not allowed, the error lists all of them.
    pub fn read(path: &Path) -> Result<Self, OperatorFileError> {
        let text = read_text(path, MAX_FILE_BYTES)
            .map_err(|source| OperatorFileError::Read { path: path.into(), source })?;
        let file: OperatorFile = toml::from_str(&text).map_err(|source| {
            let line = source.span().map_or(0, |span| line_number(&text, span.start));
            OperatorFileError::Syntax { path: path.into(), line, source }
        })?;
        let errors = file.validation_errors();
        if errors.is_empty() {
            return Ok(file);
        }
        Err(OperatorFileError::Invalid { path: path.into(), errors })
    }

    /// Checks that the platform's settings are compatible with this file.
    ///
    /// # Errors
    /// The first conflict that is found.
    pub fn check_settings(&self, settings: &Settings) -> Result<(), SettingsConflict> {
        match (settings.limits.gossip_enabled, &self.gossip) {
            (true, None) => Err(SettingsConflict::NoPeers),
            (false, Some(_)) => Err(SettingsConflict::GossipDisabled),
            _ if settings.limits.hedging_enabled && self.durable.is_some() => {
                Err(SettingsConflict::HedgedDurableJobs)
            }
            _ => Ok(()),
        }
    }

    fn validation_errors(&self) -> Vec<ValidationError> {
        let mut validator = Validator::default();
        self.discovery.validate(&mut validator);
        if let Some(gossip) = &self.gossip {
            gossip.validate(&mut validator);
        }
        if let Some(durable) = &self.durable {
            durable.validate(&mut validator);
        }
        validator.into_errors()
    }
}

/// The line of a byte offset in a text, counted from 1.
fn line_number(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

impl GossipConfig {
    fn validate(&self, validator: &mut Validator) {
        validator.check_count("peers.nodes", self.peers.len(), 1..=MAX_GOSSIP_PEERS, "addresses");
        validator.check_rule(
            "peers.listen",
            self.listen_address.port() != 0,
            "must name a port, as the others send there",
        );
    }
}

impl DiscoveryConfig {
    fn validate(&self, validator: &mut Validator) {
        const KEY: &str = "lists.sources";
        let sources = &self.sources;
        validator.check_rule(KEY, !sources.is_empty(), "is empty; \"platform\" and \"consul\" are allowed");
        let has_duplicate =
            sources.iter().enumerate().any(|(index, source)| sources[..index].contains(source));
        validator.check_rule(KEY, !has_duplicate, "names one source twice");
        let has_consul = sources.contains(&DiscoverySource::Consul);
        validator.check_rule(
            KEY,
            !has_consul || self.consul.is_some(),
            "names consul, and there is no [lists.consul]",
        );
        if let Some(consul) = &self.consul {
            consul.validate(validator);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/operator_file.rs"]
mod tests;
