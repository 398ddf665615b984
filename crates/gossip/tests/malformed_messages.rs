//! Datagrams that say nothing.
use troutknot::{GossipMessage, RequestClassId};
use troutknot_gossip::{MAX_MESSAGE_BYTES, decode, encode};

const VERSION: u8 = 1;

#[test]
fn odd_messages_say_nothing() {
    let types = ["render".to_string()];
    let good = encode(GossipMessage::RequestRejected { token: 9, class: RequestClassId(0) }, &types);
    assert!(decode(&good, &types).is_some());
    for (what, bytes) in [
        ("empty", vec![]),
        ("cut", good[..5].to_vec()),
        ("longer", [&good[..], &[0]].concat()),
        ("too long", vec![VERSION; MAX_MESSAGE_BYTES + 1]),
        ("of another version", vec![VERSION + 1, 1]),
        ("of another kind", vec![VERSION, 9]),
        ("of a type that is not known here", [&good[..6], &[0, 0]].concat()),
    ] {
        assert_eq!(decode(&bytes, &types), None, "{what}");
    }
}
