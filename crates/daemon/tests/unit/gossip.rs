//! Which processes may share an address for gossip.
use super::*;

#[tokio::test]
async fn only_processes_that_share_an_address_can_have_the_same() {
    let free = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).unwrap();
    let _first = GossipSocket::listen(free, Vec::new(), AddressUse::Shared).expect("it is free");
    assert!(GossipSocket::listen(free, Vec::new(), AddressUse::Shared).is_ok());
    assert!(GossipSocket::listen(free, Vec::new(), AddressUse::Exclusive).is_err());
}
