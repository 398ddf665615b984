//! Runs one rehearsal from its scenario to its verdict: the world on one thread, the clients on another.
use crate::clients::Clients;
use crate::node_process::{NodeLauncher, ResourceUsage};
use crate::plan::Plan;
use crate::referee::{self, ClassFacts, ExecutorFacts, Facts, RequestFacts, Verdict};
use crate::scenario::{Scenario, millis};
use crate::world::World;
use anyhow::{Context, Result, anyhow};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde::Serialize;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};
use troutknot_emulator::front::Front;
use troutknot_emulator::observations::ObservationLog;

/// Maximum 99th percentile of the delay of clients and of executors, in milliseconds. Above it the run no longer
/// follows its scenario.
const MAX_P99_DELAY_MS: f64 = 25.0;
const DELAY_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time between the readiness of the nodes and the start of the day.
const START_DELAY: Duration = Duration::from_millis(700);
const FRONT_POLL_INTERVAL: Duration = Duration::from_millis(5);
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the last response executors may still record the ends of attempts.
const FINAL_EVENTS_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of nodes of a rehearsal, each of which is a process; a simulation allows more.
pub const MAX_NODES: usize = 64;
/// Maximum number of executors of a rehearsal, each of which has a listener; a simulation allows more.
pub const MAX_EXECUTORS: usize = 1000;
/// Maximum request rate; above it the executors' thread was measured to fall behind (docs/rehearsal.md).
pub const MAX_REQUESTS_PER_SECOND: f64 = 10_000.0;

/// Why a rehearsal has no verdict.
#[derive(Debug, thiserror::Error)]
pub enum RehearsalError {
    /// The scenario exceeds what this machine or a rehearsal can run.
    #[error("{0}")]
    Machine(String),
    /// The rehearsal could not be set up, or one of its threads failed.
    #[error("{0:#}")]
    Other(#[from] anyhow::Error),
}

/// The results of a rehearsal.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// The seed of the plan.
    pub seed: u64,
    /// Hash of the plan; equal for equal scenarios and seeds.
    pub plan: String,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of executors, including replacements.
    pub executors: usize,
    /// Length of the day in seconds.
    pub length_s: f64,
    /// The minimum service level that the scenario expects, 0 to 1.
    pub expected_service: f64,
    /// The verdict of the referee.
    pub verdict: Verdict,
    /// CPU time of all nodes, in milliseconds.
    pub node_cpu_ms: f64,
    /// CPU time of all nodes per request, in microseconds.
    pub node_cpu_us_per_request: f64,
    /// Peak resident memory of the node that used most, in kilobytes.
    pub node_memory_kb: u64,
    /// CPU time of this process per request, in microseconds.
    pub kit_cpu_us_per_request: f64,
    /// 99th percentile of the delay with which clients sent requests, in milliseconds.
    pub clients_late_p99_ms: f64,
    /// 99th percentile of the scheduling delay of the executors' thread, in milliseconds.
    pub executors_late_p99_ms: f64,
    /// Largest delay of a step of the plan, in milliseconds.
    pub steps_late_ms: f64,
}

impl Report {
    /// Whether no rule was violated and the expected service level was reached.
    pub fn has_passed(&self) -> bool {
        self.verdict.violations.is_empty() && self.verdict.service >= self.expected_service
    }

    /// Whether the 99th percentiles of the delays of clients and executors are at most 25 ms.
    pub fn is_on_schedule(&self) -> bool {
        self.clients_late_p99_ms.max(self.executors_late_p99_ms) <= MAX_P99_DELAY_MS
    }
}

/// The progress of a running rehearsal.
#[derive(Default)]
pub struct Progress {
    /// Number of requests that have ended.
    pub ended_requests: AtomicUsize,
    /// Time since the start of the day, in milliseconds; 0 before it.
    pub elapsed_ms: AtomicUsize,
}

/// Estimates the file descriptors that this process needs: 2 for each executor, 8 for each node, a third of each node's
/// own limit for its connections to executors, and one for each client connection, whose number is estimated from the
/// requests of 4 s.
fn estimate_file_descriptors(scenario: &Scenario, plan: &Plan) -> u64 {
    let executors = plan.executors.len() as u64;
    let nodes = scenario.nodes.count as u64;
    let executor_connections = nodes * (scenario.nodes.max_file_descriptors / 3);
    let max_client_connections = scenario.clients.max_connections as u64;
    let concurrent_requests = (scenario.rate_per_ms() * 2000.0 * 2.0) as u64 + 64;
    64 + 2 * executors + 8 * nodes + executor_connections + max_client_connections.min(concurrent_requests)
}

/// Checks before the start whether this machine can run a scenario, and raises the limit of open files if needed.
///
/// # Errors
/// The resource that is insufficient, in one line.
pub fn check_machine(scenario: &Scenario, plan: &Plan) -> Result<(), RehearsalError> {
    let (nodes, executors) = (scenario.nodes.count, plan.executors.len());
    if nodes > MAX_NODES || executors > MAX_EXECUTORS {
        let message = format!(
            "the scenario has {nodes} nodes and {executors} executors; a rehearsal has {MAX_NODES} and \
             {MAX_EXECUTORS} at most, `troutknot simulate` allows more"
        );
        return Err(RehearsalError::Machine(message));
    }
    let needed = estimate_file_descriptors(scenario, plan);
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_some_and(|current| current < needed) {
        let raised = maximum.map_or(needed, |maximum| maximum.min(needed));
        let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(raised), maximum });
        if maximum.is_some_and(|maximum| maximum < needed) {
            let have = maximum.unwrap_or(0);
            let message = format!("the scenario needs about {needed} file descriptors, {have} may be open");
            return Err(RehearsalError::Machine(message));
        }
    }
    let peak_factor = scenario.traffic.get_ref().curve.iter().map(|point| point.factor).fold(1.0, f64::max);
    let rate = scenario.rate_per_ms() * peak_factor * 1000.0;
    if rate > MAX_REQUESTS_PER_SECOND {
        let message = format!(
            "the scenario sends {rate:.0} requests a second; the kit carries {MAX_REQUESTS_PER_SECOND} at most"
        );
        return Err(RehearsalError::Machine(message));
    }
    Ok(())
}

/// Builds the facts that the referee judges by; `started_at` is the start of the day in milliseconds since the
/// observation log started.
pub fn build_facts(scenario: &Scenario, plan: &Plan, started_at: f64) -> Facts {
    let rules = &scenario.rules;
    let classes = scenario.request_classes.iter().map(|class| class.get_ref());
    Facts {
        seed: plan.seed,
        drain_grace: millis(rules.drain_grace),
        notification_timeout: millis(rules.notification_timeout),
        max_attempts: rules.max_attempts as usize,
        slack: millis(rules.slack),
        initial_capacity: rules.initial_capacity,
        ramp_duration: millis(rules.ramp_duration),
        budget_multiple: rules.budget_multiple,
        budget_window: millis(rules.budget_window),
        classes: classes
            .map(|class| ClassFacts {
                name: class.name.clone(),
                effect: class.effect,
                has_idempotency_key: scenario.has_idempotency_key(class),
                deduplication_scope: class.deduplication_scope,
                deduplication_window: millis(class.deduplication_window),
                deadline: millis(class.deadline),
                latency_objective: millis(class.latency_objective),
                value: class.value,
            })
            .collect(),
        executors: (plan.executors.iter().enumerate())
            .map(|(number, executor)| ExecutorFacts {
                name: format!("s-{number:05}"),
                machine: executor.machine.clone(),
                zone: 0,
                deduplication_group: executor.group as u32,
                slow_start: executor.slow_start,
            })
            .collect(),
        requests: plan
            .requests
            .iter()
            .map(|request| RequestFacts { class: request.request_class, due_at: request.at })
            .collect(),
        started_at,
    }
}

fn build_runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot create an asynchronous runtime")
}

/// Samples the scheduling delay of its thread every 10 ms, in milliseconds, until it is dropped.
async fn sample_scheduling_delay(delays: Rc<RefCell<Vec<f64>>>) {
    let mut due = Instant::now();
    loop {
        due = (due + DELAY_SAMPLE_INTERVAL).max(Instant::now());
        sleep_until(due).await;
        delays.borrow_mut().push(due.elapsed().as_secs_f64() * 1000.0);
    }
}

/// The CPU time of this process in milliseconds.
fn own_cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // utime and stime, fields 14 and 15, counted after the name in parentheses, in ticks of 10 ms.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10.0
}

/// Rehearses a scenario on real sockets with real nodes. Their logs and configuration files are written to `folder`.
///
/// # Errors
/// The scenario exceeds the machine's limits, the world cannot be started, or a thread panics.
pub fn rehearse(
    scenario: &Arc<Scenario>,
    seed: u64,
    launcher: Arc<dyn NodeLauncher>,
    folder: &Path,
    progress: Arc<Progress>,
) -> Result<Report, RehearsalError> {
    let plan = Arc::new(Plan::generate(scenario, seed));
    check_machine(scenario, &plan)?;
    let observation_log = Arc::new(ObservationLog::default());
    let cpu_ms_at_start = own_cpu_ms();
    // The world sends the nodes' addresses; the clients signal the end of the day.
    let (ready_sender, ready) = mpsc::channel();
    let (end_sender, end) = oneshot::channel::<()>();
    let world = {
        let (scenario, plan, observation_log) = (scenario.clone(), plan.clone(), observation_log.clone());
        let folder = folder.to_owned();
        move || -> Result<(Vec<ResourceUsage>, f64, f64)> {
            let runtime = build_runtime()?;
            LocalSet::new().block_on(&runtime, async {
                let world = World::start(scenario, plan, observation_log, launcher, folder).await?;
                let started_at = Instant::now() + START_DELAY;
                let _ = ready_sender.send((world.node_addresses(), started_at));
                let steps = tokio::task::spawn_local(world.clone().play(started_at));
                let delays = Rc::new(RefCell::default());
                let sampling = tokio::task::spawn_local(sample_scheduling_delay(delays.clone()));
                let _ = end.await;
                steps.abort();
                sampling.abort();
                let p99_delay_ms = referee::quantile(&mut delays.borrow_mut(), 0.99);
                Ok((world.stop(), world.max_step_delay_ms(), p99_delay_ms))
            })
        }
    };
    let world =
        thread::Builder::new().name("world".into()).spawn(world).context("cannot start the world thread")?;
    let Ok((addresses, started_at)) = ready.recv() else {
        let result = world.join().map_err(|_| anyhow!("the rehearsal's world thread panicked"))?;
        return Err(result
            .err()
            .unwrap_or_else(|| anyhow!("the world thread ended before the nodes were ready"))
            .into());
    };
    let clients = {
        let (scenario, plan, observation_log) = (scenario.clone(), plan.clone(), observation_log.clone());
        move || -> Result<f64> {
            let runtime = build_runtime()?;
            LocalSet::new().block_on(&runtime, async {
                let front = Front::start(&addresses, scenario.front.detection_delay);
                while front.healthy_count() < addresses.len() && Instant::now() < started_at {
                    sleep(FRONT_POLL_INTERVAL).await;
                }
                let clients = Clients::new(scenario, plan, observation_log, front);
                let observed_clients = clients.clone();
                tokio::task::spawn_local(async move {
                    loop {
                        let elapsed = Instant::now().saturating_duration_since(started_at);
                        progress.elapsed_ms.store(elapsed.as_millis() as usize, Ordering::Relaxed);
                        progress.ended_requests.store(observed_clients.ended_requests(), Ordering::Relaxed);
                        sleep(PROGRESS_INTERVAL).await;
                    }
                });
                clients.clone().play(started_at).await;
                sleep(FINAL_EVENTS_DELAY).await;
                Ok(clients.send_delay_ms(0.99))
            })
        }
    };
    let clients = thread::Builder::new()
        .name("clients".into())
        .spawn(clients)
        .context("cannot start the client thread")?;
    let clients_result = clients.join().map_err(|_| anyhow!("the rehearsal's client thread panicked"))?;
    let _ = end_sender.send(());
    let (usages, steps_late_ms, executors_late_p99_ms) =
        world.join().map_err(|_| anyhow!("the rehearsal's world thread panicked"))??;
    let clients_late_p99_ms = clients_result?;
    let own_cpu = own_cpu_ms() - cpu_ms_at_start;
    let started_at_ms = (started_at.into_std() - observation_log.started_at()).as_secs_f64() * 1000.0;
    let events = observation_log.take();
    let verdict = referee::judge(&build_facts(scenario, &plan, started_at_ms), &events);
    let us_per_request = |total_ms: f64| total_ms * 1000.0 / plan.requests.len().max(1) as f64;
    let node_cpu_ms: f64 = usages.iter().map(|usage| usage.cpu_ms).sum();
    Ok(Report {
        scenario: scenario.name.clone(),
        seed,
        plan: plan.hash(),
        nodes: scenario.nodes.count,
        executors: plan.executors.len(),
        length_s: plan.length / 1000.0,
        expected_service: scenario.expect.min_service,
        verdict,
        node_cpu_ms,
        node_cpu_us_per_request: us_per_request(node_cpu_ms),
        node_memory_kb: usages.iter().map(|usage| usage.peak_memory_kb).max().unwrap_or(0),
        kit_cpu_us_per_request: us_per_request(own_cpu),
        clients_late_p99_ms,
        executors_late_p99_ms,
        steps_late_ms,
    })
}
