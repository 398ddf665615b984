//! The choice of retained executors: even over many nodes, and stable while the list changes.
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

/// Returns the names that a node retains.
fn retained<'a>(retention: &Retention, names: &'a [String]) -> Vec<&'a str> {
    let chosen = Retention::choose(&ranks(retention, names, Ready), BOUND);
    names.iter().zip(chosen).filter_map(|(name, is_retained)| is_retained.then_some(name.as_str())).collect()
}

/// Guards against executors that too few nodes retain. Two thirds of 300 nodes are 200, with a standard deviation of
/// 8.2; the names are fixed, so the result is deterministic.
#[test]
fn every_executor_is_retained_by_an_even_share_of_the_nodes() {
    let names = names(LISTED);
    let mut retained_by = vec![0usize; LISTED];
    for retention in nodes() {
        let chosen = Retention::choose(&ranks(&retention, &names, Ready), BOUND);
        assert_eq!(chosen.iter().filter(|&&is_retained| is_retained).count(), BOUND, "the bound is used up");
        chosen
            .iter()
            .zip(&mut retained_by)
            .for_each(|(&is_retained, nodes)| *nodes += usize::from(is_retained));
    }
    let (min, max) = (retained_by.iter().min().unwrap(), retained_by.iter().max().unwrap());
    assert!(*min >= 165 && *max <= 235, "each within 35 of 200: {min} to {max}");
    let deviation = |&nodes: &usize| (nodes as f64 - 200.0).powi(2);
    let variance = retained_by.iter().map(deviation).sum::<f64>() / LISTED as f64;
    // The variance if nodes choose independently: 300 x 2/3 x 1/3 = 66.7.
    assert!((55.0..80.0).contains(&variance), "variance of independent choices: {variance}");
}

/// If nodes chose alike, all of them would leave out the same executors.
#[test]
fn any_two_nodes_choose_independently() {
    let (names, nodes) = (names(LISTED), nodes());
    for pair in nodes.windows(2) {
        let (one, other) = (retained(&pair[0], &names), retained(&pair[1], &names));
        let both = one.iter().filter(|name| other.contains(name)).count();
        // Expected are two thirds of those that one node retains; the standard deviation is 8.6.
        assert!((620..=714).contains(&both), "{both} of {BOUND} are retained by both");
    }
}

/// A change of the list must not replace many retained executors, whose state and connections would be lost.
#[test]
fn replacing_one_executor_changes_at_most_one_retained_one() {
    for (number, retention) in nodes().iter().enumerate() {
        let mut names = names(LISTED);
        let before: Vec<String> = retained(retention, &names).into_iter().map(str::to_string).collect();
        let replaced = std::mem::replace(&mut names[number * 5], format!("new-{number}"));
        let after = retained(retention, &names);
        let lost: Vec<_> = before.iter().filter(|name| !after.contains(&name.as_str())).collect();
        assert!(lost.len() <= 1, "node {number}: {lost:?}");
        if before.contains(&replaced) {
            assert_eq!(lost, [&replaced], "only the replaced one is no longer retained");
        }
    }
}

/// A list in another order must not change which executors are retained.
#[test]
fn the_choice_does_not_depend_on_the_order_of_the_list() {
    let retention = Retention::for_node("n0");
    let names = names(LISTED);
    let reversed: Vec<String> = names.iter().rev().cloned().collect();
    let mut one = retained(&retention, &names);
    let mut other = retained(&retention, &reversed);
    one.sort_unstable();
    other.sort_unstable();
    assert_eq!(one, other);
}

/// A draining executor gets no new requests, so it must not use the memory of a ready one.
#[test]
fn a_draining_executor_is_never_retained_instead_of_a_ready_one() {
    let names = names(LISTED);
    for retention in nodes() {
        for ready in [0, 10, BOUND - 1, BOUND, LISTED] {
            let readiness = |number: usize| if number < ready { Ready } else { Draining };
            let rank = |(number, name): (usize, &String)| retention.rank(name, readiness(number));
            let ranks: Vec<Rank> = names.iter().enumerate().map(rank).collect();
            let chosen = Retention::choose(&ranks, BOUND);
            let retained_ready = chosen[..ready].iter().filter(|&&is_retained| is_retained).count();
            assert_eq!(retained_ready, ready.min(BOUND), "{ready} of {LISTED} are ready");
        }
    }
}

/// Guards against errors by one at the limits, and against equal ranks exceeding the limit.
#[test]
fn limits_of_zero_and_of_all_are_exact() {
    let retention = Retention::for_node("n0");
    let ranks = ranks(&retention, &names(3), Ready);
    assert_eq!(Retention::choose(&ranks, 0), [false; 3]);
    assert_eq!(Retention::choose(&ranks, 3), [true; 3]);
    assert_eq!(Retention::choose(&[], 0), [false; 0]);
    let same = [ranks[0]; 4];
    assert_eq!(Retention::choose(&same, 2), [true, true, false, false], "equal ranks are chosen by index");
}
