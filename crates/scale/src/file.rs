//! Scale files, which configure a scale run. A file is checked completely before anything starts, and all its errors
//! are reported at once, each with its line and the allowed values.
mod check;
mod read;

use bytesize::ByteSize;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;
use troutknot_rehearsal::diagnostics::{Checker, Diagnostics};
use troutknot_rehearsal::scenario::Rules;

/// A scale file. Omitted values are those of [`ScaleFile::default`], the full run.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct ScaleFile {
    pub name: String,
    pub about: String,
    pub seed: u64,
    /// Upper limit of the duration of the whole run.
    #[serde(with = "humantime_serde")]
    pub time_limit: Duration,
    pub fleet: Fleet,
    pub load: Load,
    pub requests: Requests,
    pub real_nodes: RealNodes,
    pub hollow_nodes: HollowNodes,
    /// Parameters of the four rules, both for the settings of the nodes and for the detection of violations.
    pub rules: Rules,
    pub bounds: BoundsSpec,
    pub bursts: Bursts,
    #[serde(rename = "troubles")]
    pub faults: Vec<Spanned<FaultSpec>>,
}

impl Default for ScaleFile {
    fn default() -> Self {
        ScaleFile {
            name: "unnamed".into(),
            about: String::new(),
            seed: 0,
            time_limit: Duration::from_secs(3600),
            fleet: Fleet::default(),
            load: Load::default(),
            requests: Requests::default(),
            real_nodes: RealNodes::default(),
            hollow_nodes: HollowNodes::default(),
            rules: Rules::default(),
            bounds: BoundsSpec::default(),
            bursts: Bursts::default(),
            faults: Vec::new(),
        }
    }
}

/// Sizes and properties of the fleet of hollow executors.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Numbers of executors, measured one after another.
    pub sizes: Vec<usize>,
    /// Slots of each executor.
    pub slots: f64,
    /// Requests that each executor queues.
    pub queue_capacity: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet { sizes: vec![100, 1000, 5000, 10_000, 19_000], slots: 4.0, queue_capacity: 32 }
    }
}

/// Load under which each fleet size is measured; every turnover is combined with every rate.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// How many times the whole fleet has been replaced under new names before the rates are measured. The replacements
    /// accumulate, so the values must not decrease.
    pub turnovers: Vec<f64>,
    /// Requests per second at each real node.
    pub rates: Vec<f64>,
    /// Idle time before each measurement, after the fleet is listed.
    #[serde(rename = "settle", with = "humantime_serde")]
    pub settle_time: Duration,
    /// Duration of the measurement of each operating point.
    #[serde(rename = "measure", with = "humantime_serde")]
    pub measurement_time: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            turnovers: vec![0.0, 2.0, 8.0, 20.0],
            rates: vec![10.0, 75.0, 176.0],
            settle_time: Duration::from_secs(2),
            measurement_time: Duration::from_secs(8),
        }
    }
}

/// Properties of the requests that clients send.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Number of tenants, which send equally many requests.
    #[serde(rename = "teams")]
    pub tenants: usize,
    /// Mean service time of a request at an executor.
    #[serde(rename = "work", with = "humantime_serde")]
    pub mean_service_time: Duration,
    #[serde(with = "humantime_serde")]
    pub latency_target: Duration,
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Share of requests that may run at most once; the others are idempotent.
    pub at_most_once: f64,
}

impl Default for Requests {
    fn default() -> Self {
        Requests {
            tenants: 160,
            mean_service_time: Duration::from_millis(40),
            latency_target: Duration::from_millis(500),
            deadline: Duration::from_secs(3),
            at_most_once: 0.25,
        }
    }
}

/// Real nodes, which are processes of `troutknotd`, and the resource budget of each.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct RealNodes {
    pub count: usize,
    pub memory: ByteSize,
    pub sockets: u64,
    /// Allowed CPU usage as a share of one core.
    pub cpu_share: f64,
    /// Allowed bytes per second from discovery.
    pub bytes_per_second: ByteSize,
}

impl Default for RealNodes {
    fn default() -> Self {
        RealNodes {
            count: 3,
            memory: ByteSize::mib(128),
            sockets: 1024,
            cpu_share: 0.027,
            bytes_per_second: ByteSize::kb(11),
        }
    }
}

/// Hollow nodes, which put the load of nodes on executors and discovery and share one process.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct HollowNodes {
    pub count: usize,
    /// Number of hollow nodes that run the decision module; the others replay the rates of `measured`.
    pub by_dispatcher: usize,
    /// Upper limit of the open connections of each to executors.
    pub connections: usize,
    /// Rates that were measured at a real node.
    pub measured: MeasuredRates,
}

impl Default for HollowNodes {
    fn default() -> Self {
        HollowNodes { count: 157, by_dispatcher: 20, connections: 64, measured: MeasuredRates::default() }
    }
}

/// Rates of a real node per request that it accepts; `docs/scale.md` names the run that measured them.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct MeasuredRates {
    pub probes_per_request: f64,
    #[serde(rename = "pushes_per_request")]
    pub dispatches_per_request: f64,
    /// Share of probes and dispatches that open a new connection.
    pub new_connections: f64,
}

impl Default for MeasuredRates {
    fn default() -> Self {
        MeasuredRates { probes_per_request: 1.0, dispatches_per_request: 1.0, new_connections: 0.5 }
    }
}

/// Bounds of a run in addition to the rules and the resource budget of a node.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct BoundsSpec {
    /// Upper limit of the time from a change of the endpoint list until a node has received it.
    #[serde(rename = "told", with = "humantime_serde")]
    pub notification_delay: Duration,
    /// Upper limit of the time in which nine of ten started nodes become ready.
    #[serde(rename = "ready", with = "humantime_serde")]
    pub startup_time: Duration,
}

impl Default for BoundsSpec {
    fn default() -> Self {
        BoundsSpec { notification_delay: Duration::from_secs(6), startup_time: Duration::from_secs(10) }
    }
}

/// Numbers of executors that change at once. A burst is skipped if the fleet is not larger than it.
#[derive(Deserialize, Clone, Copy, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Bursts {
    /// Executors of one zone.
    pub zone: usize,
    /// Executors of one region.
    pub region: usize,
}

impl Default for Bursts {
    fn default() -> Self {
        Bursts { zone: 613, region: 2111 }
    }
}

/// Kinds of faults that a scale run can inject.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Replaces and kills as many executors as in a day, compressed by `factor`.
    BusyDay,
    /// Kills all executors of a zone at once and restarts them in slow start.
    ZoneLost,
    /// Silences discovery for a time during which some of the nodes restart.
    DiscoverySilent,
}

/// A fault that is injected into the largest fleet. Each kind requires its own parameters and allows no others.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    pub kind: Option<FaultKind>,
    /// For a busy day: executors that are replaced.
    pub replaced: Option<usize>,
    /// For a busy day: executors that die.
    pub failed: Option<usize>,
    /// For a busy day: the factor by which the day is compressed.
    pub factor: Option<f64>,
    /// For a lost zone: the number of its executors.
    pub executors: Option<usize>,
    /// For a lost zone: the time after which its executors restart.
    #[serde(rename = "back", default, with = "humantime_serde")]
    pub returns_after: Option<Duration>,
    /// For silent discovery: the duration of the silence.
    #[serde(rename = "lasts", default, with = "humantime_serde")]
    pub silence_duration: Option<Duration>,
    /// For silent discovery: the share of nodes that restart during the silence.
    #[serde(rename = "restarted")]
    pub restarted_share: Option<f64>,
}

impl ScaleFile {
    /// Parses and checks a scale file; `file` is its name in error messages.
    ///
    /// # Errors
    /// All errors of the file, each with its line and the allowed values.
    pub fn parse(text: &str, file: &str) -> Result<Self, Diagnostics> {
        let (scale, unreadable) = read::parse_with_recovery(text);
        let mut checker = Checker::new(text);
        unreadable.into_iter().for_each(|fault| checker.report_unparsed(fault));
        if let Some(scale) = &scale {
            scale.check(&mut checker);
        }
        checker.finish(file)?;
        // A file without errors has always been parsed.
        scale.ok_or_else(|| Diagnostics { file: file.into(), entries: Vec::new() })
    }

    /// Returns the largest fleet size; 0 if there is none.
    pub fn largest_fleet(&self) -> usize {
        self.fleet.sizes.iter().copied().max().unwrap_or(0)
    }
}
