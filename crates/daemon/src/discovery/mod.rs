//! The sources of the list of executors: each follows one, and all tell the same events.
pub mod consul;
pub mod merge;
pub mod parser;
pub mod platform;

pub use crate::event::EndpointUpdate;

use crate::event::NodeEvent;
use merge::EndpointMerge;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

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
