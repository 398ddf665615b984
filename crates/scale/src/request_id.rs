//! Request ids of a run: 16 hexadecimal digits, the first two of which identify the node that the request was sent
//! to.
use serde::{Deserialize, Serialize};
use std::fmt;

const NODE_SHIFT: u32 = 56;

/// Id of one request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct RequestId(pub u64);

impl RequestId {
    /// # Panics
    /// In debug builds, if the sequence number exceeds 56 bits.
    pub fn new(node: u8, sequence: u64) -> Self {
        debug_assert!(sequence < 1 << NODE_SHIFT);
        RequestId(u64::from(node) << NODE_SHIFT | sequence)
    }

    pub fn parse(text: &str) -> Option<Self> {
        (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok().map(RequestId))?
    }

    /// Returns the number of the node that the client sent the request to.
    pub fn node(self) -> usize {
        (self.0 >> NODE_SHIFT) as usize
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
