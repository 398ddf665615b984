//! Encoding of a row: one byte for the format, a CRC-32 of all that follows (4 bytes), the time (8 bytes), the record
//! in postcard. The checksum and the time are little-endian.
use crate::record::{Record, Row};
use serde::{Deserialize, Serialize};
use std::ops::Range;
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};

/// The format that is written; formats 1 to this one are read.
pub const FORMAT: u8 = 1;
/// Byte positions of the checksum and the time in a row.
const CHECKSUM: Range<usize> = 1..5;
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

/// Encoding of [`Effect`]: its index here, so the order must not change.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Effect")]
#[expect(missing_docs, reason = "as in the type that it stands for")]
pub enum EffectDef {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// Encoding of [`Outcome`]: its index here, so the order must not change.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Outcome")]
#[expect(missing_docs, reason = "as in the type that it stands for")]
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
    /// There are fewer bytes than a row has.
    #[error("it is cut off after {0} bytes")]
    Truncated(usize),
    /// The format byte is that of a later release, or damaged.
    #[error("format {0} is not known; 1 to {FORMAT} are")]
    UnsupportedFormat(u8),
    /// The bytes have changed since they were written.
    #[error("its checksum does not fit")]
    Checksum,
    /// The bytes after the time are not a record.
    #[error("its record is not understood: {0}")]
    Record(#[from] postcard::Error),
    /// The record belongs to another request than its key.
    #[error("it is of another request")]
    RequestMismatch,
}

/// The bytes of a row, without its sequence, which is part of its key.
pub fn encode(at: Millis, record: &Record) -> Vec<u8> {
    let mut bytes = vec![FORMAT, 0, 0, 0, 0];
    bytes.extend_from_slice(&at.to_le_bytes());
    bytes = postcard::to_extend(record, bytes).expect("a record is written to memory");
    let checksum = crc32fast::hash(&bytes[TIME.start..]);
    bytes[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes a row; `sequence` comes from its key.
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
