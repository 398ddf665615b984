//! Executor counts of a node, from `GET /v1/executors` of its admin server.
use crate::wire::Connection;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for a response of the node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET /v1/executors HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";

/// Numbers of executors that a node has in its list, retains and does not retain, and the limit of those it retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryCounts {
    pub listed: usize,
    pub retained: usize,
    pub unretained: usize,
    pub bound: usize,
}

impl RegistryCounts {
    /// Parses `10 listed, 8 kept, 2 left out, bound 8`; returns `None` if any part is missing or superfluous.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().split(", ");
        let mut number_before = |word: &str| parts.next()?.strip_suffix(word)?.trim().parse().ok();
        let (listed, retained, unretained) =
            (number_before("listed")?, number_before("kept")?, number_before("left out")?);
        let bound = parts.next()?.strip_prefix("bound ")?.parse().ok()?;
        parts.next().is_none().then_some(RegistryCounts { listed, retained, unretained, bound })
    }

    /// Fetches the counts from the admin server of a node.
    ///
    /// # Errors
    /// If the node does not respond in time or the response contains no counts.
    pub async fn fetch(admin_address: SocketAddr) -> io::Result<Self> {
        let exchange = async {
            let mut connection = Connection::new(TcpStream::connect(admin_address).await?);
            connection.write(REQUEST).await?;
            connection.read_response().await
        };
        let response = timeout(RESPONSE_TIMEOUT, exchange).await??;
        let response = response.filter(|response| response.status == 200);
        let counts = response.and_then(|response| Self::parse(&String::from_utf8_lossy(&response.body)));
        counts.ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "the response contains no registry counts")
        })
    }
}
