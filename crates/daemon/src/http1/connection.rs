//! Buffered HTTP/1.1 connections.
use super::body::BodyDecoder;
use super::error::{MessageError, ReceiveError};
use super::head::{self, Parsed, RequestHead, ResponseHead};
use crate::byte_budget::ByteBudget;
use crate::ring_buffer::RingBuffer;
use bytes::BytesMut;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Bytes of a peer's input that are discarded without a pause while waiting for the end of its stream. The system holds
/// some 10 MB on both sides of a connection, behind which the end has to be seen within 100 ms.
const DISCARD_BURST_BYTES: usize = 512 * 1024;

/// Pause after each burst of discarded bytes, which bounds the load that a peer sending at full speed causes.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);

/// Number of reads and writes of one connection after which other tasks run. A peer that sends at full speed makes each
/// of them complete without a wait, so that the task of its connection would never end its turn.
const MAX_IO_PER_TURN: u32 = 16;

/// A socket with an input and an output buffer.
pub struct Connection {
    stream: TcpStream,
    input: RingBuffer,
    output: RingBuffer,
    /// Bytes of input that were discarded; if there are any, no further message can be parsed.
    discarded_bytes: usize,
    /// Reads and writes since other tasks last ran.
    io_in_turn: u32,
}

impl Connection {
    /// A connection whose buffers take up to `buffer_bytes` each, and more than their first size only as far as
    /// `buffer_budget` allows.
    pub fn new(stream: TcpStream, buffer_bytes: usize, buffer_budget: &Rc<ByteBudget>) -> Self {
        // Nagle's algorithm would delay small messages; a socket that refuses the option is served all the same.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            input: RingBuffer::new(buffer_bytes, buffer_budget),
            output: RingBuffer::new(buffer_bytes, buffer_budget),
            discarded_bytes: 0,
            io_in_turn: 0,
        }
    }

    /// Lets other tasks run if this connection has had its turn. Unlike the cooperative budget of the runtime, this leaves
    /// timeouts of the same task pollable.
    async fn end_turn_if_due(&mut self) {
        self.io_in_turn += 1;
        if self.io_in_turn >= MAX_IO_PER_TURN {
            self.io_in_turn = 0;
            yield_now().await;
        }
    }

    /// Waits for more input and returns the number of bytes read, or 0 at the end of the stream.
    pub async fn read(&mut self) -> io::Result<usize> {
        self.end_turn_if_due().await;
        loop {
            self.stream.readable().await?;
            let stream = &self.stream;
            match self.input.read_from(|parts| stream.try_read_vectored(parts)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    /// Writes all parts.
    ///
    /// # Errors
    /// If the connection broke; the last byte has not been written then.
    pub async fn write(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        for part in parts {
            let mut unbuffered = *part;
            loop {
                unbuffered = &unbuffered[self.output.push(unbuffered)..];
                if unbuffered.is_empty() {
                    break;
                }
                self.flush_some().await?;
            }
        }
        while !self.output.is_empty() {
            self.flush_some().await?;
        }
        self.output.release();
        Ok(())
    }

    /// Writes some of the buffered output.
    async fn flush_some(&mut self) -> io::Result<()> {
        self.end_turn_if_due().await;
        loop {
            let stream = &self.stream;
            match self.output.write_to(|parts| stream.try_write_vectored(parts)) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.stream.writable().await?,
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads the next request's head; none if the client closed the connection between two requests.
    ///
    /// # Errors
    /// If the connection ends inside the head, breaks, or if the head is refused.
    pub async fn read_request_head(&mut self) -> Result<Option<RequestHead>, ReceiveError> {
        self.read_head(head::parse_request_head).await
    }

    /// Reads the head of the next final response; interim responses are skipped (RFC 9110, section 15.2).
    ///
    /// # Errors
    /// If the connection ends before or inside the head, breaks, or if the head is refused.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, ReceiveError> {
        loop {
            let head = self.read_head(head::parse_response_head).await?;
            let head = head.ok_or(ReceiveError::UnexpectedEof)?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    async fn read_head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<Parsed<T>>, MessageError>,
    ) -> Result<Option<T>, ReceiveError> {
        loop {
            if let Some((head, length)) = parse(self.input.bytes())? {
                self.input.consume(length);
                return Ok(Some(head));
            }
            if self.input.is_full() {
                return Err(self.full_buffer_error().into());
            }
            if self.read().await? == 0 {
                return if self.input.is_empty() { Ok(None) } else { Err(ReceiveError::UnexpectedEof) };
            }
        }
    }

    fn full_buffer_error(&self) -> MessageError {
        match self.input.has_max_size() {
            true => MessageError::HeadTooLarge,
            false => MessageError::NoBufferMemory,
        }
    }

    /// Moves the part of a body that is already buffered to `out`. Returns true if the body is complete.
    ///
    /// # Errors
    /// If the framing is malformed, or if `out` would exceed `max_bytes`.
    pub fn take_buffered_body(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<bool, MessageError> {
        body.decode(&mut self.input, out, max_bytes)
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    /// If the connection ends inside the body or breaks, if the framing is malformed, or if `out` would exceed
    /// `max_bytes`.
    pub async fn read_body(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<(), ReceiveError> {
        self.read_body_until(body, out, max_bytes, |_| false).await?;
        Ok(())
    }

    /// Reads a body until `out` contains a line feed. Returns true if the body is complete.
    ///
    /// # Errors
    /// As [`Connection::read_body`].
    pub async fn read_body_line(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<bool, ReceiveError> {
        self.read_body_until(body, out, max_bytes, |out| out.contains(&b'\n')).await
    }

    /// Reads a body until `out` is not empty. Returns true if the body is complete.
    ///
    /// # Errors
    /// As [`Connection::read_body`].
    pub async fn read_body_part(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<bool, ReceiveError> {
        self.read_body_until(body, out, max_bytes, |out| !out.is_empty()).await
    }

    async fn read_body_until(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut BytesMut,
        max_bytes: usize,
        is_sufficient: impl Fn(&BytesMut) -> bool,
    ) -> Result<bool, ReceiveError> {
        loop {
            if body.decode(&mut self.input, out, max_bytes)? {
                return Ok(true);
            }
            if is_sufficient(out) {
                return Ok(false);
            }
            if self.read().await? > 0 {
                continue;
            }
            if *body != BodyDecoder::UntilClose {
                return Err(ReceiveError::UnexpectedEof);
            }
            *body = BodyDecoder::Done;
            return Ok(true);
        }
    }

    /// Whether input of a next message is buffered.
    pub fn has_buffered_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Completes when the peer closes its sending side or the connection breaks.
    ///
    /// Input that arrives meanwhile is buffered for the next message. The end of the stream can only be detected
    /// behind that input, so if the buffer is full, it is discarded, and the connection cannot be reused.
    pub async fn closed_by_peer(&mut self) {
        loop {
            if self.input.is_full() || self.has_discarded_input() {
                self.discard_input().await;
            }
            match self.read().await {
                Ok(0) => return,
                Ok(_) => {}
                // The shared budget of all connections is used up; this connection itself is still open.
                Err(error) if error.kind() == io::ErrorKind::OutOfMemory => sleep(DISCARD_PAUSE).await,
                Err(_) => return,
            }
        }
    }

    async fn discard_input(&mut self) {
        let bursts_before = self.discarded_bytes / DISCARD_BURST_BYTES;
        self.discarded_bytes += self.input.len().max(1);
        self.input.consume(self.input.len());
        if self.discarded_bytes / DISCARD_BURST_BYTES > bursts_before {
            sleep(DISCARD_PAUSE).await;
        }
    }

    /// Whether input was discarded, so that no further message can be read.
    pub fn has_discarded_input(&self) -> bool {
        self.discarded_bytes > 0
    }

    /// Closes the sending side and waits up to `max_wait` for the peer to close its own, so that a reset does not
    /// destroy the last response in transit (RFC 9112, section 9.6). Up to `max_bytes` of input are discarded
    /// meanwhile.
    pub async fn lingering_close(&mut self, max_wait: Duration, max_bytes: usize) {
        let _ = socket2::SockRef::from(&self.stream).shutdown(Shutdown::Write);
        let peer_closes = async {
            let mut discarded_bytes = 0;
            while discarded_bytes < max_bytes {
                self.input.consume(self.input.len());
                match self.read().await {
                    Ok(count) if count > 0 => discarded_bytes += count,
                    _ => return,
                }
            }
            std::future::pending().await
        };
        let _ = timeout(max_wait, peer_closes).await;
    }

    /// Makes the drop of this connection reset it, so that output in the system's send buffer is not delivered
    /// any more. Otherwise a slow or unreachable peer could receive a request long after its attempt has ended.
    pub fn reset_on_drop(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Releases the memory of empty buffers.
    pub fn release_buffers(&mut self) {
        self.input.release();
        self.output.release();
    }

    /// Whether an idle connection may be reused: neither input nor the end of the stream has arrived.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        let has_no_input = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        has_no_input && !self.has_buffered_input()
    }
}
