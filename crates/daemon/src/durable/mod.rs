//! Durable requests: their acceptance, attempts and answers are recorded in a ledger, so that a node that was killed
//! resumes them after a restart. Enabled if the operator's file has a section `[durable]`.
//!
//! [`Durable`] owns the ledger. `jobs` accepts requests and records their answers, `recovery` resumes requests that
//! were open when the last process ended, `lease` tracks one attempt, and `pending_answers` notifies the clients that
//! wait for an answer.
mod jobs;
mod lease;
mod payload;
mod pending_answers;
mod recovery;
mod status;

pub use jobs::{Acceptance, LookupResult};
pub use lease::Lease;
pub use payload::identity_of;
pub use pending_answers::PendingAnswer;

use crate::config::durable::{DurableConfig, LedgerSync};
use crate::config::limits::Limits;
use crate::event::NodeEvent;
use crate::protocol::{Codec, Current};
use crate::tasks::TaskGroup;
use pending_answers::PendingAnswers;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};
use troutknot::{Millis, RequestId};
use troutknot_clock::Clock;
use troutknot_ledger::committer::{
    CommitError, Committer, OpenStore, PendingWrite, ReadError, ReadinessError, StartError, SyncMode,
};
use troutknot_ledger::store::Store;
use troutknot_ledger::{Ledger, Record, Row};

/// Interval between attempts to write an answer after a write has failed.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Why the ledger cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DurableError {
    /// The ledger cannot be opened or read.
    #[error("ledger `{}`: {source}", path.display())]
    Open {
        /// The ledger's file.
        path: PathBuf,
        /// The cause.
        source: StartError,
    },
}

/// Why durable requests are not accepted at present.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
enum Unavailable {
    /// Writes to the disk fail or are slow.
    #[error(transparent)]
    NotReady(#[from] ReadinessError),
    /// The number of recorded requests has reached its limit.
    #[error("the ledger is full")]
    Full,
}

/// The parts of the node that [`Durable`] uses.
pub struct DurableDependencies {
    /// Limits on the number of recorded requests and timeouts.
    pub limits: Rc<Limits>,
    /// The clock of the node.
    pub clock: Clock,
    /// Translates between names and ids.
    pub codec: Rc<Current<Codec>>,
    /// The driver's queue.
    pub events: mpsc::Sender<NodeEvent>,
    /// Runs the tasks that wait for answers.
    pub tasks: TaskGroup,
}

/// The open ledger of this node and the durable requests of this process.
pub struct Durable {
    config: DurableConfig,
    limits: Rc<Limits>,
    clock: Clock,
    /// Added to the clock's times if the clock was behind the last record at the start, in milliseconds.
    clock_offset: Millis,
    codec: Rc<Current<Codec>>,
    events: mpsc::Sender<NodeEvent>,
    tasks: TaskGroup,
    committer: Committer,
    ledger: RefCell<Ledger>,
    pending_answers: PendingAnswers,
    /// Requests that were open at the start and are not recovered yet, by deadline.
    unrecovered: RefCell<Vec<RequestId>>,
    /// Number of requests that are not recovered yet.
    unrecovered_count: Cell<usize>,
    /// Whether the last state that was logged is unavailable.
    is_logged_unavailable: Cell<bool>,
}

/// Rows that are being written.
struct RecordWrite {
    pending: PendingWrite,
    written: oneshot::Receiver<Result<(), CommitError>>,
}

impl RecordWrite {
    /// Waits until the rows are on disk, or until the commit has failed. May be awaited again if it is dropped before it
    /// completes.
    async fn finished(&mut self) -> Result<(), CommitError> {
        let ended = |_| Err(CommitError("the ledger thread has ended".into()));
        (&mut self.written).await.unwrap_or_else(ended)
    }

    /// Cancels the write. Returns false if it has begun, so that its rows may reach the disk.
    fn cancel(&self) -> bool {
        self.pending.cancel()
    }
}

impl Durable {
    /// Opens the ledger and reads its index.
    ///
    /// # Errors
    /// If the ledger cannot be opened or read.
    pub fn open(config: DurableConfig, dependencies: DurableDependencies) -> Result<Rc<Self>, DurableError> {
        let path = config.path.clone();
        Durable::open_store(config, dependencies, Box::new(move || Store::open(&path)))
    }

    /// As [`Durable::open`], with the function that opens the store.
    fn open_store(
        config: DurableConfig,
        dependencies: DurableDependencies,
        open: OpenStore,
    ) -> Result<Rc<Self>, DurableError> {
        let DurableDependencies { limits, clock, codec, events, tasks } = dependencies;
        let started_at = Instant::now();
        let (committer, ledger) = start_committer(&config, open)?;
        let unrecovered = open_requests(&ledger);
        let clock_offset = (ledger.latest_time() - clock.now()).max(0.0);
        log_opened(&config, &ledger, unrecovered.len(), started_at.elapsed());
        if clock_offset > 0.0 {
            tracing::warn!(
                offset_ms = clock_offset.round(),
                "clock is behind the ledger, its times are shifted"
            );
        }
        Ok(Rc::new(Durable {
            config,
            limits,
            clock,
            clock_offset,
            codec,
            events,
            tasks,
            committer,
            ledger: RefCell::new(ledger),
            pending_answers: PendingAnswers::default(),
            unrecovered_count: Cell::new(unrecovered.len()),
            unrecovered: RefCell::new(unrecovered),
            is_logged_unavailable: Cell::new(false),
        }))
    }

    /// Unix time in milliseconds, monotonic across restarts.
    fn now(&self) -> Millis {
        self.clock.now() + self.clock_offset
    }

    /// The next request number that is unused in the ledger.
    pub fn next_request_number(&self) -> u64 {
        self.ledger.borrow().next_number()
    }

    /// Whether new requests are accepted. Logs each change.
    pub fn is_ready(&self) -> bool {
        let availability = self.check_available();
        let is_unavailable = availability.is_err();
        if self.is_logged_unavailable.replace(is_unavailable) != is_unavailable {
            match &availability {
                Err(error) => tracing::warn!(%error, "durable requests rejected"),
                Ok(()) => tracing::info!("durable requests accepted again"),
            }
        }
        !is_unavailable
    }

    fn check_available(&self) -> Result<(), Unavailable> {
        self.committer.check_ready(self.config.slow_sync_threshold)?;
        let limit = self.config.max_jobs.min(self.limits.max_durable_jobs);
        if self.ledger.borrow().len() >= limit { Err(Unavailable::Full) } else { Ok(()) }
    }

    /// Applies a record to the index. Logs and returns `None` if the record is inconsistent with earlier ones.
    fn apply(&self, record: Record) -> Option<Row> {
        let row = self.ledger.borrow_mut().apply(self.now(), record);
        row.inspect_err(|error| tracing::debug!(%error, "ledger record refused")).ok()
    }

    /// Writes a record without waiting until it is on disk. Returns false if it is inconsistent with earlier records.
    fn record_in_background(&self, record: Record) -> bool {
        let Some(row) = self.apply(record) else { return false };
        self.committer.write_later(row);
        true
    }

    /// Queues rows to be written.
    fn begin_write(&self, rows: Vec<Row>) -> RecordWrite {
        let (done, written) = oneshot::channel();
        let pending = self.committer.write(rows, move |result| _ = done.send(result));
        RecordWrite { pending, written }
    }

    /// Writes rows, and returns once they are on disk.
    async fn write(&self, rows: Vec<Row>) -> Result<(), CommitError> {
        self.begin_write(rows).finished().await
    }

    /// Writes rows, and returns once they are on disk, however often that fails before.
    async fn write_until_on_disk(&self, rows: Vec<Row>) {
        let mut written = self.write(rows).await;
        while written.is_err() {
            sleep(WRITE_RETRY_INTERVAL).await;
            // The committer retains the rows; an empty write waits until they are on disk.
            written = self.write(Vec::new()).await;
        }
    }

    /// Reads all rows of a request from the ledger.
    async fn read(&self, request_id: RequestId) -> Result<Vec<Row>, ReadError> {
        let (done, rows) = oneshot::channel();
        self.committer.read(request_id, move |result| _ = done.send(result));
        rows.await.unwrap_or(Err(ReadError::Ended))
    }
}

fn start_committer(config: &DurableConfig, open: OpenStore) -> Result<(Committer, Ledger), DurableError> {
    let sync_mode = match config.sync {
        LedgerSync::Batched => SyncMode::Shared,
        LedgerSync::PerRecord => SyncMode::Separate,
    };
    let started = Committer::start(open, sync_mode);
    started.map_err(|source| DurableError::Open { path: config.path.clone(), source })
}

/// The requests without an answer, ordered by deadline.
fn open_requests(ledger: &Ledger) -> Vec<RequestId> {
    // The bit patterns of positive floating-point numbers have the same order as the numbers.
    let by_deadline = |(request_id, job): (RequestId, &troutknot_ledger::Job)| {
        (job.deadline.max(0.0).to_bits(), request_id)
    };
    let mut requests: Vec<(u64, RequestId)> = ledger.open_jobs().map(by_deadline).collect();
    requests.sort_unstable();
    requests.into_iter().map(|(_, request_id)| request_id).collect()
}

fn log_opened(config: &DurableConfig, ledger: &Ledger, open: usize, elapsed: Duration) {
    tracing::info!(
        path = %config.path.display(),
        count = ledger.len(),
        open,
        elapsed_ms = elapsed.as_millis() as u64,
        "ledger opened"
    );
}

#[cfg(test)]
#[path = "../../tests/unit/durable.rs"]
mod tests;
