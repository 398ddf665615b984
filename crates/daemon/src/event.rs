//! What the sides tell the driver, and nothing of how it is carried out.
use crate::durable::Lease;
use crate::in_flight::Exchange;
use crate::lists::ToldList;
use std::rc::Rc;
use tokio::sync::oneshot;
use troutknot::{Event as Heard, Millis, Outcome, RequestId, Settings};

/// An allocation of an earlier life of this node.
pub struct Earlier {
    /// By the name that the list gives it.
    pub executor: String,
    pub sent: Millis,
    /// None where it is not known.
    pub outcome: Option<Outcome>,
    pub lease: Lease,
}

/// Where a call came.
pub enum Asked {
    /// Here; who waits hears whether the executor is known.
    ByHand(oneshot::Sender<bool>),
    /// To the other process of this node, which knows it and counts what it asks for.
    ByOther(u64),
}

/// What the sides tell the driver.
pub enum Event {
    Arrived(Rc<Exchange>),
    /// One that is open from an earlier life, with its allocations in order.
    Recovered(Rc<Exchange>, Vec<Earlier>),
    Left(RequestId),
    /// What the dispatcher may be told as it is; whether an end closes the work unit is found here.
    Heard(Heard),
    List(ToldList),
    /// An operator leaves an executor out, or lets it serve again.
    LeaveOut {
        executor: String,
        out: bool,
        asked: Asked,
    },
    /// A next process of this node is to be told all that is known here.
    HandOver,
    /// Whether another process of this node runs.
    Beside(bool),
    /// New settings.
    Retuned(Box<Settings>),
    /// The node ends soon: what is out is cut, and nothing more is sent.
    OutOfTime,
    /// The node ends now: what is open gets its last answer.
    End,
}
