//! The steps of a trouble, drawn from a seed. Nothing happens here.
use crate::file::{FaultKind, FaultSpec, ScaleFile};
use rand::seq::{SliceRandom, index};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

const DAY: Duration = Duration::from_secs(24 * 3600);
/// What goes on before a trouble, so that there is something to compare with.
pub const LEAD_TIME: Duration = Duration::from_secs(2);

/// The number of an executor in the fleet; a successor has the number of the one that it replaces.
pub type ExecutorNumber = usize;
/// The number of a node: real ones first, then hollow ones.
pub type NodeNumber = usize;

/// One thing that is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is listed as draining, its successor starts cold, and it leaves once the grace is over.
    Replace(ExecutorNumber),
    /// It dies without a word and is replaced by one that starts cold.
    Fail(ExecutorNumber),
    /// All executors of a zone die at once.
    KillZone(Range<ExecutorNumber>),
    /// They start again, cold.
    RestartZone(Range<ExecutorNumber>),
    /// Discovery says nothing; open connections stay open.
    SilenceDiscovery,
    ResumeDiscovery,
    RestartNode(NodeNumber),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Since the trouble's beginning.
    pub at: Duration,
    pub action: Action,
}

/// A trouble that is ready to be played.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    pub kind: FaultKind,
    /// In the order of time.
    pub steps: Vec<Step>,
    pub length: Duration,
    /// Times by which a day is time_compression; 1 where it is played as it is.
    pub time_compression: f64,
}

/// Those that a trouble may befall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanScope {
    pub executors: usize,
    /// Real and hollow ones, and how many of them are real.
    pub nodes: usize,
    pub real_nodes: usize,
    /// What follows from a step is over so long after it.
    pub recovery_time: Duration,
}

impl PlanScope {
    /// After the last step what drains has its grace, what is out its deadline, and who is cold becomes warm.
    pub fn of_file(file: &ScaleFile) -> Self {
        let real_nodes = file.real_nodes.count;
        let nodes = real_nodes + file.hollow_nodes.count;
        let recovery_time = file.rules.drain_grace + file.requests.deadline + file.rules.ramp;
        PlanScope { executors: file.largest_fleet(), nodes, real_nodes, recovery_time }
    }
}

impl FaultPlan {
    /// Draws the steps; the same seed gives the same. None where the trouble has no kind, which a checked file
    /// does not hold.
    pub fn generate(spec: &FaultSpec, scope: PlanScope, seed: u64) -> Option<Self> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Some(match spec.kind? {
            FaultKind::BusyDay => busy_day(spec, scope, &mut random),
            FaultKind::ZoneLost => zone_lost(spec, scope, &mut random),
            FaultKind::DiscoverySilent => discovery_silent(spec, scope, &mut random),
        })
    }

    fn new(kind: FaultKind, scope: PlanScope, mut steps: Vec<Step>, time_compression: f64) -> Self {
        // A stable sort: steps of one time stay in the order in which they were drawn.
        steps.sort_by_key(|step| step.at);
        let last = steps.last().map_or(LEAD_TIME, |step| step.at);
        FaultPlan { kind, steps, length: last + scope.recovery_time, time_compression }
    }
}

/// Replacements and deaths at random times of a day, each of another executor.
fn busy_day(spec: &FaultSpec, scope: PlanScope, random: &mut ChaCha8Rng) -> FaultPlan {
    let time_compression = spec.factor.unwrap_or(1.0);
    let length = DAY.div_f64(time_compression);
    let replaced = spec.replaced.unwrap_or(0).min(scope.executors);
    let failed = spec.failed.unwrap_or(0).min(scope.executors - replaced);
    let drawn = index::sample(random, scope.executors, replaced + failed);
    let mut steps = Vec::with_capacity(drawn.len());
    for (number, executor) in drawn.into_iter().enumerate() {
        let at = LEAD_TIME + length.mul_f64(random.random::<f64>());
        let action = if number < replaced { Action::Replace(executor) } else { Action::Fail(executor) };
        steps.push(Step { at, action });
    }
    FaultPlan::new(FaultKind::BusyDay, scope, steps, time_compression)
}

fn zone_lost(spec: &FaultSpec, scope: PlanScope, random: &mut ChaCha8Rng) -> FaultPlan {
    let size = spec.executors.unwrap_or(0).min(scope.executors);
    let first = random.random_range(0..=scope.executors - size);
    let zone = first..first + size;
    let steps = vec![
        Step { at: LEAD_TIME, action: Action::KillZone(zone.clone()) },
        Step { at: LEAD_TIME + spec.returns_after.unwrap_or_default(), action: Action::RestartZone(zone) },
    ];
    FaultPlan::new(FaultKind::ZoneLost, scope, steps, 1.0)
}

/// The nodes that start again are drawn, and one of them at least is real, as hollow ones are not measured; they do so
/// over the first half of the silence.
fn discovery_silent(spec: &FaultSpec, scope: PlanScope, random: &mut ChaCha8Rng) -> FaultPlan {
    let lasts = spec.duration.unwrap_or_default();
    let share = spec.restarted_share.unwrap_or(0.0);
    let count = (share * scope.nodes as f64).round() as usize;
    let count = if share > 0.0 { count.clamp(1, scope.nodes) } else { 0 };
    let mut nodes: Vec<NodeNumber> = (0..scope.nodes).collect();
    nodes.shuffle(random);
    if let Some(first_real) = nodes.iter().position(|node| *node < scope.real_nodes)
        && first_real >= count
    {
        nodes.swap(0, first_real);
    }
    let mut steps = vec![
        Step { at: LEAD_TIME, action: Action::SilenceDiscovery },
        Step { at: LEAD_TIME + lasts, action: Action::ResumeDiscovery },
    ];
    for node in nodes.into_iter().take(count) {
        let at = LEAD_TIME + lasts.mul_f64(0.5 * random.random::<f64>());
        steps.push(Step { at, action: Action::RestartNode(node) });
    }
    FaultPlan::new(FaultKind::DiscoverySilent, scope, steps, 1.0)
}
