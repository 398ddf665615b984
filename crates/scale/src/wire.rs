//! A minimal HTTP/1.1 connection for the test kit, as client and as server, which counts all bytes.
use std::io;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum length in bytes of a message head and of a body; a longer one is an error.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
const MAX_HEADER_FIELDS: usize = 32;
const READ_CHUNK_BYTES: usize = 4096;
/// Maximum number of connections that wait to be accepted at one listener.
const BACKLOG: u32 = 128;

/// A request or a response with its body.
#[derive(Debug, Default)]
pub struct Message {
    /// Method of a request; empty in a response.
    pub method: String,
    pub target: String,
    /// Status code of a response; 0 in a request.
    pub status: u16,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte of the message was read.
    pub first_byte_at: Option<Instant>,
}

impl Message {
    /// Returns the value of a header field; names are compared case-insensitively.
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(field_name, _)| field_name.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn has_connection_close(&self) -> bool {
        self.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageType {
    Request,
    Response,
}

/// One connection, used as a client or as a server.
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were read and not yet consumed.
    buffer: Vec<u8>,
    first_byte_at: Option<Instant>,
    pub bytes_read: u64,
    pub bytes_written: u64,
}

fn malformed(reason: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_string())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without TCP_NODELAY, Nagle's algorithm delays small responses.
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), first_byte_at: None, bytes_read: 0, bytes_written: 0 }
    }

    /// # Errors
    /// If the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.bytes_written += bytes.len() as u64;
        Ok(())
    }

    /// Reads the next request; returns `None` if the peer closed the connection before it.
    ///
    /// # Errors
    /// If the connection fails or the bytes are not a valid request.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        self.read_message(MessageType::Request).await
    }

    /// Reads the next response; returns `None` if the peer closed the connection before it.
    ///
    /// # Errors
    /// If the connection fails or the bytes are not a valid response.
    pub async fn read_response(&mut self) -> io::Result<Option<Message>> {
        self.read_message(MessageType::Response).await
    }

    /// Waits until the peer closes the connection or it fails; bytes received meanwhile stay in the buffer.
    pub async fn wait_closed(&mut self) {
        while matches!(self.read_more().await, Ok(true)) {}
    }

    /// Returns whether bytes were received that belong to no expected response.
    pub fn has_unexpected_bytes(&mut self) -> bool {
        let mut byte = [0; 1];
        !self.buffer.is_empty() || matches!(self.stream.try_read(&mut byte), Ok(1))
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Reads available bytes into the buffer; returns false at the end of the stream.
    async fn read_more(&mut self) -> io::Result<bool> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(malformed("the message exceeds the size limit"));
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.first_byte_at.get_or_insert_with(Instant::now);
        self.bytes_read += count as u64;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    async fn read_message(&mut self, message_type: MessageType) -> io::Result<Option<Message>> {
        let (mut message, head_length) = loop {
            if let Some(parsed) = parse_head(&self.buffer, message_type)? {
                break parsed;
            }
            if !self.read_more().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(malformed("the connection closed within a message head"))
                };
            }
        };
        let is_chunked = message.field("transfer-encoding").is_some();
        let length = match message.field("content-length") {
            Some(length) => length.parse().map_err(malformed)?,
            None => 0,
        };
        self.buffer.drain(..head_length);
        if is_chunked {
            message.body = self.read_chunks().await?;
        } else {
            message.body = self.read_exact(length).await?;
        }
        message.first_byte_at = self.first_byte_at.take();
        Ok(Some(message))
    }

    async fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MAX_MESSAGE_BYTES {
            return Err(malformed("the body exceeds the size limit"));
        }
        while self.buffer.len() < length {
            if !self.read_more().await? {
                return Err(malformed("the connection closed within a message body"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(malformed)?;
            body.extend(self.read_exact(size).await?);
            self.read_line().await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return String::from_utf8(line).map_err(malformed);
            }
            if !self.read_more().await? {
                return Err(malformed("the connection closed within a chunk line"));
            }
        }
    }
}

/// Parses the message head at the start of a buffer; returns the head and its length, or `None` if it is incomplete.
fn parse_head(buffer: &[u8], message_type: MessageType) -> io::Result<Option<(Message, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut message = Message::default();
    let parsed = match message_type {
        MessageType::Request => {
            let mut request = httparse::Request::new(&mut fields);
            let parsed = request.parse(buffer).map_err(malformed)?;
            message.method = request.method.unwrap_or_default().into();
            message.target = request.path.unwrap_or_default().into();
            message.fields = to_owned_fields(request.headers);
            parsed
        }
        MessageType::Response => {
            let mut response = httparse::Response::new(&mut fields);
            let parsed = response.parse(buffer).map_err(malformed)?;
            message.status = response.code.unwrap_or_default();
            message.fields = to_owned_fields(response.headers);
            parsed
        }
    };
    match parsed {
        httparse::Status::Complete(length) => Ok(Some((message, length))),
        httparse::Status::Partial => Ok(None),
    }
}

fn to_owned_fields(fields: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    fields.iter().map(|field| (field.name.to_string(), text(field.value))).collect()
}

/// Listens at an address, even if it was in use a moment ago.
///
/// # Errors
/// If the address is not local or is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Encodes a complete response.
pub fn encode_response(status: u16, extra_fields: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\n{extra_fields}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Head of a response with a chunked body.
pub const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes one chunk of a body.
pub fn encode_chunk(bytes: &str) -> Vec<u8> {
    format!("{:x}\r\n{bytes}\r\n", bytes.len()).into_bytes()
}
