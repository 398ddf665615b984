//! Actions that the dispatcher returns for its host to carry out.
use crate::event::GossipMessage;
use crate::ids::{AttemptId, ExecutorId, RequestId};
use crate::log_event::LogEvent;
use crate::time::Millis;

/// One action returned by [`crate::Dispatcher::poll_actions`]. The host carries out actions in order.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Sends a request to an executor, as the request's next attempt.
    Dispatch {
        /// Request to send.
        request_id: RequestId,
        /// Executor that receives it.
        executor: ExecutorId,
        /// When the attempt times out.
        attempt_deadline: Millis,
        /// Until when its last byte may be sent. A partial send is aborted at this time.
        send_deadline: Millis,
    },
    /// Cancels an attempt. Hosts implement this action, but no rule returns it at present.
    Cancel {
        /// Request of the attempt.
        request_id: RequestId,
        /// Number of the attempt within its request.
        attempt_id: AttemptId,
    },
    /// Sends the final answer that the request was not served and may be sent again.
    Reject {
        /// Request to answer.
        request_id: RequestId,
        /// Delay before a retry that the answer states (`Retry-After`), in milliseconds.
        retry_after: Option<Millis>,
    },
    /// Sends the final answer that the request failed; it may have run.
    Fail {
        /// Request to answer.
        request_id: RequestId,
    },
    /// Probes an executor for its load.
    Probe {
        /// Executor to probe.
        executor: ExecutorId,
    },
    /// Sets a timer that ends in [`crate::Event::TimerFired`]. Timers that were set before still fire.
    SetTimer {
        /// When the timer fires.
        at: Millis,
    },
    /// Closes the idle connections to an executor because they may be broken.
    CloseIdleConnections {
        /// Executor at the other end.
        executor: ExecutorId,
    },
    /// Sends a gossip message to all other nodes, without a guarantee of delivery.
    Gossip(GossipMessage),
    /// Opens a watch of the endpoint list, unless one is open.
    WatchEndpoints,
    /// Releases an executor that is gone and no longer needed. The host frees its name, its list entry and its
    /// connections.
    ///
    /// No later action refers to this handle. If the executor is listed again, the host assigns a new handle; events
    /// that refer to the old one are dropped and counted.
    ReleaseExecutor {
        /// Handle of the executor.
        executor: ExecutorId,
    },
    /// Writes an entry to the log.
    Log(LogEvent),
}
