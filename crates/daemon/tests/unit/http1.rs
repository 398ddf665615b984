//! Decoding of bodies and response heads byte by byte, and the end of a stream behind pipelined input.
use super::body::BodyDecoder;
use super::*;
use crate::byte_budget::ByteBudget;
use crate::ring_buffer::RingBuffer;
use bytes::BytesMut;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[test]
fn bodies_are_decoded_in_pieces_of_any_size() {
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
            let mut rest = text.as_bytes();
            while decoded == Ok(false) && !rest.is_empty() {
                let pushed = input.push(&rest[..step.min(rest.len())]);
                rest = &rest[pushed..];
                decoded = decoder.decode(&mut input, &mut out, max_bytes);
            }
            let complete = decoded.map(|is_complete| assert!(is_complete, "{text} by {step}"));
            assert_eq!(complete.map(|()| std::str::from_utf8(&out).unwrap()), expected, "{text} by {step}");
        }
    }
}

#[test]
fn a_response_head_determines_the_framing_and_whether_the_connection_persists() {
    for (text, status, body, keep_alive) in [
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
        let (head, length) = parse_response_head(text.as_bytes()).unwrap().unwrap();
        assert_eq!(
            (head.status, head.body, head.keep_alive, length),
            (status, body, keep_alive, text.len()),
            "{text}"
        );
        assert!(parse_response_head(&text.as_bytes()[..length - 1]).unwrap().is_none(), "{text}");
    }
    assert!(parse_response_head(b"SSH-2.0-x\r\n\r\n").is_err());
}

/// The node must notice a disconnect even if the input in front of it exceeds its buffer, or the system's receive
/// buffer.
#[tokio::test]
async fn the_end_of_a_stream_is_seen_behind_pipelined_input() {
    for (pipelined_bytes, is_reset) in
        [(0, false), (100, false), (100_000, false), (4_000_000, false), (100_000, true)]
    {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = Connection::new(stream, 16 * 1024, &ByteBudget::new(1 << 20));
        let sends = async {
            tokio::io::AsyncWriteExt::write_all(&mut peer, &vec![7; pipelined_bytes]).await.unwrap();
            if is_reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(peer);
        };
        let both = async { tokio::join!(sends, connection.closed_by_peer()) };
        assert!(timeout(Duration::from_secs(4), both).await.is_ok(), "{pipelined_bytes} {is_reset}");
        assert_eq!(connection.has_discarded_input(), pipelined_bytes > 16 * 1024, "{pipelined_bytes}");
        assert_eq!(
            connection.has_buffered_input(),
            pipelined_bytes > 0 && pipelined_bytes <= 16 * 1024,
            "{pipelined_bytes}"
        );
    }
}
