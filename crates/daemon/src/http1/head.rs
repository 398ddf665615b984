//! Heads of requests and responses.
use super::body::BodyDecoder;
use super::error::MessageError;
use super::headers::Headers;

/// Upper bound on the number of fields in a head.
const MAX_FIELDS: usize = 64;

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// The method; case-sensitive.
    pub method: String,
    /// The request target as it was sent.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// Decodes the body that follows.
    pub body: BodyDecoder,
    /// Whether the client may send another request over this connection.
    pub keep_alive: bool,
    /// Whether the client waits for an interim response before it sends the body (RFC 9110, section 10.1.1).
    pub expects_continue: bool,
}

/// The head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// Decodes the body that follows.
    pub body: BodyDecoder,
    /// Whether another request may be sent over this connection.
    pub keep_alive: bool,
}

/// A head and its length in bytes.
pub type Parsed<T> = (T, usize);

/// Whether the sender of this head wants the connection to persist (RFC 9112, section 9.3).
fn is_persistent(headers: &Headers, minor_version: u8) -> bool {
    !headers.has_token("connection", "close")
        && (minor_version >= 1 || headers.has_token("connection", "keep-alive"))
}

/// Parses the request head at the start of `bytes`; none if it is incomplete.
///
/// # Errors
/// If the head is malformed, has too many fields, or does not determine where its body ends.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<Parsed<RequestHead>>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = parsed.parse(bytes)? else { return Ok(None) };
    let headers = Headers::from_parsed(parsed.headers);
    let minor_version = parsed.version.unwrap_or(1);
    // RFC 9112, section 3.2.
    if minor_version >= 1 && headers.single("host")?.is_none() {
        return Err(MessageError::MissingHost);
    }
    let head = RequestHead {
        method: parsed.method.unwrap_or("").into(),
        target: parsed.path.unwrap_or("").into(),
        body: BodyDecoder::for_request(&headers)?,
        keep_alive: is_persistent(&headers, minor_version),
        expects_continue: headers.has_token("expect", "100-continue"),
        headers,
    };
    Ok(Some((head, length)))
}

/// Parses the response head at the start of `bytes`; none if it is incomplete.
///
/// # Errors
/// If the head is malformed, has too many fields, or does not determine where its body ends.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<Parsed<ResponseHead>>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) = parsed.parse(bytes)? else { return Ok(None) };
    let headers = Headers::from_parsed(parsed.headers);
    let status = parsed.code.unwrap_or(0);
    let body = BodyDecoder::for_response(status, &headers)?;
    let keep_alive = is_persistent(&headers, parsed.version.unwrap_or(1)) && body != BodyDecoder::UntilClose;
    Ok(Some((ResponseHead { status, headers, body, keep_alive }, length)))
}
