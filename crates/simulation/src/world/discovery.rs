//! Discovery: the list of executors, as each node's agent has it and as nodes hear it.
use super::{LIST_SILENCE, World, WorldEvent};
use rand::RngExt;
use troutknot::{DeduplicationGroupId, Endpoint, EndpointState, Event, ListUpdate, MachineTypeId, ZoneId};
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{ExecutorNumber, ListedState, NodeNumber, Observation};
use troutknot_rehearsal::plan::startup_delay;
use troutknot_rehearsal::scenario::millis;

impl World<'_> {
    /// When an executor started, as discovery tells it; none for long ago.
    pub(super) fn started(&self, number: usize) -> Option<Millis> {
        let host = self.hosts[number].as_ref()?;
        let announced = host.is_down() || host.is_silent();
        let at = if announced { self.now + startup_delay(self.scenario) } else { host.started_at() };
        at.is_finite().then(|| at.floor())
    }

    /// The entry of an executor, in the words of the dispatcher.
    fn listing(&self, node: usize, executor: usize, entry: u32) -> Endpoint {
        let (listed, started) = self.entries[entry as usize];
        let planned = &self.plan.executors[executor];
        let kind = self.kinds.iter().position(|k| *k == planned.machine_type).map_or(u32::MAX, |k| k as u32);
        Endpoint {
            executor: self.nodes[node].handles.of(executor),
            token: self.tokens[executor],
            zone: ZoneId(0),
            machine_type: MachineTypeId(kind),
            deduplication_group: DeduplicationGroupId(planned.group as u32),
            state: match listed {
                ListedState::Ready => EndpointState::Ready,
                ListedState::Terminating => EndpointState::Draining,
                ListedState::Gone => EndpointState::Gone,
            },
            weight: 1.0,
            started_at: started,
        }
    }

    /// A node hears all that its agent knows.
    pub(super) fn tell_list(&mut self, node: usize, kind: ListUpdate) {
        let view = self.views[node].clone();
        let known = view.iter().enumerate().filter_map(|(executor, entry)| Some((executor, (*entry)?)));
        let mut entries = Vec::new();
        for (executor, entry) in known {
            let listing = self.listing(node, executor, entry);
            if listing.state == EndpointState::Gone && self.nodes[node].shut[executor].is_infinite() {
                continue;
            }
            self.told(node, executor, entry);
            entries.push(listing);
        }
        self.tell(node, Event::EndpointsUpdated { update: kind, endpoints: entries });
    }

    /// Records that a node was told an entry; it soon sends nothing more to an executor that is not ready.
    fn told(&mut self, node: usize, executor: usize, entry: u32) {
        let listed = self.entries[entry as usize].0;
        let grace = millis(self.scenario.rules.drain_grace);
        let shut = &mut self.nodes[node].shut[executor];
        *shut = match listed {
            ListedState::Ready => f64::INFINITY,
            _ => shut.min(self.now + grace * 0.5),
        };
        self.note(Observation::NodeNotified {
            node: node as NodeNumber,
            executor: executor as ExecutorNumber,
            state: listed,
        });
    }

    /// Discovery lists an executor otherwise from now on; each agent hears of it after a delay of its own.
    pub(super) fn list(&mut self, executor: usize, listed: ListedState) {
        let entry = self.entries.len() as u32;
        self.entries.push((listed, self.started(executor)));
        self.listed[executor] = Some(entry);
        let discovery = &self.scenario.discovery;
        let (least, most) = (millis(discovery.min_notice_delay), millis(discovery.max_notice_delay));
        for node in 0..self.nodes.len() as u32 {
            let after = least + (most - least) * self.chance.random::<f64>();
            self.queue
                .at(self.now + after, WorldEvent::Hears { node, executor: executor as u32, listing: entry });
        }
    }

    /// A change reaches a node's agent, and the node with it.
    pub(super) fn hears(&mut self, node: usize, executor: usize, entry: u32) {
        if self.silent {
            self.untold.push((node as u32, executor as u32, entry));
            return;
        }
        // Delays differ, so an older word may come after a newer one; it is none.
        if self.views[node][executor].is_some_and(|known| known > entry) {
            return;
        }
        self.views[node][executor] = Some(entry);
        let listed = self.entries[entry as usize].0;
        let (number, of) = (node as NodeNumber, executor as ExecutorNumber);
        self.note(Observation::AgentUpdated { node: number, executor: of, state: listed });
        if self.nodes[node].up {
            self.told(node, executor, entry);
            let entries = vec![self.listing(node, executor, entry)];
            self.tell(node, Event::EndpointsUpdated { update: ListUpdate::Delta, endpoints: entries });
        }
    }

    /// The watch of the list broke off; it is back at once where discovery answers.
    pub(super) fn list_lost(&mut self, node: usize) {
        if self.silent {
            self.tell(node, Event::EndpointWatchLost { is_rejected: false });
        } else {
            self.tell_list(node, ListUpdate::Delta);
        }
    }

    /// Discovery falls silent, or tells again all that was held back.
    pub(super) fn silence(&mut self, on: bool) {
        self.silent = on;
        if on {
            for node in 0..self.nodes.len() as u32 {
                let life = self.nodes[node as usize].life;
                self.queue.at(self.now + LIST_SILENCE, WorldEvent::ListLost { node, life });
            }
            return;
        }
        for (node, executor, entry) in std::mem::take(&mut self.untold) {
            self.hears(node as usize, executor as usize, entry);
        }
    }
}
