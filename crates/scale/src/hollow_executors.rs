//! Hollow executors: each one listens at its own address and answers probes and attempts as the protocol demands, but
//! sleeps instead of working.
//!
//! [`HollowExecutors::start`] returns when all listeners are open; dropping the value ends the fleet. The number of
//! file descriptors of a process is limited, so a large fleet is spread over several processes, see
//! [`crate::executor_worker`].
use crate::executor_commands::{Command, PendingCommand, Reply};
use crate::executor_config::ExecutorConfig;
use crate::executor_counts::{ExecutorReport, ExecutorViolation};
use crate::executor_shard::serve_commands;
use crate::executor_worker::{Worker, WorkerProgram};
use crate::request_id::RequestId;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use tokio::sync::{mpsc, oneshot};

/// Where the executors run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// On one thread of this process.
    ThisProcess,
    /// Spread evenly over `count` worker processes.
    Workers { count: usize, program: WorkerProgram },
}

/// The thread or process of a shard; it ends when its command channel is closed.
enum Host {
    Thread(std::thread::JoinHandle<()>),
    Process(Worker),
}

struct ShardHandle {
    commands: Option<mpsc::UnboundedSender<PendingCommand>>,
    host: Option<Host>,
}

/// A fleet of listening executors.
pub struct HollowExecutors {
    addresses: Vec<SocketAddr>,
    shards: Vec<ShardHandle>,
    /// Requests that may run at most once and have been started on any shard.
    started_at_most_once: RefCell<HashSet<RequestId>>,
}

impl HollowExecutors {
    /// Starts `count` executors, all warmed up. Each one needs one file descriptor, plus one per open connection.
    ///
    /// # Errors
    /// If an executor cannot listen or a worker cannot be started.
    pub async fn start(count: usize, config: ExecutorConfig, placement: &Placement) -> io::Result<Self> {
        let shards = match placement {
            Placement::ThisProcess => 1,
            Placement::Workers { count, .. } => (*count).max(1),
        };
        let shard_size = count.div_ceil(shards);
        let mut executors = HollowExecutors {
            addresses: Vec::new(),
            shards: Vec::new(),
            started_at_most_once: RefCell::default(),
        };
        for first in (0..shards).map(|shard| (shard * shard_size).min(count)) {
            let shard = ShardHandle::start(placement)?;
            let command = Command::Open { first, count: shard_size.min(count - first), config };
            match shard.execute(command).await {
                Reply::Opened(addresses) => executors.addresses.extend(addresses),
                Reply::Failed(reason) => return Err(io::Error::other(reason)),
                reply => return Err(io::Error::other(format!("unexpected reply: {reply:?}"))),
            }
            executors.shards.push(shard);
        }
        Ok(executors)
    }

    /// Addresses of the executors, indexed by their numbers.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Resets the connections of the executors and refuses new ones; complete when it returns.
    pub async fn kill(&self, executors: Range<usize>) {
        self.execute_on_all(&Command::Kill(executors)).await;
    }

    /// Restarts the executors, so that they warm up again; open connections are reset.
    pub async fn restart(&self, executors: Range<usize>) {
        self.execute_on_all(&Command::Restart(executors)).await;
    }

    /// Marks all executors as warmed up and discards all departures.
    pub async fn reset(&self) {
        self.execute_on_all(&Command::MarkWarm(0..self.addresses.len())).await;
        self.execute_on_all(&Command::ClearDepartures).await;
    }

    /// Records that discovery found the executors draining or gone. Commands are carried out in the order of the
    /// calls.
    pub fn record_departures(&self, executors: &[usize]) {
        self.notify(&Command::RecordDepartures(executors.to_vec()));
    }

    /// Records that discovery lists the executors as ready again.
    pub fn record_returns(&self, executors: &[usize]) {
        self.notify(&Command::RecordReturns(executors.to_vec()));
    }

    /// Records that a node was sent the departure of the executors.
    pub fn record_notifications(&self, node: usize, executors: &[usize]) {
        self.notify(&Command::RecordNotifications { node, executors: executors.to_vec() });
    }

    /// Returns the counts of all shards; its lists contain what was added since the last call. Repeated starts of a
    /// request are detected here, because its executors may be in different processes.
    pub async fn report(&self) -> ExecutorReport {
        let mut total = ExecutorReport::default();
        for reply in self.execute_on_all(&Command::Report).await {
            if let Reply::Report(report) = reply {
                total.add(report);
            }
        }
        let mut started = self.started_at_most_once.borrow_mut();
        for (request, executor) in std::mem::take(&mut total.started_at_most_once) {
            if !started.insert(request) {
                total.violations.push(ExecutorViolation::RepeatedEffect { request, executor });
            }
        }
        total
    }

    fn notify(&self, command: &Command) {
        self.shards.iter().for_each(|shard| drop(shard.send(command.clone())));
    }

    async fn execute_on_all(&self, command: &Command) -> Vec<Reply> {
        let pending: Vec<_> = self.shards.iter().map(|shard| shard.send(command.clone())).collect();
        let mut replies = Vec::with_capacity(pending.len());
        for reply in pending {
            replies.push(reply.await.unwrap_or_else(|_| ended_reply()));
        }
        replies
    }
}

fn ended_reply() -> Reply {
    Reply::Failed("the executors' thread or process has ended".into())
}

impl ShardHandle {
    fn start(placement: &Placement) -> io::Result<Self> {
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let host = match placement {
            Placement::ThisProcess => Host::Thread(start_thread(command_receiver)?),
            Placement::Workers { program, .. } => Host::Process(Worker::start(program, command_receiver)?),
        };
        Ok(ShardHandle { commands: Some(commands), host: Some(host) })
    }

    fn send(&self, command: Command) -> oneshot::Receiver<Reply> {
        let (reply, reply_receiver) = oneshot::channel();
        if let Some(commands) = &self.commands {
            // If the shard has ended, the reply's sender is dropped and the receiver returns an error.
            let _ = commands.send(PendingCommand { command, reply });
        }
        reply_receiver
    }

    async fn execute(&self, command: Command) -> Reply {
        self.send(command).await.unwrap_or_else(|_| ended_reply())
    }
}

impl Drop for ShardHandle {
    fn drop(&mut self) {
        drop(self.commands.take());
        match self.host.take() {
            Some(Host::Thread(thread)) => drop(thread.join()),
            Some(Host::Process(worker)) => drop(worker),
            None => {}
        }
    }
}

fn start_thread(
    commands: mpsc::UnboundedReceiver<PendingCommand>,
) -> io::Result<std::thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("hollow-executors".into()).spawn(move || {
        tokio::task::LocalSet::new().block_on(&runtime, serve_commands(commands));
    })
}
