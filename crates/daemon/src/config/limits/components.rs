//! Limits of each component of the node, and the division of sockets among them.
use super::{LimitInputs, MIB};
use crate::ring_buffer::INITIAL_BYTES;
use std::time::Duration;

/// Maximum number of connections to the admin API; they use a part of the reserved descriptors.
const MAX_ADMIN_CONNECTIONS: usize = 12;

/// Maximum size in bytes of an endpoint list, for any memory size.
const MAX_LIST_BYTES: usize = 64 * MIB;

/// Maximum size in bytes of an answer of Consul, for any memory size.
const MAX_CONSUL_ANSWER_BYTES: usize = 12 * MIB;

/// Limits of the connections from clients.
#[derive(Debug)]
pub struct DownstreamLimits {
    /// Maximum number of connections that are served.
    pub max_connections: usize,
    /// Maximum number of connections accepted above `max_connections` in order to reject them with a Retry-After.
    pub max_rejected_connections: usize,
    /// Memory in bytes of all read and write buffers beyond their initial size.
    pub buffer_bytes: usize,
    /// Maximum number of partially received bodies at the same time.
    pub max_partial_bodies: usize,
    /// Maximum memory in bytes reserved for the contents of all open requests.
    pub max_reserved_bytes: usize,
    /// Maximum number of ids of completed requests that are stored for deduplication; once that is reached, at least
    /// half of them are stored at any time.
    pub max_completed_ids: usize,
    /// Maximum number of ids that are stored of requests that must not run twice, in two generations of one longest
    /// deadline each; such a request is rejected if there is no memory for its id.
    pub max_protected_ids: usize,
    /// Bounds the time to read a request (from connect for the first one) and the time to write an answer.
    pub io_timeout: Duration,
    /// Maximum idle time of a connection after an answer.
    pub idle_timeout: Duration,
    /// Age below which a new connection is not evicted.
    pub min_new_connection_age: Duration,
    /// Time after its last answer during which a connection is not evicted.
    pub min_idle_before_eviction: Duration,
    /// Retry-After of requests that are rejected for lack of capacity.
    pub rejected_retry_after: Duration,
    /// Retry-After of requests that cannot be parsed.
    pub malformed_retry_after: Duration,
    /// Time by which a request's deadline precedes the client's timeout.
    pub deadline_margin: Duration,
    /// Time before the client's timeout at which the last answer is sent.
    pub last_answer_margin: Duration,
    /// Time after the start during which requests wait for the first endpoint list.
    pub first_list_timeout: Duration,
}

/// Limits of the connections to executors.
#[derive(Debug)]
pub struct UpstreamLimits {
    /// Maximum number of connections to executors; a sixteenth of them is reserved for probes.
    pub max_connections: usize,
    /// Time after a response within which a second response to the same attempt may arrive.
    pub duplicate_response_window: Duration,
}

/// Limits of the sources of the endpoint list.
#[derive(Debug)]
pub struct DiscoveryLimits {
    /// Maximum size in bytes of one snapshot or delta of the endpoint list.
    pub max_list_bytes: usize,
    /// Maximum size in bytes of the part of a list that is buffered as text; entries are parsed as they arrive.
    pub max_buffered_text_bytes: usize,
    /// Maximum size in bytes of one answer of Consul.
    pub max_consul_answer_bytes: usize,
    /// A watch without an update for this long counts as failed.
    pub watch_idle_timeout: Duration,
    /// Bounds the time to open a watch, from connect to the head of the response.
    pub watch_open_timeout: Duration,
}

/// Bounds on the number of executors.
#[derive(Debug, Default)]
pub struct ExecutorBounds {
    /// Maximum number of executors that this node dispatches to.
    pub max_retained: usize,
    /// Maximum number of registered executors: `max_retained` and those that are gone or no longer retained and not
    /// released yet.
    pub max_registered: usize,
    /// Maximum number of cached entries of executors that are not retained.
    pub max_unretained_entries: usize,
    /// Maximum number of entries of one list.
    pub max_listed: usize,
}

/// Limits of the admin API.
#[derive(Debug)]
pub struct AdminLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Size of one read or write buffer in bytes.
    pub buffer_bytes: usize,
    /// Bounds the time until a call has taken effect; callers wait 1 s.
    pub call_timeout: Duration,
    /// Time from a drain call until idle connections are closed and new requests are rejected.
    pub drain_settle_time: Duration,
}

/// The number of connections that each component may open.
pub(super) struct ConnectionShares {
    downstream: usize,
    rejected: usize,
    upstream: usize,
}

impl ConnectionShares {
    pub(super) fn new(inputs: &LimitInputs, max_body_bytes: usize) -> Self {
        let connections = inputs.available_sockets().min(inputs.memory_bytes() / 12 / (2 * INITIAL_BYTES));
        let rejected = (connections / 16).max(2);
        let upstream_memory = 2 * inputs.memory_fraction(9, 16);
        let upstream = (connections / 3).min(upstream_memory / (2 * max_body_bytes)).max(2);
        ConnectionShares { downstream: connections - rejected - upstream, rejected, upstream }
    }
}

impl DownstreamLimits {
    pub(super) fn new(inputs: &LimitInputs, shares: &ConnectionShares, max_body_bytes: usize) -> Self {
        let memory = inputs.memory_bytes();
        // Two processes share the memory, except for that of executors, which each of them stores.
        let partial_body_bytes = match (inputs.has_inherited_socket, inputs.has_consul || inputs.has_ledger) {
            (false, _) => memory / 20,
            (true, false) => memory / 22,
            (true, true) => memory / 40,
        };
        let max_reserved_bytes = if inputs.has_ledger || inputs.has_inherited_socket {
            inputs.memory_fraction(12, 18)
        } else {
            inputs.memory_fraction(8, 12)
        };
        DownstreamLimits {
            max_connections: shares.downstream,
            max_rejected_connections: shares.rejected,
            buffer_bytes: memory / 16,
            max_partial_bodies: partial_body_bytes / max_body_bytes,
            max_reserved_bytes,
            max_completed_ids: memory / 8192,
            max_protected_ids: memory / 8192,
            io_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(120),
            min_new_connection_age: Duration::from_millis(150),
            min_idle_before_eviction: Duration::from_secs(1),
            rejected_retry_after: Duration::from_millis(50),
            malformed_retry_after: Duration::from_secs(1),
            deadline_margin: Duration::from_millis(25),
            last_answer_margin: Duration::from_millis(8),
            first_list_timeout: Duration::from_millis(150),
        }
    }
}

impl UpstreamLimits {
    pub(super) fn new(shares: &ConnectionShares) -> Self {
        UpstreamLimits {
            max_connections: shares.upstream,
            duplicate_response_window: Duration::from_millis(50),
        }
    }
}

impl DiscoveryLimits {
    pub(super) fn new(inputs: &LimitInputs) -> Self {
        let memory = inputs.memory_bytes();
        let max_list_bytes = (memory / 16).min(MAX_LIST_BYTES);
        let consul_divisor = if inputs.has_inherited_socket { 16 } else { 9 };
        DiscoveryLimits {
            max_list_bytes,
            max_buffered_text_bytes: max_list_bytes / 16,
            max_consul_answer_bytes: (memory / consul_divisor).min(MAX_CONSUL_ANSWER_BYTES),
            // Discovery sends an update or a keep-alive every 2 s.
            watch_idle_timeout: Duration::from_millis(2600),
            // An idle timeout and a failed opening have to fit into the 6 s within which a change is applied. A
            // source that is overloaded takes up to 2 s to reject a watch.
            watch_open_timeout: Duration::from_millis(2200),
        }
    }
}

impl AdminLimits {
    pub(super) fn new() -> Self {
        AdminLimits {
            max_connections: MAX_ADMIN_CONNECTIONS,
            buffer_bytes: 2 * INITIAL_BYTES,
            call_timeout: Duration::from_millis(500),
            drain_settle_time: Duration::from_secs(1),
        }
    }
}
