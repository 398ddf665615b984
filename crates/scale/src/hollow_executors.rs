//! Hollow executors: each listens at an address of its own and answers probes and attempts by the protocol, but
//! only sleeps in place of working.
//!
//! [`HollowExecutors::start`] opens all listeners; the fleet is ready when it returns, and ends when it is dropped.
//! A process may hold only so many descriptors, so a large fleet is spread over several processes, see
//! [`crate::executor_worker`].
use crate::executor_counts::{ExecutorBreach, Report};
use crate::executor_orders::{Order, Ordered, Reply};
use crate::executor_shard::serve_orders;
use crate::executor_terms::ExecutorTerms;
use crate::executor_worker::{Worker, WorkerProgram};
use crate::request_id::RequestId;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use tokio::sync::{mpsc, oneshot};

/// Where the executors live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// All in a thread of this process.
    ThisProcess,
    /// Spread evenly over so many worker processes.
    Workers { count: usize, program: WorkerProgram },
}

/// A thread or a process that holds some of the executors; both end once no order can come any more.
enum Host {
    Thread(std::thread::JoinHandle<()>),
    Process(Worker),
}

struct ShardHandle {
    orders: Option<mpsc::UnboundedSender<Ordered>>,
    host: Option<Host>,
}

/// A fleet that listens.
pub struct HollowExecutors {
    addresses: Vec<SocketAddr>,
    shards: Vec<ShardHandle>,
    /// Requests that may run at most once and were started, over all shards.
    started: RefCell<HashSet<RequestId>>,
}

impl HollowExecutors {
    /// Starts so many executors, all warm. Each needs one descriptor, and one more for each open connection.
    ///
    /// # Errors
    /// Where one cannot listen, or a worker not start.
    pub async fn start(count: usize, terms: ExecutorTerms, placement: &Placement) -> io::Result<Self> {
        let shards = match placement {
            Placement::ThisProcess => 1,
            Placement::Workers { count, .. } => (*count).max(1),
        };
        let each = count.div_ceil(shards);
        let mut executors =
            HollowExecutors { addresses: Vec::new(), shards: Vec::new(), started: RefCell::default() };
        for first in (0..shards).map(|shard| (shard * each).min(count)) {
            let shard = ShardHandle::start(placement)?;
            let order = Order::Open { first, count: each.min(count - first), terms };
            match shard.order(order).await {
                Reply::Opened(addresses) => executors.addresses.extend(addresses),
                Reply::Failed(why) => return Err(io::Error::other(why)),
                reply => return Err(io::Error::other(format!("an odd answer: {reply:?}"))),
            }
            executors.shards.push(shard);
        }
        Ok(executors)
    }

    /// By number.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Their connections are reset and new ones refused, from when this returns on.
    pub async fn kill(&self, executors: Range<usize>) {
        self.order_all(&Order::Kill(executors)).await;
    }

    /// They start anew, cold; connections that were open are reset.
    pub async fn restart(&self, executors: Range<usize>) {
        self.order_all(&Order::Restart(executors)).await;
    }

    /// All count as started long ago, and nobody has left.
    pub async fn begin_anew(&self) {
        self.order_all(&Order::Warm(0..self.addresses.len())).await;
        self.order_all(&Order::Listed).await;
    }

    /// Discovery knows that they drain or are gone. Orders are carried out in the order in which they are given.
    pub fn left(&self, executors: &[usize]) {
        self.tell(&Order::Left(executors.to_vec()));
    }

    /// Discovery lists them as ready again.
    pub fn returned(&self, executors: &[usize]) {
        self.tell(&Order::Returned(executors.to_vec()));
    }

    /// It was written to a node that they left.
    pub fn told(&self, node: usize, executors: &[usize]) {
        self.tell(&Order::Told { node, executors: executors.to_vec() });
    }

    /// What was counted by all; lists hold what came since the last call. A request that was started again is
    /// found here, as its executors may live in different processes.
    pub async fn report(&self) -> Report {
        let mut sum = Report::default();
        for reply in self.order_all(&Order::Report).await {
            if let Reply::Report(report) = reply {
                sum.add(report);
            }
        }
        let mut started = self.started.borrow_mut();
        for (request, executor) in std::mem::take(&mut sum.started_at_most_once) {
            if !started.insert(request) {
                sum.breaches.push(ExecutorBreach::RepeatedEffect { request, executor });
            }
        }
        sum
    }

    fn tell(&self, order: &Order) {
        self.shards.iter().for_each(|shard| drop(shard.give(order.clone())));
    }

    async fn order_all(&self, order: &Order) -> Vec<Reply> {
        let given: Vec<_> = self.shards.iter().map(|shard| shard.give(order.clone())).collect();
        let mut replies = Vec::with_capacity(given.len());
        for reply in given {
            replies.push(reply.await.unwrap_or_else(|_| ended()));
        }
        replies
    }
}

fn ended() -> Reply {
    Reply::Failed("the executors have ended".into())
}

impl ShardHandle {
    fn start(placement: &Placement) -> io::Result<Self> {
        let (orders, given) = mpsc::unbounded_channel();
        let host = match placement {
            Placement::ThisProcess => Host::Thread(start_thread(given)?),
            Placement::Workers { program, .. } => Host::Process(Worker::start(program, given)?),
        };
        Ok(ShardHandle { orders: Some(orders), host: Some(host) })
    }

    fn give(&self, order: Order) -> oneshot::Receiver<Reply> {
        let (reply, answer) = oneshot::channel();
        if let Some(orders) = &self.orders {
            // Where the shard has ended, the answer's sender is dropped.
            let _ = orders.send(Ordered { order, reply });
        }
        answer
    }

    async fn order(&self, order: Order) -> Reply {
        self.give(order).await.unwrap_or_else(|_| ended())
    }
}

impl Drop for ShardHandle {
    fn drop(&mut self) {
        drop(self.orders.take());
        match self.host.take() {
            Some(Host::Thread(thread)) => drop(thread.join()),
            Some(Host::Process(worker)) => drop(worker),
            None => {}
        }
    }
}

fn start_thread(orders: mpsc::UnboundedReceiver<Ordered>) -> io::Result<std::thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("hollow-executors".into()).spawn(move || {
        tokio::task::LocalSet::new().block_on(&runtime, serve_orders(orders));
    })
}
