//! The clients: requests sent when the plan says, whatever becomes of those before, over kept connections.
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

/// An answer is waited for so long beyond its limit, so that a late one is told from none.
const BEYOND: Duration = Duration::from_millis(300);
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// A client with a key whose node does not answer asks again after so long.
const AGAIN: Duration = Duration::from_millis(50);
const MOST_ANSWER: usize = 1024 * 1024;
/// Connections that stood idle for longer are not used again.
const IDLE: Duration = Duration::from_secs(30);

struct Kept {
    send: SendRequest<Full<Bytes>>,
    node: NodeNumber,
    reused: bool,
    since: Instant,
}

pub struct Clients {
    scenario: Arc<Scenario>,
    plan: Arc<Plan>,
    record: Arc<ObservationLog>,
    front: Rc<Front>,
    idle: RefCell<Vec<Kept>>,
    room: Semaphore,
    /// How late requests were sent, against the plan.
    late: RefCell<Vec<Millis>>,
    over: Cell<usize>,
}

/// What came of one try.
enum Came {
    Completed,
    /// Not taken, and when to come back, if that was told.
    Deferred(Option<Duration>),
    Failed,
    Cut,
    NoWayIn,
    Left,
}

impl Clients {
    pub fn new(
        scenario: Arc<Scenario>,
        plan: Arc<Plan>,
        record: Arc<ObservationLog>,
        front: Rc<Front>,
    ) -> Rc<Self> {
        let room = Semaphore::new(scenario.clients.max_connections);
        Rc::new(Clients {
            scenario,
            plan,
            record,
            front,
            idle: RefCell::default(),
            room,
            late: RefCell::default(),
            over: Cell::new(0),
        })
    }

    /// How many requests are over.
    pub fn over(&self) -> usize {
        self.over.get()
    }

    /// How late requests were sent: the share `of` of them was no later, in milliseconds.
    pub fn late(&self, of: f64) -> Millis {
        crate::referee::quantile(&mut self.late.borrow_mut(), of)
    }

    /// Plays the whole day from `began` on, until the last request is over.
    pub async fn play(self: Rc<Self>, began: Instant) {
        let mut open = JoinSet::new();
        for (number, request) in self.plan.requests.iter().enumerate() {
            let due = began + Duration::from_secs_f64(request.at / 1000.0);
            if due > Instant::now() {
                sleep_until(due).await;
            }
            self.late.borrow_mut().push(due.elapsed().as_secs_f64() * 1000.0);
            let this = self.clone();
            open.spawn_local(async move { this.request(number, due).await });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    async fn request(&self, number: usize, due: Instant) {
        let request = &self.plan.requests[number];
        let kind = self.scenario.request_classes[request.request_class].get_ref();
        let clients = &self.scenario.clients;
        let leaves = request.disconnects_after.map(|after| due + Duration::from_secs_f64(after / 1000.0));
        if self.scenario.has_idempotency_key(kind) {
            return self.keyed_request(number, request, kind).await;
        }
        for attempt in 0..=clients.max_retries {
            let came = self.attempt(number, attempt, request, kind, leaves, None).await;
            let told = match came {
                Came::Deferred(told) => told,
                Came::NoWayIn => None,
                // Only what may run twice is tried again where it may have run.
                Came::Failed | Came::Cut if kind.effect == Effect::Idempotent => None,
                _ => break,
            };
            if attempt < clients.max_retries {
                let own = clients.retry_delay * 2u32.pow(attempt.min(8));
                sleep(told.unwrap_or_default().max(own)).await;
            }
        }
        self.over.set(self.over.get() + 1);
    }

    /// Asks with a key, and again at the same node until there is an answer: a key counts at one node alone.
    async fn keyed_request(&self, number: usize, request: &Request, kind: &RequestClass) {
        let until = Instant::now() + 2 * kind.deadline + BEYOND;
        let (mut attempt, mut deferred) = (0, 0);
        let Some((node, _)) = self.front.next_node() else {
            self.record.record(Observation::ConnectFailed { request: number });
            self.over.set(self.over.get() + 1);
            return;
        };
        loop {
            let came = self.attempt(number, attempt, request, kind, None, Some(node)).await;
            let wait = match came {
                Came::Cut | Came::NoWayIn => AGAIN,
                Came::Deferred(told) if deferred < self.scenario.clients.max_retries => {
                    deferred += 1;
                    told.unwrap_or_default().max(self.scenario.clients.retry_delay)
                }
                _ => break,
            };
            sleep(wait).await;
            if Instant::now() > until || attempt == 250 {
                break;
            }
            attempt += 1;
        }
        self.over.set(self.over.get() + 1);
    }

    async fn connection(&self, node: Option<usize>) -> Option<Kept> {
        loop {
            let kept = {
                let mut idle = self.idle.borrow_mut();
                let fits = |kept: &Kept| node.is_none_or(|node| kept.node as usize == node);
                let at = idle.iter().rposition(fits);
                at.map(|at| idle.remove(at))
            };
            let Some(kept) = kept else { break };
            if !kept.send.is_closed() && kept.since.elapsed() < IDLE {
                return Some(kept);
            }
        }
        let (node, addr) = match node {
            Some(node) => (node, self.front.addr(node)?),
            None => self.front.next_node()?,
        };
        let stream = timeout(CONNECT_WAIT, TcpStream::connect(addr)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (send, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(connection);
        Some(Kept { send, node: node as NodeNumber, reused: false, since: Instant::now() })
    }

    async fn attempt(
        &self,
        number: usize,
        attempt: u32,
        request: &Request,
        kind: &RequestClass,
        leaves: Option<Instant>,
        node: Option<usize>,
    ) -> Came {
        let id = self.plan.request_id(number, attempt);
        let no_way_in = || {
            self.record.record(Observation::ConnectFailed { request: number });
            Came::NoWayIn
        };
        let Ok(_room) = self.room.try_acquire() else { return no_way_in() };
        loop {
            let Some(mut kept) = self.connection(node).await else { return no_way_in() };
            if kept.send.ready().await.is_err() {
                continue;
            }
            let asked = hyper::Request::post(format!("/{}", kind.name))
                .header("host", "app.svc")
                .header("request-id", &id)
                .header("request-class", &kind.name)
                .header("request-timeout", format!("{:.3}", kind.deadline.as_secs_f64()))
                .header("request-info", format!("slots={},memory={}", kind.slots, kind.memory));
            let asked = match self.scenario.tenants.get(request.tenant) {
                Some(customer) => asked.header("tenant", &customer.get_ref().name),
                None => asked,
            };
            let asked = if attempt > 0 { asked.header("client-retry", "1") } else { asked };
            let asked = match node {
                Some(_) => asked.header("idempotency-key", format!("request {number}")),
                None => asked,
            };
            // With a key it is the same each time.
            let work = if node.is_some() { self.plan.request_id(number, 0) } else { id.clone() };
            let Ok(asked) = asked.body(Full::new(Bytes::from(format!("work of {work}")))) else {
                return no_way_in();
            };
            let (keyed, node) = (node.is_some(), kept.node);
            self.record.record(Observation::RequestSent {
                id: id.as_str().into(),
                request: number,
                attempt,
                node,
            });
            let end = Instant::now() + kind.deadline + BEYOND;
            let answer = async {
                let answer =
                    kept.send.try_send_request(asked).await.map_err(|mut e| e.take_message().is_some())?;
                let (head, body) = answer.into_parts();
                let body = Limited::new(body, MOST_ANSWER).collect().await.map_err(|_| false)?;
                Ok::<_, bool>((head, body.to_bytes()))
            };
            let leave = async {
                match leaves {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let answer = tokio::select! {
                biased;
                answer = timeout_at(end, answer) => answer,
                () = leave => {
                    self.record.record(Observation::ClientDisconnected { id: id.into() });
                    return Came::Left;
                }
            };
            let (head, body) = match answer {
                Ok(Ok(answer)) => answer,
                // It was handed back unwritten, as the connection had ended.
                Ok(Err(true)) => continue,
                Ok(Err(false)) => {
                    self.record.record(Observation::ConnectionLost { id: id.into(), reused: kept.reused });
                    return Came::Cut;
                }
                Err(_) => return Came::Failed,
            };
            let status = head.status.as_u16();
            // With a key the result may be of any try before.
            let first = if keyed { 0 } else { attempt };
            let fits =
                (first..=attempt).any(|k| body == format_result(&self.plan.request_id(number, k)).as_bytes());
            let told = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
            let told = told.filter(|s| (0.0..3600.0).contains(s)).map(Duration::from_secs_f64);
            let come_back = told.map(millis);
            self.record.record(Observation::RequestAnswered {
                id: id.into(),
                status,
                is_valid: fits,
                retry_after: come_back,
            });
            let closes =
                head.headers.get("connection").is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
            if !closes {
                (kept.reused, kept.since) = (true, Instant::now());
                self.idle.borrow_mut().push(kept);
            }
            return match status {
                200 if fits => Came::Completed,
                429 | 503 => Came::Deferred(told),
                _ => Came::Failed,
            };
        }
    }
}
