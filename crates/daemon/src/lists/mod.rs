//! The sources of the list of executors: each follows one, and all tell the same events.
pub mod consul;
pub mod merge;
pub mod platform;

use crate::events::Event;
use crate::words::Entry;
use merge::Merge;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use troutknot::ListKind;

/// Where a source tells what it has; with several, what follows from all of them is told on.
#[derive(Clone)]
pub struct Told {
    events: mpsc::Sender<Event>,
    merge: Option<(usize, Rc<RefCell<Merge>>)>,
}

impl Told {
    /// For the only source.
    pub fn alone(events: mpsc::Sender<Event>) -> Self {
        Told { events, merge: None }
    }

    /// For each of several sources, by its place in the order.
    pub fn among(events: mpsc::Sender<Event>, place: usize, merge: &Rc<RefCell<Merge>>) -> Self {
        Told { events, merge: Some((place, merge.clone())) }
    }

    /// What needs no merging goes on as it is.
    ///
    /// # Errors
    /// Once the node ends.
    pub async fn event(&self, event: Event) -> Result<(), String> {
        self.events.send(event).await.map_err(|_| "the node ends".to_string())
    }

    /// Room for one [`Told::list`], so that what counts as known has been told.
    ///
    /// # Errors
    /// Once the node ends.
    pub async fn room(&self) -> Result<mpsc::Permit<'_, Event>, String> {
        self.events.reserve().await.map_err(|_| "the node ends".to_string())
    }

    /// What to tell of a list, or of changes to it.
    pub fn list(&self, kind: ListKind, entries: Vec<Entry>, version: Option<u64>) -> Event {
        match &self.merge {
            None => Event::List(kind, entries, version),
            Some((place, merge)) => {
                Event::List(ListKind::Changes, merge.borrow_mut().take(*place, kind, entries), None)
            }
        }
    }

    pub async fn tell(&self, kind: ListKind, entries: Vec<Entry>) {
        if let Ok(room) = self.room().await {
            room.send(self.list(kind, entries, None));
        }
    }
}
