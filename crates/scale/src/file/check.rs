//! Checks the ranges of the values of a scale file, and the values that depend on each other.
use super::{FaultKind, FaultSpec, ScaleFile};
use bytesize::ByteSize;
use std::time::Duration;
use toml::Spanned;
use troutknot_rehearsal::diagnostics::Checker;
use troutknot_rehearsal::scenario::millis;

const MAX_EXECUTORS: usize = 50_000;
const MAX_REAL_NODES: usize = 64;
/// Upper limit of the hollow nodes: a request id can encode 256 nodes, real and hollow ones.
const MAX_HOLLOW_NODES: usize = 256 - MAX_REAL_NODES;
/// Upper limit of the requests per second at all real nodes together.
const MAX_REQUEST_RATE: f64 = 20_000.0;
/// Upper limit of the operating points of one run.
const MAX_OPERATING_POINTS: usize = 1000;
const MAX_TIME_LIMIT: Duration = Duration::from_secs(4 * 3600);

impl FaultKind {
    /// Returns the keys that a fault of this kind requires in addition to `kind`.
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
            checker.report(&(0..0), "time_limit", "`time_limit` must be over 0s and at most 4h".into());
        }
        self.check_fleet(checker);
        self.check_load(checker);
        self.check_requests(checker);
        self.check_nodes(checker);
        self.check_rules(checker);
        let bursts = checker.section("bursts");
        checker.check_range(&bursts, "zone", self.bursts.zone as f64, 0.0..MAX_EXECUTORS as f64);
        checker.check_range(&bursts, "region", self.bursts.region as f64, 0.0..MAX_EXECUTORS as f64);
        self.faults.iter().for_each(|fault| self.check_fault(checker, fault));
    }

    fn check_fleet(&self, checker: &mut Checker) {
        let at = checker.section("fleet");
        if self.fleet.sizes.is_empty() {
            checker.report(&at, "sizes", "`sizes` is empty; at least one size is required".into());
        }
        for size in &self.fleet.sizes {
            checker.check_range(&at, "sizes", *size as f64, 1.0..MAX_EXECUTORS as f64);
        }
        if self.fleet.sizes.windows(2).any(|pair| pair[0] >= pair[1]) {
            checker.report(&at, "sizes", "`sizes` must be strictly increasing".into());
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
                checker.report(&at, key, format!("`{key}` is empty; at least one value is required"));
            }
            values.iter().for_each(|value| checker.check_range(&at, key, *value, allowed.clone()));
        }
        if self.load.turnovers.windows(2).any(|pair| pair[0] > pair[1]) {
            checker.report(&at, "turnovers", "`turnovers` must not decrease".into());
        }
        let total_rate = self.load.rates.iter().copied().fold(0.0, f64::max) * self.real_nodes.count as f64;
        if total_rate > MAX_REQUEST_RATE {
            let message = format!(
                "{total_rate:.0} requests a second at all real nodes; up to {MAX_REQUEST_RATE} are allowed"
            );
            checker.report(&at, "rates", message);
        }
        let points = self.fleet.sizes.len() * self.load.turnovers.len() * self.load.rates.len();
        if points > MAX_OPERATING_POINTS {
            checker.report(
                &at,
                "rates",
                format!("{points} points are measured; up to {MAX_OPERATING_POINTS} are allowed"),
            );
        }
        if self.load.measurement_time.is_zero() {
            checker.report(&at, "measure", "`measure` is 0s; more than 0s is allowed".into());
        }
        let run_time = (self.load.settle_time + self.load.measurement_time).saturating_mul(points as u32);
        if points <= MAX_OPERATING_POINTS && run_time > self.time_limit && !self.time_limit.is_zero() {
            let message = format!(
                "{points} points of `settle` and `measure` take {run_time:?}; `time_limit` is {:?}",
                self.time_limit
            );
            checker.report(&at, "measure", message);
        }
    }

    fn check_requests(&self, checker: &mut Checker) {
        let at = checker.section("requests");
        let requests = &self.requests;
        checker.check_range(&at, "teams", requests.tenants as f64, 1.0..10_000.0);
        checker.check_range(&at, "at_most_once", requests.at_most_once, 0.0..1.0);
        if requests.mean_service_time.is_zero() {
            checker.report(&at, "work", "`work` is 0s; more than 0s is allowed".into());
        }
        if requests.deadline.is_zero() || requests.latency_target > requests.deadline {
            let message = "`deadline` must be over 0s and not less than `latency_target`".into();
            checker.report(&at, "deadline", message);
        }
    }

    fn check_nodes(&self, checker: &mut Checker) {
        let at = checker.section("real_nodes");
        let real = &self.real_nodes;
        checker.check_range(&at, "count", real.count as f64, 1.0..MAX_REAL_NODES as f64);
        checker.check_range(&at, "sockets", real.sockets as f64, 64.0..65536.0);
        checker.check_range(&at, "cpu_share", real.cpu_share, 0.0001..64.0);
        if !(ByteSize::mib(16)..=ByteSize::gib(4)).contains(&real.memory) {
            checker.report(&at, "memory", format!("`memory` is {}; 16MiB to 4GiB is allowed", real.memory));
        }
        if real.bytes_per_second.as_u64() == 0 {
            checker.report(&at, "bytes_per_second", "`bytes_per_second` is 0B; 1B or more is allowed".into());
        }
        let at = checker.section("hollow_nodes");
        let hollow = &self.hollow_nodes;
        checker.check_range(&at, "count", hollow.count as f64, 0.0..MAX_HOLLOW_NODES as f64);
        checker.check_range(&at, "connections", hollow.connections as f64, 1.0..1024.0);
        if hollow.by_dispatcher > hollow.count {
            let message = format!(
                "`by_dispatcher` is {}; up to `count`, {}, is allowed",
                hollow.by_dispatcher, hollow.count
            );
            checker.report(&at, "by_dispatcher", message);
        }
        let at = checker.section("hollow_nodes.measured");
        checker.check_range(&at, "probes_per_request", hollow.measured.probes_per_request, 0.0..100.0);
        checker.check_range(&at, "pushes_per_request", hollow.measured.dispatches_per_request, 0.0..3.0);
        checker.check_range(&at, "new_connections", hollow.measured.new_connections, 0.0..1.0);
    }

    fn check_rules(&self, checker: &mut Checker) {
        let at = checker.section("rules");
        checker.check_range(&at, "cold_share", self.rules.initial_capacity, 0.01..1.0);
        checker.check_range(&at, "fall_multiple", self.rules.budget_multiple, 0.1..1000.0);
        checker.check_range(&at, "most_allocations", f64::from(self.rules.max_attempts), 1.0..3.0);
        for (key, duration) in [("ramp", self.rules.ramp_duration), ("fall_window", self.rules.budget_window)]
        {
            if duration.is_zero() {
                checker.report(&at, key, format!("`{key}` is 0s; more than 0s is allowed"));
            }
        }
        let at = checker.section("bounds");
        for (key, duration) in [("told", self.bounds.notification_delay), ("ready", self.bounds.startup_time)]
        {
            checker.check_range(&at, key, millis(duration), 1.0..600_000.0);
        }
    }

    fn check_fault(&self, checker: &mut Checker, fault: &Spanned<FaultSpec>) {
        let (at, fault) = (fault.span(), fault.get_ref());
        let Some(kind) = fault.kind else {
            let message = "a trouble needs a `kind`: `busy-day`, `zone-lost` or `discovery-silent`".into();
            return checker.report(&at, "kind", message);
        };
        let present = [
            ("replaced", fault.replaced.is_some()),
            ("failed", fault.failed.is_some()),
            ("factor", fault.factor.is_some()),
            ("executors", fault.executors.is_some()),
            ("back", fault.returns_after.is_some()),
            ("lasts", fault.silence_duration.is_some()),
            ("restarted", fault.restarted_share.is_some()),
        ];
        for (key, is_present) in present {
            let is_required = kind.keys().contains(&key);
            if is_required != is_present {
                let verb = if is_required { "needs" } else { "takes no" };
                let message = format!("a trouble {kind:?} {verb} `{key}`; it takes {:?}", kind.keys());
                checker.report(&at, key, message);
            }
        }
        let fleet = self.largest_fleet() as f64;
        checker.check_range(&at, "replaced", fault.replaced.unwrap_or(0) as f64, 0.0..fleet);
        checker.check_range(&at, "failed", fault.failed.unwrap_or(0) as f64, 0.0..fleet);
        checker.check_range(&at, "factor", fault.factor.unwrap_or(1.0), 1.0..86_400.0);
        checker.check_range(&at, "executors", fault.executors.unwrap_or(1) as f64, 1.0..fleet);
        checker.check_range(&at, "restarted", fault.restarted_share.unwrap_or(0.0), 0.0..1.0);
        for (key, duration) in [("back", fault.returns_after), ("lasts", fault.silence_duration)] {
            if duration.is_some_and(|duration| duration.is_zero() || duration > Duration::from_secs(600)) {
                checker.report(&at, key, format!("`{key}` must be over 0s and at most 10m"));
            }
        }
    }
}
