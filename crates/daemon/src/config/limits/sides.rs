//! Limits of each side of the node, and how the sockets are divided among them.
use super::{LimitInputs, MIB};
use crate::ring_buffer::INITIAL_BYTES;
use std::time::Duration;

/// The part of the spare descriptors that connections to the admin API may use.
const MAX_ADMIN_CONNECTIONS: usize = 12;

/// Upper bound on the size of an endpoint list with any memory.
const MAX_LIST_BYTES: usize = 64 * MIB;

/// Upper bound on the size of an answer of Consul with any memory.
const MAX_CONSUL_ANSWER_BYTES: usize = 12 * MIB;

/// Limits of the connections from clients.
#[derive(Debug)]
pub struct DownstreamLimits {
    /// Connections that are served.
    pub max_connections: usize,
    /// Connections accepted beyond `max_connections`, only to be rejected with a Retry-After.
    pub max_rejected_connections: usize,
    /// Memory of all read and write buffers beyond their initial size.
    pub buffer_bytes: usize,
    /// Bodies that may arrive in parts at the same time.
    pub max_partial_bodies: usize,
    /// Memory reserved for the contents of all open requests.
    pub max_reserved_bytes: usize,
    /// Ids of completed requests that are stored for deduplication; at least half of them at any time.
    pub max_completed_ids: usize,
    /// Bounds the reading of a request, from connect for the first one, and the writing of an answer.
    pub io_timeout: Duration,
    /// How long a connection may be idle after an answer.
    pub idle_timeout: Duration,
    /// Age below which a new connection is not evicted.
    pub min_new_connection_age: Duration,
    /// Time after its last answer in which a connection is not evicted.
    pub min_idle_before_eviction: Duration,
    /// Retry-After of requests that are rejected for lack of capacity.
    pub rejected_retry_after: Duration,
    /// Retry-After of requests that cannot be parsed.
    pub malformed_retry_after: Duration,
    /// Time before the client's own timeout at which a request's deadline is set.
    pub deadline_margin: Duration,
    /// Time before the client's own timeout at which the last answer is sent.
    pub last_answer_margin: Duration,
    /// How long after start requests wait for the first endpoint list.
    pub first_list_timeout: Duration,
}

/// Limits of the connections to executors.
#[derive(Debug)]
pub struct UpstreamLimits {
    /// Connections to executors; a sixteenth of them is reserved for probes.
    pub max_connections: usize,
    /// How long after a response a second one to the same attempt may arrive.
    pub duplicate_response_window: Duration,
}

/// Limits of the sources of the endpoint list.
#[derive(Debug)]
pub struct DiscoveryLimits {
    /// Size of one snapshot or delta of the endpoint list.
    pub max_list_bytes: usize,
    /// The part of a list that is buffered as text; entries are parsed as they arrive.
    pub max_buffered_text_bytes: usize,
    /// Size of one answer of Consul.
    pub max_consul_answer_bytes: usize,
    /// A watch without an update for this long has failed.
    pub watch_idle_timeout: Duration,
    /// Bounds the opening of a watch, from connect to the head of the response.
    pub watch_open_timeout: Duration,
}

/// Bounds on the number of executors.
#[derive(Debug, Default)]
pub struct ExecutorBounds {
    /// Executors that this node dispatches to.
    pub max_retained: usize,
    /// `max_retained`, and those that are gone or lost their place and are not released yet.
    pub max_registered: usize,
    /// Entries that are cached of executors that are not retained.
    pub max_unretained_entries: usize,
    /// Entries of one list.
    pub max_listed: usize,
}

/// Limits of the admin API.
#[derive(Debug)]
pub struct AdminLimits {
    /// Connections that are open at the same time.
    pub max_connections: usize,
    /// Size of one read or write buffer.
    pub buffer_bytes: usize,
    /// Bounds a call until its effect holds; callers wait a second.
    pub call_timeout: Duration,
    /// Time from a drain call until idle connections are closed and new requests are rejected.
    pub drain_settle_time: Duration,
}

/// How the sockets of a node are divided among the sides.
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
        // Two processes share the memory, but for the executors, which both of them know.
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
            max_completed_ids: memory / 4096,
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
