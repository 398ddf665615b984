//! Starts the discovery sources that the operator's file configures.
use super::shared::Shared;
use super::startup::Configuration;
use crate::config::consul::ConsulConfig;
use crate::config::operator::DiscoverySource;
use crate::discovery::merge::EndpointMerge;
use crate::discovery::{EndpointUpdateSender, consul, platform};
use crate::protocol::{EndpointEntry, EndpointList};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use troutknot::ListUpdate;
use troutknot_membership::Retention;

/// The part of the initial endpoint list that the sources use.
#[derive(Default)]
pub struct CachedList {
    version: Option<u64>,
    /// Empty if the platform is the only source, because its watch needs only the version to continue.
    entries: Vec<EndpointEntry>,
}

impl CachedList {
    /// Extracts the part of the initial list that the sources use.
    pub fn from_list(list: &EndpointList, sources: &[DiscoverySource]) -> Self {
        let is_platform_only = sources == [DiscoverySource::Platform];
        let entries = if is_platform_only { Vec::new() } else { list.entries.clone() };
        CachedList { version: Some(list.version), entries }
    }
}

/// Channels that publish reloaded configuration to the sources.
pub struct DiscoveryControls {
    /// The address of the platform's discovery service.
    pub platform: watch::Sender<SocketAddr>,
    /// The configuration of the Consul source, or `None` if the reloaded file no longer has it.
    pub consul: watch::Sender<Option<ConsulConfig>>,
}

/// Starts a task for each source. Updates of several sources are merged.
pub fn start(configuration: &Configuration, shared: &Shared, cached: CachedList) -> DiscoveryControls {
    let discovery = &configuration.operator.discovery;
    let controls = DiscoveryControls {
        platform: watch::Sender::new(configuration.node.discovery_address),
        consul: watch::Sender::new(discovery.consul.clone()),
    };
    let merge = Rc::new(RefCell::new(EndpointMerge::new(shared.limits.executor_bounds.max_listed)));
    let is_merged = discovery.sources.len() > 1;
    for (precedence, source) in discovery.sources.iter().enumerate() {
        let sender = match is_merged {
            true => EndpointUpdateSender::merged(shared.events.clone(), precedence, &merge),
            false => EndpointUpdateSender::unmerged(shared.events.clone()),
        };
        match source {
            DiscoverySource::Platform => {
                if is_merged {
                    // The watch continues from the cached version, whose entries the driver already has.
                    let entries = cached.entries.clone();
                    let _ = merge.borrow_mut().apply(precedence, ListUpdate::Snapshot, entries);
                }
                start_platform(&configuration.node.name, shared, &controls, sender, cached.version);
            }
            DiscoverySource::Consul => {
                // With several sources, the cached entries are attributed to the platform's source.
                let entries = if is_merged { Vec::new() } else { cached.entries.clone() };
                start_consul(shared, &controls, sender, entries);
            }
        }
    }
    controls
}

fn start_platform(
    node_name: &str,
    shared: &Shared,
    controls: &DiscoveryControls,
    sender: EndpointUpdateSender,
    version: Option<u64>,
) {
    let watcher = platform::PlatformWatcher {
        address: controls.platform.subscribe(),
        limits: shared.limits.clone(),
        codec: shared.codec.clone(),
        updates: sender,
        requests: shared.watch_requests.clone(),
        retention: Retention::for_node(node_name),
    };
    // The first watch opens without a request of the dispatcher.
    shared.watch_requests.resume.notify_one();
    shared.tasks.spawn(watcher.run(version));
}

fn start_consul(
    shared: &Shared,
    controls: &DiscoveryControls,
    sender: EndpointUpdateSender,
    cached_entries: Vec<EndpointEntry>,
) {
    let watcher = consul::ConsulWatcher {
        limits: shared.limits.clone(),
        clock: shared.clock,
        updates: sender,
        config: controls.consul.subscribe(),
        status: shared.discovery_status.clone(),
        tasks: shared.tasks.clone(),
    };
    shared.tasks.spawn(watcher.run(cached_entries));
}
