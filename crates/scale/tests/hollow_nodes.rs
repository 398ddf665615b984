//! Hollow nodes against the emulator's executors and discovery, on real sockets.
use serde_json::{Map, Value, json};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use troutknot_emulator::Machine;
use troutknot_emulator::discovery::{Agent, Member};
use troutknot_emulator::executors::{FleetContext, Host, RequestSpec};
use troutknot_emulator::observations::{ListedState, Observation, ObservationLog};
use troutknot_scale::file::MeasuredRates;
use troutknot_scale::hollow_nodes::{Counts, FIRST_SOURCE, HollowNodes, Settings, StartError};
use troutknot_scale::request_id::RequestId;
use troutknot_scale::row::NodeKind;

const ANYWHERE: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const PATIENCE: Duration = Duration::from_secs(10);
const EXECUTORS: u32 = 6;

/// Executors and discovery on a thread of their own, until it is dropped.
struct World {
    discovery: SocketAddr,
    record: Arc<ObservationLog>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl World {
    fn start() -> Self {
        Self::start_with(None)
    }

    /// With one executor alone, which listens elsewhere.
    fn start_with(elsewhere: Option<SocketAddr>) -> Self {
        let record = Arc::new(ObservationLog::default());
        let (told, ready) = mpsc::channel();
        let (end, ended) = oneshot::channel();
        let seen = record.clone();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let _hosts = serve(&seen, &told, elsewhere);
                let _ = ended.await;
            });
        });
        let discovery = ready.recv().unwrap();
        World { discovery, record, end: Some(end), thread: Some(thread) }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.end.take().map(|end| end.send(()));
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

type Running = (Vec<std::rc::Rc<Host>>, std::rc::Rc<Agent>);

fn serve(
    record: &Arc<ObservationLog>,
    told: &mpsc::Sender<SocketAddr>,
    elsewhere: Option<SocketAddr>,
) -> Running {
    let work_of = |id: &str| {
        let hollow = RequestSpec {
            request_id: 1,
            request_class: 0,
            slots: 1.0,
            memory: 0.0,
            work: 1.0,
            priority: 0.0,
        };
        RequestId::parse(id).map(|_| hollow)
    };
    let shared = FleetContext::new(record.clone(), Arc::new(work_of), true);
    let machine = Machine { slots: 4.0, cores: 4.0, ..Machine::default() };
    let start = |number| Host::start(&shared, number, machine.clone(), 1, ANYWHERE.into(), true).unwrap();
    let count = if elsewhere.is_some() { 1 } else { EXECUTORS };
    let hosts: Vec<_> = (0..count).map(start).collect();
    let member = |host: &std::rc::Rc<Host>| Member {
        executor: host.number,
        id: host.name.clone(),
        addr: elsewhere.unwrap_or(host.addr),
        zone: "here".into(),
        machine_type: "plain".into(),
        deduplication_group: 0,
        state: ListedState::Ready,
        weight: 4.0,
        started_at: 0.0,
    };
    let agent = Agent::start(record, 0, ANYWHERE.into(), hosts.iter().map(member).collect()).unwrap();
    told.send(agent.addr()).unwrap();
    (hosts, agent)
}

fn node_settings() -> Map<String, Value> {
    let settings = json!({
        "balancers": 4, "me": 0, "zone": 0, "failure_domains": ["here"], "kinds": ["plain"],
        "registry_mode": "subscribe",
        "limits": {"max_allocations": 3, "probes": true, "cancel": true, "connect_timeout": 250_000,
            "conn_idle": 5_000_000, "retry_after": true, "max_retry_after": 2_000_000},
        "contract": {"drain_grace": 500_000, "cold_share": 0.25, "ramp_time": 2_000_000, "fall": 1_500_000,
            "fall_multiple": 4.0, "ask_every": 1_000_000},
        "load_info": {"fields": ["queue", "inflight", "x0"], "source": "pull"},
        "family_info": {"queue_order": "in_order", "tells_start": true},
        "project_types": [{"name": "render", "effect": "safe", "hard_limit": 2_000_000,
            "promised_turnaround": 500_000, "credit": 1.0}],
    });
    settings.as_object().unwrap().clone()
}

fn settings(discovery: SocketAddr, by_dispatcher: usize, by_rates: usize) -> Settings {
    Settings {
        first_number: 2,
        by_dispatcher,
        by_rates,
        rates: MeasuredRates { probes_per_request: 2.0, dispatches_per_request: 1.0, new_connections: 1.0 },
        connections: 8,
        discovery: vec![discovery],
        node_settings: node_settings(),
        request_rate: 50.0,
        work: Duration::from_millis(2),
        deadline: Duration::from_secs(2),
        seed: 7,
    }
}

/// Waits until the counts of one kind are as they shall be.
fn until(nodes: &HollowNodes, kind: NodeKind, what: &str, done: impl Fn(&Counts) -> bool) -> Counts {
    let end = Instant::now() + PATIENCE;
    loop {
        let counts = nodes.counts(kind);
        if done(&counts) {
            return counts;
        }
        assert!(Instant::now() < end, "{what}: {counts:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn nodes_driven_by_the_dispatcher_follow_the_list_probe_and_push() {
    let world = World::start();
    let nodes = HollowNodes::start(settings(world.discovery, 2, 0)).unwrap();
    let kind = NodeKind::HollowByDispatcher;
    let counts = until(&nodes, kind, "pushes are completed", |counts| counts.completed >= 40);
    assert_eq!((counts.watches, counts.list_lines >= 2), (2, true), "{counts:?}");
    assert!(counts.probed > 0 && counts.probes >= counts.probed, "{counts:?}");
    assert!(counts.list_bytes > 500, "{counts:?}");
    assert_eq!(nodes.counts(NodeKind::HollowByRates), Counts::default());
    nodes.stop();
    let seen = world.record.take();
    let unknown = seen.iter().filter(|(_, seen)| matches!(seen, Observation::UnknownRequest { .. })).count();
    let received = seen.iter().filter(|(_, seen)| matches!(seen, Observation::Received { .. })).count();
    assert_eq!(unknown, 0);
    assert!(received >= 40, "{received}");
    let nodes = seen.iter().filter_map(|(_, seen)| match seen {
        Observation::Received { id, .. } => Some(RequestId::parse(id)?.node()),
        _ => None,
    });
    assert_eq!(nodes.collect::<BTreeSet<_>>(), BTreeSet::from([2, 3]));
}

#[test]
fn nodes_that_play_rates_send_as_many_as_they_are_told() {
    let world = World::start();
    let nodes = HollowNodes::start(settings(world.discovery, 0, 3)).unwrap();
    let kind = NodeKind::HollowByRates;
    let counts = until(&nodes, kind, "pushes are completed", |counts| counts.completed >= 60);
    // What came before the list did, and what is under way, was not sent or has not come back.
    assert!(counts.pushes <= counts.requests && counts.probes <= 2 * counts.requests, "{counts:?}");
    assert!(counts.pushes * 10 >= counts.requests * 7, "{counts:?}");
    let twice = counts.probes as f64 / counts.pushes as f64;
    assert!((1.7..2.3).contains(&twice), "{counts:?}");
    assert_eq!((counts.watches, counts.list_lines), (3, 3), "{counts:?}");
}

#[test]
fn a_node_that_starts_again_asks_for_the_whole_list_again() {
    let world = World::start();
    let nodes = HollowNodes::start(settings(world.discovery, 1, 1)).unwrap();
    let (driven, played) = (NodeKind::HollowByDispatcher, NodeKind::HollowByRates);
    until(&nodes, driven, "the list comes", |counts| counts.list_lines == 1);
    until(&nodes, played, "the list comes", |counts| counts.list_lines == 1);
    nodes.restart(0);
    nodes.restart(1);
    nodes.restart(99);
    until(&nodes, driven, "the list comes again", |counts| counts.list_lines == 2 && counts.watches == 2);
    until(&nodes, played, "the list comes again", |counts| counts.list_lines == 2 && counts.watches == 2);
    let before = nodes.counts(driven).completed;
    until(&nodes, driven, "it goes on", |counts| counts.completed > before + 10);
}

#[test]
fn without_requests_nothing_is_pushed_until_the_rate_is_set() {
    let world = World::start();
    let quiet = Settings { request_rate: 0.0, ..settings(world.discovery, 1, 1) };
    let nodes = HollowNodes::start(quiet).unwrap();
    until(&nodes, NodeKind::HollowByRates, "the list comes", |counts| counts.list_lines == 1);
    until(&nodes, NodeKind::HollowByDispatcher, "the list comes", |counts| counts.list_lines == 1);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(nodes.counts(NodeKind::HollowByRates).pushes, 0);
    assert_eq!(nodes.counts(NodeKind::HollowByDispatcher).pushes, 0);
    nodes.set_request_rate(50.0);
    until(&nodes, NodeKind::HollowByRates, "pushes come", |counts| counts.pushes > 0);
    until(&nodes, NodeKind::HollowByDispatcher, "pushes come", |counts| counts.pushes > 0);
}

#[test]
fn connections_stay_within_their_bound() {
    const MOST: usize = 3;
    // It takes all connections that come and answers nothing, so that each stays in use.
    let listener = std::net::TcpListener::bind(SocketAddr::from(ANYWHERE)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let world = World::start_with(Some(listener.local_addr().unwrap()));
    for (by_dispatcher, by_rates) in [(0, 1), (1, 0)] {
        let bounded = Settings {
            connections: MOST,
            request_rate: 400.0,
            ..settings(world.discovery, by_dispatcher, by_rates)
        };
        let nodes = HollowNodes::start(bounded).unwrap();
        let kind = if by_rates > 0 { NodeKind::HollowByRates } else { NodeKind::HollowByDispatcher };
        until(&nodes, kind, "the list comes", |counts| counts.list_lines == 1);
        // Shorter than the waits for an answer, after which connections are closed and others opened.
        thread::sleep(Duration::from_millis(200));
        let accepted: Vec<_> = std::iter::from_fn(|| listener.accept().ok()).collect();
        let source = IpAddr::V4(FIRST_SOURCE);
        assert!(accepted.iter().all(|(_, peer)| peer.ip() == source), "{accepted:?}");
        let open = accepted.len();
        let requests = nodes.counts(kind).requests;
        assert!((1..=MOST).contains(&open) && requests > 20, "{open} open after {requests} requests");
    }
}

#[test]
fn discovery_that_is_not_there_is_asked_again_and_again() {
    // Bound and not listening: it refuses, and no other test is given its port meanwhile.
    let reserved = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    reserved.bind(&SocketAddr::from(ANYWHERE).into()).unwrap();
    let closed = reserved.local_addr().unwrap().as_socket().unwrap();
    let nodes = HollowNodes::start(settings(closed, 1, 1)).unwrap();
    until(&nodes, NodeKind::HollowByRates, "it asks again", |counts| counts.watches >= 3);
    until(&nodes, NodeKind::HollowByDispatcher, "it asks again", |counts| counts.watches >= 2);
    assert_eq!(nodes.counts(NodeKind::HollowByRates).pushes, 0);
}

#[test]
fn settings_that_cannot_be_used_are_refused_before_anything_starts() {
    let mut bad = settings(SocketAddr::from(ANYWHERE), 1, 1);
    bad.node_settings.remove("project_types");
    assert!(matches!(HollowNodes::start(bad), Err(StartError::Settings(_))));
    let mut nowhere = settings(SocketAddr::from(ANYWHERE), 1, 1);
    nowhere.discovery.clear();
    assert!(matches!(HollowNodes::start(nowhere), Err(StartError::NoDiscovery)));
}
