//! Decoding of bodies and response heads byte by byte, and the end of a stream behind pipelined input.
use super::body::BodyDecoder;
use super::*;
use crate::byte_budget::ByteBudget;
use crate::ring_buffer::RingBuffer;
use bytes::BytesMut;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
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
        (chunked, &format!("0\r\n{}\r\nGET", "X: y\r\n".repeat(2700)), 5, Ok("")),
        (chunked, &format!("0\r\n{}", "X: y\r\n".repeat(2800)), 5, Err(MessageError::HeadTooLarge)),
    ] {
        for step in 1..=text.len().min(100) {
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

/// An attempt must not begin later than 100 ms after its client has closed, however much the client sent before.
#[tokio::test(start_paused = true)]
async fn the_end_of_a_stream_is_seen_in_time_behind_all_that_the_system_holds() {
    const SYSTEM_BUFFER_BYTES: usize = 10 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut connection = Connection::new(stream, 16 * 1024, &ByteBudget::new(1 << 20));
    let sender = std::thread::spawn(move || {
        std::io::Write::write_all(&mut peer, &vec![7; SYSTEM_BUFFER_BYTES]).unwrap();
    });
    // The clock is paused, so that it shows the pauses alone.
    let started_at = tokio::time::Instant::now();
    connection.closed_by_peer().await;
    let pauses = started_at.elapsed();
    assert!(pauses < Duration::from_millis(100), "{pauses:?} of pauses");
    sender.join().unwrap();
}

/// Guards against connections that are closed without an answer: two processes that reserve memory at once exceed the
/// limit together, and a connection that needed none of it failed at its first read.
#[tokio::test]
async fn a_small_message_needs_none_of_the_memory_that_connections_share() {
    const LIMIT: usize = 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let budget = ByteBudget::new(LIMIT);
    budget.set_used_by_sibling(LIMIT + 1);
    assert!(!budget.can_reserve(1));
    let mut connection = Connection::new(stream, 16 * 1024, &budget);
    peer.write_all(b"GET / HTTP/1.1\r\nHost: n\r\n\r\n").await.unwrap();
    assert!(connection.read_request_head().await.unwrap().is_some());
    connection.write(&[b"HTTP/1.1 200 OK\r\n\r\n", &[b'r'; 10_000]]).await.unwrap();
    // A head that needs more is refused for the time being, and is not too large.
    let head = format!("GET / HTTP/1.1\r\nHost: n\r\nX: {}\r\n\r\n", "x".repeat(4000));
    peer.write_all(head.as_bytes()).await.unwrap();
    let refused = connection.read_request_head().await.unwrap_err();
    assert!(matches!(refused, ReceiveError::Message(MessageError::NoBufferMemory)), "{refused}");
    assert_eq!(MessageError::NoBufferMemory.status(), 503);
}

/// Guards against a peer that sends at full speed and keeps all other connections of the thread from being served.
#[tokio::test]
async fn a_connection_with_input_at_any_time_lets_other_tasks_run() {
    const BUFFER_BYTES: usize = 256;
    const READS: usize = 200;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    // All of it fits into the buffers of the system, so that no read has to wait.
    peer.write_all(&[b'x'; BUFFER_BYTES * READS]).await.unwrap();
    let mut connection = Connection::new(stream, BUFFER_BYTES, &ByteBudget::new(0));
    let turns = Arc::new(AtomicUsize::new(0));
    let counted = turns.clone();
    let other = tokio::spawn(async move {
        loop {
            counted.fetch_add(1, Ordering::Relaxed);
            yield_now().await;
        }
    });
    let (mut body, mut out) = (BodyDecoder::Length(BUFFER_BYTES * READS), BytesMut::new());
    connection.read_body(&mut body, &mut out, BUFFER_BYTES * READS).await.unwrap();
    let turns_beside_reads = turns.load(Ordering::Relaxed);
    assert!(turns_beside_reads >= READS / 32, "{turns_beside_reads} turns beside {READS} reads");
    // Responses that are written without a wait count as well.
    for _ in 0..READS {
        connection.write(&[b"y"]).await.unwrap();
    }
    let turns_beside_writes = turns.load(Ordering::Relaxed) - turns_beside_reads;
    assert!(turns_beside_writes >= READS / 32, "{turns_beside_writes} turns beside {READS} writes");
    other.abort();
}

/// A wait that is bounded must end in time although the peer never stops to send.
#[tokio::test]
async fn a_read_without_end_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let sender =
        std::thread::spawn(move || while std::io::Write::write_all(&mut peer, &[b'\n'; 65536]).is_ok() {});
    let mut connection = Connection::new(stream, 1024, &ByteBudget::new(0));
    let endless = async {
        loop {
            connection.read().await.unwrap();
            let (mut body, mut out) = (BodyDecoder::UntilClose, BytesMut::new());
            connection.take_buffered_body(&mut body, &mut out, 65536).unwrap();
        }
    };
    assert!(timeout(Duration::from_millis(20), endless).await.is_err());
    drop(connection);
    sender.join().unwrap();
}
