//! The operator's own file (TOML), which `TROUTKNOT_FILE` names. Without it the node is as the platform has it.
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use troutknot::{Effect, Settings};
use troutknot_consul::blocking::{Consistency, Pace, Watched};
use troutknot_consul::roster::{Damping, Panic, Terms};

/// A file that is longer is not read.
const MOST_BYTES: u64 = 1024 * 1024;
const MOST_AGENTS: usize = 16;
const MOST_SERVICES: usize = 64;
const MOST_PEERS: usize = 1000;

/// All that an operator may say; what is left out is as without the file.
#[derive(Deserialize, Clone, Debug, PartialEq, Default)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorFile {
    pub lists: Lists,
    pub durable: Option<DurableConfig>,
    pub peers: Option<GossipConfig>,
}

/// Where this node hears the others, and where they hear it; read at the start alone.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GossipConfig {
    pub listen: SocketAddr,
    pub nodes: Vec<SocketAddr>,
}

/// When the ledger syncs.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq, Default)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerSync {
    /// Once for all that wait.
    #[default]
    Together,
    /// For each record that is waited for.
    Each,
}

/// An effect whose work units are taken durably, also where no client asks for it.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Taken {
    Rerunnable,
    Receipted,
    Exclusive,
}

/// Durable work units; read at the start alone.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DurableConfig {
    /// The ledger's file.
    pub path: PathBuf,
    #[serde(default = "taken")]
    pub effects: Vec<Taken>,
    /// The header in which clients give their idempotency key.
    #[serde(default = "key_header")]
    pub key_header: String,
    /// What was answered is kept so long, and its key with it.
    #[serde(default = "kept", with = "humantime_serde")]
    pub kept: Duration,
    #[serde(default)]
    pub sync: LedgerSync,
    /// New durable work is deferred while a sync takes longer.
    #[serde(default = "slow_after", with = "humantime_serde")]
    pub slow_after: Duration,
    /// Work units on record, open ones and those that are kept; the memory may allow fewer.
    #[serde(default = "most_on_record")]
    pub most: usize,
    /// Without a sign of life for so long an allocation is unknown; none where executors tell no progress.
    #[serde(default, with = "humantime_serde")]
    pub lease: Option<Duration>,
    /// Whether executors know fences.
    #[serde(default)]
    pub fences: bool,
}

impl DurableConfig {
    pub fn takes(&self, effect: Effect) -> bool {
        self.effects.contains(&match effect {
            Effect::Idempotent => Taken::Rerunnable,
            Effect::Deduplicated => Taken::Receipted,
            Effect::AtMostOnce => Taken::Exclusive,
        })
    }
}

fn taken() -> Vec<Taken> {
    vec![Taken::Exclusive]
}

fn key_header() -> String {
    "Idempotency-Key".into()
}

fn kept() -> Duration {
    Duration::from_secs(600)
}

fn slow_after() -> Duration {
    Duration::from_millis(250)
}

fn most_on_record() -> usize {
    10_000
}

/// A source of the list of executors.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoverySource {
    Platform,
    Consul,
}

#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Lists {
    /// The first one's figures count where several list one executor.
    pub sources: Vec<DiscoverySource>,
    pub consul: Option<Consul>,
}

impl Default for Lists {
    fn default() -> Self {
        Lists { sources: vec![DiscoverySource::Platform], consul: None }
    }
}

#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Consul {
    /// Asked in turn: the next one once one fails.
    pub agents: Vec<SocketAddr>,
    /// Holds the ACL token; read at the start and at SIGHUP.
    pub token_file: Option<PathBuf>,
    pub services: Vec<Service>,
    #[serde(default)]
    pub consistency: Wish,
    #[serde(default = "wait", with = "humantime_serde")]
    pub wait: Duration,
    #[serde(default = "longest_retry", with = "humantime_serde")]
    pub longest_retry: Duration,
    #[serde(default = "oldest_view", with = "humantime_serde")]
    pub oldest_view: Duration,
    #[serde(default)]
    pub panic: PanicSpec,
    #[serde(default)]
    pub damping: DampingSpec,
}

fn wait() -> Duration {
    Duration::from_secs(10)
}

fn longest_retry() -> Duration {
    Duration::from_secs(10)
}

fn oldest_view() -> Duration {
    Duration::from_secs(10)
}

#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Wish {
    #[default]
    Default,
    Stale,
    Consistent,
}

#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: String,
    pub datacenter: Option<String>,
    pub namespace: Option<String>,
    pub filter: Option<String>,
}

#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PanicSpec {
    pub share: f64,
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    #[serde(with = "humantime_serde")]
    pub believed_after: Duration,
}

impl Default for PanicSpec {
    fn default() -> Self {
        let Panic { share, span, believed_after } = Terms::default().panic;
        PanicSpec { share, span: spanned(span), believed_after: spanned(believed_after) }
    }
}

#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DampingSpec {
    pub on: bool,
    #[serde(with = "humantime_serde")]
    pub half_life: Duration,
    pub cutoff: f64,
    pub reuse: f64,
    #[serde(with = "humantime_serde")]
    pub longest: Duration,
}

impl Default for DampingSpec {
    fn default() -> Self {
        let d = Terms::default().damping.expect("it is on where nothing is said");
        let (half_life, longest) = (spanned(d.half_life), spanned(d.longest));
        DampingSpec { on: true, half_life, cutoff: d.cutoff, reuse: d.reuse, longest }
    }
}

fn spanned(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

impl OperatorFile {
    /// The file that `TROUTKNOT_FILE` names; none where it is not set.
    pub fn named() -> Option<PathBuf> {
        std::env::var_os("TROUTKNOT_FILE").filter(|name| !name.is_empty()).map(PathBuf::from)
    }

    /// Reads and checks a file whole.
    ///
    /// # Errors
    /// Every fault on a line of its own, with what is allowed.
    pub fn read(path: &Path) -> Result<Self, String> {
        let shown = path.display();
        let mut text = String::new();
        let read = std::fs::File::open(path).and_then(|file| {
            std::io::Read::read_to_string(&mut std::io::Read::take(file, MOST_BYTES), &mut text)
        });
        read.map_err(|e| format!("cannot read `{shown}`: {e}"))?;
        let file: OperatorFile = toml::from_str(&text).map_err(|e| {
            let line =
                e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            format!("`{shown}` line {line}: {}", e.message().trim().replace('\n', "; "))
        })?;
        let faults = file.faults();
        if faults.is_empty() {
            return Ok(file);
        }
        Err(faults.iter().map(|fault| format!("`{shown}`: {fault}")).collect::<Vec<_>>().join("\n"))
    }

    /// Whether the settings are of the shape that this file is for.
    ///
    /// # Errors
    /// One plain line that names the key.
    pub fn fits(&self, settings: &Settings) -> Result<(), String> {
        let (talks, copies) = (settings.limits.gossip_enabled, settings.limits.hedging_enabled);
        match (talks, &self.peers) {
            (true, None) => {
                Err("setting `limits.peers`: true needs [peers] in the operator's own file".into())
            }
            (false, Some(_)) => Err("[peers] of the operator's own file: `limits.peers` is not true".into()),
            _ if copies && self.durable.is_some() => {
                Err("setting `limits.second_copies`: true cannot go with [durable] of the operator's own \
                     file, which knows one allocation at a time"
                    .into())
            }
            _ => Ok(()),
        }
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, fault: &str| {
            if !holds {
                faults.push(fault.to_string());
            }
        };
        let sources = &self.lists.sources;
        must(!sources.is_empty(), "`lists.sources` is empty; \"platform\" and \"consul\" are allowed");
        let twice = sources.iter().enumerate().any(|(k, source)| sources[..k].contains(source));
        must(!twice, "`lists.sources` names one source twice");
        let asked = sources.contains(&DiscoverySource::Consul);
        must(
            !asked || self.lists.consul.is_some(),
            "`lists.sources` names consul, and there is no [lists.consul]",
        );
        if let Some(c) = &self.lists.consul {
            let count = c.agents.len();
            must((1..=MOST_AGENTS).contains(&count), "`lists.consul.agents` must name 1 to 16 addresses");
            let count = c.services.len();
            must((1..=MOST_SERVICES).contains(&count), "`lists.consul.services` must name 1 to 64 services");
            must(
                c.services.iter().all(|s| !s.name.is_empty()),
                "a service of `lists.consul` has an empty name",
            );
            let within = |span: Duration, least: f64, most: f64| (least..=most).contains(&span.as_secs_f64());
            must(within(c.wait, 0.1, 600.0), "`lists.consul.wait` must be 100ms to 10m");
            must(within(c.longest_retry, 0.25, 600.0), "`lists.consul.longest_retry` must be 250ms to 10m");
            must(within(c.oldest_view, 0.1, 86400.0), "`lists.consul.oldest_view` must be 100ms to 1day");
            must((0.0..=1.0).contains(&c.panic.share), "`lists.consul.panic.share` must be 0 to 1");
            must(within(c.panic.span, 0.1, 86400.0), "`lists.consul.panic.span` must be 100ms to 1day");
            let d = &c.damping;
            must(within(d.half_life, 0.1, 86400.0), "`lists.consul.damping.half_life` must be 100ms to 1day");
            let ordered = d.reuse > 0.0 && d.cutoff >= d.reuse && d.cutoff <= 100.0;
            must(ordered, "`lists.consul.damping` needs 0 < `reuse` <= `cutoff` <= 100");
        }
        if let Some(p) = &self.peers {
            let count = p.nodes.len();
            must((1..=MOST_PEERS).contains(&count), "`peers.nodes` must name 1 to 1000 addresses");
            must(p.listen.port() != 0, "`peers.listen` must name a port, as the others send there");
        }
        if let Some(d) = &self.durable {
            let within = |span: Duration, least: f64, most: f64| (least..=most).contains(&span.as_secs_f64());
            must(!d.path.as_os_str().is_empty(), "`durable.path` is empty");
            let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
            let name = &d.key_header;
            let fits = (1..=64).contains(&name.len()) && name.bytes().all(token);
            must(fits, "`durable.key_header` must be a header's name of 1 to 64 bytes");
            must(within(d.kept, 0.1, 7.0 * 86400.0), "`durable.kept` must be 100ms to 7days");
            must(within(d.slow_after, 0.01, 60.0), "`durable.slow_after` must be 10ms to 1m");
            must((1..=1_000_000).contains(&d.most), "`durable.most` must be 1 to 1000000");
            let lease = d.lease.is_none_or(|lease| within(lease, 0.1, 3600.0));
            must(lease, "`durable.lease` must be 100ms to 1h");
        }
        faults
    }
}

impl Consul {
    /// What is watched, the first one's word counting most.
    pub fn watched(&self) -> Vec<Watched> {
        let consistency = match self.consistency {
            Wish::Default => Consistency::Default,
            Wish::Stale => Consistency::Stale,
            Wish::Consistent => Consistency::Consistent,
        };
        let of = |s: &Service| Watched {
            service: s.name.clone(),
            datacenter: s.datacenter.clone(),
            namespace: s.namespace.clone(),
            filter: s.filter.clone(),
            consistency,
        };
        self.services.iter().map(of).collect()
    }

    pub fn pace(&self) -> Pace {
        Pace {
            wait: millis(self.wait),
            longest_retry: millis(self.longest_retry),
            oldest_contact: millis(self.oldest_view),
            ..Pace::default()
        }
    }

    /// The terms of the roster, with so many executors kept in mind.
    pub fn terms(&self, most: usize) -> Terms {
        let DampingSpec { on, half_life, cutoff, reuse, longest } = &self.damping;
        let (half_life, longest) = (millis(*half_life), millis(*longest));
        let PanicSpec { share, span, believed_after } = &self.panic;
        Terms {
            damping: on.then_some(Damping { half_life, cutoff: *cutoff, reuse: *reuse, longest }),
            panic: Panic { share: *share, span: millis(*span), believed_after: millis(*believed_after) },
            most,
            ..Terms::default()
        }
    }
}
