//! A simulated disk that can fail at any operation (a write, a change of length or a sync), and records to write to it.
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
enum DiskOperation {
    Write(u64, Vec<u8>),
    SetLength(u64),
}

#[derive(Debug, Default)]
struct DiskState {
    /// Contents as of the last sync, which survive a crash.
    synced: Vec<u8>,
    /// Contents as the process reads them.
    current: Vec<u8>,
    /// Operations since the last sync. After a crash any subset of them has taken effect, each completely or in part.
    pending: Vec<DiskOperation>,
    operation_count: u64,
    /// The number of the first operation that fails; all later ones fail too.
    fails_from: Option<u64>,
    /// How long each sync takes.
    sync_duration: Duration,
    is_failing: bool,
}

/// The simulated disk. Clones share its contents.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Arc<Mutex<DiskState>>);

/// Applies an operation; of a write only the first `max_bytes` bytes.
fn apply_operation(bytes: &mut Vec<u8>, operation: &DiskOperation, max_bytes: usize) {
    match operation {
        DiskOperation::SetLength(len) => bytes.resize(*len as usize, 0),
        DiskOperation::Write(offset, data) => {
            let part = &data[..max_bytes.min(data.len())];
            let end = *offset as usize + part.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset as usize..end].copy_from_slice(part);
        }
    }
}

impl SimulatedDisk {
    /// Makes all operations from this number on fail; `None` makes none fail.
    pub fn fail_from(&self, operation_number: Option<u64>) {
        self.0.lock().unwrap().fails_from = operation_number;
    }

    /// Number of operations so far, including failed ones.
    pub fn operation_count(&self) -> u64 {
        self.0.lock().unwrap().operation_count
    }

    pub fn len(&self) -> usize {
        self.0.lock().unwrap().current.len()
    }

    /// Sets whether every operation fails, as on a disk that is full or broken.
    pub fn set_failing(&self, is_failing: bool) {
        self.0.lock().unwrap().is_failing = is_failing;
    }

    pub fn set_sync_duration(&self, sync_duration: Duration) {
        self.0.lock().unwrap().sync_duration = sync_duration;
    }

    /// Returns a disk as a power failure leaves this one: with all that was synced, and with a random subset of the
    /// later operations, whose writes may be torn.
    pub fn crash(&self, seed: u64) -> SimulatedDisk {
        let state = self.0.lock().unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = state.synced.clone();
        for operation in &state.pending {
            let max_bytes = match operation {
                DiskOperation::Write(_, data) if rng.random_bool(0.3) => rng.random_range(0..=data.len()),
                _ => usize::MAX,
            };
            if rng.random_bool(0.6) {
                apply_operation(&mut bytes, operation, max_bytes);
            }
        }
        SimulatedDisk::from_bytes(bytes)
    }

    pub fn from_bytes(bytes: Vec<u8>) -> SimulatedDisk {
        let state = DiskState { synced: bytes.clone(), current: bytes, ..DiskState::default() };
        SimulatedDisk(Arc::new(Mutex::new(state)))
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().current.clone()
    }

    /// Counts an operation, and fails if it is to fail.
    fn begin_operation(&self) -> io::Result<std::sync::MutexGuard<'_, DiskState>> {
        let mut state = self.0.lock().unwrap();
        state.operation_count += 1;
        let fails = state.is_failing || state.fails_from.is_some_and(|first| state.operation_count >= first);
        if fails { Err(io::ErrorKind::StorageFull.into()) } else { Ok(state) }
    }
}

impl StorageBackend for SimulatedDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.lock().unwrap();
        let part = state.current.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(part.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.pending.push(DiskOperation::SetLength(len));
        state.current.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let sync_duration = self.0.lock().unwrap().sync_duration;
        std::thread::sleep(sync_duration);
        let mut state = self.begin_operation()?;
        state.synced = state.current.clone();
        state.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let operation = DiskOperation::Write(offset, data.to_vec());
        apply_operation(&mut state.current, &operation, usize::MAX);
        state.pending.push(operation);
        Ok(())
    }
}

/// The record of an accepted at-most-once request.
pub fn accepted_record(number: u64) -> Record {
    Record::Accepted {
        request_id: RequestId(number),
        effect: Effect::AtMostOnce,
        deadline: 1e12,
        client_id: format!("id-{number}"),
        key: Some(format!("key-{number}")),
        digest: [number as u8; 32],
        payload: vec![number as u8; 300],
    }
}

/// All records of one request in order, from acceptance to deletion.
pub fn request_records(number: u64) -> Vec<Record> {
    let (request_id, attempt_id) = (RequestId(number), AttemptId(0));
    vec![
        accepted_record(number),
        Record::Dispatched { request_id, fence: Fence(1), executor: "s-1".into(), lease_until: 10.0 },
        Record::Started { request_id, attempt_id },
        Record::Ended { request_id, attempt_id, outcome: Outcome::Completed },
        Record::Answered { request_id, answer: Answer::Completed(vec![7; 40]) },
        Record::Forgotten { request_id },
    ]
}

/// The rows of `request_count` concurrent requests, in batches as a node would commit them.
pub fn concurrent_batches(ledger: &mut Ledger, request_count: u64) -> Vec<Vec<Row>> {
    let requests: Vec<Vec<Record>> = (0..request_count).map(request_records).collect();
    let mut batches = Vec::new();
    for step in 0..request_count as usize + 6 {
        let mut batch = Vec::new();
        for (number, records) in requests.iter().enumerate() {
            let record = step.checked_sub(number).and_then(|index| records.get(index));
            // The last of every 4 requests stays open.
            let stays_open = number % 4 == 3 && step >= number + 2;
            let record = record.filter(|_| !stays_open);
            batch.extend(record.map(|record| ledger.apply(1.0, record.clone()).unwrap()));
        }
        batches.push(batch);
    }
    batches
}
