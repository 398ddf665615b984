//! A disk that a test can crash at any write, growth or sync, by its number.
#![allow(clippy::unwrap_used, missing_docs)]
#![allow(dead_code)]
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use troutknot::{AttemptId, Effect, Outcome, RequestId};
use troutknot_ledger::{Answer, Fence, Ledger, Record, Row};

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct Inner {
    /// What a crash leaves in any case.
    synced: Vec<u8>,
    /// What the process sees.
    seen: Vec<u8>,
    /// Since the last sync; a crash leaves any of them, in part.
    pending: Vec<Op>,
    points: u64,
    /// From this point on nothing works.
    fails_at: Option<u64>,
    /// How long each sync takes.
    slow_sync: Duration,
    errs: bool,
}

/// Shared by all who open it, one after the other.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

fn apply(bytes: &mut Vec<u8>, op: &Op, cut: usize) {
    match op {
        Op::Length(len) => bytes.resize(*len as usize, 0),
        Op::Write(at, data) => {
            let part = &data[..cut.min(data.len())];
            let end = *at as usize + part.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*at as usize..end].copy_from_slice(part);
        }
    }
}

impl Disk {
    pub fn fail_at(&self, point: Option<u64>) {
        self.0.lock().unwrap().fails_at = point;
    }

    pub fn points(&self) -> u64 {
        self.0.lock().unwrap().points
    }

    pub fn len(&self) -> usize {
        self.0.lock().unwrap().seen.len()
    }

    /// Every write and sync fails, as on a disk that is full or broken.
    pub fn err(&self, errs: bool) {
        self.0.lock().unwrap().errs = errs;
    }

    pub fn slow(&self, sync: Duration) {
        self.0.lock().unwrap().slow_sync = sync;
    }

    /// What is there after the power failed: all that was synced, and of what was not any part, torn or not.
    pub fn crash(&self, seed: u64) -> Disk {
        let inner = self.0.lock().unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = inner.synced.clone();
        for op in &inner.pending {
            let cut = match op {
                Op::Write(_, data) if rng.random_bool(0.3) => rng.random_range(0..=data.len()),
                _ => usize::MAX,
            };
            if rng.random_bool(0.6) {
                apply(&mut bytes, op, cut);
            }
        }
        Disk::of(bytes)
    }

    pub fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Inner { synced: bytes.clone(), seen: bytes, ..Inner::default() })))
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().seen.clone()
    }

    fn point(&self) -> io::Result<std::sync::MutexGuard<'_, Inner>> {
        let mut inner = self.0.lock().unwrap();
        inner.points += 1;
        let fails = inner.errs || inner.fails_at.is_some_and(|at| inner.points >= at);
        if fails { Err(io::ErrorKind::StorageFull.into()) } else { Ok(inner) }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.0.lock().unwrap();
        let part = inner.seen.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(part.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut inner = self.point()?;
        inner.pending.push(Op::Length(len));
        inner.seen.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let slow = self.0.lock().unwrap().slow_sync;
        std::thread::sleep(slow);
        let mut inner = self.point()?;
        inner.synced = inner.seen.clone();
        inner.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut inner = self.point()?;
        let op = Op::Write(offset, data.to_vec());
        apply(&mut inner.seen, &op, usize::MAX);
        inner.pending.push(op);
        Ok(())
    }
}

pub fn taken(request_id: u64) -> Record {
    let (id, key, digest) =
        (format!("id-{request_id}"), Some(format!("key-{request_id}")), [request_id as u8; 32]);
    let work = vec![request_id as u8; 300];
    Record::Accepted {
        request_id: RequestId(request_id),
        effect: Effect::AtMostOnce,
        deadline: 1e12,
        client_id: id,
        key,
        digest,
        payload: work,
    }
}

/// The records of one work unit's life, in order.
pub fn life(request_id: u64) -> Vec<Record> {
    let (number, attempt_id) = (request_id, AttemptId(0));
    let request_id = RequestId(request_id);
    vec![
        taken(number),
        Record::Dispatched { request_id, fence: Fence(1), executor: "s-1".into(), lease_until: 10.0 },
        Record::Started { request_id, attempt_id },
        Record::Ended { request_id, attempt_id, outcome: Outcome::Completed },
        Record::Answered { request_id, answer: Answer::Completed(vec![7; 40]) },
        Record::Forgotten { request_id },
    ]
}

/// Rows of so many lives that go on side by side, as a node would write them.
pub fn rows(ledger: &mut Ledger, lives: u64) -> Vec<Vec<Row>> {
    let all: Vec<Vec<Record>> = (0..lives).map(life).collect();
    let mut batches = Vec::new();
    for step in 0..lives as usize + 6 {
        let mut batch = Vec::new();
        for (number, life) in all.iter().enumerate() {
            // The last one of each group of four stays open.
            let record = step.checked_sub(number).and_then(|k| life.get(k));
            let stays = number % 4 == 3 && step >= number + 2;
            batch.extend(record.filter(|_| !stays).map(|r| ledger.apply(1.0, r.clone()).unwrap()));
        }
        batches.push(batch);
    }
    batches
}
