//! Emulated discovery: one agent per node, which can move to another address.
//!
//! `GET /catalog/members` returns the complete endpoint list, and with `?stream=1&index=N` a watch. A change reaches each
//! agent after a delay of its own.
use crate::machine::Millis;
use crate::observations::{ExecutorNumber, ListedState, NodeNumber, Observation, ObservationLog};
use crate::wire::{self, Abort, ConnectionHandle, Gate, StreamedBody};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// An idle watch sends an empty line this often.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long open connections to the old address continue after a move.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1500);

/// The entry of one executor in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub executor: ExecutorNumber,
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub machine_type: String,
    pub deduplication_group: u32,
    pub state: ListedState,
    pub weight: f64,
    /// Unix time in milliseconds; 0 if it started long ago.
    pub started_at: f64,
}

impl Member {
    fn as_json(&self) -> Value {
        let state = match self.state {
            ListedState::Ready => "Ready",
            ListedState::Terminating => "Terminating",
            ListedState::Gone => "Gone",
        };
        json!({"id": self.id, "addr": self.addr.to_string(), "zone": self.zone, "kind": self.machine_type,
            "cell": self.deduplication_group, "state": state, "weight": self.weight, "started_ms": self.started_at})
    }
}

/// The endpoint list as one agent has received it.
struct View {
    version: u64,
    /// The newest entry of each executor, with its version. Executors that are gone keep an entry.
    members: Vec<(u64, Member)>,
}

impl View {
    fn put(&mut self, member: Member) {
        self.version += 1;
        let version = self.version;
        match self.members.iter_mut().find(|(_, entry)| entry.executor == member.executor) {
            Some(entry) => *entry = (version, member),
            None => self.members.push((version, member)),
        }
    }

    /// Formats the complete list, or the changes after a version, and returns it with the states that it contains.
    fn format_line(&self, after_version: Option<u64>) -> (String, Vec<(ExecutorNumber, ListedState)>) {
        let is_included = |(version, member): &&(u64, Member)| match after_version {
            Some(after_version) => *version > after_version,
            None => member.state != ListedState::Gone,
        };
        let entries: Vec<&Member> =
            self.members.iter().filter(is_included).map(|(_, member)| member).collect();
        let servers: Vec<Value> = entries.iter().map(|member| member.as_json()).collect();
        let line = json!({"version": self.version, "full": after_version.is_none(), "servers": servers});
        (format!("{line}\n"), entries.iter().map(|member| (member.executor, member.state)).collect())
    }
}

/// The discovery agent of one node.
pub struct Agent {
    node: NodeNumber,
    observations: Arc<ObservationLog>,
    view: RefCell<View>,
    version: watch::Sender<u64>,
    gate: Rc<Gate>,
    addr: Cell<SocketAddr>,
    connections: RefCell<Vec<Weak<ConnectionHandle>>>,
    /// Stops the current listener when it is replaced.
    stop_listener: RefCell<watch::Sender<bool>>,
}

impl Agent {
    /// Starts an agent at an address, with a first list.
    ///
    /// # Errors
    /// If it cannot listen at the address.
    pub fn start(
        observations: &Arc<ObservationLog>,
        node: NodeNumber,
        addr: SocketAddr,
        members: Vec<Member>,
    ) -> io::Result<Rc<Self>> {
        let listener = wire::listen(addr)?;
        let mut view = View { version: 0, members: Vec::new() };
        members.into_iter().for_each(|member| view.put(member));
        let (stop_listener, stopped) = watch::channel(true);
        let agent = Rc::new(Agent {
            node,
            observations: observations.clone(),
            version: watch::channel(view.version).0,
            view: RefCell::new(view),
            gate: Rc::default(),
            addr: Cell::new(listener.local_addr()?),
            connections: RefCell::default(),
            stop_listener: RefCell::new(stop_listener),
        });
        spawn_local(agent.clone().accept(listener, stopped));
        Ok(agent)
    }

    /// The address that accepts connections now.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// The complete current list in the format of the discovery API.
    pub fn snapshot(&self) -> Value {
        let (line, _) = self.view.borrow().format_line(None);
        serde_json::from_str(&line).unwrap_or_default()
    }

    /// Applies a change after a delay, or when the agent is no longer silent.
    pub fn schedule_change(self: &Rc<Self>, member: Member, delay: Duration) {
        let agent = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            while agent.gate.is_closed() {
                // A silent agent does not receive changes either.
                sleep(Duration::from_millis(20)).await;
            }
            let (executor, state) = (member.executor, member.state);
            agent.view.borrow_mut().put(member);
            agent.observations.record(Observation::AgentUpdated { node: agent.node, executor, state });
            let version = agent.view.borrow().version;
            agent.version.send_replace(version);
        });
    }

    /// Stops or resumes all traffic; open connections stay open.
    pub fn set_silent(&self, silent: bool) {
        self.gate.set_closed(silent);
    }

    /// Resets all connections; new ones are accepted at once.
    pub fn reset_watches(&self) {
        let connections = std::mem::take(&mut *self.connections.borrow_mut());
        connections.iter().filter_map(Weak::upgrade).for_each(|connection| connection.abort(Abort::Reset));
    }

    /// Moves to another address; the old one accepts no new connection, and resets the open ones after a grace period.
    ///
    /// # Errors
    /// If it cannot listen at the new address.
    pub fn move_to(self: &Rc<Self>, addr: SocketAddr) -> io::Result<SocketAddr> {
        let listener = wire::listen(addr)?;
        self.addr.set(listener.local_addr()?);
        let (stop_listener, stopped) = watch::channel(true);
        self.stop_listener.replace(stop_listener).send_replace(false);
        let old = std::mem::take(&mut *self.connections.borrow_mut());
        spawn_local(async move {
            sleep(OLD_ADDRESS_GRACE).await;
            old.iter().filter_map(Weak::upgrade).for_each(|connection| connection.abort(Abort::Reset));
        });
        spawn_local(self.clone().accept(listener, stopped));
        Ok(self.addr())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
        loop {
            let stream = tokio::select! {
                _ = stopped.changed() => return,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
            };
            let connection = Rc::new(ConnectionHandle::default());
            {
                let mut connections = self.connections.borrow_mut();
                connections.retain(|connection| connection.strong_count() > 0);
                connections.push(Rc::downgrade(&connection));
            }
            let (agent, gate) = (self.clone(), self.gate.clone());
            spawn_local(wire::serve(stream, gate, connection, move |request| {
                let agent = agent.clone();
                async move { agent.answer(request) }
            }));
        }
    }

    fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<StreamedBody> {
        if request.uri().path() != "/catalog/members" {
            let mut answer = Response::new(StreamedBody::full(""));
            *answer.status_mut() = hyper::StatusCode::NOT_FOUND;
            return answer;
        }
        let parameter = |name: &str| {
            let pairs = request.uri().query().unwrap_or("").split('&');
            pairs
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_string())
        };
        if parameter("stream").as_deref() != Some("1") {
            let (line, states) = self.view.borrow().format_line(None);
            self.record_notified(&states);
            return Response::new(StreamedBody::full(line));
        }
        let index = parameter("index").and_then(|index| index.parse::<u64>().ok());
        let (sender, body) = StreamedBody::new(None);
        let mut version = self.version.subscribe();
        // An index beyond the current version comes from another version count and gets the complete list.
        let mut after_version = index.filter(|index| *index <= self.view.borrow().version);
        spawn_local(async move {
            loop {
                let (line, states) = self.view.borrow().format_line(after_version);
                after_version = Some(*version.borrow_and_update());
                if sender.send(line.into()).is_err() {
                    return;
                }
                self.record_notified(&states);
                loop {
                    tokio::select! {
                        changed = version.changed() => match changed {
                            Ok(()) => break,
                            Err(_) => return,
                        },
                        () = sleep(KEEP_ALIVE_INTERVAL) => {
                            if sender.send("\n".into()).is_err() {
                                return;
                            }
                        }
                        () = sender.closed() => return,
                    }
                }
            }
        });
        Response::new(body)
    }

    /// Records that the node was notified of these states.
    fn record_notified(&self, states: &[(ExecutorNumber, ListedState)]) {
        for &(executor, state) in states {
            self.observations.record(Observation::NodeNotified { node: self.node, executor, state });
        }
    }
}

/// The bounds of the delay, in milliseconds, after which an agent receives a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoticeDelay {
    pub min: Millis,
    pub max: Millis,
}
