//! Plays the measurements of a scale file and emits their rows.
//!
//! [`run`] finds out first whether the machine can carry the run, opens all listeners, and then measures one fleet
//! size after the other; the troubles come last, on the largest fleet. Whatever ends it, the nodes end with it.
mod config_changes;
mod hollow_load;
mod loads;
pub mod preflight;
mod starts;
mod troubles;

use crate::bounds::Bounds;
use crate::executor_counts::Report;
use crate::executor_terms::ExecutorTerms;
use crate::executor_worker::WorkerProgram;
use crate::file::ScaleFile;
use crate::fleet::Fleet;
use crate::hollow_executors::{HollowExecutors, Placement};
use crate::node_process::{NodeProgram, Usage};
use crate::real_node::{RealNode, Surroundings};
use crate::row::{Breach, Figure, Measurement, NodeKind, Point, Row, Start};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use troutknot_rehearsal::referee::quantile;

/// Why a scale run ended before all was measured.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The machine has too little of something that the file needs; nothing was started.
    #[error("the run needs about {needed} {what}, {available} are there")]
    TooLittle { what: Resource, needed: u64, available: u64 },
    /// The time limit of the file was over.
    #[error("the run was not through within its time limit of {0:?}")]
    TimeLimit(Duration),
    #[error("{doing}: {source}")]
    Io { doing: String, source: std::io::Error },
    #[error("real node {node} ended by itself: {why}")]
    NodeEnded { node: usize, why: String },
    #[error("real node {node} was not ready within {within:?}: {why}")]
    NotReady { node: usize, within: Duration, why: String },
    #[error("real node {node} was not told the list within {within:?}")]
    NotTold { node: usize, within: Duration },
    #[error("real node {node} did not take a changed configuration within {within:?}")]
    NotReloaded { node: usize, within: Duration },
    #[error("{why}")]
    HollowNodes { why: String },
    /// By SIGINT or SIGTERM.
    #[error("the run was interrupted")]
    Interrupted,
}

/// What a machine can have too little of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    FileDescriptors,
    /// In bytes.
    Memory,
}

impl std::fmt::Display for Resource {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Resource::FileDescriptors => "file descriptors",
            Resource::Memory => "bytes of memory",
        })
    }
}

/// A node that is not ready by then is given up.
const LONGEST_START: Duration = Duration::from_secs(30);
/// A node that has not been told the list by then is given up.
const LONGEST_TELLING: Duration = Duration::from_secs(20);
/// What follows from a change is over after so long.
const AFTER_CHANGE: Duration = Duration::from_millis(500);
/// Breaches of one rule at one point that are named; all are counted.
const MOST_NAMED_BREACHES: usize = 10;

/// No step sends more requests to one node; each step numbers them from a multiple of it.
const REQUESTS_OF_STEP: u64 = 1 << 32;

/// Doing something that can fail in the system's way.
trait Doing<T> {
    fn doing(self, what: impl Into<String>) -> Result<T, RunError>;
}

impl<T> Doing<T> for std::io::Result<T> {
    fn doing(self, what: impl Into<String>) -> Result<T, RunError> {
        self.map_err(|source| RunError::Io { doing: what.into(), source })
    }
}

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    pub node: NodeProgram,
    /// It holds a part of the executors, where they need more descriptors than one process may have.
    pub worker: Option<WorkerProgram>,
}

/// Measures all that the file asks for; each row is handed to `sink` as soon as it is measured.
///
/// # Errors
/// Where the machine cannot carry it, or the run cannot go on.
pub fn run(file: &ScaleFile, programs: &Programs, sink: &mut dyn FnMut(Row)) -> Result<(), RunError> {
    let placement = preflight::check(file, programs.worker.as_ref())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.doing("starting a runtime")?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let mut interrupt = signal(SignalKind::interrupt()).doing("listening to SIGINT")?;
        let mut terminate = signal(SignalKind::terminate()).doing("listening to SIGTERM")?;
        tokio::select! {
            ended = timeout(file.time_limit, play(file, programs, &placement, sink)) => match ended {
                Ok(ended) => ended,
                Err(_) => Err(RunError::TimeLimit(file.time_limit)),
            },
            _ = interrupt.recv() => Err(RunError::Interrupted),
            _ = terminate.recv() => Err(RunError::Interrupted),
        }
    })
}

async fn play(
    file: &ScaleFile,
    programs: &Programs,
    placement: &Placement,
    sink: &mut dyn FnMut(Row),
) -> Result<(), RunError> {
    let executors = HollowExecutors::start(file.largest_fleet(), executor_terms(file), placement).await;
    let campaign = Campaign {
        file,
        program: &programs.node,
        folder: tempfile::tempdir().doing("making a folder for the nodes' files")?,
        executors: Rc::new(executors.doing("opening the executors' listeners")?),
        bounds: Bounds::of_file(file),
        began: Instant::now(),
        steps: Cell::new(0),
        sink: RefCell::new(sink),
    };
    campaign.emit(Row::Start(start_row(file, &campaign.bounds)));
    let baseline = campaign.measure_baseline().await?;
    for size in &file.fleet.sizes {
        campaign.measure_size(*size, &baseline).await?;
    }
    campaign.play_troubles().await
}

fn executor_terms(file: &ScaleFile) -> ExecutorTerms {
    ExecutorTerms {
        seed: file.seed,
        slots: (file.fleet.slots as usize).max(1),
        queue_capacity: file.fleet.queue_capacity,
        mean_service: file.requests.work,
        told_at_latest: file.rules.notification_timeout,
        drain_grace: file.rules.drain_grace,
        slack: file.rules.slack,
        cold_share: file.rules.initial_capacity,
        ramp: file.rules.ramp_duration,
        fall_multiple: file.rules.budget_multiple,
        fall_window: file.rules.budget_window,
    }
}

fn start_row(file: &ScaleFile, bounds: &Bounds) -> Start {
    let factors = file.troubles.iter().filter_map(|trouble| trouble.get_ref().factor);
    Start {
        name: file.name.clone(),
        seed: file.seed,
        version: env!("CARGO_PKG_VERSION").into(),
        commit: std::env::var("TROUTKNOT_COMMIT").ok(),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        memory_bytes: preflight::total_memory(),
        squeezed: factors.fold(1.0, f64::max),
        bounds: *bounds,
    }
}

/// What all steps of a run have in common.
struct Campaign<'a> {
    file: &'a ScaleFile,
    program: &'a NodeProgram,
    folder: tempfile::TempDir,
    executors: Rc<HollowExecutors>,
    bounds: Bounds,
    began: Instant,
    /// Steps that were begun.
    steps: Cell<u64>,
    sink: RefCell<&'a mut dyn FnMut(Row)>,
}

/// Real nodes that were started together, beside the fleet that they are told.
struct Step<'c, 'f> {
    campaign: &'c Campaign<'f>,
    fleet: Rc<Fleet>,
    nodes: Vec<Rc<RealNode>>,
    /// Of the run's steps.
    number: u64,
}

impl<'f> Campaign<'f> {
    fn emit(&self, row: Row) {
        (self.sink.borrow_mut())(row);
    }

    fn figure(&self, point: Point, measurement: Measurement, node: NodeKind, value: f64) {
        let at = self.began.elapsed().as_secs_f64();
        self.emit(Row::Figure(Figure::new(point, measurement, node, value, at, &self.bounds)));
    }

    /// Starts real nodes that know no list, and waits until each is ready and has been told this one.
    async fn start_nodes(
        &self,
        size: usize,
        count: usize,
    ) -> Result<(Step<'_, 'f>, Vec<Duration>), RunError> {
        let fleet = Fleet::list(&self.executors, size, self.file.bursts.zone).await;
        let number = self.steps.get();
        self.steps.set(number + 1);
        let mut step = Step { campaign: self, fleet: Rc::new(fleet), nodes: Vec::new(), number };
        let mut ready = Vec::new();
        for number in 0..count {
            let node = RealNode::start(&step.surroundings(), number);
            let node = node.doing(format!("starting real node {number}"))?;
            let took = node.ready(LONGEST_START).await.ok_or_else(|| RunError::NotReady {
                node: number,
                within: LONGEST_START,
                why: node.last_words(),
            })?;
            ready.push(took);
            step.nodes.push(node);
        }
        step.wait_told().await?;
        Ok((step, ready))
    }
}

impl Step<'_, '_> {
    fn surroundings(&self) -> Surroundings<'_> {
        Surroundings {
            file: self.campaign.file,
            program: self.campaign.program,
            folder: self.campaign.folder.path(),
            discovery: self.fleet.discovery(),
            zones: self.fleet.zones(),
            first_sequence: self.number * REQUESTS_OF_STEP,
        }
    }

    /// Waits until each node has been told the list as it is.
    async fn wait_told(&self) -> Result<(), RunError> {
        for node in &self.nodes {
            if !node.agent.has_told_all(LONGEST_TELLING).await {
                self.check_nodes()?;
                return Err(RunError::NotTold { node: node.number(), within: LONGEST_TELLING });
            }
        }
        Ok(())
    }

    /// # Errors
    /// Where a node has ended by itself.
    fn check_nodes(&self) -> Result<(), RunError> {
        match self.nodes.iter().find(|node| node.has_ended()) {
            Some(node) => Err(RunError::NodeEnded { node: node.number(), why: node.last_words() }),
            None => Ok(()),
        }
    }

    /// What each node has used since its start.
    fn usage(&self) -> Result<Vec<Usage>, RunError> {
        self.check_nodes()?;
        let usage = |node: &Rc<RealNode>| {
            node.usage().doing(format!("reading what real node {} has used", node.number()))
        };
        self.nodes.iter().map(usage).collect()
    }

    /// The processor time of all nodes together since their start.
    fn cpu(&self) -> Result<Duration, RunError> {
        Ok(self.usage()?.iter().map(|usage| usage.cpu).sum())
    }

    /// The processor time that all nodes together need while nothing happens, for each second.
    async fn idle_cpu(&self, length: Duration) -> Result<f64, RunError> {
        let (before, began) = (self.cpu()?, Instant::now());
        sleep(length).await;
        let used = self.cpu()?.saturating_sub(before);
        Ok(used.as_secs_f64() / began.elapsed().as_secs_f64().max(1e-9))
    }

    /// Emits the breaches that the executors reported, and how many there were of each rule.
    fn emit_breaches(&self, point: Point, report: &Report) {
        let campaign = self.campaign;
        let breaches = &report.breaches;
        let rules = [
            (2, "repeated-effect", Measurement::RepeatedEffects),
            (3, "sent-after-grace", Measurement::SentAfterGrace),
            (4, "pushed-over", Measurement::PushedOver),
        ];
        for (rule, name, measurement) in rules {
            let of_rule: Vec<_> = breaches.iter().filter(|breach| breach.rule() == rule).collect();
            campaign.figure(point, measurement, NodeKind::Real, of_rule.len() as f64);
            for breach in of_rule.into_iter().take(MOST_NAMED_BREACHES) {
                campaign.emit(Row::Breach(Breach {
                    rule,
                    name: name.into(),
                    phase: point.phase,
                    what: format!("{breach:?}"),
                    at_seconds: campaign.began.elapsed().as_secs_f64(),
                }));
            }
        }
    }

    /// Emits what the nodes were told since the last call took, where anything was told.
    fn emit_delays(&self, point: Point) {
        let mut delays: Vec<f64> = self.nodes.iter().flat_map(|node| node.agent.take_delays()).collect();
        if !delays.is_empty() {
            let value = quantile(&mut delays, TOLD_SHARE);
            self.campaign.figure(point, Measurement::Told, NodeKind::Real, value);
        }
    }
}

/// The share of changes, and of latencies, that a figure of the slow ones stands for.
const TOLD_SHARE: f64 = 0.99;
/// The share of nodes that are ready by the time that is reported.
const READY_SHARE: f64 = 0.9;

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}
