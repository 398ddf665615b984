//! The backlog of the listening socket.
use super::*;
use std::time::Duration;

#[tokio::test]
async fn a_burst_of_connections_waits_to_be_accepted() {
    let listener = listen(([127, 0, 0, 1], 0).into(), 1024).unwrap();
    let address = listener.local_addr().unwrap();
    // No connection is accepted meanwhile. One beyond the backlog would be established a second late, or never.
    let connect_timeout = Duration::from_millis(900);
    let connect = |_| std::net::TcpStream::connect_timeout(&address, connect_timeout).unwrap();
    let _burst: Vec<_> = (0..300).map(connect).collect();
}
