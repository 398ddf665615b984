//! Acceptance of lists by their versions.
use super::*;

fn list(version: u64, is_snapshot: bool) -> EndpointList {
    EndpointList { version, is_snapshot, entries: Vec::new(), dropped_entries: 0 }
}

#[test]
fn repeated_and_outdated_lists_are_ignored() {
    use ListPosition::{First, Later};
    use ListUpdate::{Delta, Snapshot};
    let mut versions = VersionFilter::new(Some(10));
    for (version, is_snapshot, position, expected) in [
        (10, true, First, Some(Snapshot)),
        (9, true, Later, None),
        (10, false, Later, None),
        (11, false, Later, Some(Delta)),
        (11, true, Later, None),
        (4, false, First, None),
        (4, true, First, None),
        (4, true, First, None),
        (4, true, First, Some(Snapshot)),
        (5, false, Later, Some(Delta)),
    ] {
        assert_eq!(
            versions.accept(&list(version, is_snapshot), position),
            expected,
            "{version} {is_snapshot} {position:?}"
        );
    }
}

/// A snapshot is requested in each watch until one is accepted.
#[test]
fn a_snapshot_is_needed_until_one_is_accepted() {
    let mut versions = VersionFilter { is_snapshot_needed: true, ..VersionFilter::new(Some(10)) };
    assert_eq!(versions.accept(&list(11, false), ListPosition::First), Some(ListUpdate::Delta));
    assert_eq!(versions.accept(&list(9, true), ListPosition::First), None, "it is outdated");
    assert!(versions.is_snapshot_needed);
    assert_eq!(versions.accept(&list(11, true), ListPosition::First), Some(ListUpdate::Snapshot));
    assert!(!versions.is_snapshot_needed);
}
