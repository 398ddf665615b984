//! A minimal HTTP/1.1 client for hollow nodes: one request at a time, with responses of limited size.
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const MAX_HEAD_BYTES: usize = 8 * 1024;
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// The relevant parts of a response head.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    /// Whether the executor states that the attempt has not started.
    pub is_not_started: bool,
    /// Whether the connection can carry another request.
    pub is_reusable: bool,
    body: BodyState,
}

/// How much of a body remains to be read.
#[derive(Debug, PartialEq, Eq)]
enum BodyState {
    Length(usize),
    /// Chunks follow; the value is the number of bytes left of the current one.
    Chunks(usize),
    /// Everything until the connection is closed.
    UntilClose,
    Complete,
}

/// A connection to an executor or to discovery.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_string())
}

impl Connection {
    /// Connects from a free port of a local address.
    pub async fn open(source: Ipv4Addr, address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        // Permits the reuse of ports of recently closed connections, which could run out otherwise.
        socket.set_reuseaddr(true)?;
        socket.bind((source, 0).into())?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    pub async fn send(&mut self, request: &str) -> io::Result<()> {
        self.stream.write_all(request.as_bytes()).await
    }

    /// Returns whether the connection is open and no unexpected bytes have been received.
    pub fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_CHUNK_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Reads a line, without its line end.
    async fn read_line(&mut self) -> io::Result<String> {
        let mut scanned = 0;
        loop {
            if let Some(end) = self.buffer[scanned..].iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=scanned + end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            scanned = self.buffer.len();
            if scanned > MAX_HEAD_BYTES {
                return Err(invalid_data("a head line exceeds the size limit"));
            }
            if self.read_more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub async fn read_head(&mut self) -> io::Result<Head> {
        let status_line = self.read_line().await?;
        let status =
            status_line.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1)?.parse().ok());
        let status = status.ok_or_else(|| invalid_data("the status line is invalid"))?;
        let mut head = Head { status, is_not_started: false, is_reusable: true, body: BodyState::UntilClose };
        let mut size = status_line.len();
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                return Ok(head);
            }
            size += line.len();
            if size > MAX_HEAD_BYTES {
                return Err(invalid_data("the head exceeds the size limit"));
            }
            head.parse_field(&line)?;
        }
    }

    /// Appends the next part of a body to `output`; returns false at the end of the body.
    pub async fn read_body(&mut self, head: &mut Head, output: &mut Vec<u8>) -> io::Result<bool> {
        if let BodyState::Chunks(0) = head.body {
            head.body = match self.read_chunk_size().await? {
                0 => BodyState::Complete,
                size => BodyState::Chunks(size),
            };
        }
        let remaining = match head.body {
            BodyState::Complete | BodyState::Length(0) => return Ok(false),
            BodyState::Length(remaining) | BodyState::Chunks(remaining) => remaining,
            BodyState::UntilClose => usize::MAX,
        };
        if self.buffer.is_empty() && self.read_more().await? == 0 {
            return match head.body {
                BodyState::UntilClose => Ok(false),
                _ => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let consumed = remaining.min(self.buffer.len());
        output.extend(self.buffer.drain(..consumed));
        match &mut head.body {
            BodyState::Length(remaining) => *remaining -= consumed,
            BodyState::Chunks(remaining) => {
                *remaining -= consumed;
                if *remaining == 0 {
                    self.read_line().await?;
                }
            }
            BodyState::UntilClose | BodyState::Complete => {}
        }
        Ok(true)
    }

    async fn read_chunk_size(&mut self) -> io::Result<usize> {
        let line = self.read_line().await?;
        let digits = line.split(';').next().unwrap_or("").trim();
        let size =
            usize::from_str_radix(digits, 16).map_err(|_| invalid_data("the chunk size is invalid"))?;
        if size == 0 {
            // The peers send no trailers, so that only the empty line after the last chunk follows.
            self.read_line().await?;
        }
        Ok(size)
    }

    /// Reads the complete body and updates whether the connection can be reused.
    pub async fn read_full_body(&mut self, head: &mut Head, max_length: usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while self.read_body(head, &mut body).await? {
            if body.len() > max_length {
                return Err(invalid_data("the body exceeds the size limit"));
            }
        }
        head.is_reusable &= head.body != BodyState::UntilClose;
        Ok(body)
    }
}

impl Head {
    fn parse_field(&mut self, line: &str) -> io::Result<()> {
        let (name, value) =
            line.split_once(':').ok_or_else(|| invalid_data("a header field has no colon"))?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                self.body = BodyState::Length(
                    value.parse().map_err(|_| invalid_data("the Content-Length is invalid"))?,
                );
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => self.body = BodyState::Chunks(0),
            "connection" if value.eq_ignore_ascii_case("close") => self.is_reusable = false,
            "not-started" => self.is_not_started = value == "1",
            _ => {}
        }
        Ok(())
    }
}
