//! What was observed in a rehearsal, by request, attempt, executor and node.
use super::timeline::Timeline;
use super::violation::RuleViolation;
use std::collections::{BTreeMap, HashMap, HashSet};
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{AttemptNumber, ExecutorNumber, NodeNumber};

/// A complete response that a client received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    pub at: Millis,
    pub status: u16,
    /// Whether the body is the result of the request.
    pub is_valid: bool,
}

impl Answer {
    /// Whether the response invites the client to retry (429 or 503).
    pub fn is_rejection(&self) -> bool {
        matches!(self.status, 429 | 503)
    }

    pub fn is_valid_result(&self) -> bool {
        self.status == 200 && self.is_valid
    }
}

/// A connection that closed without a complete response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disconnect {
    pub at: Millis,
    /// Whether the connection had carried earlier requests.
    pub was_reused: bool,
}

/// One attempt of a client, under a request id of its own.
pub(super) struct ClientAttempt {
    /// Number of the request in the plan.
    pub request: usize,
    pub node: NodeNumber,
    pub sent_at: Millis,
    pub answer: Option<Answer>,
    pub abandoned_at: Option<Millis>,
    pub disconnect: Option<Disconnect>,
    /// The attempts that executors received for it, in the order of arrival.
    pub attempts: Vec<AttemptNumber>,
}

impl ClientAttempt {
    pub fn new(request: usize, node: NodeNumber, sent_at: Millis) -> Self {
        ClientAttempt {
            request,
            node,
            sent_at,
            answer: None,
            abandoned_at: None,
            disconnect: None,
            attempts: Vec::new(),
        }
    }

    /// Whether the client left before any response.
    pub fn was_abandoned(&self) -> bool {
        self.abandoned_at.is_some() && self.answer.is_none()
    }
}

/// One attempt that a node dispatched to an executor.
pub(super) struct Attempt {
    pub request_id: Box<str>,
    pub executor: ExecutorNumber,
    pub first_byte_at: Millis,
    pub received_at: Millis,
    pub slots: f64,
    pub work: Millis,
    /// When it became certain that it did not run.
    pub unexecuted_since: Option<Millis>,
    pub was_started: bool,
    pub was_completed: bool,
    /// When it was first answered, disconnected or cancelled.
    pub ended_at: Option<Millis>,
}

impl Attempt {
    /// Slot time that it needs, in milliseconds.
    pub fn slot_time(&self) -> Millis {
        self.slots * self.work
    }
}

/// A hot restart of a node; `ended_at` is infinite while it lasts.
pub(super) struct HotRestart {
    pub node: NodeNumber,
    pub began_at: Millis,
    pub ended_at: Millis,
}

/// A node and an executor that it may dispatch to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Link {
    pub node: NodeNumber,
    pub executor: ExecutorNumber,
}

/// All that the rules are checked against.
#[derive(Default)]
pub(super) struct Observations {
    /// By request id.
    pub client_attempts: BTreeMap<Box<str>, ClientAttempt>,
    pub attempts: BTreeMap<AttemptNumber, Attempt>,
    /// Whether the node had to regard the executor as ready.
    pub readiness: HashMap<Link, Timeline<bool>>,
    /// When each executor started.
    pub starts: BTreeMap<ExecutorNumber, Vec<Millis>>,
    /// When each node was killed without being asked to exit first.
    pub kills: HashMap<NodeNumber, Vec<Millis>>,
    /// Whether an operator excluded the executor at the node.
    pub exclusions: HashMap<Link, Timeline<bool>>,
    /// Whether an operator drained the node.
    pub drained: HashMap<NodeNumber, Timeline<bool>>,
    pub hot_restarts: Vec<HotRestart>,
    /// The changes of the attempt limit; empty while the initial one holds.
    pub max_attempts: Timeline<usize>,
    pub overload_failures: usize,
    /// When a client found no node to connect to.
    pub connect_failures: Vec<Millis>,
    /// Violations that are evident from a single event.
    pub violations: Vec<RuleViolation>,
    /// The running nodes that were asked to exit.
    pub exit_requests: HashSet<NodeNumber>,
}

impl Observations {
    /// The attempts that executors received for a client's attempt.
    pub fn attempts_of<'a>(&'a self, client_attempt: &'a ClientAttempt) -> impl Iterator<Item = &'a Attempt> {
        client_attempt.attempts.iter().filter_map(|number| self.attempts.get(number))
    }

    /// Whether a node was killed, without being asked to exit first, between two times.
    pub fn was_killed(&self, node: NodeNumber, from: Millis, to: Millis) -> bool {
        self.kills.get(&node).is_some_and(|kills| kills.iter().any(|at| (from..=to).contains(at)))
    }

    /// Whether any node was drained by an operator at a time.
    pub fn is_any_node_drained(&self, at: Millis) -> bool {
        self.drained.values().any(|drained| drained.holds_since(true, at).is_some())
    }
}
