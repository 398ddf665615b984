//! For each way to break a rule, a host that breaks it and nothing else: the referee must name just that.
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use troutknot_emulator::wire::{self, Cut, Line, Lines};
use troutknot_rehearsal::nodes::{Ask, Launch, Running, Used};
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
        let may = |m: &&Member| match self.wrong {
            Wrong::IgnoresDrains => m.started_ms == 0.0,
            Wrong::IgnoresWarmth => m.ready && m.started_ms > 0.0,
            _ => m.ready && now - m.started_ms > self.ramp_ms,
        };
        let mut of: Vec<SocketAddr> = members.values().filter(may).map(|m| m.addr).collect();
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

    async fn work(self: Rc<Self>, path: String, id: String, line: Rc<Line>) -> (u16, Bytes) {
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
        for _ in 0..3 {
            match self.allocate(&path, &id).await {
                Came::Result(result) => {
                    match self.wrong {
                        Wrong::AnswersLate => sleep(Duration::from_millis(900)).await,
                        Wrong::CutsOff => {
                            line.cut(Cut::Reset);
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

    async fn answer(self: Rc<Self>, request: Request<Incoming>, line: Rc<Line>) -> Response<Lines> {
        let (path, id) = (request.uri().path().to_string(), request.headers().get("request-id").cloned());
        let (status, body) = match (path.as_str(), id) {
            ("/_health", _) => (if self.members.borrow().is_empty() { 503 } else { 200 }, Bytes::new()),
            (_, Some(id)) => {
                let _ = request.into_body().collect().await;
                self.work(path, id.to_str().unwrap().to_string(), line).await
            }
            _ => (400, Bytes::new()),
        };
        let mut answer = Response::new(Lines::whole(body));
        *answer.status_mut() = StatusCode::from_u16(status).unwrap();
        answer
    }
}

impl Launch for Wrong {
    fn start(&self, config: &Path, _own: Option<&Path>, _log: File) -> io::Result<Box<dyn Running>> {
        let config: Value = serde_json::from_str(&std::fs::read_to_string(config)?)?;
        let (stop, stopped) = oneshot::channel::<()>();
        let wrong = *self;
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
            });
            LocalSet::new().block_on(&runtime, async move {
                spawn_local(node.clone().follow(addr("discovery")));
                let listener = wire::listen(addr("listen")).unwrap();
                let accept = async {
                    while let Ok((stream, _)) = listener.accept().await {
                        let (line, node) = (Rc::new(Line::default()), node.clone());
                        let own = line.clone();
                        spawn_local(wire::serve(stream, Rc::default(), line, move |request| {
                            node.clone().answer(request, own.clone())
                        }));
                    }
                };
                tokio::select! {
                    () = accept => {}
                    _ = stopped => {}
                }
            });
        });
        Ok(Box::new(Thread(Some(stop))))
    }
}

struct Thread(Option<oneshot::Sender<()>>);

impl Running for Thread {
    fn ask(&mut self, what: Ask) -> io::Result<()> {
        if what != Ask::Reread {
            self.0.take();
        }
        Ok(())
    }

    fn ended(&mut self) -> Option<bool> {
        self.0.is_none().then_some(true)
    }

    fn used(&self) -> Used {
        Used::default()
    }
}

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
hard_limit = "800ms"
[[project_types]]
name = "publish"
effect = "exclusive"
share = 2
work = "20ms"
promised_turnaround = "300ms"
hard_limit = "800ms"
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

fn day(wrong: Wrong) -> Report {
    let mut scenario = Scenario::parse(DAY, "mutants").unwrap();
    if wrong == Wrong::IgnoresWarmth {
        scenario.traffic.get_mut().load = 0.9;
    }
    let folder = tempfile::tempdir().unwrap();
    rehearse(&Arc::new(scenario), 3, Arc::new(wrong), folder.path(), Arc::new(Progress::default())).unwrap()
}

#[test]
fn each_wrong_host_is_named_by_what_is_wrong_with_it() {
    use Wrong::*;
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
        for &(wrong, expected) in cases {
            all.spawn(move || {
                let report = day(wrong);
                let mut found: Vec<(u8, &str)> =
                    report.verdict.breaches.iter().map(|b| (b.rule, b.name)).collect();
                found.sort_unstable();
                found.dedup();
                assert_eq!(found, expected, "{wrong:?}: {:#?}", report.verdict.breaches.first());
                assert_eq!(report.verdict.fell_over > 0, wrong == IgnoresWarmth, "{wrong:?}");
                assert!(report.verdict.all.requests > 100);
                // Who sent what is said where a cold one was pushed over.
                let pushed = report.verdict.breaches.iter().find(|b| b.rule == 4);
                assert!(pushed.is_none_or(|b| b.what.contains("s-00003 stands") && b.what.contains("n0 ")));
            });
        }
    });
}
