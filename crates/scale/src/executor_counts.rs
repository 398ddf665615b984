//! Counters of the hollow executors' traffic, and the rule violations that executors detect.
use crate::request_id::RequestId;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashSet;

/// The type of node that a connection to an executor comes from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Sender {
    /// A `troutknotd` process, which connects from 127.0.0.1.
    RealNode,
    /// A hollow node, which connects from another loopback address.
    HollowNode,
}

/// Traffic of all executors since the start of a run.
#[derive(Clone, Copy, Default, Debug, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Accepted connections.
    pub connections: u64,
    pub probes: u64,
    pub attempts: u64,
    /// Attempts that were rejected before they started.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl Traffic {
    pub fn add(&mut self, other: Traffic) {
        self.connections += other.connections;
        self.probes += other.probes;
        self.attempts += other.attempts;
        self.rejected += other.rejected;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
    }

    /// Returns the difference to an earlier snapshot.
    #[must_use]
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            connections: self.connections - earlier.connections,
            probes: self.probes - earlier.probes,
            attempts: self.attempts - earlier.attempts,
            rejected: self.rejected - earlier.rejected,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }
}

/// A rule violation that an executor detected. Its `Debug` text is the description in a row, so the names of variants
/// and fields are part of the output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ExecutorViolation {
    /// Rule 2: a request that may run at most once was started again.
    RepeatedEffect { request: RequestId, executor: usize },
    /// Rule 3: an attempt arrived after the drain grace of a node that had been notified of the drain or the loss of
    /// the executor.
    SentAfterGrace { request: RequestId, executor: usize, late_ms: f64 },
    /// Rule 4: an executor that warms up was sent more work within the budget window than its warm-up budget allows.
    /// `sent_ms` is the work that it was sent, `stands_ms` the budget.
    PushedOver { request: RequestId, executor: usize, sent_ms: f64, stands_ms: f64 },
}

impl ExecutorViolation {
    pub fn rule(&self) -> u8 {
        match self {
            ExecutorViolation::RepeatedEffect { .. } => 2,
            ExecutorViolation::SentAfterGrace { .. } => 3,
            ExecutorViolation::PushedOver { .. } => 4,
        }
    }
}

/// Counts of one shard, or the sum over all shards.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutorReport {
    /// Since the start of the run.
    pub real_nodes: Traffic,
    pub hollow_nodes: Traffic,
    /// Distinct executors that attempts of real nodes reached since the last report.
    #[serde(rename = "reached")]
    pub reached_executors: usize,
    /// Starts of requests that may run at most once, with the executor of each, since the last report.
    pub started_at_most_once: Vec<(RequestId, usize)>,
    /// Violations since the last report.
    #[serde(rename = "breaches")]
    pub violations: Vec<ExecutorViolation>,
}

impl ExecutorReport {
    pub fn add(&mut self, other: ExecutorReport) {
        self.real_nodes.add(other.real_nodes);
        self.hollow_nodes.add(other.hollow_nodes);
        self.reached_executors += other.reached_executors;
        self.started_at_most_once.extend(other.started_at_most_once);
        self.violations.extend(other.violations);
    }
}

/// An event that is counted per sender.
#[derive(Clone, Copy, Debug)]
pub enum TrafficEvent {
    Connection,
    Probe,
    Attempt,
    Rejected,
    BytesIn(u64),
    BytesOut(u64),
}

/// Counters of one shard.
#[derive(Default)]
pub struct ExecutorCounts {
    report: RefCell<ExecutorReport>,
    /// Executors that attempts of real nodes reached since the last report.
    reached: RefCell<HashSet<usize>>,
}

impl ExecutorCounts {
    pub fn count(&self, sender: Sender, event: TrafficEvent) {
        let mut report = self.report.borrow_mut();
        let traffic = match sender {
            Sender::RealNode => &mut report.real_nodes,
            Sender::HollowNode => &mut report.hollow_nodes,
        };
        match event {
            TrafficEvent::Connection => traffic.connections += 1,
            TrafficEvent::Probe => traffic.probes += 1,
            TrafficEvent::Attempt => traffic.attempts += 1,
            TrafficEvent::Rejected => traffic.rejected += 1,
            TrafficEvent::BytesIn(bytes) => traffic.bytes_in += bytes,
            TrafficEvent::BytesOut(bytes) => traffic.bytes_out += bytes,
        }
    }

    pub fn record_reached(&self, executor: usize) {
        self.reached.borrow_mut().insert(executor);
    }

    pub fn record_at_most_once_start(&self, request: RequestId, executor: usize) {
        self.report.borrow_mut().started_at_most_once.push((request, executor));
    }

    pub fn record_violation(&self, violation: ExecutorViolation) {
        self.report.borrow_mut().violations.push(violation);
    }

    /// Returns the report; the traffic counters continue, all other counts restart at zero.
    pub fn take_report(&self) -> ExecutorReport {
        let mut report = self.report.borrow_mut();
        let (real_nodes, hollow_nodes) = (report.real_nodes, report.hollow_nodes);
        let next = ExecutorReport { real_nodes, hollow_nodes, ..ExecutorReport::default() };
        let mut taken_report = std::mem::replace(&mut *report, next);
        taken_report.reached_executors = self.reached.take().len();
        taken_report
    }
}
