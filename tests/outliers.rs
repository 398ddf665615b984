//! Outlier detection: executors that are slow or fail are sampled less, and are tried again later.
mod helpers;
use helpers::*;
use troutknot::*;

/// An executor that is far slower than the others is sampled less, until its score has decayed.
#[test]
fn slow_executors_are_sampled_less_for_a_while() {
    let mut node = node(1.0);
    node.list_warm(4);
    let share_of_slow = |node: &mut Node, slow: Millis| {
        let mut at_slow = 0;
        for _ in 0..200 {
            let (request_id, executor) = node.dispatched(0);
            at_slow += (number_of(executor) == 0) as u32;
            node.now += if number_of(executor) == 0 { slow } else { 50.0 };
            node.end_attempt(request_id, 0, Outcome::Completed);
        }
        at_slow
    };
    let (even, slow) = (share_of_slow(&mut node, 50.0), share_of_slow(&mut node, 500.0));
    assert!(even > 30 && slow < even * 3 / 4 && slow > 0, "{even} before, {slow} when ten times slower");
}

/// The slow requests that a busy node has at all executors do not mask an executor that fails three quarters of its
/// requests.
#[test]
fn a_score_rates_outcomes_and_not_their_number() {
    let mut node = node(1.0);
    node.list_warm(4);
    let mut dispatched = [0; 4];
    for number in 0..2000 {
        let (request_id, executor) = node.dispatched(0);
        dispatched[number_of(executor) as usize] += usize::from(number >= 1000);
        node.now += if number % 4 == 0 { 25.0 } else { 5.0 };
        let fails = number_of(executor) == 3 && number % 4 != 0;
        let actions =
            node.end_attempt(request_id, 0, if fails { Outcome::Error } else { Outcome::Completed });
        if fails {
            dispatched_to(&node.answer_probes(actions, |_| 0.0)).unwrap();
            node.end_attempt(request_id, 1, Outcome::Completed);
        }
    }
    assert!(dispatched[3] < 50, "{dispatched:?} of 1000 by executor");
    assert!(dispatched[..3].iter().all(|&count| count > 200), "{dispatched:?} of 1000 by executor");
}

/// An executor in slow start is several times slower. Its score must not rise for that, and its response times must not
/// raise the estimated cost of requests; otherwise it would stay idle while the other executors have queues.
#[test]
fn slowness_in_slow_start_is_not_penalized() {
    let sampled_and_dispatched = |slow: bool| {
        let mut node = node(9.0);
        let started_at = |number| if number < 4 { None } else { Some(0.0) };
        let endpoints: Vec<Endpoint> =
            (0..8).map(|number| endpoint(number, number, EndpointState::Ready, started_at(number))).collect();
        node.update_endpoints(ListUpdate::Snapshot, &endpoints);
        for _ in 0..30 {
            let (request_id, executor) = node.dispatched(0);
            let progress = 0.25 + 0.75 * node.now / 10_000.0;
            node.now += if number_of(executor) >= 4 && slow { 50.0 / progress } else { 50.0 };
            node.end_attempt(request_id, 0, Outcome::Completed);
        }
        node.now = node.now.max(4000.0);
        let sampled = (0..600).filter(|_| {
            let (request_id, actions) = node.arrive(0);
            let first = probed(&actions).map(number_of);
            node.handle(Event::RequestWithdrawn { request_id });
            node.answer_probes(actions, |_| 0.0);
            first.expect("an executor is sampled") >= 4
        });
        let sampled = sampled.count();
        node.update_endpoints(ListUpdate::Snapshot, &endpoints[7..]);
        let dispatched = (0..600).filter(|_| {
            let (_, actions) = node.arrive(0);
            dispatched_to(&node.answer_probes(actions, |_| 0.0)).is_some()
        });
        (sampled, dispatched.count())
    };
    let (usual, slow) = (sampled_and_dispatched(false), sampled_and_dispatched(true));
    assert!(
        slow.0 as f64 > 0.85 * usual.0 as f64,
        "sampled {} of 600 if slow, {} otherwise",
        slow.0,
        usual.0
    );
    assert!(
        slow.1 as f64 > 0.85 * usual.1 as f64,
        "dispatched {} of 600 if slow, {} otherwise",
        slow.1,
        usual.1
    );
}

/// A node that dispatches to each of 60 executors once in six seconds still avoids an executor at the next attempt after
/// one fault. With five executors and the same traffic, the executor is tried again by then.
#[test]
fn a_fault_outlasts_the_time_to_the_next_attempt() {
    for (executors, is_avoided) in [(60, true), (5, false)] {
        let mut node = node(if is_avoided { 100.0 } else { 1.0 });
        node.list_warm(executors);
        let mut faulty = None;
        for number in 0..100 {
            let (request_id, executor) = node.dispatched(0);
            node.now += 100.0;
            if number == 40 {
                faulty = Some(executor);
                let actions = node.end_attempt(request_id, 0, Outcome::Error);
                dispatched_to(&node.answer_probes(actions, |_| 0.0))
                    .expect("an idempotent request is retried");
                node.end_attempt(request_id, 1, Outcome::Completed);
            } else {
                node.end_attempt(request_id, 0, Outcome::Completed);
            }
        }
        let arrivals = 40 * executors;
        let samples_it = |_: &u32| {
            let (request_id, actions) = node.arrive(0);
            let is_sampled = actions.contains(&Action::Probe { executor: faulty.unwrap() });
            node.handle(Event::RequestWithdrawn { request_id });
            node.answer_probes(actions, |_| 0.0);
            is_sampled
        };
        let share = (0..arrivals).filter(samples_it).count() as f64 / 40.0;
        assert!(
            if is_avoided { share < 0.4 } else { share > 0.6 },
            "{executors} executors: sampled {share:.2} times an even share"
        );
    }
}
