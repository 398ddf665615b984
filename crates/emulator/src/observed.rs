//! What executors, discovery, clients and the starter of nodes saw, on one clock. A referee reads it later.
use crate::machine::Millis;
use crate::model::End;
use std::sync::Mutex;
use std::time::Instant;

/// The number of an executor, a node, an allocation on the sockets.
pub type ExecutorNumber = u32;
pub type NodeNumber = u32;
pub type AllocNumber = u64;

/// What discovery says of an executor.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Listed {
    Ready,
    Terminating,
    Gone,
}

/// One thing that was seen.
#[derive(Clone, PartialEq, Debug)]
pub enum Seen {
    /// The last byte of an allocation came; its first one at `first_byte`.
    Received {
        executor: ExecutorNumber,
        attempt_id: AllocNumber,
        id: Box<str>,
        first_byte: Millis,
        slots: f64,
        work: Millis,
    },
    /// An allocation with an id that no client sent.
    Unknown {
        executor: ExecutorNumber,
        id: Box<str>,
    },
    /// It was answered that it never ran.
    NeverRan {
        attempt_id: AllocNumber,
    },
    /// It was answered with an error.
    Errored {
        attempt_id: AllocNumber,
    },
    Started {
        attempt_id: AllocNumber,
    },
    Ended {
        attempt_id: AllocNumber,
        end: End,
    },
    /// Whoever sent it ended the connection before the answer.
    GivenUp {
        attempt_id: AllocNumber,
    },
    ExecutorUp {
        executor: ExecutorNumber,
    },
    ExecutorDown {
        executor: ExecutorNumber,
    },
    FellOver {
        executor: ExecutorNumber,
        sent: Millis,
        stood: Millis,
    },
    /// The agent of a node has a change, and could tell it.
    AgentKnows {
        node: NodeNumber,
        executor: ExecutorNumber,
        listed: Listed,
    },
    /// It was written to the node.
    Told {
        node: NodeNumber,
        executor: ExecutorNumber,
        listed: Listed,
    },
    NodeStarted {
        node: NodeNumber,
    },
    /// Asked to end (SIGTERM), and to read its configuration again (SIGHUP).
    NodeAsked {
        node: NodeNumber,
    },
    NodeReread {
        node: NodeNumber,
    },
    /// A next process of the node starts beside it, and the one before has ended.
    UpgradeBegan {
        node: NodeNumber,
    },
    UpgradeOver {
        node: NodeNumber,
    },
    /// An executor is out by hand at a node, which said yes or had a second; or is about to be called back.
    LeftOut {
        node: NodeNumber,
        executor: ExecutorNumber,
        out: bool,
    },
    /// A node is empty by hand, or is about to be asked to take clients again.
    Drained {
        node: NodeNumber,
        drained: bool,
    },
    /// A call to a node was answered otherwise than it should be, or not within a second.
    CallFailed {
        node: NodeNumber,
        status: Option<u16>,
    },
    /// What its health answered.
    Health {
        node: NodeNumber,
        status: Option<u16>,
    },
    /// Each work unit that is taken from a while after now on may be sent so many times.
    Retuned {
        attempts: u32,
    },
    NodeKilled {
        node: NodeNumber,
    },
    /// It ended by itself, well or not.
    NodeEnded {
        node: NodeNumber,
        well: bool,
    },
    /// A client sent a request; `request` is its number in the plan, `attempt` counts from 0.
    Sent {
        id: Box<str>,
        request: usize,
        attempt: u32,
        node: NodeNumber,
    },
    /// A whole answer came.
    Answered {
        id: Box<str>,
        status: u16,
        fits: bool,
        come_back: Option<Millis>,
    },
    /// The client left before any answer.
    Left {
        id: Box<str>,
    },
    /// The connection ended without a whole answer; `reused` where it had carried others before.
    Cut {
        id: Box<str>,
        reused: bool,
    },
    /// No connection came up, or no node was there.
    NoWayIn {
        request: usize,
    },
    TroubleBegan {
        number: usize,
    },
    TroubleOver {
        number: usize,
    },
}

/// All that was seen, with its time in milliseconds since the record's start.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    seen: Mutex<Vec<(Millis, Seen)>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { start: Instant::now(), seen: Mutex::default() }
    }
}

impl Record {
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn start(&self) -> Instant {
        self.start
    }

    pub fn note(&self, seen: Seen) {
        self.note_at(self.now(), seen);
    }

    pub fn note_at(&self, at: Millis, seen: Seen) {
        self.seen.lock().unwrap_or_else(|e| e.into_inner()).push((at, seen));
    }

    /// Takes everything, in the order of time.
    pub fn take(&self) -> Vec<(Millis, Seen)> {
        let mut seen = std::mem::take(&mut *self.seen.lock().unwrap_or_else(|e| e.into_inner()));
        seen.sort_by(|a, b| a.0.total_cmp(&b.0));
        seen
    }
}
