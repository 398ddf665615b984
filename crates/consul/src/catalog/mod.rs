//! Merges the responses of all watches into one list of executors, and reports how it changes.
//!
//! - An executor is *unhealthy* if it is critical, in maintenance, of weight 0, or no longer listed. It is reported as
//!   draining or gone at once.
//! - The *removal limit* bounds the share of executors that may be removed within a window because responses no longer
//!   list them. Executors beyond it are retained unchanged until the window allows their removal, or until they have
//!   been missing for the maximum time.
//! - *Flap damping* adds to an executor's penalty each time it fails. The penalty decays exponentially; while it is
//!   high, an executor that recovers without a restart stays suppressed.
mod entry;
mod policy;
mod timers;

pub use policy::{CatalogPolicy, Damping, RemovalLimit};

use crate::Millis;
use crate::health::{Incarnation, ServiceInstance};
use entry::CatalogEntry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use timers::TimerSet;

/// Identifies a watch. If two watches list one executor, the one with the lower number takes precedence.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct WatchId(pub usize);

/// State of an executor for the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum InstanceState {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests.
    Draining,
    /// Is removed from the list.
    Gone,
}

/// A change of one executor.
#[derive(Clone, PartialEq, Debug)]
pub struct InstanceChange {
    /// The instance as it was last listed.
    pub instance: Rc<ServiceInstance>,
    /// Its state.
    pub state: InstanceState,
    /// When it started, in Unix time; `None` if this is unknown because it started before it was watched.
    pub started_at: Option<Millis>,
}

/// An event of the catalog, to be logged.
#[derive(Clone, PartialEq, Debug)]
pub enum CatalogEvent {
    /// More executors are missing than the limit allows to remove; the excess is retained.
    RetentionStarted {
        /// Executors that are missing and retained.
        retained: usize,
        /// Executors that are listed or retained.
        listed: usize,
    },
    /// The last retained executor was removed or is listed again.
    RetentionEnded,
    /// An executor that recovered is suppressed by flap damping.
    Suppressed {
        /// The executor.
        id: String,
        /// Its penalty.
        penalty: f64,
        /// When the suppression ends.
        until: Millis,
    },
    /// An executor is no longer suppressed.
    Reused {
        /// The executor.
        id: String,
    },
    /// The responses list more executors than the bound allows.
    Dropped {
        /// Executors that were dropped.
        count: usize,
    },
}

/// All executors that the watches list.
pub struct Catalog {
    policy: CatalogPolicy,
    /// Unix time at the caller's time 0.
    unix_offset: Millis,
    entries: BTreeMap<String, CatalogEntry>,
    /// Watches with a response. Executors in the first response are taken to have started before they were watched.
    answered: BTreeSet<WatchId>,
    /// Executors that may have changed since the last call of [`Catalog::take_changes`].
    dirty: BTreeSet<String>,
    /// Times of the removals within the current window.
    removals: VecDeque<Millis>,
    timers: TimerSet,
    has_retained: bool,
    /// Executors that the last response listed beyond the bound.
    dropped_count: usize,
    events: Vec<CatalogEvent>,
}

impl Catalog {
    /// Creates an empty catalog. `unix_offset` is the Unix time in milliseconds at the caller's time 0.
    pub fn new(policy: CatalogPolicy, unix_offset: Millis) -> Self {
        Catalog {
            policy,
            unix_offset,
            entries: BTreeMap::new(),
            answered: BTreeSet::new(),
            dirty: BTreeSet::new(),
            removals: VecDeque::new(),
            timers: TimerSet::default(),
            has_retained: false,
            dropped_count: 0,
            events: Vec::new(),
        }
    }

    /// Replaces the policy, which applies to suppressed and retained executors as well.
    pub fn set_policy(&mut self, policy: CatalogPolicy) {
        self.policy = policy;
    }

    /// Returns the number of executors that are listed or retained.
    pub fn listed_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_listed() || entry.is_retained).count()
    }

    /// Returns the number of executors that are missing from the responses and retained.
    pub fn retained_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_retained).count()
    }

    /// Returns whether a watch has had a response.
    pub fn has_answered(&self, watch: WatchId) -> bool {
        self.answered.contains(&watch)
    }

    /// Returns when a state may change next without a response.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.next_at()
    }

    /// Applies a response of a watch, with all instances that it lists.
    pub fn apply_response(&mut self, now: Millis, watch: WatchId, instances: &[Rc<ServiceInstance>]) {
        let is_first = self.answered.insert(watch);
        let listed: BTreeSet<&str> = instances.iter().map(|instance| instance.id.as_str()).collect();
        self.forget_excess(&listed);
        let mut dropped_count = 0;
        for instance in instances {
            if self.entries.contains_key(&instance.id) {
                self.update_listing(watch, instance);
            } else if self.entries.len() < self.policy.max_executors {
                self.insert(now, watch, instance, is_first);
            } else {
                dropped_count += 1;
            }
        }
        if dropped_count > 0 && dropped_count != self.dropped_count {
            self.events.push(CatalogEvent::Dropped { count: dropped_count });
        }
        self.dropped_count = dropped_count;
        self.unlist_missing(watch, &listed);
    }

    fn update_listing(&mut self, watch: WatchId, instance: &Rc<ServiceInstance>) {
        let Some(entry) = self.entries.get_mut(&instance.id) else { return };
        let is_unchanged = entry.listed_by.get(&watch).is_some_and(|listed| Rc::ptr_eq(listed, instance));
        if !is_unchanged {
            entry.listed_by.insert(watch, instance.clone());
            self.dirty.insert(instance.id.clone());
        }
    }

    fn insert(&mut self, now: Millis, watch: WatchId, instance: &Rc<ServiceInstance>, is_first: bool) {
        let started_at = match instance.incarnation {
            Incarnation::StartedAt(started_at) => Some(started_at),
            // An executor that registers while its service is watched has just started.
            Incarnation::RegisteredAt(_) if !is_first => Some(self.unix_offset + now),
            Incarnation::RegisteredAt(_) | Incarnation::Unknown => None,
        };
        let entry = CatalogEntry::new(now, watch, instance, started_at);
        self.entries.insert(instance.id.clone(), entry);
        self.dirty.insert(instance.id.clone());
    }

    fn unlist_missing(&mut self, watch: WatchId, listed: &BTreeSet<&str>) {
        for (id, entry) in &mut self.entries {
            if !listed.contains(id.as_str()) && entry.listed_by.remove(&watch).is_some() {
                self.dirty.insert(id.clone());
            }
        }
    }

    /// Makes room for the listed executors by forgetting removed ones, those that have been missing longest first.
    fn forget_excess(&mut self, listed: &BTreeSet<&str>) {
        let new = listed.iter().filter(|id| !self.entries.contains_key(**id)).count();
        let excess = (self.entries.len() + new).saturating_sub(self.policy.max_executors);
        if excess == 0 {
            return;
        }
        let removed = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.is_gone() && !entry.is_listed() && !listed.contains(id.as_str()));
        let mut removed: Vec<(Millis, String)> = removed
            .map(|(id, entry)| (entry.missing_since.unwrap_or(f64::NEG_INFINITY), id.clone()))
            .collect();
        removed.sort_by(|(left, _), (right, _)| left.total_cmp(right));
        for (_, id) in removed.into_iter().take(excess) {
            self.forget(&id);
        }
    }

    fn forget(&mut self, id: &str) {
        if let Some(timer_at) = self.entries.remove(id).and_then(|entry| entry.timer_at) {
            self.timers.cancel(timer_at, id);
        }
        self.dirty.remove(id);
    }

    /// Removes a watch that is no longer configured. Executors that only this watch lists are removed regardless of the
    /// removal limit.
    pub fn remove_watch(&mut self, watch: WatchId) {
        self.answered.remove(&watch);
        for (id, entry) in &mut self.entries {
            if entry.listed_by.remove(&watch).is_none() {
                continue;
            }
            if !entry.is_listed() {
                entry.missing_since = Some(f64::NEG_INFINITY);
            }
            self.dirty.insert(id.clone());
        }
    }

    /// Returns the changes since the last call, and the events to be logged.
    pub fn take_changes(&mut self, now: Millis) -> (Vec<InstanceChange>, Vec<CatalogEvent>) {
        while let Some(id) = self.timers.pop_expired(now) {
            self.dirty.insert(id);
        }
        let dirty = std::mem::take(&mut self.dirty);
        for id in &dirty {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.refresh(now, self.unix_offset, self.policy.damping, &mut self.events);
            }
        }
        self.apply_removal_limit(now, &dirty);
        let changes = dirty.iter().filter_map(|id| self.report(now, id)).collect();
        self.report_retention();
        (changes, std::mem::take(&mut self.events))
    }

    /// Allows the removal of missing executors as far as the window permits, and retains the others.
    fn apply_removal_limit(&mut self, now: Millis, dirty: &BTreeSet<String>) {
        let RemovalLimit { max_share, window, max_missing_time } = self.policy.removal_limit;
        while self.removals.front().is_some_and(|removed_at| *removed_at + window <= now) {
            self.removals.pop_front();
        }
        let missing =
            dirty.iter().filter(|id| self.entries.get(*id).is_some_and(CatalogEntry::is_removal_due));
        let missing: Vec<&String> = missing.collect();
        if missing.is_empty() {
            return;
        }
        let max_removals = (max_share * self.listed_at_window_start() as f64).floor() as usize;
        for id in missing {
            let is_permitted = self.removals.len() < max_removals;
            let permitted_at = self.removals.front().map_or(now + window, |removed_at| removed_at + window);
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let overdue_at = entry.missing_since.unwrap_or(now) + max_missing_time;
            if !is_permitted && now < overdue_at {
                entry.retain_until(permitted_at.min(overdue_at));
                continue;
            }
            entry.allow_removal();
            if is_permitted {
                self.removals.push_back(now);
            }
        }
    }

    /// Returns the number of executors that were listed at the start of the current window, plus those added since.
    fn listed_at_window_start(&self) -> usize {
        let listed = self.entries.values().filter(|entry| !entry.is_gone() && entry.reported.is_some());
        listed.count() + self.removals.len()
    }

    /// Returns the change of one executor, if any, and sets its timer or forgets it.
    fn report(&mut self, now: Millis, id: &str) -> Option<InstanceChange> {
        let removed_retention = self.policy.removed_retention;
        let entry = self.entries.get_mut(id)?;
        let change = entry.take_change();
        if entry.forgotten_at(removed_retention).is_some_and(|forgotten_at| now >= forgotten_at) {
            self.forget(id);
            return change;
        }
        let timer_at = entry.next_timer(removed_retention);
        if let Some(previous) = std::mem::replace(&mut entry.timer_at, timer_at) {
            self.timers.cancel(previous, id);
        }
        if let Some(timer_at) = timer_at {
            self.timers.set(timer_at, id);
        }
        change
    }

    /// Adds an event when the retention of executors starts or ends.
    fn report_retention(&mut self) {
        let retained = self.retained_count();
        let has_retained = retained > 0;
        if has_retained == std::mem::replace(&mut self.has_retained, has_retained) {
            return;
        }
        let listed = self.listed_count();
        self.events.push(match has_retained {
            true => CatalogEvent::RetentionStarted { retained, listed },
            false => CatalogEvent::RetentionEnded,
        });
    }
}
