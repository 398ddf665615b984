//! Executors: their processes, the attempts and probes that reach them, and their output.
use super::events::{AttemptInTransit, AttemptOrigin, WorldEvent};
use super::{NETWORK_LATENCY, World};
use crate::node::InFlightAttempt;
use troutknot::{ExecutorId, LoadReport, Outcome, RequestId};
use troutknot_emulator::observations::{ExecutorNumber, Observation};
use troutknot_emulator::{Admission, Attempt, AttemptKey, AttemptOutcome, Executor, Millis, Output};
use troutknot_rehearsal::scenario::millis;

impl World<'_> {
    /// Starts the process of an executor.
    pub(super) fn start_executor(&mut self, executor: usize) {
        let planned = &self.plan.executors[executor];
        let process = Executor::new(planned.machine.clone(), planned.seed, self.now, !planned.slow_start);
        self.executors[executor] = Some(process);
        self.record(Observation::ExecutorUp { executor: executor as ExecutorNumber });
    }

    /// Kills the process of an executor.
    pub(super) fn kill_executor(&mut self, executor: usize) {
        self.record(Observation::ExecutorDown { executor: executor as ExecutorNumber });
        self.change_executor(executor, |process, now| process.kill(now));
    }

    /// Changes the state of an executor. If it is then neither paused nor silent, the dispatches that reached it during
    /// a pause are delivered.
    pub(super) fn change_executor(&mut self, executor: usize, change: impl FnOnce(&mut Executor, Millis)) {
        let now = self.now;
        if let Some(process) = &mut self.executors[executor] {
            change(process, now);
        }
        self.collect_output(executor);
        let process = self.executors[executor].as_ref();
        if process.is_some_and(|process| !process.is_paused() && !process.is_silent()) {
            for event in std::mem::take(&mut self.paused_dispatches[executor]) {
                self.queue.schedule(now, event);
            }
        }
    }

    /// Handles the arrival of an attempt's last byte at its executor, if the attempt is still in flight.
    pub(super) fn receive_dispatch(
        &mut self,
        event: WorldEvent,
        node: u32,
        incarnation: u32,
        request_id: RequestId,
        attempt: AttemptInTransit,
    ) {
        let executor = attempt.executor as usize;
        let sender = &self.nodes[node as usize];
        let is_same_process = sender.is_up && sender.incarnation == incarnation;
        let open = sender.open_requests.get(&request_id).filter(|_| is_same_process);
        let is_in_flight = |current: InFlightAttempt| current.attempt_id == attempt.attempt_id;
        let Some(open) = open.filter(|open| open.in_flight.is_some_and(is_in_flight)) else {
            return;
        };
        let (request, client_attempt) = (open.request, open.client_attempt);
        let attempt_id = attempt.attempt_id;
        let ended = |outcome| WorldEvent::AttemptEnded { node, incarnation, request_id, attempt_id, outcome };
        if !open.is_client_waiting || sender.send_stops_at[executor] <= self.now {
            return self.queue.schedule(self.now, ended(Outcome::NotSent));
        }
        let connect_timeout = millis(self.scenario.nodes.connect_timeout);
        match &self.executors[executor] {
            Some(process) if process.is_silent() => {
                return self.queue.schedule(self.now + connect_timeout, ended(Outcome::NoConnection));
            }
            Some(process) if process.is_paused() => return self.paused_dispatches[executor].push(event),
            Some(process) if !process.is_down() => {}
            _ => return self.queue.schedule(self.now + NETWORK_LATENCY, ended(Outcome::NoConnection)),
        }
        let origin = AttemptOrigin { node, incarnation, request_id, attempt_id };
        self.offer_attempt(request, client_attempt, origin, attempt);
    }

    /// Offers an attempt to an executor that is up, which accepts or rejects it.
    fn offer_attempt(
        &mut self,
        request: u32,
        client_attempt: u32,
        origin: AttemptOrigin,
        attempt: AttemptInTransit,
    ) {
        let executor = attempt.executor as usize;
        let planned = &self.plan.requests[request as usize];
        let class = self.request_classes[planned.request_class];
        let offer = Attempt {
            key: AttemptKey(attempt.key),
            request_id: u64::from(request),
            request_class: planned.request_class,
            slots: class.slots,
            memory: class.memory,
            work: planned.work,
            priority: class.value,
        };
        let id = self.client_request_id(request, client_attempt);
        let observed_attempt_id = attempt.key;
        self.record(Observation::Received {
            executor: attempt.executor,
            attempt_id: observed_attempt_id,
            id,
            first_byte: self.now,
            slots: offer.slots,
            work: offer.work,
        });
        let process = self.executors[executor].as_mut().expect("the executor is up");
        let admission = process.dispatch(self.now, offer);
        let reply_at = self.now + NETWORK_LATENCY;
        let AttemptOrigin { node, incarnation, request_id, attempt_id } = origin;
        let ended = |outcome| WorldEvent::AttemptEnded { node, incarnation, request_id, attempt_id, outcome };
        match admission {
            Admission::Accepted => {
                self.attempt_origins.insert(attempt.key, origin);
            }
            Admission::Rejected => {
                self.record(Observation::NotStarted { attempt_id: observed_attempt_id });
                self.queue.schedule(reply_at, ended(Outcome::Rejected));
            }
            Admission::Error => {
                self.record(Observation::ErrorAnswered { attempt_id: observed_attempt_id });
                self.queue.schedule(reply_at, ended(Outcome::Error));
            }
            Admission::Down => {
                self.record(Observation::Ended {
                    attempt_id: observed_attempt_id,
                    outcome: AttemptOutcome::Reset,
                });
                self.queue.schedule(reply_at, ended(Outcome::Reset));
            }
        }
        self.collect_output(executor);
    }

    /// Handles the scheduled poll of an executor.
    pub(super) fn poll_executor(&mut self, executor: usize) {
        if self.next_poll_at[executor] <= self.now {
            self.next_poll_at[executor] = f64::INFINITY;
        }
        self.collect_output(executor);
    }

    /// Processes the output of an executor, and schedules the next poll.
    pub(super) fn collect_output(&mut self, executor: usize) {
        let number = executor as ExecutorNumber;
        loop {
            let Some(process) = &mut self.executors[executor] else { return };
            let Some((at, output)) = process.pop_output(self.now) else { break };
            match output {
                Output::Started { key } => {
                    self.observations.push((at, Observation::Started { attempt_id: key.0 }))
                }
                Output::Progress { .. } => {}
                Output::Ended { key, outcome } => {
                    self.observations.push((at, Observation::Ended { attempt_id: key.0, outcome }));
                    let outcome = match outcome {
                        AttemptOutcome::Done => Outcome::Completed,
                        AttemptOutcome::Returned => Outcome::Rejected,
                        AttemptOutcome::Lost | AttemptOutcome::Reset => Outcome::Reset,
                    };
                    let origin = self.attempt_origins.remove(&key.0);
                    if let Some(AttemptOrigin { node, incarnation, request_id, attempt_id }) = origin {
                        self.queue.schedule(
                            self.now + NETWORK_LATENCY,
                            WorldEvent::AttemptEnded { node, incarnation, request_id, attempt_id, outcome },
                        );
                    }
                }
                Output::Overloaded { sent, limit } => {
                    let overloaded = Observation::Overloaded { executor: number, sent, limit };
                    self.observations.push((at, overloaded));
                    self.observations.push((at, Observation::ExecutorDown { executor: number }));
                }
            }
        }
        let process = self.executors[executor].as_ref();
        let next = process.and_then(|process| process.next_event_at()).unwrap_or(f64::INFINITY);
        if next < self.next_poll_at[executor] {
            self.next_poll_at[executor] = next;
            self.queue.schedule(next, WorldEvent::ExecutorPollDue(executor as u32));
        }
    }

    /// Cancels an attempt at its executor after its node closed the connection.
    pub(super) fn receive_cancellation(&mut self, executor: usize, key: u64) {
        if self.attempt_origins.remove(&key).is_none() {
            return;
        }
        self.record(Observation::Cancelled { attempt_id: key });
        if let Some(process) = &mut self.executors[executor] {
            process.cancel(self.now, AttemptKey(key));
        }
        self.collect_output(executor);
    }

    /// Handles the arrival of a probe at its executor, which replies unless it is down, silent or paused.
    pub(super) fn receive_probe(&mut self, node: u32, incarnation: u32, executor: ExecutorId) {
        let Some(index) = self.nodes[node as usize].executor_ids.index(executor) else { return };
        let connect_timeout = millis(self.scenario.nodes.connect_timeout);
        let Some(process) = &mut self.executors[index] else { return };
        let (delay, is_answered, report) = if process.is_down() {
            (NETWORK_LATENCY, false, LoadReport::default())
        } else if process.is_silent() || process.is_paused() {
            (connect_timeout, false, LoadReport::default())
        } else {
            let load = process.probe(self.now);
            let report = LoadReport {
                queue_length: Some(load.waiting),
                in_flight: Some(load.running),
                free_slots: Some(load.free_slots),
                ..LoadReport::default()
            };
            (NETWORK_LATENCY, true, report)
        };
        let latency = NETWORK_LATENCY + delay;
        let completed =
            WorldEvent::ProbeCompleted { node, incarnation, executor, is_answered, latency, report };
        self.queue.schedule(self.now + delay, completed);
        self.collect_output(index);
    }
}
