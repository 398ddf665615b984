//! Events that a host reports to the dispatcher.
use crate::endpoint::{Endpoint, ListUpdate, LoadReport};
use crate::ids::{AttemptId, ExecutorId, RequestClassId, RequestId, TenantId};
use crate::time::Millis;
use crate::warm_state::WarmState;

/// One event that [`crate::Dispatcher::handle_event`] handles.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Discovery or an operator updated the endpoint list.
    EndpointsUpdated {
        /// Content of the update.
        update: ListUpdate,
        /// Endpoints in the update.
        endpoints: Vec<Endpoint>,
    },
    /// A call for the endpoint list failed, or a watch of it was interrupted.
    EndpointWatchLost {
        /// Whether the source answered that it accepts no calls at present.
        is_rejected: bool,
    },
    /// A client sent a request.
    RequestArrived {
        /// Id of the request, which no open request has.
        request_id: RequestId,
        /// Class of the request; a request of an unknown class is ignored.
        class: RequestClassId,
        /// Tenant whose quota the request counts against; an unknown tenant has no quota.
        tenant: TenantId,
        /// Number of slots that it needs at an executor, at least 1.
        slots: f64,
        /// Memory that it needs. No decision depends on it.
        memory: f64,
        /// Time for which the client waits for the answer.
        time_left: Millis,
        /// Whether the client has sent it before.
        is_retry: bool,
    },
    /// A probe ended.
    ProbeCompleted {
        /// Executor that was probed.
        executor: ExecutorId,
        /// Reply to the probe; `None` if the probe failed or timed out.
        reply: Option<ProbeReply>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Request of the attempt.
        request_id: RequestId,
        /// Number of the attempt within its request.
        attempt_id: AttemptId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the request has its final answer, from this attempt or an earlier one.
        is_request_closed: bool,
    },
    /// An attempt of an earlier process of this node is in flight; its end is reported later.
    ///
    /// Attempts are reported in order, after the arrival of their request. The executor has been listed, or reported as
    /// gone in the same batch.
    AttemptRecovered {
        /// Request of the attempt.
        request_id: RequestId,
        /// Executor that it was dispatched to.
        executor: ExecutorId,
        /// When it was dispatched.
        sent_at: Millis,
    },
    /// Another process of this node, which also dispatches, has started or stopped.
    SiblingChanged {
        /// Whether the other process is running now.
        is_running: bool,
    },
    /// An earlier process of this node handed over its state. Reported after the endpoint list.
    WarmStateReceived(WarmState),
    /// A peer sent a gossip message, which may be late or wrong.
    GossipReceived(GossipMessage),
    /// An attempt has started to run or to send its answer.
    AttemptStarted {
        /// Request of the attempt.
        request_id: RequestId,
        /// Number of the attempt within its request.
        attempt_id: AttemptId,
    },
    /// An attempt made progress. No decision depends on it.
    AttemptProgressed {
        /// Request of the attempt.
        request_id: RequestId,
        /// Number of the attempt within its request.
        attempt_id: AttemptId,
        /// Part of the attempt that is complete, 0 to 1.
        share: f64,
    },
    /// A timer set by [`crate::Action::SetTimer`] has fired. An additional event has no effect.
    TimerFired,
    /// The client of a request has disconnected and needs no answer.
    RequestWithdrawn {
        /// Request without a client.
        request_id: RequestId,
    },
}

/// The reply to a probe.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ProbeReply {
    /// Time from the probe to its reply, in milliseconds.
    pub latency: Millis,
    /// Load that the executor reported.
    pub report: LoadReport,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// It ran and its result was received.
    Completed,
    /// Its executor reported an error.
    Error,
    /// Its executor rejected it without running it.
    Rejected,
    /// Its deadline passed.
    TimedOut,
    /// No connection to the executor was established.
    NoConnection,
    /// The connection broke after it was sent.
    Reset,
    /// This node cancelled it.
    Cancelled,
    /// This node did not send it.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// A gossip message from one node to the others.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum GossipMessage {
    /// An idle connection to an executor had broken unnoticed.
    IdleConnectionLost,
    /// An executor rejected a request although its load report had shown free capacity.
    RequestRejected {
        /// Lower half of the executor's token.
        token: u32,
        /// Class of the request.
        class: RequestClassId,
    },
}
