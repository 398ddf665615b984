//! The dispatcher of one node: its state, the events that it handles and the actions that follow.
//!
//! [`Dispatcher::new`] takes settings, a seed and the time. A host reports all events of one point in time with
//! [`Dispatcher::handle_event`], then calls [`Dispatcher::poll_actions`] once and carries out the actions. That call
//! reconciles the desired state of each request with its attempts.
//!
//! The dispatcher owns the state of the rules in [`crate::policy`] and the random source, and applies the rules'
//! decisions.
mod attempts;
mod endpoints;
mod fleet;
mod probes;
mod reconcile;
mod requests;
mod settings;
mod warm_state;

use crate::event::{Event, GossipMessage};
use crate::ids::{ExecutorId, RequestId};
use crate::log_event::LogEvent;
use crate::policy::admission::{AdmissionControl, TenantQuotas};
use crate::policy::connection_reuse::ConnectionReuse;
use crate::policy::sampling::SampleSizing;
use crate::policy::start_check::StartCheck;
use crate::settings::Settings;
use crate::state::discovery_backoff::DiscoveryBackoff;
use crate::state::probe_statistics::ProbeStatistics;
use crate::state::request::Request;
use crate::state::request_class::RequestClasses;
use crate::state::timer_queue::TimerQueue;
use crate::time::Millis;
use attempts::AttemptEnd;
use fleet::Fleet;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use requests::Arrival;
use std::collections::HashMap;

/// The dispatcher of one node; the [module](self) describes how a host drives it.
pub struct Dispatcher {
    random: ChaCha8Rng,
    /// Number of nodes that share the load, at least 1.
    nodes: f64,
    classes: RequestClasses,
    quotas: TenantQuotas,
    /// Part of its value that a request over its tenant's quota retains, 0 to 1.
    over_quota_value: f64,
    retry_after_enabled: bool,
    fleet: Fleet,
    requests: HashMap<RequestId, Request>,
    /// Requests that wait at this node for capacity, in the order in which they were queued.
    queue: Vec<RequestId>,
    /// Requests to reconcile: their desired state may differ from their attempts.
    dirty: Vec<RequestId>,
    /// Executors to probe at the next [`Dispatcher::poll_actions`], unless no request awaits the probe any more.
    due_probes: Vec<ExecutorId>,
    timers: TimerQueue,
    probes: ProbeStatistics,
    sample_sizing: SampleSizing,
    admission: AdmissionControl,
    connection_reuse: ConnectionReuse,
    start_check: StartCheck,
    gossip_enabled: bool,
    /// Gossip messages to send at the next [`Dispatcher::poll_actions`].
    gossip: Vec<GossipMessage>,
    discovery: DiscoveryBackoff,
    log: Vec<LogEvent>,
}

impl Dispatcher {
    /// Creates a dispatcher without executors. It is deterministic: instances with the same settings, seed and
    /// events return the same actions.
    pub fn new(settings: &Settings, seed: u64, now: Millis) -> Self {
        let mut dispatcher = Dispatcher {
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: 1.0,
            classes: RequestClasses::default(),
            quotas: TenantQuotas::default(),
            over_quota_value: 1.0,
            retry_after_enabled: false,
            fleet: Fleet::new(),
            requests: HashMap::new(),
            queue: Vec::new(),
            dirty: Vec::new(),
            due_probes: Vec::new(),
            timers: TimerQueue::new(),
            probes: ProbeStatistics::default(),
            sample_sizing: SampleSizing::new(now),
            admission: AdmissionControl::new(),
            connection_reuse: ConnectionReuse::default(),
            start_check: StartCheck::default(),
            gossip_enabled: false,
            gossip: Vec::new(),
            discovery: DiscoveryBackoff::new(settings, now),
            log: Vec::new(),
        };
        dispatcher.apply_settings(now, settings);
        dispatcher
    }

    /// Handles one event. The resulting actions are returned by the next [`Dispatcher::poll_actions`].
    pub fn handle_event(&mut self, now: Millis, event: Event) {
        match event {
            Event::EndpointsUpdated { update, endpoints } => {
                self.on_endpoints_updated(now, update, &endpoints)
            }
            Event::EndpointWatchLost { is_rejected } => self.on_watch_lost(now, is_rejected),
            Event::RequestArrived { request_id, class, tenant, slots, time_left, is_retry, .. } => {
                let arrival = Arrival { class, tenant, slots, time_left, is_retry };
                self.on_request_arrived(now, request_id, arrival)
            }
            Event::ProbeCompleted { executor, reply } => self.on_probe_completed(now, executor, reply),
            Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed } => {
                let end = AttemptEnd { outcome, is_request_closed };
                self.on_attempt_ended(now, request_id, attempt_id, end)
            }
            Event::AttemptRecovered { request_id, executor, sent_at } => {
                self.on_attempt_recovered(now, request_id, executor, sent_at)
            }
            Event::GossipReceived(message) => self.on_gossip(now, message),
            Event::SiblingChanged { is_running } => self.fleet.record_sibling_change(now, is_running),
            Event::WarmStateReceived(state) => self.import_state(state),
            Event::AttemptStarted { request_id, attempt_id } => {
                self.on_attempt_started(now, request_id, attempt_id)
            }
            Event::AttemptProgressed { .. } => {}
            Event::TimerFired => self.timers.host_timer_fired(),
            Event::RequestWithdrawn { request_id } => self.remove_request(request_id),
        }
        while let Some(request_id) = self.timers.pop_due(now) {
            self.on_request_timer(now, request_id);
        }
    }

    /// Returns the number of executors with state: those that are listed, and those that are gone but still needed.
    pub fn executor_count(&self) -> usize {
        self.fleet.executors.len()
    }

    /// Returns the number of events dropped so far because they refer to an executor without state.
    pub fn stale_events(&self) -> u64 {
        self.fleet.executors.stale_events
    }

    /// Makes the next [`Dispatcher::poll_actions`] release the executors that are gone and no longer needed. A host
    /// that runs out of handles calls it.
    pub fn reclaim_now(&mut self) {
        self.fleet.executors.reclaim_now();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/random_events.rs"]
mod tests;
