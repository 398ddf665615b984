//! Runs the measurement campaign of a scale file and emits its rows.
//!
//! [`run`] first checks that the machine has the resources for the run, opens all listeners, then measures one fleet
//! size after another, and injects the faults last, on the largest fleet. The nodes end with the run, however it ends.
mod config_changes;
mod faults;
mod hollow_load;
mod loads;
pub mod preflight;
mod starts;

use crate::bounds::Bounds;
use crate::executor_config::ExecutorConfig;
use crate::executor_counts::ExecutorReport;
use crate::executor_worker::WorkerProgram;
use crate::file::ScaleFile;
use crate::fleet::Fleet;
use crate::hollow_executors::{HollowExecutors, Placement};
use crate::node_process::{NodeProgram, Usage};
use crate::real_node::{NodeContext, RealNode};
use crate::row::{Figure, Measurement, NodeKind, OperatingPoint, Row, RuleViolation, Start};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use troutknot_rehearsal::referee::quantile;

/// Why a scale run ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The machine has too little of a resource that the file needs; nothing was started.
    #[error("the run needs about {needed} {resource}, {available} are there")]
    InsufficientResources { resource: Resource, needed: u64, available: u64 },
    /// The run exceeded the time limit of its file.
    #[error("the run did not finish within its time limit of {0:?}")]
    TimeLimitExceeded(Duration),
    /// A system call failed.
    #[error("{action}: {source}")]
    Io { action: String, source: std::io::Error },
    /// The process of a real node exited without being stopped by the run.
    #[error("real node {node} ended by itself: {reason}")]
    NodeEnded { node: usize, reason: String },
    /// A started node did not report readiness in time.
    #[error("real node {node} was not ready within {within:?}: {reason}")]
    NotReady { node: usize, within: Duration, reason: String },
    /// Discovery could not deliver the endpoint list to a node in time.
    #[error("real node {node} did not receive the endpoint list within {within:?}")]
    ListNotReceived { node: usize, within: Duration },
    /// A node still served by its old configuration after the reload timeout.
    #[error("real node {node} did not apply a changed configuration within {within:?}")]
    NotReloaded { node: usize, within: Duration },
    /// The hollow nodes could not be started.
    #[error("{reason}")]
    HollowNodes { reason: String },
    /// SIGINT or SIGTERM was received.
    #[error("the run was interrupted")]
    Interrupted,
}

/// A resource of the machine that is checked before a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Descriptors that one process may open.
    FileDescriptors,
    /// Memory in bytes.
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

/// Time that a started node has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that discovery has to deliver the endpoint list to a node.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after a change within which a node finishes the work that the change causes.
const CHANGE_PROCESSING_TIME: Duration = Duration::from_millis(500);
/// Violations of one rule at one operating point that get a row of their own; all of them are counted.
const MAX_LISTED_VIOLATIONS: usize = 10;

/// Number of request sequence numbers that each cluster reserves for each of its nodes. The first cluster starts at 0,
/// the next one at this number and so on, so that request ids are unique in a run as long as no cluster sends more
/// requests to one node.
const SEQUENCE_NUMBERS_PER_CLUSTER: u64 = 1 << 32;

/// Quantile of notification delays and of latencies that is reported for the slowest ones.
const TAIL_QUANTILE: f64 = 0.99;
/// Quantile of the startup times of nodes that is reported.
const STARTUP_QUANTILE: f64 = 0.9;

/// Adds the failed action to an I/O error.
trait IoContext<T> {
    fn context(self, action: impl Into<String>) -> Result<T, RunError>;
}

impl<T> IoContext<T> for std::io::Result<T> {
    fn context(self, action: impl Into<String>) -> Result<T, RunError> {
        self.map_err(|source| RunError::Io { action: action.into(), source })
    }
}

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Runs a node.
    pub node: NodeProgram,
    /// Runs a part of the executors if they need more descriptors than one process may open.
    pub worker: Option<WorkerProgram>,
}

/// Measures everything that the file asks for and passes each row to `sink` as soon as it is measured.
///
/// # Errors
/// If the machine lacks the resources for the run, or if the run cannot continue.
pub fn run(file: &ScaleFile, programs: &Programs, sink: &mut dyn FnMut(Row)) -> Result<(), RunError> {
    let placement = preflight::check_resources(file, programs.worker.as_ref())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context("starting the async runtime")?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let mut interrupt = signal(SignalKind::interrupt()).context("registering a SIGINT handler")?;
        let mut terminate = signal(SignalKind::terminate()).context("registering a SIGTERM handler")?;
        tokio::select! {
            finished = timeout(file.time_limit, run_campaign(file, programs, &placement, sink)) => match finished {
                Ok(result) => result,
                Err(_) => Err(RunError::TimeLimitExceeded(file.time_limit)),
            },
            _ = interrupt.recv() => Err(RunError::Interrupted),
            _ = terminate.recv() => Err(RunError::Interrupted),
        }
    })
}

async fn run_campaign(
    file: &ScaleFile,
    programs: &Programs,
    placement: &Placement,
    sink: &mut dyn FnMut(Row),
) -> Result<(), RunError> {
    let executors = HollowExecutors::start(file.largest_fleet(), executor_config(file), placement).await;
    let campaign = Campaign {
        file,
        program: &programs.node,
        folder: tempfile::tempdir().context("creating a directory for the files of the nodes")?,
        executors: Rc::new(executors.context("opening the listeners of the executors")?),
        bounds: Bounds::from_file(file),
        started_at: Instant::now(),
        cluster_count: Cell::new(0),
        sink: RefCell::new(sink),
    };
    campaign.emit(Row::Start(start_row(file, &campaign.bounds)));
    let baseline = campaign.measure_baseline().await?;
    for size in &file.fleet.sizes {
        campaign.measure_size(*size, &baseline).await?;
    }
    campaign.inject_faults().await
}

fn executor_config(file: &ScaleFile) -> ExecutorConfig {
    ExecutorConfig {
        seed: file.seed,
        slots: (file.fleet.slots as usize).max(1),
        queue_capacity: file.fleet.queue_capacity,
        mean_service_time: file.requests.mean_service_time,
        max_notification_delay: file.rules.notification_timeout,
        drain_grace: file.rules.drain_grace,
        slack: file.rules.slack,
        initial_capacity: file.rules.initial_capacity,
        ramp_duration: file.rules.ramp_duration,
        budget_multiple: file.rules.budget_multiple,
        budget_window: file.rules.budget_window,
    }
}

fn start_row(file: &ScaleFile, bounds: &Bounds) -> Start {
    let factors = file.faults.iter().filter_map(|fault| fault.get_ref().factor);
    Start {
        name: file.name.clone(),
        seed: file.seed,
        version: env!("CARGO_PKG_VERSION").into(),
        commit: std::env::var("TROUTKNOT_COMMIT").ok(),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        memory_bytes: preflight::total_memory(),
        time_compression: factors.fold(1.0, f64::max),
        bounds: *bounds,
    }
}

/// State shared by all clusters of a run.
struct Campaign<'a> {
    file: &'a ScaleFile,
    program: &'a NodeProgram,
    folder: tempfile::TempDir,
    executors: Rc<HollowExecutors>,
    bounds: Bounds,
    started_at: Instant,
    /// Clusters that have been started.
    cluster_count: Cell<u64>,
    sink: RefCell<&'a mut dyn FnMut(Row)>,
}

/// Real nodes that were started together, with the fleet that discovery lists to them.
struct Cluster<'c, 'f> {
    campaign: &'c Campaign<'f>,
    fleet: Rc<Fleet>,
    nodes: Vec<Rc<RealNode>>,
    /// Index among the clusters of the run.
    number: u64,
}

impl<'f> Campaign<'f> {
    fn emit(&self, row: Row) {
        (self.sink.borrow_mut())(row);
    }

    fn emit_figure(&self, point: OperatingPoint, measurement: Measurement, node: NodeKind, value: f64) {
        let at_seconds = self.started_at.elapsed().as_secs_f64();
        self.emit(Row::Figure(Figure::new(point, measurement, node, value, at_seconds, &self.bounds)));
    }

    /// Starts real nodes without a cached endpoint list, and waits until each is ready and has received the list of
    /// the fleet. Also returns the startup time of each node.
    async fn start_nodes(
        &self,
        size: usize,
        count: usize,
    ) -> Result<(Cluster<'_, 'f>, Vec<Duration>), RunError> {
        let fleet = Fleet::list(&self.executors, size, self.file.bursts.zone).await;
        let cluster_number = self.cluster_count.get();
        self.cluster_count.set(cluster_number + 1);
        let mut cluster =
            Cluster { campaign: self, fleet: Rc::new(fleet), nodes: Vec::new(), number: cluster_number };
        let mut startup_times = Vec::new();
        for node_number in 0..count {
            let node = RealNode::start(&cluster.node_context(), node_number);
            let node = node.context(format!("starting real node {node_number}"))?;
            let startup_time = node.wait_ready(START_TIMEOUT).await.ok_or_else(|| RunError::NotReady {
                node: node_number,
                within: START_TIMEOUT,
                reason: node.last_log_lines(),
            })?;
            startup_times.push(startup_time);
            cluster.nodes.push(node);
        }
        cluster.wait_for_list().await?;
        Ok((cluster, startup_times))
    }
}

impl Cluster<'_, '_> {
    fn node_context(&self) -> NodeContext<'_> {
        NodeContext {
            file: self.campaign.file,
            program: self.campaign.program,
            folder: self.campaign.folder.path(),
            discovery: self.fleet.discovery(),
            zones: self.fleet.zone_count(),
            first_sequence: self.number * SEQUENCE_NUMBERS_PER_CLUSTER,
        }
    }

    /// Waits until every node has received the current endpoint list.
    async fn wait_for_list(&self) -> Result<(), RunError> {
        for node in &self.nodes {
            if !node.agent.wait_until_notified(LIST_TIMEOUT).await {
                self.check_nodes()?;
                return Err(RunError::ListNotReceived { node: node.number(), within: LIST_TIMEOUT });
            }
        }
        Ok(())
    }

    /// # Errors
    /// If the process of a node has exited.
    fn check_nodes(&self) -> Result<(), RunError> {
        match self.nodes.iter().find(|node| node.has_ended()) {
            Some(node) => Err(RunError::NodeEnded { node: node.number(), reason: node.last_log_lines() }),
            None => Ok(()),
        }
    }

    /// Reads the resource usage of each node since its start.
    fn usage(&self) -> Result<Vec<Usage>, RunError> {
        self.check_nodes()?;
        let usage = |node: &Rc<RealNode>| {
            node.usage().context(format!("reading the resource usage of real node {}", node.number()))
        };
        self.nodes.iter().map(usage).collect()
    }

    /// Sums the CPU time of all nodes since their start.
    fn cpu_time(&self) -> Result<Duration, RunError> {
        Ok(self.usage()?.iter().map(|usage| usage.cpu).sum())
    }

    /// Measures the CPU usage of all idle nodes together, in seconds of CPU time per second.
    async fn measure_idle_cpu(&self, length: Duration) -> Result<f64, RunError> {
        let (before, started_at) = (self.cpu_time()?, Instant::now());
        sleep(length).await;
        let used = self.cpu_time()?.saturating_sub(before);
        Ok(used.as_secs_f64() / started_at.elapsed().as_secs_f64().max(1e-9))
    }

    /// Emits the number of violations of each rule that the executors reported, and the first ones in detail.
    fn emit_violations(&self, point: OperatingPoint, report: &ExecutorReport) {
        let campaign = self.campaign;
        let rules = [
            (2, "repeated-effect", Measurement::RepeatedEffects),
            (3, "sent-after-grace", Measurement::SentAfterGrace),
            (4, "pushed-over", Measurement::SlowStartOverload),
        ];
        for (rule, name, measurement) in rules {
            let violations: Vec<_> =
                report.violations.iter().filter(|violation| violation.rule() == rule).collect();
            campaign.emit_figure(point, measurement, NodeKind::Real, violations.len() as f64);
            for violation in violations.into_iter().take(MAX_LISTED_VIOLATIONS) {
                campaign.emit(Row::Violation(RuleViolation {
                    rule,
                    name: name.into(),
                    phase: point.phase,
                    description: format!("{violation:?}"),
                    at_seconds: campaign.started_at.elapsed().as_secs_f64(),
                }));
            }
        }
    }

    /// Emits the 99th percentile of the notification delays of the list changes since the last call, if there were any.
    fn emit_notification_delay(&self, point: OperatingPoint) {
        let mut delays: Vec<f64> =
            self.nodes.iter().flat_map(|node| node.agent.take_notification_delays()).collect();
        if !delays.is_empty() {
            let value = quantile(&mut delays, TAIL_QUANTILE);
            self.campaign.emit_figure(point, Measurement::NotificationDelay, NodeKind::Real, value);
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
