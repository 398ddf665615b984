//! One rehearsal from its scenario to its verdict: the world on one thread, the clients on another.
use crate::clients::Clients;
use crate::nodes::{Launch, Used};
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

/// Clients that are so late with one request in a hundred are no longer those of the scenario.
const LATE_MS: f64 = 25.0;
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Processes and listeners of one rehearsal; in simulated time there may be more.
pub const MOST_NODES: usize = 64;
pub const MOST_EXECUTORS: usize = 1000;
/// Requests a second; at more, the executors' thread was seen to fall behind (docs/rehearsal.md).
pub const MOST_RATE: f64 = 10_000.0;

/// Why a rehearsal gave no verdict.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// The machine could not carry it, or cannot.
    #[error("{0}")]
    Machine(String),
    #[error("{0:#}")]
    Other(#[from] anyhow::Error),
}

/// All that a rehearsal tells.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    /// Names what was drawn; the same seed gives the same plan.
    pub plan: String,
    pub nodes: usize,
    pub executors: usize,
    pub length_s: f64,
    pub expected_service: f64,
    pub verdict: Verdict,
    pub node_cpu_ms: f64,
    pub node_cpu_us_per_request: f64,
    pub node_memory_kb: u64,
    pub kit_cpu_us_per_request: f64,
    /// How late the kit itself was: the 99th percentile of its requests, and its latest step.
    pub clients_late_p99_ms: f64,
    /// The same for what the executors' thread had to do at a time.
    pub executors_late_p99_ms: f64,
    pub steps_late_ms: f64,
}

impl Report {
    /// Whether no rule broke and the service expected was reached.
    pub fn holds(&self) -> bool {
        self.verdict.violations.is_empty() && self.verdict.service >= self.expected_service
    }

    /// Whether the kit kept to its own plan.
    pub fn carried(&self) -> bool {
        self.clients_late_p99_ms.max(self.executors_late_p99_ms) <= LATE_MS
    }
}

/// Where the day stands, for a line of progress.
#[derive(Default)]
pub struct Progress {
    pub over: AtomicUsize,
    /// 0 until the day begins, then in milliseconds.
    pub at_ms: AtomicUsize,
}

/// Descriptors that this process needs for a scenario: sockets of executors at both ends of each connection.
fn descriptors_needed(scenario: &Scenario, plan: &Plan) -> u64 {
    let executors = plan.executors.len() as u64;
    let nodes = scenario.nodes.count as u64;
    let to_executors = nodes * (scenario.nodes.max_file_descriptors / 3);
    let clients = scenario.clients.max_connections as u64;
    let out_at_once = (scenario.rate_per_ms() * 2000.0 * 2.0) as u64 + 64;
    64 + 2 * executors + 8 * nodes + to_executors + clients.min(out_at_once)
}

/// Whether this machine can carry a scenario, before anything starts.
///
/// # Errors
/// One line that says what is short.
pub fn check_machine(scenario: &Scenario, plan: &Plan) -> Result<(), Failed> {
    let (nodes, executors) = (scenario.nodes.count, plan.executors.len());
    if nodes > MOST_NODES || executors > MOST_EXECUTORS {
        let what = format!(
            "the scenario has {nodes} nodes and {executors} executors; a rehearsal has {MOST_NODES} and \
             {MOST_EXECUTORS} at most, `troutknot simulate` carries more"
        );
        return Err(Failed::Machine(what));
    }
    let needed = descriptors_needed(scenario, plan);
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if current.is_some_and(|current| current < needed) {
        let raised = Rlimit { current: maximum.map_or(Some(needed), |most| Some(most.min(needed))), maximum };
        let _ = setrlimit(Resource::Nofile, raised);
        if maximum.is_some_and(|most| most < needed) {
            let have = maximum.unwrap_or(0);
            let what = format!("the scenario needs about {needed} file descriptors, {have} may be open");
            return Err(Failed::Machine(what));
        }
    }
    let most = scenario.traffic.get_ref().curve.iter().map(|p| p.factor).fold(1.0, f64::max);
    let rate = scenario.rate_per_ms() * most * 1000.0;
    if rate > MOST_RATE {
        let what =
            format!("the scenario sends {rate:.0} requests a second; the kit carries {MOST_RATE} at most");
        return Err(Failed::Machine(what));
    }
    Ok(())
}

/// What the referee is told of a day that began at a time.
pub fn facts(scenario: &Scenario, plan: &Plan, began: f64) -> Facts {
    let rules = &scenario.rules;
    let types = scenario.request_classes.iter().map(|t| t.get_ref());
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
        classes: types
            .map(|t| ClassFacts {
                name: t.name.clone(),
                effect: t.effect,
                has_idempotency_key: scenario.has_idempotency_key(t),
                deduplication_scope: t.deduplication_scope,
                deduplication_window: millis(t.deduplication_window),
                deadline: millis(t.deadline),
                latency_objective: millis(t.latency_objective),
                value: t.value,
            })
            .collect(),
        executors: (plan.executors.iter().enumerate())
            .map(|(number, e)| ExecutorFacts {
                name: format!("s-{number:05}"),
                machine: e.machine.clone(),
                zone: 0,
                deduplication_group: e.group as u32,
                starts_cold: e.slow_start,
            })
            .collect(),
        requests: plan
            .requests
            .iter()
            .map(|r| RequestFacts { class: r.request_class, due_at: r.at })
            .collect(),
        started_at: began,
    }
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().context("no runtime")
}

/// Looks every 10 ms how late its thread is, until it is dropped.
async fn lateness(of: Rc<RefCell<Vec<f64>>>) {
    let mut due = Instant::now();
    loop {
        due = (due + LOOK_EVERY).max(Instant::now());
        sleep_until(due).await;
        of.borrow_mut().push(due.elapsed().as_secs_f64() * 1000.0);
    }
}

fn own_cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |k: usize| fields.get(k).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10.0
}

/// Plays a scenario on real sockets with real nodes; logs and configurations go into `folder`.
///
/// # Errors
/// Where it cannot be played, or the machine did not carry it.
pub fn rehearse(
    scenario: &Arc<Scenario>,
    seed: u64,
    launch: Arc<dyn Launch>,
    folder: &Path,
    progress: Arc<Progress>,
) -> Result<Report, Failed> {
    let plan = Arc::new(Plan::generate(scenario, seed));
    check_machine(scenario, &plan)?;
    let record = Arc::new(ObservationLog::default());
    let cpu = own_cpu_ms();
    // The world says where its nodes are, the clients say that the day is over.
    let (ready, when_ready) = mpsc::channel();
    let (over, when_over) = oneshot::channel::<()>();
    let world = {
        let (scenario, plan, record) = (scenario.clone(), plan.clone(), record.clone());
        let folder = folder.to_owned();
        move || -> Result<(Vec<Used>, f64, f64)> {
            let runtime = runtime()?;
            LocalSet::new().block_on(&runtime, async {
                let world = World::start(scenario, plan, record, launch, folder).await?;
                let began = Instant::now() + Duration::from_millis(700);
                let _ = ready.send((world.node_addrs(), began));
                let played = tokio::task::spawn_local(world.clone().play(began));
                let late = Rc::new(RefCell::default());
                let looks = tokio::task::spawn_local(lateness(late.clone()));
                let _ = when_over.await;
                played.abort();
                looks.abort();
                let late = referee::quantile(&mut late.borrow_mut(), 0.99);
                Ok((world.end(), world.max_step_delay_ms(), late))
            })
        }
    };
    let world = thread::Builder::new().name("world".into()).spawn(world).context("no thread")?;
    let Ok((addrs, began)) = when_ready.recv() else {
        let why = world.join().map_err(|_| anyhow!("the kit's world thread panicked"))?;
        return Err(why.err().unwrap_or_else(|| anyhow!("the world ended before the day")).into());
    };
    let clients = {
        let (scenario, plan, record) = (scenario.clone(), plan.clone(), record.clone());
        move || -> Result<f64> {
            let runtime = runtime()?;
            LocalSet::new().block_on(&runtime, async {
                let front = Front::start(&addrs, scenario.front.detection_delay);
                while front.healthy_count() < addrs.len() && Instant::now() < began {
                    sleep(Duration::from_millis(5)).await;
                }
                let clients = Clients::new(scenario, plan, record, front);
                let watched = clients.clone();
                tokio::task::spawn_local(async move {
                    loop {
                        let at = (Instant::now().saturating_duration_since(began)).as_millis() as usize;
                        progress.at_ms.store(at, Ordering::Relaxed);
                        progress.over.store(watched.over(), Ordering::Relaxed);
                        sleep(Duration::from_millis(100)).await;
                    }
                });
                clients.clone().play(began).await;
                // What an answer ended is still told at the executors' end.
                sleep(Duration::from_millis(100)).await;
                Ok(clients.late(0.99))
            })
        }
    };
    let clients = thread::Builder::new().name("clients".into()).spawn(clients).context("no thread")?;
    let late = clients.join().map_err(|_| anyhow!("the kit's client thread panicked"))?;
    let _ = over.send(());
    let (used, steps_late, executors_late) =
        world.join().map_err(|_| anyhow!("the kit's world thread panicked"))??;
    let late = late?;
    let kit_cpu = own_cpu_ms() - cpu;
    let began_ms = (began.into_std() - record.started_at()).as_secs_f64() * 1000.0;
    let seen = record.take();
    let verdict = referee::judge(&facts(scenario, &plan, began_ms), &seen);
    let each = |sum: f64| sum * 1000.0 / plan.requests.len().max(1) as f64;
    let node_cpu: f64 = used.iter().map(|u| u.cpu_ms).sum();
    Ok(Report {
        scenario: scenario.name.clone(),
        seed,
        plan: plan.hash(),
        nodes: scenario.nodes.count,
        executors: plan.executors.len(),
        length_s: plan.length / 1000.0,
        expected_service: scenario.expect.min_service,
        verdict,
        node_cpu_ms: node_cpu,
        node_cpu_us_per_request: each(node_cpu),
        node_memory_kb: used.iter().map(|u| u.most_memory_kb).max().unwrap_or(0),
        kit_cpu_us_per_request: each(kit_cpu),
        clients_late_p99_ms: late,
        executors_late_p99_ms: executors_late,
        steps_late_ms: steps_late,
    })
}
