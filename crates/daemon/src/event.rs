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
    /// Whether the entries are a complete list or changes, and their origin.
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

/// An attempt of an earlier process of this node, as the ledger has it.
pub struct RecoveredAttempt {
    /// The name of its executor.
    pub executor: String,
    /// When it was recorded, which is just before it was sent.
    pub sent_at: Millis,
    /// How it ended; None if that is not known.
    pub outcome: Option<Outcome>,
    /// The fencing token that was recorded with it.
    pub fence: Fence,
}

/// Where an operator called.
pub enum CallOrigin {
    /// At this process. The caller waits to learn whether the executor is known, once the call has taken effect.
    Operator(oneshot::Sender<bool>),
    /// At the sibling process, which waits until its message of this number is acknowledged.
    Sibling(u64),
}

/// What the parts of the node report to the driver.
pub enum NodeEvent {
    /// A client made a request.
    RequestArrived(Rc<InFlightRequest>),
    /// A request is open since an earlier process, with its attempts in order.
    RequestRecovered(Rc<InFlightRequest>, Vec<RecoveredAttempt>),
    /// The client of a request has left.
    ClientDisconnected(RequestId),
    /// An event for the dispatcher. The driver determines whether the end of an attempt closes its request.
    Core(CoreEvent),
    /// A discovery source has a list of endpoints, or changes to one.
    ListReceived(EndpointUpdate),
    /// An operator excludes an executor (admin call `suspend`), or includes it again (`resume`).
    SetExcluded {
        /// The executor's name.
        executor: String,
        /// True to exclude it.
        is_excluded: bool,
        /// Where the operator called.
        origin: CallOrigin,
    },
    /// The state of this process is to be sent to the sibling.
    ExportState,
    /// The sibling process was connected, or has gone.
    SiblingChanged {
        /// Whether it runs.
        is_running: bool,
    },
    /// The settings were reloaded.
    SettingsChanged(Box<Settings>),
    /// The shutdown cancels the attempts in flight, and lets no further ones be sent.
    CancelInFlight,
    /// The shutdown answers all open requests.
    ShutDown,
}
