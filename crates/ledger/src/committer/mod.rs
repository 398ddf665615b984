//! A thread that writes rows by group commit: all queued rows share one commit and its sync. After a disk error the
//! thread tries at intervals to reopen the ledger. Unwritten rows stay queued in order until they are on disk; their
//! callers get the error at once.
//!
//! `command` is what callers queue, `worker` the thread, and `health` the state of the disk that callers can read.
mod command;
mod health;
mod worker;

pub use command::PendingWrite;
pub use health::DiskHealth;

use crate::ledger::{Ledger, RecordError};
use crate::record::Row;
use crate::store::{Rows, Store, StoreError, WriteStatistics};
use command::{Command, QueuedWrite};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use troutknot::RequestId;
use worker::Worker;

/// Why a ledger cannot be opened, or why its records cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The file cannot be used.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A row is not valid after those before it.
    #[error("row {sequence} of request {request_id}: {error}")]
    Record {
        /// The request.
        request_id: u64,
        /// The row's sequence.
        sequence: u32,
        /// Why the row is not valid.
        error: RecordError,
    },
    /// The thread cannot be started.
    #[error("cannot start the ledger thread: {0}")]
    Thread(std::io::Error),
}

/// A commit failed. Its rows may or may not be on disk, and stay queued.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("commit failed: {0}")]
pub struct CommitError(pub String);

/// Why rows could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read, or a row is damaged.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The disk failed, and the ledger has not been reopened yet.
    #[error("the ledger is closed after a disk error")]
    NotOpen,
    /// The ledger's thread has ended.
    #[error("the ledger thread has ended")]
    Ended,
}

/// Why new requests must not be accepted now.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ReadinessError {
    /// The last commit failed with this error.
    #[error("{0}")]
    CommitFailed(String),
    /// The commit in progress takes longer than allowed.
    #[error("the current sync has taken {millis} ms so far")]
    SlowSync {
        /// The duration of the commit so far, in milliseconds.
        millis: u64,
    },
}

/// Handle of the ledger's thread. Dropping it writes all queued rows and ends the thread.
pub struct Committer {
    commands: Option<Sender<Command>>,
    health: Arc<DiskHealth>,
    thread: Option<JoinHandle<()>>,
    statistics: Arc<WriteStatistics>,
}

/// Opens the ledger, at the start and again after a disk error.
pub type OpenStore = Box<dyn Fn() -> Result<Store, StoreError> + Send>;

/// Which writes share a sync.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SyncMode {
    /// All queued writes share one sync.
    Shared,
    /// Each write has its own sync.
    Separate,
}

impl Committer {
    /// Opens a ledger, reads its records and starts the thread.
    ///
    /// # Errors
    /// If the ledger cannot be opened, if a row is damaged or not valid after those before it, or if the thread cannot
    /// be started. The rows are left unchanged.
    pub fn start(open: OpenStore, sync_mode: SyncMode) -> Result<(Self, Ledger), StartError> {
        let store = open()?;
        let ledger = restore_ledger(&store)?;
        let (commands, receiver) = channel();
        let health = Arc::new(DiskHealth::new());
        let statistics = store.statistics().clone();
        let worker = Worker::new(store, open, sync_mode, health.clone());
        let thread = thread::Builder::new().name("ledger".into()).spawn(move || worker.run(&receiver));
        let thread = Some(thread.map_err(StartError::Thread)?);
        Ok((Committer { commands: Some(commands), health, thread, statistics }, ledger))
    }

    /// Queues rows to be written after all rows queued earlier. `callback` is called with the result of the commit, on
    /// the ledger's thread. Rows whose commit failed stay queued, although `callback` gets the error. The result cancels
    /// the write before it is begun.
    pub fn write(
        &self,
        rows: Vec<Row>,
        callback: impl FnOnce(Result<(), CommitError>) + Send + 'static,
    ) -> PendingWrite {
        let pending = PendingWrite::new();
        self.send(Command::Write(QueuedWrite {
            rows,
            callback: Box::new(callback),
            pending: pending.clone(),
        }));
        pending
    }

    /// Queues a row that has no waiting caller. It is written with the next commit, after 100 ms at the latest.
    pub fn write_later(&self, row: Row) {
        self.send(Command::WriteLater(row));
    }

    /// Reads the rows of one request, including queued ones. `callback` is called with them on the ledger's thread.
    pub fn read(
        &self,
        request_id: RequestId,
        callback: impl FnOnce(Result<Vec<Row>, ReadError>) + Send + 'static,
    ) {
        self.send(Command::Read(request_id, Box::new(callback)));
    }

    fn send(&self, command: Command) {
        if let Some(commands) = &self.commands {
            // The thread ends only after this handle is dropped.
            let _ = commands.send(command);
        }
    }

    /// Checks whether new requests may be accepted.
    ///
    /// # Errors
    /// If the last commit failed, or if the commit in progress has taken longer than `max_sync_time`.
    pub fn check_ready(&self, max_sync_time: Duration) -> Result<(), ReadinessError> {
        self.health.check_ready(max_sync_time)
    }

    /// Returns the state of the disk.
    pub fn health(&self) -> &DiskHealth {
        &self.health
    }

    /// Returns the counts of writes and syncs of the store that was opened at the start.
    pub fn statistics(&self) -> &WriteStatistics {
        &self.statistics
    }
}

impl Drop for Committer {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Rebuilds the ledger from all rows of a store, or returns the first error.
fn restore_ledger(store: &Store) -> Result<Ledger, StartError> {
    let mut ledger = Ledger::default();
    let mut first_error = None;
    store.for_each_row(|row| {
        let restored = row.map_err(StartError::from).and_then(|row| {
            ledger.restore(&row).map_err(|error| StartError::Record {
                request_id: row.record.request_id().0,
                sequence: row.sequence,
                error,
            })
        });
        first_error = first_error.take().or(restored.err());
    })?;
    first_error.map_or(Ok(ledger), Err)
}
