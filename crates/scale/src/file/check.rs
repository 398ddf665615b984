//! The ranges that the values of a scale file must be in, and what must fit together.
use super::{ScaleFile, TroubleKind, TroubleSpec};
use bytesize::ByteSize;
use std::time::Duration;
use toml::Spanned;
use troutknot_rehearsal::diagnostics::Checker;
use troutknot_rehearsal::scenario::millis;

const MOST_EXECUTORS: usize = 50_000;
const MOST_REAL_NODES: usize = 64;
/// With the real ones as many as a request id has room for.
const MOST_HOLLOW_NODES: usize = 256 - MOST_REAL_NODES;
/// Requests a second, of all real nodes together.
const MOST_REQUEST_RATE: f64 = 20_000.0;
const MOST_POINTS: usize = 1000;
const LONGEST_RUN: Duration = Duration::from_secs(4 * 3600);

impl TroubleKind {
    /// The keys that it needs beside `kind`.
    fn keys(self) -> &'static [&'static str] {
        match self {
            TroubleKind::BusyDay => &["replaced", "failed", "factor"],
            TroubleKind::ZoneLost => &["executors", "back"],
            TroubleKind::DiscoverySilent => &["lasts", "restarted"],
        }
    }
}

impl ScaleFile {
    pub(super) fn check(&self, checker: &mut Checker) {
        if self.time_limit.is_zero() || self.time_limit > LONGEST_RUN {
            checker.report(&(0..0), "time_limit", "`time_limit` is over 0s and up to 4h".into());
        }
        self.check_fleet(checker);
        self.check_load(checker);
        self.check_requests(checker);
        self.check_nodes(checker);
        self.check_rules(checker);
        let bursts = checker.section("bursts");
        checker.check_range(&bursts, "zone", self.bursts.zone as f64, 0.0..MOST_EXECUTORS as f64);
        checker.check_range(&bursts, "region", self.bursts.region as f64, 0.0..MOST_EXECUTORS as f64);
        self.troubles.iter().for_each(|trouble| self.check_trouble(checker, trouble));
    }

    fn check_fleet(&self, checker: &mut Checker) {
        let at = checker.section("fleet");
        if self.fleet.sizes.is_empty() {
            checker.report(&at, "sizes", "`sizes` is empty; one size at least is needed".into());
        }
        for size in &self.fleet.sizes {
            checker.check_range(&at, "sizes", *size as f64, 1.0..MOST_EXECUTORS as f64);
        }
        if self.fleet.sizes.windows(2).any(|pair| pair[0] >= pair[1]) {
            checker.report(&at, "sizes", "`sizes` must grow from one to the next".into());
        }
        checker.check_range(&at, "slots", self.fleet.slots, 1.0..1024.0);
        checker.check_range(&at, "queue_capacity", self.fleet.queue_capacity as f64, 0.0..65536.0);
    }

    fn check_load(&self, checker: &mut Checker) {
        let at = checker.section("load");
        for (key, values, allowed) in
            [("turnovers", &self.load.turnovers, 0.0..100.0), ("rates", &self.load.rates, 0.1..5000.0)]
        {
            if values.is_empty() {
                checker.report(&at, key, format!("`{key}` is empty; one at least is needed"));
            }
            values.iter().for_each(|value| checker.check_range(&at, key, *value, allowed.clone()));
        }
        if self.load.turnovers.windows(2).any(|pair| pair[0] > pair[1]) {
            checker.report(&at, "turnovers", "`turnovers` must not fall from one to the next".into());
        }
        let highest = self.load.rates.iter().copied().fold(0.0, f64::max) * self.real_nodes.count as f64;
        if highest > MOST_REQUEST_RATE {
            let what = format!(
                "{highest:.0} requests a second at all real nodes; up to {MOST_REQUEST_RATE} are allowed"
            );
            checker.report(&at, "rates", what);
        }
        let points = self.fleet.sizes.len() * self.load.turnovers.len() * self.load.rates.len();
        if points > MOST_POINTS {
            checker.report(
                &at,
                "rates",
                format!("{points} points are measured; up to {MOST_POINTS} are allowed"),
            );
        }
        if self.load.measure.is_zero() {
            checker.report(&at, "measure", "`measure` is nothing; more than 0s is allowed".into());
        }
        let needed = (self.load.settle + self.load.measure).saturating_mul(points as u32);
        if points <= MOST_POINTS && needed > self.time_limit && !self.time_limit.is_zero() {
            let what = format!(
                "{points} points of `settle` and `measure` take {needed:?}; `time_limit` is {:?}",
                self.time_limit
            );
            checker.report(&at, "measure", what);
        }
    }

    fn check_requests(&self, checker: &mut Checker) {
        let at = checker.section("requests");
        let requests = &self.requests;
        checker.check_range(&at, "teams", requests.teams as f64, 1.0..10_000.0);
        checker.check_range(&at, "at_most_once", requests.at_most_once, 0.0..1.0);
        if requests.work.is_zero() {
            checker.report(&at, "work", "`work` is nothing; more than 0s is allowed".into());
        }
        if requests.deadline.is_zero() || requests.latency_target > requests.deadline {
            let what = "`deadline` must be over 0s and no less than `latency_target`".into();
            checker.report(&at, "deadline", what);
        }
    }

    fn check_nodes(&self, checker: &mut Checker) {
        let at = checker.section("real_nodes");
        let real = &self.real_nodes;
        checker.check_range(&at, "count", real.count as f64, 1.0..MOST_REAL_NODES as f64);
        checker.check_range(&at, "sockets", real.sockets as f64, 64.0..65536.0);
        checker.check_range(&at, "cpu_share", real.cpu_share, 0.0001..64.0);
        if !(ByteSize::mib(16)..=ByteSize::gib(4)).contains(&real.memory) {
            checker.report(&at, "memory", format!("`memory` is {}; 16MiB to 4GiB is allowed", real.memory));
        }
        if real.bytes_per_second.as_u64() == 0 {
            checker.report(
                &at,
                "bytes_per_second",
                "`bytes_per_second` is nothing; 1B or more is allowed".into(),
            );
        }
        let at = checker.section("hollow_nodes");
        let hollow = &self.hollow_nodes;
        checker.check_range(&at, "count", hollow.count as f64, 0.0..MOST_HOLLOW_NODES as f64);
        checker.check_range(&at, "connections", hollow.connections as f64, 1.0..1024.0);
        if hollow.by_dispatcher > hollow.count {
            let what = format!(
                "`by_dispatcher` is {}; up to `count`, {}, is allowed",
                hollow.by_dispatcher, hollow.count
            );
            checker.report(&at, "by_dispatcher", what);
        }
        let at = checker.section("hollow_nodes.measured");
        checker.check_range(&at, "probes_per_request", hollow.measured.probes_per_request, 0.0..100.0);
        checker.check_range(&at, "pushes_per_request", hollow.measured.pushes_per_request, 0.0..3.0);
        checker.check_range(&at, "new_connections", hollow.measured.new_connections, 0.0..1.0);
    }

    fn check_rules(&self, checker: &mut Checker) {
        let at = checker.section("rules");
        checker.check_range(&at, "cold_share", self.rules.initial_capacity, 0.01..1.0);
        checker.check_range(&at, "fall_multiple", self.rules.budget_multiple, 0.1..1000.0);
        checker.check_range(&at, "most_allocations", f64::from(self.rules.max_attempts), 1.0..3.0);
        for (key, span) in [("ramp", self.rules.ramp_duration), ("fall_window", self.rules.budget_window)] {
            if span.is_zero() {
                checker.report(&at, key, format!("`{key}` is nothing; more than 0s is allowed"));
            }
        }
        let at = checker.section("bounds");
        for (key, span) in [("told", self.bounds.told), ("ready", self.bounds.ready)] {
            checker.check_range(&at, key, millis(span), 1.0..600_000.0);
        }
    }

    fn check_trouble(&self, checker: &mut Checker, trouble: &Spanned<TroubleSpec>) {
        let (at, trouble) = (trouble.span(), trouble.get_ref());
        let Some(kind) = trouble.kind else {
            let what = "a trouble needs a `kind`: `busy-day`, `zone-lost` or `discovery-silent`".into();
            return checker.report(&at, "kind", what);
        };
        let given = [
            ("replaced", trouble.replaced.is_some()),
            ("failed", trouble.failed.is_some()),
            ("factor", trouble.factor.is_some()),
            ("executors", trouble.executors.is_some()),
            ("back", trouble.back.is_some()),
            ("lasts", trouble.lasts.is_some()),
            ("restarted", trouble.restarted.is_some()),
        ];
        for (key, is_given) in given {
            let needed = kind.keys().contains(&key);
            if needed != is_given {
                let verb = if needed { "needs" } else { "takes no" };
                let what = format!("a trouble {kind:?} {verb} `{key}`; it takes {:?}", kind.keys());
                checker.report(&at, key, what);
            }
        }
        let fleet = self.largest_fleet() as f64;
        checker.check_range(&at, "replaced", trouble.replaced.unwrap_or(0) as f64, 0.0..fleet);
        checker.check_range(&at, "failed", trouble.failed.unwrap_or(0) as f64, 0.0..fleet);
        checker.check_range(&at, "factor", trouble.factor.unwrap_or(1.0), 1.0..86_400.0);
        checker.check_range(&at, "executors", trouble.executors.unwrap_or(1) as f64, 1.0..fleet);
        checker.check_range(&at, "restarted", trouble.restarted.unwrap_or(0.0), 0.0..1.0);
        for (key, span) in [("back", trouble.back), ("lasts", trouble.lasts)] {
            if span.is_some_and(|span| span.is_zero() || span > Duration::from_secs(600)) {
                checker.report(&at, key, format!("`{key}` is over 0s and up to 10m"));
            }
        }
    }
}
