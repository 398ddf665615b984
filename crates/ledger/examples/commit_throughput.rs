//! Measures the ledger on a disk: requests per second and how long each waits for its records, with shared and with
//! separate syncs; bytes and syncs per request; and how long opening a ledger takes by its number of records.
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

const SPAN: Duration = Duration::from_secs(3);
const BODY: usize = 512;
const RESULT: usize = 256;

fn taken(number: u64) -> Record {
    let (id, key, digest) = (format!("{number:016x}"), Some(format!("key-{number}")), [7; 32]);
    let work = vec![7; BODY];
    Record::Accepted {
        request_id: RequestId(number),
        effect: Effect::AtMostOnce,
        deadline: 1e13,
        client_id: id,
        key,
        digest,
        payload: work,
    }
}

fn open(path: &Path, sync_mode: SyncMode) -> (Committer, Ledger) {
    let path = path.to_owned();
    Committer::start(Box::new(move || Store::open(&path)), sync_mode, 3).expect("the ledger opens")
}

struct Shared {
    committer: Committer,
    ledger: Mutex<Ledger>,
    next: AtomicU64,
    logical: AtomicU64,
}

impl Shared {
    fn row(&self, record: Record) -> Row {
        let row = self.ledger.lock().expect("no thread panics").apply(1e12, record).expect("it follows");
        self.logical.fetch_add(codec::encode(row.recorded_at, &row.record).len() as u64, Ordering::Relaxed);
        row
    }

    fn write(&self, record: Record) {
        let (tell, told) = mpsc::channel();
        let row = self.row(record);
        self.committer.write(vec![row], move |came| _ = tell.send(came));
        told.recv().expect("the ledger lives").expect("the disk takes it");
    }

    /// Records one request from arrival to its end, and returns how long it waited for its records.
    fn life(&self) -> Duration {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (request_id, began) = (RequestId(number), Instant::now());
        self.write(taken(number));
        self.write(Record::Dispatched {
            request_id,
            fence: Fence(1),
            executor: "s-00001".into(),
            lease_until: 1e13,
        });
        self.committer.write_later(self.row(Record::Started { request_id, attempt_id: AttemptId(0) }));
        self.write(Record::Answered { request_id, answer: Answer::Completed(vec![7; RESULT]) });
        self.committer.write_later(self.row(Record::Ended {
            request_id,
            attempt_id: AttemptId(0),
            outcome: Outcome::Completed,
        }));
        began.elapsed()
    }
}

fn measure(path: &Path, sync_mode: SyncMode, clients: usize) {
    let (committer, ledger) = open(path, sync_mode);
    let counts = (AtomicU64::new(0), AtomicU64::new(0));
    let shared = Shared { committer, ledger: Mutex::new(ledger), next: counts.0, logical: counts.1 };
    let shared = Arc::new(shared);
    let began = Instant::now();
    let each = (0..clients).map(|_| {
        let shared = shared.clone();
        thread::spawn(move || {
            let mut waited = Vec::new();
            while began.elapsed() < SPAN {
                waited.push(shared.life().as_secs_f64() * 1000.0);
            }
            waited
        })
    });
    let each: Vec<_> = each.collect();
    let mut waited: Vec<f64> = each.into_iter().flat_map(|t| t.join().expect("no thread panics")).collect();
    let took = began.elapsed().as_secs_f64();
    waited.sort_by(f64::total_cmp);
    let (count, wear) = (waited.len() as f64, shared.committer.statistics());
    let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
    let logical = of(&shared.logical);
    println!(
        "{} {clients:>4} clients: {:>7.0} requests/s, waits p50 {:>7.2} ms p99 {:>7.2} ms; {:.2} syncs, {:>6.0} bytes of \
         rows, {:>6.0} written a request: amplification {:.1}; file {:.0} bytes a request",
        if sync_mode == SyncMode::Shared { "together" } else { "each    " },
        count / took,
        waited[waited.len() / 2],
        waited[waited.len() * 99 / 100],
        of(&wear.syncs) / count,
        logical / count,
        of(&wear.bytes) / count,
        of(&wear.bytes) / logical,
        std::fs::metadata(path).map_or(0.0, |m| m.len() as f64) / count,
    );
}

/// Opens a ledger that was closed, and one of a process that crashed: the copy of an open file.
fn recovery(path: &Path, records: u64) {
    let store = Store::open(path).expect("the ledger opens");
    let of = |number: u64| {
        let request_id = RequestId(number);
        let allocated =
            Record::Dispatched { request_id, fence: Fence(1), executor: "s-00001".into(), lease_until: 1e13 };
        let row = |sequence, record| Row { recorded_at: 1e12, sequence, record };
        [row(0, taken(number)), row(1, allocated)]
    };
    for first in (0..records / 2).step_by(5000) {
        let rows: Vec<Row> = (first..(first + 5000).min(records / 2)).flat_map(of).collect();
        store.commit(&rows).expect("the disk takes it");
    }
    let dead = path.with_extension("dead");
    std::fs::copy(path, &dead).expect("there is room");
    drop(store);
    for (name, path) in [("closed", path), ("crashed", dead.as_path())] {
        let began = Instant::now();
        let (committer, ledger) = open(path, SyncMode::Shared);
        let took = began.elapsed();
        println!(
            "{records:>7} records, {name:>7}: {:>7.0} ms, {} open",
            took.as_secs_f64() * 1000.0,
            ledger.len()
        );
        drop(committer);
    }
}

fn main() {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let file = |number: usize| {
        let path = folder.join(format!("cost-{}-{number}.ledger", std::process::id()));
        let _ = std::fs::remove_file(&path);
        path
    };
    let mut number = 0;
    for sync_mode in [SyncMode::Shared, SyncMode::Separate] {
        for clients in [1, 16, 256] {
            let path = file(number);
            measure(&path, sync_mode, clients);
            let _ = std::fs::remove_file(&path);
            number += 1;
        }
    }
    for records in [1_000, 50_000, 500_000] {
        let path = file(number);
        recovery(&path, records);
        let _ = std::fs::remove_file(&path);
        let _ = std::fs::remove_file(path.with_extension("dead"));
        number += 1;
    }
}
