//! The words spoken with the decisions: ids, events, actions and the map of named values. Nothing is decided
//! here.
//!
//! Every time and duration is in milliseconds with fractions.
use std::collections::BTreeMap;

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// A work unit, as its host names it; never used for two of them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

slotmap::new_key_type! {
    /// An executor: the handle that the host gave it when it first heard of it, a slot and its generation.
    ///
    /// The host takes handles out of a [`slotmap::SlotMap`], whose slots stand in the order of first mention, and
    /// gives a slot to another executor only after [`Action::ReleaseExecutor`]; the generation tells both apart.
    pub struct ExecutorId;
}

/// The running number of an allocation within its work unit, from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct AttemptId(pub u32);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RequestClassId(pub u32);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TenantId(pub u32);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ZoneId(pub u32);

/// Machines of one kind share a size and a typical speed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MachineTypeId(pub u32);

/// Executors that know each other's marks against repeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DeduplicationGroupId(pub u32);

/// One value that the host hands over.
#[derive(Clone, PartialEq, Debug)]
pub enum Given {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// What the host was told at the start, by dotted names such as `project_types.0.hard_limit`.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct NamedValues(BTreeMap<String, Given>);

impl NamedValues {
    pub fn insert(&mut self, name: impl Into<String>, given: Given) {
        self.0.insert(name.into(), given);
    }

    pub fn get(&self, name: &str) -> Option<&Given> {
        self.0.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &Given)> {
        self.0.iter().map(|(name, given)| (name.as_str(), given))
    }

    pub fn holds(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub fn number(&self, name: &str, otherwise: f64) -> f64 {
        match self.0.get(name) {
            Some(Given::Number(n)) => *n,
            _ => otherwise,
        }
    }

    /// Empty where the name is not given.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Given::Text(text)) => text,
            _ => "",
        }
    }

    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Given::Flag(true)))
    }
}

/// What running twice would do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

impl Effect {
    /// A word that is not known is taken for the strictest.
    pub fn named(word: &str) -> Self {
        match word {
            "rerunnable" => Effect::Idempotent,
            "receipted" => Effect::Deduplicated,
            _ => Effect::AtMostOnce,
        }
    }
}

/// Which executors know each other's marks against repeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DeduplicationScope {
    All,
    Zone,
    Group,
}

impl DeduplicationScope {
    /// A word that is not known is taken for the strictest.
    pub fn named(word: &str) -> Self {
        match word {
            "all" => DeduplicationScope::All,
            "place" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Group,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

/// One executor as the list shows it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Endpoint {
    pub executor: ExecutorId,
    /// A number that stands for this executor at every node alike.
    pub token: u64,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub deduplication_group: DeduplicationGroupId,
    pub state: EndpointState,
    pub weight: f64,
    pub started_at: Option<Millis>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListUpdate {
    /// Only what changed.
    Delta,
    /// What the operators changed by hand, which is no word from the list.
    Operator,
    /// The whole list; who is not in it is gone.
    Snapshot,
    /// The whole list as last held before a restart, perhaps out of date.
    Cached,
}

/// Load that an executor reported; what a site does not report stays `None`.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct LoadReport {
    pub queue_length: Option<f64>,
    pub in_flight: Option<f64>,
    pub free_slots: Option<f64>,
    pub free_memory: Option<f64>,
}

impl LoadReport {
    /// One that shows free slots and no more.
    pub fn of_free_slots(free_slots: f64) -> Self {
        LoadReport { free_slots: Some(free_slots), ..LoadReport::default() }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    Completed,
    Error,
    Rejected,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the allocation never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// What one process of a node knows that one after it goes on from.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct WarmState {
    pub executors: Vec<ExecutorWarmState>,
    /// Running times by project type, and how many were seen; none seen says nothing.
    pub class_running_times: Vec<(Millis, f64)>,
    pub mean_running_time: Millis,
    pub busy_probe_ratio: Option<f64>,
    pub probe_latency: Option<Millis>,
    pub sample_size: u32,
}

/// What is known of an executor beside its listing: faults, outcomes, slots, and its cold budget that is out.
#[derive(Clone, PartialEq, Debug)]
pub struct ExecutorWarmState {
    pub executor: ExecutorId,
    pub failure_score: (f64, Millis),
    pub observations: (f64, Millis),
    pub max_slots: f64,
    pub warm_up_spent: Vec<(Millis, f64)>,
}

/// What one node tells the others.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum GossipMessage {
    /// A connection that had been idle was gone unseen.
    IdleConnectionLost,
    /// The executor of that token (its lower half) turned work of a project type away though it showed room.
    WorkRejected { token: u32, class: RequestClassId },
}

#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    EndpointsUpdated {
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
    },
    /// A call for the list failed, or following it broke off; whether its source turned the call away.
    EndpointWatchLost {
        is_rejected: bool,
    },
    RequestArrived {
        request_id: RequestId,
        class: RequestClassId,
        tenant: TenantId,
        slots: f64,
        memory: f64,
        time_left: Millis,
        is_retry: bool,
    },
    ProbeCompleted {
        executor: ExecutorId,
        answered: bool,
        lag: Millis,
        reading: LoadReport,
    },
    AttemptEnded {
        request_id: RequestId,
        attempt_id: AttemptId,
        outcome: Outcome,
        is_request_closed: bool,
    },
    /// An allocation of an earlier life of this node, which is out until its end is told; after the arrival, in
    /// order, and of an executor that is held: listed, or told as gone in the same batch.
    AttemptRecovered {
        request_id: RequestId,
        executor: ExecutorId,
        sent_at: Millis,
    },
    /// Whether another process of this node runs, which pushes as well.
    SiblingChanged {
        is_running: bool,
    },
    /// What a process of this node before this one knew; after the list.
    WarmStateReceived(WarmState),
    /// Another node says something; it may be late, lost or wrong.
    GossipReceived(GossipMessage),
    /// An allocation has started to run, or to answer.
    AttemptStarted {
        request_id: RequestId,
        attempt_id: AttemptId,
    },
    /// The share of an allocation that is done.
    AttemptProgressed {
        request_id: RequestId,
        attempt_id: AttemptId,
        share: f64,
    },
    TimerFired,
    /// The client left; nothing more is owed.
    RequestWithdrawn {
        request_id: RequestId,
    },
}

#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    Dispatch {
        request_id: RequestId,
        executor: ExecutorId,
        /// When it is given up.
        attempt_deadline: Millis,
        /// From then on nothing of it is sent any more, and its last byte not at all.
        send_deadline: Millis,
    },
    Cancel {
        request_id: RequestId,
        attempt_id: AttemptId,
    },
    Reject {
        request_id: RequestId,
        retry_after: Option<Millis>,
    },
    Fail {
        request_id: RequestId,
    },
    Probe {
        executor: ExecutorId,
    },
    SetTimer {
        at: Millis,
    },
    /// Closes the connections to an executor that are idle: they may be gone unseen.
    CloseIdleConnections {
        executor: ExecutorId,
    },
    /// Tells all other nodes, as far as it gets to them.
    Gossip(GossipMessage),
    WatchEndpoints,
    /// The executor is gone and nothing needs it any more: its state here is dropped, and the host frees its
    /// name, its list entry and its connections. It is the last word of this handle: the host lists the executor
    /// under a new one if it comes back. What still comes under the old one is dropped and counted.
    ReleaseExecutor {
        executor: ExecutorId,
    },
    Log(String),
}
