//! Assigns ids to the names in the settings. Ids are stable while a node runs, also when it applies new settings: each
//! request class with its terms, tenant, zone and machine type keeps its id, and no id is assigned to another name.
use crate::document::parse_settings;
use crate::error::{SettingsError, SettingsErrors};
use crate::names::{MACHINE_TYPES, Names, TENANTS, ZONES, missing_class_keys, missing_keys};
use serde_json::{Map, Value};
use troutknot::settings::{ClassSettings, TenantSettings, WeightSource};
use troutknot::{MachineTypeId, Millis, RequestClassId, Settings};

/// Upper bound on the number of request classes over the lifetime of a node, counting a class again when its terms
/// change. Also the upper bound on the numbers of tenants, of zones and of machine types.
pub const MAX_NAMES: usize = 1024;
/// Valid deadlines of a class, in milliseconds.
const DEADLINES: std::ops::Range<Millis> = 1.0..1e9;
/// Smallest limit on the attempts of a request that allows hedging: the first attempt and the hedged one.
const MIN_HEDGED_ATTEMPTS: f64 = 2.0;

#[derive(Clone)]
struct NamedClass {
    name: String,
    terms: ClassSettings,
}

/// The ids of all names that have ever been in effect.
#[derive(Clone, Default)]
pub struct IdCatalog {
    classes: Vec<NamedClass>,
    tenants: Vec<String>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// The settings in effect, as JSON.
    current: Option<Value>,
}

/// Settings whose names are resolved to ids.
#[derive(Clone, Debug)]
pub struct ResolvedSettings {
    /// Settings with all classes and tenants that have ever been in effect, by their ids.
    pub settings: Settings,
    /// Names of all classes that have ever been in effect, by id.
    pub classes: Vec<String>,
    /// Names of tenants by id.
    pub tenants: Vec<String>,
    /// Names of zones by id.
    pub zones: Vec<String>,
    /// Names of machine types by id.
    pub machine_types: Vec<String>,
    /// Ids of the classes in effect.
    pub current_classes: Vec<u32>,
    /// Ids of the tenants in effect.
    pub current_tenants: Vec<u32>,
}

impl IdCatalog {
    /// Resolves new settings and makes them the settings in effect. On an error, nothing changes.
    ///
    /// # Errors
    /// All errors in the settings, each with its key and the allowed values. A key of the settings in effect must not be
    /// missing.
    pub fn resolve(&mut self, document: &Map<String, Value>) -> Result<ResolvedSettings, SettingsErrors> {
        let settings = parse_settings(document)?;
        let names = Names::read(document)?;
        let faults = self.faults(document, &settings, &names);
        if !faults.is_empty() {
            return Err(SettingsErrors(faults));
        }
        let mut next = self.clone();
        let resolved = next.assign(settings, names)?;
        next.current = Some(Value::Object(document.clone()));
        *self = next;
        Ok(resolved)
    }

    fn faults(
        &self,
        document: &Map<String, Value>,
        settings: &Settings,
        names: &Names,
    ) -> Vec<SettingsError> {
        let mut faults = Vec::new();
        faults.extend(names.faults());
        faults.extend(general_faults(document, settings));
        for (class, name) in settings.classes.iter().zip(&names.classes) {
            faults.extend(class_faults(class, name, names));
        }
        if let Some(before) = &self.current {
            faults.extend(missing_keys(before, document));
            faults.extend(missing_class_keys(before, document, &names.classes));
        }
        let mut distinct: Vec<SettingsError> = Vec::new();
        for fault in faults {
            if !distinct.contains(&fault) {
                distinct.push(fault);
            }
        }
        distinct
    }

    /// Assigns ids to new names, and replaces the indices in the settings by ids.
    fn assign(&mut self, mut settings: Settings, names: Names) -> Result<ResolvedSettings, SettingsError> {
        let current_tenants = ids(&mut self.tenants, &names.tenants, TENANTS)?;
        let zones = ids(&mut self.zones, &names.zones, ZONES)?;
        let machine_types = ids(&mut self.machine_types, &names.machine_types, MACHINE_TYPES)?;
        if let Some(zone) = &mut settings.zone {
            *zone = zones.get(*zone as usize).map_or(*zone, |id| f64::from(*id));
        }
        settings.tenants = self.tenant_quotas(&settings.tenants, &current_tenants);
        let current_classes = self.class_ids(&settings, names.classes, &machine_types)?;
        settings.classes = self.all_classes();
        Ok(ResolvedSettings {
            settings,
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: self.tenants.clone(),
            zones: self.zones.clone(),
            machine_types: self.machine_types.clone(),
            current_classes,
            current_tenants,
        })
    }

    /// Returns the quotas by tenant id. If any tenant has a quota, tenants without one get a quota of 0.
    fn tenant_quotas(&self, stated: &[TenantSettings], ids: &[u32]) -> Vec<TenantSettings> {
        if stated.iter().all(|tenant| tenant.quota_per_s.is_none()) {
            return Vec::new();
        }
        let mut quotas = vec![TenantSettings { quota_per_s: Some(0.0) }; self.tenants.len()];
        for (id, tenant) in ids.iter().zip(stated) {
            quotas[*id as usize].quota_per_s = tenant.quota_per_s.or(Some(0.0));
        }
        quotas
    }

    /// Returns the ids of the classes. A class with the name and the terms of an earlier one keeps its id; any other gets
    /// a new one.
    fn class_ids(
        &mut self,
        settings: &Settings,
        names: Vec<String>,
        machine_types: &[u32],
    ) -> Result<Vec<u32>, SettingsError> {
        let mut class_ids = Vec::with_capacity(names.len());
        for (name, stated) in names.into_iter().zip(&settings.classes) {
            let machine_type = stated.machine_type.and_then(|number| machine_types.get(number.0 as usize));
            let terms = ClassSettings {
                machine_type: machine_type.copied().map(MachineTypeId),
                max_attempts: settings.limits.max_attempts,
                ..stated.clone()
            };
            let is_same = |class: &NamedClass| class.name == name && class.terms == terms;
            let id = self.classes.iter().position(is_same).unwrap_or_else(|| {
                self.classes.push(NamedClass { name, terms });
                self.classes.len() - 1
            });
            class_ids.push(id as u32);
        }
        match self.classes.len() {
            count if count > MAX_NAMES => Err(SettingsError::TooManyClassTerms { count }),
            _ => Ok(class_ids),
        }
    }

    /// Returns all classes by id. Each inherits the running times of the last class before it with the same name.
    fn all_classes(&self) -> Vec<ClassSettings> {
        let class = |(id, class): (usize, &NamedClass)| ClassSettings {
            inherits_from: self.last_class_named(&class.name, id),
            ..class.terms.clone()
        };
        self.classes.iter().enumerate().map(class).collect()
    }

    /// Returns the last class with this name among the first `count`.
    fn last_class_named(&self, name: &str, count: usize) -> Option<RequestClassId> {
        let position = self.classes[..count].iter().rposition(|class| class.name == name);
        position.map(|position| RequestClassId(position as u32))
    }
}

/// Assigns ids to the names that are not registered, and returns the ids of all names.
fn ids(registered: &mut Vec<String>, names: &[String], key: &'static str) -> Result<Vec<u32>, SettingsError> {
    let mut ids = Vec::with_capacity(names.len());
    for name in names {
        let id = registered.iter().position(|other| other == name).unwrap_or_else(|| {
            registered.push(name.clone());
            registered.len() - 1
        });
        ids.push(id as u32);
    }
    match registered.len() {
        count if count > MAX_NAMES => Err(SettingsError::TooManyNames { key, count }),
        _ => Ok(ids),
    }
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn general_faults(document: &Map<String, Value>, settings: &Settings) -> Vec<SettingsError> {
    let mut faults = Vec::new();
    let max_attempts = settings.limits.max_attempts;
    if max_attempts.is_some_and(|attempts| !is_positive(attempts)) {
        faults.push(SettingsError::InvalidMaxAttempts);
    }
    let may_hedge = max_attempts.is_some_and(|attempts| attempts >= MIN_HEDGED_ATTEMPTS);
    if settings.limits.hedging_enabled && !may_hedge {
        faults.push(SettingsError::HedgingWithoutSecondAttempt);
    }
    if let WeightSource::Unknown(source) = &settings.weight_source {
        faults.push(SettingsError::UnknownWeightSource { source_name: source.clone() });
    }
    let nodes = document.get("balancers").filter(|nodes| !nodes.is_null()).map(|_| settings.nodes);
    if let (Some(node), Some(nodes)) = (settings.node, nodes)
        && settings.limits.gossip_enabled
        && node >= nodes
    {
        faults.push(SettingsError::NodeNumberOutOfRange { node, nodes });
    }
    faults
}

fn class_faults(class: &ClassSettings, name: &str, names: &Names) -> Vec<SettingsError> {
    let mut faults = Vec::new();
    let class_name = || name.to_string();
    match class.deadline {
        None => faults.push(SettingsError::MissingTerm { class: class_name(), term: "hard_limit".into() }),
        Some(deadline) if !is_positive(deadline) => {
            faults.push(SettingsError::NotPositive { class: class_name(), term: "hard_limit" })
        }
        Some(deadline) if !DEADLINES.contains(&deadline) => {
            faults.push(SettingsError::DeadlineOutOfRange { class: class_name() })
        }
        Some(_) => {}
    }
    if class.latency_objective.is_some_and(|objective| !is_positive(objective)) {
        faults.push(SettingsError::NotPositive { class: class_name(), term: "promised_turnaround" });
    }
    if let Some(MachineTypeId(machine_type)) = class.machine_type
        && machine_type as usize >= names.machine_types.len()
    {
        faults.push(SettingsError::UnknownMachineType { class: class_name(), machine_type });
    }
    faults
}
