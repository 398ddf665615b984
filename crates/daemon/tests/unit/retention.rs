//! Who is kept and who is left out, list after list.
use super::*;
use std::collections::BTreeMap;

const NODE: &str = "n0";

/// The executors that are kept, as the driver holds them.
#[derive(Default)]
struct Store(BTreeMap<CompactString, EndpointEntry>);

impl RetainedEntries for Store {
    fn entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.0.get(name)
    }

    fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.0.values()
    }
}

/// A selection with its store, which takes what is selected.
struct Node {
    retention: EndpointRetention,
    store: Store,
}

impl Node {
    fn new(bound: usize, most_left_out: usize) -> Self {
        Node { retention: EndpointRetention::new(NODE, bound, most_left_out), store: Store::default() }
    }

    fn whole(&mut self, entries: Vec<EndpointEntry>, beyond: usize) -> RetentionChange {
        let selected = self.retention.apply_snapshot(entries, beyond);
        self.store.0.clear();
        self.take(&selected);
        selected
    }

    fn changes(&mut self, entries: Vec<EndpointEntry>) -> RetentionChange {
        let selected = self.retention.apply_delta(entries, &self.store);
        self.take(&selected);
        selected
    }

    fn take(&mut self, selected: &RetentionChange) {
        for entry in &selected.entries {
            match entry.is_gone() {
                true => assert!(self.store.0.remove(&entry.id).is_some(), "it was kept"),
                false => _ = self.store.0.insert(entry.id.clone(), entry.clone()),
            }
        }
    }

    fn names(&self) -> Vec<&str> {
        self.store.0.keys().map(CompactString::as_str).collect()
    }
}

fn entry(name: &str, state: &str) -> EndpointEntry {
    EndpointEntry::of(name, "10.0.0.1:1", state)
}

fn ready(names: &[&str]) -> Vec<EndpointEntry> {
    names.iter().map(|name| entry(name, "Ready")).collect()
}

fn fleet(count: usize) -> Vec<EndpointEntry> {
    (0..count).map(|number| entry(&format!("s-{number:04}"), "Ready")).collect()
}

/// The names that the node would keep of all that are listed.
fn best(listed: &BTreeMap<CompactString, EndpointEntry>, bound: usize) -> Vec<&str> {
    let retention = Retention::of_node(NODE);
    let mut ranked: Vec<&EndpointEntry> = listed.values().collect();
    ranked.sort_by_key(|entry| std::cmp::Reverse(rank(&retention, entry)));
    let mut names: Vec<&str> = ranked.into_iter().take(bound).map(|entry| entry.id.as_str()).collect();
    names.sort_unstable();
    names
}

/// A small generator, so that a failure names its seed.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}

#[test]
fn a_list_within_the_bound_passes_as_it_is() {
    let mut node = Node::new(4, 2);
    let list = vec![entry("c", "Ready"), entry("a", "Terminating"), entry("b", "odd")];
    assert_eq!(node.whole(list.clone(), 0), RetentionChange { entries: list, ..RetentionChange::default() });
    let changes = vec![entry("d", "Ready"), entry("c", "Gone"), entry("e", "Ready"), entry("a", "Ready")];
    assert_eq!(
        node.changes(changes.clone()),
        RetentionChange { entries: changes, ..RetentionChange::default() }
    );
    assert_eq!(node.changes(vec![entry("f", "Gone")]), RetentionChange::default(), "one that never was");
    let figures = RetentionStatistics { listed: 4, kept: 4, left_out: 0, bound: 4 };
    assert_eq!((node.retention.statistics(), node.names()), (figures, vec!["a", "b", "d", "e"]));
}

/// After every list those are kept that a choice among all would keep, by the last word on each, and the
/// difference is all that is told.
#[test]
fn whatever_changes_the_best_are_kept() {
    const BOUND: usize = 20;
    for seed in 0..200 {
        let (mut draws, mut node) = (Draws(seed), Node::new(BOUND, 60));
        let mut listed: BTreeMap<CompactString, EndpointEntry> = BTreeMap::new();
        for step in 0..40 {
            let before: Vec<String> = node.names().into_iter().map(str::to_string).collect();
            let many = 1 + draws.below(12);
            let mut change = BTreeMap::new();
            for _ in 0..many {
                let state = ["Ready", "Ready", "Ready", "Terminating", "Gone"][draws.below(5)];
                let entry = entry(&format!("s-{}", draws.below(60)), state);
                change.insert(entry.id.clone(), entry);
            }
            let is_whole = draws.below(10) == 0;
            if is_whole {
                listed.clear();
            }
            for (name, entry) in &change {
                match entry.is_gone() {
                    true => _ = listed.remove(name),
                    false => _ = listed.insert(name.clone(), entry.clone()),
                }
            }
            let entries: Vec<EndpointEntry> = change.into_values().collect();
            let told = if is_whole { node.whole(entries, 0) } else { node.changes(entries) };
            assert!(!told.needs_snapshot && told.repeated == 0, "seed {seed} step {step}");
            let expected = best(&listed, BOUND);
            assert_eq!(node.names(), expected, "seed {seed} step {step}");
            assert!(node.store.0.iter().all(|(name, entry)| listed.get(name) == Some(entry)));
            let (kept, all) = (expected.len(), listed.len());
            let figures = RetentionStatistics { listed: all, kept, left_out: all - kept, bound: BOUND };
            assert_eq!(node.retention.statistics(), figures, "seed {seed} step {step}");
            let lost = before.iter().filter(|name| !expected.contains(&name.as_str())).count();
            let gone = told.entries.iter().filter(|entry| entry.is_gone()).count();
            assert!(is_whole || gone == lost, "seed {seed} step {step}: {gone} of {lost} are told gone");
        }
    }
}

#[test]
fn one_executor_replaced_changes_one_that_is_kept_at_most() {
    let mut node = Node::new(100, 50);
    node.whole(fleet(150), 0);
    for number in 0..150 {
        let before: Vec<String> = node.names().into_iter().map(str::to_string).collect();
        let (old, new) = (format!("s-{number:04}"), format!("t-{number:04}"));
        let told = node.changes(vec![entry(&old, "Gone"), entry(&new, "Ready")]);
        let lost: Vec<&String> =
            before.iter().filter(|name| !node.names().contains(&name.as_str())).collect();
        assert!(lost.len() <= 1 && told.entries.len() <= 2, "{lost:?}: {told:?}");
        assert_eq!(node.names().len(), 100);
    }
}

#[test]
fn who_drains_goes_first_and_takes_no_place_of_one_that_is_ready() {
    let mut node = Node::new(3, 9);
    node.whole(ready(&["a", "b", "c"]), 0);
    let drains = ["d", "e", "f", "g"].map(|name| entry(name, "Terminating"));
    assert_eq!(node.changes(drains.to_vec()).entries, [], "none of them takes a place");
    node.changes(vec![entry("b", "Terminating")]);
    assert!(node.names().contains(&"a") && node.names().contains(&"c"));
    // Of those that drain the node keeps the first in its order; each that is ready comes before them.
    let told = node.changes(ready(&["h"])).entries;
    assert_eq!(node.names(), ["a", "c", "h"]);
    assert!(told.iter().any(|entry| entry.is_gone()), "it is told that it has lost its place: {told:?}");
}

/// One that loses its place keeps its figures: they tell its start, its address and its place.
#[test]
fn one_that_loses_its_place_and_gets_it_again_is_as_it_was_listed() {
    let mut node = Node::new(2, 9);
    let mut list = vec![entry("a", "Terminating"), entry("b", "Ready")];
    (list[0].started_ms, list[0].cell) = (Some(7.0), Some(3));
    node.whole(list.clone(), 0);
    let told = node.changes(ready(&["c"])).entries;
    assert_eq!(told[0], list[0].clone().into_gone());
    assert_eq!(node.changes(vec![entry("c", "Gone")]).entries[1], list[0]);
}

#[test]
fn names_that_a_list_repeats_are_one_executor_and_the_last_word_counts() {
    let mut node = Node::new(2, 2);
    let list = vec![entry("a", "Ready"), entry("b", "Ready"), entry("a", "Terminating"), entry("a", "Ready")];
    let told = node.whole(list, 0);
    assert_eq!((told.repeated, node.retention.statistics().kept), (2, 2));
    let told = node.changes(vec![entry("a", "Gone"), entry("c", "Ready"), entry("a", "Terminating")]);
    assert_eq!(told.repeated, 1);
    assert_eq!(node.names(), ["b", "c"], "it drains, and another one is ready");
    assert_eq!(node.retention.statistics().listed, 3);
}

#[test]
fn past_what_is_held_the_whole_list_is_asked_for_once() {
    let mut node = Node::new(10, 5);
    node.whole(fleet(18), 2);
    assert_eq!(
        node.retention.statistics(),
        RetentionStatistics { listed: 20, kept: 10, left_out: 10, bound: 10 }
    );
    assert_eq!(node.retention.unretained().count(), 5);
    // The five that are held come in for the first five that go.
    let mut asked = Vec::new();
    for number in 0..10 {
        let name = node.names()[0].to_string();
        let told = node.changes(vec![entry(&name, "Gone")]);
        assert_eq!(node.retention.statistics().kept, if number < 5 { 10 } else { 14 - number });
        asked.push(told.needs_snapshot);
    }
    assert_eq!(asked, [vec![false; 5], vec![true], vec![false; 4]].concat(), "once, until it comes");
    node.whole(fleet(9), 0);
    assert_eq!(
        node.retention.statistics(),
        RetentionStatistics { listed: 9, kept: 9, left_out: 0, bound: 10 }
    );
}

#[test]
fn one_that_finds_no_handle_waits_until_there_is_one() {
    let mut node = Node::new(2, 2);
    let selected = node.retention.apply_snapshot(ready(&["a", "b"]), 0);
    for entry in selected.entries {
        node.retention.defer(entry);
    }
    assert_eq!(
        node.retention.statistics(),
        RetentionStatistics { listed: 2, kept: 0, left_out: 2, bound: 2 }
    );
    assert!(node.retention.has_waiting() && node.retention.unretained_entry("a").is_some());
    node.changes(Vec::new());
    assert!(!node.retention.has_waiting());
    assert_eq!(node.names(), ["a", "b"]);
}
