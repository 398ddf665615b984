//! Several sources of one list that disagree.
use super::*;

#[test]
fn sources_that_disagree_are_settled_by_the_strictest_word_and_the_first_figures() {
    let entry = |id: &str, addr: &str, state: &str| EndpointEntry::of(id, addr, state);
    let mut merge = EndpointMerge::new(3);
    let mut said = |source, kind, entries: &[(&str, &str, &str)]| {
        let entries = entries.iter().map(|(id, addr, state)| entry(id, addr, state)).collect();
        let changes: Vec<String> = merge
            .take(source, kind, entries)
            .into_iter()
            .map(|e| format!("{} {} {}", e.id, e.addr, e.state))
            .collect();
        changes.join(", ")
    };
    use ListUpdate::{Delta, Snapshot};
    assert_eq!(
        said(1, Snapshot, &[("a", "two", "Ready"), ("b", "two", "Ready")]),
        "a two Ready, b two Ready"
    );
    assert_eq!(said(0, Snapshot, &[("a", "one", "Ready")]), "a one Ready", "the first one's figures");
    assert_eq!(said(1, Delta, &[("a", "two", "Terminating")]), "a one Terminating", "any word counts");
    assert_eq!(said(1, Delta, &[("a", "two", "Ready")]), "a one Ready");
    assert_eq!(said(1, Snapshot, &[("b", "two", "Ready")]), "a one Terminating", "let go by one");
    assert_eq!(said(0, Snapshot, &[]), "a one Gone", "and by both");
    assert_eq!(said(1, Delta, &[("b", "two", "Ready")]), "", "nothing twice");
    assert_eq!(said(1, Delta, &[("a", "two", "Ready")]), "a two Ready", "back");
    let more = [("c", "two", "Ready"), ("d", "two", "Ready"), ("b", "two", "Terminating")];
    assert_eq!(said(1, Delta, &more), "c two Ready, b two Terminating", "no more than are kept in mind");
}
