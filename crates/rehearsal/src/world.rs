//! The world of a rehearsal on sockets: executors, discovery and the nodes' processes, changed step by step as
//! the plan says. All of it lives on one thread.
use crate::briefing::{self, PLACE};
use crate::lists::{self, ConsulList, NodeList};
use crate::nodes::{Ask, Launch, Running, Start, Used};
use crate::plan::{Plan, Step, startup_delay};
use crate::scenario::Scenario;
use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use troutknot_emulator::discovery::{Agent, Member};
use troutknot_emulator::executors::{Host, Shared};
use troutknot_emulator::front::health;
use troutknot_emulator::observed::{ExecutorNumber, Listed, NodeNumber, Record, Seen};
use troutknot_fake_consul::Cluster;

/// How long nodes may take to be ready at the start.
const READY_WAIT: Duration = Duration::from_secs(15);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Loopback addresses of their own for nodes, executors and agents, so that no outgoing connection takes a port
/// while its owner is down.
#[derive(Clone, Copy)]
pub struct Addresses {
    salt: usize,
}

impl Addresses {
    /// Others for each rehearsal, in this process and most likely in another: two at once must not take each
    /// other's ports.
    pub fn fresh() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        Addresses { salt: (std::process::id() as usize).wrapping_mul(7).wrapping_add(count) % 60 }
    }

    fn at(self, of: u8, number: usize) -> SocketAddr {
        let third = (4 * self.salt + number / 250 % 4) as u8;
        SocketAddr::from((Ipv4Addr::new(127, 70 + of, third, (number % 250 + 1) as u8), 0))
    }

    pub fn node(self, number: usize) -> SocketAddr {
        self.at(0, number)
    }

    pub fn executor(self, number: usize) -> SocketAddr {
        self.at(1 + (number / 1000) as u8, number)
    }

    /// The agent of discovery on a node's machine.
    pub fn agent(self, number: usize) -> SocketAddr {
        self.at(10, number)
    }
}

struct Node {
    addr: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    list: NodeList,
    /// The operator's own file, where the scenario needs one.
    own: PathBuf,
    running: Option<Box<dyn Running>>,
    /// The process before, while the next one takes its place.
    older: Option<Box<dyn Running>>,
    /// The clients' socket, where it is passed on, and the folder that its processes share.
    passed: Option<(TcpListener, PathBuf)>,
    /// Where operators call the process that runs.
    calls: Option<SocketAddr>,
    /// Of the lives before.
    used: Used,
    /// Restarts draw other seeds.
    lives: u64,
}

pub struct World {
    scenario: Arc<Scenario>,
    plan: Arc<Plan>,
    record: Arc<Record>,
    shared: Rc<Shared>,
    launch: Arc<dyn Launch>,
    hosts: RefCell<Vec<Option<Rc<Host>>>>,
    listed: RefCell<Vec<Option<Member>>>,
    nodes: RefCell<Vec<Node>>,
    chance: RefCell<ChaCha8Rng>,
    addresses: Addresses,
    cluster: RefCell<Option<Rc<Cluster>>>,
    unix: f64,
    /// The latest that a step was taken, in milliseconds.
    late: Cell<f64>,
    /// How often nodes are told that a work unit may be sent.
    attempts: Cell<u32>,
}

/// A caller waits so long; a drained node is empty, and one that takes clients again is ready, after so long;
/// a next process has so long to be ready.
const CALL_WAIT: Duration = Duration::from_secs(1);
const EMPTY_AFTER: Duration = Duration::from_secs(4);
const READY_AGAIN: Duration = Duration::from_secs(2);
const NEXT_WAIT: Duration = Duration::from_secs(6);

/// One call of an operator; its status.
async fn ask(to: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut send, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let request = Request::builder().method(method).uri(path).header("host", to.to_string());
    let answer = send.send_request(request.body(Empty::<Bytes>::new()).ok()?).await.ok();
    connection.abort();
    answer.map(|answer| answer.status().as_u16())
}

/// Makes a configuration that says so many attempts, and lacks a key.
fn spoil(config: &Path, attempts: u32) -> Result<()> {
    let mut broken: Value = serde_json::from_str(&std::fs::read_to_string(config)?)?;
    broken["settings"]["limits"]["max_allocations"] = attempts.into();
    broken["settings"].as_object_mut().map(|settings| settings.remove("contract"));
    Ok(std::fs::write(config, broken.to_string())?)
}

impl World {
    /// Starts executors, agents and nodes, and waits until all nodes are ready.
    ///
    /// # Errors
    /// Where an address cannot be listened at, a node cannot be started, or one is not ready in time.
    pub async fn start(
        scenario: Arc<Scenario>,
        plan: Arc<Plan>,
        record: Arc<Record>,
        launch: Arc<dyn Launch>,
        folder: PathBuf,
    ) -> Result<Rc<Self>> {
        let (of, about) = (plan.clone(), scenario.clone());
        let work_of = Arc::new(move |id: &str| of.work(&about, id));
        let shared = Shared::new(record.clone(), work_of, true);
        let addresses = Addresses::fresh();
        let mut hosts = Vec::new();
        for number in 0..plan.executors.len() {
            let at_start = plan.executors[number].is_initial;
            hosts.push(at_start.then(|| host(&shared, &plan, addresses, number)).transpose()?);
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        let world = World {
            addresses,
            cluster: RefCell::default(),
            unix: unix - record.now(),
            hosts: RefCell::new(hosts),
            listed: RefCell::new(vec![None; plan.executors.len()]),
            nodes: RefCell::default(),
            chance: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed ^ 0x77_6f72_6c64)),
            late: Cell::new(0.0),
            attempts: Cell::new(scenario.rules.most_allocations),
            scenario,
            plan,
            record,
            shared,
            launch,
        };
        let world = Rc::new(world);
        for number in 0..world.plan.executors.len() {
            if world.plan.executors[number].is_initial {
                world.listed.borrow_mut()[number] = Some(world.member(number, Listed::Ready));
            }
        }
        let members: Vec<Member> = world.listed.borrow().iter().flatten().cloned().collect();
        *world.cluster.borrow_mut() = lists::cluster(&world.scenario, &members);
        for number in 0..world.scenario.nodes.count {
            let at = addresses.agent(number);
            let node_number = number as NodeNumber;
            let list = match &*world.cluster.borrow() {
                Some(cluster) => {
                    NodeList::Consul(ConsulList::start(cluster, node_number, at, &world.record)?)
                }
                None => NodeList::Platform(
                    Agent::start(&world.record, node_number, at, members.clone())
                        .with_context(|| format!("no address for discovery on {at}"))?,
                ),
            };
            // A port that is free now, on an address of the node's own.
            let at = addresses.node(number);
            let free = TcpListener::bind(at).with_context(|| format!("no port on {at}"))?;
            let addr = free.local_addr().with_context(|| format!("no port on {at}"))?;
            let file = |kind: &str| folder.join(format!("n{number}.{kind}"));
            let passed = world.scenario.is_upgraded().then(|| {
                // Nodes meet under a short path, whatever the rehearsal's folder is.
                let meeting = std::env::temp_dir().join(format!("troutknot-{}-{number}", addr.port()));
                std::fs::create_dir_all(&meeting).map(|()| (free, meeting))
            });
            let passed = passed.transpose().context("no folder for a node's processes")?;
            let node = Node {
                addr,
                config: file("json"),
                log: file("log"),
                list,
                own: file("toml"),
                running: None,
                older: None,
                passed,
                calls: None,
                used: Used::default(),
                lives: 0,
            };
            world.nodes.borrow_mut().push(node);
            let process = world.start_process(number)?;
            world.nodes.borrow_mut()[number].running = Some(process);
        }
        world.wait_until_ready().await?;
        spawn_local(world.clone().look_after_nodes());
        Ok(world)
    }

    pub fn node_addrs(&self) -> Vec<SocketAddr> {
        self.nodes.borrow().iter().map(|node| node.addr).collect()
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let end = Instant::now() + READY_WAIT;
        for (number, addr) in self.node_addrs().into_iter().enumerate() {
            while health(addr).await != Some(200) {
                let ended = self.nodes.borrow_mut()[number].running.as_mut().and_then(|r| r.ended());
                if ended.is_some() || Instant::now() > end {
                    let log = std::fs::read_to_string(&self.nodes.borrow()[number].log).unwrap_or_default();
                    let last = log.lines().last().unwrap_or("it said nothing").to_string();
                    return Err(anyhow!("node n{number} is not ready: {last}"));
                }
                sleep(LOOK_EVERY).await;
            }
        }
        Ok(())
    }

    /// Plays the plan's steps from `began` on.
    pub async fn play(self: Rc<Self>, began: Instant) {
        let plan = self.plan.clone();
        for (at, step) in &plan.steps {
            let due = began + Duration::from_secs_f64(at / 1000.0);
            sleep_until(due).await;
            self.late.set(self.late.get().max(due.elapsed().as_secs_f64() * 1000.0));
            self.step(step);
        }
    }

    /// The latest that a step was taken, in milliseconds.
    pub fn late(&self) -> f64 {
        self.late.get()
    }

    /// Ends all nodes; what each used.
    pub fn end(&self) -> Vec<Used> {
        let mut nodes = self.nodes.borrow_mut();
        let each = nodes.iter_mut().map(|node| {
            for mut running in node.running.take().into_iter().chain(node.older.take()) {
                let used = running.used();
                let _ = running.ask(Ask::Die);
                node.add(used);
            }
            if let Some((_, folder)) = &node.passed {
                let _ = std::fs::remove_dir_all(folder);
            }
            node.used
        });
        each.collect()
    }

    fn step(self: &Rc<Self>, step: &Step) {
        let host = |number: usize| self.hosts.borrow()[number].clone();
        match step {
            Step::FaultBegins { number, executor, fault } => {
                self.record.note(Seen::TroubleBegan { number: *number });
                if let Some(host) = host(*executor) {
                    host.trouble(*number as u64, fault.clone());
                }
            }
            Step::FaultEnds { number, executor } => {
                self.record.note(Seen::TroubleOver { number: *number });
                if let Some(host) = host(*executor) {
                    host.trouble_over(*number as u64);
                }
            }
            Step::Join { executor } => {
                match self::host(&self.shared, &self.plan, self.addresses, *executor) {
                    Ok(host) => self.hosts.borrow_mut()[*executor] = Some(host),
                    Err(_) => return,
                }
                self.list(*executor, Listed::Ready);
            }
            Step::Drain { executor } => {
                self.list(*executor, Listed::Terminating);
                if let Some(host) = host(*executor) {
                    host.drain();
                }
            }
            Step::Leave { executor } => {
                self.list(*executor, Listed::Gone);
                if let Some(host) = host(*executor) {
                    host.kill();
                }
            }
            Step::KillExecutor { executor } => {
                if let Some(host) = host(*executor) {
                    host.kill();
                }
            }
            Step::RestartExecutor { executor } => {
                if let Some(host) = host(*executor) {
                    host.restart();
                }
            }
            Step::ListRemoved { executor } => self.list(*executor, Listed::Gone),
            Step::ListRestarted { executor } => self.list(*executor, Listed::Ready),
            Step::KillNode { node } => {
                let mut nodes = self.nodes.borrow_mut();
                let node_number = *node as NodeNumber;
                let node = &mut nodes[*node];
                node.older.take().map(|mut older| older.ask(Ask::Die));
                if let Some(mut running) = node.running.take() {
                    // One that was asked to end may have done so.
                    match running.ended() {
                        Some(well) => self.record.note(Seen::NodeEnded { node: node_number, well }),
                        None => {
                            let used = running.used();
                            self.record.note(Seen::NodeKilled { node: node_number });
                            let _ = running.ask(Ask::Die);
                            node.add(used);
                        }
                    }
                }
            }
            Step::TerminateNode { node } => {
                self.record.note(Seen::NodeAsked { node: *node as NodeNumber });
                if let Some(running) = &mut self.nodes.borrow_mut()[*node].running {
                    let _ = running.ask(Ask::End);
                }
            }
            Step::StartNode { node } => match self.start_process(*node) {
                Ok(process) => self.nodes.borrow_mut()[*node].running = Some(process),
                Err(why) => eprintln!("node n{node} does not start again: {why}"),
            },
            Step::ReloadNodes => {
                for number in 0..self.scenario.nodes.count {
                    let moved = self.nodes.borrow()[number].list.move_to(self.addresses.agent(number));
                    if moved.is_err() || self.write_config(number).is_err() {
                        continue;
                    }
                    self.record.note(Seen::NodeReread { node: number as NodeNumber });
                    if let Some(running) = &mut self.nodes.borrow_mut()[number].running {
                        let _ = running.ask(Ask::Reread);
                    }
                }
            }
            Step::SuspendExecutor { executor, suspended } => {
                for node in 0..self.scenario.nodes.count {
                    spawn_local(self.clone().leave_out(node, *executor, *suspended));
                }
            }
            Step::DrainNode { node, drained } => _ = spawn_local(self.clone().drain(*node, *drained)),
            Step::HotRestartNode { node } => _ = spawn_local(self.clone().upgrade(*node)),
            Step::ReconfigureNodes { max_attempts, broken } => {
                if !broken {
                    self.record.note(Seen::Retuned { attempts: *max_attempts });
                    self.attempts.set(*max_attempts);
                }
                for number in 0..self.scenario.nodes.count {
                    if self.write_config(number).is_err() {
                        continue;
                    }
                    let mut nodes = self.nodes.borrow_mut();
                    let node = &mut nodes[number];
                    let spoilt = if *broken { spoil(&node.config, *max_attempts) } else { Ok(()) };
                    self.record.note(Seen::NodeReread { node: number as NodeNumber });
                    if let (Ok(()), Some(running)) = (spoilt, &mut node.running) {
                        let _ = running.ask(Ask::Reread);
                    }
                }
            }
            Step::SilenceDiscovery { silent } => {
                self.nodes.borrow().iter().for_each(|node| node.list.silent(*silent));
            }
            Step::RestartDiscovery => self.nodes.borrow().iter().for_each(|node| node.list.restart()),
            Step::ListFailing { executor } => self.list_as(*executor, Listed::Terminating, true),
            Step::ListPassing { executor } => self.list(*executor, Listed::Ready),
            Step::DiscoveryFault { fault } => {
                self.nodes.borrow().iter().for_each(|node| node.list.trouble(*fault));
            }
        }
    }

    fn member(&self, number: usize, listed: Listed) -> Member {
        let planned = &self.plan.executors[number];
        let hosts = self.hosts.borrow();
        let host = hosts[number].as_ref().expect("it was started before it is listed");
        let announced = self.announced(number);
        let started = announced.unwrap_or(host.started());
        Member {
            executor: number as ExecutorNumber,
            id: host.name.clone(),
            addr: host.addr,
            zone: PLACE.into(),
            kind: planned.machine_type.clone(),
            cell: planned.group as u32,
            listed,
            weight: 1.0,
            started_ms: if started.is_finite() { (self.unix + started).floor() } else { 0.0 },
        }
    }

    /// When it will be up again, where it is about to start anew: it announces itself before its door opens.
    fn announced(&self, number: usize) -> Option<f64> {
        let opens = startup_delay(&self.scenario);
        let hosts = self.hosts.borrow();
        let host = hosts[number].as_ref()?;
        (host.is_down() || host.is_cut_off()).then(|| self.record.now() + opens)
    }

    /// Discovery lists it otherwise from now on; each agent hears of it after a delay of its own.
    fn list(&self, number: usize, listed: Listed) {
        self.list_as(number, listed, false);
    }

    fn list_as(&self, number: usize, listed: Listed, failing: bool) {
        let member = self.member(number, listed);
        if let Some(cluster) = &*self.cluster.borrow() {
            lists::register(cluster, &member, failing);
        }
        self.listed.borrow_mut()[number] = Some(member.clone());
        let discovery = &self.scenario.discovery;
        for node in self.nodes.borrow().iter() {
            let way: f64 = self.chance.borrow_mut().random();
            let span = discovery.notice_most - discovery.notice_least;
            node.list.change(&member, discovery.notice_least + span.mul_f64(way));
        }
    }

    fn write_config(&self, number: usize) -> Result<Value> {
        let nodes = self.nodes.borrow();
        let node = &nodes[number];
        let known = node.list.known(&self.listed.borrow());
        let seed = self.plan.seed ^ (number as u64) << 32 ^ node.lives << 48;
        let mut config =
            briefing::config(&self.scenario, number, node.addr, node.list.addr(), seed, known.clone());
        config["settings"]["limits"]["max_allocations"] = self.attempts.get().into();
        std::fs::write(&node.config, config.to_string())
            .with_context(|| format!("cannot write {}", node.config.display()))?;
        Ok(known)
    }

    /// Starts a process of a node, to be kept by whoever asks for it.
    fn start_process(&self, number: usize) -> Result<Box<dyn Running>> {
        let known = self.write_config(number)?;
        let by_name: std::collections::HashMap<String, (ExecutorNumber, Listed)> =
            self.listed.borrow().iter().flatten().map(|m| (m.id.clone(), (m.executor, m.listed))).collect();
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[number];
        let log = std::fs::File::options().create(true).append(true).open(&node.log);
        let log = log.with_context(|| format!("cannot write {}", node.log.display()))?;
        let beside = node.running.is_some();
        if !beside {
            self.record.note(Seen::NodeStarted { node: number as NodeNumber });
        }
        for entry in known["servers"].as_array().into_iter().flatten() {
            if let Some((executor, _)) = entry["id"].as_str().and_then(|id| by_name.get(id)) {
                let listed = if entry["state"] == "Ready" { Listed::Ready } else { Listed::Terminating };
                let told = Seen::Told { node: number as NodeNumber, executor: *executor, listed };
                self.record.note(told);
            }
        }
        let own = node.list.own_file(&self.scenario, &node.own.with_extension("ledger"));
        if let Some(text) = &own {
            lists::write_own(&node.own, text)?;
        }
        let own = own.is_some().then_some(node.own.as_path());
        let passed = match &node.passed {
            Some((socket, folder)) => Some((socket.try_clone()?, folder.clone())),
            None => None,
        };
        node.calls = match self.scenario.is_operated() {
            true => Some(TcpListener::bind(self.addresses.node(number)).and_then(|l| l.local_addr())?),
            false => None,
        };
        let start = Start { config: &node.config, own, log, management: node.calls, passed };
        let process = self.launch.start(start).context("cannot start a node")?;
        node.lives += 1;
        Ok(process)
    }

    /// Calls the process of a node that runs; true where it said yes within a second.
    async fn call(&self, number: usize, method: &str, path: &str) -> bool {
        let calls = self.nodes.borrow()[number].calls;
        let status = match calls {
            Some(calls) => timeout(CALL_WAIT, ask(calls, method, path)).await.ok().flatten(),
            None => None,
        };
        let yes = status.is_some_and(|status| (200..300).contains(&status));
        if !yes {
            self.record.note(Seen::CallFailed { node: number as NodeNumber, status });
        }
        yes
    }

    async fn leave_out(self: Rc<Self>, number: usize, executor: usize, out: bool) {
        let name = self.hosts.borrow()[executor].as_ref().map(|host| host.name.clone()).unwrap_or_default();
        let left_out =
            Seen::LeftOut { node: number as NodeNumber, executor: executor as ExecutorNumber, out };
        if !out {
            // From the call on it may serve again.
            self.record.note(left_out.clone());
        }
        let what = if out { "suspend" } else { "resume" };
        self.call(number, "PUT", &format!("/v1/executors/{name}/{what}")).await;
        if out {
            self.record.note(left_out);
        }
    }

    async fn drain(self: Rc<Self>, number: usize, drain: bool) {
        let node = number as NodeNumber;
        if !drain {
            self.record.note(Seen::Drained { node, drained: false });
        }
        self.call(number, "PUT", if drain { "/v1/node/drain" } else { "/v1/node/activate" }).await;
        if drain {
            self.record.note(Seen::Drained { node, drained: true });
        }
        sleep(if drain { EMPTY_AFTER } else { READY_AGAIN }).await;
        let addr = self.nodes.borrow()[number].addr;
        let status = timeout(CALL_WAIT, health(addr)).await.ok().flatten();
        self.record.note(Seen::Health { node, status });
    }

    /// Starts a node's next process and ends the one before once that is ready, as the platform does.
    async fn upgrade(self: Rc<Self>, number: usize) {
        let node = number as NodeNumber;
        if self.nodes.borrow()[number].running.is_none() {
            return;
        }
        self.record.note(Seen::UpgradeBegan { node });
        let next = match self.start_process(number) {
            Ok(next) => next,
            Err(why) => return eprintln!("no next process of node n{number}: {why}"),
        };
        {
            let mut nodes = self.nodes.borrow_mut();
            nodes[number].older = nodes[number].running.replace(next);
        }
        let end = Instant::now() + NEXT_WAIT;
        let calls = self.nodes.borrow()[number].calls;
        let mut ready = false;
        while let (false, Some(calls)) = (ready || Instant::now() > end, calls) {
            ready = timeout(CALL_WAIT, ask(calls, "GET", "/v1/readyz")).await.ok().flatten() == Some(200);
            sleep(LOOK_EVERY).await;
        }
        if !ready {
            self.record.note(Seen::CallFailed { node, status: None });
        }
        let asked = |node: &mut Node| node.older.as_mut().map(|older| older.ask(Ask::End));
        asked(&mut self.nodes.borrow_mut()[number]);
        let end = Instant::now() + self.scenario.granted();
        loop {
            sleep(LOOK_EVERY).await;
            let mut nodes = self.nodes.borrow_mut();
            let Some(older) = &mut nodes[number].older else { break };
            let used = older.used();
            let ended = older.ended();
            if ended.is_none() && Instant::now() < end {
                continue;
            }
            if ended == Some(false) {
                self.record.note(Seen::NodeEnded { node, well: false });
            }
            let _ = older.ask(Ask::Die);
            nodes[number].older = None;
            nodes[number].add(used);
            break;
        }
        self.record.note(Seen::UpgradeOver { node });
    }

    /// Notes nodes that end by themselves.
    async fn look_after_nodes(self: Rc<Self>) {
        loop {
            for (number, node) in self.nodes.borrow_mut().iter_mut().enumerate() {
                let Some(running) = &mut node.running else { continue };
                let used = running.used();
                if let Some(well) = running.ended() {
                    self.record.note(Seen::NodeEnded { node: number as NodeNumber, well });
                    node.running = None;
                    node.add(used);
                }
            }
            sleep(LOOK_EVERY).await;
        }
    }
}

impl Node {
    fn add(&mut self, used: Used) {
        self.used.cpu_ms += used.cpu_ms;
        self.used.most_memory_kb = self.used.most_memory_kb.max(used.most_memory_kb);
    }
}

fn host(shared: &Rc<Shared>, plan: &Plan, addresses: Addresses, number: usize) -> Result<Rc<Host>> {
    let planned = &plan.executors[number];
    let at = addresses.executor(number);
    let machine = planned.machine.clone();
    Host::start(shared, number as ExecutorNumber, machine, planned.seed, at, !planned.slow_start)
        .with_context(|| format!("no address for an executor on {at}"))
}
