//! A node under settings of either shape: nodes that talk, and what is refused as a mix of both.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use troutknot_emulator::scripted::Act;

fn with(changes: &[(&str, &str, Value)]) -> Value {
    let mut settings = settings();
    for (part, key, value) in changes {
        let at = if part.is_empty() { &mut settings } else { &mut settings[*part] };
        at[*key] = value.clone();
    }
    settings
}

/// A socket of a peer that is played by the test, a free address for the node, and its file.
fn peer() -> (UdpSocket, SocketAddr, String) {
    let [other, free] = [0; 2].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    other.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let (there, at) = (other.local_addr().unwrap(), free.local_addr().unwrap());
    (other, at, write_config_file(&format!("[peers]\nlisten = \"{at}\"\nnodes = [\"{there}\"]\n")))
}

/// One plain line that names the key, at the start; at SIGHUP the old settings go on.
#[test]
fn settings_that_mix_two_shapes_are_refused() {
    let (_other, _, talks) = peer();
    let ledger = write_config_file("").replace(".json", ".ledger");
    let durable = write_config_file(&format!("[durable]\npath = \"{ledger}\"\n"));
    let limits = |key, value| ("limits", key, value);
    let (talk, copies) = (limits("peers", json!(true)), limits("second_copies", json!(true)));
    let cases: &[(Value, &str, &str)] = &[
        (with(std::slice::from_ref(&talk)), "", "`limits.peers`: true needs [peers]"),
        (settings(), &talks, "`limits.peers` is not true"),
        (with(&[copies.clone(), limits("max_allocations", json!(1))]), "", "`limits.max_allocations` of 2"),
        (with(&[copies]), &durable, "`limits.second_copies`: true cannot go with [durable]"),
        (with(&[("", "weight_source", json!("loud"))]), "", "`weight_source`: `loud`; silent"),
        (with(&[talk, ("", "me", json!(4))]), &talks, "`me`: 4 is not under `balancers`"),
    ];
    let (_executor, discovery) = start_executor_and_discovery();
    let old = Node::start(&discovery);
    for (settings, own, part) in cases {
        let mut config = old.config.clone();
        config["settings"] = settings.clone();
        let out = spawn_node_with_operator_file(&write_config_file(&config.to_string()), "info", own)
            .wait_with_output()
            .unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && said.lines().count() == 1 && said.contains(part), "{said}");
        if own.is_empty() {
            old.reload(&config.to_string());
            assert!(old.wait_for_log("new configuration rejected").contains(part), "{part}");
            assert_eq!(
                old.send_request(build_request("render", &next_request_id(), 3.0, "")).0,
                200,
                "the old ones go on"
            );
        }
    }
}

/// What a peer tells is heard; what is of another form, or of nobody that the file names, is passed over. What
/// this node loses on an idle connection it tells.
#[test]
fn nodes_tell_each_other_of_idle_connections_that_are_gone() {
    let settings = with(&[("limits", "peers", json!(true)), ("", "balancers", json!(2))]);
    let (executor, discovery) = start_executor_and_discovery();
    let start = || {
        let (other, at, own) = peer();
        let settings = settings.clone();
        (
            Node::start_with_operator_file(discovery.addr, (256, 64), settings, "info", Value::Null, &own),
            other,
            at,
        )
    };
    let (node, other, at) = start();
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&[1, 1], at).unwrap();
    node.wait_for_log("gossip datagrams dropped");
    other.send_to(&[1; 1000], at).unwrap();
    other.send_to(&[1, 1], at).unwrap();
    node.wait_for_log("idle connections were lost");
    let before = node.skipped_lines.lock().unwrap().join("\n");
    assert!(!before.contains("idle connections were lost"), "only a peer's word counts: {before}");

    let (node, other, at) = start();
    assert_eq!(node.send_request(build_request("publish", &next_request_id(), 3.0, "")).0, 200);
    executor.acts.lock().unwrap().push_back(Act::Break);
    assert_eq!(
        node.send_request(build_request("publish", &next_request_id(), 3.0, "")).0,
        502,
        "it may have run"
    );
    let mut bytes = [0; 300];
    let (length, from) = other.recv_from(&mut bytes).expect("the node tells in time");
    assert_eq!((&bytes[..length], from), (&[1, 1][..], at));
}
