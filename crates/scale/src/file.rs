//! Scale files: what a scale run measures. A file is checked whole before anything starts, and all its faults are
//! listed at once, each with its line and what is allowed.
mod check;
mod read;

use bytesize::ByteSize;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;
use troutknot_rehearsal::diagnostics::{Checker, Diagnostics};
use troutknot_rehearsal::scenario::Rules;

/// A scale file. Whatever it leaves out stands as in [`ScaleFile::default`], which is the full run.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct ScaleFile {
    pub name: String,
    pub about: String,
    pub seed: u64,
    /// Of the whole run.
    #[serde(with = "humantime_serde")]
    pub time_limit: Duration,
    pub fleet: Fleet,
    pub load: Load,
    pub requests: Requests,
    pub real_nodes: RealNodes,
    pub hollow_nodes: HollowNodes,
    /// The figures of the four rules, as nodes are told them and as the referee holds them.
    pub rules: Rules,
    pub bounds: BoundsSpec,
    pub bursts: Bursts,
    pub troubles: Vec<Spanned<TroubleSpec>>,
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
            troubles: Vec::new(),
        }
    }
}

/// The hollow executors.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many there are, one step of the campaign after the other.
    pub sizes: Vec<usize>,
    pub slots: f64,
    pub queue_capacity: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet { sizes: vec![100, 1000, 5000, 10_000, 19_000], slots: 4.0, queue_capacity: 32 }
    }
}

/// What each fleet size is measured under; all turnovers are crossed with all rates.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// How often the whole fleet has been replaced under new names before the rates are measured; they follow each
    /// other, so none is less than the one before.
    pub turnovers: Vec<f64>,
    /// Requests in a second at each real node.
    pub rates: Vec<f64>,
    /// Before each measurement, once the fleet is listed.
    #[serde(with = "humantime_serde")]
    pub settle: Duration,
    /// So long each point is measured.
    #[serde(with = "humantime_serde")]
    pub measure: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            turnovers: vec![0.0, 2.0, 8.0, 20.0],
            rates: vec![10.0, 75.0, 176.0],
            settle: Duration::from_secs(2),
            measure: Duration::from_secs(8),
        }
    }
}

/// The requests of clients.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// Tenants that send them, each as often as every other.
    pub teams: usize,
    /// Mean work of one request.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    #[serde(with = "humantime_serde")]
    pub latency_target: Duration,
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Share of the requests that may run at most once; the others are idempotent.
    pub at_most_once: f64,
}

impl Default for Requests {
    fn default() -> Self {
        Requests {
            teams: 160,
            work: Duration::from_millis(40),
            latency_target: Duration::from_millis(500),
            deadline: Duration::from_secs(3),
            at_most_once: 0.25,
        }
    }
}

/// Processes of `troutknotd`, and the budget of each.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct RealNodes {
    pub count: usize,
    pub memory: ByteSize,
    pub sockets: u64,
    /// Of one core.
    pub cpu_share: f64,
    /// That discovery sends it.
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

/// Nodes that put a node's load on executors and discovery, all in one process.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct HollowNodes {
    pub count: usize,
    /// So many of them are driven by the decision module itself; the others play the rates of `measured`.
    pub by_dispatcher: usize,
    /// Connections that each holds open to executors, at most.
    pub connections: usize,
    /// What a real node was measured to do at one request a second.
    pub measured: MeasuredRates,
}

impl Default for HollowNodes {
    fn default() -> Self {
        HollowNodes { count: 157, by_dispatcher: 20, connections: 64, measured: MeasuredRates::default() }
    }
}

/// Rates of a real node for each request that it takes; the page `docs/scale.md` says which run gave them.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct MeasuredRates {
    pub probes_per_request: f64,
    pub pushes_per_request: f64,
    /// Share of probes and pushes that come over a connection of their own.
    pub new_connections: f64,
}

impl Default for MeasuredRates {
    fn default() -> Self {
        MeasuredRates { probes_per_request: 1.0, pushes_per_request: 1.0, new_connections: 0.5 }
    }
}

/// What a run is held to beside the rules and the budget of a node.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct BoundsSpec {
    /// From a change of the list to when a node has been told it.
    #[serde(with = "humantime_serde")]
    pub told: Duration,
    /// Nine in ten nodes that are started again are ready by then.
    #[serde(with = "humantime_serde")]
    pub ready: Duration,
}

impl Default for BoundsSpec {
    fn default() -> Self {
        BoundsSpec { told: Duration::from_secs(6), ready: Duration::from_secs(10) }
    }
}

/// How many executors change at once; a burst that the fleet is too small for is left out.
#[derive(Deserialize, Clone, Copy, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Bursts {
    pub zone: usize,
    pub region: usize,
}

impl Default for Bursts {
    fn default() -> Self {
        Bursts { zone: 613, region: 2111 }
    }
}

#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// The replacements and deaths of a day, `factor` times as fast.
    BusyDay,
    /// All executors of a zone die at once, and start again cold.
    ZoneLost,
    /// Discovery says nothing for a while, in which some of the nodes start again.
    DiscoverySilent,
}

/// A trouble, on the largest fleet.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct TroubleSpec {
    pub kind: Option<TroubleKind>,
    /// Busy day: executors that are replaced and that die, and the times by which the day is squeezed.
    pub replaced: Option<usize>,
    pub failed: Option<usize>,
    pub factor: Option<f64>,
    /// Zone lost: its executors, and after so long they are back.
    pub executors: Option<usize>,
    #[serde(default, with = "humantime_serde")]
    pub back: Option<Duration>,
    /// Discovery silent: for so long, and the share of nodes that start again meanwhile.
    #[serde(default, with = "humantime_serde")]
    pub lasts: Option<Duration>,
    pub restarted: Option<f64>,
}

impl ScaleFile {
    /// Reads a scale file and checks it whole; `file` is named in the faults.
    ///
    /// # Errors
    /// All that is wrong, each with its line and what is allowed.
    pub fn parse(text: &str, file: &str) -> Result<Self, Diagnostics> {
        let (scale, unreadable) = read::read_around_faults(text);
        let mut checker = Checker::new(text);
        unreadable.into_iter().for_each(|fault| checker.report_unparsed(fault));
        if let Some(scale) = &scale {
            scale.check(&mut checker);
        }
        checker.finish(file)?;
        // Without a fault it has been read.
        scale.ok_or_else(|| Diagnostics { file: file.into(), entries: Vec::new() })
    }

    pub fn largest_fleet(&self) -> usize {
        self.fleet.sizes.iter().copied().max().unwrap_or(0)
    }
}
