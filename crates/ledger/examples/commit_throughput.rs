//! Benchmark of the ledger on a disk. Prints requests per second and the time that each waits for its records, with
//! shared and with separate syncs; bytes and syncs per request; and the time to open a ledger by its number of records.
//!
//!     cargo run --release -p troutknot-ledger --example commit_throughput -- FOLDER
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};
use troutknot::{AttemptId, Effect, Outcome, RequestId};
use troutknot_ledger::committer::{Committer, SyncMode};
use troutknot_ledger::store::Store;
use troutknot_ledger::{Answer, Fence, Ledger, Record, Row, codec};

const MEASURED_TIME: Duration = Duration::from_secs(3);
const PAYLOAD_BYTES: usize = 512;
const RESULT_BYTES: usize = 256;

fn accepted_record(number: u64) -> Record {
    Record::Accepted {
        request_id: RequestId(number),
        effect: Effect::AtMostOnce,
        deadline: 1e13,
        client_id: format!("{number:016x}"),
        key: Some(format!("key-{number}")),
        digest: [7; 32],
        payload: vec![7; PAYLOAD_BYTES],
    }
}

fn open_ledger(path: &Path, sync_mode: SyncMode) -> (Committer, Ledger) {
    let path = path.to_owned();
    Committer::start(Box::new(move || Store::open(&path)), sync_mode).expect("the ledger opens")
}

/// A ledger that several client threads use.
struct SharedLedger {
    committer: Committer,
    ledger: Mutex<Ledger>,
    next_number: AtomicU64,
    /// Bytes of the encoded rows.
    row_bytes: AtomicU64,
}

impl SharedLedger {
    fn apply(&self, record: Record) -> Row {
        let row = self.ledger.lock().expect("no thread panics").apply(1e12, record).expect("a valid record");
        self.row_bytes.fetch_add(codec::encode(row.recorded_at, &row.record).len() as u64, Ordering::Relaxed);
        row
    }

    fn write(&self, record: Record) {
        let (sender, receiver) = mpsc::channel();
        let row = self.apply(record);
        self.committer.write(vec![row], move |result| _ = sender.send(result));
        receiver.recv().expect("the ledger thread runs").expect("the commit succeeds");
    }

    /// Records one request from acceptance to its end, and returns the time that it waited for its records.
    fn record_request(&self) -> Duration {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (request_id, started_at) = (RequestId(number), Instant::now());
        self.write(accepted_record(number));
        self.write(Record::Dispatched {
            request_id,
            fence: Fence(1),
            executor: "s-00001".into(),
            lease_until: 1e13,
        });
        self.committer.write_later(self.apply(Record::Started { request_id, attempt_id: AttemptId(0) }));
        self.write(Record::Answered { request_id, answer: Answer::Completed(vec![7; RESULT_BYTES]) });
        self.committer.write_later(self.apply(Record::Ended {
            request_id,
            attempt_id: AttemptId(0),
            outcome: Outcome::Completed,
        }));
        started_at.elapsed()
    }
}

fn print_throughput(path: &Path, sync_mode: SyncMode, client_count: usize) {
    let (committer, ledger) = open_ledger(path, sync_mode);
    let shared_ledger = Arc::new(SharedLedger {
        committer,
        ledger: Mutex::new(ledger),
        next_number: AtomicU64::new(0),
        row_bytes: AtomicU64::new(0),
    });
    let started_at = Instant::now();
    let clients = (0..client_count).map(|_| {
        let shared_ledger = shared_ledger.clone();
        thread::spawn(move || {
            let mut waits_ms = Vec::new();
            while started_at.elapsed() < MEASURED_TIME {
                waits_ms.push(shared_ledger.record_request().as_secs_f64() * 1000.0);
            }
            waits_ms
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut waits_ms: Vec<f64> =
        clients.into_iter().flat_map(|client| client.join().expect("no thread panics")).collect();
    let elapsed_s = started_at.elapsed().as_secs_f64();
    waits_ms.sort_by(f64::total_cmp);
    let (count, statistics) = (waits_ms.len() as f64, shared_ledger.committer.statistics());
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
    let row_bytes = load(&shared_ledger.row_bytes);
    println!(
        "{} {client_count:>4} clients: {:>7.0} requests/s, waits p50 {:>7.2} ms p99 {:>7.2} ms; {:.2} syncs, {:>6.0} bytes of \
         rows, {:>6.0} written a request: amplification {:.1}; file {:.0} bytes a request",
        if sync_mode == SyncMode::Shared { "together" } else { "each    " },
        count / elapsed_s,
        waits_ms[waits_ms.len() / 2],
        waits_ms[waits_ms.len() * 99 / 100],
        load(&statistics.syncs) / count,
        row_bytes / count,
        load(&statistics.bytes) / count,
        load(&statistics.bytes) / row_bytes,
        std::fs::metadata(path).map_or(0.0, |metadata| metadata.len() as f64) / count,
    );
}

/// Prints the time to open a ledger that was closed, and one left by a crash. The latter is a copy of an open file.
fn print_recovery_time(path: &Path, record_count: u64) {
    let store = Store::open(path).expect("the ledger opens");
    let request_rows = |number: u64| {
        let request_id = RequestId(number);
        let dispatched =
            Record::Dispatched { request_id, fence: Fence(1), executor: "s-00001".into(), lease_until: 1e13 };
        let to_row = |sequence, record| Row { recorded_at: 1e12, sequence, record };
        [to_row(0, accepted_record(number)), to_row(1, dispatched)]
    };
    for first in (0..record_count / 2).step_by(5000) {
        let numbers = first..(first + 5000).min(record_count / 2);
        let rows: Vec<Row> = numbers.flat_map(request_rows).collect();
        store.commit(&rows).expect("the commit succeeds");
    }
    let crashed = path.with_extension("dead");
    std::fs::copy(path, &crashed).expect("the copy fits on the disk");
    drop(store);
    for (name, path) in [("closed", path), ("crashed", crashed.as_path())] {
        let started_at = Instant::now();
        let (committer, ledger) = open_ledger(path, SyncMode::Shared);
        let elapsed = started_at.elapsed();
        println!(
            "{record_count:>7} records, {name:>7}: {:>7.0} ms, {} open",
            elapsed.as_secs_f64() * 1000.0,
            ledger.len()
        );
        drop(committer);
    }
}

fn main() {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let new_path = |number: usize| {
        let path = folder.join(format!("cost-{}-{number}.ledger", std::process::id()));
        let _ = std::fs::remove_file(&path);
        path
    };
    let mut number = 0;
    for sync_mode in [SyncMode::Shared, SyncMode::Separate] {
        for client_count in [1, 16, 256] {
            let path = new_path(number);
            print_throughput(&path, sync_mode, client_count);
            let _ = std::fs::remove_file(&path);
            number += 1;
        }
    }
    for record_count in [1_000, 50_000, 500_000] {
        let path = new_path(number);
        print_recovery_time(&path, record_count);
        let _ = std::fs::remove_file(&path);
        let _ = std::fs::remove_file(path.with_extension("dead"));
        number += 1;
    }
}
