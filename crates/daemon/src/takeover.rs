//! The exchange between the old and the new process during a hot restart: the new process receives the state of the
//! old one, then both report changes to each other until the old one has exited. This module depends on the
//! downstream and upstream modules; these depend only on the [`SiblingProcess`].
use crate::config::limits::Limits;
use crate::downstream::DownstreamServer;
use crate::event::{CallOrigin, NodeEvent};
use crate::hot_restart::codec::{self, InheritedState, Message, PROTOCOL_VERSION, StateBounds, Usage};
use crate::hot_restart::job_record;
use crate::hot_restart::link::{Link, LinkError, LinkReader, LinkWriter, WRITE_TIMEOUT};
use crate::hot_restart::sibling::SiblingProcess;
use crate::lifecycle::{DrainOrigin, DrainRequest, Lifecycle, LifecycleState, Shutdown};
use crate::tasks::TaskGroup;
use crate::upstream::ExecutorPool;
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Bounds the time for which a new process waits for the complete state. The platform allows 6 s until the process is
/// ready; the rest is left for the endpoint list.
const STATE_TIMEOUT: Duration = Duration::from_millis(4500);

/// Interval at which each process checks whether its usage of the shared limits has changed.
const USAGE_INTERVAL: Duration = Duration::from_millis(40);

/// Delay after a connection of a new process was refused, so that a persistent error does not occupy the thread.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Environment variable with the directory of the Unix socket between the processes of a node.
const DIRECTORY_VARIABLE: &str = "TMPDIR";

/// The state that a new process received from the old one, and the connection, which stays open.
pub struct Handover {
    /// The state of the old process.
    pub inherited: InheritedState,
    /// The connection to the old process.
    pub link: Link,
}

/// The path of the Unix socket of the node with this name, or `None` if the environment has no directory for it.
pub fn socket_path(node_name: &str) -> Option<PathBuf> {
    let directory = std::env::var_os(DIRECTORY_VARIABLE).filter(|directory| !directory.is_empty());
    if directory.is_none() {
        tracing::warn!("hot restart disabled, TMPDIR is not set");
    }
    let token = troutknot_membership::token(node_name);
    Some(Path::new(&directory?).join(format!("troutknot-{token:016x}.sock")))
}

/// Requests the state of the old process. Logs the reason and returns `None` if no process runs or its state cannot be
/// used; the node then starts from its configuration.
pub async fn request_state(path: &Path, node_name: &str, bounds: StateBounds) -> Option<Handover> {
    let received = match UnixStream::connect(path).await {
        Ok(stream) => receive_state_in_time(stream, node_name, bounds).await,
        Err(error) if is_not_listening(&error) => {
            tracing::info!("hot restart: no other process of this node runs");
            return None;
        }
        Err(error) => Err(error.into()),
    };
    let log = |error: &LinkError| {
        tracing::warn!(%error, "hot restart: no state received, starting from the configuration");
    };
    let handover = received.inspect_err(log).ok()?;
    tracing::info!(
        endpoints = handover.inherited.entries.len(),
        excluded = handover.inherited.excluded.len(),
        request_ids = handover.inherited.ids.len(),
        is_drained = handover.inherited.is_drained,
        "hot restart: state received"
    );
    Some(handover)
}

fn is_not_listening(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

async fn receive_state_in_time(
    stream: UnixStream,
    node_name: &str,
    bounds: StateBounds,
) -> Result<Handover, LinkError> {
    let received = timeout(STATE_TIMEOUT, receive_state(stream, node_name, bounds)).await;
    received.unwrap_or(Err(LinkError::TimedOut(STATE_TIMEOUT)))
}

async fn receive_state(
    stream: UnixStream,
    node_name: &str,
    bounds: StateBounds,
) -> Result<Handover, LinkError> {
    let mut link = Link::new(stream)?;
    link.writer.send(&Message::Hello { version: PROTOCOL_VERSION, name: node_name.to_string() }).await?;
    let mut inherited = InheritedState::default();
    while !inherited.apply(link.reader.receive().await?, node_name, bounds)? {}
    Ok(Handover { inherited, link })
}

/// The role of this process in a hot restart.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Role {
    /// The process that was running and will exit.
    Old,
    /// The process that takes over.
    New,
}

/// Connects this process to other processes of its node: first to its predecessor, then to its successors.
pub struct Takeover {
    /// The node's name, which identifies processes of the same node.
    pub name: String,
    /// Path of the Unix socket on which a new process requests the state.
    pub path: PathBuf,
    /// The handle through which the rest of the node sends messages to the other process.
    pub sibling: Rc<SiblingProcess>,
    /// The limits of the node.
    pub limits: Rc<Limits>,
    /// The driver's queue.
    pub events: mpsc::Sender<NodeEvent>,
    /// The node's lifecycle.
    pub lifecycle: Rc<Lifecycle>,
    /// The server of connections from clients.
    pub downstream: Rc<DownstreamServer>,
    /// The pool of connections to executors.
    pub executors: Rc<ExecutorPool>,
    /// Runs the tasks that are started here.
    pub tasks: TaskGroup,
    /// The socket for the next process, if it was bound when the old process announced its shutdown.
    pub successor_listener: RefCell<Option<UnixListener>>,
}

impl Takeover {
    /// Exchanges messages with the old process, if there is one, and then accepts new processes until a shutdown is
    /// requested.
    pub async fn run(self: Rc<Self>, old_process: Option<Link>) {
        if let Some(link) = old_process {
            self.tasks.spawn(self.clone().announce_ready());
            self.exchange(link, Role::New).await;
        }
        let successor_listener = self.successor_listener.take();
        match successor_listener.map_or_else(|| self.bind(), Ok) {
            Ok(listener) => self.accept_new_processes(listener).await,
            Err(error) => tracing::warn!(%error, "hot restart disabled, the socket cannot be bound"),
        }
    }

    async fn accept_new_processes(&self, listener: UnixListener) {
        loop {
            let stream = tokio::select! {
                biased;
                () = self.shutdown_requested() => break,
                accepted = listener.accept() => accepted,
            };
            let link = stream.map_err(LinkError::from).and_then(|(stream, _)| Link::new(stream));
            match link {
                Ok(link) => self.serve_new_process(link).await,
                Err(error) => {
                    tracing::warn!(%error, "hot restart: connection refused");
                    sleep(CONNECT_RETRY_INTERVAL).await;
                }
            }
        }
        let _ = std::fs::remove_file(&self.path);
    }

    /// Waits until a shutdown of the node is requested.
    async fn shutdown_requested(&self) {
        let mut state = self.lifecycle.watch();
        let is_requested = |_: &LifecycleState| self.lifecycle.conditions().shutdown != Shutdown::None;
        let _ = state.wait_for(is_requested).await;
    }

    fn bind(&self) -> io::Result<UnixListener> {
        // An existing file belongs to a process that has exited or has announced its shutdown.
        let _ = std::fs::remove_file(&self.path);
        UnixListener::bind(&self.path)
    }

    /// Informs the old process once this one accepts clients.
    async fn announce_ready(self: Rc<Self>) {
        let mut state = self.lifecycle.watch();
        if state.wait_for(|state| *state != LifecycleState::Starting).await.is_ok() {
            self.sibling.send(Message::Ready);
        }
    }

    /// Sends the state of this process to a new one, then exchanges messages until the connection ends.
    async fn serve_new_process(&self, mut link: Link) {
        let hello = timeout(WRITE_TIMEOUT, link.reader.receive()).await;
        match hello {
            Ok(Ok(Message::Hello { name, .. })) if name == self.name => {}
            _ => return tracing::warn!("hot restart: connection refused, not a process of this node"),
        }
        tracing::info!("hot restart: sending the state to a new process");
        self.exchange(link, Role::Old).await;
        self.lifecycle.update(|conditions| conditions.has_ready_successor = false);
        if self.lifecycle.conditions().shutdown == Shutdown::None {
            tracing::warn!("hot restart: the new process has ended, this process continues");
        }
    }

    /// Exchanges messages until the connection ends. The old process sends its complete state first.
    async fn exchange(&self, link: Link, role: Role) {
        let queue = self.sibling.connect();
        let _ = self.events.send(NodeEvent::SiblingChanged { is_running: true }).await;
        match role {
            Role::Old => self.send_state().await,
            Role::New => self.sibling.send(Message::AnswersClaims),
        }
        let Link { mut reader, writer } = link;
        let error = tokio::select! {
            error = write_queue(queue, writer) => error,
            error = self.receive_messages(&mut reader, role) => error,
            never = self.report_usage() => never,
            never = self.announce_shutdown(role) => never,
        };
        tracing::debug!(%error, "hot restart: the other process is gone");
        self.sibling.disconnect();
        // The other process has exited or disconnected, so it no longer uses the shared limits.
        self.set_sibling_usage(Usage::default());
        let _ = self.events.send(NodeEvent::SiblingChanged { is_running: false }).await;
    }

    async fn send_state(&self) {
        self.sibling.send(Message::Hello { version: PROTOCOL_VERSION, name: self.name.clone() });
        let ids = self.downstream.recent_request_ids();
        for message in codec::split_list(&ids, |ids| Message::Ids { ids }) {
            self.sibling.send(message);
        }
        let protected = self.downstream.protected_request_ids();
        for message in codec::split_list(&protected, |ids| Message::ProtectedIds { ids }) {
            self.sibling.send(message);
        }
        // The driver sends the rest, so that it is in order with later changes.
        let _ = self.events.send(NodeEvent::ExportState).await;
    }

    /// Informs the new process when a shutdown of this one is requested, and frees the socket's path for it.
    async fn announce_shutdown(&self, role: Role) -> LinkError {
        if role == Role::Old {
            self.shutdown_requested().await;
            // Another process that starts from now on requests the state of the new process.
            let _ = std::fs::remove_file(&self.path);
            self.sibling.send(Message::ShutdownRequested);
        }
        std::future::pending().await
    }

    /// Reports this process's usage of the shared limits whenever it has changed.
    async fn report_usage(&self) -> LinkError {
        let mut reported = Usage::default();
        loop {
            let usage = self.usage();
            if usage != reported {
                reported = usage;
                self.sibling.send(Message::Usage(usage));
            }
            sleep(USAGE_INTERVAL).await;
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            clients: self.downstream.connection_count(),
            executors: self.executors.connection_count(),
            bytes: self.downstream.request_bytes.used(),
            rings: self.downstream.buffer_bytes.used(),
            slow_bodies: self.downstream.partial_body_bytes.used(),
        }
    }

    /// Applies the other process's usage to the budgets of shared memory.
    fn set_sibling_usage(&self, usage: Usage) {
        self.downstream.request_bytes.set_used_by_sibling(usage.bytes);
        self.downstream.buffer_bytes.set_used_by_sibling(usage.rings);
        self.downstream.partial_body_bytes.set_used_by_sibling(usage.slow_bodies);
    }

    async fn receive_messages(&self, reader: &mut LinkReader, role: Role) -> LinkError {
        loop {
            match reader.receive().await {
                Ok(message) => self.handle_message(message, role).await,
                Err(error) => return error,
            }
        }
    }

    async fn handle_message(&self, message: Message, role: Role) {
        match message {
            Message::SetExcluded { executor, is_excluded, number } => {
                let origin = CallOrigin::Sibling(number);
                let _ = self.events.send(NodeEvent::SetExcluded { executor, is_excluded, origin }).await;
            }
            Message::Drained { drained, number } => {
                let request = if drained { DrainRequest::Drain } else { DrainRequest::Resume };
                self.lifecycle.request_drain(
                    request,
                    DrainOrigin::Sibling,
                    self.limits.admin.drain_settle_time,
                );
                self.sibling.send(Message::Acknowledged { number });
            }
            Message::Acknowledged { number } => self.sibling.acknowledge(number, true),
            Message::Refused { number } => self.sibling.acknowledge(number, false),
            Message::Claim { id, number } => self.answer_claim(id, number),
            Message::AnswersClaims => {
                self.sibling.set_answers_claims();
                if role == Role::Old {
                    self.sibling.send(Message::AnswersClaims);
                }
            }
            Message::Ids { ids } => self.downstream.record_sibling_requests(&ids),
            Message::Usage(usage) => {
                self.sibling.set_usage(usage);
                self.set_sibling_usage(usage);
            }
            Message::LookUp { number, identity } => {
                let job = self.downstream.job_record(&identity).await;
                self.sibling.send(job_record::reply(number, job));
            }
            Message::Found { number, job } => self.sibling.complete_look_up(number, job),
            Message::Ready if role == Role::Old => {
                tracing::info!("hot restart: the new process takes clients");
                self.lifecycle.update(|conditions| conditions.has_ready_successor = true);
            }
            Message::ShutdownRequested if role == Role::New => {
                tracing::info!("hot restart: the old process was asked to end");
                self.successor_listener.replace(self.bind().ok());
            }
            _ => {}
        }
    }
}

impl Takeover {
    fn answer_claim(&self, token: u64, number: u64) {
        let answer = match self.downstream.record_claim(token) {
            true => Message::Acknowledged { number },
            false => Message::Refused { number },
        };
        self.sibling.send(answer);
    }
}

/// Writes queued messages until the connection fails or the queue is dropped.
async fn write_queue(mut queue: mpsc::Receiver<Message>, mut writer: LinkWriter) -> LinkError {
    while let Some(message) = queue.recv().await {
        if let Err(error) = writer.send(&message).await {
            return error.into();
        }
    }
    LinkError::Closed
}
