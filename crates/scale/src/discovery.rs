//! Discovery's agents, one for each node, by the protocol: the whole list, a watch of its changes, an empty line
//! every 2 s, and silence on demand. They note when each change was written to each node.
use crate::catalog::{Catalog, Line, Member, State};
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

/// An empty line comes so long after the last line.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
const MEMBERS: &str = "/catalog/members";

/// The list that all agents tell.
pub struct Discovery {
    catalog: RefCell<Catalog>,
    version: watch::Sender<u64>,
    silent: watch::Sender<bool>,
    /// When it last began to speak again.
    spoke: Cell<Option<Instant>>,
    /// They are told who left and who knows, to find attempts that come too late.
    executors: Rc<HollowExecutors>,
}

/// What an agent has written to its node.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct ListTraffic {
    pub bytes: u64,
    /// Lines with entries.
    pub lines: u64,
}

/// The agent of one node.
pub struct Agent {
    node: usize,
    /// Whether executors are told what this node was told: they hold real nodes alone to the rule on drains.
    is_held_to_rules: bool,
    address: SocketAddr,
    discovery: Rc<Discovery>,
    traffic: Cell<ListTraffic>,
    told: watch::Sender<u64>,
    /// From each change, or the end of the silence that it fell in, to when it was written to the node, in
    /// milliseconds.
    delays: RefCell<Vec<f64>>,
    /// Ends the watches that are open; the next ones begin with a whole list.
    watches_from: watch::Sender<u64>,
    next_is_whole: Cell<bool>,
    accepting: RefCell<Option<AbortHandle>>,
}

impl Discovery {
    pub fn new(executors: Rc<HollowExecutors>) -> Rc<Self> {
        Rc::new(Discovery {
            catalog: RefCell::default(),
            version: watch::channel(0).0,
            silent: watch::channel(false).0,
            spoke: Cell::new(None),
            executors,
        })
    }

    /// Publishes changes as one version step for each, told in one line.
    pub fn publish(&self, members: impl IntoIterator<Item = Member>) {
        let now = Instant::now();
        let mut catalog = self.catalog.borrow_mut();
        let (mut returned, mut left) = (Vec::new(), Vec::new());
        for member in members {
            match member.state {
                State::Ready => returned.push(member.executor),
                State::Terminating | State::Gone => left.push(member.executor),
            }
            catalog.put(member, now);
        }
        if !returned.is_empty() {
            self.executors.record_returns(&returned);
        }
        if !left.is_empty() {
            self.executors.record_departures(&left);
        }
        self.version.send_replace(catalog.version());
    }

    pub fn version(&self) -> u64 {
        self.catalog.borrow().version()
    }

    pub fn listed(&self) -> usize {
        self.catalog.borrow().listed()
    }

    /// The whole list as one JSON object: what a node last held.
    pub fn whole_list(&self) -> String {
        self.catalog.borrow().line(None).text
    }

    /// Says nothing while it is silent; open connections stay open.
    pub fn set_silent(&self, silent: bool) {
        if !silent {
            self.spoke.set(Some(Instant::now()));
        }
        self.silent.send_replace(silent);
    }

    async fn speaks(&self) {
        let mut silent = self.silent.subscribe();
        // It ends only with the sender, which lives in `self`.
        let _ = silent.wait_for(|silent| !silent).await;
    }
}

impl Agent {
    /// Listens at a free port for a real node.
    ///
    /// # Errors
    /// Where it cannot.
    pub fn start(discovery: &Rc<Discovery>, node: usize) -> io::Result<Rc<Self>> {
        Self::start_for(discovery, node, true)
    }

    /// The same for a hollow node.
    ///
    /// # Errors
    /// Where it cannot.
    pub fn of_hollow_node(discovery: &Rc<Discovery>, node: usize) -> io::Result<Rc<Self>> {
        Self::start_for(discovery, node, false)
    }

    fn start_for(discovery: &Rc<Discovery>, node: usize, is_held_to_rules: bool) -> io::Result<Rc<Self>> {
        let listener = wire::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let agent = Rc::new(Agent {
            node,
            is_held_to_rules,
            address: listener.local_addr()?,
            discovery: discovery.clone(),
            traffic: Cell::default(),
            told: watch::channel(0).0,
            delays: RefCell::default(),
            watches_from: watch::channel(0).0,
            next_is_whole: Cell::new(false),
            accepting: RefCell::default(),
        });
        let accepting = spawn_local(accept(Rc::downgrade(&agent), listener));
        agent.accepting.replace(Some(accepting.abort_handle()));
        Ok(agent)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn traffic(&self) -> ListTraffic {
        self.traffic.get()
    }

    /// The delays of the changes that were told since the last call, in milliseconds.
    pub fn take_delays(&self) -> Vec<f64> {
        self.delays.take()
    }

    /// Waits until the node has been told the list as it is now; false where that takes longer.
    pub async fn has_told_all(&self, at_most: Duration) -> bool {
        let version = self.discovery.version();
        let mut told = self.told.subscribe();
        timeout(at_most, told.wait_for(|told| *told >= version)).await.is_ok_and(|told| told.is_ok())
    }

    /// Ends the watches; the next one gets the whole list, as from an agent that has lost its memory.
    pub fn restart_with_whole_list(&self) {
        self.next_is_whole.set(true);
        self.told.send_replace(0);
        self.watches_from.send_modify(|from| *from += 1);
    }

    async fn serve(self: Rc<Self>, mut connection: Connection) {
        let mut ended = self.watches_from.subscribe();
        ended.borrow_and_update();
        tokio::select! {
            _ = ended.changed() => connection.reset(),
            _ = self.exchange(&mut connection) => {}
        }
    }

    async fn exchange(&self, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.read_request().await? {
            self.discovery.speaks().await;
            let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
            if path != MEMBERS {
                connection.write(&wire::encode_response(404, "", "")).await?;
                continue;
            }
            if !query.split('&').any(|pair| pair == "stream=1") {
                let line = self.discovery.catalog.borrow().line(None);
                connection.write(&wire::encode_response(200, "", &line.text)).await?;
                self.has_told(&line);
                continue;
            }
            let index = query.split('&').find_map(|pair| pair.strip_prefix("index="));
            return self.watch(connection, index.and_then(|index| index.parse().ok())).await;
        }
        Ok(())
    }

    async fn watch(&self, connection: &mut Connection, index: Option<u64>) -> io::Result<()> {
        connection.write(wire::CHUNKED_HEAD).await?;
        let mut version = self.discovery.version.subscribe();
        let whole = self.next_is_whole.replace(false);
        // A node that knows of nothing is told all that there is.
        let mut after = index.filter(|index| !whole && *index > 0);
        loop {
            version.borrow_and_update();
            self.discovery.speaks().await;
            let line = self.discovery.catalog.borrow().line(after);
            connection.write(&wire::encode_chunk(&line.text)).await?;
            self.has_told(&line);
            after = Some(line.version);
            loop {
                tokio::select! {
                    changed = version.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return Ok(()),
                    },
                    () = sleep(KEEP_ALIVE) => {
                        self.discovery.speaks().await;
                        connection.write(&wire::encode_chunk("\n")).await?;
                        self.count(0, 1);
                    }
                    () = connection.wait_closed() => return Ok(()),
                }
            }
        }
    }

    fn count(&self, lines: u64, bytes: u64) {
        let before = self.traffic.get();
        self.traffic.set(ListTraffic { bytes: before.bytes + bytes, lines: before.lines + lines });
    }

    /// Notes that a line was written.
    fn has_told(&self, line: &Line) {
        let now = Instant::now();
        self.count(u64::from(!line.told.is_empty()), line.text.len() as u64);
        let mut left: Vec<usize> = Vec::new();
        if line.full {
            left.extend(self.discovery.catalog.borrow().left());
        }
        for told in &line.told {
            if told.state != State::Ready {
                left.push(told.executor);
            }
            // A whole list repeats what was told long before.
            if !line.full {
                let from = self.discovery.spoke.get().map_or(told.changed, |spoke| spoke.max(told.changed));
                let delay = now.saturating_duration_since(from).as_secs_f64() * 1000.0;
                self.delays.borrow_mut().push(delay);
            }
        }
        if self.is_held_to_rules && !left.is_empty() {
            self.discovery.executors.record_notifications(self.node, &left);
        }
        self.told.send_replace(line.version);
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        // Its listener closes with the task.
        self.accepting.take().iter().for_each(AbortHandle::abort);
    }
}

/// Takes connections for as long as the agent is held by somebody.
async fn accept(agent: Weak<Agent>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let Some(agent) = agent.upgrade() else { return };
        spawn_local(agent.serve(Connection::new(stream)));
    }
}
