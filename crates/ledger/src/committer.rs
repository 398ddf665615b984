//! A thread that writes rows: all rows that wait share one commit and its sync. After an error of the disk the ledger
//! is reopened at intervals. Unwritten rows stay queued in order until they are on disk; their callers get the error
//! at once.
use crate::ledger::{Ledger, RecordError};
use crate::record::Row;
use crate::store::{Rows, Store, StoreError, WriteStatistics};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use troutknot::RequestId;

/// Upper bound on the rows of one commit.
const MAX_BATCH: usize = 4096;
/// Upper bound on the delay of a row for which no caller waits.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// Pause between two attempts to reopen the ledger after an error of the disk.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Why a ledger cannot be opened, or its records cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The file cannot be used.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A row does not follow from those before it.
    #[error("row {sequence} of request {request_id}: {error}")]
    Record {
        /// The request.
        request_id: u64,
        /// The row's sequence.
        sequence: u32,
        /// Why it does not follow.
        error: RecordError,
    },
    /// The thread cannot be started.
    #[error("no thread: {0}")]
    Thread(std::io::Error),
}

/// The commit failed: the rows may or may not be on disk. They stay queued.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("not written: {0}")]
pub struct CommitError(pub String);

/// Why rows could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read, or a row is damaged.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The disk failed, and the ledger is not reopened yet.
    #[error("the disk errs")]
    NotOpen,
    /// The ledger's thread has ended.
    #[error("the ledger has ended")]
    Ended,
}

/// Why no new request may be accepted now.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ReadinessError {
    /// The last commit failed with this error.
    #[error("{0}")]
    CommitFailed(String),
    /// The commit in progress takes longer than is allowed.
    #[error("a sync takes {millis} ms already")]
    SlowSync {
        /// Its duration so far.
        millis: u64,
    },
}

type WriteCallback = Box<dyn FnOnce(Result<(), CommitError>) + Send>;
type ReadCallback = Box<dyn FnOnce(Result<Vec<Row>, ReadError>) + Send>;

enum Command {
    Write(Vec<Row>, WriteCallback),
    /// Nobody waits for it.
    WriteLater(Row),
    Read(RequestId, ReadCallback),
}

/// State of the disk, which other threads read without waiting for a commit.
#[derive(Default)]
pub struct DiskHealth {
    is_failing: AtomicBool,
    /// When the commit in progress began, by [`busy_clock`]; 0 if there is none.
    busy_since: AtomicU64,
    last_error: Mutex<String>,
    /// Successful commits.
    pub commits: AtomicU64,
    /// Rows that were written.
    pub rows: AtomicU64,
}

/// Milliseconds since the start plus 1, so that 0 can stand for no commit.
fn busy_clock(started_at: Instant) -> u64 {
    started_at.elapsed().as_millis() as u64 + 1
}

/// The handle of the ledger's thread. Dropping it writes all queued rows and ends the thread.
pub struct Committer {
    commands: Option<Sender<Command>>,
    health: Arc<DiskHealth>,
    started_at: Instant,
    thread: Option<JoinHandle<()>>,
    statistics: Arc<WriteStatistics>,
}

/// Opens the ledger: at the start, and again after an error of the disk.
pub type OpenStore = Box<dyn Fn() -> Result<Store, StoreError> + Send>;

/// Which writes share a sync.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SyncMode {
    /// All writes that wait share one.
    Shared,
    /// Each write has its own.
    Separate,
}

impl Committer {
    /// Opens a ledger, reads its records and starts the thread.
    ///
    /// # Errors
    /// If it cannot be opened, or if a row is damaged or does not follow from those before it. The rows stay as they
    /// are then.
    pub fn start(
        open: OpenStore,
        sync_mode: SyncMode,
        max_attempts: usize,
    ) -> Result<(Self, Ledger), StartError> {
        let store = open()?;
        let ledger = read_ledger(&store, max_attempts)?;
        let (commands, received) = channel();
        let (health, started_at) = (Arc::<DiskHealth>::default(), Instant::now());
        let statistics = store.statistics().clone();
        let worker = Worker {
            store: Some(store),
            open,
            sync_mode,
            backlog: VecDeque::new(),
            health: health.clone(),
            started_at,
            opened_at: started_at,
        };
        let thread = thread::Builder::new().name("ledger".into()).spawn(move || worker.run(&received));
        let thread = Some(thread.map_err(StartError::Thread)?);
        Ok((Committer { commands: Some(commands), health, started_at, thread, statistics }, ledger))
    }

    /// Queues rows to be written after all rows that were queued before. `done` is called on the ledger's thread. Rows
    /// whose commit failed stay queued, although `done` gets the error.
    pub fn write(&self, rows: Vec<Row>, done: impl FnOnce(Result<(), CommitError>) + Send + 'static) {
        self.send(Command::Write(rows, Box::new(done)));
    }

    /// Queues a row for which no caller waits: it is written with the next commit, at the latest after 100 ms.
    pub fn write_later(&self, row: Row) {
        self.send(Command::WriteLater(row));
    }

    /// Reads the rows of one request, including those that are queued.
    pub fn read(
        &self,
        request_id: RequestId,
        done: impl FnOnce(Result<Vec<Row>, ReadError>) + Send + 'static,
    ) {
        self.send(Command::Read(request_id, Box::new(done)));
    }

    fn send(&self, command: Command) {
        if let Some(commands) = &self.commands {
            // The thread ends only once this is dropped.
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
                last_error.map_or_else(|_| "it failed".into(), |error| error.clone()),
            ));
        }
        let busy_since = self.health.busy_since.load(Ordering::Acquire);
        let millis = busy_clock(self.started_at).saturating_sub(busy_since);
        if busy_since > 0 && u128::from(millis) > max_sync_time.as_millis() {
            return Err(ReadinessError::SlowSync { millis });
        }
        Ok(())
    }

    /// State of the disk.
    pub fn health(&self) -> &DiskHealth {
        &self.health
    }

    /// What was written and synced by the store that was opened at the start.
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

/// Applies all rows of a store. Fails with the first fault.
fn read_ledger(store: &Store, max_attempts: usize) -> Result<Ledger, StartError> {
    let mut ledger = Ledger::new(max_attempts);
    let mut first_fault = None;
    store.for_each_row(|row| {
        let restored = row.map_err(StartError::from).and_then(|row| {
            ledger.restore(&row).map_err(|error| StartError::Record {
                request_id: row.record.request_id().0,
                sequence: row.sequence,
                error,
            })
        });
        first_fault = first_fault.take().or(restored.err());
    })?;
    first_fault.map_or(Ok(ledger), Err)
}

/// The rows of the next commit, and the callers that wait for it.
#[derive(Default)]
struct Batch {
    rows: Vec<Row>,
    waiting: Vec<WriteCallback>,
    /// When the commit is due at the latest, if a row has no waiting caller.
    due: Option<Instant>,
}

struct Worker {
    store: Option<Store>,
    open: OpenStore,
    sync_mode: SyncMode,
    /// Rows of failed commits, in order, which go before those of the next batch.
    backlog: VecDeque<Row>,
    health: Arc<DiskHealth>,
    started_at: Instant,
    /// When the store was last opened, failed, or was tried to be reopened.
    opened_at: Instant,
}

impl Worker {
    fn run(mut self, commands: &Receiver<Command>) {
        let mut batch = Batch::default();
        let mut next = None;
        loop {
            let wait = batch.due.map_or(REOPEN_INTERVAL, |due| due.saturating_duration_since(Instant::now()));
            let received = next.take().map_or_else(|| commands.recv_timeout(wait), Ok);
            match received {
                Ok(Command::Read(request_id, done)) => done(self.read(request_id, &batch.rows)),
                Ok(Command::WriteLater(row)) => self.write_later(row, &mut batch),
                Ok(Command::Write(rows, done)) => {
                    batch.rows.extend(rows);
                    batch.waiting.push(done);
                    next = self.gather(commands, &mut batch);
                    self.commit_batch(&mut batch);
                }
                Err(RecvTimeoutError::Timeout) => self.commit_batch(&mut batch),
                Err(RecvTimeoutError::Disconnected) => return self.commit_batch(&mut batch),
            }
        }
    }

    /// Adds the writes that wait to the batch, if they share a sync. Returns the command that ended this, which is to
    /// be handled next.
    fn gather(&self, commands: &Receiver<Command>, batch: &mut Batch) -> Option<Command> {
        while self.sync_mode == SyncMode::Shared && batch.rows.len() < MAX_BATCH {
            match commands.try_recv().ok()? {
                Command::Write(rows, done) => {
                    batch.rows.extend(rows);
                    batch.waiting.push(done);
                }
                Command::WriteLater(row) => batch.rows.push(row),
                other => return Some(other),
            }
        }
        None
    }

    fn write_later(&mut self, row: Row, batch: &mut Batch) {
        batch.rows.push(row);
        batch.due.get_or_insert_with(|| Instant::now() + MAX_DELAY);
        if batch.rows.len() >= MAX_BATCH {
            self.commit_batch(batch);
        }
    }

    fn commit_batch(&mut self, batch: &mut Batch) {
        batch.due = None;
        let written = self.commit(&mut batch.rows);
        batch.waiting.drain(..).for_each(|done| done(written.clone()));
    }

    /// The rows of one request: those on disk, then those that are not written yet.
    fn read(&self, request_id: RequestId, batch: &[Row]) -> Result<Vec<Row>, ReadError> {
        let mut rows = self.store.as_ref().ok_or(ReadError::NotOpen)?.rows_of(request_id)?;
        let unwritten = self.backlog.iter().chain(batch);
        rows.extend(unwritten.filter(|row| row.record.request_id() == request_id).cloned());
        Ok(rows)
    }

    /// Commits the backlog and then these rows. An empty batch still reopens a ledger whose disk failed.
    fn commit(&mut self, rows: &mut Vec<Row>) -> Result<(), CommitError> {
        self.backlog.extend(rows.drain(..));
        if self.backlog.is_empty() && self.store.is_some() {
            return Ok(());
        }
        self.health.busy_since.store(busy_clock(self.started_at), Ordering::Release);
        let written = self.write_backlog();
        self.health.busy_since.store(0, Ordering::Release);
        let written = written.map_err(|error| CommitError(error.to_string()));
        if let Err(CommitError(error)) = &written
            && let Ok(mut last_error) = self.health.last_error.lock()
        {
            last_error.clone_from(error);
        }
        self.health.is_failing.store(written.is_err(), Ordering::Release);
        written
    }

    fn write_backlog(&mut self) -> Result<(), StoreError> {
        if self.store.is_none() {
            if self.opened_at.elapsed() < REOPEN_INTERVAL {
                return Err(StoreError::Disk("the disk erred".into()));
            }
            self.opened_at = Instant::now();
            self.store = Some((self.open)()?);
        }
        let Some(store) = &self.store else { return Ok(()) };
        if let Err(error) = store.commit(&self.backlog) {
            // After an error redb refuses further writes until the database is reopened.
            self.store = None;
            self.opened_at = Instant::now();
            return Err(error);
        }
        self.health.commits.fetch_add(1, Ordering::Relaxed);
        self.health.rows.fetch_add(self.backlog.len() as u64, Ordering::Relaxed);
        self.backlog.clear();
        Ok(())
    }
}
