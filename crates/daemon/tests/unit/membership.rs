//! Who is out by hand lies over the list.
use super::*;
use troutknot_membership::ExecutorRegistry;

#[test]
fn who_is_out_drains_whatever_the_list_says_until_one_call_back() {
    let mut roster = Roster::default();
    let a = ExecutorRegistry::default().register("a");
    let said = |roster: &mut Roster, state: &str| roster.take(a, Entry::of("a", "x", state)).state;
    assert_eq!(said(&mut roster, READY), READY);
    let out = roster.leave_out(Some(a), "a", true).expect("it changes");
    assert_eq!(roster.take(a, out).state, DRAINS);
    assert!(roster.leave_out(Some(a), "a", true).is_none(), "twice out");
    for (state, believed) in [("Gone", "Gone"), (READY, DRAINS), (DRAINS, DRAINS), (READY, DRAINS)] {
        assert_eq!(said(&mut roster, state), believed, "{state}");
    }
    roster.gone(a);
    let back = roster.leave_out(Some(a), "a", false).expect("one call back undoes both");
    assert_eq!(back.state, "Gone", "what the list says by then");
    assert!(roster.leave_out(Some(a), "a", false).is_none() && roster.out().is_empty());
    assert_eq!(said(&mut roster, READY), READY);
    // One that the list has not named yet, taken over from the process before.
    let mut next = Roster::default();
    next.inherit(["a".to_string()].into());
    assert_eq!(said(&mut next, READY), DRAINS);
}

/// Left out before or while it is gone, it stays out under the name when it is back under another handle.
#[test]
fn who_is_out_stays_out_by_name_while_it_is_gone() {
    for out_while_gone in [false, true] {
        let (mut registry, mut roster) = (ExecutorRegistry::default(), Roster::default());
        let first = registry.register("a");
        roster.take(first, Entry::of("a", "x", READY));
        if !out_while_gone {
            roster.leave_out(Some(first), "a", true);
        }
        roster.gone(first);
        roster.release(first);
        registry.release(first);
        if out_while_gone {
            assert!(roster.leave_out(None, "a", true).is_none(), "the list says nothing of it");
        }
        assert_eq!(roster.listed().count(), 0);
        let second = registry.register("a");
        assert_ne!(first, second);
        assert_eq!(roster.take(second, Entry::of("a", "x", READY)).state, DRAINS, "{out_while_gone}");
        roster.release(second);
        assert!(roster.leave_out(None, "a", false).is_none() && roster.out().is_empty());
        assert!(roster.absent.is_empty());
    }
}

#[test]
fn names_that_are_out_and_not_listed_are_bounded() {
    let (mut registry, mut roster) = (ExecutorRegistry::default(), Roster::default());
    let listed = registry.register("listed");
    roster.take(listed, Entry::of("listed", "x", READY));
    roster.leave_out(Some(listed), "listed", true);
    for number in 0..3 * MOST_ABSENT {
        let name = format!("s-{number}");
        let executor = registry.register(&name);
        roster.take(executor, Entry::of(&name, "x", READY));
        roster.leave_out(Some(executor), &name, true);
        roster.release(executor);
        registry.release(executor);
    }
    assert_eq!((roster.out().len(), roster.absent.len()), (MOST_ABSENT + 1, MOST_ABSENT));
    assert!(roster.out().contains("listed"), "one that is listed is never forgotten");
    assert!(roster.out().contains(&format!("s-{}", 3 * MOST_ABSENT - 1)), "nor the latest");
    let names = (0..3 * MOST_ABSENT).map(|number| format!("t-{number}"));
    roster.inherit(names.collect());
    assert_eq!(roster.out().len(), MOST_ABSENT + 1);
}
