//! Applies the lines of a batch to the instances, and collects their actions at the end of the batch.
use crate::decode::{self, HeartbeatContent, UpdateContent};
use crate::error::LineError;
use crate::instance::Instance;
use std::collections::BTreeMap;
use troutknot::{Action, AttemptId, Event, ListUpdate, Millis, RequestClassId, TenantId};
use troutknot_configuration::millis_from_micros;

/// The state of a batch after a line.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BatchState {
    /// The batch has not ended.
    Open,
    /// The batch has ended and its reply is complete.
    Answered,
}

/// All instances of a simulation. They only share the sheets, which are numbered parts of endpoint lists.
#[derive(Default)]
pub struct Adapter {
    /// Simulated time of the open batch, in microseconds; `None` between batches.
    batch_time: Option<u64>,
    instances: BTreeMap<u64, Instance>,
    sheets: BTreeMap<u8, Vec<decode::SheetEntry>>,
    /// Instances with an event in this batch, in the order of their first event. The reply contains their actions in
    /// this order.
    active_instances: Vec<u64>,
    /// Buffer for the actions of one instance, which is reused to save allocations.
    actions: Vec<Action>,
}

impl Adapter {
    /// Applies one line. Appends the reply of the batch to `reply` if the line ends it.
    ///
    /// # Errors
    /// If the line cannot be parsed or is not valid at this point.
    pub fn apply_line(&mut self, line: &[u8], reply: &mut Vec<u8>) -> Result<BatchState, LineError> {
        let operation = decode::operation(line)?;
        let Some(time) = self.batch_time else {
            self.begin_batch(&operation, line)?;
            return Ok(BatchState::Open);
        };
        let now = millis_from_micros(time);
        match &*operation {
            "begin_batch" => Err(LineError::NestedBatch),
            "eof_batch" => {
                decode::check_json(line)?;
                self.end_batch(now, reply);
                Ok(BatchState::Answered)
            }
            event => {
                self.apply_event(now, event, line)?;
                Ok(BatchState::Open)
            }
        }
    }

    /// Applies a line inside a batch.
    fn apply_event(&mut self, now: Millis, operation: &str, line: &[u8]) -> Result<(), LineError> {
        match operation {
            "create" => self.create(now, &decode::parse(line)?)?,
            "halt" => self.stop(&decode::parse(line)?),
            "sheet" => {
                let sheet: decode::Sheet = decode::parse(line)?;
                self.sheets.insert(sheet.number, sheet.entries);
            }
            "peers_known" => self.update_endpoints(now, &decode::parse(line)?)?,
            "new_request" => self.add_request(now, &decode::parse(line)?),
            "ping_result" => {
                let result: decode::ProbeResult = decode::parse(line)?;
                self.handle_event_with(result.instance, now, |instance| instance.probe_completed(&result));
            }
            "returned" => self.end_attempt(now, &decode::parse(line)?),
            "begun" => self.start_attempt(now, &decode::parse(line)?),
            "heartbeat" => self.apply_heartbeat(now, &decode::parse(line)?),
            "timer" => {
                let instance = decode::parse::<decode::InstanceEvent>(line)?.instance;
                self.handle_event(instance, now, Event::TimerFired);
            }
            "withdrawn" => {
                let decode::RequestWithdrawn { instance, request_id } = decode::parse(line)?;
                self.handle_event(instance, now, Event::RequestWithdrawn { request_id });
            }
            "inbox" => self.receive_gossip(now, &decode::parse(line)?),
            // Unknown operations, as of a later protocol version, are ignored, but must be JSON.
            _ => decode::check_json(line)?,
        }
        Ok(())
    }

    fn begin_batch(&mut self, operation: &str, line: &[u8]) -> Result<(), LineError> {
        if operation != "begin_batch" {
            return Err(LineError::OutsideBatch(operation.into()));
        }
        self.batch_time = Some(decode::parse::<decode::BeginBatch>(line)?.time);
        Ok(())
    }

    fn end_batch(&mut self, now: Millis, reply: &mut Vec<u8>) {
        for number in self.active_instances.drain(..) {
            let Some(instance) = self.instances.get_mut(&number) else { continue };
            instance.has_events = false;
            instance.write_actions(number, now, &mut self.actions, reply);
        }
        reply.extend_from_slice(b"{\"op\":\"done\"}\n");
        self.batch_time = None;
    }

    fn create(&mut self, now: Millis, create: &decode::Create) -> Result<(), LineError> {
        self.instances.insert(create.instance, Instance::new(now, create)?);
        self.active_instances.retain(|&number| number != create.instance);
        self.active_instances.push(create.instance);
        Ok(())
    }

    fn stop(&mut self, stopped: &decode::InstanceEvent) {
        self.instances.remove(&stopped.instance);
        self.active_instances.retain(|&number| number != stopped.instance);
    }

    fn update_endpoints(&mut self, now: Millis, update: &decode::EndpointsUpdate) -> Result<(), LineError> {
        let list_update = match update.content {
            UpdateContent::Lost => {
                self.handle_event(update.instance, now, Event::EndpointWatchLost { is_rejected: true });
                return Ok(());
            }
            UpdateContent::Delta => ListUpdate::Delta,
            UpdateContent::Snapshot => ListUpdate::Snapshot,
            UpdateContent::Cached => ListUpdate::Cached,
        };
        let number = update.sheet.ok_or(LineError::MissingSheet)?;
        let sheet = self.sheets.get(&number).ok_or(LineError::UnknownSheet(number))?;
        let Some(instance) = self.instances.get_mut(&update.instance) else { return Ok(()) };
        let endpoints = instance.endpoints(sheet);
        self.handle_event(update.instance, now, Event::EndpointsUpdated { update: list_update, endpoints });
        Ok(())
    }

    fn add_request(&mut self, now: Millis, request: &decode::RequestArrived) {
        let event = Event::RequestArrived {
            request_id: request.request_id,
            class: RequestClassId(request.class),
            tenant: TenantId(request.tenant.unwrap_or(0)),
            slots: request.slots.unwrap_or(1.0),
            memory: request.memory.unwrap_or(0.0),
            time_left: millis_from_micros(request.time_left),
            is_retry: request.is_retry.unwrap_or(false),
        };
        self.handle_event(request.instance, now, event);
    }

    fn start_attempt(&mut self, now: Millis, started: &decode::AttemptStarted) {
        let (request_id, attempt_id) = (started.request_id, AttemptId(started.attempt));
        self.handle_event(started.instance, now, Event::AttemptStarted { request_id, attempt_id });
    }

    fn end_attempt(&mut self, now: Millis, ended: &decode::AttemptEnded) {
        let event = Event::AttemptEnded {
            request_id: ended.request_id,
            attempt_id: AttemptId(ended.attempt),
            outcome: ended.status.into(),
            is_request_closed: ended.is_request_closed,
        };
        self.handle_event(ended.instance, now, event);
    }

    fn apply_heartbeat(&mut self, now: Millis, heartbeat: &decode::Heartbeat) {
        let (request_id, attempt_id) = (heartbeat.request_id, AttemptId(heartbeat.attempt));
        let event = match heartbeat.content() {
            HeartbeatContent::Started => Event::AttemptStarted { request_id, attempt_id },
            HeartbeatContent::Progressed => {
                let share = heartbeat.share.unwrap_or(0.0);
                Event::AttemptProgressed { request_id, attempt_id, share }
            }
            HeartbeatContent::Unknown => return,
        };
        self.handle_event(heartbeat.instance, now, event);
    }

    fn receive_gossip(&mut self, now: Millis, gossip: &decode::GossipReceived) {
        let Some(instance) = self.instances.get_mut(&gossip.instance) else { return };
        match instance.gossip_received(gossip) {
            Some(event) => self.handle_event(gossip.instance, now, event),
            None if instance.is_unreadable_log_due() => self.add_to_reply(gossip.instance),
            None => {}
        }
    }

    /// Reports an event to an instance. An event for an instance that does not exist is dropped.
    fn handle_event(&mut self, number: u64, now: Millis, event: Event) {
        self.handle_event_with(number, now, |_| event);
    }

    /// Reports an event that is built from the state of the instance.
    fn handle_event_with(&mut self, number: u64, now: Millis, event: impl FnOnce(&Instance) -> Event) {
        self.add_to_reply(number);
        let Some(instance) = self.instances.get_mut(&number) else { return };
        let event = event(instance);
        instance.handle_event(now, event);
    }

    /// Marks an instance so that its actions are written at the end of the batch.
    fn add_to_reply(&mut self, number: u64) {
        let Some(instance) = self.instances.get_mut(&number) else { return };
        if !std::mem::replace(&mut instance.has_events, true) {
            self.active_instances.push(number);
        }
    }
}
