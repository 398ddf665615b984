//! What nodes tell one another, as datagrams between addresses that the operator's file names. They may be lost,
//! late, doubled or forged: no rule rests on one, and what is not understood or comes from elsewhere is counted.
use crate::event::NodeEvent;
use crate::protocol::{Codec, Current};
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use troutknot::{Event as CoreEvent, GossipMessage};
use troutknot_gossip::{ClassNames, MAX_MESSAGE_BYTES, decode, encode};

/// What was passed over is said in the log once in so long.
const SAID_EVERY: Duration = Duration::from_secs(10);

pub struct GossipSocket {
    socket: UdpSocket,
    others: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Where `shared`, the process before this one may still have the address; each datagram then comes to one.
    ///
    /// # Errors
    /// Where the address cannot be had.
    pub fn listen(at: SocketAddr, others: Vec<SocketAddr>, shared: bool) -> Result<Rc<Self>, String> {
        let bound = || {
            let socket = Socket::new(Domain::for_address(at), Type::DGRAM, None)?;
            socket.set_reuse_port(shared)?;
            socket.bind(&at.into())?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket.into())
        };
        let socket = bound();
        let socket = socket.map_err(|e| format!("`peers.listen`: cannot listen at {at}: {e}"))?;
        Ok(Rc::new(GossipSocket {
            socket,
            others: others.into_iter().filter(|other| *other != at).collect(),
        }))
    }

    /// Tells all others. What finds no room on its way is dropped, as any of it may be.
    pub fn broadcast(&self, said: GossipMessage, types: ClassNames) {
        let bytes = encode(said, types);
        for other in &self.others {
            let _ = self.socket.try_send_to(&bytes, *other);
        }
    }

    /// Hears the others until the node ends.
    pub async fn receive(self: Rc<Self>, codec: Rc<Current<Codec>>, events: mpsc::Sender<NodeEvent>) {
        // One byte over the most shows what is longer.
        let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
        let (mut passed_over, mut said) = (0u64, Instant::now() - SAID_EVERY);
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                // An error of an earlier send, told by the network; the socket goes on.
                tokio::task::yield_now().await;
                continue;
            };
            let known = self.others.contains(&from);
            match decode(&bytes[..length], codec.now().type_names()).filter(|_| known) {
                Some(heard) => {
                    // Guards against a crowd of messages: with no room for one, it is lost like any other.
                    let _ = events.try_send(NodeEvent::Core(CoreEvent::GossipReceived(heard)));
                }
                None => {
                    passed_over += 1;
                    if said.elapsed() >= SAID_EVERY {
                        said = Instant::now();
                        tracing::warn!(
                            "{passed_over} messages passed over: not understood, or not of a peer"
                        );
                    }
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
