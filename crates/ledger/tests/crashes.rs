//! The ledger on a disk that crashes, errs, fills up or stalls.
#![allow(clippy::unwrap_used, missing_docs)]
mod common;

use common::*;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};
use troutknot::RequestId;
use troutknot_ledger::committer::{CommitError, Committer, SyncMode};
use troutknot_ledger::store::{Reader, Rows, Store, StoreError};
use troutknot_ledger::{Ledger, Record, Row};

const MOST: usize = 3;
const PATIENCE: Duration = Duration::from_secs(20);

fn load(store: &impl Rows) -> Ledger {
    let mut rows = Vec::new();
    store.for_each_row(|row| rows.push(row.unwrap())).unwrap();
    let (ledger, broken) = Ledger::recover(MOST, &rows);
    assert_eq!(broken, None, "what is on disk follows");
    ledger
}

/// What is kept of each work unit, without what is not on disk.
fn state(ledger: &Ledger) -> Vec<(u64, u32, bool)> {
    (0..200)
        .filter_map(|request_id| Some((request_id, ledger.job(RequestId(request_id))?)))
        .map(|(request_id, job)| (request_id, job.row_count, job.answered_at.is_some()))
        .collect()
}

/// Commits until the disk fails at a point, then looks at what several crashes leave. A store that says "written"
/// too early is the mutant: it commits the batch only with the next one. Returns how many points there were.
fn crash_at(point: Option<u64>, early: bool) -> Result<u64, String> {
    let disk = Disk::default();
    disk.fail_at(point);
    let mut ledger = Ledger::new(MOST);
    // The states after each batch that was said to be written, and the one that was under way.
    let mut states = vec![state(&ledger)];
    let batches = rows(&mut Ledger::new(MOST), 24);
    let mut written = 0;
    if let Ok(store) = Store::with_backend(disk.clone()) {
        let mut held: Vec<Row> = Vec::new();
        for batch in &batches {
            let came = if early {
                let came = store.commit(&held);
                held.clone_from(batch);
                came
            } else {
                store.commit(batch)
            };
            for row in batch {
                ledger.restore(row).unwrap();
            }
            states.push(state(&ledger));
            if came.is_err() {
                break;
            }
            written += 1;
        }
        // A crash, and no end: what a store writes as it is closed fails as well.
        disk.fail_at(Some(0));
    }
    for seed in 0..4 {
        let left = disk.crash(seed + 1000 * point.unwrap_or(0));
        let store = match Store::with_backend(left.clone()) {
            Ok(store) => store,
            Err(why) if written == 0 => {
                // It died as it was made: nothing was promised.
                let _ = why;
                continue;
            }
            Err(why) => return Err(format!("point {point:?}: not opened: {why}")),
        };
        let found = state(&load(&store));
        let allowed = &states[written..states.len().min(written + 2)];
        if !allowed.contains(&found) {
            return Err(format!("point {point:?}: {found:?} is none of {allowed:?}"));
        }
        // And it goes on from there.
        if let Err(why) = store.commit(&[Row { recorded_at: 1.0, sequence: 0, record: taken(199) }]) {
            return Err(format!("point {point:?}: {why}"));
        }
    }
    Ok(disk.points())
}

#[test]
fn a_crash_at_any_write_or_sync_loses_nothing_that_was_said_to_be_written() {
    let points = crash_at(None, false).unwrap();
    assert!(points > 200, "{points} points");
    // CI takes a part; the ignored test below all of them.
    for point in (1..=points).step_by(11) {
        crash_at(Some(point), false).unwrap();
    }
    let caught = (1..=points).step_by(11).filter(|point| crash_at(Some(*point), true).is_err()).count();
    assert!(caught > 0, "a store that says so too early is caught");
}

#[test]
#[ignore = "all points: cargo test --release -p troutknot-ledger --test crashes -- --ignored --nocapture"]
fn a_crash_at_every_write_and_sync() {
    let points = crash_at(None, false).unwrap();
    for point in 1..=points {
        crash_at(Some(point), false).unwrap();
    }
    let caught = (1..=points).filter(|point| crash_at(Some(*point), true).is_err()).count();
    println!("{points} points, four crashes each, none lost; the mutant is caught at {caught}");
}

#[test]
fn a_crash_in_a_compaction_leaves_what_was_there() {
    let filled = || {
        let disk = Disk::default();
        let store = Store::with_backend(disk.clone()).unwrap();
        for batch in rows(&mut Ledger::new(MOST), 60) {
            store.commit(&batch).unwrap();
        }
        (state(&load(&store)), store, disk)
    };
    let (expected, mut store, disk) = filled();
    let before = disk.points();
    store.compact().unwrap();
    let points = disk.points() - before;
    assert!(points > 4, "{points} points");
    for point in (1..=points).step_by(3) {
        let (_, mut store, disk) = filled();
        disk.fail_at(Some(disk.points() + point));
        let _ = store.compact();
        disk.fail_at(Some(0));
        for seed in 0..3 {
            let again = Store::with_backend(disk.crash(seed)).unwrap();
            assert_eq!(state(&load(&again)), expected, "at point {point} of a compaction");
        }
    }
}

#[test]
fn what_is_forgotten_gives_its_room_back() {
    let disk = Disk::default();
    let store = Store::with_backend(disk.clone()).unwrap();
    let mut ledger = Ledger::new(MOST);
    let mut sizes = Vec::new();
    for request_id in 0..600 {
        let batch: Vec<Row> = life(request_id).into_iter().map(|r| ledger.apply(1.0, r).unwrap()).collect();
        store.commit(&batch).unwrap();
        sizes.push(disk.len());
    }
    assert_eq!(store.row_count().unwrap(), 0);
    assert_eq!(sizes[599], sizes[100], "the file stops growing");
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "{what} in time");
        std::thread::yield_now();
    }
}

/// Writes, and waits for what comes of it.
fn write(committer: &Committer, rows: Vec<Row>) -> mpsc::Receiver<Result<(), CommitError>> {
    let (tell, told) = mpsc::channel();
    committer.write(rows, move |came| _ = tell.send(came));
    told
}

#[test]
fn a_disk_that_errs_is_said_so_at_once_and_what_was_taken_is_written_later() {
    let disk = Disk::default();
    let own = disk.clone();
    let (committer, mut ledger) =
        Committer::start(Box::new(move || Store::with_backend(own.clone())), SyncMode::Shared, MOST).unwrap();
    let next = |ledger: &mut Ledger, record: Record| ledger.apply(1.0, record).unwrap();
    let records = life(1);
    write(&committer, vec![next(&mut ledger, records[0].clone())]).recv().unwrap().unwrap();
    disk.err(true);
    for record in &records[1..3] {
        let began = Instant::now();
        let came = write(&committer, vec![next(&mut ledger, record.clone())]).recv().unwrap();
        assert!(came.is_err() && began.elapsed() < Duration::from_millis(400), "it is not waited out");
        assert!(committer.check_ready(Duration::from_secs(1)).is_err());
    }
    committer.write_later(next(&mut ledger, records[3].clone()));
    disk.err(false);
    until("the disk is used again", || committer.check_ready(Duration::from_secs(1)).is_ok());
    let (tell, told) = mpsc::channel();
    committer.read(RequestId(1), move |rows| _ = tell.send(rows));
    assert_eq!(told.recv().unwrap().unwrap().len(), 4, "all is there, in order");
    drop(committer);
    assert_eq!(state(&load(&Store::with_backend(disk).unwrap())), state(&ledger));
}

#[test]
fn a_sync_of_seconds_is_seen_while_it_lasts() {
    let disk = Disk::default();
    let own = disk.clone();
    let (committer, mut ledger) =
        Committer::start(Box::new(move || Store::with_backend(own.clone())), SyncMode::Shared, MOST).unwrap();
    disk.slow(Duration::from_millis(400));
    let told = write(&committer, vec![ledger.apply(1.0, taken(1)).unwrap()]);
    until("it is seen", || committer.check_ready(Duration::from_millis(50)).is_err());
    assert_eq!(told.recv_timeout(Duration::ZERO), Err(RecvTimeoutError::Timeout), "while it lasts");
    disk.slow(Duration::ZERO);
    told.recv().unwrap().unwrap();
    until("and that it is over", || committer.check_ready(Duration::from_millis(50)).is_ok());
}

#[test]
fn those_that_wait_share_a_sync() {
    for (sync_mode, expected) in [(SyncMode::Shared, 1..=30), (SyncMode::Separate, 200..=201)] {
        let disk = Disk::default();
        let own = disk.clone();
        let (committer, mut ledger) =
            Committer::start(Box::new(move || Store::with_backend(own.clone())), sync_mode, MOST).unwrap();
        disk.slow(Duration::from_micros(100));
        let all: Vec<_> = (0..200)
            .map(|request_id| write(&committer, vec![ledger.apply(1.0, taken(request_id)).unwrap()]))
            .collect();
        all.iter().for_each(|told| told.recv().unwrap().unwrap());
        let commits = committer.health().commits.load(std::sync::atomic::Ordering::Relaxed);
        assert!(expected.contains(&commits), "{commits} commits, {sync_mode:?}");
    }
}

#[test]
fn files_that_cannot_be_used_are_said_in_plain_words() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ledger");
    let store = Store::open(&path).unwrap();
    store.commit(&[Row { recorded_at: 1.0, sequence: 0, record: taken(1) }]).unwrap();
    assert!(matches!(Store::open(&path), Err(StoreError::InUse)), "a second process is refused");
    assert_eq!(state(&load(&Reader::open(&path).unwrap())), [(1, 1, false)], "a live one is read");
    // A copy of a live file is what a dead process leaves.
    let dead = folder.path().join("dead");
    std::fs::copy(&path, &dead).unwrap();
    let was = std::fs::read(&dead).unwrap();
    assert_eq!(state(&load(&Reader::open(&dead).unwrap())), [(1, 1, false)]);
    assert_eq!(std::fs::read(&dead).unwrap(), was, "reading changes nothing");
    drop(store);
    for (name, bytes) in [("empty", &b""[..]), ("text", b"not a ledger at all")] {
        let path = folder.path().join(name);
        std::fs::write(&path, bytes).unwrap();
        assert!(Reader::open(&path).is_err(), "{name}");
    }
    let folder_itself = Store::open(folder.path());
    assert!(matches!(folder_itself, Err(StoreError::Disk(_))), "{folder_itself:?}");
    assert!(Store::open(&folder.path().join("no/such/folder")).is_err());
}

#[test]
fn bytes_of_the_first_format_are_read_for_ever_and_damage_is_named() {
    use troutknot_ledger::codec::{RowError, decode, encode};
    // Written by the first version; never to be changed.
    let first = "01b77aca0e000000000000f03f0601000172";
    let byte = |k: usize| u8::from_str_radix(&first[k..k + 2], 16).unwrap();
    let bytes: Vec<u8> = (0..first.len()).step_by(2).map(byte).collect();
    let answer = troutknot_ledger::Answer::Completed(b"r".to_vec());
    let record = Record::Answered { request_id: RequestId(1), answer };
    assert_eq!(decode(0, &bytes), Ok(Row { recorded_at: 1.0, sequence: 0, record: record.clone() }));
    assert_eq!(encode(1.0, &record), bytes, "what is written has changed: it needs a new format");
    let mut newer = bytes.clone();
    newer[0] = 2;
    let mut torn = bytes.clone();
    torn[12] ^= 1;
    assert_eq!(decode(0, &newer), Err(RowError::UnsupportedFormat(2)));
    assert_eq!(decode(0, &torn), Err(RowError::Checksum));
    assert_eq!(decode(0, &bytes[..5]), Err(RowError::Truncated(5)));
}
