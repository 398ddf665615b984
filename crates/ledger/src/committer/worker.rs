//! The thread that commits queued rows.
use super::command::{Command, QueuedWrite, WriteCallback};
use super::health::DiskHealth;
use super::{CommitError, OpenStore, ReadError, SyncMode};
use crate::record::Row;
use crate::store::{Rows, Store, StoreError};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};
use troutknot::RequestId;

/// Number of rows at which a commit takes no further writes.
const MAX_BATCH_ROWS: usize = 4096;
/// Upper bound on the delay of a row that has no waiting caller.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(100);
/// Pause between attempts to reopen the ledger after a disk error.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// The rows of the next commit, and the callbacks to call after it.
#[derive(Default)]
struct Batch {
    rows: Vec<Row>,
    callbacks: Vec<WriteCallback>,
    /// By when the commit must start, if the batch has a row without a waiting caller.
    due_at: Option<Instant>,
}

impl Batch {
    /// Adds the rows of a write. Returns false if it was cancelled.
    fn add(&mut self, write: QueuedWrite) -> bool {
        let has_begun = write.pending.begin();
        if has_begun {
            self.rows.extend(write.rows);
            self.callbacks.push(write.callback);
        }
        has_begun
    }
}

/// Owns the store, and commits what callers queue.
pub(super) struct Worker {
    store: Option<Store>,
    open: OpenStore,
    sync_mode: SyncMode,
    /// Rows of failed commits in order, to be written before those of the next batch.
    backlog: VecDeque<Row>,
    health: Arc<DiskHealth>,
    /// When the store was last opened or failed, or when reopening it was last attempted.
    last_open_attempt_at: Instant,
}

impl Worker {
    pub fn new(store: Store, open: OpenStore, sync_mode: SyncMode, health: Arc<DiskHealth>) -> Self {
        Worker {
            store: Some(store),
            open,
            sync_mode,
            backlog: VecDeque::new(),
            health,
            last_open_attempt_at: Instant::now(),
        }
    }

    /// Handles commands until all senders are dropped, and commits what is left.
    pub fn run(mut self, commands: &Receiver<Command>) {
        let mut batch = Batch::default();
        let mut next_command = None;
        loop {
            let timeout = batch
                .due_at
                .map_or(REOPEN_INTERVAL, |due_at| due_at.saturating_duration_since(Instant::now()));
            let command = next_command.take().map_or_else(|| commands.recv_timeout(timeout), Ok);
            match command {
                Ok(Command::Read(request_id, callback)) => callback(self.read(request_id, &batch.rows)),
                Ok(Command::WriteLater(row)) => self.write_later(row, &mut batch),
                Ok(Command::Write(write)) => {
                    if batch.add(write) {
                        next_command = self.collect_queued_writes(commands, &mut batch);
                        self.commit_batch(&mut batch);
                    }
                }
                Err(RecvTimeoutError::Timeout) => self.commit_batch(&mut batch),
                Err(RecvTimeoutError::Disconnected) => return self.commit_batch(&mut batch),
            }
        }
    }

    /// Adds the queued writes to the batch, if they share a sync. Returns the first other command, which is to be
    /// handled next.
    fn collect_queued_writes(&self, commands: &Receiver<Command>, batch: &mut Batch) -> Option<Command> {
        while self.sync_mode == SyncMode::Shared && batch.rows.len() < MAX_BATCH_ROWS {
            match commands.try_recv().ok()? {
                Command::Write(write) => _ = batch.add(write),
                Command::WriteLater(row) => batch.rows.push(row),
                other => return Some(other),
            }
        }
        None
    }

    fn write_later(&mut self, row: Row, batch: &mut Batch) {
        batch.rows.push(row);
        batch.due_at.get_or_insert_with(|| Instant::now() + MAX_WRITE_DELAY);
        if batch.rows.len() >= MAX_BATCH_ROWS {
            self.commit_batch(batch);
        }
    }

    fn commit_batch(&mut self, batch: &mut Batch) {
        batch.due_at = None;
        let result = self.commit(&mut batch.rows);
        batch.callbacks.drain(..).for_each(|callback| callback(result.clone()));
    }

    /// Reads the rows of one request: those on disk, then those not yet written.
    fn read(&self, request_id: RequestId, batch: &[Row]) -> Result<Vec<Row>, ReadError> {
        let mut rows = self.store.as_ref().ok_or(ReadError::NotOpen)?.read_rows(request_id)?;
        let unwritten = self.backlog.iter().chain(batch);
        rows.extend(unwritten.filter(|row| row.record.request_id() == request_id).cloned());
        Ok(rows)
    }

    /// Commits the backlog and then these rows. Without rows, it still reopens a ledger that was closed after a disk
    /// error.
    fn commit(&mut self, rows: &mut Vec<Row>) -> Result<(), CommitError> {
        self.backlog.extend(rows.drain(..));
        if self.backlog.is_empty() && self.store.is_some() {
            return Ok(());
        }
        self.health.begin_commit();
        let result = self.write_backlog().map_err(|error| CommitError(error.to_string()));
        self.health.end_commit(&result);
        result
    }

    fn write_backlog(&mut self) -> Result<(), StoreError> {
        if self.store.is_none() {
            if self.last_open_attempt_at.elapsed() < REOPEN_INTERVAL {
                return Err(StoreError::Disk("the ledger is closed after a disk error".into()));
            }
            self.last_open_attempt_at = Instant::now();
            self.store = Some((self.open)()?);
        }
        let Some(store) = &self.store else { return Ok(()) };
        if let Err(error) = store.commit(&self.backlog) {
            // After a disk error redb refuses further writes until the database is reopened.
            self.store = None;
            self.last_open_attempt_at = Instant::now();
            return Err(error);
        }
        self.health.count_commit(self.backlog.len());
        self.backlog.clear();
        Ok(())
    }
}
