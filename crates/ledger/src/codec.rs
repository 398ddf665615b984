//! How a row is written: one byte for the format, a CRC-32 of all that follows, the time, the record in postcard.
use crate::{Record, Row};
use serde::{Deserialize, Serialize};
use troutknot::{AttemptId, Effect, Millis, Outcome, RequestId};

/// The format that is written; those up to it are read.
pub const FORMAT: u8 = 1;
const HEAD: usize = 1 + 4 + 8;

#[derive(Serialize, Deserialize)]
#[serde(remote = "RequestId")]
pub struct RequestIdDef(pub u64);

#[derive(Serialize, Deserialize)]
#[serde(remote = "AttemptId")]
pub struct AttemptIdDef(pub u32);

#[derive(Serialize, Deserialize)]
#[serde(remote = "Effect")]
pub enum EffectDef {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Outcome")]
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

/// Why bytes are no row.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Damaged {
    #[error("it is cut off after {0} bytes")]
    Short(usize),
    #[error("format {0} is not known; 1 to {FORMAT} are")]
    Format(u8),
    #[error("its checksum does not fit")]
    Checksum,
    #[error("its record is not understood: {0}")]
    Record(String),
}

/// The bytes of a row, without its place, which is part of its key.
pub fn encode(at: Millis, record: &Record) -> Vec<u8> {
    let mut out = vec![FORMAT, 0, 0, 0, 0];
    out.extend_from_slice(&at.to_le_bytes());
    out = postcard::to_extend(record, out).expect("a record is written to memory");
    let crc = crc32fast::hash(&out[5..]);
    out[1..5].copy_from_slice(&crc.to_le_bytes());
    out
}

/// # Errors
/// Why the bytes are no row.
pub fn decode(place: u32, bytes: &[u8]) -> Result<Row, Damaged> {
    let (Some(format), true) = (bytes.first(), bytes.len() > HEAD) else {
        return Err(Damaged::Short(bytes.len()));
    };
    if !(1..=FORMAT).contains(format) {
        return Err(Damaged::Format(*format));
    }
    let told = u32::from_le_bytes(bytes[1..5].try_into().expect("four bytes"));
    if crc32fast::hash(&bytes[5..]) != told {
        return Err(Damaged::Checksum);
    }
    let at = f64::from_le_bytes(bytes[5..HEAD].try_into().expect("eight bytes"));
    let record = postcard::from_bytes(&bytes[HEAD..]).map_err(|e| Damaged::Record(e.to_string()))?;
    Ok(Row { at, place, record })
}
