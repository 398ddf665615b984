//! What one process of a node tells the next: what is known, copied out and in. Nothing is decided here.
use super::*;

impl Dispatcher {
    /// What a process of this node after this one goes on from.
    pub fn learned(&self, now: Millis) -> WarmState {
        let (f, m) = (&self.fleet, &self.monitoring);
        let counts = |spent: &(Millis, f64)| spent.0 >= now - self.cold.fall;
        // One that is gone may be back with the same start while what was spent of its cold budget counts.
        let handed_on = |state: &&ExecutorState| {
            state.listing.state != EndpointState::Gone || state.cold_spent.iter().any(counts)
        };
        let learned = |state: &ExecutorState| ExecutorWarmState {
            executor: state.listing.executor,
            failure_score: state.failure_score,
            observations: state.observations,
            max_slots: state.most_slots,
            warm_up_spent: state.cold_spent.iter().copied().filter(counts).collect(),
        };
        let (mean_run, waiting_share, lag, draws) = (f.mean_run, m.waiting_share, m.lag, m.draws);
        let executors = f.iter().filter(|state| handed_on(state)).map(learned).collect();
        let runs = self.types.iter().map(|kind| (kind.run, kind.runs_seen)).collect();
        WarmState {
            executors,
            class_running_times: runs,
            mean_running_time: mean_run,
            busy_probe_ratio: waiting_share,
            probe_latency: lag,
            sample_size: draws,
        }
    }

    pub(super) fn on_learned(&mut self, learned: WarmState) {
        let (f, m) = (&mut self.fleet, &mut self.monitoring);
        for l in learned.executors {
            if f.expects(l.executor)
                && let Some(state) = f.state_mut(l.executor)
            {
                (state.failure_score, state.observations) = (l.failure_score, l.observations);
                (state.most_slots, state.cold_spent) = (l.max_slots, l.warm_up_spent);
            }
        }
        for (kind, (run, seen)) in
            self.types.iter_mut().zip(learned.class_running_times).filter(|(_, run)| run.1 > 0.0)
        {
            // What it waited is not told apart; that is less than the truth for fresh executors.
            (kind.run, kind.work, kind.runs_seen) = (run, run, seen);
        }
        (f.mean_run, m.lag) = (learned.mean_running_time, learned.probe_latency);
        m.waiting_share = if m.forbidden { m.waiting_share } else { learned.busy_probe_ratio };
        m.seen = if m.waiting_share.is_some() { 1.0 / ANSWER_WEIGHT } else { 0.0 };
        m.draws = learned.sample_size.clamp(2, MOST_DRAWS);
    }
}
