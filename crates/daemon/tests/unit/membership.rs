//! Who is out by hand lies over the list.
use super::*;
use troutknot_membership::ExecutorRegistry;

#[test]
fn who_is_out_drains_whatever_the_list_says_until_one_call_back() {
    let mut membership = Membership::default();
    let a = ExecutorRegistry::default().register("a");
    let said = |membership: &mut Membership, state: &str| {
        membership.update(a, EndpointEntry::of("a", "x", state)).state
    };
    assert_eq!(said(&mut membership, READY), READY);
    let out = membership.set_excluded(Some(a), "a", true).expect("it changes");
    assert_eq!(membership.update(a, out).state, DRAINING);
    assert!(membership.set_excluded(Some(a), "a", true).is_none(), "twice out");
    for (state, believed) in [("Gone", "Gone"), (READY, DRAINING), (DRAINING, DRAINING), (READY, DRAINING)] {
        assert_eq!(said(&mut membership, state), believed, "{state}");
    }
    membership.mark_gone(a);
    let back = membership.set_excluded(Some(a), "a", false).expect("one call back undoes both");
    assert_eq!(back.state, "Gone", "what the list says by then");
    assert!(membership.set_excluded(Some(a), "a", false).is_none() && membership.excluded().is_empty());
    assert_eq!(said(&mut membership, READY), READY);
    // One that the list has not named yet, taken over from the process before.
    let mut next = Membership::default();
    next.import_excluded(["a".to_string()].into());
    assert_eq!(said(&mut next, READY), DRAINING);
}

/// Left out before or while it is gone, it stays out under the name when it is back under another handle.
#[test]
fn who_is_out_stays_out_by_name_while_it_is_gone() {
    for out_while_gone in [false, true] {
        let (mut registry, mut membership) = (ExecutorRegistry::default(), Membership::default());
        let first = registry.register("a");
        membership.update(first, EndpointEntry::of("a", "x", READY));
        if !out_while_gone {
            membership.set_excluded(Some(first), "a", true);
        }
        membership.mark_gone(first);
        membership.release(first);
        registry.release(first);
        if out_while_gone {
            assert!(membership.set_excluded(None, "a", true).is_none(), "the list says nothing of it");
        }
        assert_eq!(membership.listed().count(), 0);
        let second = registry.register("a");
        assert_ne!(first, second);
        assert_eq!(
            membership.update(second, EndpointEntry::of("a", "x", READY)).state,
            DRAINING,
            "{out_while_gone}"
        );
        membership.release(second);
        assert!(membership.set_excluded(None, "a", false).is_none() && membership.excluded().is_empty());
        assert!(membership.excluded_absent.is_empty());
    }
}

#[test]
fn names_that_are_out_and_not_listed_are_bounded() {
    let (mut registry, mut membership) = (ExecutorRegistry::default(), Membership::default());
    let listed = registry.register("listed");
    membership.update(listed, EndpointEntry::of("listed", "x", READY));
    membership.set_excluded(Some(listed), "listed", true);
    for number in 0..3 * MAX_ABSENT {
        let name = format!("s-{number}");
        let executor = registry.register(&name);
        membership.update(executor, EndpointEntry::of(&name, "x", READY));
        membership.set_excluded(Some(executor), &name, true);
        membership.release(executor);
        registry.release(executor);
    }
    assert_eq!((membership.excluded().len(), membership.excluded_absent.len()), (MAX_ABSENT + 1, MAX_ABSENT));
    assert!(membership.excluded().contains("listed"), "one that is listed is never forgotten");
    assert!(membership.excluded().contains(&format!("s-{}", 3 * MAX_ABSENT - 1)), "nor the latest");
    let names = (0..3 * MAX_ABSENT).map(|number| format!("t-{number}"));
    membership.import_excluded(names.collect());
    assert_eq!(membership.excluded().len(), MAX_ABSENT + 1);
}
