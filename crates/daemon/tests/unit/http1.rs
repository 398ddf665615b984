//! Bodies and answer heads, byte by byte, and the end of a peer that sent much ahead.
use super::*;

#[test]
fn bodies_come_in_any_pieces() {
    let chunked = Body::ChunkSize;
    for (body, text, most, expected) in [
        (Body::Length(5), "helloGET", 5, Ok("hello")),
        (Body::Length(6), "hello!", 5, Err(Bad::BodyTooLarge)),
        (chunked, "5\r\nhello\r\n0\r\n\r\nGET", 5, Ok("hello")),
        (chunked, "2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nX: y\r\n\r\nGET", 5, Ok("hello")),
        (chunked, "2\r\nhe\r\n4\r\nllo!\r\n0\r\n\r\n", 5, Err(Bad::BodyTooLarge)),
        (chunked, "2\r\nhello", 5, Err(Bad::Malformed("a chunk does not end"))),
        (chunked, "g\r\n", 5, Err(Bad::Malformed("odd chunk size"))),
        (chunked, "fffffffffffffffff\r\n", 5, Err(Bad::Malformed("odd chunk size"))),
    ] {
        for step in 1..=text.len() {
            let mut input = RingBuffer::new(32, &ByteBudget::new(0));
            let (mut state, mut out) = (body, BytesMut::new());
            let mut got = Ok(false);
            let mut left = text.as_bytes();
            while got == Ok(false) && !left.is_empty() {
                let n = input.push(&left[..step.min(left.len())]);
                left = &left[n..];
                got = state.take(&mut input, &mut out, most);
            }
            let got = got.map(|whole| assert!(whole, "{text} by {step}"));
            assert_eq!(got.map(|()| std::str::from_utf8(&out).unwrap()), expected, "{text} by {step}");
        }
    }
}

#[test]
fn answer_heads_say_whether_the_connection_may_be_kept() {
    for (text, status, body, keep) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", 200, Body::Length(3), true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n", 200, Body::Length(3), false),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", 200, Body::ChunkSize, true),
        ("HTTP/1.1 200 OK\r\n\r\n", 200, Body::UntilEnd, false),
        ("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200, Body::Done, false),
        ("HTTP/1.1 204 None\r\n\r\n", 204, Body::Done, true),
    ] {
        let (head, n) = answer_head(text.as_bytes()).unwrap().unwrap();
        assert_eq!((head.status, head.body, head.keep, n), (status, body, keep, text.len()), "{text}");
        assert!(answer_head(&text.as_bytes()[..n - 1]).unwrap().is_none(), "{text}");
    }
    assert!(answer_head(b"SSH-2.0-x\r\n\r\n").is_err());
}

/// However much it sent ahead of it: more than the ring, and more than the system takes in unread.
#[tokio::test]
async fn the_end_of_one_that_sent_much_ahead_is_seen() {
    for (ahead, reset) in [(0, false), (100, false), (100_000, false), (4_000_000, false), (100_000, true)] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = Connection::new(stream, 16 * 1024, &ByteBudget::new(1 << 20));
        let sends = async {
            tokio::io::AsyncWriteExt::write_all(&mut peer, &vec![7; ahead]).await.unwrap();
            if reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(peer);
        };
        let both = async { tokio::join!(sends, connection.gone()) };
        assert!(timeout(Duration::from_secs(4), both).await.is_ok(), "{ahead} {reset}");
        assert_eq!(connection.is_overrun(), ahead > 16 * 1024, "{ahead}");
        assert_eq!(connection.has_input(), ahead > 0 && ahead <= 16 * 1024, "{ahead}");
    }
}
