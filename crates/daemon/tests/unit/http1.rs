//! Bodies and response heads, byte by byte, and the end of the stream of a peer that sent much ahead.
use super::body::BodyDecoder;
use super::*;
use crate::byte_budget::ByteBudget;
use crate::ring_buffer::RingBuffer;
use bytes::BytesMut;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[test]
fn bodies_come_in_any_pieces() {
    let chunked = BodyDecoder::ChunkSize;
    for (body, text, max_bytes, expected) in [
        (BodyDecoder::Length(5), "helloGET", 5, Ok("hello")),
        (BodyDecoder::Length(6), "hello!", 5, Err(MessageError::BodyTooLarge)),
        (chunked, "5\r\nhello\r\n0\r\n\r\nGET", 5, Ok("hello")),
        (chunked, "2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nX: y\r\n\r\nGET", 5, Ok("hello")),
        (chunked, "2\r\nhe\r\n4\r\nllo!\r\n0\r\n\r\n", 5, Err(MessageError::BodyTooLarge)),
        (chunked, "2\r\nhello", 5, Err(MessageError::UnterminatedChunk)),
        (chunked, "g\r\n", 5, Err(MessageError::InvalidChunkSize)),
        (chunked, "fffffffffffffffff\r\n", 5, Err(MessageError::InvalidChunkSize)),
    ] {
        for step in 1..=text.len() {
            let mut input = RingBuffer::new(32, &ByteBudget::new(0));
            let (mut decoder, mut out) = (body, BytesMut::new());
            let mut decoded = Ok(false);
            let mut left = text.as_bytes();
            while decoded == Ok(false) && !left.is_empty() {
                let n = input.push(&left[..step.min(left.len())]);
                left = &left[n..];
                decoded = decoder.decode(&mut input, &mut out, max_bytes);
            }
            let complete = decoded.map(|is_complete| assert!(is_complete, "{text} by {step}"));
            assert_eq!(complete.map(|()| std::str::from_utf8(&out).unwrap()), expected, "{text} by {step}");
        }
    }
}

#[test]
fn response_heads_say_whether_the_connection_is_kept_alive() {
    for (text, status, body, keep) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", 200, BodyDecoder::Length(3), true),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n",
            200,
            BodyDecoder::Length(3),
            false,
        ),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", 200, BodyDecoder::ChunkSize, true),
        ("HTTP/1.1 200 OK\r\n\r\n", 200, BodyDecoder::UntilClose, false),
        ("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200, BodyDecoder::Done, false),
        ("HTTP/1.1 204 None\r\n\r\n", 204, BodyDecoder::Done, true),
    ] {
        let (head, n) = parse_response_head(text.as_bytes()).unwrap().unwrap();
        assert_eq!((head.status, head.body, head.keep_alive, n), (status, body, keep, text.len()), "{text}");
        assert!(parse_response_head(&text.as_bytes()[..n - 1]).unwrap().is_none(), "{text}");
    }
    assert!(parse_response_head(b"SSH-2.0-x\r\n\r\n").is_err());
}

/// However much input precedes it: more than the buffer, and more than the system receives unread.
#[tokio::test]
async fn the_end_of_a_stream_is_seen_behind_pipelined_input() {
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
        let both = async { tokio::join!(sends, connection.closed_by_peer()) };
        assert!(timeout(Duration::from_secs(4), both).await.is_ok(), "{ahead} {reset}");
        assert_eq!(connection.has_discarded_input(), ahead > 16 * 1024, "{ahead}");
        assert_eq!(connection.has_buffered_input(), ahead > 0 && ahead <= 16 * 1024, "{ahead}");
    }
}
