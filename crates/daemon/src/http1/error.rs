//! Errors of reading HTTP/1.1 messages.
use std::io;

/// Why a message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The start line or a header line does not follow the grammar.
    #[error("malformed message head: {0}")]
    MalformedHead(#[source] httparse::Error),
    /// An HTTP/1.1 request without a `Host` field.
    #[error("missing Host field")]
    MissingHost,
    /// A field that is read as text has bytes that are not UTF-8.
    #[error("field value is not UTF-8")]
    FieldNotText,
    /// A field that may occur once occurs more often.
    #[error("repeated field")]
    RepeatedField,
    /// A `Content-Length` that is not a decimal number of at most 15 digits.
    #[error("invalid Content-Length")]
    InvalidContentLength,
    /// `Content-Length` fields that differ.
    #[error("conflicting Content-Length values")]
    ConflictingContentLengths,
    /// `Content-Length` and `Transfer-Encoding` in one message.
    #[error("both Content-Length and Transfer-Encoding")]
    AmbiguousFraming,
    /// A chunk's size that is not a hexadecimal number, or whose extensions are too long.
    #[error("invalid chunk size")]
    InvalidChunkSize,
    /// A chunk that is longer than its size.
    #[error("chunk data is not followed by CRLF")]
    UnterminatedChunk,
    /// A head, or a trailer field, that does not fit into the input buffer, or too many fields.
    #[error("message head too large")]
    HeadTooLarge,
    /// The memory that all buffers share is used up by others.
    #[error("no memory to buffer the message head")]
    NoBufferMemory,
    /// A body of more bytes than its reader accepts.
    #[error("message body too large")]
    BodyTooLarge,
    /// A transfer coding other than `chunked`.
    #[error("unsupported transfer coding")]
    UnsupportedTransferCoding,
}

impl MessageError {
    /// The status of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            MessageError::HeadTooLarge => 431,
            MessageError::BodyTooLarge => 413,
            MessageError::NoBufferMemory => 503,
            // RFC 9112, section 6.1.
            MessageError::UnsupportedTransferCoding => 501,
            _ => 400,
        }
    }
}

impl From<httparse::Error> for MessageError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => MessageError::HeadTooLarge,
            error => MessageError::MalformedHead(error),
        }
    }
}

/// Why no message could be received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The message is refused.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer closed its sending side in the middle of a message.
    #[error("connection closed in the middle of a message")]
    UnexpectedEof,
}
