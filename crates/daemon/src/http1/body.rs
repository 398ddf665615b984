//! Framing of message bodies (RFC 9112, section 6.3).
use super::error::MessageError;
use super::headers::Headers;
use crate::ring_buffer::RingBuffer;
use bytes::BytesMut;

/// Digits that a `Content-Length` may have.
const MAX_LENGTH_DIGITS: usize = 15;

/// Bytes that a chunk's size and extensions may take before their line ends.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// Bytes that a trailer section may have in all; as many as a head.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

const CRLF: &[u8] = b"\r\n";

/// Decodes one body; each variant is the part of the body that is decoded next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDecoder {
    /// Remaining bytes of a body with a `Content-Length`.
    Length(usize),
    /// The size line of a chunk (RFC 9112, section 7.1).
    ChunkSize,
    /// Remaining bytes of a chunk.
    ChunkData(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailer section, which is discarded (RFC 9112, section 7.1.2); with the bytes discarded so far.
    Trailers(usize),
    /// All bytes until the connection is closed; possible in responses only.
    UntilClose,
    /// The body is complete.
    Done,
}

/// Whether a decoding step advanced the state or needs more input.
#[derive(PartialEq)]
enum Step {
    Advanced,
    NeedsInput,
}

impl BodyDecoder {
    /// The decoder of a request's body.
    pub(super) fn for_request(headers: &Headers) -> Result<Self, MessageError> {
        Self::from_headers(headers, BodyDecoder::Done)
    }

    /// The decoder of a response's body.
    pub(super) fn for_response(status: u16, headers: &Headers) -> Result<Self, MessageError> {
        if status < 200 || status == 204 || status == 304 {
            return Ok(BodyDecoder::Done);
        }
        Self::from_headers(headers, BodyDecoder::UntilClose)
    }

    fn from_headers(headers: &Headers, without_framing: Self) -> Result<Self, MessageError> {
        let length = content_length(headers)?;
        let mut codings = headers.values("transfer-encoding");
        match (codings.next(), codings.next(), length) {
            (None, _, Some(0)) => Ok(BodyDecoder::Done),
            (None, _, Some(length)) => Ok(BodyDecoder::Length(length)),
            (None, _, None) => Ok(without_framing),
            // Recipients that disagree on which of the two counts enable request smuggling.
            (Some(_), _, Some(_)) => Err(MessageError::AmbiguousFraming),
            (Some(coding), None, None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
                Ok(BodyDecoder::ChunkSize)
            }
            _ => Err(MessageError::UnsupportedTransferCoding),
        }
    }

    /// Moves the part of the body that has arrived from `input` to `out`. Returns true if the body is complete.
    ///
    /// # Errors
    /// If the framing is malformed, or if `out` would exceed `max_bytes`.
    pub fn decode(
        &mut self,
        input: &mut RingBuffer,
        out: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<bool, MessageError> {
        while *self != BodyDecoder::Done {
            if self.step(input, out, max_bytes)? == Step::NeedsInput {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn step(
        &mut self,
        input: &mut RingBuffer,
        out: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Step, MessageError> {
        match *self {
            BodyDecoder::Done => Ok(Step::Advanced),
            BodyDecoder::Length(remaining) => {
                let remaining = copy_data(remaining, input, out, max_bytes)?;
                Ok(self.advance(remaining, BodyDecoder::Length, BodyDecoder::Done))
            }
            BodyDecoder::ChunkData(remaining) => {
                let remaining = copy_data(remaining, input, out, max_bytes)?;
                Ok(self.advance(remaining, BodyDecoder::ChunkData, BodyDecoder::ChunkEnd))
            }
            BodyDecoder::ChunkSize => self.read_chunk_size(input),
            BodyDecoder::ChunkEnd => self.read_chunk_end(input),
            BodyDecoder::Trailers(discarded) => self.skip_trailer(input, discarded),
            BodyDecoder::UntilClose => {
                copy_all(input, out, max_bytes)?;
                Ok(Step::NeedsInput)
            }
        }
    }

    fn advance(&mut self, remaining: usize, unfinished: fn(usize) -> Self, next: Self) -> Step {
        if remaining > 0 {
            *self = unfinished(remaining);
            return Step::NeedsInput;
        }
        *self = next;
        Step::Advanced
    }

    fn read_chunk_size(&mut self, input: &mut RingBuffer) -> Result<Step, MessageError> {
        let bytes = input.bytes();
        let buffered = bytes.len();
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((line_length, size))) => {
                let size = usize::try_from(size).map_err(|_| MessageError::BodyTooLarge)?;
                input.consume(line_length);
                *self = if size == 0 { BodyDecoder::Trailers(0) } else { BodyDecoder::ChunkData(size) };
                Ok(Step::Advanced)
            }
            Ok(httparse::Status::Partial) if buffered < MAX_CHUNK_SIZE_LINE_BYTES => Ok(Step::NeedsInput),
            _ => Err(MessageError::InvalidChunkSize),
        }
    }

    fn read_chunk_end(&mut self, input: &mut RingBuffer) -> Result<Step, MessageError> {
        let bytes = input.bytes();
        let prefix = &bytes[..bytes.len().min(CRLF.len())];
        if !CRLF.starts_with(prefix) {
            return Err(MessageError::UnterminatedChunk);
        }
        if prefix.len() < CRLF.len() {
            return Ok(Step::NeedsInput);
        }
        input.consume(CRLF.len());
        *self = BodyDecoder::ChunkSize;
        Ok(Step::Advanced)
    }

    /// Discards one line of the trailer section; an empty line ends the body.
    fn skip_trailer(&mut self, input: &mut RingBuffer, discarded: usize) -> Result<Step, MessageError> {
        match input.bytes().windows(CRLF.len()).position(|pair| pair == CRLF) {
            Some(0) => {
                input.consume(CRLF.len());
                *self = BodyDecoder::Done;
                Ok(Step::Advanced)
            }
            Some(line_length) => {
                let discarded = discarded + line_length + CRLF.len();
                if discarded > MAX_TRAILER_BYTES {
                    return Err(MessageError::HeadTooLarge);
                }
                input.consume(line_length + CRLF.len());
                *self = BodyDecoder::Trailers(discarded);
                Ok(Step::Advanced)
            }
            None if input.is_full() => Err(MessageError::HeadTooLarge),
            None => Ok(Step::NeedsInput),
        }
    }
}

/// The value of `Content-Length`, which may be repeated with one value.
fn content_length(headers: &Headers) -> Result<Option<usize>, MessageError> {
    let mut length = None;
    for value in headers.values("content-length") {
        let value = parse_length(value).ok_or(MessageError::InvalidContentLength)?;
        if length.replace(value).is_some_and(|other| other != value) {
            return Err(MessageError::ConflictingContentLengths);
        }
    }
    Ok(length)
}

fn parse_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal || text.len() > MAX_LENGTH_DIGITS {
        return None;
    }
    text.parse().ok()
}

/// Moves up to `remaining` bytes and returns how many are still missing.
fn copy_data(
    remaining: usize,
    input: &mut RingBuffer,
    out: &mut BytesMut,
    max_bytes: usize,
) -> Result<usize, MessageError> {
    if out.len() + remaining > max_bytes {
        return Err(MessageError::BodyTooLarge);
    }
    let bytes = input.bytes();
    let count = bytes.len().min(remaining);
    out.extend_from_slice(&bytes[..count]);
    input.consume(count);
    Ok(remaining - count)
}

fn copy_all(input: &mut RingBuffer, out: &mut BytesMut, max_bytes: usize) -> Result<(), MessageError> {
    let bytes = input.bytes();
    let count = bytes.len();
    if out.len() + count > max_bytes {
        return Err(MessageError::BodyTooLarge);
    }
    out.extend_from_slice(bytes);
    input.consume(count);
    Ok(())
}
