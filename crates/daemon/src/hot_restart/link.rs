//! The Unix socket between two processes of a node: one encoded message a line.
use super::codec::{self, CodecError, MAX_LINE_BYTES, Message};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Bounds the write of one message; a process that does not read for longer is disconnected.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the connection to another process of the node failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The process at the other end runs as another user.
    #[error("process of user {0} is not trusted")]
    OtherUser(u32),
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// The other process closed the connection.
    #[error("connection closed")]
    Closed,
    /// A line exceeds the limit.
    #[error("line longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A message cannot be used.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The state did not arrive in time.
    #[error("no complete state within {} ms", .0.as_millis())]
    TimedOut(Duration),
}

/// A connection to another process of this node.
pub struct Link {
    /// Receives messages.
    pub reader: LinkReader,
    /// Sends messages.
    pub writer: LinkWriter,
}

/// The receiving half of a [`Link`].
pub struct LinkReader(BufReader<OwnedReadHalf>);

/// The sending half of a [`Link`].
pub struct LinkWriter(OwnedWriteHalf);

impl Link {
    /// Wraps a connected socket.
    ///
    /// # Errors
    /// [`LinkError::OtherUser`] unless the process at the other end runs as the same user.
    pub fn new(stream: UnixStream) -> Result<Self, LinkError> {
        let peer = stream.peer_cred()?.uid();
        if peer != rustix::process::geteuid().as_raw() {
            return Err(LinkError::OtherUser(peer));
        }
        let (read, write) = stream.into_split();
        Ok(Link { reader: LinkReader(BufReader::new(read)), writer: LinkWriter(write) })
    }
}

impl LinkReader {
    /// Receives the next message.
    ///
    /// # Errors
    /// If the connection failed or ended, or the line is too long or not a message.
    pub async fn receive(&mut self) -> Result<Message, LinkError> {
        let mut line = Vec::new();
        let limit = MAX_LINE_BYTES as u64;
        (&mut self.0).take(limit).read_until(b'\n', &mut line).await?;
        match line.last() {
            Some(b'\n') => Ok(codec::decode(&line)?),
            _ if line.len() == MAX_LINE_BYTES => Err(LinkError::LineTooLong),
            _ => Err(LinkError::Closed),
        }
    }
}

impl LinkWriter {
    /// Sends one message.
    ///
    /// # Errors
    /// If the socket failed or did not take the message within [`WRITE_TIMEOUT`].
    pub async fn send(&mut self, message: &Message) -> io::Result<()> {
        let line = codec::encode(message);
        timeout(WRITE_TIMEOUT, self.0.write_all(&line)).await.map_err(|_| io::ErrorKind::TimedOut)?
    }
}
