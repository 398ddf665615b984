//! Watches the platform's discovery service. There is one watch at a time, opened when the dispatcher requests it.
use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::discovery::parser::{EndpointListParser, ParseBounds, ParseError};
use crate::discovery::versions::{ListPosition, VersionFilter};
use crate::discovery::{EndpointUpdate, EndpointUpdateSender, ShuttingDown};
use crate::event::{NodeEvent, WatchRequests};
use crate::http1::{BodyDecoder, Connection, MessageError, ReceiveError, ResponseHead};
use crate::protocol::{Codec, Current, EndpointList};
use bytes::BytesMut;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};
use troutknot::{Event as CoreEvent, ListUpdate};
use troutknot_membership::Retention;

/// Fraction of the idle timeout within which a source whose first list is outdated must send a newer one.
///
/// After a failover a source can lag by up to 4 s. The consecutive watches after which the source counts as restarted
/// must take longer than that, because its outdated list could re-add executors that drain.
const CATCH_UP_SHARE: f64 = 0.8;

const STATUS_OK: u16 = 200;

/// Watches the platform's discovery service.
pub struct PlatformWatcher {
    /// The address of the service. A change reopens the watch at once.
    pub address: watch::Receiver<SocketAddr>,
    /// The limits of the node.
    pub limits: Rc<Limits>,
    /// The codec in force.
    pub codec: Rc<Current<Codec>>,
    /// Receives the updates.
    pub updates: EndpointUpdateSender,
    /// Requests to open a watch, or to open one that begins with a snapshot.
    pub requests: Rc<WatchRequests>,
    /// Ranks the entries if a list has too many.
    pub retention: Retention,
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    /// The watch was not opened in time.
    #[error("timed out while opening the watch")]
    OpenTimeout,
    /// The connection was not established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The source accepted the connection and closed it without a response.
    #[error("no response: {0}")]
    NoResponse(#[source] ReceiveError),
    /// The source responded with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// Neither a list nor a keep-alive arrived in time.
    #[error("no update in time")]
    IdleTimeout,
    /// The source did not catch up with the current version in time.
    #[error("its list is older than the current one")]
    Outdated,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[source] ReceiveError),
    /// The source sent something other than endpoint lists.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The source closed the watch.
    #[error("closed by the source")]
    Closed,
    /// The node is shutting down.
    #[error(transparent)]
    ShuttingDown(#[from] ShuttingDown),
}

impl WatchError {
    /// Whether the source was reachable and rejected the watch.
    fn is_rejection(&self) -> bool {
        matches!(self, WatchError::NoResponse(_) | WatchError::Status(_))
    }
}

/// The state of the watch loop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchState {
    /// No watch is open; waits for a request of the dispatcher.
    Idle,
    /// A watch is being opened or is open.
    Watching,
    /// The node is shutting down.
    Stopped,
}

impl PlatformWatcher {
    /// Watches until the node shuts down, continuing from the version of the cached list.
    pub async fn run(self, cached_version: Option<u64>) {
        let mut versions = VersionFilter::new(cached_version);
        let mut address = self.address.clone();
        let mut state = WatchState::Idle;
        while state != WatchState::Stopped {
            state = match state {
                WatchState::Idle => self.wait_for_request(&mut address).await,
                _ => self.watch_until_interrupted(&mut address, &mut versions).await,
            };
        }
    }

    async fn wait_for_request(&self, address: &mut watch::Receiver<SocketAddr>) -> WatchState {
        tokio::select! {
            () = self.requests.resume.notified() => {}
            Ok(()) = address.changed() => {}
        }
        WatchState::Watching
    }

    /// Watches until the watch fails, the address changes or a snapshot is requested.
    async fn watch_until_interrupted(
        &self,
        address: &mut watch::Receiver<SocketAddr>,
        versions: &mut VersionFilter,
    ) -> WatchState {
        let current_address = *address.borrow_and_update();
        tokio::select! {
            biased;
            Ok(()) = address.changed() => WatchState::Watching,
            () = self.requests.snapshot.notified() => {
                versions.is_snapshot_needed = true;
                WatchState::Watching
            }
            Err(error) = self.watch(current_address, versions) => self.report_lost_watch(&error).await,
        }
    }

    async fn report_lost_watch(&self, error: &WatchError) -> WatchState {
        tracing::warn!(%error, "watch of the endpoint list lost");
        let event = CoreEvent::EndpointWatchLost { is_rejected: error.is_rejection() };
        match self.updates.send_event(NodeEvent::Core(event)).await {
            Ok(()) => WatchState::Idle,
            Err(ShuttingDown) => WatchState::Stopped,
        }
    }

    /// Opens a watch and applies its lists until it fails.
    async fn watch(
        &self,
        address: SocketAddr,
        versions: &mut VersionFilter,
    ) -> Result<Infallible, WatchError> {
        // A single timeout for all steps, because separate timeouts would add up to more than the time within which an
        // unresponsive source must be detected.
        let opening = self.open(address, versions.resume_version());
        let opened = timeout(self.limits.discovery.watch_open_timeout, opening).await;
        let (connection, head) = opened.map_err(|_| WatchError::OpenTimeout)??;
        if head.status != STATUS_OK {
            return Err(WatchError::Status(head.status));
        }
        tracing::debug!(%address, "watch of the endpoint list open");
        // Reports the open watch by an empty delta, because the first list may arrive later.
        let opened = CoreEvent::EndpointsUpdated { update: ListUpdate::Delta, endpoints: Vec::new() };
        self.updates.send_event(NodeEvent::Core(opened)).await?;
        OpenWatch::new(self, connection, head.body).run(versions).await
    }

    async fn open(
        &self,
        address: SocketAddr,
        resume_version: Option<u64>,
    ) -> Result<(Connection, ResponseHead), WatchError> {
        let connecting = timeout(self.limits.timeouts().connect_timeout, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| WatchError::OpenTimeout)?.map_err(WatchError::Connect)?;
        let buffer_bytes = self.limits.connection_buffer_bytes;
        let mut connection = Connection::new(stream, buffer_bytes, &ByteBudget::new(2 * buffer_bytes));
        let request = self.codec.load().watch_request(address, resume_version);
        let written = connection.write(&[request.as_bytes()]).await;
        written.map_err(|error| WatchError::NoResponse(error.into()))?;
        let head = connection.read_response_head().await.map_err(WatchError::NoResponse)?;
        Ok((connection, head))
    }

    fn parser(&self) -> EndpointListParser {
        let bounds = ParseBounds {
            max_list_bytes: self.limits.discovery.max_list_bytes,
            max_buffered_bytes: self.limits.discovery.max_buffered_text_bytes,
            max_entries: self.limits.executor_bounds.max_listed,
        };
        EndpointListParser::new(bounds, self.retention)
    }
}

/// A watch that the source has accepted.
struct OpenWatch<'a> {
    watcher: &'a PlatformWatcher,
    connection: Connection,
    body: BodyDecoder,
    parser: EndpointListParser,
    /// When the watch counts as lost if no update arrives before.
    idle_deadline: Instant,
    /// When the watch is closed because the first list was outdated and no newer one has arrived.
    catch_up_deadline: Option<Instant>,
    position: ListPosition,
}

impl<'a> OpenWatch<'a> {
    fn new(watcher: &'a PlatformWatcher, connection: Connection, body: BodyDecoder) -> Self {
        OpenWatch {
            watcher,
            connection,
            body,
            parser: watcher.parser(),
            idle_deadline: Instant::now() + watcher.limits.discovery.watch_idle_timeout,
            catch_up_deadline: None,
            position: ListPosition::First,
        }
    }

    async fn run(mut self, versions: &mut VersionFilter) -> Result<Infallible, WatchError> {
        let mut buffer = BytesMut::new();
        loop {
            let is_end = self.read(&mut buffer).await?;
            let has_line_end = buffer.contains(&b'\n');
            self.parser.push(buffer.split());
            while let Some(list) = self.parser.next()? {
                self.apply(list, versions).await?;
            }
            // Only a complete list or a keep-alive between lists extends the deadline, so that a source that sends a
            // list byte by byte is detected.
            if has_line_end && !self.parser.is_inside_list() {
                self.extend_idle_deadline();
            }
            if is_end {
                return Err(WatchError::Closed);
            }
        }
    }

    /// Reads at least one byte. Returns true at the end of the body.
    async fn read(&mut self, buffer: &mut BytesMut) -> Result<bool, WatchError> {
        let max_bytes = self.watcher.limits.discovery.max_list_bytes;
        let reading = self.connection.read_body_part(&mut self.body, buffer, max_bytes);
        let deadline = self.catch_up_deadline.map_or(self.idle_deadline, |at| at.min(self.idle_deadline));
        match timeout_at(deadline, reading).await {
            Ok(Ok(is_end)) => Ok(is_end),
            Ok(Err(ReceiveError::Message(MessageError::BodyTooLarge))) => Err(ParseError::TooLong.into()),
            Ok(Err(error)) => Err(WatchError::Connection(error)),
            Err(_) if deadline < self.idle_deadline => Err(WatchError::Outdated),
            Err(_) => Err(WatchError::IdleTimeout),
        }
    }

    async fn apply(&mut self, list: EndpointList, versions: &mut VersionFilter) -> Result<(), WatchError> {
        self.extend_idle_deadline();
        // Reserved before the version is accepted: if the watch is interrupted here, the next watch must continue
        // from a version that was applied.
        let permit = self.watcher.updates.reserve().await?;
        let accepted = versions.accept(&list, self.position);
        let is_first_snapshot = self.position == ListPosition::First && list.is_snapshot;
        self.position = ListPosition::Later;
        let mut update = match accepted {
            Some(update_type) => {
                self.catch_up_deadline = None;
                EndpointUpdate::from_list(update_type, list)
            }
            None => {
                if is_first_snapshot {
                    self.catch_up_deadline = Some(catch_up_deadline(&self.watcher.limits));
                }
                if !list.entries.is_empty() {
                    tracing::info!(version = list.version, "endpoint list is not new, ignored");
                }
                // Sent because it confirms that the current list is up to date.
                EndpointUpdate::unchanged()
            }
        };
        update.version = versions.current;
        permit.send(update);
        Ok(())
    }

    fn extend_idle_deadline(&mut self) {
        self.idle_deadline = Instant::now() + self.watcher.limits.discovery.watch_idle_timeout;
    }
}

/// The time until which a source may catch up. The versions of a restarted source, or of a new address, may stay
/// lower; the watch is then closed, so that the following watches detect the restart.
fn catch_up_deadline(limits: &Limits) -> Instant {
    Instant::now() + limits.discovery.watch_idle_timeout.mul_f64(CATCH_UP_SHARE)
}

#[cfg(test)]
#[path = "../../tests/unit/platform.rs"]
mod tests;
