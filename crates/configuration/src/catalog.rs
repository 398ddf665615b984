//! Ids for the names in the settings. An id is valid for the life of a node, whatever settings it reads later: each
//! request class with its terms, tenant, zone and machine type keeps its id, and an id is never given to another name.
use crate::document::parse_settings;
use crate::error::{SettingsError, SettingsErrors};
use crate::names::{MACHINE_TYPES, Names, TENANTS, ZONES, missing_class_keys, missing_keys};
use serde_json::{Map, Value};
use troutknot::settings::{ClassSettings, TenantSettings, WeightSource};
use troutknot::{MachineTypeId, Millis, RequestClassId, Settings};

/// Upper bound on the request classes, each with its terms, over the life of a node; also on its tenants, zones and
/// machine types.
pub const MAX_NAMES: usize = 1024;
/// Deadlines that a class may have, in milliseconds.
const DEADLINES: std::ops::Range<Millis> = 1.0..1e9;
/// Hedging needs at least this number of attempts: the first and its copy.
const MIN_HEDGED_ATTEMPTS: f64 = 2.0;

#[derive(Clone)]
struct NamedClass {
    name: String,
    terms: ClassSettings,
}

/// Ids for all names that were ever in force.
#[derive(Clone, Default)]
pub struct IdCatalog {
    classes: Vec<NamedClass>,
    tenants: Vec<String>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// The settings in force, as they were written.
    current: Option<Value>,
}

/// Settings whose names are resolved to ids.
#[derive(Clone, Debug)]
pub struct ResolvedSettings {
    /// The settings; classes and tenants are all that were ever in force, by their ids.
    pub settings: Settings,
    /// Names of classes by id, of all that were ever in force.
    pub classes: Vec<String>,
    /// Names of tenants by id.
    pub tenants: Vec<String>,
    /// Names of zones by id.
    pub zones: Vec<String>,
    /// Names of types of machine by id.
    pub machine_types: Vec<String>,
    /// Ids of the classes in force.
    pub current_classes: Vec<u32>,
    /// Ids of the tenants in force.
    pub current_tenants: Vec<u32>,
}

impl IdCatalog {
    /// Resolves settings and puts all of them in force, or none.
    ///
    /// # Errors
    /// All faults, each with its key and what is allowed. A key that the settings in force have must not be missing.
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

    /// Gives ids to names that are new, and replaces the indices that the settings use by ids.
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

    /// Quotas by id. If any tenant has a quota, those without one have a quota of 0.
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

    /// The ids of the classes: that of a class of the same name with the same terms, or else a new one.
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

    /// All classes by id. Each inherits the running times of the last one before it with the same name.
    fn all_classes(&self) -> Vec<ClassSettings> {
        let class = |(id, class): (usize, &NamedClass)| ClassSettings {
            inherits_from: self.last_class_named(&class.name, id),
            ..class.terms.clone()
        };
        self.classes.iter().enumerate().map(class).collect()
    }

    /// The last of the first `count` classes with this name.
    fn last_class_named(&self, name: &str, count: usize) -> Option<RequestClassId> {
        let position = self.classes[..count].iter().rposition(|class| class.name == name);
        position.map(|position| RequestClassId(position as u32))
    }
}

/// Gives ids to the names that are new, and returns the ids of all names.
fn ids(known: &mut Vec<String>, names: &[String], key: &'static str) -> Result<Vec<u32>, SettingsError> {
    let mut ids = Vec::with_capacity(names.len());
    for name in names {
        let id = known.iter().position(|other| other == name).unwrap_or_else(|| {
            known.push(name.clone());
            known.len() - 1
        });
        ids.push(id as u32);
    }
    match known.len() {
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
    if let WeightSource::Unknown(word) = &settings.weight_source {
        faults.push(SettingsError::UnknownWeightSource { word: word.clone() });
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
