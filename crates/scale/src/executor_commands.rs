//! Commands that a shard of hollow executors carries out, and its replies. Worker processes exchange them as JSON
//! lines.
use crate::executor_config::ExecutorConfig;
use crate::executor_counts::ExecutorReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::Range;
use tokio::sync::oneshot;

/// A command to a shard. Executors are numbered across the fleet; a shard ignores the numbers of other shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Opens the listeners of `count` executors, the first of which has the number `first`. It comes before any other
    /// command.
    Open {
        first: usize,
        count: usize,
        #[serde(rename = "terms")]
        config: ExecutorConfig,
    },
    /// Resets the executors' connections and refuses new ones.
    Kill(Range<usize>),
    /// Restarts the executors, whether or not they were down, so that they warm up again.
    Restart(Range<usize>),
    /// Marks the executors as warmed up.
    #[serde(rename = "warm")]
    MarkWarm(Range<usize>),
    /// Records that discovery found the executors draining or gone.
    #[serde(rename = "left")]
    RecordDepartures(Vec<usize>),
    /// Records that discovery lists the executors as ready again.
    #[serde(rename = "returned")]
    RecordReturns(Vec<usize>),
    /// Records that a node was sent the departure of the executors.
    #[serde(rename = "told")]
    RecordNotifications { node: usize, executors: Vec<usize> },
    /// Discards all departures, since another fleet is listed.
    #[serde(rename = "listed")]
    ClearDepartures,
    /// Asks for the counts.
    Report,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    Done,
    Opened(Vec<SocketAddr>),
    Report(ExecutorReport),
    Failed(String),
}

/// A command, and the channel that its reply is sent to.
pub struct PendingCommand {
    pub command: Command,
    pub reply: oneshot::Sender<Reply>,
}
