//! The ranges that the values of a scale file must be in, and what must fit together.
use super::{FaultKind, FaultSpec, ScaleFile};
use bytesize::ByteSize;
use std::time::Duration;
use toml::Spanned;
use troutknot_rehearsal::faults::Checker;
use troutknot_rehearsal::scenario::millis;

const MAX_EXECUTORS: usize = 50_000;
const MAX_REAL_NODES: usize = 64;
/// With the real ones as many as a request id has room for.
const MAX_HOLLOW_NODES: usize = 256 - MAX_REAL_NODES;
/// Requests a second, of all real nodes together.
const MAX_REQUEST_RATE: f64 = 20_000.0;
const MAX_POINTS: usize = 1000;
const MAX_TIME_LIMIT: Duration = Duration::from_secs(4 * 3600);

impl FaultKind {
    /// The keys that it needs beside `kind`.
    fn keys(self) -> &'static [&'static str] {
        match self {
            FaultKind::BusyDay => &["replaced", "failed", "factor"],
            FaultKind::ZoneLost => &["executors", "back"],
            FaultKind::DiscoverySilent => &["lasts", "restarted"],
        }
    }
}

impl ScaleFile {
    pub(super) fn check(&self, checker: &mut Checker) {
        if self.time_limit.is_zero() || self.time_limit > MAX_TIME_LIMIT {
            checker.fault(&(0..0), "time_limit", "`time_limit` is over 0s and up to 4h".into());
        }
        self.check_fleet(checker);
        self.check_load(checker);
        self.check_requests(checker);
        self.check_nodes(checker);
        self.check_rules(checker);
        let bursts = checker.section("bursts");
        checker.number(&bursts, "zone", self.bursts.zone as f64, 0.0..MAX_EXECUTORS as f64);
        checker.number(&bursts, "region", self.bursts.region as f64, 0.0..MAX_EXECUTORS as f64);
        self.faults.iter().for_each(|trouble| self.check_trouble(checker, trouble));
    }

    fn check_fleet(&self, checker: &mut Checker) {
        let at = checker.section("fleet");
        if self.fleet.sizes.is_empty() {
            checker.fault(&at, "sizes", "`sizes` is empty; one size at least is needed".into());
        }
        for size in &self.fleet.sizes {
            checker.number(&at, "sizes", *size as f64, 1.0..MAX_EXECUTORS as f64);
        }
        if self.fleet.sizes.windows(2).any(|pair| pair[0] >= pair[1]) {
            checker.fault(&at, "sizes", "`sizes` must grow from one to the next".into());
        }
        checker.number(&at, "slots", self.fleet.slots, 1.0..1024.0);
        checker.number(&at, "queue_capacity", self.fleet.queue_capacity as f64, 0.0..65536.0);
    }

    fn check_load(&self, checker: &mut Checker) {
        let at = checker.section("load");
        for (key, values, allowed) in
            [("turnovers", &self.load.turnovers, 0.0..100.0), ("rates", &self.load.rates, 0.1..5000.0)]
        {
            if values.is_empty() {
                checker.fault(&at, key, format!("`{key}` is empty; one at least is needed"));
            }
            values.iter().for_each(|value| checker.number(&at, key, *value, allowed.clone()));
        }
        if self.load.turnovers.windows(2).any(|pair| pair[0] > pair[1]) {
            checker.fault(&at, "turnovers", "`turnovers` must not fall from one to the next".into());
        }
        let highest = self.load.rates.iter().copied().fold(0.0, f64::max) * self.real_nodes.count as f64;
        if highest > MAX_REQUEST_RATE {
            let what = format!(
                "{highest:.0} requests a second at all real nodes; up to {MAX_REQUEST_RATE} are allowed"
            );
            checker.fault(&at, "rates", what);
        }
        let points = self.fleet.sizes.len() * self.load.turnovers.len() * self.load.rates.len();
        if points > MAX_POINTS {
            checker.fault(
                &at,
                "rates",
                format!("{points} points are measured; up to {MAX_POINTS} are allowed"),
            );
        }
        if self.load.measurement_time.is_zero() {
            checker.fault(&at, "measure", "`measure` is nothing; more than 0s is allowed".into());
        }
        let needed = (self.load.settle_time + self.load.measurement_time).saturating_mul(points as u32);
        if points <= MAX_POINTS && needed > self.time_limit && !self.time_limit.is_zero() {
            let what = format!(
                "{points} points of `settle` and `measure` take {needed:?}; `time_limit` is {:?}",
                self.time_limit
            );
            checker.fault(&at, "measure", what);
        }
    }

    fn check_requests(&self, checker: &mut Checker) {
        let at = checker.section("requests");
        let requests = &self.requests;
        checker.number(&at, "teams", requests.tenants as f64, 1.0..10_000.0);
        checker.number(&at, "at_most_once", requests.at_most_once, 0.0..1.0);
        if requests.mean_service_time.is_zero() {
            checker.fault(&at, "work", "`work` is nothing; more than 0s is allowed".into());
        }
        if requests.deadline.is_zero() || requests.latency_target > requests.deadline {
            let what = "`deadline` must be over 0s and no less than `latency_target`".into();
            checker.fault(&at, "deadline", what);
        }
    }

    fn check_nodes(&self, checker: &mut Checker) {
        let at = checker.section("real_nodes");
        let real = &self.real_nodes;
        checker.number(&at, "count", real.count as f64, 1.0..MAX_REAL_NODES as f64);
        checker.number(&at, "sockets", real.sockets as f64, 64.0..65536.0);
        checker.number(&at, "cpu_share", real.cpu_share, 0.0001..64.0);
        if !(ByteSize::mib(16)..=ByteSize::gib(4)).contains(&real.memory) {
            checker.fault(&at, "memory", format!("`memory` is {}; 16MiB to 4GiB is allowed", real.memory));
        }
        if real.bytes_per_second.as_u64() == 0 {
            checker.fault(
                &at,
                "bytes_per_second",
                "`bytes_per_second` is nothing; 1B or more is allowed".into(),
            );
        }
        let at = checker.section("hollow_nodes");
        let hollow = &self.hollow_nodes;
        checker.number(&at, "count", hollow.count as f64, 0.0..MAX_HOLLOW_NODES as f64);
        checker.number(&at, "connections", hollow.connections as f64, 1.0..1024.0);
        if hollow.by_dispatcher > hollow.count {
            let what = format!(
                "`by_dispatcher` is {}; up to `count`, {}, is allowed",
                hollow.by_dispatcher, hollow.count
            );
            checker.fault(&at, "by_dispatcher", what);
        }
        let at = checker.section("hollow_nodes.measured");
        checker.number(&at, "probes_per_request", hollow.measured.probes_per_request, 0.0..100.0);
        checker.number(&at, "pushes_per_request", hollow.measured.dispatches_per_request, 0.0..3.0);
        checker.number(&at, "new_connections", hollow.measured.new_connections, 0.0..1.0);
    }

    fn check_rules(&self, checker: &mut Checker) {
        let at = checker.section("rules");
        checker.number(&at, "cold_share", self.rules.cold_share, 0.01..1.0);
        checker.number(&at, "fall_multiple", self.rules.fall_multiple, 0.1..1000.0);
        checker.number(&at, "most_allocations", f64::from(self.rules.most_allocations), 1.0..3.0);
        for (key, span) in [("ramp", self.rules.ramp), ("fall_window", self.rules.fall_window)] {
            if span.is_zero() {
                checker.fault(&at, key, format!("`{key}` is nothing; more than 0s is allowed"));
            }
        }
        let at = checker.section("bounds");
        for (key, span) in [("told", self.bounds.notification_delay), ("ready", self.bounds.startup)] {
            checker.number(&at, key, millis(span), 1.0..600_000.0);
        }
    }

    fn check_trouble(&self, checker: &mut Checker, trouble: &Spanned<FaultSpec>) {
        let (at, trouble) = (trouble.span(), trouble.get_ref());
        let Some(kind) = trouble.kind else {
            let what = "a trouble needs a `kind`: `busy-day`, `zone-lost` or `discovery-silent`".into();
            return checker.fault(&at, "kind", what);
        };
        let given = [
            ("replaced", trouble.replaced.is_some()),
            ("failed", trouble.failed.is_some()),
            ("factor", trouble.factor.is_some()),
            ("executors", trouble.executors.is_some()),
            ("back", trouble.returns_after.is_some()),
            ("lasts", trouble.duration.is_some()),
            ("restarted", trouble.restarted_share.is_some()),
        ];
        for (key, is_given) in given {
            let needed = kind.keys().contains(&key);
            if needed != is_given {
                let verb = if needed { "needs" } else { "takes no" };
                let what = format!("a trouble {kind:?} {verb} `{key}`; it takes {:?}", kind.keys());
                checker.fault(&at, key, what);
            }
        }
        let fleet = self.largest_fleet() as f64;
        checker.number(&at, "replaced", trouble.replaced.unwrap_or(0) as f64, 0.0..fleet);
        checker.number(&at, "failed", trouble.failed.unwrap_or(0) as f64, 0.0..fleet);
        checker.number(&at, "factor", trouble.factor.unwrap_or(1.0), 1.0..86_400.0);
        checker.number(&at, "executors", trouble.executors.unwrap_or(1) as f64, 1.0..fleet);
        checker.number(&at, "restarted", trouble.restarted_share.unwrap_or(0.0), 0.0..1.0);
        for (key, span) in [("back", trouble.returns_after), ("lasts", trouble.duration)] {
            if span.is_some_and(|span| span.is_zero() || span > Duration::from_secs(600)) {
                checker.fault(&at, key, format!("`{key}` is over 0s and up to 10m"));
            }
        }
    }
}
