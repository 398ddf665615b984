//! A thread that writes rows by group commit: all queued rows share one commit and its sync. After a disk error the
//! thread tries at intervals to reopen the ledger. Unwritten rows stay queued in order until they are on disk; their
//! callers get the error at once.
use crate::ledger::{Ledger, RecordError};
use crate::record::Row;
use crate::store::{Rows, Store, StoreError, WriteStatistics};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use troutknot::RequestId;

/// Number of rows at which a commit takes no further writes.
const MAX_BATCH_ROWS: usize = 4096;
/// Upper bound on the delay of a row that has no waiting caller.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(100);
/// Pause between attempts to reopen the ledger after a disk error.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

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

type WriteCallback = Box<dyn FnOnce(Result<(), CommitError>) + Send>;
type ReadCallback = Box<dyn FnOnce(Result<Vec<Row>, ReadError>) + Send>;

/// State of a [`PendingWrite`] that the thread has not begun.
const QUEUED: u8 = 0;
/// State of a [`PendingWrite`] that the thread has begun or completed.
const BEGUN: u8 = 1;
/// State of a [`PendingWrite`] that its caller has cancelled.
const CANCELLED: u8 = 2;

/// Handle of a queued write, by which its caller can cancel it.
#[derive(Clone, Debug)]
pub struct PendingWrite(Arc<AtomicU8>);

impl PendingWrite {
    fn new() -> Self {
        PendingWrite(Arc::new(AtomicU8::new(QUEUED)))
    }

    /// Cancels the write unless the thread has begun it. If the result is true, no row of it reaches the disk, and its
    /// callback is not called; if it is false, the rows may be on disk, or may yet get there.
    pub fn cancel(&self) -> bool {
        self.leave_queue(CANCELLED)
    }

    /// Begins the write. Returns false if it was cancelled.
    fn begin(&self) -> bool {
        self.leave_queue(BEGUN)
    }

    fn leave_queue(&self, state: u8) -> bool {
        self.0.compare_exchange(QUEUED, state, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

struct QueuedWrite {
    rows: Vec<Row>,
    callback: WriteCallback,
    pending: PendingWrite,
}

enum Command {
    Write(QueuedWrite),
    /// A row that has no waiting caller.
    WriteLater(Row),
    Read(RequestId, ReadCallback),
}

/// State of the disk, which other threads can read without waiting for a commit.
#[derive(Default)]
pub struct DiskHealth {
    is_failing: AtomicBool,
    /// When the commit in progress started, by [`commit_clock`]; 0 if there is none.
    commit_started_at: AtomicU64,
    last_error: Mutex<String>,
    /// Number of successful commits.
    pub commits: AtomicU64,
    /// Number of rows written.
    pub rows: AtomicU64,
}

/// Returns the milliseconds since `started_at` plus 1, so that 0 can stand for no commit.
fn commit_clock(started_at: Instant) -> u64 {
    started_at.elapsed().as_millis() as u64 + 1
}

/// Handle of the ledger's thread. Dropping it writes all queued rows and ends the thread.
pub struct Committer {
    commands: Option<Sender<Command>>,
    health: Arc<DiskHealth>,
    started_at: Instant,
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
        let (health, started_at) = (Arc::<DiskHealth>::default(), Instant::now());
        let statistics = store.statistics().clone();
        let worker = Worker {
            store: Some(store),
            open,
            sync_mode,
            backlog: VecDeque::new(),
            health: health.clone(),
            started_at,
            last_open_attempt_at: started_at,
        };
        let thread = thread::Builder::new().name("ledger".into()).spawn(move || worker.run(&receiver));
        let thread = Some(thread.map_err(StartError::Thread)?);
        Ok((Committer { commands: Some(commands), health, started_at, thread, statistics }, ledger))
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
        if self.health.is_failing.load(Ordering::Acquire) {
            let last_error = self.health.last_error.lock();
            return Err(ReadinessError::CommitFailed(
                last_error.map_or_else(|_| "the last commit failed".into(), |error| error.clone()),
            ));
        }
        let commit_started_at = self.health.commit_started_at.load(Ordering::Acquire);
        let millis = commit_clock(self.started_at).saturating_sub(commit_started_at);
        if commit_started_at > 0 && u128::from(millis) > max_sync_time.as_millis() {
            return Err(ReadinessError::SlowSync { millis });
        }
        Ok(())
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

struct Worker {
    store: Option<Store>,
    open: OpenStore,
    sync_mode: SyncMode,
    /// Rows of failed commits in order, to be written before those of the next batch.
    backlog: VecDeque<Row>,
    health: Arc<DiskHealth>,
    started_at: Instant,
    /// When the store was last opened or failed, or when reopening it was last attempted.
    last_open_attempt_at: Instant,
}

impl Worker {
    fn run(mut self, commands: &Receiver<Command>) {
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
        self.health.commit_started_at.store(commit_clock(self.started_at), Ordering::Release);
        let result = self.write_backlog();
        self.health.commit_started_at.store(0, Ordering::Release);
        let result = result.map_err(|error| CommitError(error.to_string()));
        if let Err(CommitError(error)) = &result
            && let Ok(mut last_error) = self.health.last_error.lock()
        {
            last_error.clone_from(error);
        }
        self.health.is_failing.store(result.is_err(), Ordering::Release);
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
        self.health.commits.fetch_add(1, Ordering::Relaxed);
        self.health.rows.fetch_add(self.backlog.len() as u64, Ordering::Relaxed);
        self.backlog.clear();
        Ok(())
    }
}
