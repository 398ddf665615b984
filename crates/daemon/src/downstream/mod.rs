//! The client side: accepts connections, takes work units in, and writes each its one final answer.
use crate::byte_budget::ByteBudget;
use crate::config::durable::DurableConfig;
use crate::config::limits::Limits;
use crate::durable::{Durable, Found, JoinedRequest};
use crate::event::NodeEvent;
use crate::hot_restart::codec::{Message, Usage};
use crate::hot_restart::sibling::SiblingProcess;
use crate::http1::{self, Connection, Failed};
use crate::in_flight::{Answer, ClientRequest, InFlightRequest};
use crate::lifecycle::LifecycleState;
use crate::protocol::{self, Codec, Current, READY_PATH, TELL_PATH};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use troutknot::RequestId;

pub struct DownstreamServer {
    pub limits: Rc<Limits>,
    pub codec: Rc<Current<Codec>>,
    pub events: mpsc::Sender<NodeEvent>,
    pub stage: watch::Receiver<LifecycleState>,
    /// What is said beside the health, where the operator's file asks for more than the platform has.
    status: Rc<RefCell<String>>,
    /// On which terms work units are taken durably, and the ledger, which a process before this one may still hold.
    durably: Option<DurableConfig>,
    durable: RefCell<Option<Rc<Durable>>>,
    /// Another process of this node, if one runs.
    beside: Rc<SiblingProcess>,
    pub held: Rc<ByteBudget>,
    pub rings: Rc<ByteBudget>,
    /// For bodies that do not come whole with their heads, each counted as the largest.
    pub slow_bodies: Rc<ByteBudget>,
    /// Ids of open work units, and of those that are over.
    ids: RefCell<HashSet<String>>,
    past: RefCell<PastIds>,
    /// Until then work waits for the first list.
    list_due: Instant,
    next_wu: Cell<u64>,
    next_connection: Cell<u64>,
    /// Connections by their number.
    open: RefCell<HashMap<u64, Rc<Standing>>>,
    ended: Notify,
}

/// What tells who is closed to make room: by how a connection behaves alone.
struct Standing {
    /// Since when a request is waited for; none while there is one.
    waits: Cell<Option<Instant>>,
    /// Whether a work unit ever came over it.
    worked: Cell<bool>,
    close: Notify,
}

impl Standing {
    /// Whether its first request is still waited for.
    fn is_fresh(&self) -> bool {
        !self.worked.get() && self.waits.get().is_some()
    }
}

/// Ids of work units that were taken, as tokens; the older half is forgotten now and then.
struct PastIds {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    turned: Instant,
}

impl PastIds {
    /// False where it was taken before. Guards against a repeat of what has just ended.
    fn take(&mut self, id: u64, limits: &Limits) -> bool {
        if self.turned.elapsed() >= limits.timeouts().max_deadline
            || self.newer.len() >= limits.downstream.max_completed_ids / 2
        {
            self.older = std::mem::take(&mut self.newer);
            self.turned = Instant::now();
        }
        !self.older.contains(&id) && self.newer.insert(id)
    }
}

/// A request that came whole and can be taken.
enum Came {
    AsksReady,
    /// What is on record of a work unit.
    Asks {
        id: String,
        keep: bool,
    },
    ClientRequest {
        work: ClientRequest,
        left: Duration,
        keep: bool,
    },
}

/// Why none came: a status that says what is wrong, or the client is gone.
type NoneCame = Option<u16>;

/// Whether a connection goes on after an answer.
type Goes = bool;

impl DownstreamServer {
    pub fn new(
        limits: Rc<Limits>,
        codec: Rc<Current<Codec>>,
        events: mpsc::Sender<NodeEvent>,
        stage: watch::Receiver<LifecycleState>,
        status: Rc<RefCell<String>>,
        durably: Option<DurableConfig>,
        beside: Rc<SiblingProcess>,
    ) -> Rc<Self> {
        Rc::new(DownstreamServer {
            durably,
            durable: RefCell::default(),
            beside,
            codec,
            events,
            stage,
            status,
            held: ByteBudget::new(limits.downstream.max_reserved_bytes),
            rings: ByteBudget::new(limits.downstream.buffer_bytes),
            slow_bodies: ByteBudget::new(limits.downstream.max_partial_bodies * limits.max_body_bytes),
            ids: RefCell::default(),
            past: RefCell::new(PastIds {
                newer: HashSet::new(),
                older: HashSet::new(),
                turned: Instant::now(),
            }),
            list_due: Instant::now() + limits.downstream.first_list_timeout,
            next_wu: Cell::new(0),
            next_connection: Cell::new(0),
            open: RefCell::default(),
            ended: Notify::new(),
            limits,
        })
    }

    pub fn connections(&self) -> usize {
        self.open.borrow().len()
    }

    /// Ids that were taken, as tokens.
    pub fn ids_lately(&self) -> Vec<u64> {
        let past = self.past.borrow();
        past.older.iter().chain(&past.newer).copied().collect()
    }

    /// Another process of this node has taken these.
    pub fn taken_elsewhere(&self, ids: &[u64]) {
        let mut past = self.past.borrow_mut();
        ids.iter().for_each(|id| _ = past.take(*id, &self.limits));
    }

    /// What another process of this node holds of what both may hold together.
    pub fn set_sibling_usage(&self, usage: Usage) {
        self.held.set_used_by_sibling(usage.bytes);
        self.rings.set_used_by_sibling(usage.rings);
        self.slow_bodies.set_used_by_sibling(usage.slow_bodies);
    }

    /// Clients that this process may serve beside what another one of the node has open.
    fn most(&self) -> usize {
        self.limits.downstream.max_connections.saturating_sub(self.beside.usage().clients)
    }

    /// Accepts connections until the node ends. From a socket that was passed on nothing is accepted before
    /// the node has its list, nor once it is asked to end: another process has it, too.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, passed: bool) {
        let mut stage = self.stage.clone();
        if passed && stage.wait_for(|stage| *stage != LifecycleState::Starting).await.is_err() {
            return;
        }
        loop {
            // Another process may have the clients only as long as it lives.
            let now = *stage.borrow_and_update();
            if passed && now == LifecycleState::Closing {
                return;
            }
            let accepted = tokio::select! {
                biased;
                changed = stage.changed(), if passed => if changed.is_ok() { continue } else { return },
                accepted = self.accept_one(&listener), if !passed || now != LifecycleState::HandingOver => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let full = !self.room().await;
                    self.take(stream, full);
                }
                Err(e) => {
                    // Out of descriptors, or a connection that broke before it was taken.
                    tracing::warn!("cannot accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Nothing is lost where this is dropped.
    async fn accept_one(&self, listener: &TcpListener) -> std::io::Result<(TcpStream, SocketAddr)> {
        while self.connections() >= self.most() + self.limits.downstream.max_rejected_connections {
            self.make_room();
            self.wait_for_an_end().await;
        }
        listener.accept().await
    }

    async fn wait_for_an_end(&self) {
        let _ = timeout(self.limits.downstream.min_new_connection_age / 4, self.ended.notified()).await;
    }

    /// Room for one more. Guards against crowds that connect and say nothing: as long as one of them may be
    /// closed soon, a newcomer waits that moment and is not turned away.
    async fn room(&self) -> bool {
        while self.connections() >= self.most() && !self.make_room() {
            if !self.open.borrow().values().any(|s| s.is_fresh()) {
                return false;
            }
            self.wait_for_an_end().await;
        }
        true
    }

    /// Closes the connection that has waited for a request for longest, among those over which no work unit
    /// ever came if there are any. One that has only just come, or been answered, may have one on its way.
    fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let fresh = open.values().any(|s| s.is_fresh());
        let settle = if fresh {
            self.limits.downstream.min_new_connection_age
        } else {
            self.limits.downstream.min_idle_before_eviction
        };
        let settled = |s: &&Rc<Standing>| s.waits.get().is_some_and(|since| since.elapsed() >= settle);
        let longest = open.values().filter(|s| s.is_fresh() == fresh).filter(settled);
        let longest = longest.min_by_key(|s| s.waits.get());
        longest.inspect(|s| s.waits.set(None)).inspect(|s| s.close.notify_one()).is_some()
    }

    fn take(self: &Rc<Self>, stream: TcpStream, full: bool) {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        let standing = Rc::new(Standing {
            waits: Cell::new(Some(Instant::now())),
            worked: Cell::new(false),
            close: Notify::new(),
        });
        self.open.borrow_mut().insert(number, standing.clone());
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let mut connection = Connection::new(stream, this.limits.connection_buffer_bytes, &this.rings);
            this.serve(&mut connection, &standing, full).await;
            drop(connection);
            this.open.borrow_mut().remove(&number);
            this.ended.notify_one();
        });
    }

    async fn serve(&self, connection: &mut Connection, standing: &Standing, full: bool) {
        let mut stage = self.stage.clone();
        // Guards against clients that drip: the first request is due from when the connection came.
        let first_due = Instant::now() + self.limits.downstream.io_timeout;
        loop {
            let worked = standing.worked.get();
            if !connection.has_input() {
                connection.rest();
                // Nobody who comes to a node that is empty says nothing for long.
                let fresh = if stage.borrow().closes_idle() {
                    first_due.min(Instant::now() + self.limits.downstream.min_new_connection_age)
                } else {
                    first_due
                };
                let until = if worked { Instant::now() + self.limits.downstream.idle_timeout } else { fresh };
                if worked {
                    standing.waits.set(Some(Instant::now()));
                }
                let more = tokio::select! {
                    biased;
                    more = connection.read() => matches!(more, Ok(n) if n > 0),
                    () = standing.close.notified() => !connection.quiet(),
                    _ = stage.wait_for(|stage| stage.closes_idle()), if worked => !connection.quiet(),
                    () = sleep_until(until) => false,
                };
                if !more {
                    return;
                }
            }
            if worked {
                standing.waits.set(None);
            }
            let due = if worked { Instant::now() + self.limits.downstream.io_timeout } else { first_due };
            let came = tokio::select! {
                biased;
                came = self.come(connection) => came,
                () = standing.close.notified(), if !worked => Err(Some(408)),
                () = sleep_until(due) => Err(Some(408)),
            };
            standing.waits.set(None);
            let drained = *self.stage.borrow() == LifecycleState::Drained;
            // An answer that its client may not have got whole when it is written; a small one is there by then.
            let mut large = false;
            let goes = match came {
                Ok(Came::ClientRequest { .. }) if drained => {
                    let bad = Answer::Rejected(Some(
                        self.limits.downstream.malformed_retry_after.as_secs_f64() * 1000.0,
                    ));
                    let (status, fields, result) = self.codec.now().answer(&bad);
                    self.write(connection, status, false, &fields, &result).await;
                    false
                }
                Ok(Came::AsksReady) => {
                    // Whoever asks that needs no connection afterwards.
                    let ready = *self.stage.borrow() == LifecycleState::Serving;
                    let mut said = self.status.borrow().clone();
                    self.ledger().iter().for_each(|durable| said += &durable.said());
                    self.write(connection, if ready { 200 } else { 503 }, false, &[], said.as_bytes()).await;
                    false
                }
                Ok(Came::Asks { id, keep }) => {
                    let (status, said) = match self.ledger().map(|durable| durable.tell(&id)) {
                        Some(Some(told)) => (200, told),
                        Some(None) => (404, String::new()),
                        None => (503, String::new()),
                    };
                    self.write(connection, status, keep, &[], said.as_bytes()).await && keep
                }
                Ok(Came::ClientRequest { work, left, keep }) if self.is_durable(&work) => {
                    standing.worked.set(true);
                    let (answer, request_id) = match self.serve_durably(connection, work, left, full).await {
                        Ok(None) => return,
                        Ok(Some(answer)) => answer,
                        Err(status) => return self.reject(connection, standing, status).await,
                    };
                    let room = self.connections() <= self.most() && !connection.is_overrun();
                    let keep = keep && room && !self.stage.borrow().closes_after_answer();
                    let (status, fields, result) = self.codec.now().answer(&answer);
                    large = result.len() > self.limits.connection_buffer_bytes;
                    let written = self.write(connection, status, keep, &fields, &result).await;
                    if let (true, Some(durable), Some(request_id)) = (written, self.ledger(), request_id) {
                        durable.acknowledged(request_id);
                    }
                    written && keep
                }
                Ok(Came::ClientRequest { work, left, keep }) => {
                    let (answer, room) = match self.open(work, left, full) {
                        Ok((in_flight, last)) => {
                            standing.worked.set(true);
                            let answer = self.wait(connection, &in_flight, last).await;
                            self.ids.borrow_mut().remove(&in_flight.request.id);
                            // Over its limit the node keeps no connection, so that those that wait are taken.
                            (answer, self.connections() <= self.most())
                        }
                        Err(None) => {
                            let soon = self.limits.downstream.rejected_retry_after.as_secs_f64() * 1000.0;
                            (Some(Answer::Rejected(Some(soon))), false)
                        }
                        Err(Some(status)) => return self.reject(connection, standing, status).await,
                    };
                    let Some(answer) = answer else { return };
                    let room = room && !connection.is_overrun();
                    let keep = keep && room && !self.stage.borrow().closes_after_answer();
                    let (status, fields, result) = self.codec.now().answer(&answer);
                    large = result.len() > self.limits.connection_buffer_bytes;
                    self.write(connection, status, keep, &fields, &result).await && keep
                }
                Err(Some(status)) => return self.reject(connection, standing, status).await,
                Err(None) => false,
            };
            if !goes {
                let may_lack = large || connection.is_overrun() || !connection.quiet();
                if !full && standing.worked.get() && may_lack {
                    // A newcomer may wait for its end, and need not be turned away.
                    standing.worked.set(false);
                    standing.waits.set(Some(Instant::now()));
                    // Guards against a close over unread bytes, now or in a moment: what its client sent ahead, or
                    // just now, must not take what it has not got yet of its answer with it.
                    connection
                        .end(self.limits.rest_of_message_timeout, self.limits.max_discarded_bytes)
                        .await;
                }
                return;
            }
        }
    }

    /// Says what is wrong and ends the connection, for what may still come cannot be told apart.
    async fn reject(&self, connection: &mut Connection, standing: &Standing, status: u16) {
        tracing::debug!("request answered {status}");
        let fields = self
            .codec
            .now()
            .come_back(Some(self.limits.downstream.malformed_retry_after.as_secs_f64() * 1000.0));
        if self.write(connection, status, false, &fields, &[]).await {
            // A newcomer may wait for its end, and need not be turned away.
            standing.worked.set(false);
            standing.waits.set(Some(Instant::now()));
            connection.end(self.limits.rest_of_message_timeout, self.limits.max_discarded_bytes).await;
        }
    }

    async fn write(
        &self,
        connection: &mut Connection,
        status: u16,
        keep: bool,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> Goes {
        let head = http1::answer(status, body.len(), keep, fields);
        let parts: [&[u8]; 2] = [&head, body];
        matches!(timeout(self.limits.downstream.io_timeout, connection.write(&parts)).await, Ok(Ok(())))
    }

    /// Reads a request to its end.
    async fn come(&self, connection: &mut Connection) -> Result<Came, NoneCame> {
        let none = |why: Failed| if let Failed::Bad(bad) = why { Some(bad.status()) } else { None };
        let mut head = connection.request_head().await.map_err(none)?.ok_or(None)?;
        if head.target == READY_PATH {
            return Ok(Came::AsksReady);
        }
        if let Some(id) = head.target.strip_prefix(TELL_PATH).filter(|_| self.durably.is_some()) {
            if head.method != "GET" {
                return Err(Some(405));
            }
            return Ok(Came::Asks { id: id.to_string(), keep: head.keep });
        }
        let (mut work, left) = self.codec.now().work(&head).map_err(|(status, why)| {
            tracing::debug!("not taken: {why}");
            Some(status)
        })?;
        if let Some(terms) = &self.durably {
            work.key = protocol::key(&head, &terms.key_header).map_err(|(status, why)| {
                tracing::debug!("not taken: {why}");
                Some(status)
            })?;
        }
        let (mut body, most) = (BytesMut::new(), self.limits.max_body_bytes);
        let whole = connection.body_so_far(&mut head.body, &mut body, most);
        if !whole.map_err(|bad| Some(bad.status()))? {
            // Guards against many that send long bodies at leisure; most come whole with their heads.
            let _slow = self.slow_bodies.reserve(most).ok_or(Some(503))?;
            if head.asks_first {
                connection.write(&[http1::GO_ON]).await.map_err(|_| None)?;
            }
            connection.body(&mut head.body, &mut body, most, false).await.map_err(none)?;
        }
        work.body = body.freeze();
        Ok(Came::ClientRequest { work, left, keep: head.keep })
    }

    /// Opens a work unit; else a status that says why not, or none where there is no room for it.
    fn open(
        &self,
        work: ClientRequest,
        left: Duration,
        full: bool,
    ) -> Result<(Rc<InFlightRequest>, Instant), Option<u16>> {
        let (taken, id) = (Instant::now(), work.id.clone());
        let part = |margin: Duration, part: f64| left - margin.min(left.mul_f64(part));
        let limit = taken + part(self.limits.downstream.deadline_margin, 0.2);
        let last = taken + part(self.limits.downstream.last_answer_margin, 0.1);
        if self.ids.borrow().contains(&id) {
            // Guards against a second copy: this very work unit is open, so a repeat promises nothing.
            return Err(Some(409));
        }
        let in_flight = (!full)
            .then(|| InFlightRequest::new(RequestId(self.next_wu.get()), work, limit, &self.held))
            .flatten();
        let in_flight = in_flight.ok_or(None)?;
        let token = troutknot_membership::token(&id);
        if !self.past.borrow_mut().take(token, &self.limits) {
            return Err(Some(409));
        }
        self.beside.send(Message::Ids { ids: vec![token] });
        self.next_wu.set(self.next_wu.get() + 1);
        self.ids.borrow_mut().insert(id);
        Ok((in_flight, last))
    }

    fn is_durable(&self, work: &ClientRequest) -> bool {
        let effect = self.codec.now().effect(work.class);
        let takes =
            |terms: &DurableConfig| work.key.is_some() || effect.is_some_and(|effect| terms.includes(effect));
        self.durably.as_ref().is_some_and(takes)
    }

    /// The ledger, once this process holds it.
    fn ledger(&self) -> Option<Rc<Durable>> {
        self.durable.borrow().clone()
    }

    /// From here on work is taken durably. What was numbered until then keeps out of the ledger's numbers.
    pub fn open_ledger(&self, durable: Rc<Durable>) {
        self.next_wu.set(self.next_wu.get().max(durable.next_wu()));
        self.durable.replace(Some(durable));
    }

    /// Numbers work units from here on, so that those of a ledger that is opened later are free.
    pub fn number_from(&self, first: u64) {
        self.next_wu.set(first);
    }

    /// Takes a work unit on record, or finds it there, and waits for its answer; none where the client left,
    /// which ends nothing: the work goes on, and its answer is on record.
    async fn serve_durably(
        &self,
        connection: &mut Connection,
        work: ClientRequest,
        left: Duration,
        full: bool,
    ) -> Result<Option<(Answer, Option<RequestId>)>, u16> {
        let come_back = Answer::Rejected(Some(1000.0));
        // The process before this one still holds the ledger.
        let Some(durable) = self.ledger() else { return Ok(Some((come_back, None))) };
        let (joint, request_id, last) = match durable.find(&work) {
            Found::OtherBody => return Err(422),
            Found::Twice => return Err(409),
            Found::Ended(request_id) => {
                // That nothing can be read says nothing of the work: it may have run.
                let recorded = durable.recorded(request_id).await;
                return Ok(Some((recorded.unwrap_or(Answer::Failed), Some(request_id))));
            }
            Found::Open(joint) => {
                let margin = self.limits.downstream.last_answer_margin.min(left.mul_f64(0.1));
                (joint, None, Instant::now() + left - margin)
            }
            Found::New => {
                if !durable.is_ready() {
                    return Ok(Some((come_back, None)));
                }
                let (in_flight, last) = match self.open(work, left, full) {
                    Ok(opened) => opened,
                    Err(Some(status)) => return Err(status),
                    Err(None) => return Ok(Some((come_back, None))),
                };
                // From here on the ledger knows its id.
                in_flight.is_durable.set(true);
                let taken = durable.take(&in_flight, last).await;
                self.ids.borrow_mut().remove(&in_flight.request.id);
                let joint: Rc<JoinedRequest> = match taken {
                    Ok(joint) => joint,
                    Err(answer) => return Ok(Some((answer, None))),
                };
                let _ = self.events.send(NodeEvent::RequestArrived(in_flight.clone())).await;
                (joint, Some(in_flight.request_id), last)
            }
        };
        let answer = tokio::select! {
            biased;
            answer = joint.answered() => Some(answer),
            () = connection.gone() => None,
            () = sleep_until(last) => Some(Answer::Failed),
        };
        Ok(answer.map(|answer| (answer, request_id)))
    }

    /// Hands a work unit over and waits for its answer; none where the client left.
    async fn wait(
        &self,
        connection: &mut Connection,
        in_flight: &Rc<InFlightRequest>,
        last: Instant,
    ) -> Option<Answer> {
        let answered = async {
            // Guards against work that comes before the list has: by the one held before it could go to an
            // executor that has drained meanwhile, which counts as told from this process's first moment.
            // A source that has too many calls, or is down, keeps nobody waiting for longer.
            let mut stage = self.stage.clone();
            let _ =
                timeout_at(self.list_due, stage.wait_for(|stage| *stage != LifecycleState::Starting)).await;
            let _ = self.events.send(NodeEvent::RequestArrived(in_flight.clone())).await;
            in_flight.answered().await
        };
        let answer = tokio::select! {
            biased;
            answer = answered => return Some(answer),
            () = connection.gone() => None,
            // Guards against a work unit without its answer at its hard limit, whatever went wrong before.
            () = sleep_until(last) => Some(Answer::Failed),
        };
        in_flight.close();
        let _ = self.events.send(NodeEvent::ClientLeft(in_flight.request_id)).await;
        if answer.is_none() {
            tracing::debug!("left: the client of {}", in_flight.request.id);
        }
        answer
    }
}

#[cfg(test)]
#[path = "../../tests/unit/downstream.rs"]
mod tests;
