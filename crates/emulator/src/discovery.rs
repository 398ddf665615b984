//! Discovery on loopback: one agent for each node, with two addresses of which one is in use at a time.
//!
//! `GET /catalog/members` gives the whole list, with `?stream=1&index=N` a watch. A change reaches each agent
//! after a delay of its own.
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

const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// How long an address that is left goes on with the connections that it has.
const LEFT_OPEN: Duration = Duration::from_millis(1500);

/// One executor as discovery lists it.
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
    /// Unix time in milliseconds; 0 for long ago.
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

/// What one agent has been sent so far.
struct View {
    version: u64,
    /// Each executor's newest entry, with the version that brought it; whoever is gone stays as such.
    members: Vec<(u64, Member)>,
}

impl View {
    fn put(&mut self, member: Member) {
        self.version += 1;
        let version = self.version;
        match self.members.iter_mut().find(|(_, m)| m.executor == member.executor) {
            Some(entry) => *entry = (version, member),
            None => self.members.push((version, member)),
        }
    }

    /// A line with the whole list, or with what changed after a version.
    fn line(&self, after: Option<u64>) -> (String, Vec<(ExecutorNumber, ListedState)>) {
        let news = |(version, member): &&(u64, Member)| match after {
            Some(after) => *version > after,
            None => member.state != ListedState::Gone,
        };
        let news: Vec<&Member> = self.members.iter().filter(news).map(|(_, m)| m).collect();
        let servers: Vec<Value> = news.iter().map(|m| m.as_json()).collect();
        let line = json!({"version": self.version, "full": after.is_none(), "servers": servers});
        (format!("{line}\n"), news.iter().map(|m| (m.executor, m.state)).collect())
    }
}

/// The agent of one node.
pub struct Agent {
    node: NodeNumber,
    record: Arc<ObservationLog>,
    view: RefCell<View>,
    version: watch::Sender<u64>,
    gate: Rc<Gate>,
    addr: Cell<SocketAddr>,
    lines: RefCell<Vec<Weak<ConnectionHandle>>>,
    /// Ends the listener in use when it is replaced.
    listening: RefCell<watch::Sender<bool>>,
}

impl Agent {
    /// Listens at a free port of an address, with the list as it is.
    ///
    /// # Errors
    /// Where the address cannot be listened at.
    pub fn start(
        record: &Arc<ObservationLog>,
        node: NodeNumber,
        at: SocketAddr,
        members: Vec<Member>,
    ) -> io::Result<Rc<Self>> {
        let listener = wire::listen(at)?;
        let mut view = View { version: 0, members: Vec::new() };
        members.into_iter().for_each(|member| view.put(member));
        let (listening, listens) = watch::channel(true);
        let agent = Rc::new(Agent {
            node,
            record: record.clone(),
            version: watch::channel(view.version).0,
            view: RefCell::new(view),
            gate: Rc::default(),
            addr: Cell::new(listener.local_addr()?),
            lines: RefCell::default(),
            listening: RefCell::new(listening),
        });
        spawn_local(agent.clone().accept(listener, listens));
        Ok(agent)
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// The whole list as it is now, in discovery's form: what a node last had.
    pub fn snapshot(&self) -> Value {
        let (line, _) = self.view.borrow().line(None);
        serde_json::from_str(&line).unwrap_or_default()
    }

    /// A change, `after` from now on.
    pub fn schedule_change(self: &Rc<Self>, member: Member, after: Duration) {
        let agent = self.clone();
        spawn_local(async move {
            sleep(after).await;
            while agent.gate.is_closed() {
                // What cannot be told is not known here either.
                sleep(Duration::from_millis(20)).await;
            }
            let (executor, listed) = (member.executor, member.state);
            agent.view.borrow_mut().put(member);
            agent.record.record(Observation::AgentUpdated { node: agent.node, executor, state: listed });
            let version = agent.view.borrow().version;
            agent.version.send_replace(version);
        });
    }

    /// Says nothing while it is silent; open connections stay open.
    pub fn set_silent(&self, silent: bool) {
        self.gate.set_closed(silent);
    }

    /// Ends all watches; they may be opened again at once.
    pub fn reset_watches(&self) {
        let lines = std::mem::take(&mut *self.lines.borrow_mut());
        lines.iter().filter_map(Weak::upgrade).for_each(|line| line.abort(Abort::Reset));
    }

    /// Moves to another address; the old one takes no new connection, and ends the open ones later.
    ///
    /// # Errors
    /// Where the new address cannot be listened at.
    pub fn move_to(self: &Rc<Self>, at: SocketAddr) -> io::Result<SocketAddr> {
        let listener = wire::listen(at)?;
        self.addr.set(listener.local_addr()?);
        let (listening, listens) = watch::channel(true);
        self.listening.replace(listening).send_replace(false);
        let old = std::mem::take(&mut *self.lines.borrow_mut());
        spawn_local(async move {
            sleep(LEFT_OPEN).await;
            old.iter().filter_map(Weak::upgrade).for_each(|line| line.abort(Abort::Reset));
        });
        spawn_local(self.clone().accept(listener, listens));
        Ok(self.addr())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, mut listens: watch::Receiver<bool>) {
        loop {
            let stream = tokio::select! {
                _ = listens.changed() => return,
                came = listener.accept() => match came {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
            };
            let line = Rc::new(ConnectionHandle::default());
            {
                let mut lines = self.lines.borrow_mut();
                lines.retain(|line| line.strong_count() > 0);
                lines.push(Rc::downgrade(&line));
            }
            let (agent, gate) = (self.clone(), self.gate.clone());
            spawn_local(wire::serve(stream, gate, line, move |request| {
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
        let asked = |name: &str| {
            let pairs = request.uri().query().unwrap_or("").split('&');
            pairs
                .filter_map(|pair| pair.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.to_string())
        };
        if asked("stream").as_deref() != Some("1") {
            let (line, told) = self.view.borrow().line(None);
            self.told(&told);
            return Response::new(StreamedBody::full(line));
        }
        let index = asked("index").and_then(|index| index.parse::<u64>().ok());
        let (send, lines) = StreamedBody::new(None);
        let mut version = self.version.subscribe();
        // An index of another count of versions gets the whole list.
        let mut after = index.filter(|index| *index <= self.view.borrow().version);
        spawn_local(async move {
            loop {
                let (line, told) = self.view.borrow().line(after);
                after = Some(*version.borrow_and_update());
                if send.send(line.into()).is_err() {
                    return;
                }
                self.told(&told);
                loop {
                    tokio::select! {
                        changed = version.changed() => match changed {
                            Ok(()) => break,
                            Err(_) => return,
                        },
                        () = sleep(KEEP_ALIVE) => {
                            if send.send("\n".into()).is_err() {
                                return;
                            }
                        }
                        () = send.closed() => return,
                    }
                }
            }
        });
        Response::new(lines)
    }

    fn told(&self, told: &[(ExecutorNumber, ListedState)]) {
        for &(executor, listed) in told {
            self.record.record(Observation::NodeNotified { node: self.node, executor, state: listed });
        }
    }
}

/// How long a change takes to an agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoticeDelay {
    pub min: Millis,
    pub max: Millis,
}
