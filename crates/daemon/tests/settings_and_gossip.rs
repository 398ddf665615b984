//! Gossip between nodes, and settings that contradict each other or the operator's file.
#![allow(clippy::unwrap_used)]
mod common;

use common::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use troutknot_emulator::scripted::Action;

/// The default settings with these changes, each of a section, or of the top level if that is empty.
fn settings_with(changes: &[(&str, &str, Value)]) -> Value {
    let mut settings = settings();
    for (section, key, value) in changes {
        let target = if section.is_empty() { &mut settings } else { &mut settings[*section] };
        target[*key] = value.clone();
    }
    settings
}

/// A socket of a peer that the test simulates, a free address for the node, and the path of an operator's file with
/// both.
fn open_peer_socket() -> (UdpSocket, SocketAddr, String) {
    let [peer, free] = [0; 2].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let (peer_address, node_address) = (peer.local_addr().unwrap(), free.local_addr().unwrap());
    let operator_file = format!("[peers]\nlisten = \"{node_address}\"\nnodes = [\"{peer_address}\"]\n");
    (peer, node_address, write_config_file(&operator_file))
}

/// Contradicting settings are reported in one line that names the key: at the start the process ends, and at SIGHUP
/// the settings in force stay.
#[test]
fn contradicting_settings_are_rejected_at_the_start_and_at_sighup() {
    let (_peer, _, gossips) = open_peer_socket();
    let ledger = write_config_file("").replace(".json", ".ledger");
    let durable = write_config_file(&format!("[durable]\npath = \"{ledger}\"\n"));
    let limits = |key, value| ("limits", key, value);
    let (gossip, hedging) = (limits("peers", json!(true)), limits("second_copies", json!(true)));
    let cases: &[(Value, &str, &str)] = &[
        (settings_with(std::slice::from_ref(&gossip)), "", "`limits.peers`: true needs [peers]"),
        (settings(), &gossips, "`limits.peers` is not true"),
        (
            settings_with(&[hedging.clone(), limits("max_allocations", json!(1))]),
            "",
            "`limits.max_allocations` of 2",
        ),
        (settings_with(&[hedging]), &durable, "`limits.second_copies`: true cannot go with [durable]"),
        (settings_with(&[("", "weight_source", json!("loud"))]), "", "`weight_source`: `loud`; silent"),
        (settings_with(&[gossip, ("", "me", json!(4))]), &gossips, "`me`: 4 is not below `balancers`"),
    ];
    let (_executor, discovery) = start_executor_and_discovery();
    let node = Node::start(&discovery);
    for (settings, operator_file, expected) in cases {
        let mut config = node.config.clone();
        config["settings"] = settings.clone();
        let output =
            spawn_node_with_operator_file(&write_config_file(&config.to_string()), "info", operator_file)
                .wait_with_output()
                .unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && error.lines().count() == 1 && error.contains(expected),
            "{error}"
        );
        if operator_file.is_empty() {
            node.reload(&config.to_string());
            assert!(node.wait_for_log("new configuration rejected").contains(expected), "{expected}");
            assert_eq!(
                node.send_request(build_request("render", &next_request_id(), 3.0, "")).0,
                200,
                "the settings in force stay"
            );
        }
    }
}

/// A notice of a peer that idle connections were lost is applied. Malformed datagrams and those of senders that the
/// operator's file does not name are dropped. The node sends its peers a notice when it loses an idle connection
/// itself.
#[test]
fn nodes_notify_each_other_of_lost_idle_connections() {
    let settings = settings_with(&[("limits", "peers", json!(true)), ("", "balancers", json!(2))]);
    let (executor, discovery) = start_executor_and_discovery();
    let start = || {
        let (peer, node_address, operator_file) = open_peer_socket();
        let settings = settings.clone();
        let node = Node::start_with_operator_file(
            discovery.addr,
            (256, 64),
            settings,
            "info",
            Value::Null,
            &operator_file,
        );
        (node, peer, node_address)
    };
    let (node, peer, node_address) = start();
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&[1, 1], node_address).unwrap();
    node.wait_for_log("gossip datagrams dropped");
    peer.send_to(&[1; 1000], node_address).unwrap();
    peer.send_to(&[1, 1], node_address).unwrap();
    node.wait_for_log("idle connections were lost");
    let earlier_lines = node.skipped_lines.lock().unwrap().join("\n");
    assert!(
        !earlier_lines.contains("idle connections were lost"),
        "only notices of peers are applied: {earlier_lines}"
    );

    let (node, peer, node_address) = start();
    assert_eq!(node.send_request(build_request("publish", &next_request_id(), 3.0, "")).0, 200);
    executor.actions.lock().unwrap().push_back(Action::CloseConnection);
    assert_eq!(
        node.send_request(build_request("publish", &next_request_id(), 3.0, "")).0,
        502,
        "the request may have run"
    );
    let mut bytes = [0; 300];
    let (length, sender) = peer.recv_from(&mut bytes).expect("the node sends a notice in time");
    assert_eq!((&bytes[..length], sender), (&[1, 1][..], node_address));
}
