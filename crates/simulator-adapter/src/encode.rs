//! Actions as lines of the wire.
use base64::prelude::{BASE64_STANDARD, Engine};
use troutknot::{Action, ExecutorId, Millis, RequestId};
use troutknot_gossip::ClassNames;
use troutknot_membership::ExecutorRegistry;

fn micros(at: Millis) -> u64 {
    (at * 1000.0).round().max(0.0) as u64
}

fn number(out: &mut Vec<u8>, key: &str, n: u64) {
    out.extend_from_slice(key.as_bytes());
    out.extend_from_slice(itoa::Buffer::new().format(n).as_bytes());
}

fn open(out: &mut Vec<u8>, op: &str, instance: u64) {
    out.extend_from_slice(b"{\"op\":\"");
    out.extend_from_slice(op.as_bytes());
    number(out, "\",\"i\":", instance);
}

fn call(out: &mut Vec<u8>, request_id: RequestId) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    out.extend_from_slice(b",\"call\":\"");
    out.extend((0..16).map(|k| DIGITS[(request_id.0 >> (60 - 4 * k)) as usize & 15]));
    out.push(b'"');
}

fn text(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(key.as_bytes());
    serde_json::to_writer(&mut *out, value).expect("text goes into memory");
}

/// Writes a line for the log of one instance.
pub fn log_line(out: &mut Vec<u8>, instance: u64, line: &str) {
    open(out, "emit", instance);
    text(out, ",\"line\":", line);
    out.extend_from_slice(b"}\n");
}

/// Writes one action of one instance as a line. Nothing is written where an executor is released: the wire knows
/// names alone.
pub fn action(
    out: &mut Vec<u8>,
    instance: u64,
    registry: &ExecutorRegistry,
    types: ClassNames,
    action: &Action,
) {
    let name = |executor: ExecutorId| registry.name(executor).unwrap_or_default();
    match action {
        Action::Dispatch { request_id, executor, attempt_deadline, .. } => {
            open(out, "forward", instance);
            call(out, *request_id);
            number(out, ",\"cut_at\":", micros(*attempt_deadline));
            text(out, ",\"executor\":", name(*executor));
        }
        Action::Cancel { request_id, attempt_id } => {
            open(out, "undo_send", instance);
            call(out, *request_id);
            number(out, ",\"n\":", attempt_id.0.into());
        }
        Action::Reject { request_id, retry_after: come_back } => {
            open(out, "bounce", instance);
            call(out, *request_id);
            if let Some(wait) = come_back {
                number(out, ",\"wait\":", micros(*wait));
            }
        }
        Action::Fail { request_id } => {
            open(out, "surrender", instance);
            call(out, *request_id);
        }
        Action::Probe { executor } => {
            open(out, "sample", instance);
            text(out, ",\"executor\":", name(*executor));
        }
        Action::SetTimer { at } => {
            open(out, "after", instance);
            number(out, ",\"at\":", (at * 1000.0).ceil() as u64);
            number(out, ",\"key_back\":", 0);
        }
        Action::CloseIdleConnections { executor } => {
            open(out, "let_go", instance);
            text(out, ",\"executor\":", name(*executor));
        }
        Action::Gossip(said) => {
            open(out, "announce", instance);
            out.extend_from_slice(b",\"to\":null");
            text(out, ",\"body\":", &BASE64_STANDARD.encode(troutknot_gossip::encode(*said, types)));
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
