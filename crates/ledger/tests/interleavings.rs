//! Every order of crash, lease end, wake-up, late end and retry, until no new state comes, for one exclusive work
//! unit: it must never run twice, nor be out twice at once. A ledger whose leases free must be caught.
#![allow(clippy::unwrap_used, missing_docs)]
use std::collections::HashSet;
use troutknot::{AttemptId, Effect, Outcome, RequestId};
use troutknot_ledger::{Answer, AttemptStatus, DispatchError, Fence, Ledger, Record, RecordError, Row};

const WU: RequestId = RequestId(1);
const MOST: usize = 3;
const DEPTH: usize = 24;

fn taken(effect: Effect) -> Record {
    let (id, digest, work) = ("a".into(), [0; 32], Vec::new());
    Record::Accepted {
        request_id: WU,
        effect,
        deadline: 1e9,
        client_id: id,
        key: Some("k".into()),
        digest,
        payload: work,
    }
}

/// As they stand on disk.
fn rows(records: Vec<Record>) -> Vec<Row> {
    let row = |(place, record)| Row { recorded_at: 0.0, sequence: place as u32, record };
    records.into_iter().enumerate().map(row).collect()
}

/// What an executor did with an allocation that reached it, or not.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum At {
    /// On record, not sent.
    Record,
    /// Taken, and paused for any time.
    Paused,
    Ran,
    Refused,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct World {
    /// One a lease, each an own unit of time; the lease of an allocation ends by a step.
    attempts: Vec<(At, bool)>,
    /// Ends and fences on record.
    ended: Vec<Option<bool>>,
    up: bool,
}

/// The records that a world stands for: all of them are on disk whenever a step is over.
fn records(world: &World) -> Vec<Record> {
    let mut records = vec![taken(Effect::AtMostOnce)];
    for (k, (_, lease_over)) in world.attempts.iter().enumerate() {
        let lease_until = if *lease_over { 0.0 } else { f64::MAX };
        let fence = Fence(k as u64 + 1);
        records.push(Record::Dispatched { request_id: WU, fence, executor: "s".into(), lease_until });
        match world.ended[k] {
            Some(true) => records.push(Record::Ended {
                request_id: WU,
                attempt_id: AttemptId(k as u32),
                outcome: Outcome::Completed,
            }),
            Some(false) => records.push(Record::Fenced { request_id: WU, attempt_id: AttemptId(k as u32) }),
            None => {}
        }
    }
    records
}

/// All that may happen next; `frees` is the mutant whose leases free when they end.
fn next(world: &World, frees: bool) -> Vec<World> {
    let mut worlds = Vec::new();
    let mut then = |change: &dyn Fn(&mut World)| {
        let mut next = world.clone();
        change(&mut next);
        worlds.push(next);
    };
    if !world.up {
        then(&|w| w.up = true);
    } else {
        then(&|w| w.up = false);
        let (ledger, broken) = Ledger::recover(MOST, &rows(records(world)));
        assert!(broken.is_none() || frees, "{broken:?} {world:?}");
        let job = ledger.job(WU).unwrap();
        let mutant = frees && world.attempts.len() < MOST && world.attempts.iter().all(|(_, over)| *over);
        if job.next_fence(1.0, MOST).is_ok() || mutant {
            then(&|w| {
                w.attempts.push((At::Record, false));
                w.ended.push(None);
            });
        }
    }
    for (k, (at, lease_over)) in world.attempts.iter().enumerate() {
        match at {
            // A node that is down sends nothing, and one that came back does not send what it had recorded.
            At::Record if world.up && k + 1 == world.attempts.len() => {
                then(&|w| w.attempts[k].0 = At::Paused)
            }
            At::Paused => then(&|w| w.attempts[k].0 = At::Ran),
            At::Ran if world.up && world.ended[k].is_none() => then(&|w| w.ended[k] = Some(true)),
            _ => {}
        }
        if !lease_over {
            then(&|w| w.attempts[k].1 = true);
        }
        // The executor is asked, and says that it has not run this fence and never will.
        if world.up && *lease_over && matches!(at, At::Record | At::Paused) && world.ended[k].is_none() {
            then(&|w| (w.attempts[k].0, w.ended[k]) = (At::Refused, Some(false)));
        }
    }
    worlds
}

/// The most runs in any state within the depth, and how many states there are.
fn explore(frees: bool) -> (usize, usize) {
    let mut seen: HashSet<World> = HashSet::from([World::default()]);
    let (mut edge, mut most) = (vec![World::default()], 0);
    for _ in 0..DEPTH {
        let worlds: Vec<World> = edge.iter().flat_map(|world| next(world, frees)).collect();
        edge = worlds.into_iter().filter(|world| seen.insert(world.clone())).collect();
        for world in &edge {
            most = most.max(world.attempts.iter().filter(|(at, _)| *at == At::Ran).count());
        }
    }
    assert!(edge.is_empty(), "the depth reaches every state");
    (most, seen.len())
}

#[test]
fn no_order_of_events_runs_exclusive_work_twice_and_a_lease_that_frees_is_caught() {
    let (most, states) = explore(false);
    assert_eq!(most, 1, "in {states} states");
    println!("{states} states to depth {DEPTH}");
    assert!(states > 50, "{states} states");
    assert!(explore(true).0 > 1, "the mutant is caught");
}

#[test]
fn records_that_do_not_follow_are_refused_and_change_nothing() {
    let taken = taken(Effect::AtMostOnce);
    let other = |id: &str, key: &str| {
        let (id, key, digest, work) = (id.into(), Some(key.into()), [0; 32], Vec::new());
        Record::Accepted {
            request_id: RequestId(2),
            effect: Effect::AtMostOnce,
            deadline: 9.0,
            client_id: id,
            key,
            digest,
            payload: work,
        }
    };
    let answered = Record::Answered { request_id: WU, answer: Answer::Failed };
    let allocated = |fence| Record::Dispatched {
        request_id: WU,
        fence: Fence(fence),
        executor: "s".into(),
        lease_until: 5.0,
    };
    let ended = |outcome| Record::Ended { request_id: WU, attempt_id: AttemptId(0), outcome };
    let cases: Vec<(Vec<Record>, Record, RecordError)> = vec![
        (vec![], allocated(1), RecordError::UnknownRequest),
        (vec![taken.clone()], taken.clone(), RecordError::DuplicateRequest),
        (vec![taken.clone()], ended(Outcome::Reset), RecordError::UnknownAttempt),
        (
            vec![taken.clone(), allocated(1)],
            allocated(2),
            RecordError::DispatchNotAllowed(DispatchError::InFlight),
        ),
        (
            vec![taken.clone(), allocated(1), ended(Outcome::Reset)],
            allocated(2),
            RecordError::DispatchNotAllowed(DispatchError::MayHaveRun),
        ),
        (
            vec![taken.clone(), allocated(7), ended(Outcome::Rejected)],
            allocated(7),
            RecordError::FenceNotIncreasing,
        ),
        (
            vec![taken.clone(), allocated(1), ended(Outcome::Rejected)],
            ended(Outcome::Rejected),
            RecordError::AttemptEnded,
        ),
        (
            vec![taken.clone(), allocated(1), Record::Started { request_id: WU, attempt_id: AttemptId(0) }],
            Record::Fenced { request_id: WU, attempt_id: AttemptId(0) },
            RecordError::AttemptEnded,
        ),
        (vec![taken.clone(), answered.clone()], allocated(1), RecordError::Answered),
        (vec![taken.clone()], other("a", "l"), RecordError::DuplicateRequest),
        (vec![taken.clone()], other("b", "k"), RecordError::DuplicateKey),
        (vec![taken.clone()], Record::Acknowledged { request_id: WU }, RecordError::NotAnswered),
        (vec![taken.clone(), answered.clone()], answered, RecordError::Answered),
        (vec![taken.clone()], Record::Forgotten { request_id: WU }, RecordError::NotAnswered),
    ];
    for (before, record, expected) in cases {
        let mut ledger = Ledger::new(MOST);
        before.into_iter().for_each(|record| _ = ledger.apply(1.0, record).unwrap());
        let was = ledger.clone();
        assert_eq!(ledger.apply(1.0, record.clone()), Err(expected), "{record:?}");
        assert_eq!(ledger, was);
    }
}

#[test]
fn leases_that_run_out_are_unknown_and_heartbeats_hold_them() {
    let mut ledger = Ledger::new(MOST);
    let attempt_id = AttemptId(0);
    for record in [
        taken(Effect::Idempotent),
        Record::Dispatched { request_id: WU, fence: Fence(1), executor: "s".into(), lease_until: 10.0 },
        Record::Heartbeat { request_id: WU, attempt_id, lease_until: 20.0 },
        // One that was under way for long does not shorten it.
        Record::Heartbeat { request_id: WU, attempt_id, lease_until: 15.0 },
    ] {
        ledger.apply(1.0, record).unwrap();
    }
    let job = ledger.job(WU).unwrap();
    assert_eq!(
        [9.0, 19.0, 20.0].map(|now| job.attempts[0].status(now)),
        [AttemptStatus::InFlight, AttemptStatus::InFlight, AttemptStatus::Unknown]
    );
    assert_eq!(job.next_fence(19.0, MOST), Err(DispatchError::InFlight));
    assert_eq!(job.next_fence(20.0, MOST), Ok(Fence(2)), "rerunnable work may run again");
    assert_eq!(job.next_fence(20.0, 1), Err(DispatchError::MaxAttempts));
    assert_eq!(ledger.open_jobs().count(), 1);
}

#[test]
fn every_prefix_of_records_is_a_state_and_a_gap_is_none() {
    let attempt_id = AttemptId(0);
    let mut ledger = Ledger::new(MOST);
    let records = vec![
        taken(Effect::AtMostOnce),
        Record::Dispatched { request_id: WU, fence: Fence(1), executor: "s".into(), lease_until: 5.0 },
        Record::Started { request_id: WU, attempt_id },
        Record::Ended { request_id: WU, attempt_id, outcome: Outcome::Reset },
        Record::Answered { request_id: WU, answer: Answer::Completed(b"r".to_vec()) },
        Record::Acknowledged { request_id: WU },
    ];
    let mut written = Vec::new();
    for (at, record) in records.into_iter().enumerate() {
        written.push(ledger.apply(at as f64, record).unwrap());
        let (again, broken) = Ledger::recover(MOST, &written);
        assert_eq!((&again, broken), (&ledger, None));
        assert_eq!(again.latest_time(), at as f64, "time goes on from the last record");
    }
    assert_eq!(
        (ledger.next_number(), ledger.find_by_key("k"), ledger.find_by_client_id("a")),
        (2, Some(WU), Some(WU))
    );
    assert_eq!(ledger.answered_before(4.0, 9), []);
    assert_eq!(ledger.answered_before(4.1, 9), [WU]);
    let gap: Vec<Row> = written.iter().filter(|row| row.sequence != 2).cloned().collect();
    assert_eq!(Ledger::recover(MOST, &gap).1, Some((2, RecordError::MissingRows)));
    ledger.apply(9.0, Record::Forgotten { request_id: WU }).unwrap();
    assert!(
        ledger.is_empty() && ledger.find_by_key("k").is_none() && ledger.answered_before(1e9, 9).is_empty()
    );
}
