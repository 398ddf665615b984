//! Gossip between nodes: datagrams between the addresses in the operator's file.
//!
//! Datagrams may be lost, delayed, duplicated or forged, so no part of the node depends on a single one. A datagram
//! that cannot be decoded or has an unknown sender is dropped and counted.
use crate::event::NodeEvent;
use crate::protocol::{Codec, Current};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use troutknot::{Event as CoreEvent, GossipMessage};
use troutknot_gossip::{ClassNames, MAX_MESSAGE_BYTES, decode, encode};

/// Minimum interval between two log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The socket for gossip cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("`peers.listen`: cannot listen at {address}: {source}")]
pub struct GossipListenError {
    /// The address of the operator's file.
    address: SocketAddr,
    source: io::Error,
}

/// Whether another process of this node may bind the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressUse {
    /// Only this process binds the address.
    Exclusive,
    /// During a hot restart both processes bind the address; each datagram is received by one of them.
    Shared,
}

/// The UDP socket for gossip with other nodes.
pub struct GossipSocket {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Opens the socket at an address. The address itself is removed from the peers.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn listen(
        address: SocketAddr,
        mut peers: Vec<SocketAddr>,
        address_use: AddressUse,
    ) -> Result<Rc<Self>, GossipListenError> {
        let socket = bind(address, address_use).map_err(|source| GossipListenError { address, source })?;
        peers.retain(|peer| *peer != address);
        Ok(Rc::new(GossipSocket { socket, peers }))
    }

    /// Sends a message to all peers. A datagram that cannot be sent at once is dropped.
    pub fn broadcast(&self, message: GossipMessage, classes: ClassNames) {
        let bytes = encode(message, classes);
        for peer in &self.peers {
            let _ = self.socket.try_send_to(&bytes, *peer);
        }
    }

    /// Receives messages of the peers and sends them to the driver, until the task is aborted.
    pub async fn receive(self: Rc<Self>, codec: Rc<Current<Codec>>, events: mpsc::Sender<NodeEvent>) {
        // One byte longer than the longest message, so that a datagram that is too long is detected.
        let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
        let mut drops = DropCounter::new();
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut bytes).await else {
                // The operating system reports errors of earlier sends here; the socket is still usable.
                tokio::task::yield_now().await;
                continue;
            };
            let is_peer = self.peers.contains(&sender);
            match decode(&bytes[..length], codec.load().class_names()).filter(|_| is_peer) {
                // Dropped if the driver's queue is full, so that many datagrams cannot block the node.
                Some(message) => {
                    let _ = events.try_send(NodeEvent::Core(CoreEvent::GossipReceived(message)));
                }
                None => drops.count(),
            }
        }
    }
}

fn bind(address: SocketAddr, address_use: AddressUse) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
    socket.set_reuse_port(address_use == AddressUse::Shared)?;
    socket.bind(&address.into())?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket.into())
}

/// Counts dropped datagrams and logs the count at most once per [`DROP_LOG_INTERVAL`].
struct DropCounter {
    count: u64,
    logged_at: Instant,
}

impl DropCounter {
    fn new() -> Self {
        DropCounter { count: 0, logged_at: Instant::now() - DROP_LOG_INTERVAL }
    }

    fn count(&mut self) {
        self.count += 1;
        if self.logged_at.elapsed() >= DROP_LOG_INTERVAL {
            self.logged_at = Instant::now();
            tracing::warn!(count = self.count, "gossip datagrams dropped, malformed or not of a peer");
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
