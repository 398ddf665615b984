//! Encoding of a row: the format (1 byte), a CRC-32 of the bytes that follow it (4 bytes), the time (8 bytes), and the
//! record in postcard. The checksum and the time are little-endian.
use crate::record::{Record, Row};
use serde::{Deserialize, Serialize};
use std::ops::Range;
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};

/// The row format that is written. Formats 1 up to this one can be read.
pub const FORMAT: u8 = 1;
/// Byte range of the checksum in a row.
const CHECKSUM: Range<usize> = 1..5;
/// Byte range of the time in a row.
const TIME: Range<usize> = 5..13;

/// Encoding of [`RequestId`].
#[derive(Serialize, Deserialize)]
#[serde(remote = "RequestId")]
pub struct RequestIdDef(
    /// The number.
    pub u64,
);

/// Encoding of [`AttemptId`].
#[derive(Serialize, Deserialize)]
#[serde(remote = "AttemptId")]
pub struct AttemptIdDef(
    /// The number.
    pub u32,
);

/// Encoding of [`Effect`], which is stored as its index here, so the order must not change.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Effect")]
#[expect(missing_docs, reason = "documented at the type that it encodes")]
pub enum EffectDef {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// Encoding of [`Outcome`], which is stored as its index here, so the order must not change.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Outcome")]
#[expect(missing_docs, reason = "documented at the type that it encodes")]
pub enum OutcomeDef {
    Completed,
    Error,
    Rejected,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    NotSent,
}

/// Why bytes cannot be decoded as a row.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RowError {
    /// The bytes are fewer than the shortest row has.
    #[error("row is truncated to {0} bytes")]
    Truncated(usize),
    /// The format byte is that of a later release, or damaged.
    #[error("unsupported row format {0}; this release reads 1 to {FORMAT}")]
    UnsupportedFormat(u8),
    /// The bytes have changed since they were written.
    #[error("checksum mismatch")]
    Checksum,
    /// The bytes after the time are not a record.
    #[error("record cannot be decoded: {0}")]
    Record(#[from] postcard::Error),
    /// The record belongs to a different request than the row's key.
    #[error("record belongs to another request")]
    RequestMismatch,
}

/// Encodes a row without its sequence, which is part of its key.
pub fn encode(recorded_at: Millis, record: &Record) -> Vec<u8> {
    let mut bytes = vec![FORMAT, 0, 0, 0, 0];
    bytes.extend_from_slice(&recorded_at.to_le_bytes());
    bytes = postcard::to_extend(record, bytes).expect("encoding to memory does not fail");
    let checksum = crc32fast::hash(&bytes[TIME.start..]);
    bytes[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes a row whose key has the given `sequence`.
///
/// # Errors
/// If the bytes are not a row that this release can read.
pub fn decode(sequence: u32, bytes: &[u8]) -> Result<Row, RowError> {
    let (Some(format), true) = (bytes.first(), bytes.len() > TIME.end) else {
        return Err(RowError::Truncated(bytes.len()));
    };
    if !(1..=FORMAT).contains(format) {
        return Err(RowError::UnsupportedFormat(*format));
    }
    let checksum = u32::from_le_bytes(bytes[CHECKSUM].try_into().expect("four bytes"));
    if crc32fast::hash(&bytes[TIME.start..]) != checksum {
        return Err(RowError::Checksum);
    }
    let recorded_at = f64::from_le_bytes(bytes[TIME].try_into().expect("eight bytes"));
    let record = postcard::from_bytes(&bytes[TIME.end..])?;
    Ok(Row { recorded_at, sequence, record })
}
