//! Limits of one node: memory, connections and timeouts, computed once at start from [`LimitInputs`].
mod components;
mod timeouts;

pub use components::{AdminLimits, DiscoveryLimits, DownstreamLimits, ExecutorBounds, UpstreamLimits};
pub use timeouts::Timeouts;

use crate::ring_buffer::INITIAL_BYTES;
use components::ConnectionShares;
use std::cell::Cell;
use std::ops::RangeInclusive;
use std::time::Duration;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Maximum number of log lines that wait to be written; further lines are dropped.
pub const LOG_QUEUE_LINES: usize = 1024;

/// Maximum interval between two polls of the endpoint list; a longer setting is reduced to it.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// The ledger's index may use the memory divided by this number; `docs/durable.md` states it.
const LEDGER_MEMORY_DIVISOR: usize = 14;

/// Memory in bytes of one durable job in the ledger's index: its row, id, idempotency key and attempts.
pub const JOB_BYTES: usize = 800;

/// Memory in bytes of one retained executor, with a name and an address of up to 24 bytes each, while a new snapshot
/// of the list is parsed. `examples/fleet_memory.rs` prints it.
pub const EXECUTOR_BYTES: usize = 1_200;

/// Memory in bytes of an executor that is gone or no longer retained, until its handle is released.
pub const RELEASED_BYTES: usize = 960;

/// Memory in bytes of the list entry of an executor that is not retained.
pub const UNRETAINED_ENTRY_BYTES: usize = 600;

/// Memory in bytes that the Consul source needs per executor, without the text of the answer.
pub const CONSUL_MEMBER_BYTES: usize = 960;

/// Number of file descriptors reserved for the log, the runtime, discovery, probes and the admin API.
const SPARE_DESCRIPTORS: u64 = 24;

/// The range of memory sizes in MiB that the limits support; a value outside is clamped to it.
const MEMORY_MB_RANGE: RangeInclusive<u64> = 16..=1 << 20;

/// The range of socket counts that the limits support; a value outside is clamped to it. The lowest leaves some
/// sockets after the reserved descriptors of two processes.
const SOCKETS_RANGE: RangeInclusive<u64> = 64..=1 << 20;

/// The fraction of the configured memory that the limits assign; the rest covers the program and fragmentation.
const BUDGETED_MEMORY_SHARE: f64 = 0.9;

/// Number of retained executors per additional handle for an executor that is not released yet.
const EXECUTORS_PER_RELEASED: usize = 16;

/// Number of retained executors per cached entry of an executor that is not retained.
const EXECUTORS_PER_UNRETAINED_ENTRY: usize = 4;

/// Memory in bytes of the id of a completed request.
const COMPLETED_ID_BYTES: usize = 24;

/// The configuration values from which the limits are derived.
#[derive(Clone, Default)]
pub struct LimitInputs {
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// Maximum number of open sockets.
    pub max_sockets: u64,
    /// Bounds the establishment of a connection.
    pub connect_timeout: Option<Duration>,
    /// How long an executor keeps an idle connection open.
    pub executor_idle_timeout: Option<Duration>,
    /// How long a draining executor still accepts requests.
    pub drain_grace: Option<Duration>,
    /// The longest deadline of any request class.
    pub max_deadline: Duration,
    /// Whether Consul is a source of the endpoint list; its answers need more memory.
    pub has_consul: bool,
    /// Whether the listening socket was inherited, so that two processes share the limits during a hot restart.
    pub has_inherited_socket: bool,
    /// Whether the node has a ledger of durable jobs.
    pub has_ledger: bool,
}

impl LimitInputs {
    fn memory_bytes(&self) -> usize {
        self.memory_mb.clamp(*MEMORY_MB_RANGE.start(), *MEMORY_MB_RANGE.end()) as usize * MIB
    }

    fn available_sockets(&self) -> usize {
        let spare = if self.has_inherited_socket { 2 * SPARE_DESCRIPTORS } else { SPARE_DESCRIPTORS };
        (self.max_sockets.clamp(*SOCKETS_RANGE.start(), *SOCKETS_RANGE.end()) - spare) as usize
    }

    /// The memory divided by a divisor; by a larger one if answers of Consul need memory as well.
    fn memory_fraction(&self, divisor: usize, divisor_with_consul: usize) -> usize {
        self.memory_bytes() / if self.has_consul { divisor_with_consul } else { divisor }
    }

    fn process_count(&self) -> usize {
        if self.has_inherited_socket { 2 } else { 1 }
    }
}

/// The limits of a node.
#[derive(Debug)]
pub struct Limits {
    timeouts: Cell<Timeouts>,
    /// Limits of connections from clients.
    pub downstream: DownstreamLimits,
    /// Limits of connections to executors.
    pub upstream: UpstreamLimits,
    /// Limits of the sources of the endpoint list.
    pub discovery: DiscoveryLimits,
    /// Bounds on the number of executors.
    pub executor_bounds: ExecutorBounds,
    /// Limits of the admin API.
    pub admin: AdminLimits,
    /// Size of one read or write buffer in bytes; the head of a message must fit into one.
    pub connection_buffer_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of recorded durable jobs.
    pub max_durable_jobs: usize,
    /// Maximum number of connections that wait to be accepted.
    pub listen_backlog: u32,
    /// Maximum number of events that wait for the driver.
    pub event_queue_capacity: usize,
    /// Bytes that are read and discarded after a request that was not read to its end.
    pub max_discarded_bytes: usize,
    /// Bounds the time to read the rest of a message, so that its connection can be closed cleanly or reused.
    pub rest_of_message_timeout: Duration,
    /// A node that did not run for longer than this treats its information as outdated.
    pub stall_threshold: Duration,
    /// Time after the start at which a node begins to serve with the cached endpoint list.
    pub cached_list_after: Duration,
    /// Bounds the time to write the last answers at the end of a shutdown.
    pub last_write_timeout: Duration,
}

impl Limits {
    /// Derives all limits from the configuration.
    pub fn new(inputs: &LimitInputs) -> Self {
        let max_body_bytes = 64 * KIB;
        let shares = ConnectionShares::new(inputs, max_body_bytes);
        let mut limits = Limits {
            timeouts: Cell::new(Timeouts::new(inputs)),
            downstream: DownstreamLimits::new(inputs, &shares, max_body_bytes),
            upstream: UpstreamLimits::new(&shares),
            discovery: DiscoveryLimits::new(inputs),
            executor_bounds: ExecutorBounds::default(),
            admin: AdminLimits::new(),
            connection_buffer_bytes: 16 * KIB,
            max_body_bytes,
            max_durable_jobs: inputs.memory_bytes() / LEDGER_MEMORY_DIVISOR / JOB_BYTES,
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

    /// The current timeouts.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts.get()
    }

    /// Applies the timeouts of reloaded settings; sizes and counts stay as they were at the start.
    pub fn update_timeouts(&self, inputs: &LimitInputs) {
        self.timeouts.set(Timeouts::new(inputs));
    }

    /// Assigns the memory that no other limit uses to executors.
    fn bound_executors(&self, inputs: &LimitInputs) -> ExecutorBounds {
        let budget = (inputs.memory_bytes() as f64 * BUDGETED_MEMORY_SHARE) as usize;
        let available = budget.saturating_sub(self.bytes_without_executors(inputs)) / inputs.process_count();
        let registered_bytes = EXECUTOR_BYTES + RELEASED_BYTES / EXECUTORS_PER_RELEASED;
        let (max_retained, max_unretained_entries) = if inputs.has_consul {
            // The catalog of the Consul source drops executors above the bound by itself.
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

    /// The maximum memory in bytes of all parts of the node other than executors.
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
        // Each of two processes needs these separately; only one of them has the ledger open.
        let bytes_per_process = (downstream.max_completed_ids + downstream.max_protected_ids)
            * COMPLETED_ID_BYTES
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
#[path = "../../../tests/unit/limits.rs"]
mod tests;
