//! HTTP/1.1: parsing and writing of message heads, framing of bodies, and buffered connections. The meaning
//! of the messages is defined in [`crate::protocol`].
mod body;
mod connection;
mod error;
mod head;
mod headers;
mod write;

pub use body::BodyDecoder;
pub use connection::Connection;
pub use error::{MessageError, ReceiveError};
#[cfg(test)]
pub use head::parse_response_head;
pub use head::{RequestHead, ResponseHead};
pub use write::{CONTINUE, Field, put_field, response_head};

#[cfg(test)]
#[path = "../../tests/unit/http1.rs"]
mod tests;
