//! One simulated node: a dispatcher, with the translation between its ids and the names of the protocol.
use crate::decode::{CompletionStatus, Create, EntryPhase, GossipReceived, ProbeResult, SheetEntry};
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
    /// Names of the request classes, by their ids.
    class_names: Vec<String>,
    /// Whether the adapter lists this instance among those with an event in the open batch.
    pub has_events: bool,
    unreadable_messages: u64,
    /// Whether the count of unreadable messages is to be logged at the end of this batch.
    is_unreadable_log_due: bool,
}

impl Instance {
    /// Creates a dispatcher from the settings of the instance.
    ///
    /// # Errors
    /// If the settings are invalid.
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

    /// Reports an event to the dispatcher.
    pub fn handle_event(&mut self, now: Millis, event: Event) {
        self.dispatcher.handle_event(now, event);
    }

    /// Returns the endpoints of a sheet; registers a handle for each new name.
    pub fn endpoints(&mut self, sheet: &[SheetEntry]) -> Vec<Endpoint> {
        sheet.iter().map(|entry| self.endpoint(entry)).collect()
    }

    fn endpoint(&mut self, entry: &SheetEntry) -> Endpoint {
        Endpoint {
            executor: self.registry.register(&entry.executor),
            token: token(&entry.executor),
            zone: entry.zone.map(ZoneId),
            machine_type: MachineTypeId(entry.machine_type.unwrap_or(0)),
            deduplication_group: entry.deduplication_group.map(DeduplicationGroupId),
            state: match entry.phase {
                EntryPhase::Ready => EndpointState::Ready,
                EntryPhase::Draining => EndpointState::Draining,
                EntryPhase::Gone => EndpointState::Gone,
            },
            weight: entry.weight.unwrap_or(1.0),
            started_at: entry.started_at.filter(|&at| at > 0).map(millis_from_micros),
        }
    }

    /// Returns the event for the end of a probe. The dispatcher drops and counts it if the executor has no handle.
    pub fn probe_completed(&self, result: &ProbeResult) -> Event {
        let is_answered = result.status == CompletionStatus::Completed;
        Event::ProbeCompleted {
            executor: self.registry.get(&result.executor).unwrap_or_default(),
            reply: is_answered.then(|| ProbeReply {
                latency: millis_from_micros(result.latency),
                report: self.load_fields.report(result.metrics.as_deref().unwrap_or_default()),
            }),
        }
    }

    /// Returns the event for a gossip message; `None` if the message is unreadable, which is counted.
    pub fn gossip_received(&mut self, gossip: &GossipReceived) -> Option<Event> {
        if let Some(message) = gossip.message(&self.class_names) {
            return Some(Event::GossipReceived(message));
        }
        self.unreadable_messages += 1;
        // The count is logged at each power of two, so that many of them do not fill the log.
        self.is_unreadable_log_due |= self.unreadable_messages.is_power_of_two();
        None
    }

    /// Whether the count of unreadable messages is to be logged with this batch.
    pub fn is_unreadable_log_due(&self) -> bool {
        self.is_unreadable_log_due
    }

    /// Appends the lines of all actions that result from this batch.
    pub fn write_actions(&mut self, number: u64, now: Millis, actions: &mut Vec<Action>, out: &mut Vec<u8>) {
        self.dispatcher.poll_actions(now, actions);
        for action in actions.drain(..) {
            encode::action(out, number, &self.registry, &self.class_names, &action);
            if let Action::ReleaseExecutor { executor } = action {
                self.registry.release(executor);
            }
        }
        if std::mem::take(&mut self.is_unreadable_log_due) {
            let line = format!("{} unreadable gossip messages ignored", self.unreadable_messages);
            encode::log_line(out, number, &line);
        }
    }
}
