//! Malformed and unknown datagrams are ignored.
use troutknot::{GossipMessage, RequestClassId};
use troutknot_gossip::{MAX_MESSAGE_BYTES, decode, encode};

const VERSION: u8 = 1;

/// A datagram that is damaged or from another release must not be read as a rejection.
#[test]
fn malformed_and_unknown_messages_are_not_decoded() {
    let classes = ["render".to_string()];
    let good = encode(GossipMessage::RequestRejected { token: 9, class: RequestClassId(0) }, &classes);
    assert!(decode(&good, &classes).is_some());
    for (case, bytes) in [
        ("empty", vec![]),
        ("truncated", good[..5].to_vec()),
        ("with an additional byte", [&good[..], &[0]].concat()),
        ("longer than the upper bound", vec![VERSION; MAX_MESSAGE_BYTES + 1]),
        ("of another version", vec![VERSION + 1, 1]),
        ("of an unknown type", vec![VERSION, 9]),
        ("about an unknown class", [&good[..6], &[0, 0]].concat()),
    ] {
        assert_eq!(decode(&bytes, &classes), None, "{case}");
    }
}
