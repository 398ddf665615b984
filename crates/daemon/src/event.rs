//! Data types of the messages between the driver and the other parts of a node.
use crate::in_flight::InFlightRequest;
use crate::protocol::{EndpointEntry, EndpointList};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use troutknot::{Event as CoreEvent, ListUpdate, Millis, Outcome, RequestId, Settings};
use troutknot_ledger::Fence;

/// A snapshot or a delta of the endpoint list from a discovery source.
#[derive(Debug)]
pub struct EndpointUpdate {
    /// Whether the entries are a snapshot or a delta, and their origin.
    pub update_type: ListUpdate,
    /// The listed or changed endpoints.
    pub entries: Vec<EndpointEntry>,
    /// The version of the list, if its source reports versions.
    pub version: Option<u64>,
    /// Number of entries that the parser dropped because the list exceeded its maximum number of entries.
    pub dropped_entries: usize,
}

impl EndpointUpdate {
    /// Creates an update from a parsed list.
    pub fn from_list(update_type: ListUpdate, list: EndpointList) -> Self {
        let EndpointList { version, entries, dropped_entries, .. } = list;
        EndpointUpdate { update_type, entries, version: Some(version), dropped_entries }
    }

    /// Creates a delta from a source that does not report versions.
    pub fn delta(entries: Vec<EndpointEntry>) -> Self {
        EndpointUpdate { update_type: ListUpdate::Delta, entries, version: None, dropped_entries: 0 }
    }

    /// Creates an empty delta, which confirms that the list has not changed.
    pub fn unchanged() -> Self {
        EndpointUpdate::delta(Vec::new())
    }
}

/// Requests from the driver to the watch of the endpoint list.
#[derive(Default)]
pub struct WatchRequests {
    /// Requests a watch that continues from the last version.
    pub resume: Notify,
    /// Requests a new watch that begins with a snapshot.
    pub snapshot: Notify,
}

/// An attempt of an earlier process of this node, recovered from the ledger.
pub struct RecoveredAttempt {
    /// The name of its executor.
    pub executor: String,
    /// Time at which it was recorded, which is just before it was sent.
    pub sent_at: Millis,
    /// Its outcome, or `None` if none was recorded.
    pub outcome: Option<Outcome>,
    /// The fencing token that was recorded with it.
    pub fence: Fence,
}

/// The process at which an operator made a call of the admin API.
pub enum CallOrigin {
    /// This process. Once the call has taken effect, the sender reports whether the executor was found.
    Operator(oneshot::Sender<bool>),
    /// The sibling process, which waits until its message with this number is acknowledged.
    Sibling(u64),
}

/// An event that a part of the node reports to the driver.
pub enum NodeEvent {
    /// A request from a client was admitted.
    RequestArrived(Rc<InFlightRequest>),
    /// A request of an earlier process is still open; with its attempts in order.
    RequestRecovered(Rc<InFlightRequest>, Vec<RecoveredAttempt>),
    /// The client of a request has disconnected, or the request was closed without an answer of the dispatcher.
    ClientDisconnected(RequestId),
    /// An event for the dispatcher. For the end of an attempt, the driver determines whether the request is closed.
    Core(CoreEvent),
    /// A discovery source has a snapshot or a delta of the endpoint list.
    ListReceived(EndpointUpdate),
    /// An operator excludes an executor (admin call `suspend`), or includes it again (`resume`).
    SetExcluded {
        /// The executor's name.
        executor: String,
        /// Whether the executor is excluded.
        is_excluded: bool,
        /// The process at which the operator made the call.
        origin: CallOrigin,
    },
    /// Requests that the state of this process is sent to the sibling.
    ExportState,
    /// The sibling process has connected or disconnected.
    SiblingChanged {
        /// Whether the sibling process is connected.
        is_running: bool,
    },
    /// The settings were reloaded.
    SettingsChanged(Box<Settings>),
    /// During a shutdown: cancels the attempts in flight, and all later ones.
    CancelInFlight,
    /// At the end of a shutdown: answers all open requests.
    ShutDown,
}
