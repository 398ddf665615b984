//! Maps names in the settings to ids of the dispatcher, and holds the settings that affect messages.
use super::names;
use crate::in_flight::ClientRequest;
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::time::Duration;
use troutknot::settings::ClassSettings;
use troutknot::{Effect, Millis, RequestClassId, TenantId};
use troutknot_configuration::{LoadFields, ResolvedSettings};

/// Deadline of a class whose settings state none, in milliseconds.
const MIN_DEADLINE: Millis = 1.0;

/// Converts between messages and the dispatcher's types under the settings in force.
///
/// Names are indexed by id and include those of earlier settings, as open requests may still refer to them.
pub struct Codec {
    class_names: Vec<String>,
    pub(super) current_classes: HashMap<String, u32>,
    tenant_names: Vec<String>,
    pub(super) current_tenants: HashMap<String, u32>,
    pub(super) zone_names: Vec<String>,
    pub(super) machine_type_names: Vec<String>,
    pub(super) class_deadlines: Vec<Duration>,
    class_effects: Vec<Effect>,
    class_max_attempts: Vec<usize>,
    is_cancel_enabled: bool,
    pub(super) is_retry_after_enabled: bool,
    pub(super) max_retry_after: Millis,
    pub(super) probe_path: &'static str,
}

impl Codec {
    /// The codec for a settings document and the settings that were resolved from it.
    pub fn new(document: &Map<String, Value>, resolved: ResolvedSettings) -> Self {
        let ResolvedSettings { settings, classes, tenants, zones, machine_types, .. } = resolved;
        Codec {
            class_deadlines: settings.classes.iter().map(deadline).collect(),
            class_effects: settings.classes.iter().map(|class| class.effect).collect(),
            class_max_attempts: settings.classes.iter().map(|class| settings.max_attempts(class)).collect(),
            current_classes: ids_by_name(&resolved.current_classes, &classes),
            current_tenants: ids_by_name(&resolved.current_tenants, &tenants),
            class_names: classes,
            tenant_names: tenants,
            zone_names: zones,
            machine_type_names: machine_types,
            is_cancel_enabled: settings.limits.cancel_enabled,
            is_retry_after_enabled: settings.limits.retry_after_enabled,
            max_retry_after: settings.limits.max_retry_after.unwrap_or(f64::INFINITY),
            probe_path: probe_path(document),
        }
    }

    /// The longest deadline of a class in force.
    pub fn max_deadline(&self) -> Duration {
        let deadlines = self.current_classes.values().map(|id| self.class_deadlines[*id as usize]);
        deadlines.max().unwrap_or_default()
    }

    /// The effect of requests of this class, which determines whether they may run twice; none if the class is
    /// unknown.
    pub fn effect(&self, class: RequestClassId) -> Option<Effect> {
        self.class_effects.get(class.0 as usize).copied()
    }

    /// Whether an attempt of this class may be cancelled once its request is closed.
    pub fn is_cancellable(&self, class: RequestClassId) -> bool {
        self.is_cancel_enabled && self.effect(class) == Some(Effect::Idempotent)
    }

    /// Upper bound on the attempts of requests of this class; none if the class is unknown.
    pub fn max_attempts(&self, class: RequestClassId) -> Option<usize> {
        self.class_max_attempts.get(class.0 as usize).copied()
    }

    /// The names of a request's class and tenant.
    pub fn class_and_tenant_names(&self, request: &ClientRequest) -> (String, String) {
        let name = |names: &[String], id: u32| names.get(id as usize).cloned().unwrap_or_default();
        (name(&self.class_names, request.class.0), name(&self.tenant_names, request.tenant.0))
    }

    /// Class names by id, including those of earlier settings.
    pub fn class_names(&self) -> &[String] {
        &self.class_names
    }

    /// The classes in force.
    pub fn current_classes(&self) -> impl Iterator<Item = (&str, RequestClassId)> {
        self.current_classes.iter().map(|(name, &id)| (name.as_str(), RequestClassId(id)))
    }

    /// The ids of a class and a tenant; none if the class is not in force. An unknown tenant becomes the first.
    pub fn class_and_tenant_ids(&self, class: &str, tenant: &str) -> Option<(RequestClassId, TenantId)> {
        let class = *self.current_classes.get(class)?;
        let tenant = self.current_tenants.get(tenant).copied().unwrap_or(0);
        Some((RequestClassId(class), TenantId(tenant)))
    }
}

fn deadline(class: &ClassSettings) -> Duration {
    Duration::from_secs_f64(class.deadline.unwrap_or(MIN_DEADLINE) / 1000.0)
}

fn ids_by_name(ids: &[u32], names: &[String]) -> HashMap<String, u32> {
    ids.iter().map(|&id| (names[id as usize].clone(), id)).collect()
}

fn probe_path(document: &Map<String, Value>) -> &'static str {
    if LoadFields::from_document(document).is_empty() { names::PING_PATH } else { names::LOAD_PATH }
}
