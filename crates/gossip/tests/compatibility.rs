//! Compatibility of datagrams with those of an earlier release (commit cc67128), byte for byte.
use troutknot::{GossipMessage, RequestClassId};
use troutknot_gossip::{decode, encode};

fn datagrams() -> Vec<Vec<u8>> {
    let lines = include_str!("fixtures/datagrams.hex").lines().filter(|line| !line.starts_with('#'));
    let byte =
        |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16).expect("a byte");
    lines.map(|line| line.as_bytes().chunks(2).map(byte).collect()).collect()
}

/// Nodes of different releases must understand each other during an upgrade.
#[test]
fn each_message_has_the_encoding_of_the_earlier_release() {
    let classes = ["other".to_string(), "render".to_string()];
    let messages = [
        GossipMessage::IdleConnectionLost,
        GossipMessage::RequestRejected { token: 9, class: RequestClassId(1) },
    ];
    let datagrams = datagrams();
    assert_eq!(datagrams.len(), messages.len());
    for (bytes, message) in datagrams.iter().zip(messages) {
        assert_eq!(decode(bytes, &classes), Some(message));
        assert_eq!(&encode(message, &classes), bytes);
    }
}
