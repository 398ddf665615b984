//! Executors: their processes, the allocations and probes that reach them, and what they report.
use super::events::{InTransit, Origin, WorldEvent};
use super::{WAY, World};
use troutknot::{ExecutorId, LoadReport, Outcome, RequestId};
use troutknot_emulator::observations::{ExecutorNumber, Observation};
use troutknot_emulator::{Admission, Attempt, AttemptKey, AttemptOutcome, Executor, Millis, Output};
use troutknot_rehearsal::scenario::millis;

impl World<'_> {
    /// Starts the process of an executor.
    pub(super) fn start_executor(&mut self, number: usize) {
        let planned = &self.plan.executors[number];
        self.hosts[number] =
            Some(Executor::new(planned.machine.clone(), planned.seed, self.now, !planned.slow_start));
        self.note(Observation::ExecutorUp { executor: number as ExecutorNumber });
    }

    /// Kills the process of an executor.
    pub(super) fn kill_executor(&mut self, executor: usize) {
        self.note(Observation::ExecutorDown { executor: executor as ExecutorNumber });
        self.change_executor(executor, |host, now| host.kill(now));
    }

    /// Changes the state of an executor, and delivers what waited for it if it runs again.
    pub(super) fn change_executor(&mut self, executor: usize, change: impl FnOnce(&mut Executor, Millis)) {
        let now = self.now;
        if let Some(host) = &mut self.hosts[executor] {
            change(host, now);
        }
        self.take_reports(executor);
        let goes_on =
            self.hosts[executor].as_ref().is_some_and(|host| !host.is_paused() && !host.is_silent());
        if goes_on {
            for event in std::mem::take(&mut self.waits_at[executor]) {
                self.queue.at(now, event);
            }
        }
    }

    /// The last byte of an allocation reaches its executor, if it can.
    pub(super) fn allocation_sent(
        &mut self,
        event: WorldEvent,
        node: u32,
        life: u32,
        request_id: RequestId,
        out: InTransit,
    ) {
        let number = out.executor as usize;
        let from = &self.nodes[node as usize];
        let open = from.open.get(&request_id).filter(|_| from.up && from.life == life);
        let Some(open) = open.filter(|open| open.out.is_some_and(|o| o.attempt_id == out.attempt_id)) else {
            return;
        };
        let (request, attempt, waits) = (open.request, open.attempt, open.waits);
        let came_of =
            |outcome| WorldEvent::Ended { node, life, request_id, attempt_id: out.attempt_id, outcome };
        if !waits || from.shut[number] <= self.now {
            return self.queue.at(self.now, came_of(Outcome::NotSent));
        }
        let wait = millis(self.scenario.nodes.connect_timeout);
        match &self.hosts[number] {
            Some(host) if host.is_silent() => {
                return self.queue.at(self.now + wait, came_of(Outcome::NoConnection));
            }
            Some(host) if host.is_paused() => return self.waits_at[number].push(event),
            Some(host) if !host.is_down() => {}
            _ => return self.queue.at(self.now + WAY, came_of(Outcome::NoConnection)),
        }
        self.offer_allocation(
            request,
            attempt,
            Origin { node, life, request_id, attempt_id: out.attempt_id },
            out,
        );
    }

    /// An executor that is up takes an allocation, or turns it away.
    fn offer_allocation(&mut self, request: u32, attempt: u32, origin: Origin, out: InTransit) {
        let number = out.executor as usize;
        let asked = &self.plan.requests[request as usize];
        let kind = self.types[asked.request_class];
        let offer = Attempt {
            key: AttemptKey(out.key),
            request_id: u64::from(request),
            request_class: asked.request_class,
            slots: kind.slots,
            memory: kind.memory,
            work: asked.work,
            priority: kind.value,
        };
        let id = self.id(request, attempt);
        let (first_byte, attempt_id) = (self.now, out.key);
        let (slots, work) = (offer.slots, offer.work);
        self.note(Observation::Received { executor: out.executor, attempt_id, id, first_byte, slots, work });
        let verdict = self.hosts[number].as_mut().expect("it is up").dispatch(self.now, offer);
        let back = self.now + WAY;
        let Origin { node, life, request_id, .. } = origin;
        let came_of =
            |outcome| WorldEvent::Ended { node, life, request_id, attempt_id: out.attempt_id, outcome };
        match verdict {
            Admission::Accepted => {
                self.outs.insert(out.key, origin);
            }
            Admission::Rejected => {
                self.note(Observation::NotStarted { attempt_id });
                self.queue.at(back, came_of(Outcome::Rejected));
            }
            Admission::Error => {
                self.note(Observation::ErrorAnswered { attempt_id });
                self.queue.at(back, came_of(Outcome::Error));
            }
            Admission::Down => {
                self.note(Observation::Ended { attempt_id, outcome: AttemptOutcome::Reset });
                self.queue.at(back, came_of(Outcome::Reset));
            }
        }
        self.take_reports(number);
    }

    /// The time has come at which an executor has something to report.
    pub(super) fn check_executor(&mut self, number: usize) {
        if self.looked[number] <= self.now {
            self.looked[number] = f64::INFINITY;
        }
        self.take_reports(number);
    }

    /// Hands out what an executor has to say, and sees to when it has more.
    pub(super) fn take_reports(&mut self, number: usize) {
        loop {
            let Some(host) = &mut self.hosts[number] else { return };
            let Some((at, output)) = host.pop_output(self.now) else { break };
            match output {
                Output::Started { key } => self.seen.push((at, Observation::Started { attempt_id: key.0 })),
                Output::Progress { .. } => {}
                Output::Ended { key, outcome: end } => {
                    self.seen.push((at, Observation::Ended { attempt_id: key.0, outcome: end }));
                    let outcome = match end {
                        AttemptOutcome::Done => Outcome::Completed,
                        AttemptOutcome::Returned => Outcome::Rejected,
                        AttemptOutcome::Lost | AttemptOutcome::Reset => Outcome::Reset,
                    };
                    if let Some(Origin { node, life, request_id, attempt_id }) = self.outs.remove(&key.0) {
                        self.queue.at(
                            self.now + WAY,
                            WorldEvent::Ended { node, life, request_id, attempt_id, outcome },
                        );
                    }
                }
                Output::Overloaded { sent, limit: stood } => {
                    let executor = number as ExecutorNumber;
                    self.seen.push((at, Observation::Overloaded { executor, sent, limit: stood }));
                    self.seen.push((at, Observation::ExecutorDown { executor }));
                }
            }
        }
        let next = self.hosts[number].as_ref().and_then(|host| host.next_event_at()).unwrap_or(f64::INFINITY);
        if next < self.looked[number] {
            self.looked[number] = next;
            self.queue.at(next, WorldEvent::ExecutorDue(number as u32));
        }
    }

    /// The node of an allocation no longer waits for it.
    pub(super) fn allocation_given_up(&mut self, number: usize, key: u64) {
        if self.outs.remove(&key).is_none() {
            return;
        }
        self.note(Observation::Cancelled { attempt_id: key });
        if let Some(host) = &mut self.hosts[number] {
            host.cancel(self.now, AttemptKey(key));
        }
        self.take_reports(number);
    }

    /// A probe reaches its executor, which answers if it can.
    pub(super) fn probe_arrives(&mut self, node: u32, life: u32, executor: ExecutorId) {
        let Some(number) = self.nodes[node as usize].handles.number(executor) else { return };
        let wait = millis(self.scenario.nodes.connect_timeout);
        let Some(host) = &mut self.hosts[number] else { return };
        let (after, answered, reading) = if host.is_down() {
            (WAY, false, LoadReport::default())
        } else if host.is_silent() || host.is_paused() {
            (wait, false, LoadReport::default())
        } else {
            let load = host.probe(self.now);
            let (queue, held) = (Some(load.waiting), Some(load.running));
            let free_slots = Some(load.free_slots);
            (
                WAY,
                true,
                LoadReport { queue_length: queue, in_flight: held, free_slots, ..LoadReport::default() },
            )
        };
        let lag = WAY + after;
        let probed = WorldEvent::Probed { node, life, executor, answered, lag, reading };
        self.queue.at(self.now + after, probed);
        self.take_reports(number);
    }
}
