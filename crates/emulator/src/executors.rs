//! Executors on sockets round the model: one task a connection, one that lets time pass for each executor.
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

const MOST_BODY: usize = 64 * 1024;

/// What the executors know of a work unit by its id.
#[derive(Clone, PartialEq, Debug)]
pub struct RequestSpec {
    pub request_id: u64,
    pub request_class: usize,
    pub slots: f64,
    pub memory: f64,
    pub work: Millis,
    pub priority: f64,
}

/// Finds what an id stands for; none where no client sent it.
pub type RequestLookup = Arc<dyn Fn(&str) -> Option<RequestSpec> + Send + Sync>;

/// The result that an executor makes of a work unit, so that a client can tell that it is the right one.
pub fn format_result(id: &str) -> String {
    format!("result of {id}")
}

/// What all executors of a fleet share.
pub struct FleetContext {
    pub observations: Arc<ObservationLog>,
    pub find_request: RequestLookup,
    /// Whether starts and progress are told.
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
enum Door {
    Open,
    /// Connections come up and are not taken.
    Paused,
    /// None comes up.
    Silent,
    /// They are refused.
    Down,
}

/// What an executor that knows fences keeps of a work unit, by its id, until it starts anew.
#[derive(Default)]
struct Fenced {
    /// The highest number that came, or was asked for; one that is not higher is refused.
    highest: u64,
    /// Of the allocation that was taken last.
    taken: Option<(u64, Fate)>,
}

#[derive(Clone, PartialEq)]
enum Fate {
    Waiting(AttemptKey),
    Running,
    Done(String),
    Lost,
}

/// An allocation that was taken and not answered yet.
struct Out {
    id: String,
    send: BodySender,
    line: Rc<ConnectionHandle>,
}

/// One executor on its address.
pub struct Host {
    pub number: ExecutorNumber,
    pub name: String,
    pub addr: SocketAddr,
    model: RefCell<Executor>,
    shared: Rc<FleetContext>,
    gate: Rc<Gate>,
    door: watch::Sender<Door>,
    changed: Notify,
    out: RefCell<HashMap<AttemptKey, Out>>,
    fenced: RefCell<HashMap<String, Fenced>>,
    /// Ids of fenced allocations that have not ended.
    fenced_out: RefCell<HashMap<AttemptKey, String>>,
    lines: RefCell<Vec<Weak<ConnectionHandle>>>,
}

impl Host {
    /// Starts to listen; `warm` where it started long ago.
    ///
    /// # Errors
    /// Where the address cannot be listened at.
    pub fn start(
        shared: &Rc<FleetContext>,
        number: ExecutorNumber,
        machine: Machine,
        seed: u64,
        at: SocketAddr,
        warm: bool,
    ) -> io::Result<Rc<Self>> {
        let listener = wire::listen(at)?;
        let model = Executor::new(machine, seed, shared.observations.now(), warm);
        let host = Rc::new(Host {
            number,
            name: format!("s-{number:05}"),
            addr: listener.local_addr()?,
            model: RefCell::new(model),
            shared: shared.clone(),
            gate: Rc::default(),
            door: watch::channel(Door::Open).0,
            changed: Notify::new(),
            out: RefCell::default(),
            fenced: RefCell::default(),
            fenced_out: RefCell::default(),
            lines: RefCell::default(),
        });
        host.note(Observation::ExecutorUp { executor: number });
        spawn_local(host.clone().accept(listener));
        spawn_local(host.clone().let_time_pass());
        Ok(host)
    }

    fn note(&self, seen: Observation) {
        self.shared.observations.record(seen);
    }

    fn now(&self) -> Millis {
        self.shared.observations.now()
    }

    /// When it last started, since the record's start; minus infinity for long ago.
    pub fn started_at(&self) -> Millis {
        self.model.borrow().started_at()
    }

    pub fn is_down(&self) -> bool {
        self.model.borrow().is_down()
    }

    /// Whether its connections say nothing.
    pub fn is_silent(&self) -> bool {
        self.model.borrow().is_silent()
    }

    /// Allocations that run and wait.
    pub fn attempt_counts(&self) -> (usize, usize) {
        let model = self.model.borrow();
        (model.running_count(), model.waiting_count())
    }

    pub fn begin_fault(&self, number: u64, trouble: Fault) {
        self.model.borrow_mut().begin_fault(self.now(), number, trouble);
        self.after_a_change();
    }

    pub fn end_fault(&self, number: u64) {
        let (before, down) = (self.started_at(), self.is_down());
        self.model.borrow_mut().end_fault(self.now(), number);
        if self.started_at() != before && !down {
            self.reset_all();
            self.note(Observation::ExecutorUp { executor: self.number });
        }
        self.after_a_change();
    }

    pub fn drain(&self) {
        self.model.borrow_mut().drain(self.now());
        self.after_a_change();
    }

    /// The process dies: its connections are reset, new ones refused.
    pub fn kill(&self) {
        self.model.borrow_mut().kill(self.now());
        self.note(Observation::ExecutorDown { executor: self.number });
        self.after_a_change();
        self.reset_all();
    }

    /// It starts anew, cold and empty, under its address.
    pub fn restart(&self) {
        self.model.borrow_mut().restart(self.now());
        self.reset_all();
        self.note(Observation::ExecutorUp { executor: self.number });
        self.after_a_change();
    }

    fn reset_all(&self) {
        // It starts with an empty memory.
        self.fenced.borrow_mut().clear();
        self.fenced_out.borrow_mut().clear();
        let lines = std::mem::take(&mut *self.lines.borrow_mut());
        lines.iter().filter_map(Weak::upgrade).for_each(|line| line.abort(Abort::Reset));
    }

    fn after_a_change(&self) {
        self.hand_out();
        let (down, silent, paused) = {
            let model = self.model.borrow();
            (model.is_down(), model.is_silent(), model.is_paused())
        };
        self.gate.set_closed(silent || paused);
        let door = match (down, silent, paused) {
            (true, ..) => Door::Down,
            (_, true, _) => Door::Silent,
            (.., true) => Door::Paused,
            _ => Door::Open,
        };
        self.door.send_if_modified(|was| std::mem::replace(was, door) != door);
        self.changed.notify_one();
    }

    /// Writes what the model says to whoever waits for it.
    fn hand_out(&self) {
        loop {
            let taken = self.model.borrow_mut().pop_output(self.now());
            let Some((at, output)) = taken else { return };
            let note = |seen| self.shared.observations.record_at(at, seen);
            let say = |key: &AttemptKey, what: &dyn Fn(&str) -> serde_json::Value| {
                if let Some(out) = self.out.borrow().get(key) {
                    let _ = out.send.send(format!("{}\n", what(&out.id)).into());
                }
            };
            match output {
                Output::Started { key } => {
                    self.fate(&key, |_| Fate::Running);
                    note(Observation::Started { attempt_id: key.0 });
                    if self.shared.reports_state {
                        say(&key, &|id| json!({"id": id, "from": self.name, "state": "started"}));
                    }
                }
                Output::Progress { key, share } => {
                    say(&key, &|id| json!({"id": id, "from": self.name, "state": "running", "share": share}));
                }
                Output::Ended { key, outcome: end } => {
                    note(Observation::Ended { attempt_id: key.0, outcome: end });
                    self.fate(&key, |id| match end {
                        AttemptOutcome::Done => Fate::Done(format_result(id)),
                        _ => Fate::Lost,
                    });
                    self.fenced_out.borrow_mut().remove(&key);
                    let end = |id: &str| match end {
                        AttemptOutcome::Done => {
                            json!({"id": id, "from": self.name, "state": "done", "result": format_result(id)})
                        }
                        AttemptOutcome::Returned => json!({"id": id, "from": self.name, "state": "returned"}),
                        AttemptOutcome::Lost => json!({"id": id, "from": self.name, "state": "lost"}),
                        AttemptOutcome::Reset => json!(null),
                    };
                    let reset = matches!(output, Output::Ended { outcome: AttemptOutcome::Reset, .. });
                    if !reset {
                        say(&key, &end);
                    }
                    if let Some(out) = self.out.borrow_mut().remove(&key)
                        && reset
                    {
                        out.line.abort(Abort::Reset);
                    }
                }
                Output::Overloaded { sent, limit: stood } => {
                    note(Observation::Overloaded { executor: self.number, sent, limit: stood });
                    note(Observation::ExecutorDown { executor: self.number });
                }
            }
        }
    }

    /// Keeps what became of a fenced allocation.
    fn fate(&self, key: &AttemptKey, fate: impl Fn(&str) -> Fate) {
        if let Some(id) = self.fenced_out.borrow().get(key)
            && let Some(Fenced { taken: Some((_, was)), .. }) = self.fenced.borrow_mut().get_mut(id)
        {
            *was = fate(id);
        }
    }

    /// What became of an allocation that was recorded so long ago; what had not begun never does from now on.
    fn ask_fence(&self, id: &str, fence: u64, age: Millis) -> serde_json::Value {
        let mut known = self.fenced.borrow_mut();
        let of = known.entry(id.to_string()).or_default();
        of.highest = of.highest.max(fence);
        let waits = match &of.taken {
            Some((number, Fate::Waiting(key))) if *number <= fence => Some(*key),
            _ => None,
        };
        if let Some(key) = waits {
            of.taken = None;
            self.fenced_out.borrow_mut().remove(&key);
            drop(known);
            self.note(Observation::NotStarted { attempt_id: key.0 });
            self.out.borrow_mut().remove(&key);
            self.model.borrow_mut().cancel(self.now(), key);
            self.changed.notify_one();
            return json!({"state": "never"});
        }
        match &of.taken {
            // Another life of this executor may have had it.
            None if self.now() - self.started_at() < age => json!({"state": "unknown"}),
            None => json!({"state": "never"}),
            Some((number, _)) if *number > fence => json!({"state": "lost"}),
            Some((_, Fate::Waiting(_) | Fate::Running)) => json!({"state": "running"}),
            Some((_, Fate::Done(result))) => json!({"state": "done", "result": result}),
            Some((_, Fate::Lost)) => json!({"state": "lost"}),
        }
    }

    async fn let_time_pass(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next_event_at();
            let at = self.shared.observations.started_at()
                + Duration::from_secs_f64(next.unwrap_or(0.0).max(0.0) / 1000.0);
            tokio::select! {
                () = sleep_until(Instant::from_std(at)), if next.is_some() => self.hand_out(),
                () = self.changed.notified() => {}
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut door = self.door.subscribe();
        let mut listener = Some(listener);
        loop {
            let now = *door.borrow_and_update();
            if now == Door::Down {
                listener = None;
            } else if listener.is_none() {
                match wire::listen(self.addr) {
                    Ok(again) => listener = Some(again),
                    Err(_) => {
                        // Its port is in use for a moment; guards against a restart that never listens.
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                }
            }
            match (now, &listener) {
                (Door::Silent, Some(listener)) => {
                    let plug = ListenerBlock::install(listener).await;
                    let _ = door.changed().await;
                    if let Ok(plug) = plug {
                        let _ = plug.remove(listener);
                    }
                }
                (Door::Open, Some(listener)) => tokio::select! {
                    changed = door.changed() => if changed.is_err() { return },
                    came = listener.accept() => {
                        if let Ok((stream, _)) = came {
                            spawn_local(self.clone().serve(stream));
                        }
                    }
                },
                _ => {
                    if door.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: tokio::net::TcpStream) {
        if !self.model.borrow_mut().connect(self.now()) {
            return;
        }
        self.changed.notify_one();
        let line = Rc::new(ConnectionHandle::default());
        {
            let mut lines = self.lines.borrow_mut();
            lines.retain(|line| line.strong_count() > 0);
            lines.push(Rc::downgrade(&line));
        }
        let (host, own) = (self.clone(), line.clone());
        let serving = wire::serve(stream, self.gate.clone(), line.clone(), move |request| {
            let (host, line) = (host.clone(), own.clone());
            async move { host.answer(request, line).await }
        });
        tokio::pin!(serving);
        let mut ended = false;
        loop {
            tokio::select! {
                () = &mut serving => break,
                // Guards against an end that hyper does not see behind the gate.
                () = line.peer_closed(), if !ended => {
                    ended = true;
                    let of_it = |out: &(&AttemptKey, &Out)| Rc::ptr_eq(&out.1.line, &line);
                    let keys: Vec<AttemptKey> = self.out.borrow().iter().filter(of_it).map(|(key, _)| *key).collect();
                    for key in keys {
                        self.out.borrow_mut().remove(&key);
                        self.given_up(key);
                    }
                }
            }
        }
        self.model.borrow_mut().disconnect(self.now());
    }

    fn report(&self) -> String {
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
        line: Rc<ConnectionHandle>,
    ) -> Response<StreamedBody> {
        let status = |status: u16, body: String| {
            let mut answer = Response::new(StreamedBody::full(body));
            *answer.status_mut() = hyper::StatusCode::from_u16(status).expect("a status of ours");
            answer
        };
        if request.method() == Method::GET {
            return match request.uri().path() {
                "/ping" | "/_load" => status(200, self.report()),
                _ => status(404, String::new()),
            };
        }
        let first_byte = line.first_byte_at().map_or(self.now(), |at| {
            (at.into_std() - self.shared.observations.started_at()).as_secs_f64() * 1000.0
        });
        let Some(id) = request.headers().get("request-id").and_then(|id| id.to_str().ok()).map(String::from)
        else {
            return status(404, String::new());
        };
        let number =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let fence = number("work-fence").filter(|n| *n >= 1.0).map(|n| n as u64);
        if request.uri().path() == "/_fence" {
            let Some((fence, age)) = fence.zip(number("work-fence-age")) else {
                return status(400, String::new());
            };
            return status(200, self.ask_fence(&id, fence, age).to_string());
        }
        let named = request.headers().get("work-millis").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        if Limited::new(request.into_body(), MOST_BODY).collect().await.is_err() {
            return status(413, String::new());
        }
        let Some(work) = (self.shared.find_request)(&id) else {
            self.note(Observation::UnknownRequest { executor: self.number, id: id.into() });
            return status(400, String::new());
        };
        let turned_away = || {
            let mut answer = status(503, String::new());
            answer.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
            answer
        };
        let attempt_id = self.shared.next_attempt.get();
        self.shared.next_attempt.set(attempt_id + 1);
        let key = AttemptKey(attempt_id);
        let offer = Attempt {
            key,
            request_id: work.request_id,
            request_class: work.request_class,
            slots: work.slots,
            memory: work.memory,
            work: named.filter(|w| w.is_finite() && *w >= 0.0).unwrap_or(work.work),
            priority: work.priority,
        };
        self.note(Observation::Received {
            executor: self.number,
            attempt_id,
            id: id.clone().into(),
            first_byte,
            slots: offer.slots,
            work: offer.work,
        });
        if let Some(fence) = fence {
            let mut known = self.fenced.borrow_mut();
            let of = known.entry(id.clone()).or_default();
            if fence <= of.highest {
                drop(known);
                self.note(Observation::NotStarted { attempt_id });
                return turned_away();
            }
            of.highest = fence;
            of.taken = Some((fence, Fate::Waiting(key)));
            self.fenced_out.borrow_mut().insert(key, id.clone());
        }
        let verdict = self.model.borrow_mut().dispatch(self.now(), offer);
        if verdict != Admission::Accepted && fence.is_some() {
            let never = verdict == Admission::Rejected;
            self.fenced_out.borrow_mut().remove(&key);
            if let Some(of) = self.fenced.borrow_mut().get_mut(&id) {
                of.taken = of.taken.take().filter(|_| !never).map(|(fence, _)| (fence, Fate::Lost));
            }
        }
        match verdict {
            Admission::Accepted => {}
            Admission::Rejected => {
                self.note(Observation::NotStarted { attempt_id });
                self.after_a_change();
                return turned_away();
            }
            Admission::Error => {
                self.note(Observation::ErrorAnswered { attempt_id });
                return status(500, String::new());
            }
            Admission::Down => {
                // It fell over under this very allocation, or died as it came.
                self.note(Observation::Ended { attempt_id, outcome: AttemptOutcome::Reset });
                self.after_a_change();
                self.reset_all();
                line.abort(Abort::Reset);
                return std::future::pending().await;
            }
        }
        let (host, own) = (Rc::downgrade(&self), key);
        let dropped = move || {
            if let Some(host) = host.upgrade()
                && host.out.borrow_mut().remove(&own).is_some()
            {
                host.given_up(own);
            }
        };
        let (send, lines) = StreamedBody::new(Some(Box::new(dropped)));
        self.out.borrow_mut().insert(key, Out { id, send, line: line.clone() });
        self.after_a_change();
        Response::new(lines)
    }

    /// Whoever sent it has ended the connection.
    fn given_up(&self, key: AttemptKey) {
        self.note(Observation::Cancelled { attempt_id: key.0 });
        if self.fenced_out.borrow().contains_key(&key) {
            // Whoever sent it will ask what became of it.
            return;
        }
        self.model.borrow_mut().cancel(self.now(), key);
        self.changed.notify_one();
    }
}
