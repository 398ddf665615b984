//! What a node is told at its start, in the platform's words (`config.json`).
use crate::scenario::{DeduplicationScope, Effect, Scenario};
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The place that all executors and nodes of a rehearsal share.
pub const PLACE: &str = "here";

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

/// The machine kinds of a scenario, in the order of first mention.
pub fn kinds(scenario: &Scenario) -> Vec<String> {
    let mut kinds: Vec<String> = Vec::new();
    for group in &scenario.executors {
        if !kinds.contains(&group.get_ref().machine_type) {
            kinds.push(group.get_ref().machine_type.clone());
        }
    }
    kinds
}

/// The settings that a node of a scenario is told.
pub fn settings(scenario: &Scenario, node: usize) -> Map<String, Value> {
    let rules = &scenario.rules;
    let types: Vec<Value> = scenario
        .request_classes
        .iter()
        .map(|t| t.get_ref())
        .map(|t| {
            let effect = match t.effect {
                Effect::Idempotent => "safe",
                Effect::Deduplicated => "keyed",
                Effect::AtMostOnce => "unsafe",
            };
            let scope = match t.deduplication_scope {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Group => "cell",
            };
            json!({"name": t.name, "effect": effect, "key_scope": scope, "window": micros(t.deduplication_window),
                "hard_limit": micros(t.deadline), "promised_turnaround": micros(t.latency_objective),
                "credit": t.value})
        })
        .collect();
    let customers: Vec<Value> = scenario.tenants.iter().map(|c| json!({"name": c.get_ref().name})).collect();
    let settings = json!({
        "balancers": scenario.nodes.count, "me": node, "zone": 0, "failure_domains": [PLACE],
        "kinds": kinds(scenario), "registry_mode": "subscribe", "credit_by": "request",
        "limits": {"max_allocations": rules.max_attempts, "probes": true, "cancel": true,
            "connect_timeout": micros(scenario.nodes.connect_timeout), "conn_idle": 5_000_000,
            "retry_after": true, "max_retry_after": 2_000_000},
        "contract": {"drain_grace": micros(rules.drain_grace), "cold_share": rules.initial_capacity,
            "ramp_time": micros(rules.ramp_duration), "fall": micros(rules.budget_window),
            "fall_multiple": rules.budget_multiple, "ask_every": micros(rules.notification_timeout)},
        "load_info": {"fields": ["queue", "inflight", "x0"], "source": "pull"},
        "family_info": {"queue_order": "in_order", "tells_start": true},
        "tariffs": {"probe": scenario.nodes.probe_price},
        "project_types": types, "customers": customers,
    });
    match settings {
        Value::Object(settings) => settings,
        _ => Map::new(),
    }
}

/// The whole file of one node.
pub fn config(
    scenario: &Scenario,
    node: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    known: Value,
) -> Value {
    json!({"name": format!("n{node}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.nodes.memory_mb, "sockets": scenario.nodes.max_file_descriptors},
        "known": known, "settings": settings(scenario, node)})
}
