//! What the decision module asks of its host.
use crate::event::GossipMessage;
use crate::ids::{AttemptId, ExecutorId, RequestId};
use crate::log_event::LogEvent;
use crate::time::Millis;

/// One thing to do, from [`crate::Dispatcher::poll_actions`]; actions are carried out in their order.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Sends a request to an executor, as its next attempt.
    Dispatch {
        /// The request.
        request_id: RequestId,
        /// Where it goes.
        executor: ExecutorId,
        /// When the attempt is given up.
        attempt_deadline: Millis,
        /// From then on nothing of it is sent any more, and its last byte not at all.
        send_deadline: Millis,
    },
    /// Breaks an attempt off.
    Cancel {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
    },
    /// Gives the final answer that the request was not served and may come again.
    Reject {
        /// The request.
        request_id: RequestId,
        /// After how long the client may ask again; none where nothing is said of it.
        retry_after: Option<Millis>,
    },
    /// Gives the final answer that the request failed, and perhaps ran.
    Fail {
        /// The request.
        request_id: RequestId,
    },
    /// Asks an executor for its load.
    Probe {
        /// The executor.
        executor: ExecutorId,
    },
    /// Wants [`crate::Event::TimerFired`] at a time; an earlier timer goes on as well.
    SetTimer {
        /// When.
        at: Millis,
    },
    /// Closes the connections to an executor that are idle: they may be gone unseen.
    CloseIdleConnections {
        /// The executor.
        executor: ExecutorId,
    },
    /// Tells all other nodes, as far as it gets to them.
    Gossip(GossipMessage),
    /// Opens a watch of the endpoint list, unless one stands.
    WatchEndpoints,
    /// The executor is gone and nothing needs it any more: its state here is dropped, and the host frees its
    /// name, its list entry and its connections. It is the last that is said of this handle: the host lists
    /// the executor under a new one if it comes back. What still comes under the old one is dropped and
    /// counted.
    ReleaseExecutor {
        /// The executor.
        executor: ExecutorId,
    },
    /// Writes an entry to the log.
    Log(LogEvent),
}
