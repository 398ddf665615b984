//! Clients: the requests that they send, their disconnects and their retries.
use super::{NETWORK_LATENCY, PLAN_START, World, WorldEvent};
use troutknot::{Event, RequestId};
use troutknot_emulator::Millis;
use troutknot_emulator::observations::{NodeNumber, Observation};
use troutknot_rehearsal::scenario::{Effect, millis};

/// Largest exponent of a client's exponential backoff.
const MAX_BACKOFF_EXPONENT: u32 = 8;

impl World<'_> {
    /// Sends a request of the plan, and schedules the next one.
    pub(super) fn start_request(&mut self, request: u32) {
        let next = request + 1;
        if let Some(planned) = self.plan.requests.get(next as usize) {
            self.queue.schedule(PLAN_START + planned.at, WorldEvent::RequestDue(next));
        }
        self.send_request(request, 0);
    }

    /// Sends a request over a connection to the next node in the front's rotation.
    pub(super) fn send_request(&mut self, request: u32, client_attempt: u32) {
        let count = self.nodes.len();
        let first = self.next_node;
        let found = (0..count).map(|k| (first + k) % count).find(|&k| self.nodes[k].is_in_rotation);
        let Some(node) = found.filter(|&k| self.nodes[k].is_up) else {
            self.next_node = found.map_or(first, |k| k + 1);
            self.record(Observation::ConnectFailed { request: request as usize });
            return self.schedule_retry(request, client_attempt, None);
        };
        self.next_node = node + 1;
        let id = self.client_request_id(request, client_attempt);
        self.record(Observation::RequestSent {
            id,
            request: request as usize,
            attempt: client_attempt,
            node: node as NodeNumber,
        });
        let (incarnation, node) = (self.nodes[node].incarnation, node as u32);
        let received = WorldEvent::RequestReceived { node, incarnation, request, client_attempt };
        self.queue.schedule(self.now + NETWORK_LATENCY, received);
    }

    /// Schedules the client's next attempt at a request after the longer of its backoff and the node's `retry_after`,
    /// if it has a retry left.
    pub(super) fn schedule_retry(&mut self, request: u32, client_attempt: u32, retry_after: Option<Millis>) {
        let clients = &self.scenario.clients;
        if client_attempt < clients.max_retries {
            let exponent = client_attempt.min(MAX_BACKOFF_EXPONENT) as i32;
            let backoff = millis(clients.retry_delay) * f64::powi(2.0, exponent);
            let retry = WorldEvent::RetryDue { request, client_attempt: client_attempt + 1 };
            self.queue.schedule(self.now + retry_after.unwrap_or(0.0).max(backoff), retry);
        }
    }

    /// Handles the loss of a request's connection without an answer.
    pub(super) fn lose_client_connection(&mut self, request: u32, client_attempt: u32) {
        let id = self.client_request_id(request, client_attempt);
        self.record(Observation::ConnectionLost { id, reused: false });
        let class = self.request_classes[self.plan.requests[request as usize].request_class];
        if class.effect == Effect::Idempotent {
            self.schedule_retry(request, client_attempt, None);
        }
    }

    /// Disconnects the client of an open request, if it still waits.
    pub(super) fn disconnect_client(&mut self, node: usize, request_id: RequestId) {
        let open = self.nodes[node].open_requests.get_mut(&request_id);
        let Some(open) = open.filter(|open| open.is_client_waiting) else { return };
        open.is_client_waiting = false;
        let (request, client_attempt) = (open.request, open.client_attempt);
        if open.in_flight.is_none() {
            self.nodes[node].open_requests.remove(&request_id);
        }
        let id = self.client_request_id(request, client_attempt);
        self.record(Observation::ClientDisconnected { id });
        self.notify_node(node, Event::RequestWithdrawn { request_id });
    }

    /// Handles an answer at its client, which may retry.
    pub(super) fn receive_answer(
        &mut self,
        request: u32,
        client_attempt: u32,
        status: u16,
        retry_after: Option<Millis>,
    ) {
        let id = self.client_request_id(request, client_attempt);
        self.record(Observation::RequestAnswered { id, status, is_valid: status == 200, retry_after });
        let class = self.request_classes[self.plan.requests[request as usize].request_class];
        match status {
            200 => {}
            503 => self.schedule_retry(request, client_attempt, retry_after),
            _ if class.effect == Effect::Idempotent => self.schedule_retry(request, client_attempt, None),
            _ => {}
        }
    }
}
