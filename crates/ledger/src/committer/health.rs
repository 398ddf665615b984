//! State of the disk, which callers can read while the ledger's thread waits for it.
use super::{CommitError, ReadinessError};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// State of the disk, which other threads can read without waiting for a commit.
pub struct DiskHealth {
    is_failing: AtomicBool,
    /// When the state was created.
    created_at: Instant,
    /// When the commit in progress started, by [`DiskHealth::commit_clock`]; 0 if there is none.
    commit_started_at: AtomicU64,
    last_error: Mutex<String>,
    /// Number of successful commits.
    pub commits: AtomicU64,
    /// Number of rows written.
    pub rows: AtomicU64,
}

impl DiskHealth {
    pub(super) fn new() -> Self {
        DiskHealth {
            is_failing: AtomicBool::new(false),
            created_at: Instant::now(),
            commit_started_at: AtomicU64::new(0),
            last_error: Mutex::default(),
            commits: AtomicU64::new(0),
            rows: AtomicU64::new(0),
        }
    }

    /// The milliseconds since the state was created plus 1, so that 0 can stand for no commit.
    fn commit_clock(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64 + 1
    }

    /// Notes that a commit starts.
    pub(super) fn begin_commit(&self) {
        self.commit_started_at.store(self.commit_clock(), Ordering::Release);
    }

    /// Notes the result of the commit in progress.
    pub(super) fn end_commit(&self, result: &Result<(), CommitError>) {
        self.commit_started_at.store(0, Ordering::Release);
        if let Err(CommitError(error)) = result
            && let Ok(mut last_error) = self.last_error.lock()
        {
            last_error.clone_from(error);
        }
        self.is_failing.store(result.is_err(), Ordering::Release);
    }

    /// Counts a successful commit.
    pub(super) fn count_commit(&self, rows: usize) {
        self.commits.fetch_add(1, Ordering::Relaxed);
        self.rows.fetch_add(rows as u64, Ordering::Relaxed);
    }

    /// Checks whether new requests may be accepted.
    ///
    /// # Errors
    /// If the last commit failed, or if the commit in progress has taken longer than `max_sync_time`.
    pub(super) fn check_ready(&self, max_sync_time: Duration) -> Result<(), ReadinessError> {
        if self.is_failing.load(Ordering::Acquire) {
            let last_error = self.last_error.lock();
            return Err(ReadinessError::CommitFailed(
                last_error.map_or_else(|_| "the last commit failed".into(), |error| error.clone()),
            ));
        }
        let commit_started_at = self.commit_started_at.load(Ordering::Acquire);
        let millis = self.commit_clock().saturating_sub(commit_started_at);
        if commit_started_at > 0 && u128::from(millis) > max_sync_time.as_millis() {
            return Err(ReadinessError::SlowSync { millis });
        }
        Ok(())
    }
}
