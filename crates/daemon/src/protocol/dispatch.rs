//! Requests to executors.
use super::codec::Codec;
use super::names;
use crate::http1::put_field;
use crate::in_flight::ClientRequest;
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use troutknot::Millis;
use troutknot_ledger::Fence;

/// Initial capacity of a dispatched request's head in bytes, besides the forwarded fields.
const DISPATCH_HEAD_CAPACITY: usize = 256;

/// Initial capacity of a fence request in bytes, enough for common requests.
const FENCE_REQUEST_CAPACITY: usize = 192;

/// The part of a recorded attempt's lease that is sent to the executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaseFields {
    /// Orders the attempts of one request.
    pub fence: Fence,
    /// Time without an event, in milliseconds, after which the lease expires; none if it does not expire.
    pub duration: Option<Millis>,
}

impl Codec {
    /// The head that dispatches a request to an executor. It states how long this node waits for the response.
    pub fn dispatch_head(
        &self,
        request: &ClientRequest,
        executor: SocketAddr,
        timeout: Duration,
        lease: Option<LeaseFields>,
    ) -> BytesMut {
        let mut out = BytesMut::with_capacity(DISPATCH_HEAD_CAPACITY + request.fields.len());
        out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", request.method, request.target).as_bytes());
        put_field(&mut out, "Host", executor.to_string());
        out.extend_from_slice(&request.fields);
        put_field(&mut out, names::REQUEST_TIMEOUT, format!("{:.3}", timeout.as_secs_f64()));
        if let Some(LeaseFields { fence, duration }) = lease {
            put_field(&mut out, names::FENCE, fence.0.to_string());
            if let Some(duration) = duration {
                put_field(&mut out, names::LEASE, format!("{duration:.0}"));
            }
        }
        put_field(&mut out, "Content-Length", request.body.len().to_string());
        out.extend_from_slice(b"\r\n");
        out
    }

    /// The request for the state of an attempt that was recorded `age` ago. The executor refuses the attempt from
    /// then on if it has not started it.
    pub fn fence_request(
        &self,
        request_id: &str,
        fence: Fence,
        age: Millis,
        executor: SocketAddr,
    ) -> BytesMut {
        let mut out = BytesMut::with_capacity(FENCE_REQUEST_CAPACITY);
        out.extend_from_slice(format!("POST {} HTTP/1.1\r\n", names::FENCE_PATH).as_bytes());
        put_field(&mut out, "Host", executor.to_string());
        put_field(&mut out, names::REQUEST_ID, request_id);
        put_field(&mut out, names::FENCE, fence.0.to_string());
        put_field(&mut out, names::FENCE_AGE, format!("{age:.0}"));
        put_field(&mut out, "Content-Length", "0");
        out.extend_from_slice(b"\r\n");
        out
    }
}
