//! Retries of deduplicated requests after a crash, with executors of several groups and zones.
#![allow(clippy::unwrap_used)]
mod common;

use common::durable::*;
use common::*;
use serde_json::{Value, json};
use std::io::Write;
use troutknot_emulator::scripted::{Action, Discovery, Executor};

/// A class whose repeats executors recognize within one `scope`.
fn settings_with_scope(scope: &str) -> Value {
    let mut settings = settings();
    settings["failure_domains"] = json!(["z", "y"]);
    settings["project_types"][0] = json!({"name": "render", "effect": "keyed", "key_scope": scope,
        "hard_limit": 30_000_000, "promised_turnaround": 2_000_000, "credit": 1.0, "window": 20_000_000});
    settings
}

/// Where a list places an executor; a value that is `None` is missing from its entry.
#[derive(Clone, Copy)]
struct Place {
    zone: Option<&'static str>,
    cell: Option<u32>,
}

const FIRST: Place = Place { zone: Some("z"), cell: Some(0) };
const OTHER: Place = Place { zone: Some("y"), cell: Some(3) };
const UNKNOWN: Place = Place { zone: None, cell: None };
/// Of a zone that the settings do not list.
const UNLISTED: Place = Place { zone: Some("x"), cell: Some(3) };

fn entry_in(name: &str, executor: &Executor, place: Place) -> Value {
    let mut entry = entry(name, executor, "Ready");
    (entry["zone"], entry["cell"]) = (json!(place.zone), json!(place.cell));
    entry
}

fn send_keyed_request(node: &Node, id: &str) -> u16 {
    node.send_request(build_keyed_request("render", id, "k1", "")).0
}

/// A recovered request must not run in a second group or zone: an executor that the list no longer names, or that the
/// list names without them, was taken for one of the first group and zone.
#[test]
fn a_recovered_request_is_not_sent_to_a_domain_that_its_first_executor_is_not_known_to_share() {
    let cases = [
        ("cell", OTHER, None, FIRST),
        ("zone", OTHER, None, FIRST),
        ("cell", OTHER, None, UNKNOWN),
        ("zone", OTHER, None, UNKNOWN),
        ("zone", UNLISTED, Some(UNLISTED), Place { zone: Some("w"), cell: Some(3) }),
        ("cell", UNKNOWN, Some(UNKNOWN), FIRST),
    ];
    for (number, (scope, first_place, listed_again, second_place)) in cases.into_iter().enumerate() {
        let (first, second) = (Executor::start(), Executor::start());
        let discovery = Discovery::start(list(7, true, &[entry_in("s-1", &first, first_place)]));
        let files = create_durable_files("effects = [\"receipted\"]");
        let node = start_node_with_settings(&discovery, &files, settings_with_scope(scope));
        first.actions.lock().unwrap().push_back(Action::Silent);
        let mut client = node.connect();
        client.get_mut().write_all(build_keyed_request("render", "a1", "k1", "").as_bytes()).unwrap();
        first.wait_for_attempts(1);
        kill_node(node);
        let mut entries = vec![entry_in("s-2", &second, second_place)];
        entries.extend(listed_again.map(|place| {
            let mut entry = entry_in("s-1", &first, place);
            entry["state"] = json!("Terminating");
            entry
        }));
        let discovery = Discovery::start(list(8, true, &entries));
        let node = start_node_with_settings(&discovery, &files, settings_with_scope(scope));
        assert_eq!(send_keyed_request(&node, "a2"), 502, "case {number}: it may have run");
        assert!(second.requests.lock().unwrap().is_empty(), "case {number}: it ran in two domains");
    }
}

/// Guards against requests that fail after a crash although an executor is known to recognize their repeat.
#[test]
fn a_recovered_request_is_retried_in_the_domain_of_its_first_executor() {
    for scope in ["cell", "zone"] {
        let (first, other, same) = (Executor::start(), Executor::start(), Executor::start());
        let discovery = Discovery::start(list(7, true, &[entry_in("s-1", &first, OTHER)]));
        let files = create_durable_files("effects = [\"receipted\"]");
        let node = start_node_with_settings(&discovery, &files, settings_with_scope(scope));
        first.actions.lock().unwrap().push_back(Action::Silent);
        let mut client = node.connect();
        client.get_mut().write_all(build_keyed_request("render", "a1", "k1", "").as_bytes()).unwrap();
        first.wait_for_attempts(1);
        kill_node(node);
        let mut draining = entry_in("s-1", &first, OTHER);
        draining["state"] = json!("Terminating");
        let entries = [draining, entry_in("s-2", &other, FIRST), entry_in("s-3", &same, OTHER)];
        let discovery = Discovery::start(list(8, true, &entries));
        let node = start_node_with_settings(&discovery, &files, settings_with_scope(scope));
        assert_eq!(send_keyed_request(&node, "a2"), 200, "{scope}");
        assert_eq!(other.requests.lock().unwrap().len(), 0, "{scope}");
        assert_eq!(same.requests.lock().unwrap().len(), 1, "{scope}");
    }
}
