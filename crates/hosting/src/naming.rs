//! The wire's settings under our own names, times in milliseconds. Names that are not listed are skipped.
use serde_json::{Map, Value};
use troutknot::{Given, NamedValues};

enum Kind {
    Number,
    Micros,
    Flag,
    Text,
}
use Kind::*;

/// Wire name, our name, what it holds; a star stands for a place in a list.
const NAMES: &[(&str, &str, Kind)] = &[
    ("balancers", "nodes", Number),
    ("contract.ask_every", "rules.ask_every", Micros),
    ("contract.cold_share", "rules.cold_share", Number),
    ("contract.drain_grace", "rules.drain_grace", Micros),
    ("contract.fall", "rules.fall", Micros),
    ("contract.fall_multiple", "rules.fall_multiple", Number),
    ("contract.ramp_time", "rules.ramp_time", Micros),
    ("customers.*.quota_per_s", "customers.*.share_per_s", Number),
    ("family_info.class_kind.*", "project_types.*.only_kind", Number),
    ("family_info.class_stretch.*", "project_types.*.stretch", Number),
    ("family_info.progress", "executors.progress_every", Micros),
    ("family_info.queue_order", "executors.queue_order", Text),
    ("family_info.tells_start", "executors.tell_start", Flag),
    ("limits.cancel", "limits.cancel", Flag),
    ("limits.conn_idle", "limits.idle_connection", Micros),
    ("limits.connect_timeout", "limits.connect_wait", Micros),
    ("limits.max_allocations", "limits.most_allocations", Number),
    ("limits.max_retry_after", "limits.longest_come_back", Micros),
    ("limits.peers", "limits.peers", Flag),
    ("limits.probes", "limits.probes", Flag),
    ("limits.retry_after", "limits.come_back_told", Flag),
    ("limits.second_copies", "limits.second_copies", Flag),
    ("me", "node", Number),
    ("overage_credit", "credit_over_share", Number),
    ("project_types.*.credit", "project_types.*.credit", Number),
    ("project_types.*.effect", "project_types.*.effect", Text),
    ("project_types.*.hard_limit", "project_types.*.hard_limit", Micros),
    ("project_types.*.key_scope", "project_types.*.repeat_scope", Text),
    ("project_types.*.promised_turnaround", "project_types.*.promised_turnaround", Micros),
    ("project_types.*.tardy_credit", "project_types.*.late_credit", Number),
    ("project_types.*.window", "project_types.*.window", Micros),
    ("registry_mode", "list_mode", Text),
    ("tariffs.cross_zone", "prices.cross_place", Number),
    ("tariffs.late_fail", "prices.late_abort", Number),
    ("tariffs.probe", "prices.probe", Number),
    ("tariffs.waste", "prices.waste", Number),
    ("weight_source", "list_sizes", Text),
    ("zone", "place", Number),
];

/// Values that are words of the wire, and ours for them.
const WORDS: &[(&str, &str, &str)] = &[
    ("effect", "safe", "rerunnable"),
    ("effect", "keyed", "receipted"),
    ("effect", "unsafe", "exclusive"),
    ("repeat_scope", "zone", "place"),
    ("repeat_scope", "cell", "group"),
    ("list_mode", "subscribe", "asked"),
    ("list_mode", "automatic", "told"),
    ("list_sizes", "live", "falling"),
];

pub fn named_values(profile: &Map<String, Value>) -> Result<NamedValues, String> {
    let mut values = NamedValues::default();
    for (key, value) in profile {
        walk(key, &mut Vec::new(), value, &mut values)?;
    }
    Ok(values)
}

fn walk(path: &str, at: &mut Vec<usize>, value: &Value, values: &mut NamedValues) -> Result<(), String> {
    let known = NAMES.iter().find(|(wire, ..)| *wire == path);
    let wrong = || format!("setting `{path}`: {value} is of the wrong type");
    match value {
        Value::Object(_) | Value::Array(_) if known.is_some() => return Err(wrong()),
        Value::Object(fields) => {
            for (key, field) in fields {
                walk(&format!("{path}.{key}"), at, field, values)?;
            }
        }
        Value::Array(items) => {
            for (k, item) in items.iter().enumerate() {
                at.push(k);
                walk(&format!("{path}.*"), at, item, values)?;
                at.pop();
            }
        }
        Value::Null => {}
        _ => {
            if let Some((_, ours, kind)) = known {
                let given = match kind {
                    Number => Given::Number(value.as_f64().ok_or_else(wrong)?),
                    Micros => Given::Number(value.as_f64().ok_or_else(wrong)? / 1000.0),
                    Flag => Given::Flag(value.as_bool().ok_or_else(wrong)?),
                    Text => Given::Text(word(ours, value.as_str().ok_or_else(wrong)?)),
                };
                let mut name = ours.to_string();
                for k in at.iter() {
                    name = name.replacen('*', &k.to_string(), 1);
                }
                values.insert(name, given);
            }
        }
    }
    Ok(())
}

fn word(ours: &str, value: &str) -> String {
    let last = ours.rsplit('.').next().unwrap_or(ours);
    let found = WORDS.iter().find(|(name, wire, _)| *name == last && *wire == value);
    found.map_or(value, |(.., word)| word).to_string()
}
