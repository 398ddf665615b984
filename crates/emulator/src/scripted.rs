//! Peers that do just what a test tells them, each on a thread and a free loopback port of its own.
use crate::wire::{self, Abort, ConnectionHandle, StreamedBody};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use std::collections::VecDeque;
use std::future::{Future, pending};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::Mutex as Turn;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const PATIENCE: Duration = Duration::from_secs(20);

/// What an executor does with one allocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Done,
    /// A result of so many bytes.
    Large(usize),
    Status500,
    /// 503, and it says that it has not started.
    Rejected,
    Returned,
    Lost,
    CloseConnection,
    Silent,
    Garbage,
    OtherId,
    /// A result that says of no work unit that it is its own.
    NoId,
    /// It tells of a start, then hands it back unstarted.
    StartedAndReturned,
    /// Two results, one after the other, and then the answer never ends.
    Endless,
    /// Done, lost or turned away unstarted, once the test says so.
    Wait,
    WaitAndLose,
    WaitAndReject,
}

/// A message as it came: its head, a line each, and its body.
pub type Message = (String, Vec<u8>);

/// Serves each connection of a new listener, on a thread of its own that ends with the process.
fn serve_on_a_thread<F, R>(answer: impl FnOnce() -> F + Send + 'static) -> SocketAddr
where
    F: Fn(Request<Incoming>, Rc<ConnectionHandle>) -> R + 'static,
    R: Future<Output = Response<StreamedBody>> + 'static,
{
    let (told, addr) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = wire::listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
            let _ = told.send(listener.local_addr().expect("it is bound"));
            let answer = Rc::new(answer());
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (line, answer) = (Rc::new(ConnectionHandle::default()), answer.clone());
                let own = line.clone();
                spawn_local(wire::serve(stream, Rc::default(), line, move |r| answer(r, own.clone())));
            }
        });
    });
    addr.recv().expect("the thread starts")
}

async fn message(request: Request<Incoming>) -> Option<Message> {
    let (parts, body) = request.into_parts();
    let mut head = format!("{} {} HTTP/1.1\r\n", parts.method, parts.uri);
    for (name, value) in &parts.headers {
        head += &format!("{name}: {}\r\n", String::from_utf8_lossy(value.as_bytes()));
    }
    Some((head, body.collect().await.ok()?.to_bytes().to_vec()))
}

fn status(status: u16) -> Response<StreamedBody> {
    let mut answer = Response::new(StreamedBody::full(""));
    *answer.status_mut() = StatusCode::from_u16(status).expect("a status of ours");
    answer
}

/// 503, and it has not started.
fn turned_away() -> Response<StreamedBody> {
    let mut answer = status(503);
    answer.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
    answer
}

/// An executor: it always has room, and does one act after the other, then [`Action::Done`].
pub struct Executor {
    pub addr: SocketAddr,
    pub actions: Arc<Mutex<VecDeque<Action>>>,
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Lets one that waits go on; how many have, over connections that were still open.
    pub resume: UnboundedSender<()>,
    pub resumed: Arc<AtomicUsize>,
    /// What it says of its load.
    pub load_report: Arc<Mutex<String>>,
    /// How long it takes to say so.
    pub load_report_delay: Arc<Mutex<Duration>>,
    /// How often it was asked for that.
    pub probe_count: Arc<AtomicUsize>,
    /// Cut off: connections come up and stay open, and nothing is ever said.
    pub is_silent: Arc<AtomicBool>,
    /// What it answers when it is asked for an allocation, the last one for ever; "never" where there is none.
    pub fence_answers: Arc<Mutex<VecDeque<serde_json::Value>>>,
    /// The questions that came.
    pub fence_queries: Arc<Mutex<Vec<Message>>>,
}

#[derive(Clone)]
struct Script {
    acts: Arc<Mutex<VecDeque<Action>>>,
    seen: Arc<Mutex<Vec<Message>>>,
    wait: Arc<Turn<UnboundedReceiver<()>>>,
    went_on: Arc<AtomicUsize>,
    load: Arc<Mutex<String>>,
    load_takes: Arc<Mutex<Duration>>,
    probes: Arc<AtomicUsize>,
    mute: Arc<AtomicBool>,
    fates: Arc<Mutex<VecDeque<serde_json::Value>>>,
    asked: Arc<Mutex<Vec<Message>>>,
}

impl Executor {
    pub fn start() -> Self {
        let (go_on, wait) = unbounded_channel();
        let script = Script {
            acts: Arc::default(),
            seen: Arc::default(),
            wait: Arc::new(Turn::new(wait)),
            went_on: Arc::default(),
            probes: Arc::default(),
            load: Arc::new(Mutex::new("queue=0,x0=8".into())),
            load_takes: Arc::default(),
            mute: Arc::default(),
            fates: Arc::default(),
            asked: Arc::default(),
        };
        let (load, load_takes) = (script.load.clone(), script.load_takes.clone());
        let probes = script.probes.clone();
        let went_on = script.went_on.clone();
        let (fates, asked) = (script.fates.clone(), script.asked.clone());
        let (acts, seen, mute) = (script.acts.clone(), script.seen.clone(), script.mute.clone());
        let addr = serve_on_a_thread(move || {
            move |request, line| {
                let script = script.clone();
                async move { script.answer(request, line).await }
            }
        });
        Executor {
            addr,
            actions: acts,
            requests: seen,
            resume: go_on,
            resumed: went_on,
            load_report: load,
            load_report_delay: load_takes,
            probe_count: probes,
            is_silent: mute,
            fence_answers: fates,
            fence_queries: asked,
        }
    }

    /// Waits until so many allocations have come.
    ///
    /// # Panics
    /// Where they do not come in time.
    pub fn wait_for_attempts(&self, count: usize) {
        let end = Instant::now() + PATIENCE;
        while self.requests.lock().unwrap().len() < count {
            assert!(Instant::now() < end, "allocations come in time");
            thread::yield_now();
        }
    }
}

impl Script {
    async fn answer(self, request: Request<Incoming>, line: Rc<ConnectionHandle>) -> Response<StreamedBody> {
        if self.mute.load(Ordering::Relaxed) {
            return pending().await;
        }
        if request.method() == Method::GET {
            self.probes.fetch_add(1, Ordering::Relaxed);
            let (load, takes) = (self.load.lock().unwrap().clone(), *self.load_takes.lock().unwrap());
            if !takes.is_zero() {
                sleep(takes).await;
            }
            return Response::new(StreamedBody::full(load));
        }
        let id =
            request.headers().get("request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_string();
        let asks = request.uri().path() == "/_fence";
        let Some(message) = message(request).await else { return status(400) };
        if asks {
            self.asked.lock().unwrap().push(message);
            let mut fates = self.fates.lock().unwrap();
            let next = if fates.len() > 1 { fates.pop_front() } else { fates.front().cloned() };
            return Response::new(StreamedBody::full(next.unwrap_or(json!({"state": "never"})).to_string()));
        }
        // The act is chosen before the test can see the allocation, so that it may list the next one.
        let act = self.acts.lock().unwrap().pop_front().unwrap_or(Action::Done);
        self.seen.lock().unwrap().push(message);
        let say = |lines: &[serde_json::Value]| {
            let (send, body) = StreamedBody::new(None);
            for said in lines {
                let _ = send.send(format!("{said}\n").into());
            }
            Response::new(body)
        };
        let started = json!({"id": id, "state": "started"});
        let lost = json!({"id": id, "state": "lost"});
        let done = |id: &str, size: usize| json!({"id": id, "state": "done", "result": "r".repeat(size)});
        match act {
            Action::Done => {
                say(&[started, json!({"id": id, "state": "running", "share": 0.4}), done(&id, 3)])
            }
            Action::Large(size) => say(&[done(&id, size)]),
            Action::Status500 => status(500),
            Action::Rejected => turned_away(),
            Action::Returned => say(&[json!({"id": id, "state": "returned"})]),
            Action::Lost => say(&[started, lost]),
            Action::CloseConnection => {
                line.abort(Abort::Write(b""));
                pending().await
            }
            // Until the node gives up and closes.
            Action::Silent => pending().await,
            Action::Garbage => {
                line.abort(Abort::Write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
                pending().await
            }
            Action::NoId => say(&[json!({"state": "done", "result": "rrr"})]),
            Action::StartedAndReturned => say(&[started, json!({"id": id, "state": "returned"})]),
            Action::Endless => {
                let (send, body) = StreamedBody::new(None);
                spawn_local(async move {
                    let mut said = done(&id, 3);
                    while send.send(format!("{said}\n").into()).is_ok() {
                        said = json!({"id": id, "state": "failed"});
                        sleep(Duration::from_millis(1)).await;
                    }
                });
                Response::new(body)
            }
            Action::OtherId => say(&[done("0000000000000000", 3)]),
            Action::Wait | Action::WaitAndLose | Action::WaitAndReject => {
                self.wait.lock().await.recv().await;
                self.went_on.fetch_add(1, Ordering::Relaxed);
                match act {
                    Action::Wait => say(&[done(&id, 3)]),
                    Action::WaitAndLose => say(&[lost]),
                    _ => turned_away(),
                }
            }
        }
    }
}

/// Discovery: every watch gets the first line, then what the test sends; an empty text breaks the watch off.
pub struct Discovery {
    pub addr: SocketAddr,
    pub lines: UnboundedSender<String>,
    /// The first line of each request that came.
    pub requests: mpsc::Receiver<String>,
}

impl Discovery {
    pub fn start(first: String) -> Self {
        let (lines, to_send) = unbounded_channel::<String>();
        let (ask, asked) = mpsc::channel();
        let to_send = Arc::new(Turn::new(to_send));
        let addr = serve_on_a_thread(move || {
            move |request: Request<Incoming>, line: Rc<ConnectionHandle>| {
                let _ = ask.send(format!("{} {} HTTP/1.1", request.method(), request.uri()));
                let (send, body) = StreamedBody::new(None);
                let _ = send.send(format!("{first}\n").into());
                let to_send = to_send.clone();
                spawn_local(async move {
                    let watching = async {
                        let mut to_send = to_send.lock().await;
                        loop {
                            let text = tokio::select! {
                                text = to_send.recv() => text.unwrap_or_default(),
                                () = sleep(Duration::from_millis(500)) => "\n".into(),
                            };
                            if text.is_empty() {
                                return line.abort(Abort::Write(b""));
                            }
                            if send.send(format!("{text}\n").into()).is_err() {
                                return;
                            }
                        }
                    };
                    tokio::select! {
                        () = watching => {}
                        () = send.closed() => {}
                    }
                });
                async move { Response::new(body) }
            }
        });
        Discovery { addr, lines, requests: asked }
    }
}

/// Listens with so small a queue and so little that the system takes in.
fn raw_listener(queue: i32, received: Option<usize>) -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    if let Some(most) = received {
        socket.set_recv_buffer_size(most).expect("a size");
    }
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a free port");
    socket.listen(queue).expect("it listens");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("it is bound");
    (listener, addr)
}

/// The first line of the next head; none at the end of what comes.
fn asked_for(stream: &mut impl BufRead) -> Option<String> {
    let (mut first, mut line) = (String::new(), String::new());
    stream.read_line(&mut first).ok().filter(|&n| n > 0)?;
    while line != "\r\n" {
        line.clear();
        stream.read_line(&mut line).ok().filter(|&n| n > 0)?;
    }
    Some(first)
}

/// An executor with room for so few connections that the one for an allocation comes up only when the test says
/// so: it answers the first probe, and takes no further connection until then.
pub struct FullBacklogExecutor {
    pub addr: SocketAddr,
    pub resume: mpsc::Sender<()>,
    /// What came over connections after that.
    pub received: thread::JoinHandle<Vec<u8>>,
}

impl FullBacklogExecutor {
    pub fn start() -> Self {
        let (listener, addr) = raw_listener(0, None);
        let (go_on, wait) = mpsc::channel();
        let came = thread::spawn(move || {
            let (probe, _) = listener.accept().expect("a connection");
            let mut probe = BufReader::new(probe);
            asked_for(&mut probe).expect("a probe");
            let fill = || TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
            let crowd: Vec<_> = std::iter::from_fn(fill).collect();
            let load = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\nqueue=0,x0=8";
            probe.get_mut().write_all(load.as_bytes()).expect("it is waited for");
            drop(probe);
            let _ = wait.recv();
            drop(crowd);
            // Who was in the crowd says nothing; then comes the one that was connecting, or it has given up.
            listener.set_nonblocking(true).expect("a listener");
            let (end, mut bytes) = (Instant::now() + Duration::from_secs(4), Vec::new());
            while Instant::now() < end {
                if let Ok((mut stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).expect("a connection");
                    stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a connection");
                    let _ = stream.read_to_end(&mut bytes);
                }
                thread::yield_now();
            }
            bytes
        });
        FullBacklogExecutor { addr, resume: go_on, received: came }
    }
}

/// An executor that reads the head of an allocation and no more before the test says so.
pub struct SlowReadingExecutor {
    pub addr: SocketAddr,
    /// One for each allocation whose head has come.
    pub heads: mpsc::Receiver<()>,
    pub resume: mpsc::Sender<()>,
    /// How many bytes came after that, up to the connection's end.
    pub remaining_bytes: mpsc::Receiver<usize>,
}

impl SlowReadingExecutor {
    pub fn start() -> Self {
        let (listener, addr) = raw_listener(16, Some(4096));
        let ((begin, began), (go_on, wait), (count, rest)) =
            (mpsc::channel(), mpsc::channel(), mpsc::channel());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = BufReader::with_capacity(256, stream.expect("a connection"));
                while let Some(asked) = asked_for(&mut stream) {
                    if asked.starts_with("GET") {
                        let load = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nqueue=0,x0=8";
                        stream.get_mut().write_all(load.as_bytes()).expect("it is waited for");
                        continue;
                    }
                    let _ = begin.send(());
                    let _ = wait.recv();
                    let mut bytes = Vec::new();
                    let _ = stream.read_to_end(&mut bytes);
                    let _ = count.send(bytes.len());
                }
            }
        });
        SlowReadingExecutor { addr, heads: began, resume: go_on, remaining_bytes: rest }
    }
}
