//! Merging of lists from several sources that contradict each other.
use super::*;

#[test]
fn the_strictest_state_and_the_entry_with_the_highest_precedence_are_used() {
    let mut merge = EndpointMerge::new(3);
    let mut apply = |precedence, kind, entries: &[(&str, &str, &str)]| {
        let entries = entries.iter().map(|(id, addr, state)| EndpointEntry::new(id, addr, state)).collect();
        let changes: Vec<String> = merge
            .apply(precedence, kind, entries)
            .into_iter()
            .map(|entry| format!("{} {} {}", entry.id, entry.address, entry.state))
            .collect();
        changes.join(", ")
    };
    use ListUpdate::{Delta, Snapshot};
    assert_eq!(
        apply(1, Snapshot, &[("a", "two", "Ready"), ("b", "two", "Ready")]),
        "a two Ready, b two Ready"
    );
    assert_eq!(apply(0, Snapshot, &[("a", "one", "Ready")]), "a one Ready", "the entry of the first source");
    assert_eq!(apply(1, Delta, &[("a", "two", "Terminating")]), "a one Terminating", "one source drains it");
    assert_eq!(apply(1, Delta, &[("a", "two", "Ready")]), "a one Ready");
    assert_eq!(apply(1, Snapshot, &[("b", "two", "Ready")]), "a one Terminating", "gone from one source");
    assert_eq!(apply(0, Snapshot, &[]), "a one Gone", "gone from both sources");
    assert_eq!(apply(1, Delta, &[("b", "two", "Ready")]), "", "no change");
    assert_eq!(apply(1, Delta, &[("a", "two", "Ready")]), "a two Ready", "listed again");
    let more = [("c", "two", "Ready"), ("d", "two", "Ready"), ("b", "two", "Terminating")];
    assert_eq!(apply(1, Delta, &more), "c two Ready, b two Terminating", "no more than the bound");
}
