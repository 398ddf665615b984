//! Checks of a scenario: the ranges of its values, the keys that each fault and event takes, and references by name.
use super::{
    DiscoverySource, Effect, EventKind, EventSpec, ExecutorGroup, FaultKind, FaultSpec, MAX_EXECUTORS,
    MAX_LENGTH, MAX_NODES, MAX_REQUESTS, RequestClass, Scenario,
};
use crate::diagnostics::Checker;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// The section of errors that concern the top level of the file.
const TOP_LEVEL: Range<usize> = 0..0;
/// The shortest `every` of flapping executors.
const MIN_FLAP_INTERVAL: Duration = Duration::from_millis(10);
/// The shortest mean interval between kills of random nodes.
const MIN_KILL_INTERVAL: Duration = Duration::from_millis(50);

impl FaultKind {
    /// The name in scenario files.
    fn name(self) -> &'static str {
        match self {
            FaultKind::Slow => "slow",
            FaultKind::Pause => "pause",
            FaultKind::Silence => "silence",
            FaultKind::CpuContention => "neighbour",
            FaultKind::NeverStart => "swallow",
            FaultKind::Errors => "errors",
            FaultKind::WrongLoadReports => "wrong-readings",
            FaultKind::LateLoadReports => "late-readings",
            FaultKind::Resets => "resets",
            FaultKind::HeavyTail => "heavy-tail",
        }
    }

    /// The keys in addition to `kind`, `from`, `to`, `share` and `group`; a star marks required ones.
    fn keys(self) -> &'static [&'static str] {
        match self {
            FaultKind::Slow => &["factor*"],
            FaultKind::Pause => &[],
            FaultKind::Silence => &["cold"],
            FaultKind::CpuContention => &["part*", "on*", "off*"],
            FaultKind::NeverStart => &["project_type*", "of_work"],
            FaultKind::Errors | FaultKind::Resets => &["of_work*"],
            FaultKind::WrongLoadReports => &["factor*"],
            FaultKind::LateLoadReports => &["by*"],
            FaultKind::HeavyTail => &["project_type*", "of_work*", "alpha*"],
        }
    }
}

impl EventKind {
    /// The name in scenario files.
    fn name(self) -> &'static str {
        match self {
            EventKind::KillNode => "kill-node",
            EventKind::KillNodes => "kill-nodes",
            EventKind::RestartNode => "restart-node",
            EventKind::ReloadNodes => "reread-nodes",
            EventKind::Deploy => "deploy",
            EventKind::KillExecutor => "kill-executor",
            EventKind::SilenceDiscovery => "silence-discovery",
            EventKind::RestartDiscovery => "restart-discovery",
            EventKind::FlapExecutors => "flap-executors",
            EventKind::FailDiscovery => "trouble-discovery",
            EventKind::SuspendExecutors => "suspend-executors",
            EventKind::DrainNode => "drain-node",
            EventKind::HotRestartNode => "upgrade-node",
            EventKind::ReconfigureNodes => "retune-nodes",
        }
    }

    /// The keys in addition to `what` and `at`; a star marks required ones.
    fn keys(self) -> &'static [&'static str] {
        match self {
            EventKind::KillNode | EventKind::RestartNode => &["node*", "back*"],
            EventKind::KillNodes => &["every*", "lasts*", "back*"],
            EventKind::ReloadNodes | EventKind::RestartDiscovery => &[],
            EventKind::Deploy => &["group*", "every*", "count"],
            EventKind::KillExecutor => &["group*", "back", "count"],
            EventKind::SilenceDiscovery => &["lasts*"],
            EventKind::FlapExecutors => &["group*", "every*", "lasts*", "count"],
            EventKind::FailDiscovery => &["how*", "lasts*"],
            EventKind::SuspendExecutors => &["group*", "lasts*", "count"],
            EventKind::DrainNode => &["node*", "lasts*"],
            EventKind::HotRestartNode => &["node*"],
            EventKind::ReconfigureNodes => &["attempts*", "broken"],
        }
    }
}

impl FaultSpec {
    /// The keys that only some kinds take, and whether each is present.
    fn optional_keys(&self) -> [(&'static str, bool); 9] {
        [
            ("factor", self.factor.is_some()),
            ("part", self.core_share.is_some()),
            ("on", self.contended_time.is_some()),
            ("off", self.uncontended_time.is_some()),
            ("project_type", self.request_class.is_some()),
            ("of_work", self.attempt_share.is_some()),
            ("by", self.delay.is_some()),
            ("alpha", self.alpha.is_some()),
            ("cold", self.restarts.is_some()),
        ]
    }
}

impl EventSpec {
    /// The keys that only some kinds take, and whether each is present.
    fn optional_keys(&self) -> [(&'static str, bool); 9] {
        [
            ("node", self.node.is_some()),
            ("group", self.group.is_some()),
            ("count", self.count.is_some()),
            ("back", self.downtime.is_some()),
            ("every", self.interval.is_some()),
            ("lasts", self.duration.is_some()),
            ("how", self.discovery_fault.is_some()),
            ("attempts", self.max_attempts.is_some()),
            ("broken", self.is_broken.is_some()),
        ]
    }
}

impl Scenario {
    /// Reports all errors to the checker.
    pub(super) fn check(&self, checker: &mut Checker) {
        if self.length.is_zero() || self.length > MAX_LENGTH {
            checker.report(
                &TOP_LEVEL,
                "length",
                format!("`length` is {:?}; up to 1h is allowed", self.length),
            );
        }
        self.check_sections(checker);
        self.check_executors(checker);
        self.check_request_classes(checker);
        self.check_traffic(checker);
        self.faults.iter().for_each(|fault| self.check_fault(checker, fault));
        self.events.iter().for_each(|event| self.check_event(checker, event));
    }

    /// Checks the sections that appear once.
    fn check_sections(&self, checker: &mut Checker) {
        let nodes = checker.section("nodes");
        checker.check_range(&nodes, "count", self.nodes.count as f64, 1.0..MAX_NODES as f64);
        checker.check_range(&nodes, "memory_mb", self.nodes.memory_mb as f64, 16.0..4096.0);
        checker.check_range(&nodes, "descriptors", self.nodes.max_file_descriptors as f64, 64.0..65536.0);
        let rules = checker.section("rules");
        checker.check_range(&rules, "cold_share", self.rules.initial_capacity, 0.01..1.0);
        checker.check_range(&rules, "fall_multiple", self.rules.budget_multiple, 0.1..1000.0);
        checker.check_range(&rules, "most_allocations", self.rules.max_attempts as f64, 1.0..3.0);
        let clients = checker.section("clients");
        checker.check_range(&clients, "leave", self.clients.disconnect_share, 0.0..1.0);
        checker.check_range(&clients, "retries", self.clients.max_retries as f64, 0.0..10.0);
        checker.check_range(&clients, "connections", self.clients.max_connections as f64, 1.0..20000.0);
        let expect = checker.section("expect");
        checker.check_range(&expect, "service", self.expect.min_service, 0.0..1.0);
        if self.discovery.min_notice_delay > self.discovery.max_notice_delay {
            let section = checker.section("discovery");
            checker.report(&section, "notice_least", "`notice_least` is greater than `notice_most`".into());
        }
        if let Some(durable) = &self.durable {
            let section = checker.section("durable");
            let lease = durable.lease_duration.map_or(1.0, |lease| lease.as_secs_f64());
            checker.check_range(&section, "lease", lease, 0.1..3600.0);
            checker.check_range(&section, "kept", durable.retention.as_secs_f64(), 0.1..86400.0);
        }
    }

    /// Checks the groups of executors and the total number of executors.
    fn check_executors(&self, checker: &mut Checker) {
        let mut names = Vec::new();
        for group in &self.executors {
            let (at, group) = (group.span(), group.get_ref());
            if names.contains(&&group.name) {
                checker.report(&at, "name", format!("two groups of executors are named `{}`", group.name));
            }
            names.push(&group.name);
            checker.check_range(&at, "count", group.count as f64, 1.0..MAX_EXECUTORS as f64);
            checker.check_range(&at, "slots", group.slots, 1.0..1024.0);
            checker.check_range(&at, "cores", group.cores.unwrap_or(1.0), 0.05..1024.0);
            checker.check_range(&at, "speed", group.speed, 0.01..100.0);
            checker.check_range(&at, "noise", group.load_reports.noise, 0.0..1.0);
        }
        let count: usize = self.executors.iter().map(|group| group.get_ref().count).sum();
        if count > MAX_EXECUTORS || self.executors.is_empty() {
            let message = format!("{count} executors in all; 1 to {MAX_EXECUTORS} are allowed");
            checker.report(&TOP_LEVEL, "executors", message);
        }
    }

    /// Checks the names of the request classes and the shares of classes and tenants.
    fn check_request_classes(&self, checker: &mut Checker) {
        let mut names: Vec<&String> = Vec::new();
        for class in &self.request_classes {
            let (at, class) = (class.span(), class.get_ref());
            let name = &class.name;
            let is_valid =
                !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
            if names.contains(&name) || !is_valid {
                let message =
                    format!("`{name}` is not a valid or unique name; letters, digits and `-` are allowed");
                checker.report(&at, "name", message);
            }
            names.push(name);
            self.check_request_class(checker, &at, class);
        }
        if self.request_classes.iter().all(|class| class.get_ref().share <= 0.0) {
            checker.report(&TOP_LEVEL, "project_types", "no project type has a `share` over 0".into());
        }
        if !self.tenants.is_empty() && self.tenants.iter().all(|tenant| tenant.get_ref().share <= 0.0) {
            checker.report(&TOP_LEVEL, "customers", "no customer has a `share` over 0".into());
        }
    }

    /// Checks the values of one request class.
    fn check_request_class(&self, checker: &mut Checker, at: &Range<usize>, class: &RequestClass) {
        checker.check_range(at, "share", class.share, 0.0..1e6);
        checker.check_range(at, "spread", class.work_sigma, 0.0..3.0);
        checker.check_range(at, "credit", class.value, 0.0..1e6);
        checker.check_range(at, "slots", class.slots, 1.0..1024.0);
        if class.work.is_zero() {
            checker.report(at, "work", "`work` is 0s; more than 0s is allowed".into());
        }
        let deadline = class.deadline;
        if deadline.is_zero() || class.latency_objective > deadline {
            let message = "`hard_limit` must be over 0s and no less than `promised_turnaround`".into();
            checker.report(at, "hard_limit", message);
        }
        if class.effect == Effect::Deduplicated && class.deduplication_window.is_zero() {
            checker.report(at, "window", "receipted work needs a `window` over 0s".into());
        }
        let RequestClass { name, slots, .. } = class;
        let has_enough_slots = |group: &Spanned<ExecutorGroup>| group.get_ref().slots >= *slots;
        if !self.executors.iter().any(has_enough_slots) {
            checker.report(at, "slots", format!("no executor has the {slots} slots that `{name}` needs"));
        }
    }

    /// Checks the load, its curve and the resulting number of requests.
    fn check_traffic(&self, checker: &mut Checker) {
        let (at, traffic) = (self.traffic.span(), self.traffic.get_ref());
        checker.check_range(&at, "load", traffic.load, 0.0..20.0);
        for pair in traffic.curve.windows(2) {
            if pair[1].at <= pair[0].at {
                checker.report(&at, "shape", "the points of `shape` must follow each other in time".into());
            }
        }
        for point in &traffic.curve {
            checker.check_range(&at, "shape", point.factor, 0.0..100.0);
        }
        let requests = self.expected_requests();
        if requests > MAX_REQUESTS {
            let message = format!("about {requests:.0} requests; {MAX_REQUESTS} are allowed");
            checker.report(&at, "load", message);
        }
    }

    /// Checks one fault.
    fn check_fault(&self, checker: &mut Checker, fault: &Spanned<FaultSpec>) {
        let (at, fault) = (fault.span(), fault.get_ref());
        let subject = format!("a trouble of kind `{}`", fault.kind.name());
        check_keys(checker, &at, &subject, &fault.optional_keys(), fault.kind.keys());
        if fault.begins_at >= fault.ends_at || fault.ends_at > self.length {
            checker.report(&at, "to", "`to` must be later than `from`, and within the day".into());
        }
        checker.check_range(&at, "share", fault.share, 0.0..1.0);
        checker.check_range(&at, "factor", fault.factor.unwrap_or(1.0), 0.0..1000.0);
        checker.check_range(&at, "part", fault.core_share.unwrap_or(0.5), 0.0..1.0);
        checker.check_range(&at, "of_work", fault.attempt_share.unwrap_or(0.5), 0.0..1.0);
        checker.check_range(&at, "alpha", fault.alpha.unwrap_or(1.5), 0.5..10.0);
        if fault.kind == FaultKind::Slow && fault.factor.is_some_and(|factor| factor < 0.01) {
            checker.report(&at, "factor", "a `factor` of at least 0.01 is allowed for this kind".into());
        }
        if [fault.contended_time, fault.uncontended_time].iter().flatten().any(Duration::is_zero) {
            checker.report(&at, "on", "`on` and `off` of more than 0s are allowed".into());
        }
        self.check_group_reference(checker, &at, &fault.group);
        self.check_class_reference(checker, &at, &fault.request_class);
    }

    /// Checks one event.
    fn check_event(&self, checker: &mut Checker, event: &Spanned<EventSpec>) {
        let (at, event) = (event.span(), event.get_ref());
        let subject = format!("an event `{}`", event.kind.name());
        check_keys(checker, &at, &subject, &event.optional_keys(), event.kind.keys());
        let source = self.discovery.source;
        let fits_source = match event.kind {
            EventKind::FailDiscovery => source == DiscoverySource::Consul,
            EventKind::ReloadNodes => source != DiscoverySource::Consul,
            _ => true,
        };
        if !fits_source {
            let message = format!("an event `{}` is not for discovery by {source:?}", event.kind.name());
            checker.report(&at, "what", message);
        }
        let is_below = |min: Duration| event.interval.is_some_and(|interval| interval < min);
        if event.kind == EventKind::FlapExecutors && is_below(MIN_FLAP_INTERVAL) {
            checker.report(&at, "every", format!("`every` of at least {MIN_FLAP_INTERVAL:?} is allowed"));
        }
        if event.kind == EventKind::KillNodes && is_below(MIN_KILL_INTERVAL) {
            checker.report(&at, "every", format!("`every` of at least {MIN_KILL_INTERVAL:?} is allowed"));
        }
        checker.check_range(&at, "attempts", event.max_attempts.unwrap_or(1) as f64, 1.0..3.0);
        if event.at > self.length {
            checker.report(&at, "at", "`at` must be within the day".into());
        }
        if event.node.is_some_and(|node| node >= self.nodes.count) {
            checker.report(&at, "node", format!("`node` must be under {}", self.nodes.count));
        }
        self.check_group_reference(checker, &at, &event.group);
    }

    /// Reports a group name that no group has.
    fn check_group_reference(&self, checker: &mut Checker, at: &Range<usize>, group: &Option<String>) {
        let Some(name) = group else { return };
        let names: Vec<&String> = self.executors.iter().map(|group| &group.get_ref().name).collect();
        if !names.contains(&name) {
            checker.report(at, "group", format!("there is no group `{name}`; {names:?} are"));
        }
    }

    /// Reports a class name that no request class has.
    fn check_class_reference(&self, checker: &mut Checker, at: &Range<usize>, class: &Option<String>) {
        let Some(name) = class else { return };
        let names: Vec<&String> = self.request_classes.iter().map(|class| &class.get_ref().name).collect();
        if !names.contains(&name) {
            checker.report(at, "project_type", format!("there is no project type `{name}`; {names:?} are"));
        }
    }
}

/// Reports each required key that is absent and each present key that the kind does not take.
fn check_keys(
    checker: &mut Checker,
    at: &Range<usize>,
    subject: &str,
    optional_keys: &[(&str, bool)],
    allowed: &[&str],
) {
    for (key, is_present) in optional_keys {
        let is_required = allowed.iter().any(|name| name.strip_suffix('*') == Some(key));
        let is_allowed = is_required || allowed.contains(key);
        if *is_present && !is_allowed || !*is_present && is_required {
            let names: Vec<&str> = allowed.iter().map(|name| name.trim_end_matches('*')).collect();
            let problem = if is_required { "needs" } else { "takes no" };
            checker.report(at, key, format!("{subject} {problem} `{key}`; it takes {names:?}"));
        }
    }
}
