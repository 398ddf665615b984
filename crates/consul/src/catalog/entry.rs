//! One executor of a catalog.
use super::{CatalogEvent, Damping, InstanceChange, InstanceState, WatchId};
use crate::Millis;
use crate::health::{Health, Incarnation, ServiceInstance};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Penalty that one failure adds.
const FAILURE_PENALTY: f64 = 1.0;

/// The flap-damping penalty, which decays exponentially.
struct Penalty {
    value: f64,
    updated_at: Millis,
}

impl Penalty {
    /// Returns the penalty after its decay up to `now`.
    fn value_at(&self, now: Millis, half_life: Millis) -> f64 {
        self.value * f64::powf(0.5, (now - self.updated_at).max(0.0) / half_life)
    }
}

/// How an executor changed since the last refresh.
struct Transition {
    has_restarted: bool,
    was_healthy: bool,
}

/// One executor of a catalog.
pub(super) struct CatalogEntry {
    id: String,
    /// The instance that each watch lists; the watch with the lowest number takes precedence.
    pub listed_by: BTreeMap<WatchId, Rc<ServiceInstance>>,
    /// The instance as it was last listed.
    instance: Rc<ServiceInstance>,
    incarnation: Incarnation,
    started_at: Option<Millis>,
    is_healthy: bool,
    /// Since when no watch lists it; negative infinity if an operator removed its service.
    pub missing_since: Option<Millis>,
    /// Whether it is missing, but kept in the list by the removal limit.
    pub is_retained: bool,
    /// Until when it is retained, if it is.
    retained_until: Millis,
    /// When its timer expires, if one is set.
    pub timer_at: Option<Millis>,
    penalty: Penalty,
    suppressed_until: Option<Millis>,
    /// The state that was last reported to the caller.
    pub reported: Option<InstanceChange>,
}

impl CatalogEntry {
    /// Creates an entry for an executor that a watch lists for the first time.
    pub fn new(
        now: Millis,
        watch: WatchId,
        instance: &Rc<ServiceInstance>,
        started_at: Option<Millis>,
    ) -> Self {
        CatalogEntry {
            id: instance.id.clone(),
            listed_by: BTreeMap::from([(watch, instance.clone())]),
            instance: instance.clone(),
            incarnation: instance.incarnation,
            started_at,
            is_healthy: false,
            missing_since: None,
            is_retained: false,
            retained_until: 0.0,
            timer_at: None,
            penalty: Penalty { value: 0.0, updated_at: now },
            suppressed_until: None,
            reported: None,
        }
    }

    /// Returns whether any watch lists it.
    pub fn is_listed(&self) -> bool {
        !self.listed_by.is_empty()
    }

    /// Returns whether it was reported to the caller as gone.
    pub fn is_gone(&self) -> bool {
        self.reported.as_ref().is_some_and(|reported| reported.state == InstanceState::Gone)
    }

    /// Returns whether it is missing, but not yet reported as gone.
    pub fn is_removal_due(&self) -> bool {
        self.missing_since.is_some() && !self.is_gone()
    }

    /// Updates its health, its incarnation and its suppression from what the watches list. `unix_offset` plus a time is
    /// Unix time.
    pub fn refresh(
        &mut self,
        now: Millis,
        unix_offset: Millis,
        damping: Option<Damping>,
        events: &mut Vec<CatalogEvent>,
    ) {
        self.refresh_listing(now);
        let has_restarted = self.refresh_incarnation(unix_offset + now);
        let is_healthy = self.is_listed() && self.instance.weight > 0.0;
        let was_healthy = std::mem::replace(&mut self.is_healthy, is_healthy);
        if has_restarted {
            self.suppressed_until = None;
        }
        if let Some(damping) = damping {
            self.apply_damping(now, damping, Transition { has_restarted, was_healthy }, events);
        }
        self.end_suppression(now, damping, events);
    }

    fn refresh_listing(&mut self, now: Millis) {
        if let Some(instance) = self.listed_by.values().next() {
            self.instance = instance.clone();
            self.missing_since = None;
            self.is_retained = false;
        } else if self.missing_since.is_none() {
            self.missing_since = Some(now);
        }
    }

    /// Updates the incarnation, and returns whether the executor has restarted.
    fn refresh_incarnation(&mut self, unix_now: Millis) -> bool {
        let listed = self.instance.incarnation;
        if !self.is_listed() {
            return false;
        }
        if self.incarnation == Incarnation::Unknown {
            self.incarnation = listed;
            self.started_at = started_at(listed);
            return false;
        }
        if listed == self.incarnation || listed == Incarnation::Unknown {
            return false;
        }
        self.incarnation = listed;
        self.started_at = started_at(listed).or(Some(unix_now));
        true
    }

    fn apply_damping(
        &mut self,
        now: Millis,
        damping: Damping,
        transition: Transition,
        events: &mut Vec<CatalogEvent>,
    ) {
        let Transition { has_restarted, was_healthy } = transition;
        // Maintenance is an operator's decision, not a failure.
        let is_in_maintenance = self.instance.health == Health::Maintenance;
        if was_healthy && !self.is_healthy && !is_in_maintenance {
            let value = self.penalty.value_at(now, damping.half_life) + FAILURE_PENALTY;
            self.penalty = Penalty { value, updated_at: now };
        }
        let penalty = self.penalty.value_at(now, damping.half_life);
        let has_recovered = self.is_healthy && !was_healthy && !has_restarted;
        if has_recovered && penalty > damping.suppress_threshold {
            let decay_time = damping.half_life * (penalty / damping.reuse_threshold).log2();
            let until = now + decay_time.min(damping.max_suppress_time);
            self.suppressed_until = Some(until);
            events.push(CatalogEvent::Suppressed { id: self.id.clone(), penalty, until });
        }
    }

    fn end_suppression(&mut self, now: Millis, damping: Option<Damping>, events: &mut Vec<CatalogEvent>) {
        if self.suppressed_until.is_none_or(|until| until > now && damping.is_some()) {
            return;
        }
        self.suppressed_until = None;
        if self.is_healthy {
            events.push(CatalogEvent::Reused { id: self.id.clone() });
        }
    }

    /// Keeps a missing executor listed until `at`.
    pub fn retain_until(&mut self, at: Millis) {
        self.is_retained = true;
        self.retained_until = at;
    }

    /// Allows the removal of a missing executor.
    pub fn allow_removal(&mut self) {
        self.is_retained = false;
    }

    /// Returns the current state if it differs from the last reported one, and marks it as reported.
    pub fn take_change(&mut self) -> Option<InstanceChange> {
        let current = self.current_state();
        if self.reported.as_ref() == Some(&current) {
            return None;
        }
        // An executor that is gone before it was ever reported needs no report.
        let is_relevant = self.reported.is_some() || current.state != InstanceState::Gone;
        self.reported = Some(current.clone());
        is_relevant.then_some(current)
    }

    fn current_state(&self) -> InstanceChange {
        let state = if self.is_retained {
            self.reported.as_ref().map_or(InstanceState::Draining, |reported| reported.state)
        } else if !self.is_listed() {
            InstanceState::Gone
        } else if self.is_healthy && self.suppressed_until.is_none() {
            InstanceState::Ready
        } else {
            InstanceState::Draining
        };
        InstanceChange { instance: self.instance.clone(), state, started_at: self.started_at }
    }

    /// Returns when it may be forgotten, or `None` if it is not gone.
    pub fn forgotten_at(&self, removed_retention: Millis) -> Option<Millis> {
        self.missing_since.filter(|_| self.is_gone()).map(|since| since + removed_retention)
    }

    /// Returns when its state may change without a response.
    pub fn next_timer(&self, removed_retention: Millis) -> Option<Millis> {
        let retained_until = self.is_retained.then_some(self.retained_until);
        let times = [self.suppressed_until, retained_until, self.forgotten_at(removed_retention)];
        times.into_iter().flatten().reduce(f64::min)
    }
}

fn started_at(incarnation: Incarnation) -> Option<Millis> {
    match incarnation {
        Incarnation::StartedAt(started_at) => Some(started_at),
        Incarnation::RegisteredAt(_) | Incarnation::Unknown => None,
    }
}
