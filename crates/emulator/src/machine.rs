//! The parameters of one emulated executor and the faults that can be injected into it.
//!
//! Times are in milliseconds. Work is in milliseconds on one core of a machine of speed 1.
use std::fmt;

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// The order in which queued attempts start.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QueueOrder {
    /// First in, first out: an attempt that does not fit blocks all attempts behind it.
    InOrder,
    /// The first attempt that fits into the free slots and memory.
    Backfill,
    /// The attempt of the highest priority, which blocks the others until it fits; equal priorities in order.
    Priority,
}

/// Which attempts stop when the client cancels them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CancelScope {
    /// Cancelled attempts are executed all the same.
    None,
    /// Queued attempts are removed; running ones continue.
    Waiting,
    /// Queued and running attempts stop.
    Running,
}

/// What determines the progress of the slow start.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Ramp {
    /// Linear in the time since the start, over this duration.
    Time(Millis),
    /// Linear in the work done since the start, over this amount.
    Work(Millis),
}

/// The slow start of an executor, which begins with a share of its capacity.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SlowStart {
    /// Share of the cores that is usable right after the start.
    pub initial_capacity: f64,
    pub ramp: Ramp,
    pub overload_limit: Option<OverloadLimit>,
}

/// The load that crashes an executor during its slow start.
///
/// The executor goes down, and stays down, if the work dispatched to it within `window` exceeds `multiple` times what
/// its current capacity completes in that time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OverloadLimit {
    pub multiple: f64,
    pub window: Millis,
}

/// How old and how accurate load reports are: a report is taken every `interval` and becomes visible `delay` later, plus
/// a random part of `jitter`.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LoadReportTiming {
    /// Zero if every probe takes a report of its own.
    pub interval: Millis,
    pub delay: Millis,
    pub jitter: Millis,
    /// Standard deviation of the reported values, relative to the true ones.
    pub noise: f64,
}

/// The capacity and the behaviour of one executor.
#[derive(Clone, PartialEq, Debug)]
pub struct Machine {
    pub slots: f64,
    /// With more slots than cores, running attempts share the cores in proportion to their slots.
    pub cores: f64,
    /// Work done by one core in one millisecond.
    pub speed: f64,
    pub memory: f64,
    /// Attempts that can be queued; further ones are rejected without having started.
    pub queue_capacity: usize,
    pub queue_order: QueueOrder,
    pub slow_start: Option<SlowStart>,
    pub cancel_scope: CancelScope,
    /// Work between two checkpoints. A stopped attempt leaves its last checkpoint, from which the next attempt of the
    /// same request continues.
    pub checkpoint_interval: Option<Millis>,
    /// Whether a drain returns the queued attempts.
    pub returns_queue_on_drain: bool,
    /// Work that one probe costs; it takes precedence over all other work, on one core.
    pub probe_work: Millis,
    /// Work that one new connection costs, with the same precedence as a probe.
    pub handshake_work: Millis,
    pub max_connections: usize,
    pub load_reports: LoadReportTiming,
    /// Time between two progress reports of a running attempt.
    pub progress_interval: Option<Millis>,
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            slots: 1.0,
            cores: 1.0,
            speed: 1.0,
            memory: f64::INFINITY,
            queue_capacity: usize::MAX,
            queue_order: QueueOrder::InOrder,
            slow_start: None,
            cancel_scope: CancelScope::None,
            checkpoint_interval: None,
            returns_queue_on_drain: false,
            probe_work: 0.0,
            handshake_work: 0.0,
            max_connections: usize::MAX,
            load_reports: LoadReportTiming { interval: 0.0, delay: 0.0, jitter: 0.0, noise: 0.0 },
            progress_interval: None,
        }
    }
}

/// A temporary fault of one executor. Several can be active at once.
#[derive(Clone, PartialEq, Debug)]
pub enum Fault {
    /// All work takes `factor` times as long.
    Slow { factor: f64 },
    /// Nothing is executed and nothing is sent.
    Pause,
    /// Network loss: open connections stay open without traffic, and new ones are not established. If `restarts` is set,
    /// the machine loses its state and restarts at the end of the fault; otherwise its work continues meanwhile.
    Silence { restarts: bool },
    /// Another program takes `share` of the cores for `on`, then nothing for `off`, repeatedly.
    CpuContention { share: f64, on: Millis, off: Millis },
    /// A share of the attempts of one request class is accepted and never starts.
    NeverStart { request_class: usize, share: f64 },
    /// A share of the attempts is answered with an error at once.
    Errors { share: f64 },
    /// Load reports show `factor` times the load.
    WrongLoadReports { factor: f64 },
    /// Load reports become visible later by `delay`.
    LateLoadReports { delay: Millis },
    /// The connections of a share of the attempts are reset while they run; their work is lost.
    Resets { share: f64 },
    /// A share of the requests of one class takes longer, by a factor drawn from a Pareto distribution with exponent
    /// `alpha`.
    HeavyTail { request_class: usize, share: f64, alpha: f64 },
}

/// Formats a fault with the names that scenario files use. Plan hashes cover this text.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Slow { factor } => f.debug_struct("Slow").field("factor", factor).finish(),
            Fault::Pause => f.write_str("Pause"),
            Fault::Silence { restarts } => f.debug_struct("Silence").field("cold", restarts).finish(),
            Fault::CpuContention { share, on, off } => {
                f.debug_struct("Neighbour").field("part", share).field("on", on).field("off", off).finish()
            }
            Fault::NeverStart { request_class, share } => {
                f.debug_struct("Swallow").field("project_type", request_class).field("share", share).finish()
            }
            Fault::Errors { share } => f.debug_struct("Errors").field("share", share).finish(),
            Fault::WrongLoadReports { factor } => {
                f.debug_struct("WrongReadings").field("factor", factor).finish()
            }
            Fault::LateLoadReports { delay } => f.debug_struct("LateReadings").field("by", delay).finish(),
            Fault::Resets { share } => f.debug_struct("Resets").field("share", share).finish(),
            Fault::HeavyTail { request_class, share, alpha } => f
                .debug_struct("HeavyTail")
                .field("project_type", request_class)
                .field("share", share)
                .field("alpha", alpha)
                .finish(),
        }
    }
}
