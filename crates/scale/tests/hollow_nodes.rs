//! Hollow nodes with the emulator's executors and discovery, on real sockets.
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

const ANY_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const EXECUTOR_COUNT: u32 = 6;

/// Executors and discovery on a thread of their own, which ends on drop.
struct TestServers {
    discovery_address: SocketAddr,
    record: Arc<ObservationLog>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl TestServers {
    fn start() -> Self {
        Self::start_with(None)
    }

    /// Starts only one executor, listed under the given address.
    fn start_with(executor_address: Option<SocketAddr>) -> Self {
        let record = Arc::new(ObservationLog::default());
        let (address_sender, address_receiver) = mpsc::channel();
        let (end, ended) = oneshot::channel();
        let server_record = record.clone();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let _servers = serve(&server_record, &address_sender, executor_address);
                let _ = ended.await;
            });
        });
        let discovery_address = address_receiver.recv().unwrap();
        TestServers { discovery_address, record, end: Some(end), thread: Some(thread) }
    }
}

impl Drop for TestServers {
    fn drop(&mut self) {
        let _ = self.end.take().map(|end| end.send(()));
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

type Servers = (Vec<std::rc::Rc<Host>>, std::rc::Rc<Agent>);

fn serve(
    record: &Arc<ObservationLog>,
    address_sender: &mpsc::Sender<SocketAddr>,
    executor_address: Option<SocketAddr>,
) -> Servers {
    let work_of = |id: &str| {
        let work = RequestSpec {
            request_id: 1,
            request_class: 0,
            slots: 1.0,
            memory: 0.0,
            work: 1.0,
            priority: 0.0,
        };
        RequestId::parse(id).map(|_| work)
    };
    let shared = FleetContext::new(record.clone(), Arc::new(work_of), true);
    let machine = Machine { slots: 4.0, cores: 4.0, ..Machine::default() };
    let start = |number| Host::start(&shared, number, machine.clone(), 1, ANY_ADDRESS.into(), true).unwrap();
    let count = if executor_address.is_some() { 1 } else { EXECUTOR_COUNT };
    let hosts: Vec<_> = (0..count).map(start).collect();
    let member = |host: &std::rc::Rc<Host>| Member {
        executor: host.number,
        id: host.name.clone(),
        addr: executor_address.unwrap_or(host.addr),
        zone: "here".into(),
        machine_type: "plain".into(),
        deduplication_group: 0,
        state: ListedState::Ready,
        weight: 4.0,
        started_at: 0.0,
    };
    let agent = Agent::start(record, 0, ANY_ADDRESS.into(), hosts.iter().map(member).collect()).unwrap();
    address_sender.send(agent.addr()).unwrap();
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

fn settings(discovery_address: SocketAddr, dispatcher_nodes: usize, rate_nodes: usize) -> Settings {
    Settings {
        first_number: 2,
        dispatcher_nodes,
        rate_nodes,
        rates: MeasuredRates { probes_per_request: 2.0, dispatches_per_request: 1.0, new_connections: 1.0 },
        max_connections: 8,
        discovery_addresses: vec![discovery_address],
        node_settings: node_settings(),
        request_rate: 50.0,
        mean_work: Duration::from_millis(2),
        deadline: Duration::from_secs(2),
        seed: 7,
    }
}

/// Waits until the counts of a kind meet a condition.
fn wait_until(
    nodes: &HollowNodes,
    kind: NodeKind,
    expected: &str,
    is_done: impl Fn(&Counts) -> bool,
) -> Counts {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let counts = nodes.counts(kind);
        if is_done(&counts) {
            return counts;
        }
        assert!(Instant::now() < deadline, "{expected}: {counts:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn dispatcher_nodes_follow_the_list_probe_and_dispatch() {
    let servers = TestServers::start();
    let nodes = HollowNodes::start(settings(servers.discovery_address, 2, 0)).unwrap();
    let kind = NodeKind::HollowByDispatcher;
    let counts = wait_until(&nodes, kind, "attempts are completed", |counts| counts.completed >= 40);
    assert_eq!((counts.watches, counts.list_lines >= 2), (2, true), "{counts:?}");
    assert!(counts.answered_probes > 0 && counts.probes >= counts.answered_probes, "{counts:?}");
    assert!(counts.list_bytes > 500, "{counts:?}");
    assert_eq!(nodes.counts(NodeKind::HollowByRates), Counts::default());
    nodes.stop();
    let seen = servers.record.take();
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
fn rate_nodes_send_probes_and_attempts_at_the_configured_rates() {
    let servers = TestServers::start();
    let nodes = HollowNodes::start(settings(servers.discovery_address, 0, 3)).unwrap();
    let kind = NodeKind::HollowByRates;
    let counts = wait_until(&nodes, kind, "attempts are completed", |counts| counts.completed >= 60);
    // Requests before the first list send nothing, and attempts in flight have not completed.
    assert!(counts.attempts <= counts.requests && counts.probes <= 2 * counts.requests, "{counts:?}");
    assert!(counts.attempts * 10 >= counts.requests * 7, "{counts:?}");
    let probes_per_attempt = counts.probes as f64 / counts.attempts as f64;
    assert!((1.7..2.3).contains(&probes_per_attempt), "{counts:?}");
    assert_eq!((counts.watches, counts.list_lines), (3, 3), "{counts:?}");
}

#[test]
fn a_restarted_node_requests_a_snapshot_of_the_list() {
    let servers = TestServers::start();
    let nodes = HollowNodes::start(settings(servers.discovery_address, 1, 1)).unwrap();
    let (dispatcher_kind, rate_kind) = (NodeKind::HollowByDispatcher, NodeKind::HollowByRates);
    wait_until(&nodes, dispatcher_kind, "the list is received", |counts| counts.list_lines == 1);
    wait_until(&nodes, rate_kind, "the list is received", |counts| counts.list_lines == 1);
    nodes.restart(0);
    nodes.restart(1);
    nodes.restart(99);
    wait_until(&nodes, dispatcher_kind, "the list is received again", |counts| {
        counts.list_lines == 2 && counts.watches == 2
    });
    wait_until(&nodes, rate_kind, "the list is received again", |counts| {
        counts.list_lines == 2 && counts.watches == 2
    });
    let before = nodes.counts(dispatcher_kind).completed;
    wait_until(&nodes, dispatcher_kind, "requests continue", |counts| counts.completed > before + 10);
}

#[test]
fn no_attempt_is_sent_until_the_request_rate_is_set() {
    let servers = TestServers::start();
    let no_requests = Settings { request_rate: 0.0, ..settings(servers.discovery_address, 1, 1) };
    let nodes = HollowNodes::start(no_requests).unwrap();
    wait_until(&nodes, NodeKind::HollowByRates, "the list is received", |counts| counts.list_lines == 1);
    wait_until(&nodes, NodeKind::HollowByDispatcher, "the list is received", |counts| counts.list_lines == 1);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(nodes.counts(NodeKind::HollowByRates).attempts, 0);
    assert_eq!(nodes.counts(NodeKind::HollowByDispatcher).attempts, 0);
    nodes.set_request_rate(50.0);
    wait_until(&nodes, NodeKind::HollowByRates, "attempts are sent", |counts| counts.attempts > 0);
    wait_until(&nodes, NodeKind::HollowByDispatcher, "attempts are sent", |counts| counts.attempts > 0);
}

#[test]
fn open_connections_do_not_exceed_their_limit() {
    const MAX_CONNECTIONS: usize = 3;
    // This executor accepts all connections and never responds, so that each connection stays in use.
    let listener = std::net::TcpListener::bind(SocketAddr::from(ANY_ADDRESS)).unwrap();
    listener.set_nonblocking(true).unwrap();
    let servers = TestServers::start_with(Some(listener.local_addr().unwrap()));
    for (dispatcher_nodes, rate_nodes) in [(0, 1), (1, 0)] {
        let bounded = Settings {
            max_connections: MAX_CONNECTIONS,
            request_rate: 400.0,
            ..settings(servers.discovery_address, dispatcher_nodes, rate_nodes)
        };
        let nodes = HollowNodes::start(bounded).unwrap();
        let kind = if rate_nodes > 0 { NodeKind::HollowByRates } else { NodeKind::HollowByDispatcher };
        wait_until(&nodes, kind, "the list is received", |counts| counts.list_lines == 1);
        // Shorter than the response timeouts, after which connections are closed and others are opened.
        thread::sleep(Duration::from_millis(200));
        let accepted: Vec<_> = std::iter::from_fn(|| listener.accept().ok()).collect();
        let source = IpAddr::V4(FIRST_SOURCE);
        assert!(accepted.iter().all(|(_, peer)| peer.ip() == source), "{accepted:?}");
        let open = accepted.len();
        let requests = nodes.counts(kind).requests;
        assert!(
            (1..=MAX_CONNECTIONS).contains(&open) && requests > 20,
            "{open} open after {requests} requests"
        );
    }
}

#[test]
fn the_watch_is_retried_while_discovery_is_unreachable() {
    // Bound but not listening: connections are refused, and no other test can receive this port.
    let reserved = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    reserved.bind(&SocketAddr::from(ANY_ADDRESS).into()).unwrap();
    let closed_address = reserved.local_addr().unwrap().as_socket().unwrap();
    let nodes = HollowNodes::start(settings(closed_address, 1, 1)).unwrap();
    wait_until(&nodes, NodeKind::HollowByRates, "the watch is opened again", |counts| counts.watches >= 3);
    wait_until(&nodes, NodeKind::HollowByDispatcher, "the watch is opened again", |counts| {
        counts.watches >= 2
    });
    assert_eq!(nodes.counts(NodeKind::HollowByRates).attempts, 0);
}

#[test]
fn invalid_settings_are_rejected_before_any_node_starts() {
    let mut invalid = settings(SocketAddr::from(ANY_ADDRESS), 1, 1);
    invalid.node_settings.remove("project_types");
    assert!(matches!(HollowNodes::start(invalid), Err(StartError::Settings(_))));
    let mut no_discovery = settings(SocketAddr::from(ANY_ADDRESS), 1, 1);
    no_discovery.discovery_addresses.clear();
    assert!(matches!(HollowNodes::start(no_discovery), Err(StartError::NoDiscovery)));
}
