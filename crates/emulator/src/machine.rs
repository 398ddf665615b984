//! The figures of one emulated executor and the troubles that may befall it. Nothing happens here.
//!
//! Times are in milliseconds. Work is in milliseconds on one core of a machine of speed 1.

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// Which waiting allocation starts next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QueueOrder {
    /// The first waits until it fits, and all others behind it.
    InOrder,
    /// The first one that fits now.
    Backfill,
    /// The one of the highest priority waits until it fits; equal ones in order.
    Priority,
}

/// What a client that gives an allocation up can stop.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CancelPower {
    Nothing,
    Waiting,
    Running,
}

/// What a fresh executor warms up by.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Ramp {
    /// Evenly, over so long since its start.
    Time(Millis),
    /// Evenly, with the work that it has done since its start.
    Work(Millis),
}

/// A start at a share of capacity.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Cold {
    /// Of the cores, right after the start.
    pub share: f64,
    pub ramp: Ramp,
    pub fall: Option<Fall>,
}

/// A cold executor that is sent more work within `window` than `multiple` times what its present capacity
/// does in that span goes down and stays down.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Fall {
    pub multiple: f64,
    pub window: Millis,
}

/// How load readings come about: made every `refresh`, seen `delay` later, give or take `jitter`.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Readings {
    pub refresh: Millis,
    pub delay: Millis,
    pub jitter: Millis,
    /// Standard deviation of what is shown, as a share of it.
    pub noise: f64,
}

/// What one executor is made of.
#[derive(Clone, PartialEq, Debug)]
pub struct Machine {
    pub slots: f64,
    /// With more slots than cores, running work shares the cores evenly by slot.
    pub cores: f64,
    /// Work done in a millisecond by one core.
    pub speed: f64,
    pub memory: f64,
    /// Allocations that may wait; beyond it they are turned away unstarted.
    pub waiting_room: usize,
    pub order: QueueOrder,
    pub cold: Option<Cold>,
    pub cancels: CancelPower,
    /// Work that was stopped goes on from its last checkpoint, where the same work unit comes back.
    pub checkpoint_every: Option<Millis>,
    /// Whether a drain hands back what has not started.
    pub drain_returns: bool,
    /// Work that a probe and a new connection cost; it goes before all other work, on one core.
    pub probe_work: Millis,
    pub handshake_work: Millis,
    pub connections: usize,
    pub readings: Readings,
    /// Running allocations say how far they are this often.
    pub progress_every: Option<Millis>,
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            slots: 1.0,
            cores: 1.0,
            speed: 1.0,
            memory: f64::INFINITY,
            waiting_room: usize::MAX,
            order: QueueOrder::InOrder,
            cold: None,
            cancels: CancelPower::Nothing,
            checkpoint_every: None,
            drain_returns: false,
            probe_work: 0.0,
            handshake_work: 0.0,
            connections: usize::MAX,
            readings: Readings { refresh: 0.0, delay: 0.0, jitter: 0.0, noise: 0.0 },
            progress_every: None,
        }
    }
}

/// Something that goes wrong on one executor for a while. Several may act at once.
#[derive(Clone, PartialEq, Debug)]
pub enum Trouble {
    /// All work takes so many times as long.
    Slow { factor: f64 },
    /// Nothing happens, and nothing is said.
    Pause,
    /// Cut off: open connections stay open and say nothing, new ones never come up. Where `cold`, the machine
    /// lost what it had and starts anew at the end; else work went on meanwhile.
    Silence { cold: bool },
    /// Another program takes a part of the cores, on and off.
    Neighbour { part: f64, on: Millis, off: Millis },
    /// Work of one project type is taken and never starts, in a share of the cases.
    Swallow { project_type: usize, share: f64 },
    /// So large a share is answered with an error at once.
    Errors { share: f64 },
    /// Readings show so many times the load.
    WrongReadings { factor: f64 },
    /// Readings are so much later.
    LateReadings { by: Millis },
    /// The connections of so large a share of the work break while it runs; the work is lost.
    Resets { share: f64 },
    /// So large a share of the work of one project type takes longer, by a factor drawn from a Pareto
    /// distribution with this exponent.
    HeavyTail { project_type: usize, share: f64, alpha: f64 },
}
