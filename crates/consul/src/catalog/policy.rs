//! Policy of a [`super::Catalog`]: flap damping, the removal limit and bounds.
use crate::Millis;

/// Flap damping: an executor that fails and recovers repeatedly is suppressed for a while (after RFC 2439).
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Damping {
    /// Half-life of the penalty, in milliseconds. Each failure adds 1 to the penalty.
    pub half_life: Millis,
    /// An executor that recovers while its penalty is higher than this is suppressed.
    pub suppress_threshold: f64,
    /// Suppression ends when the penalty has decayed to this.
    pub reuse_threshold: f64,
    /// Upper bound on the duration of one suppression, in milliseconds.
    pub max_suppress_time: Millis,
}

/// Bounds how many executors may be removed within a window because the responses no longer list them.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RemovalLimit {
    /// Share, from 0 to 1, of the executors listed at the start of the window or added since; the resulting count is
    /// rounded down.
    pub max_share: f64,
    /// Length of the window, in milliseconds.
    pub window: Millis,
    /// An executor that has been missing for this long, in milliseconds, is removed regardless of the limit.
    pub max_missing_time: Millis,
}

/// Policy of a catalog.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CatalogPolicy {
    /// Flap damping; `None` disables it.
    pub damping: Option<Damping>,
    /// Bound on the removals.
    pub removal_limit: RemovalLimit,
    /// How long a removed executor is remembered, in milliseconds, so that its return is recognized.
    pub removed_retention: Millis,
    /// Upper bound on the executors of all watches together, removed ones included. Removed ones are forgotten to make
    /// room for listed ones.
    pub max_executors: usize,
}

impl Default for CatalogPolicy {
    fn default() -> Self {
        CatalogPolicy {
            damping: Some(Damping {
                half_life: 15_000.0,
                suppress_threshold: 1.5,
                reuse_threshold: 0.75,
                max_suppress_time: 60_000.0,
            }),
            removal_limit: RemovalLimit { max_share: 0.5, window: 30_000.0, max_missing_time: 300_000.0 },
            removed_retention: 600_000.0,
            max_executors: 10_000,
        }
    }
}
