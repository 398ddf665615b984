//! The listening socket.
use super::*;
use std::time::Duration;

#[tokio::test]
async fn a_burst_of_connections_waits_to_be_accepted() {
    let listener = listen(([127, 0, 0, 1], 0).into(), 1024).unwrap();
    let addr = listener.local_addr().unwrap();
    // Nobody accepts meanwhile; a connection that the queue has no room for comes up a second late, or never.
    let wait = Duration::from_millis(900);
    let connect = |_| std::net::TcpStream::connect_timeout(&addr, wait).unwrap();
    let _burst: Vec<_> = (0..300).map(connect).collect();
}
