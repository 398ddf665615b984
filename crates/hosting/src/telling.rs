//! What nodes tell one another, as bytes: a version, a kind, and what the kind holds. Whoever reads passes over
//! what it does not know, so that releases may differ among the nodes.
use crate::token;
use troutknot::{GossipMessage, RequestClassId};

/// The longest message that may be sent or is read.
pub const MOST_TOLD: usize = 256;
const VERSION: u8 = 1;
const DROPPED: u8 = 1;
const TURNED_AWAY: u8 = 2;

/// The names of project types by their numbers here, which may be others at another node.
pub type TypeNames<'a> = &'a [String];

/// A message as bytes.
///
/// ```
/// use troutknot::{RequestClassId, GossipMessage::WorkRejected};
/// use troutknot_hosting::{telling, told};
/// let (here, there) = (["a".to_string(), "b".to_string()], ["b".to_string()]);
/// let bytes = telling(WorkRejected { token: 7, class: RequestClassId(1) }, &here);
/// assert_eq!(told(&bytes, &there), Some(WorkRejected { token: 7, class: RequestClassId(0) }));
/// ```
pub fn telling(telling: GossipMessage, types: TypeNames) -> Vec<u8> {
    match telling {
        GossipMessage::IdleConnectionLost => vec![VERSION, DROPPED],
        GossipMessage::WorkRejected { token: executor, class: project_type } => {
            let name = types.get(project_type.0 as usize).map_or("", String::as_str);
            let mut bytes = vec![VERSION, TURNED_AWAY];
            bytes.extend_from_slice(&executor.to_le_bytes());
            bytes.extend_from_slice(&(token(name) as u16).to_le_bytes());
            bytes
        }
    }
}

/// What a message says; none where it is cut, too long, of another form or of a type that is not known here.
pub fn told(bytes: &[u8], types: TypeNames) -> Option<GossipMessage> {
    match bytes {
        [VERSION, DROPPED] => Some(GossipMessage::IdleConnectionLost),
        [VERSION, TURNED_AWAY, a, b, c, d, e, f] => {
            let name = u16::from_le_bytes([*e, *f]);
            let found = types.iter().rposition(|other| token(other) as u16 == name)?;
            let project_type = RequestClassId(found as u32);
            Some(GossipMessage::WorkRejected {
                token: u32::from_le_bytes([*a, *b, *c, *d]),
                class: project_type,
            })
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn odd_messages_say_nothing() {
        let types = ["render".to_string()];
        let good = telling(GossipMessage::WorkRejected { token: 9, class: RequestClassId(0) }, &types);
        assert!(told(&good, &types).is_some());
        for (what, bytes) in [
            ("empty", vec![]),
            ("cut", good[..5].to_vec()),
            ("longer", [&good[..], &[0]].concat()),
            ("too long", vec![VERSION; MOST_TOLD + 1]),
            ("of another version", vec![VERSION + 1, DROPPED]),
            ("of another kind", vec![VERSION, 9]),
            ("of a type that is not known here", [&good[..6], &[0, 0]].concat()),
        ] {
            assert_eq!(told(&bytes, &types), None, "{what}");
        }
    }
}
