//! The executor side: pooled connections, allocations and probes. It carries out what the driver says and
//! tells it what came of it; what it may give a client goes into the exchange.
use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::durable::{Durable, Lease};
use crate::event::NodeEvent;
use crate::hot_restart::sibling::SiblingProcess;
use crate::http1::{Connection, Failed, ResponseHead};
use crate::in_flight::{Answer, CancelSignal, InFlightRequest};
use crate::protocol::{self, AttemptEvent, AttemptFate, Codec, Current};
use bytes::BytesMut;
use slotmap::SecondaryMap;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use troutknot::{AttemptId, Effect, Event as CoreEvent, ExecutorId, LoadReport, Outcome, ProbeReply};

/// An executor that does not tell yet what became of an allocation is asked again after so long.
const FENCE_AGAIN: Duration = Duration::from_millis(50);

/// Idle connections are looked at no more often, however short the settings let them stand.
const RETIRE_APART: Duration = Duration::from_millis(10);

/// Ends when an allocation on record has shown no sign of life for its lease.
async fn run_out(lease: Option<&Lease>) {
    match lease {
        Some(lease) => lease.over().await,
        None => std::future::pending().await,
    }
}

pub struct ExecutorPool {
    pub limits: Rc<Limits>,
    pub codec: Rc<Current<Codec>>,
    pub events: mpsc::Sender<NodeEvent>,
    /// Another process of this node, if one runs.
    pub beside: Rc<SiblingProcess>,
    /// Records attempts of durable requests; set once this process has the ledger open.
    pub durable: OnceCell<Rc<Durable>>,
    hosts: RefCell<SecondaryMap<ExecutorId, Rc<Host>>>,
    open: Rc<Cell<usize>>,
    rings: Rc<ByteBudget>,
}

/// One executor as the list last told it.
struct Host {
    addr: Cell<Option<SocketAddr>>,
    started: Cell<Option<f64>>,
    /// Counts its starts and moves; connections of an earlier one are not used again.
    life: Cell<u64>,
    idle: RefCell<Vec<Idle>>,
    /// From when on nothing may be sent to it.
    shut: Cell<Option<Instant>>,
    shut_set: Notify,
}

struct Idle {
    connection: Counted,
    since: Instant,
}

/// A connection, or one that is being made, that counts against the limit until it is dropped.
struct Counted {
    connection: Option<Connection>,
    life: u64,
    /// When it last carried the answer to an allocation.
    answered: Option<Instant>,
    open: Rc<Cell<usize>>,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

impl Counted {
    /// Whether a second answer to the last allocation that it carried would have come by now.
    fn is_clear(&self, limits: &Limits) -> bool {
        self.answered.is_none_or(|at| at.elapsed() >= limits.upstream.duplicate_response_window)
    }
}

impl Deref for Counted {
    type Target = Connection;
    fn deref(&self) -> &Connection {
        self.connection.as_ref().expect("it is connected before it is handed out")
    }
}

impl DerefMut for Counted {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("it is connected before it is handed out")
    }
}

/// One push to carry out.
pub struct DispatchOrder {
    pub in_flight: Rc<InFlightRequest>,
    pub executor: ExecutorId,
    /// Its name, where the allocation goes on record.
    pub name: Option<String>,
    pub attempt_id: AttemptId,
    pub decided: Instant,
    /// The start and address of its executor that it was decided for, by [`Executors::life`].
    pub life: u64,
    pub cut: Instant,
    /// Its last byte is written before that, or never.
    pub send_deadline: Instant,
    pub stop: Rc<CancelSignal>,
}

impl Host {
    /// Ends when nothing may be sent any more.
    async fn shut(&self) {
        loop {
            let changed = self.shut_set.notified();
            let Some(at) = self.shut.get() else {
                changed.await;
                continue;
            };
            // While it waits for the grace to end, the list may say that it is healthy again, and later that it
            // drains once more: only the last word counts.
            tokio::select! {
                biased;
                () = changed => {}
                () = sleep_until(at) => return,
            }
        }
    }

    fn is_shut(&self) -> bool {
        self.shut.get().is_some_and(|at| Instant::now() >= at)
    }

    /// The idle connection that was used last and may still be used; with `clear`, over which no second answer
    /// to what it carried before can come any more.
    fn take_idle(&self, limits: &Limits, clear: bool) -> Option<Counted> {
        let mut idle = self.idle.borrow_mut();
        let usable =
            |idle: &Idle| idle.since.elapsed() < limits.timeouts().max_pooled_idle && idle.connection.quiet();
        idle.retain(usable);
        let at = idle.iter().rposition(|idle| !clear || idle.connection.is_clear(limits))?;
        Some(idle.remove(at).connection)
    }
}

impl ExecutorPool {
    pub fn new(
        limits: Rc<Limits>,
        codec: Rc<Current<Codec>>,
        events: mpsc::Sender<NodeEvent>,
        beside: Rc<SiblingProcess>,
    ) -> Rc<Self> {
        let rings = ByteBudget::new(limits.upstream.max_connections * 2 * limits.connection_buffer_bytes);
        let (hosts, open) = (RefCell::default(), Rc::default());
        let durable = OnceCell::new();
        Rc::new(ExecutorPool { limits, codec, events, beside, durable, hosts, open, rings })
    }

    /// What the list says of one executor. One that is not healthy is sent nothing after the wait.
    pub fn listed(
        &self,
        executor: ExecutorId,
        addr: Option<SocketAddr>,
        started: Option<f64>,
        healthy: bool,
    ) {
        let host = self.host_to_list(executor);
        if (addr.is_some() && addr != host.addr.get()) || started != host.started.get() {
            host.addr.set(addr.or(host.addr.get()));
            host.started.set(started);
            host.life.set(host.life.get() + 1);
            host.idle.borrow_mut().clear();
        }
        if healthy {
            host.shut.set(None);
            host.shut_set.notify_waiters();
        } else {
            self.shut(executor);
        }
    }

    /// Makes room for so many executors in all, at once.
    pub fn reserve(&self, executors: usize) {
        self.hosts.borrow_mut().set_capacity(executors);
    }

    pub fn shut(&self, executor: ExecutorId) {
        let Some(host) = self.host(executor) else { return };
        if host.shut.get().is_none() {
            host.shut.set(Some(Instant::now() + self.limits.timeouts().drained_dispatch_grace));
            host.shut_set.notify_waiters();
        }
    }

    /// Closes what is idle there: it may be gone unseen.
    pub fn close_idle(&self, executor: ExecutorId) {
        self.host(executor).into_iter().for_each(|host| host.idle.borrow_mut().clear());
    }

    /// Counts the starts and moves of an executor, as far as the list told them.
    pub fn life(&self, executor: ExecutorId) -> u64 {
        self.host(executor).map_or(0, |host| host.life.get())
    }

    /// Forgets an executor that is gone: what is idle there is closed, and nothing is sent to it any more.
    pub fn release(&self, executor: ExecutorId) {
        let Some(host) = self.hosts.borrow_mut().remove(executor) else { return };
        host.idle.borrow_mut().clear();
        host.shut.set(Some(Instant::now()));
        host.shut_set.notify_waiters();
    }

    pub fn connections(&self) -> usize {
        self.open.get()
    }

    /// The number of executors that are kept in mind.
    #[cfg(test)]
    pub fn kept(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// What is kept of an executor; nothing where it was released.
    fn host(&self, executor: ExecutorId) -> Option<Rc<Host>> {
        self.hosts.borrow().get(executor).cloned()
    }

    fn host_to_list(&self, executor: ExecutorId) -> Rc<Host> {
        if let Some(host) = self.host(executor) {
            return host;
        }
        let host = Rc::new(Host {
            addr: Cell::new(None),
            started: Cell::new(None),
            life: Cell::new(0),
            idle: RefCell::default(),
            shut: Cell::new(None),
            shut_set: Notify::new(),
        });
        self.hosts.borrow_mut().insert(executor, host.clone());
        host
    }

    /// An idle connection, else a new one. Not sent says that the node has none to spare.
    async fn connect(&self, host: &Host, most: usize, clear: bool) -> Result<Counted, Outcome> {
        if let Some(connection) = host.take_idle(&self.limits, clear) {
            return Ok(connection);
        }
        let open = self.open.get() + self.beside.usage().executors;
        if open >= most && !self.close_longest_idle() {
            return Err(Outcome::NotSent);
        }
        let addr = host.addr.get().ok_or(Outcome::NoConnection)?;
        self.open.set(self.open.get() + 1);
        let (life, open) = (host.life.get(), self.open.clone());
        let mut made = Counted { connection: None, life, answered: None, open };
        match timeout(self.limits.timeouts().connect_timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                // What the system holds cannot be taken back from an executor that reads slowly.
                let _ =
                    socket2::SockRef::from(&stream).set_send_buffer_size(self.limits.connection_buffer_bytes);
                made.connection =
                    Some(Connection::new(stream, self.limits.connection_buffer_bytes, &self.rings));
                Ok(made)
            }
            _ => Err(Outcome::NoConnection),
        }
    }

    /// Makes room among all executors; false where every connection is in use.
    fn close_longest_idle(&self) -> bool {
        let hosts = self.hosts.borrow();
        let since = |host: &Rc<Host>| host.idle.borrow().first().map(|idle| idle.since);
        let longest = hosts.values().filter(|host| since(host).is_some()).min_by_key(|host| since(host));
        longest.map(|host| host.idle.borrow_mut().remove(0)).is_some()
    }

    /// Takes a connection back whose last message is whole.
    fn put_back(&self, host: &Host, mut connection: Counted) {
        if connection.life == host.life.get() && !host.is_shut() {
            connection.rest();
            host.idle.borrow_mut().push(Idle { connection, since: Instant::now() });
        }
    }

    /// Guards against connections that stand idle until the executor closes them under a request.
    pub async fn retire_idle(self: Rc<Self>) {
        loop {
            sleep((self.limits.timeouts().max_pooled_idle / 8).max(RETIRE_APART)).await;
            for host in self.hosts.borrow().values() {
                let keeps = |idle: &Idle| {
                    idle.since.elapsed() < self.limits.timeouts().max_pooled_idle
                        && idle.connection.quiet()
                        && !host.is_shut()
                };
                host.idle.borrow_mut().retain(keeps);
            }
        }
    }

    /// Carries out a push and tells the driver its one outcome.
    pub async fn allocate(self: Rc<Self>, push: DispatchOrder) {
        let (request_id, attempt_id) = (push.in_flight.request_id, push.attempt_id);
        // Whether that closes the work unit is the driver's to say.
        let ended = |outcome| {
            NodeEvent::Core(CoreEvent::AttemptEnded {
                request_id,
                attempt_id,
                outcome,
                is_request_closed: false,
            })
        };
        let Some(host) = self.host(push.executor) else {
            let _ = self.events.send(ended(Outcome::NotSent)).await;
            return;
        };
        let mut lease = None;
        let (mut outcome, rest) = self.run(&host, &push, &mut lease).await;
        if let Some(lease) = &lease {
            let may_have_run = !outcome.never_ran() && outcome != Outcome::Completed;
            if may_have_run && !push.stop.is_cancelled() {
                outcome = self.fate(&host, &push.in_flight, lease).await.unwrap_or(outcome);
            }
            lease.ended(outcome);
        }
        let _ = self.events.send(ended(outcome)).await;
        if let Some((mut connection, mut head)) = rest {
            let (mut scrap, most) = (BytesMut::new(), self.limits.max_body_bytes);
            let end = connection.body(&mut head.body, &mut scrap, most, false);
            if head.keep && matches!(timeout(self.limits.rest_of_message_timeout, end).await, Ok(Ok(true))) {
                self.put_back(&host, connection);
            }
        }
    }

    /// The outcome, and the connection where its answer may still be read to the end.
    async fn run(
        &self,
        host: &Host,
        push: &DispatchOrder,
        recorded: &mut Option<Lease>,
    ) -> (Outcome, Option<(Counted, ResponseHead)>) {
        let in_flight = &push.in_flight;
        let most = self.limits.upstream.max_connections - (self.limits.upstream.max_connections / 16).max(1);
        // Guards against a late second answer that names no work unit and says that nothing ran: it must not
        // speak for what may not run twice.
        let rerunnable = self.codec.now().effect(in_flight.request.class) == Some(Effect::Idempotent);
        // Guards against a send that was decided long before: while it connects, the grace of its executor
        // may end, its cut may come, its work unit may be over.
        let connection = tokio::select! {
            biased;
            _ = push.stop.cancelled() => Err(Outcome::NotSent),
            () = in_flight.over() => Err(Outcome::NotSent),
            () = host.shut() => Err(Outcome::NotSent),
            () = sleep_until(push.cut) => Err(Outcome::NoConnection),
            () = sleep_until(push.send_deadline) => Err(Outcome::NotSent),
            connection = self.connect(host, most, !rerunnable) => connection,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        if let (Some(durable), Some(name)) = (self.durable.get(), &push.name) {
            // Nothing of it is written before it is on record.
            let lease = tokio::select! {
                biased;
                _ = push.stop.cancelled() => None,
                () = in_flight.over() => None,
                () = host.shut() => None,
                () = sleep_until(push.send_deadline) => None,
                lease = durable.lease(in_flight.request_id, name, push.cut) => lease,
            };
            let Some(lease) = lease else {
                self.put_back(host, connection);
                return (Outcome::NotSent, None);
            };
            *recorded = Some(lease);
        }
        let now = Instant::now();
        // Guards against a node that stood still: what it decided before may have been overtaken by news
        // that it has not read yet.
        let stood = now - push.decided > self.limits.timeouts().connect_timeout + self.limits.stall_threshold;
        // Guards against work for a start that has passed: while it waited to be carried out, or connected, the
        // list may have told of another start or address, whose cold budget knows nothing of it.
        let other = host.life.get() != push.life;
        if in_flight.is_over() || host.is_shut() || now >= push.send_deadline || stood || other {
            self.put_back(host, connection);
            return (Outcome::NotSent, None);
        }
        // Guards against bytes, or an end, that came while it was put on record.
        if recorded.is_some() && !connection.quiet() {
            return (Outcome::NotSent, None);
        }
        let addr = host.addr.get().expect("it was connected to");
        let told = recorded.as_ref().and_then(Lease::told_to_executor);
        let head = self.codec.now().allocation(&in_flight.request, addr, push.cut - now, told);
        let parts: [&[u8]; 2] = [&head, &in_flight.request.body];
        // Guards against an executor that reads slowly: until the last byte is written the client may leave, the
        // work unit may get its answer, the grace may end, and the window in which a repeat of it would be
        // dropped; what is written in part never runs.
        let written = tokio::select! {
            biased;
            written = connection.write(&parts) => written.is_ok(),
            _ = push.stop.cancelled() => false,
            () = in_flight.over() => false,
            () = host.shut() => false,
            () = sleep_until(push.send_deadline) => false,
        };
        if !written {
            // The last byte was not written, so it never runs.
            connection.abandon();
            return (Outcome::NoConnection, None);
        }
        // Guards against work that nobody waits for: where it may run again, breaking it off harms nothing.
        let withdrawn = async {
            match self.codec.now().may_withdraw(in_flight.request.class) {
                true => in_flight.over().await,
                false => std::future::pending().await,
            }
        };
        let read = tokio::select! {
            biased;
            read = self.read(&mut connection, push, recorded.as_ref()) => read,
            () = run_out(recorded.as_ref()) => Ok((Outcome::TimedOut, None)),
            why = push.stop.cancelled() => Ok((why, None)),
            () = withdrawn => Ok((Outcome::Cancelled, None)),
            () = sleep_until(push.cut) => Ok((Outcome::TimedOut, None)),
        };
        match read {
            Ok((outcome, Some(mut head))) => {
                // A head alone names no work unit, and may be a second answer to another: where this one may run
                // again it is believed, but what may still run there is broken off.
                let named = head.status == 200 || !outcome.never_ran();
                head.keep &= named || connection.is_clear(&self.limits);
                connection.answered = Some(Instant::now());
                (outcome, Some((connection, head)))
            }
            Ok((outcome, None)) => {
                connection.abandon();
                (outcome, None)
            }
            Err(why) => {
                connection.abandon();
                if let Failed::Bad(_) = why {
                    tracing::warn!("executor at {addr} talks garbage, its connection is closed: {why}");
                }
                (Outcome::Reset, None)
            }
        }
    }

    /// Reads an answer up to its outcome.
    async fn read(
        &self,
        connection: &mut Connection,
        push: &DispatchOrder,
        lease: Option<&Lease>,
    ) -> Result<(Outcome, Option<ResponseHead>), Failed> {
        let (in_flight, request_id, attempt_id) =
            (&push.in_flight, push.in_flight.request_id, push.attempt_id);
        let mut head = connection.answer_head().await?;
        lease.iter().for_each(|lease| lease.beat(false));
        if let Some(outcome) = protocol::taken(&head) {
            return Ok((outcome, Some(head)));
        }
        let (mut buffer, mut begun) = (BytesMut::new(), false);
        // A result is at most a body, but JSON may write it longer.
        let most = 2 * self.limits.max_body_bytes;
        loop {
            let ended = connection.body(&mut head.body, &mut buffer, most, true).await?;
            while let Some(line) = protocol::next_line(&mut buffer, ended) {
                let told = protocol::line(&line, &in_flight.request.id).map_err(|why| {
                    tracing::warn!("executor line not understood: {why}");
                    Failed::Ended
                })?;
                lease.iter().for_each(|lease| {
                    lease.beat(matches!(told, AttemptEvent::Started | AttemptEvent::Progress(_)))
                });
                match told {
                    AttemptEvent::Started => {
                        begun = true;
                        let _ = self
                            .events
                            .try_send(NodeEvent::Core(CoreEvent::AttemptStarted { request_id, attempt_id }));
                    }
                    AttemptEvent::Progress(share) => {
                        begun = true;
                        let _ = self.events.try_send(NodeEvent::Core(CoreEvent::AttemptProgressed {
                            request_id,
                            attempt_id,
                            share,
                        }));
                    }
                    AttemptEvent::Result(result) => {
                        in_flight.answer(Answer::Completed(result));
                        return Ok((Outcome::Completed, Some(head)));
                    }
                    // Guards against a contradiction: what has begun and is handed back unstarted may have run.
                    AttemptEvent::Ended(outcome) if begun && outcome.never_ran() => {
                        return Err(Failed::Ended);
                    }
                    AttemptEvent::Ended(outcome) => return Ok((outcome, Some(head))),
                }
            }
            if ended {
                return Err(Failed::Ended);
            }
        }
    }

    /// Finds out what became of an allocation of an earlier life, and tells the driver its one outcome.
    pub async fn settle(
        self: Rc<Self>,
        in_flight: Rc<InFlightRequest>,
        executor: ExecutorId,
        attempt_id: AttemptId,
        lease: Lease,
    ) {
        let fate = match self.host(executor) {
            Some(host) => self.fate(&host, &in_flight, &lease).await,
            None => None,
        };
        let outcome = fate.unwrap_or(Outcome::Reset);
        lease.ended(outcome);
        let ended = CoreEvent::AttemptEnded {
            request_id: in_flight.request_id,
            attempt_id,
            outcome,
            is_request_closed: false,
        };
        let _ = self.events.send(NodeEvent::Core(ended)).await;
    }

    /// What an allocation came to that may have run, by its executor's word, as long as its work unit is open;
    /// none where it does not know, or nobody can be asked. A lease that ran out frees nothing.
    async fn fate(&self, host: &Host, in_flight: &InFlightRequest, lease: &Lease) -> Option<Outcome> {
        if !lease.fences_known() {
            return None;
        }
        loop {
            let fate = tokio::select! {
                biased;
                () = in_flight.over() => return None,
                () = sleep_until(in_flight.deadline) => return None,
                fate = timeout(self.limits.timeouts().probe_timeout, self.ask_fence(host, in_flight, lease)) => fate.ok().flatten(),
            };
            match fate {
                Some(AttemptFate::Never) if lease.fenced() => return Some(Outcome::NoConnection),
                Some(AttemptFate::Done(result)) => {
                    in_flight.answer(Answer::Completed(result));
                    return Some(Outcome::Completed);
                }
                Some(AttemptFate::Never | AttemptFate::Lost) => return None,
                Some(AttemptFate::Running) | None => {}
            }
            tokio::select! {
                () = in_flight.over() => return None,
                () = sleep(FENCE_AGAIN) => {}
            }
        }
    }

    async fn ask_fence(
        &self,
        host: &Host,
        in_flight: &InFlightRequest,
        lease: &Lease,
    ) -> Option<AttemptFate> {
        let mut connection = self.connect(host, self.limits.upstream.max_connections, false).await.ok()?;
        let ask = self.codec.now().fence(&in_flight.request.id, lease.fence, lease.age(), host.addr.get()?);
        connection.write(&[&ask]).await.ok()?;
        let mut head = connection.answer_head().await.ok()?;
        let mut body = BytesMut::new();
        connection.body(&mut head.body, &mut body, 2 * self.limits.max_body_bytes, false).await.ok()?;
        let fate = protocol::fate(&head, &body);
        if head.keep {
            self.put_back(host, connection);
        }
        fate
    }

    /// Probes an executor and tells the driver what came of it.
    pub async fn probe(self: Rc<Self>, executor: ExecutorId) {
        let start = Instant::now();
        let answer = match self.host(executor) {
            Some(host) => timeout_at(start + self.limits.timeouts().probe_timeout, self.ask(&host)).await,
            None => Ok(None),
        };
        if answer.is_err() {
            // Guards against connections to a machine that is cut off: they stay open and silent.
            self.close_idle(executor);
        }
        let latency = start.elapsed();
        // Guards against a node that stood still: an answer that waited for it says nothing of now.
        let is_late = latency > self.limits.timeouts().probe_timeout + self.limits.stall_threshold;
        let report = answer.ok().flatten().filter(|_| !is_late);
        let latency = latency.as_secs_f64() * 1000.0;
        let reply = report.map(|report| ProbeReply { latency, report });
        let probed = CoreEvent::ProbeCompleted { executor, reply };
        let _ = self.events.send(NodeEvent::Core(probed)).await;
    }

    async fn ask(&self, host: &Host) -> Option<LoadReport> {
        let mut connection = self.connect(host, self.limits.upstream.max_connections, false).await.ok()?;
        let ask = self.codec.now().probe(host.addr.get()?);
        connection.write(&[ask.as_bytes()]).await.ok()?;
        let mut head = connection.answer_head().await.ok()?;
        let mut body = BytesMut::new();
        connection.body(&mut head.body, &mut body, self.limits.connection_buffer_bytes, false).await.ok()?;
        let reading = (head.status == 200).then(|| self.codec.now().reading(&head, &body));
        if head.keep {
            self.put_back(host, connection);
        }
        reading
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upstream.rs"]
mod tests;
