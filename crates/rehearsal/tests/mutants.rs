//! Rehearses a day with nodes that have one defect each. Guards against a referee that misses a violation on real
//! sockets, or reports one that did not happen.
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use troutknot_emulator::wire::{self, Abort, ConnectionHandle, StreamedBody};
use troutknot_rehearsal::node_process::{
    LaunchOptions, NodeLauncher, NodeProcess, NodeSignal, ResourceUsage,
};
use troutknot_rehearsal::run::{Progress, Report, rehearse};
use troutknot_rehearsal::scenario::Scenario;

/// How a node breaks a rule.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Defect {
    /// A node that keeps all rules.
    Conforming,
    RespondsLate,
    NeverResponds,
    ResetsConnections,
    InventsResults,
    DispatchesAfterResponse,
    InventsRequestIds,
    DispatchesConcurrently,
    DispatchesFourTimes,
    RetriesUnsafely,
    RejectsUnsafely,
    IgnoresDrains,
    IgnoresSlowStart,
    IgnoresSuspensions,
    LosesSuspensionsOnHotRestart,
    DropsUnreadRequests,
    AppliesBrokenSettings,
    StaysReadyWhileDrained,
    FailsAdminCalls,
}

/// The state set by operators, shared by all processes of the node.
#[derive(Default)]
struct OperatorState {
    suspended: BTreeSet<String>,
    drained: bool,
}

/// Starts processes of the single node.
struct DefectiveLauncher {
    defect: Defect,
    operator_state: Arc<Mutex<OperatorState>>,
}

/// An entry of the endpoint list.
#[derive(Clone)]
struct Member {
    address: SocketAddr,
    is_ready: bool,
    started_at_ms: f64,
}

/// A minimal node that selects executors in turn and keeps the rules except for its defect.
struct Node {
    defect: Defect,
    effects: BTreeMap<String, String>,
    ramp_ms: f64,
    members: RefCell<BTreeMap<String, Member>>,
    next_executor: RefCell<usize>,
    operator_state: Arc<Mutex<OperatorState>>,
    max_attempts: Cell<u64>,
    /// Whether this process got SIGTERM.
    is_terminating: Cell<bool>,
}

/// The outcome of an attempt.
#[derive(PartialEq, Debug)]
enum AttemptOutcome {
    Completed(Bytes),
    DidNotRun,
    MayHaveRun,
}

/// Sends a request; returns the status, whether the work was not started, and the body of the response.
async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<(StatusCode, bool, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let response = sender.send_request(request).await.ok()?;
    let was_not_started = response.headers().contains_key("not-started");
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    connection.abort();
    Some((status, was_not_started, body))
}

impl Node {
    /// Reads the endpoint list and its changes until the connection closes.
    async fn watch_endpoints(self: Rc<Self>, discovery: SocketAddr) -> Option<()> {
        let stream = TcpStream::connect(discovery).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(connection);
        let request =
            Request::get("/catalog/members?stream=1").header("host", "d").body(Empty::<Bytes>::new());
        let mut body = sender.send_request(request.ok()?).await.ok()?.into_body();
        let mut text = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            text.extend_from_slice(frame.data_ref()?);
            while let Some(end) = text.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                let Ok(list) = serde_json::from_slice::<Value>(&line) else { continue };
                for entry in list["servers"].as_array()? {
                    let member = Member {
                        address: entry["addr"].as_str()?.parse().ok()?,
                        is_ready: entry["state"] == "Ready",
                        started_at_ms: entry["started_ms"].as_f64().unwrap_or(0.0),
                    };
                    self.members.borrow_mut().insert(entry["id"].as_str()?.to_string(), member);
                }
            }
        }
        None
    }

    /// Selects the next executor to which an attempt may be dispatched.
    fn select_executor(&self) -> Option<SocketAddr> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0;
        let members = self.members.borrow();
        let is_eligible = |member: &Member| match self.defect {
            Defect::IgnoresDrains => member.started_at_ms == 0.0,
            Defect::IgnoresSlowStart => member.is_ready && member.started_at_ms > 0.0,
            _ => member.is_ready && now - member.started_at_ms > self.ramp_ms,
        };
        let operator_state = self.operator_state.lock().unwrap();
        let is_suspended =
            |id: &String| self.defect != Defect::IgnoresSuspensions && operator_state.suspended.contains(id);
        let is_candidate = |(id, member): &(&String, &Member)| is_eligible(member) && !is_suspended(id);
        let mut candidates: Vec<SocketAddr> =
            members.iter().filter(is_candidate).map(|(_, member)| member.address).collect();
        if candidates.is_empty() && self.defect == Defect::IgnoresSlowStart {
            let ready = members.values().filter(|member| member.is_ready);
            candidates = ready.map(|member| member.address).collect();
        }
        let mut next = self.next_executor.borrow_mut();
        *next += 1;
        (!candidates.is_empty()).then(|| candidates[*next % candidates.len()])
    }

    async fn dispatch(&self, path: &str, id: &str) -> AttemptOutcome {
        let Some(address) = self.select_executor() else { return AttemptOutcome::DidNotRun };
        let request = Request::post(path).header("host", "s").header("request-id", id);
        let Some((status, was_not_started, body)) =
            send(address, request.body(Full::new("x".into())).unwrap()).await
        else {
            return AttemptOutcome::MayHaveRun;
        };
        let last = body.split(|&byte| byte == b'\n').rfind(|line| !line.is_empty()).unwrap_or(b"");
        let last: Value = serde_json::from_slice(last).unwrap_or_default();
        match last["state"].as_str() {
            Some("done") => {
                AttemptOutcome::Completed(last["result"].as_str().unwrap_or("").to_string().into())
            }
            Some("returned") => AttemptOutcome::DidNotRun,
            _ if status != 200 && was_not_started => AttemptOutcome::DidNotRun,
            _ => AttemptOutcome::MayHaveRun,
        }
    }

    /// Handles a client's request: returns the status and the body of the response.
    async fn handle_request(
        self: Rc<Self>,
        path: String,
        id: String,
        connection: Rc<ConnectionHandle>,
    ) -> (u16, Bytes) {
        let received_at = Instant::now();
        let effect = self.effects.get(path.trim_start_matches('/')).cloned().unwrap_or_default();
        match self.defect {
            Defect::NeverResponds => std::future::pending().await,
            Defect::InventsResults => return (200, format!("result of {id}").into()),
            Defect::InventsRequestIds => {
                self.dispatch(&path, "feedfeedfeedfeed").await;
            }
            Defect::DispatchesAfterResponse => {
                let node = self.clone();
                spawn_local(async move {
                    sleep(Duration::from_millis(150)).await;
                    node.dispatch(&path, &id).await;
                });
                return (503, Bytes::new());
            }
            Defect::DispatchesConcurrently => {
                let results = tokio::join!(self.dispatch(&path, &id), async {
                    sleep(Duration::from_millis(2)).await;
                    self.dispatch(&path, &id).await
                });
                return if let AttemptOutcome::Completed(result) = results.0 {
                    (200, result)
                } else {
                    (502, Bytes::new())
                };
            }
            Defect::DispatchesFourTimes if effect == "safe" => {
                for _ in 0..3 {
                    self.dispatch(&path, &id).await;
                }
            }
            _ => {}
        }
        let mut may_have_run = false;
        for _ in 0..self.max_attempts.get() {
            match self.dispatch(&path, &id).await {
                AttemptOutcome::Completed(result) => {
                    match self.defect {
                        // After the deadline of 2 s and the slack of 50 ms, before the client gives up at 2300 ms.
                        Defect::RespondsLate => sleep_until(received_at + Duration::from_millis(2150)).await,
                        Defect::ResetsConnections => {
                            connection.abort(Abort::Reset);
                            std::future::pending().await
                        }
                        _ => {}
                    }
                    return (200, result);
                }
                AttemptOutcome::DidNotRun => {}
                AttemptOutcome::MayHaveRun => {
                    may_have_run = true;
                    if effect != "safe" && self.defect != Defect::RetriesUnsafely {
                        break;
                    }
                }
            }
        }
        let may_reject = effect == "safe" || !may_have_run || self.defect == Defect::RejectsUnsafely;
        (if may_reject { 503 } else { 502 }, Bytes::new())
    }

    /// Serves the clients' interface.
    async fn serve_client(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ConnectionHandle>,
    ) -> Response<StreamedBody> {
        let (path, id) = (request.uri().path().to_string(), request.headers().get("request-id").cloned());
        let is_drained =
            self.operator_state.lock().unwrap().drained && self.defect != Defect::StaysReadyWhileDrained;
        if self.defect == Defect::DropsUnreadRequests && self.is_terminating.get() {
            connection.abort(Abort::Reset);
            std::future::pending().await
        }
        let (status, body) = match (path.as_str(), id) {
            ("/_health", _) => {
                (if is_drained || self.members.borrow().is_empty() { 503 } else { 200 }, Bytes::new())
            }
            (_, Some(_)) if is_drained => (503, Bytes::new()),
            (_, Some(id)) => {
                let _ = request.into_body().collect().await;
                self.clone().handle_request(path, id.to_str().unwrap().to_string(), connection).await
            }
            _ => (400, Bytes::new()),
        };
        let mut response = Response::new(StreamedBody::full(body));
        *response.status_mut() = StatusCode::from_u16(status).unwrap();
        if is_drained || self.is_terminating.get() {
            response.headers_mut().insert("connection", "close".parse().unwrap());
        }
        response
    }

    /// Serves the admin interface.
    async fn serve_admin(self: Rc<Self>, request: Request<Incoming>) -> Response<StreamedBody> {
        let segments: Vec<&str> = request.uri().path().split('/').collect();
        let mut operator_state = self.operator_state.lock().unwrap();
        let status = match segments[..] {
            _ if self.defect == Defect::FailsAdminCalls => 500,
            ["", "v1", "readyz"] => {
                if self.members.borrow().is_empty() {
                    503
                } else {
                    200
                }
            }
            ["", "v1", "node", action] => {
                operator_state.drained = action == "drain";
                200
            }
            ["", "v1", "executors", id, action] => {
                match action {
                    "suspend" => operator_state.suspended.insert(id.to_string()),
                    _ => operator_state.suspended.remove(id),
                };
                200
            }
            _ => 404,
        };
        let mut response = Response::new(StreamedBody::full(Bytes::new()));
        *response.status_mut() = StatusCode::from_u16(status).unwrap();
        response
    }

    /// Applies the attempt limit of a configuration file, if the file has all required keys.
    fn reload(&self, config: &Path) {
        let text = std::fs::read_to_string(config).unwrap();
        let config: Value = serde_json::from_str(&text).unwrap();
        let settings = &config["settings"];
        if settings["contract"].is_object() || self.defect == Defect::AppliesBrokenSettings {
            self.max_attempts.set(settings["limits"]["max_allocations"].as_u64().unwrap());
        }
    }
}

async fn serve_all<F, R>(listener: TcpListener, respond: F)
where
    F: Fn(Request<Incoming>, Rc<ConnectionHandle>) -> R + Clone + 'static,
    R: Future<Output = Response<StreamedBody>> + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let (connection, respond) = (Rc::new(ConnectionHandle::default()), respond.clone());
        let handle = connection.clone();
        spawn_local(wire::serve(stream, Rc::default(), connection, move |request| {
            respond(request, handle.clone())
        }));
    }
}

impl NodeLauncher for DefectiveLauncher {
    fn launch(&self, options: LaunchOptions) -> io::Result<Box<dyn NodeProcess>> {
        let path = options.config.to_owned();
        let config: Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
        let (signal_sender, mut signals) = mpsc::unbounded_channel();
        let defect = self.defect;
        let operator_state = match defect {
            Defect::LosesSuspensionsOnHotRestart => Arc::default(),
            _ => self.operator_state.clone(),
        };
        let (admin_address, inherited_socket) =
            (options.admin_address, options.inherited_socket.map(|(socket, _)| socket));
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let address = |name: &str| config[name].as_str().unwrap().parse::<SocketAddr>().unwrap();
            let classes = config["settings"]["project_types"].as_array().unwrap();
            let text = |class: &Value, key: &str| class[key].as_str().unwrap().to_string();
            let node = Rc::new(Node {
                defect,
                effects: classes.iter().map(|class| (text(class, "name"), text(class, "effect"))).collect(),
                ramp_ms: config["settings"]["contract"]["ramp_time"].as_f64().unwrap() / 1000.0,
                members: RefCell::default(),
                next_executor: RefCell::default(),
                operator_state,
                max_attempts: Cell::new(3),
                is_terminating: Cell::new(false),
            });
            LocalSet::new().block_on(&runtime, async move {
                node.reload(&path);
                spawn_local(node.clone().watch_endpoints(address("discovery")));
                if let Some(admin_address) = admin_address {
                    let node = node.clone();
                    let listener = wire::listen(admin_address).unwrap();
                    spawn_local(serve_all(listener, move |request, _| node.clone().serve_admin(request)));
                }
                let is_inherited = inherited_socket.is_some();
                let listener = match inherited_socket {
                    Some(socket) => {
                        socket.set_nonblocking(true).unwrap();
                        TcpListener::from_std(socket).unwrap()
                    }
                    None => wire::listen(address("listen")).unwrap(),
                };
                let server = node.clone();
                let accept = spawn_local(async move {
                    // The previous process is ready and accepts as well. A process without a list would reject
                    // requests and fail the health checks of the load balancer.
                    while is_inherited && server.members.borrow().is_empty() {
                        sleep(Duration::from_millis(1)).await;
                    }
                    serve_all(listener, move |request, connection| {
                        server.clone().serve_client(request, connection)
                    })
                    .await
                });
                while let Some(signal) = signals.recv().await {
                    match signal {
                        NodeSignal::Reload => node.reload(&path),
                        NodeSignal::Terminate => {
                            node.is_terminating.set(true);
                            accept.abort();
                        }
                        NodeSignal::Kill => return,
                    }
                }
            });
        });
        Ok(Box::new(NodeThread(Some(signal_sender))))
    }
}

/// A node on a thread of this process; `None` after it was killed.
struct NodeThread(Option<mpsc::UnboundedSender<NodeSignal>>);

impl NodeProcess for NodeThread {
    fn signal(&mut self, signal: NodeSignal) -> io::Result<()> {
        if let Some(sender) = &self.0 {
            let _ = sender.send(signal);
        }
        if signal == NodeSignal::Kill {
            self.0.take();
        }
        Ok(())
    }

    fn exited_cleanly(&mut self) -> Option<bool> {
        self.0.is_none().then_some(true)
    }

    fn resource_usage(&self) -> ResourceUsage {
        ResourceUsage::default()
    }
}

/// Limits the rehearsals that run at once to 3, because they run in real time and a busy machine must still respond in
/// time.
static RUN_SLOTS: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

/// Three executors, one of which is replaced by one in slow start; connections of 30 % of the attempts are reset.
const DEPLOYMENT_DAY: &str = r#"
name = "mutants"
length = "2500ms"
[rules]
drain_grace = "300ms"
told_at_latest = "500ms"
ramp = "20s"
[nodes]
count = 1
[[executors]]
name = "box"
count = 3
slots = 8
[[project_types]]
name = "render"
effect = "rerunnable"
share = 3
work = "20ms"
promised_turnaround = "300ms"
hard_limit = "2s"
[[project_types]]
name = "publish"
effect = "exclusive"
share = 2
work = "20ms"
promised_turnaround = "300ms"
hard_limit = "2s"
[traffic]
load = 0.25
[clients]
retries = 0
[discovery]
notice_most = "100ms"
[[troubles]]
kind = "resets"
from = "100ms"
to = "1500ms"
of_work = 0.3
[[events]]
what = "deploy"
at = "400ms"
group = "box"
count = 1
every = "1s"
"#;

/// Operator events: a lower attempt limit, a suspension across a hot restart, a broken file and a drain.
const OPERATOR_EVENTS: &str = r#"
[[events]]
what = "retune-nodes"
at = "100ms"
attempts = 1
[[events]]
what = "suspend-executors"
at = "300ms"
group = "box"
lasts = "4s"
[[events]]
what = "upgrade-node"
at = "700ms"
node = 0
[[events]]
what = "retune-nodes"
at = "2400ms"
attempts = 3
broken = true
[[events]]
what = "drain-node"
at = "4800ms"
node = 0
lasts = "4200ms"
"#;

fn rehearse_day(defect: Defect, has_operator_events: bool) -> Report {
    let text = if has_operator_events {
        // Connections are reset all day, and no executor is replaced.
        let day = DEPLOYMENT_DAY.split("[[events]]").next().unwrap();
        let day = day.replace("to = \"1500ms\"", "to = \"9s\"").replace("2500ms", "9500ms");
        day + OPERATOR_EVENTS
    } else {
        DEPLOYMENT_DAY.to_string()
    };
    let mut scenario = Scenario::parse(&text, "mutants").unwrap();
    if defect == Defect::IgnoresSlowStart {
        scenario.traffic.get_mut().load = 0.9;
    }
    let folder = tempfile::tempdir().unwrap();
    let launcher = Arc::new(DefectiveLauncher { defect, operator_state: Arc::default() });
    rehearse(&Arc::new(scenario), 3, launcher, folder.path(), Arc::new(Progress::default())).unwrap()
}

#[test]
fn each_defect_of_a_node_is_reported_as_its_violations_only() {
    use Defect::*;
    let operator_cases: &[(Defect, &[(u8, &str)])] = &[
        (Conforming, &[]),
        (IgnoresSuspensions, &[(3, "sent-to-banned")]),
        (LosesSuspensionsOnHotRestart, &[(3, "sent-to-banned")]),
        (DropsUnreadRequests, &[(1, "ended-at-the-door")]),
        (AppliesBrokenSettings, &[(2, "too-many-allocations")]),
        (StaysReadyWhileDrained, &[(1, "ready-while-drained"), (1, "taken-while-drained")]),
        (FailsAdminCalls, &[(3, "call-failed")]),
    ];
    let deployment_cases: &[(Defect, &[(u8, &str)])] = &[
        (Conforming, &[]),
        (RespondsLate, &[(1, "late-answer")]),
        (NeverResponds, &[(1, "no-answer")]),
        (ResetsConnections, &[(1, "lost")]),
        (InventsResults, &[(1, "invented-result")]),
        (DispatchesAfterResponse, &[(1, "sent-after-final")]),
        (InventsRequestIds, &[(1, "unknown-id")]),
        (DispatchesConcurrently, &[(2, "repeat"), (2, "two-out")]),
        (DispatchesFourTimes, &[(2, "too-many-allocations")]),
        (RetriesUnsafely, &[(2, "repeat")]),
        (RejectsUnsafely, &[(2, "deferred-may-have-run")]),
        (IgnoresDrains, &[(3, "sent-to-drained")]),
        (IgnoresSlowStart, &[(4, "pushed-over")]),
    ];
    thread::scope(|scope| {
        let cases = deployment_cases.iter().map(|case| (case, false));
        let cases = cases.chain(operator_cases.iter().map(|case| (case, true)));
        for (index, (&(defect, expected), has_operator_events)) in cases.enumerate() {
            scope.spawn(move || {
                let _run_slot =
                    RUN_SLOTS[index % RUN_SLOTS.len()].lock().unwrap_or_else(PoisonError::into_inner);
                let report = rehearse_day(defect, has_operator_events);
                let mut found: Vec<(u8, &str)> = report
                    .verdict
                    .violations
                    .iter()
                    .map(|violation| (violation.rule, violation.kind.name()))
                    .collect();
                found.sort_unstable();
                found.dedup();
                // If admin calls fail, the hot restart fails as well; violations that follow from it are not compared.
                found.retain(|(_, name)| defect != FailsAdminCalls || *name == "call-failed");
                assert_eq!(found, expected, "{defect:?}: {:#?}", report.verdict.violations.first());
                assert_eq!(report.verdict.overload_failures > 0, defect == IgnoresSlowStart, "{defect:?}");
                assert!(report.verdict.all.requests > 100);
                // A violation of the warm-up budget names the executor and the nodes that dispatched to it.
                let over_budget = report.verdict.violations.iter().find(|violation| violation.rule == 4);
                assert!(over_budget.is_none_or(|violation| {
                    violation.description.contains("s-00003 stands") && violation.description.contains("n0 ")
                }));
            });
        }
    });
}
