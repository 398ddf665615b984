//! Durable requests with leases: the records on disk, and the state that is rebuilt from them. [`Ledger`] does no I/O
//! and reads no clock.
//!
//! Each [`Record`] is applied to the [`Ledger`] in the order in which the records were written. A crash can leave any
//! prefix of them on disk, so the state after each prefix must be a valid one. Whether a record is valid follows from
//! the records before it alone, never from settings, which can change while the records stay.
//! [`store::Store`] keeps the rows in one file, [`committer::Committer`] is the thread that writes them. Times are Unix
//! milliseconds that the caller passes in.
//!
//! An attempt whose lease has expired is *unknown*: it may have run. An at-most-once request gets another attempt only
//! after every earlier one is certain not to have run, by its outcome or because its executor refuses the fence.
pub mod codec;
pub mod committer;
mod job;
mod ledger;
mod record;
pub mod store;

pub use job::{Attempt, AttemptStatus, DispatchError, Job, MAX_ATTEMPTS};
pub use ledger::{Ledger, RecordError};
pub use record::{Answer, Digest, Fence, Record, Row};
