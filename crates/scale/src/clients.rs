//! Open-loop clients: requests are sent when they are due, whatever becomes of those before, over a bounded number
//! of kept connections. Each request's answers are counted.
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

/// An answer is waited for so long beyond the deadline, so that a late one is told from none.
const BEYOND_DEADLINE: Duration = Duration::from_millis(300);
/// A refused connection is tried again after so long, as a front tries another node.
const CONNECT_AGAIN: Duration = Duration::from_millis(5);
/// Answers that say the node did not take the request.
const REJECTIONS: [u16; 2] = [429, 503];

/// What clients send.
#[derive(Clone, Copy, Debug)]
pub struct ClientTerms {
    pub seed: u64,
    pub tenants: usize,
    pub deadline: Duration,
    /// Beside the deadline, for what the sockets take.
    pub slack: Duration,
    /// Share of requests that may run at most once.
    pub at_most_once: f64,
    /// Open connections to one node.
    pub connections: usize,
    /// The number of the first request; others of a run have other numbers.
    pub first_sequence: u64,
}

/// What became of the requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub sent: usize,
    /// Answered 200 with the result of this very request.
    pub completed: usize,
    /// Answered that trying again is harmless.
    pub rejected: usize,
    /// Any other whole answer.
    pub failed: usize,
    /// No whole answer, or one past the deadline.
    pub late_or_missing: usize,
    /// More came than one answer.
    pub doubled: usize,
    /// Of the completed ones, in milliseconds.
    pub latencies: Vec<f64>,
}

impl Outcome {
    pub fn add(&mut self, other: &Outcome) {
        self.sent += other.sent;
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.late_or_missing += other.late_or_missing;
        self.doubled += other.doubled;
        self.latencies.extend_from_slice(&other.latencies);
    }
}

/// The clients of one node.
pub struct Clients {
    node: u8,
    address: Cell<SocketAddr>,
    /// Whether new requests are sent to this node: a front passes over one that is being restarted.
    open: Cell<bool>,
    terms: ClientTerms,
    sequence: Cell<u64>,
    idle: RefCell<Vec<Connection>>,
    free: Semaphore,
    outcome: RefCell<Outcome>,
}

/// A request that is ready to be sent.
struct Draft {
    id: RequestId,
    class: &'static str,
    tenant: usize,
}

/// The name of a tenant, as nodes are told it.
pub fn tenant_name(tenant: usize) -> String {
    format!("team-{tenant:03}")
}

impl Clients {
    pub fn new(node: u8, address: SocketAddr, terms: ClientTerms) -> Rc<Self> {
        Rc::new(Clients {
            node,
            address: Cell::new(address),
            open: Cell::new(true),
            terms,
            sequence: Cell::new(terms.first_sequence),
            idle: RefCell::default(),
            free: Semaphore::new(terms.connections),
            outcome: RefCell::default(),
        })
    }

    /// While it is not open, requests that are due are not sent.
    pub fn set_open(&self, open: bool) {
        self.open.set(open);
        if !open {
            self.idle.borrow_mut().clear();
        }
    }

    /// Sends so many requests a second for a while, and waits until the last one is over.
    pub async fn play(self: &Rc<Self>, rate: f64, length: Duration) -> Outcome {
        let mut random =
            ChaCha8Rng::seed_from_u64(self.terms.seed ^ self.sequence.get() ^ u64::from(self.node));
        let (began, mut due) = (Instant::now(), Duration::ZERO);
        let mut open = JoinSet::new();
        loop {
            let uniform: f64 = random.random();
            due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if due > length {
                break;
            }
            let draft = self.draft(&mut random);
            sleep_until(began + due).await;
            if self.open.get() {
                let clients = self.clone();
                open.spawn_local(async move { clients.request(&draft).await });
            }
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
        self.count_unexpected();
        self.outcome.take()
    }

    /// Sends one request of a class; the status of its answer.
    pub async fn ask(&self, class: &'static str) -> Option<u16> {
        let draft = Draft { id: self.next_id(), class, tenant: 0 };
        let until = Instant::now() + self.terms.deadline;
        let answer = timeout_at(until, self.exchange(&draft)).await.ok()?;
        answer.map(|answer| answer.status)
    }

    fn next_id(&self) -> RequestId {
        let sequence = self.sequence.get();
        self.sequence.set(sequence + 1);
        RequestId::new(self.node, sequence)
    }

    fn draft(&self, random: &mut ChaCha8Rng) -> Draft {
        let at_most_once = random.random::<f64>() < self.terms.at_most_once;
        let class = if at_most_once { AT_MOST_ONCE } else { IDEMPOTENT };
        Draft { id: self.next_id(), class, tenant: random.random_range(0..self.terms.tenants.max(1)) }
    }

    async fn request(&self, draft: &Draft) {
        let sent = Instant::now();
        let deadline = sent + self.terms.deadline + self.terms.slack;
        let answer = timeout_at(deadline + BEYOND_DEADLINE, self.exchange(draft)).await;
        let latency = sent.elapsed();
        let mut outcome = self.outcome.borrow_mut();
        outcome.sent += 1;
        match answer {
            Ok(Some(answer)) if Instant::now() <= deadline => {
                if answer.status == 200 && answer.body == result_of(draft.id).as_bytes() {
                    outcome.completed += 1;
                    outcome.latencies.push(latency.as_secs_f64() * 1000.0);
                } else if REJECTIONS.contains(&answer.status) {
                    outcome.rejected += 1;
                } else {
                    outcome.failed += 1;
                }
            }
            _ => outcome.late_or_missing += 1,
        }
    }

    /// Sends a request and reads its answer; none where the connection ended before.
    async fn exchange(&self, draft: &Draft) -> Option<Message> {
        let _permit = self.free.acquire().await.ok()?;
        let bytes = self.head(draft);
        loop {
            let (mut connection, reused) = self.connection().await;
            if connection.write(bytes.as_bytes()).await.is_err() && reused {
                continue;
            }
            match connection.answer().await {
                Ok(Some(answer)) => {
                    if !answer.asks_to_close() {
                        self.idle.borrow_mut().push(connection);
                    }
                    return Some(answer);
                }
                // The node closed it between requests, which crossed this one.
                Ok(None) if reused => {}
                _ => return None,
            }
        }
    }

    fn head(&self, draft: &Draft) -> String {
        let Draft { id, class, tenant } = draft;
        let body = format!("work of {id}");
        format!(
            "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Tenant: {}\r\nRequest-Timeout: {:.3}\r\nContent-Length: {}\r\n\r\n{body}",
            tenant_name(*tenant),
            self.terms.deadline.as_secs_f64(),
            body.len()
        )
    }

    /// A kept connection, or a new one; its caller bounds the time.
    async fn connection(&self) -> (Connection, bool) {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let Some(mut kept) = kept else { break };
            if kept.has_unexpected_bytes() {
                self.outcome.borrow_mut().doubled += 1;
                continue;
            }
            return (kept, true);
        }
        loop {
            match TcpStream::connect(self.address.get()).await {
                Ok(stream) => return (Connection::new(stream), false),
                Err(_) => sleep(CONNECT_AGAIN).await,
            }
        }
    }

    /// Counts kept connections on which more came than was asked for.
    fn count_unexpected(&self) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain_mut(|connection| !connection.has_unexpected_bytes());
        self.outcome.borrow_mut().doubled += before - idle.len();
    }
}
