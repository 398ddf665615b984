//! The messages that the parts of a node exchange with its driver. Plain data: nothing here acts.
use crate::in_flight::InFlightRequest;
use crate::protocol::{EndpointEntry, EndpointList};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use troutknot::{Event as CoreEvent, ListUpdate, Millis, Outcome, RequestId, Settings};
use troutknot_ledger::Fence;

/// A snapshot of the endpoint list, or changes to it, as a discovery source reports it.
#[derive(Debug)]
pub struct EndpointUpdate {
    /// Whether the entries are a complete list or changes, and where they come from.
    pub kind: ListUpdate,
    /// The endpoints that are listed or that changed.
    pub entries: Vec<EndpointEntry>,
    /// The version of the list, if its source counts versions.
    pub version: Option<u64>,
    /// Number of entries that the reader dropped because the list exceeded its size limit.
    pub dropped_entries: usize,
}

impl EndpointUpdate {
    /// Wraps a list that was read from its source.
    pub fn from_list(kind: ListUpdate, list: EndpointList) -> Self {
        let EndpointList { version, entries, dropped_entries, .. } = list;
        EndpointUpdate { kind, entries, version: Some(version), dropped_entries }
    }

    /// Wraps changed entries from a source that counts no versions.
    pub fn delta(entries: Vec<EndpointEntry>) -> Self {
        EndpointUpdate { kind: ListUpdate::Delta, entries, version: None, dropped_entries: 0 }
    }

    /// A confirmation that the list has not changed.
    pub fn unchanged() -> Self {
        EndpointUpdate::delta(Vec::new())
    }
}

/// Requests from the driver to the endpoint list's watch.
#[derive(Default)]
pub struct WatchRequests {
    /// Continue the watch from the last version.
    pub resume: Notify,
    /// Reopen the watch, beginning with a snapshot.
    pub snapshot: Notify,
}

/// An attempt of an earlier process of this node.
pub struct RecoveredAttempt {
    /// The name that the list gives its executor.
    pub executor: String,
    pub sent_at: Millis,
    /// None where it is not known.
    pub outcome: Option<Outcome>,
    /// The fencing token that was recorded with it.
    pub fence: Fence,
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
