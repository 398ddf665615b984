//! State of other processes of this node: open requests that are recovered from the ledger, and the state that an old
//! process sends to a new one during a hot restart.
use super::Driver;
use crate::durable::Lease;
use crate::event::RecoveredAttempt;
use crate::hot_restart::codec::{
    ClassRunningTime, ExecutorState, InheritedState, Message, RunningTimes, Score, SpentBudget, UNNUMBERED,
    split_list,
};
use crate::in_flight::InFlightRequest;
use crate::lifecycle::Drain;
use crate::protocol::EndpointEntry;
use std::rc::Rc;
use troutknot::{
    AttemptId, Event as CoreEvent, ExecutorId, ExecutorWarmState, ListUpdate, Millis, ObservedMean,
    RequestClassId, WarmState,
};

impl Driver {
    /// Resumes a request of an earlier process, with its attempts in order.
    pub(super) fn handle_recovered_request(
        &mut self,
        now: Millis,
        in_flight: Rc<InFlightRequest>,
        attempts: Vec<RecoveredAttempt>,
    ) {
        if self.is_shut_down {
            in_flight.answer(self.final_answer(attempts.len() as u32));
            return;
        }
        self.handle_request(now, in_flight.clone());
        let Some(request) = self.requests.get_mut(&in_flight.request_id) else { return };
        request.attempts = attempts.len() as u32;
        for (number, attempt) in attempts.into_iter().enumerate() {
            self.recover_attempt(now, &in_flight, AttemptId(number as u32), attempt);
        }
    }

    /// Informs the dispatcher of an attempt of an earlier process. If the outcome was not recorded, a task requests it
    /// from the executor.
    fn recover_attempt(
        &mut self,
        now: Millis,
        in_flight: &Rc<InFlightRequest>,
        attempt_id: AttemptId,
        attempt: RecoveredAttempt,
    ) {
        let RecoveredAttempt { executor, sent_at, outcome, fence } = attempt;
        let request_id = in_flight.request_id;
        let executor = self.register(now, &executor);
        self.dispatcher.handle_event(now, CoreEvent::AttemptRecovered { request_id, executor, sent_at });
        if let Some(outcome) = outcome {
            let is_request_closed = false;
            let event = CoreEvent::AttemptEnded { request_id, attempt_id, outcome, is_request_closed };
            self.dispatcher.handle_event(now, event);
        } else if let Some(durable) = self.executors.durable.get() {
            let lease = Lease::new(durable.clone(), request_id, attempt_id, fence, sent_at);
            self.tasks.spawn(self.executors.clone().recover_attempt(
                in_flight.clone(),
                executor,
                attempt_id,
                lease,
            ));
        }
    }

    /// Returns the handle of an executor by name. An executor that is not retained is registered as gone.
    fn register(&mut self, now: Millis, name: &str) -> ExecutorId {
        if let Some(executor) = self.registry.get(name) {
            return executor;
        }
        let unretained = self.retention.unretained_entry(name).cloned();
        let executor = self.registry.register(name);
        let entry = unretained.map_or_else(|| EndpointEntry::gone(name), EndpointEntry::into_gone);
        let endpoints = vec![self.update_endpoint(executor, entry)];
        let update = ListUpdate::Delta;
        self.dispatcher.handle_event(now, CoreEvent::EndpointsUpdated { update, endpoints });
        executor
    }

    /// Sends the state to a new process of this node.
    pub(super) fn export_state(&mut self, now: Millis) {
        let excluded = self.membership.excluded();
        self.send_all(split_list(&excluded, |executors| Message::Excluded { executors }));
        let drained = self.lifecycle.conditions().drain != Drain::None;
        self.sibling.send(Message::Drained { drained, number: UNNUMBERED });
        let version = self.membership.version;
        let entries = self.membership.listed().chain(self.retention.unretained());
        let entries: Vec<EndpointEntry> = entries.cloned().collect();
        self.send_all(split_list(&entries, |entries| Message::List { version, entries }));
        let state = self.dispatcher.export_state(now);
        let executors = state.executors.iter().filter_map(|executor| self.export_executor(executor));
        let executors: Vec<ExecutorState> = executors.collect();
        self.send_all(split_list(&executors, |executors| Message::Executors { executors }));
        self.sibling.send(Message::RunningTimes(self.export_running_times(&state)));
        self.sibling.send(Message::Complete);
    }

    fn send_all(&self, messages: Vec<Message>) {
        messages.into_iter().for_each(|message| self.sibling.send(message));
    }

    fn export_executor(&self, state: &ExecutorWarmState) -> Option<ExecutorState> {
        Some(ExecutorState {
            id: self.registry.name(state.executor)?.to_string(),
            failure_score: Score(state.failure_score),
            observations: Score(state.observations),
            max_slots: state.max_slots,
            warm_up_spent: state.warm_up_spent.iter().copied().map(SpentBudget).collect(),
        })
    }

    fn export_running_times(&self, state: &WarmState) -> RunningTimes {
        let class_running_time = |(name, class): (&str, RequestClassId)| {
            let time = *state.class_running_times.get(class.0 as usize)?;
            Some(ClassRunningTime { class: name.to_string(), time })
        };
        RunningTimes {
            classes: self.codec.load().current_classes().filter_map(class_running_time).collect(),
            mean_running_time: state.mean_running_time,
            busy_probe_ratio: state.busy_probe_ratio,
            probe_latency: state.probe_latency,
            sample_size: state.sample_size,
        }
    }

    /// Imports the state of the old process. Its endpoint list must have been applied before.
    pub fn import_state(&mut self, now: Millis, inherited: InheritedState) {
        let running_times = inherited.running_times.unwrap_or_default();
        let class_running_times = self.import_class_running_times(&running_times.classes);
        let executors = inherited.executors.into_iter();
        let executors = executors.filter_map(|state| self.import_executor(now, state)).collect();
        let state = WarmState {
            executors,
            class_running_times,
            mean_running_time: running_times.mean_running_time,
            busy_probe_ratio: running_times.busy_probe_ratio,
            probe_latency: running_times.probe_latency,
            sample_size: running_times.sample_size,
        };
        self.dispatcher.handle_event(now, CoreEvent::WarmStateReceived(state));
    }

    /// The running times, indexed by the class ids of this process. Classes that are not configured here are dropped.
    fn import_class_running_times(&self, times: &[ClassRunningTime]) -> Vec<ObservedMean> {
        let codec = self.codec.load();
        let count = codec.current_classes().map(|(_, class)| class.0 as usize + 1).max().unwrap_or(0);
        let mut class_running_times = vec![ObservedMean::default(); count];
        for (name, class) in codec.current_classes() {
            if let Some(imported) = times.iter().find(|imported| imported.class == name) {
                class_running_times[class.0 as usize] = imported.time;
            }
        }
        class_running_times
    }

    /// Imports the state of one executor. Returns `None` if it is gone and has not used its warm-up budget.
    fn import_executor(&mut self, now: Millis, state: ExecutorState) -> Option<ExecutorWarmState> {
        if self.registry.get(&state.id).is_none() && state.warm_up_spent.is_empty() {
            return None;
        }
        Some(ExecutorWarmState {
            executor: self.register(now, &state.id),
            failure_score: state.failure_score.0,
            observations: state.observations.0,
            max_slots: state.max_slots,
            warm_up_spent: state.warm_up_spent.into_iter().map(|SpentBudget(spent)| spent).collect(),
        })
    }
}
