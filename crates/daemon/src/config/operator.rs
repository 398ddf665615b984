//! The operator's file (TOML), which the environment variable `TROUTKNOT_FILE` names. It is optional.
use crate::config::consul::ConsulConfig;
use crate::config::durable::DurableConfig;
use crate::config::file::read_text;
use crate::config::validation::{ValidationError, Validator};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use troutknot::Settings;

/// Names the operator's file.
const PATH_VARIABLE: &str = "TROUTKNOT_FILE";

/// Only this much of the file is read.
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
    /// The file is no TOML, or has a key or a type that is not allowed.
    #[error("`{}` line {line}: {}", path.display(), source.message().trim().replace('\n', "; "))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line of the fault, from 1; 0 if it is not known.
        line: usize,
        /// The cause.
        source: toml::de::Error,
    },
    /// Values are not allowed. The message has a line for each fault.
    #[error("{}", error_lines(path, errors))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All errors that were found.
        errors: Vec<ValidationError>,
    },
}

fn error_lines(path: &Path, errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("`{}`: {error}", path.display())).collect();
    lines.join("\n")
}

/// A setting of the platform that does not go with the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsConflict {
    /// Gossip is enabled, and the file names no peers.
    #[error("setting `limits.peers`: true needs [peers] in the operator's own file")]
    NoPeers,
    /// The file names peers, and gossip is not enabled.
    #[error("[peers] of the operator's own file: `limits.peers` is not true")]
    GossipDisabled,
    /// Hedged requests are enabled together with durable jobs.
    #[error(
        "setting `limits.second_copies`: true cannot go with [durable] of the operator's own file, which allows \
         one attempt at a time"
    )]
    HedgedDurableJobs,
}

/// The operator's file. A section or key that is missing has its default.
#[derive(Deserialize, Clone, Debug, PartialEq, Default)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorFile {
    /// Sources of the endpoint list.
    #[serde(rename = "lists")]
    pub discovery: DiscoveryConfig,
    /// Durable jobs; none without the section.
    pub durable: Option<DurableConfig>,
    /// Gossip between nodes; none without the section.
    #[serde(rename = "peers")]
    pub gossip: Option<GossipConfig>,
}

/// Addresses for gossip between nodes. A reload does not change them.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GossipConfig {
    /// Where this node receives datagrams.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// Where the other nodes receive them; may include this node.
    #[serde(rename = "nodes")]
    pub peers: Vec<SocketAddr>,
}

/// A source of the endpoint list.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoverySource {
    /// The platform's discovery service, whose address the node file names.
    Platform,
    /// Consul's health API.
    Consul,
}

/// Sources of the endpoint list.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryConfig {
    /// The sources, in the order of precedence. A reload does not change them.
    pub sources: Vec<DiscoverySource>,
    /// Terms of the Consul source.
    pub consul: Option<ConsulConfig>,
}

impl Default for DiscoveryConfig {
    fn default() -> Self {
        DiscoveryConfig { sources: vec![DiscoverySource::Platform], consul: None }
    }
}

impl OperatorFile {
    /// The path that `TROUTKNOT_FILE` names; none if it is unset or empty.
    pub fn path_from_environment() -> Option<PathBuf> {
        std::env::var_os(PATH_VARIABLE).filter(|path| !path.is_empty()).map(PathBuf::from)
    }

    /// Reads a file and checks all of it.
    ///
    /// # Errors
    /// If the file cannot be read or parsed, or with all values that are not allowed.
    pub fn read(path: &Path) -> Result<Self, OperatorFileError> {
        let text = read_text(path, MAX_FILE_BYTES)
            .map_err(|source| OperatorFileError::Read { path: path.into(), source })?;
        let file: OperatorFile = toml::from_str(&text).map_err(|source| {
            let line = source.span().map_or(0, |span| line_of(&text, span.start));
            OperatorFileError::Syntax { path: path.into(), line, source }
        })?;
        let errors = file.validation_errors();
        if errors.is_empty() {
            return Ok(file);
        }
        Err(OperatorFileError::Invalid { path: path.into(), errors })
    }

    /// Checks that the platform's settings go with this file.
    ///
    /// # Errors
    /// With the first conflict.
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

/// The line of an offset into a text, from 1.
fn line_of(text: &str, offset: usize) -> usize {
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
        let has_repeated =
            sources.iter().enumerate().any(|(index, source)| sources[..index].contains(source));
        validator.check_rule(KEY, !has_repeated, "names one source twice");
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
