//! Configuration of a real node: its `ROUTER_CONFIG` file.
use crate::catalog::{MACHINE_TYPE, zone_name};
use crate::clients::tenant_name;
use crate::executor_config::{AT_MOST_ONCE, IDEMPOTENT};
use crate::file::ScaleFile;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// A request class that only a changed configuration contains.
pub const ADDED_CLASS: &str = "preview";
/// Time after which idle connections to executors are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Cost of a probe, in the unit of the settings.
const PROBE_PRICE: f64 = 0.0;

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// Input for the configuration file of one node.
pub struct NodeConfig<'a> {
    pub file: &'a ScaleFile,
    pub node: usize,
    pub listen_address: SocketAddr,
    pub discovery_address: SocketAddr,
    /// Address of the admin server.
    pub admin_address: SocketAddr,
    pub zones: usize,
    /// Last endpoint list of the node, in discovery's JSON format.
    pub cached_list: Option<&'a str>,
    /// Whether the configuration contains [`ADDED_CLASS`].
    pub has_added_class: bool,
}

impl NodeConfig<'_> {
    fn class_settings(&self, name: &str, effect: &str) -> Value {
        let requests = &self.file.requests;
        json!({"name": name, "effect": effect, "hard_limit": micros(requests.deadline),
            "promised_turnaround": micros(requests.latency_target), "credit": 1.0})
    }

    /// Returns the settings: the limits of the platform and the rules that nodes must follow.
    pub fn to_settings(&self) -> Map<String, Value> {
        let (file, rules) = (self.file, &self.file.rules);
        let mut classes =
            vec![self.class_settings(IDEMPOTENT, "safe"), self.class_settings(AT_MOST_ONCE, "unsafe")];
        if self.has_added_class {
            classes.push(self.class_settings(ADDED_CLASS, "safe"));
        }
        let tenants: Vec<Value> =
            (0..file.requests.tenants).map(|tenant| json!({"name": tenant_name(tenant)})).collect();
        let zones: Vec<String> = (0..self.zones).map(zone_name).collect();
        let settings = json!({
            "balancers": file.real_nodes.count + file.hollow_nodes.count, "me": self.node, "zone": 0,
            "failure_domains": zones, "kinds": [MACHINE_TYPE], "registry_mode": "subscribe",
            "credit_by": "request",
            "limits": {"max_allocations": rules.max_attempts, "probes": true, "cancel": true,
                "connect_timeout": micros(CONNECT_TIMEOUT), "conn_idle": micros(IDLE_TIMEOUT),
                "retry_after": true, "max_retry_after": micros(MAX_RETRY_AFTER)},
            "contract": {"drain_grace": micros(rules.drain_grace), "cold_share": rules.initial_capacity,
                "ramp_time": micros(rules.ramp_duration), "fall": micros(rules.budget_window),
                "fall_multiple": rules.budget_multiple, "ask_every": micros(rules.notification_timeout)},
            "load_info": {"fields": ["queue", "inflight", "x0"], "source": "pull"},
            "family_info": {"queue_order": "in_order", "tells_start": true},
            "tariffs": {"probe": PROBE_PRICE},
            "project_types": classes, "customers": tenants,
        });
        settings.as_object().cloned().unwrap_or_default()
    }

    /// Returns the content of the file.
    pub fn to_json(&self) -> Value {
        let budget = &self.file.real_nodes;
        let cached_list = self.cached_list.and_then(|list| serde_json::from_str::<Value>(list).ok());
        let mut config = json!({"name": format!("n{}", self.node), "listen": self.listen_address.to_string(),
            "discovery": self.discovery_address.to_string(), "management": self.admin_address.to_string(),
            "seed": format!("{:016x}", self.file.seed.wrapping_add(self.node as u64 + 1)),
            "limits": {"cores": 1.0, "memory_mb": budget.memory.as_u64() >> 20, "sockets": budget.sockets},
            "settings": self.to_settings()});
        if let Some(list) = cached_list {
            config["known"] = list;
        }
        config
    }
}
