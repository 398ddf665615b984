//! A hollow node's watch of the endpoint list, which consists of one JSON object per line.
use super::http::{Connection, Head};
use super::{Counters, add};
use serde::Deserialize;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum length of a line in bytes; a snapshot of 50,000 executors is shorter.
const MAX_LINE_BYTES: usize = 32 * 1024 * 1024;
/// Time without data after which a watch is lost, as in real nodes.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2600);
/// Upper bound on the time to open a watch, as in real nodes.
const OPEN_TIMEOUT: Duration = Duration::from_millis(2200);

/// A message of the list: a snapshot or a delta.
#[derive(Deserialize, Debug)]
pub struct EndpointList {
    pub version: u64,
    #[serde(rename = "full", default)]
    pub is_snapshot: bool,
    #[serde(rename = "servers")]
    pub entries: Vec<EndpointEntry>,
}

/// An executor's entry in the list.
#[derive(Deserialize, Debug)]
pub struct EndpointEntry {
    pub id: String,
    #[serde(rename = "addr", default)]
    pub address: String,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(rename = "kind", default)]
    pub machine_type: Option<String>,
    #[serde(rename = "cell", default)]
    pub deduplication_group: Option<u32>,
    pub state: String,
    #[serde(default)]
    pub weight: Option<f64>,
    /// Start time in milliseconds since the Unix epoch; 0 if it started long ago.
    #[serde(rename = "started_ms", default)]
    pub started_at: Option<f64>,
}

impl EndpointEntry {
    pub fn is_ready(&self) -> bool {
        self.state == "Ready"
    }
}

/// Reason for the end of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// The watch could not be opened, its connection failed, or it was silent for too long.
    Lost,
    /// Discovery responded with an error.
    Rejected,
}

fn timeout_error<E>(_: E) -> io::Error {
    io::ErrorKind::TimedOut.into()
}

/// How much of a line is retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineRetention {
    Full,
    /// Only the last bytes, which contain the version. Retaining complete snapshots in many nodes would take too much
    /// memory.
    Tail,
}

const TAIL_BYTES: usize = 256;
/// Buffer capacity in bytes that is retained after a longer line has been read.
const MAX_RETAINED_CAPACITY: usize = 64 * 1024;

/// Follows the list from a version and passes each non-empty line to `handle_line`, until the watch ends.
pub async fn follow(
    source: Ipv4Addr,
    discovery_address: SocketAddr,
    after: Option<u64>,
    retention: LineRetention,
    counters: &Counters,
    handle_line: impl FnMut(&[u8]),
) -> WatchEnd {
    add(&counters.watches, 1);
    let opened = timeout(OPEN_TIMEOUT, open(source, discovery_address, after)).await;
    let (mut connection, mut head) = match opened {
        Ok(Ok(opened)) => opened,
        _ => return WatchEnd::Lost,
    };
    if head.status != 200 {
        return WatchEnd::Rejected;
    }
    // Whatever the error, the watch was open until now and counts as lost.
    let _ = read_lines(&mut connection, &mut head, retention, counters, handle_line).await;
    WatchEnd::Lost
}

async fn open(
    source: Ipv4Addr,
    discovery_address: SocketAddr,
    after: Option<u64>,
) -> io::Result<(Connection, Head)> {
    let mut connection = Connection::open(source, discovery_address).await?;
    let after = after.map_or(String::new(), |version| format!("&index={version}"));
    let request =
        format!("GET /catalog/members?stream=1{after} HTTP/1.1\r\nHost: {discovery_address}\r\n\r\n");
    connection.send(&request).await?;
    let head = connection.read_head().await?;
    Ok((connection, head))
}

async fn read_lines(
    connection: &mut Connection,
    head: &mut Head,
    retention: LineRetention,
    counters: &Counters,
    mut handle_line: impl FnMut(&[u8]),
) -> io::Result<()> {
    let (mut buffer, mut scanned) = (Vec::new(), 0);
    loop {
        let previous_length = buffer.len();
        if !timeout(IDLE_TIMEOUT, connection.read_body(head, &mut buffer)).await.map_err(timeout_error)?? {
            return Ok(());
        }
        add(&counters.list_bytes, (buffer.len() - previous_length) as u64);
        let mut line_start = 0;
        while let Some(end) = buffer[scanned..].iter().position(|byte| *byte == b'\n') {
            let line = buffer[line_start..scanned + end].trim_ascii();
            if !line.is_empty() {
                add(&counters.list_lines, 1);
                handle_line(line);
            }
            scanned += end + 1;
            line_start = scanned;
        }
        let consumed = if retention == LineRetention::Tail {
            line_start.max(buffer.len().saturating_sub(TAIL_BYTES))
        } else {
            line_start
        };
        buffer.drain(..consumed);
        if line_start > 0 {
            buffer.shrink_to(MAX_RETAINED_CAPACITY);
        }
        scanned = buffer.len();
        if scanned > MAX_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// Returns the version of a line without parsing it: the number after its last `"version":`.
pub fn version_of(line: &[u8]) -> Option<u64> {
    const KEY: &[u8] = b"\"version\":";
    let start = line.windows(KEY.len()).rposition(|part| part == KEY)? + KEY.len();
    let digits = line[start..].trim_ascii_start();
    let end = digits.iter().position(|byte| !byte.is_ascii_digit()).unwrap_or(digits.len());
    std::str::from_utf8(&digits[..end]).ok()?.parse().ok()
}
