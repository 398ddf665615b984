//! The dispatcher of one node: its state, the events that it takes and the actions that follow.
//!
//! [`Dispatcher::new`] takes settings, a seed and the time. A host hands in each event of a moment with
//! [`Dispatcher::handle_event`] and carries out the actions of one [`Dispatcher::poll_actions`] after them,
//! which alone works out the difference between what is desired of each request and what is under way.
//!
//! What is desired is decided in [`crate::policy`], whose files add to this type; nothing is decided here.
mod settings;
mod warm_state;

use crate::action::Action;
use crate::event::{Event, GossipMessage};
use crate::ids::{ExecutorId, RequestId, ZoneId};
use crate::log_event::LogEvent;
use crate::policy::admission::ADMISSION_STEPS;
use crate::policy::retry::RetryPolicy;
use crate::policy::slow_start::SlowStart;
use crate::settings::Settings;
use crate::state::adaptive_share::AdaptiveShare;
use crate::state::discovery_backoff::DiscoveryBackoff;
use crate::state::executor_table::{ExecutorState, ExecutorTable, REPORT_LIFETIME};
use crate::state::probe_statistics::ProbeStatistics;
use crate::state::request::{Attempt, DesiredState, Request, RequestClass};
use crate::state::timer_queue::TimerQueue;
use crate::state::token_bucket::TokenBucket;
use crate::time::Millis;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// The dispatcher of one node: see the [module](self) for how to drive it.
pub struct Dispatcher {
    pub(crate) random: ChaCha8Rng,
    pub(crate) nodes: f64,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) quotas: Vec<TokenBucket>,
    pub(crate) over_quota_value: f64,
    pub(crate) slow_start: SlowStart,
    pub(crate) retry_after_enabled: bool,
    /// Where this node stands, if a dispatch to another zone has its price.
    pub(crate) local_zone: Option<ZoneId>,
    pub(crate) executors: ExecutorTable,
    pub(crate) requests: HashMap<RequestId, Request>,
    pub(crate) queue: Vec<RequestId>,
    /// Requests whose desired state may differ from what is under way.
    pub(crate) dirty: Vec<RequestId>,
    pub(crate) due_probes: Vec<ExecutorId>,
    pub(crate) timers: TimerQueue,
    pub(crate) probes: ProbeStatistics,
    pub(crate) admission: AdaptiveShare,
    /// Whether executors report when an attempt begins.
    pub(crate) starts_reported: bool,
    /// How long an executor keeps a connection open idle, and until when that is not believed.
    pub(crate) idle_timeout: Millis,
    pub(crate) idle_reuse_blocked_until: Millis,
    pub(crate) gossip_enabled: bool,
    pub(crate) gossip: Vec<GossipMessage>,
    /// After how long an attempt that has not begun is checked; infinite where hedging is off.
    pub(crate) start_check_delay: Millis,
    pub(crate) discovery: DiscoveryBackoff,
    /// Until when another process of this node may dispatch as well.
    pub(crate) sibling_until: Millis,
    pub(crate) log: Vec<LogEvent>,
}

impl Dispatcher {
    /// A node that knows no executors. Of two instances with the same settings, seed and events all is the
    /// same.
    pub fn new(settings: &Settings, seed: u64, now: Millis) -> Self {
        let mut dispatcher = Dispatcher {
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: 1.0,
            classes: Vec::new(),
            quotas: Vec::new(),
            over_quota_value: 1.0,
            slow_start: SlowStart::default(),
            retry_after_enabled: false,
            local_zone: None,
            executors: ExecutorTable::new(REPORT_LIFETIME),
            requests: HashMap::new(),
            queue: Vec::new(),
            dirty: Vec::new(),
            due_probes: Vec::new(),
            timers: TimerQueue::new(),
            probes: ProbeStatistics::new(now),
            admission: AdaptiveShare::new(ADMISSION_STEPS),
            starts_reported: false,
            idle_timeout: 0.0,
            idle_reuse_blocked_until: 0.0,
            gossip_enabled: false,
            gossip: Vec::new(),
            start_check_delay: f64::INFINITY,
            discovery: DiscoveryBackoff::new(settings, now),
            sibling_until: 0.0,
            log: Vec::new(),
        };
        dispatcher.apply_settings(now, settings);
        dispatcher
    }

    /// Takes in one event; what follows from it comes with the next [`Dispatcher::poll_actions`].
    pub fn handle_event(&mut self, now: Millis, event: Event) {
        match event {
            Event::EndpointsUpdated { update, endpoints } => self.on_endpoints(now, update, &endpoints),
            Event::EndpointWatchLost { is_rejected } => {
                let lost = self.discovery.record_failure(now, self.nodes, is_rejected, &mut self.random);
                self.log.push(lost);
            }
            Event::RequestArrived { request_id, class, tenant, slots, time_left, is_retry, .. } => {
                let class = class.0 as usize;
                if class < self.classes.len() && !self.requests.contains_key(&request_id) {
                    let request = Request {
                        class,
                        slots: slots.max(1.0),
                        is_over_quota: self.is_over_quota(now, tenant, is_retry),
                        asked_at: now + time_left - self.classes[class].deadline.max(time_left),
                        deadline: now + time_left,
                        timer_at: f64::INFINITY,
                        ..Request::default()
                    };
                    self.on_request(now, request_id, request);
                }
            }
            Event::ProbeCompleted { executor, reply } => self.on_probe(now, executor, reply),
            Event::AttemptEnded { request_id, attempt_id, outcome, is_request_closed } => {
                self.on_attempt_ended(now, request_id, attempt_id, outcome, is_request_closed)
            }
            Event::AttemptRecovered { request_id, executor, sent_at } => {
                self.on_attempt_recovered(now, request_id, executor, sent_at)
            }
            Event::GossipReceived(GossipMessage::IdleConnectionLost) => self.block_idle_reuse(now, false),
            Event::GossipReceived(GossipMessage::WorkRejected { token, class }) => {
                self.executors.record_rejection_elsewhere(token, class, now)
            }
            Event::SiblingChanged { is_running: true } => self.sibling_until = f64::INFINITY,
            Event::SiblingChanged { is_running: false } => {
                self.sibling_until = now + self.slow_start.rules.budget_window
            }
            Event::WarmStateReceived(state) => self.import_state(state),
            Event::AttemptStarted { request_id, attempt_id } => {
                self.on_attempt_started(now, request_id, attempt_id)
            }
            Event::AttemptProgressed { .. } => {}
            Event::TimerFired => self.timers.host_timer_fired(),
            Event::RequestWithdrawn { request_id } => self.forget(request_id),
        }
        while let Some(request_id) = self.timers.pop_due(now) {
            self.on_timer(now, request_id);
        }
    }

    pub(crate) fn forget(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.remove(&request_id) else { return };
        // What is still in flight after its answer is left to the reports to show.
        for attempt in request.attempts.iter().filter(|attempt| attempt.is_in_flight()) {
            let Some(state) = self.executors.state_mut(attempt.executor) else { continue };
            state.slots_in_flight = (state.slots_in_flight - request.slots).max(0.0);
        }
        self.queue.retain(|&queued| queued != request_id);
        self.timers.remove(request_id, request.timer_at);
    }

    pub(crate) fn set_desired(&mut self, request_id: RequestId, desired: DesiredState, timer_at: Millis) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        self.timers.remove(request_id, request.timer_at);
        self.queue.retain(|&queued| queued != request_id);
        if desired == DesiredState::Queued {
            self.queue.push(request_id);
        }
        (request.desired, request.timer_at) = (desired, timer_at);
        self.timers.insert(request_id, timer_at);
        self.dirty.push(request_id);
    }

    /// Leaves a request to the attempts that it has.
    pub(crate) fn await_attempts(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.get(&request_id) else { return };
        let Some(last) = request.attempts.last() else { return };
        let (executor, deadline, attempts) = (last.executor, request.deadline, request.attempts.len());
        let desired = DesiredState::Dispatched { executor, deadline, attempts };
        self.set_desired(request_id, desired, f64::INFINITY);
    }

    /// The difference between what is desired and what is under way; the only place that acts.
    pub fn poll_actions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.discovery.take_due_call(now) {
            actions.push(Action::WatchEndpoints);
        }
        for request_id in std::mem::take(&mut self.dirty) {
            self.reconcile(now, request_id, actions);
        }
        for executor in std::mem::take(&mut self.due_probes) {
            let is_wanted =
                |state: &&mut ExecutorState| !state.is_probe_in_flight && !state.awaiting_probe.is_empty();
            if let Some(state) = self.executors.state_mut(executor).filter(is_wanted) {
                state.is_probe_in_flight = true;
                actions.push(Action::Probe { executor });
            }
        }
        let gossip_enabled = self.gossip_enabled;
        actions.extend(self.gossip.drain(..).filter(|_| gossip_enabled).map(Action::Gossip));
        self.reclaim(now, actions);
        let next = self.timers.first().min(self.discovery.next_call_at).min(self.executors.reclaim_at());
        actions.extend(self.timers.arm_host_timer(next).map(|at| Action::SetTimer { at }));
        actions.extend(self.log.drain(..).map(Action::Log));
    }

    fn reconcile(&mut self, now: Millis, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&request_id) else { return };
        match request.desired {
            DesiredState::Dispatched { executor, deadline, attempts }
                if request.attempts.len() < attempts =>
            {
                self.start_attempt(now, request_id, executor, deadline, actions)
            }
            DesiredState::Probing | DesiredState::Queued | DesiredState::Dispatched { .. } => {}
            DesiredState::Rejected { retry_after } => {
                self.forget(request_id);
                actions.push(Action::Reject { request_id, retry_after })
            }
            DesiredState::Failed => {
                self.forget(request_id);
                actions.push(Action::Fail { request_id })
            }
        }
    }

    fn start_attempt(
        &mut self,
        now: Millis,
        request_id: RequestId,
        executor: ExecutorId,
        attempt_deadline: Millis,
        actions: &mut Vec<Action>,
    ) {
        let idle_time = now - self.executors.state(executor).last_used;
        if self.closes_idle_connections(now, idle_time) {
            actions.push(Action::CloseIdleConnections { executor });
        }
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let class = &self.classes[request.class];
        let send_deadline = RetryPolicy::send_deadline(class, request, attempt_deadline);
        request.attempts.push(Attempt::new(executor, now, idle_time));
        actions.push(Action::Dispatch { request_id, executor, attempt_deadline, send_deadline });
    }

    /// Releases the executors that are gone and that nothing can need any more, once that is due.
    fn reclaim(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.executors.reclaim_at() {
            return;
        }
        let spent_since = now - self.slow_start.rules.budget_window;
        let named = self.requests.values().flat_map(Request::executors);
        let released = self.executors.reclaim(now, spent_since, named);
        actions.extend(released.into_iter().map(|executor| Action::ReleaseExecutor { executor }));
    }

    /// The number of executors whose state is held: those in force, and those that are gone and still needed.
    pub fn executor_count(&self) -> usize {
        self.executors.len()
    }

    /// The number of events so far that came for executors that are no longer held, and were dropped.
    pub fn stale_events(&self) -> u64 {
        self.executors.stale_events
    }

    /// Has the executors that are gone looked over with the next [`Dispatcher::poll_actions`], for a host
    /// that is short of handles.
    pub fn reclaim_now(&mut self) {
        self.executors.reclaim_now();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/random_days.rs"]
mod tests;
