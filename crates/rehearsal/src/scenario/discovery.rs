//! The discovery settings of a scenario: the source of the nodes' endpoint lists, its delays and its faults.
use serde::Deserialize;
use std::time::Duration;

/// The service that nodes read their endpoint list from.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoverySource {
    /// The platform's own endpoint list.
    Platform,
    /// A fake Consul cluster with one agent per node; all agents see a change at the same time.
    Consul,
}

/// A fault of Consul's agents.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFault {
    /// They accept connections and never respond.
    Silent,
    /// They respond with errors.
    Errors,
    /// They respond with the error that the cluster has no leader.
    NoLeader,
    /// They respond with an empty list.
    Empty,
    /// They close the connection in the middle of a response body.
    HalfBody,
    /// They respond with the list from the start of the fault.
    StaleView,
    /// They respond late.
    Late,
}

/// How executors are listed.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// The source of the endpoint lists.
    pub source: DiscoverySource,
    /// Whether nodes damp flapping entries; applies to Consul only.
    pub damping: bool,
    /// Shortest delay until a node's agent knows of a change.
    #[serde(rename = "notice_least", with = "humantime_serde")]
    pub min_notice_delay: Duration,
    /// Longest delay until a node's agent knows of a change.
    #[serde(rename = "notice_most", with = "humantime_serde")]
    pub max_notice_delay: Duration,
    /// Delay until an executor that crashed or was cut off is removed from the list.
    #[serde(rename = "death_noticed", with = "humantime_serde")]
    pub failure_detection_delay: Duration,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec {
            source: DiscoverySource::Platform,
            damping: true,
            min_notice_delay: Duration::from_millis(50),
            max_notice_delay: Duration::from_millis(500),
            failure_detection_delay: Duration::from_secs(3),
        }
    }
}
