//! Values of the node file: the seed, durations in the settings, and keys that a reload does not apply.
use super::*;
use serde_json::json;

fn config(changes: &[(&str, serde_json::Value)]) -> NodeConfig {
    let mut file = json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c",
        "limits": {"memory_mb": 64, "sockets": 64}, "settings": {}});
    for (key, value) in changes {
        file[*key] = value.clone();
    }
    serde_json::from_value(file).unwrap()
}

#[test]
fn keys_that_take_effect_only_after_a_restart_are_listed_if_they_differ() {
    let old = config(&[]);
    for (key, value, expected) in [
        ("name", json!("n1"), &["name"][..]),
        ("listen", json!("127.0.0.1:9"), &["listen"]),
        ("management", json!("127.0.0.1:9"), &["management"]),
        ("seed", json!("8d"), &["seed"]),
        ("limits", json!({"memory_mb": 64, "sockets": 65}), &["limits"]),
        ("discovery", json!("127.0.0.1:9"), &[]),
        ("settings", json!({"me": 1}), &[]),
    ] {
        assert_eq!(old.restart_required_keys(&config(&[(key, value)])), expected, "{key}");
    }
}

#[test]
fn a_seed_is_a_hexadecimal_number_of_at_most_64_bits() {
    for (seed, expected) in [("8c", Some(0x8c)), ("ffffffffffffffff", Some(u64::MAX)), ("", None)] {
        assert_eq!(config(&[("seed", json!(seed))]).parse_seed().ok(), expected, "{seed}");
    }
    for seed in ["none", "10000000000000000"] {
        let error = config(&[("seed", json!(seed))]).parse_seed().unwrap_err().to_string();
        assert_eq!(error, format!("`seed` must be a hexadecimal number of at most 64 bits, not `{seed}`"));
    }
}

#[test]
fn a_duration_that_is_missing_negative_or_too_long_is_ignored() {
    assert_eq!(duration_of(Some(1500.0)), Some(Duration::from_millis(1500)));
    for setting in [None, Some(-1.0), Some(MAX_SETTING_MILLIS), Some(f64::NAN)] {
        assert_eq!(duration_of(setting), None, "{setting:?}");
    }
}
