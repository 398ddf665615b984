//! The choice of the executors to retain, over successive updates of the list.
use super::*;
use std::collections::BTreeMap;

const NODE: &str = "n0";

/// The executors that are retained, as the driver stores them.
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

/// A retention with its store, to which each change is applied.
struct Node {
    retention: EndpointRetention,
    store: Store,
}

impl Node {
    fn new(bound: usize, max_unretained: usize) -> Self {
        Node { retention: EndpointRetention::new(NODE, bound, max_unretained), store: Store::default() }
    }

    fn snapshot(&mut self, entries: Vec<EndpointEntry>, dropped: usize) -> RetentionChange {
        let change = self.retention.apply_snapshot(entries, dropped);
        self.store.0.clear();
        self.apply(&change);
        change
    }

    fn delta(&mut self, entries: Vec<EndpointEntry>) -> RetentionChange {
        let change = self.retention.apply_delta(entries, &self.store);
        self.apply(&change);
        change
    }

    fn apply(&mut self, change: &RetentionChange) {
        for entry in &change.entries {
            match entry.is_gone() {
                true => assert!(self.store.0.remove(&entry.id).is_some(), "it was retained"),
                false => _ = self.store.0.insert(entry.id.clone(), entry.clone()),
            }
        }
    }

    fn names(&self) -> Vec<&str> {
        self.store.0.keys().map(CompactString::as_str).collect()
    }
}

fn entry(name: &str, state: &str) -> EndpointEntry {
    EndpointEntry::new(name, "10.0.0.1:1", state)
}

fn ready(names: &[&str]) -> Vec<EndpointEntry> {
    names.iter().map(|name| entry(name, "Ready")).collect()
}

fn fleet(count: usize) -> Vec<EndpointEntry> {
    (0..count).map(|number| entry(&format!("s-{number:04}"), "Ready")).collect()
}

/// The names that the node would choose to retain out of all listed ones.
fn preferred(listed: &BTreeMap<CompactString, EndpointEntry>, bound: usize) -> Vec<&str> {
    let retention = Retention::for_node(NODE);
    let mut ranked: Vec<&EndpointEntry> = listed.values().collect();
    ranked.sort_by_key(|entry| std::cmp::Reverse(rank(&retention, entry)));
    let mut names: Vec<&str> = ranked.into_iter().take(bound).map(|entry| entry.id.as_str()).collect();
    names.sort_unstable();
    names
}

/// A linear congruential generator, so that a failure can name its seed.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}

#[test]
fn a_list_within_the_bound_is_retained_as_it_is() {
    let mut node = Node::new(4, 2);
    let list = vec![entry("c", "Ready"), entry("a", "Terminating"), entry("b", "odd")];
    assert_eq!(
        node.snapshot(list.clone(), 0),
        RetentionChange { entries: list, ..RetentionChange::default() }
    );
    let changes = vec![entry("d", "Ready"), entry("c", "Gone"), entry("e", "Ready"), entry("a", "Ready")];
    assert_eq!(
        node.delta(changes.clone()),
        RetentionChange { entries: changes, ..RetentionChange::default() }
    );
    assert_eq!(node.delta(vec![entry("f", "Gone")]), RetentionChange::default(), "it was never listed");
    let statistics = RetentionStatistics { listed: 4, retained: 4, unretained: 0, bound: 4 };
    assert_eq!((node.retention.statistics(), node.names()), (statistics, vec!["a", "b", "d", "e"]));
}

/// After each update, the retained executors have to be those that a choice among all listed ones gives, and only the
/// changes may be returned.
#[test]
fn the_preferred_executors_are_retained_after_any_change() {
    const BOUND: usize = 20;
    for seed in 0..200 {
        let (mut random, mut node) = (Random(seed), Node::new(BOUND, 60));
        let mut listed: BTreeMap<CompactString, EndpointEntry> = BTreeMap::new();
        for step in 0..40 {
            let before: Vec<String> = node.names().into_iter().map(str::to_string).collect();
            let count = 1 + random.below(12);
            let mut changed = BTreeMap::new();
            for _ in 0..count {
                let state = ["Ready", "Ready", "Ready", "Terminating", "Gone"][random.below(5)];
                let entry = entry(&format!("s-{}", random.below(60)), state);
                changed.insert(entry.id.clone(), entry);
            }
            let is_snapshot = random.below(10) == 0;
            if is_snapshot {
                listed.clear();
            }
            for (name, entry) in &changed {
                match entry.is_gone() {
                    true => _ = listed.remove(name),
                    false => _ = listed.insert(name.clone(), entry.clone()),
                }
            }
            let entries: Vec<EndpointEntry> = changed.into_values().collect();
            let change = if is_snapshot { node.snapshot(entries, 0) } else { node.delta(entries) };
            assert!(!change.needs_snapshot && change.duplicates == 0, "seed {seed} step {step}");
            let expected = preferred(&listed, BOUND);
            assert_eq!(node.names(), expected, "seed {seed} step {step}");
            assert!(node.store.0.iter().all(|(name, entry)| listed.get(name) == Some(entry)));
            let (retained, total) = (expected.len(), listed.len());
            let statistics =
                RetentionStatistics { listed: total, retained, unretained: total - retained, bound: BOUND };
            assert_eq!(node.retention.statistics(), statistics, "seed {seed} step {step}");
            let lost = before.iter().filter(|name| !expected.contains(&name.as_str())).count();
            let gone = change.entries.iter().filter(|entry| entry.is_gone()).count();
            assert!(is_snapshot || gone == lost, "seed {seed} step {step}: {gone} of {lost} are gone");
        }
    }
}

#[test]
fn the_replacement_of_one_executor_changes_at_most_one_that_is_retained() {
    let mut node = Node::new(100, 50);
    node.snapshot(fleet(150), 0);
    for number in 0..150 {
        let before: Vec<String> = node.names().into_iter().map(str::to_string).collect();
        let (old, new) = (format!("s-{number:04}"), format!("t-{number:04}"));
        let change = node.delta(vec![entry(&old, "Gone"), entry(&new, "Ready")]);
        let lost: Vec<&String> =
            before.iter().filter(|name| !node.names().contains(&name.as_str())).collect();
        assert!(lost.len() <= 1 && change.entries.len() <= 2, "{lost:?}: {change:?}");
        assert_eq!(node.names().len(), 100);
    }
}

#[test]
fn a_draining_executor_never_displaces_one_that_is_ready() {
    let mut node = Node::new(3, 9);
    node.snapshot(ready(&["a", "b", "c"]), 0);
    let drains = ["d", "e", "f", "g"].map(|name| entry(name, "Terminating"));
    assert_eq!(node.delta(drains.to_vec()).entries, [], "none of them displaces another");
    node.delta(vec![entry("b", "Terminating")]);
    assert!(node.names().contains(&"a") && node.names().contains(&"c"));
    // Each ready executor is preferred to all that drain.
    let change = node.delta(ready(&["h"])).entries;
    assert_eq!(node.names(), ["a", "c", "h"]);
    assert!(change.iter().any(|entry| entry.is_gone()), "an executor is displaced: {change:?}");
}

/// The entry of a displaced executor has to keep its start, its address and its deduplication group.
#[test]
fn an_executor_that_is_displaced_and_retained_again_has_the_entry_that_was_listed() {
    let mut node = Node::new(2, 9);
    let mut list = vec![entry("a", "Terminating"), entry("b", "Ready")];
    (list[0].started_at, list[0].deduplication_group) = (Some(7.0), Some(3));
    node.snapshot(list.clone(), 0);
    let change = node.delta(ready(&["c"])).entries;
    assert_eq!(change[0], list[0].clone().into_gone());
    assert_eq!(node.delta(vec![entry("c", "Gone")]).entries[1], list[0]);
}

#[test]
fn of_duplicate_entries_of_one_executor_the_last_one_is_used() {
    let mut node = Node::new(2, 2);
    let list = vec![entry("a", "Ready"), entry("b", "Ready"), entry("a", "Terminating"), entry("a", "Ready")];
    let change = node.snapshot(list, 0);
    assert_eq!((change.duplicates, node.retention.statistics().retained), (2, 2));
    let change = node.delta(vec![entry("a", "Gone"), entry("c", "Ready"), entry("a", "Terminating")]);
    assert_eq!(change.duplicates, 1);
    assert_eq!(node.names(), ["b", "c"], "a drains, and c is ready");
    assert_eq!(node.retention.statistics().listed, 3);
}

#[test]
fn a_snapshot_is_requested_once_when_the_cached_entries_are_used_up() {
    let mut node = Node::new(10, 5);
    node.snapshot(fleet(18), 2);
    assert_eq!(
        node.retention.statistics(),
        RetentionStatistics { listed: 20, retained: 10, unretained: 10, bound: 10 }
    );
    assert_eq!(node.retention.unretained().count(), 5);
    // The five cached entries replace the first five executors that are gone.
    let mut requested = Vec::new();
    for number in 0..10 {
        let name = node.names()[0].to_string();
        let change = node.delta(vec![entry(&name, "Gone")]);
        assert_eq!(node.retention.statistics().retained, if number < 5 { 10 } else { 14 - number });
        requested.push(change.needs_snapshot);
    }
    assert_eq!(requested, [vec![false; 5], vec![true], vec![false; 4]].concat(), "once, until it arrives");
    node.snapshot(fleet(9), 0);
    assert_eq!(
        node.retention.statistics(),
        RetentionStatistics { listed: 9, retained: 9, unretained: 0, bound: 10 }
    );
}

#[test]
fn an_executor_without_a_free_handle_waits_for_one() {
    let mut node = Node::new(2, 2);
    let selected = node.retention.apply_snapshot(ready(&["a", "b"]), 0);
    for entry in selected.entries {
        node.retention.defer(entry);
    }
    assert_eq!(
        node.retention.statistics(),
        RetentionStatistics { listed: 2, retained: 0, unretained: 2, bound: 2 }
    );
    assert!(node.retention.has_retainable_entry() && node.retention.unretained_entry("a").is_some());
    node.delta(Vec::new());
    assert!(!node.retention.has_retainable_entry());
    assert_eq!(node.names(), ["a", "b"]);
}
