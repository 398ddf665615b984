//! Reads one request of a client from its connection.
use super::DownstreamServer;
use super::response::ConnectionReuse;
use crate::byte_budget::Reservation;
use crate::http1::{self, Bad, Connection, Failed, RequestHead};
use crate::in_flight::ClientRequest;
use crate::protocol::{self, READY_PATH, TELL_PATH};
use bytes::BytesMut;
use std::time::Duration;

/// A complete request of a client.
pub(super) enum ParsedRequest {
    /// The health check of a load balancer.
    ReadinessCheck,
    /// Asks for the state of a durable job, by the client's id of it.
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
    #[error("{0}")]
    Malformed(Bad),
    #[error("{reason}")]
    Invalid { status: u16, reason: &'static str },
    #[error("a job's status is read by GET")]
    MethodNotAllowed,
    #[error("too many bodies arrive in parts")]
    TooManyPartialBodies,
}

impl ReadError {
    /// The status of the response; none if nobody is left to receive it.
    pub fn status(&self) -> Option<u16> {
        match self {
            ReadError::Disconnected => None,
            ReadError::TimedOut => Some(408),
            ReadError::Malformed(bad) => Some(bad.status()),
            ReadError::Invalid { status, .. } => Some(*status),
            ReadError::MethodNotAllowed => Some(405),
            ReadError::TooManyPartialBodies => Some(503),
        }
    }

    fn invalid((status, reason): (u16, &'static str)) -> Self {
        ReadError::Invalid { status, reason }
    }
}

impl From<Bad> for ReadError {
    fn from(bad: Bad) -> Self {
        ReadError::Malformed(bad)
    }
}

impl From<Failed> for ReadError {
    fn from(failed: Failed) -> Self {
        match failed {
            Failed::Bad(bad) => ReadError::Malformed(bad),
            Failed::Broken(_) | Failed::Ended => ReadError::Disconnected,
        }
    }
}

impl DownstreamServer {
    /// Reads a request to its end.
    ///
    /// # Errors
    /// If the client is gone, or if its request is malformed or too large.
    pub(super) async fn read_request(&self, connection: &mut Connection) -> Result<ParsedRequest, ReadError> {
        let head = connection.request_head().await?.ok_or(ReadError::Disconnected)?;
        if head.target == READY_PATH {
            return Ok(ParsedRequest::ReadinessCheck);
        }
        let reuse = ConnectionReuse::requested_by(&head);
        if let Some(client_id) = head.target.strip_prefix(TELL_PATH).filter(|_| self.durable_config.is_some())
        {
            if head.method != "GET" {
                return Err(ReadError::MethodNotAllowed);
            }
            return Ok(ParsedRequest::JobStatus { client_id: client_id.to_string(), reuse });
        }
        let (mut request, time_left) = self.codec.now().work(&head).map_err(ReadError::invalid)?;
        if let Some(config) = &self.durable_config {
            request.key = protocol::key(&head, &config.key_header).map_err(ReadError::invalid)?;
        }
        request.body = self.read_body(connection, head).await?.freeze();
        Ok(ParsedRequest::Submission(Submission { request, time_left, reuse }))
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
        if connection.body_so_far(&mut head.body, &mut body, max_bytes)? {
            return Ok(body);
        }
        let _reservation: Reservation =
            self.slow_body_bytes.reserve(max_bytes).ok_or(ReadError::TooManyPartialBodies)?;
        if head.asks_first {
            connection.write(&[http1::GO_ON]).await.map_err(|_| ReadError::Disconnected)?;
        }
        connection.body(&mut head.body, &mut body, max_bytes, false).await?;
        Ok(body)
    }
}
