//! Shared by the tests: a node with given settings and short ways to tell it things.
#![allow(dead_code)]
use slotmap::{Key, KeyData};
use troutknot::settings::{ClassSettings, RuleSettings, TenantSettings};
use troutknot::*;

/// The handle in the slot of this number, the first one that it had.
pub fn executor(number: u32) -> ExecutorId {
    executor_again(number, 0)
}

/// The handle in the slot of this number, after it was released so often.
pub fn executor_again(number: u32, releases: u32) -> ExecutorId {
    // Slot 0 is never given, and the generations of slots that are taken are odd.
    let (slot, generation) = (u64::from(number) + 1, u64::from(2 * releases + 1));
    KeyData::from_ffi(generation << 32 | slot).into()
}

/// The number of the slot that a handle stands for.
pub fn number_of(executor: ExecutorId) -> u32 {
    executor.data().as_ffi() as u32 - 1
}

pub struct Node {
    pub node: Dispatcher,
    pub now: Millis,
    next: u64,
}

/// Project types by number: 0 rerunnable, 1 receipted for all, 2 receipted in a group, 3 exclusive.
pub fn node(nodes: f64) -> Node {
    node_of(nodes, None)
}

/// The same, told its own number among the nodes.
pub fn node_of(nodes: f64, me: Option<f64>) -> Node {
    with(settings_of(nodes, me))
}

pub fn settings_of(nodes: f64, me: Option<f64>) -> Settings {
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
    // Tenant 0 has a quota without end, tenant 1 hardly any.
    let tenants = [1e9, 1.0].map(|quota| TenantSettings { quota_per_s: Some(quota) });
    let mut settings = Settings {
        nodes,
        node: me,
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

pub fn with(settings: Settings) -> Node {
    with_seed(settings, 11)
}

pub fn with_seed(settings: Settings, seed: u64) -> Node {
    start_at(0.0, settings, seed)
}

/// A process that starts then.
pub fn start_at(now: Millis, settings: Settings, seed: u64) -> Node {
    Node { node: Dispatcher::new(&settings, seed, now), now, next: 0 }
}

pub fn listing(number: u32, group: u32, phase: EndpointState, started: Option<Millis>) -> Endpoint {
    let (place, kind) = (ZoneId(0), MachineTypeId(0));
    let token = (number as u64).wrapping_mul(0x9e3779b97f4a7c15);
    Endpoint {
        executor: executor(number),
        token,
        zone: place,
        machine_type: kind,
        deduplication_group: DeduplicationGroupId(group),
        state: phase,
        weight: 1.0,
        started_at: started,
    }
}

/// A probe that was answered.
pub fn replied(executor: ExecutorId, latency: Millis, report: LoadReport) -> Event {
    Event::ProbeCompleted { executor, reply: Some(ProbeReply { latency, report }) }
}

impl Node {
    pub fn emit(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.node.poll_actions(self.now, &mut actions);
        actions
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        self.node.handle_event(self.now, event);
        self.emit()
    }

    pub fn list(&mut self, kind: ListUpdate, entries: &[Endpoint]) -> Vec<Action> {
        self.tell(Event::EndpointsUpdated { update: kind, endpoints: entries.to_vec() })
    }

    /// Healthy warm executors 0..n, each in a group of its own.
    pub fn warm(&mut self, n: u32) {
        let entries: Vec<Endpoint> = (0..n).map(|e| listing(e, e, EndpointState::Ready, None)).collect();
        self.list(ListUpdate::Snapshot, &entries);
    }

    pub fn arrive(&mut self, project_type: u32) -> (RequestId, Vec<Action>) {
        self.arrive_for(project_type, 0)
    }

    pub fn arrive_for(&mut self, project_type: u32, customer: u32) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request_id = RequestId(self.next);
        let actions = self.tell(Event::RequestArrived {
            request_id,
            class: RequestClassId(project_type),
            tenant: TenantId(customer),
            slots: 1.0,
            memory: 0.0,
            time_left: 5000.0,
            is_retry: false,
        });
        (request_id, actions)
    }

    /// Answers every probe among the actions with the queue that `queue` gives, until no probe is asked for.
    pub fn answer(&mut self, mut actions: Vec<Action>, queue: impl Fn(u32) -> f64) -> Vec<Action> {
        let mut others = Vec::new();
        while let Some(at) = actions.iter().position(|a| matches!(a, Action::Probe { .. })) {
            let Action::Probe { executor } = actions.remove(at) else { unreachable!() };
            let held = queue(number_of(executor));
            let free = if held > 0.0 { 0.0 } else { 4.0 };
            let reading =
                LoadReport { queue_length: Some(held), free_slots: Some(free), ..LoadReport::default() };
            actions.extend(self.tell(replied(executor, 1.0, reading)));
        }
        others.append(&mut actions);
        others
    }

    pub fn end(&mut self, request_id: RequestId, attempt_id: u32, outcome: Outcome) -> Vec<Action> {
        let closed = outcome == Outcome::Completed;
        self.tell(Event::AttemptEnded {
            request_id,
            attempt_id: AttemptId(attempt_id),
            outcome,
            is_request_closed: closed,
        })
    }

    /// A work unit taken, probed and pushed: its id and where it went.
    pub fn pushed(&mut self, project_type: u32) -> (RequestId, ExecutorId) {
        let (request_id, actions) = self.arrive(project_type);
        let actions = self.answer(actions, |_| 0.0);
        (request_id, push_of(&actions).expect("room everywhere"))
    }
}

pub fn push_of(actions: &[Action]) -> Option<ExecutorId> {
    actions.iter().find_map(|a| match a {
        Action::Dispatch { executor, .. } => Some(*executor),
        _ => None,
    })
}

/// Until when what is pushed may go out.
pub fn send_deadline(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|a| {
        if let Action::Dispatch { send_deadline, .. } = a { Some(*send_deadline) } else { None }
    })
}

/// What an answer to a batch did for work units: p push or probe, d deferral, a abort, h nothing.
pub fn said(actions: &[Action]) -> char {
    let mut said = 'h';
    for action in actions {
        match action {
            Action::Dispatch { .. } | Action::Probe { .. } => said = 'p',
            Action::Reject { .. } => return 'd',
            Action::Fail { .. } => return 'a',
            _ => {}
        }
    }
    said
}
