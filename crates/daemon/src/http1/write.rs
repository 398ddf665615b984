//! Writing of message heads.
use bytes::BytesMut;

/// The interim response that makes a client send the body of a request with `Expect: 100-continue` (RFC 9110,
/// section 15.2.1).
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Initial capacity of a response head in bytes, enough for common responses.
const RESPONSE_HEAD_CAPACITY: usize = 128;

/// A header field that this node writes.
pub type Field = (&'static str, String);

/// Appends a header line.
pub fn put_field(out: &mut BytesMut, name: &str, value: impl AsRef<[u8]>) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_ref());
    out.extend_from_slice(b"\r\n");
}

/// The head of a response with a body of `content_length` bytes.
pub fn response_head(status: u16, content_length: usize, keep_alive: bool, fields: &[Field]) -> BytesMut {
    let mut out = BytesMut::with_capacity(RESPONSE_HEAD_CAPACITY);
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    put_field(&mut out, "Content-Length", content_length.to_string());
    for (name, value) in fields {
        put_field(&mut out, name, value);
    }
    if !keep_alive {
        put_field(&mut out, "Connection", "close");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
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
    }
}
