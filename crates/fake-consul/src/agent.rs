//! A fake agent, which serves the catalog on a loopback address and simulates a fault if a test sets one.
use crate::catalog::{Catalog, Cluster, Service, ServiceKey, Status, service_index};
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
use troutknot_emulator::wire::{self, Abort, ConnectionHandle, Gate, StreamedBody};

const HEALTH_PATH: &str = "/v1/health/service/";
/// Upper bound on the requests recorded for [`Agent::take_requests`], so that memory is bounded if a test never takes
/// them.
const MAX_RECORDED_REQUESTS: usize = 100_000;
/// How long a truncated body stays unfinished before its connection is closed.
const TRUNCATED_BODY_DELAY: Duration = Duration::from_millis(20);
/// How long a truncated body is kept from ending; longer than [`TRUNCATED_BODY_DELAY`].
const BODY_HOLD_TIME: Duration = Duration::from_secs(1);
/// Consul prolongs the wait of a blocking query by up to its 16th part; the fake agent always adds the whole part.
const WAIT_JITTER_DIVISOR: u32 = 16;
/// A response with a high index and a body that is not valid JSON.
const INVALID_JSON_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nX-Consul-Index: 99999\r\nContent-Length: 9\r\n\r\n[{\"Node\":";

/// A fault that an agent simulates.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// No fault.
    None,
    /// Connections are accepted, but no request is answered, on open connections either.
    Silent,
    /// Every response is delayed by this time.
    Delayed(Duration),
    /// Every response has status 500.
    Status500,
    /// Every response has status 500 and reports that the cluster has no leader.
    NoLeader,
    /// Every response has the correct index and an empty list.
    Empty,
    /// The connection is closed in the middle of the body.
    TruncatedBody,
    /// Every response shows the catalog as it was when the fault was set.
    StaleView,
    /// Every response has a high index and a body that is not valid JSON.
    InvalidJson,
}

/// Called with the instances and statuses of each response that shows the current catalog.
pub type ResponseCallback = Box<dyn Fn(&[(String, Status)])>;

/// One agent of a cluster.
pub struct Agent {
    /// The address that it listens on.
    pub addr: SocketAddr,
    cluster: Rc<Cluster>,
    fault: watch::Sender<Fault>,
    stale_view: RefCell<Option<Catalog>>,
    gate: Rc<Gate>,
    connections: RefCell<Vec<Weak<ConnectionHandle>>>,
    token: Option<String>,
    response_callback: RefCell<Option<ResponseCallback>>,
    requests: RefCell<Vec<String>>,
}

impl Agent {
    /// Starts an agent at an address. If a token is given, requests without it are answered with status 403.
    ///
    /// # Errors
    /// If the agent cannot listen on the address.
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
            response_callback: RefCell::default(),
            requests: RefCell::default(),
        });
        spawn_local(agent.clone().accept(listener));
        Ok(agent)
    }

    /// Sets the fault from now on, also for queries that are blocked now.
    pub fn set_fault(&self, fault: Fault) {
        let stale_view = (fault == Fault::StaleView).then(|| self.cluster.catalog().clone());
        *self.stale_view.borrow_mut() = stale_view;
        self.gate.set_closed(fault == Fault::Silent);
        self.fault.send_replace(fault);
    }

    /// Closes all connections with a reset.
    pub fn reset_connections(&self) {
        let connections = std::mem::take(&mut *self.connections.borrow_mut());
        connections.iter().filter_map(Weak::upgrade).for_each(|connection| connection.abort(Abort::Reset));
    }

    /// Sets the callback for responses.
    pub fn set_response_callback(&self, callback: ResponseCallback) {
        *self.response_callback.borrow_mut() = Some(callback);
    }

    /// Returns path and query of every request since the last call.
    pub fn take_requests(&self) -> Vec<String> {
        std::mem::take(&mut *self.requests.borrow_mut())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let connection = Rc::new(ConnectionHandle::default());
            self.add_connection(&connection);
            let (agent, agent_connection) = (self.clone(), connection.clone());
            spawn_local(wire::serve(stream, self.gate.clone(), connection, move |request| {
                let (agent, connection) = (agent.clone(), agent_connection.clone());
                async move { agent.respond(request, connection).await }
            }));
        }
    }

    fn add_connection(&self, connection: &Rc<ConnectionHandle>) {
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

    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: Rc<ConnectionHandle>,
    ) -> Response<StreamedBody> {
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
            Fault::Status500 => return error_response(StatusCode::INTERNAL_SERVER_ERROR, "rpc error"),
            Fault::NoLeader => return no_leader_response(),
            Fault::InvalidJson => {
                connection.abort(Abort::Write(INVALID_JSON_RESPONSE));
                return std::future::pending().await;
            }
            _ => {}
        }
        self.health_response(&key, fault, &connection)
    }

    /// Checks the token, and returns the service that a request asks for.
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

    /// Builds the response of the health API for a service.
    fn health_response(
        &self,
        key: &ServiceKey,
        fault: Fault,
        connection: &Rc<ConnectionHandle>,
    ) -> Response<StreamedBody> {
        let stale_view = self.stale_view.borrow();
        let current = self.cluster.catalog();
        let catalog = stale_view.as_ref().unwrap_or(&current);
        let index = service_index(catalog, key);
        let empty = Service::default();
        let service = catalog.get(key).filter(|_| fault != Fault::Empty).unwrap_or(&empty);
        let body = service.body();
        if fault == Fault::TruncatedBody {
            return with_consul_headers(truncated_response(body, connection), index);
        }
        if let Some(callback) = &*self.response_callback.borrow()
            && !matches!(fault, Fault::Empty | Fault::StaleView)
        {
            callback(&service.statuses());
        }
        with_consul_headers(Response::new(StreamedBody::full(body)), index)
    }

    /// Returns the index of a service, in the stale catalog if that fault is set.
    fn service_index(&self, key: &ServiceKey) -> u64 {
        let stale_view = self.stale_view.borrow();
        service_index(stale_view.as_ref().unwrap_or(&self.cluster.catalog()), key)
    }

    /// Blocks a query until the index of its service differs from the query's, a fault other than a delay or a stale view
    /// is set, or `wait` has passed.
    async fn block(&self, key: &ServiceKey, index: u64, wait: Duration) {
        if index == 0 {
            return;
        }
        let deadline = Instant::now() + wait;
        let (mut changes, mut faults) = (self.cluster.watch(), self.fault.subscribe());
        let _ = faults.borrow_and_update();
        // An index higher than the service's is from before a reset; such a query is answered at once.
        while self.service_index(key) == index {
            tokio::select! {
                _ = changes.changed() => {}
                _ = faults.changed() => {
                    if !matches!(*faults.borrow(), Fault::None | Fault::Delayed(_) | Fault::StaleView) {
                        return;
                    }
                }
                () = sleep_until(deadline) => return,
            }
        }
    }
}

/// Why a request is refused with an error status.
enum Refusal {
    Forbidden,
    NotFound,
    UnknownDatacenter,
}

impl Refusal {
    fn response(self) -> Response<StreamedBody> {
        match self {
            Refusal::Forbidden => error_response(StatusCode::FORBIDDEN, "Permission denied"),
            Refusal::NotFound => error_response(StatusCode::NOT_FOUND, ""),
            Refusal::UnknownDatacenter => {
                error_response(StatusCode::INTERNAL_SERVER_ERROR, "No path to datacenter")
            }
        }
    }
}

fn error_response(status: StatusCode, body: &'static str) -> Response<StreamedBody> {
    let mut response = Response::new(StreamedBody::full(body));
    *response.status_mut() = status;
    response
}

fn no_leader_response() -> Response<StreamedBody> {
    let mut response = error_response(StatusCode::INTERNAL_SERVER_ERROR, "No cluster leader");
    response.headers_mut().insert("x-consul-knownleader", HeaderValue::from_static("false"));
    response
}

/// Returns a response whose connection is closed in the middle of its body.
fn truncated_response(mut body: String, connection: &Rc<ConnectionHandle>) -> Response<StreamedBody> {
    let half = body.len() / 2;
    body.truncate(half);
    connection.reset_after(TRUNCATED_BODY_DELAY);
    let (sender, lines) = StreamedBody::new(None);
    let _ = sender.send(body.into());
    // The body must not end before the connection does.
    spawn_local(async move {
        sleep(BODY_HOLD_TIME).await;
        drop(sender);
    });
    Response::new(lines)
}

fn with_consul_headers(mut response: Response<StreamedBody>, index: u64) -> Response<StreamedBody> {
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert("x-consul-index", HeaderValue::from(index));
    headers.insert("x-consul-knownleader", HeaderValue::from_static("true"));
    headers.insert("x-consul-lastcontact", HeaderValue::from_static("0"));
    response
}
