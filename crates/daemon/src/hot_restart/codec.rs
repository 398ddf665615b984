//! Codec of the messages between two processes of one node: one JSON object per line. The module performs no I/O.
//!
//! The first message of each process is [`Message::Hello`] with the protocol version. Unknown messages are ignored, so
//! a later release may add messages within a version; an incompatible change requires a new version. The names on the
//! wire are those of the first release that implemented the protocol.
use super::job_record::{JobIdentity, JobRecord};
use crate::protocol::EndpointEntry;
use serde::{Deserialize, Serialize};
use troutknot::{DecayingScore, Millis, ObservedMean, WarmUpDispatch};

/// The protocol version that this release implements.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum length of a line in bytes.
pub const MAX_LINE_BYTES: usize = 256 * 1024;

/// The number of a message that needs no acknowledgement; other numbers begin at 1.
pub const UNNUMBERED: u64 = 0;

/// Maximum number of list items in one message.
const ITEMS_PER_MESSAGE: usize = 200;

/// Why a message, or the state that several messages transfer, cannot be used.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum CodecError {
    /// The line is not a message.
    #[error("malformed message of protocol version {PROTOCOL_VERSION}: {0}")]
    Malformed(String),
    /// The other process uses a later protocol version.
    #[error("unsupported protocol version {0}, this release speaks {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
    /// The other process belongs to another node.
    #[error("the process belongs to another node, `{0}`")]
    OtherNode(String),
    /// The first message is not [`Message::Hello`].
    #[error("first message states no protocol version")]
    MissingHello,
    /// A number is negative or not finite.
    #[error("{0} is not a finite number of 0 or more")]
    InvalidNumber(f64),
    /// The state ended without running times.
    #[error("state without running times")]
    MissingRunningTimes,
    /// A list exceeds its limit.
    #[error("list of {count} items, at most {limit} are allowed")]
    TooManyItems {
        /// Number of items received.
        count: usize,
        /// Maximum number of items.
        limit: usize,
    },
}

/// A message between two processes of one node.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum Message {
    /// The first message of each process.
    Hello {
        /// The protocol version of the sender.
        #[serde(rename = "form")]
        version: u32,
        /// The name of the sender's node.
        name: String,
    },
    /// Executors that operators excluded.
    #[serde(rename = "out")]
    Excluded {
        /// Their names.
        executors: Vec<String>,
    },
    /// Whether operators drained the node. Acknowledged by [`Message::Acknowledged`] unless it is part of the state.
    Drained {
        /// True after a drain, false after the node was activated again.
        drained: bool,
        /// The number to acknowledge; [`UNNUMBERED`] within the state.
        number: u64,
    },
    /// A part of the endpoint list.
    List {
        /// The version of the list, if its source reports versions.
        version: Option<u64>,
        /// The entries of this part.
        entries: Vec<EndpointEntry>,
    },
    /// Tokens of the ids of recent requests.
    Ids {
        /// The tokens.
        ids: Vec<u64>,
    },
    /// Tokens among those of [`Message::Ids`] whose requests must not run twice. Earlier releases ignore it.
    ProtectedIds {
        /// The tokens.
        ids: Vec<u64>,
    },
    /// The sender answers [`Message::Claim`]. Sent by the new process, and by the old one in reply.
    AnswersClaims,
    /// The sender is about to dispatch a request that must not run twice, and waits until this is answered by
    /// [`Message::Acknowledged`] or [`Message::Refused`].
    Claim {
        /// The token of the request's id.
        id: u64,
        /// The number to repeat in the answer.
        number: u64,
    },
    /// The sender has admitted a request of the id that the message with this number claims.
    Refused {
        /// The number of the message.
        number: u64,
    },
    /// Measurements of executors.
    Executors {
        /// One item per executor.
        executors: Vec<ExecutorState>,
    },
    /// Measurements of running times and probes.
    #[serde(rename = "work")]
    RunningTimes(RunningTimes),
    /// The state of the old process is complete.
    #[serde(rename = "told")]
    Complete,
    /// The new process accepts connections from clients from now on.
    Ready,
    /// An operator excluded an executor, or included it again.
    #[serde(rename = "leave-out")]
    SetExcluded {
        /// The executor's name.
        executor: String,
        /// Whether the executor is excluded.
        #[serde(rename = "out")]
        is_excluded: bool,
        /// The number to acknowledge.
        number: u64,
    },
    /// The message with this number has taken effect at the sender.
    #[serde(rename = "done")]
    Acknowledged {
        /// The number of the message.
        number: u64,
    },
    /// The sender's usage of the limits that both processes share.
    #[serde(rename = "holds")]
    Usage(Usage),
    /// Asks what is on record of a durable request; answered by [`Message::Found`]. Earlier releases ignore it.
    LookUp {
        /// The number to repeat in the answer.
        number: u64,
        /// What identifies the request.
        #[serde(rename = "job")]
        identity: JobIdentity,
    },
    /// The answer to [`Message::LookUp`].
    Found {
        /// The number of the look-up.
        number: u64,
        /// What is on record.
        job: JobRecord,
    },
    /// A shutdown of the old process was requested.
    #[serde(rename = "leaving")]
    ShutdownRequested,
    /// An unknown message, sent by a later release.
    #[serde(other)]
    Other,
}

/// A decaying score and the time at which it was set; a pair on the wire.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Default)]
#[serde(from = "(f64, Millis)", into = "(f64, Millis)")]
pub struct Score(pub DecayingScore);

impl From<(f64, Millis)> for Score {
    fn from((value, set_at): (f64, Millis)) -> Self {
        Score(DecayingScore { value, set_at })
    }
}

impl From<Score> for (f64, Millis) {
    fn from(Score(score): Score) -> Self {
        (score.value, score.set_at)
    }
}

/// The time of a dispatch and the slot-milliseconds of the warm-up budget that it used; a pair on the wire.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(from = "(Millis, f64)", into = "(Millis, f64)")]
pub struct SpentBudget(pub WarmUpDispatch);

impl From<(Millis, f64)> for SpentBudget {
    fn from((at, work): (Millis, f64)) -> Self {
        SpentBudget(WarmUpDispatch { at, work })
    }
}

impl From<SpentBudget> for (Millis, f64) {
    fn from(SpentBudget(spent): SpentBudget) -> Self {
        (spent.at, spent.work)
    }
}

/// Measurements of one executor. Times are Unix times in milliseconds.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ExecutorState {
    /// The executor's name.
    pub id: String,
    /// Decaying score of the executor's faults and slow attempts.
    #[serde(rename = "failed")]
    pub failure_score: Score,
    /// Decaying count of the outcomes on which the failure score is based.
    #[serde(rename = "judged")]
    pub observations: Score,
    /// The largest number of slots that the executor has reported.
    #[serde(rename = "slots")]
    pub max_slots: f64,
    /// Dispatches that used the executor's warm-up budget.
    #[serde(rename = "cold_spent")]
    pub warm_up_spent: Vec<SpentBudget>,
}

impl ExecutorState {
    fn numbers(&self) -> impl Iterator<Item = f64> {
        let (score, observations) = (self.failure_score.0, self.observations.0);
        let spent = self.warm_up_spent.iter().flat_map(|SpentBudget(spent)| [spent.at, spent.work]);
        [score.value, score.set_at, observations.value, observations.set_at, self.max_slots]
            .into_iter()
            .chain(spent)
    }
}

/// The running times of one request class; a triple on the wire.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(from = "(String, Millis, f64)", into = "(String, Millis, f64)")]
pub struct ClassRunningTime {
    /// The class's name.
    pub class: String,
    /// Mean in milliseconds, and the number of observations.
    pub time: ObservedMean,
}

impl From<(String, Millis, f64)> for ClassRunningTime {
    fn from((class, mean, observations): (String, Millis, f64)) -> Self {
        ClassRunningTime { class, time: ObservedMean { mean, observations } }
    }
}

impl From<ClassRunningTime> for (String, Millis, f64) {
    fn from(ClassRunningTime { class, time }: ClassRunningTime) -> Self {
        (class, time.mean, time.observations)
    }
}

/// Measurements of running times and probes.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct RunningTimes {
    /// Running times by class.
    #[serde(rename = "types")]
    pub classes: Vec<ClassRunningTime>,
    /// Mean running time of all classes in milliseconds.
    #[serde(rename = "mean_run")]
    pub mean_running_time: Millis,
    /// Fraction of probes that found the executor's queue not empty.
    #[serde(rename = "waiting_share")]
    pub busy_probe_ratio: Option<f64>,
    /// Mean round-trip time of a probe in milliseconds.
    #[serde(rename = "lag")]
    pub probe_latency: Option<Millis>,
    /// Number of executors that are probed per request.
    #[serde(rename = "draws")]
    pub sample_size: u32,
}

impl RunningTimes {
    fn numbers(&self) -> impl Iterator<Item = f64> {
        let class_numbers = self.classes.iter().flat_map(|class| [class.time.mean, class.time.observations]);
        let other_numbers = [Some(self.mean_running_time), self.busy_probe_ratio, self.probe_latency];
        class_numbers.chain(other_numbers.into_iter().flatten())
    }
}

/// The usage of limits that both processes of a node share.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Default)]
pub struct Usage {
    /// Number of connections from clients.
    pub clients: usize,
    /// Number of connections to executors.
    pub executors: usize,
    /// Bytes reserved for requests.
    pub bytes: usize,
    /// Bytes of the downstream ring buffers beyond their initial size; not sent by earlier releases.
    #[serde(default)]
    pub rings: usize,
    /// Bytes reserved for request bodies that are being received; not sent by earlier releases.
    #[serde(default)]
    pub slow_bodies: usize,
}

/// Splits a list into messages whose lines are within [`MAX_LINE_BYTES`]. An empty list results in one message.
pub fn split_list<T: Clone>(items: &[T], message: impl Fn(Vec<T>) -> Message) -> Vec<Message> {
    if items.is_empty() {
        return vec![message(Vec::new())];
    }
    items.chunks(ITEMS_PER_MESSAGE).flat_map(|part| split_to_fit(part, &message)).collect()
}

/// Halves a part until its lines fit. An item that does not fit into a line of its own is dropped.
fn split_to_fit<T: Clone>(items: &[T], message: &impl Fn(Vec<T>) -> Message) -> Vec<Message> {
    let whole = message(items.to_vec());
    if encode(&whole).len() <= MAX_LINE_BYTES {
        return vec![whole];
    }
    if items.len() == 1 {
        tracing::warn!(
            bytes = encode(&whole).len(),
            "item of the state too long for the new process, dropped"
        );
        return Vec::new();
    }
    let (first, second) = items.split_at(items.len() / 2);
    [split_to_fit(first, message), split_to_fit(second, message)].concat()
}

/// Decodes a message from a line.
///
/// # Errors
/// [`CodecError::Malformed`] if the line is not a message.
pub fn decode(line: &[u8]) -> Result<Message, CodecError> {
    serde_json::from_slice(line).map_err(|error| CodecError::Malformed(error.to_string()))
}

/// Encodes a message as a line, including the line feed.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Limits on the state that a new process accepts. Where a part is dropped, the process still gets the rest: without
/// exclusions and ids it would dispatch to excluded executors and run requests twice.
#[derive(Clone, Copy)]
pub struct StateBounds {
    /// Maximum number of exclusions; with more of them, the state is not accepted.
    pub excluded: usize,
    /// Maximum number of entries of the endpoint list; the others are dropped.
    pub entries: usize,
    /// Maximum number of executors with measurements; the others are dropped.
    pub executors: usize,
    /// Maximum number of request ids; the oldest of the others are dropped.
    pub ids: usize,
}

/// The state that a new process receives from the old one.
#[derive(Default, Debug, PartialEq)]
pub struct InheritedState {
    has_received_hello: bool,
    /// Executors that operators excluded, the oldest exclusion first.
    pub excluded: Vec<String>,
    /// Whether operators drained the node.
    pub is_drained: bool,
    /// The version of the endpoint list, if its source reports versions.
    pub version: Option<u64>,
    /// The endpoint list.
    pub entries: Vec<EndpointEntry>,
    /// Number of entries that were dropped because of the bound.
    pub dropped_entries: usize,
    /// Tokens of the ids of recent requests, the oldest first.
    pub ids: Vec<u64>,
    /// Tokens of requests that must not run twice.
    pub protected_ids: Vec<u64>,
    /// Measurements of executors.
    pub executors: Vec<ExecutorState>,
    /// Measurements of running times and probes; present once the state is complete.
    pub running_times: Option<RunningTimes>,
}

impl InheritedState {
    /// Applies the next message; returns true if it completes the state.
    ///
    /// # Errors
    /// If the message is not valid at this point; the state must be discarded then.
    pub fn apply(&mut self, message: Message, name: &str, bounds: StateBounds) -> Result<bool, CodecError> {
        if !self.has_received_hello {
            return self.check_hello(message, name).map(|()| false);
        }
        match message {
            Message::Excluded { executors } => self.excluded.extend(executors),
            Message::Drained { drained, .. } => self.is_drained = drained,
            Message::List { version, entries } => {
                self.version = version;
                self.entries.extend(entries);
                self.dropped_entries += self.entries.len().saturating_sub(bounds.entries);
                self.entries.truncate(bounds.entries);
            }
            Message::Ids { ids } => {
                self.ids.extend(ids);
                self.ids.drain(..self.ids.len().saturating_sub(bounds.ids));
            }
            Message::ProtectedIds { ids } => {
                self.protected_ids.extend(ids);
                self.protected_ids.drain(..self.protected_ids.len().saturating_sub(bounds.ids));
            }
            Message::Executors { executors } => {
                executors.iter().flat_map(ExecutorState::numbers).try_for_each(check_number)?;
                self.executors.extend(executors);
                self.executors.truncate(bounds.executors);
            }
            Message::RunningTimes(times) => {
                times.numbers().try_for_each(check_number)?;
                self.running_times = Some(times);
            }
            // An exclusion that changed while the state was being sent.
            Message::SetExcluded { executor, is_excluded, .. } => {
                self.excluded.retain(|excluded| *excluded != executor);
                self.excluded.extend(is_excluded.then_some(executor));
            }
            Message::Complete if self.running_times.is_none() => return Err(CodecError::MissingRunningTimes),
            Message::Complete => return Ok(true),
            _ => {}
        }
        match self.excluded.len() {
            count if count > bounds.excluded => {
                Err(CodecError::TooManyItems { count, limit: bounds.excluded })
            }
            _ => Ok(false),
        }
    }

    fn check_hello(&mut self, message: Message, name: &str) -> Result<(), CodecError> {
        match message {
            Message::Hello { version, .. } if version > PROTOCOL_VERSION => {
                Err(CodecError::UnsupportedVersion(version))
            }
            Message::Hello { name: other, .. } if other != name => Err(CodecError::OtherNode(other)),
            Message::Hello { .. } => {
                self.has_received_hello = true;
                Ok(())
            }
            _ => Err(CodecError::MissingHello),
        }
    }
}

fn check_number(number: f64) -> Result<(), CodecError> {
    if number.is_finite() && number >= 0.0 { Ok(()) } else { Err(CodecError::InvalidNumber(number)) }
}

#[cfg(test)]
#[path = "../../tests/unit/hot_restart_codec.rs"]
mod tests;
