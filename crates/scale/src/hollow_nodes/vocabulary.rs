//! What the settings of a node mean to the decision module.
use super::list::Entry;
use serde_json::{Map, Value};
use troutknot::{DeduplicationGroupId, Endpoint, EndpointState, ExecutorId, MachineTypeId, Settings, ZoneId};
use troutknot_configuration::{IdCatalog, SettingsErrors};
use troutknot_membership::token;

/// The numbers that the settings give to names.
pub struct Vocabulary {
    pub settings: Settings,
    pub classes: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Vocabulary {
    /// # Errors
    /// What cannot be used, in one plain line.
    pub fn of(settings: &Map<String, Value>) -> Result<Self, SettingsErrors> {
        let resolved = IdCatalog::default().resolve(settings)?;
        Ok(Vocabulary {
            settings: resolved.settings,
            classes: resolved.classes,
            zones: resolved.zones,
            kinds: resolved.machine_types,
        })
    }

    /// What an executor's listing says to the decision module.
    pub fn listing(&self, entry: &Entry, executor: ExecutorId) -> Endpoint {
        let number = |name: &Option<String>, names: &[String]| {
            let place = |name: &String| names.iter().position(|other| other == name);
            name.as_ref().map_or(0, |name| place(name).map_or(u32::MAX, |place| place as u32))
        };
        Endpoint {
            executor,
            token: token(&entry.id),
            zone: ZoneId(number(&entry.zone, &self.zones)),
            machine_type: MachineTypeId(number(&entry.kind, &self.kinds)),
            deduplication_group: DeduplicationGroupId(entry.cell.unwrap_or(0)),
            state: match entry.state.as_str() {
                "Ready" => EndpointState::Ready,
                "Gone" => EndpointState::Gone,
                _ => EndpointState::Draining,
            },
            weight: entry.weight.unwrap_or(1.0),
            started_at: entry.started_ms.filter(|&at| at > 0.0),
        }
    }
}
