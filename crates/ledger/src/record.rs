//! Records: each is one step of a durable request.
use crate::codec;
use serde::{Deserialize, Serialize};
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};

/// A number that grows with every attempt of a request; an executor that knows fences refuses a lower one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// A hash of a request, by which the use of its idempotency key for another request is detected.
pub type Digest = [u8; 32];

/// The final answer as it is recorded.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The result.
    Completed(Vec<u8>),
    /// Not served; with the time after which the client may retry, if there is one.
    Rejected(Option<Millis>),
    /// Failed, and may have run.
    Failed,
}

/// One record. New kinds are added at the end: on disk a kind is its index here.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Record {
    /// The request was accepted.
    #[serde(rename = "Taken")]
    Accepted {
        /// Its number in this ledger.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The effect of running it twice.
        #[serde(with = "codec::EffectDef")]
        effect: Effect,
        /// When it must have its final answer.
        deadline: Millis,
        /// The id that its client gave.
        client_id: String,
        /// Its idempotency key, if it has one.
        key: Option<String>,
        /// Its hash.
        digest: Digest,
        /// The contents that are needed to send it, encoded by the caller.
        payload: Vec<u8>,
    },
    /// An attempt is to be sent; on disk before its first byte is sent.
    Dispatched {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt's fence.
        fence: Fence,
        /// The name of the executor.
        executor: String,
        /// The end of the lease if no heartbeat follows.
        lease_until: Millis,
    },
    /// An attempt has started to run.
    Started {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt.
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
    },
    /// A heartbeat of the executor, which extends the lease.
    Heartbeat {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt.
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
        /// The new end of the lease; one before the present end changes nothing.
        lease_until: Millis,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt.
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
        /// Its outcome.
        #[serde(with = "codec::OutcomeDef")]
        outcome: Outcome,
    },
    /// The executor confirms that it has not run this attempt and will refuse it.
    Fenced {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt.
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
    },
    /// The final answer; on disk before it is sent to the client.
    Answered {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// The last byte of the answer was written to a client.
    Acknowledged {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
    },
    /// All rows of the request are deleted.
    Forgotten {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
    },
}

impl Record {
    /// The request that the record belongs to.
    pub fn request_id(&self) -> RequestId {
        match self {
            Record::Accepted { request_id, .. }
            | Record::Dispatched { request_id, .. }
            | Record::Started { request_id, .. }
            | Record::Heartbeat { request_id, .. }
            | Record::Ended { request_id, .. }
            | Record::Fenced { request_id, .. }
            | Record::Answered { request_id, .. }
            | Record::Acknowledged { request_id }
            | Record::Forgotten { request_id } => *request_id,
        }
    }
}

/// A record with its place in the ledger.
#[derive(Clone, PartialEq, Debug)]
pub struct Row {
    /// When the record was made.
    pub recorded_at: Millis,
    /// The number of rows of the same request before it.
    pub sequence: u32,
    /// The record.
    pub record: Record,
}
