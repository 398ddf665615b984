//! Updates of the endpoint list, and gossip from peers.
use super::Dispatcher;
use super::attempts::Observer;
use crate::endpoint::{Endpoint, ListUpdate};
use crate::event::GossipMessage;
use crate::state::discovery_backoff::ListFailure;
use crate::state::request::DesiredState;
use crate::time::Millis;

impl Dispatcher {
    /// Applies an update of the endpoint list.
    pub(super) fn on_endpoints_updated(&mut self, now: Millis, update: ListUpdate, endpoints: &[Endpoint]) {
        self.fleet.executors.update(now, update, endpoints);
        if matches!(update, ListUpdate::Snapshot | ListUpdate::Delta) {
            self.log.extend(self.discovery.record_success());
        }
        self.resample_undispatchable(now);
    }

    /// Samples again for requests whose dispatch is decided but not yet carried out and whose executor no longer
    /// accepts requests.
    fn resample_undispatchable(&mut self, now: Millis) {
        for request_id in self.dirty.clone() {
            let Some(request) = self.requests.get(&request_id) else { continue };
            if let DesiredState::Dispatched { executor, attempts, .. } = request.desired
                && request.attempts.len() < attempts
                && !self.fleet.executors.is_ready(executor)
            {
                self.fleet.executors.record_slot_change(now, executor, -request.slots);
                self.sample(now, request_id);
            }
        }
    }

    /// Schedules the next call for the endpoint list.
    pub(super) fn on_watch_lost(&mut self, now: Millis, is_rejected: bool) {
        let failure = if is_rejected { ListFailure::Rejected } else { ListFailure::Unanswered };
        let lost = self.discovery.record_failure(now, self.nodes, failure, &mut self.random);
        self.log.push(lost);
    }

    /// Applies a gossip message of a peer.
    pub(super) fn on_gossip(&mut self, now: Millis, message: GossipMessage) {
        match message {
            GossipMessage::IdleConnectionLost => self.block_idle_reuse(now, Observer::Peer),
            GossipMessage::RequestRejected { token, class } => {
                self.fleet.record_gossiped_rejection(now, token, class)
            }
        }
    }
}
