//! What one process tells the other one about a durable request, as only one of them has the ledger open. The module
//! performs no I/O.
use super::codec::{MAX_LINE_BYTES, Message, encode};
use serde::{Deserialize, Serialize};
use troutknot::Millis;
use troutknot_ledger::Digest;

/// What identifies a durable request of a client.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
pub struct JobIdentity {
    /// The idempotency key, if the client gave one.
    pub key: Option<String>,
    /// The id that the client gave the request.
    #[serde(rename = "id")]
    pub client_id: String,
    /// The hash of the request.
    pub digest: Digest,
}

/// What is on record of a durable request.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum JobRecord {
    /// Nothing: it has not run.
    New,
    /// It is recorded and has no answer that can be sent yet, or the sender has no ledger open.
    Unresolved,
    /// It completed with this result.
    Completed {
        /// The result, which executors send as text.
        result: String,
    },
    /// It was rejected and may be sent again.
    Rejected {
        /// The delay after which the client may retry, if one was given.
        retry_after_ms: Option<Millis>,
    },
    /// It may have run.
    Failed,
    /// Another request is recorded with its idempotency key.
    KeyMismatch,
    /// A request is recorded with its id, and it has no key that identifies it as the same one.
    DuplicateId,
}

/// The reply to [`Message::LookUp`]. A record whose line would be too long is reported as unresolved, so that the other
/// process waits until it has the ledger open.
pub fn reply(number: u64, job: JobRecord) -> Message {
    let reply = Message::Found { number, job };
    if encode(&reply).len() <= MAX_LINE_BYTES {
        return reply;
    }
    Message::Found { number, job: JobRecord::Unresolved }
}
