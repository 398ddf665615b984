//! Responses to clients.
use crate::http1::{self, Connection, Field, RequestHead};
use crate::in_flight::Answer;
use crate::protocol::{Codec, ResponseParts};
use crate::units::to_millis;
use bytes::Bytes;
use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// Whether a connection is used for another request after a response.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum ConnectionReuse {
    KeepAlive,
    Close,
}

impl ConnectionReuse {
    /// The reuse that the client requested.
    pub fn requested_by(head: &RequestHead) -> Self {
        if head.keep_alive { ConnectionReuse::KeepAlive } else { ConnectionReuse::Close }
    }
}

/// Whether a part of a response may still be in transit to the client once its last byte has been written.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ResponseSize {
    Small,
    /// A part of it may still be in the send buffer.
    Large,
}

/// A response before it is written.
pub(super) struct Response {
    status: u16,
    fields: Vec<Field>,
    body: Bytes,
}

/// Why a response was not written.
#[derive(Debug, thiserror::Error)]
pub(super) enum SendError {
    #[error("the client did not read the response in time")]
    TimedOut,
    #[error("cannot write the response")]
    Io(#[source] io::Error),
}

impl Response {
    /// A response with a plain-text body.
    pub fn text(status: u16, text: String) -> Self {
        Response { status, fields: Vec::new(), body: text.into() }
    }

    /// The final answer to a request.
    pub fn answer(codec: &Codec, answer: &Answer) -> Self {
        let ResponseParts { status, fields, body } = codec.response(answer);
        Response { status, fields, body }
    }

    /// The rejection of a request that cannot be handled, with a Retry-After if the settings allow it.
    pub fn rejection(codec: &Codec, status: u16, retry_after: Duration) -> Self {
        Response { status, fields: codec.retry_after_field(Some(to_millis(retry_after))), body: Bytes::new() }
    }

    /// The length of the body in bytes.
    pub fn body_len(&self) -> usize {
        self.body.len()
    }

    /// Writes the response.
    ///
    /// # Errors
    /// If the connection breaks or the client does not read within `write_timeout`.
    pub async fn send(
        &self,
        connection: &mut Connection,
        reuse: ConnectionReuse,
        write_timeout: Duration,
    ) -> Result<(), SendError> {
        let keeps_alive = reuse == ConnectionReuse::KeepAlive;
        let head = http1::response_head(self.status, self.body.len(), keeps_alive, &self.fields);
        let parts: [&[u8]; 2] = [&head, &self.body];
        timeout(write_timeout, connection.write(&parts))
            .await
            .map_err(|_| SendError::TimedOut)?
            .map_err(SendError::Io)
    }
}
