//! One fake agent: serves the catalogue on a loopback address, with a fault if a test sets one.
use crate::catalogue::{Catalogue, Cluster, Service, ServiceKey, Status, index_of};
use crate::query::{Query, percent_decode};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use troutknot_emulator::wire::{self, Cut, Gate, Line, Lines};

const HEALTH_PATH: &str = "/v1/health/service/";
/// Requests that are remembered for [`Agent::take_requests`], so that a test that never takes them is bounded.
const MAX_RECORDED_REQUESTS: usize = 100_000;
/// How long a half-sent body stays unfinished before its connection is cut.
const TRUNCATED_BODY_DELAY: Duration = Duration::from_millis(20);
/// How long the rest of a half-sent body is held back; longer than [`TRUNCATED_BODY_DELAY`].
const BODY_HOLD_TIME: Duration = Duration::from_secs(1);
/// Consul adds up to this part of the wait to a blocking query; the fake one always adds all of it.
const WAIT_JITTER_DIVISOR: u32 = 16;
/// An answer with a high index and a body that is not valid JSON.
const INVALID_JSON_ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nX-Consul-Index: 99999\r\nContent-Length: 9\r\n\r\n[{\"Node\":";

/// What is wrong with an agent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// Nothing.
    None,
    /// Connections are accepted, nothing is answered, and open ones hang.
    Silent,
    /// Every answer is delayed.
    Delayed(Duration),
    /// Every answer is status 500.
    Status500,
    /// Every answer is status 500 and says that no leader is known.
    NoLeader,
    /// Every answer has the right index and an empty list.
    Empty,
    /// The connection ends in the middle of the body.
    TruncatedBody,
    /// The catalogue as it was when the fault was set.
    StaleView,
    /// Every answer has a high index and a body that is not valid JSON.
    InvalidJson,
}

/// Notified of the instances and statuses in each answer that shows the current catalogue.
pub type AnswerCallback = Box<dyn Fn(&[(String, Status)])>;

/// One agent of a cluster.
pub struct Agent {
    /// Where it listens.
    pub addr: SocketAddr,
    cluster: Rc<Cluster>,
    fault: watch::Sender<Fault>,
    stale_view: RefCell<Option<Catalogue>>,
    gate: Rc<Gate>,
    connections: RefCell<Vec<Weak<Line>>>,
    token: Option<String>,
    answer_callback: RefCell<Option<AnswerCallback>>,
    requests: RefCell<Vec<String>>,
}

impl Agent {
    /// Serves at an address. If a token is given, a request without it is answered with 403.
    ///
    /// # Errors
    /// If the address cannot be listened at.
    pub fn start(cluster: &Rc<Cluster>, address: SocketAddr, token: Option<&str>) -> io::Result<Rc<Self>> {
        let listener = wire::listen(address)?;
        let agent = Rc::new(Agent {
            addr: listener.local_addr()?,
            cluster: cluster.clone(),
            fault: watch::channel(Fault::None).0,
            stale_view: RefCell::default(),
            gate: Rc::default(),
            connections: RefCell::default(),
            token: token.map(String::from),
            answer_callback: RefCell::default(),
            requests: RefCell::default(),
        });
        spawn_local(agent.clone().accept(listener));
        Ok(agent)
    }

    /// Sets the fault from now on; queries that block now get it too.
    pub fn set_fault(&self, fault: Fault) {
        let view = (fault == Fault::StaleView).then(|| self.cluster.catalogue().clone());
        *self.stale_view.borrow_mut() = view;
        self.gate.set(fault == Fault::Silent);
        self.fault.send_replace(fault);
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        let connections = std::mem::take(&mut *self.connections.borrow_mut());
        connections.iter().filter_map(Weak::upgrade).for_each(|connection| connection.cut(Cut::Reset));
    }

    /// Sets what is notified of answers.
    pub fn set_answer_callback(&self, notify: AnswerCallback) {
        *self.answer_callback.borrow_mut() = Some(notify);
    }

    /// Path and query of every request since the last call.
    pub fn take_requests(&self) -> Vec<String> {
        std::mem::take(&mut *self.requests.borrow_mut())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let connection = Rc::new(Line::default());
            self.add_connection(&connection);
            let (agent, own) = (self.clone(), connection.clone());
            spawn_local(wire::serve(stream, self.gate.clone(), connection, move |request| {
                let (agent, connection) = (agent.clone(), own.clone());
                async move { agent.answer(request, connection).await }
            }));
        }
    }

    fn add_connection(&self, connection: &Rc<Line>) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Rc::downgrade(connection));
    }

    fn record_request(&self, request: &Request<Incoming>) {
        let mut requests = self.requests.borrow_mut();
        if requests.len() < MAX_RECORDED_REQUESTS {
            requests.push(request.uri().path_and_query().map(ToString::to_string).unwrap_or_default());
        }
    }

    async fn answer(&self, request: Request<Incoming>, connection: Rc<Line>) -> Response<Lines> {
        self.record_request(&request);
        let key = match self.authorized_key(&request) {
            Ok(key) => key,
            Err(refusal) => return refusal.response(),
        };
        let query = Query::parse(request.uri().query().unwrap_or(""));
        let wait = query.wait();
        self.block(&key, query.index(), wait + wait / WAIT_JITTER_DIVISOR).await;
        let fault = *self.fault.borrow();
        match fault {
            Fault::Delayed(delay) => sleep(delay).await,
            Fault::Status500 => return error(StatusCode::INTERNAL_SERVER_ERROR, "rpc error"),
            Fault::NoLeader => return no_leader(),
            Fault::InvalidJson => {
                connection.cut(Cut::Say(INVALID_JSON_ANSWER));
                return std::future::pending().await;
            }
            _ => {}
        }
        self.health(&key, fault, &connection)
    }

    /// The service that a request asks for.
    ///
    /// # Errors
    /// If the token, the path or the datacenter is wrong.
    fn authorized_key(&self, request: &Request<Incoming>) -> Result<ServiceKey, Refusal> {
        let token = request.headers().get("x-consul-token").and_then(|token| token.to_str().ok());
        if self.token.is_some() && token != self.token.as_deref() {
            return Err(Refusal::Forbidden);
        }
        let Some(service) = request.uri().path().strip_prefix(HEALTH_PATH).map(percent_decode) else {
            return Err(Refusal::NotFound);
        };
        let query = Query::parse(request.uri().query().unwrap_or(""));
        let datacenter = query.datacenter().unwrap_or(&self.cluster.datacenter).to_string();
        if datacenter != self.cluster.datacenter {
            return Err(Refusal::UnknownDatacenter);
        }
        Ok(ServiceKey { datacenter, service })
    }

    fn health(&self, key: &ServiceKey, fault: Fault, connection: &Rc<Line>) -> Response<Lines> {
        let stale_view = self.stale_view.borrow();
        let current = self.cluster.catalogue();
        let catalogue = stale_view.as_ref().unwrap_or(&current);
        let index = index_of(catalogue, key);
        let empty = Service::default();
        let service = catalogue.get(key).filter(|_| fault != Fault::Empty).unwrap_or(&empty);
        let body = service.body();
        if fault == Fault::TruncatedBody {
            return with_consul_headers(truncated_response(body, connection), index);
        }
        if let Some(notify) = &*self.answer_callback.borrow()
            && !matches!(fault, Fault::Empty | Fault::StaleView)
        {
            notify(&service.statuses());
        }
        with_consul_headers(Response::new(Lines::whole(body)), index)
    }

    fn index_of(&self, key: &ServiceKey) -> u64 {
        let stale_view = self.stale_view.borrow();
        index_of(stale_view.as_ref().unwrap_or(&self.cluster.catalogue()), key)
    }

    /// Blocks a query until its service has another index than the query's, or its time is up.
    async fn block(&self, key: &ServiceKey, index: u64, wait: Duration) {
        if index == 0 {
            return;
        }
        let end = Instant::now() + wait;
        let (mut changes, mut faults) = (self.cluster.watch(), self.fault.subscribe());
        let _ = faults.borrow_and_update();
        // A higher index than the service's belongs to another sequence; it is answered at once.
        while self.index_of(key) == index {
            tokio::select! {
                _ = changes.changed() => {}
                _ = faults.changed() => {
                    if !matches!(*faults.borrow(), Fault::None | Fault::Delayed(_) | Fault::StaleView) {
                        return;
                    }
                }
                () = sleep_until(end) => return,
            }
        }
    }
}

/// Why a request is refused.
enum Refusal {
    Forbidden,
    NotFound,
    UnknownDatacenter,
}

impl Refusal {
    fn response(self) -> Response<Lines> {
        match self {
            Refusal::Forbidden => error(StatusCode::FORBIDDEN, "Permission denied"),
            Refusal::NotFound => error(StatusCode::NOT_FOUND, ""),
            Refusal::UnknownDatacenter => error(StatusCode::INTERNAL_SERVER_ERROR, "No path to datacenter"),
        }
    }
}

fn error(status: StatusCode, body: &'static str) -> Response<Lines> {
    let mut answer = Response::new(Lines::whole(body));
    *answer.status_mut() = status;
    answer
}

fn no_leader() -> Response<Lines> {
    let mut answer = error(StatusCode::INTERNAL_SERVER_ERROR, "No cluster leader");
    answer.headers_mut().insert("x-consul-knownleader", HeaderValue::from_static("false"));
    answer
}

/// An answer whose connection is cut in the middle of its body.
fn truncated_response(mut body: String, connection: &Rc<Line>) -> Response<Lines> {
    let half = body.len() / 2;
    body.truncate(half);
    connection.cut_after(TRUNCATED_BODY_DELAY);
    let (send, lines) = Lines::new(None);
    let _ = send.send(body.into());
    // The body must not end before the connection does.
    spawn_local(async move {
        sleep(BODY_HOLD_TIME).await;
        drop(send);
    });
    Response::new(lines)
}

fn with_consul_headers(mut answer: Response<Lines>, index: u64) -> Response<Lines> {
    let headers = answer.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert("x-consul-index", HeaderValue::from(index));
    headers.insert("x-consul-knownleader", HeaderValue::from_static("true"));
    headers.insert("x-consul-lastcontact", HeaderValue::from_static("0"));
    answer
}
