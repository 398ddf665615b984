//! Names of header fields, paths and values on the wire.

/// Id that the client gives a request.
pub(super) const REQUEST_ID: &str = "Request-Id";
/// Class of a request; must match the class in its path.
pub(super) const REQUEST_CLASS: &str = "Request-Class";
/// Tenant that a request is charged to.
pub(super) const TENANT: &str = "Tenant";
/// Seconds that the sender waits for the response.
pub(super) const REQUEST_TIMEOUT: &str = "Request-Timeout";
/// `1` if the client has sent the request before.
pub(super) const CLIENT_RETRY: &str = "Client-Retry";
/// Resources that a request needs, as `name=value` pairs.
pub(super) const REQUEST_INFO: &str = "Request-Info";
/// Load report of an executor.
pub(super) const SERVER_LOAD: &str = "Server-Load";
/// `1` if the executor has not started the request.
pub(super) const NOT_STARTED: &str = "Not-Started";
/// Fence of an attempt; an executor refuses an attempt whose fence is lower than one it has received for the same
/// request.
pub(super) const FENCE: &str = "Work-Fence";
/// Milliseconds since the attempt was recorded.
pub(super) const FENCE_AGE: &str = "Work-Fence-Age";
/// Milliseconds without an event after which the attempt's lease expires.
pub(super) const LEASE: &str = "Work-Lease";
/// Seconds after which a rejected client may retry.
pub(super) const RETRY_AFTER: &str = "Retry-After";

/// Health check of the node.
pub const HEALTH_PATH: &str = "/_health";
/// State of a durable request, followed by the client's id of it.
pub const REQUEST_STATUS_PATH: &str = "/_work/";
/// Load probe of an executor, if the settings name no fields of a load report.
pub(super) const PING_PATH: &str = "/ping";
/// Load probe of an executor, if the settings name the fields of its report.
pub(super) const LOAD_PATH: &str = "/_load";
/// State of an attempt at an executor.
pub(super) const FENCE_PATH: &str = "/_fence";
/// The endpoint list of discovery.
pub(super) const ENDPOINT_LIST_PATH: &str = "/catalog/members";

/// States of an entry of the endpoint list.
pub mod endpoint_state {
    /// Takes requests.
    pub const READY: &str = "Ready";
    /// Takes no new requests.
    pub const DRAINING: &str = "Terminating";
    /// Is no longer listed.
    pub const GONE: &str = "Gone";
}

/// Fields of a client that are not forwarded: those of its connection (RFC 9110, section 7.6.1) and those that the
/// node writes itself.
pub(super) const NOT_FORWARDED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "host",
    "request-id",
    "request-timeout",
    "work-fence",
    "work-fence-age",
    "work-lease",
];
