//! What executors, discovery, clients and the process supervisor of the nodes observe, on one clock. The referee
//! evaluates it after the run.
use crate::machine::Millis;
use crate::model::AttemptOutcome;
use std::sync::Mutex;
use std::time::Instant;

/// The number of an executor.
pub type ExecutorNumber = u32;
/// The number of a node.
pub type NodeNumber = u32;
/// The number of an attempt that reached an executor; unique within a run.
pub type AttemptNumber = u64;

/// The state in which discovery lists an executor.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListedState {
    Ready,
    Terminating,
    Gone,
}

/// One observation.
#[derive(Clone, PartialEq, Debug)]
pub enum Observation {
    /// An executor received the last byte of an attempt; its first byte arrived at `first_byte`.
    Received {
        executor: ExecutorNumber,
        attempt_id: AttemptNumber,
        id: Box<str>,
        first_byte: Millis,
        slots: f64,
        work: Millis,
    },
    /// An executor received an attempt with a request id that no client sent.
    UnknownRequest {
        executor: ExecutorNumber,
        id: Box<str>,
    },
    /// The executor answered that the attempt was not executed.
    NotStarted {
        attempt_id: AttemptNumber,
    },
    /// The executor answered the attempt with an error.
    ErrorAnswered {
        attempt_id: AttemptNumber,
    },
    Started {
        attempt_id: AttemptNumber,
    },
    Ended {
        attempt_id: AttemptNumber,
        outcome: AttemptOutcome,
    },
    /// The node closed the connection before the answer.
    Cancelled {
        attempt_id: AttemptNumber,
    },
    ExecutorUp {
        executor: ExecutorNumber,
    },
    ExecutorDown {
        executor: ExecutorNumber,
    },
    /// An executor went down because the work dispatched to it during its slow start exceeded its limit.
    Overloaded {
        executor: ExecutorNumber,
        sent: Millis,
        limit: Millis,
    },
    /// The discovery agent of a node received a change and was able to send it.
    AgentUpdated {
        node: NodeNumber,
        executor: ExecutorNumber,
        state: ListedState,
    },
    /// The change was written to the connection of the node.
    NodeNotified {
        node: NodeNumber,
        executor: ExecutorNumber,
        state: ListedState,
    },
    NodeStarted {
        node: NodeNumber,
    },
    /// SIGTERM was sent to the node.
    NodeTerminating {
        node: NodeNumber,
    },
    /// SIGHUP was sent to the node, which reloads its configuration.
    NodeReloaded {
        node: NodeNumber,
    },
    /// A new process of the node starts while the old one is running.
    HotRestartBegan {
        node: NodeNumber,
    },
    /// The old process of the node has ended.
    HotRestartEnded {
        node: NodeNumber,
    },
    /// An operator suspended an executor at a node, and the node confirmed it or had a second to do so; or an operator
    /// is about to resume it.
    ExecutorSuspended {
        node: NodeNumber,
        executor: ExecutorNumber,
        suspended: bool,
    },
    /// An operator drained a node, or is about to activate it.
    NodeDrained {
        node: NodeNumber,
        drained: bool,
    },
    /// A call of the node's admin interface got an unexpected status, or none within a second.
    AdminCallFailed {
        node: NodeNumber,
        status: Option<u16>,
    },
    /// The status that the node's health check returned.
    HealthChecked {
        node: NodeNumber,
        status: Option<u16>,
    },
    /// Requests that nodes admit from some time after this observation on may be dispatched up to `max_attempts` times.
    MaxAttemptsChanged {
        max_attempts: u32,
    },
    NodeKilled {
        node: NodeNumber,
    },
    /// The process of a node ended without being killed.
    NodeExited {
        node: NodeNumber,
        is_clean: bool,
    },
    /// A client sent a request; `request` is its number in the plan, `attempt` counts the client's attempts from 0.
    RequestSent {
        id: Box<str>,
        request: usize,
        attempt: u32,
        node: NodeNumber,
    },
    /// A client received a complete answer.
    RequestAnswered {
        id: Box<str>,
        status: u16,
        is_valid: bool,
        retry_after: Option<Millis>,
    },
    /// The client disconnected before any answer.
    ClientDisconnected {
        id: Box<str>,
    },
    /// The connection ended without a complete answer; `reused` if it had carried other requests before.
    ConnectionLost {
        id: Box<str>,
        reused: bool,
    },
    /// A client could not connect, or the front had no node for it.
    ConnectFailed {
        request: usize,
    },
    FaultBegan {
        number: usize,
    },
    FaultEnded {
        number: usize,
    },
}

/// All observations of a run, with their times in milliseconds since the creation of the log.
#[derive(Debug)]
pub struct ObservationLog {
    start: Instant,
    observations: Mutex<Vec<(Millis, Observation)>>,
}

impl Default for ObservationLog {
    fn default() -> Self {
        ObservationLog { start: Instant::now(), observations: Mutex::default() }
    }
}

impl ObservationLog {
    /// The time since the creation of the log.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// When the log was created.
    pub fn started_at(&self) -> Instant {
        self.start
    }

    /// Records an observation at the current time.
    pub fn record(&self, observation: Observation) {
        self.record_at(self.now(), observation);
    }

    /// Records an observation at a given time.
    pub fn record_at(&self, at: Millis, observation: Observation) {
        self.observations.lock().unwrap_or_else(|e| e.into_inner()).push((at, observation));
    }

    /// Removes and returns all observations, sorted by time.
    pub fn take(&self) -> Vec<(Millis, Observation)> {
        let mut observations =
            std::mem::take(&mut *self.observations.lock().unwrap_or_else(|e| e.into_inner()));
        observations.sort_by(|a, b| a.0.total_cmp(&b.0));
        observations
    }
}
