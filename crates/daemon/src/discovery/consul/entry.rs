//! Conversion between instances of Consul's catalog and entries of the endpoint list.
use crate::protocol::EndpointEntry;
use crate::protocol::endpoint_state::{DRAINING, GONE, READY};
use compact_str::{CompactString, ToCompactString};
use troutknot_consul::catalog::{InstanceChange, InstanceState};
use troutknot_consul::health::{Health, Incarnation, ServiceInstance};

/// Converts a changed instance to an entry of the endpoint list.
pub fn to_entry(change: InstanceChange) -> EndpointEntry {
    let instance = &change.instance;
    let state = match change.state {
        InstanceState::Ready => READY,
        InstanceState::Draining => DRAINING,
        InstanceState::Gone => GONE,
    };
    EndpointEntry {
        id: instance.id.as_str().into(),
        address: instance.address.to_compact_string(),
        zone: Some(instance.zone.as_str().into()),
        machine_type: instance.machine_type.as_deref().map(CompactString::from),
        deduplication_group: instance.deduplication_group,
        state: state.into(),
        weight: Some(instance.weight),
        started_at: change.started_at,
    }
}

/// Converts a cached entry to an instance. Returns `None` if its address is not valid.
pub fn to_instance(entry: &EndpointEntry) -> Option<ServiceInstance> {
    let is_ready = entry.is_ready();
    let started_at = entry.started_at.filter(|at| *at > 0.0);
    Some(ServiceInstance {
        id: entry.id.to_string(),
        address: entry.address.parse().ok()?,
        health: if is_ready { Health::Passing } else { Health::Maintenance },
        weight: if is_ready { entry.weight.unwrap_or(1.0) } else { 0.0 },
        zone: entry.zone.as_deref().unwrap_or_default().to_string(),
        machine_type: entry.machine_type.as_deref().map(str::to_string),
        deduplication_group: entry.deduplication_group,
        incarnation: started_at.map_or(Incarnation::Unknown, Incarnation::StartedAt),
    })
}
