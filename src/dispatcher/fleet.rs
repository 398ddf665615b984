//! All executors of a node, and the rules that apply to them.
use crate::endpoint::LoadReport;
use crate::event::GossipMessage;
use crate::ids::{ExecutorId, RequestClassId, ZoneId};
use crate::policy::outlier::{self, FailureScore, OutlierDetection, PeerNotice, ScoreDecay};
use crate::policy::retry::RetryPolicy;
use crate::policy::sampling::{Sampler, SamplingWeight};
use crate::policy::selection::{CandidateLoad, QueueRank};
use crate::policy::slow_start::{BudgetInputs, BudgetSharing, SlowStart, warm_up_cost};
use crate::settings::Settings;
use crate::state::executor_state::ExecutorState;
use crate::state::executor_table::ExecutorTable;
use crate::state::request::Request;
use crate::state::request_class::{RequestClass, RequestClasses};
use crate::time::Millis;
use crate::warm_state::WarmUpDispatch;

/// All executors, with the state of the rules that apply to them.
pub(crate) struct Fleet {
    pub executors: ExecutorTable,
    pub slow_start: SlowStart,
    pub outliers: OutlierDetection,
    /// This node's zone; `None` if dispatches across zones have no price.
    local_zone: Option<ZoneId>,
    /// Until when the dispatches of another process of this node count against warm-up budgets: while it runs, and
    /// for one budget window after it has stopped.
    sibling_counted_until: Millis,
}

impl Fleet {
    /// Creates a fleet without executors and without slow start.
    pub fn new() -> Self {
        Fleet {
            executors: ExecutorTable::new(),
            slow_start: SlowStart::default(),
            outliers: OutlierDetection::default(),
            local_zone: None,
            sibling_counted_until: 0.0,
        }
    }

    /// Applies settings; `max_objective` is the longest latency objective of all request classes.
    pub fn apply_settings(&mut self, settings: &Settings, nodes: f64, max_objective: Millis) {
        self.slow_start = SlowStart::new(settings, nodes, max_objective);
        self.local_zone = settings.preferred_zone();
        self.executors.apply_settings(settings);
    }

    /// Records that another process of this node runs or has stopped. Its dispatches count for one more budget
    /// window after it stops.
    pub fn record_sibling_change(&mut self, now: Millis, is_running: bool) {
        self.sibling_counted_until = if is_running { f64::INFINITY } else { self.slow_start.window_end(now) };
    }

    /// Whether a dispatch to this executor crosses zones and has a price. An unknown zone counts as another one.
    pub fn is_cross_zone(&self, executor: ExecutorId) -> bool {
        self.local_zone.is_some() && self.executors.state(executor).endpoint.zone != self.local_zone
    }

    /// Whether the rules allow a dispatch of a request to an executor now.
    pub fn is_eligible(
        &self,
        now: Millis,
        class: &RequestClass,
        request: &Request,
        executor: ExecutorId,
    ) -> bool {
        let endpoint = &self.executors.state(executor).endpoint;
        let target = RetryPolicy::decide(class, &request.attempts, now).target;
        target.allows(class, endpoint)
            && class.terms.machine_type.is_none_or(|needed| needed == endpoint.machine_type)
            && self.executors.is_ready(executor)
            && self.remaining_warm_up_budget(now, executor) >= warm_up_cost(class, request.slots)
    }

    /// Work that this node may still dispatch to an executor, in slot-milliseconds; infinite without a limit.
    fn remaining_warm_up_budget(&self, now: Millis, executor: ExecutorId) -> f64 {
        let state = self.executors.state(executor);
        if !self.slow_start.is_limited(state.endpoint.started_at, now) {
            return f64::INFINITY;
        }
        let is_sibling_counted = now < self.sibling_counted_until;
        let inputs = BudgetInputs {
            endpoint: &state.endpoint,
            capacity_slots: self.executors.capacity(executor),
            spent: &state.warm_up_spent,
            sharing: if is_sibling_counted { BudgetSharing::WithSibling } else { BudgetSharing::Exclusive },
        };
        self.slow_start.remaining_budget(&inputs, now)
    }

    /// Records the cost of a dispatch, in slot-milliseconds, if a warm-up budget limits the executor.
    pub fn spend_warm_up_budget(&mut self, now: Millis, executor: ExecutorId, cost: f64) {
        let started_at = self.executors.state(executor).endpoint.started_at;
        if !self.slow_start.is_limited(started_at, now) {
            return;
        }
        let since = self.slow_start.window_start(now);
        let Some(state) = self.executors.state_mut(executor) else { return };
        state.warm_up_spent.retain(|spent| spent.at >= since);
        state.warm_up_spent.push(WarmUpDispatch { at: now, work: cost });
    }

    /// Updates the values derived from all executors: the ready ones, those in slow start that are assigned to this
    /// node, and the smallest number of slots.
    pub fn refresh(&mut self, now: Millis) {
        self.executors.collect_ready();
        let is_assigned = |&executor: &ExecutorId| {
            self.slow_start.is_assigned(&self.executors.state(executor).endpoint, now)
        };
        self.executors.assigned = self.executors.ready.iter().copied().filter(is_assigned).collect();
        self.executors.update_min_slots();
    }

    /// The executors to sample from.
    pub fn sampler(&self) -> Sampler<'_> {
        Sampler {
            ready: &self.executors.ready,
            assigned: &self.executors.assigned,
            assigned_weight: self.slow_start.assigned_weight(self.executors.assigned.len()),
        }
    }

    /// Sampling weight of an executor for a request of a class.
    pub fn sampling_weight(
        &self,
        now: Millis,
        classes: &RequestClasses,
        class: RequestClassId,
        executor: ExecutorId,
    ) -> SamplingWeight {
        let state = self.executors.state(executor);
        let rejections = state.rejections.get(&class).copied().unwrap_or_default();
        let score = self.score_decay(now).current_score(state.failure_score, rejections, now);
        SamplingWeight {
            warm_up: self.slow_start.sampling_weight(state.endpoint.started_at, now),
            health: outlier::health_weight(score, outlier::sensitivity(&classes[class])),
            is_cross_zone: self.is_cross_zone(executor),
        }
    }

    /// Ranks a candidate by its load report, for a request that needs `slots`.
    pub fn rank(&self, now: Millis, slots: f64, executor: ExecutorId, report: &LoadReport) -> QueueRank {
        let state = self.executors.state(executor);
        let load = CandidateLoad {
            report,
            // If a node ignored its own recent dispatches, it would send bursts to the same executor.
            free_slots: report.free_slots.map(|free_slots| free_slots - state.unreported_change(now)),
            total_slots: self.executors.slots_or_min(executor),
            is_cross_zone: self.is_cross_zone(executor),
        };
        QueueRank::new(&load, slots)
    }

    /// Records a fault of an executor.
    pub fn record_fault(&mut self, now: Millis, executor: ExecutorId) {
        let decay = self.score_decay(now);
        self.penalize(now, executor, decay.fault_penalty());
    }

    /// Records a response time, given as a multiple of the mean.
    pub fn record_response_time(&mut self, now: Millis, executor: ExecutorId, relative: f64) {
        self.penalize(now, executor, outlier::slowness_penalty(relative));
    }

    fn penalize(&mut self, now: Millis, executor: ExecutorId, penalty: f64) {
        let decay = self.score_decay(now);
        let Some(state) = self.executors.state_mut(executor) else { return };
        let before = FailureScore { score: state.failure_score, observations: state.observations };
        let after = decay.penalize(before, penalty, now);
        (state.failure_score, state.observations) = (after.score, after.observations);
    }

    /// Records that an executor rejected a request although its report showed free capacity. Returns the gossip
    /// message if peers are to be notified.
    pub fn record_rejection(
        &mut self,
        now: Millis,
        executor: ExecutorId,
        class: RequestClassId,
    ) -> Option<GossipMessage> {
        let decay = self.score_decay(now);
        let state = self.executors.state_mut(executor)?;
        let score = state.rejections.entry(class).or_default();
        let recorded = decay.add_rejection(*score, now);
        *score = recorded.score;
        let token = state.endpoint.token as u32;
        (recorded.notice == PeerNotice::Send).then_some(GossipMessage::RequestRejected { token, class })
    }

    /// Records a rejection that a peer reported. `token` is the lower half of the executor's token.
    pub fn record_gossiped_rejection(&mut self, now: Millis, token: u32, class: RequestClassId) {
        let has_token = |state: &&ExecutorState| state.endpoint.token as u32 == token;
        let found = self.executors.iter().find(has_token);
        // The default handle never has state, so a message with an unknown token counts as stale.
        let executor = found.map_or(ExecutorId::default(), |state| state.endpoint.executor);
        let decay = self.score_decay(now);
        if !self.executors.count_if_stale(executor)
            && let Some(state) = self.executors.state_mut(executor)
        {
            let score = state.rejections.entry(class).or_default();
            *score = decay.apply_gossip(*score, now);
        }
    }

    fn score_decay(&self, now: Millis) -> ScoreDecay {
        self.outliers.score_decay(now, self.executors.ready.len())
    }
}
