//! The sources of the list of executors: each follows one, and all tell the same events.
pub mod consul;
pub mod merge;
pub mod platform;
pub mod reader;

use crate::event::NodeEvent;
use crate::words::{Entry, List};
use merge::Merge;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use troutknot::ListUpdate;

/// A list, or changes of one, as it is told to the driver.
#[derive(Debug)]
pub struct ToldList {
    pub kind: ListUpdate,
    pub entries: Vec<Entry>,
    /// Where its source counts them.
    pub version: Option<u64>,
    /// Entries that were cut for the bound when it was read.
    pub beyond: usize,
}

impl ToldList {
    pub fn of(kind: ListUpdate, list: List) -> Self {
        let List { version, entries, beyond, .. } = list;
        ToldList { kind, entries, version: Some(version), beyond }
    }

    pub fn changes(entries: Vec<Entry>) -> Self {
        ToldList { kind: ListUpdate::Delta, entries, version: None, beyond: 0 }
    }

    /// That nothing has changed.
    pub fn nothing_new() -> Self {
        ToldList::changes(Vec::new())
    }
}

/// Where a source tells what it has; with several, what follows from all of them is told on.
#[derive(Clone)]
pub struct Told {
    events: mpsc::Sender<NodeEvent>,
    merge: Option<(usize, Rc<RefCell<Merge>>)>,
}

impl Told {
    /// For the only source.
    pub fn alone(events: mpsc::Sender<NodeEvent>) -> Self {
        Told { events, merge: None }
    }

    /// For each of several sources, by its place in the order.
    pub fn among(events: mpsc::Sender<NodeEvent>, place: usize, merge: &Rc<RefCell<Merge>>) -> Self {
        Told { events, merge: Some((place, merge.clone())) }
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
    pub fn list(&self, list: ToldList) -> NodeEvent {
        match &self.merge {
            None => NodeEvent::ListReceived(list),
            Some((place, merge)) => {
                let changes = merge.borrow_mut().take(*place, list.kind, list.entries);
                NodeEvent::ListReceived(ToldList::changes(changes))
            }
        }
    }

    pub async fn tell(&self, list: ToldList) {
        if let Ok(room) = self.room().await {
            room.send(self.list(list));
        }
    }
}
