//! The steps of a trouble, drawn from a seed. Nothing happens here.
use crate::file::{ScaleFile, TroubleKind, TroubleSpec};
use rand::seq::{SliceRandom, index};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

const DAY: Duration = Duration::from_secs(24 * 3600);
/// What goes on before a trouble, so that there is something to compare with.
pub const BEFORE: Duration = Duration::from_secs(2);

/// The number of an executor in the fleet; a successor has the number of the one that it replaces.
pub type ExecutorNumber = usize;
/// The number of a node: real ones first, then hollow ones.
pub type NodeNumber = usize;

/// One thing that is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is listed as draining, its successor starts cold, and it leaves once the grace is over.
    Replace(ExecutorNumber),
    /// It dies without a word and is replaced by one that starts cold.
    Fail(ExecutorNumber),
    /// All executors of a zone die at once.
    LoseZone(Range<ExecutorNumber>),
    /// They start again, cold.
    ReturnZone(Range<ExecutorNumber>),
    /// Discovery says nothing; open connections stay open.
    SilenceDiscovery,
    DiscoverySpeaks,
    RestartNode(NodeNumber),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Since the trouble's beginning.
    pub at: Duration,
    pub change: Change,
}

/// A trouble that is ready to be played.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub kind: TroubleKind,
    /// In the order of time.
    pub steps: Vec<Step>,
    pub length: Duration,
    /// Times by which a day is squeezed; 1 where it is played as it is.
    pub squeezed: f64,
}

/// Those that a trouble may befall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct World {
    pub executors: usize,
    /// Real and hollow ones, and how many of them are real.
    pub nodes: usize,
    pub real_nodes: usize,
    /// What follows from a step is over so long after it.
    pub after: Duration,
}

impl World {
    /// After the last step what drains has its grace, what is out its deadline, and who is cold becomes warm.
    pub fn of_file(file: &ScaleFile) -> Self {
        let real_nodes = file.real_nodes.count;
        let nodes = real_nodes + file.hollow_nodes.count;
        let after = file.rules.drain_grace + file.requests.deadline + file.rules.ramp_duration;
        World { executors: file.largest_fleet(), nodes, real_nodes, after }
    }
}

impl Plan {
    /// Draws the steps; the same seed gives the same. None where the trouble has no kind, which a checked file
    /// does not hold.
    pub fn draw(spec: &TroubleSpec, world: World, seed: u64) -> Option<Self> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Some(match spec.kind? {
            TroubleKind::BusyDay => busy_day(spec, world, &mut random),
            TroubleKind::ZoneLost => zone_lost(spec, world, &mut random),
            TroubleKind::DiscoverySilent => discovery_silent(spec, world, &mut random),
        })
    }

    fn new(kind: TroubleKind, world: World, mut steps: Vec<Step>, squeezed: f64) -> Self {
        // A stable sort: steps of one time stay in the order in which they were drawn.
        steps.sort_by_key(|step| step.at);
        let last = steps.last().map_or(BEFORE, |step| step.at);
        Plan { kind, steps, length: last + world.after, squeezed }
    }
}

/// Replacements and deaths at random times of a day, each of another executor.
fn busy_day(spec: &TroubleSpec, world: World, random: &mut ChaCha8Rng) -> Plan {
    let squeezed = spec.factor.unwrap_or(1.0);
    let length = DAY.div_f64(squeezed);
    let replaced = spec.replaced.unwrap_or(0).min(world.executors);
    let failed = spec.failed.unwrap_or(0).min(world.executors - replaced);
    let drawn = index::sample(random, world.executors, replaced + failed);
    let mut steps = Vec::with_capacity(drawn.len());
    for (number, executor) in drawn.into_iter().enumerate() {
        let at = BEFORE + length.mul_f64(random.random::<f64>());
        let change = if number < replaced { Change::Replace(executor) } else { Change::Fail(executor) };
        steps.push(Step { at, change });
    }
    Plan::new(TroubleKind::BusyDay, world, steps, squeezed)
}

fn zone_lost(spec: &TroubleSpec, world: World, random: &mut ChaCha8Rng) -> Plan {
    let size = spec.executors.unwrap_or(0).min(world.executors);
    let first = random.random_range(0..=world.executors - size);
    let zone = first..first + size;
    let steps = vec![
        Step { at: BEFORE, change: Change::LoseZone(zone.clone()) },
        Step { at: BEFORE + spec.back.unwrap_or_default(), change: Change::ReturnZone(zone) },
    ];
    Plan::new(TroubleKind::ZoneLost, world, steps, 1.0)
}

/// The nodes that start again are drawn, and one of them at least is real, as hollow ones are not measured; they do so
/// over the first half of the silence.
fn discovery_silent(spec: &TroubleSpec, world: World, random: &mut ChaCha8Rng) -> Plan {
    let lasts = spec.lasts.unwrap_or_default();
    let share = spec.restarted.unwrap_or(0.0);
    let count = (share * world.nodes as f64).round() as usize;
    let count = if share > 0.0 { count.clamp(1, world.nodes) } else { 0 };
    let mut nodes: Vec<NodeNumber> = (0..world.nodes).collect();
    nodes.shuffle(random);
    if let Some(first_real) = nodes.iter().position(|node| *node < world.real_nodes)
        && first_real >= count
    {
        nodes.swap(0, first_real);
    }
    let mut steps = vec![
        Step { at: BEFORE, change: Change::SilenceDiscovery },
        Step { at: BEFORE + lasts, change: Change::DiscoverySpeaks },
    ];
    for node in nodes.into_iter().take(count) {
        let at = BEFORE + lasts.mul_f64(0.5 * random.random::<f64>());
        steps.push(Step { at, change: Change::RestartNode(node) });
    }
    Plan::new(TroubleKind::DiscoverySilent, world, steps, 1.0)
}
