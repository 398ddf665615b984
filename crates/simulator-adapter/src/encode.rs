//! Encodes actions as lines of the simulator's protocol.
use base64::prelude::{BASE64_STANDARD, Engine};
use troutknot::{Action, ExecutorId, Millis, RequestId};
use troutknot_gossip::ClassNames;
use troutknot_membership::ExecutorRegistry;

const MICROS_PER_MILLI: f64 = 1000.0;
/// Number of hexadecimal digits of a request id.
const ID_DIGITS: u32 = 16;

/// Operation of a log line.
const LOG_OPERATION: &str = "emit";
/// Key of the text of a log line, as in [`put_number`].
const LOG_TEXT_KEY: &str = ",\"line\":";

fn micros(time: Millis) -> u64 {
    (time * MICROS_PER_MILLI).round().max(0.0) as u64
}

/// Appends the start of a line, up to and including the number of the instance.
fn begin_line(out: &mut Vec<u8>, operation: &str, instance: u64) {
    out.extend_from_slice(b"{\"op\":\"");
    out.extend_from_slice(operation.as_bytes());
    put_number(out, "\",\"i\":", instance);
}

fn end_line(out: &mut Vec<u8>) {
    out.extend_from_slice(b"}\n");
}

/// Appends a number. `key` is written verbatim, so it includes the leading comma, the quotes and the colon.
fn put_number(out: &mut Vec<u8>, key: &str, value: u64) {
    out.extend_from_slice(key.as_bytes());
    out.extend_from_slice(itoa::Buffer::new().format(value).as_bytes());
}

/// Appends a string, escaped as JSON. `key` is written verbatim, as in [`put_number`].
fn put_text(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(key.as_bytes());
    serde_json::to_writer(&mut *out, value).expect("writing to memory cannot fail");
}

/// Appends a request id as hexadecimal digits.
fn put_request_id(out: &mut Vec<u8>, request_id: RequestId) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    out.extend_from_slice(b",\"call\":\"");
    let digit = |place: u32| DIGITS[(request_id.0 >> (4 * place)) as usize & 15];
    out.extend((0..ID_DIGITS).rev().map(digit));
    out.push(b'"');
}

/// Appends a log line of one instance.
pub fn log_line(out: &mut Vec<u8>, instance: u64, line: &str) {
    begin_line(out, LOG_OPERATION, instance);
    put_text(out, LOG_TEXT_KEY, line);
    end_line(out);
}

/// Appends one action of an instance as a line. The release of an executor writes nothing, because the protocol
/// uses names and not handles.
pub fn action(
    out: &mut Vec<u8>,
    instance: u64,
    registry: &ExecutorRegistry,
    class_names: ClassNames,
    action: &Action,
) {
    let Some(operation) = operation(action) else { return };
    begin_line(out, operation, instance);
    put_action_fields(out, registry, class_names, action);
    end_line(out);
}

/// Returns the protocol's operation for an action; `None` if the protocol has none.
fn operation(action: &Action) -> Option<&'static str> {
    match action {
        Action::Dispatch { .. } => Some("forward"),
        Action::Cancel { .. } => Some("undo_send"),
        Action::Reject { .. } => Some("bounce"),
        Action::Fail { .. } => Some("surrender"),
        Action::Probe { .. } => Some("sample"),
        Action::SetTimer { .. } => Some("after"),
        Action::CloseIdleConnections { .. } => Some("let_go"),
        Action::Gossip(_) => Some("announce"),
        Action::WatchEndpoints => Some("listen"),
        Action::Log(_) => Some(LOG_OPERATION),
        Action::ReleaseExecutor { .. } => None,
    }
}

/// Appends the fields of an action.
fn put_action_fields(
    out: &mut Vec<u8>,
    registry: &ExecutorRegistry,
    class_names: ClassNames,
    action: &Action,
) {
    let name = |executor: ExecutorId| registry.name(executor).unwrap_or_default();
    match action {
        Action::Dispatch { request_id, executor, attempt_deadline, .. } => {
            put_request_id(out, *request_id);
            put_number(out, ",\"cut_at\":", micros(*attempt_deadline));
            put_text(out, ",\"executor\":", name(*executor));
        }
        Action::Cancel { request_id, attempt_id } => {
            put_request_id(out, *request_id);
            put_number(out, ",\"n\":", attempt_id.0.into());
        }
        Action::Reject { request_id, retry_after } => {
            put_request_id(out, *request_id);
            if let Some(wait) = retry_after {
                put_number(out, ",\"wait\":", micros(*wait));
            }
        }
        Action::Fail { request_id } => put_request_id(out, *request_id),
        Action::Probe { executor } | Action::CloseIdleConnections { executor } => {
            put_text(out, ",\"executor\":", name(*executor));
        }
        Action::SetTimer { at } => put_timer_fields(out, *at),
        Action::Gossip(message) => {
            out.extend_from_slice(b",\"to\":null");
            let body = BASE64_STANDARD.encode(troutknot_gossip::encode(*message, class_names));
            put_text(out, ",\"body\":", &body);
        }
        Action::WatchEndpoints => out.extend_from_slice(b",\"enable\":true"),
        Action::Log(event) => put_text(out, LOG_TEXT_KEY, &event.to_string()),
        Action::ReleaseExecutor { .. } => {}
    }
}

fn put_timer_fields(out: &mut Vec<u8>, at: Millis) {
    // Rounded up, so that the timer never fires before the due time.
    put_number(out, ",\"at\":", (at * MICROS_PER_MILLI).ceil() as u64);
    put_number(out, ",\"key_back\":", 0);
}
