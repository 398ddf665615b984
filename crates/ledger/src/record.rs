//! Records, each of which describes one step in the processing of a durable request.
use crate::codec;
use serde::{Deserialize, Serialize};
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};

/// A number that increases with every attempt of a request. An executor that supports fences refuses a lower one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// A hash of a request, which reveals that an idempotency key is reused for a different request.
pub type Digest = [u8; 32];

/// A final answer in recorded form.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The result.
    Completed(Vec<u8>),
    /// Rejected; with the delay in milliseconds after which the client may retry, if one is given.
    Rejected(Option<Millis>),
    /// Failed; the request may have run.
    Failed,
}

/// One record. New variants are added at the end, because a variant is stored as its index.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Record {
    /// The request was accepted.
    #[serde(rename = "Taken")]
    Accepted {
        /// The number of the request in this ledger.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The effect of running the request more than once.
        #[serde(with = "codec::EffectDef")]
        effect: Effect,
        /// By when the request must have its final answer.
        deadline: Millis,
        /// The id that the client assigned to the request.
        client_id: String,
        /// The idempotency key, if the request has one.
        key: Option<String>,
        /// The hash of the request.
        digest: Digest,
        /// All that is needed to dispatch the request, encoded by the caller.
        payload: Vec<u8>,
    },
    /// An attempt is about to be sent. The record is on disk before the first byte is sent.
    Dispatched {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The fence of the attempt.
        fence: Fence,
        /// The name of the executor.
        executor: String,
        /// When the lease expires unless a heartbeat extends it.
        lease_until: Millis,
    },
    /// The executor has started to run an attempt.
    Started {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt.
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
    },
    /// A heartbeat from the executor, which extends the lease.
    Heartbeat {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt.
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
        /// The new expiry of the lease; an earlier one than the current expiry is ignored.
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
        /// The outcome of the attempt.
        #[serde(with = "codec::OutcomeDef")]
        outcome: Outcome,
    },
    /// The executor confirms that it has not run an attempt and will refuse it.
    Fenced {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The attempt.
        #[serde(with = "codec::AttemptIdDef")]
        attempt_id: AttemptId,
    },
    /// The request has its final answer. The record is on disk before the answer is sent to the client.
    Answered {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// The last byte of the final answer was written to a client.
    Acknowledged {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
    },
    /// The request is deleted with all its rows.
    Forgotten {
        /// The request.
        #[serde(with = "codec::RequestIdDef")]
        request_id: RequestId,
    },
}

impl Record {
    /// Returns the request that the record belongs to.
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

/// A record with its time and its position among the rows of its request.
#[derive(Clone, PartialEq, Debug)]
pub struct Row {
    /// When the record was made, in Unix milliseconds.
    pub recorded_at: Millis,
    /// The number of earlier rows of the same request.
    pub sequence: u32,
    /// The record.
    pub record: Record,
}
