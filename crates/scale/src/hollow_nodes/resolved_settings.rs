//! A node's settings in the form that the decision module takes.
use super::endpoint_list::EndpointEntry;
use serde_json::{Map, Value};
use troutknot::{DeduplicationGroupId, Endpoint, EndpointState, ExecutorId, MachineTypeId, Settings, ZoneId};
use troutknot_configuration::{IdCatalog, SettingsErrors};
use troutknot_membership::token;

/// Resolved settings, with the names whose indexes are ids in the decision module.
pub struct ResolvedSettings {
    pub settings: Settings,
    pub classes: Vec<String>,
    zones: Vec<String>,
    machine_types: Vec<String>,
}

impl ResolvedSettings {
    /// # Errors
    /// If the settings are invalid.
    pub fn resolve(settings: &Map<String, Value>) -> Result<Self, SettingsErrors> {
        let resolved = IdCatalog::default().resolve(settings)?;
        Ok(ResolvedSettings {
            settings: resolved.settings,
            classes: resolved.classes,
            zones: resolved.zones,
            machine_types: resolved.machine_types,
        })
    }

    /// Converts a list entry to an endpoint of the decision module.
    pub fn endpoint(&self, entry: &EndpointEntry, executor: ExecutorId) -> Endpoint {
        let index_of = |name: &String, names: &[String]| {
            names.iter().position(|other| other == name).map(|index| index as u32)
        };
        let zone = entry.zone.as_ref().and_then(|name| index_of(name, &self.zones));
        let machine_type = |name| index_of(name, &self.machine_types).unwrap_or(u32::MAX);
        Endpoint {
            executor,
            token: token(&entry.id),
            zone: zone.map(ZoneId),
            machine_type: MachineTypeId(entry.machine_type.as_ref().map_or(0, machine_type)),
            deduplication_group: entry.deduplication_group.map(DeduplicationGroupId),
            state: match entry.state.as_str() {
                "Ready" => EndpointState::Ready,
                "Gone" => EndpointState::Gone,
                _ => EndpointState::Draining,
            },
            weight: entry.weight.unwrap_or(1.0),
            started_at: entry.started_at.filter(|&at| at > 0.0),
        }
    }
}
