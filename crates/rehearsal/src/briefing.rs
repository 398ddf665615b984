//! What a node is told at its start, in the platform's words (`config.json`).
use crate::scenario::{Effect, RepeatScope, Scenario};
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
        if !kinds.contains(&group.get_ref().kind) {
            kinds.push(group.get_ref().kind.clone());
        }
    }
    kinds
}

/// The settings that a node of a scenario is told.
pub fn settings(scenario: &Scenario, node: usize) -> Map<String, Value> {
    let rules = &scenario.rules;
    let types: Vec<Value> = scenario
        .project_types
        .iter()
        .map(|t| t.get_ref())
        .map(|t| {
            let effect = match t.effect {
                Effect::Rerunnable => "safe",
                Effect::Receipted => "keyed",
                Effect::Exclusive => "unsafe",
            };
            let scope = match t.repeat_scope {
                RepeatScope::All => "all",
                RepeatScope::Place => "zone",
                RepeatScope::Group => "cell",
            };
            json!({"name": t.name, "effect": effect, "key_scope": scope, "window": micros(t.window),
                "hard_limit": micros(t.hard_limit), "promised_turnaround": micros(t.promised_turnaround),
                "credit": t.credit})
        })
        .collect();
    let customers: Vec<Value> =
        scenario.customers.iter().map(|c| json!({"name": c.get_ref().name})).collect();
    let settings = json!({
        "balancers": scenario.nodes.count, "me": node, "zone": 0, "failure_domains": [PLACE],
        "kinds": kinds(scenario), "registry_mode": "subscribe", "credit_by": "request",
        "limits": {"max_allocations": rules.most_allocations, "probes": true, "cancel": true,
            "connect_timeout": micros(scenario.nodes.connect_wait), "conn_idle": 5_000_000,
            "retry_after": true, "max_retry_after": 2_000_000},
        "contract": {"drain_grace": micros(rules.drain_grace), "cold_share": rules.cold_share,
            "ramp_time": micros(rules.ramp), "fall": micros(rules.fall_window),
            "fall_multiple": rules.fall_multiple, "ask_every": micros(rules.told_at_latest)},
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
        "limits": {"cores": 1.0, "memory_mb": scenario.nodes.memory_mb, "sockets": scenario.nodes.descriptors},
        "known": known, "settings": settings(scenario, node)})
}
