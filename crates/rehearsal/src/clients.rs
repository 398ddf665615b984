//! The clients of a rehearsal: an open workload that sends each request at its planned time, over pooled connections.
use crate::plan::{Plan, Request};
use crate::scenario::{Effect, RequestClass, Scenario, millis};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use troutknot_emulator::Millis;
use troutknot_emulator::executors::format_result;
use troutknot_emulator::front::Front;
use troutknot_emulator::observations::{NodeNumber, Observation, ObservationLog};

/// How long after the deadline a client still waits, so that a late response is distinguished from none.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a request with an idempotency key is sent again to a node that did not respond.
const KEYED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of retries of a request with an idempotency key; request ids distinguish attempts up to 255.
const MAX_KEYED_RETRIES: u32 = 250;
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Connections that were idle for longer are not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// Longest `Retry-After` that a client follows, in seconds.
const MAX_RETRY_AFTER_S: f64 = 3600.0;
/// Maximum number of times that the retry delay is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    node: NodeNumber,
    reused: bool,
    /// When it was opened or last returned to the pool.
    idle_since: Instant,
}

/// All clients of a rehearsal.
pub struct Clients {
    scenario: Arc<Scenario>,
    plan: Arc<Plan>,
    observation_log: Arc<ObservationLog>,
    front: Rc<Front>,
    idle_connections: RefCell<Vec<PooledConnection>>,
    /// Limits the requests in flight.
    permits: Semaphore,
    /// The delay of each request against the plan, in milliseconds.
    send_delays: RefCell<Vec<Millis>>,
    ended_requests: Cell<usize>,
}

/// The result of one attempt.
enum AttemptResult {
    Completed,
    /// Rejected with 429 or 503, with the `Retry-After` of the response.
    Rejected(Option<Duration>),
    /// Any other response, an invalid result, or no response in time.
    Failed,
    /// The connection closed without a response.
    Disconnected,
    /// No connection was possible.
    Unreachable,
    /// The client disconnected.
    Abandoned,
}

impl Clients {
    /// Creates the clients of a plan, which connect through the given load balancer.
    pub fn new(
        scenario: Arc<Scenario>,
        plan: Arc<Plan>,
        observation_log: Arc<ObservationLog>,
        front: Rc<Front>,
    ) -> Rc<Self> {
        let permits = Semaphore::new(scenario.clients.max_connections);
        Rc::new(Clients {
            scenario,
            plan,
            observation_log,
            front,
            idle_connections: RefCell::default(),
            permits,
            send_delays: RefCell::default(),
            ended_requests: Cell::new(0),
        })
    }

    /// The number of requests that have ended.
    pub fn ended_requests(&self) -> usize {
        self.ended_requests.get()
    }

    /// The given quantile (0 to 1) of the delay with which requests were sent, in milliseconds.
    pub fn send_delay_ms(&self, quantile: f64) -> Millis {
        crate::referee::quantile(&mut self.send_delays.borrow_mut(), quantile)
    }

    /// Sends the requests of the plan; returns when the last one has ended.
    pub async fn play(self: Rc<Self>, started_at: Instant) {
        let mut open_requests = JoinSet::new();
        for (number, request) in self.plan.requests.iter().enumerate() {
            let due = started_at + Duration::from_secs_f64(request.at / 1000.0);
            if due > Instant::now() {
                sleep_until(due).await;
            }
            self.send_delays.borrow_mut().push(due.elapsed().as_secs_f64() * 1000.0);
            let clients = self.clone();
            open_requests.spawn_local(async move { clients.send_request(number, due).await });
            while open_requests.try_join_next().is_some() {}
        }
        while open_requests.join_next().await.is_some() {}
    }

    async fn send_request(&self, number: usize, due: Instant) {
        let request = &self.plan.requests[number];
        let class = self.scenario.request_classes[request.request_class].get_ref();
        let spec = &self.scenario.clients;
        let disconnects_at =
            request.disconnects_after.map(|after| due + Duration::from_secs_f64(after / 1000.0));
        if self.scenario.has_idempotency_key(class) {
            return self.send_keyed_request(number, request, class).await;
        }
        for attempt in 0..=spec.max_retries {
            let result = self.send_attempt(number, attempt, request, class, disconnects_at, None).await;
            let retry_after = match result {
                AttemptResult::Rejected(retry_after) => retry_after,
                AttemptResult::Unreachable => None,
                // A request that may have run is retried only if it is idempotent.
                AttemptResult::Failed | AttemptResult::Disconnected if class.effect == Effect::Idempotent => {
                    None
                }
                _ => break,
            };
            if attempt < spec.max_retries {
                let backoff = spec.retry_delay * 2u32.pow(attempt.min(MAX_BACKOFF_DOUBLINGS));
                sleep(retry_after.unwrap_or_default().max(backoff)).await;
            }
        }
        self.ended_requests.set(self.ended_requests.get() + 1);
    }

    /// Sends a request with an idempotency key to one node, the only one that knows the key, until there is a final
    /// response. Gives up after twice the deadline and 300 ms, after 250 retries, or when a rejection exceeds the
    /// scenario's limit of retries.
    async fn send_keyed_request(&self, number: usize, request: &Request, class: &RequestClass) {
        let retry_until = Instant::now() + 2 * class.deadline + LATE_RESPONSE_WAIT;
        let (mut attempt, mut rejections) = (0, 0);
        let Some((node, _)) = self.front.next_node() else {
            self.observation_log.record(Observation::ConnectFailed { request: number });
            self.ended_requests.set(self.ended_requests.get() + 1);
            return;
        };
        loop {
            let result = self.send_attempt(number, attempt, request, class, None, Some(node)).await;
            let delay = match result {
                AttemptResult::Disconnected | AttemptResult::Unreachable => KEYED_RETRY_DELAY,
                AttemptResult::Rejected(retry_after) if rejections < self.scenario.clients.max_retries => {
                    rejections += 1;
                    retry_after.unwrap_or_default().max(self.scenario.clients.retry_delay)
                }
                _ => break,
            };
            sleep(delay).await;
            if Instant::now() > retry_until || attempt == MAX_KEYED_RETRIES {
                break;
            }
            attempt += 1;
        }
        self.ended_requests.set(self.ended_requests.get() + 1);
    }

    /// Takes an idle connection or opens one, to the given node or to the next one of the load balancer.
    async fn acquire_connection(&self, node: Option<usize>) -> Option<PooledConnection> {
        loop {
            let pooled = {
                let mut idle = self.idle_connections.borrow_mut();
                let is_to_node =
                    |connection: &PooledConnection| node.is_none_or(|node| connection.node as usize == node);
                let index = idle.iter().rposition(is_to_node);
                index.map(|index| idle.remove(index))
            };
            let Some(pooled) = pooled else { break };
            if !pooled.sender.is_closed() && pooled.idle_since.elapsed() < MAX_IDLE_TIME {
                return Some(pooled);
            }
        }
        let (node, address) = match node {
            Some(node) => (node, self.front.addr(node)?),
            None => self.front.next_node()?,
        };
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(connection);
        Some(PooledConnection { sender, node: node as NodeNumber, reused: false, idle_since: Instant::now() })
    }

    /// Sends one attempt; with an idempotency key if `node` is given.
    async fn send_attempt(
        &self,
        number: usize,
        attempt: u32,
        request: &Request,
        class: &RequestClass,
        disconnects_at: Option<Instant>,
        node: Option<usize>,
    ) -> AttemptResult {
        let id = self.plan.request_id(number, attempt);
        let unreachable = || {
            self.observation_log.record(Observation::ConnectFailed { request: number });
            AttemptResult::Unreachable
        };
        let Ok(_permit) = self.permits.try_acquire() else { return unreachable() };
        loop {
            let Some(mut connection) = self.acquire_connection(node).await else { return unreachable() };
            if connection.sender.ready().await.is_err() {
                continue;
            }
            let message = hyper::Request::post(format!("/{}", class.name))
                .header("host", "app.svc")
                .header("request-id", &id)
                .header("request-class", &class.name)
                .header("request-timeout", format!("{:.3}", class.deadline.as_secs_f64()))
                .header("request-info", format!("slots={},memory={}", class.slots, class.memory));
            let message = match self.scenario.tenants.get(request.tenant) {
                Some(tenant) => message.header("tenant", &tenant.get_ref().name),
                None => message,
            };
            let message = if attempt > 0 { message.header("client-retry", "1") } else { message };
            let message = match node {
                Some(_) => message.header("idempotency-key", format!("request {number}")),
                None => message,
            };
            // All attempts with an idempotency key have the same body.
            let body_id = if node.is_some() { self.plan.request_id(number, 0) } else { id.clone() };
            let Ok(message) = message.body(Full::new(Bytes::from(format!("work of {body_id}")))) else {
                return unreachable();
            };
            let (has_key, node) = (node.is_some(), connection.node);
            self.observation_log.record(Observation::RequestSent {
                id: id.as_str().into(),
                request: number,
                attempt,
                node,
            });
            let gives_up_at = Instant::now() + class.deadline + LATE_RESPONSE_WAIT;
            // The error is true if the connection returned the request unsent.
            let response = async {
                let response = connection
                    .sender
                    .try_send_request(message)
                    .await
                    .map_err(|mut error| error.take_message().is_some())?;
                let (head, body) = response.into_parts();
                let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.map_err(|_| false)?;
                Ok::<_, bool>((head, body.to_bytes()))
            };
            let disconnect = async {
                match disconnects_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let response = tokio::select! {
                biased;
                response = timeout_at(gives_up_at, response) => response,
                () = disconnect => {
                    self.observation_log.record(Observation::ClientDisconnected { id: id.into() });
                    return AttemptResult::Abandoned;
                }
            };
            let (head, body) = match response {
                Ok(Ok(response)) => response,
                // The connection was closed before the request was written.
                Ok(Err(true)) => continue,
                Ok(Err(false)) => {
                    let reused = connection.reused;
                    self.observation_log.record(Observation::ConnectionLost { id: id.into(), reused });
                    return AttemptResult::Disconnected;
                }
                Err(_) => return AttemptResult::Failed,
            };
            let status = head.status.as_u16();
            // With an idempotency key the result may belong to any earlier attempt.
            let first_attempt = if has_key { 0 } else { attempt };
            let is_valid = (first_attempt..=attempt)
                .any(|earlier| body == format_result(&self.plan.request_id(number, earlier)).as_bytes());
            let retry_after = head
                .headers
                .get("retry-after")
                .and_then(|value| value.to_str().ok()?.parse::<f64>().ok())
                .filter(|seconds| (0.0..MAX_RETRY_AFTER_S).contains(seconds))
                .map(Duration::from_secs_f64);
            self.observation_log.record(Observation::RequestAnswered {
                id: id.into(),
                status,
                is_valid,
                retry_after: retry_after.map(millis),
            });
            let closes_connection = head
                .headers
                .get("connection")
                .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
            if !closes_connection {
                (connection.reused, connection.idle_since) = (true, Instant::now());
                self.idle_connections.borrow_mut().push(connection);
            }
            return match status {
                200 if is_valid => AttemptResult::Completed,
                429 | 503 => AttemptResult::Rejected(retry_after),
                _ => AttemptResult::Failed,
            };
        }
    }
}
