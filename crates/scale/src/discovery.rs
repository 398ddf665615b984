//! Agents of discovery, one per node, which speak its protocol: snapshots, watches with deltas, an empty line every
//! 2 s and, on demand, silence. They record when each change was written to each node.
use crate::catalog::{Catalog, ListMessage, Member, State};
use crate::hollow_executors::HollowExecutors;
use crate::wire::{self, Connection};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Interval after the last message before an empty line is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const MEMBERS_PATH: &str = "/catalog/members";

/// The endpoint list that all agents serve.
pub struct Discovery {
    catalog: RefCell<Catalog>,
    version: watch::Sender<u64>,
    is_silent: watch::Sender<bool>,
    /// End of the last silence.
    resumed_at: Cell<Option<Instant>>,
    /// Receive the departures and notifications, by which they detect attempts that arrive too late.
    executors: Rc<HollowExecutors>,
}

/// Amount of list data that an agent has written to its node.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct ListTraffic {
    pub bytes: u64,
    /// Number of lines that contain entries.
    pub lines: u64,
}

/// The agent of one node.
pub struct Agent {
    node: usize,
    /// Whether executors are informed of this node's notifications; the rule on drains applies to real nodes only.
    has_drain_checks: bool,
    address: SocketAddr,
    discovery: Rc<Discovery>,
    traffic: Cell<ListTraffic>,
    notified_version: watch::Sender<u64>,
    /// Delays in milliseconds from each change, or from the end of the silence during which it was made, until it was
    /// written to the node.
    notification_delays: RefCell<Vec<f64>>,
    /// A new generation ends the open watches; the next watch starts with a snapshot.
    watch_generation: watch::Sender<u64>,
    is_next_watch_snapshot: Cell<bool>,
    accept_task: RefCell<Option<AbortHandle>>,
}

impl Discovery {
    pub fn new(executors: Rc<HollowExecutors>) -> Rc<Self> {
        Rc::new(Discovery {
            catalog: RefCell::default(),
            version: watch::channel(0).0,
            is_silent: watch::channel(false).0,
            resumed_at: Cell::new(None),
            executors,
        })
    }

    /// Publishes changes, each as a version of its own but all in one message.
    pub fn publish(&self, members: impl IntoIterator<Item = Member>) {
        let now = Instant::now();
        let mut catalog = self.catalog.borrow_mut();
        let (mut returned, mut departed) = (Vec::new(), Vec::new());
        for member in members {
            match member.state {
                State::Ready => returned.push(member.executor),
                State::Terminating | State::Gone => departed.push(member.executor),
            }
            catalog.upsert(member, now);
        }
        if !returned.is_empty() {
            self.executors.record_returns(&returned);
        }
        if !departed.is_empty() {
            self.executors.record_departures(&departed);
        }
        self.version.send_replace(catalog.version());
    }

    pub fn version(&self) -> u64 {
        self.catalog.borrow().version()
    }

    pub fn listed_count(&self) -> usize {
        self.catalog.borrow().listed_count()
    }

    /// Returns a snapshot as one JSON object, the format of a node's cached list.
    pub fn snapshot_json(&self) -> String {
        self.catalog.borrow().message_after(None).text
    }

    /// Starts or ends a silence, during which nothing is sent but connections stay open.
    pub fn set_silent(&self, is_silent: bool) {
        if !is_silent {
            self.resumed_at.set(Some(Instant::now()));
        }
        self.is_silent.send_replace(is_silent);
    }

    async fn wait_while_silent(&self) {
        let mut is_silent = self.is_silent.subscribe();
        // Fails only when the sender is dropped, which `self` owns.
        let _ = is_silent.wait_for(|is_silent| !is_silent).await;
    }
}

impl Agent {
    /// Starts an agent for a real node at a free port.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(discovery: &Rc<Discovery>, node: usize) -> io::Result<Rc<Self>> {
        Self::start_with(discovery, node, true)
    }

    /// Starts an agent for a hollow node at a free port.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start_for_hollow_node(discovery: &Rc<Discovery>, node: usize) -> io::Result<Rc<Self>> {
        Self::start_with(discovery, node, false)
    }

    fn start_with(discovery: &Rc<Discovery>, node: usize, has_drain_checks: bool) -> io::Result<Rc<Self>> {
        let listener = wire::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let agent = Rc::new(Agent {
            node,
            has_drain_checks,
            address: listener.local_addr()?,
            discovery: discovery.clone(),
            traffic: Cell::default(),
            notified_version: watch::channel(0).0,
            notification_delays: RefCell::default(),
            watch_generation: watch::channel(0).0,
            is_next_watch_snapshot: Cell::new(false),
            accept_task: RefCell::default(),
        });
        let accept_task = spawn_local(accept(Rc::downgrade(&agent), listener));
        agent.accept_task.replace(Some(accept_task.abort_handle()));
        Ok(agent)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn traffic(&self) -> ListTraffic {
        self.traffic.get()
    }

    /// Returns the delays in milliseconds of the changes sent since the last call.
    pub fn take_notification_delays(&self) -> Vec<f64> {
        self.notification_delays.take()
    }

    /// Waits until the node has been sent the current version; returns false after the time limit.
    pub async fn wait_until_notified(&self, time_limit: Duration) -> bool {
        let version = self.discovery.version();
        let mut notified = self.notified_version.subscribe();
        timeout(time_limit, notified.wait_for(|notified| *notified >= version))
            .await
            .is_ok_and(|result| result.is_ok())
    }

    /// Ends the watches; the next one receives a snapshot, as from an agent that was restarted without state.
    pub fn restart_with_snapshot(&self) {
        self.is_next_watch_snapshot.set(true);
        self.notified_version.send_replace(0);
        self.watch_generation.send_modify(|generation| *generation += 1);
    }

    async fn serve(self: Rc<Self>, mut connection: Connection) {
        let mut generation = self.watch_generation.subscribe();
        generation.borrow_and_update();
        tokio::select! {
            _ = generation.changed() => connection.reset(),
            _ = self.serve_requests(&mut connection) => {}
        }
    }

    async fn serve_requests(&self, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.read_request().await? {
            self.discovery.wait_while_silent().await;
            let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
            if path != MEMBERS_PATH {
                connection.write(&wire::encode_response(404, "", "")).await?;
                continue;
            }
            if !query.split('&').any(|pair| pair == "stream=1") {
                let message = self.discovery.catalog.borrow().message_after(None);
                connection.write(&wire::encode_response(200, "", &message.text)).await?;
                self.record_sent(&message);
                continue;
            }
            let index = query.split('&').find_map(|pair| pair.strip_prefix("index="));
            return self.serve_watch(connection, index.and_then(|index| index.parse().ok())).await;
        }
        Ok(())
    }

    async fn serve_watch(&self, connection: &mut Connection, index: Option<u64>) -> io::Result<()> {
        connection.write(wire::CHUNKED_HEAD).await?;
        let mut version = self.discovery.version.subscribe();
        let is_snapshot = self.is_next_watch_snapshot.replace(false);
        // A node without a version receives a snapshot.
        let mut after = index.filter(|index| !is_snapshot && *index > 0);
        loop {
            version.borrow_and_update();
            self.discovery.wait_while_silent().await;
            let message = self.discovery.catalog.borrow().message_after(after);
            connection.write(&wire::encode_chunk(&message.text)).await?;
            self.record_sent(&message);
            after = Some(message.version);
            loop {
                tokio::select! {
                    changed = version.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return Ok(()),
                    },
                    () = sleep(KEEP_ALIVE_INTERVAL) => {
                        self.discovery.wait_while_silent().await;
                        connection.write(&wire::encode_chunk("\n")).await?;
                        self.count(0, 1);
                    }
                    () = connection.wait_closed() => return Ok(()),
                }
            }
        }
    }

    fn count(&self, lines: u64, bytes: u64) {
        let previous = self.traffic.get();
        self.traffic.set(ListTraffic { bytes: previous.bytes + bytes, lines: previous.lines + lines });
    }

    /// Records that a message was written.
    fn record_sent(&self, message: &ListMessage) {
        let now = Instant::now();
        self.count(u64::from(!message.changes.is_empty()), message.text.len() as u64);
        let mut departed: Vec<usize> = Vec::new();
        if message.is_snapshot {
            departed.extend(self.discovery.catalog.borrow().gone_executors());
        }
        for change in &message.changes {
            if change.state != State::Ready {
                departed.push(change.executor);
            }
            // A snapshot repeats older changes, whose delays were recorded before.
            if !message.is_snapshot {
                let since = self
                    .discovery
                    .resumed_at
                    .get()
                    .map_or(change.changed_at, |resumed_at| resumed_at.max(change.changed_at));
                let delay = now.saturating_duration_since(since).as_secs_f64() * 1000.0;
                self.notification_delays.borrow_mut().push(delay);
            }
        }
        if self.has_drain_checks && !departed.is_empty() {
            self.discovery.executors.record_notifications(self.node, &departed);
        }
        self.notified_version.send_replace(message.version);
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        // Ending the task closes the listener.
        self.accept_task.take().iter().for_each(AbortHandle::abort);
    }
}

/// Accepts connections until the agent is dropped.
async fn accept(agent: Weak<Agent>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let Some(agent) = agent.upgrade() else { return };
        spawn_local(agent.serve(Connection::new(stream)));
    }
}
