//! Peers that follow the script of a test, each on a thread and a free loopback port of its own.
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
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// How long [`Executor::wait_for_attempts`] waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// What an executor does with one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Reports the start and the progress, then a result.
    Done,
    /// Answers with a result of this many bytes.
    Large(usize),
    /// Answers with status 500.
    Status500,
    /// Answers with status 503 and the header that says that the attempt was not started.
    Rejected,
    /// Returns the attempt without having started it.
    Returned,
    /// Reports the start, then that the attempt is lost.
    Lost,
    /// Closes the connection without an answer.
    CloseConnection,
    /// Never answers.
    Silent,
    /// Answers with a malformed chunk and closes the connection.
    Garbage,
    /// Answers with a result for another request id.
    OtherId,
    /// Answers with a result without a request id.
    NoId,
    /// Reports the start, then returns the attempt as if it had not started.
    StartedAndReturned,
    /// Answers with a result and then with a contradicting event every millisecond, without an end.
    Endless,
    /// Waits for [`Executor::resume`], then answers with a result.
    Wait,
    /// Waits for [`Executor::resume`], then reports that the attempt is lost.
    WaitAndLose,
    /// Waits for [`Executor::resume`], then rejects the attempt as not started.
    WaitAndReject,
}

/// A received request: its head, one line per field, and its body.
pub type Message = (String, Vec<u8>);

/// Serves all connections of a new listener on a thread of its own, which ends with the process.
fn serve_on_thread<F, R>(answer: impl FnOnce() -> F + Send + 'static) -> SocketAddr
where
    F: Fn(Request<Incoming>, Rc<ConnectionHandle>) -> R + 'static,
    R: Future<Output = Response<StreamedBody>> + 'static,
{
    let (addr_sender, addr_receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = wire::listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
            let _ = addr_sender.send(listener.local_addr().expect("it is bound"));
            let answer = Rc::new(answer());
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (connection, answer) = (Rc::new(ConnectionHandle::default()), answer.clone());
                let handler_connection = connection.clone();
                spawn_local(wire::serve(stream, Rc::default(), connection, move |request| {
                    answer(request, handler_connection.clone())
                }));
            }
        });
    });
    addr_receiver.recv().expect("the thread starts")
}

/// Receives a request; `None` if its body breaks off.
async fn receive_message(request: Request<Incoming>) -> Option<Message> {
    let (parts, body) = request.into_parts();
    let mut head = format!("{} {} HTTP/1.1\r\n", parts.method, parts.uri);
    for (name, value) in &parts.headers {
        head += &format!("{name}: {}\r\n", String::from_utf8_lossy(value.as_bytes()));
    }
    Some((head, body.collect().await.ok()?.to_bytes().to_vec()))
}

fn status(status: u16) -> Response<StreamedBody> {
    let mut answer = Response::new(StreamedBody::full(""));
    *answer.status_mut() = StatusCode::from_u16(status).expect("a valid status");
    answer
}

/// Status 503 with the header that says that the attempt was not started.
fn rejected() -> Response<StreamedBody> {
    let mut answer = status(503);
    answer.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
    answer
}

/// An executor that always reports free capacity and follows its list of actions, then [`Action::Done`].
pub struct Executor {
    pub addr: SocketAddr,
    pub actions: Arc<Mutex<VecDeque<Action>>>,
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Continues one attempt that waits.
    pub resume: UnboundedSender<()>,
    /// The number of attempts that continued on a connection that was still open.
    pub resumed: Arc<AtomicUsize>,
    /// The load report that it answers probes with.
    pub load_report: Arc<Mutex<String>>,
    /// How long it delays the answer of a probe.
    pub load_report_delay: Arc<Mutex<Duration>>,
    /// The number of probes that it received.
    pub probe_count: Arc<AtomicUsize>,
    /// Whether it answers nothing, while connections are established and stay open.
    pub is_silent: Arc<AtomicBool>,
    /// The answers of fence queries, in order; the last one is repeated. If there is none, the answer is "never".
    pub fence_answers: Arc<Mutex<VecDeque<serde_json::Value>>>,
    /// The fence queries that it received.
    pub fence_queries: Arc<Mutex<Vec<Message>>>,
}

/// What the thread of an executor shares with the test.
#[derive(Clone)]
struct Script {
    actions: Arc<Mutex<VecDeque<Action>>>,
    requests: Arc<Mutex<Vec<Message>>>,
    wait: Arc<AsyncMutex<UnboundedReceiver<()>>>,
    resumed: Arc<AtomicUsize>,
    load_report: Arc<Mutex<String>>,
    load_report_delay: Arc<Mutex<Duration>>,
    probe_count: Arc<AtomicUsize>,
    is_silent: Arc<AtomicBool>,
    fence_answers: Arc<Mutex<VecDeque<serde_json::Value>>>,
    fence_queries: Arc<Mutex<Vec<Message>>>,
}

impl Executor {
    pub fn start() -> Self {
        let (resume, wait) = unbounded_channel();
        let script = Script {
            actions: Arc::default(),
            requests: Arc::default(),
            wait: Arc::new(AsyncMutex::new(wait)),
            resumed: Arc::default(),
            probe_count: Arc::default(),
            load_report: Arc::new(Mutex::new("queue=0,x0=8".into())),
            load_report_delay: Arc::default(),
            is_silent: Arc::default(),
            fence_answers: Arc::default(),
            fence_queries: Arc::default(),
        };
        let (load_report, load_report_delay) = (script.load_report.clone(), script.load_report_delay.clone());
        let probe_count = script.probe_count.clone();
        let resumed = script.resumed.clone();
        let (fence_answers, fence_queries) = (script.fence_answers.clone(), script.fence_queries.clone());
        let (actions, requests) = (script.actions.clone(), script.requests.clone());
        let is_silent = script.is_silent.clone();
        let addr = serve_on_thread(move || {
            move |request, connection| {
                let script = script.clone();
                async move { script.answer(request, connection).await }
            }
        });
        Executor {
            addr,
            actions,
            requests,
            resume,
            resumed,
            load_report,
            load_report_delay,
            probe_count,
            is_silent,
            fence_answers,
            fence_queries,
        }
    }

    /// Waits until `count` attempts have arrived.
    ///
    /// # Panics
    /// If they do not arrive within 20 s.
    pub fn wait_for_attempts(&self, count: usize) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while self.requests.lock().unwrap().len() < count {
            assert!(Instant::now() < end, "the attempts arrive in time");
            thread::yield_now();
        }
    }
}

impl Script {
    async fn answer(
        self,
        request: Request<Incoming>,
        connection: Rc<ConnectionHandle>,
    ) -> Response<StreamedBody> {
        if self.is_silent.load(Ordering::Relaxed) {
            return pending().await;
        }
        if request.method() == Method::GET {
            self.probe_count.fetch_add(1, Ordering::Relaxed);
            let (load_report, delay) =
                (self.load_report.lock().unwrap().clone(), *self.load_report_delay.lock().unwrap());
            if !delay.is_zero() {
                sleep(delay).await;
            }
            return Response::new(StreamedBody::full(load_report));
        }
        let id =
            request.headers().get("request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_string();
        let is_fence_query = request.uri().path() == "/_fence";
        let Some(message) = receive_message(request).await else { return status(400) };
        if is_fence_query {
            self.fence_queries.lock().unwrap().push(message);
            let mut answers = self.fence_answers.lock().unwrap();
            let next = if answers.len() > 1 { answers.pop_front() } else { answers.front().cloned() };
            return Response::new(StreamedBody::full(next.unwrap_or(json!({"state": "never"})).to_string()));
        }
        // The action is chosen before the test can see the attempt, so that the test can add the next action.
        let action = self.actions.lock().unwrap().pop_front().unwrap_or(Action::Done);
        self.requests.lock().unwrap().push(message);
        let answer_with = |events: &[serde_json::Value]| {
            let (sender, body) = StreamedBody::new(None);
            for event in events {
                let _ = sender.send(format!("{event}\n").into());
            }
            Response::new(body)
        };
        let started = json!({"id": id, "state": "started"});
        let lost = json!({"id": id, "state": "lost"});
        let done = |id: &str, size: usize| json!({"id": id, "state": "done", "result": "r".repeat(size)});
        match action {
            Action::Done => {
                answer_with(&[started, json!({"id": id, "state": "running", "share": 0.4}), done(&id, 3)])
            }
            Action::Large(size) => answer_with(&[done(&id, size)]),
            Action::Status500 => status(500),
            Action::Rejected => rejected(),
            Action::Returned => answer_with(&[json!({"id": id, "state": "returned"})]),
            Action::Lost => answer_with(&[started, lost]),
            Action::CloseConnection => {
                connection.abort(Abort::Write(b""));
                pending().await
            }
            // Ends when the node closes the connection.
            Action::Silent => pending().await,
            Action::Garbage => {
                connection
                    .abort(Abort::Write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
                pending().await
            }
            Action::NoId => answer_with(&[json!({"state": "done", "result": "rrr"})]),
            Action::StartedAndReturned => answer_with(&[started, json!({"id": id, "state": "returned"})]),
            Action::Endless => {
                let (sender, body) = StreamedBody::new(None);
                spawn_local(async move {
                    let mut event = done(&id, 3);
                    while sender.send(format!("{event}\n").into()).is_ok() {
                        event = json!({"id": id, "state": "failed"});
                        sleep(Duration::from_millis(1)).await;
                    }
                });
                Response::new(body)
            }
            Action::OtherId => answer_with(&[done("0000000000000000", 3)]),
            Action::Wait | Action::WaitAndLose | Action::WaitAndReject => {
                self.wait.lock().await.recv().await;
                self.resumed.fetch_add(1, Ordering::Relaxed);
                match action {
                    Action::Wait => answer_with(&[done(&id, 3)]),
                    Action::WaitAndLose => answer_with(&[lost]),
                    _ => rejected(),
                }
            }
        }
    }
}

/// Discovery: every watch receives the first line, then the lines of the test; an empty line closes its connection.
pub struct Discovery {
    pub addr: SocketAddr,
    pub lines: UnboundedSender<String>,
    /// The request line of each request.
    pub requests: mpsc::Receiver<String>,
}

impl Discovery {
    pub fn start(first_line: String) -> Self {
        let (lines, pending_lines) = unbounded_channel::<String>();
        let (request_sender, requests) = mpsc::channel();
        let pending_lines = Arc::new(AsyncMutex::new(pending_lines));
        let addr = serve_on_thread(move || {
            move |request: Request<Incoming>, connection: Rc<ConnectionHandle>| {
                let _ = request_sender.send(format!("{} {} HTTP/1.1", request.method(), request.uri()));
                let (sender, body) = StreamedBody::new(None);
                let _ = sender.send(format!("{first_line}\n").into());
                let pending_lines = pending_lines.clone();
                spawn_local(async move {
                    let send_lines = async {
                        let mut pending_lines = pending_lines.lock().await;
                        loop {
                            // Blank lines keep the watch alive while the test sends nothing.
                            let text = tokio::select! {
                                text = pending_lines.recv() => text.unwrap_or_default(),
                                () = sleep(Duration::from_millis(500)) => "\n".into(),
                            };
                            if text.is_empty() {
                                return connection.abort(Abort::Write(b""));
                            }
                            if sender.send(format!("{text}\n").into()).is_err() {
                                return;
                            }
                        }
                    };
                    tokio::select! {
                        () = send_lines => {}
                        () = sender.closed() => {}
                    }
                });
                async move { Response::new(body) }
            }
        });
        Discovery { addr, lines, requests }
    }
}

/// Listens on a free port with a given backlog, and a receive buffer of a given size if there is one.
fn open_listener(backlog: i32, receive_buffer_bytes: Option<usize>) -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    if let Some(bytes) = receive_buffer_bytes {
        socket.set_recv_buffer_size(bytes).expect("a size");
    }
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a free port");
    socket.listen(backlog).expect("it listens");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("it is bound");
    (listener, addr)
}

/// Reads the head of the next request and returns its request line; `None` at the end of the stream.
fn read_request_line(stream: &mut impl BufRead) -> Option<String> {
    let (mut request_line, mut line) = (String::new(), String::new());
    stream.read_line(&mut request_line).ok().filter(|&count| count > 0)?;
    while line != "\r\n" {
        line.clear();
        stream.read_line(&mut line).ok().filter(|&count| count > 0)?;
    }
    Some(request_line)
}

/// An executor whose backlog is full: it answers the first probe, and then establishes no further connection, so that
/// the connection of an attempt stays pending, until the test sends to `resume`.
pub struct FullBacklogExecutor {
    pub addr: SocketAddr,
    pub resume: mpsc::Sender<()>,
    /// The bytes received on all connections in the 4 s after the message to `resume`.
    pub received: thread::JoinHandle<Vec<u8>>,
}

impl FullBacklogExecutor {
    pub fn start() -> Self {
        let (listener, addr) = open_listener(0, None);
        let (resume, resumed) = mpsc::channel();
        let received = thread::spawn(move || {
            let (probe, _) = listener.accept().expect("a connection");
            let mut probe = BufReader::new(probe);
            read_request_line(&mut probe).expect("a probe");
            let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
            let backlog: Vec<_> = std::iter::from_fn(connect).collect();
            let load = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\nqueue=0,x0=8";
            probe.get_mut().write_all(load.as_bytes()).expect("the node waits for the answer");
            drop(probe);
            let _ = resumed.recv();
            drop(backlog);
            // The connections of the backlog carry no data; the pending one follows, unless the node gave it up.
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
        FullBacklogExecutor { addr, resume, received }
    }
}

/// An executor that reads the head of an attempt, and its body only after the test sends to `resume`.
pub struct SlowReadingExecutor {
    pub addr: SocketAddr,
    /// One message per attempt whose head was received.
    pub heads: mpsc::Receiver<()>,
    pub resume: mpsc::Sender<()>,
    /// The number of bytes received after the head and the message to `resume`, up to the end of the connection.
    pub remaining_bytes: mpsc::Receiver<usize>,
}

impl SlowReadingExecutor {
    pub fn start() -> Self {
        let (listener, addr) = open_listener(16, Some(4096));
        let ((head_sender, heads), (resume, resumed), (count_sender, remaining_bytes)) =
            (mpsc::channel(), mpsc::channel(), mpsc::channel());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = BufReader::with_capacity(256, stream.expect("a connection"));
                while let Some(request_line) = read_request_line(&mut stream) {
                    if request_line.starts_with("GET") {
                        let load = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nqueue=0,x0=8";
                        stream.get_mut().write_all(load.as_bytes()).expect("the node waits for the answer");
                        continue;
                    }
                    let _ = head_sender.send(());
                    let _ = resumed.recv();
                    let mut bytes = Vec::new();
                    let _ = stream.read_to_end(&mut bytes);
                    let _ = count_sender.send(bytes.len());
                }
            }
        });
        SlowReadingExecutor { addr, heads, resume, remaining_bytes }
    }
}
