//! What the body of `/v1/health/service/:service` says.
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// Bounds of one answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Bounds {
    /// Bytes of a body.
    pub body: usize,
    pub entries: usize,
    /// Bytes of an id.
    pub id: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { body: 12 * 1024 * 1024, entries: 10_000, id: 128 }
    }
}

/// Why a body says nothing that can be used.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum Unusable {
    #[error("{0} bytes are more than the {1} that are read")]
    TooLarge(usize, usize),
    #[error("{0} entries are more than the {1} that are kept")]
    TooMany(usize, usize),
    #[error("no JSON of the health API: {0}")]
    Json(String),
    #[error("`{0}` has a check of unknown status `{1}`")]
    Status(String, String),
    #[error("`{0}` has no usable address: `{1}`")]
    Address(String, String),
    #[error("`{0}` is listed twice")]
    Twice(String),
    #[error("an id is empty or too long")]
    Id,
}

/// The worst of an instance's checks.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Health {
    Passing,
    Warning,
    Critical,
    /// An operator put the service or its node into maintenance.
    Maintenance,
}

/// What tells one start of an executor from another.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Start {
    /// Unix milliseconds, from the service's meta.
    Told(f64),
    /// The index at which the service was registered.
    Registered(u64),
    /// It is not known, as in a list from before.
    Unknown,
}

/// One instance of a service.
#[derive(Clone, PartialEq, Debug)]
pub struct Member {
    /// The same at every node: from the meta key `executor`, else service id, node and datacenter.
    pub id: String,
    pub addr: SocketAddr,
    pub health: Health,
    /// By its health; 0 takes it out.
    pub weight: f64,
    pub zone: String,
    pub kind: Option<String>,
    pub cell: Option<u32>,
    pub start: Start,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    node: Node,
    service: Service,
    #[serde(default, deserialize_with = "or_none")]
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
    #[serde(default, deserialize_with = "or_none")]
    meta: HashMap<String, String>,
    #[serde(default)]
    create_index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Weights {
    #[serde(default = "one")]
    passing: f64,
    #[serde(default = "one")]
    warning: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    #[serde(rename = "CheckID", default)]
    id: String,
    status: String,
}

/// Where the API writes null for an empty list or map.
fn or_none<'de, D: serde::Deserializer<'de>, T: Deserialize<'de> + Default>(from: D) -> Result<T, D::Error> {
    Option::<T>::deserialize(from).map(Option::unwrap_or_default)
}

const NODE_MAINTENANCE: &str = "_node_maintenance";
const SERVICE_MAINTENANCE: &str = "_service_maintenance";

fn health_of(checks: &[Check], id: &str) -> Result<Health, Unusable> {
    let mut worst = Health::Passing;
    for check in checks {
        let maintenance = check.id == NODE_MAINTENANCE || check.id.starts_with(SERVICE_MAINTENANCE);
        worst = worst.max(match check.status.as_str() {
            "critical" if maintenance => Health::Maintenance,
            "maintenance" => Health::Maintenance,
            "passing" => Health::Passing,
            "warning" => Health::Warning,
            "critical" => Health::Critical,
            other => return Err(Unusable::Status(id.into(), other.into())),
        });
    }
    Ok(worst)
}

impl Entry {
    fn member(self, bounds: &Bounds) -> Result<Member, Unusable> {
        let Entry { node, service, checks } = self;
        let id = match service.meta.get("executor") {
            Some(id) => id.clone(),
            None => format!("{}@{}.{}", service.id, node.node, node.datacenter),
        };
        if id.is_empty() || id.len() > bounds.id {
            return Err(Unusable::Id);
        }
        let health = health_of(&checks, &id)?;
        // The service's own address, or else its node's.
        let host = if service.address.is_empty() { &node.address } else { &service.address };
        let ip = host.parse::<IpAddr>().ok().filter(|ip| !ip.is_unspecified() && service.port != 0);
        let ip = ip.ok_or_else(|| Unusable::Address(id.clone(), format!("{host}:{}", service.port)))?;
        let weights = service.weights.unwrap_or(Weights { passing: 1.0, warning: 1.0 });
        let weight = match health {
            Health::Passing => weights.passing,
            Health::Warning => weights.warning,
            Health::Critical | Health::Maintenance => 0.0,
        };
        let told = service.meta.get("started").and_then(|text| text.parse::<f64>().ok());
        let told = told.filter(|at| at.is_finite() && *at > 0.0);
        Ok(Member {
            addr: SocketAddr::new(ip, service.port),
            health,
            weight: weight.clamp(0.0, 65535.0),
            zone: service.meta.get("zone").unwrap_or(&node.datacenter).clone(),
            kind: service.meta.get("kind").cloned(),
            cell: service.meta.get("cell").and_then(|text| text.parse().ok()),
            start: told.map_or(Start::Registered(service.create_index), Start::Told),
            id,
        })
    }
}

/// Reads bodies of one watch; an entry that stands as it stood in the one before is not read again.
#[derive(Default)]
pub struct Reader {
    hasher: RandomState,
    known: HashMap<u64, Rc<Member>>,
}

impl Reader {
    /// All instances that a body lists; those that are the same as before are the same `Rc`.
    ///
    /// # Errors
    /// Why the body cannot be used, as a whole.
    pub fn read(&mut self, body: &[u8], bounds: &Bounds) -> Result<Vec<Rc<Member>>, Unusable> {
        if body.len() > bounds.body {
            return Err(Unusable::TooLarge(body.len(), bounds.body));
        }
        let json = |e: serde_json::Error| Unusable::Json(e.to_string());
        let raw: Vec<&RawValue> = serde_json::from_slice(body).map_err(json)?;
        if raw.len() > bounds.entries {
            return Err(Unusable::TooMany(raw.len(), bounds.entries));
        }
        let (mut members, mut known) = (Vec::with_capacity(raw.len()), HashMap::with_capacity(raw.len()));
        let mut ids: HashSet<&str> = HashSet::with_capacity(raw.len());
        for raw in raw {
            let hash = self.hasher.hash_one(raw.get());
            let member = match self.known.get(&hash) {
                Some(member) => member.clone(),
                None => {
                    let entry: Entry = serde_json::from_str(raw.get()).map_err(json)?;
                    Rc::new(entry.member(bounds)?)
                }
            };
            known.insert(hash, member.clone());
            members.push(member);
        }
        for member in &members {
            if !ids.insert(&member.id) {
                return Err(Unusable::Twice(member.id.clone()));
            }
        }
        self.known = known;
        Ok(members)
    }
}
