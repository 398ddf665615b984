//! Limits of one node: memory, connections and timeouts, computed once at start from [`LimitInputs`].
use crate::ring_buffer::INITIAL_BYTES;
use std::cell::Cell;
use std::time::Duration;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Log lines that may wait to be written; further lines are dropped.
pub const LOG_QUEUE_LINES: usize = 1024;

/// Upper bound on the interval between two polls of the endpoint list; longer settings are reduced to it.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Memory of one durable job in the ledger's index: its row, id, idempotency key and attempts.
pub const JOB_BYTES: usize = 800;

/// Memory of one retained executor at the peak, which includes parsing a new snapshot of the list.
/// `examples/fleet_memory.rs` measures it with names and addresses of up to 24 bytes.
pub const EXECUTOR_BYTES: usize = 1_200;

/// Memory of an executor that is gone or lost its place, until its handle is released.
pub const RELEASED_BYTES: usize = 960;

/// Memory of the list entry of an executor that is not retained.
pub const UNRETAINED_ENTRY_BYTES: usize = 600;

/// Memory that the Consul source needs for each executor, without the text of the answer.
pub const CONSUL_MEMBER_BYTES: usize = 960;

/// Descriptors reserved for the log, the runtime, discovery, probes and the admin API.
const SPARE_DESCRIPTORS: u64 = 24;

/// The part of [`SPARE_DESCRIPTORS`] that connections to the admin API may use.
const MAX_ADMIN_CONNECTIONS: usize = 12;

/// The share of the configured memory that is given out; the rest covers the program and fragmentation.
const BUDGETED_MEMORY_SHARE: f64 = 0.9;

/// Retained executors for each additional handle of an executor that is not released yet.
const EXECUTORS_PER_RELEASED: usize = 16;

/// Retained executors for each cached entry of one that is not retained.
const EXECUTORS_PER_UNRETAINED_ENTRY: usize = 4;

/// Memory of the id of a completed request.
const COMPLETED_ID_BYTES: usize = 24;

const MAX_LIST_BYTES: usize = 64 * MIB;
const MAX_CONSUL_ANSWER_BYTES: usize = 12 * MIB;

/// A deadline longer than this does not delay a shutdown further.
const MAX_SHUTDOWN_WAIT: Duration = Duration::from_secs(3);

/// What the deployment configures and the limits follow from.
#[derive(Clone, Default)]
pub struct LimitInputs {
    pub memory_mb: u64,
    pub max_sockets: u64,
    pub connect_timeout: Option<Duration>,
    /// How long an executor keeps an idle connection open.
    pub executor_idle_timeout: Option<Duration>,
    pub drain_grace: Option<Duration>,
    /// The longest deadline of any request class.
    pub max_deadline: Duration,
    /// Whether Consul is a source of the endpoint list. Its answers need more memory.
    pub has_consul: bool,
    /// Whether the listening socket was inherited, so that two processes share the limits for a while.
    pub has_inherited_socket: bool,
    /// Whether the node has a ledger of durable jobs.
    pub has_ledger: bool,
}

impl LimitInputs {
    fn memory_bytes(&self) -> usize {
        self.memory_mb.clamp(16, 1 << 20) as usize * MIB
    }

    fn available_sockets(&self) -> usize {
        let spare = if self.has_inherited_socket { 2 * SPARE_DESCRIPTORS } else { SPARE_DESCRIPTORS };
        (self.max_sockets.clamp(64, 1 << 20) - spare) as usize
    }

    /// Memory by a divisor, and by a larger one if answers of Consul need memory as well.
    fn memory_fraction(&self, divisor: usize, divisor_with_consul: usize) -> usize {
        self.memory_bytes() / if self.has_consul { divisor_with_consul } else { divisor }
    }

    fn process_count(&self) -> usize {
        if self.has_inherited_socket { 2 } else { 1 }
    }
}

/// Timeouts that follow from the settings and change when these are reloaded.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// The longest deadline of any request class.
    pub max_deadline: Duration,
    pub connect_timeout: Duration,
    pub probe_timeout: Duration,
    /// How long a pooled connection may be idle and still be reused.
    pub max_pooled_idle: Duration,
    /// How long attempts decided before an executor drained or disappeared are still sent to it.
    pub drained_dispatch_grace: Duration,
    /// Time from the shutdown signal until idle connections are closed.
    pub close_idle_after: Duration,
    /// Time from the shutdown signal until attempts in flight are cancelled.
    pub cancel_after: Duration,
    /// Time from the shutdown signal until requests still open get their last answer.
    pub answer_open_after: Duration,
}

impl Timeouts {
    /// Derives the timeouts from the settings.
    pub fn new(inputs: &LimitInputs) -> Self {
        let millis = Duration::from_millis;
        let connect_timeout = inputs.connect_timeout.unwrap_or(Duration::from_secs(1));
        let executor_idle_timeout = inputs.executor_idle_timeout.unwrap_or(Duration::from_secs(1));
        let wait = inputs.max_deadline.min(MAX_SHUTDOWN_WAIT);
        // New connections may still arrive for 400 ms, and clients keep using their open connections for as long
        // as an answer can arrive. The three steps have to fit in before the node is killed.
        let close_idle_after = wait.max(millis(650)).min(wait + millis(300));
        Timeouts {
            max_deadline: inputs.max_deadline,
            connect_timeout,
            probe_timeout: connect_timeout,
            max_pooled_idle: executor_idle_timeout.mul_f64(0.7),
            drained_dispatch_grace: inputs.drain_grace.unwrap_or_default().mul_f64(0.5),
            close_idle_after,
            // The platform kills a node 700 ms after the longest deadline, of which 3 s count at most.
            cancel_after: (wait + millis(200)).max(close_idle_after + millis(100)),
            answer_open_after: wait + millis(500),
        }
    }
}

/// Limits of the connections from clients.
#[derive(Debug)]
pub struct DownstreamLimits {
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
    pub max_connections: usize,
    pub buffer_bytes: usize,
    /// Bounds a call until its effect holds; callers wait a second.
    pub call_timeout: Duration,
    /// Time from a drain call until idle connections are closed and new requests are rejected.
    pub drain_settle_time: Duration,
}

/// Limits of one node.
#[derive(Debug)]
pub struct Limits {
    timeouts: Cell<Timeouts>,
    pub downstream: DownstreamLimits,
    pub upstream: UpstreamLimits,
    pub discovery: DiscoveryLimits,
    pub executor_bounds: ExecutorBounds,
    pub admin: AdminLimits,
    /// Size of one read or write buffer; the head of a message has to fit into one.
    pub connection_buffer_bytes: usize,
    pub max_body_bytes: usize,
    /// Durable jobs on record.
    pub max_durable_jobs: usize,
    /// Connections that wait to be accepted.
    pub listen_backlog: u32,
    /// Events that wait for the driver.
    pub event_queue_capacity: usize,
    /// Bytes that are read and discarded after a request that was not read to its end.
    pub max_discarded_bytes: usize,
    /// Bounds the reading of the rest of a message so that its connection can be closed cleanly or reused.
    pub rest_of_message_timeout: Duration,
    /// A node that did not run for longer than this treats what it knows as outdated.
    pub stall_threshold: Duration,
    /// Time after start from which a node serves by the cached endpoint list.
    pub cached_list_after: Duration,
    /// Bounds the writing of the last answers at the end of a shutdown.
    pub last_write_timeout: Duration,
}

/// How the sockets of a node are divided among the sides.
struct ConnectionShares {
    downstream: usize,
    rejected: usize,
    upstream: usize,
}

impl ConnectionShares {
    fn new(inputs: &LimitInputs, max_body_bytes: usize) -> Self {
        let connections = inputs.available_sockets().min(inputs.memory_bytes() / 12 / (2 * INITIAL_BYTES));
        let rejected = (connections / 16).max(2);
        let upstream_memory = 2 * inputs.memory_fraction(9, 16);
        let upstream = (connections / 3).min(upstream_memory / (2 * max_body_bytes)).max(2);
        ConnectionShares { downstream: connections - rejected - upstream, rejected, upstream }
    }
}

impl DownstreamLimits {
    fn new(inputs: &LimitInputs, shares: &ConnectionShares, max_body_bytes: usize) -> Self {
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

impl DiscoveryLimits {
    fn new(inputs: &LimitInputs) -> Self {
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

impl Limits {
    /// Derives all limits from what the deployment configures.
    pub fn new(inputs: &LimitInputs) -> Self {
        let max_body_bytes = 64 * KIB;
        let shares = ConnectionShares::new(inputs, max_body_bytes);
        let mut limits = Limits {
            timeouts: Cell::new(Timeouts::new(inputs)),
            downstream: DownstreamLimits::new(inputs, &shares, max_body_bytes),
            upstream: UpstreamLimits {
                max_connections: shares.upstream,
                duplicate_response_window: Duration::from_millis(50),
            },
            discovery: DiscoveryLimits::new(inputs),
            executor_bounds: ExecutorBounds::default(),
            admin: AdminLimits {
                max_connections: MAX_ADMIN_CONNECTIONS,
                buffer_bytes: 2 * INITIAL_BYTES,
                call_timeout: Duration::from_millis(500),
                drain_settle_time: Duration::from_millis(1000),
            },
            connection_buffer_bytes: 16 * KIB,
            max_body_bytes,
            max_durable_jobs: inputs.memory_bytes() / 14 / JOB_BYTES,
            listen_backlog: 1024,
            event_queue_capacity: 4096,
            max_discarded_bytes: 64 * KIB,
            rest_of_message_timeout: Duration::from_millis(100),
            stall_threshold: Duration::from_millis(100),
            cached_list_after: Duration::from_secs(1),
            last_write_timeout: Duration::from_millis(100),
        };
        limits.executor_bounds = limits.bound_executors(inputs);
        limits
    }

    /// The timeouts in force.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts.get()
    }

    /// Applies the timeouts of reloaded settings; sizes and counts stay as they were at start.
    pub fn update_timeouts(&self, inputs: &LimitInputs) {
        self.timeouts.set(Timeouts::new(inputs));
    }

    /// Gives executors the memory that nothing else may use.
    fn bound_executors(&self, inputs: &LimitInputs) -> ExecutorBounds {
        let budget = (inputs.memory_bytes() as f64 * BUDGETED_MEMORY_SHARE) as usize;
        let available = budget.saturating_sub(self.bytes_without_executors(inputs)) / inputs.process_count();
        let registered_bytes = EXECUTOR_BYTES + RELEASED_BYTES / EXECUTORS_PER_RELEASED;
        let (max_retained, max_unretained_entries) = if inputs.has_consul {
            // The roster of the Consul source drops executors over the bound by itself.
            (available / (registered_bytes + CONSUL_MEMBER_BYTES), 0)
        } else {
            let entry_bytes = UNRETAINED_ENTRY_BYTES / EXECUTORS_PER_UNRETAINED_ENTRY;
            let max_retained = available / (registered_bytes + entry_bytes);
            (max_retained, max_retained / EXECUTORS_PER_UNRETAINED_ENTRY)
        };
        ExecutorBounds {
            max_retained,
            max_registered: max_retained + max_retained / EXECUTORS_PER_RELEASED,
            max_unretained_entries,
            max_listed: max_retained + max_unretained_entries,
        }
    }

    /// Upper bound on the memory of everything but executors.
    fn bytes_without_executors(&self, inputs: &LimitInputs) -> usize {
        let (downstream, upstream, admin) = (&self.downstream, &self.upstream, &self.admin);
        let partial_bodies = 2 * downstream.max_partial_bodies * self.max_body_bytes;
        let response_bodies = 2 * upstream.max_connections * self.max_body_bytes;
        let downstream_buffers = downstream.max_connections * 2 * INITIAL_BYTES + downstream.buffer_bytes;
        let upstream_buffers = upstream.max_connections * self.connection_buffer_bytes * 2;
        let list_bytes = if inputs.has_consul {
            self.discovery.max_consul_answer_bytes
        } else {
            self.discovery.max_buffered_text_bytes
        };
        // Each of two processes has these of its own; only one of them has the ledger open.
        let bytes_per_process = downstream.max_completed_ids * COMPLETED_ID_BYTES
            + admin.max_connections * admin.buffer_bytes * 2
            + downstream.max_rejected_connections * 2 * INITIAL_BYTES
            + list_bytes;
        let ledger = if inputs.has_ledger { self.max_durable_jobs * JOB_BYTES } else { 0 };
        downstream.max_reserved_bytes
            + partial_bodies
            + response_bodies
            + downstream_buffers
            + upstream_buffers
            + ledger
            + inputs.process_count() * bytes_per_process
    }
}

#[cfg(test)]
#[path = "../../tests/unit/limits.rs"]
mod tests;
