//! Executors that serve the model on sockets: one task per connection, and one per executor that advances its model.
use crate::machine::{Fault, Machine, Millis};
use crate::model::{Admission, Attempt, AttemptKey, AttemptOutcome, Executor, Load, Output};
use crate::observations::{AttemptNumber, ExecutorNumber, Observation, ObservationLog};
use crate::wire::{self, Abort, BodySender, ConnectionHandle, Gate, ListenerBlock, StreamedBody};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// A request body with more bytes is answered with 413.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// What a request id stands for: the resources and the work of a request.
#[derive(Clone, PartialEq, Debug)]
pub struct RequestSpec {
    pub request_id: u64,
    pub request_class: usize,
    pub slots: f64,
    pub memory: f64,
    pub work: Millis,
    pub priority: f64,
}

/// Looks up a request by its id; `None` if no client sent it.
pub type RequestLookup = Arc<dyn Fn(&str) -> Option<RequestSpec> + Send + Sync>;

/// The result of a request, by which a client can check that the answer belongs to its request.
pub fn format_result(id: &str) -> String {
    format!("result of {id}")
}

/// The state that all executors of a fleet share.
pub struct FleetContext {
    pub observations: Arc<ObservationLog>,
    pub find_request: RequestLookup,
    /// Whether executors report that an attempt has started.
    pub reports_state: bool,
    next_attempt: Cell<AttemptNumber>,
}

impl FleetContext {
    pub fn new(
        observations: Arc<ObservationLog>,
        find_request: RequestLookup,
        reports_state: bool,
    ) -> Rc<Self> {
        Rc::new(FleetContext { observations, find_request, reports_state, next_attempt: Cell::new(0) })
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ListenState {
    Accepting,
    /// Connections are established but not accepted.
    Paused,
    /// Connections are not established.
    Silent,
    /// Connections are refused.
    Closed,
}

/// What an executor remembers of the fences of a request until it restarts.
#[derive(Default)]
struct FenceRecord {
    /// The highest fence of an attempt or a query; an attempt whose fence is not higher is rejected.
    highest: u64,
    /// The fence and the state of the attempt that was accepted last.
    accepted: Option<(u64, FencedState)>,
}

#[derive(Clone, PartialEq)]
enum FencedState {
    Waiting(AttemptKey),
    Running,
    /// Completed with this result.
    Done(String),
    Lost,
}

/// An attempt whose answer is not complete yet.
struct OpenAttempt {
    id: String,
    sender: BodySender,
    connection: Rc<ConnectionHandle>,
}

/// One executor at its address.
pub struct Host {
    pub number: ExecutorNumber,
    pub name: String,
    pub addr: SocketAddr,
    model: RefCell<Executor>,
    context: Rc<FleetContext>,
    gate: Rc<Gate>,
    listen_state: watch::Sender<ListenState>,
    /// Wakes the task that advances the model.
    changed: Notify,
    open_attempts: RefCell<HashMap<AttemptKey, OpenAttempt>>,
    /// By request id.
    fences: RefCell<HashMap<String, FenceRecord>>,
    /// Request ids of the fenced attempts that have not ended.
    open_fenced: RefCell<HashMap<AttemptKey, String>>,
    connections: RefCell<Vec<Weak<ConnectionHandle>>>,
}

impl Host {
    /// Starts an executor at an address; `is_warm` if its slow start is over.
    ///
    /// # Errors
    /// If it cannot listen at the address.
    pub fn start(
        context: &Rc<FleetContext>,
        number: ExecutorNumber,
        machine: Machine,
        seed: u64,
        addr: SocketAddr,
        is_warm: bool,
    ) -> io::Result<Rc<Self>> {
        let listener = wire::listen(addr)?;
        let model = Executor::new(machine, seed, context.observations.now(), is_warm);
        let host = Rc::new(Host {
            number,
            name: format!("s-{number:05}"),
            addr: listener.local_addr()?,
            model: RefCell::new(model),
            context: context.clone(),
            gate: Rc::default(),
            listen_state: watch::channel(ListenState::Accepting).0,
            changed: Notify::new(),
            open_attempts: RefCell::default(),
            fences: RefCell::default(),
            open_fenced: RefCell::default(),
            connections: RefCell::default(),
        });
        host.record(Observation::ExecutorUp { executor: number });
        spawn_local(host.clone().accept(listener));
        spawn_local(host.clone().advance_model());
        Ok(host)
    }

    fn record(&self, observation: Observation) {
        self.context.observations.record(observation);
    }

    fn now(&self) -> Millis {
        self.context.observations.now()
    }

    /// When it last started, on the clock of the observations; minus infinity if it was warm from the beginning.
    pub fn started_at(&self) -> Millis {
        self.model.borrow().started_at()
    }

    pub fn is_down(&self) -> bool {
        self.model.borrow().is_down()
    }

    /// Whether its connections carry no traffic.
    pub fn is_silent(&self) -> bool {
        self.model.borrow().is_silent()
    }

    /// The numbers of running and of queued attempts.
    pub fn attempt_counts(&self) -> (usize, usize) {
        let model = self.model.borrow();
        (model.running_count(), model.waiting_count())
    }

    /// Activates a fault under a number, by which [`Host::end_fault`] ends it.
    pub fn begin_fault(&self, number: u64, fault: Fault) {
        self.model.borrow_mut().begin_fault(self.now(), number, fault);
        self.apply_changes();
    }

    /// Ends the fault of this number, if it is active.
    pub fn end_fault(&self, number: u64) {
        let (started_before, was_down) = (self.started_at(), self.is_down());
        self.model.borrow_mut().end_fault(self.now(), number);
        if self.started_at() != started_before && !was_down {
            self.reset_all();
            self.record(Observation::ExecutorUp { executor: self.number });
        }
        self.apply_changes();
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.model.borrow_mut().drain(self.now());
        self.apply_changes();
    }

    /// Kills the process: its connections are reset, and new ones refused.
    pub fn kill(&self) {
        self.model.borrow_mut().kill(self.now());
        self.record(Observation::ExecutorDown { executor: self.number });
        self.apply_changes();
        self.reset_all();
    }

    /// Restarts the process at its address, without any attempts and at the beginning of its slow start.
    pub fn restart(&self) {
        self.model.borrow_mut().restart(self.now());
        self.reset_all();
        self.record(Observation::ExecutorUp { executor: self.number });
        self.apply_changes();
    }

    /// Resets all connections, and forgets all fences.
    fn reset_all(&self) {
        // A process that starts again has no fences.
        self.fences.borrow_mut().clear();
        self.open_fenced.borrow_mut().clear();
        let connections = std::mem::take(&mut *self.connections.borrow_mut());
        connections.iter().filter_map(Weak::upgrade).for_each(|connection| connection.abort(Abort::Reset));
    }

    /// Brings connections and listener in line with the model after a change of its state.
    fn apply_changes(&self) {
        self.process_outputs();
        let (down, silent, paused) = {
            let model = self.model.borrow();
            (model.is_down(), model.is_silent(), model.is_paused())
        };
        self.gate.set_closed(silent || paused);
        let listen_state = match (down, silent, paused) {
            (true, ..) => ListenState::Closed,
            (_, true, _) => ListenState::Silent,
            (.., true) => ListenState::Paused,
            _ => ListenState::Accepting,
        };
        self.listen_state
            .send_if_modified(|previous| std::mem::replace(previous, listen_state) != listen_state);
        self.changed.notify_one();
    }

    /// Records the outputs of the model, and writes them to the connections of their attempts.
    fn process_outputs(&self) {
        loop {
            let next = self.model.borrow_mut().pop_output(self.now());
            let Some((at, output)) = next else { return };
            let record = |observation| self.context.observations.record_at(at, observation);
            let send_event = |key: &AttemptKey, event: &dyn Fn(&str) -> serde_json::Value| {
                if let Some(open) = self.open_attempts.borrow().get(key) {
                    let _ = open.sender.send(format!("{}\n", event(&open.id)).into());
                }
            };
            match output {
                Output::Started { key } => {
                    self.set_fenced_state(&key, |_| FencedState::Running);
                    record(Observation::Started { attempt_id: key.0 });
                    if self.context.reports_state {
                        send_event(&key, &|id| json!({"id": id, "from": self.name, "state": "started"}));
                    }
                }
                Output::Progress { key, share } => {
                    send_event(
                        &key,
                        &|id| json!({"id": id, "from": self.name, "state": "running", "share": share}),
                    );
                }
                Output::Ended { key, outcome } => {
                    record(Observation::Ended { attempt_id: key.0, outcome });
                    self.set_fenced_state(&key, |id| match outcome {
                        AttemptOutcome::Done => FencedState::Done(format_result(id)),
                        _ => FencedState::Lost,
                    });
                    self.open_fenced.borrow_mut().remove(&key);
                    let event = |id: &str| match outcome {
                        AttemptOutcome::Done => {
                            json!({"id": id, "from": self.name, "state": "done", "result": format_result(id)})
                        }
                        AttemptOutcome::Returned => json!({"id": id, "from": self.name, "state": "returned"}),
                        AttemptOutcome::Lost => json!({"id": id, "from": self.name, "state": "lost"}),
                        AttemptOutcome::Reset => json!(null),
                    };
                    let is_reset = matches!(output, Output::Ended { outcome: AttemptOutcome::Reset, .. });
                    if !is_reset {
                        send_event(&key, &event);
                    }
                    if let Some(open) = self.open_attempts.borrow_mut().remove(&key)
                        && is_reset
                    {
                        open.connection.abort(Abort::Reset);
                    }
                }
                Output::Overloaded { sent, limit } => {
                    record(Observation::Overloaded { executor: self.number, sent, limit });
                    record(Observation::ExecutorDown { executor: self.number });
                }
            }
        }
    }

    /// Updates the state of a fenced attempt.
    fn set_fenced_state(&self, key: &AttemptKey, state: impl Fn(&str) -> FencedState) {
        if let Some(id) = self.open_fenced.borrow().get(key)
            && let Some(FenceRecord { accepted: Some((_, current)), .. }) =
                self.fences.borrow_mut().get_mut(id)
        {
            *current = state(id);
        }
    }

    /// Answers a fence query about an attempt that the node recorded `age` ago. An attempt that has not started yet
    /// never starts from now on.
    fn answer_fence_query(&self, id: &str, fence: u64, age: Millis) -> serde_json::Value {
        let mut fences = self.fences.borrow_mut();
        let fence_record = fences.entry(id.to_string()).or_default();
        fence_record.highest = fence_record.highest.max(fence);
        let waiting = match &fence_record.accepted {
            Some((accepted, FencedState::Waiting(key))) if *accepted <= fence => Some(*key),
            _ => None,
        };
        if let Some(key) = waiting {
            fence_record.accepted = None;
            self.open_fenced.borrow_mut().remove(&key);
            drop(fences);
            self.record(Observation::NotStarted { attempt_id: key.0 });
            self.open_attempts.borrow_mut().remove(&key);
            self.model.borrow_mut().cancel(self.now(), key);
            self.changed.notify_one();
            return json!({"state": "never"});
        }
        match &fence_record.accepted {
            // The process may have accepted it before its last restart.
            None if self.now() - self.started_at() < age => json!({"state": "unknown"}),
            None => json!({"state": "never"}),
            Some((accepted, _)) if *accepted > fence => json!({"state": "lost"}),
            Some((_, FencedState::Waiting(_) | FencedState::Running)) => json!({"state": "running"}),
            Some((_, FencedState::Done(result))) => json!({"state": "done", "result": result}),
            Some((_, FencedState::Lost)) => json!({"state": "lost"}),
        }
    }

    /// Advances the model at the time of each output and internal change.
    async fn advance_model(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next_event_at();
            let at = self.context.observations.started_at()
                + Duration::from_secs_f64(next.unwrap_or(0.0).max(0.0) / 1000.0);
            tokio::select! {
                () = sleep_until(Instant::from_std(at)), if next.is_some() => self.process_outputs(),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Accepts connections as the state of the listener allows.
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut listen_state = self.listen_state.subscribe();
        let mut listener = Some(listener);
        loop {
            let state = *listen_state.borrow_and_update();
            if state == ListenState::Closed {
                listener = None;
            } else if listener.is_none() {
                match wire::listen(self.addr) {
                    Ok(reopened) => listener = Some(reopened),
                    Err(_) => {
                        // The port can be in use for a moment after a restart; without a retry it would never
                        // listen again.
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                }
            }
            match (state, &listener) {
                (ListenState::Silent, Some(listener)) => {
                    let block = ListenerBlock::install(listener).await;
                    let _ = listen_state.changed().await;
                    if let Ok(block) = block {
                        let _ = block.remove(listener);
                    }
                }
                (ListenState::Accepting, Some(listener)) => tokio::select! {
                    changed = listen_state.changed() => if changed.is_err() { return },
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            spawn_local(self.clone().serve(stream));
                        }
                    }
                },
                _ => {
                    if listen_state.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Serves one connection, unless the model refuses it.
    async fn serve(self: Rc<Self>, stream: tokio::net::TcpStream) {
        if !self.model.borrow_mut().connect(self.now()) {
            return;
        }
        self.changed.notify_one();
        let connection = Rc::new(ConnectionHandle::default());
        {
            let mut connections = self.connections.borrow_mut();
            connections.retain(|connection| connection.strong_count() > 0);
            connections.push(Rc::downgrade(&connection));
        }
        let (host, handler_connection) = (self.clone(), connection.clone());
        let serving = wire::serve(stream, self.gate.clone(), connection.clone(), move |request| {
            let (host, connection) = (host.clone(), handler_connection.clone());
            async move { host.answer(request, connection).await }
        });
        tokio::pin!(serving);
        let mut is_closed = false;
        loop {
            tokio::select! {
                () = &mut serving => break,
                // While the gate is closed, hyper does not notice that the peer has closed the connection.
                () = connection.peer_closed(), if !is_closed => {
                    is_closed = true;
                    let is_affected = |open: &(&AttemptKey, &OpenAttempt)| Rc::ptr_eq(&open.1.connection, &connection);
                    let keys: Vec<AttemptKey> =
                        self.open_attempts.borrow().iter().filter(is_affected).map(|(key, _)| *key).collect();
                    for key in keys {
                        self.open_attempts.borrow_mut().remove(&key);
                        self.cancel_attempt(key);
                    }
                }
            }
        }
        self.model.borrow_mut().disconnect(self.now());
    }

    /// Formats a load report.
    fn load_report(&self) -> String {
        let Load { waiting, running, free_slots, free_memory } = self.model.borrow_mut().probe(self.now());
        self.changed.notify_one();
        let slots = self.model.borrow().machine().slots;
        let util = 1.0 - (free_slots / slots).clamp(0.0, 1.0);
        let memory = if free_memory.is_finite() { format!(",x1={free_memory:.1}") } else { String::new() };
        format!("inflight={running},queue={waiting},util={util:.3},x0={free_slots:.3}{memory}")
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ConnectionHandle>,
    ) -> Response<StreamedBody> {
        let status = |status: u16, body: String| {
            let mut answer = Response::new(StreamedBody::full(body));
            *answer.status_mut() = hyper::StatusCode::from_u16(status).expect("a valid status");
            answer
        };
        if request.method() == Method::GET {
            return match request.uri().path() {
                "/ping" | "/_load" => status(200, self.load_report()),
                _ => status(404, String::new()),
            };
        }
        let first_byte = connection.first_byte_at().map_or(self.now(), |at| {
            (at.into_std() - self.context.observations.started_at()).as_secs_f64() * 1000.0
        });
        let Some(id) = request.headers().get("request-id").and_then(|id| id.to_str().ok()).map(String::from)
        else {
            return status(404, String::new());
        };
        let numeric_field =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let fence = numeric_field("work-fence").filter(|fence| *fence >= 1.0).map(|fence| fence as u64);
        if request.uri().path() == "/_fence" {
            let Some((fence, age)) = fence.zip(numeric_field("work-fence-age")) else {
                return status(400, String::new());
            };
            return status(200, self.answer_fence_query(&id, fence, age).to_string());
        }
        let requested_work =
            request.headers().get("work-millis").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        if Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.is_err() {
            return status(413, String::new());
        }
        let Some(spec) = (self.context.find_request)(&id) else {
            self.record(Observation::UnknownRequest { executor: self.number, id: id.into() });
            return status(400, String::new());
        };
        let rejected = || {
            let mut answer = status(503, String::new());
            answer.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
            answer
        };
        let attempt_id = self.context.next_attempt.get();
        self.context.next_attempt.set(attempt_id + 1);
        let key = AttemptKey(attempt_id);
        let attempt = Attempt {
            key,
            request_id: spec.request_id,
            request_class: spec.request_class,
            slots: spec.slots,
            memory: spec.memory,
            work: requested_work.filter(|work| work.is_finite() && *work >= 0.0).unwrap_or(spec.work),
            priority: spec.priority,
        };
        self.record(Observation::Received {
            executor: self.number,
            attempt_id,
            id: id.clone().into(),
            first_byte,
            slots: attempt.slots,
            work: attempt.work,
        });
        if let Some(fence) = fence {
            let mut fences = self.fences.borrow_mut();
            let fence_record = fences.entry(id.clone()).or_default();
            if fence <= fence_record.highest {
                drop(fences);
                self.record(Observation::NotStarted { attempt_id });
                return rejected();
            }
            fence_record.highest = fence;
            fence_record.accepted = Some((fence, FencedState::Waiting(key)));
            self.open_fenced.borrow_mut().insert(key, id.clone());
        }
        let admission = self.model.borrow_mut().dispatch(self.now(), attempt);
        if admission != Admission::Accepted && fence.is_some() {
            let is_rejected = admission == Admission::Rejected;
            self.open_fenced.borrow_mut().remove(&key);
            if let Some(record) = self.fences.borrow_mut().get_mut(&id) {
                record.accepted = record
                    .accepted
                    .take()
                    .filter(|_| !is_rejected)
                    .map(|(fence, _)| (fence, FencedState::Lost));
            }
        }
        match admission {
            Admission::Accepted => {}
            Admission::Rejected => {
                self.record(Observation::NotStarted { attempt_id });
                self.apply_changes();
                return rejected();
            }
            Admission::Error => {
                self.record(Observation::ErrorAnswered { attempt_id });
                return status(500, String::new());
            }
            Admission::Down => {
                // This attempt exceeded the overload limit, or the process was down when it arrived.
                self.record(Observation::Ended { attempt_id, outcome: AttemptOutcome::Reset });
                self.apply_changes();
                self.reset_all();
                connection.abort(Abort::Reset);
                return std::future::pending().await;
            }
        }
        let host = Rc::downgrade(&self);
        let on_drop = move || {
            if let Some(host) = host.upgrade()
                && host.open_attempts.borrow_mut().remove(&key).is_some()
            {
                host.cancel_attempt(key);
            }
        };
        let (sender, body) = StreamedBody::new(Some(Box::new(on_drop)));
        self.open_attempts
            .borrow_mut()
            .insert(key, OpenAttempt { id, sender, connection: connection.clone() });
        self.apply_changes();
        Response::new(body)
    }

    /// Cancels an attempt whose client has closed the connection.
    fn cancel_attempt(&self, key: AttemptKey) {
        self.record(Observation::Cancelled { attempt_id: key.0 });
        if self.open_fenced.borrow().contains_key(&key) {
            // A fenced attempt continues: its node queries its state later.
            return;
        }
        self.model.borrow_mut().cancel(self.now(), key);
        self.changed.notify_one();
    }
}
