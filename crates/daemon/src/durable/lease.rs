//! The lease of one recorded attempt: heartbeats extend it, and the outcome ends it.
use super::Durable;
use crate::protocol::LeaseFields;
use crate::units::to_millis;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use troutknot::{AttemptId, Millis, Outcome, RequestId};
use troutknot_ledger::{Fence, Record};

/// Lease time if the operator's file sets none; longer than any request takes.
const UNLIMITED_LEASE: Duration = Duration::from_secs(86_400);

/// A heartbeat is recorded if the last recorded one is older than the lease time divided by this number. The recorded
/// lease may therefore expire before the actual one, but never after it.
const RECORDED_HEARTBEATS_PER_LEASE: u32 = 3;

/// The lease of a recorded attempt. If no heartbeat arrives during the lease time, the executor may have lost the
/// attempt.
pub struct Lease {
    durable: Rc<Durable>,
    request_id: RequestId,
    attempt_id: AttemptId,
    /// The fencing token, by which an executor rejects outdated attempts.
    pub fence: Fence,
    recorded_at: Millis,
    expires_at: Cell<Instant>,
    heartbeat_recorded_at: Cell<Option<Instant>>,
    has_started: Cell<bool>,
    has_ended: Cell<bool>,
}

impl Lease {
    /// Creates the lease of an attempt that was recorded at `recorded_at`. The lease time starts now.
    pub fn new(
        durable: Rc<Durable>,
        request_id: RequestId,
        attempt_id: AttemptId,
        fence: Fence,
        recorded_at: Millis,
    ) -> Self {
        let lease_time = durable.config.lease_duration.unwrap_or(UNLIMITED_LEASE);
        Lease {
            durable,
            request_id,
            attempt_id,
            fence,
            recorded_at,
            expires_at: Cell::new(Instant::now() + lease_time),
            heartbeat_recorded_at: Cell::new(None),
            has_started: Cell::new(false),
            has_ended: Cell::new(false),
        }
    }

    /// The fencing token and lease time to send to the executor, or `None` if executors support neither.
    pub fn fields(&self) -> Option<LeaseFields> {
        let config = &self.durable.config;
        let duration = config.lease_duration.map(to_millis);
        (config.has_fencing || duration.is_some()).then_some(LeaseFields { fence: self.fence, duration })
    }

    /// Whether executors support fencing.
    pub fn has_fencing(&self) -> bool {
        self.durable.config.has_fencing
    }

    /// Time since the attempt was recorded, in milliseconds.
    pub fn age(&self) -> Millis {
        (self.durable.now() - self.recorded_at).max(0.0)
    }

    /// Records that the attempt is running. Later calls have no effect.
    pub fn record_started(&self) {
        if !self.has_started.replace(true) {
            let (request_id, attempt_id) = (self.request_id, self.attempt_id);
            self.durable.record_in_background(Record::Started { request_id, attempt_id });
        }
    }

    /// Extends the lease after a message from the executor, and records a heartbeat unless one was recorded recently.
    pub fn extend(&self) {
        let (request_id, attempt_id, now) = (self.request_id, self.attempt_id, Instant::now());
        let Some(lease_time) = self.durable.config.lease_duration else { return };
        self.expires_at.set(now + lease_time);
        let interval = lease_time / RECORDED_HEARTBEATS_PER_LEASE;
        let is_recent = |recorded_at: Instant| now - recorded_at < interval;
        if !self.heartbeat_recorded_at.get().is_some_and(is_recent) {
            self.heartbeat_recorded_at.set(Some(now));
            let lease_until = self.durable.now() + to_millis(lease_time);
            self.durable.record_in_background(Record::Heartbeat { request_id, attempt_id, lease_until });
        }
    }

    /// Waits until the lease has expired.
    pub async fn expired(&self) {
        loop {
            let expires_at = self.expires_at.get();
            sleep_until(expires_at).await;
            if self.expires_at.get() <= expires_at {
                return;
            }
        }
    }

    /// Records the outcome. Later calls have no effect.
    pub fn record_outcome(&self, outcome: Outcome) {
        if !self.has_ended.replace(true) {
            let (request_id, attempt_id) = (self.request_id, self.attempt_id);
            self.durable.record_in_background(Record::Ended { request_id, attempt_id, outcome });
        }
    }

    /// Records that the executor has not run the attempt and will reject it. Returns false if the attempt has ended
    /// or is recorded as running.
    pub fn record_fenced(&self) -> bool {
        if self.has_ended.get() {
            return false;
        }
        let (request_id, attempt_id) = (self.request_id, self.attempt_id);
        let is_fenced = self.durable.record_in_background(Record::Fenced { request_id, attempt_id });
        self.has_ended.set(is_fenced);
        is_fenced
    }
}
