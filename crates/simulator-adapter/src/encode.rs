//! Actions as lines of the simulator's protocol.
use base64::prelude::{BASE64_STANDARD, Engine};
use troutknot::{Action, ExecutorId, Millis, RequestId};
use troutknot_gossip::ClassNames;
use troutknot_membership::ExecutorRegistry;

const MICROS_PER_MILLI: f64 = 1000.0;
/// Digits of a request id.
const ID_DIGITS: u32 = 16;

fn micros(time: Millis) -> u64 {
    (time * MICROS_PER_MILLI).round().max(0.0) as u64
}

fn number(out: &mut Vec<u8>, key: &str, value: u64) {
    out.extend_from_slice(key.as_bytes());
    out.extend_from_slice(itoa::Buffer::new().format(value).as_bytes());
}

fn open(out: &mut Vec<u8>, operation: &str, instance: u64) {
    out.extend_from_slice(b"{\"op\":\"");
    out.extend_from_slice(operation.as_bytes());
    number(out, "\",\"i\":", instance);
}

fn request(out: &mut Vec<u8>, request_id: RequestId) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    out.extend_from_slice(b",\"call\":\"");
    let digit = |place: u32| DIGITS[(request_id.0 >> (4 * place)) as usize & 15];
    out.extend((0..ID_DIGITS).rev().map(digit));
    out.push(b'"');
}

fn text(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(key.as_bytes());
    serde_json::to_writer(&mut *out, value).expect("writing to memory cannot fail");
}

/// Appends a line for the log of one instance.
pub fn log_line(out: &mut Vec<u8>, instance: u64, line: &str) {
    open(out, "emit", instance);
    text(out, ",\"line\":", line);
    out.extend_from_slice(b"}\n");
}

/// Appends one action of one instance as a line. The release of an executor writes nothing, as the protocol has
/// names in place of handles.
pub fn action(
    out: &mut Vec<u8>,
    instance: u64,
    registry: &ExecutorRegistry,
    class_names: ClassNames,
    action: &Action,
) {
    let name = |executor: ExecutorId| registry.name(executor).unwrap_or_default();
    match action {
        Action::Dispatch { request_id, executor, attempt_deadline, .. } => {
            open(out, "forward", instance);
            request(out, *request_id);
            number(out, ",\"cut_at\":", micros(*attempt_deadline));
            text(out, ",\"executor\":", name(*executor));
        }
        Action::Cancel { request_id, attempt_id } => {
            open(out, "undo_send", instance);
            request(out, *request_id);
            number(out, ",\"n\":", attempt_id.0.into());
        }
        Action::Reject { request_id, retry_after } => {
            open(out, "bounce", instance);
            request(out, *request_id);
            if let Some(wait) = retry_after {
                number(out, ",\"wait\":", micros(*wait));
            }
        }
        Action::Fail { request_id } => {
            open(out, "surrender", instance);
            request(out, *request_id);
        }
        Action::Probe { executor } => {
            open(out, "sample", instance);
            text(out, ",\"executor\":", name(*executor));
        }
        Action::SetTimer { at } => {
            open(out, "after", instance);
            number(out, ",\"at\":", (at * MICROS_PER_MILLI).ceil() as u64);
            number(out, ",\"key_back\":", 0);
        }
        Action::CloseIdleConnections { executor } => {
            open(out, "let_go", instance);
            text(out, ",\"executor\":", name(*executor));
        }
        Action::Gossip(message) => {
            open(out, "announce", instance);
            out.extend_from_slice(b",\"to\":null");
            text(out, ",\"body\":", &BASE64_STANDARD.encode(troutknot_gossip::encode(*message, class_names)));
        }
        Action::WatchEndpoints => {
            open(out, "listen", instance);
            out.extend_from_slice(b",\"enable\":true");
        }
        Action::ReleaseExecutor { .. } => return,
        Action::Log(event) => return log_line(out, instance, &event.to_string()),
    }
    out.extend_from_slice(b"}\n");
}
