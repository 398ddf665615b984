//! Policy of a [`super::Catalog`].
use crate::Millis;

/// Flap damping: an executor that fails and recovers repeatedly is suppressed for a while (after RFC 2439).
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Damping {
    /// Half-life of the penalty, to which each failure adds 1.
    pub half_life: Millis,
    /// An executor that recovers with a higher penalty is suppressed...
    pub suppress_threshold: f64,
    /// ...until the penalty has decayed to this...
    pub reuse_threshold: f64,
    /// ...but not for longer than this.
    pub max_suppress_time: Millis,
}

/// Bounds how many executors may be removed at once because the responses no longer list them.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RemovalLimit {
    /// Share, from 0 to 1, of the executors listed at the window's start; rounded down.
    pub max_share: f64,
    /// The window.
    pub window: Millis,
    /// An executor that has been missing for this long is removed in any case.
    pub max_missing_time: Millis,
}

/// Policy of a catalog.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CatalogPolicy {
    /// None disables damping.
    pub damping: Option<Damping>,
    /// Bounds the removals.
    pub removal_limit: RemovalLimit,
    /// A removed executor is remembered for this long, so that its return is recognized.
    pub removed_retention: Millis,
    /// Executors of all watches together, removed ones included; these give way to listed ones.
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
