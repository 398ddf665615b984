//! Who may share an address for datagrams.
use super::*;

#[tokio::test]
async fn only_a_next_process_shares_an_address() {
    let free = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).unwrap();
    let _first = GossipSocket::listen(free, Vec::new(), true).expect("it is free");
    assert!(
        GossipSocket::listen(free, Vec::new(), true).is_ok()
            && GossipSocket::listen(free, Vec::new(), false).is_err()
    );
}
