//! Exclusions by operators and the entries that are effective with them.
use super::*;
use crate::protocol::endpoint_state::READY;
use troutknot_membership::ExecutorRegistry;

#[test]
fn an_excluded_executor_drains_in_any_listed_state_until_it_is_admitted_again() {
    let mut membership = Membership::default();
    let executor = ExecutorRegistry::default().register("a");
    let update = |membership: &mut Membership, state: &str| {
        membership.update(executor, EndpointEntry::new("a", "x", state)).state
    };
    assert_eq!(update(&mut membership, READY), READY);
    let excluded = membership.set_excluded(Some(executor), "a", true).expect("the entry changes");
    assert_eq!(membership.update(executor, excluded).state, DRAINING);
    assert!(membership.set_excluded(Some(executor), "a", true).is_none(), "it is excluded already");
    for (state, effective) in [(GONE, GONE), (READY, DRAINING), (DRAINING, DRAINING), (READY, DRAINING)] {
        assert_eq!(update(&mut membership, state), effective, "{state}");
    }
    membership.mark_gone(executor);
    let admitted = membership.set_excluded(Some(executor), "a", false).expect("one call reverts both");
    assert_eq!(admitted.state, "Gone", "the state that is listed by then");
    assert!(
        membership.set_excluded(Some(executor), "a", false).is_none() && membership.excluded().is_empty()
    );
    assert_eq!(update(&mut membership, READY), READY);
    // An exclusion of an earlier process, of an executor that is not listed yet.
    let mut next = Membership::default();
    next.import_excluded(["a".to_string()].into());
    assert_eq!(update(&mut next, READY), DRAINING);
}

/// An executor that is excluded before or after it is gone is excluded when it is listed under another handle.
#[test]
fn an_exclusion_remains_by_name_while_the_executor_is_gone() {
    for is_excluded_while_gone in [false, true] {
        let (mut registry, mut membership) = (ExecutorRegistry::default(), Membership::default());
        let first = registry.register("a");
        membership.update(first, EndpointEntry::new("a", "x", READY));
        if !is_excluded_while_gone {
            membership.set_excluded(Some(first), "a", true);
        }
        membership.mark_gone(first);
        membership.release(first);
        registry.release(first);
        if is_excluded_while_gone {
            assert!(membership.set_excluded(None, "a", true).is_none(), "it is not listed");
        }
        assert_eq!(membership.listed().count(), 0);
        let second = registry.register("a");
        assert_ne!(first, second);
        assert_eq!(
            membership.update(second, EndpointEntry::new("a", "x", READY)).state,
            DRAINING,
            "{is_excluded_while_gone}"
        );
        membership.release(second);
        assert!(membership.set_excluded(None, "a", false).is_none() && membership.excluded().is_empty());
        assert!(membership.excluded_absent.is_empty());
    }
}

#[test]
fn excluded_names_that_are_not_listed_are_bounded() {
    let (mut registry, mut membership) = (ExecutorRegistry::default(), Membership::default());
    let listed = registry.register("listed");
    membership.update(listed, EndpointEntry::new("listed", "x", READY));
    membership.set_excluded(Some(listed), "listed", true);
    for number in 0..3 * MAX_EXCLUDED_ABSENT {
        let name = format!("s-{number}");
        let executor = registry.register(&name);
        membership.update(executor, EndpointEntry::new(&name, "x", READY));
        membership.set_excluded(Some(executor), &name, true);
        membership.release(executor);
        registry.release(executor);
    }
    assert_eq!(
        (membership.excluded().len(), membership.excluded_absent.len()),
        (MAX_EXCLUDED_ABSENT + 1, MAX_EXCLUDED_ABSENT)
    );
    assert!(membership.excluded().contains("listed"), "the exclusion of a listed executor is never dropped");
    assert!(
        membership.excluded().contains(&format!("s-{}", 3 * MAX_EXCLUDED_ABSENT - 1)),
        "the latest exclusion is kept"
    );
    let names = (0..3 * MAX_EXCLUDED_ABSENT).map(|number| format!("t-{number}"));
    membership.import_excluded(names.collect());
    assert_eq!(membership.excluded().len(), MAX_EXCLUDED_ABSENT + 1);
}
