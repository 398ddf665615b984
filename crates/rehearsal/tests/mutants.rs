//! For each way to break a rule, a host that breaks it and nothing else: the referee must name just that.
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

#[derive(Clone, Copy, PartialEq, Debug)]
enum Wrong {
    Nothing,
    AnswersLate,
    NeverAnswers,
    CutsOff,
    InventsResults,
    SendsAfterItsAnswer,
    MakesUpIds,
    SendsTwoAtOnce,
    SendsFourTimes,
    RepeatsWhatMayHaveRun,
    DefersWhatMayHaveRun,
    IgnoresDrains,
    IgnoresWarmth,
    IgnoresBans,
    LosesBansOverAnUpgrade,
    DropsConnectionsUnread,
    TakesHalfOfABrokenFile,
    StaysReadyWhileDrained,
    AnswersNoCall,
}

/// What all processes of the node know of what operators called.
#[derive(Default)]
struct Called {
    out: BTreeSet<String>,
    drained: bool,
}

/// Starts processes of the one node.
struct Processes {
    wrong: Wrong,
    called: Arc<Mutex<Called>>,
}

#[derive(Clone)]
struct Member {
    addr: SocketAddr,
    ready: bool,
    started_ms: f64,
}

/// A plain node: random choice, the rules kept but for the one thing that is wrong with it.
struct Node {
    wrong: Wrong,
    effects: BTreeMap<String, String>,
    ramp_ms: f64,
    members: RefCell<BTreeMap<String, Member>>,
    turn: RefCell<usize>,
    called: Arc<Mutex<Called>>,
    attempts: Cell<u64>,
    /// Another process has the clients.
    left: Cell<bool>,
}

/// What came of an allocation.
#[derive(PartialEq, Debug)]
enum Came {
    Result(Bytes),
    NeverRan,
    MayHaveRun,
}

async fn ask(addr: SocketAddr, request: Request<Full<Bytes>>) -> Option<(StatusCode, bool, Bytes)> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut send, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let answer = send.send_request(request).await.ok()?;
    let never = answer.headers().contains_key("not-started");
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    connection.abort();
    Some((status, never, body))
}

impl Node {
    async fn follow(self: Rc<Self>, discovery: SocketAddr) -> Option<()> {
        let stream = TcpStream::connect(discovery).await.ok()?;
        let (mut send, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(connection);
        let request =
            Request::get("/catalog/members?stream=1").header("host", "d").body(Empty::<Bytes>::new());
        let mut body = send.send_request(request.ok()?).await.ok()?.into_body();
        let mut text = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            text.extend_from_slice(frame.data_ref()?);
            while let Some(end) = text.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                let Ok(list) = serde_json::from_slice::<Value>(&line) else { continue };
                for entry in list["servers"].as_array()? {
                    let member = Member {
                        addr: entry["addr"].as_str()?.parse().ok()?,
                        ready: entry["state"] == "Ready",
                        started_ms: entry["started_ms"].as_f64().unwrap_or(0.0),
                    };
                    self.members.borrow_mut().insert(entry["id"].as_str()?.to_string(), member);
                }
            }
        }
        None
    }

    /// The next executor in turn, among those that may be sent to.
    fn pick(&self) -> Option<SocketAddr> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0;
        let members = self.members.borrow();
        let may = |m: &Member| match self.wrong {
            Wrong::IgnoresDrains => m.started_ms == 0.0,
            Wrong::IgnoresWarmth => m.ready && m.started_ms > 0.0,
            _ => m.ready && now - m.started_ms > self.ramp_ms,
        };
        let called = self.called.lock().unwrap();
        let out = |id: &String| self.wrong != Wrong::IgnoresBans && called.out.contains(id);
        let may_now = |(id, m): &(&String, &Member)| may(m) && !out(id);
        let mut of: Vec<SocketAddr> = members.iter().filter(may_now).map(|(_, m)| m.addr).collect();
        if of.is_empty() && self.wrong == Wrong::IgnoresWarmth {
            of = members.values().filter(|m| m.ready).map(|m| m.addr).collect();
        }
        let mut turn = self.turn.borrow_mut();
        *turn += 1;
        (!of.is_empty()).then(|| of[*turn % of.len()])
    }

    async fn allocate(&self, path: &str, id: &str) -> Came {
        let Some(addr) = self.pick() else { return Came::NeverRan };
        let request = Request::post(path).header("host", "s").header("request-id", id);
        let Some((status, never, body)) = ask(addr, request.body(Full::new("x".into())).unwrap()).await
        else {
            return Came::MayHaveRun;
        };
        let last = body.split(|&b| b == b'\n').rfind(|line| !line.is_empty()).unwrap_or(b"");
        let last: Value = serde_json::from_slice(last).unwrap_or_default();
        match last["state"].as_str() {
            Some("done") => Came::Result(last["result"].as_str().unwrap_or("").to_string().into()),
            Some("returned") => Came::NeverRan,
            _ if status != 200 && never => Came::NeverRan,
            _ => Came::MayHaveRun,
        }
    }

    async fn work(self: Rc<Self>, path: String, id: String, line: Rc<ConnectionHandle>) -> (u16, Bytes) {
        let came = Instant::now();
        let effect = self.effects.get(path.trim_start_matches('/')).cloned().unwrap_or_default();
        match self.wrong {
            Wrong::NeverAnswers => std::future::pending().await,
            Wrong::InventsResults => return (200, format!("result of {id}").into()),
            Wrong::MakesUpIds => {
                self.allocate(&path, "feedfeedfeedfeed").await;
            }
            Wrong::SendsAfterItsAnswer => {
                let node = self.clone();
                spawn_local(async move {
                    sleep(Duration::from_millis(150)).await;
                    node.allocate(&path, &id).await;
                });
                return (503, Bytes::new());
            }
            Wrong::SendsTwoAtOnce => {
                let both = tokio::join!(self.allocate(&path, &id), async {
                    sleep(Duration::from_millis(2)).await;
                    self.allocate(&path, &id).await
                });
                return if let Came::Result(result) = both.0 { (200, result) } else { (502, Bytes::new()) };
            }
            Wrong::SendsFourTimes if effect == "safe" => {
                for _ in 0..3 {
                    self.allocate(&path, &id).await;
                }
            }
            _ => {}
        }
        let mut may_have_run = false;
        for _ in 0..self.attempts.get() {
            match self.allocate(&path, &id).await {
                Came::Result(result) => {
                    match self.wrong {
                        // Past its limit and the slack, and before its client gives up.
                        Wrong::AnswersLate => sleep_until(came + Duration::from_millis(2150)).await,
                        Wrong::CutsOff => {
                            line.abort(Abort::Reset);
                            std::future::pending().await
                        }
                        _ => {}
                    }
                    return (200, result);
                }
                Came::NeverRan => {}
                Came::MayHaveRun => {
                    may_have_run = true;
                    if effect != "safe" && self.wrong != Wrong::RepeatsWhatMayHaveRun {
                        break;
                    }
                }
            }
        }
        let may_defer = effect == "safe" || !may_have_run || self.wrong == Wrong::DefersWhatMayHaveRun;
        (if may_defer { 503 } else { 502 }, Bytes::new())
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        line: Rc<ConnectionHandle>,
    ) -> Response<StreamedBody> {
        let (path, id) = (request.uri().path().to_string(), request.headers().get("request-id").cloned());
        let drained = self.called.lock().unwrap().drained && self.wrong != Wrong::StaysReadyWhileDrained;
        if self.wrong == Wrong::DropsConnectionsUnread && self.left.get() {
            line.abort(Abort::Reset);
            std::future::pending().await
        }
        let (status, body) = match (path.as_str(), id) {
            ("/_health", _) => {
                (if drained || self.members.borrow().is_empty() { 503 } else { 200 }, Bytes::new())
            }
            (_, Some(_)) if drained => (503, Bytes::new()),
            (_, Some(id)) => {
                let _ = request.into_body().collect().await;
                self.clone().work(path, id.to_str().unwrap().to_string(), line).await
            }
            _ => (400, Bytes::new()),
        };
        let mut answer = Response::new(StreamedBody::full(body));
        *answer.status_mut() = StatusCode::from_u16(status).unwrap();
        if drained || self.left.get() {
            answer.headers_mut().insert("connection", "close".parse().unwrap());
        }
        answer
    }

    async fn called(self: Rc<Self>, request: Request<Incoming>) -> Response<StreamedBody> {
        let steps: Vec<&str> = request.uri().path().split('/').collect();
        let mut called = self.called.lock().unwrap();
        let status = match steps[..] {
            _ if self.wrong == Wrong::AnswersNoCall => 500,
            ["", "v1", "readyz"] => {
                if self.members.borrow().is_empty() {
                    503
                } else {
                    200
                }
            }
            ["", "v1", "node", what] => {
                called.drained = what == "drain";
                200
            }
            ["", "v1", "executors", id, what] => {
                match what {
                    "suspend" => called.out.insert(id.to_string()),
                    _ => called.out.remove(id),
                };
                200
            }
            _ => 404,
        };
        let mut answer = Response::new(StreamedBody::full(Bytes::new()));
        *answer.status_mut() = StatusCode::from_u16(status).unwrap();
        answer
    }

    /// Takes the attempts of a file, where it is whole.
    fn reread(&self, config: &Path) {
        let read = std::fs::read_to_string(config).unwrap();
        let config: Value = serde_json::from_str(&read).unwrap();
        let settings = &config["settings"];
        if settings["contract"].is_object() || self.wrong == Wrong::TakesHalfOfABrokenFile {
            self.attempts.set(settings["limits"]["max_allocations"].as_u64().unwrap());
        }
    }
}

async fn serve_all<F, R>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>, Rc<ConnectionHandle>) -> R + Clone + 'static,
    R: Future<Output = Response<StreamedBody>> + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let (line, answer) = (Rc::new(ConnectionHandle::default()), answer.clone());
        let own = line.clone();
        spawn_local(wire::serve(stream, Rc::default(), line, move |request| answer(request, own.clone())));
    }
}

impl NodeLauncher for Processes {
    fn launch(&self, options: LaunchOptions) -> io::Result<Box<dyn NodeProcess>> {
        let path = options.config.to_owned();
        let config: Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
        let (ask, mut asked) = mpsc::unbounded_channel();
        let wrong = self.wrong;
        let called = match wrong {
            Wrong::LosesBansOverAnUpgrade => Arc::default(),
            _ => self.called.clone(),
        };
        let (management, passed) =
            (options.admin_address, options.inherited_socket.map(|(socket, _)| socket));
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let addr = |name: &str| config[name].as_str().unwrap().parse::<SocketAddr>().unwrap();
            let types = config["settings"]["project_types"].as_array().unwrap();
            let of = |t: &Value, name: &str| t[name].as_str().unwrap().to_string();
            let node = Rc::new(Node {
                wrong,
                effects: types.iter().map(|t| (of(t, "name"), of(t, "effect"))).collect(),
                ramp_ms: config["settings"]["contract"]["ramp_time"].as_f64().unwrap() / 1000.0,
                members: RefCell::default(),
                turn: RefCell::default(),
                called,
                attempts: Cell::new(3),
                left: Cell::new(false),
            });
            LocalSet::new().block_on(&runtime, async move {
                node.reread(&path);
                spawn_local(node.clone().follow(addr("discovery")));
                if let Some(management) = management {
                    let node = node.clone();
                    let listener = wire::listen(management).unwrap();
                    spawn_local(serve_all(listener, move |request, _| node.clone().called(request)));
                }
                let was_passed = passed.is_some();
                let listener = match passed {
                    Some(socket) => {
                        socket.set_nonblocking(true).unwrap();
                        TcpListener::from_std(socket).unwrap()
                    }
                    None => wire::listen(addr("listen")).unwrap(),
                };
                let answers = node.clone();
                let accept = spawn_local(async move {
                    // The process before it accepts as well, and is ready: one without a list would turn away
                    // whom the front sends, and the front itself.
                    while was_passed && answers.members.borrow().is_empty() {
                        sleep(Duration::from_millis(1)).await;
                    }
                    serve_all(listener, move |request, line| answers.clone().answer(request, line)).await
                });
                while let Some(what) = asked.recv().await {
                    match what {
                        NodeSignal::Reload => node.reread(&path),
                        NodeSignal::Terminate => {
                            node.left.set(true);
                            accept.abort();
                        }
                        NodeSignal::Kill => return,
                    }
                }
            });
        });
        Ok(Box::new(Thread(Some(ask))))
    }
}

struct Thread(Option<mpsc::UnboundedSender<NodeSignal>>);

impl NodeProcess for Thread {
    fn signal(&mut self, signal: NodeSignal) -> io::Result<()> {
        if let Some(ask) = &self.0 {
            let _ = ask.send(signal);
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

/// Days are played in real time: so many at once that a machine which has other work answers in time.
static TURNS: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

/// Three executors of which one is replaced by a cold one, and a third of whose work breaks.
const DAY: &str = r#"
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

/// The same under the hands of operators: fewer attempts, an executor out over an upgrade, a broken file, a drain.
const HANDS: &str = r#"
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

fn day(wrong: Wrong, by_hand: bool) -> Report {
    let text = if by_hand {
        // Work breaks over the whole day, and no executor is replaced.
        let first = DAY.split("[[events]]").next().unwrap();
        let first = first.replace("to = \"1500ms\"", "to = \"9s\"").replace("2500ms", "9500ms");
        first + HANDS
    } else {
        DAY.to_string()
    };
    let mut scenario = Scenario::parse(&text, "mutants").unwrap();
    if wrong == Wrong::IgnoresWarmth {
        scenario.traffic.get_mut().load = 0.9;
    }
    let folder = tempfile::tempdir().unwrap();
    let launch = Arc::new(Processes { wrong, called: Arc::default() });
    rehearse(&Arc::new(scenario), 3, launch, folder.path(), Arc::new(Progress::default())).unwrap()
}

#[test]
fn each_wrong_host_is_named_by_what_is_wrong_with_it() {
    use Wrong::*;
    let by_hand: &[(Wrong, &[(u8, &str)])] = &[
        (Nothing, &[]),
        (IgnoresBans, &[(3, "sent-to-banned")]),
        (LosesBansOverAnUpgrade, &[(3, "sent-to-banned")]),
        (DropsConnectionsUnread, &[(1, "ended-at-the-door")]),
        (TakesHalfOfABrokenFile, &[(2, "too-many-allocations")]),
        (StaysReadyWhileDrained, &[(1, "ready-while-drained"), (1, "taken-while-drained")]),
        (AnswersNoCall, &[(3, "call-failed")]),
    ];
    let cases: &[(Wrong, &[(u8, &str)])] = &[
        (Nothing, &[]),
        (AnswersLate, &[(1, "late-answer")]),
        (NeverAnswers, &[(1, "no-answer")]),
        (CutsOff, &[(1, "lost")]),
        (InventsResults, &[(1, "invented-result")]),
        (SendsAfterItsAnswer, &[(1, "sent-after-final")]),
        (MakesUpIds, &[(1, "unknown-id")]),
        (SendsTwoAtOnce, &[(2, "repeat"), (2, "two-out")]),
        (SendsFourTimes, &[(2, "too-many-allocations")]),
        (RepeatsWhatMayHaveRun, &[(2, "repeat")]),
        (DefersWhatMayHaveRun, &[(2, "deferred-may-have-run")]),
        (IgnoresDrains, &[(3, "sent-to-drained")]),
        (IgnoresWarmth, &[(4, "pushed-over")]),
    ];
    thread::scope(|all| {
        let cases = cases.iter().map(|case| (case, false)).chain(by_hand.iter().map(|case| (case, true)));
        for (k, (&(wrong, expected), by_hand)) in cases.enumerate() {
            all.spawn(move || {
                let _turn = TURNS[k % TURNS.len()].lock().unwrap_or_else(PoisonError::into_inner);
                let report = day(wrong, by_hand);
                let mut found: Vec<(u8, &str)> =
                    report.verdict.violations.iter().map(|b| (b.rule, b.kind.name())).collect();
                found.sort_unstable();
                found.dedup();
                // Without an answered call there is no next process, and nothing else is judged.
                found.retain(|(_, name)| wrong != AnswersNoCall || *name == "call-failed");
                assert_eq!(found, expected, "{wrong:?}: {:#?}", report.verdict.violations.first());
                assert_eq!(report.verdict.overload_failures > 0, wrong == IgnoresWarmth, "{wrong:?}");
                assert!(report.verdict.all.requests > 100);
                // Who sent what is said where a cold one was pushed over.
                let pushed = report.verdict.violations.iter().find(|b| b.rule == 4);
                assert!(pushed.is_none_or(
                    |b| b.description.contains("s-00003 stands") && b.description.contains("n0 ")
                ));
            });
        }
    });
}
