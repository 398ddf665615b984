//! What a host tells the decision module.
use crate::endpoint::{Endpoint, ListUpdate, LoadReport};
use crate::ids::{AttemptId, ExecutorId, RequestClassId, RequestId, TenantId};
use crate::time::Millis;
use crate::warm_state::WarmState;

/// One thing that a host has seen, for [`crate::Dispatcher::handle_event`].
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Discovery or an operator says something of executors.
    EndpointsUpdated {
        /// What the update holds.
        update: ListUpdate,
        /// The executors that it speaks of.
        endpoints: Vec<Endpoint>,
    },
    /// A call for the endpoint list failed, or a watch of it broke off.
    EndpointWatchLost {
        /// Whether the source answered that it takes no calls now.
        is_rejected: bool,
    },
    /// A client wants a request answered.
    RequestArrived {
        /// Its id, new.
        request_id: RequestId,
        /// Its class; one that is not known is passed over.
        class: RequestClassId,
        /// Whose quota it counts against; none has one where it is not known.
        tenant: TenantId,
        /// Slots that it needs at an executor; less than 1 counts as 1.
        slots: f64,
        /// Memory that it needs.
        memory: f64,
        /// How long the client waits from now on.
        time_left: Millis,
        /// Whether the client has asked before.
        is_retry: bool,
    },
    /// A probe is over.
    ProbeCompleted {
        /// The executor that was probed.
        executor: ExecutorId,
        /// What it answered; none where it did not in time.
        reply: Option<ProbeReply>,
    },
    /// An attempt is over.
    AttemptEnded {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has its final answer with it, or had it before.
        is_request_closed: bool,
    },
    /// An attempt of an earlier process of this node is still under way, until its end is told. It comes
    /// after the arrival of its request, in order, for an executor that is held: listed, or told as gone in
    /// the same batch.
    AttemptRecovered {
        /// Its request.
        request_id: RequestId,
        /// Where it was dispatched to.
        executor: ExecutorId,
        /// When.
        sent_at: Millis,
    },
    /// Another process of this node, which dispatches as well, has begun or ceased to run.
    SiblingChanged {
        /// Whether one runs now.
        is_running: bool,
    },
    /// What a process of this node before this one hands over; after the endpoint list.
    WarmStateReceived(WarmState),
    /// Another node says something; it may be late, lost or wrong.
    GossipReceived(GossipMessage),
    /// An attempt has begun to run, or to answer.
    AttemptStarted {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
    },
    /// An attempt goes on.
    AttemptProgressed {
        /// Its request.
        request_id: RequestId,
        /// Its number within the request.
        attempt_id: AttemptId,
        /// The share of it that is done, 0 to 1.
        share: f64,
    },
    /// The timer that [`crate::Action::SetTimer`] set last has fired.
    TimerFired,
    /// The client left; nothing more is owed.
    RequestWithdrawn {
        /// Its request.
        request_id: RequestId,
    },
}

/// What a probe brought.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ProbeReply {
    /// How long it took.
    pub latency: Millis,
    /// The load that the executor reported.
    pub report: LoadReport,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// It ran and its result came back.
    Completed,
    /// Its executor failed with it.
    Error,
    /// Its executor turned it away unstarted.
    Rejected,
    /// Its time was over.
    TimedOut,
    /// No connection to the executor came up.
    NoConnection,
    /// The connection broke once it was sent.
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

/// What one node tells the others.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum GossipMessage {
    /// A connection that had been idle was gone unseen.
    IdleConnectionLost,
    /// An executor rejected work of a class though it had shown free capacity.
    WorkRejected {
        /// The lower half of the executor's token.
        token: u32,
        /// The class.
        class: RequestClassId,
    },
}
