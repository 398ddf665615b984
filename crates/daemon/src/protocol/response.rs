//! Maps final answers to responses to clients.
use super::codec::Codec;
use super::names;
use crate::http1::Field;
use crate::in_flight::Answer;
use bytes::Bytes;
use troutknot::Millis;

/// The parts of a response that follow from the request's outcome.
pub struct ResponseParts {
    /// The status code.
    pub status: u16,
    /// Fields other than those of the framing.
    pub fields: Vec<Field>,
    /// The result, or empty.
    pub body: Bytes,
}

impl Codec {
    /// The response that gives a client its final answer.
    pub fn response(&self, answer: &Answer) -> ResponseParts {
        match answer {
            Answer::Completed(result) => {
                ResponseParts { status: 200, fields: Vec::new(), body: result.clone() }
            }
            Answer::Rejected(retry_after) => ResponseParts {
                status: 503,
                fields: self.retry_after_field(*retry_after),
                body: Bytes::new(),
            },
            Answer::Failed => ResponseParts { status: 502, fields: Vec::new(), body: Bytes::new() },
        }
    }

    /// The `Retry-After` field; empty if the settings disable it. Its value is in seconds, with
    /// milliseconds as decimals.
    pub fn retry_after_field(&self, retry_after: Option<Millis>) -> Vec<Field> {
        let Some(retry_after) = retry_after.filter(|_| self.is_retry_after_enabled) else {
            return Vec::new();
        };
        let bounded = retry_after.min(self.max_retry_after).max(0.0);
        vec![(names::RETRY_AFTER, format!("{:.3}", bounded / 1000.0))]
    }
}
