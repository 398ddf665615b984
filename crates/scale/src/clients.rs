//! Open-loop clients: they send requests at scheduled times, regardless of earlier responses, over a bounded number
//! of reused connections, and count the responses to each request.
use crate::executor_config::{AT_MOST_ONCE, IDEMPOTENT, result_of};
use crate::request_id::RequestId;
use crate::wire::{Connection, Message};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How long a response is awaited beyond the deadline. A connection whose response arrives within this time is kept
/// for reuse, although the request counts as late.
const LATE_RESPONSE_WINDOW: Duration = Duration::from_millis(300);
/// Delay before a refused connection is retried; a front would try another node meanwhile.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Status codes of a node that rejected the request.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

/// Configuration of the clients of one node.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    pub seed: u64,
    pub tenants: usize,
    pub deadline: Duration,
    /// Added to the deadline to allow for the delay of the sockets.
    pub slack: Duration,
    /// Share of requests that may run at most once.
    pub at_most_once_share: f64,
    /// Maximum number of open connections to the node.
    pub max_connections: usize,
    /// Sequence number of the first request; it must not overlap with other requests of the run.
    pub first_sequence: u64,
}

/// Counts of requests by their result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounts {
    pub sent: usize,
    /// Answered with 200 and the result of this request.
    pub completed: usize,
    /// Answered with a status that permits a retry.
    pub rejected: usize,
    /// Answered with any other complete response.
    pub failed: usize,
    /// Without a complete response before the deadline.
    pub late_or_missing: usize,
    /// Connections with bytes beyond the one expected response.
    pub duplicate_responses: usize,
    /// Latencies of the completed requests, in milliseconds.
    pub latencies: Vec<f64>,
}

impl RequestCounts {
    pub fn add(&mut self, other: &RequestCounts) {
        self.sent += other.sent;
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.late_or_missing += other.late_or_missing;
        self.duplicate_responses += other.duplicate_responses;
        self.latencies.extend_from_slice(&other.latencies);
    }
}

/// The clients of one node.
pub struct Clients {
    node: u8,
    address: Cell<SocketAddr>,
    /// Whether new requests are sent to this node; a front skips a node that is being restarted.
    is_enabled: Cell<bool>,
    config: ClientConfig,
    sequence: Cell<u64>,
    idle: RefCell<Vec<Connection>>,
    free_connections: Semaphore,
    counts: RefCell<RequestCounts>,
}

/// A request that has not been sent yet.
struct RequestDraft {
    id: RequestId,
    class: &'static str,
    tenant: usize,
}

/// Returns the name of a tenant, as in the settings of nodes.
pub fn tenant_name(tenant: usize) -> String {
    format!("team-{tenant:03}")
}

impl Clients {
    pub fn new(node: u8, address: SocketAddr, config: ClientConfig) -> Rc<Self> {
        Rc::new(Clients {
            node,
            address: Cell::new(address),
            is_enabled: Cell::new(true),
            config,
            sequence: Cell::new(config.first_sequence),
            idle: RefCell::default(),
            free_connections: Semaphore::new(config.max_connections),
            counts: RefCell::default(),
        })
    }

    /// Enables or disables sending. While disabled, requests that fall due are skipped.
    pub fn set_enabled(&self, is_enabled: bool) {
        self.is_enabled.set(is_enabled);
        if !is_enabled {
            self.idle.borrow_mut().clear();
        }
    }

    /// Sends `rate` requests per second for the duration, and waits until the last one has ended.
    pub async fn run(self: &Rc<Self>, rate: f64, duration: Duration) -> RequestCounts {
        let mut random =
            ChaCha8Rng::seed_from_u64(self.config.seed ^ self.sequence.get() ^ u64::from(self.node));
        let (started_at, mut due) = (Instant::now(), Duration::ZERO);
        let mut in_flight = JoinSet::new();
        loop {
            let uniform: f64 = random.random();
            due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if due > duration {
                break;
            }
            let draft = self.draw_request(&mut random);
            sleep_until(started_at + due).await;
            if self.is_enabled.get() {
                let clients = self.clone();
                in_flight.spawn_local(async move { clients.send_and_count(&draft).await });
            }
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
        self.count_unexpected_responses();
        self.counts.take()
    }

    /// Sends one request of the class; returns the status of its response, or `None` without one before the deadline.
    pub async fn send_request(&self, class: &'static str) -> Option<u16> {
        let draft = RequestDraft { id: self.next_id(), class, tenant: 0 };
        let deadline = Instant::now() + self.config.deadline;
        let response = timeout_at(deadline, self.exchange(&draft)).await.ok()?;
        response.map(|response| response.status)
    }

    fn next_id(&self) -> RequestId {
        let sequence = self.sequence.get();
        self.sequence.set(sequence + 1);
        RequestId::new(self.node, sequence)
    }

    fn draw_request(&self, random: &mut ChaCha8Rng) -> RequestDraft {
        let is_at_most_once = random.random::<f64>() < self.config.at_most_once_share;
        let class = if is_at_most_once { AT_MOST_ONCE } else { IDEMPOTENT };
        RequestDraft { id: self.next_id(), class, tenant: random.random_range(0..self.config.tenants.max(1)) }
    }

    async fn send_and_count(&self, draft: &RequestDraft) {
        let sent_at = Instant::now();
        let deadline = sent_at + self.config.deadline + self.config.slack;
        let response = timeout_at(deadline + LATE_RESPONSE_WINDOW, self.exchange(draft)).await;
        let latency = sent_at.elapsed();
        let mut counts = self.counts.borrow_mut();
        counts.sent += 1;
        match response {
            Ok(Some(response)) if Instant::now() <= deadline => {
                if response.status == 200 && response.body == result_of(draft.id).as_bytes() {
                    counts.completed += 1;
                    counts.latencies.push(latency.as_secs_f64() * 1000.0);
                } else if REJECTION_STATUSES.contains(&response.status) {
                    counts.rejected += 1;
                } else {
                    counts.failed += 1;
                }
            }
            _ => counts.late_or_missing += 1,
        }
    }

    /// Sends a request and reads its response; returns `None` if the connection fails before the response is
    /// complete.
    async fn exchange(&self, draft: &RequestDraft) -> Option<Message> {
        let _permit = self.free_connections.acquire().await.ok()?;
        let bytes = self.encode_request(draft);
        loop {
            let (mut connection, is_reused) = self.acquire_connection().await;
            if connection.write(bytes.as_bytes()).await.is_err() && is_reused {
                continue;
            }
            match connection.read_response().await {
                Ok(Some(response)) => {
                    if !response.has_connection_close() {
                        self.idle.borrow_mut().push(connection);
                    }
                    return Some(response);
                }
                // The node closed the idle connection while the request was on its way.
                Ok(None) if is_reused => {}
                _ => return None,
            }
        }
    }

    fn encode_request(&self, draft: &RequestDraft) -> String {
        let RequestDraft { id, class, tenant } = draft;
        let body = format!("work of {id}");
        format!(
            "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Tenant: {}\r\nRequest-Timeout: {:.3}\r\nContent-Length: {}\r\n\r\n{body}",
            tenant_name(*tenant),
            self.config.deadline.as_secs_f64(),
            body.len()
        )
    }

    /// Returns an idle connection and true, or a new connection and false. It retries without limit, so the caller
    /// needs a timeout.
    async fn acquire_connection(&self) -> (Connection, bool) {
        loop {
            let idle_connection = self.idle.borrow_mut().pop();
            let Some(mut idle_connection) = idle_connection else { break };
            if idle_connection.has_unexpected_bytes() {
                self.counts.borrow_mut().duplicate_responses += 1;
                continue;
            }
            return (idle_connection, true);
        }
        loop {
            match TcpStream::connect(self.address.get()).await {
                Ok(stream) => return (Connection::new(stream), false),
                Err(_) => sleep(CONNECT_RETRY_DELAY).await,
            }
        }
    }

    /// Counts the idle connections that received bytes beyond their expected responses.
    fn count_unexpected_responses(&self) {
        let mut idle = self.idle.borrow_mut();
        let idle_count = idle.len();
        idle.retain_mut(|connection| !connection.has_unexpected_bytes());
        self.counts.borrow_mut().duplicate_responses += idle_count - idle.len();
    }
}
