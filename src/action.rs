//! Actions that the decision module orders its host to carry out.
use crate::event::GossipMessage;
use crate::ids::{AttemptId, ExecutorId, RequestId};
use crate::log_event::LogEvent;
use crate::time::Millis;

/// One action of [`crate::Dispatcher::poll_actions`]; the host carries actions out in their order.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Sends a request to an executor, as the request's next attempt.
    Dispatch {
        /// The request.
        request_id: RequestId,
        /// The executor.
        executor: ExecutorId,
        /// When the attempt times out.
        attempt_deadline: Millis,
        /// Its last byte is sent before this time, or never; a partial send is aborted then.
        send_deadline: Millis,
    },
    /// Cancels an attempt. No rule orders this at present; hosts carry it out.
    Cancel {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
    },
    /// Answers finally that the request was not served and may be sent again.
    Reject {
        /// The request.
        request_id: RequestId,
        /// The wait before a retry that the answer states (`Retry-After`), if any.
        retry_after: Option<Millis>,
    },
    /// Answers finally that the request failed; it may have run.
    Fail {
        /// The request.
        request_id: RequestId,
    },
    /// Probes an executor for its load.
    Probe {
        /// The executor.
        executor: ExecutorId,
    },
    /// Requests [`crate::Event::TimerFired`] at a time; timers that were set before still fire.
    SetTimer {
        /// The time.
        at: Millis,
    },
    /// Closes the idle connections to an executor, as they may be broken.
    CloseIdleConnections {
        /// The executor.
        executor: ExecutorId,
    },
    /// Sends a message to all other nodes, without a guarantee of delivery.
    Gossip(GossipMessage),
    /// Opens a watch of the endpoint list, unless one is open.
    WatchEndpoints,
    /// Releases an executor that is gone and no longer needed. The host frees its name, its list entry and
    /// its connections.
    ///
    /// No later action names this handle. If the executor is listed again, the host gives it a new handle;
    /// events that name the old one are dropped and counted.
    ReleaseExecutor {
        /// The executor.
        executor: ExecutorId,
    },
    /// Writes an entry to the log.
    Log(LogEvent),
}
