//! One node of a simulated day: a dispatcher, and what translates between its ids and the protocol's names.
use crate::decode::{Create, EntryPhase, Inbox, PingResult, SheetEntry, StateCode};
use crate::encode;
use crate::error::LineError;
use troutknot::{
    Action, DeduplicationGroupId, Dispatcher, Endpoint, EndpointState, Event, MachineTypeId, Millis,
    ProbeReply, ZoneId,
};
use troutknot_configuration::{LoadFields, class_names, millis_from_micros, parse_settings};
use troutknot_membership::{ExecutorRegistry, token};

/// One simulated node.
pub struct Instance {
    dispatcher: Dispatcher,
    registry: ExecutorRegistry,
    load_fields: LoadFields,
    /// Names of the request classes by their ids.
    class_names: Vec<String>,
    /// Whether it is in the list of instances with events in this batch.
    pub has_events: bool,
    unreadable_messages: u64,
    /// Whether the count of unreadable messages is logged with this batch.
    is_unreadable_log_due: bool,
}

impl Instance {
    /// # Errors
    /// If the settings cannot be used.
    pub fn new(now: Millis, create: &Create) -> Result<Self, LineError> {
        let settings = parse_settings(&create.profile_data)?;
        Ok(Instance {
            load_fields: LoadFields::from_document(&create.profile_data),
            class_names: class_names(&create.profile_data),
            dispatcher: Dispatcher::new(&settings, create.seed, now),
            registry: ExecutorRegistry::default(),
            has_events: true,
            unreadable_messages: 0,
            is_unreadable_log_due: false,
        })
    }

    /// Hands an event to the dispatcher.
    pub fn handle_event(&mut self, now: Millis, event: Event) {
        self.dispatcher.handle_event(now, event);
    }

    /// The endpoints of a sheet, with a handle for each name.
    pub fn endpoints(&mut self, sheet: &[SheetEntry]) -> Vec<Endpoint> {
        sheet.iter().map(|entry| self.endpoint(entry)).collect()
    }

    fn endpoint(&mut self, entry: &SheetEntry) -> Endpoint {
        Endpoint {
            executor: self.registry.register(&entry.executor),
            token: token(&entry.executor),
            zone: ZoneId(entry.zone.unwrap_or(0)),
            machine_type: MachineTypeId(entry.machine_type.unwrap_or(0)),
            deduplication_group: DeduplicationGroupId(entry.deduplication_group.unwrap_or(0)),
            state: match entry.phase {
                EntryPhase::Healthy => EndpointState::Ready,
                EntryPhase::Cordoned => EndpointState::Draining,
                EntryPhase::Deregistered => EndpointState::Gone,
            },
            weight: entry.weight.unwrap_or(1.0),
            started_at: entry.started_at.filter(|&at| at > 0).map(millis_from_micros),
        }
    }

    /// The event of a probe's end. The dispatcher drops and counts it if the executor has no handle.
    pub fn probe_completed(&self, result: &PingResult) -> Event {
        let is_answered = result.state_code == StateCode::Good;
        Event::ProbeCompleted {
            executor: self.registry.get(&result.executor).unwrap_or_default(),
            reply: is_answered.then(|| ProbeReply {
                latency: millis_from_micros(result.latency),
                report: self.load_fields.report(result.metrics.as_deref().unwrap_or_default()),
            }),
        }
    }

    /// The event of a message from another node; None if it is unreadable, which is counted.
    pub fn gossip_received(&mut self, inbox: &Inbox) -> Option<Event> {
        if let Some(message) = inbox.message(&self.class_names) {
            return Some(Event::GossipReceived(message));
        }
        self.unreadable_messages += 1;
        // Logged at each power of two, so that a flood of them does not fill the log.
        self.is_unreadable_log_due |= self.unreadable_messages.is_power_of_two();
        None
    }

    /// Whether the count of unreadable messages is to be logged with this batch.
    pub fn is_unreadable_log_due(&self) -> bool {
        self.is_unreadable_log_due
    }

    /// Appends the lines of all actions that follow from this batch.
    pub fn write_actions(&mut self, number: u64, now: Millis, actions: &mut Vec<Action>, out: &mut Vec<u8>) {
        self.dispatcher.poll_actions(now, actions);
        for action in actions.drain(..) {
            encode::action(out, number, &self.registry, &self.class_names, &action);
            if let Action::ReleaseExecutor { executor } = action {
                self.registry.release(executor);
            }
        }
        if std::mem::take(&mut self.is_unreadable_log_due) {
            let line = format!("{} messages passed over: not understood", self.unreadable_messages);
            encode::log_line(out, number, &line);
        }
    }
}
