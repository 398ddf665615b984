//! Events that a host reports to the decision module.
use crate::endpoint::{Endpoint, ListUpdate, LoadReport};
use crate::ids::{AttemptId, ExecutorId, RequestClassId, RequestId, TenantId};
use crate::time::Millis;
use crate::warm_state::WarmState;

/// One event, for [`crate::Dispatcher::handle_event`].
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Discovery or an operator updated the endpoint list.
    EndpointsUpdated {
        /// What the update contains.
        update: ListUpdate,
        /// The endpoints in it.
        endpoints: Vec<Endpoint>,
    },
    /// A call for the endpoint list failed, or a watch of it broke off.
    EndpointWatchLost {
        /// Whether the source answered that it accepts no calls now.
        is_rejected: bool,
    },
    /// A client sent a request.
    RequestArrived {
        /// Its id, new.
        request_id: RequestId,
        /// Its class; a request of an unknown class is ignored.
        class: RequestClassId,
        /// The tenant whose quota it counts against; an unknown tenant has no quota.
        tenant: TenantId,
        /// Slots that it needs at an executor, at least 1.
        slots: f64,
        /// Memory that it needs; no decision depends on it.
        memory: f64,
        /// How long the client waits for the answer.
        time_left: Millis,
        /// Whether the client has sent it before.
        is_retry: bool,
    },
    /// A probe ended.
    ProbeCompleted {
        /// The executor that was probed.
        executor: ExecutorId,
        /// Its reply; `None` if it failed or timed out.
        reply: Option<ProbeReply>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has its final answer, with this attempt or before.
        is_request_closed: bool,
    },
    /// An attempt of an earlier process of this node is in flight; its end is reported later.
    ///
    /// The event follows the arrival of its request, attempts in order. Its executor has been listed, or
    /// reported as gone in the same batch.
    AttemptRecovered {
        /// Its request.
        request_id: RequestId,
        /// The executor that it was dispatched to.
        executor: ExecutorId,
        /// When it was dispatched.
        sent_at: Millis,
    },
    /// Another process of this node, which dispatches as well, has started or stopped.
    SiblingChanged {
        /// Whether one is running now.
        is_running: bool,
    },
    /// An earlier process of this node handed over its state; after the endpoint list.
    WarmStateReceived(WarmState),
    /// A peer sent a message, which may be late or wrong.
    GossipReceived(GossipMessage),
    /// An attempt has started to run, or to answer.
    AttemptStarted {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
    },
    /// An attempt made progress; no decision depends on it.
    AttemptProgressed {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
        /// The part of it that is done, 0 to 1.
        share: f64,
    },
    /// A timer that [`crate::Action::SetTimer`] set has fired; one more than needed does no harm.
    TimerFired,
    /// The client has disconnected and needs no answer.
    RequestWithdrawn {
        /// Its request.
        request_id: RequestId,
    },
}

/// The reply to a probe.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ProbeReply {
    /// Time from the probe to its reply.
    pub latency: Millis,
    /// The load that the executor reported.
    pub report: LoadReport,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// It ran, and its result was received.
    Completed,
    /// Its executor reported an error.
    Error,
    /// Its executor rejected it without starting it.
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
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// A message from one node to the others.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum GossipMessage {
    /// An idle connection had broken without notice.
    IdleConnectionLost,
    /// An executor rejected a request though its report had shown free capacity.
    RequestRejected {
        /// The lower half of the executor's token.
        token: u32,
        /// The class of the request.
        class: RequestClassId,
    },
}
