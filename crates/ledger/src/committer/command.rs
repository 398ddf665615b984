//! What callers queue for the ledger's thread.
use super::{CommitError, ReadError};
use crate::record::Row;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use troutknot::RequestId;

pub(super) type WriteCallback = Box<dyn FnOnce(Result<(), CommitError>) + Send>;
pub(super) type ReadCallback = Box<dyn FnOnce(Result<Vec<Row>, ReadError>) + Send>;

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
    pub(super) fn new() -> Self {
        PendingWrite(Arc::new(AtomicU8::new(QUEUED)))
    }

    /// Cancels the write unless the thread has begun it. If the result is true, no row of it reaches the disk, and its
    /// callback is not called; if it is false, the rows may be on disk, or may yet get there.
    pub fn cancel(&self) -> bool {
        self.leave_queue(CANCELLED)
    }

    /// Begins the write. Returns false if it was cancelled.
    pub(super) fn begin(&self) -> bool {
        self.leave_queue(BEGUN)
    }

    fn leave_queue(&self, state: u8) -> bool {
        self.0.compare_exchange(QUEUED, state, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

/// Rows to be written by one commit.
pub(super) struct QueuedWrite {
    pub rows: Vec<Row>,
    pub callback: WriteCallback,
    pub pending: PendingWrite,
}

/// A command to the ledger's thread.
pub(super) enum Command {
    Write(QueuedWrite),
    /// A row that has no waiting caller.
    WriteLater(Row),
    Read(RequestId, ReadCallback),
}
