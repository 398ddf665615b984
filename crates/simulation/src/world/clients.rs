//! Clients: what they send, when they leave, and when they ask again.
use super::{BEGAN, WAY, World, WorldEvent};
use troutknot::{Event, RequestId};
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{NodeNumber, Observation};
use troutknot_rehearsal::scenario::{Effect, millis};

impl World<'_> {
    /// Sends a request of the plan, and schedules the next one.
    pub(super) fn request_is_due(&mut self, number: u32) {
        let next = number + 1;
        if let Some(request) = self.plan.requests.get(next as usize) {
            self.queue.at(BEGAN + request.at, WorldEvent::Request(next));
        }
        self.send_request(number, 0);
    }

    /// A client sends a request, over a connection to the next node that the front has taken in.
    pub(super) fn send_request(&mut self, request: u32, attempt: u32) {
        let count = self.nodes.len();
        let from = self.next_node;
        let found = (0..count).map(|k| (from + k) % count).find(|&k| self.nodes[k].taken_in);
        let Some(node) = found.filter(|&k| self.nodes[k].up) else {
            self.next_node = found.map_or(from, |k| k + 1);
            self.note(Observation::ConnectFailed { request: request as usize });
            return self.schedule_retry(request, attempt, None);
        };
        self.next_node = node + 1;
        let id = self.id(request, attempt);
        self.note(Observation::RequestSent {
            id,
            request: request as usize,
            attempt,
            node: node as NodeNumber,
        });
        let life = self.nodes[node].life;
        self.queue.at(self.now + WAY, WorldEvent::Arrives { node: node as u32, life, request, attempt });
    }

    /// Schedules the next attempt of a request, if its client has one left.
    pub(super) fn schedule_retry(&mut self, request: u32, attempt: u32, told: Option<Millis>) {
        let clients = &self.scenario.clients;
        if attempt < clients.max_retries {
            let own = millis(clients.retry_delay) * f64::powi(2.0, attempt.min(8) as i32);
            let again = WorldEvent::Retry { request, attempt: attempt + 1 };
            self.queue.at(self.now + told.unwrap_or(0.0).max(own), again);
        }
    }

    /// The connection of a request ended without an answer.
    pub(super) fn request_cut(&mut self, request: u32, attempt: u32) {
        let id = self.id(request, attempt);
        self.note(Observation::ConnectionLost { id, reused: false });
        let kind = self.types[self.plan.requests[request as usize].request_class];
        if kind.effect == Effect::Idempotent {
            self.schedule_retry(request, attempt, None);
        }
    }

    /// A client gives up a request that is open at a node, if it still waits.
    pub(super) fn client_leaves(&mut self, node: usize, request_id: RequestId) {
        let open = self.nodes[node].open.get_mut(&request_id);
        let Some(open) = open.filter(|open| open.waits) else { return };
        open.waits = false;
        let (request, attempt, out) = (open.request, open.attempt, open.out.is_some());
        if !out {
            self.nodes[node].open.remove(&request_id);
        }
        let id = self.id(request, attempt);
        self.note(Observation::ClientDisconnected { id });
        self.tell(node, Event::RequestWithdrawn { request_id });
    }

    /// An answer reaches its client, which may ask again.
    pub(super) fn answer_arrives(
        &mut self,
        request: u32,
        attempt: u32,
        status: u16,
        come_back: Option<Millis>,
    ) {
        let id = self.id(request, attempt);
        self.note(Observation::RequestAnswered {
            id,
            status,
            is_valid: status == 200,
            retry_after: come_back,
        });
        let kind = self.types[self.plan.requests[request as usize].request_class];
        match status {
            200 => {}
            503 => self.schedule_retry(request, attempt, come_back),
            _ if kind.effect == Effect::Idempotent => self.schedule_retry(request, attempt, None),
            _ => {}
        }
    }
}
