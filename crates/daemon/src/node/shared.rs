//! Values that the parts of a node share.
use crate::config::limits::Limits;
use crate::event::{NodeEvent, WatchRequests};
use crate::hot_restart::sibling::SiblingProcess;
use crate::lifecycle::Lifecycle;
use crate::protocol::{Codec, Current};
use crate::tasks::TaskGroup;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;
use troutknot_clock::Clock;

/// Values that the parts of a node share.
#[derive(Clone)]
pub struct Shared {
    /// Limits on memory, connections and durations.
    pub limits: Rc<Limits>,
    /// Encodes and decodes messages according to the current settings.
    pub codec: Rc<Current<Codec>>,
    /// The clock of the dispatcher.
    pub clock: Clock,
    /// The driver's queue.
    pub events: mpsc::Sender<NodeEvent>,
    /// The lifecycle of the node.
    pub lifecycle: Rc<Lifecycle>,
    /// The other process of this node, if one runs.
    pub sibling: Rc<SiblingProcess>,
    /// Requests from the driver to the watch of the endpoint list.
    pub watch_requests: Rc<WatchRequests>,
    /// Status text of the discovery sources for the readiness response.
    pub discovery_status: Rc<RefCell<String>>,
    /// Runs the tasks of the node.
    pub tasks: TaskGroup,
}

impl Shared {
    /// Creates the shared values of a node that is starting.
    pub fn new(
        limits: Rc<Limits>,
        codec: Rc<Current<Codec>>,
        clock: Clock,
        events: mpsc::Sender<NodeEvent>,
    ) -> Self {
        Shared {
            limits,
            codec,
            clock,
            events,
            lifecycle: Rc::new(Lifecycle::new()),
            sibling: Rc::default(),
            watch_requests: Rc::default(),
            discovery_status: Rc::default(),
            tasks: TaskGroup::default(),
        }
    }
}
