//! Checks a scenario: the ranges of its values, the keys that each trouble and event takes, and what they name.
use super::{
    Effect, EventKind, EventSpec, Executors, LONGEST, MOST_EXECUTORS, MOST_NODES, MOST_REQUESTS, ProjectType,
    Scenario, Source, TroubleKind, TroubleSpec,
};
use crate::diagnostics::Checker;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// Stands for a file's top level, as a section.
const TOP: Range<usize> = 0..0;
/// The shortest `every` of executors that flap.
const SHORTEST_FLAP: Duration = Duration::from_millis(10);
/// The shortest mean time between two kills of nodes.
const SHORTEST_KILL_INTERVAL: Duration = Duration::from_millis(50);

impl TroubleKind {
    /// The keys that it takes beside `kind`, `from`, `to`, `share` and `group`; those with a star must stand.
    fn keys(self) -> &'static [&'static str] {
        match self {
            TroubleKind::Slow => &["factor*"],
            TroubleKind::Pause => &[],
            TroubleKind::Silence => &["cold"],
            TroubleKind::Neighbour => &["part*", "on*", "off*"],
            TroubleKind::Swallow => &["project_type*", "of_work"],
            TroubleKind::Errors | TroubleKind::Resets => &["of_work*"],
            TroubleKind::WrongReadings => &["factor*"],
            TroubleKind::LateReadings => &["by*"],
            TroubleKind::HeavyTail => &["project_type*", "of_work*", "alpha*"],
        }
    }
}

impl EventKind {
    /// The keys that it takes beside `what` and `at`; those with a star must stand.
    fn keys(self) -> &'static [&'static str] {
        match self {
            EventKind::KillNode | EventKind::RestartNode => &["node*", "back*"],
            EventKind::KillNodes => &["every*", "lasts*", "back*"],
            EventKind::RereadNodes | EventKind::RestartDiscovery => &[],
            EventKind::Deploy => &["group*", "every*", "count"],
            EventKind::KillExecutor => &["group*", "back", "count"],
            EventKind::SilenceDiscovery => &["lasts*"],
            EventKind::FlapExecutors => &["group*", "every*", "lasts*", "count"],
            EventKind::TroubleDiscovery => &["how*", "lasts*"],
            EventKind::SuspendExecutors => &["group*", "lasts*", "count"],
            EventKind::DrainNode => &["node*", "lasts*"],
            EventKind::UpgradeNode => &["node*"],
            EventKind::RetuneNodes => &["attempts*", "broken"],
        }
    }
}

impl TroubleSpec {
    /// The keys that only some kinds take, and whether they are given.
    fn given(&self) -> [(&'static str, bool); 9] {
        [
            ("factor", self.factor.is_some()),
            ("part", self.part.is_some()),
            ("on", self.on.is_some()),
            ("off", self.off.is_some()),
            ("project_type", self.project_type.is_some()),
            ("of_work", self.of_work.is_some()),
            ("by", self.by.is_some()),
            ("alpha", self.alpha.is_some()),
            ("cold", self.cold.is_some()),
        ]
    }
}

impl EventSpec {
    /// The keys that only some events take, and whether they are given.
    fn given(&self) -> [(&'static str, bool); 9] {
        [
            ("node", self.node.is_some()),
            ("group", self.group.is_some()),
            ("count", self.count.is_some()),
            ("back", self.back.is_some()),
            ("every", self.every.is_some()),
            ("lasts", self.lasts.is_some()),
            ("how", self.how.is_some()),
            ("attempts", self.attempts.is_some()),
            ("broken", self.broken.is_some()),
        ]
    }
}

impl Scenario {
    /// Hands every fault to the checker.
    pub(super) fn check(&self, checker: &mut Checker) {
        if self.length.is_zero() || self.length > LONGEST {
            checker.report(&TOP, "length", format!("`length` is {:?}; up to 1h is allowed", self.length));
        }
        self.check_sections(checker);
        self.check_executors(checker);
        self.check_project_types(checker);
        self.check_traffic(checker);
        self.troubles.iter().for_each(|trouble| self.check_trouble(checker, trouble));
        self.events.iter().for_each(|event| self.check_event(checker, event));
    }

    /// The sections that stand once.
    fn check_sections(&self, checker: &mut Checker) {
        let nodes = checker.section("nodes");
        checker.check_range(&nodes, "count", self.nodes.count as f64, 1.0..MOST_NODES as f64);
        checker.check_range(&nodes, "memory_mb", self.nodes.memory_mb as f64, 16.0..4096.0);
        checker.check_range(&nodes, "descriptors", self.nodes.descriptors as f64, 64.0..65536.0);
        let rules = checker.section("rules");
        checker.check_range(&rules, "cold_share", self.rules.cold_share, 0.01..1.0);
        checker.check_range(&rules, "fall_multiple", self.rules.fall_multiple, 0.1..1000.0);
        checker.check_range(&rules, "most_allocations", self.rules.most_allocations as f64, 1.0..3.0);
        let clients = checker.section("clients");
        checker.check_range(&clients, "leave", self.clients.leave, 0.0..1.0);
        checker.check_range(&clients, "retries", self.clients.retries as f64, 0.0..10.0);
        checker.check_range(&clients, "connections", self.clients.connections as f64, 1.0..20000.0);
        let expect = checker.section("expect");
        checker.check_range(&expect, "service", self.expect.service, 0.0..1.0);
        if self.discovery.notice_least > self.discovery.notice_most {
            let section = checker.section("discovery");
            checker.report(&section, "notice_least", "`notice_least` is over `notice_most`".into());
        }
        if let Some(durable) = &self.durable {
            let section = checker.section("durable");
            let lease = durable.lease.map_or(1.0, |lease| lease.as_secs_f64());
            checker.check_range(&section, "lease", lease, 0.1..3600.0);
            checker.check_range(&section, "kept", durable.kept.as_secs_f64(), 0.1..86400.0);
        }
    }

    /// The groups of executors, and how many executors they are in all.
    fn check_executors(&self, checker: &mut Checker) {
        let mut names = Vec::new();
        for group in &self.executors {
            let (at, group) = (group.span(), group.get_ref());
            if names.contains(&&group.name) {
                checker.report(&at, "name", format!("two groups of executors are named `{}`", group.name));
            }
            names.push(&group.name);
            checker.check_range(&at, "count", group.count as f64, 1.0..MOST_EXECUTORS as f64);
            checker.check_range(&at, "slots", group.slots, 1.0..1024.0);
            checker.check_range(&at, "cores", group.cores.unwrap_or(1.0), 0.05..1024.0);
            checker.check_range(&at, "speed", group.speed, 0.01..100.0);
            checker.check_range(&at, "noise", group.readings.noise, 0.0..1.0);
        }
        let count: usize = self.executors.iter().map(|group| group.get_ref().count).sum();
        if count > MOST_EXECUTORS || self.executors.is_empty() {
            let what = format!("{count} executors in all; 1 to {MOST_EXECUTORS} are allowed");
            checker.report(&TOP, "executors", what);
        }
    }

    /// The project types and their names, and the shares of all requests.
    fn check_project_types(&self, checker: &mut Checker) {
        let mut names: Vec<&String> = Vec::new();
        for project_type in &self.project_types {
            let (at, project_type) = (project_type.span(), project_type.get_ref());
            let name = &project_type.name;
            let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if names.contains(&name) || !plain {
                let what = format!("`{name}` is no name, or taken; letters, digits and `-` are allowed");
                checker.report(&at, "name", what);
            }
            names.push(name);
            self.check_project_type(checker, &at, project_type);
        }
        if self.project_types.iter().all(|project_type| project_type.get_ref().share <= 0.0) {
            checker.report(&TOP, "project_types", "no project type has a `share` over 0".into());
        }
        if !self.customers.is_empty() && self.customers.iter().all(|customer| customer.get_ref().share <= 0.0)
        {
            checker.report(&TOP, "customers", "no customer has a `share` over 0".into());
        }
    }

    /// The values of one project type.
    fn check_project_type(&self, checker: &mut Checker, at: &Range<usize>, project_type: &ProjectType) {
        checker.check_range(at, "share", project_type.share, 0.0..1e6);
        checker.check_range(at, "spread", project_type.spread, 0.0..3.0);
        checker.check_range(at, "credit", project_type.credit, 0.0..1e6);
        checker.check_range(at, "slots", project_type.slots, 1.0..1024.0);
        if project_type.work.is_zero() {
            checker.report(at, "work", "`work` is nothing; more than 0s is allowed".into());
        }
        let hard_limit = project_type.hard_limit;
        if hard_limit.is_zero() || project_type.promised_turnaround > hard_limit {
            let what = "`hard_limit` must be over 0s and no less than `promised_turnaround`".into();
            checker.report(at, "hard_limit", what);
        }
        if project_type.effect == Effect::Receipted && project_type.window.is_zero() {
            checker.report(at, "window", "receipted work needs a `window` over 0s".into());
        }
        let ProjectType { name, slots, .. } = project_type;
        let fits = |group: &Spanned<Executors>| group.get_ref().slots >= *slots;
        if !self.executors.iter().any(fits) {
            checker.report(at, "slots", format!("no executor has the {slots} slots that `{name}` needs"));
        }
    }

    /// The load, its curve, and the requests that follow.
    fn check_traffic(&self, checker: &mut Checker) {
        let (at, traffic) = (self.traffic.span(), self.traffic.get_ref());
        checker.check_range(&at, "load", traffic.load, 0.0..20.0);
        for pair in traffic.shape.windows(2) {
            if pair[1].at <= pair[0].at {
                checker.report(&at, "shape", "the points of `shape` must follow each other in time".into());
            }
        }
        for point in &traffic.shape {
            checker.check_range(&at, "shape", point.times, 0.0..100.0);
        }
        let requests = self.requests();
        if requests > MOST_REQUESTS {
            let what = format!("about {requests:.0} requests; {MOST_REQUESTS} are allowed");
            checker.report(&at, "load", what);
        }
    }

    /// One trouble.
    fn check_trouble(&self, checker: &mut Checker, trouble: &Spanned<TroubleSpec>) {
        let (at, trouble) = (trouble.span(), trouble.get_ref());
        let of = format!("a trouble of kind {:?}", trouble.kind);
        check_keys(checker, &at, &of, &trouble.given(), trouble.kind.keys());
        if trouble.from >= trouble.to || trouble.to > self.length {
            checker.report(&at, "to", "`to` must be later than `from`, and within the day".into());
        }
        checker.check_range(&at, "share", trouble.share, 0.0..1.0);
        checker.check_range(&at, "factor", trouble.factor.unwrap_or(1.0), 0.0..1000.0);
        checker.check_range(&at, "part", trouble.part.unwrap_or(0.5), 0.0..1.0);
        checker.check_range(&at, "of_work", trouble.of_work.unwrap_or(0.5), 0.0..1.0);
        checker.check_range(&at, "alpha", trouble.alpha.unwrap_or(1.5), 0.5..10.0);
        if trouble.kind == TroubleKind::Slow && trouble.factor.is_some_and(|factor| factor < 0.01) {
            checker.report(&at, "factor", "a `factor` of slowness of 0.01 at least is allowed".into());
        }
        if [trouble.on, trouble.off].iter().flatten().any(Duration::is_zero) {
            checker.report(&at, "on", "`on` and `off` of more than 0s are allowed".into());
        }
        self.check_group(checker, &at, &trouble.group);
        self.check_named_project_type(checker, &at, &trouble.project_type);
    }

    /// One event.
    fn check_event(&self, checker: &mut Checker, event: &Spanned<EventSpec>) {
        let (at, event) = (event.span(), event.get_ref());
        let of = format!("an event {:?}", event.what);
        check_keys(checker, &at, &of, &event.given(), event.what.keys());
        let source = self.discovery.source;
        let fits_source = match event.what {
            EventKind::TroubleDiscovery => source == Source::Consul,
            EventKind::RereadNodes => source != Source::Consul,
            _ => true,
        };
        if !fits_source {
            let what = format!("an event {:?} is not for discovery by {source:?}", event.what);
            checker.report(&at, "what", what);
        }
        let is_under = |least: Duration| event.every.is_some_and(|every| every < least);
        if event.what == EventKind::FlapExecutors && is_under(SHORTEST_FLAP) {
            checker.report(&at, "every", format!("`every` of {SHORTEST_FLAP:?} at least is allowed"));
        }
        if event.what == EventKind::KillNodes && is_under(SHORTEST_KILL_INTERVAL) {
            checker.report(
                &at,
                "every",
                format!("`every` of {SHORTEST_KILL_INTERVAL:?} at least is allowed"),
            );
        }
        checker.check_range(&at, "attempts", event.attempts.unwrap_or(1) as f64, 1.0..3.0);
        if event.at > self.length {
            checker.report(&at, "at", "`at` must be within the day".into());
        }
        if event.node.is_some_and(|node| node >= self.nodes.count) {
            checker.report(&at, "node", format!("`node` must be under {}", self.nodes.count));
        }
        self.check_group(checker, &at, &event.group);
    }

    /// A fault where a group is named that is not there.
    fn check_group(&self, checker: &mut Checker, at: &Range<usize>, group: &Option<String>) {
        let Some(name) = group else { return };
        let names: Vec<&String> = self.executors.iter().map(|group| &group.get_ref().name).collect();
        if !names.contains(&name) {
            checker.report(at, "group", format!("there is no group `{name}`; {names:?} are"));
        }
    }

    /// A fault where a project type is named that is not there.
    fn check_named_project_type(&self, checker: &mut Checker, at: &Range<usize>, named: &Option<String>) {
        let Some(name) = named else { return };
        let names: Vec<&String> = self.project_types.iter().map(|known| &known.get_ref().name).collect();
        if !names.contains(&name) {
            checker.report(at, "project_type", format!("there is no project type `{name}`; {names:?} are"));
        }
    }
}

/// A fault for each key that must stand and does not, or stands where it means nothing.
fn check_keys(checker: &mut Checker, at: &Range<usize>, of: &str, given: &[(&str, bool)], takes: &[&str]) {
    for (key, is_given) in given {
        let must = takes.iter().any(|taken| taken.strip_suffix('*') == Some(key));
        let may = must || takes.contains(key);
        if *is_given && !may || !*is_given && must {
            let words: Vec<&str> = takes.iter().map(|taken| taken.trim_end_matches('*')).collect();
            let what = if must { "needs" } else { "takes no" };
            checker.report(at, key, format!("{of} {what} `{key}`; it takes {words:?}"));
        }
    }
}
