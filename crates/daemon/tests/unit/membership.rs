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
    next.import_excluded(&["a".to_string()]);
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
    }
}

/// An entry of an executor that is registered under its name.
fn list_ready(membership: &mut Membership, registry: &mut ExecutorRegistry, name: &str) -> ExecutorId {
    let executor = registry.register(name);
    membership.update(executor, EndpointEntry::new(name, "x", READY));
    executor
}

#[test]
fn excluded_names_that_are_not_listed_are_bounded() {
    let (mut registry, mut membership) = (ExecutorRegistry::default(), Membership::default());
    let listed = list_ready(&mut membership, &mut registry, "listed");
    membership.set_excluded(Some(listed), "listed", true);
    membership.set_excluded(None, "unretained", true);
    let is_unretained = |name: &str| name == "unretained";
    for number in 0..3 * MAX_EXCLUDED_ABSENT {
        let name = format!("s-{number}");
        let executor = list_ready(&mut membership, &mut registry, &name);
        membership.set_excluded(Some(executor), &name, true);
        membership.drop_excess_exclusions(is_unretained);
        assert!(membership.is_excluded(&name), "the latest exclusion is kept");
        membership.mark_gone(executor);
        membership.drop_excess_exclusions(is_unretained);
        membership.release(executor);
        registry.release(executor);
    }
    assert_eq!(membership.excluded().len(), MAX_EXCLUDED_ABSENT + 2);
    for name in ["listed", "unretained"] {
        assert!(membership.is_excluded(name), "the exclusion of a listed executor is never dropped: {name}");
    }
    let latest = 3 * MAX_EXCLUDED_ABSENT - 1;
    let oldest_kept = 2 * MAX_EXCLUDED_ABSENT;
    assert!(
        membership.is_excluded(&format!("s-{latest}")) && membership.is_excluded(&format!("s-{oldest_kept}"))
    );
    assert!(!membership.is_excluded(&format!("s-{}", oldest_kept - 1)), "the oldest are dropped");
    membership.drop_excess_exclusions(|_| false);
    assert_eq!(membership.excluded().len(), MAX_EXCLUDED_ABSENT + 1, "it is not listed any more");
    let names: Vec<String> = (0..3 * MAX_EXCLUDED_ABSENT).map(|number| format!("t-{number}")).collect();
    membership.import_excluded(&names);
    membership.drop_excess_exclusions(is_unretained);
    assert_eq!(membership.excluded().len(), MAX_EXCLUDED_ABSENT + 1);
}

/// Guards against exclusions that a hot restart drops: before the first list is applied, no executor is listed.
#[test]
fn imported_exclusions_of_listed_executors_are_kept_however_many_there_are() {
    let (mut registry, mut membership) = (ExecutorRegistry::default(), Membership::default());
    let names: Vec<String> = (0..3 * MAX_EXCLUDED_ABSENT).map(|number| format!("s-{number}")).collect();
    membership.import_excluded(&names);
    let listed = &names[..2 * MAX_EXCLUDED_ABSENT];
    for name in listed {
        let executor = registry.register(name);
        assert_eq!(
            membership.update(executor, EndpointEntry::new(name, "x", READY)).state,
            DRAINING,
            "{name}"
        );
    }
    membership.drop_excess_exclusions(|_| false);
    assert!(listed.iter().all(|name| membership.is_excluded(name)));
    assert_eq!(membership.excluded(), names, "as many absent ones as the bound allows, in their order");
    let late = ["late".to_string()];
    membership.import_excluded(&late);
    membership.drop_excess_exclusions(|_| false);
    assert!(membership.is_excluded("late") && !membership.is_excluded(&names[2 * MAX_EXCLUDED_ABSENT]));
}
