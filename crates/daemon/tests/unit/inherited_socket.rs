//! Validation of an inherited descriptor.
use super::*;

#[test]
fn descriptors_other_than_listening_tcp_sockets_are_errors() {
    use std::os::fd::AsFd;
    let listening = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = std::net::TcpStream::connect(listening.local_addr().unwrap()).unwrap();
    let datagrams = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    for (fd, expected) in [
        (listening.as_fd(), Ok(())),
        (connected.as_fd(), Err("is not a listening socket")),
        (datagrams.as_fd(), Err("is not a TCP socket")),
        (file.as_fd(), Err("is not an open socket")),
    ] {
        let checked = check(fd).map_err(|error| error.to_string());
        match expected {
            Ok(()) => assert_eq!(checked, Ok(())),
            Err(expected) => assert!(checked.unwrap_err().to_string().starts_with(expected), "{expected}"),
        }
    }
    for descriptor in ["x", "-1", "2", "99999"] {
        assert!(
            take_listener(Some(descriptor)).unwrap_err().to_string().starts_with("ROUTER_PASSED_SOCKET: "),
            "{descriptor}"
        );
    }
    assert!(take_listener(None).unwrap().is_none() && take_listener(Some("")).unwrap().is_none());
}
