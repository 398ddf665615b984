//! The sources of the list of executors: each follows one, and all tell the same events.
pub mod consul;
pub mod merge;
pub mod parser;
pub mod platform;

use crate::event::NodeEvent;
use crate::protocol::{EndpointEntry, EndpointList};
use merge::EndpointMerge;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use troutknot::ListUpdate;

/// A list, or changes of one, as it is told to the driver.
#[derive(Debug)]
pub struct EndpointUpdate {
    pub kind: ListUpdate,
    pub entries: Vec<EndpointEntry>,
    /// Where its source counts them.
    pub version: Option<u64>,
    /// Entries that were cut for the bound when it was read.
    pub beyond: usize,
}

impl EndpointUpdate {
    pub fn of(kind: ListUpdate, list: EndpointList) -> Self {
        let EndpointList { version, entries, beyond, .. } = list;
        EndpointUpdate { kind, entries, version: Some(version), beyond }
    }

    pub fn changes(entries: Vec<EndpointEntry>) -> Self {
        EndpointUpdate { kind: ListUpdate::Delta, entries, version: None, beyond: 0 }
    }

    /// That nothing has changed.
    pub fn nothing_new() -> Self {
        EndpointUpdate::changes(Vec::new())
    }
}

/// Where a source tells what it has; with several, what follows from all of them is told on.
#[derive(Clone)]
pub struct EndpointUpdateSender {
    events: mpsc::Sender<NodeEvent>,
    merge: Option<(usize, Rc<RefCell<EndpointMerge>>)>,
}

impl EndpointUpdateSender {
    /// For the only source.
    pub fn alone(events: mpsc::Sender<NodeEvent>) -> Self {
        EndpointUpdateSender { events, merge: None }
    }

    /// For each of several sources, by its place in the order.
    pub fn among(events: mpsc::Sender<NodeEvent>, place: usize, merge: &Rc<RefCell<EndpointMerge>>) -> Self {
        EndpointUpdateSender { events, merge: Some((place, merge.clone())) }
    }

    /// What needs no merging goes on as it is.
    ///
    /// # Errors
    /// Once the node ends.
    pub async fn event(&self, event: NodeEvent) -> Result<(), String> {
        self.events.send(event).await.map_err(|_| "the node ends".to_string())
    }

    /// Room for one [`Told::list`], so that what counts as known has been told.
    ///
    /// # Errors
    /// Once the node ends.
    pub async fn room(&self) -> Result<mpsc::Permit<'_, NodeEvent>, String> {
        self.events.reserve().await.map_err(|_| "the node ends".to_string())
    }

    /// What to tell of a list, or of changes to it.
    pub fn list(&self, list: EndpointUpdate) -> NodeEvent {
        match &self.merge {
            None => NodeEvent::ListReceived(list),
            Some((place, merge)) => {
                let changes = merge.borrow_mut().take(*place, list.kind, list.entries);
                NodeEvent::ListReceived(EndpointUpdate::changes(changes))
            }
        }
    }

    pub async fn tell(&self, list: EndpointUpdate) {
        if let Ok(room) = self.room().await {
            room.send(self.list(list));
        }
    }
}
