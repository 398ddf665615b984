//! Model check of one at-most-once request: explores every order of crash, lease expiry, delayed start, late outcome,
//! retry and change of the settings until no new state is reached. The request must never run twice, nor have two
//! attempts in flight, and its records must be recovered in every state. A faulty ledger that frees a request when its
//! lease expires, and one that judges records by the present settings, must be detected.
#![allow(clippy::unwrap_used, missing_docs)]
use std::collections::HashSet;
use troutknot::{AttemptId, Effect, Outcome, RequestId};
use troutknot_ledger::{
    Answer, AttemptStatus, DispatchError, Fence, Ledger, MAX_ATTEMPTS, Record, RecordError, Row,
};

const REQUEST: RequestId = RequestId(1);
/// Upper bound on the steps from the initial state.
const MAX_DEPTH: usize = 24;

fn accepted_record(effect: Effect) -> Record {
    Record::Accepted {
        request_id: REQUEST,
        effect,
        deadline: 1e9,
        client_id: "a".into(),
        key: Some("k".into()),
        digest: [0; 32],
        payload: Vec::new(),
    }
}

/// The rows of one request as they are on disk.
fn to_rows(records: Vec<Record>) -> Vec<Row> {
    let to_row = |(index, record)| Row { recorded_at: 0.0, sequence: index as u32, record };
    records.into_iter().enumerate().map(to_row).collect()
}

/// How far an attempt has got.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Progress {
    /// Recorded, not sent.
    Recorded,
    /// Received by the executor, which delays it for any time.
    Delayed,
    Ran,
    Refused,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct SystemState {
    /// Each attempt with whether its lease has expired; a step of its own expires it.
    attempts: Vec<(Progress, bool)>,
    /// For each attempt, whether its outcome (`true`) or its fencing (`false`) is recorded.
    ended: Vec<Option<bool>>,
    is_node_up: bool,
    /// The number of attempts that the settings allow now. A reload changes it while the node is up, and an edited
    /// file while it is down.
    allowed_attempts: usize,
}

const INITIAL_STATE: SystemState = SystemState {
    attempts: Vec::new(),
    ended: Vec::new(),
    is_node_up: false,
    allowed_attempts: MAX_ATTEMPTS,
};

/// A fault of the ledger that the model check must detect.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LedgerFault {
    /// Another attempt is allowed as soon as all leases have expired.
    ExpiredLeaseFrees,
    /// Records over the present limit on attempts are refused.
    RecordsJudgedBySettings,
}

/// The records in a state; all of them are on disk after each step.
fn to_records(state: &SystemState) -> Vec<Record> {
    let mut records = vec![accepted_record(Effect::AtMostOnce)];
    for (index, (_, has_lease_expired)) in state.attempts.iter().enumerate() {
        let lease_until = if *has_lease_expired { 0.0 } else { f64::MAX };
        let fence = Fence(index as u64 + 1);
        let attempt_id = AttemptId(index as u32);
        records.push(Record::Dispatched { request_id: REQUEST, fence, executor: "s".into(), lease_until });
        match state.ended[index] {
            Some(true) => {
                records.push(Record::Ended { request_id: REQUEST, attempt_id, outcome: Outcome::Completed })
            }
            Some(false) => records.push(Record::Fenced { request_id: REQUEST, attempt_id }),
            None => {}
        }
    }
    records
}

/// Recovers the request from its records. Returns `None` if they are refused, so that the node does not start.
fn recover(state: &SystemState, fault: Option<LedgerFault>) -> Option<Ledger> {
    let (ledger, error) = Ledger::recover(&to_rows(to_records(state)));
    let is_over_limit = state.attempts.len() > state.allowed_attempts;
    let is_refused = match fault {
        Some(LedgerFault::RecordsJudgedBySettings) => is_over_limit,
        // This ledger has records that a correct one refuses.
        Some(LedgerFault::ExpiredLeaseFrees) => false,
        None => error.is_some(),
    };
    (!is_refused).then_some(ledger)
}

/// Returns the states that can follow.
fn next_states(state: &SystemState, ledger: &Ledger, fault: Option<LedgerFault>) -> Vec<SystemState> {
    let mut states = Vec::new();
    let mut add_state = |change: &dyn Fn(&mut SystemState)| {
        let mut next = state.clone();
        change(&mut next);
        states.push(next);
    };
    (1..=MAX_ATTEMPTS).for_each(|allowed| add_state(&|next| next.allowed_attempts = allowed));
    if !state.is_node_up {
        add_state(&|next| next.is_node_up = true);
    } else {
        add_state(&|next| next.is_node_up = false);
        let job = ledger.job(REQUEST).unwrap();
        let is_freed = fault == Some(LedgerFault::ExpiredLeaseFrees)
            && state.attempts.len() < state.allowed_attempts
            && state.attempts.iter().all(|(_, has_lease_expired)| *has_lease_expired);
        if job.next_fence(1.0, state.allowed_attempts).is_ok() || is_freed {
            add_state(&|next| {
                next.attempts.push((Progress::Recorded, false));
                next.ended.push(None);
            });
        }
    }
    for (index, (progress, has_lease_expired)) in state.attempts.iter().enumerate() {
        let can_end = state.is_node_up && state.ended[index].is_none();
        match progress {
            // A node that is down sends nothing. After a restart it does not send an attempt recorded earlier.
            Progress::Recorded if state.is_node_up && index + 1 == state.attempts.len() => {
                add_state(&|next| next.attempts[index].0 = Progress::Delayed)
            }
            Progress::Delayed => add_state(&|next| next.attempts[index].0 = Progress::Ran),
            Progress::Ran if can_end => add_state(&|next| next.ended[index] = Some(true)),
            _ => {}
        }
        if !has_lease_expired {
            add_state(&|next| next.attempts[index].1 = true);
        }
        // The node asks the executor, which confirms that it has not run this fence and never will.
        if can_end && *has_lease_expired && matches!(progress, Progress::Recorded | Progress::Delayed) {
            add_state(&|next| (next.attempts[index].0, next.ended[index]) = (Progress::Refused, Some(false)));
        }
    }
    states
}

/// What holds in the reachable states.
struct Exploration {
    states: usize,
    /// Maximum number of runs of the request in any state.
    max_runs: usize,
    /// Number of states in which a node does not start on the records.
    refused: usize,
}

fn explore(fault: Option<LedgerFault>) -> Exploration {
    let mut visited: HashSet<SystemState> = HashSet::from([INITIAL_STATE]);
    let (mut frontier, mut max_runs, mut refused) = (vec![INITIAL_STATE], 0, 0);
    for _ in 0..MAX_DEPTH {
        let mut states = Vec::new();
        for state in &frontier {
            match recover(state, fault) {
                Some(ledger) => states.extend(next_states(state, &ledger, fault)),
                None => refused += 1,
            }
        }
        frontier = states.into_iter().filter(|state| visited.insert(state.clone())).collect();
        for state in &frontier {
            let runs = state.attempts.iter().filter(|(progress, _)| *progress == Progress::Ran).count();
            max_runs = max_runs.max(runs);
        }
    }
    assert!(frontier.is_empty(), "every state is reached within the maximum depth");
    Exploration { states: visited.len(), max_runs, refused }
}

/// An attempt whose lease has expired may still run, and dispatching the request again would run it twice. Settings
/// that allow fewer attempts than are recorded must not make the records invalid.
#[test]
fn no_order_of_events_runs_an_at_most_once_request_twice_or_invalidates_its_records() {
    let Exploration { states, max_runs, refused } = explore(None);
    assert_eq!((max_runs, refused), (1, 0), "in {states} states");
    println!("{states} states to depth {MAX_DEPTH}");
    assert!(states > 150, "{states} states");
    assert!(explore(Some(LedgerFault::ExpiredLeaseFrees)).max_runs > 1, "the faulty ledger is detected");
    assert!(explore(Some(LedgerFault::RecordsJudgedBySettings)).refused > 0, "the faulty ledger is detected");
}

/// Records that no node can have written are damage, whatever the settings allow. A node that accepts them could run
/// a request again, or answer it a second time.
#[test]
fn contradictory_rows_are_refused_at_a_start() {
    let attempt_id = AttemptId(0);
    let dispatched = |fence| Record::Dispatched {
        request_id: REQUEST,
        fence: Fence(fence),
        executor: "s".into(),
        lease_until: 5.0,
    };
    let ended =
        |number, outcome| Record::Ended { request_id: REQUEST, attempt_id: AttemptId(number), outcome };
    let answered = Record::Answered { request_id: REQUEST, answer: Answer::Failed };
    let accepted = || accepted_record(Effect::AtMostOnce);
    let mut one_attempt_too_many = vec![accepted()];
    for number in 0..MAX_ATTEMPTS as u32 {
        one_attempt_too_many.extend([dispatched(u64::from(number) + 1), ended(number, Outcome::Rejected)]);
    }
    one_attempt_too_many.push(dispatched(MAX_ATTEMPTS as u64 + 1));
    let not_allowed = RecordError::DispatchNotAllowed;
    let cases = [
        (one_attempt_too_many, not_allowed(DispatchError::MaxAttempts)),
        (vec![accepted(), dispatched(1), dispatched(2)], not_allowed(DispatchError::MayHaveRun)),
        (
            vec![accepted(), dispatched(1), ended(0, Outcome::Reset), dispatched(2)],
            not_allowed(DispatchError::MayHaveRun),
        ),
        (
            vec![accepted(), dispatched(2), ended(0, Outcome::Rejected), dispatched(2)],
            RecordError::FenceNotIncreasing,
        ),
        (vec![accepted(), answered.clone(), dispatched(1)], RecordError::Answered),
        (vec![accepted(), answered.clone(), answered], RecordError::Answered),
        (vec![accepted(), accepted()], RecordError::DuplicateRequest),
        (vec![accepted(), ended(0, Outcome::Reset)], RecordError::UnknownAttempt),
        (
            vec![accepted(), dispatched(1), Record::Started { request_id: REQUEST, attempt_id }, accepted()],
            RecordError::DuplicateRequest,
        ),
        (
            vec![
                accepted(),
                dispatched(1),
                Record::Started { request_id: REQUEST, attempt_id },
                Record::Fenced { request_id: REQUEST, attempt_id },
            ],
            RecordError::AttemptEnded,
        ),
        (vec![dispatched(1)], RecordError::UnknownRequest),
    ];
    for (records, expected) in cases {
        let (last, text) = (records.len() - 1, format!("{records:?}"));
        assert_eq!(Ledger::recover(&to_rows(records)).1, Some((last, expected)), "{text}");
    }
}

/// An invalid record that is accepted, or a refused one that changes the state, makes the ledger disagree with the disk.
#[test]
fn invalid_records_are_refused_and_change_nothing() {
    let accepted = accepted_record(Effect::AtMostOnce);
    let other_request = |client_id: &str, key: &str| Record::Accepted {
        request_id: RequestId(2),
        effect: Effect::AtMostOnce,
        deadline: 9.0,
        client_id: client_id.into(),
        key: Some(key.into()),
        digest: [0; 32],
        payload: Vec::new(),
    };
    let answered = Record::Answered { request_id: REQUEST, answer: Answer::Failed };
    let dispatched = |fence| Record::Dispatched {
        request_id: REQUEST,
        fence: Fence(fence),
        executor: "s".into(),
        lease_until: 5.0,
    };
    let ended = |outcome| Record::Ended { request_id: REQUEST, attempt_id: AttemptId(0), outcome };
    let cases: Vec<(Vec<Record>, Record, RecordError)> = vec![
        (vec![], dispatched(1), RecordError::UnknownRequest),
        (vec![accepted.clone()], accepted.clone(), RecordError::DuplicateRequest),
        (vec![accepted.clone()], ended(Outcome::Reset), RecordError::UnknownAttempt),
        (
            vec![accepted.clone(), dispatched(1)],
            dispatched(2),
            RecordError::DispatchNotAllowed(DispatchError::InFlight),
        ),
        (
            vec![accepted.clone(), dispatched(1), ended(Outcome::Reset)],
            dispatched(2),
            RecordError::DispatchNotAllowed(DispatchError::MayHaveRun),
        ),
        (
            vec![accepted.clone(), dispatched(7), ended(Outcome::Rejected)],
            dispatched(7),
            RecordError::FenceNotIncreasing,
        ),
        (
            vec![accepted.clone(), dispatched(1), ended(Outcome::Rejected)],
            ended(Outcome::Rejected),
            RecordError::AttemptEnded,
        ),
        (
            vec![
                accepted.clone(),
                dispatched(1),
                Record::Started { request_id: REQUEST, attempt_id: AttemptId(0) },
            ],
            Record::Fenced { request_id: REQUEST, attempt_id: AttemptId(0) },
            RecordError::AttemptEnded,
        ),
        (vec![accepted.clone(), answered.clone()], dispatched(1), RecordError::Answered),
        (vec![accepted.clone()], other_request("a", "l"), RecordError::DuplicateRequest),
        (vec![accepted.clone()], other_request("b", "k"), RecordError::DuplicateKey),
        (vec![accepted.clone()], Record::Acknowledged { request_id: REQUEST }, RecordError::NotAnswered),
        (vec![accepted.clone(), answered.clone()], answered, RecordError::Answered),
        (vec![accepted.clone()], Record::Forgotten { request_id: REQUEST }, RecordError::NotAnswered),
    ];
    for (earlier, record, expected) in cases {
        let mut ledger = Ledger::default();
        earlier.into_iter().for_each(|record| _ = ledger.apply(1.0, record).unwrap());
        let before = ledger.clone();
        assert_eq!(ledger.apply(1.0, record.clone()), Err(expected), "{record:?}");
        assert_eq!(ledger, before);
    }
}

/// A request with a running attempt must not be dispatched again, and one without must not wait for ever.
#[test]
fn heartbeats_extend_a_lease_and_an_expired_one_allows_a_retry_of_an_idempotent_request() {
    let mut ledger = Ledger::default();
    let attempt_id = AttemptId(0);
    for record in [
        accepted_record(Effect::Idempotent),
        Record::Dispatched { request_id: REQUEST, fence: Fence(1), executor: "s".into(), lease_until: 10.0 },
        Record::Heartbeat { request_id: REQUEST, attempt_id, lease_until: 20.0 },
        // A heartbeat that arrives late does not shorten the lease.
        Record::Heartbeat { request_id: REQUEST, attempt_id, lease_until: 15.0 },
    ] {
        ledger.apply(1.0, record).unwrap();
    }
    let job = ledger.job(REQUEST).unwrap();
    assert_eq!(
        [9.0, 19.0, 20.0].map(|now| job.attempts[0].status(now)),
        [AttemptStatus::InFlight, AttemptStatus::InFlight, AttemptStatus::Unknown]
    );
    assert_eq!(job.next_fence(19.0, MAX_ATTEMPTS), Err(DispatchError::InFlight));
    assert_eq!(job.next_fence(20.0, MAX_ATTEMPTS), Ok(Fence(2)), "an idempotent request may run again");
    assert_eq!(job.next_fence(20.0, 1), Err(DispatchError::MaxAttempts));
    assert_eq!(ledger.open_jobs().count(), 1);
}

/// A crash can leave any prefix of the records on disk, and each must be recovered. A gap means damage.
#[test]
fn every_prefix_of_the_records_is_recovered_and_a_gap_is_refused() {
    let attempt_id = AttemptId(0);
    let mut ledger = Ledger::default();
    let records = vec![
        accepted_record(Effect::AtMostOnce),
        Record::Dispatched { request_id: REQUEST, fence: Fence(1), executor: "s".into(), lease_until: 5.0 },
        Record::Started { request_id: REQUEST, attempt_id },
        Record::Ended { request_id: REQUEST, attempt_id, outcome: Outcome::Reset },
        Record::Answered { request_id: REQUEST, answer: Answer::Completed(b"r".to_vec()) },
        Record::Acknowledged { request_id: REQUEST },
    ];
    let mut written = Vec::new();
    for (index, record) in records.into_iter().enumerate() {
        written.push(ledger.apply(index as f64, record).unwrap());
        let (recovered, error) = Ledger::recover(&written);
        assert_eq!((&recovered, error), (&ledger, None));
        assert_eq!(recovered.latest_time(), index as f64, "the time of the last record");
    }
    assert_eq!(
        (ledger.next_number(), ledger.find_by_key("k"), ledger.find_by_client_id("a")),
        (2, Some(REQUEST), Some(REQUEST))
    );
    assert_eq!(ledger.answered_before(4.0, 9), []);
    assert_eq!(ledger.answered_before(4.1, 9), [REQUEST]);
    let gap: Vec<Row> = written.iter().filter(|row| row.sequence != 2).cloned().collect();
    assert_eq!(Ledger::recover(&gap).1, Some((2, RecordError::MissingRows)));
    ledger.apply(9.0, Record::Forgotten { request_id: REQUEST }).unwrap();
    assert!(
        ledger.is_empty() && ledger.find_by_key("k").is_none() && ledger.answered_before(1e9, 9).is_empty()
    );
}
