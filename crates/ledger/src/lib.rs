//! Durable requests with leases: their state, which follows from records, and the records on disk. [`Ledger`] has no
//! I/O and no clock.
//!
//! Each [`Record`] is applied to the [`Ledger`] in the order in which the records were written. A crash can leave any
//! prefix of them on disk, so the state after each prefix must be a valid one.
//! [`store::Store`] has the rows in one file, [`committer::Committer`] is the thread that writes them. Times are Unix
//! milliseconds, given by the caller.
//!
//! An attempt whose lease has expired is *unknown*: it may have run. An at-most-once request gets another attempt only
//! after all earlier ones are known not to have run, by their outcomes or because their executors refuse the fence.
pub mod codec;
pub mod committer;
mod job;
mod ledger;
mod record;
pub mod store;

pub use job::{Attempt, AttemptStatus, DispatchError, Job};
pub use ledger::{Ledger, RecordError};
pub use record::{Answer, Digest, Fence, Record, Row};
