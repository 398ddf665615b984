//! Accepts connections of clients within the node's limits.
use super::DownstreamServer;
use super::admission::ConnectionAdmission;
use super::connection::ClientSession;
use crate::lifecycle::LifecycleState;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a failed accept, which a lack of descriptors makes likely to fail again.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Number of searches for a connection to evict during the minimum age of a new one.
const EVICTION_CHECKS_PER_MIN_AGE: u32 = 4;

/// Where the listening socket comes from.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ListenerOrigin {
    /// This process bound it and is the only one that accepts from it.
    Bound,
    /// The platform passed it on, and another process of the node may accept from it as well.
    Inherited,
}

impl ListenerOrigin {
    /// The origin of the listening socket, given the inherited one if there is any.
    pub fn of(inherited: Option<&std::net::TcpListener>) -> Self {
        if inherited.is_some() { ListenerOrigin::Inherited } else { ListenerOrigin::Bound }
    }
}

impl DownstreamServer {
    /// Accepts connections until the node ends.
    ///
    /// On an inherited socket nothing is accepted before the node has its endpoint list, while the node's other
    /// process accepts, or once connections are closed for a shutdown.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, origin: ListenerOrigin) {
        match origin {
            ListenerOrigin::Inherited => self.accept_inherited(&listener).await,
            ListenerOrigin::Bound => loop {
                let accepted = self.accept_one(&listener).await;
                self.handle_accepted(accepted).await;
            },
        }
    }

    async fn accept_inherited(self: Rc<Self>, listener: &TcpListener) {
        let mut lifecycle = self.lifecycle.clone();
        if lifecycle.wait_for(|state| *state != LifecycleState::Starting).await.is_err() {
            return;
        }
        loop {
            let state = *lifecycle.borrow_and_update();
            if state == LifecycleState::Closing {
                return;
            }
            let accepted = tokio::select! {
                biased;
                changed = lifecycle.changed() => if changed.is_ok() { continue } else { return },
                accepted = self.accept_one(listener), if state != LifecycleState::HandingOver => accepted,
            };
            self.handle_accepted(accepted).await;
        }
    }

    /// Accepts a connection once descriptors are available for it. Cancel safe.
    async fn accept_one(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        let max_rejected = self.limits.downstream.max_rejected_connections;
        while self.connection_count() >= self.max_connections() + max_rejected {
            self.connections.evict_one(&self.limits.downstream);
            self.wait_for_close().await;
        }
        listener.accept().await
    }

    async fn handle_accepted(self: &Rc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => {
                let admission = self.admit_connection().await;
                self.spawn_session(stream, admission);
            }
            Err(error) => {
                // Out of descriptors, or the client closed the connection before it was accepted.
                tracing::warn!(%error, "cannot accept connection");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }

    /// Evicts a connection if the limit is reached, to admit one more. As long as a connection without a request can
    /// be evicted soon, this waits for it rather than rejecting the new one.
    async fn admit_connection(&self) -> ConnectionAdmission {
        while self.connection_count() >= self.max_connections()
            && !self.connections.evict_one(&self.limits.downstream)
        {
            if !self.connections.has_waiting_new() {
                return ConnectionAdmission::OverLimit;
            }
            self.wait_for_close().await;
        }
        ConnectionAdmission::Admitted
    }

    async fn wait_for_close(&self) {
        let max_wait = self.limits.downstream.min_new_connection_age / EVICTION_CHECKS_PER_MIN_AGE;
        self.connections.wait_for_close(max_wait).await;
    }

    /// Serves a connection in a task of its own.
    pub(super) fn spawn_session(self: &Rc<Self>, stream: TcpStream, admission: ConnectionAdmission) {
        let entry = self.connections.insert();
        let server = self.clone();
        self.tasks.spawn(async move {
            ClientSession::new(server.clone(), stream, entry.clone(), admission).run().await;
            server.connections.remove(&entry);
        });
    }
}
