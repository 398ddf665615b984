//! Fault plans: the actions of an injected fault and their times, generated from a seed. Nothing is executed here.
use crate::file::{FaultKind, FaultSpec, ScaleFile};
use rand::seq::{SliceRandom, index};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

const DAY: Duration = Duration::from_secs(24 * 3600);
/// Undisturbed time before the first action of a plan, as a reference for what follows.
pub const LEAD_TIME: Duration = Duration::from_secs(2);

/// Index of an executor in the fleet; a replacement has the index of the executor that it replaces.
pub type ExecutorNumber = usize;
/// Index of a node: real nodes first, then hollow ones.
pub type NodeNumber = usize;

/// One action of a fault plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Replaces an executor in an orderly way: it is listed as draining and stops after the drain grace and the request
    /// deadline; its replacement is listed in slow start.
    Replace(ExecutorNumber),
    /// Kills an executor without notice; its replacement starts in slow start.
    Fail(ExecutorNumber),
    /// Kills all executors of a zone at once.
    KillZone(Range<ExecutorNumber>),
    /// Restarts the executors of a zone, in slow start.
    RestartZone(Range<ExecutorNumber>),
    /// Stops discovery from sending anything; open connections stay open.
    SilenceDiscovery,
    /// Lets discovery send again.
    ResumeDiscovery,
    /// Restarts a node.
    RestartNode(NodeNumber),
}

/// An action and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the plan.
    pub at: Duration,
    pub action: Action,
}

/// The actions of one fault.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    pub kind: FaultKind,
    /// Ordered by time.
    pub steps: Vec<Step>,
    /// Time from the start of the plan until the effects of its last step are over.
    pub length: Duration,
    /// Factor by which a day is compressed; 1 if it runs at its real speed.
    pub time_compression: f64,
}

/// The executors and nodes that a plan may affect, and how long they take to recover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanScope {
    /// Number of executors in the fleet.
    pub executors: usize,
    /// Number of all nodes, real and hollow.
    pub nodes: usize,
    /// Number of real nodes.
    pub real_nodes: usize,
    /// Time after a step until its effects are over.
    pub recovery_time: Duration,
}

impl PlanScope {
    /// Takes the scope from a scale file. The recovery time covers the grace of draining executors, the deadline of
    /// open requests and the slow start of new executors.
    pub fn from_file(file: &ScaleFile) -> Self {
        let real_nodes = file.real_nodes.count;
        let nodes = real_nodes + file.hollow_nodes.count;
        let recovery_time = file.rules.drain_grace + file.requests.deadline + file.rules.ramp_duration;
        PlanScope { executors: file.largest_fleet(), nodes, real_nodes, recovery_time }
    }
}

impl FaultPlan {
    /// Generates a plan; equal seeds give equal plans. Returns `None` if the fault has no kind, which the check of a
    /// scale file rejects.
    pub fn generate(spec: &FaultSpec, scope: PlanScope, seed: u64) -> Option<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Some(match spec.kind? {
            FaultKind::BusyDay => plan_busy_day(spec, scope, &mut rng),
            FaultKind::ZoneLost => plan_zone_loss(spec, scope, &mut rng),
            FaultKind::DiscoverySilent => plan_discovery_silence(spec, scope, &mut rng),
        })
    }

    fn new(kind: FaultKind, scope: PlanScope, mut steps: Vec<Step>, time_compression: f64) -> Self {
        // A stable sort: simultaneous steps keep the order in which they were generated.
        steps.sort_by_key(|step| step.at);
        let last = steps.last().map_or(LEAD_TIME, |step| step.at);
        FaultPlan { kind, steps, length: last + scope.recovery_time, time_compression }
    }
}

/// Replaces and kills executors at random times of a day, no executor twice.
fn plan_busy_day(spec: &FaultSpec, scope: PlanScope, rng: &mut ChaCha8Rng) -> FaultPlan {
    let time_compression = spec.factor.unwrap_or(1.0);
    let length = DAY.div_f64(time_compression);
    let replaced = spec.replaced.unwrap_or(0).min(scope.executors);
    let failed = spec.failed.unwrap_or(0).min(scope.executors - replaced);
    let chosen = index::sample(rng, scope.executors, replaced + failed);
    let mut steps = Vec::with_capacity(chosen.len());
    for (number, executor) in chosen.into_iter().enumerate() {
        let at = LEAD_TIME + length.mul_f64(rng.random::<f64>());
        let action = if number < replaced { Action::Replace(executor) } else { Action::Fail(executor) };
        steps.push(Step { at, action });
    }
    FaultPlan::new(FaultKind::BusyDay, scope, steps, time_compression)
}

/// Kills a randomly placed zone and restarts it later.
fn plan_zone_loss(spec: &FaultSpec, scope: PlanScope, rng: &mut ChaCha8Rng) -> FaultPlan {
    let size = spec.executors.unwrap_or(0).min(scope.executors);
    let first = rng.random_range(0..=scope.executors - size);
    let zone = first..first + size;
    let steps = vec![
        Step { at: LEAD_TIME, action: Action::KillZone(zone.clone()) },
        Step { at: LEAD_TIME + spec.returns_after.unwrap_or_default(), action: Action::RestartZone(zone) },
    ];
    FaultPlan::new(FaultKind::ZoneLost, scope, steps, 1.0)
}

/// Silences discovery and restarts randomly chosen nodes during the first half of the silence. At least one of them is
/// a real node, as hollow nodes are not measured.
fn plan_discovery_silence(spec: &FaultSpec, scope: PlanScope, rng: &mut ChaCha8Rng) -> FaultPlan {
    let silence = spec.silence_duration.unwrap_or_default();
    let share = spec.restarted_share.unwrap_or(0.0);
    let count = (share * scope.nodes as f64).round() as usize;
    let count = if share > 0.0 { count.clamp(1, scope.nodes) } else { 0 };
    let mut nodes: Vec<NodeNumber> = (0..scope.nodes).collect();
    nodes.shuffle(rng);
    if let Some(first_real) = nodes.iter().position(|node| *node < scope.real_nodes)
        && first_real >= count
    {
        nodes.swap(0, first_real);
    }
    let mut steps = vec![
        Step { at: LEAD_TIME, action: Action::SilenceDiscovery },
        Step { at: LEAD_TIME + silence, action: Action::ResumeDiscovery },
    ];
    for node in nodes.into_iter().take(count) {
        let at = LEAD_TIME + silence.mul_f64(0.5 * rng.random::<f64>());
        steps.push(Step { at, action: Action::RestartNode(node) });
    }
    FaultPlan::new(FaultKind::DiscoverySilent, scope, steps, 1.0)
}
