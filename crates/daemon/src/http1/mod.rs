//! HTTP/1.1 on a connection: heads, framing, and the socket with its two rings. What the heads mean to the
//! dispatcher stands in `words.rs`.
use crate::byte_budget::ByteBudget;
use crate::ring_buffer::RingBuffer;
use bytes::{Bytes, BytesMut};
use std::fmt;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const MOST_HEADERS: usize = 64;

/// Of what a client sends ahead without end, so much is dropped at once and then none for a while.
const DROPPED_AT_ONCE: usize = 64 * 1024;
const DROPPED_APART: Duration = Duration::from_millis(10);

/// Tells a client that asks first that its body is welcome.
pub const GO_ON: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a message cannot be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bad {
    Malformed(&'static str),
    HeadTooLarge,
    BodyTooLarge,
    /// A transfer coding that is not known.
    Coding,
}

impl Bad {
    pub fn status(self) -> u16 {
        match self {
            Bad::Malformed(_) => 400,
            Bad::HeadTooLarge => 431,
            Bad::BodyTooLarge => 413,
            Bad::Coding => 501,
        }
    }
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Bad::Malformed(what) => f.write_str(what),
            Bad::HeadTooLarge => f.write_str("the head is too large"),
            Bad::BodyTooLarge => f.write_str("the body is too large"),
            Bad::Coding => f.write_str("unknown transfer coding"),
        }
    }
}

/// Why reading a message ended without one.
#[derive(Debug)]
pub enum Failed {
    Bad(Bad),
    Broken(io::Error),
    /// The other side ended its sending inside a message.
    Ended,
}

impl From<Bad> for Failed {
    fn from(bad: Bad) -> Self {
        Failed::Bad(bad)
    }
}

impl From<io::Error> for Failed {
    fn from(e: io::Error) -> Self {
        Failed::Broken(e)
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failed::Bad(bad) => bad.fmt(f),
            Failed::Broken(e) => e.fmt(f),
            Failed::Ended => f.write_str("ended inside a message"),
        }
    }
}

/// Header fields in their order; names as they were written.
#[derive(Debug, Default)]
pub struct Headers(pub Vec<(String, Bytes)>);

impl Headers {
    fn of(parsed: &[httparse::Header]) -> Self {
        Headers(parsed.iter().map(|h| (h.name.into(), Bytes::copy_from_slice(h.value))).collect())
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The one value of this field as text: none where it is missing, an error where it is said twice over.
    pub fn one(&self, name: &str) -> Result<Option<&str>, Bad> {
        let mut found = None;
        for (n, value) in &self.0 {
            if n.eq_ignore_ascii_case(name) {
                let text = std::str::from_utf8(value).map_err(|_| Bad::Malformed("a field is not text"))?;
                if found.replace(text.trim()).is_some() {
                    return Err(Bad::Malformed("a field is said twice"));
                }
            }
        }
        Ok(found)
    }

    /// Whether a list-valued field holds this word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let texts = self.all(name).filter_map(|value| std::str::from_utf8(value).ok());
        texts.flat_map(|text| text.split(',')).any(|part| part.trim().eq_ignore_ascii_case(word))
    }
}

/// How a body is told from what follows it, and how much of it has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    Length(usize),
    ChunkSize,
    ChunkData(usize),
    ChunkEnd,
    Trailers,
    /// All until the connection ends; answers alone may have that.
    UntilEnd,
    Done,
}

impl Body {
    fn of(headers: &Headers, answer: bool) -> Result<Body, Bad> {
        let mut length = None;
        for value in headers.all("content-length") {
            let text = std::str::from_utf8(value).unwrap_or("").trim();
            let n =
                Some(text).filter(|t| !t.is_empty() && t.len() < 16 && t.bytes().all(|b| b.is_ascii_digit()));
            let n: usize = n.and_then(|t| t.parse().ok()).ok_or(Bad::Malformed("odd content length"))?;
            if length.replace(n).is_some_and(|other| other != n) {
                return Err(Bad::Malformed("two content lengths"));
            }
        }
        let mut codings = headers.all("transfer-encoding");
        match (codings.next(), codings.next(), length) {
            (None, _, Some(0)) => Ok(Body::Done),
            (None, _, Some(n)) => Ok(Body::Length(n)),
            (None, _, None) => Ok(if answer { Body::UntilEnd } else { Body::Done }),
            // Both at once is how requests are smuggled past a node.
            (Some(_), _, Some(_)) => Err(Bad::Malformed("a length and a coding")),
            (Some(c), None, None) if c.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(Body::ChunkSize),
            _ => Err(Bad::Coding),
        }
    }

    /// Moves what has come of the body from the ring to `out`, which may hold `most`; true with its end.
    ///
    /// Framing that is broken, or more than `most`, is an error.
    pub fn take(&mut self, input: &mut RingBuffer, out: &mut BytesMut, most: usize) -> Result<bool, Bad> {
        loop {
            let bytes = input.bytes();
            let have = bytes.len();
            match *self {
                Body::Done => return Ok(true),
                Body::Length(left) | Body::ChunkData(left) => {
                    if out.len() + left > most {
                        return Err(Bad::BodyTooLarge);
                    }
                    let n = have.min(left);
                    out.extend_from_slice(&bytes[..n]);
                    input.consume(n);
                    *self = match *self {
                        Body::Length(_) if n == left => Body::Done,
                        Body::Length(_) => Body::Length(left - n),
                        _ if n == left => Body::ChunkEnd,
                        _ => Body::ChunkData(left - n),
                    };
                    if n < left {
                        return Ok(false);
                    }
                }
                Body::ChunkSize => {
                    match httparse::parse_chunk_size(bytes) {
                        Ok(httparse::Status::Complete((n, size))) => {
                            let size = usize::try_from(size).map_err(|_| Bad::BodyTooLarge)?;
                            input.consume(n);
                            *self = if size == 0 { Body::Trailers } else { Body::ChunkData(size) };
                        }
                        Ok(httparse::Status::Partial) if have < 256 => return Ok(false),
                        _ => return Err(Bad::Malformed("odd chunk size")),
                    };
                }
                Body::ChunkEnd => {
                    if !b"\r\n".starts_with(&bytes[..have.min(2)]) {
                        return Err(Bad::Malformed("a chunk does not end"));
                    }
                    if have < 2 {
                        return Ok(false);
                    }
                    input.consume(2);
                    *self = Body::ChunkSize;
                }
                Body::Trailers => match bytes.windows(2).position(|pair| pair == b"\r\n") {
                    Some(at) => {
                        input.consume(at + 2);
                        if at == 0 {
                            *self = Body::Done;
                        }
                    }
                    None if input.is_full() => return Err(Bad::HeadTooLarge),
                    None => return Ok(false),
                },
                Body::UntilEnd => {
                    if out.len() + have > most {
                        return Err(Bad::BodyTooLarge);
                    }
                    out.extend_from_slice(bytes);
                    input.consume(have);
                    return Ok(false);
                }
            }
        }
    }
}

#[derive(Debug)]
pub struct RequestHead {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Body,
    pub keep: bool,
    /// The client wants to hear that its body is welcome before it sends it.
    pub asks_first: bool,
}

#[derive(Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
    pub body: Body,
    pub keep: bool,
}

fn kept(headers: &Headers, version: u8) -> bool {
    !headers.lists("connection", "close") && (version >= 1 || headers.lists("connection", "keep-alive"))
}

fn bad_head(e: httparse::Error) -> Bad {
    match e {
        httparse::Error::TooManyHeaders => Bad::HeadTooLarge,
        _ => Bad::Malformed("malformed head"),
    }
}

/// The head at the front of these bytes and its length, once it is whole.
pub fn request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(n) = parsed.parse(bytes).map_err(bad_head)? else { return Ok(None) };
    let headers = Headers::of(parsed.headers);
    let version = parsed.version.unwrap_or(1);
    if version >= 1 && headers.one("host")?.is_none() {
        return Err(Bad::Malformed("no host"));
    }
    let head = RequestHead {
        method: parsed.method.unwrap_or("").into(),
        target: parsed.path.unwrap_or("").into(),
        body: Body::of(&headers, false)?,
        keep: kept(&headers, version),
        asks_first: headers.lists("expect", "100-continue"),
        headers,
    };
    Ok(Some((head, n)))
}

/// The same for an answer.
pub fn answer_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, Bad> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(n) = parsed.parse(bytes).map_err(bad_head)? else { return Ok(None) };
    let headers = Headers::of(parsed.headers);
    let status = parsed.code.unwrap_or(0);
    let none = status < 200 || status == 204 || status == 304;
    let body = if none { Body::Done } else { Body::of(&headers, true)? };
    let keep = kept(&headers, parsed.version.unwrap_or(1)) && body != Body::UntilEnd;
    Ok(Some((ResponseHead { status, headers, body, keep }, n)))
}

/// A socket with its two rings.
pub struct Connection {
    stream: TcpStream,
    input: RingBuffer,
    output: RingBuffer,
    /// So many bytes that came ahead were dropped.
    dropped: usize,
}

impl Connection {
    pub fn new(stream: TcpStream, ring: usize, held: &Rc<ByteBudget>) -> Self {
        // Messages are small and waited for; one that the system refuses this is served all the same.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            input: RingBuffer::new(ring, held),
            output: RingBuffer::new(ring, held),
            dropped: 0,
        }
    }

    /// Waits for more bytes; 0 says that the other side has ended its sending.
    pub async fn read(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            let stream = &self.stream;
            match self.input.read_from(|parts| stream.try_read_vectored(parts)) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return done,
            }
        }
    }

    /// Writes all of these through the ring. An error says that the last byte was not written.
    pub async fn write(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        for part in parts {
            let mut part = *part;
            loop {
                part = &part[self.output.push(part)..];
                if part.is_empty() {
                    break;
                }
                self.drain().await?;
            }
        }
        while !self.output.is_empty() {
            self.drain().await?;
        }
        self.output.release();
        Ok(())
    }

    async fn drain(&mut self) -> io::Result<()> {
        loop {
            let stream = &self.stream;
            match self.output.write_to(|parts| stream.try_write_vectored(parts)) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.stream.writable().await?,
                Err(e) => return Err(e),
            }
        }
    }

    /// The next request head; none where the client has ended between two requests.
    pub async fn request_head(&mut self) -> Result<Option<RequestHead>, Failed> {
        self.head(request_head).await
    }

    /// The next answer head, those that only announce another passed over.
    pub async fn answer_head(&mut self) -> Result<ResponseHead, Failed> {
        loop {
            let head = self.head(answer_head).await?.ok_or(Failed::Ended)?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    async fn head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, Bad>,
    ) -> Result<Option<T>, Failed> {
        loop {
            if let Some((head, n)) = parse(self.input.bytes())? {
                self.input.consume(n);
                return Ok(Some(head));
            }
            if self.input.is_full() {
                return Err(Bad::HeadTooLarge.into());
            }
            if self.read().await? == 0 {
                return if self.input.is_empty() { Ok(None) } else { Err(Failed::Ended) };
            }
        }
    }

    /// Takes what has come of a body with its head already; true with its end.
    pub fn body_so_far(&mut self, body: &mut Body, out: &mut BytesMut, most: usize) -> Result<bool, Bad> {
        body.take(&mut self.input, out, most)
    }

    /// Reads on until the body's end or, with `line`, until `out` holds a whole line; true with the end.
    pub async fn body(
        &mut self,
        body: &mut Body,
        out: &mut BytesMut,
        most: usize,
        line: bool,
    ) -> Result<bool, Failed> {
        self.body_until(body, out, most, |out| line && out.contains(&b'\n')).await
    }

    /// Takes what has come of a body, a byte at least; true with its end.
    pub async fn body_piece(
        &mut self,
        body: &mut Body,
        out: &mut BytesMut,
        most: usize,
    ) -> Result<bool, Failed> {
        self.body_until(body, out, most, |out| !out.is_empty()).await
    }

    async fn body_until(
        &mut self,
        body: &mut Body,
        out: &mut BytesMut,
        most: usize,
        is_enough: impl Fn(&BytesMut) -> bool,
    ) -> Result<bool, Failed> {
        loop {
            if body.take(&mut self.input, out, most)? {
                return Ok(true);
            }
            if is_enough(out) {
                return Ok(false);
            }
            if self.read().await? == 0 {
                if *body == Body::UntilEnd {
                    *body = Body::Done;
                    return Ok(true);
                }
                return Err(Failed::Ended);
            }
        }
    }

    /// Whether bytes of a next message are here already.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Ends when the other side has ended its sending or the connection is broken. What it sends before that
    /// is kept for the next message; once there is no room for it, it is dropped, as an end can only be seen
    /// behind it, and the connection is good for no further message.
    pub async fn gone(&mut self) {
        loop {
            if self.input.is_full() || self.dropped > 0 {
                let before = self.dropped / DROPPED_AT_ONCE;
                self.dropped += self.input.len().max(1);
                self.input.consume(self.input.len());
                if self.dropped / DROPPED_AT_ONCE > before {
                    // Guards against one that sends without end at full speed.
                    sleep(DROPPED_APART).await;
                }
            }
            match self.read().await {
                Ok(0) => return,
                Ok(_) => {}
                // Others hold all that there is to hold, which says nothing of this one.
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => sleep(DROPPED_APART).await,
                Err(_) => return,
            }
        }
    }

    /// Whether bytes were dropped, so that no further message can be told apart.
    pub fn is_overrun(&self) -> bool {
        self.dropped > 0
    }

    /// Ends the sending and waits a while for the other side to end too, so that the last answer is not lost
    /// under what still comes. Of that no more than `most` is read: the rest of a huge body is not worth it.
    pub async fn end(&mut self, wait: Duration, most: usize) {
        let _ = socket2::SockRef::from(&self.stream).shutdown(Shutdown::Write);
        let rest = async {
            let mut seen = 0;
            while seen < most {
                self.input.consume(self.input.len());
                match self.read().await {
                    Ok(n) if n > 0 => seen += n,
                    _ => return,
                }
            }
            std::future::pending().await
        };
        let _ = timeout(wait, rest).await;
    }

    /// The end of this connection, when it is dropped, takes back what the other side has not got yet. Guards
    /// against what still stands in the system's buffer, for a peer that reads slowly or a machine that is cut
    /// off: it would come to it long after it was given up.
    pub fn abandon(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Gives back the memory of empty rings.
    pub fn rest(&mut self) {
        self.input.release();
        self.output.release();
    }

    /// Whether an idle connection may still be written to: nothing has come, neither bytes nor an end.
    pub fn quiet(&self) -> bool {
        let mut one = [std::mem::MaybeUninit::uninit()];
        let seen = socket2::SockRef::from(&self.stream).peek(&mut one);
        !self.has_input() && matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Appends a header line.
pub fn field(out: &mut BytesMut, name: &str, value: impl AsRef<[u8]>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_ref());
    out.extend_from_slice(b"\r\n");
}

/// The head of an answer with a body of this length.
pub fn answer(status: u16, length: usize, keep: bool, fields: &[(&str, String)]) -> BytesMut {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Error",
    };
    let mut out = BytesMut::with_capacity(128);
    out.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    field(&mut out, "Content-Length", length.to_string());
    for (name, value) in fields {
        field(&mut out, name, value);
    }
    if !keep {
        field(&mut out, "Connection", "close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

#[cfg(test)]
#[path = "../../tests/unit/http1.rs"]
mod tests;
