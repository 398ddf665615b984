//! Outliers: executors that fail, are slow or reject work get a score that fades, and a weight by it.
use super::slow_start::MAX_ASSIGNED_NODES;
use crate::dispatcher::Dispatcher;
use crate::event::GossipMessage;
use crate::ids::{ExecutorId, RequestClassId, RequestId};
use crate::state::executor_table::ExecutorTable;
use crate::time::Millis;
use crate::warm_state::DecayingScore;
use rand::RngExt;

/// The shortest time constant by which scores fade.
const SCORE_FADE: Millis = 4000.0;
/// The longest one.
const MAX_SCORE_FADE: Millis = 30_000.0;
/// A score stands for so many meetings of this node with an executor, within both bounds.
const FADE_MEETINGS: f64 = 4.0;
/// A running time over the mean adds so much of its logarithm to the score.
const SLOWNESS_WEIGHT: f64 = 0.7;
/// A fault counts for as many as the fade is times the shortest one, up to so many.
const MAX_FAULT_PENALTY: f64 = 3.0;
/// Past so many outcomes each one more takes the place of one: a score tells how and not how much is done.
const MAX_OBSERVATIONS: f64 = 12.0;
/// What another node says counts for so much, and fades: it never shuts an executor out.
const GOSSIP_PENALTY: f64 = 1.5;
/// Work with fewer running times to spare feels a score more, as slow executors make it late.
const AMPLE_SLACK: f64 = 3.0;
/// The weight of an executor in another zone, where crossing is priced.
const CROSS_ZONE_PREFERENCE: f64 = 0.3;
/// From this weight on no chance is drawn.
const FULL_WEIGHT: f64 = 0.98;

impl ExecutorTable {
    /// How long a score stands, so that it outlives the time until the next meeting.
    fn score_fade(&self, now: Millis) -> Millis {
        let outcomes = self.recent_outcomes.at(now, SCORE_FADE);
        let meeting_interval = SCORE_FADE * self.ready.len().max(1) as f64 / outcomes;
        (FADE_MEETINGS * meeting_interval).clamp(SCORE_FADE, MAX_SCORE_FADE)
    }

    /// Counts an attempt that has ended.
    pub(crate) fn record_outcome(&mut self, now: Millis) {
        let outcomes = self.recent_outcomes.at(now, SCORE_FADE) + 1.0;
        self.recent_outcomes = DecayingScore { value: outcomes, set_at: now };
    }

    /// Guards against an executor that fails at once, and of which nothing would be left by the next meeting.
    pub(crate) fn record_fault(&mut self, executor: ExecutorId, now: Millis) {
        self.penalize(executor, now, (self.score_fade(now) / SCORE_FADE).min(MAX_FAULT_PENALTY));
    }

    /// Guards against slow executors; the logarithm forgives the long tail of ordinary running times.
    pub(crate) fn record_response_time(&mut self, executor: ExecutorId, now: Millis, relative: f64) {
        self.penalize(executor, now, SLOWNESS_WEIGHT * relative.ln().max(0.0));
    }

    fn penalize(&mut self, executor: ExecutorId, now: Millis, penalty: f64) {
        let fade = self.score_fade(now);
        let Some(state) = self.state_mut(executor) else { return };
        let observations = state.observations.at(now, SCORE_FADE) + 1.0;
        let retained = (MAX_OBSERVATIONS / observations).min(1.0);
        let score = (state.failure_score.at(now, fade) + penalty) * retained;
        state.failure_score = DecayingScore { value: score, set_at: now };
        state.observations = DecayingScore { value: observations * retained, set_at: now };
    }

    /// Guards against executors that reject or swallow work of one class; other nodes are told what is new.
    pub(crate) fn record_rejection(
        &mut self,
        executor: ExecutorId,
        class: RequestClassId,
        now: Millis,
    ) -> Option<GossipMessage> {
        let fade = self.score_fade(now);
        let state = self.state_mut(executor)?;
        let score = state.rejections.entry(class).or_default();
        let before = score.at(now, fade);
        let penalty = (fade / SCORE_FADE).min(MAX_FAULT_PENALTY);
        *score = DecayingScore { value: before + penalty, set_at: now };
        let token = state.endpoint.token as u32;
        (before < GOSSIP_PENALTY / 2.0).then_some(GossipMessage::WorkRejected { token, class })
    }

    /// Takes what another node says of an executor, if that is held.
    pub(crate) fn record_rejection_elsewhere(&mut self, token: u32, class: RequestClassId, now: Millis) {
        let found = self.iter().find(|state| state.endpoint.token as u32 == token);
        let executor = found.map_or(ExecutorId::default(), |state| state.endpoint.executor);
        let fade = self.score_fade(now);
        if self.expects(executor)
            && let Some(state) = self.state_mut(executor)
        {
            let score = state.rejections.entry(class).or_default();
            *score = DecayingScore { value: score.at(now, fade).max(GOSSIP_PENALTY), set_at: now };
        }
    }
}

impl Dispatcher {
    /// Chance by slow start (among many nodes its root) and by score decides who of the eligible is sampled.
    pub(crate) fn passes_health_weight(
        &mut self,
        now: Millis,
        request_id: RequestId,
        executor: ExecutorId,
    ) -> bool {
        let class_number =
            self.requests.get(&request_id).map_or(RequestClassId::default(), |request| request.class);
        let class = &self.classes[class_number];
        let state = self.executors.state(executor);
        let fade = self.executors.score_fade(now);
        let rejections = state.rejections.get(&class_number).copied().unwrap_or_default();
        let response_time = class.response_time.mean;
        let slack = (class.latency_objective + (class.terms.stretch - 1.0) * response_time) / response_time;
        let sensitivity = (AMPLE_SLACK / slack).clamp(1.0, AMPLE_SLACK);
        let exponent = if self.nodes > MAX_ASSIGNED_NODES { 0.5 } else { 1.0 };
        let progress = self.warm_up_progress(executor, now).powf(exponent);
        let preference = if self.is_cross_zone(executor) { CROSS_ZONE_PREFERENCE } else { 1.0 };
        let score = state.failure_score.at(now, fade) + rejections.at(now, fade);
        let weight = preference * progress * (-score * sensitivity).exp();
        weight > FULL_WEIGHT || self.random.random::<f64>() < weight
    }

    /// Whether a dispatch there has its price.
    pub(crate) fn is_cross_zone(&self, executor: ExecutorId) -> bool {
        self.local_zone.is_some_and(|zone| self.executors.state(executor).endpoint.zone != zone)
    }
}
