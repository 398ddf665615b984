//! Compatibility with the file format of an earlier release: the fixture was written at commit cc67128. A change of the
//! encoding that misreads existing files fails here.
#![allow(clippy::unwrap_used, missing_docs)]
use std::path::PathBuf;
use troutknot::{AttemptId, Effect, Outcome, RequestId};
use troutknot_ledger::store::{Reader, Rows, Store};
use troutknot_ledger::{Answer, AttemptStatus, Fence, Ledger, Record, Row};

/// Time of the checks, in Unix milliseconds; no lease in the fixture expires before it.
const NOW: f64 = 1_500_000.0;

fn fixture_path() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/ledger.redb"))
}

fn read_fixture() -> Vec<Row> {
    let mut rows = Vec::new();
    Reader::open(&fixture_path()).unwrap().for_each_row(|row| rows.push(row.unwrap())).unwrap();
    rows
}

/// A restart after an upgrade must not lose requests or misread their attempts.
#[test]
fn open_and_answered_requests_of_an_earlier_release_are_recovered() {
    let rows = read_fixture();
    let (ledger, error) = Ledger::recover(&rows);
    assert_eq!((rows.len(), ledger.len(), error), (50, 11, None));
    let open: Vec<u64> = ledger.open_jobs().map(|(id, _)| id.0).collect();
    assert_eq!(open, [9, 10, 11, 12]);
    assert_eq!((ledger.find_by_client_id("id-3"), ledger.find_by_key("key-10")), (None, Some(RequestId(10))));
    let effects = [Effect::Idempotent, Effect::Deduplicated, Effect::AtMostOnce];
    let outcomes = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::NoConnection,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
        Outcome::Completed,
    ];
    for (id, request) in ledger.jobs() {
        let number = id.0 as usize;
        assert_eq!(request.effect, effects[number % 3], "{number}");
        assert_eq!(
            (request.client_id.as_str(), request.digest),
            (format!("id-{number}").as_str(), [number as u8; 32])
        );
        assert_eq!(request.key, number.is_multiple_of(2).then(|| format!("key-{number}")));
        if number <= 9 {
            assert_eq!(request.attempts[0].outcome, Some(outcomes[(number - 1).min(7)]), "{number}");
            assert_eq!(request.attempts[0].has_started, number % 2 == 1, "{number}");
        }
        assert_eq!(
            (request.answered_at.is_some(), request.is_acknowledged),
            (number < 9, number < 6),
            "{number}"
        );
    }
    let attempts = &ledger.job(RequestId(10)).unwrap().attempts;
    assert_eq!(
        (attempts[0].status(NOW), attempts[1].status(NOW)),
        (AttemptStatus::NeverRan, AttemptStatus::Unknown)
    );
    assert_eq!((attempts[1].fence, attempts[1].executor.as_str()), (Fence(2), "s-2"));
    assert_eq!(ledger.job(RequestId(11)).unwrap().attempts[0].status(0.0), AttemptStatus::InFlight);
}

/// Recorded answers are returned to clients, and heartbeats extend leases, also after an upgrade.
#[test]
fn answers_and_heartbeats_of_an_earlier_release_are_decoded() {
    let rows = read_fixture();
    let find_answer = |number| {
        rows.iter().find_map(|row| match &row.record {
            Record::Answered { request_id, answer } if request_id.0 == number => Some(answer.clone()),
            _ => None,
        })
    };
    assert_eq!(find_answer(4), Some(Answer::Completed(vec![7; 40])));
    assert_eq!(find_answer(5), Some(Answer::Rejected(Some(250.0))));
    assert_eq!(find_answer(6), Some(Answer::Rejected(None)));
    assert_eq!(find_answer(7), Some(Answer::Failed));
    let heartbeat =
        Record::Heartbeat { request_id: RequestId(9), attempt_id: AttemptId(0), lease_until: 2e6 };
    assert!(rows.iter().any(|row| row.record == heartbeat));
}

/// New records can be appended to a file of an earlier release. The test writes to a copy of the fixture.
#[test]
fn a_ledger_of_an_earlier_release_accepts_new_records() {
    let path = std::env::temp_dir().join(format!("troutknot-compatibility-{}.redb", std::process::id()));
    std::fs::copy(fixture_path(), &path).unwrap();
    {
        let store = Store::open(&path).unwrap();
        let (mut ledger, _) = Ledger::recover(&read_fixture());
        let answer = Record::Answered { request_id: RequestId(12), answer: Answer::Failed };
        store.commit([&ledger.apply(NOW, answer).unwrap()]).unwrap();
        assert_eq!(store.read_rows(RequestId(12)).unwrap().len(), 2);
    }
    std::fs::remove_file(path).unwrap();
}
