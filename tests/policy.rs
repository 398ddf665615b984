//! Tables of cases for the module alone.
mod helpers;
use helpers::*;
use troutknot::policy::{best_sample_size, time_in_system};
use troutknot::settings::{ClassSettings, DiscoveryMode};
use troutknot::*;

/// Figure 1 of the paper: C = 0.003.
#[test]
fn formula_follows_the_paper() {
    let at = |draws, load| time_in_system(draws, load, 0.003).unwrap();
    for (draws, load, low, high) in [
        (2, 0.80, 1.8, 2.1),
        (20, 0.80, 1.03, 1.15),
        (2, 0.90, 2.4, 2.8),
        (2, 0.95, 3.0, 3.7),
        (1, 0.50, 1.9, 2.1),
    ] {
        assert!((low..high).contains(&at(draws, load)), "d {draws} load {load}: {}", at(draws, load));
    }
    for load in [0.80, 0.90, 0.95] {
        let best = (2..100).filter(|&d| time_in_system(d, load, 0.003).is_some());
        let best = best.min_by(|a, b| at(*a, load).total_cmp(&at(*b, load))).unwrap();
        assert!(
            at(best, load) < at(2, load)
                && (best + 5..60)
                    .any(|d| { time_in_system(d, load, 0.003).is_none_or(|t| t > at(best, load)) })
        );
    }
    // Unstable: every d is skipped and none is left.
    for (share, cost, expected) in [(0.99, 0.6, None), (0.2, 0.0, Some(8)), (0.001, 0.5, Some(2))] {
        assert_eq!(best_sample_size(share, 2, cost, 8), expected, "share {share} C {cost}");
    }
}

/// Project type by outcome of its first allocation: sent again, deferred or aborted.
#[test]
fn what_follows_an_outcome() {
    use Outcome::*;
    let never_ran = [Rejected, NoConnection, NotSent];
    let may_have_run = [Error, TimedOut, Reset, Cancelled];
    for (project_type, sure, unsure) in [(0, 'p', 'p'), (1, 'p', 'p'), (2, 'p', 'a'), (3, 'p', 'a')] {
        for (outcomes, expected) in [(&never_ran[..], sure), (&may_have_run[..], unsure)] {
            for &outcome in outcomes {
                let mut node = node(1.0);
                node.warm(3);
                let (request_id, executor) = node.pushed(project_type);
                // A group of one that is gone leaves a receipted work unit nowhere to go.
                if project_type == 2 {
                    node.list(
                        ListUpdate::Delta,
                        &[listing(number_of(executor), number_of(executor), EndpointState::Draining, None)],
                    );
                    node.now = 200.0;
                }
                let actions = node.end(request_id, 0, outcome);
                assert_eq!(said(&actions), expected, "type {project_type} after {outcome:?}");
                // A connection may come up late: by then the window may be over in which repeats are dropped.
                let until = if project_type == 1 && !outcome.never_ran() { 1600.0 } else { 5000.0 };
                let until = (expected == 'p').then_some(until);
                assert_eq!(
                    send_deadline(&node.answer(actions, |_| 0.0)),
                    until,
                    "{project_type} {outcome:?}"
                );
            }
        }
    }
}

/// Allocations of an earlier life count like those of this one; one that is out holds back all else.
#[test]
fn what_follows_an_earlier_life() {
    use Outcome::*;
    let cases: &[(&str, u32, &[Option<Outcome>], char)] = &[
        ("exclusive work that may have run", 3, &[Some(Reset)], 'a'),
        ("exclusive work that never ran", 3, &[Some(NotSent)], 'p'),
        ("exclusive work that is out", 3, &[None], 'h'),
        ("one is out after another that never ran", 3, &[Some(Rejected), None], 'h'),
        ("three that never ran", 3, &[Some(Rejected), Some(NotSent), Some(NoConnection)], 'd'),
        ("rerunnable work that may have run", 0, &[Some(Reset)], 'p'),
        (
            "rerunnable work that may have run three times",
            0,
            &[Some(Reset), Some(Error), Some(TimedOut)],
            'd',
        ),
        ("receipted work in its window", 1, &[Some(Reset)], 'p'),
    ];
    for (what, project_type, earlier, expected) in cases {
        let mut node = node(1.0);
        node.warm(3);
        node.list(ListUpdate::Delta, &[listing(9, 9, EndpointState::Gone, None)]);
        let (now, request_id, executor) = (node.now, RequestId(77), executor(9));
        let (customer, slots, memory) = (TenantId(0), 1.0, 0.0);
        let project_type = RequestClassId(*project_type);
        let arrived = Event::RequestArrived {
            request_id,
            class: project_type,
            tenant: customer,
            slots,
            memory,
            time_left: 900.0,
            is_retry: true,
        };
        node.node.handle_event(now, arrived);
        for (number, outcome) in earlier.iter().enumerate() {
            node.node
                .handle_event(now, Event::AttemptRecovered { request_id, executor, sent_at: now - 50.0 });
            if let Some(outcome) = *outcome {
                let attempt_id = AttemptId(number as u32);
                node.node.handle_event(
                    now,
                    Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed: false },
                );
            }
        }
        let emitted = node.emit();
        let actions = node.answer(emitted, |_| 0.0);
        let pushed = push_of(&actions).is_some();
        assert_eq!(if pushed { 'p' } else { said(&actions) }, *expected, "{what}");
        if earlier.last() == Some(&None) {
            // Its end is told in the end, by whoever was asked.
            let ended = node.end(request_id, earlier.len() as u32 - 1, NotSent);
            assert!(push_of(&node.answer(ended, |_| 0.0)).is_some(), "{what}");
        }
    }
}

/// A receipted work unit that may have run stays in its group, and is not sent once the window is over.
#[test]
fn receipts_hold_in_their_group_and_window() {
    for (after, expected) in [(100.0, 'p'), (1700.0, 'a')] {
        let mut node = node(1.0);
        let entries: Vec<Endpoint> = (0..6).map(|e| listing(e, e % 2, EndpointState::Ready, None)).collect();
        node.list(ListUpdate::Snapshot, &entries);
        let (request_id, executor) = node.pushed(2);
        node.now = after;
        let actions = node.end(request_id, 0, Outcome::Reset);
        assert_eq!(said(&actions), expected);
        if expected == 'p' {
            let actions = node.answer(actions, |_| 0.0);
            assert_eq!(number_of(push_of(&actions).unwrap()) % 2, number_of(executor) % 2);
        }
    }
}

#[test]
fn attempts_are_counted_and_answers_final() {
    let mut node = node(1.0);
    node.warm(6);
    let (request_id, _) = node.pushed(3);
    for attempt_id in 0..2 {
        let actions = node.end(request_id, attempt_id, Outcome::Rejected);
        push_of(&node.answer(actions, |_| 0.0)).unwrap();
    }
    assert_eq!(said(&node.end(request_id, 2, Outcome::Rejected)), 'd');
    assert!(node.end(request_id, 2, Outcome::Rejected).is_empty(), "nothing follows a final answer");
}

#[test]
fn shortest_queue_wins() {
    let mut node = node(1.0);
    node.warm(2);
    for _ in 0..20 {
        let (request_id, actions) = node.arrive(0);
        let pushed = push_of(&node.answer(actions, |e| 3.0 * e as f64)).unwrap();
        assert_eq!(number_of(pushed), 0, "a first draw of only the longer queue is followed by a second");
        node.end(request_id, 0, Outcome::Completed);
    }
}

/// Drains bind from the very batch, also for a work unit whose probes are all in.
#[test]
fn nothing_new_to_a_draining_executor() {
    for phase in [EndpointState::Draining, EndpointState::Gone] {
        let mut node = node(1.0);
        node.warm(2);
        let (_, actions) = node.arrive(0);
        let probes: Vec<ExecutorId> = actions
            .iter()
            .filter_map(|a| if let Action::Probe { executor } = a { Some(*executor) } else { None })
            .collect();
        for executor in probes {
            let reading =
                LoadReport { queue_length: Some(number_of(executor) as f64), ..LoadReport::default() };
            node.node.handle_event(node.now, replied(executor, 1.0, reading));
        }
        let entries = vec![listing(0, 0, phase, None)];
        node.node.handle_event(
            node.now,
            Event::EndpointsUpdated { update: ListUpdate::Delta, endpoints: entries },
        );
        let actions = node.emit();
        let actions = node.answer(actions, |_| 0.0);
        assert_eq!(push_of(&actions), Some(executor(1)));
    }
    let mut node = node(1.0);
    node.warm(2);
    // Who is missing from a whole list is gone; with none left nothing is sent.
    node.list(ListUpdate::Snapshot, &[]);
    assert_eq!(said(&node.arrive(0).1), 'h');
}

/// However long a burst, all nodes together push no more to a cold executor than its budget, and more than a
/// work unit among hundreds; a node that is not told its number keeps to its even part.
#[test]
fn cold_budget_is_hard_for_all_together() {
    for (nodes, told) in [(1, false), (4, false), (1, true), (3, true), (161, true), (314, true)] {
        let mut sent = 0;
        for me in 0..if told { nodes } else { 1 } {
            let mut node = node_of(nodes as f64, told.then_some(me as f64));
            node.now = 50_000.0;
            node.list(ListUpdate::Snapshot, &[listing(7, 0, EndpointState::Ready, Some(50_000.0))]);
            for _ in 0..100 {
                let (_, actions) = node.arrive(0);
                sent += push_of(&node.answer(actions, |_| 0.0)).is_some() as u32;
            }
        }
        // 4 slots at a quarter for 1000 ms, four times over; a work unit takes 100 ms until more is known.
        let whole = 4.0 * 0.25 * 4.0 * 1000.0 / 100.0 / if told { 1.0 } else { nodes as f64 };
        assert!(sent >= 1 && sent as f64 <= whole, "{sent} of {whole} sent by {nodes}, told {told}");
    }
}

#[test]
fn a_lost_list_is_asked_for_again_inside_the_span() {
    let mut settings = Settings { discovery_mode: DiscoveryMode::Subscribe, ..Settings::default() };
    settings.rules.poll_interval = Some(4000.0);
    let mut node = with(settings);
    assert!(node.emit().contains(&Action::WatchEndpoints));
    node.warm(2);
    for _ in 0..10 {
        let wait = woken_after(&mut node, true);
        assert!(wait > 0.0 && wait <= 1000.0);
        node.now += wait;
        assert!(node.tell(Event::TimerFired).contains(&Action::WatchEndpoints));
    }
}

/// A hundred nodes whose calls fail together ask spread over most of the span that they have; few nodes, and
/// any after a list that stood, ask soon.
#[test]
fn many_nodes_that_are_turned_away_do_not_ask_in_step() {
    for (nodes, stood, soonest, latest) in
        [(100.0, false, 5000.0, 9500.0), (100.0, true, 0.0, 200.0), (2.0, false, 0.0, 500.0)]
    {
        let waits: Vec<f64> = (0..100)
            .map(|seed| {
                let mut settings = settings_of(nodes, None);
                // Also where the list is told by itself: its source is there and has too many calls.
                settings.discovery_mode =
                    if seed % 2 == 0 { DiscoveryMode::Push } else { DiscoveryMode::Subscribe };
                settings.rules.drain_grace = Some(2000.0);
                let mut node = with_seed(settings, seed);
                node.warm(2);
                if !stood {
                    node.tell(Event::EndpointWatchLost { is_rejected: true });
                    node.now = 20_000.0;
                    node.tell(Event::TimerFired);
                }
                woken_after(&mut node, true)
            })
            .collect();
        let last = waits.iter().copied().fold(0.0, f64::max);
        assert!(
            last >= soonest && last <= latest,
            "{nodes} nodes, list stood {stood}: the last after {last}"
        );
        // In no half second does a quarter of them ask.
        let most = (0..20).map(|k| waits.iter().filter(|&&w| (w / 500.0) as i32 == k).count()).max();
        assert!(soonest == 0.0 || most < Some(25), "{most:?}");
    }
}

/// Where the list is told by itself, what a source has at its return counts as told: however many nodes there are
/// and however often they failed, each asks again well within the grace.
#[test]
fn a_list_that_is_told_by_itself_is_asked_for_again_well_within_the_grace() {
    for (nodes, grace, latest) in [(300.0, 2000.0, 500.0), (6.0, 2000.0, 500.0), (300.0, 250.0, 100.0)] {
        let mut settings = settings_of(nodes, None);
        settings.discovery_mode = DiscoveryMode::Push;
        settings.rules.drain_grace = Some(grace);
        for seed in 0..100 {
            let mut node = with_seed(settings.clone(), seed);
            for failure in 1..10 {
                let wait = woken_after(&mut node, false);
                assert!(
                    (50.0..=latest).contains(&wait),
                    "{nodes} nodes, failure {failure}: {wait} of {grace}"
                );
                node.now += wait;
                assert!(node.tell(Event::TimerFired).contains(&Action::WatchEndpoints));
            }
        }
    }
}

/// Whatever fails, however often, in however large a fleet and however long the grace, calls for the list stay within
/// the span for asking; the one after a list that fell silent, and the next one if that is silent too, come soon.
#[test]
fn calls_for_the_list_stay_within_the_span_for_asking() {
    const SPAN: f64 = 3000.0;
    let modes = [DiscoveryMode::Push, DiscoveryMode::Subscribe];
    let cases = modes.into_iter().flat_map(|mode| [500.0, 30_000.0].map(|grace| (mode, grace)));
    for ((mode, grace), seed) in cases.flat_map(|case| (0..100).map(move |seed| (case, seed))) {
        let mut settings = settings_of(300.0, None);
        settings.discovery_mode = mode;
        settings.rules.poll_interval = Some(SPAN);
        settings.rules.drain_grace = Some(grace);
        for turned_away in [true, false] {
            let mut node = with_seed(settings.clone(), seed);
            node.warm(2);
            for failure in 1..10 {
                let wait = woken_after(&mut node, turned_away);
                let latest = match failure {
                    1 => 200.0,
                    2 if !turned_away => 400.0,
                    _ => SPAN,
                };
                assert!(wait <= latest, "{mode:?}, grace {grace}, {turned_away}, failure {failure}: {wait}");
                node.now += wait;
                assert!(node.tell(Event::TimerFired).contains(&Action::WatchEndpoints));
            }
        }
    }
}

/// How long after the list was lost it is asked for again.
fn woken_after(node: &mut Node, turned_away: bool) -> f64 {
    let actions = node.tell(Event::EndpointWatchLost { is_rejected: turned_away });
    let at = actions.iter().find_map(|a| if let Action::SetTimer { at } = a { Some(*at) } else { None });
    at.expect("a time to ask again") - node.now
}

/// What is no longer known changes nothing, and the same events give the same actions.
#[test]
fn stale_events_and_repetition() {
    let play = || {
        let mut node = node(2.0);
        node.warm(5);
        let mut all = Vec::new();
        for k in 0..30 {
            node.now = k as f64;
            let (request_id, actions) = node.arrive(k % 4);
            let actions = node.answer(actions, |e| (e % 3) as f64);
            all.extend(actions.clone());
            if push_of(&actions).is_some() {
                all.extend(node.end(request_id, 0, Outcome::Completed));
                assert!(node.end(request_id, 0, Outcome::Reset).is_empty());
            }
        }
        let stale = RequestId(999);
        for event in [
            Event::RequestWithdrawn { request_id: stale },
            Event::AttemptStarted { request_id: stale, attempt_id: AttemptId(3) },
            Event::AttemptProgressed { request_id: stale, attempt_id: AttemptId(0), share: 0.5 },
            replied(executor(77), 1.0, LoadReport::default()),
        ] {
            assert!(node.tell(event).is_empty());
        }
        all
    };
    assert_eq!(play(), play());
}

/// No room anywhere: a second draw, a hold, and either room from an own ended allocation or a prompt
/// deferral.
#[test]
fn held_for_room_and_no_longer_than_it_may_help() {
    for (ends, expected) in [(true, 'p'), (false, 'd')] {
        let mut node = node(1.0);
        node.warm(2);
        let (running, executor) = node.pushed(0);
        let (request_id, actions) = node.arrive(3);
        let actions = node.answer(actions, |_| 5.0);
        assert_eq!(said(&actions), 'h', "nothing is pushed into a queue");
        let mut seen = actions;
        if ends {
            node.now += 10.0;
            let actions = node.end(running, 0, Outcome::Completed);
            assert!(actions.contains(&Action::Probe { executor }));
            seen = node.answer(actions, |_| 0.0);
            assert_eq!(push_of(&seen), Some(executor));
        }
        while !ends && said(&seen) == 'h' && node.now < 1000.0 {
            node.now += 10.0;
            let actions = node.tell(Event::TimerFired);
            seen = node.answer(actions, |_| 5.0);
        }
        assert_eq!(said(&seen), expected);
        assert!(
            ends || (node.now < 400.0
                && seen.iter().any(|a| matches!(a,
            Action::Reject { request_id: gone, retry_after: Some(_) } if *gone == request_id)))
        );
    }
}

/// Where room is short, what exceeds a customer's share is deferred at once; with room it is served.
#[test]
fn beyond_a_share_goes_first() {
    for (held_before, queue, expected) in [(1, 5.0, 'd'), (0, 0.0, 'p')] {
        let mut node = node(1.0);
        node.warm(2);
        let mut said_last = 'h';
        for _ in 0..held_before {
            let (_, actions) = node.arrive_for(3, 0);
            node.answer(actions, |_| queue);
        }
        for _ in 0..4 {
            let (_, actions) = node.arrive_for(3, 1);
            said_last = said(&node.answer(actions, |_| queue));
        }
        assert_eq!(said_last, expected, "queues of {queue}");
    }
}

/// Thousands of executors that started at once: a draw asks about those it picks, and passes a cold one over
/// as often as its warmth says, among many nodes as the root of it.
#[test]
fn draws_from_thousands_that_are_cold() {
    for (short, low, high) in [(false, 0.27, 0.34), (true, 0.37, 0.43)] {
        let mut node = node(if short { 9.0 } else { 1.0 });
        node.now = 50_000.0;
        let (fresh, all) = (4000, 8000);
        let started = |e| (e < fresh).then_some(47_500.0);
        let entries: Vec<Endpoint> =
            (0..all).map(|e| listing(e, e, EndpointState::Ready, started(e))).collect();
        node.list(ListUpdate::Snapshot, &entries);
        let (mut cold, count) = (0, 3000);
        for k in 0..count + 100 {
            let (request_id, actions) = node.arrive(0);
            let drawn = actions.iter().find_map(|a| match a {
                Action::Probe { executor } => Some(number_of(*executor)),
                _ => None,
            });
            cold += (k >= 100 && drawn.expect("somebody is drawn") < fresh) as u32;
            node.tell(Event::RequestWithdrawn { request_id });
            node.answer(actions, |_| if short { 2.0 } else { 0.0 });
        }
        // A quarter into the ramp from a quarter: warmth 0.4375 at the least, 0.4375 of 1.4375 draws, or 0.66 of 1.66.
        let share = cold as f64 / count as f64;
        assert!((low..high).contains(&share), "{share} of the draws, room short: {short}");
    }
}

/// One probe where the first executor drawn is free of queues and of own work; else the others drawn follow.
#[test]
fn probing_stops_where_nothing_could_be_better() {
    for (own_work, expected) in [(false, 1), (true, 2)] {
        let mut node = node(1.0);
        node.warm(2);
        let mut most = 0;
        for _ in 0..20 {
            let (request_id, mut actions) = node.arrive(0);
            let mut probes = 0;
            while let [Action::Probe { executor }, ..] = actions[..] {
                probes += 1;
                let reading = LoadReport { queue_length: Some(0.0), ..LoadReport::default() };
                actions = node.tell(replied(executor, 1.0, reading));
            }
            assert!(push_of(&actions).is_some());
            if !own_work {
                node.end(request_id, 0, Outcome::Completed);
            }
            most = most.max(probes);
        }
        assert_eq!(most, expected, "own work out: {own_work}");
    }
}

/// An executor that takes far longer than its peers is drawn less, and is tried again as distrust fades.
#[test]
fn slow_executors_are_drawn_less_for_a_while() {
    let mut node = node(1.0);
    node.warm(4);
    let share_of_slow = |node: &mut Node, slow: Millis| {
        let mut at_slow = 0;
        for _ in 0..200 {
            let (request_id, executor) = node.pushed(0);
            at_slow += (number_of(executor) == 0) as u32;
            node.now += if number_of(executor) == 0 { slow } else { 50.0 };
            node.end(request_id, 0, Outcome::Completed);
        }
        at_slow
    };
    let (even, slow) = (share_of_slow(&mut node, 50.0), share_of_slow(&mut node, 500.0));
    assert!(even > 30 && slow < even * 3 / 4 && slow > 0, "{even} before, {slow} when ten times slower");
}

/// Odd figures and lists break nothing: whatever is taken still ends in one answer, and no push goes to who left.
#[test]
fn odd_numbers_and_shrinking_fleets() {
    for (nodes, me) in [(0.0, None), (0.0, Some(0.0)), (3.0, Some(7.0)), (-2.0, Some(-1.0)), (1e9, Some(5.0))]
    {
        let mut node = node_of(nodes, me);
        node.now = 50_000.0;
        let started = |e| if e % 2 == 0 { Some(49_000.0) } else { None };
        let all: Vec<Endpoint> =
            (0..3000).map(|e| listing(e * 5, e, EndpointState::Ready, started(e))).collect();
        node.list(ListUpdate::Snapshot, &all);
        let (request_id, actions) = node.arrive(3);
        // All but one leave while the probes are out; their answers come after that.
        node.list(ListUpdate::Snapshot, &all[1..2]);
        let mut seen = node.answer(actions, |_| 0.0);
        while said(&seen) == 'h' && node.now < 56_000.0 {
            node.now += 5.0;
            let actions = node.tell(Event::TimerFired);
            seen = node.answer(actions, |_| 0.0);
        }
        assert!(push_of(&seen).is_none_or(|executor| executor == all[1].executor), "{nodes} {me:?}");
        assert_ne!(said(&seen), 'h', "{nodes} {me:?}");
        if push_of(&seen).is_some() {
            assert_eq!(said(&node.end(request_id, 0, Outcome::Reset)), 'a');
        }
    }
}

/// Among hundreds of nodes a customer's part is far under one work unit a span; a few in a row are still no
/// excess, however short room is.
#[test]
fn a_small_part_of_a_share_lets_a_few_through() {
    let mut node = node(300.0);
    node.warm(2);
    let mut said_all = String::new();
    for _ in 0..4 {
        let (_, actions) = node.arrive_for(3, 1);
        said_all.push(said(&node.answer(actions, |_| 5.0)));
    }
    assert_eq!(said_all, "hhhd", "three are held, the fourth is beyond its share");
}

/// Ordinary long jobs at a busy node must not hide an executor that fails most of what it gets.
#[test]
fn distrust_tells_how_an_executor_does_and_not_how_much() {
    let mut node = node(1.0);
    node.warm(4);
    let mut sent = [0; 4];
    for k in 0..2000 {
        let (request_id, executor) = node.pushed(0);
        sent[number_of(executor) as usize] += usize::from(k >= 1000);
        node.now += if k % 4 == 0 { 25.0 } else { 5.0 };
        let fails = number_of(executor) == 3 && k % 4 != 0;
        let actions = node.end(request_id, 0, if fails { Outcome::Error } else { Outcome::Completed });
        if fails {
            push_of(&node.answer(actions, |_| 0.0)).unwrap();
            node.end(request_id, 1, Outcome::Completed);
        }
    }
    assert!(sent[3] < 50 && sent[..3].iter().all(|&n| n > 200), "{sent:?} of 1000 by executor");
}

/// A probe has its price: a node alone, with own work nearly everywhere, must not pay for every one drawn.
#[test]
fn no_more_probes_once_one_shows_room_where_they_are_priced() {
    // The price, the free slots that each of eight shows besides an own job, and whether one probe is enough.
    for (price, free, enough) in [(0.01, 3.0, true), (0.01, 1.0, true), (0.001, 3.0, true), (0.0, 3.0, false)]
    {
        let mut settings = settings_of(1.0, None);
        settings.prices.probe = price;
        let mut node = with(settings);
        node.warm(8);
        let (mut own, mut probes) = ([false; 8], 0);
        for k in 0..400 {
            node.now += 1000.0;
            let free_slots = Some(if own == [true; 8] { free } else { 4.0 });
            let (request_id, mut actions) = node.arrive(0);
            let probe = |actions: &[Action]| {
                actions.iter().find_map(|a| match a {
                    Action::Probe { executor } => Some(*executor),
                    _ => None,
                })
            };
            while let Some(executor) = probe(&actions) {
                probes += u32::from(k >= 300);
                let reading = LoadReport { queue_length: Some(0.0), free_slots, ..LoadReport::default() };
                actions = node.tell(replied(executor, 1.0, reading));
            }
            // One job stays at each executor, the others end.
            let executor = number_of(push_of(&actions).unwrap()) as usize;
            if std::mem::replace(&mut own[executor], true) {
                node.end(request_id, 0, Outcome::Completed);
            }
        }
        assert!(own == [true; 8]);
        let expected = if enough { 100..=100 } else { 150..=300 };
        assert!(expected.contains(&probes), "{probes} for 100, price {price}, {free} free");
    }
}

/// A cold executor runs all work several times longer: that must cost it neither trust nor make work look too
/// large for its budget, or fresh executors stay idle while the others queue.
#[test]
fn slow_while_cold_is_no_fault_and_no_size() {
    let drawn_and_sent = |slow: bool| {
        let mut node = node(9.0);
        let fresh = |e| if e < 4 { None } else { Some(0.0) };
        let entries: Vec<Endpoint> = (0..8).map(|e| listing(e, e, EndpointState::Ready, fresh(e))).collect();
        node.list(ListUpdate::Snapshot, &entries);
        for _ in 0..30 {
            let (request_id, executor) = node.pushed(0);
            let warmth = 0.25 + 0.75 * node.now / 10_000.0;
            node.now += if number_of(executor) >= 4 && slow { 50.0 / warmth } else { 50.0 };
            node.end(request_id, 0, Outcome::Completed);
        }
        node.now = node.now.max(4000.0);
        let drawn = (0..600).filter(|_| {
            let (request_id, actions) = node.arrive(0);
            let first = actions.iter().find_map(|a| {
                if let Action::Probe { executor } = a { Some(number_of(*executor)) } else { None }
            });
            node.tell(Event::RequestWithdrawn { request_id });
            node.answer(actions, |_| 0.0);
            first.expect("somebody is drawn") >= 4
        });
        let drawn = drawn.count();
        node.list(ListUpdate::Snapshot, &entries[7..]);
        let sent = (0..600).filter(|_| {
            let (_, actions) = node.arrive(0);
            push_of(&node.answer(actions, |_| 0.0)).is_some()
        });
        (drawn, sent.count())
    };
    let (usual, slow) = (drawn_and_sent(false), drawn_and_sent(true));
    assert!(slow.0 as f64 > 0.85 * usual.0 as f64, "drawn {} of 600 where slow, else {}", slow.0, usual.0);
    assert!(slow.1 as f64 > 0.85 * usual.1 as f64, "sent {} where slow, else {}", slow.1, usual.1);
}

/// One fault of an executor, then work elsewhere until a node that meets each of 60 once in six seconds would
/// meet it again: it is passed over. With five executors and the same traffic it is tried again by then.
#[test]
fn a_fault_is_remembered_until_an_executor_is_met_again() {
    for (executors, shun) in [(60, true), (5, false)] {
        let mut node = node(if shun { 100.0 } else { 1.0 });
        node.warm(executors);
        let mut bad = None;
        for k in 0..100 {
            let (request_id, executor) = node.pushed(0);
            node.now += 100.0;
            if k == 40 {
                bad = Some(executor);
                let actions = node.end(request_id, 0, Outcome::Error);
                push_of(&node.answer(actions, |_| 0.0)).expect("it may run again");
                node.end(request_id, 1, Outcome::Completed);
            } else {
                node.end(request_id, 0, Outcome::Completed);
            }
        }
        let arrivals = 40 * executors;
        let draws_it = |_: &u32| {
            let (request_id, actions) = node.arrive(0);
            let drawn = actions.contains(&Action::Probe { executor: bad.unwrap() });
            node.tell(Event::RequestWithdrawn { request_id });
            node.answer(actions, |_| 0.0);
            drawn
        };
        let share = (0..arrivals).filter(draws_it).count() as f64 / 40.0;
        assert!(
            if shun { share < 0.4 } else { share > 0.6 },
            "{executors}: drawn {share:.2} times an even part"
        );
    }
}

/// One of many nodes has next to nothing to hold, so it must see by the answers that room is short everywhere: then
/// it probes once for a work unit and holds it. A node alone, and one that sees few queues, draws again.
#[test]
fn one_probe_where_answers_show_no_room_anywhere() {
    for (nodes, busy, most) in [(100.0, true, 1), (100.0, false, 6), (1.0, true, 6)] {
        let mut node = node(nodes);
        node.warm(20);
        for _ in 0..200 {
            let (request_id, actions) = node.arrive(0);
            node.answer(actions, |_| if busy { 3.0 } else { 0.0 });
            node.tell(Event::RequestWithdrawn { request_id });
            node.now += 20.0;
        }
        let probes = std::cell::Cell::new(0);
        let (_, actions) = node.arrive(0);
        node.answer(actions, |_| {
            probes.set(probes.get() + 1);
            3.0
        });
        let probes = probes.get();
        assert!(
            probes <= most && (probes > 1) == (most > 1),
            "{nodes} nodes, queues {busy}: {probes} probes"
        );
    }
}

/// A burst that one process of a node begins and the next one goes on with, while both push for a time, stays
/// within the budget of one node; nothing of it is known of an executor that started anew.
#[test]
fn two_processes_of_a_node_keep_to_one_cold_budget() {
    let cold = |started| [listing(7, 0, EndpointState::Ready, Some(started))];
    // One more work unit, over at once, so that neither slots nor what is held stand in its way.
    let pushes = |node: &mut Node| {
        node.now += 11.0;
        let (request_id, actions) = node.arrive(0);
        let free_slots = Some(4.0 + node.now / 1e9);
        let mut pushed = push_of(&actions).is_some();
        if actions.iter().any(|a| matches!(a, Action::Probe { .. })) {
            let reading = LoadReport { queue_length: Some(0.0), free_slots, ..LoadReport::default() };
            let probed = replied(executor(7), 1.0, reading);
            pushed |= push_of(&node.tell(probed)).is_some();
        }
        node.tell(Event::RequestWithdrawn { request_id });
        pushed as u32
    };
    for (told, beside) in [(true, true), (true, false), (false, true), (false, false)] {
        let (mut old, mut new) = (node(1.0), node(1.0));
        (old.now, new.now) = (50_000.0, 50_000.0);
        old.list(ListUpdate::Snapshot, &cold(50_000.0));
        let mut sent = (0..10).map(|_| pushes(&mut old)).sum::<u32>();
        let learned = old.node.export_state(old.now);
        new.now = old.now;
        new.list(ListUpdate::Cached, &cold(50_000.0));
        if told {
            new.tell(Event::WarmStateReceived(learned));
        }
        if beside {
            for node in [&mut old, &mut new] {
                node.tell(Event::SiblingChanged { is_running: true });
            }
        }
        sent += (0..75).map(|_| pushes(&mut old) + pushes(&mut new)).sum::<u32>();
        // 4 slots at a quarter for 1000 ms, four times over; a work unit takes 100 ms until more is known.
        let whole = 4.0 * 0.25 * 4.0 * 1000.0 / 100.0;
        assert_eq!(sent as f64 <= whole, beside, "{sent} of {whole} with {told} {beside}");
        assert!(!(told && beside) || sent as f64 > whole / 2.0, "{sent}: what is there is used");
        // The other one left: half for as long as what it pushed counts.
        new.tell(Event::SiblingChanged { is_running: false });
        new.list(ListUpdate::Delta, &cold(new.now));
        let half = (0..75).map(|_| pushes(&mut new)).sum::<u32>();
        assert!(half >= 5 && half as f64 <= whole / 2.0, "started anew: {half} of {whole}");
    }
}

#[test]
fn a_next_process_goes_on_with_trust_and_running_times() {
    let mut old = node(1.0);
    old.warm(2);
    for _ in 0..40 {
        let (request_id, executor) = old.pushed(0);
        old.now += 20.0;
        let actions = old.end(
            request_id,
            0,
            if number_of(executor) == 0 { Outcome::Error } else { Outcome::Completed },
        );
        old.answer(actions, |_| 0.0);
        old.tell(Event::RequestWithdrawn { request_id });
    }
    let learned = old.node.export_state(old.now);
    assert!(
        learned.class_running_times[0].mean < 60.0 && learned.class_running_times[0].observations > 5.0,
        "{:?}",
        learned.class_running_times
    );
    let share_of_bad = |told: Option<WarmState>, started: Option<Millis>| {
        let mut new = node(1.0);
        new.now = old.now;
        new.warm(2);
        told.into_iter().for_each(|learned| _ = new.tell(Event::WarmStateReceived(learned)));
        new.list(ListUpdate::Delta, &[listing(0, 0, EndpointState::Ready, started)]);
        let mut to_bad = 0;
        for _ in 0..50 {
            let (request_id, executor) = new.pushed(0);
            to_bad += (number_of(executor) == 0) as u32;
            new.end(request_id, 0, Outcome::Completed);
        }
        to_bad
    };
    let (anew, told) = (share_of_bad(None, None), share_of_bad(Some(learned.clone()), None));
    let restarted = share_of_bad(Some(learned.clone()), Some(old.now - 60_000.0));
    assert!(
        told < anew / 2 && restarted > anew / 2,
        "{told} told, {anew} anew, {restarted} after its restart"
    );
    // One of a later or earlier list, or of executors that this one does not list, is skipped.
    let mut other = node(1.0);
    other.warm(1);
    other.tell(Event::WarmStateReceived(WarmState { sample_size: 99, ..learned }));
    assert_eq!(other.pushed(0).1, executor(0));
}

#[test]
fn new_settings_hold_for_new_work_alone() {
    let mut node = node(1.0);
    node.warm(6);
    let ((rerun, _), (never, _)) = (node.pushed(0), node.pushed(3));
    let mut settings = settings_of(1.0, None);
    // Type 4 is type 0 with a stricter effect and one attempt; all else stays under its number.
    settings.classes.push(ClassSettings {
        effect: Effect::AtMostOnce,
        deadline: Some(900.0),
        latency_objective: Some(90.0),
        max_attempts: Some(1.0),
        ..ClassSettings::default()
    });
    settings.limits.max_attempts = Some(1.0);
    node.node.apply_settings(node.now, &settings);
    let lost = |node: &mut Node, request_id: RequestId| {
        let actions = node.end(request_id, 0, Outcome::Reset);
        said(&node.answer(actions, |_| 0.0))
    };
    assert_eq!((lost(&mut node, rerun), lost(&mut node, never)), ('p', 'a'), "terms of their arrival");
    let (strict, _) = node.pushed(4);
    assert_eq!(lost(&mut node, strict), 'a');
    let (strict, _) = node.pushed(4);
    assert_eq!(said(&node.end(strict, 0, Outcome::Rejected)), 'd', "one attempt");
    let (rerun, _) = node.pushed(0);
    assert_eq!(lost(&mut node, rerun), 'p', "a number keeps its terms");
}

/// Where crossing is priced the near ones are drawn far more often, and those elsewhere still are: they take over
/// what the near ones have no room for.
#[test]
fn executors_elsewhere_are_drawn_less_where_crossing_is_priced() {
    for (price, near_full, least, most) in
        [(0.0, false, 0.35, 0.65), (0.03, false, 0.02, 0.3), (0.03, true, 1.0, 1.0)]
    {
        let mut settings = settings_of(1.0, None);
        settings.prices.cross_zone = price;
        settings.zone = Some(0.0);
        let mut node = with(settings);
        let at = |e: u32| Endpoint { zone: ZoneId(e % 2), ..listing(e, e, EndpointState::Ready, None) };
        node.list(ListUpdate::Snapshot, &(0..40).map(at).collect::<Vec<_>>());
        let queue = |e: u32| if near_full && e.is_multiple_of(2) { 3.0 } else { 0.0 };
        let (mut sent, mut far) = (0, 0);
        for _ in 0..60 {
            node.now += 5.0;
            let (request_id, actions) = node.arrive(0);
            if let Some(to) = push_of(&node.answer(actions, queue)) {
                (sent, far) = (sent + 1, far + number_of(to) % 2);
            }
            node.tell(Event::RequestWithdrawn { request_id });
        }
        let share = far as f64 / sent as f64;
        assert!(
            sent > 20 && (least..=most).contains(&share),
            "{far} of {sent} at {price}, near full: {near_full}"
        );
    }
}

fn without_probes(starts_told: bool) -> Node {
    let mut settings = settings_of(300.0, Some(0.0));
    settings.limits.probes_enabled = false;
    settings.limits.hedging_enabled = true;
    settings.executors.reports_start = starts_told;
    with(settings)
}

#[test]
fn nobody_is_probed_where_probes_are_forbidden() {
    let mut node = without_probes(true);
    node.warm(2);
    let (is_probe, mut out) = (|a: &Action| matches!(a, Action::Probe { .. }), [0_u32; 2]);
    for k in 0..200 {
        node.now = 10.0 * k as f64;
        let (request_id, actions) = node.arrive(0);
        out[number_of(push_of(&actions).expect("it is pushed at once")) as usize] += 1;
        // It begins at once: what does not has new requests turned away (tests/admission.rs).
        node.tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) });
        assert!(!actions.iter().any(is_probe) && out[0].abs_diff(out[1]) < 5, "{out:?} after {k}");
    }
    // Who turns it away says that room is short, who ends work that there is some; the third time is the last.
    let (request_id, _) = node.arrive(0);
    for (attempt_id, expected) in [(0, 'h'), (1, 'h'), (2, 'd')] {
        assert_eq!(said(&node.end(request_id, attempt_id, Outcome::Rejected)), expected, "{attempt_id}");
        let ended = node.end(RequestId(attempt_id as u64 + 1), 0, Outcome::Completed);
        assert_eq!(push_of(&ended).is_some(), expected == 'h', "{attempt_id}: sent where work ended");
    }
    assert!(push_of(&node.arrive(0).1).is_some());
    node.now += 2500.0;
    assert!(!node.tell(Event::TimerFired).iter().any(is_probe), "nor asked why work has not begun");
}

#[test]
fn fresh_executors_get_work_by_its_running_time_and_not_by_its_wait() {
    for told in [true, false] {
        let mut node = without_probes(told);
        node.warm(1);
        // Work that waits for 140 ms, which is not late yet, and runs for 50 ms.
        for _ in 0..100 {
            let (request_id, _) = node.arrive(0);
            node.now += 140.0;
            _ = told.then(|| node.tell(Event::AttemptStarted { request_id, attempt_id: AttemptId(0) }));
            node.now += 50.0;
            node.end(request_id, 0, Outcome::Completed);
        }
        // One that has just started, whose budget is dealt to this node.
        let fresh = Endpoint { token: 300, ..listing(1, 0, EndpointState::Ready, Some(node.now - 1500.0)) };
        node.list(ListUpdate::Delta, &[fresh]);
        assert_eq!((0..50).any(|_| push_of(&node.arrive(0).1) == Some(executor(1))), told);
    }
}
