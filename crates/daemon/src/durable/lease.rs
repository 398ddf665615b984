//! One allocation on record: its signs of life, and its one end.
use super::Durable;
use crate::protocol::LeaseFields;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use troutknot::{AttemptId, Millis, Outcome, RequestId};
use troutknot_ledger::{Fence, Record};

pub struct Lease {
    durable: Rc<Durable>,
    request_id: RequestId,
    attempt_id: AttemptId,
    pub fence: Fence,
    /// When it was recorded.
    at: Millis,
    until: Cell<Instant>,
    told: Cell<Option<Instant>>,
    started: Cell<bool>,
    over: Cell<bool>,
}

impl Lease {
    pub fn new(
        durable: Rc<Durable>,
        request_id: RequestId,
        attempt_id: AttemptId,
        fence: Fence,
        at: Millis,
    ) -> Self {
        let span = durable.terms.lease_duration.unwrap_or(Duration::from_secs(86_400));
        Lease {
            durable,
            request_id,
            attempt_id,
            fence,
            at,
            until: Cell::new(Instant::now() + span),
            told: Cell::new(None),
            started: Cell::new(false),
            over: Cell::new(false),
        }
    }

    /// What the executor receives of the lease; none if it supports neither fences nor leases.
    pub fn told_to_executor(&self) -> Option<LeaseFields> {
        let terms = &self.durable.terms;
        let duration = terms.lease_duration.map(|span| span.as_secs_f64() * 1000.0);
        (terms.has_fencing || duration.is_some()).then_some(LeaseFields { fence: self.fence, duration })
    }

    pub fn fences_known(&self) -> bool {
        self.durable.terms.has_fencing
    }

    /// How long ago it was recorded.
    pub fn age(&self) -> Millis {
        (self.durable.now() - self.at).max(0.0)
    }

    /// A sign of life came; `started` where it says that it runs.
    pub fn beat(&self, started: bool) {
        let (request_id, attempt_id, now) = (self.request_id, self.attempt_id, Instant::now());
        if started && !self.started.replace(true) {
            self.durable.later(Record::Started { request_id, attempt_id });
        }
        let Some(span) = self.durable.terms.lease_duration else { return };
        self.until.set(now + span);
        // Not each one: a lease on record may be shorter than it is, never longer.
        if self.told.get().is_none_or(|told| now - told >= span / 3) {
            self.told.set(Some(now));
            let lease_until = self.durable.now() + span.as_secs_f64() * 1000.0;
            self.durable.later(Record::Heartbeat { request_id, attempt_id, lease_until });
        }
    }

    /// Ends when the lease has run out.
    pub async fn over(&self) {
        loop {
            let until = self.until.get();
            sleep_until(until).await;
            if self.until.get() <= until {
                return;
            }
        }
    }

    /// Its one end.
    pub fn ended(&self, outcome: Outcome) {
        if !self.over.replace(true) {
            self.durable.later(Record::Ended {
                request_id: self.request_id,
                attempt_id: self.attempt_id,
                outcome,
            });
        }
    }

    /// Its executor has not run it, and refuses it from now on; false where it was seen to run.
    pub fn fenced(&self) -> bool {
        if self.over.get()
            || !self
                .durable
                .later(Record::Fenced { request_id: self.request_id, attempt_id: self.attempt_id })
        {
            return false;
        }
        self.over.set(true);
        true
    }
}
