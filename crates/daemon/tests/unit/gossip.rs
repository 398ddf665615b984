//! Sharing of a gossip address between the processes of a node.
use super::*;

#[tokio::test]
async fn an_address_can_be_bound_twice_only_for_shared_use() {
    let free = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).unwrap();
    let _first = GossipSocket::listen(free, Vec::new(), AddressUse::Shared).expect("the address is free");
    assert!(GossipSocket::listen(free, Vec::new(), AddressUse::Shared).is_ok());
    assert!(GossipSocket::listen(free, Vec::new(), AddressUse::Exclusive).is_err());
}
