//! The simulator's events, deserialized from one line each and borrowed from it where possible. Fields that the
//! adapter does not use are ignored.
use crate::error::LineError;
use base64::prelude::{BASE64_STANDARD, Engine};
use serde::de::{Error, IgnoredAny};
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use troutknot::{GossipMessage, Outcome, RequestId};
use troutknot_gossip::ClassNames;

/// Number of hexadecimal digits of a request id.
const ID_DIGITS: usize = 16;

/// Parses a line.
///
/// # Errors
/// If the line is not JSON, or a field is missing or of another type.
pub fn parse<'a, T: Deserialize<'a>>(line: &'a [u8]) -> Result<T, LineError> {
    Ok(serde_json::from_slice(line)?)
}

/// Checks that a line whose content is ignored is JSON.
///
/// # Errors
/// If the line is not JSON.
pub fn check_json(line: &[u8]) -> Result<(), LineError> {
    parse::<IgnoredAny>(line).map(|_| ())
}

/// Returns the operation of a line. It is almost always the first field, so lines are rarely parsed twice.
///
/// # Errors
/// If the line is not JSON or has no operation.
pub fn operation(line: &[u8]) -> Result<Cow<'_, str>, LineError> {
    #[derive(Deserialize)]
    struct Named<'a> {
        #[serde(borrow)]
        op: Cow<'a, str>,
    }
    match leading_operation(line) {
        Some(operation) => Ok(operation.into()),
        None => Ok(parse::<Named>(line)?.op),
    }
}

fn leading_operation(line: &[u8]) -> Option<&str> {
    const START: &[u8] = b"{\"op\":\"";
    let rest = line.strip_prefix(START)?;
    let end = rest.iter().position(|&byte| byte == b'"' || byte == b'\\')?;
    if rest[end] != b'"' {
        return None;
    }
    std::str::from_utf8(&rest[..end]).ok()
}

fn request_id<'de, D: Deserializer<'de>>(deserializer: D) -> Result<RequestId, D::Error> {
    let text = Cow::<str>::deserialize(deserializer)?;
    if text.len() != ID_DIGITS || text.bytes().any(|byte| !matches!(byte, b'0'..=b'9' | b'a'..=b'f')) {
        return Err(D::Error::custom(format!("`{text}` is not {ID_DIGITS} lower-case hex digits")));
    }
    u64::from_str_radix(&text, 16).map(RequestId).map_err(D::Error::custom)
}

/// Opens a batch.
#[derive(Deserialize)]
pub struct BeginBatch {
    /// Simulated time in microseconds.
    pub time: u64,
}

/// An event without further fields: a timer fired, or the instance stopped.
#[derive(Deserialize)]
pub struct InstanceEvent {
    #[serde(rename = "i")]
    pub instance: u64,
}

/// Starts an instance.
#[derive(Deserialize)]
pub struct Create {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "nonce64")]
    pub seed: u64,
    /// The platform's settings.
    pub profile_data: serde_json::Map<String, serde_json::Value>,
}

/// A set of endpoint list entries, to which later lines refer by its number.
#[derive(Deserialize)]
pub struct Sheet {
    #[serde(rename = "sheet")]
    pub number: u8,
    pub entries: Vec<SheetEntry>,
}

/// One executor in a sheet.
#[derive(Deserialize, Clone)]
pub struct SheetEntry {
    pub executor: Box<str>,
    #[serde(default, rename = "dc")]
    pub zone: Option<u32>,
    #[serde(default, rename = "hw")]
    pub machine_type: Option<u32>,
    #[serde(default, rename = "stripe")]
    pub deduplication_group: Option<u32>,
    pub phase: EntryPhase,
    #[serde(default, rename = "scale")]
    pub weight: Option<f64>,
    /// Start time in microseconds; `None` or 0 if the executor started long ago.
    #[serde(default, rename = "start_time")]
    pub started_at: Option<u64>,
}

/// The state of an executor in a sheet.
#[derive(Deserialize, Clone, Copy)]
pub enum EntryPhase {
    #[serde(rename = "healthy")]
    Ready,
    #[serde(rename = "cordoned")]
    Draining,
    #[serde(rename = "deregistered")]
    Gone,
}

/// An update of the endpoint list of an instance, or the loss of its watch.
#[derive(Deserialize)]
pub struct EndpointsUpdate {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "kind")]
    pub content: UpdateContent,
    /// Number of the sheet; `None` if the watch was lost.
    pub sheet: Option<u8>,
}

/// The content of an [`EndpointsUpdate`].
#[derive(Deserialize, PartialEq, Eq, Clone, Copy)]
pub enum UpdateContent {
    /// Only the changed entries.
    #[serde(rename = "incr")]
    Delta,
    /// The complete list.
    #[serde(rename = "total")]
    Snapshot,
    /// The complete list from a cache that was written before a restart.
    #[serde(rename = "warm_copy")]
    Cached,
    /// No list: the watch was lost.
    #[serde(rename = "lost")]
    Lost,
}

/// The arrival of a request.
#[derive(Deserialize)]
pub struct RequestArrived {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "call", deserialize_with = "request_id")]
    pub request_id: RequestId,
    #[serde(default, rename = "cores_needed")]
    pub slots: Option<f64>,
    #[serde(default, rename = "mem_needed")]
    pub memory: Option<f64>,
    /// Time for which the client waits for the answer, in microseconds.
    pub time_left: u64,
    #[serde(default, rename = "account")]
    pub tenant: Option<u32>,
    #[serde(default, rename = "retry")]
    pub is_retry: Option<bool>,
    #[serde(rename = "priority")]
    pub class: u32,
}

/// The end of a probe.
#[derive(Deserialize)]
pub struct ProbeResult<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(borrow)]
    pub executor: Cow<'a, str>,
    #[serde(rename = "state_code")]
    pub status: CompletionStatus,
    /// Time from the probe to its reply, in microseconds.
    #[serde(rename = "lag")]
    pub latency: u64,
    /// Values of the load report, in the order of the fields that the settings list.
    #[serde(default)]
    pub metrics: Option<Vec<Option<f64>>>,
}

/// How a probe or an attempt ended.
#[derive(Deserialize, PartialEq, Eq, Clone, Copy)]
pub enum CompletionStatus {
    #[serde(rename = "GOOD")]
    Completed,
    #[serde(rename = "BAD")]
    Error,
    #[serde(rename = "FULL")]
    Rejected,
    #[serde(rename = "LATE")]
    TimedOut,
    #[serde(rename = "NOCONN")]
    NoConnection,
    #[serde(rename = "RST")]
    Reset,
    #[serde(rename = "CXL")]
    Cancelled,
    #[serde(rename = "NOP")]
    NotSent,
}

impl From<CompletionStatus> for Outcome {
    fn from(status: CompletionStatus) -> Self {
        match status {
            CompletionStatus::Completed => Outcome::Completed,
            CompletionStatus::Error => Outcome::Error,
            CompletionStatus::Rejected => Outcome::Rejected,
            CompletionStatus::TimedOut => Outcome::TimedOut,
            CompletionStatus::NoConnection => Outcome::NoConnection,
            CompletionStatus::Reset => Outcome::Reset,
            CompletionStatus::Cancelled => Outcome::Cancelled,
            CompletionStatus::NotSent => Outcome::NotSent,
        }
    }
}

/// The end of an attempt.
#[derive(Deserialize)]
pub struct AttemptEnded {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "call", deserialize_with = "request_id")]
    pub request_id: RequestId,
    #[serde(rename = "complete")]
    pub is_request_closed: bool,
    #[serde(rename = "n")]
    pub attempt: u32,
    #[serde(rename = "state_code")]
    pub status: CompletionStatus,
}

/// The start of an attempt.
#[derive(Deserialize)]
pub struct AttemptStarted {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "call", deserialize_with = "request_id")]
    pub request_id: RequestId,
    #[serde(rename = "n")]
    pub attempt: u32,
}

/// A heartbeat of an attempt, with the content [`Heartbeat::content`].
#[derive(Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "call", deserialize_with = "request_id")]
    pub request_id: RequestId,
    /// Part of the attempt that is complete, 0 to 1, if the heartbeat reports progress.
    #[serde(default, rename = "value")]
    pub share: Option<f64>,
    #[serde(rename = "n")]
    pub attempt: u32,
    #[serde(rename = "what")]
    code: u32,
}

/// The content of a heartbeat.
pub enum HeartbeatContent {
    Started,
    Progressed,
    /// Content of a later protocol version.
    Unknown,
}

impl Heartbeat {
    /// Returns what the heartbeat reports.
    pub fn content(&self) -> HeartbeatContent {
        match self.code {
            1 => HeartbeatContent::Started,
            2 => HeartbeatContent::Progressed,
            _ => HeartbeatContent::Unknown,
        }
    }
}

/// The disconnection of a request's client.
#[derive(Deserialize)]
pub struct RequestWithdrawn {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "call", deserialize_with = "request_id")]
    pub request_id: RequestId,
}

/// A gossip message from another node.
#[derive(Deserialize)]
pub struct GossipReceived<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    /// Message in base64.
    #[serde(default, borrow)]
    body: Option<Cow<'a, str>>,
}

impl GossipReceived<'_> {
    /// Decodes the message; `None` if it is missing or invalid.
    pub fn message(&self, class_names: ClassNames) -> Option<GossipMessage> {
        let bytes = BASE64_STANDARD.decode(self.body.as_deref()?).ok()?;
        troutknot_gossip::decode(&bytes, class_names)
    }
}
