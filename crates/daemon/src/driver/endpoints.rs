//! Applies updates of the endpoint list, the retention of executors and exclusions by operators.
use super::Driver;
use crate::event::{CallOrigin, EndpointUpdate};
use crate::hot_restart::codec::Message;
use crate::membership::Membership;
use crate::protocol::EndpointEntry;
use crate::retention::{EndpointRetention, RetainedEntries, RetentionChange, RetentionStatistics};
use crate::upstream::ExecutorEndpoint;
use std::collections::BTreeSet;
use troutknot::{Endpoint, EndpointState, Event as CoreEvent, ExecutorId, ListUpdate, Millis};
use troutknot_membership::ExecutorRegistry;

/// The entries of the executors that are retained at present, for [`EndpointRetention`].
pub(super) struct RetainedExecutors<'a> {
    registry: &'a ExecutorRegistry,
    membership: &'a Membership,
}

impl RetainedEntries for RetainedExecutors<'_> {
    fn entry(&self, name: &str) -> Option<&EndpointEntry> {
        self.membership.entry(self.registry.get(name)?)
    }

    fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.membership.listed()
    }
}

impl Driver {
    /// Applies an update of the endpoint list.
    pub(super) fn handle_endpoint_update(&mut self, now: Millis, update: EndpointUpdate) {
        let EndpointUpdate { update_type, entries, version, dropped_entries } = update;
        let selected = match update_type {
            ListUpdate::Delta => self.select(|retention, retained| retention.apply_delta(entries, retained)),
            _ => self.select_snapshot(entries, dropped_entries),
        };
        let endpoints = self.register_all(selected);
        if update_type != ListUpdate::Cached {
            self.drop_excess_exclusions();
        }
        self.membership.version = version.or(self.membership.version);
        if update_type != ListUpdate::Cached {
            self.lifecycle.update(|conditions| conditions.has_endpoint_list = true);
        }
        self.dispatcher.handle_event(now, CoreEvent::EndpointsUpdated { update: update_type, endpoints });
        self.reclaim_handles();
    }

    /// If entries that are to be retained were deferred because all handles are in use, makes the dispatcher release
    /// the executors that are gone without delay.
    pub(super) fn reclaim_handles(&mut self) {
        if self.retention.has_retainable_entry() {
            self.dispatcher.reclaim_now();
        }
    }

    /// Selects the entries of a snapshot to retain. Executors that the snapshot does not list are marked as gone.
    fn select_snapshot(&mut self, entries: Vec<EndpointEntry>, dropped_entries: usize) -> Vec<EndpointEntry> {
        let selected = self.select(|retention, _| retention.apply_snapshot(entries, dropped_entries));
        self.drain_missing(&selected);
        self.reserve(selected.len());
        selected
    }

    /// Applies an update to the retention, and returns the entries to register.
    fn select(
        &mut self,
        change: impl FnOnce(&mut EndpointRetention, &RetainedExecutors) -> RetentionChange,
    ) -> Vec<EndpointEntry> {
        let retained = RetainedExecutors { registry: &self.registry, membership: &self.membership };
        let change = change(&mut self.retention, &retained);
        if change.duplicates > 0 {
            tracing::warn!(
                count = change.duplicates,
                "endpoint list with duplicate entries, the last of each counts"
            );
        }
        if change.needs_snapshot {
            self.watch_requests.snapshot.notify_one();
        }
        change.entries
    }

    /// Allocates memory for the executors of a snapshot, and an eighth more, in one step: growing in several steps
    /// would leave as much memory unused.
    fn reserve(&mut self, executors: usize) {
        if executors <= self.registry.capacity() {
            return;
        }
        let executors = executors + executors / 8;
        self.registry.reserve(executors);
        self.membership.reserve(executors);
        self.executors.reserve(executors);
    }

    /// Stops dispatching to executors that a snapshot does not list or that are no longer retained.
    fn drain_missing(&mut self, selected: &[EndpointEntry]) {
        let mut missing: BTreeSet<ExecutorId> = self.registry.handles().collect();
        for entry in selected {
            if let Some(executor) = self.registry.get(&entry.id) {
                missing.remove(&executor);
            }
        }
        for executor in missing {
            self.membership.mark_gone(executor);
            self.executors.start_draining(executor);
        }
    }

    /// Registers selected entries. Entries for which no handle is free are deferred until executors are released.
    fn register_all(&mut self, entries: Vec<EndpointEntry>) -> Vec<Endpoint> {
        let max_registered = self.executors.limits.executor_bounds.max_registered;
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            match self.registry.register_within(&entry.id, max_registered) {
                Some(executor) => endpoints.push(self.update_endpoint(executor, entry)),
                None => self.retention.defer(entry),
            }
        }
        endpoints
    }

    /// Retains entries that [`EndpointRetention`] has cached, after executors were released. Returns whether any entry
    /// was retained.
    pub(super) fn retain_cached_entries(&mut self, now: Millis) -> bool {
        if !std::mem::take(&mut self.has_released) || !self.retention.has_retainable_entry() {
            return false;
        }
        let selected = self.select(|retention, retained| retention.apply_delta(Vec::new(), retained));
        let endpoints = self.register_all(selected);
        let has_retained = !endpoints.is_empty();
        self.update_outside_discovery(now, endpoints);
        has_retained
    }

    /// Applies the entry of one executor, with exclusions taken into account, to the connection pool, and returns the
    /// endpoint for the dispatcher.
    pub(super) fn update_endpoint(&mut self, executor: ExecutorId, entry: EndpointEntry) -> Endpoint {
        let entry = self.membership.update(executor, entry);
        let mut endpoint = self.codec.load().endpoint(&entry, executor);
        let address = entry.address.parse().ok();
        if address.is_none() && endpoint.state == EndpointState::Ready {
            tracing::warn!(executor = %entry.id, address = %entry.address, "executor address not valid");
            endpoint.state = EndpointState::Draining;
        }
        let is_ready = endpoint.state == EndpointState::Ready;
        self.executors
            .set_endpoint(executor, ExecutorEndpoint { address, started_at: endpoint.started_at, is_ready });
        tracing::debug!(
            executor = %entry.id,
            state = ?endpoint.state,
            started_at = ?endpoint.started_at,
            "endpoint updated"
        );
        endpoint
    }

    /// Excludes an executor or includes it again, in this process and in the sibling process.
    pub(super) fn set_excluded(&mut self, now: Millis, name: String, is_excluded: bool, origin: CallOrigin) {
        let is_present = self.is_listed_or_excluded(&name);
        if is_present || matches!(origin, CallOrigin::Sibling(_)) {
            self.apply_exclusion(now, &name, is_excluded);
        }
        match origin {
            CallOrigin::Operator(done) if is_present => {
                let message = |number| Message::SetExcluded { executor: name, is_excluded, number };
                self.sibling.replicate(message, done);
            }
            CallOrigin::Operator(done) => _ = done.send(false),
            CallOrigin::Sibling(number) => self.sibling.send(Message::Acknowledged { number }),
        }
    }

    /// Whether an executor is registered, listed but not retained, or excluded. An executor that is gone can still be
    /// included again.
    fn is_listed_or_excluded(&self, name: &str) -> bool {
        self.registry.get(name).is_some()
            || self.retention.unretained_entry(name).is_some()
            || self.membership.is_excluded(name)
    }

    fn apply_exclusion(&mut self, now: Millis, name: &str, is_excluded: bool) {
        let executor = self.registry.get(name);
        let changed = self.membership.set_excluded(executor, name, is_excluded);
        self.drop_excess_exclusions();
        let Some((executor, entry)) = executor.zip(changed) else { return };
        let endpoints = vec![self.update_endpoint(executor, entry)];
        self.update_outside_discovery(now, endpoints);
    }

    /// Informs the dispatcher of endpoints that changed without an update of the list. The update is marked as an
    /// operator's, so that the dispatcher does not count the list as received.
    fn update_outside_discovery(&mut self, now: Millis, endpoints: Vec<Endpoint>) {
        let update = ListUpdate::Operator;
        self.dispatcher.handle_event(now, CoreEvent::EndpointsUpdated { update, endpoints });
    }

    /// Sets the executors that are excluded from the start.
    pub fn exclude(&mut self, names: &[String]) {
        self.membership.import_excluded(names);
    }

    /// Bounds the exclusions of executors that are not listed.
    fn drop_excess_exclusions(&mut self) {
        let Driver { membership, retention, .. } = self;
        membership.drop_excess_exclusions(|name| retention.unretained_entry(name).is_some());
    }

    /// Frees the handle of an executor that is gone and that no attempt refers to.
    pub(super) fn release(&mut self, executor: ExecutorId) {
        self.membership.release(executor);
        self.executors.release(executor);
        self.has_released = true;
        if let Some(name) = self.registry.release(executor) {
            tracing::debug!(executor = %name, count = self.registry.len(), "executor released");
        }
    }

    /// Publishes how many executors are retained, and logs it if the number of unretained ones has changed.
    pub(super) fn log_retention(&mut self) {
        let statistics = self.retention.statistics();
        let previous = self.retention_statistics.replace(statistics);
        let RetentionStatistics { listed, retained, unretained, bound } = statistics;
        if unretained == previous.unretained {
            return;
        }
        if unretained == 0 {
            tracing::info!(listed, retained, unretained, bound, "all listed executors are retained");
        } else {
            tracing::warn!(
                listed,
                retained,
                unretained,
                bound,
                "more executors are listed than fit into memory"
            );
        }
    }
}
