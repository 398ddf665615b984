//! What a shard of hollow executors is asked, and its answers. Between processes they are JSON lines.
use crate::executor_counts::Report;
use crate::executor_terms::ExecutorTerms;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::Range;
use tokio::sync::oneshot;

/// One order to a shard. Executors have their numbers in the whole fleet; a shard passes over those of others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The first one: so many executors, from this number on, begin to listen.
    Open { first: usize, count: usize, terms: ExecutorTerms },
    /// Their connections are reset and new ones refused.
    Kill(Range<usize>),
    /// They start anew, cold, whether or not they were down.
    Restart(Range<usize>),
    /// They count as started long ago.
    Warm(Range<usize>),
    /// Discovery knows that they drain or are gone.
    Left(Vec<usize>),
    /// Discovery lists them as ready again.
    Returned(Vec<usize>),
    /// It was written to a node that they left.
    Told { node: usize, executors: Vec<usize> },
    /// Another fleet is listed: nobody has left.
    Listed,
    /// What was counted.
    Report,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    Done,
    Opened(Vec<SocketAddr>),
    Report(Report),
    Failed(String),
}

/// An order and where its answer goes.
pub struct Ordered {
    pub order: Order,
    pub reply: oneshot::Sender<Reply>,
}
