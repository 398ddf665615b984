//! What a node is told: read at its start, and again whenever it is asked to.
use crate::config::limits::{LimitInputs, Limits, MAX_POLL_INTERVAL};
use crate::config::operator::{Consul, OperatorFile};
use crate::event::NodeEvent;
use crate::protocol::{Codec, Current, EndpointList};
use serde::Deserialize;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use troutknot::{Millis, Settings};
use troutknot_configuration::{IdCatalog, parse_settings};

/// A file that is longer is not read.
const MOST_BYTES: u64 = 16 * 1024 * 1024;

/// Names the address where operators call this process, before what the file says.
const MANAGEMENT: &str = "ROUTER_MANAGEMENT";

#[derive(Deserialize)]
pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    #[serde(default)]
    pub management: Option<SocketAddr>,
    pub seed: String,
    pub limits: NodeLimits,
    pub known: Option<EndpointList>,
    pub settings: serde_json::Map<String, serde_json::Value>,
}

#[derive(Deserialize, PartialEq)]
pub struct NodeLimits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The same in the forms that the parts of the node take it in.
pub struct ResolvedNodeConfig {
    pub seed: u64,
    pub settings: Settings,
    pub codec: Codec,
}

/// What new settings change while the node runs.
pub struct ReloadTargets {
    pub catalog: IdCatalog,
    pub limits: Rc<Limits>,
    pub codec: Rc<Current<Codec>>,
    pub events: mpsc::Sender<NodeEvent>,
}

impl ReloadTargets {
    /// Takes new settings as one, or nothing of them.
    async fn take(&mut self, settings: &serde_json::Map<String, serde_json::Value>) -> Result<(), String> {
        let mut resolved = self.catalog.resolve(settings).map_err(|errors| errors.to_string())?;
        bound_poll_interval(&mut resolved.settings);
        let settings_in_force = resolved.settings.clone();
        let codec = Codec::of(settings, resolved);
        self.limits.update_timeouts(&stated(&settings_in_force, &codec));
        // The module has heard of a project type before the first work unit of it comes.
        self.events
            .send(NodeEvent::SettingsChanged(Box::new(settings_in_force)))
            .await
            .map_err(|_| "the node ends".to_string())?;
        self.codec.replace(codec);
        Ok(())
    }
}

/// Bounds the span in which the list is asked for again, for settings that leave more time than a change has.
fn bound_poll_interval(settings: &mut Settings) {
    let longest = MAX_POLL_INTERVAL.as_secs_f64() * 1000.0;
    let stated = settings.rules.poll_interval.unwrap_or(longest);
    settings.rules.poll_interval = Some(stated.min(longest));
}

/// What the settings state of times.
pub fn stated(settings: &Settings, codec: &Codec) -> LimitInputs {
    let span = |stated: Option<Millis>| {
        let millis = stated.filter(|millis| (0.0..1e9).contains(millis))?;
        Some(Duration::from_secs_f64(millis / 1000.0))
    };
    LimitInputs {
        connect_timeout: span(settings.limits.connect_timeout),
        executor_idle_timeout: span(settings.limits.idle_timeout),
        drain_grace: span(settings.rules.drain_grace),
        max_deadline: codec.longest(),
        ..LimitInputs::default()
    }
}

/// The operator's own file, and who is told when it says otherwise.
pub struct Own {
    pub path: Option<PathBuf>,
    pub file: OperatorFile,
    pub consul: watch::Sender<Option<Consul>>,
}

impl Own {
    fn reread(&mut self) {
        let Some(path) = &self.path else { return };
        match OperatorFile::read(path) {
            Err(why) => {
                let why = why.replace('\n', "; ");
                tracing::warn!("new file of the operator not taken, the old one goes on: {why}");
            }
            Ok(mut newer) => {
                // What is read at the start alone.
                (newer.peers, newer.durable) = (self.file.peers.clone(), self.file.durable.clone());
                if newer.lists.sources != self.file.lists.sources {
                    tracing::info!("the sources of the list are kept as at the start");
                }
                // Also where it says the same: the token's file may hold another one.
                self.consul.send_replace(newer.lists.consul.clone());
                self.file = newer;
            }
        }
    }
}

impl NodeConfig {
    pub fn read(path: &Path) -> Result<Self, String> {
        let shown = path.display();
        let mut text = String::new();
        let read = std::fs::File::open(path).and_then(|file| file.take(MOST_BYTES).read_to_string(&mut text));
        read.map_err(|e| format!("cannot read `{shown}`: {e}"))?;
        let mut told: Self = serde_json::from_str(&text).map_err(|e| format!("`{shown}`: {e}"))?;
        // A process that stands in for another has an address of its own.
        if let Some(own) = std::env::var(MANAGEMENT).ok().filter(|own| !own.is_empty()) {
            let at = own.parse().map_err(|e| format!("{MANAGEMENT}: `{own}`: {e}"))?;
            told.management = Some(at);
        }
        Ok(told)
    }

    fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| format!("odd seed `{}`", self.seed))
    }

    pub fn understood(&self, catalog: &mut IdCatalog) -> Result<ResolvedNodeConfig, String> {
        let seed = self.seed()?;
        let mut resolved = catalog.resolve(&self.settings).map_err(|errors| errors.to_string())?;
        bound_poll_interval(&mut resolved.settings);
        let settings = resolved.settings.clone();
        Ok(ResolvedNodeConfig { seed, settings, codec: Codec::of(&self.settings, resolved) })
    }

    /// What a newer one says otherwise that holds until the node's end.
    fn kept(&self, newer: &NodeConfig) -> Vec<&'static str> {
        let differ = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("management", self.management != newer.management),
            ("seed", self.seed != newer.seed),
            ("limits", self.limits != newer.limits),
        ];
        differ.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    /// Reads the files again at each signal, until the node's end: the settings, and which list is followed.
    pub async fn reread(
        mut self,
        path: PathBuf,
        mut asked: Signal,
        discovery: watch::Sender<SocketAddr>,
        mut own: Own,
        mut retuned: ReloadTargets,
    ) {
        while asked.recv().await.is_some() {
            own.reread();
            // Guards against a new file that is bad: it is checked to its end before anything of it is taken.
            let newer = match NodeConfig::read(&path) {
                Ok(newer) => match newer.seed() {
                    Ok(_) => match parse_settings(&newer.settings)
                        .map_err(|error| error.to_string())
                        .and_then(|settings| own.file.fits(&settings))
                    {
                        Ok(()) => retuned.take(&newer.settings).await.map(|()| newer),
                        Err(why) => Err(why),
                    },
                    Err(why) => Err(why),
                }
                .map_err(|why| format!("`{}`: {why}", path.display())),
                Err(why) => Err(why),
            };
            match newer {
                Err(why) => tracing::warn!("new configuration not taken, the old one goes on: {why}"),
                Ok(newer) => {
                    let kept = self.kept(&newer).join(", ");
                    let kept = if kept.is_empty() { kept } else { format!("; kept as at the start: {kept}") };
                    let moved = discovery.send_replace(newer.discovery) != newer.discovery;
                    let what = if moved { "the list is now followed at" } else { "the list is still at" };
                    let settings = if newer.settings == self.settings {
                        "the same"
                    } else {
                        "new, for work from now on"
                    };
                    tracing::info!(
                        "configuration read again, {what} {}, settings are {settings}{kept}",
                        newer.discovery
                    );
                    self.settings = newer.settings;
                }
            }
        }
    }
}
