//! Reads one request of a client from its connection.
use super::DownstreamServer;
use super::response::ConnectionReuse;
use crate::byte_budget::Reservation;
use crate::http1::{self, Connection, MessageError, ReceiveError, RequestHead};
use crate::in_flight::ClientRequest;
use crate::protocol::{self, HEALTH_PATH, REQUEST_STATUS_PATH, RequestError, RequestWithTimeout};
use bytes::BytesMut;
use std::time::Duration;

/// A complete request of a client.
pub(super) enum ParsedRequest {
    /// The health check of a load balancer.
    ReadinessCheck,
    /// Queries the status of a durable job by the id that the client gave it.
    JobStatus { client_id: String, reuse: ConnectionReuse },
    /// A request for the executors.
    Submission(Submission),
}

/// A request for the executors.
pub(super) struct Submission {
    pub request: ClientRequest,
    /// How long the client waits for its response.
    pub time_left: Duration,
    pub reuse: ConnectionReuse,
}

/// Why no request could be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error("the client closed the connection")]
    Disconnected,
    #[error("the request did not arrive in time")]
    TimedOut,
    #[error(transparent)]
    Malformed(#[from] MessageError),
    #[error(transparent)]
    Invalid(#[from] RequestError),
    #[error("a job's status can only be read by GET")]
    MethodNotAllowed,
    #[error("too many request bodies are being received in parts")]
    TooManyPartialBodies,
}

impl ReadError {
    /// The status of the response; `None` if the client has disconnected.
    pub fn status(&self) -> Option<u16> {
        match self {
            ReadError::Disconnected => None,
            ReadError::TimedOut => Some(408),
            ReadError::Malformed(error) => Some(error.status()),
            ReadError::Invalid(error) => Some(error.status()),
            ReadError::MethodNotAllowed => Some(405),
            ReadError::TooManyPartialBodies => Some(503),
        }
    }
}

impl From<ReceiveError> for ReadError {
    fn from(error: ReceiveError) -> Self {
        match error {
            ReceiveError::Message(error) => ReadError::Malformed(error),
            ReceiveError::Io(_) | ReceiveError::UnexpectedEof => ReadError::Disconnected,
        }
    }
}

impl DownstreamServer {
    /// Reads one complete request.
    ///
    /// # Errors
    /// If the client is gone, or if its request is malformed or too large.
    pub(super) async fn read_request(&self, connection: &mut Connection) -> Result<ParsedRequest, ReadError> {
        let head = connection.read_request_head().await?.ok_or(ReadError::Disconnected)?;
        if head.target == HEALTH_PATH {
            return Ok(ParsedRequest::ReadinessCheck);
        }
        let reuse = ConnectionReuse::requested_by(&head);
        if let Some(client_id) =
            head.target.strip_prefix(REQUEST_STATUS_PATH).filter(|_| self.durable_config.is_some())
        {
            if head.method != "GET" {
                return Err(ReadError::MethodNotAllowed);
            }
            return Ok(ParsedRequest::JobStatus { client_id: client_id.to_string(), reuse });
        }
        let RequestWithTimeout { mut request, timeout } = self.codec.load().parse_request(&head)?;
        if let Some(config) = &self.durable_config {
            request.key = protocol::parse_idempotency_key(&head, &config.key_header)?;
        }
        request.body = self.read_body(connection, head).await?.freeze();
        Ok(ParsedRequest::Submission(Submission { request, time_left: timeout, reuse }))
    }

    /// Reads the body that follows `head`. One that did not arrive with its head reserves memory first, which
    /// bounds the bodies that clients may send slowly.
    async fn read_body(
        &self,
        connection: &mut Connection,
        mut head: RequestHead,
    ) -> Result<BytesMut, ReadError> {
        let max_bytes = self.limits.max_body_bytes;
        let mut body = BytesMut::new();
        if connection.take_buffered_body(&mut head.body, &mut body, max_bytes)? {
            return Ok(body);
        }
        let _reservation: Reservation =
            self.partial_body_bytes.reserve(max_bytes).ok_or(ReadError::TooManyPartialBodies)?;
        if head.expects_continue {
            connection.write(&[http1::CONTINUE]).await.map_err(|_| ReadError::Disconnected)?;
        }
        connection.read_body(&mut head.body, &mut body, max_bytes).await?;
        Ok(body)
    }
}
