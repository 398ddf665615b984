//! The contents of a request as the ledger has them.
use crate::in_flight::{Answer, ClientRequest};
use crate::protocol::Codec;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use troutknot_ledger::{Answer as RecordedAnswer, Digest};

/// What is needed to send a request to an executor. The order of the fields is the format on disk.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredRequest {
    method: String,
    target: String,
    fields: Vec<u8>,
    body: Vec<u8>,
    class: String,
    tenant: String,
    slots: f64,
    memory: f64,
}

/// The settings no longer have the class of a stored request.
#[derive(Debug, thiserror::Error)]
#[error("request class `{0}` is no longer configured")]
pub(super) struct UnknownClass(String);

impl StoredRequest {
    /// Class and tenant are stored by name, since ids may change over a restart.
    pub(super) fn new(request: &ClientRequest, codec: &Codec) -> Self {
        let (class, tenant) = codec.class_and_tenant_names(request);
        StoredRequest {
            method: request.method.clone(),
            target: request.target.clone(),
            fields: request.fields.to_vec(),
            body: request.body.to_vec(),
            class,
            tenant,
            slots: request.slots,
            memory: request.memory,
        }
    }

    /// The request as its client made it, with ids by the present settings.
    ///
    /// # Errors
    /// If the settings no longer have its class.
    pub(super) fn to_request(
        &self,
        client_id: String,
        key: Option<String>,
        codec: &Codec,
    ) -> Result<ClientRequest, UnknownClass> {
        let ids = codec.class_and_tenant_ids(&self.class, &self.tenant);
        let (class, tenant) = ids.ok_or_else(|| UnknownClass(self.class.clone()))?;
        Ok(ClientRequest {
            id: client_id,
            key,
            method: self.method.clone(),
            target: self.target.clone(),
            fields: Bytes::copy_from_slice(&self.fields),
            body: Bytes::copy_from_slice(&self.body),
            class,
            tenant,
            slots: self.slots,
            memory: self.memory,
            is_retry: true,
        })
    }
}

/// Digest by which two requests with the same idempotency key are compared.
pub(super) fn digest(request: &ClientRequest) -> Digest {
    let mut hash = Sha256::new();
    for part in [request.method.as_bytes(), request.target.as_bytes(), &request.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// The answer as the ledger has it.
pub(super) fn to_recorded(answer: &Answer) -> RecordedAnswer {
    match answer {
        Answer::Completed(result) => RecordedAnswer::Completed(result.to_vec()),
        Answer::Rejected(retry_after) => RecordedAnswer::Rejected(*retry_after),
        Answer::Failed => RecordedAnswer::Failed,
    }
}

/// The answer that the ledger has.
pub(super) fn from_recorded(recorded: RecordedAnswer) -> Answer {
    match recorded {
        RecordedAnswer::Completed(result) => Answer::Completed(result.into()),
        RecordedAnswer::Rejected(retry_after) => Answer::Rejected(retry_after),
        RecordedAnswer::Failed => Answer::Failed,
    }
}
