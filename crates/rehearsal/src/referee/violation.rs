//! Violations of the four dispatch rules, and their kinds.
use serde::{Serialize, Serializer};
use std::fmt;
use troutknot_emulator::Millis;

/// One violation of a dispatch rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleViolation {
    /// Number of the violated rule, 1 to 4. Always equal to [`ViolationKind::rule`] of `kind`.
    pub rule: u8,
    /// The kind of violation; serialized as its name.
    #[serde(rename = "name")]
    pub kind: ViolationKind,
    /// When the rule was violated, in milliseconds since the observation log started.
    pub at: Millis,
    /// The request, the executor and the times involved, as readable text.
    #[serde(rename = "what")]
    pub description: String,
}

impl RuleViolation {
    /// Creates a violation of the rule that `kind` belongs to.
    pub fn new(kind: ViolationKind, at: Millis, description: String) -> Self {
        RuleViolation { rule: kind.rule(), kind, at, description }
    }
}

/// The kinds of violation that the referee distinguishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ViolationKind {
    /// The response arrived after the deadline of the request.
    LateResponse,
    /// No response arrived by the deadline of the request.
    NoResponse,
    /// A successful response carried a result that no executor produced for the request.
    InventedResult,
    /// The node closed the connection without a response.
    ConnectionLost,
    /// An attempt was dispatched after the request had ended.
    DispatchedAfterEnd,
    /// No attempt of a client that retries under an idempotency key was ever answered.
    NeverAnswered,
    /// An executor received a request id that no client sent.
    UnknownRequestId,
    /// The node process exited without being asked to, or exited with an error.
    NodeCrashed,
    /// The health check succeeded while the node was drained.
    ReadyWhileDrained,
    /// The health check failed after the node was reactivated.
    NotReadyAgain,
    /// A drained node accepted a request and dispatched it.
    AcceptedWhileDrained,
    /// Clients lost connections or were refused during a hot restart of the node.
    HotRestartInterruption,
    /// More attempts were dispatched than the settings allow.
    TooManyAttempts,
    /// Two attempts of one request were in flight at the same time.
    ConcurrentAttempts,
    /// A request that may have run was dispatched again although it is not safe to repeat.
    UnsafeRetry,
    /// A request was rejected although a dispatched attempt may have run.
    RejectedMayHaveRun,
    /// An at-most-once request ran under more than one request id.
    SecondEffect,
    /// An at-most-once request with an idempotency key was started more than once.
    RanAgain,
    /// An operator's call was answered with an unexpected status, or not within its timeout.
    CallFailed,
    /// An attempt was dispatched to an executor that was draining or removed.
    DispatchedToDraining,
    /// An attempt was dispatched to an executor that an operator had excluded.
    DispatchedToExcluded,
    /// An executor received more work during slow start than its warm-up budget allows.
    WarmUpBudgetExceeded,
}

impl ViolationKind {
    /// The number of the rule that this kind violates, 1 to 4.
    pub fn rule(self) -> u8 {
        use ViolationKind::*;
        match self {
            LateResponse
            | NoResponse
            | InventedResult
            | ConnectionLost
            | DispatchedAfterEnd
            | NeverAnswered
            | UnknownRequestId
            | NodeCrashed
            | ReadyWhileDrained
            | NotReadyAgain
            | AcceptedWhileDrained
            | HotRestartInterruption => 1,
            TooManyAttempts | ConcurrentAttempts | UnsafeRetry | RejectedMayHaveRun | SecondEffect
            | RanAgain => 2,
            CallFailed | DispatchedToDraining | DispatchedToExcluded => 3,
            WarmUpBudgetExceeded => 4,
        }
    }

    /// The name of this kind in reports and JSON. Names are stable across versions.
    pub fn name(self) -> &'static str {
        match self {
            ViolationKind::LateResponse => "late-answer",
            ViolationKind::NoResponse => "no-answer",
            ViolationKind::InventedResult => "invented-result",
            ViolationKind::ConnectionLost => "lost",
            ViolationKind::DispatchedAfterEnd => "sent-after-final",
            ViolationKind::NeverAnswered => "no-final",
            ViolationKind::UnknownRequestId => "unknown-id",
            ViolationKind::NodeCrashed => "node-crashed",
            ViolationKind::ReadyWhileDrained => "ready-while-drained",
            ViolationKind::NotReadyAgain => "not-ready-again",
            ViolationKind::AcceptedWhileDrained => "taken-while-drained",
            ViolationKind::HotRestartInterruption => "ended-at-the-door",
            ViolationKind::TooManyAttempts => "too-many-allocations",
            ViolationKind::ConcurrentAttempts => "two-out",
            ViolationKind::UnsafeRetry => "repeat",
            ViolationKind::RejectedMayHaveRun => "deferred-may-have-run",
            ViolationKind::SecondEffect => "second-effect",
            ViolationKind::RanAgain => "ran-again",
            ViolationKind::CallFailed => "call-failed",
            ViolationKind::DispatchedToDraining => "sent-to-drained",
            ViolationKind::DispatchedToExcluded => "sent-to-banned",
            ViolationKind::WarmUpBudgetExceeded => "pushed-over",
        }
    }
}

impl fmt::Display for ViolationKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl Serialize for ViolationKind {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}
