//! The catalog of services that fake agents serve.
use serde_json::{Value, json};
use std::cell::{Ref, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Index of a service that was never registered, and of all services after a reset.
const FIRST_INDEX: u64 = 1;
/// Index of a new cluster; above [`FIRST_INDEX`], so that each change gives a service a higher index than that.
const NEW_CLUSTER_INDEX: u64 = 10;

/// The status of an instance that results from its checks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Status {
    /// All checks pass.
    Passing,
    /// A check warns, and none is critical.
    Warning,
    /// A check is critical.
    Critical,
    /// An operator has put the service into maintenance.
    Maintenance,
}

/// One instance of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The id of the service instance.
    pub id: String,
    /// The name of the host.
    pub node: String,
    /// The address of the service.
    pub addr: SocketAddr,
    /// The status of its checks.
    pub status: Status,
    /// The service's metadata.
    pub meta: BTreeMap<String, String>,
    /// The weights while passing and while warning.
    pub weights: (u32, u32),
}

impl Instance {
    /// Creates a passing instance of weight 1 without metadata.
    pub fn new(id: &str, addr: SocketAddr) -> Self {
        Instance {
            id: id.into(),
            node: format!("host-{id}"),
            addr,
            status: Status::Passing,
            meta: BTreeMap::new(),
            weights: (1, 1),
        }
    }

    /// Returns the entry of the health API for this instance, with the given create and modify indices.
    fn to_json(&self, service: &str, datacenter: &str, create_index: u64, modify_index: u64) -> Value {
        let check = |id: &str, status: &str| {
            json!({"Node": self.node, "CheckID": id, "Name": id, "Status": status, "Notes": "",
                "Output": "", "ServiceID": self.id, "ServiceName": service, "ServiceTags": []})
        };
        let mut checks = vec![check("serfHealth", "passing")];
        checks.push(match self.status {
            Status::Passing => check(&format!("service:{}", self.id), "passing"),
            Status::Warning => check(&format!("service:{}", self.id), "warning"),
            Status::Critical => check(&format!("service:{}", self.id), "critical"),
            Status::Maintenance => check(&format!("_service_maintenance:{}", self.id), "critical"),
        });
        json!({
            "Node": {"ID": "", "Node": self.node, "Address": self.addr.ip().to_string(),
                "Datacenter": datacenter, "TaggedAddresses": null, "Meta": null,
                "CreateIndex": create_index, "ModifyIndex": create_index},
            "Service": {"ID": self.id, "Service": service, "Tags": [], "Address": self.addr.ip().to_string(),
                "Port": self.addr.port(), "Meta": self.meta, "EnableTagOverride": false,
                "Weights": {"Passing": self.weights.0, "Warning": self.weights.1},
                "CreateIndex": create_index, "ModifyIndex": modify_index},
            "Checks": checks,
        })
    }
}

/// A registered instance.
#[derive(Clone)]
struct Registration {
    instance: Instance,
    /// Index at which it was registered.
    create_index: u64,
    /// Its entry of the health API, serialized once per change.
    json: String,
}

/// A service's instances by id, and the index of its last change.
#[derive(Clone, Default)]
pub(crate) struct Service {
    index: u64,
    instances: BTreeMap<String, Registration>,
}

impl Service {
    /// Returns the index of its last change.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// Returns the ids and statuses of its instances.
    pub(crate) fn statuses(&self) -> Vec<(String, Status)> {
        let registrations = self.instances.values();
        registrations
            .map(|registration| (registration.instance.id.clone(), registration.instance.status))
            .collect()
    }

    /// Returns the body of a response of the health API.
    pub(crate) fn body(&self) -> String {
        let entries: Vec<&str> =
            self.instances.values().map(|registration| registration.json.as_str()).collect();
        format!("[{}]", entries.join(","))
    }
}

/// Identifies a service by its datacenter and its name.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct ServiceKey {
    pub datacenter: String,
    pub service: String,
}

/// All services by their keys.
pub(crate) type Catalog = HashMap<ServiceKey, Service>;

/// Returns the index of a service; a service that was never registered has [`FIRST_INDEX`].
pub(crate) fn service_index(catalog: &Catalog, key: &ServiceKey) -> u64 {
    catalog.get(key).map_or(FIRST_INDEX, Service::index)
}

/// The catalog that all agents of a cluster serve.
pub struct Cluster {
    catalog: RefCell<Catalog>,
    index: watch::Sender<u64>,
    /// The datacenter of all services.
    pub datacenter: String,
}

impl Cluster {
    /// Creates a cluster without services.
    pub fn new(datacenter: &str) -> Rc<Self> {
        Rc::new(Cluster {
            catalog: RefCell::default(),
            index: watch::channel(NEW_CLUSTER_INDEX).0,
            datacenter: datacenter.into(),
        })
    }

    pub(crate) fn catalog(&self) -> Ref<'_, Catalog> {
        self.catalog.borrow()
    }

    /// Returns a receiver that is notified of each change of the catalog.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.index.subscribe()
    }

    fn key(&self, service: &str) -> ServiceKey {
        ServiceKey { datacenter: self.datacenter.clone(), service: service.into() }
    }

    /// Applies a change to a service, increases the index and notifies agents.
    fn change(&self, service: &str, change: impl FnOnce(&mut Service, u64)) {
        let index = *self.index.borrow() + 1;
        let mut catalog = self.catalog.borrow_mut();
        let service = catalog.entry(self.key(service)).or_default();
        change(service, index);
        service.index = index;
        drop(catalog);
        self.index.send_replace(index);
    }

    /// Registers an instance, or replaces the one with the same id.
    pub fn register(&self, service: &str, instance: Instance) {
        self.register_all(service, vec![instance]);
    }

    /// Registers or replaces several instances in one change.
    pub fn register_all(&self, service: &str, instances: Vec<Instance>) {
        self.change(service, |registered, index| {
            for instance in instances {
                let previous = registered.instances.get(&instance.id);
                let create_index = previous.map_or(index, |previous| previous.create_index);
                let json = instance.to_json(service, &self.datacenter, create_index, index).to_string();
                let id = instance.id.clone();
                registered.instances.insert(id, Registration { instance, create_index, json });
            }
        });
    }

    /// Removes an instance.
    pub fn deregister(&self, service: &str, id: &str) {
        self.change(service, |registered, _| _ = registered.instances.remove(id));
    }

    /// Sets the status of instances; ids that are not registered are skipped.
    pub fn set_status(&self, service: &str, ids: &[&str], status: Status) {
        let key = self.key(service);
        let catalog = self.catalog.borrow();
        let with_status = |id: &&str| {
            let instance = catalog.get(&key)?.instances.get(*id)?.instance.clone();
            Some(Instance { status, ..instance })
        };
        let instances: Vec<Instance> = ids.iter().filter_map(with_status).collect();
        drop(catalog);
        self.register_all(service, instances);
    }

    /// Resets all indices to the first one, as in a cluster that was restored from a snapshot.
    pub fn reset_index(&self) {
        for service in self.catalog.borrow_mut().values_mut() {
            service.index = FIRST_INDEX;
        }
        self.index.send_replace(FIRST_INDEX);
    }
}
