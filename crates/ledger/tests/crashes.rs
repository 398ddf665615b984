//! The ledger on a disk that loses power, fails, is full or stalls.
#![allow(clippy::unwrap_used, missing_docs)]
mod common;

use common::*;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};
use troutknot::RequestId;
use troutknot_ledger::committer::{CommitError, Committer, SyncMode};
use troutknot_ledger::store::{Reader, Rows, Store, StoreError};
use troutknot_ledger::{Ledger, Record, Row};

/// Upper bound on the wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn recover(store: &impl Rows) -> Ledger {
    let mut rows = Vec::new();
    store.for_each_row(|row| rows.push(row.unwrap())).unwrap();
    let (ledger, error) = Ledger::recover(&rows);
    assert_eq!(error, None, "the rows on disk are valid");
    ledger
}

/// For each request its number, its number of rows, and whether it is answered.
fn summarize(ledger: &Ledger) -> Vec<(u64, u32, bool)> {
    (0..200)
        .filter_map(|request_id| Some((request_id, ledger.job(RequestId(request_id))?)))
        .map(|(request_id, job)| (request_id, job.row_count, job.answered_at.is_some()))
        .collect()
}

/// Commits batches until the disk fails at the given operation, then checks the contents after 4 different crashes.
/// `is_faulty` simulates a store that confirms a batch before it is written, with the next one. Returns the number of
/// disk operations, or what was lost.
fn check_crash(failing_operation: Option<u64>, is_faulty: bool) -> Result<u64, String> {
    let disk = SimulatedDisk::default();
    disk.fail_from(failing_operation);
    let mut ledger = Ledger::default();
    // The states after each confirmed batch, and after the one whose commit failed.
    let mut states = vec![summarize(&ledger)];
    let batches = concurrent_batches(&mut Ledger::default(), 24);
    let mut confirmed_count = 0;
    if let Ok(store) = Store::with_backend(disk.clone()) {
        let mut unwritten: Vec<Row> = Vec::new();
        for batch in &batches {
            let committed = if is_faulty {
                let committed = store.commit(&unwritten);
                unwritten.clone_from(batch);
                committed
            } else {
                store.commit(batch)
            };
            for row in batch {
                ledger.restore(row).unwrap();
            }
            states.push(summarize(&ledger));
            if committed.is_err() {
                break;
            }
            confirmed_count += 1;
        }
        // The process crashes: what the store writes when it is dropped must fail as well.
        disk.fail_from(Some(0));
    }
    for seed in 0..4 {
        let crashed = disk.crash(seed + 1000 * failing_operation.unwrap_or(0));
        let store = match Store::with_backend(crashed.clone()) {
            Ok(store) => store,
            // The crash happened while the ledger was created, and no batch was confirmed.
            Err(_) if confirmed_count == 0 => continue,
            Err(error) => return Err(format!("operation {failing_operation:?}: not opened: {error}")),
        };
        let found = summarize(&recover(&store));
        let allowed = &states[confirmed_count..states.len().min(confirmed_count + 2)];
        if !allowed.contains(&found) {
            return Err(format!("operation {failing_operation:?}: {found:?} is none of {allowed:?}"));
        }
        // The recovered store accepts new rows.
        let row = Row { recorded_at: 1.0, sequence: 0, record: accepted_record(199) };
        if let Err(error) = store.commit(&[row]) {
            return Err(format!("operation {failing_operation:?}: {error}"));
        }
    }
    Ok(disk.operation_count())
}

/// A commit is confirmed only when it is on disk: no crash may lose a confirmed row or leave part of a commit.
#[test]
fn a_crash_at_a_write_or_sync_loses_no_confirmed_row() {
    let operation_count = check_crash(None, false).unwrap();
    assert!(operation_count > 200, "{operation_count} operations");
    // CI checks every 11th operation; the ignored test below checks all of them.
    for operation in (1..=operation_count).step_by(11) {
        check_crash(Some(operation), false).unwrap();
    }
    let detected = (1..=operation_count)
        .step_by(11)
        .filter(|operation| check_crash(Some(*operation), true).is_err())
        .count();
    assert!(detected > 0, "a store that confirms too early is detected");
}

/// Like the test above, with a crash at each disk operation.
#[test]
#[ignore = "all operations: cargo test --release -p troutknot-ledger --test crashes -- --ignored --nocapture"]
fn a_crash_at_every_write_and_sync_loses_no_confirmed_row() {
    let operation_count = check_crash(None, false).unwrap();
    for operation in 1..=operation_count {
        check_crash(Some(operation), false).unwrap();
    }
    let detected =
        (1..=operation_count).filter(|operation| check_crash(Some(*operation), true).is_err()).count();
    println!(
        "{operation_count} operations, 4 crashes each, no row lost; the faulty store is detected at {detected}"
    );
}

/// A compaction moves pages, and must not lose rows if it is interrupted.
#[test]
fn a_crash_during_a_compaction_loses_no_row() {
    let fill_store = || {
        let disk = SimulatedDisk::default();
        let store = Store::with_backend(disk.clone()).unwrap();
        for batch in concurrent_batches(&mut Ledger::default(), 60) {
            store.commit(&batch).unwrap();
        }
        (summarize(&recover(&store)), store, disk)
    };
    let (expected, mut store, disk) = fill_store();
    let before = disk.operation_count();
    store.compact().unwrap();
    let operation_count = disk.operation_count() - before;
    assert!(operation_count > 4, "{operation_count} operations");
    for operation in (1..=operation_count).step_by(3) {
        let (_, mut store, disk) = fill_store();
        disk.fail_from(Some(disk.operation_count() + operation));
        let _ = store.compact();
        disk.fail_from(Some(0));
        for seed in 0..3 {
            let reopened = Store::with_backend(disk.crash(seed)).unwrap();
            assert_eq!(summarize(&recover(&reopened)), expected, "at operation {operation} of a compaction");
        }
    }
}

/// Without reuse of the space of deleted rows the file would grow without bound.
#[test]
fn the_space_of_forgotten_requests_is_reused() {
    let disk = SimulatedDisk::default();
    let store = Store::with_backend(disk.clone()).unwrap();
    let mut ledger = Ledger::default();
    let mut sizes = Vec::new();
    for request_id in 0..600 {
        let records = request_records(request_id).into_iter();
        let batch: Vec<Row> = records.map(|record| ledger.apply(1.0, record).unwrap()).collect();
        store.commit(&batch).unwrap();
        sizes.push(disk.len());
    }
    assert_eq!(store.row_count().unwrap(), 0);
    assert_eq!(sizes[599], sizes[100], "the file stops growing");
}

/// Waits for a condition; fails after [`WAIT_TIMEOUT`].
fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        std::thread::yield_now();
    }
}

/// Queues rows; the receiver gets the result of their commit.
fn write(committer: &Committer, rows: Vec<Row>) -> mpsc::Receiver<Result<(), CommitError>> {
    let (sender, receiver) = mpsc::channel();
    committer.write(rows, move |result| _ = sender.send(result));
    receiver
}

/// A caller that gives up a write tells its client that nothing was recorded, so a cancelled row must never get to the
/// disk, and a write that has begun must not be reported as cancelled.
#[test]
fn a_write_is_cancelled_before_it_begins_or_not_at_all() {
    for sync_mode in [SyncMode::Shared, SyncMode::Separate] {
        let disk = SimulatedDisk::default();
        let backend = disk.clone();
        let (committer, mut ledger) =
            Committer::start(Box::new(move || Store::with_backend(backend.clone())), sync_mode).unwrap();
        disk.set_sync_duration(Duration::from_millis(100));
        let operation_count = disk.operation_count();
        let mut write = |number| {
            let (sender, receiver) = mpsc::channel();
            let row = ledger.apply(1.0, accepted_record(number)).unwrap();
            (committer.write(vec![row], move |result| _ = sender.send(result)), receiver)
        };
        let (begun, begun_result) = write(0);
        wait_until("the first commit has begun", || disk.operation_count() > operation_count);
        let (queued, queued_result) = write(1);
        assert!(queued.cancel() && !begun.cancel(), "{sync_mode:?}");
        let (_, last_result) = write(2);
        assert_eq!((begun_result.recv().unwrap(), last_result.recv().unwrap()), (Ok(()), Ok(())));
        assert!(queued_result.recv().is_err(), "the callback of a cancelled write is not called");
        let on_disk = summarize(&recover(&Store::with_backend(disk.crash(0)).unwrap()));
        assert_eq!(on_disk, [(0, 1, false), (2, 1, false)], "{sync_mode:?}");
    }
}

/// Callers must not wait for a failed disk, and rows that could not be written must not be lost.
#[test]
fn a_disk_error_is_reported_at_once_and_queued_rows_are_written_after_recovery() {
    let disk = SimulatedDisk::default();
    let backend = disk.clone();
    let (committer, mut ledger) =
        Committer::start(Box::new(move || Store::with_backend(backend.clone())), SyncMode::Shared).unwrap();
    let apply = |ledger: &mut Ledger, record: Record| ledger.apply(1.0, record).unwrap();
    let records = request_records(1);
    write(&committer, vec![apply(&mut ledger, records[0].clone())]).recv().unwrap().unwrap();
    disk.set_failing(true);
    for record in &records[1..3] {
        let started_at = Instant::now();
        let result = write(&committer, vec![apply(&mut ledger, record.clone())]).recv().unwrap();
        let elapsed = started_at.elapsed();
        assert!(result.is_err() && elapsed < Duration::from_millis(400), "the error is reported at once");
        assert!(committer.check_ready(Duration::from_secs(1)).is_err());
    }
    committer.write_later(apply(&mut ledger, records[3].clone()));
    disk.set_failing(false);
    wait_until("the ledger is reopened", || committer.check_ready(Duration::from_secs(1)).is_ok());
    let (sender, receiver) = mpsc::channel();
    committer.read(RequestId(1), move |rows| _ = sender.send(rows));
    assert_eq!(receiver.recv().unwrap().unwrap().len(), 4, "all rows are read");
    drop(committer);
    assert_eq!(summarize(&recover(&Store::with_backend(disk).unwrap())), summarize(&ledger));
}

/// New requests are rejected during a slow sync, so it must be reported before it ends.
#[test]
fn a_slow_sync_is_reported_while_it_runs() {
    let disk = SimulatedDisk::default();
    let backend = disk.clone();
    let (committer, mut ledger) =
        Committer::start(Box::new(move || Store::with_backend(backend.clone())), SyncMode::Shared).unwrap();
    disk.set_sync_duration(Duration::from_millis(400));
    let receiver = write(&committer, vec![ledger.apply(1.0, accepted_record(1)).unwrap()]);
    wait_until("the slow sync is reported", || committer.check_ready(Duration::from_millis(50)).is_err());
    assert_eq!(
        receiver.recv_timeout(Duration::ZERO),
        Err(RecvTimeoutError::Timeout),
        "reported before the commit has ended"
    );
    disk.set_sync_duration(Duration::ZERO);
    receiver.recv().unwrap().unwrap();
    wait_until("the end of the slow sync is reported", || {
        committer.check_ready(Duration::from_millis(50)).is_ok()
    });
}

/// One sync per write would bound the throughput by the latency of the disk.
#[test]
fn queued_writes_share_a_sync_unless_each_has_its_own() {
    for (sync_mode, expected) in [(SyncMode::Shared, 1..=30), (SyncMode::Separate, 200..=201)] {
        let disk = SimulatedDisk::default();
        let backend = disk.clone();
        let (committer, mut ledger) =
            Committer::start(Box::new(move || Store::with_backend(backend.clone())), sync_mode).unwrap();
        disk.set_sync_duration(Duration::from_micros(100));
        let receivers: Vec<_> = (0..200)
            .map(|request_id| {
                write(&committer, vec![ledger.apply(1.0, accepted_record(request_id)).unwrap()])
            })
            .collect();
        receivers.iter().for_each(|receiver| receiver.recv().unwrap().unwrap());
        let commits = committer.health().commits.load(std::sync::atomic::Ordering::Relaxed);
        assert!(expected.contains(&commits), "{commits} commits, {sync_mode:?}");
    }
}

/// Two writers would damage the file, and a reader must not change it.
#[test]
fn a_second_writer_and_invalid_files_are_refused_and_reading_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ledger");
    let store = Store::open(&path).unwrap();
    store.commit(&[Row { recorded_at: 1.0, sequence: 0, record: accepted_record(1) }]).unwrap();
    assert!(matches!(Store::open(&path), Err(StoreError::InUse)), "a second process is refused");
    assert_eq!(
        summarize(&recover(&Reader::open(&path).unwrap())),
        [(1, 1, false)],
        "a file in use can be read"
    );
    // A copy of a file in use equals the file after a crash of the process.
    let crashed = folder.path().join("crashed");
    std::fs::copy(&path, &crashed).unwrap();
    let before = std::fs::read(&crashed).unwrap();
    assert_eq!(summarize(&recover(&Reader::open(&crashed).unwrap())), [(1, 1, false)]);
    assert_eq!(std::fs::read(&crashed).unwrap(), before, "reading changes nothing");
    drop(store);
    for (name, bytes) in [("empty", &b""[..]), ("text", b"not a ledger at all")] {
        let path = folder.path().join(name);
        std::fs::write(&path, bytes).unwrap();
        assert!(Reader::open(&path).is_err(), "{name}");
    }
    let opened = Store::open(folder.path());
    assert!(matches!(opened, Err(StoreError::Disk(_))), "{opened:?}");
    assert!(Store::open(&folder.path().join("no/such/folder")).is_err());
}

/// Rows of format 1 must stay readable in all later releases, and damage must be distinguished from a newer format.
#[test]
fn rows_of_format_1_are_decoded_and_damage_is_identified() {
    use troutknot_ledger::codec::{RowError, decode, encode};
    // A row as the first release wrote it. Never change it.
    let hex = "01b77aca0e000000000000f03f0601000172";
    let parse_byte = |index: usize| u8::from_str_radix(&hex[index..index + 2], 16).unwrap();
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(parse_byte).collect();
    let answer = troutknot_ledger::Answer::Completed(b"r".to_vec());
    let record = Record::Answered { request_id: RequestId(1), answer };
    assert_eq!(decode(0, &bytes), Ok(Row { recorded_at: 1.0, sequence: 0, record: record.clone() }));
    assert_eq!(encode(1.0, &record), bytes, "the encoding has changed: increase the format");
    let mut newer = bytes.clone();
    newer[0] = 2;
    let mut damaged = bytes.clone();
    damaged[12] ^= 1;
    assert_eq!(decode(0, &newer), Err(RowError::UnsupportedFormat(2)));
    assert_eq!(decode(0, &damaged), Err(RowError::Checksum));
    assert_eq!(decode(0, &bytes[..5]), Err(RowError::Truncated(5)));
}
