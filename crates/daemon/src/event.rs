//! What the sides of a node tell its driver, and nothing of how it is carried out.
use crate::discovery::EndpointUpdate;
use crate::durable::Lease;
use crate::in_flight::InFlightRequest;
use std::rc::Rc;
use tokio::sync::oneshot;
use troutknot::{Event as CoreEvent, Millis, Outcome, RequestId, Settings};

/// An attempt of an earlier process of this node.
pub struct RecoveredAttempt {
    /// The name that the list gives its executor.
    pub executor: String,
    pub sent_at: Millis,
    /// None where it is not known.
    pub outcome: Option<Outcome>,
    pub lease: Lease,
}

/// Where an operator's call came.
pub enum CallOrigin {
    /// Here; who waits hears whether the executor is known.
    Operator(oneshot::Sender<bool>),
    /// To the sibling process, which knows the executor and numbers what it asks for.
    Sibling(u64),
}

/// What the sides tell the driver.
pub enum NodeEvent {
    /// A request was taken.
    RequestArrived(Rc<InFlightRequest>),
    /// One is open from an earlier process, with its attempts in order.
    RequestRecovered(Rc<InFlightRequest>, Vec<RecoveredAttempt>),
    /// The client of a request has left.
    ClientLeft(RequestId),
    /// What the dispatcher may be told as it is; whether an end closes the request is found by the driver.
    Core(CoreEvent),
    /// A source told of executors.
    ListReceived(EndpointUpdate),
    /// An operator excludes an executor, or lets it serve again.
    SetExcluded { executor: String, is_excluded: bool, origin: CallOrigin },
    /// A next process of this node is to be told all that is known here.
    ExportState,
    /// Whether a sibling process runs.
    SiblingChanged(bool),
    /// New settings.
    SettingsChanged(Box<Settings>),
    /// The node ends soon: what is in flight is cancelled, and nothing more is sent.
    CancelInFlight,
    /// The node ends now: what is open gets its last answer.
    ShutDown,
}
