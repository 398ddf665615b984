//! The configuration file of a node (`config.json`), generated from a scenario.
use crate::scenario::{DeduplicationScope, Effect, Scenario};
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The zone of all executors and nodes of a rehearsal.
pub const ZONE: &str = "here";

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// The machine types of a scenario, in the order of their first use.
pub fn machine_types(scenario: &Scenario) -> Vec<String> {
    let mut machine_types: Vec<String> = Vec::new();
    for group in &scenario.executors {
        let machine_type = &group.get_ref().machine_type;
        if !machine_types.contains(machine_type) {
            machine_types.push(machine_type.clone());
        }
    }
    machine_types
}

/// The `settings` object of a node's configuration.
pub fn settings(scenario: &Scenario, node: usize) -> Map<String, Value> {
    let rules = &scenario.rules;
    let classes: Vec<Value> = scenario
        .request_classes
        .iter()
        .map(|class| class.get_ref())
        .map(|class| {
            let effect = match class.effect {
                Effect::Idempotent => "safe",
                Effect::Deduplicated => "keyed",
                Effect::AtMostOnce => "unsafe",
            };
            let scope = match class.deduplication_scope {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Group => "cell",
            };
            json!({"name": class.name, "effect": effect, "key_scope": scope,
                "window": micros(class.deduplication_window), "hard_limit": micros(class.deadline),
                "promised_turnaround": micros(class.latency_objective), "credit": class.value})
        })
        .collect();
    let tenants: Vec<Value> =
        scenario.tenants.iter().map(|tenant| json!({"name": tenant.get_ref().name})).collect();
    let settings = json!({
        "balancers": scenario.nodes.count, "me": node, "zone": 0, "failure_domains": [ZONE],
        "kinds": machine_types(scenario), "registry_mode": "subscribe", "credit_by": "request",
        "limits": {"max_allocations": rules.max_attempts, "probes": true, "cancel": true,
            "connect_timeout": micros(scenario.nodes.connect_timeout), "conn_idle": 5_000_000,
            "retry_after": true, "max_retry_after": 2_000_000},
        "contract": {"drain_grace": micros(rules.drain_grace), "cold_share": rules.initial_capacity,
            "ramp_time": micros(rules.ramp_duration), "fall": micros(rules.budget_window),
            "fall_multiple": rules.budget_multiple, "ask_every": micros(rules.notification_timeout)},
        "load_info": {"fields": ["queue", "inflight", "x0"], "source": "pull"},
        "family_info": {"queue_order": "in_order", "tells_start": true},
        "tariffs": {"probe": scenario.nodes.probe_price},
        "project_types": classes, "customers": tenants,
    });
    match settings {
        Value::Object(settings) => settings,
        _ => Map::new(),
    }
}

/// The configuration file of a node. `cached_list` is the endpoint list that it starts with.
pub fn config(
    scenario: &Scenario,
    node: usize,
    listen_address: SocketAddr,
    discovery_address: SocketAddr,
    seed: u64,
    cached_list: Value,
) -> Value {
    json!({"name": format!("n{node}"), "listen": listen_address.to_string(),
        "discovery": discovery_address.to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.nodes.memory_mb,
            "sockets": scenario.nodes.max_file_descriptors},
        "known": cached_list, "settings": settings(scenario, node)})
}
