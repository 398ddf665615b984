//! Descriptors that are no listening socket.
use super::*;

#[test]
fn what_is_no_listening_tcp_socket_is_said() {
    use std::os::fd::AsFd;
    let listening = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = std::net::TcpStream::connect(listening.local_addr().unwrap()).unwrap();
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    for (fd, expected) in [
        (listening.as_fd(), Ok(())),
        (connected.as_fd(), Err("does not listen")),
        (datagrams.as_fd(), Err("is no TCP socket")),
        (file.as_fd(), Err("is not an open socket")),
    ] {
        assert_eq!(check(fd), expected);
    }
    for odd in ["x", "-1", "2", "99999"] {
        assert!(listener(Some(odd)).unwrap_err().starts_with("ROUTER_PASSED_SOCKET: "), "{odd}");
    }
    assert!(listener(None).unwrap().is_none() && listener(Some("")).unwrap().is_none());
}
