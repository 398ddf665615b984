//! What nodes tell one another, as bytes: a version, a kind of message, and what that holds. Whoever reads passes
//! over what it does not know, so that releases may differ among the nodes. Without I/O.
use troutknot::{GossipMessage, RequestClassId};
use troutknot_membership::token;

/// The longest message that may be sent or is read.
pub const MAX_MESSAGE_BYTES: usize = 256;
const VERSION: u8 = 1;
const IDLE_CONNECTION_LOST: u8 = 1;
const REQUEST_REJECTED: u8 = 2;

/// The names of request classes by their ids here, which may be others at another node.
pub type ClassNames<'a> = &'a [String];

/// The lower bits of a name's token stand for it in a message.
fn class_token(name: &str) -> u16 {
    token(name) as u16
}

/// A message as bytes.
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

/// What a message says; none where it is cut, too long, of another form or of a class that is not known here.
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
