//! Encodes and decodes gossip messages between nodes: a version, a message type, and the fields of that type. Decoding
//! ignores unknown messages, so that nodes of different releases can exchange gossip. Without I/O.
use troutknot::{GossipMessage, RequestClassId};
use troutknot_membership::token;

/// Upper bound on the length of a message, in bytes; longer datagrams are not sent or read.
pub const MAX_MESSAGE_BYTES: usize = 256;
const VERSION: u8 = 1;
const IDLE_CONNECTION_LOST: u8 = 1;
const REQUEST_REJECTED: u8 = 2;

/// The names of the request classes by their ids at this node. The ids may differ between nodes.
pub type ClassNames<'a> = &'a [String];

/// Returns the number that identifies a class in messages: the lower 16 bits of the token of its name.
fn class_token(name: &str) -> u16 {
    token(name) as u16
}

/// Encodes a message.
///
/// ```
/// use troutknot::{RequestClassId, GossipMessage::RequestRejected};
/// use troutknot_gossip::{decode, encode};
/// let (here, there) = (["a".to_string(), "b".to_string()], ["b".to_string()]);
/// let bytes = encode(RequestRejected { token: 7, class: RequestClassId(1) }, &here);
/// assert_eq!(decode(&bytes, &there), Some(RequestRejected { token: 7, class: RequestClassId(0) }));
/// ```
pub fn encode(message: GossipMessage, classes: ClassNames) -> Vec<u8> {
    match message {
        GossipMessage::IdleConnectionLost => vec![VERSION, IDLE_CONNECTION_LOST],
        GossipMessage::RequestRejected { token: executor, class } => {
            let name = classes.get(class.0 as usize).map_or("", String::as_str);
            let mut bytes = vec![VERSION, REQUEST_REJECTED];
            bytes.extend_from_slice(&executor.to_le_bytes());
            bytes.extend_from_slice(&class_token(name).to_le_bytes());
            bytes
        }
    }
}

/// Decodes a message. Returns `None` if it is truncated, too long, of an unknown version or type, or about a class that
/// this node does not have.
pub fn decode(bytes: &[u8], classes: ClassNames) -> Option<GossipMessage> {
    match bytes {
        [VERSION, IDLE_CONNECTION_LOST] => Some(GossipMessage::IdleConnectionLost),
        [VERSION, REQUEST_REJECTED, executor @ .., low, high] => {
            let token = u32::from_le_bytes(executor.try_into().ok()?);
            let class = u16::from_le_bytes([*low, *high]);
            let found = classes.iter().rposition(|name| class_token(name) == class)?;
            Some(GossipMessage::RequestRejected { token, class: RequestClassId(found as u32) })
        }
        _ => None,
    }
}
