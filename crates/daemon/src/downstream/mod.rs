//! The downstream side of a node: accepts connections of clients, admits their requests, and writes each one its
//! final answer.
mod admission;
mod connection;
mod durable_exchange;
mod eviction;
mod exchange;
mod listener;
mod record_lookup;
mod request;
mod request_ids;
mod response;

pub use listener::ListenerOrigin;

use crate::byte_budget::ByteBudget;
use crate::config::durable::DurableConfig;
use crate::config::limits::Limits;
use crate::durable::Durable;
use crate::event::NodeEvent;
use crate::hot_restart::sibling::SiblingProcess;
use crate::lifecycle::LifecycleState;
use crate::protocol::{Codec, Current};
use crate::tasks::TaskGroup;
use eviction::ClientConnections;
use request_ids::RequestIds;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// What the downstream side shares with the rest of the node.
pub struct DownstreamContext {
    pub limits: Rc<Limits>,
    /// Translates between the wire and the dispatcher's types.
    pub codec: Rc<Current<Codec>>,
    /// Where requests and disconnected clients are reported.
    pub events: mpsc::Sender<NodeEvent>,
    /// Decides whether connections are accepted, reused and closed.
    pub lifecycle: watch::Receiver<LifecycleState>,
    /// The text of a health check's response, written by endpoint discovery.
    pub discovery_status: Rc<RefCell<String>>,
    /// `None` if the node has no ledger.
    pub durable_config: Option<DurableConfig>,
    /// The node's other process during a hot restart.
    pub sibling: Rc<SiblingProcess>,
    /// Owns the tasks that serve connections.
    pub tasks: TaskGroup,
}

/// Serves the clients of a node.
pub struct DownstreamServer {
    limits: Rc<Limits>,
    codec: Rc<Current<Codec>>,
    events: mpsc::Sender<NodeEvent>,
    lifecycle: watch::Receiver<LifecycleState>,
    discovery_status: Rc<RefCell<String>>,
    durable_config: Option<DurableConfig>,
    /// `None` if the node has none, or as long as the old process of the node has it open.
    ledger: watch::Sender<Option<Rc<Durable>>>,
    sibling: Rc<SiblingProcess>,
    tasks: TaskGroup,
    /// Memory for the contents of open requests.
    pub request_bytes: Rc<ByteBudget>,
    /// Memory for the buffers of connections.
    pub buffer_bytes: Rc<ByteBudget>,
    /// Memory for bodies that arrive in parts; each reserves the largest size.
    pub partial_body_bytes: Rc<ByteBudget>,
    request_ids: RequestIds,
    connections: ClientConnections,
    /// When requests stop waiting for the first endpoint list.
    first_list_due: Instant,
}

impl DownstreamServer {
    /// A server without connections.
    pub fn new(context: DownstreamContext) -> Rc<Self> {
        let DownstreamContext {
            limits,
            codec,
            events,
            lifecycle,
            discovery_status,
            durable_config,
            sibling,
            tasks,
        } = context;
        let max_partial_body_bytes = limits.downstream.max_partial_bodies * limits.max_body_bytes;
        Rc::new(DownstreamServer {
            request_bytes: ByteBudget::new(limits.downstream.max_reserved_bytes),
            buffer_bytes: ByteBudget::new(limits.downstream.buffer_bytes),
            partial_body_bytes: ByteBudget::new(max_partial_body_bytes),
            first_list_due: Instant::now() + limits.downstream.first_list_timeout,
            ledger: watch::Sender::default(),
            request_ids: RequestIds::new(),
            connections: ClientConnections::default(),
            limits,
            codec,
            events,
            lifecycle,
            discovery_status,
            durable_config,
            sibling,
            tasks,
        })
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }

    /// Upper bound on connections whose requests are admitted; the sibling's connections count against it.
    fn max_connections(&self) -> usize {
        self.limits.downstream.max_connections.saturating_sub(self.sibling.usage().clients)
    }

    /// Tokens of the ids of requests that were admitted within the deduplication window.
    pub fn recent_request_ids(&self) -> Vec<u64> {
        self.request_ids.recent_tokens()
    }

    /// Tokens of the ids of requests that must not run twice.
    pub fn protected_request_ids(&self) -> Vec<u64> {
        self.request_ids.protected_tokens()
    }

    /// Adds the tokens of requests of an earlier process that must not run twice.
    pub fn import_protected_request_ids(&self, tokens: &[u64]) {
        self.request_ids.import_protected(tokens, &self.limits);
    }

    /// Adds the token of a request that the sibling is about to dispatch and that must not run twice. Returns false if
    /// this process has admitted a request of the same id.
    pub fn record_claim(&self, token: u64) -> bool {
        let is_new = !self.request_ids.is_recent(token, &self.limits);
        if is_new && !self.request_ids.protect_token(token, &self.limits) {
            self.request_ids.record_token(token, &self.limits);
        }
        is_new
    }

    /// Adds tokens of the ids of requests that the sibling has admitted.
    pub fn record_sibling_requests(&self, tokens: &[u64]) {
        for token in tokens {
            self.request_ids.record_token(*token, &self.limits);
        }
    }

    /// Sets the ledger that durable requests are recorded in. New requests get higher numbers than those on record.
    pub fn set_ledger(&self, ledger: Rc<Durable>) {
        self.request_ids.skip_to(ledger.next_request_number());
        self.ledger.send_replace(Some(ledger));
    }

    /// Numbers requests from `first` on, so that a ledger that is opened later can have lower numbers.
    pub fn set_first_request_id(&self, first: u64) {
        self.request_ids.skip_to(first);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/downstream.rs"]
mod tests;
