//! The catalogue that fake agents serve.
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

/// The status of an instance, as its checks give it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Status {
    /// All checks pass.
    Passing,
    /// The worst check is a warning.
    Warning,
    /// A check is critical.
    Critical,
    /// An operator put the service into maintenance.
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
    /// A passing instance of weight 1 without metadata.
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

    fn as_json(&self, service: &str, datacenter: &str, created: u64, modified: u64) -> Value {
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
                "CreateIndex": created, "ModifyIndex": created},
            "Service": {"ID": self.id, "Service": service, "Tags": [], "Address": self.addr.ip().to_string(),
                "Port": self.addr.port(), "Meta": self.meta, "EnableTagOverride": false,
                "Weights": {"Passing": self.weights.0, "Warning": self.weights.1},
                "CreateIndex": created, "ModifyIndex": modified},
            "Checks": checks,
        })
    }
}

#[derive(Clone)]
struct Registered {
    instance: Instance,
    created: u64,
    /// The instance as the health API writes it, serialized once for each change.
    json: String,
}

/// A service's instances by id, and the index of its last change.
#[derive(Clone, Default)]
pub(crate) struct Service {
    index: u64,
    instances: BTreeMap<String, Registered>,
}

impl Service {
    /// The index of its last change.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// The ids and statuses of its instances.
    pub(crate) fn statuses(&self) -> Vec<(String, Status)> {
        let registered = self.instances.values();
        registered.map(|registered| (registered.instance.id.clone(), registered.instance.status)).collect()
    }

    /// The body of the health API's answer.
    pub(crate) fn body(&self) -> String {
        let parts: Vec<&str> = self.instances.values().map(|registered| registered.json.as_str()).collect();
        format!("[{}]", parts.join(","))
    }
}

/// A service: its datacenter and its name.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct ServiceKey {
    pub datacenter: String,
    pub service: String,
}

/// Services by their keys.
pub(crate) type Catalogue = HashMap<ServiceKey, Service>;

/// The index of a service; one that was never registered has the first index.
pub(crate) fn index_of(catalogue: &Catalogue, key: &ServiceKey) -> u64 {
    catalogue.get(key).map_or(FIRST_INDEX, Service::index)
}

/// The catalogue that agents serve.
pub struct Cluster {
    catalogue: RefCell<Catalogue>,
    index: watch::Sender<u64>,
    /// The datacenter of all services.
    pub datacenter: String,
}

impl Cluster {
    /// A cluster without services.
    pub fn new(datacenter: &str) -> Rc<Self> {
        Rc::new(Cluster {
            catalogue: RefCell::default(),
            index: watch::channel(NEW_CLUSTER_INDEX).0,
            datacenter: datacenter.into(),
        })
    }

    pub(crate) fn catalogue(&self) -> Ref<'_, Catalogue> {
        self.catalogue.borrow()
    }

    /// Notifies of each change of the catalogue.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.index.subscribe()
    }

    fn key(&self, service: &str) -> ServiceKey {
        ServiceKey { datacenter: self.datacenter.clone(), service: service.into() }
    }

    fn change(&self, service: &str, change: impl FnOnce(&mut Service, u64)) {
        let index = *self.index.borrow() + 1;
        let mut catalogue = self.catalogue.borrow_mut();
        let service = catalogue.entry(self.key(service)).or_default();
        change(service, index);
        service.index = index;
        drop(catalogue);
        self.index.send_replace(index);
    }

    /// Registers an instance, or updates the one of its id.
    pub fn register(&self, service: &str, instance: Instance) {
        self.register_all(service, vec![instance]);
    }

    /// Registers many instances in one change.
    pub fn register_all(&self, service: &str, instances: Vec<Instance>) {
        self.change(service, |registered, index| {
            for instance in instances {
                let earlier = registered.instances.get(&instance.id);
                let created = earlier.map_or(index, |earlier| earlier.created);
                let json = instance.as_json(service, &self.datacenter, created, index).to_string();
                let id = instance.id.clone();
                registered.instances.insert(id, Registered { instance, created, json });
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
        let catalogue = self.catalogue.borrow();
        let with_status = |id: &&str| {
            let instance = catalogue.get(&key)?.instances.get(*id)?.instance.clone();
            Some(Instance { status, ..instance })
        };
        let instances: Vec<Instance> = ids.iter().filter_map(with_status).collect();
        drop(catalogue);
        self.register_all(service, instances);
    }

    /// Restarts the indices, as in a cluster that was restored from a snapshot.
    pub fn reset_index(&self) {
        for service in self.catalogue.borrow_mut().values_mut() {
            service.index = FIRST_INDEX;
        }
        self.index.send_replace(FIRST_INDEX);
    }
}
