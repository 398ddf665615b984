//! Discovery: the sources of the endpoint list. Each source runs as a task and sends its updates to the driver.
pub mod consul;
pub mod merge;
pub mod parser;
pub mod platform;
mod versions;

pub use crate::event::EndpointUpdate;

use crate::event::NodeEvent;
use merge::EndpointMerge;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The driver's queue is closed because the node is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node is shutting down")]
pub struct ShuttingDown;

/// Sends the updates of one source to the driver, merged with those of the other sources.
#[derive(Clone)]
pub struct EndpointUpdateSender {
    events: mpsc::Sender<NodeEvent>,
    merge: Option<MergeHandle>,
}

/// The merge of several sources, and the precedence of one source in it.
#[derive(Clone)]
struct MergeHandle {
    precedence: usize,
    merge: Rc<RefCell<EndpointMerge>>,
}

/// A reserved slot in the driver's queue for one update.
pub struct UpdatePermit<'a> {
    sender: &'a EndpointUpdateSender,
    permit: mpsc::Permit<'a, NodeEvent>,
}

impl EndpointUpdateSender {
    /// Creates the sender of the only source.
    pub fn unmerged(events: mpsc::Sender<NodeEvent>) -> Self {
        EndpointUpdateSender { events, merge: None }
    }

    /// Creates the sender of one of several sources; a precedence of 0 is the highest.
    pub fn merged(
        events: mpsc::Sender<NodeEvent>,
        precedence: usize,
        merge: &Rc<RefCell<EndpointMerge>>,
    ) -> Self {
        EndpointUpdateSender { events, merge: Some(MergeHandle { precedence, merge: merge.clone() }) }
    }

    /// Sends an event other than an update of the list.
    ///
    /// # Errors
    /// If the node is shutting down.
    pub async fn send_event(&self, event: NodeEvent) -> Result<(), ShuttingDown> {
        self.events.send(event).await.map_err(|_| ShuttingDown)
    }

    /// Reserves a slot in the driver's queue, waiting until one is free.
    ///
    /// # Errors
    /// If the node is shutting down.
    pub async fn reserve(&self) -> Result<UpdatePermit<'_>, ShuttingDown> {
        let permit = self.events.reserve().await.map_err(|_| ShuttingDown)?;
        Ok(UpdatePermit { sender: self, permit })
    }

    /// Sends an update, or drops it if the node is shutting down.
    pub async fn send(&self, update: EndpointUpdate) {
        if let Ok(permit) = self.reserve().await {
            permit.send(update);
        }
    }

    fn merge(&self, update: EndpointUpdate) -> EndpointUpdate {
        let Some(MergeHandle { precedence, merge }) = &self.merge else { return update };
        let changes = merge.borrow_mut().apply(*precedence, update.update_type, update.entries);
        EndpointUpdate::delta(changes)
    }
}

impl UpdatePermit<'_> {
    /// Merges an update with other sources, if there are any, and sends it.
    pub fn send(self, update: EndpointUpdate) {
        let update = self.sender.merge(update);
        self.permit.send(NodeEvent::ListReceived(update));
    }
}
