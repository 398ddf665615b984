//! The choice of executors to keep: fair over many nodes, and steady while the list changes.
use troutknot_membership::Readiness::{self, Draining, Ready};
use troutknot_membership::{Rank, Retention};

const NODES: usize = 300;
const BOUND: usize = 1_000;
const LISTED: usize = BOUND * 3 / 2;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("s-{number:08x}")).collect()
}

fn nodes() -> Vec<Retention> {
    (0..NODES).map(|number| Retention::for_node(&format!("n{number}"))).collect()
}

fn ranks(retention: &Retention, names: &[String], readiness: Readiness) -> Vec<Rank> {
    names.iter().map(|name| retention.rank(name, readiness)).collect()
}

/// The names that a node keeps.
fn kept<'a>(retention: &Retention, names: &'a [String]) -> Vec<&'a str> {
    let chosen = Retention::choose(&ranks(retention, names, Ready), BOUND);
    names.iter().zip(chosen).filter_map(|(name, is_kept)| is_kept.then_some(name.as_str())).collect()
}

/// Two thirds of 300 nodes are 200, with a standard deviation of 8.2; the names are fixed, so is the outcome.
#[test]
fn over_all_nodes_every_executor_is_kept_by_its_fair_share() {
    let names = names(LISTED);
    let mut kept_by = vec![0usize; LISTED];
    for retention in nodes() {
        let chosen = Retention::choose(&ranks(&retention, &names, Ready), BOUND);
        assert_eq!(chosen.iter().filter(|&&is_kept| is_kept).count(), BOUND, "no place stays empty");
        chosen.iter().zip(&mut kept_by).for_each(|(&is_kept, by)| *by += usize::from(is_kept));
    }
    let (least, most) = (kept_by.iter().min().unwrap(), kept_by.iter().max().unwrap());
    assert!(*least >= 165 && *most <= 235, "each within 35 of 200: {least} to {most}");
    let deviation = |&by: &usize| (by as f64 - 200.0).powi(2);
    let variance = kept_by.iter().map(deviation).sum::<f64>() / LISTED as f64;
    // Of nodes that choose independently: 300 x 2/3 x 1/3 = 66.7.
    assert!((55.0..80.0).contains(&variance), "as if each node drew on its own: {variance}");
}

#[test]
fn any_two_nodes_choose_independently() {
    let (names, nodes) = (names(LISTED), nodes());
    for pair in nodes.windows(2) {
        let (one, other) = (kept(&pair[0], &names), kept(&pair[1], &names));
        let both = one.iter().filter(|name| other.contains(name)).count();
        // Two thirds of what one keeps; its standard deviation is 8.6.
        assert!((620..=714).contains(&both), "{both} of {BOUND} are kept by both");
    }
}

#[test]
fn one_executor_replaced_changes_one_that_is_kept_at_most() {
    for (number, retention) in nodes().iter().enumerate() {
        let mut names = names(LISTED);
        let before: Vec<String> = kept(retention, &names).into_iter().map(str::to_string).collect();
        let replaced = std::mem::replace(&mut names[number * 5], format!("new-{number}"));
        let after = kept(retention, &names);
        let lost: Vec<_> = before.iter().filter(|name| !after.contains(&name.as_str())).collect();
        assert!(lost.len() <= 1, "node {number}: {lost:?}");
        if before.contains(&replaced) {
            assert_eq!(lost, [&replaced], "its place goes to one that was left out, or to the new one");
        }
    }
}

#[test]
fn the_choice_does_not_depend_on_the_order_of_the_list() {
    let retention = Retention::for_node("n0");
    let names = names(LISTED);
    let backwards: Vec<String> = names.iter().rev().cloned().collect();
    let mut one = kept(&retention, &names);
    let mut other = kept(&retention, &backwards);
    one.sort_unstable();
    other.sort_unstable();
    assert_eq!(one, other);
}

#[test]
fn who_drains_never_takes_the_place_of_one_that_is_ready() {
    let names = names(LISTED);
    for retention in nodes() {
        for ready in [0, 10, BOUND - 1, BOUND, LISTED] {
            let readiness = |number: usize| if number < ready { Ready } else { Draining };
            let rank = |(number, name): (usize, &String)| retention.rank(name, readiness(number));
            let ranks: Vec<Rank> = names.iter().enumerate().map(rank).collect();
            let chosen = Retention::choose(&ranks, BOUND);
            let kept_ready = chosen[..ready].iter().filter(|&&is_kept| is_kept).count();
            assert_eq!(kept_ready, ready.min(BOUND), "{ready} of {LISTED} are ready");
        }
    }
}

#[test]
fn room_for_none_and_room_for_all() {
    let retention = Retention::for_node("n0");
    let ranks = ranks(&retention, &names(3), Ready);
    assert_eq!(Retention::choose(&ranks, 0), [false; 3]);
    assert_eq!(Retention::choose(&ranks, 3), [true; 3]);
    assert_eq!(Retention::choose(&[], 0), [false; 0]);
    let same = [ranks[0]; 4];
    assert_eq!(Retention::choose(&same, 2), [true, true, false, false], "equal ranks go by place");
}
