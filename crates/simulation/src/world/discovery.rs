//! Discovery: the list of executors as stored by each node's agent, and the updates that nodes receive.
use super::{WATCH_IDLE_TIMEOUT, World, WorldEvent};
use rand::RngExt;
use troutknot::{DeduplicationGroupId, Endpoint, EndpointState, Event, ListUpdate, MachineTypeId, ZoneId};
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{ExecutorNumber, ListedState, NodeNumber, Observation};
use troutknot_rehearsal::plan::startup_delay;
use troutknot_rehearsal::scenario::millis;

/// Part of the drain grace for which a node still sends to an executor that is no longer ready.
const SEND_SHARE_OF_DRAIN_GRACE: f64 = 0.5;

impl World<'_> {
    /// The start of an executor as listed by discovery; `None` if it has run since before the simulation. An executor
    /// that is down or silent is listed with the time at which it will be up.
    pub(super) fn listed_start(&self, executor: usize) -> Option<Millis> {
        let process = self.executors[executor].as_ref()?;
        let is_restarting = process.is_down() || process.is_silent();
        let at = if is_restarting { self.now + startup_delay(self.scenario) } else { process.started_at() };
        at.is_finite().then(|| at.floor())
    }

    /// Converts an entry into the dispatcher's endpoint.
    fn endpoint(&self, node: usize, executor: usize, entry: u32) -> Endpoint {
        let (listed, started_at) = self.entries[entry as usize];
        let planned = &self.plan.executors[executor];
        let machine_type = self.machine_types.iter().position(|name| *name == planned.machine_type);
        Endpoint {
            executor: self.nodes[node].executor_ids.id(executor),
            token: self.tokens[executor],
            zone: Some(ZoneId(0)),
            machine_type: MachineTypeId(machine_type.map_or(u32::MAX, |index| index as u32)),
            deduplication_group: Some(DeduplicationGroupId(planned.group as u32)),
            state: match listed {
                ListedState::Ready => EndpointState::Ready,
                ListedState::Terminating => EndpointState::Draining,
                ListedState::Gone => EndpointState::Gone,
            },
            weight: 1.0,
            started_at,
        }
    }

    /// Sends a node all entries that its agent has, except removed executors that this process has not been sent
    /// before.
    pub(super) fn send_list(&mut self, node: usize, update: ListUpdate) {
        let agent_entries = self.agent_entries[node].clone();
        let listed = agent_entries.iter().enumerate();
        let listed = listed.filter_map(|(executor, entry)| Some((executor, (*entry)?)));
        let mut endpoints = Vec::new();
        for (executor, entry) in listed {
            let endpoint = self.endpoint(node, executor, entry);
            let is_unknown_to_node = self.nodes[node].send_stops_at[executor].is_infinite();
            if endpoint.state == EndpointState::Gone && is_unknown_to_node {
                continue;
            }
            self.record_notification(node, executor, entry);
            endpoints.push(endpoint);
        }
        self.notify_node(node, Event::EndpointsUpdated { update, endpoints });
    }

    /// Records that a node receives an entry, and limits how long it sends to an executor that is not ready.
    fn record_notification(&mut self, node: usize, executor: usize, entry: u32) {
        let listed = self.entries[entry as usize].0;
        let grace = millis(self.scenario.rules.drain_grace);
        let send_stops_at = &mut self.nodes[node].send_stops_at[executor];
        *send_stops_at = match listed {
            ListedState::Ready => f64::INFINITY,
            _ => send_stops_at.min(self.now + grace * SEND_SHARE_OF_DRAIN_GRACE),
        };
        self.record(Observation::NodeNotified {
            node: node as NodeNumber,
            executor: executor as ExecutorNumber,
            state: listed,
        });
    }

    /// Changes the entry of an executor; each agent receives the change after a random delay of its own.
    pub(super) fn update_entry(&mut self, executor: usize, listed: ListedState) {
        let entry = self.entries.len() as u32;
        self.entries.push((listed, self.listed_start(executor)));
        self.current_entries[executor] = Some(entry);
        let discovery = &self.scenario.discovery;
        let (min_delay, max_delay) = (millis(discovery.min_notice_delay), millis(discovery.max_notice_delay));
        for node in 0..self.nodes.len() as u32 {
            let delay = min_delay + (max_delay - min_delay) * self.rng.random::<f64>();
            let received = WorldEvent::EntryReceived { node, executor: executor as u32, entry };
            self.queue.schedule(self.now + delay, received);
        }
    }

    /// Handles a changed entry at a node's agent, which passes it to the node.
    pub(super) fn receive_entry(&mut self, node: usize, executor: usize, entry: u32) {
        if self.is_discovery_silent {
            self.held_updates.push((node as u32, executor as u32, entry));
            return;
        }
        // Delays are random, so an older entry can arrive after a newer one. It is ignored.
        if self.agent_entries[node][executor].is_some_and(|current| current > entry) {
            return;
        }
        self.agent_entries[node][executor] = Some(entry);
        let state = self.entries[entry as usize].0;
        self.record(Observation::AgentUpdated {
            node: node as NodeNumber,
            executor: executor as ExecutorNumber,
            state,
        });
        if self.nodes[node].is_up {
            self.record_notification(node, executor, entry);
            let endpoints = vec![self.endpoint(node, executor, entry)];
            self.notify_node(node, Event::EndpointsUpdated { update: ListUpdate::Delta, endpoints });
        }
    }

    /// Handles the loss of a node's discovery watch; it is open again at once unless discovery is silent.
    pub(super) fn lose_watch(&mut self, node: usize) {
        if self.is_discovery_silent {
            self.notify_node(node, Event::EndpointWatchLost { is_rejected: false });
        } else {
            self.send_list(node, ListUpdate::Delta);
        }
    }

    /// Silences discovery, or ends its silence and delivers the updates that were held back.
    pub(super) fn set_discovery_silent(&mut self, is_silent: bool) {
        self.is_discovery_silent = is_silent;
        if is_silent {
            for node in 0..self.nodes.len() as u32 {
                let incarnation = self.nodes[node as usize].incarnation;
                let lost = WorldEvent::WatchLost { node, incarnation };
                self.queue.schedule(self.now + WATCH_IDLE_TIMEOUT, lost);
            }
            return;
        }
        for (node, executor, entry) in std::mem::take(&mut self.held_updates) {
            self.receive_entry(node as usize, executor as usize, entry);
        }
    }
}
