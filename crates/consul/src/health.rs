//! Responses of `/v1/health/service/:service`.
use crate::Millis;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// Upper bound of a weight, as in Consul's DNS records.
const MAX_WEIGHT: f64 = 65_535.0;

/// The check that marks a node in maintenance.
const NODE_MAINTENANCE: &str = "_node_maintenance";
/// Prefix of the check that marks a service in maintenance.
const SERVICE_MAINTENANCE: &str = "_service_maintenance";

/// Upper bounds on one response.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ResponseBounds {
    /// Bytes of the body.
    pub max_body_bytes: usize,
    /// Instances in the body.
    pub max_entries: usize,
    /// Bytes of an instance's id.
    pub max_id_bytes: usize,
}

impl Default for ResponseBounds {
    fn default() -> Self {
        ResponseBounds { max_body_bytes: 12 * 1024 * 1024, max_entries: 10_000, max_id_bytes: 128 }
    }
}

/// Why a body cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum HealthError {
    /// The body exceeds its bound.
    #[error("body of {bytes} bytes exceeds the limit of {max}")]
    BodyTooLarge {
        /// Bytes of the body.
        bytes: usize,
        /// The bound.
        max: usize,
    },
    /// The body lists more instances than its bound.
    #[error("{count} entries exceed the limit of {max}")]
    TooManyEntries {
        /// Instances in the body.
        count: usize,
        /// The bound.
        max: usize,
    },
    /// The body is not valid JSON of this endpoint.
    #[error("invalid JSON of the health API: {0}")]
    Json(#[from] serde_json::Error),
    /// A check has a status that is not documented.
    #[error("`{id}` has a check of unknown status `{status}`")]
    UnknownCheckStatus {
        /// The instance.
        id: String,
        /// The status.
        status: String,
    },
    /// Neither the service nor its node has an IP address, or the port is 0.
    #[error("`{id}` has no valid address: `{address}`")]
    InvalidAddress {
        /// The instance.
        id: String,
        /// The address and the port.
        address: String,
    },
    /// Two instances have one id.
    #[error("`{0}` is listed twice")]
    DuplicateId(String),
    /// An instance's id is empty or exceeds its bound.
    #[error("an instance id is empty or too long")]
    InvalidId,
}

/// The worst status of an instance's checks.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Health {
    /// All checks pass.
    Passing,
    /// A check warns.
    Warning,
    /// A check is critical.
    Critical,
    /// An operator has put the service or its node into maintenance.
    Maintenance,
}

/// Distinguishes one start of an executor from another.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Incarnation {
    /// When the executor started according to the service's metadata, in Unix milliseconds.
    StartedAt(Millis),
    /// The index at which the service was registered.
    RegisteredAt(u64),
    /// Unknown, as in a cached list.
    Unknown,
}

/// One instance of a service.
#[derive(Clone, PartialEq, Debug)]
pub struct ServiceInstance {
    /// The value of the metadata key `executor`, or else service id, node and datacenter. Every agent reports the same.
    pub id: String,
    /// Where the executor listens.
    pub address: SocketAddr,
    /// The worst status of its checks.
    pub health: Health,
    /// The weight for this health; an instance of weight 0 gets no requests.
    pub weight: f64,
    /// The value of the metadata key `zone`, or else the datacenter.
    pub zone: String,
    /// The value of the metadata key `kind`.
    pub machine_type: Option<String>,
    /// The value of the metadata key `cell`.
    pub deduplication_group: Option<u32>,
    /// Its current start.
    pub incarnation: Incarnation,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    node: Node,
    service: Service,
    #[serde(default, deserialize_with = "null_as_default")]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    #[serde(default)]
    node: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    datacenter: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    port: u16,
    #[serde(default)]
    weights: Option<Weights>,
    #[serde(default, deserialize_with = "null_as_default")]
    meta: HashMap<String, String>,
    #[serde(default)]
    create_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Weights {
    #[serde(default = "default_weight")]
    passing: f64,
    #[serde(default = "default_weight")]
    warning: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    #[serde(rename = "CheckID", default)]
    id: String,
    status: String,
}

fn default_weight() -> f64 {
    1.0
}

/// Decodes null, which the API writes for an empty list or map, as an empty one.
fn null_as_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Option::<T>::deserialize(deserializer).map(Option::unwrap_or_default)
}

impl Check {
    fn is_maintenance(&self) -> bool {
        self.id == NODE_MAINTENANCE || self.id.starts_with(SERVICE_MAINTENANCE)
    }

    /// Returns `None` if the status is not a documented one.
    fn health(&self) -> Option<Health> {
        match self.status.as_str() {
            "critical" if self.is_maintenance() => Some(Health::Maintenance),
            "maintenance" => Some(Health::Maintenance),
            "passing" => Some(Health::Passing),
            "warning" => Some(Health::Warning),
            "critical" => Some(Health::Critical),
            _ => None,
        }
    }
}

impl Entry {
    fn into_instance(self, bounds: &ResponseBounds) -> Result<ServiceInstance, HealthError> {
        let id = self.instance_id();
        if id.is_empty() || id.len() > bounds.max_id_bytes {
            return Err(HealthError::InvalidId);
        }
        let health = self.worst_health(&id)?;
        let address = self.address(&id)?;
        let weight = self.weight(health);
        let incarnation = self.incarnation();
        let Entry { node, service: Service { mut meta, .. }, .. } = self;
        Ok(ServiceInstance {
            id,
            address,
            health,
            weight,
            zone: meta.remove("zone").unwrap_or(node.datacenter),
            machine_type: meta.remove("kind"),
            deduplication_group: meta.get("cell").and_then(|text| text.parse().ok()),
            incarnation,
        })
    }

    fn instance_id(&self) -> String {
        let Entry { node, service, .. } = self;
        match service.meta.get("executor") {
            Some(id) => id.clone(),
            None => format!("{}@{}.{}", service.id, node.node, node.datacenter),
        }
    }

    fn worst_health(&self, id: &str) -> Result<Health, HealthError> {
        let mut worst = Health::Passing;
        for check in &self.checks {
            let health = check.health().ok_or_else(|| HealthError::UnknownCheckStatus {
                id: id.into(),
                status: check.status.clone(),
            })?;
            worst = worst.max(health);
        }
        Ok(worst)
    }

    /// Returns the address of the service, or else that of its node.
    fn address(&self, id: &str) -> Result<SocketAddr, HealthError> {
        let Service { address, port, .. } = &self.service;
        let host = if address.is_empty() { &self.node.address } else { address };
        let ip = host.parse::<IpAddr>().ok().filter(|ip| !ip.is_unspecified() && *port != 0);
        let ip = ip.ok_or_else(|| HealthError::InvalidAddress {
            id: id.into(),
            address: format!("{host}:{port}"),
        })?;
        Ok(SocketAddr::new(ip, *port))
    }

    fn weight(&self, health: Health) -> f64 {
        let weights = self.service.weights.as_ref();
        let weight = match health {
            Health::Passing => weights.map_or(default_weight(), |weights| weights.passing),
            Health::Warning => weights.map_or(default_weight(), |weights| weights.warning),
            Health::Critical | Health::Maintenance => 0.0,
        };
        weight.clamp(0.0, MAX_WEIGHT)
    }

    fn incarnation(&self) -> Incarnation {
        let started_at = self.service.meta.get("started").and_then(|text| text.parse::<f64>().ok());
        match started_at.filter(|started_at| started_at.is_finite() && *started_at > 0.0) {
            Some(started_at) => Incarnation::StartedAt(started_at),
            None => Incarnation::RegisteredAt(self.service.create_index),
        }
    }
}

/// Decodes the responses of one watch. Entries that are unchanged since the previous response are not decoded again.
#[derive(Default)]
pub struct HealthDecoder {
    hasher: RandomState,
    /// The instances of the last response, by the hash of their JSON.
    decoded: HashMap<u64, Rc<ServiceInstance>>,
}

impl HealthDecoder {
    /// Decodes all instances of a body. An unchanged entry yields a clone of the previous `Rc`.
    ///
    /// # Errors
    /// If any part of the body is invalid or exceeds `bounds`; the decoder is unchanged then.
    pub fn decode(
        &mut self,
        body: &[u8],
        bounds: &ResponseBounds,
    ) -> Result<Vec<Rc<ServiceInstance>>, HealthError> {
        if body.len() > bounds.max_body_bytes {
            return Err(HealthError::BodyTooLarge { bytes: body.len(), max: bounds.max_body_bytes });
        }
        let entries: Vec<&RawValue> = serde_json::from_slice(body)?;
        if entries.len() > bounds.max_entries {
            return Err(HealthError::TooManyEntries { count: entries.len(), max: bounds.max_entries });
        }
        let mut instances = Vec::with_capacity(entries.len());
        let mut decoded = HashMap::with_capacity(entries.len());
        for entry in entries {
            let hash = self.hasher.hash_one(entry.get());
            let instance = match self.decoded.get(&hash) {
                Some(instance) => instance.clone(),
                None => Rc::new(serde_json::from_str::<Entry>(entry.get())?.into_instance(bounds)?),
            };
            decoded.insert(hash, instance.clone());
            instances.push(instance);
        }
        check_ids_are_unique(&instances)?;
        self.decoded = decoded;
        Ok(instances)
    }
}

fn check_ids_are_unique(instances: &[Rc<ServiceInstance>]) -> Result<(), HealthError> {
    let mut ids: HashSet<&str> = HashSet::with_capacity(instances.len());
    match instances.iter().find(|instance| !ids.insert(&instance.id)) {
        Some(duplicate) => Err(HealthError::DuplicateId(duplicate.id.clone())),
        None => Ok(()),
    }
}
