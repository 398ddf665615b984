//! The front: deals out connections among the nodes that it has taken in. It takes a node in once its health
//! answers 200, out at once when it answers otherwise, and notices only after a while that one has died.
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

const CHECK_EVERY: Duration = Duration::from_millis(200);
const CHECK_WAIT: Duration = Duration::from_millis(1000);

struct Node {
    addr: SocketAddr,
    taken_in: Cell<bool>,
}

/// Deals connections in turn.
pub struct Front {
    nodes: RefCell<Vec<Rc<Node>>>,
    next: Cell<usize>,
    notices_after: Duration,
}

impl Front {
    /// A front for nodes at these addresses that notices a dead one after so long.
    pub fn start(nodes: &[SocketAddr], notices_after: Duration) -> Rc<Self> {
        let of = |addr: &SocketAddr| Rc::new(Node { addr: *addr, taken_in: Cell::new(false) });
        let nodes: Vec<Rc<Node>> = nodes.iter().map(of).collect();
        for node in &nodes {
            spawn_local(watch(node.clone(), notices_after));
        }
        Rc::new(Front { nodes: RefCell::new(nodes), next: Cell::new(0), notices_after })
    }

    pub fn detection_delay(&self) -> Duration {
        self.notices_after
    }

    /// How many nodes are taken in.
    pub fn healthy_count(&self) -> usize {
        self.nodes.borrow().iter().filter(|node| node.taken_in.get()).count()
    }

    /// Where a node is, by its number, whether it is taken in or not.
    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.nodes.borrow().get(node).map(|node| node.addr)
    }

    /// The node, by its number, that gets the next connection; none where none is taken in.
    pub fn next_node(&self) -> Option<(usize, SocketAddr)> {
        let nodes = self.nodes.borrow();
        let from = self.next.get();
        let turn = (0..nodes.len()).map(|k| (from + k) % nodes.len());
        let found = turn.into_iter().find(|&k| nodes[k].taken_in.get())?;
        self.next.set(found + 1);
        Some((found, nodes[found].addr))
    }
}

async fn watch(node: Rc<Node>, notices_after: Duration) {
    let mut failing: Option<Instant> = None;
    loop {
        match timeout(CHECK_WAIT, check_health(node.addr)).await {
            Ok(Some(200)) => {
                node.taken_in.set(true);
                failing = None;
            }
            Ok(Some(_)) => {
                node.taken_in.set(false);
                failing = None;
            }
            _ => {
                if failing.get_or_insert_with(Instant::now).elapsed() >= notices_after {
                    node.taken_in.set(false);
                }
            }
        }
        sleep(CHECK_EVERY).await;
    }
}

/// The status that a node's health answers; none where it does not.
pub async fn check_health(addr: SocketAddr) -> Option<u16> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut send, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let request =
        Request::get("/_health").header("host", addr.to_string()).body(Empty::<Bytes>::new()).ok()?;
    let answer = send.send_request(request).await.ok();
    connection.abort();
    answer.map(|answer| answer.status().as_u16())
}
