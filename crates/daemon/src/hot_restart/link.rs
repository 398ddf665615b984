//! The connection between two processes of a node over a Unix socket, with one encoded message per line.
use super::codec::{self, CodecError, MAX_LINE_BYTES, Message};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Bounds the write of one message; a process that does not read for this long is disconnected.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the connection to another process of the node failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The other process runs as another user.
    #[error("the process of user {0} is not trusted")]
    OtherUser(u32),
    /// The socket failed.
    #[error("socket error: {0}")]
    Socket(#[from] io::Error),
    /// The other process closed the connection.
    #[error("connection closed")]
    Closed,
    /// A line exceeds [`MAX_LINE_BYTES`].
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
    /// [`LinkError::OtherUser`] unless the other process runs as the same user.
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
    /// If the connection failed or was closed, or the line is too long or not a message.
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
    /// If the socket failed or the message was not written within [`WRITE_TIMEOUT`].
    pub async fn send(&mut self, message: &Message) -> io::Result<()> {
        let line = codec::encode(message);
        timeout(WRITE_TIMEOUT, self.0.write_all(&line)).await.map_err(|_| io::ErrorKind::TimedOut)?
    }
}
