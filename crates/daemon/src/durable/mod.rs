//! Durable requests: accepted, dispatched and answered on record, so that a node that was killed resumes them after
//! its restart. Runs only if the operator's file has a section `[durable]`.
//!
//! [`Durable`] owns the ledger. `jobs` accepts requests and records their answers, `recovery` resumes those that
//! were open when the last process ended, `lease` tracks one attempt, and `waiters` are the clients that wait for an
//! answer.
mod jobs;
mod lease;
mod payload;
mod recovery;
mod status;
mod waiters;

pub use jobs::LookupResult;
pub use lease::Lease;
pub use waiters::PendingAnswer;

use crate::config::durable::{DurableConfig, LedgerSync};
use crate::config::limits::Limits;
use crate::event::NodeEvent;
use crate::protocol::{Codec, Current};
use crate::tasks::TaskGroup;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use troutknot::{Millis, RequestId};
use troutknot_clock::Clock;
use troutknot_ledger::committer::{CommitError, Committer, ReadError, ReadinessError, StartError, SyncMode};
use troutknot_ledger::store::Store;
use troutknot_ledger::{Ledger, Record, Row};
use waiters::PendingAnswers;

/// Bounds on the attempts of a durable request, which the settings may narrow.
const ATTEMPTS_RANGE: std::ops::RangeInclusive<usize> = 1..=3;

/// Why the ledger cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DurableError {
    /// The ledger cannot be opened or read.
    #[error("ledger `{}`: {source}", path.display())]
    Open {
        /// The ledger's file.
        path: PathBuf,
        /// What went wrong.
        source: StartError,
    },
}

/// Why no durable requests are accepted now.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
enum Unavailable {
    /// The disk fails or is slow.
    #[error(transparent)]
    NotReady(#[from] ReadinessError),
    /// As many requests are on record as the limits allow.
    #[error("the ledger is full")]
    Full,
}

/// What [`Durable`] is connected with.
pub struct DurableConnections {
    /// Bounds the number of requests on record, and timeouts.
    pub limits: Rc<Limits>,
    /// The clock of the node.
    pub clock: Clock,
    /// Translates between names and ids.
    pub codec: Rc<Current<Codec>>,
    /// Reaches the driver.
    pub events: mpsc::Sender<NodeEvent>,
    /// Owns the tasks that wait for answers.
    pub tasks: TaskGroup,
}

/// The ledger of this node, open in this process, and the requests that are waiting to be recorded.
pub struct Durable {
    config: DurableConfig,
    limits: Rc<Limits>,
    clock: Clock,
    /// Added to the clock's times if the clock was behind the last record at the start.
    clock_offset: Millis,
    codec: Rc<Current<Codec>>,
    events: mpsc::Sender<NodeEvent>,
    tasks: TaskGroup,
    committer: Committer,
    ledger: RefCell<Ledger>,
    pending_answers: PendingAnswers,
    max_attempts: usize,
    /// Requests that were open at the start, by deadline, until they are recovered.
    unrecovered: RefCell<Vec<RequestId>>,
    /// Number of requests that are still to be recovered.
    unrecovered_count: Cell<usize>,
    /// Whether the last logged state is that no requests are accepted.
    is_logged_unavailable: Cell<bool>,
}

impl Durable {
    /// Opens the ledger and reads its index.
    ///
    /// # Errors
    /// If the ledger cannot be opened or read.
    pub fn open(config: DurableConfig, connections: DurableConnections) -> Result<Rc<Self>, DurableError> {
        let DurableConnections { limits, clock, codec, events, tasks } = connections;
        let max_attempts = codec.load().max_attempts().clamp(*ATTEMPTS_RANGE.start(), *ATTEMPTS_RANGE.end());
        let started_at = Instant::now();
        let (committer, ledger) = start_committer(&config, max_attempts)?;
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
            max_attempts,
            unrecovered_count: Cell::new(unrecovered.len()),
            unrecovered: RefCell::new(unrecovered),
            is_logged_unavailable: Cell::new(false),
        }))
    }

    /// Unix time in milliseconds, monotonic also across restarts.
    fn now(&self) -> Millis {
        self.clock.now() + self.clock_offset
    }

    /// The first request number that the ledger has not used.
    pub fn next_request_number(&self) -> u64 {
        self.ledger.borrow().next_number()
    }

    /// Whether new requests are accepted; logs each change.
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

    /// Applies a record to the index; None, logged, if it does not follow from the records before it.
    fn apply(&self, record: Record) -> Option<Row> {
        let row = self.ledger.borrow_mut().apply(self.now(), record);
        row.inspect_err(|error| tracing::debug!(%error, "ledger record refused")).ok()
    }

    /// Records something for which nobody waits; false if it does not follow from the records before it.
    fn record_soon(&self, record: Record) -> bool {
        let Some(row) = self.apply(record) else { return false };
        self.committer.write_later(row);
        true
    }

    /// Writes rows, and returns once they are on disk.
    async fn write(&self, rows: Vec<Row>) -> Result<(), CommitError> {
        let (done, written) = oneshot::channel();
        self.committer.write(rows, move |result| _ = done.send(result));
        written.await.unwrap_or_else(|_| Err(CommitError("the ledger has ended".into())))
    }

    /// Reads all rows of a request.
    async fn read(&self, request_id: RequestId) -> Result<Vec<Row>, ReadError> {
        let (done, rows) = oneshot::channel();
        self.committer.read(request_id, move |result| _ = done.send(result));
        rows.await.unwrap_or(Err(ReadError::Ended))
    }
}

fn start_committer(config: &DurableConfig, max_attempts: usize) -> Result<(Committer, Ledger), DurableError> {
    let path = config.path.clone();
    let open = Box::new(move || Store::open(&path));
    let sync_mode = match config.sync {
        LedgerSync::Batched => SyncMode::Shared,
        LedgerSync::PerRecord => SyncMode::Separate,
    };
    let started = Committer::start(open, sync_mode, max_attempts);
    started.map_err(|source| DurableError::Open { path: config.path.clone(), source })
}

/// The requests without an answer, those with the earliest deadline first.
fn open_requests(ledger: &Ledger) -> Vec<RequestId> {
    // The bits of positive numbers are ordered as the numbers are.
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
