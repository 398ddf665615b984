//! What an executor reports about an attempt: the status of its response, the events in its body, one per line, and
//! the attempt's status in reply to a fence request.
use super::names;
use crate::http1::ResponseHead;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use troutknot::Outcome;

/// One event of an attempt.
#[derive(Debug, PartialEq)]
pub enum AttemptEvent {
    /// The executor has started the request.
    Started,
    /// The completed share, from 0 to 1.
    Progress(f64),
    /// The request completed with this result.
    Result(Bytes),
    /// The attempt ended without a result.
    Ended(Outcome),
}

/// Why a line is not an event of the attempt.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The line is not a JSON object of an event.
    #[error("invalid event: {0}")]
    Json(#[from] serde_json::Error),
    /// The line belongs to a late response to an earlier attempt on a reused connection, or may do so because it has
    /// no id.
    #[error("the event names another request or none")]
    OtherRequest,
    /// A request completed without a result.
    #[error("the event `done` has no result")]
    MissingResult,
    /// A state that this version does not know.
    #[error("unknown state `{0}`")]
    UnknownState(String),
}

#[derive(Deserialize)]
struct EventLine<'a> {
    id: Option<String>,
    state: String,
    share: Option<f64>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
}

/// The outcome that the head of an executor's response decides; none if events follow in the body.
pub fn outcome_of_head(head: &ResponseHead) -> Option<Outcome> {
    let is_not_started = matches!(head.headers.single(names::NOT_STARTED), Ok(Some("1")));
    match head.status {
        200 => None,
        503 | 504 if is_not_started => Some(Outcome::Rejected),
        _ => Some(Outcome::Error),
    }
}

/// Removes the next line that is not blank. A last line without a line feed counts if the body is complete.
pub fn next_line(buffer: &mut BytesMut, is_complete: bool) -> Option<BytesMut> {
    loop {
        let line_length = buffer.iter().position(|&byte| byte == b'\n').map(|position| position + 1);
        let length = line_length.or(is_complete.then_some(buffer.len())).filter(|&length| length > 0)?;
        let line = buffer.split_to(length);
        if !line.trim_ascii().is_empty() {
            return Some(line);
        }
    }
}

/// Parses a line of an executor's response to the request with this id.
///
/// # Errors
/// If the line is malformed or belongs to another request.
pub fn parse_attempt_event(line: &[u8], request_id: &str) -> Result<AttemptEvent, EventError> {
    let event: EventLine = serde_json::from_slice(line)?;
    if event.id.as_deref() != Some(request_id) {
        return Err(EventError::OtherRequest);
    }
    match event.state.as_str() {
        "started" => Ok(AttemptEvent::Started),
        "running" => Ok(AttemptEvent::Progress(event.share.unwrap_or(0.0))),
        "done" => {
            let result = event.result.ok_or(EventError::MissingResult)?;
            Ok(AttemptEvent::Result(result_bytes(result)))
        }
        "failed" => Ok(AttemptEvent::Ended(Outcome::Error)),
        "returned" => Ok(AttemptEvent::Ended(Outcome::Rejected)),
        "lost" => Ok(AttemptEvent::Ended(Outcome::Reset)),
        unknown => Err(EventError::UnknownState(unknown.to_string())),
    }
}

/// The text of a JSON string; other JSON values as they are written.
fn result_bytes(result: &RawValue) -> Bytes {
    let json = result.get();
    let text = serde_json::from_str::<String>(json).unwrap_or_else(|_| json.to_string());
    text.into()
}

/// The status of an attempt, as its executor reports it in reply to a fence request.
#[derive(Debug, PartialEq)]
pub enum AttemptStatus {
    /// It has not run, and the executor will refuse it.
    NeverRan,
    /// It is running.
    Running,
    /// It completed with this result.
    Completed(Bytes),
    /// It may have run.
    Unknown,
}

#[derive(Deserialize)]
struct AttemptStatusBody {
    /// The request, if the executor names it.
    id: Option<String>,
    state: String,
    result: Option<String>,
}

/// Parses the response to a fence request for the request with this id; none if it is not a valid response to one, or
/// names another request.
pub fn parse_attempt_status(head: &ResponseHead, body: &[u8], request_id: &str) -> Option<AttemptStatus> {
    if head.status != 200 {
        return None;
    }
    let status: AttemptStatusBody = serde_json::from_slice(body).ok()?;
    if status.id.is_some_and(|id| id != request_id) {
        return None;
    }
    match status.state.as_str() {
        "never" => Some(AttemptStatus::NeverRan),
        "running" => Some(AttemptStatus::Running),
        "done" => status.result.map(|result| AttemptStatus::Completed(result.into())),
        // The safe interpretation of a state that this version does not know.
        _ => Some(AttemptStatus::Unknown),
    }
}
