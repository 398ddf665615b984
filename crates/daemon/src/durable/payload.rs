//! Conversion of requests and answers to and from their form in the ledger.
use crate::hot_restart::job_record::JobIdentity;
use crate::in_flight::{Answer, ClientRequest};
use crate::protocol::Codec;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use troutknot_ledger::{Answer as RecordedAnswer, Digest};

/// The contents of a request that are needed to dispatch it. The order of the fields determines the format on disk.
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

/// The class of a stored request is no longer configured.
#[derive(Debug, thiserror::Error)]
#[error("request class `{0}` is no longer configured")]
pub(super) struct UnknownClass(String);

impl StoredRequest {
    /// Copies a request. Class and tenant are stored by name, because their ids may change with a restart.
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

    /// Restores the request, with class and tenant ids of the current settings.
    ///
    /// # Errors
    /// [`UnknownClass`] if the class is no longer configured.
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

/// Computes the digest by which requests with the same idempotency key are compared.
pub(super) fn digest(request: &ClientRequest) -> Digest {
    let mut hash = Sha256::new();
    for part in [request.method.as_bytes(), request.target.as_bytes(), &request.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// What identifies a request in the ledger.
pub fn identity_of(request: &ClientRequest) -> JobIdentity {
    JobIdentity { key: request.key.clone(), client_id: request.id.clone(), digest: digest(request) }
}

/// Converts an answer to its form in the ledger.
pub(super) fn to_recorded(answer: &Answer) -> RecordedAnswer {
    match answer {
        Answer::Completed(result) => RecordedAnswer::Completed(result.to_vec()),
        Answer::Rejected(retry_after) => RecordedAnswer::Rejected(*retry_after),
        Answer::Failed => RecordedAnswer::Failed,
    }
}

/// Converts an answer from its form in the ledger.
pub(super) fn from_recorded(recorded: RecordedAnswer) -> Answer {
    match recorded {
        RecordedAnswer::Completed(result) => Answer::Completed(result.into()),
        RecordedAnswer::Rejected(retry_after) => Answer::Rejected(retry_after),
        RecordedAnswer::Failed => Answer::Failed,
    }
}
