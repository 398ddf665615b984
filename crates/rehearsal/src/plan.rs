//! A day drawn ahead from its scenario and seed: every request, every executor, every step. The same seed gives
//! the same plan, which its hash shows.
use crate::scenario::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use std::time::Duration;
use troutknot_emulator as emulator;
use troutknot_emulator::{CancelPower, Cold, Fall, Machine, Millis, QueueOrder, Ramp, Readings, Trouble};

/// One request of a client, with all its retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Milliseconds into the day.
    pub at: Millis,
    pub project_type: usize,
    pub customer: usize,
    /// On one core of speed 1.
    pub work: Millis,
    /// The client leaves so long after it sent it, if it has no answer then.
    pub leaves_after: Option<Millis>,
}

/// One executor over the day.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedExecutor {
    pub group: usize,
    pub machine: Machine,
    pub seed: u64,
    pub kind: String,
    /// There from the start on; else a successor that joins by a step.
    pub at_start: bool,
    pub cold: bool,
}

/// What is done to the world at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    TroubleBegins {
        number: usize,
        executor: usize,
        trouble: Trouble,
    },
    TroubleEnds {
        number: usize,
        executor: usize,
    },
    /// An executor starts, cold, and is listed.
    Join {
        executor: usize,
    },
    /// It is listed as draining.
    Drain {
        executor: usize,
    },
    /// It ends and is listed as gone.
    Leave {
        executor: usize,
    },
    KillExecutor {
        executor: usize,
    },
    RestartExecutor {
        executor: usize,
    },
    /// It is listed as gone, as nobody hears of it any more; and as ready again, newly started.
    ListGone {
        executor: usize,
    },
    ListBack {
        executor: usize,
    },
    KillNode {
        node: usize,
    },
    EndNode {
        node: usize,
    },
    StartNode {
        node: usize,
    },
    RereadNodes,
    SilenceDiscovery {
        on: bool,
    },
    RestartDiscovery,
    /// It is listed as failing, or as well again; nothing happens to itself.
    ListFailing {
        executor: usize,
    },
    ListWell {
        executor: usize,
    },
    TroubleDiscovery {
        how: Option<How>,
    },
    /// Operators call all nodes: it is out by hand, or back.
    LeaveOut {
        executor: usize,
        out: bool,
    },
    /// Operators empty a node, or have it take clients again.
    DrainNode {
        node: usize,
        drain: bool,
    },
    UpgradeNode {
        node: usize,
    },
    RetuneNodes {
        attempts: u32,
        broken: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub requests: Vec<Request>,
    pub executors: Vec<PlannedExecutor>,
    /// In the order of time, in milliseconds into the day.
    pub steps: Vec<(Millis, Step)>,
    pub length: Millis,
}

fn picked(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    for (k, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return k;
        }
    }
    shares.iter().rposition(|share| *share > 0.0).unwrap_or(0)
}

fn chosen(rng: &mut ChaCha8Rng, mut of: Vec<usize>, count: usize) -> Vec<usize> {
    for k in 0..count.min(of.len()) {
        let other = rng.random_range(k..of.len());
        of.swap(k, other);
    }
    of.truncate(count);
    of
}

fn machine(group: &Executors, rules: &Rules) -> Machine {
    Machine {
        slots: group.slots,
        cores: group.cores.unwrap_or(group.slots),
        speed: group.speed,
        memory: group.memory.unwrap_or(f64::INFINITY),
        waiting_room: group.waiting_room,
        order: match group.order {
            Order::InOrder => QueueOrder::InOrder,
            Order::Backfill => QueueOrder::Backfill,
            Order::Priority => QueueOrder::Priority,
        },
        cold: Some(Cold {
            share: rules.cold_share,
            ramp: Ramp::Time(millis(rules.ramp)),
            fall: Some(Fall { multiple: rules.fall_multiple, window: millis(rules.fall_window) }),
        }),
        cancels: match group.cancels {
            Cancels::Nothing => CancelPower::Nothing,
            Cancels::Waiting => CancelPower::Waiting,
            Cancels::Running => CancelPower::Running,
        },
        checkpoint_every: group.checkpoint_every.map(millis),
        drain_returns: group.drain_returns,
        probe_work: millis(group.probe_work),
        handshake_work: millis(group.handshake_work),
        connections: group.connections,
        readings: Readings {
            refresh: millis(group.readings.refresh),
            delay: millis(group.readings.delay),
            jitter: millis(group.readings.jitter),
            noise: group.readings.noise,
        },
        progress_every: group.progress_every.map(millis),
    }
}

impl TroubleSpec {
    fn trouble(&self, scenario: &Scenario) -> Trouble {
        let named = |name: &Option<String>| {
            let is = |t: &toml::Spanned<ProjectType>| Some(&t.get_ref().name) == name.as_ref();
            scenario.project_types.iter().position(is).unwrap_or(0)
        };
        let (factor, of_work) = (self.factor.unwrap_or(1.0), self.of_work.unwrap_or(1.0));
        match self.kind {
            TroubleKind::Slow => Trouble::Slow { factor },
            TroubleKind::Pause => Trouble::Pause,
            TroubleKind::Silence => Trouble::Silence { cold: self.cold.unwrap_or(true) },
            TroubleKind::Neighbour => Trouble::Neighbour {
                part: self.part.unwrap_or(0.5),
                on: self.on.map_or(1000.0, millis),
                off: self.off.map_or(1000.0, millis),
            },
            TroubleKind::Swallow => {
                Trouble::Swallow { project_type: named(&self.project_type), share: of_work }
            }
            TroubleKind::Errors => Trouble::Errors { share: of_work },
            TroubleKind::WrongReadings => Trouble::WrongReadings { factor },
            TroubleKind::LateReadings => Trouble::LateReadings { by: self.by.map_or(0.0, millis) },
            TroubleKind::Resets => Trouble::Resets { share: of_work },
            TroubleKind::HeavyTail => Trouble::HeavyTail {
                project_type: named(&self.project_type),
                share: of_work,
                alpha: self.alpha.unwrap_or(1.5),
            },
        }
    }
}

impl Plan {
    /// Draws the day. `at_most` hard limits after the last request everything is over.
    pub fn draw(scenario: &Scenario, seed: u64) -> Self {
        let of = |stream: u64| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(stream);
            rng
        };
        let mut executors = Vec::new();
        let mut rng = of(1);
        for (g, group) in scenario.executors.iter().enumerate() {
            let group = group.get_ref();
            for _ in 0..group.count {
                executors.push(PlannedExecutor {
                    group: g,
                    machine: machine(group, &scenario.rules),
                    seed: rng.random(),
                    kind: group.kind.clone(),
                    at_start: true,
                    cold: group.cold,
                });
            }
        }
        let opens = opens_after(scenario);
        let mut steps = Vec::new();
        let mut rng = of(2);
        let in_group = |executors: &[PlannedExecutor], group: &Option<String>| -> Vec<usize> {
            let is = |e: &PlannedExecutor| {
                group.as_ref().is_none_or(|name| scenario.executors[e.group].get_ref().name == *name)
            };
            (0..executors.len()).filter(|&k| executors[k].at_start && is(&executors[k])).collect()
        };
        for (number, spec) in scenario.troubles.iter().enumerate() {
            let spec = spec.get_ref();
            let of = in_group(&executors, &spec.group);
            let count = ((of.len() as f64 * spec.share).round() as usize).max(1);
            for executor in chosen(&mut rng, of, count) {
                let trouble = spec.trouble(scenario);
                let (from, to) = (millis(spec.from), millis(spec.to));
                // It announces itself before its door opens.
                let announced = (to - opens).max(from);
                let noticed = from + millis(scenario.discovery.death_noticed);
                if trouble == (Trouble::Silence { cold: true }) && noticed < announced {
                    steps.push((noticed, Step::ListGone { executor }));
                }
                if trouble == (Trouble::Silence { cold: true }) {
                    steps.push((announced, Step::ListBack { executor }));
                }
                steps.push((from, Step::TroubleBegins { number, executor, trouble }));
                steps.push((to, Step::TroubleEnds { number, executor }));
            }
        }
        let grace = millis(scenario.rules.drain_grace) + millis(scenario.rules.told_at_latest);
        for event in &scenario.events {
            let event = event.get_ref();
            let (at, node) = (millis(event.at), event.node.unwrap_or(0));
            let back = event.back.map(millis);
            match event.what {
                EventKind::KillNode => {
                    steps.push((at, Step::KillNode { node }));
                    steps.push((at + back.unwrap_or(0.0), Step::StartNode { node }));
                }
                EventKind::KillNodes => {
                    let every = event.every.map_or(1000.0, millis);
                    let (end, back) = (at + event.lasts.map_or(0.0, millis), back.unwrap_or(0.0));
                    let mut up_at = vec![at; scenario.nodes.count];
                    let mut wait = || -every * (1.0 - rng.random::<f64>()).ln();
                    let mut now = at + wait();
                    while now < end {
                        let first = up_at.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1));
                        let node = first.map_or(0, |(node, _)| node);
                        // One that has just come back is given the time to listen.
                        now = now.max(up_at[node]);
                        steps.push((now, Step::KillNode { node }));
                        steps.push((now + back, Step::StartNode { node }));
                        up_at[node] = now + back + 150.0;
                        now += wait();
                    }
                }
                EventKind::RestartNode => {
                    let granted = millis(scenario.granted());
                    steps.push((at, Step::EndNode { node }));
                    steps.push((at + granted, Step::KillNode { node }));
                    steps.push((at + granted + back.unwrap_or(0.0), Step::StartNode { node }));
                }
                EventKind::RereadNodes => steps.push((at, Step::RereadNodes)),
                EventKind::RestartDiscovery => steps.push((at, Step::RestartDiscovery)),
                EventKind::SilenceDiscovery => {
                    steps.push((at, Step::SilenceDiscovery { on: true }));
                    let end = at + event.lasts.map_or(0.0, millis);
                    steps.push((end, Step::SilenceDiscovery { on: false }));
                }
                EventKind::FlapExecutors => {
                    let of = in_group(&executors, &event.group);
                    let (every, lasts) = (event.every.map_or(1.0, millis), event.lasts.map_or(0.0, millis));
                    for executor in chosen(&mut rng, of, event.count.unwrap_or(1)) {
                        // Each at a beat of its own, so that they do not flap in step.
                        let mut now = at + rng.random::<f64>() * every;
                        while now + every <= at + lasts {
                            steps.push((now, Step::ListFailing { executor }));
                            steps.push((now + every / 2.0, Step::ListWell { executor }));
                            now += every;
                        }
                    }
                }
                EventKind::SuspendExecutors => {
                    let of = in_group(&executors, &event.group);
                    let end = at + event.lasts.map_or(0.0, millis);
                    for executor in chosen(&mut rng, of, event.count.unwrap_or(1)) {
                        steps.push((at, Step::LeaveOut { executor, out: true }));
                        steps.push((end, Step::LeaveOut { executor, out: false }));
                    }
                }
                EventKind::DrainNode => {
                    let end = at + event.lasts.map_or(0.0, millis);
                    steps.push((at, Step::DrainNode { node, drain: true }));
                    steps.push((end, Step::DrainNode { node, drain: false }));
                }
                EventKind::UpgradeNode => steps.push((at, Step::UpgradeNode { node })),
                EventKind::RetuneNodes => {
                    let (attempts, broken) = (event.attempts.unwrap_or(1), event.broken.unwrap_or(false));
                    steps.push((at, Step::RetuneNodes { attempts, broken }));
                }
                EventKind::TroubleDiscovery => {
                    let end = at + event.lasts.map_or(0.0, millis);
                    steps.push((at, Step::TroubleDiscovery { how: event.how }));
                    steps.push((end, Step::TroubleDiscovery { how: None }));
                }
                EventKind::KillExecutor => {
                    let of = in_group(&executors, &event.group);
                    for executor in chosen(&mut rng, of, event.count.unwrap_or(1)) {
                        steps.push((at, Step::KillExecutor { executor }));
                        let noticed = at + millis(scenario.discovery.death_noticed);
                        let back = back.map(|back| at + back);
                        if back.is_none_or(|back| noticed < back) {
                            steps.push((noticed, Step::ListGone { executor }));
                        }
                        if let Some(back) = back {
                            steps.push((back, Step::ListBack { executor }));
                            steps.push((back + opens, Step::RestartExecutor { executor }));
                        }
                    }
                }
                EventKind::Deploy => {
                    let of = in_group(&executors, &event.group);
                    let count = event.count.unwrap_or(of.len());
                    for (k, executor) in chosen(&mut rng, of, count).into_iter().enumerate() {
                        let at = at + k as f64 * event.every.map_or(0.0, millis);
                        let successor = executors.len();
                        let old = executors[executor].clone();
                        executors.push(PlannedExecutor {
                            seed: rng.random(),
                            at_start: false,
                            cold: true,
                            ..old
                        });
                        steps.push((at, Step::Join { executor: successor }));
                        steps.push((at, Step::Drain { executor }));
                        steps.push((at + grace, Step::Leave { executor }));
                    }
                }
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let length = millis(scenario.length);
        Plan { seed, requests: requests(scenario, of(3)), executors, steps, length }
    }

    /// Names the plan by all that is in it.
    pub fn hash(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for request in &self.requests {
            for figure in [request.at, request.work, request.leaves_after.unwrap_or(-1.0)] {
                hasher.update(&figure.to_bits().to_le_bytes());
            }
            hasher.update(&[request.project_type as u8, request.customer as u8]);
        }
        hasher.update(format!("{:?}{:?}", self.executors, self.steps).as_bytes());
        hasher.finalize().to_hex()[..16].to_string()
    }

    /// The id that a try of a request goes by on the sockets.
    pub fn id(&self, request: usize, attempt: u32) -> String {
        id(self.seed, request, attempt)
    }
}

/// 16 hex digits, the first ten of them a token of the seed and the rest what is tried.
pub fn id(seed: u64, request: usize, attempt: u32) -> String {
    format!("{:06x}{:08x}{:02x}", (seed ^ (seed >> 24)) & 0xff_ffff, request, attempt.min(255))
}

/// What an id says; none where it is not of this seed.
pub fn of_id(seed: u64, id: &str) -> Option<(usize, u32)> {
    if id.len() != 16 || !id.is_ascii() || id[..6] != self::id(seed, 0, 0)[..6] {
        return None;
    }
    Some((usize::from_str_radix(&id[6..14], 16).ok()?, u32::from_str_radix(&id[14..], 16).ok()?))
}

/// How long an executor that starts anew is listed before its door opens, in milliseconds: all nodes have heard
/// of it by then.
pub fn opens_after(scenario: &Scenario) -> Millis {
    millis(scenario.discovery.notice_most) + 100.0
}

fn requests(scenario: &Scenario, mut rng: ChaCha8Rng) -> Vec<Request> {
    let types: Vec<&ProjectType> = scenario.project_types.iter().map(|t| t.get_ref()).collect();
    let shares: Vec<f64> = types.iter().map(|t| t.share).collect();
    let customers: Vec<f64> = scenario.customers.iter().map(|c| c.get_ref().share).collect();
    let (rate, length) = (scenario.rate(), millis(scenario.length));
    let most = scenario.traffic.get_ref().shape.iter().map(|p| p.times).fold(1.0, f64::max);
    let (mut at, mut requests) = (0.0, Vec::new());
    if rate <= 0.0 {
        return requests;
    }
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at += gap / (rate * most);
        if at >= length {
            return requests;
        }
        // Thinning: each is kept with the chance that the shape gives it.
        if rng.random::<f64>() * most >= scenario.times(Duration::from_secs_f64(at / 1000.0)) {
            continue;
        }
        let project_type = picked(&mut rng, &shares);
        let t = types[project_type];
        let drawn: f64 = StandardNormal.sample(&mut rng);
        let work = millis(t.work) * (t.spread * drawn - t.spread * t.spread / 2.0).exp();
        let leaves = rng.random::<f64>() < scenario.clients.leave;
        let within = rng.random::<f64>() * millis(t.promised_turnaround);
        requests.push(Request {
            at,
            project_type,
            customer: if customers.is_empty() { 0 } else { picked(&mut rng, &customers) },
            work,
            leaves_after: leaves.then_some(within),
        });
    }
}

impl Plan {
    /// What an executor knows of an id that a client sent.
    pub fn work(&self, scenario: &Scenario, id: &str) -> Option<emulator::executors::Work> {
        let (number, _) = of_id(self.seed, id)?;
        let request = self.requests.get(number)?;
        let kind = scenario.project_types.get(request.project_type)?.get_ref();
        Some(emulator::executors::Work {
            request_id: number as u64,
            project_type: request.project_type,
            slots: kind.slots,
            memory: kind.memory,
            work: request.work,
            priority: kind.credit,
        })
    }
}
