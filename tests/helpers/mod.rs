//! Test helpers: a dispatcher with its clock, settings, and shorthand for events and actions.
#![allow(dead_code)]
use slotmap::{Key, KeyData};
use troutknot::settings::{ClassSettings, RuleSettings, TenantSettings};
use troutknot::*;

/// Returns the handle of the slot with this number before any release.
pub fn executor(number: u32) -> ExecutorId {
    reused_handle(number, 0)
}

/// Returns the handle of the slot with this number after this many releases.
pub fn reused_handle(number: u32, releases: u32) -> ExecutorId {
    // `SlotMap` never uses slot 0, and the generation of an occupied slot is odd.
    let (slot, generation) = (u64::from(number) + 1, u64::from(2 * releases + 1));
    KeyData::from_ffi(generation << 32 | slot).into()
}

/// Returns the number of a handle's slot.
pub fn number_of(executor: ExecutorId) -> u32 {
    executor.data().as_ffi() as u32 - 1
}

/// A dispatcher with its clock.
pub struct Node {
    pub dispatcher: Dispatcher,
    pub now: Millis,
    last_request: u64,
}

/// Creates a node with the settings of [`settings_of`] and no number of its own.
pub fn node(nodes: f64) -> Node {
    node_numbered(nodes, None)
}

/// Creates a node with this number among the nodes.
pub fn node_numbered(nodes: f64, number: Option<f64>) -> Node {
    node_with(settings_of(nodes, number))
}

/// Returns settings with four classes: 0 idempotent, 1 deduplicated by all executors, 2 deduplicated within a group,
/// 3 at most once.
pub fn settings_of(nodes: f64, number: Option<f64>) -> Settings {
    let class = |(effect, deduplication_scope)| ClassSettings {
        effect,
        deduplication_scope,
        deadline: Some(5000.0),
        deduplication_window: 2000.0,
        latency_objective: Some(100.0),
        value: 1.0,
        stretch: 2.0,
        ..ClassSettings::default()
    };
    let classes = [
        (Effect::Idempotent, DeduplicationScope::Group),
        (Effect::Deduplicated, DeduplicationScope::All),
        (Effect::Deduplicated, DeduplicationScope::Group),
        (Effect::AtMostOnce, DeduplicationScope::Group),
    ];
    // Tenant 0 has a quota of 1e9 requests per second, tenant 1 of one.
    let tenants = [1e9, 1.0].map(|quota| TenantSettings { quota_per_s: Some(quota) });
    let mut settings = Settings {
        nodes,
        node: number,
        classes: classes.map(class).into(),
        tenants: tenants.into(),
        over_quota_value: 0.2,
        ..Settings::default()
    };
    settings.limits.max_attempts = Some(3.0);
    settings.limits.max_retry_after = Some(2000.0);
    settings.limits.retry_after_enabled = true;
    settings.rules = RuleSettings {
        initial_capacity: 0.25,
        ramp_duration: 10_000.0,
        budget_window: 1000.0,
        budget_multiple: 4.0,
        poll_interval: Some(10_000.0),
        ..RuleSettings::default()
    };
    settings
}

pub fn node_with(settings: Settings) -> Node {
    node_with_seed(settings, 11)
}

pub fn node_with_seed(settings: Settings, seed: u64) -> Node {
    node_started_at(0.0, settings, seed)
}

/// Creates a node whose process starts at this time.
pub fn node_started_at(now: Millis, settings: Settings, seed: u64) -> Node {
    Node { dispatcher: Dispatcher::new(&settings, seed, now), now, last_request: 0 }
}

pub fn endpoint(number: u32, group: u32, state: EndpointState, started_at: Option<Millis>) -> Endpoint {
    Endpoint {
        executor: executor(number),
        token: u64::from(number).wrapping_mul(0x9e3779b97f4a7c15),
        zone: Some(ZoneId(0)),
        machine_type: MachineTypeId(0),
        deduplication_group: Some(DeduplicationGroupId(group)),
        state,
        weight: 1.0,
        started_at,
    }
}

/// Returns the event of a probe reply.
pub fn probe_reply(executor: ExecutorId, latency: Millis, report: LoadReport) -> Event {
    Event::ProbeCompleted { executor, reply: Some(ProbeReply { latency, report }) }
}

impl Node {
    /// Returns the due actions.
    pub fn poll(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.poll_actions(self.now, &mut actions);
        actions
    }

    /// Reports one event and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.dispatcher.handle_event(self.now, event);
        self.poll()
    }

    pub fn update_endpoints(&mut self, update: ListUpdate, endpoints: &[Endpoint]) -> Vec<Action> {
        self.handle(Event::EndpointsUpdated { update, endpoints: endpoints.to_vec() })
    }

    /// Lists this many ready, warm executors, numbered from 0, each in a group of its own.
    pub fn list_warm(&mut self, count: u32) {
        let warm = |number| endpoint(number, number, EndpointState::Ready, None);
        let endpoints: Vec<Endpoint> = (0..count).map(warm).collect();
        self.update_endpoints(ListUpdate::Snapshot, &endpoints);
    }

    pub fn arrive(&mut self, class: u32) -> (RequestId, Vec<Action>) {
        self.arrive_for(class, 0)
    }

    pub fn arrive_for(&mut self, class: u32, tenant: u32) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let request_id = RequestId(self.last_request);
        let actions = self.handle(Event::RequestArrived {
            request_id,
            class: RequestClassId(class),
            tenant: TenantId(tenant),
            slots: 1.0,
            memory: 0.0,
            time_left: 5000.0,
            is_retry: false,
        });
        (request_id, actions)
    }

    /// Replies to all probes, including those that follow, with the queue length that `queue` returns for the executor.
    /// An executor without a queue has four free slots. Returns the other actions.
    pub fn answer_probes(&mut self, mut actions: Vec<Action>, queue: impl Fn(u32) -> f64) -> Vec<Action> {
        let mut others = Vec::new();
        while let Some(at) = actions.iter().position(|action| matches!(action, Action::Probe { .. })) {
            let Action::Probe { executor } = actions.remove(at) else { unreachable!() };
            let queue_length = queue(number_of(executor));
            let free_slots = if queue_length > 0.0 { 0.0 } else { 4.0 };
            let report = LoadReport {
                queue_length: Some(queue_length),
                free_slots: Some(free_slots),
                ..LoadReport::default()
            };
            actions.extend(self.handle(probe_reply(executor, 1.0, report)));
        }
        others.append(&mut actions);
        others
    }

    /// Ends an attempt. A completed one closes its request.
    pub fn end_attempt(&mut self, request_id: RequestId, attempt_id: u32, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request_id,
            attempt_id: AttemptId(attempt_id),
            outcome,
            is_request_closed: outcome == Outcome::Completed,
        })
    }

    /// Reports an arrival and answers the probes with free capacity. Returns the id of the request and its executor.
    pub fn dispatched(&mut self, class: u32) -> (RequestId, ExecutorId) {
        let (request_id, actions) = self.arrive(class);
        let actions = self.answer_probes(actions, |_| 0.0);
        (request_id, dispatched_to(&actions).expect("all executors have capacity"))
    }
}

/// Returns the executor of the first dispatch among the actions.
pub fn dispatched_to(actions: &[Action]) -> Option<ExecutorId> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { executor, .. } => Some(*executor),
        _ => None,
    })
}

/// Returns the executor of the first probe among the actions.
pub fn probed(actions: &[Action]) -> Option<ExecutorId> {
    actions.iter().find_map(|action| match action {
        Action::Probe { executor } => Some(*executor),
        _ => None,
    })
}

/// Returns the send deadline of the first dispatch among the actions.
pub fn send_deadline(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { send_deadline, .. } => Some(*send_deadline),
        _ => None,
    })
}

/// The effect of actions on the requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Response {
    /// A request waits.
    Waiting,
    /// An executor is probed for a request, or the request is dispatched.
    Dispatching,
    Rejected,
    Failed,
}

/// Returns the first answer among the actions; without an answer, whether there is a probe or a dispatch.
pub fn response_to(actions: &[Action]) -> Response {
    let mut response = Response::Waiting;
    for action in actions {
        match action {
            Action::Dispatch { .. } | Action::Probe { .. } => response = Response::Dispatching,
            Action::Reject { .. } => return Response::Rejected,
            Action::Fail { .. } => return Response::Failed,
            _ => {}
        }
    }
    response
}

/// Creates one of 300 nodes that may not probe.
pub fn node_without_probes(starts_reported: bool) -> Node {
    let mut settings = settings_of(300.0, Some(0.0));
    settings.limits.probes_enabled = false;
    settings.limits.hedging_enabled = true;
    settings.executors.reports_start = starts_reported;
    node_with(settings)
}
