//! What a real node is told at its start: its `ROUTER_CONFIG` file.
use crate::catalog::{MACHINE_TYPE, zone_name};
use crate::clients::tenant_name;
use crate::executor_terms::{AT_MOST_ONCE, IDEMPOTENT};
use crate::file::ScaleFile;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// A class of requests that only a changed configuration names.
pub const ADDED_CLASS: &str = "preview";
/// Idle connections to executors are closed after so long.
const IDLE_CONNECTION: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MOST_RETRY_AFTER: Duration = Duration::from_secs(2);
/// What a probe costs, in the settings' own unit.
const PROBE_PRICE: f64 = 0.0;

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

/// What one node's file says beside the scale file.
pub struct NodeConfig<'a> {
    pub file: &'a ScaleFile,
    pub node: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call it.
    pub management: SocketAddr,
    pub zones: usize,
    /// The list as the node last held it, as discovery's JSON.
    pub known: Option<&'a str>,
    /// Whether it also names [`ADDED_CLASS`].
    pub added_class: bool,
}

impl NodeConfig<'_> {
    fn class(&self, name: &str, effect: &str) -> Value {
        let requests = &self.file.requests;
        json!({"name": name, "effect": effect, "hard_limit": micros(requests.deadline),
            "promised_turnaround": micros(requests.latency_target), "credit": 1.0})
    }

    /// What the platform lets nodes do, and what they are held to.
    pub fn settings(&self) -> Map<String, Value> {
        let (file, rules) = (self.file, &self.file.rules);
        let mut classes = vec![self.class(IDEMPOTENT, "safe"), self.class(AT_MOST_ONCE, "unsafe")];
        if self.added_class {
            classes.push(self.class(ADDED_CLASS, "safe"));
        }
        let tenants: Vec<Value> =
            (0..file.requests.teams).map(|team| json!({"name": tenant_name(team)})).collect();
        let zones: Vec<String> = (0..self.zones).map(zone_name).collect();
        let settings = json!({
            "balancers": file.real_nodes.count + file.hollow_nodes.count, "me": self.node, "zone": 0,
            "failure_domains": zones, "kinds": [MACHINE_TYPE], "registry_mode": "subscribe",
            "credit_by": "request",
            "limits": {"max_allocations": rules.max_attempts, "probes": true, "cancel": true,
                "connect_timeout": micros(CONNECT_TIMEOUT), "conn_idle": micros(IDLE_CONNECTION),
                "retry_after": true, "max_retry_after": micros(MOST_RETRY_AFTER)},
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

    /// The whole file.
    pub fn to_json(&self) -> Value {
        let budget = &self.file.real_nodes;
        let known = self.known.and_then(|known| serde_json::from_str::<Value>(known).ok());
        let mut config = json!({"name": format!("n{}", self.node), "listen": self.listen.to_string(),
            "discovery": self.discovery.to_string(), "management": self.management.to_string(),
            "seed": format!("{:016x}", self.file.seed.wrapping_add(self.node as u64 + 1)),
            "limits": {"cores": 1.0, "memory_mb": budget.memory.as_u64() >> 20, "sockets": budget.sockets},
            "settings": self.settings()});
        if let Some(known) = known {
            config["known"] = known;
        }
        config
    }
}
