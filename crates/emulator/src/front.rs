//! The front: a load balancer that distributes connections round robin over the healthy nodes. A node becomes healthy when
//! its health check returns 200, and unhealthy at once when it returns another status. A node that does not answer stays
//! healthy for the detection delay.
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const CHECK_TIMEOUT: Duration = Duration::from_millis(1000);

struct Node {
    addr: SocketAddr,
    is_healthy: Cell<bool>,
}

/// Distributes connections over the healthy nodes.
pub struct Front {
    nodes: RefCell<Vec<Rc<Node>>>,
    next: Cell<usize>,
    detection_delay: Duration,
}

impl Front {
    /// Starts a front for nodes at these addresses; a node that does not answer becomes unhealthy after the detection
    /// delay.
    pub fn start(nodes: &[SocketAddr], detection_delay: Duration) -> Rc<Self> {
        let node = |addr: &SocketAddr| Rc::new(Node { addr: *addr, is_healthy: Cell::new(false) });
        let nodes: Vec<Rc<Node>> = nodes.iter().map(node).collect();
        for node in &nodes {
            spawn_local(watch_health(node.clone(), detection_delay));
        }
        Rc::new(Front { nodes: RefCell::new(nodes), next: Cell::new(0), detection_delay })
    }

    /// How long a node that does not answer stays healthy.
    pub fn detection_delay(&self) -> Duration {
        self.detection_delay
    }

    /// The number of healthy nodes.
    pub fn healthy_count(&self) -> usize {
        self.nodes.borrow().iter().filter(|node| node.is_healthy.get()).count()
    }

    /// The address of a node by its number, whether or not it is healthy.
    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.nodes.borrow().get(node).map(|node| node.addr)
    }

    /// The number and address of the node that gets the next connection; `None` if no node is healthy.
    pub fn next_node(&self) -> Option<(usize, SocketAddr)> {
        let nodes = self.nodes.borrow();
        let first = self.next.get();
        let order = (0..nodes.len()).map(|offset| (first + offset) % nodes.len());
        let found = order.into_iter().find(|&number| nodes[number].is_healthy.get())?;
        self.next.set(found + 1);
        Some((found, nodes[found].addr))
    }
}

/// Checks the health of one node periodically.
async fn watch_health(node: Rc<Node>, detection_delay: Duration) {
    let mut unanswered_since: Option<Instant> = None;
    loop {
        match timeout(CHECK_TIMEOUT, check_health(node.addr)).await {
            Ok(Some(200)) => {
                node.is_healthy.set(true);
                unanswered_since = None;
            }
            Ok(Some(_)) => {
                node.is_healthy.set(false);
                unanswered_since = None;
            }
            _ => {
                if unanswered_since.get_or_insert_with(Instant::now).elapsed() >= detection_delay {
                    node.is_healthy.set(false);
                }
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// The status of a node's health check; `None` if it does not answer.
pub async fn check_health(addr: SocketAddr) -> Option<u16> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let request =
        Request::get("/_health").header("host", addr.to_string()).body(Empty::<Bytes>::new()).ok()?;
    let answer = sender.send_request(request).await.ok();
    connection.abort();
    answer.map(|answer| answer.status().as_u16())
}
