//! What the sides tell the driver, and nothing of how it is carried out.
use crate::exchange::Exchange;
use crate::words::Entry;
use std::rc::Rc;
use troutknot::{Event as Heard, ListKind, WuId};

/// What the sides tell the driver.
pub enum Event {
    Arrived(Rc<Exchange>),
    Left(WuId),
    /// What the dispatcher may be told as it is; whether an end closes the work unit is found here.
    Heard(Heard),
    List(ListKind, Vec<Entry>),
    /// The node ends soon: what is out is cut, and nothing more is sent.
    OutOfTime,
    /// The node ends now: what is open gets its last answer.
    End,
}
